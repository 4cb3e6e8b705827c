#include "AdmissionQueue.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace Gooseberrymill {

namespace {

constexpr uint32_t updateInterval = 8; // samples between two computations of the quantiles
constexpr double highQuantile = 0.9; // nine of ten requests dispatched just in time meet their deadline
constexpr double maxLogRatio = 0.7; // bound on one sample, so that stragglers do not dominate the mean of a level
constexpr uint32_t minLevelSamples = 32; // a mean over fewer samples is not used
constexpr double levelGain = 1.0 / 64; // lower bound of the weight of a new sample in the moving average
// Service time at the limit, divided by that at half of it, above which the limit is decreased.
constexpr double contentionRatio = 1.25;
constexpr Duration levelLifetime = 60s; // a level without a new sample for this long is stale
constexpr Duration adaptInterval = 1s; // between two evaluations of the limit
constexpr Duration probeInterval = 5s; // from a change of the limit to the next probe upward
constexpr Duration estimateLifetime = 10s; // an estimate without new samples expires, or it could refuse work forever
constexpr Duration minRetryAfter = 1s;
constexpr Duration maxRetryAfter = 30s;
constexpr Duration maxRateWait = 1s; // a caller that must wait longer for the rate limit is told when to come back

double micros(Duration duration) { return static_cast<double>(duration.count()); }

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] ServiceTimeWindow
//-----------------------------------------------------------------------------

ServiceTimeWindow::ServiceTimeWindow(size_t window)
    : m_window(window)
{
}

void ServiceTimeWindow::add(Duration serviceTime)
{
    if (m_samples.size() < m_window)
        m_samples.push_back(serviceTime);
    else
        m_samples[m_next] = serviceTime;
    m_next = (m_next + 1) % m_window;
    if (m_samples.size() <= updateInterval || ++m_sinceUpdate >= updateInterval)
        update();
}

void ServiceTimeWindow::update()
{
    m_sinceUpdate = 0;
    m_sorted = m_samples;
    auto nth = [&](double quantile) {
        auto it = m_sorted.begin() + static_cast<std::ptrdiff_t>(quantile * static_cast<double>(m_sorted.size() - 1));
        std::nth_element(m_sorted.begin(), it, m_sorted.end());
        return *it;
    };
    m_median = nth(0.5);
    m_high = nth(highQuantile);
}

//-----------------------------------------------------------------------------
// [SECTION] ConcurrencyLimit
//-----------------------------------------------------------------------------

ConcurrencyLimit::ConcurrencyLimit(uint32_t slots)
    : m_slots(std::max(1U, slots))
    , m_limit(m_slots)
    , m_levels(m_slots + 1)
{
}

void ConcurrencyLimit::setSlots(uint32_t slots)
{
    bool isReduced = m_limit < m_slots;
    m_slots = std::max(1U, slots);
    m_limit = isReduced ? std::min(m_limit, m_slots) : m_slots;
    m_levels.resize(m_slots + 1);
}

void ConcurrencyLimit::record(uint32_t concurrency, double logRatio, Instant now)
{
    Level& level = m_levels[std::clamp(concurrency, 1U, m_slots)];
    if (now - level.updatedAt > levelLifetime)
        level = {};
    ++level.count;
    double gain = std::max(levelGain, 1.0 / level.count);
    level.mean += gain * (std::clamp(logRatio, -maxLogRatio, maxLogRatio) - level.mean);
    level.updatedAt = now;
    if (now - m_checkedAt >= adaptInterval)
        adapt(now);
}

std::optional<double> ConcurrencyLimit::meanLogRatio(uint32_t first, uint32_t last, Instant now) const
{
    double sum = 0;
    double weight = 0;
    uint32_t count = 0;
    for (uint32_t i = std::max(1U, first); i <= last; ++i) {
        const Level& level = m_levels[i];
        if (!level.count || now - level.updatedAt > levelLifetime)
            continue;
        double levelWeight = std::min(level.count, minLevelSamples);
        sum += level.mean * levelWeight;
        weight += levelWeight;
        count += level.count;
    }
    if (count < minLevelSamples)
        return std::nullopt;
    return sum / weight;
}

void ConcurrencyLimit::adapt(Instant now)
{
    m_checkedAt = now;
    std::optional<double> ratioAtLimit = meanLogRatio(m_limit, m_limit, now);
    std::optional<double> ratioAtHalf = meanLogRatio(1, std::max(1U, m_limit / 2), now);
    if (m_limit > 1 && ratioAtLimit && ratioAtHalf && *ratioAtLimit - *ratioAtHalf > std::log(contentionRatio)) {
        m_levels[m_limit] = {}; // discards the samples, so that a later probe measures this level anew
        --m_limit;
        m_changedAt = now;
        return;
    }
    if (m_limit < m_slots && now - m_changedAt >= probeInterval) {
        ++m_limit;
        m_levels[m_limit] = {};
        m_changedAt = now;
    }
}

//-----------------------------------------------------------------------------
// [SECTION] AdmissionQueue
//-----------------------------------------------------------------------------

AdmissionQueue::AdmissionQueue(const Service& service)
    : AdmissionQueue(service.slots, service.admission)
{
}

AdmissionQueue::AdmissionQueue(uint32_t slots, const AdmissionPolicy& policy)
    : m_policy(policy)
    , m_limit(slots)
{
}

void AdmissionQueue::reconfigure(uint32_t slots, const AdmissionPolicy& policy)
{
    m_policy = policy;
    m_limit.setSlots(slots);
}

double AdmissionQueue::weightOf(size_t index) const { return std::max(1U, m_policy.weights[index]); }

Duration AdmissionQueue::highServiceTime(uint32_t workKey, Instant now) const
{
    auto it = m_estimates.find(workKey);
    if (it == m_estimates.end() || now - it->second.updatedAt > estimateLifetime)
        return Duration::zero();
    return it->second.serviceTimes.high();
}

// Estimate for scheduling and fair queuing: the median of the kind of work, or of the whole service while the kind is
// unknown.
Duration AdmissionQueue::medianServiceTime(uint32_t workKey, Instant) const
{
    auto it = m_estimates.find(workKey);
    Duration time = it == m_estimates.end() ? m_serviceWideTimes.median() : it->second.serviceTimes.median();
    return std::max(time, Duration(1));
}

bool AdmissionQueue::isLong(uint32_t workKey, Instant) const
{
    auto it = m_estimates.find(workKey);
    if (it == m_estimates.end())
        return false;
    return micros(it->second.serviceTimes.median()) > m_policy.longWorkRatio * micros(m_serviceWideTimes.median());
}

// Work that is dispatched before the request, divided by the limit: all critical work, requests of its own class with
// earlier deadlines, and work of the other classes in proportion to their weights.
Duration AdmissionQueue::predictedWait(const Waiting& request) const
{
    auto own = static_cast<size_t>(request.workClass);
    Duration ahead {};
    for (const Lane* lane : { &m_classes[own].shortWork, &m_classes[own].longWork }) {
        for (auto it = lane->begin(); it != lane->end() && *it < request; ++it)
            ahead += it->expected;
    }
    double total = micros(ahead);
    for (size_t i = 0; i < workClassCount; ++i) {
        if (i == own)
            continue;
        double work = micros(m_classes[i].work);
        if (i == static_cast<size_t>(WorkClass::Critical))
            total += work;
        else if (own != static_cast<size_t>(WorkClass::Critical))
            total += std::min(work, micros(ahead + request.expected) * weightOf(i) / weightOf(own));
    }
    if (m_running.size() >= m_limit.value())
        total += micros(m_serviceWideTimes.median()) / 2;
    return Duration(static_cast<int64_t>(total / m_limit.value()));
}

// Whether a long request may be dispatched without using the slots reserved for short work. Running requests that have
// already exceeded the threshold count as long, whatever was expected of them.
bool AdmissionQueue::mayRunLong(Instant now) const
{
    uint32_t limit = m_limit.value();
    uint32_t allowed = std::max(1U, limit - std::min(limit, m_policy.shortWorkSlots));
    double threshold = m_policy.longWorkRatio * micros(m_serviceWideTimes.median());
    auto longCount = std::count_if(m_running.begin(), m_running.end(), [&](const auto& entry) {
        return entry.second.isLong || (threshold > 0 && micros(now - entry.second.startedAt) > threshold);
    });
    return static_cast<uint32_t>(longCount) < allowed;
}

AdmissionQueue::Lane* AdmissionQueue::pickLane(ClassQueue& queue, bool longAllowed)
{
    bool useLong = longAllowed && !queue.longWork.empty();
    if (queue.shortWork.empty())
        return useLong ? &queue.longWork : nullptr;
    if (useLong && *queue.longWork.begin() < *queue.shortWork.begin())
        return &queue.longWork;
    return &queue.shortWork;
}

AdmissionQueue::ClassQueue* AdmissionQueue::pickFairClass(bool longAllowed)
{
    ClassQueue* best = nullptr;
    for (size_t i = static_cast<size_t>(WorkClass::Critical) + 1; i < workClassCount; ++i) {
        ClassQueue& queue = m_classes[i];
        if (pickLane(queue, longAllowed) && (!best || queue.virtualTime < best->virtualTime))
            best = &queue;
    }
    return best;
}

// Critical work goes first, but while it runs the other classes together accrue credit in proportion to the smallest
// weight, so that a surge of critical work does not starve them.
AdmissionQueue::ClassQueue* AdmissionQueue::pickClass(bool longAllowed)
{
    ClassQueue& critical = m_classes[static_cast<size_t>(WorkClass::Critical)];
    ClassQueue* other = pickFairClass(longAllowed);
    if (!pickLane(critical, longAllowed))
        return other;
    if (other && m_nonCriticalCredit >= micros(pickLane(*other, longAllowed)->begin()->expected))
        return other;
    return &critical;
}

const AdmissionQueue::Waiting* AdmissionQueue::pickNext(Instant now)
{
    if (m_waitingClass.empty() || m_running.size() >= m_limit.value())
        return nullptr;
    bool longAllowed = mayRunLong(now);
    ClassQueue* queue = pickClass(longAllowed);
    return queue ? &*pickLane(*queue, longAllowed)->begin() : nullptr;
}

void AdmissionQueue::enqueue(const Waiting& request, bool isLong)
{
    ClassQueue& queue = m_classes[static_cast<size_t>(request.workClass)];
    if (queue.empty())
        queue.virtualTime = std::max(queue.virtualTime, m_virtualTime); // a class earns no credit while it is idle
    (isLong ? queue.longWork : queue.shortWork).insert(request);
    queue.work += request.expected;
    m_waitingClass.emplace(request.ticket, request.workClass);
}

AdmissionQueue::Waiting AdmissionQueue::dequeue(ClassQueue& queue, Lane& lane, Lane::iterator it)
{
    Waiting request = *it;
    lane.erase(it);
    queue.work -= request.expected;
    m_waitingClass.erase(request.ticket);
    return request;
}

// Accounts the service time of a dispatched request to its class.
void AdmissionQueue::charge(ClassQueue& queue, Duration cost)
{
    auto index = static_cast<size_t>(&queue - m_classes.data());
    m_virtualTime = std::max(m_virtualTime, queue.virtualTime);
    queue.virtualTime += micros(cost) / weightOf(index);
    if (index != static_cast<size_t>(WorkClass::Critical)) {
        m_nonCriticalCredit = std::max(0.0, m_nonCriticalCredit - micros(cost));
        return;
    }
    bool othersWait = m_waitingClass.size() > queue.shortWork.size() + queue.longWork.size();
    if (!othersWait) {
        m_nonCriticalCredit = 0;
        return;
    }
    double sum = 0;
    double smallest = weightOf(0);
    for (size_t i = 0; i < workClassCount; ++i) {
        sum += weightOf(i);
        smallest = std::min(smallest, weightOf(i));
    }
    m_nonCriticalCredit += micros(cost) * smallest / sum;
}

void AdmissionQueue::dispatch(const Waiting& request, Instant now)
{
    bool hasToken = m_rate.tryTake(now);
    assert(hasToken && "dispatched without a token of the rate limit");
    (void)hasToken;
    charge(m_classes[static_cast<size_t>(request.workClass)], request.expected);
    auto concurrency = static_cast<uint32_t>(m_running.size()) + 1;
    bool isNew
        = m_running.emplace(request.ticket, Running { request.workKey, concurrency, isLong(request.workKey, now), now })
              .second;
    assert(isNew && "a ticket was offered twice");
    (void)isNew;
}

AdmissionDecision AdmissionQueue::refuse(RefusalReason reason, Duration wait) const
{
    return { AdmissionVerdict::Refuse, reason, std::clamp(wait, minRetryAfter, maxRetryAfter) };
}

// Drops the request with the latest deadline of the lowest class that has waiting requests, if that class is lower than
// the class of `request`.
bool AdmissionQueue::makeRoomFor(const Waiting& request)
{
    for (size_t i = workClassCount; --i > static_cast<size_t>(request.workClass);) {
        ClassQueue& queue = m_classes[i];
        if (queue.empty())
            continue;
        bool fromLong = !queue.longWork.empty()
            && (queue.shortWork.empty() || *queue.shortWork.rbegin() < *queue.longWork.rbegin());
        Lane& lane = fromLong ? queue.longWork : queue.shortWork;
        Waiting dropped = dequeue(queue, lane, std::prev(lane.end()));
        m_refusals.push_back({ dropped.ticket, RefusalReason::QueueFull });
        return true;
    }
    return false;
}

AdmissionDecision AdmissionQueue::offer(const AdmissionRequest& request, Instant now)
{
    Waiting waiting { request.deadline, request.ticket, request.workKey, request.workClass,
        medianServiceTime(request.workKey, now) };
    if (request.deadline <= now)
        return refuse(RefusalReason::DeadlineExceeded, {});
    dropUnreachable(now);
    if (Duration wait = rateWait(now); wait > Duration::zero()) {
        bool mayWait = request.mayWaitForRate && wait <= maxRateWait;
        return mayWait ? queueForRate(waiting, wait, now) : refuse(RefusalReason::RateLimited, wait);
    }
    if (m_running.empty() && m_waitingClass.empty()) {
        // An idle upstream accepts work even if the estimate exceeds the deadline: only new samples can correct the
        // estimate.
        dispatch(waiting, now);
        return { .verdict = AdmissionVerdict::Dispatch };
    }
    bool hasFreeSlot = m_running.size() < m_limit.value();
    bool mayRun = !isLong(request.workKey, now) || mayRunLong(now);
    if (hasFreeSlot && mayRun && m_waitingClass.empty()) {
        // A free slot that no other request waits for accepts a request whose median fits its deadline. A refusal would
        // only send the request to another upstream, where it takes as long.
        if (now + waiting.expected > request.deadline)
            return refuse(RefusalReason::DeadlineUnreachable, {});
        dispatch(waiting, now);
        return { .verdict = AdmissionVerdict::Dispatch };
    }
    Duration wait = hasFreeSlot ? Duration::zero() : predictedWait(waiting);
    if (now + wait + highServiceTime(request.workKey, now) > request.deadline)
        return refuse(RefusalReason::DeadlineUnreachable, wait);
    enqueue(waiting, isLong(request.workKey, now));
    const Waiting* next = pickNext(now);
    if (next && next->ticket == request.ticket) {
        takeReady(now);
        return { .verdict = AdmissionVerdict::Dispatch };
    }
    if (m_waitingClass.size() <= m_policy.queueLimit || makeRoomFor(waiting))
        return { .verdict = AdmissionVerdict::Queued };
    cancel(request.ticket, now);
    return refuse(RefusalReason::QueueFull, wait);
}

Duration AdmissionQueue::expectedWait(const AdmissionRequest& request, Instant now) const
{
    if (m_running.size() < m_limit.value())
        return Duration::zero();
    Waiting waiting { request.deadline, request.ticket, request.workKey, request.workClass,
        medianServiceTime(request.workKey, now) };
    return predictedWait(waiting);
}

AdmissionDecision AdmissionQueue::queueForRate(const Waiting& request, Duration wait, Instant now)
{
    if (now + wait + highServiceTime(request.workKey, now) > request.deadline)
        return refuse(RefusalReason::RateLimited, wait);
    enqueue(request, isLong(request.workKey, now));
    if (m_waitingClass.size() <= m_policy.queueLimit || makeRoomFor(request))
        return { .verdict = AdmissionVerdict::Queued };
    cancel(request.ticket, now);
    return refuse(RefusalReason::QueueFull, wait);
}

void AdmissionQueue::finish(TicketId ticket, Duration serviceTime, bool completed, Instant now)
{
    auto it = m_running.find(ticket);
    assert(it != m_running.end() && "finish without dispatch");
    if (it == m_running.end())
        return;
    Running done = it->second;
    auto concurrency = static_cast<uint32_t>(m_running.size());
    m_running.erase(it);
    if (!completed)
        return;
    WorkEstimate& estimate = m_estimates[done.workKey];
    if (estimate.serviceTimes.isKnown()) {
        double logRatio = std::log(
            std::max(1.0, micros(serviceTime)) / micros(std::max(estimate.serviceTimes.median(), Duration(1))));
        m_limit.record((done.concurrency + concurrency) / 2, logRatio, now);
    }
    estimate.serviceTimes.add(serviceTime);
    estimate.updatedAt = now;
    m_serviceWideTimes.add(serviceTime);
}

bool AdmissionQueue::cancel(TicketId ticket, Instant)
{
    auto found = m_waitingClass.find(ticket);
    if (found == m_waitingClass.end())
        return std::erase_if(m_refusals, [&](const auto& refusal) { return refusal.ticket == ticket; }) > 0;
    ClassQueue& queue = m_classes[static_cast<size_t>(found->second)];
    for (Lane* lane : { &queue.shortWork, &queue.longWork }) {
        auto it = std::find_if(lane->begin(), lane->end(), [&](const Waiting& w) { return w.ticket == ticket; });
        if (it == lane->end())
            continue;
        dequeue(queue, *lane, it);
        return true;
    }
    return false;
}

// Moves waiting requests that can no longer meet their deadline to m_refusals. Lanes are sorted by deadline, so only
// their fronts are examined.
void AdmissionQueue::dropUnreachable(Instant now)
{
    for (ClassQueue& queue : m_classes) {
        for (Lane* lane : { &queue.shortWork, &queue.longWork }) {
            while (!lane->empty()) {
                const Waiting& front = *lane->begin();
                // An idle upstream accepts work whose estimate exceeds its deadline, see offer().
                Duration needed = m_running.empty() ? Duration::zero() : highServiceTime(front.workKey, now);
                if (now + needed <= front.deadline)
                    break;
                Waiting dropped = dequeue(queue, *lane, lane->begin());
                m_refusals.push_back({ dropped.ticket, RefusalReason::DeadlineUnreachable });
            }
        }
    }
}

std::optional<TicketId> AdmissionQueue::takeReady(Instant now)
{
    bool hasToken = m_rate.timeUntil(1, now) == Duration::zero();
    if (m_running.size() >= m_limit.value() || !hasToken)
        return std::nullopt;
    dropUnreachable(now);
    const Waiting* next = pickNext(now);
    if (!next)
        return std::nullopt;
    ClassQueue& queue = m_classes[static_cast<size_t>(next->workClass)];
    bool inShort = !queue.shortWork.empty() && &*queue.shortWork.begin() == next;
    Lane& lane = inShort ? queue.shortWork : queue.longWork;
    Waiting request = dequeue(queue, lane, lane.begin());
    dispatch(request, now);
    return request.ticket;
}

std::optional<AdmissionRefusal> AdmissionQueue::takeRefusal(Instant now)
{
    dropUnreachable(now);
    if (m_refusals.empty())
        return std::nullopt;
    AdmissionRefusal refusal = m_refusals.front();
    m_refusals.pop_front();
    return refusal;
}

LoadReport AdmissionQueue::report() const
{
    return { .running = static_cast<uint32_t>(m_running.size()),
        .queued = static_cast<uint32_t>(m_waitingClass.size()),
        .limit = m_limit.value() };
}

} // namespace Gooseberrymill

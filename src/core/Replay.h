// Replays a trace in virtual time against the decision core, with a simple model of each upstream.
//
// The replay is closed-loop: every decision changes the load on which later decisions are based. Each entry
// has a balancer and one retry policy per service. Each upstream has an admission queue, a detector and a
// condition. Each entry and each upstream's executor has a crash filter. Messages between data centres take
// the network delays of the trace header. Hosts, queues of the operating system and bandwidth are not modelled.
//
// Detection can only degrade an upstream: a request for ejection is counted, but nothing is ejected, since
// rosters are not replayed. Health summaries and crash reports take the network delay and are lost on a cut
// path. Entries see the state and share that an upstream had one gossip delay ago.
//
// The policies under test are created by a factory, which is a template parameter:
//
//     struct Policies {
//         using ReadmissionPolicy = FixedReadmission;
//         std::unique_ptr<Balancer> balancer(const Location&, uint64_t seed, uint32_t entryCount) const;
//         std::unique_ptr<AdmissionQueue> admission(const Service&) const;
//         std::unique_ptr<NullDetector> detector(const Service&) const;
//         std::unique_ptr<AttemptPolicy> retry(const Service&) const;
//         ReadmissionPolicy readmission(const Service&) const;
//         std::unique_ptr<PassAllFilter> crashFilter() const;
//     };
//     ReplayResult result = replay(trace, Policies {}, {});
#pragma once

#include "AdmissionQueue.h"
#include "Balancer.h"
#include "HealthMonitor.h"
#include "QueryOfDeathFilter.h"
#include "RetryBudget.h"
#include "Trace.h"
#include "UpstreamCondition.h"
#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <queue>

namespace Gooseberrymill {

//-----------------------------------------------------------------------------
// [SECTION] Results
//-----------------------------------------------------------------------------

struct ReplayOptions {
    uint32_t entriesPerDataCentre = 2;
    uint64_t seed = 1; // seeds the balancers and the random choices of the upstream model
};

// Counts of the requests of one work class, by their result for the caller.
struct ClassOutcome {
    uint64_t offered = 0;
    uint64_t good = 0; // requests with a complete, correct response within the deadline
    uint64_t bad = 0; // requests that failed, got a wrong response or ended with an unknown outcome
    uint64_t notRun = 0; // requests that were refused without having run
    uint64_t late = 0; // requests without an answer within the deadline
    double goodShare() const { return offered ? static_cast<double>(good) / static_cast<double>(offered) : 1; }
};

// Detection of one upstream that has a fault in the trace.
struct FaultOutcome {
    size_t upstream = 0;
    Duration faultAt {};
    // Time from the fault to the first moment after which the upstream gets at most a tenth of its usual
    // requests, both in the following second and in the following 10 s; empty when there is no such moment.
    std::optional<Duration> timeToTrafficLoss;
    // Time from the fault until the executor degraded the upstream; empty when it did not.
    std::optional<Duration> timeToDegradation;
};

struct ReplayResult {
    std::array<ClassOutcome, workClassCount> classes;
    std::array<ClassOutcome, workClassCount> peakClasses; // only requests that arrive between peakStart and peakEnd
    // Service time of good responses during the peak as a share of the capacity of all slots; lowest of the services.
    double peakGoodput = 0;
    // Time from peakEnd until all queues were empty at once. Checked every 500 ms, first after the load has ramped
    // down.
    Duration drainTime {};
    uint64_t offered = 0;
    uint64_t attempts = 0; // attempts sent to executors
    double worstAmplification = 1; // highest ratio of attempts to offered requests in any 10 s
    std::vector<Duration> shortWaits; // response time minus service time of good non-straggler requests; sorted
    std::vector<Duration> queueWaits; // time from offer to dispatch at the executor, of the same requests; sorted
    uint64_t stragglers = 0;
    uint64_t stragglersGood = 0;
    std::map<std::pair<std::string, std::string>, uint64_t> crossRegionBytes; // by sending and receiving region
    std::map<RefusalReason, uint64_t> refusals; // final answers "not run", by reason
    uint64_t falseNotRun = 0; // requests answered "not run" although an upstream had started them
    uint64_t repeatedRuns = 0; // non-repeatable requests started more than once
    std::vector<uint64_t> servedAfterFault; // by upstream: requests dispatched 10 s or more after the first fault
    uint64_t wrongDelivered = 0; // wrong responses passed on to callers
    uint64_t crashes = 0;
    std::map<uint64_t, uint64_t> crashesByFingerprint; // crashes by each request that crashes upstreams
    uint64_t degradations = 0;
    uint64_t falseDegradations = 0; // degradations of upstreams that had had no fault until then
    uint64_t ejectionRequests = 0; // times that a condition began to ask for ejection
    uint64_t falseEjectionRequests = 0; // ejection requests for upstreams that had had no fault until then
    std::vector<FaultOutcome> faults; // one per upstream that is slow, fails, answers wrongly or misreports its load

    uint64_t totalCrossRegionBytes() const
    {
        uint64_t sum = 0;
        for (const auto& [regions, bytes] : crossRegionBytes)
            sum += bytes;
        return sum;
    }
};

// Returns the element at the quantile `share` (from 0 to 1), rounded down; zero when there are no elements.
inline Duration percentile(const std::vector<Duration>& sorted, double share)
{
    if (sorted.empty())
        return Duration::zero();
    return sorted[static_cast<size_t>(share * static_cast<double>(sorted.size() - 1))];
}

//-----------------------------------------------------------------------------
// [SECTION] Model
//-----------------------------------------------------------------------------

namespace detail {

constexpr Duration gossipDelay = 1s; // time until entries learn of a changed state
constexpr Duration summaryLifetime = 3s; // older summaries of peers are not passed to the detector
constexpr std::array<Duration, 2> trafficWindows { 1s, 10s }; // windows in which lost traffic is measured
constexpr double lostTrafficShare = 0.1; // an upstream with at most this share of its usual requests lost its traffic
constexpr Duration connectTimeout = 1s; // time until an attempt over a cut path fails
constexpr Duration pollInterval = 20ms; // interval at which a queue with waiting requests is served
constexpr Duration evaluateInterval = 500ms; // interval of health evaluation and of the exchange of summaries
constexpr Duration coldTime = 10s; // time after a restart in which the share ramps up and service times come down
constexpr double coldFactor = 3; // factor on the service time of an upstream that has just started
constexpr Duration shedServiceTime = 1ms; // service time of a shed request: the upstream answers 503 at once
constexpr double failedServiceTimeShare = 0.2; // service time of a failed response as a share of the usual one
constexpr uint32_t requestBytes = 512; // size of a request, and of an answer that carries no response
constexpr Duration sameDataCentreDelay = 100us; // one-way delay inside a data centre

// The comments say what Event::index refers to.
enum class EventKind : uint8_t {
    TraceStep, // trace event to apply
    EntryArrival, // request
    ExecutorArrival, // attempt
    UpstreamFinish, // attempt
    EntryAnswer, // attempt
    Deadline, // request
    PathFailed, // attempt
    Poll, // upstream whose queue is served
    Evaluate, // unused
    PublishCandidates, // unused; the present states are sent to the entries
    DeliverCandidates, // unused; the oldest states in transit reach the entries
    CrashReported, // crash report in transit
};

// A crash report on its way to one crash filter.
struct ReportInTransit {
    CrashReport report;
    size_t filter = 0;
};

// The latest health summary that one upstream's executor got from a peer.
struct PeerSummary {
    HealthSummary summary;
    Duration arrivesAt {};
    bool isKnown = false;
};

struct Event {
    Duration at {};
    uint64_t sequence = 0; // order of events at the same time
    EventKind kind = EventKind::TraceStep;
    size_t index = 0;
    bool operator>(const Event& other) const { return std::tie(at, sequence) > std::tie(other.at, other.sequence); }
};

struct Request {
    const TraceArrival* arrival = nullptr;
    size_t entry = 0;
    uint32_t attempts = 0;
    uint32_t runs = 0; // times that an upstream started it
    size_t currentAttempt = 0; // index of the latest attempt
    bool isAnswered = false;
    Outcome outcome = Outcome::NotRun; // strongest outcome of all attempts
    std::vector<std::string> triedUpstreams; // excluded from further attempts
};

enum class AttemptPhase : uint8_t { Sent, Waiting, Running, Ended };

struct Attempt {
    size_t request = 0;
    size_t upstream = 0;
    AttemptPhase phase = AttemptPhase::Sent;
    Duration offeredAt {};
    Duration dispatchedAt {};
    SampleKind kind = SampleKind::Ok;
    Outcome outcome = Outcome::NotRun;
    RefusalReason reason = RefusalReason::None;
    Duration serviceTime {};
    LoadReport load;
};

struct UpstreamModel {
    double slowFactor = 1; // factor on service times
    double failShare = 0;
    double wrongShare = 0;
    double shedShare = 0;
    bool reportsIdle = false; // load reports claim that the upstream is idle
    bool isCrashed = false;
    bool isDraining = false;
    Duration coldUntil {};
    bool isPolling = false; // a Poll event is scheduled
    bool hasNewAnswers = false; // an answer was recorded since the last verdict
    bool wantedEjection = false; // the condition asked for ejection at the last evaluation
    std::optional<Duration> faultAt; // time of the first fault
    std::optional<Duration> degradedAt; // time of the first degradation after the fault
    std::vector<size_t> running; // indexes of the attempts that are running
};

} // namespace detail

// One run of a trace. Use replay() below.
template <typename Policies> class Replay {
public:
    Replay(const Trace& trace, const Policies& policies, const ReplayOptions& options)
        : m_trace(trace)
        , m_header(trace.header)
        , m_options(options)
        , m_random(options.seed)
        , m_models(trace.header.upstreams.size())
    {
        size_t dataCentreCount = m_header.dataCentres.size();
        m_cuts.assign(dataCentreCount * dataCentreCount, false);
        auto entryCount = static_cast<uint32_t>(dataCentreCount * options.entriesPerDataCentre);
        for (size_t i = 0; i < entryCount; ++i)
            m_balancers.push_back(policies.balancer(
                m_header.dataCentres[i / options.entriesPerDataCentre], options.seed + i, entryCount));
        for (size_t i = 0; i < entryCount; ++i) {
            for (const Service& service : m_header.services)
                m_retries.push_back(policies.retry(service));
        }
        for (size_t i = 0; i < m_models.size(); ++i) {
            const Service& service = m_header.services[m_header.upstreams[i].service];
            m_queues.push_back(policies.admission(service));
            m_detectors.push_back(policies.detector(service));
            m_conditions.emplace_back(policies.readmission(service));
            m_conditions.back().started(Instant()); // long ago, so that the ramp is complete
            m_upstreamIndex.emplace(m_header.upstreams[i].name, i);
        }
        for (size_t i = 0; i < entryCount + m_models.size(); ++i)
            m_filters.push_back(policies.crashFilter());
        m_peerSummaries.resize(m_models.size() * m_models.size());
        m_dispatchTimes.resize(m_models.size());
        m_result.servedAfterFault.resize(m_models.size());
        m_peakServiceTime.resize(m_header.services.size());
    }

    ReplayResult run()
    {
        deliverCandidates(makeCandidates());
        if (!m_trace.events.empty())
            schedule(timeOf(m_trace.events.front()), Kind::TraceStep, 0);
        schedule(detail::evaluateInterval, Kind::Evaluate, 0);
        while (!m_events.empty()) {
            Event event = m_events.top();
            m_events.pop();
            m_now = event.at;
            handle(event);
        }
        summarise();
        return std::move(m_result);
    }

private:
    using Kind = detail::EventKind;
    using Event = detail::Event;
    using Request = detail::Request;
    using Attempt = detail::Attempt;
    using Phase = detail::AttemptPhase;
    using Model = detail::UpstreamModel;
    using BalancerType = typename decltype(std::declval<Policies>().balancer({}, 0, 0))::element_type;
    using AdmissionType = typename decltype(std::declval<Policies>().admission({}))::element_type;
    using DetectorType = typename decltype(std::declval<Policies>().detector({}))::element_type;
    using RetryType = typename decltype(std::declval<Policies>().retry({}))::element_type;
    using FilterType = typename decltype(std::declval<Policies>().crashFilter())::element_type;
    using Condition = BasicUpstreamCondition<typename Policies::ReadmissionPolicy>;
    static_assert(Balancing<BalancerType> && Admission<AdmissionType> && Detector<DetectorType> && Retrying<RetryType>);
    static_assert(CrashFiltering<FilterType>);

    static constexpr Duration epoch = 1000s; // offset of virtual time: the replay does not start at Instant zero

    Instant now() const { return Instant(epoch + m_now); }

    void schedule(Duration at, Kind kind, size_t index) { m_events.push({ at, ++m_sequence, kind, index }); }

    void handle(const Event& event)
    {
        switch (event.kind) {
        case Kind::TraceStep:
            return traceStep(event.index);
        case Kind::EntryArrival:
            return entryArrival(event.index);
        case Kind::ExecutorArrival:
            return executorArrival(event.index);
        case Kind::UpstreamFinish:
            return upstreamFinish(event.index);
        case Kind::EntryAnswer:
            return entryAnswer(event.index);
        case Kind::Deadline:
            return deadlinePassed(event.index);
        case Kind::PathFailed:
            return pathFailed(event.index);
        case Kind::Poll:
            m_models[event.index].isPolling = false;
            return serveQueue(event.index);
        case Kind::Evaluate:
            return evaluate();
        case Kind::PublishCandidates:
            return publishCandidates();
        case Kind::DeliverCandidates:
            deliverCandidates(m_candidatesInTransit.front());
            return m_candidatesInTransit.pop_front();
        case Kind::CrashReported:
            m_filters[m_reportsInTransit[event.index].filter]->reported(m_reportsInTransit[event.index].report, now());
            return;
        }
    }

    //-------------------------------------------------------------------------
    // [SECTION] Trace events
    //-------------------------------------------------------------------------

    void traceStep(size_t eventIndex)
    {
        if (eventIndex + 1 < m_trace.events.size())
            schedule(timeOf(m_trace.events[eventIndex + 1]), Kind::TraceStep, eventIndex + 1);
        std::visit([this](const auto& event) { apply(event); }, m_trace.events[eventIndex]);
    }

    void apply(const TraceArrival& arrival)
    {
        Request request;
        request.arrival = &arrival;
        request.entry = size_t { arrival.dataCentre } * m_options.entriesPerDataCentre
            + m_random() % m_options.entriesPerDataCentre;
        m_requests.push_back(std::move(request));
        schedule(m_now + m_header.callerDelay, Kind::EntryArrival, m_requests.size() - 1);
        ++m_result.classes[static_cast<size_t>(arrival.workClass)].offered;
        if (isInPeak(arrival.at))
            ++m_result.peakClasses[static_cast<size_t>(arrival.workClass)].offered;
        m_result.stragglers += arrival.isStraggler;
    }

    void apply(const TraceUpstreamChange& change)
    {
        Model& model = m_models[change.upstream];
        if (isFault(change) && !model.faultAt)
            model.faultAt = m_now;
        switch (change.kind) {
        case ChangeKind::Slow:
            model.slowFactor = change.value;
            return;
        case ChangeKind::Fail:
            model.failShare = change.value;
            return;
        case ChangeKind::Wrong:
            model.wrongShare = change.value;
            return;
        case ChangeKind::Shed:
            model.shedShare = change.value;
            return;
        case ChangeKind::Lie:
            model.reportsIdle = change.value != 0;
            return;
        case ChangeKind::PassChecks:
            return; // health checks are not replayed, only evidence from responses
        case ChangeKind::Crash:
            return crash(change.upstream);
        case ChangeKind::Restart:
            return restart(change.upstream);
        case ChangeKind::Drain:
            model.isDraining = true;
            return publishCandidates();
        }
    }

    // True for changes that make an upstream unhealthy, which detection should find.
    static bool isFault(const TraceUpstreamChange& change)
    {
        switch (change.kind) {
        case ChangeKind::Slow:
            return change.value > 1;
        case ChangeKind::Fail:
        case ChangeKind::Wrong:
        case ChangeKind::Lie:
            return change.value > 0;
        default:
            return false;
        }
    }

    void apply(const TracePathCut& cut) { m_cuts[cut.from * m_header.dataCentres.size() + cut.to] = cut.isCut; }

    void apply(const TraceRegionCut& cut)
    {
        size_t dataCentreCount = m_header.dataCentres.size();
        for (size_t from = 0; from < dataCentreCount; ++from) {
            for (size_t to = 0; to < dataCentreCount; ++to) {
                bool crossesCut = (m_header.dataCentres[from].region == cut.region)
                    != (m_header.dataCentres[to].region == cut.region);
                if (crossesCut)
                    m_cuts[from * dataCentreCount + to] = cut.isCut;
            }
        }
    }

    void crash(size_t upstream)
    {
        ++m_result.crashes;
        m_models[upstream].isCrashed = true;
        std::vector<size_t> running;
        running.swap(m_models[upstream].running);
        reportCrash(upstream, running);
        for (size_t attemptIndex : running) {
            m_attempts[attemptIndex].outcome = Outcome::Unknown;
            m_attempts[attemptIndex].reason = RefusalReason::UpstreamCrashed;
            m_queues[upstream]->finish(attemptIndex, m_now - m_attempts[attemptIndex].dispatchedAt, false, now());
            sendAnswer(attemptIndex);
        }
        serveQueue(upstream);
        publishCandidates();
    }

    // Every request that was running is suspected of the crash. The reports take the same paths as the answers to
    // these requests but are scheduled before them, so they arrive first.
    void reportCrash(size_t upstream, const std::vector<size_t>& running)
    {
        std::vector<Fingerprint> fingerprints;
        for (size_t attemptIndex : running) {
            const TraceArrival& arrival = *m_requests[m_attempts[attemptIndex].request].arrival;
            fingerprints.push_back(fingerprintOf(m_attempts[attemptIndex].request));
            if (arrival.isPoison)
                ++m_result.crashesByFingerprint[fingerprints.back()];
        }
        size_t ownFilter = m_balancers.size() + upstream;
        for (const CrashReport& report : m_filters[ownFilter]->crashed(
                 { m_random(), m_random() }, std::span<const Fingerprint>(fingerprints), now())) {
            for (size_t i = 0; i < m_filters.size(); ++i) {
                if (i != ownFilter)
                    sendCrashReport(report, dataCentreOfUpstream(upstream), i);
            }
        }
    }

    void sendCrashReport(const CrashReport& report, size_t from, size_t filter)
    {
        bool isEntry = filter < m_balancers.size();
        size_t to = isEntry ? dataCentreOfEntry(filter) : dataCentreOfUpstream(filter - m_balancers.size());
        if (isCut(from, to))
            return;
        m_reportsInTransit.push_back({ report, filter });
        schedule(m_now + delay(from, to), Kind::CrashReported, m_reportsInTransit.size() - 1);
    }

    // A request without a fingerprint in the trace gets a unique one.
    Fingerprint fingerprintOf(size_t request) const
    {
        constexpr Fingerprint uniqueFingerprintBit = Fingerprint { 1 } << 63;
        Fingerprint declared = m_requests[request].arrival->fingerprint;
        return declared ? declared : uniqueFingerprintBit | request;
    }

    void restart(size_t upstream)
    {
        Model& model = m_models[upstream];
        model.isCrashed = false;
        model.isDraining = false;
        model.coldUntil = m_now + detail::coldTime;
        m_detectors[upstream]->reset(now());
        setCold(upstream, true);
        m_conditions[upstream].restarted(now());
        for (Duration step = 0s; step <= detail::coldTime; step += 1s)
            schedule(m_now + step, Kind::PublishCandidates, 0);
    }

    void setCold(size_t upstream, bool isCold)
    {
        if constexpr (requires(DetectorType & detector) { detector.setCold(isCold, now()); })
            m_detectors[upstream]->setCold(isCold, now());
    }

    //-------------------------------------------------------------------------
    // [SECTION] Network
    //-------------------------------------------------------------------------

    size_t dataCentreOfEntry(size_t entry) const { return entry / m_options.entriesPerDataCentre; }
    size_t dataCentreOfUpstream(size_t upstream) const { return m_header.upstreams[upstream].dataCentre; }

    Duration delay(size_t from, size_t to) const
    {
        if (from == to)
            return detail::sameDataCentreDelay;
        bool sameRegion = m_header.dataCentres[from].region == m_header.dataCentres[to].region;
        return sameRegion ? m_header.localDelay : m_header.regionDelay;
    }

    bool isCut(size_t from, size_t to) const { return m_cuts[from * m_header.dataCentres.size() + to]; }

    void countBytes(size_t from, size_t to, uint32_t bytes)
    {
        const std::string& fromRegion = m_header.dataCentres[from].region;
        const std::string& toRegion = m_header.dataCentres[to].region;
        if (fromRegion != toRegion)
            m_result.crossRegionBytes[{ fromRegion, toRegion }] += bytes;
    }

    //-------------------------------------------------------------------------
    // [SECTION] Entry
    //-------------------------------------------------------------------------

    BalancerType& balancerOf(const Request& request) { return *m_balancers[request.entry]; }
    RetryType& retryOf(const Request& request)
    {
        return *m_retries[request.entry * m_header.services.size() + request.arrival->service];
    }

    bool isRepeatable(const Request& request) const
    {
        return m_header.services[request.arrival->service].routes[request.arrival->route].repeatable;
    }

    // Time at which the entry must have the answer, so that it reaches the caller within the deadline.
    Duration deadlineOf(const Request& request) const
    {
        return request.arrival->at + request.arrival->deadline - m_header.callerDelay;
    }

    void entryArrival(size_t requestIndex)
    {
        Request& request = m_requests[requestIndex];
        ++m_result.offered;
        countInSecond(m_offeredBySecond);
        retryOf(request).offered(now());
        schedule(deadlineOf(request), Kind::Deadline, requestIndex);
        startAttempt(requestIndex);
    }

    void startAttempt(size_t requestIndex)
    {
        Request& request = m_requests[requestIndex];
        if (m_filters[request.entry]->crashCountIfRefused(fingerprintOf(requestIndex), now()))
            return failRequest(requestIndex, RefusalReason::QueryOfDeath, SampleKind::Failed);
        BalanceRequest balanceRequest;
        balanceRequest.service = m_header.services[request.arrival->service].name;
        balanceRequest.workClass = request.arrival->workClass;
        balanceRequest.repeatable = isRepeatable(request);
        if (request.arrival->operation)
            balanceRequest.affinity = request.arrival->operation;
        balanceRequest.exclude = request.triedUpstreams;
        const Candidate* candidate = balancerOf(request).choose(balanceRequest, now());
        if (!candidate)
            return failRequest(requestIndex, RefusalReason::NoUpstream, SampleKind::Failed);
        sendAttempt(requestIndex, m_upstreamIndex.at(candidate->upstream));
    }

    void sendAttempt(size_t requestIndex, size_t upstream)
    {
        Request& request = m_requests[requestIndex];
        const std::string& name = m_header.upstreams[upstream].name;
        ++request.attempts;
        request.triedUpstreams.push_back(name);
        request.currentAttempt = m_attempts.size();
        Attempt attempt;
        attempt.request = requestIndex;
        attempt.upstream = upstream;
        m_attempts.push_back(attempt);
        balancerOf(request).started(name, now());
        size_t from = dataCentreOfEntry(request.entry);
        size_t to = dataCentreOfUpstream(upstream);
        if (isCut(from, to) || isCut(to, from)) // no connection is established
            return schedule(m_now + detail::connectTimeout, Kind::PathFailed, request.currentAttempt);
        ++m_result.attempts;
        countInSecond(m_attemptsBySecond);
        countBytes(from, to, detail::requestBytes);
        schedule(m_now + delay(from, to), Kind::ExecutorArrival, request.currentAttempt);
    }

    void pathFailed(size_t attemptIndex)
    {
        Attempt& attempt = m_attempts[attemptIndex];
        Request& request = m_requests[attempt.request];
        attempt.phase = Phase::Ended;
        balancerOf(request).abandoned(m_header.upstreams[attempt.upstream].name, now());
        balancerOf(request).pathResult(nodeOf(attempt.upstream), false, now());
        attempt.reason = RefusalReason::UpstreamUnreachable;
        if (!request.isAnswered)
            concludeAttempt(attemptIndex);
    }

    void entryAnswer(size_t attemptIndex)
    {
        Attempt& attempt = m_attempts[attemptIndex];
        Request& request = m_requests[attempt.request];
        if (request.isAnswered)
            return;
        balancerOf(request).finished(m_header.upstreams[attempt.upstream].name, attempt.load, now());
        balancerOf(request).pathResult(nodeOf(attempt.upstream), true, now());
        concludeAttempt(attemptIndex);
    }

    void concludeAttempt(size_t attemptIndex)
    {
        const Attempt attempt = m_attempts[attemptIndex];
        Request& request = m_requests[attempt.request];
        request.outcome = std::max(request.outcome, attempt.outcome);
        if (attempt.outcome == Outcome::Ran && attempt.kind == SampleKind::Ok)
            return succeedRequest(attempt.request, attempt);
        AttemptState state;
        state.repeatable = isRepeatable(request);
        state.outcome = request.outcome;
        state.attempts = request.attempts;
        state.deadlineLeft = deadlineOf(request) - m_now;
        if (retryOf(request).mayRetry(state, now()))
            return this->startAttempt(attempt.request);
        failRequest(attempt.request, attempt.reason, attempt.kind);
    }

    void succeedRequest(size_t requestIndex, const Attempt& attempt)
    {
        Request& request = m_requests[requestIndex];
        request.isAnswered = true;
        m_filters[request.entry]->succeeded(fingerprintOf(requestIndex));
        const TraceArrival& arrival = *request.arrival;
        forEachOutcome(arrival, [](ClassOutcome& outcome) { ++outcome.good; });
        if (isInFullPeak(m_now))
            m_peakServiceTime[arrival.service] += static_cast<double>(arrival.demand.count());
        if (arrival.isStraggler) {
            ++m_result.stragglersGood;
            return;
        }
        m_result.shortWaits.push_back(m_now + m_header.callerDelay - arrival.at - attempt.serviceTime);
        m_result.queueWaits.push_back(attempt.dispatchedAt - attempt.offeredAt);
    }

    // Ends a request with a failed, wrong or unknown response, or with a refusal.
    void failRequest(size_t requestIndex, RefusalReason reason, SampleKind kind)
    {
        Request& request = m_requests[requestIndex];
        request.isAnswered = true;
        bool notRun = request.outcome == Outcome::NotRun;
        forEachOutcome(*request.arrival, [&](ClassOutcome& outcome) { ++(notRun ? outcome.notRun : outcome.bad); });
        m_result.wrongDelivered += !notRun && kind == SampleKind::Wrong;
        if (!notRun)
            return;
        ++m_result.refusals[reason];
        m_result.falseNotRun += request.runs > 0;
    }

    void deadlinePassed(size_t requestIndex)
    {
        Request& request = m_requests[requestIndex];
        if (request.isAnswered)
            return;
        request.isAnswered = true;
        forEachOutcome(*request.arrival, [](ClassOutcome& outcome) { ++outcome.late; });
        if (!request.attempts)
            return;
        Attempt& attempt = m_attempts[request.currentAttempt];
        balancerOf(request).abandoned(m_header.upstreams[attempt.upstream].name, now());
        size_t from = dataCentreOfEntry(request.entry);
        if (isCut(from, dataCentreOfUpstream(attempt.upstream)))
            return;
        cancelAtExecutor(request.currentAttempt);
    }

    // The executor learns that the caller no longer waits. A running operation that is not repeatable continues.
    void cancelAtExecutor(size_t attemptIndex)
    {
        Attempt& attempt = m_attempts[attemptIndex];
        size_t upstream = attempt.upstream;
        if (attempt.phase == Phase::Waiting) {
            attempt.phase = Phase::Ended;
            m_queues[upstream]->cancel(attemptIndex, now());
        } else if (attempt.phase == Phase::Running && isRepeatable(m_requests[attempt.request])) {
            attempt.phase = Phase::Ended;
            std::erase(m_models[upstream].running, attemptIndex);
            m_queues[upstream]->finish(attemptIndex, m_now - attempt.dispatchedAt, false, now());
        }
        serveQueue(upstream);
    }

    //-------------------------------------------------------------------------
    // [SECTION] Executor and upstream
    //-------------------------------------------------------------------------

    UpstreamState stateOf(size_t upstream) const
    {
        const Model& model = m_models[upstream];
        if (model.isCrashed)
            return UpstreamState::Gone;
        if (model.isDraining)
            return UpstreamState::Draining;
        return m_conditions[upstream].state();
    }

    void executorArrival(size_t attemptIndex)
    {
        Attempt& attempt = m_attempts[attemptIndex];
        const Request& request = m_requests[attempt.request];
        size_t upstream = attempt.upstream;
        attempt.offeredAt = m_now;
        UpstreamState state = stateOf(upstream);
        if (state == UpstreamState::Gone)
            return refuse(attemptIndex, RefusalReason::UpstreamUnreachable);
        if (state == UpstreamState::Draining)
            return refuse(attemptIndex, RefusalReason::Draining);
        if (m_filters[m_balancers.size() + upstream]->crashCountIfRefused(fingerprintOf(attempt.request), now()))
            return refuse(attemptIndex, RefusalReason::QueryOfDeath);
        Duration returnDelay = delay(dataCentreOfUpstream(upstream), dataCentreOfEntry(request.entry));
        AdmissionRequest admissionRequest;
        admissionRequest.ticket = attemptIndex;
        admissionRequest.workClass = request.arrival->workClass;
        admissionRequest.workKey = request.arrival->route;
        admissionRequest.deadline = Instant(epoch + deadlineOf(request) - returnDelay);
        AdmissionDecision decision = m_queues[upstream]->offer(admissionRequest, now());
        if (decision.verdict == AdmissionVerdict::Refuse)
            refuse(attemptIndex, decision.reason);
        else if (decision.verdict == AdmissionVerdict::Dispatch)
            dispatch(attemptIndex);
        else
            attempt.phase = Phase::Waiting;
        serveQueue(upstream);
    }

    void refuse(size_t attemptIndex, RefusalReason reason)
    {
        m_attempts[attemptIndex].outcome = Outcome::NotRun;
        m_attempts[attemptIndex].reason = reason;
        sendAnswer(attemptIndex);
    }

    // Rejects queued requests that cannot be answered in time and dispatches those that get a slot.
    void serveQueue(size_t upstream)
    {
        auto& queue = *m_queues[upstream];
        while (auto refusal = queue.takeRefusal(now()))
            refuse(refusal->ticket, refusal->reason);
        while (auto ticket = queue.takeReady(now()))
            dispatchQueued(*ticket);
        while (auto refusal = queue.takeRefusal(now()))
            refuse(refusal->ticket, refusal->reason);
        Model& model = m_models[upstream];
        if (queue.report().queued && !model.isPolling) {
            model.isPolling = true;
            schedule(m_now + detail::pollInterval, Kind::Poll, upstream);
        }
    }

    // A queued request got a slot. The upstream may have crashed in the meantime.
    void dispatchQueued(size_t attemptIndex)
    {
        if (!m_models[m_attempts[attemptIndex].upstream].isCrashed)
            return dispatch(attemptIndex);
        m_queues[m_attempts[attemptIndex].upstream]->finish(attemptIndex, Duration::zero(), false, now());
        refuse(attemptIndex, RefusalReason::UpstreamUnreachable);
    }

    void dispatch(size_t attemptIndex)
    {
        Attempt& attempt = m_attempts[attemptIndex];
        Request& request = m_requests[attempt.request];
        Model& model = m_models[attempt.upstream];
        attempt.phase = Phase::Running;
        attempt.dispatchedAt = m_now;
        attempt.outcome = Outcome::Ran;
        model.running.push_back(attemptIndex);
        m_dispatchTimes[attempt.upstream].push_back(m_now);
        m_result.repeatedRuns += ++request.runs > 1 && !isRepeatable(request);
        if (m_header.faultAt > Duration::zero() && m_now >= m_header.faultAt + 10s)
            ++m_result.servedAfterFault[attempt.upstream];
        attempt.kind = drawSampleKind(model);
        attempt.serviceTime = serviceTime(attempt.upstream, *request.arrival, attempt.kind);
        schedule(m_now + attempt.serviceTime, Kind::UpstreamFinish, attemptIndex);
    }

    // Draws the kind of the next response at random.
    SampleKind drawSampleKind(const Model& model)
    {
        double value = std::uniform_real_distribution<>()(m_random);
        if (value < model.shedShare)
            return SampleKind::Shed;
        value -= model.shedShare;
        if (value < model.failShare)
            return SampleKind::Failed;
        value -= model.failShare;
        return value < model.wrongShare ? SampleKind::Wrong : SampleKind::Ok;
    }

    Duration serviceTime(size_t upstream, const TraceArrival& arrival, SampleKind kind) const
    {
        if (kind == SampleKind::Shed)
            return detail::shedServiceTime;
        const Model& model = m_models[upstream];
        double time = static_cast<double>(arrival.demand.count()) * model.slowFactor;
        time *= std::max(1.0, static_cast<double>(model.running.size()) / m_header.upstreams[upstream].realSlots);
        if (model.coldUntil > m_now) {
            double coldRemaining = static_cast<double>((model.coldUntil - m_now).count()) / detail::coldTime.count();
            time *= 1 + (detail::coldFactor - 1) * coldRemaining;
        }
        if (kind == SampleKind::Failed)
            time *= detail::failedServiceTimeShare;
        return Duration(static_cast<int64_t>(time) + 1);
    }

    void upstreamFinish(size_t attemptIndex)
    {
        Attempt& attempt = m_attempts[attemptIndex];
        if (attempt.phase != Phase::Running)
            return;
        size_t upstream = attempt.upstream;
        const TraceArrival& arrival = *m_requests[attempt.request].arrival;
        if (arrival.isPoison) {
            crash(upstream);
            TraceUpstreamChange restartChange;
            restartChange.upstream = static_cast<uint16_t>(upstream);
            restartChange.kind = ChangeKind::Restart;
            return restart(upstream);
        }
        std::erase(m_models[upstream].running, attemptIndex);
        m_filters[m_balancers.size() + upstream]->succeeded(fingerprintOf(attempt.request));
        m_models[upstream].hasNewAnswers = true;
        m_detectors[upstream]->record({ attempt.kind, arrival.route, attempt.serviceTime }, now());
        bool completed = attempt.kind == SampleKind::Ok || attempt.kind == SampleKind::Wrong;
        m_queues[upstream]->finish(attemptIndex, attempt.serviceTime, completed, now());
        sendAnswer(attemptIndex);
        serveQueue(upstream);
    }

    // Sends the response or refusal to the entry, with a load report.
    void sendAnswer(size_t attemptIndex)
    {
        Attempt& attempt = m_attempts[attemptIndex];
        attempt.phase = Phase::Ended;
        size_t upstream = attempt.upstream;
        attempt.load = m_queues[upstream]->report();
        attempt.load.state = stateOf(upstream);
        if (m_models[upstream].reportsIdle)
            attempt.load.running = attempt.load.queued = 0;
        const Request& request = m_requests[attempt.request];
        size_t from = dataCentreOfUpstream(upstream);
        size_t to = dataCentreOfEntry(request.entry);
        bool isResponse = attempt.outcome == Outcome::Ran;
        countBytes(from, to, isResponse ? request.arrival->responseBytes : detail::requestBytes);
        if (!isCut(from, to))
            schedule(m_now + delay(from, to), Kind::EntryAnswer, attemptIndex);
    }

    //-------------------------------------------------------------------------
    // [SECTION] Detection
    //-------------------------------------------------------------------------

    static constexpr bool hasSummaries = requires(DetectorType & detector)
    {
        detector.summary(std::string_view(), Instant());
    };

    // The summary that the executor of one upstream got from the executor of another.
    detail::PeerSummary& peerSummary(size_t receiver, size_t sender)
    {
        return m_peerSummaries[receiver * m_models.size() + sender];
    }

    std::vector<HealthSummary> freshSummaries(size_t upstream)
    {
        std::vector<HealthSummary> peers;
        for (size_t i = 0; hasSummaries && i < m_models.size(); ++i) {
            const detail::PeerSummary& it = peerSummary(upstream, i);
            if (it.isKnown && it.arrivesAt <= m_now && m_now - it.arrivesAt <= detail::summaryLifetime)
                peers.push_back(it.summary);
        }
        return peers;
    }

    // The exchange interval is longer than any network delay, so at most one summary per pair of upstreams is in
    // transit, and a single PeerSummary per pair suffices.
    void sendSummaries()
    {
        if constexpr (hasSummaries) {
            for (size_t from = 0; from < m_models.size(); ++from) {
                if (m_models[from].isCrashed)
                    continue;
                HealthSummary summary = m_detectors[from]->summary(m_header.upstreams[from].name, now());
                for (size_t to = 0; to < m_models.size(); ++to) {
                    size_t fromDataCentre = dataCentreOfUpstream(from);
                    size_t toDataCentre = dataCentreOfUpstream(to);
                    if (to != from && m_header.upstreams[to].service == m_header.upstreams[from].service
                        && !isCut(fromDataCentre, toDataCentre))
                        peerSummary(to, from) = { summary, m_now + delay(fromDataCentre, toDataCentre), true };
                }
            }
        }
    }

    // Evaluates the health of all upstreams, exchanges summaries and checks whether the queues have drained.
    void evaluate()
    {
        bool isRamping = false;
        for (size_t i = 0; i < m_models.size(); ++i) {
            evaluateUpstream(i);
            isRamping
                = isRamping || (m_conditions[i].state() == UpstreamState::Ready && m_conditions[i].share(now()) < 1);
        }
        if (isRamping)
            publishCandidates();
        sendSummaries();
        if (!m_isDrained && m_now >= m_header.peakEnd + peakRamp)
            checkDrained();
        if (m_now < m_header.duration)
            schedule(m_now + detail::evaluateInterval, Kind::Evaluate, 0);
    }

    // Passes the verdict of the detector on to the condition, and ends the cold state in time.
    void evaluateUpstream(size_t upstream)
    {
        Model& model = m_models[upstream];
        Condition& condition = m_conditions[upstream];
        if (model.isCrashed)
            return;
        UpstreamState before = condition.state();
        if (before == UpstreamState::Cold && m_now >= model.coldUntil) {
            condition.started(now());
            setCold(upstream, false);
        }
        Verdict verdict = m_detectors[upstream]->evaluate(freshSummaries(upstream), now());
        condition.verdict(model.hasNewAnswers ? verdict : Verdict::Healthy, now());
        model.hasNewAnswers = false;
        if (before == UpstreamState::Degraded && condition.state() == UpstreamState::Ready)
            m_detectors[upstream]->reset(now()); // evidence from before the readmission must not degrade it again
        if (before != condition.state())
            publishCandidates();
        countDetections(upstream, before);
    }

    // Counts a degradation or a request for ejection that the latest verdict brought about.
    void countDetections(size_t upstream, UpstreamState before)
    {
        Model& model = m_models[upstream];
        const Condition& condition = m_conditions[upstream];
        if (condition.state() == UpstreamState::Degraded && before != UpstreamState::Degraded) {
            ++m_result.degradations;
            m_result.falseDegradations += !model.faultAt;
            if (model.faultAt && !model.degradedAt)
                model.degradedAt = m_now;
        }
        bool isEjectionWanted = condition.wantsEjection();
        if (isEjectionWanted && !model.wantedEjection) {
            ++m_result.ejectionRequests;
            m_result.falseEjectionRequests += !model.faultAt;
        }
        model.wantedEjection = isEjectionWanted;
    }

    // Extends the drain time to the present. No further check follows once all queues are empty.
    void checkDrained()
    {
        auto isEmpty = [](const auto& queue) { return !queue->report().queued; };
        m_isDrained = std::all_of(m_queues.begin(), m_queues.end(), isEmpty);
        m_result.drainTime = m_now - m_header.peakEnd;
    }

    std::string nodeOf(size_t upstream) const { return "node-" + m_header.upstreams[upstream].name; }

    // Sends the present states of all upstreams to the entries, which learn them after the gossip delay.
    void publishCandidates()
    {
        m_candidatesInTransit.push_back(makeCandidates());
        schedule(m_now + detail::gossipDelay, Kind::DeliverCandidates, 0);
    }

    void deliverCandidates(const std::shared_ptr<const CandidateList>& candidates)
    {
        for (auto& balancer : m_balancers)
            balancer->setCandidates(candidates, now());
    }

    std::shared_ptr<const CandidateList> makeCandidates() const
    {
        auto candidates = std::make_shared<CandidateList>();
        for (size_t i = 0; i < m_models.size(); ++i) {
            const TraceUpstream& upstream = m_header.upstreams[i];
            Candidate candidate;
            candidate.upstream = upstream.name;
            candidate.service = m_header.services[upstream.service].name;
            candidate.node = nodeOf(i);
            candidate.location = m_header.dataCentres[upstream.dataCentre];
            candidate.slots = upstream.slots;
            candidate.state = stateOf(i);
            if (candidate.state == UpstreamState::Ready)
                candidate.share = m_conditions[i].share(now());
            if (m_models[i].coldUntil > m_now) {
                double coldRemaining
                    = static_cast<double>((m_models[i].coldUntil - m_now).count()) / detail::coldTime.count();
                candidate.share = std::clamp(1 - coldRemaining, 0.1, 1.0);
            }
            candidates->push_back(std::move(candidate));
        }
        std::sort(candidates->begin(), candidates->end(), [](const Candidate& a, const Candidate& b) {
            return std::tie(a.service, a.upstream) < std::tie(b.service, b.upstream);
        });
        return candidates;
    }

    //-------------------------------------------------------------------------
    // [SECTION] Outcomes
    //-------------------------------------------------------------------------

    static constexpr Duration peakRamp = 2s; // time in which the load rises to the peak, and in which it falls again

    bool isInPeak(Duration at) const { return at >= m_header.peakStart && at < m_header.peakEnd; }
    bool isInFullPeak(Duration at) const { return at >= m_header.peakStart + peakRamp && at < m_header.peakEnd; }

    // Calls `function` for each ClassOutcome that counts this request.
    template <typename Function> void forEachOutcome(const TraceArrival& arrival, Function function)
    {
        auto index = static_cast<size_t>(arrival.workClass);
        function(m_result.classes[index]);
        if (isInPeak(arrival.at))
            function(m_result.peakClasses[index]);
    }

    void countInSecond(std::vector<uint64_t>& bySecond) const
    {
        auto second = static_cast<size_t>(m_now / 1s);
        if (bySecond.size() <= second)
            bySecond.resize(second + 1);
        ++bySecond[second];
    }

    // See FaultOutcome. The usual request rate is the mean rate before the fault.
    std::optional<Duration> timeToTrafficLoss(const std::vector<Duration>& dispatches, Duration faultAt) const
    {
        auto fault = std::lower_bound(dispatches.begin(), dispatches.end(), faultAt);
        double allowedPerMicrosecond = detail::lostTrafficShare * static_cast<double>(fault - dispatches.begin())
            / static_cast<double>(faultAt.count());
        Duration start = faultAt;
        for (auto it = fault; start + detail::trafficWindows.back() <= m_header.duration; ++it) {
            auto isLow = [&](Duration window) {
                auto end = std::upper_bound(it, dispatches.end(), start + window);
                return static_cast<double>(end - it) <= allowedPerMicrosecond * static_cast<double>(window.count());
            };
            if (std::all_of(detail::trafficWindows.begin(), detail::trafficWindows.end(), isLow))
                return start - faultAt;
            start = *it; // the next windows to check begin just after this request
        }
        return std::nullopt;
    }

    void summariseFaults()
    {
        for (size_t i = 0; i < m_models.size(); ++i) {
            const Model& model = m_models[i];
            if (!model.faultAt)
                continue;
            FaultOutcome outcome { i, *model.faultAt, timeToTrafficLoss(m_dispatchTimes[i], *model.faultAt), {} };
            if (model.degradedAt)
                outcome.timeToDegradation = *model.degradedAt - *model.faultAt;
            m_result.faults.push_back(outcome);
        }
    }

    void summarise()
    {
        summariseFaults();
        std::sort(m_result.shortWaits.begin(), m_result.shortWaits.end());
        std::sort(m_result.queueWaits.begin(), m_result.queueWaits.end());
        if (m_header.peakEnd > m_header.peakStart)
            summarisePeak();
        constexpr size_t window = 10;
        m_attemptsBySecond.resize(m_offeredBySecond.size());
        for (size_t i = 0; i + window <= m_offeredBySecond.size(); ++i) {
            uint64_t offered = 0;
            uint64_t attempts = 0;
            for (size_t n = i; n < i + window; ++n) {
                offered += m_offeredBySecond[n];
                attempts += m_attemptsBySecond[n];
            }
            if (offered)
                m_result.worstAmplification = std::max(
                    m_result.worstAmplification, static_cast<double>(attempts) / static_cast<double>(offered));
        }
    }

    void summarisePeak()
    {
        double length = static_cast<double>((m_header.peakEnd - m_header.peakStart - peakRamp).count());
        m_result.peakGoodput = 1;
        for (size_t i = 0; i < m_peakServiceTime.size(); ++i) {
            double slots = 0;
            for (const TraceUpstream& upstream : m_header.upstreams)
                slots += upstream.service == i ? upstream.realSlots : 0;
            m_result.peakGoodput = std::min(m_result.peakGoodput, m_peakServiceTime[i] / (slots * length));
        }
    }

    const Trace& m_trace;
    const TraceHeader& m_header;
    ReplayOptions m_options;
    std::mt19937_64 m_random;
    Duration m_now {};
    uint64_t m_sequence = 0;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::vector<bool> m_cuts; // indexed by sending data centre * number of data centres + receiving one
    std::vector<std::unique_ptr<BalancerType>> m_balancers; // indexed by entry
    std::vector<std::unique_ptr<RetryType>> m_retries; // indexed by entry * number of services + service
    std::vector<std::unique_ptr<AdmissionType>> m_queues; // indexed by upstream
    std::vector<std::unique_ptr<DetectorType>> m_detectors; // indexed by upstream
    std::vector<Condition> m_conditions; // indexed by upstream
    std::vector<std::unique_ptr<FilterType>> m_filters; // one per entry, followed by one per upstream
    std::vector<detail::ReportInTransit> m_reportsInTransit; // indexed by events; reports that have arrived stay
    std::vector<detail::PeerSummary> m_peerSummaries; // see peerSummary()
    std::deque<std::shared_ptr<const CandidateList>> m_candidatesInTransit; // published, not yet at the entries
    std::vector<std::vector<Duration>> m_dispatchTimes; // indexed by upstream; times of dispatch
    std::vector<Model> m_models; // indexed by upstream
    std::unordered_map<std::string, size_t> m_upstreamIndex;
    std::vector<Request> m_requests;
    std::vector<Attempt> m_attempts;
    std::vector<double> m_peakServiceTime; // indexed by service; sum over good responses, microseconds
    std::vector<uint64_t> m_offeredBySecond;
    std::vector<uint64_t> m_attemptsBySecond;
    bool m_isDrained = false;
    ReplayResult m_result;
};

// Replays a trace with the policies that the factory `policies` creates (see the top of this file).
template <typename Policies>
ReplayResult replay(const Trace& trace, const Policies& policies, const ReplayOptions& options = {})
{
    return Replay<Policies>(trace, policies, options).run();
}

//-----------------------------------------------------------------------------
// [SECTION] Policies
//-----------------------------------------------------------------------------

// A factory for replay() that creates policies of the given types with the settings of each service.
template <typename BalancerType, typename AdmissionType, typename DetectorType, typename RetryType,
    Readmission ReadmissionType = FixedReadmission, CrashFiltering FilterType = PassAllFilter>
struct ReplayPolicies {
    using ReadmissionPolicy = ReadmissionType;

    std::unique_ptr<BalancerType> balancer(const Location& location, uint64_t seed, uint32_t entryCount) const
    {
        if constexpr (std::is_constructible_v<BalancerType, Location, uint64_t, BalancerOptions>) {
            BalancerOptions options;
            options.entryCount = entryCount;
            return std::make_unique<BalancerType>(location, seed, options);
        } else {
            (void)entryCount;
            return std::make_unique<BalancerType>(location, seed);
        }
    }
    std::unique_ptr<AdmissionType> admission(const Service& service) const
    {
        return std::make_unique<AdmissionType>(service);
    }
    std::unique_ptr<DetectorType> detector(const Service& service) const
    {
        if constexpr (std::is_constructible_v<DetectorType, HealthMonitorOptions>) {
            HealthMonitorOptions options;
            options.policy = service.detection;
            return std::make_unique<DetectorType>(options);
        } else {
            return std::make_unique<DetectorType>(service.detection);
        }
    }
    ReadmissionType readmission(const Service& service) const
    {
        if constexpr (std::is_constructible_v<ReadmissionType, DetectionPolicy>)
            return ReadmissionType(service.detection);
        else
            return ReadmissionType();
    }
    std::unique_ptr<FilterType> crashFilter() const { return std::make_unique<FilterType>(); }
    std::unique_ptr<RetryType> retry(const Service& service) const
    {
        return std::make_unique<RetryType>(service.retry);
    }
};

} // namespace Gooseberrymill

#include "HealthMonitor.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace Gooseberrymill {

namespace {

constexpr double secondsPerYear = 365.25 * 86400;
constexpr double minSamplesPerSecond = 0.1; // lower bound of the rate in the threshold, until a rate is known
constexpr double rateSeconds = 60; // time constant of the answer rate estimate
constexpr double centreSeconds = 30; // time constant of the moving average of the peers' median
constexpr double longTermAnswers = 3000; // averaging length of the peers' long-term failure shares, in answers
constexpr double minBadShare = 0.001; // share of failures expected of every upstream
constexpr double badShareMargin = 1.5; // factor on the peers' long-term failure share
constexpr double recentAnswers = 10; // averaging length of the peers' recent failure shares, in answers
constexpr double recentMargin = 1.2; // factor on the peers' recent failure share
constexpr double maxSingleShare = 0.03; // largest share attributed to a single bad answer
// Smallest difference of the failure shares under the hypotheses healthy and unhealthy. Below it the failure test is
// off, because a failing upstream does not stand out in a service that fails as a whole.
constexpr double minBadDifference = 0.05;
constexpr double stragglerAllowance = 0.05; // share of slow answers expected beyond the tail of the normal distribution
constexpr double slowShareMargin = 1.5; // factor on the upstream's own long-term share of slow answers
constexpr double slowShareWeight = 1.0 / 500; // weight of an answer in the upstream's own share of slow answers
constexpr double ownShareWeight = 1.0 / 20; // weight of an answer in the averages that give the severity
constexpr double maxUnhealthyShare = 0.95; // largest share of slow answers expected of an unhealthy upstream
constexpr double minShareDifference = 0.25; // below it the hypotheses healthy and slow are too close to test
constexpr double learningLimit = 1.0 / 3; // of the CUSUM limit; above it the upstream's own slow share is not updated
constexpr double clearLimit = 0.5; // hysteresis: below this share of the Suspect threshold the verdict is Healthy
constexpr double statisticLimit = 1.25; // CUSUM limit, relative to the Unhealthy threshold; bounds the recovery time
constexpr double severityPerBadShare = 8; // makes a failure share of 0.2 as severe as a slowdown by five
constexpr double quartileRangeOfNormal = 1.349; // interquartile range of the standard normal distribution
constexpr double minLogDeviation = 0.1; // lower bound of the standard deviation of log service times
constexpr uint32_t minPeerAnswers = 4; // answers of all peers together that a comparison needs
constexpr size_t laterAnswers = 3; // number of later answers before an answer is tested
constexpr size_t windowAnswers = 4; // number of latest answers kept in the window although they are older than it
constexpr size_t maxAnswers = 512; // bounds memory per kind of work
constexpr size_t varianceAnswers = 64; // number of recent service times behind the variance
constexpr size_t timesPerUpdate = 8; // number of new service times until the variance is computed again
constexpr size_t maxWork = 64; // largest number of kinds of work tracked; the least recently used one is replaced
constexpr Duration maxWindow = 60s; // answers older than this never stay in the window
constexpr Duration maxPending = 30s; // an answer this old is tested without later ones, or dropped without a reference
constexpr Duration peerLifetime = 1min; // a peer without summaries for this long is removed
constexpr Duration workLifetime = 10min; // a kind of work without answers for this long is removed

double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

double normalTail(double z) { return 0.5 * std::erfc(z / std::sqrt(2.0)); }

struct Weighted {
    double value = 0;
    double weight = 0;
};

double weightedMedian(std::vector<Weighted>& items)
{
    std::ranges::sort(items, {}, &Weighted::value);
    double half = 0;
    for (const Weighted& it : items)
        half += it.weight / 2;
    double sum = 0;
    for (const Weighted& it : items) {
        sum += it.weight;
        if (sum >= half)
            return it.value;
    }
    return items.back().value;
}

const WorkSummary* findWork(const HealthSummary& summary, uint32_t key)
{
    auto it = std::ranges::find(summary.work, key, &WorkSummary::workKey);
    return it == summary.work.end() || !it->count ? nullptr : &*it;
}

// Standard deviation of the normal distribution that has the interquartile range of the values.
double quartileDeviation(const std::deque<float>& values)
{
    std::vector<float> sorted(values.begin(), values.end());
    std::ranges::sort(sorted);
    return (sorted[sorted.size() * 3 / 4] - sorted[sorted.size() / 4]) / quartileRangeOfNormal;
}

// Mean without the largest quarter of the shares. A few unhealthy peers do not raise it and so do not hide
// another unhealthy upstream, while a failure of the whole service does raise it.
double trimmedMean(std::vector<double>& shares)
{
    if (shares.empty())
        return 0;
    std::ranges::sort(shares);
    size_t kept = shares.size() - shares.size() / 4;
    double sum = 0;
    for (size_t i = 0; i < kept; ++i)
        sum += shares[i];
    return sum / static_cast<double>(kept);
}

} // namespace

double alarmThreshold(double samplesPerSecond, double tests, double falseAlarmsPerYear)
{
    assert(falseAlarmsPerYear > 0);
    double samples = std::max(samplesPerSecond, minSamplesPerSecond) * secondsPerYear;
    return std::log(std::max(samples * tests / falseAlarmsPerYear, 2.0));
}

void BernoulliCusum::add(bool bad, double healthyShare, double unhealthyShare, double limit)
{
    double ratio = bad ? std::log(unhealthyShare / healthyShare) : std::log((1 - unhealthyShare) / (1 - healthyShare));
    m_value = std::clamp(m_value + ratio, 0.0, limit);
}

HealthMonitor::HealthMonitor(const HealthMonitorOptions& options)
    : m_options(options)
{
}

HealthMonitor::Work& HealthMonitor::workFor(uint32_t key, Instant now)
{
    auto it = std::ranges::find(m_work, key, &Work::key);
    if (it != m_work.end())
        return *it;
    if (m_work.size() >= maxWork)
        m_work.erase(std::ranges::min_element(m_work, {}, &Work::lastAt));
    Work& work = m_work.emplace_back();
    work.key = key;
    work.firstAt = now;
    work.lastAt = now;
    work.referenceAt = now;
    return work;
}

void HealthMonitor::record(const Sample& sample, Instant now)
{
    if (m_isCold || sample.kind == SampleKind::Shed || sample.kind == SampleKind::Cancelled)
        return;
    Work& work = workFor(sample.workKey, now);
    assert(now >= work.lastAt);
    work.arrivals = work.arrivals * std::exp(-seconds(now - work.lastAt) / rateSeconds) + 1;
    work.lastAt = now;

    Answer answer { now, 0, sample.kind != SampleKind::Ok };
    answer.logTime = static_cast<float>(std::log(std::max<double>(1, static_cast<double>(sample.serviceTime.count()))));
    work.window.push_back(answer);
    if (work.window.size() > maxAnswers)
        work.window.pop_front();
    // When full, the new answer is skipped. If the oldest were dropped instead, no answer would get old enough to be
    // tested when more than maxAnswers arrive within the evaluation delay.
    if (work.pending.size() < maxAnswers)
        work.pending.push_back(answer);
    if (answer.bad)
        return;
    work.times.push_back(answer.logTime);
    ++work.newTimes;
    if (work.times.size() > varianceAnswers)
        work.times.pop_front();
}

double HealthMonitor::samplesPerSecond(const Work& work, Instant now) const
{
    double age = std::max(1.0, seconds(now - work.firstAt));
    double decayed = work.arrivals * std::exp(-seconds(now - work.lastAt) / rateSeconds);
    return decayed / (rateSeconds * (1 - std::exp(-age / rateSeconds)));
}

double HealthMonitor::threshold(const Work& work, double alarmFactor, Instant now) const
{
    double tests = 2.0 * static_cast<double>(m_work.size());
    return alarmThreshold(
        samplesPerSecond(work, now), tests, alarmFactor * m_options.policy.falseAlarmsPerUpstreamYear);
}

void HealthMonitor::updatePeerShares(
    Work& work, std::span<const HealthSummary> peers, double elapsed, Instant now) const
{
    double answers = elapsed * samplesPerSecond(work, now);
    double weight = 1 - std::exp(-answers / longTermAnswers);
    double recentWeight = 1 - std::exp(-answers / recentAnswers);
    for (const HealthSummary& peer : peers) {
        const WorkSummary* summary = findWork(peer, work.key);
        if (!summary)
            continue;
        auto it = std::ranges::find(work.peers, peer.upstream, &PeerShare::upstream);
        if (it == work.peers.end())
            it = work.peers.insert(work.peers.end(), { peer.upstream, minBadShare, minBadShare, now });
        double share = static_cast<double>(summary->bad) / summary->count;
        it->share += weight * (share - it->share);
        it->recent += recentWeight * (share - it->recent);
        it->seen = now;
    }
    std::erase_if(work.peers, [now](const PeerShare& it) { return now - it.seen > peerLifetime; });
}

double HealthMonitor::expectedBadShare(const Work& work) const
{
    std::vector<Weighted> longTerm;
    std::vector<double> recent;
    for (const PeerShare& it : work.peers) {
        longTerm.push_back({ it.share, 1 });
        recent.push_back(it.recent);
    }
    if (longTerm.empty())
        return minBadShare;
    // Deducts the weight of one bad answer, because a single one does not indicate a service-wide failure.
    double single = std::min(maxSingleShare, 1 / (recentAnswers * static_cast<double>(recent.size())));
    return std::max(
        { minBadShare, badShareMargin * weightedMedian(longTerm), recentMargin * (trimmedMean(recent) - single) });
}

std::optional<HealthMonitor::Reference> HealthMonitor::reference(
    Work& work, std::span<const HealthSummary> peers, Instant now) const
{
    std::vector<Weighted> centres;
    std::vector<Weighted> variances;
    uint32_t answers = 0;
    for (const HealthSummary& peer : peers) {
        const WorkSummary* summary = findWork(peer, work.key);
        if (!summary)
            continue;
        answers += summary->count;
        uint32_t good = summary->count - std::min(summary->count, summary->bad);
        if (!good)
            continue;
        centres.push_back({ summary->logMean, static_cast<double>(good) });
        variances.push_back({ summary->logVariance, static_cast<double>(good) });
    }
    if (answers < minPeerAnswers)
        return std::nullopt;

    double elapsed = seconds(now - work.referenceAt);
    work.referenceAt = now;
    Reference result;
    updatePeerShares(work, peers, elapsed, now);
    result.badShare = expectedBadShare(work);
    if (centres.empty())
        return result;
    double centre = weightedMedian(centres);
    if (!work.centre)
        work.centre = centre;
    *work.centre += (1 - std::exp(-elapsed / centreSeconds)) * (centre - *work.centre);
    result.centre = std::max(centre, *work.centre);
    result.deviation = std::max(minLogDeviation, std::sqrt(weightedMedian(variances)));
    result.hasTimes = true;
    return result;
}

void HealthMonitor::updateTests(Work& work, const Answer& answer, const Reference& ref, double limit) const
{
    double badShare = std::min(ref.badShare, 1.0);
    double unhealthyBadShare = 1 - (1 - badShare) * (1 - m_options.policy.failureShare);
    if (unhealthyBadShare - badShare >= minBadDifference)
        work.failures.add(answer.bad, badShare, unhealthyBadShare, limit);
    work.ownBadShare += ownShareWeight * ((answer.bad ? 1 - badShare : -badShare) - work.ownBadShare);
    if (answer.bad || !ref.hasTimes)
        return;

    double excess = answer.logTime - ref.centre;
    work.ownExcess += ownShareWeight * (excess - work.ownExcess);
    double margin = std::log(m_options.policy.slowRatio) / 2;
    bool isSlow = excess > margin;
    double tail = normalTail(margin / ref.deviation);
    double healthy = std::max(tail + stragglerAllowance, slowShareMargin * work.ownSlowShare);
    double unhealthy = std::min(maxUnhealthyShare, 1 - tail);
    if (work.slowness.value() < learningLimit * limit)
        work.ownSlowShare += slowShareWeight * ((isSlow ? 1 : 0) - work.ownSlowShare);
    if (unhealthy - healthy < minShareDifference)
        return;
    work.slowness.add(isSlow, healthy, unhealthy, limit);
}

void HealthMonitor::processPending(Work& work, std::span<const HealthSummary> peers, Instant now) const
{
    std::optional<Reference> ref = reference(work, peers, now);
    double limit = statisticLimit * threshold(work, 1, now);
    while (!work.pending.empty()) {
        Duration age = now - work.pending.front().at;
        bool settled = age >= m_options.evaluationDelay && work.pending.size() > laterAnswers;
        if (!settled && age < maxPending)
            return;
        if (ref)
            updateTests(work, work.pending.front(), *ref, limit);
        else if (age < maxPending)
            return;
        work.pending.pop_front();
    }
}

void HealthMonitor::dropOldWork(Instant now)
{
    std::erase_if(m_work, [now](const Work& work) { return now - work.lastAt > workLifetime; });
}

Verdict HealthMonitor::evaluate(std::span<const HealthSummary> peers, Instant now)
{
    dropOldWork(now);
    Verdict worst = Verdict::Healthy;
    m_severity = 0;
    for (Work& work : m_work) {
        processPending(work, peers, now);
        double value = std::max(work.failures.value(), work.slowness.value());
        double suspect = threshold(work, m_options.suspectAlarmFactor, now);
        if (value >= threshold(work, 1, now))
            work.verdict = Verdict::Unhealthy;
        else if (value >= suspect && work.verdict == Verdict::Healthy)
            work.verdict = Verdict::Suspect;
        else if (value < clearLimit * suspect)
            work.verdict = Verdict::Healthy;
        if (work.verdict == Verdict::Healthy)
            continue;
        worst = std::max(worst, work.verdict);
        m_severity = std::max({ m_severity, severityPerBadShare * work.ownBadShare, work.ownExcess });
    }
    return worst;
}

void HealthMonitor::reset(Instant)
{
    m_work.clear();
    m_severity = 0;
}

void HealthMonitor::setCold(bool cold, Instant now)
{
    if (cold && !m_isCold)
        reset(now);
    m_isCold = cold;
}

WorkSummary HealthMonitor::summarise(Work& work, Instant now) const
{
    while (!work.window.empty()) {
        Duration age = now - work.window.front().at;
        if (age <= m_options.window || (age <= maxWindow && work.window.size() <= windowAnswers))
            break;
        work.window.pop_front();
    }
    WorkSummary result;
    result.workKey = work.key;
    result.count = static_cast<uint32_t>(work.window.size());
    std::vector<float> recent;
    for (const Answer& it : work.window) {
        if (it.bad)
            ++result.bad;
        else
            recent.push_back(it.logTime);
    }
    if (recent.empty())
        return result;
    // The median and the interquartile range estimate mean and variance, because a straggler affects neither.
    auto middle = recent.begin() + static_cast<ptrdiff_t>(recent.size() / 2);
    std::ranges::nth_element(recent, middle);
    result.logMean = *middle;
    if (recent.size() % 2 == 0)
        result.logMean = (*middle + *std::max_element(recent.begin(), middle)) / 2;
    if (work.newTimes >= timesPerUpdate || work.deviation == 0) {
        work.deviation = quartileDeviation(work.times);
        work.newTimes = 0;
    }
    double deviation = std::max(minLogDeviation, work.deviation);
    result.logVariance = static_cast<float>(deviation * deviation);
    return result;
}

HealthSummary HealthMonitor::summary(std::string_view upstream, Instant now)
{
    HealthSummary result;
    result.upstream = upstream;
    for (Work& work : m_work) {
        WorkSummary item = summarise(work, now);
        if (item.count)
            result.work.push_back(item);
    }
    std::ranges::sort(result.work, std::greater {}, &WorkSummary::count);
    if (result.work.size() > maxSummaryWork)
        result.work.resize(maxSummaryWork);
    return result;
}

} // namespace Gooseberrymill

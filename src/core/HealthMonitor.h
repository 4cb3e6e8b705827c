// Detection of unhealthy upstreams by comparison with the peers of the same service.
//
// Tests. Each kind of work (route) has two Bernoulli CUSUM tests: one on failed or wrong answers, one on slow
// answers. An answer is slow when its log service time exceeds the centre of the peers by ln(slowRatio) / 2. The
// centre is the median over the peers or its moving average, whichever is larger.
// Counting slow answers instead of summing their times bounds the influence of a single straggler, however
// long it ran. Each answer adds L = ln(p1 / p0) when it is bad and ln((1 - p1) / (1 - p0)) otherwise:
// S = max(0, S + L). p0 is the share of bad answers expected of a healthy upstream, p1 of an unhealthy one.
//
// Threshold. With p0 at or above the true healthy share, E[exp(L)] <= 1 on a healthy upstream, and the
// mean number of answers until S first reaches h is at least exp(h) (Lorden 1971, from Wald's bound
// on one sequential test). A kind of work with r answers a second has r * Y answers in a year of Y
// seconds. With W kinds of work there are 2 W tests, so the rate of false alarms per upstream and year is
// at most `a` when
//     h = ln(2 W * r * Y / a).
// Unhealthy uses a = falseAlarmsPerUpstreamYear. Suspect only degrades the upstream, which removes no capacity,
// and uses a = suspectAlarmFactor * falseAlarmsPerUpstreamYear. The bound assumes independent answers and an
// exact reference. Neither holds exactly, so p0 includes a safety margin.
//
// Service-wide changes. An answer enters the tests only after `evaluationDelay` and after three later answers,
// so that the summaries of the peers cover the same time. Summaries older than about a second make the comparison
// less reliable, so the caller passes only summaries received within the last few seconds.
//
// Limits of the method:
// - One failed answer in five at random, at 1 request/s, within 30 s: 30 answers hold at most three
//   failures in 12% of all cases and at most one in 1%, while the false alarm rate requires five. See
//   docs/health.md.
// - A slowdown by `slowRatio` = 5 when the healthy log service times have a standard deviation above about
//   2: the expected shares of slow answers then differ by less than `minShareDifference` and the test is off.
//   Below 2, a larger deviation delays detection. The stated detection times were measured at 0.5 only.
// - A fault of more than half of the peers at once: it looks like a change of the whole service.
// - An upstream without peers: it is never reported.
// - An upstream that does not answer at all: it produces no samples by itself, so the caller of this class records
//   requests that reach their deadline as Failed.
#pragma once

#include "Health.h"
#include <deque>

namespace Gooseberrymill {

struct HealthMonitorOptions {
    DetectionPolicy policy;
    Duration window = 3s; // time covered by a summary when there are enough answers
    Duration evaluationDelay = 3s; // from an answer to its test; at least the gossip delay plus half a window
    double suspectAlarmFactor = 10.0; // false alarm rate of Suspect, as a multiple of that of Unhealthy
};

// CUSUM threshold of a test that receives `samplesPerSecond`, when `tests` tests share `falseAlarmsPerYear`.
double alarmThreshold(double samplesPerSecond, double tests, double falseAlarmsPerYear);

// Cumulative sum of the log-likelihood ratios of boolean samples. The sum stays between 0 and `limit`.
class BernoulliCusum {
public:
    void add(bool bad, double healthyShare, double unhealthyShare, double limit);
    double value() const { return m_value; }
    void reset() { m_value = 0; }

private:
    double m_value = 0;
};

// Detects an unhealthy upstream by comparing it with its peers. Satisfies Detector. Not thread-safe. `now` must not
// go backwards.
class HealthMonitor {
public:
    explicit HealthMonitor(const HealthMonitorOptions& = {});

    // Ignores Shed and Cancelled answers, and all answers while cold.
    void record(const Sample&, Instant now);

    // Tests the answers that are old enough. `peers` holds recent summaries of the other upstreams of the service.
    Verdict evaluate(std::span<const HealthSummary> peers, Instant now);

    double severity() const { return m_severity; } // larger of log service time ratio and 8 * excess failure share
    void reset(Instant now); // discards all evidence, e.g. when the upstream returns from ejection

    // While cold, answers neither count as evidence nor enter the summary for peers.
    void setCold(bool cold, Instant now);

    // The summary that peers compare themselves with. It covers the kinds of work with the most answers in the window.
    HealthSummary summary(std::string_view upstream, Instant now);

private:
    struct Answer {
        Instant at;
        float logTime = 0;
        bool bad = false;
    };
    struct PeerShare {
        std::string upstream;
        double share = 0; // long-term share of bad answers
        double recent = 0; // share of bad answers over about the last ten answers
        Instant seen; // time of the last summary
    };
    struct Reference {
        double centre = 0; // of the peers' log service times: their median or its moving average, the larger one
        double deviation = 0; // standard deviation of the log service time
        double badShare = 0; // share of bad answers expected of a healthy upstream
        bool hasTimes = false; // the peers have successful answers; otherwise centre and deviation are unset
    };
    struct Work {
        uint32_t key = 0;
        std::deque<Answer> window; // answers covered by the summary
        std::deque<Answer> pending; // answers not yet tested
        std::deque<float> times; // recent log service times, for the variance
        size_t newTimes = 0; // number of times added since the deviation was computed
        double deviation = 0; // standard deviation of `times`
        std::vector<PeerShare> peers;
        double arrivals = 0; // exponentially decayed count of answers
        Instant firstAt;
        Instant lastAt;
        std::optional<double> centre; // moving average of the peers' median log service time
        Instant referenceAt; // time of the last reference
        double ownSlowShare = 0; // long-term share of slow answers of this upstream
        double ownBadShare = 0; // share of bad answers above the expected share, over the last few tested answers
        double ownExcess = 0; // mean log service time above the peers' centre, over the last few tested answers
        BernoulliCusum failures;
        BernoulliCusum slowness;
        Verdict verdict = Verdict::Healthy;
    };

    Work& workFor(uint32_t key, Instant now);
    void dropOldWork(Instant now);
    double expectedBadShare(const Work&) const;
    std::optional<Reference> reference(Work&, std::span<const HealthSummary> peers, Instant now) const;
    void updatePeerShares(Work&, std::span<const HealthSummary> peers, double elapsed, Instant now) const;
    void updateTests(Work&, const Answer&, const Reference&, double limit) const;
    void processPending(Work&, std::span<const HealthSummary> peers, Instant now) const;
    double samplesPerSecond(const Work&, Instant now) const;
    double threshold(const Work&, double alarmFactor, Instant now) const;
    WorkSummary summarise(Work&, Instant now) const;

    HealthMonitorOptions m_options;
    std::vector<Work> m_work;
    double m_severity = 0;
    bool m_isCold = false;
};

static_assert(Detector<HealthMonitor>);

} // namespace Gooseberrymill

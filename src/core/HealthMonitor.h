// Detection of unhealthy upstreams by comparison with the peers of the same service.
//
// Tests. Per kind of work two Bernoulli CUSUMs run: one on failed or wrong answers, one on slow
// answers. An answer is slow when its log service time exceeds the peers' centre by ln(slowRatio) / 2.
// Counting slow answers bounds the weight of a single one, so a straggler counts once however long it
// ran. Each answer adds L = ln(p1 / p0) when it is bad and ln((1 - p1) / (1 - p0)) otherwise:
// S = max(0, S + L). p0 is the share expected of a healthy upstream, p1 that of an unhealthy one.
//
// Threshold. With p0 at or above the true healthy share, E[exp(L)] <= 1 on a healthy upstream, and the
// mean number of answers until S first reaches h is at least exp(h) (Lorden 1971, from Wald's bound
// on one sequential test). A kind of work with r answers a second gives r * Y answers in a year of Y
// seconds. With W kinds of work there are 2 W tests, so the rate of false alarms per upstream and year is
// at most `a` when
//     h = ln(2 W * r * Y / a).
// Sick uses a = falseAlarmsPerUpstreamYear. Suspect only degrades, which removes no capacity, and uses
// a = suspectAlarmFactor * falseAlarmsPerUpstreamYear. The bound assumes independent answers and a
// reference without error; p0 has margins because neither holds exactly.
//
// Service-wide changes. An answer is judged only after `evaluationDelay` and after three later answers, so
// that the peers' windows cover the same time. Summaries older than about a second weaken this: the
// caller passes only summaries received within the last few seconds.
//
// What cannot be told apart:
// - One failed answer in five at random, at 1 request/s, within 30 s: 30 answers hold at most three
//   failures in 12% of all cases and at most one in 1%, while the false alarm rate asks for five. See
//   docs/health.md.
// - A slowdown by `slowRatio` = 5 when the healthy log service times have a standard deviation above about
//   2: the shares of slow answers are then closer than `minShareDifference` and the test is off. Below that,
//   a wide spread makes detection slower; the stated bounds were measured at 0.5 only.
// - A fault of more than half of the peers at once: it looks like a change of the whole service.
// - An upstream without peers, or an upstream that answers nothing at all: callers record requests that
//   reach their deadline as Failed.
#pragma once

#include "Health.h"
#include <deque>

namespace Gooseberrymill {

struct HealthMonitorOptions {
    DetectionPolicy policy;
    Duration window = 3s; // time that a summary covers when there is enough work
    Duration evaluationDelay = 3s; // from an answer to its judgement; at least gossip delay and half a window
    double suspectAlarmFactor = 10.0; // false alarms of Suspect against those of Sick
};

// Alarm level for a test that sees `samplesPerSecond`, when `tests` of them share `falseAlarmsPerYear`.
double alarmThreshold(double samplesPerSecond, double tests, double falseAlarmsPerYear);

// CUSUM of log-likelihood ratios of yes/no samples.
class BernoulliCusum {
public:
    void add(bool bad, double healthyShare, double unhealthyShare, double limit);
    double value() const { return m_value; }
    void reset() { m_value = 0; }

private:
    double m_value = 0;
};

// Satisfies Detector. Not thread-safe. `now` must not go backwards.
class HealthMonitor {
public:
    explicit HealthMonitor(const HealthMonitorOptions& = {});

    // Shed and Cancelled answers, and all answers while cold, are no evidence.
    void record(const Sample&, Instant now);

    // Judges the answers that are old enough. `peers` holds fresh summaries of other upstreams of the service.
    Verdict evaluate(std::span<const HealthSummary> peers, Instant now);

    double severity() const { return m_severity; } // log ratio of service times, or 8 * excess failure share
    void reset(Instant now); // forgets all evidence, e.g. when the upstream returns from ejection

    // While cold, answers are neither evidence nor part of the summary for peers.
    void setCold(bool cold, Instant now);

    // What peers compare themselves with: the busiest kinds of work of the recent window.
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
        double recent = 0; // share over about the last ten answers
        Instant seen;
    };
    struct Reference {
        double centre = 0; // of log service time
        double deviation = 0;
        double badShare = 0; // expected of a healthy upstream
        bool hasTimes = false;
    };
    struct Work {
        uint32_t key = 0;
        std::deque<Answer> window; // for the summary
        std::deque<Answer> pending; // not yet judged
        std::deque<float> times; // recent log service times, for the variance
        size_t newTimes = 0; // since the deviation was computed
        double deviation = 0; // of `times`
        std::vector<PeerShare> peers;
        double arrivals = 0; // decayed count
        Instant firstAt;
        Instant lastAt;
        std::optional<double> centre; // slowly following centre of the peers
        Instant referenceAt;
        double ownSlowShare = 0;
        double ownBadShare = 0; // of the last few judged answers
        double ownExcess = 0; // log service time above the peers' centre, of the last few judged answers
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

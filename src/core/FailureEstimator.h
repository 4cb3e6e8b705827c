// Probability that an upstream is in a phase in which it fails most of its requests, from the last few answers.
//
// Load it answers: 1 to 5 requests a second at an upstream whose phases last seconds, while its health check passes.
// Such a phase is over before a test with few false alarms has enough answers, so the estimate is used as it stands:
// a false alarm costs a round trip to another node, and it ends by itself within seconds.
//
// A two-state hidden Markov model: the upstream is sound or in a phase, each answer is evidence by how often the
// two states fail, and without answers the estimate returns to the share of time that upstreams spend in phases.
#pragma once

#include "Basics.h"

namespace Gooseberrymill {

struct FailureModel {
    double healthyFailureShare = 0.0125; // share of requests that a sound upstream fails
    double faultyFailureShare = 0.75; // share of requests that an upstream in a phase fails
    Duration meanHealthyTime = 21s; // mean time between two phases
    Duration meanFaultTime = 9s; // mean length of a phase
};

class FailureEstimator {
public:
    explicit FailureEstimator(const FailureModel& model = {})
        : m_model(model)
    {
    }

    void record(bool hasFailed, Instant now);
    double probability(Instant now) const; // 0..1
    void reset() { m_hasEvidence = false; } // another process serves at the upstream's address

private:
    double stationaryProbability() const;

    FailureModel m_model;
    bool m_hasEvidence = false; // an answer was recorded since the last reset
    double m_probability = 0; // after the last answer
    Instant m_recordedAt {};
};

//-----------------------------------------------------------------------------
// [SECTION] EarlyRejection
//-----------------------------------------------------------------------------

// Whether the executor gives a request back, so that its entry asks another upstream before this one has seen it.
struct EarlyRejectionPolicy {
    double repeatableLimit = 0.5; // probability above which repeatable requests are given back
    double nonRepeatableLimit = 0.45; // above which requests that run at most once are; theirs is the only attempt
    Duration probeInterval = 3s; // between two repeatable requests that run in spite of the limit, as probes
};

class EarlyRejection {
public:
    explicit EarlyRejection(const FailureModel& model = {}, const EarlyRejectionPolicy& policy = {})
        : m_policy(policy)
        , m_estimator(model)
    {
    }

    // `isLastChoice`: every other upstream of the service was asked. A request let through while the upstream is
    // suspect counts as a probe.
    bool admits(bool isRepeatable, bool isLastChoice, Instant now);
    void record(bool hasFailed, Instant now) { m_estimator.record(hasFailed, now); }
    void reset() { m_estimator.reset(); }

    double probability(Instant now) const { return m_estimator.probability(now); }
    bool isSuspect(Instant now) const { return probability(now) > m_policy.repeatableLimit; }

private:
    EarlyRejectionPolicy m_policy;
    FailureEstimator m_estimator;
    Instant m_nextProbe {};
};

} // namespace Gooseberrymill

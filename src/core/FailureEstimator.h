// Estimates from the last few answers how likely an upstream is in a transient fault, during which it fails most
// requests although its health check passes.
//
// Designed for upstreams that serve 1 to 5 requests a second and whose faults last seconds. Such a fault is over
// before a test with a low false alarm rate has collected enough answers, so requests are rejected on the estimate
// alone: a false alarm costs a round trip to another node, and it ends by itself within seconds.
//
// The model is a two-state hidden Markov model: the upstream is healthy or faulty. Each answer updates the
// probability by Bayes' rule from the failure shares of the two states. Without answers, the estimate decays towards
// the share of time that upstreams spend in faults.
#pragma once

#include "Basics.h"

namespace Gooseberrymill {

struct FailureModel {
    double healthyFailureShare = 0.0125; // share of requests that a healthy upstream fails
    double faultyFailureShare = 0.75; // share of requests that a faulty upstream fails
    Duration meanHealthyTime = 21s; // mean time between two faults
    Duration meanFaultTime = 9s; // mean length of a fault
};

// Estimates the probability that one upstream is faulty.
class FailureEstimator {
public:
    explicit FailureEstimator(const FailureModel& model = {})
        : m_model(model)
    {
    }

    void record(bool hasFailed, Instant now);
    double probability(Instant now) const; // probability that the upstream is faulty, 0..1
    void reset() { m_hasEvidence = false; } // call when another process serves at the address

private:
    double stationaryProbability() const; // share of time that upstreams spend in faults

    FailureModel m_model;
    bool m_hasEvidence = false; // an answer was recorded since the last reset
    double m_probability = 0; // probability of a fault at m_recordedAt
    Instant m_recordedAt {}; // time of the last answer
};

//-----------------------------------------------------------------------------
// [SECTION] Early rejection
//-----------------------------------------------------------------------------

// Thresholds for rejecting a request before it reaches the upstream, so that the entry tries another upstream.
struct EarlyRejectionPolicy {
    double repeatableLimit = 0.5; // fault probability above which repeatable requests are rejected
    double nonRepeatableLimit = 0.45; // the limit for other requests; lower, since they get a single attempt
    Duration probeInterval = 3s; // time between two repeatable requests admitted above the limit as probes
};

// Decides at the executor whether a request is rejected because its upstream is probably faulty.
class EarlyRejection {
public:
    explicit EarlyRejection(const FailureModel& model = {}, const EarlyRejectionPolicy& policy = {})
        : m_policy(policy)
        , m_estimator(model)
    {
    }

    // `isLastChoice`: every other upstream of the service was tried, so the request is admitted regardless. A
    // repeatable request that is admitted above the limit counts as a probe.
    bool admits(bool isRepeatable, bool isLastChoice, Instant now);
    void record(bool hasFailed, Instant now) { m_estimator.record(hasFailed, now); }
    void reset() { m_estimator.reset(); }

    double probability(Instant now) const { return m_estimator.probability(now); }
    bool isSuspect(Instant now) const { return probability(now) > m_policy.repeatableLimit; }

private:
    EarlyRejectionPolicy m_policy;
    FailureEstimator m_estimator;
    Instant m_nextProbe {}; // earliest time of the next probe
};

} // namespace Gooseberrymill

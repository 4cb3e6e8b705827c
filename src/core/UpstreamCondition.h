// State of one upstream at its executor: from verdicts to states, probation and the ramp on return.
//
//   Cold -> Ready -> Degraded on Suspect -> asks for ejection on Sick -> Ejected when granted
//   Degraded -> Ready after its probation without a new verdict; Ejected -> Ready when readmitted
//
// A degraded upstream receives little work, so the evidence may never reach Sick. It returns to Ready
// after the probation, with a ramp; when it is suspected again and again, it asks for ejection.
#pragma once

#include "Configuration.h"
#include "Health.h"

namespace Gooseberrymill {

// How long an upstream stays away, and how it returns.
template <typename T>
concept Readmission = requires(const T policy, uint32_t flaps, Duration sinceReturn)
{
    {
        policy.probation(flaps)
        } -> std::same_as<Duration>; // `flaps`: departures in the recent past, at least 1
    {
        policy.share(sinceReturn)
        } -> std::same_as<double>; // 0..1
    {
        policy.flapResetTime()
        } -> std::same_as<Duration>; // healthy time after which the flaps are forgotten
};

// Doubles the probation on each departure and returns the traffic linearly.
class ExponentialReadmission {
public:
    explicit ExponentialReadmission(const DetectionPolicy& policy = {})
        : m_policy(policy)
    {
    }
    Duration probation(uint32_t flaps) const;
    double share(Duration sinceReturn) const;
    Duration flapResetTime() const { return 2 * m_policy.maxProbation; }

private:
    DetectionPolicy m_policy;
};

// Baseline: the same time for each departure, then the full share at once.
class FixedReadmission {
public:
    explicit FixedReadmission(Duration time = 30s)
        : m_time(time)
    {
    }
    Duration probation(uint32_t) const { return m_time; }
    double share(Duration) const { return 1; }
    Duration flapResetTime() const { return Duration::zero(); }

private:
    Duration m_time;
};

// `now` must not go backwards.
template <Readmission Policy> class BasicUpstreamCondition {
public:
    explicit BasicUpstreamCondition(Policy policy = Policy())
        : m_policy(std::move(policy))
    {
    }

    // The upstream reported ready. Starts the ramp.
    void started(Instant now);

    // The upstream restarted or reported that it is cold. Forgets an ejection.
    void restarted(Instant now);

    void verdict(Verdict, Instant now);
    void ejected(Instant now); // the ejection was granted and is in effect
    void readmitted(Instant now); // also before the end of the probation, when the service lacks capacity
    void tick(Instant now);

    UpstreamState state() const { return m_state; }
    bool wantsEjection() const { return m_wantsEjection; }
    bool isProbationOver(Instant now) const { return m_state == UpstreamState::Ejected && now >= m_probationEnd; }
    uint32_t flaps() const { return m_flaps; }

    // Share of the usual traffic, 0..1. A preference for the balancer; admission does not refuse by it.
    double share(Instant now) const;

    // Non-repeatable requests return last, when the ramp is complete.
    bool prefersNonRepeatable(Instant now) const { return share(now) >= 1; }

private:
    void startProbation(Instant now);

    Policy m_policy;
    UpstreamState m_state = UpstreamState::Cold;
    bool m_wantsEjection = false;
    uint32_t m_flaps = 0;
    Instant m_returnedAt;
    Instant m_probationEnd; // end of the probation
};

using UpstreamCondition = BasicUpstreamCondition<ExponentialReadmission>;

extern template class BasicUpstreamCondition<ExponentialReadmission>;
extern template class BasicUpstreamCondition<FixedReadmission>;

} // namespace Gooseberrymill

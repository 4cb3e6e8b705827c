// State machine of one upstream at its executor. It turns verdicts into states and controls the probation and the
// ramp of the traffic on return.
//
//   Cold -> Ready when the upstream reports ready
//   Ready -> Degraded on Suspect or Unhealthy; Unhealthy also requests ejection
//   Degraded -> Ejected when the ejection is granted
//   Degraded -> Ready after its probation without a new verdict; Ejected -> Ready when readmitted
//
// A degraded upstream receives little work, so the evidence may never suffice for Unhealthy. It returns to Ready
// after the probation, with a ramp. When it becomes suspect repeatedly, Suspect is enough to request ejection.
#pragma once

#include "Configuration.h"
#include "Health.h"

namespace Gooseberrymill {

// Policy for the length of the probation and for the share of traffic after the return.
template <typename T>
concept Readmission = requires(const T policy, uint32_t flaps, Duration sinceReturn)
{
    {
        policy.probation(flaps)
        } -> std::same_as<Duration>; // `flaps`: number of recent transitions out of Ready, at least 1
    {
        policy.share(sinceReturn)
        } -> std::same_as<double>; // share of the usual traffic, 0..1
    {
        policy.flapResetTime()
        } -> std::same_as<Duration>; // healthy time after which the count of flaps starts again
};

// Doubles the probation on each flap and raises the traffic linearly after the return.
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

// Baseline: a fixed probation, then the full share at once.
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

// Condition of one upstream under a readmission policy. `now` must not go backwards.
template <Readmission Policy> class BasicUpstreamCondition {
public:
    explicit BasicUpstreamCondition(Policy policy = Policy())
        : m_policy(std::move(policy))
    {
    }

    // The upstream reported ready. Starts the ramp.
    void started(Instant now);

    // The upstream restarted or reported that it is cold. Clears an ejection.
    void restarted(Instant now);

    void verdict(Verdict, Instant now); // ignored unless Ready or Degraded
    void ejected(Instant now); // the ejection was granted and is in effect
    void readmitted(Instant now); // may come before the end of the probation, when the service lacks capacity
    void tick(Instant now); // returns a degraded upstream to Ready when its probation is over

    UpstreamState state() const { return m_state; }
    bool wantsEjection() const { return m_wantsEjection; }
    bool isProbationOver(Instant now) const { return m_state == UpstreamState::Ejected && now >= m_probationEnd; }
    uint32_t flaps() const { return m_flaps; }

    // Share of the usual traffic, 0..1. A weight for the balancer; admission does not enforce it.
    double share(Instant now) const;

    // True when the ramp is complete: non-repeatable requests are the last to return.
    bool prefersNonRepeatable(Instant now) const { return share(now) >= 1; }

private:
    void startProbation(Instant now);

    Policy m_policy;
    UpstreamState m_state = UpstreamState::Cold;
    bool m_wantsEjection = false;
    uint32_t m_flaps = 0; // number of recent transitions out of Ready
    Instant m_returnedAt; // time of the last transition to Ready or Cold
    Instant m_probationEnd;
};

using UpstreamCondition = BasicUpstreamCondition<ExponentialReadmission>;

extern template class BasicUpstreamCondition<ExponentialReadmission>;
extern template class BasicUpstreamCondition<FixedReadmission>;

} // namespace Gooseberrymill

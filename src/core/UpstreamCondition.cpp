#include "UpstreamCondition.h"

#include <algorithm>

namespace Gooseberrymill {

namespace {

constexpr double minShare = 0.05; // of the traffic; a returning upstream needs some requests to show that it is healthy
constexpr uint32_t flapsUntilEjection = 3; // number of flaps from which Suspect is enough to request ejection

} // namespace

Duration ExponentialReadmission::probation(uint32_t flaps) const
{
    Duration result = m_policy.probation;
    for (uint32_t i = 1; i < flaps && result < m_policy.maxProbation; ++i)
        result *= 2;
    return std::min(result, m_policy.maxProbation);
}

double ExponentialReadmission::share(Duration sinceReturn) const
{
    if (sinceReturn >= m_policy.ramp)
        return 1;
    return std::max(minShare, static_cast<double>(sinceReturn.count()) / static_cast<double>(m_policy.ramp.count()));
}

template <Readmission Policy> void BasicUpstreamCondition<Policy>::started(Instant now)
{
    if (m_state != UpstreamState::Cold)
        return;
    m_state = UpstreamState::Ready;
    m_returnedAt = now;
}

template <Readmission Policy> void BasicUpstreamCondition<Policy>::restarted(Instant now)
{
    m_state = UpstreamState::Cold;
    m_wantsEjection = false;
    m_returnedAt = now;
}

// Counts a transition out of Ready. Transitions in quick succession lengthen the probation; a long healthy time
// resets the count.
template <Readmission Policy> void BasicUpstreamCondition<Policy>::startProbation(Instant now)
{
    if (now - m_returnedAt > m_policy.flapResetTime())
        m_flaps = 0;
    ++m_flaps;
    m_probationEnd = now + m_policy.probation(m_flaps);
}

template <Readmission Policy> void BasicUpstreamCondition<Policy>::verdict(Verdict verdict, Instant now)
{
    bool acceptsVerdict = m_state == UpstreamState::Ready || m_state == UpstreamState::Degraded;
    if (!acceptsVerdict)
        return;
    if (verdict == Verdict::Healthy) {
        tick(now);
        return;
    }
    if (m_state == UpstreamState::Ready) {
        m_state = UpstreamState::Degraded;
        startProbation(now);
    } else {
        m_probationEnd = std::max(m_probationEnd, now + m_policy.probation(1));
    }
    m_wantsEjection = m_wantsEjection || verdict == Verdict::Unhealthy || m_flaps >= flapsUntilEjection;
}

template <Readmission Policy> void BasicUpstreamCondition<Policy>::tick(Instant now)
{
    if (m_state != UpstreamState::Degraded || now < m_probationEnd)
        return;
    m_state = UpstreamState::Ready;
    m_wantsEjection = false;
    m_returnedAt = now;
}

template <Readmission Policy> void BasicUpstreamCondition<Policy>::ejected(Instant now)
{
    m_state = UpstreamState::Ejected;
    m_wantsEjection = false;
    m_probationEnd = now + m_policy.probation(std::max(1U, m_flaps));
}

template <Readmission Policy> void BasicUpstreamCondition<Policy>::readmitted(Instant now)
{
    if (m_state != UpstreamState::Ejected)
        return;
    m_state = UpstreamState::Ready;
    m_returnedAt = now;
}

template <Readmission Policy> double BasicUpstreamCondition<Policy>::share(Instant now) const
{
    switch (m_state) {
    case UpstreamState::Ready:
        return m_policy.share(now - m_returnedAt);
    case UpstreamState::Cold:
        return minShare;
    default:
        return 0;
    }
}

template class BasicUpstreamCondition<ExponentialReadmission>;
template class BasicUpstreamCondition<FixedReadmission>;

} // namespace Gooseberrymill

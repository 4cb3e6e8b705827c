#include "FailureEstimator.h"

#include <cmath>

namespace Gooseberrymill {

double FailureEstimator::restingProbability() const
{
    auto phase = static_cast<double>(m_model.phaseTime.count());
    return phase / (phase + static_cast<double>(m_model.soundTime.count()));
}

// Before the first answer the upstream is taken as sound: nothing speaks against it, and giving back every first
// request would cost each entry a round trip.
double FailureEstimator::probability(Instant now) const
{
    if (!m_isKnown)
        return 0;
    double resting = restingProbability();
    auto age = static_cast<double>((now - m_recordedAt).count());
    double rate
        = 1 / static_cast<double>(m_model.soundTime.count()) + 1 / static_cast<double>(m_model.phaseTime.count());
    return resting + (m_probability - resting) * std::exp(-age * rate);
}

void FailureEstimator::record(bool hasFailed, Instant now)
{
    double prior = m_isKnown ? probability(now) : restingProbability();
    double phase = hasFailed ? m_model.phaseFailures : 1 - m_model.phaseFailures;
    double sound = hasFailed ? m_model.soundFailures : 1 - m_model.soundFailures;
    m_probability = prior * phase / (prior * phase + (1 - prior) * sound);
    m_recordedAt = now;
    m_isKnown = true;
}

bool EarlyRejection::admits(bool isRepeatable, bool isLastChoice, Instant now)
{
    double limit = isRepeatable ? m_policy.repeatableLimit : m_policy.onceLimit;
    if (isLastChoice || m_estimator.probability(now) <= limit)
        return true;
    if (!isRepeatable || now < m_nextProbe)
        return false;
    m_nextProbe = now + m_policy.probeInterval;
    return true;
}

} // namespace Gooseberrymill

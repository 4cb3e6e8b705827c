#include "FailureEstimator.h"

#include <cmath>

namespace Gooseberrymill {

double FailureEstimator::stationaryProbability() const
{
    auto fault = static_cast<double>(m_model.meanFaultTime.count());
    return fault / (fault + static_cast<double>(m_model.meanHealthyTime.count()));
}

// Without evidence the upstream counts as healthy: rejecting every first request would cost each entry a round trip.
double FailureEstimator::probability(Instant now) const
{
    if (!m_hasEvidence)
        return 0;
    double stationary = stationaryProbability();
    auto age = static_cast<double>((now - m_recordedAt).count());
    double decayRate = 1 / static_cast<double>(m_model.meanHealthyTime.count())
        + 1 / static_cast<double>(m_model.meanFaultTime.count());
    return stationary + (m_probability - stationary) * std::exp(-age * decayRate);
}

void FailureEstimator::record(bool hasFailed, Instant now)
{
    double prior = m_hasEvidence ? probability(now) : stationaryProbability();
    double likelihoodIfFaulty = hasFailed ? m_model.faultyFailureShare : 1 - m_model.faultyFailureShare;
    double likelihoodIfHealthy = hasFailed ? m_model.healthyFailureShare : 1 - m_model.healthyFailureShare;
    m_probability = prior * likelihoodIfFaulty / (prior * likelihoodIfFaulty + (1 - prior) * likelihoodIfHealthy);
    m_recordedAt = now;
    m_hasEvidence = true;
}

bool EarlyRejection::admits(bool isRepeatable, bool isLastChoice, Instant now)
{
    double limit = isRepeatable ? m_policy.repeatableLimit : m_policy.nonRepeatableLimit;
    if (isLastChoice || m_estimator.probability(now) <= limit)
        return true;
    if (!isRepeatable || now < m_nextProbe)
        return false;
    m_nextProbe = now + m_policy.probeInterval;
    return true;
}

} // namespace Gooseberrymill

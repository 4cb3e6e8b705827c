// Baseline implementations of the Detector concept, for comparison with HealthMonitor.
#pragma once

#include "Health.h"

namespace Gooseberrymill {

// Always reports Healthy.
class NullDetector {
public:
    explicit NullDetector(const DetectionPolicy& = {}) { }

    void record(const Sample&, Instant) { }
    Verdict evaluate(std::span<const HealthSummary>, Instant) { return Verdict::Healthy; }
    double severity() const { return 0; }
    void reset(Instant) { }
};

// Reports Unhealthy after 5 consecutive bad answers, until reset.
class ConsecutiveErrorDetector {
public:
    explicit ConsecutiveErrorDetector(const DetectionPolicy& = {}) { }

    void record(const Sample& sample, Instant)
    {
        if (sample.kind == SampleKind::Shed || sample.kind == SampleKind::Cancelled)
            return;
        m_errors = sample.kind == SampleKind::Ok ? 0 : m_errors + 1;
        m_isUnhealthy = m_isUnhealthy || m_errors >= errorLimit;
    }
    Verdict evaluate(std::span<const HealthSummary>, Instant)
    {
        return m_isUnhealthy ? Verdict::Unhealthy : Verdict::Healthy;
    }
    double severity() const { return m_errors; }
    void reset(Instant)
    {
        m_errors = 0;
        m_isUnhealthy = false;
    }

private:
    static constexpr uint32_t errorLimit = 5;

    uint32_t m_errors = 0; // number of consecutive bad answers
    bool m_isUnhealthy = false;
};

static_assert(Detector<NullDetector>);
static_assert(Detector<ConsecutiveErrorDetector>);

} // namespace Gooseberrymill

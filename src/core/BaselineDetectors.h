// Baselines of the Detector concept: one that never alarms and one that counts consecutive errors.
#pragma once

#include "Health.h"

namespace Gooseberrymill {

class NeverSickDetector {
public:
    explicit NeverSickDetector(const DetectionPolicy& = {}) { }

    void record(const Sample&, Instant) { }
    Verdict evaluate(std::span<const HealthSummary>, Instant) { return Verdict::Healthy; }
    double severity() const { return 0; }
    void reset(Instant) { }
};

class ConsecutiveErrorDetector {
public:
    explicit ConsecutiveErrorDetector(const DetectionPolicy& = {}) { }

    void record(const Sample& sample, Instant)
    {
        if (sample.kind == SampleKind::Ok)
            m_errors = 0;
        else if (sample.kind == SampleKind::Failed || sample.kind == SampleKind::Wrong)
            ++m_errors;
    }
    Verdict evaluate(std::span<const HealthSummary>, Instant)
    {
        return m_errors >= sickErrors ? Verdict::Sick : Verdict::Healthy;
    }
    double severity() const { return m_errors; }
    void reset(Instant) { m_errors = 0; }

private:
    static constexpr uint32_t sickErrors = 5;

    uint32_t m_errors = 0;
};

static_assert(Detector<NeverSickDetector>);
static_assert(Detector<ConsecutiveErrorDetector>);

} // namespace Gooseberrymill

// Types shared by the health detectors: samples of answers, summaries for peers, and verdicts.
//
// The executor beside an upstream records each answer in a HealthMonitor. Entries record connection results in a
// PathMonitor. The two are kept apart, so that a broken network path does not make an upstream unhealthy.
#pragma once

#include "Configuration.h"

namespace Gooseberrymill {

enum class SampleKind : uint8_t {
    Ok,
    Failed, // 5xx status, refused connection or broken connection
    Wrong, // truncated answer, or an answer check of the route failed
    Shed, // 503 with Retry-After: load shedding, not evidence of a fault
    Cancelled, // the caller no longer waits: no evidence about the upstream
};

struct Sample {
    SampleKind kind = SampleKind::Ok;
    uint32_t workKey = 0; // index of the route; only answers of the same route are compared
    Duration serviceTime {}; // time at the upstream, without the queue
};

// Recent answers of one kind of work (route) at an upstream. Executors gossip these to their peers of the same
// service, so the struct is kept small.
struct WorkSummary {
    uint32_t workKey = 0;
    uint32_t count = 0; // answers in the window
    uint32_t bad = 0; // failed or wrong answers in the window
    float logMean = 0; // mean of log(service time in microseconds)
    float logVariance = 0; // variance of log(service time in microseconds)
    template <class Archive> void serialize(Archive& archive) { archive(workKey, count, bad, logMean, logVariance); }
};

// Summary of one upstream for the executors of its peers.
struct HealthSummary {
    std::string upstream;
    std::vector<WorkSummary> work; // the busiest kinds of work, at most maxSummaryWork
    template <class Archive> void serialize(Archive& archive) { archive(upstream, work); }
};
constexpr size_t maxSummaryWork = 4;

// Suspect degrades an upstream. Unhealthy also requests its ejection.
enum class Verdict : uint8_t { Healthy, Suspect, Unhealthy };

// A detector turns samples and the peers' summaries into a verdict.
template <typename T>
concept Detector = requires(T detector, const Sample& sample, std::span<const HealthSummary> peers, Instant now)
{
    { detector.record(sample, now) };
    {
        detector.evaluate(peers, now)
        } -> std::same_as<Verdict>;
    {
        detector.severity()
        } -> std::convertible_to<double>; // ranks unhealthy upstreams; larger is worse
    { detector.reset(now) };
};

} // namespace Gooseberrymill

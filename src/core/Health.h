// Evidence about upstreams and about paths, and the verdicts derived from it.
//
// The executor beside an upstream feeds each answer into a HealthMonitor. Entries feed connection
// results into a PathMonitor. The two are never mixed: a bad path does not make an upstream sick.
#pragma once

#include "Configuration.h"

namespace Gooseberrymill {

enum class SampleKind : uint8_t {
    Ok,
    Failed, // 5xx, refused or broken connection
    Wrong, // truncated, or an answer check of the route failed
    Shed, // 503 with Retry-After: not sickness
    Cancelled, // nobody waits any more: says nothing about the upstream
};

struct Sample {
    SampleKind kind = SampleKind::Ok;
    uint32_t workKey = 0; // route index; only answers of the same kind of work are compared
    Duration serviceTime {}; // time at the upstream, without the queue
};

// What an executor tells its peers of the same service about its upstream. Small: travels on gossip.
struct WorkSummary {
    uint32_t workKey = 0;
    uint32_t count = 0; // answers in the window
    uint32_t bad = 0; // failed or wrong answers in the window
    float logMean = 0; // mean of log(service time in microseconds)
    float logVariance = 0;
    template <class Archive> void serialize(Archive& archive) { archive(workKey, count, bad, logMean, logVariance); }
};

struct HealthSummary {
    std::string upstream;
    std::vector<WorkSummary> work; // the busiest kinds of work, at most maxSummaryWork
    template <class Archive> void serialize(Archive& archive) { archive(upstream, work); }
};
constexpr size_t maxSummaryWork = 4;

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
        } -> std::convertible_to<double>; // orders upstreams by sickness; larger is worse
    { detector.reset(now) };
};

} // namespace Gooseberrymill

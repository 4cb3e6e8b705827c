#include "ReplayCommand.h"

#include "Gooseberrymill.h"

#include <fmt/format.h>
#include <fstream>
#include <sstream>

namespace Gooseberrymill {

namespace {

// Policies under test.
using FleetPolicies = ReplayPolicies<Balancer, AdmissionQueue, HealthMonitor, AttemptPolicy, ExponentialReadmission,
    QueryOfDeathFilter>;
// Simple policies that the ones under test are compared with.
using BaselinePolicies = ReplayPolicies<RoundRobinBalancer, FifoAdmission, NullDetector, ThreeRetries>;

Error makeError(ErrorCode code, std::string_view step, std::string detail)
{
    return { code, std::string(step), "", std::move(detail) };
}

Result<Trace> readTrace(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return makeError(ErrorCode::NotFound, "replay.open", path);
    std::ostringstream text;
    text << file.rdbuf();
    return parseTrace(text.str());
}

// Reads the trace file, or generates the trace if the name has the form "DEPLOYMENT:SCENARIO".
Result<Trace> readOrGenerateTrace(const ReplayCommandOptions& options)
{
    size_t colon = options.trace.find(':');
    if (colon == std::string::npos)
        return readTrace(options.trace);
    auto deployment = parseDeployment(options.trace.substr(0, colon));
    auto scenario = parseScenario(options.trace.substr(colon + 1));
    if (!deployment || !scenario)
        return makeError(ErrorCode::Invalid, "replay.generate", "unknown deployment or scenario: " + options.trace);
    return generateTrace(*deployment, *scenario, options.seed);
}

double toMilliseconds(Duration duration) { return static_cast<double>(duration.count()) / 1000; }

void printClasses(std::string_view title, const std::array<ClassOutcome, workClassCount>& classes)
{
    fmt::print("{}\n", title);
    for (size_t i = 0; i < workClassCount; ++i) {
        const ClassOutcome& outcome = classes[i];
        if (outcome.offered)
            fmt::print("  {:12} offered {:7} good {:7} ({:6.2f}%) bad {:6} not run {:7} late {:6}\n",
                toString(static_cast<WorkClass>(i)), outcome.offered, outcome.good, 100 * outcome.goodShare(),
                outcome.bad, outcome.notRun, outcome.late);
    }
}

void printResult(const TraceHeader& header, const ReplayResult& result)
{
    fmt::print("deployment {} scenario {} seed {} duration {} s\n", header.deployment, header.scenario, header.seed,
        header.duration / 1s);
    printClasses("classes", result.classes);
    if (header.peakEnd > header.peakStart) {
        printClasses("classes at the peak", result.peakClasses);
        fmt::print("peak goodput {:.1f}% of capacity, queues empty {:.1f} s after the peak\n", 100 * result.peakGoodput,
            toMilliseconds(result.drainTime) / 1000);
    }
    fmt::print("wait of short requests: p50 {:.1f} ms, p99 {:.1f} ms; in the queue: p99 {:.1f} ms\n",
        toMilliseconds(percentile(result.shortWaits, 0.5)), toMilliseconds(percentile(result.shortWaits, 0.99)),
        toMilliseconds(percentile(result.queueWaits, 0.99)));
    fmt::print("stragglers finished {} of {}\n", result.stragglersGood, result.stragglers);
    fmt::print(
        "attempts {} for {} offered, worst 10 s {:.3f}\n", result.attempts, result.offered, result.worstAmplification);
    for (const auto& [regions, bytes] : result.crossRegionBytes)
        fmt::print("bytes {} -> {}: {}\n", regions.first, regions.second, bytes);
    for (const auto& [reason, count] : result.refusals)
        fmt::print("not run, {}: {}\n", toString(reason), count);
    fmt::print("false not-run answers {}, repeated runs {}, wrong responses delivered {}, crashes {}, degradations {} "
               "({} false), ejection requests {} ({} false)\n",
        result.falseNotRun, result.repeatedRuns, result.wrongDelivered, result.crashes, result.degradations,
        result.falseDegradations, result.ejectionRequests, result.falseEjectionRequests);
    if (header.faultAt == Duration::zero())
        return;
    for (size_t i = 0; i < header.upstreams.size(); ++i)
        fmt::print("served after the fault {}: {}\n", header.upstreams[i].name, result.servedAfterFault[i]);
}

bool writeText(const std::string& path, const std::string& text)
{
    std::ofstream file(path, std::ios::binary);
    file << text;
    return static_cast<bool>(file.flush());
}

} // namespace

int runReplay(const ReplayCommandOptions& options)
{
    auto trace = readOrGenerateTrace(options);
    if (trace.has_error()) {
        fmt::print(stderr, "{}\n", toString(trace.error()));
        return 2;
    }
    if (!options.traceOutputFile.empty() && !writeText(options.traceOutputFile, toText(trace.value()))) {
        fmt::print(stderr, "replay.write: cannot write the trace to {}\n", options.traceOutputFile);
        return 2;
    }
    ReplayOptions replayOptions;
    replayOptions.seed = options.seed;
    printResult(trace.value().header,
        options.baseline ? replay(trace.value(), BaselinePolicies {}, replayOptions)
                         : replay(trace.value(), FleetPolicies {}, replayOptions));
    return 0;
}

} // namespace Gooseberrymill

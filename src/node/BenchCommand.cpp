#include "BenchCommand.h"

#include "Gooseberrymill.h"

#include <chrono>
#include <fmt/format.h>

namespace Gooseberrymill {

namespace {

//-----------------------------------------------------------------------------
// [SECTION] Outcomes
//-----------------------------------------------------------------------------

// Worst figures over the seeds of one scenario and one set of policies.
struct Row {
    double criticalGood = 1;
    double allGood = 1;
    double peakGoodput = 1;
    double drainSeconds = 0;
    double waitP99 = 0; // ms
    double queueP99 = 0; // ms
    double amplification = 1;
    double crossRegionMegabytes = 0;
    double victimShare = 0; // of the requests after the fault, for the first upstream; even would be 2.8%
    uint64_t wrong = 0;
    uint64_t untrue = 0;
    bool hasFault = false;
    std::optional<double> lostSeconds = 0; // from the fault until the traffic is lost; empty: not lost in some seed
    uint64_t falseDegradations = 0;
    uint64_t falseEjections = 0; // asked for
    uint64_t crashesPerRequest = 0;
};

double milliseconds(Duration duration) { return static_cast<double>(duration.count()) / 1000; }

void mergeDetection(Row& row, const ReplayResult& result)
{
    for (const FaultOutcome& fault : result.faults) {
        row.hasFault = true;
        if (!fault.timeToTrafficLoss)
            row.lostSeconds.reset();
        else if (row.lostSeconds)
            row.lostSeconds = std::max(*row.lostSeconds, milliseconds(*fault.timeToTrafficLoss) / 1000);
    }
    row.falseDegradations = std::max(row.falseDegradations, result.falseDegradations);
    row.falseEjections = std::max(row.falseEjections, result.falseEjectionRequests);
    for (const auto& [fingerprint, crashes] : result.crashesByFingerprint)
        row.crashesPerRequest = std::max(row.crashesPerRequest, crashes);
}

std::string lostText(const Row& row)
{
    if (!row.hasFault)
        return "-";
    return row.lostSeconds ? fmt::format("{:.1f}", *row.lostSeconds) : "never";
}

void merge(Row& row, const ReplayResult& result, bool hasPeak)
{
    uint64_t offered = 0;
    uint64_t good = 0;
    for (const ClassOutcome& outcome : result.classes) {
        offered += outcome.offered;
        good += outcome.good;
    }
    uint64_t served = 0;
    for (uint64_t count : result.servedAfterFault)
        served += count;
    row.criticalGood = std::min(row.criticalGood, result.classes[0].goodShare());
    row.allGood
        = std::min(row.allGood, static_cast<double>(good) / static_cast<double>(std::max<uint64_t>(1, offered)));
    if (hasPeak) {
        row.peakGoodput = std::min(row.peakGoodput, result.peakGoodput);
        row.drainSeconds = std::max(row.drainSeconds, milliseconds(result.drainTime) / 1000);
    }
    row.waitP99 = std::max(row.waitP99, milliseconds(percentile(result.shortWaits, 0.99)));
    row.queueP99 = std::max(row.queueP99, milliseconds(percentile(result.queueWaits, 0.99)));
    row.amplification = std::max(row.amplification, result.worstAmplification);
    constexpr double megabyte = 1e6;
    row.crossRegionMegabytes
        = std::max(row.crossRegionMegabytes, static_cast<double>(result.totalCrossRegionBytes()) / megabyte);
    if (served)
        row.victimShare
            = std::max(row.victimShare, static_cast<double>(result.servedAfterFault[0]) / static_cast<double>(served));
    row.wrong = std::max(row.wrong, result.wrongDelivered);
    row.untrue = std::max(row.untrue, result.falseNotRun + result.repeatedRuns);
    mergeDetection(row, result);
}

void printRow(bool csv, const TraceHeader& header, std::string_view policies, const Row& row)
{
    bool hasPeak = header.peakEnd > header.peakStart;
    auto format = csv ? "{},{},{},{:.4f},{:.4f},{},{},{:.1f},{:.1f},{:.3f},{:.2f},{:.4f},{},{},{},{},{},{}\n"
                      : "{:9} {:17} {:18} {:8.4f} {:8.4f} {:>6} {:>6} {:10.1f} {:10.1f} {:6.3f} {:8.2f} {:7.4f} {:6} "
                        "{:6} {:>6} {:6} {:6} {:7}\n";
    fmt::print(fmt::runtime(format), header.deployment, header.scenario,
        csv ? fmt::format("\"{}\"", policies) : std::string(policies), row.criticalGood, row.allGood,
        hasPeak ? fmt::format("{:.3f}", row.peakGoodput) : "-", hasPeak ? fmt::format("{:.1f}", row.drainSeconds) : "-",
        row.waitP99, row.queueP99, row.amplification, row.crossRegionMegabytes, row.victimShare, row.wrong, row.untrue,
        lostText(row), row.falseDegradations, row.falseEjections, row.crashesPerRequest);
}

void printHead(bool csv)
{
    if (csv)
        fmt::print("deployment,scenario,policies,critical_good,all_good,peak_goodput,drain_s,wait_p99_ms,queue_p99_ms,"
                   "attempts_per_offered,cross_region_mb,victim_share,wrong_delivered,untrue,traffic_lost_s,"
                   "false_degradations,false_ejection_requests,crashes_per_request\n");
    else
        fmt::print("{:9} {:17} {:18} {:>8} {:>8} {:>6} {:>6} {:>10} {:>10} {:>6} {:>8} {:>7} {:>6} {:>6} {:>6} {:>6} "
                   "{:>6} {:>7}\n",
            "deployed", "scenario", "policies", "critical", "all good", "peak", "drain", "wait p99", "queue p99",
            "amplif", "cross MB", "victim", "wrong", "untrue", "lost s", "f.degr", "f.ejct", "crashes");
}

template <typename Policies>
void benchPolicies(const BenchOptions& options, Deployment deployment, Scenario scenario, std::string_view name)
{
    Row row;
    TraceHeader header;
    for (uint32_t i = 0; i < options.seeds; ++i) {
        Trace trace = generateTrace(deployment, scenario, options.seed + i);
        header = trace.header;
        ReplayOptions replayOptions;
        replayOptions.seed = options.seed + i;
        merge(row, replay(trace, Policies {}, replayOptions), header.peakEnd > header.peakStart);
    }
    printRow(options.csv, header, name, row);
}

void benchScenario(const BenchOptions& options, Deployment deployment, Scenario scenario)
{
    using Queue = AdmissionQueue;
    using None = NullDetector;
    using Errors = ConsecutiveErrorDetector;
    benchPolicies<ReplayPolicies<Balancer, Queue, None, AttemptPolicy>>(options, deployment, scenario, "fleet");
    benchPolicies<
        ReplayPolicies<Balancer, Queue, HealthMonitor, AttemptPolicy, ExponentialReadmission, QueryOfDeathFilter>>(
        options, deployment, scenario, "fleet+detection");
    benchPolicies<ReplayPolicies<Balancer, Queue, Errors, AttemptPolicy>>(
        options, deployment, scenario, "fleet+errors");
    benchPolicies<ReplayPolicies<Balancer, FifoAdmission, None, AttemptPolicy>>(
        options, deployment, scenario, "fleet, fifo");
    benchPolicies<ReplayPolicies<RoundRobinBalancer, Queue, None, AttemptPolicy>>(
        options, deployment, scenario, "fleet, round robin");
    benchPolicies<ReplayPolicies<LeastOutstandingBalancer, Queue, None, AttemptPolicy>>(
        options, deployment, scenario, "fleet, least outst");
    benchPolicies<ReplayPolicies<Balancer, Queue, None, ThreeRetries>>(
        options, deployment, scenario, "fleet, 3 retries");
    benchPolicies<ReplayPolicies<RoundRobinBalancer, FifoAdmission, None, ThreeRetries>>(
        options, deployment, scenario, "all baselines");
}

//-----------------------------------------------------------------------------
// [SECTION] Cost of a decision
//-----------------------------------------------------------------------------

std::shared_ptr<const CandidateList> makeCandidates(size_t count)
{
    auto candidates = std::make_shared<CandidateList>();
    for (size_t i = 0; i < count; ++i) {
        Candidate candidate;
        candidate.upstream = fmt::format("upstream-{:06}", i);
        candidate.service = "service";
        candidate.node = fmt::format("node-{:06}", i);
        candidate.location = Location { i % 2 ? "north" : "south", fmt::format("centre-{}", i % 6) };
        candidate.slots = 8;
        candidates->push_back(std::move(candidate));
    }
    return candidates;
}

struct Cost {
    double nanosecondsPerChoice = 0;
    double firstChoiceMicroseconds = 0; // after a change of the candidates
    double bytesPerUpstream = 0; // state of the balancer, without the shared candidate list
};

template <typename BalancerType> Cost costOf(BalancerType& balancer, size_t count)
{
    using Clock = std::chrono::steady_clock;
    constexpr int choices = 20'000;
    constexpr int choicesOfScans = 200; // for balancers whose choice grows with the candidates
    bool scans = std::is_same_v<BalancerType, LeastOutstandingBalancer> && count > 1000;
    int rounds = scans ? choicesOfScans : choices;
    Instant now { 1000s };
    auto candidates = makeCandidates(count);
    BalanceRequest request;
    request.service = "service";
    auto one = [&] {
        const Candidate* chosen = balancer.choose(request, now);
        balancer.started(chosen->upstream, now);
        balancer.finished(chosen->upstream, { .running = 2, .limit = 8 }, now);
        now += 100us;
    };
    auto setAt = Clock::now();
    balancer.setCandidates(candidates, now);
    one();
    auto start = Clock::now();
    for (int i = 0; i < rounds; ++i)
        one();
    std::chrono::duration<double, std::nano> time = Clock::now() - start;
    Cost cost;
    cost.nanosecondsPerChoice = time.count() / rounds;
    cost.firstChoiceMicroseconds = std::chrono::duration<double, std::micro>(start - setAt).count();
    if constexpr (std::is_same_v<BalancerType, Balancer>)
        cost.bytesPerUpstream = static_cast<double>(balancer.stateBytes()) / static_cast<double>(count);
    return cost;
}

template <typename BalancerType> void benchCost(bool csv, std::string_view name)
{
    for (size_t count : { 12U, 200U, 94'000U }) {
        BalancerType balancer({ "south", "centre-0" }, 1);
        Cost cost = costOf(balancer, count);
        fmt::print(fmt::runtime(csv ? "{},{},{:.0f},{:.0f},{:.2f}\n" : "{:18} {:9} {:12.0f} {:14.0f} {:14.2f}\n"), name,
            count, cost.nanosecondsPerChoice, cost.firstChoiceMicroseconds, cost.bytesPerUpstream);
    }
}

void benchAdmissionCost(bool csv)
{
    using Clock = std::chrono::steady_clock;
    constexpr int rounds = 100'000;
    AdmissionQueue queue(8, {});
    Instant now { 1000s };
    TicketId next = 0;
    for (; next < 100; ++next)
        queue.offer({ next, static_cast<WorkClass>(next % workClassCount), 1, now + 1h }, now);
    std::vector<TicketId> running(8);
    for (size_t i = 0; i < running.size(); ++i)
        running[i] = i;
    auto start = Clock::now();
    for (int i = 0; i < rounds; ++i) {
        now += 1ms;
        TicketId& slot = running[static_cast<size_t>(i) % running.size()];
        queue.finish(slot, 8ms, true, now);
        slot = *queue.takeReady(now);
        queue.offer({ next++, static_cast<WorkClass>(next % workClassCount), 1, now + 1h }, now);
    }
    std::chrono::duration<double, std::nano> time = Clock::now() - start;
    fmt::print(
        fmt::runtime(csv ? "{},{},{:.0f},,\n" : "{:18} {:9} {:12.0f}\n"), "AdmissionQueue", 92, time.count() / rounds);
}

} // namespace

int runBench(const BenchOptions& options)
{
    if (!options.costOnly) {
        printHead(options.csv);
        for (Deployment deployment : { Deployment::Persatuan, Deployment::Nivelaria }) {
            for (size_t i = 0; i < scenarioCount; ++i)
                benchScenario(options, deployment, static_cast<Scenario>(i));
        }
    }
    fmt::print(
        fmt::runtime(options.csv ? "policy,candidates,ns_per_request,first_choice_us,bytes_per_upstream\n"
                                 : "\npolicy             candidates ns/request first choice us bytes/upstream\n"));
    benchCost<Balancer>(options.csv, "Balancer");
    benchCost<RoundRobinBalancer>(options.csv, "RoundRobin");
    benchCost<LeastOutstandingBalancer>(options.csv, "LeastOutstanding");
    benchAdmissionCost(options.csv);
    return 0;
}

} // namespace Gooseberrymill

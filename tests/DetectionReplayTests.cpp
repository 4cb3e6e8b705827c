// Checks failure detection in replayed traces. All bounds are those of section 1.2 of the design page.
#define BOOST_TEST_MODULE DetectionReplay
#include "Gooseberrymill.h"

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <numeric>

using namespace Gooseberrymill;

namespace {

using FleetWithHealthMonitor = ReplayPolicies<Balancer, AdmissionQueue, HealthMonitor, AttemptPolicy,
    ExponentialReadmission, QueryOfDeathFilter>;
using Baseline = ReplayPolicies<Balancer, AdmissionQueue, ConsecutiveErrorDetector, AttemptPolicy, FixedReadmission,
    PassAllFilter>;

constexpr std::array<Deployment, 2> deployments { Deployment::Persatuan, Deployment::Nivelaria };

// In these traces no upstream is slow, fails, answers wrongly or misreports its load.
constexpr std::array healthyScenarios { Scenario::Quiet, Scenario::Peak, Scenario::Stragglers,
    Scenario::HiddenStragglers, Scenario::Rolling, Scenario::ColdStarts, Scenario::Shedding, Scenario::OneWayCut,
    Scenario::RegionCut };

struct DetectionBound {
    double rate = 10; // requests per second and upstream
    Duration time = 10s; // longest time from the fault until the upstream has lost its traffic
};
constexpr DetectionBound highRate { 10, 10s };
constexpr DetectionBound lowRate { 1, 30s };
constexpr uint64_t maxCrashes = 2; // crashes by one request in the whole fleet
constexpr double amplificationBound = 1.2; // attempts against offered requests in any 10 s

template <typename Policies> ReplayResult replayAt(double rate, Deployment deployment, Scenario scenario, uint64_t seed)
{
    ReplayOptions options;
    options.seed = seed;
    return replay(thinTrace(generateTrace(deployment, scenario, seed), rate, seed), Policies {}, options);
}

// True when there are faults and every upstream with a fault loses its traffic within `bound`.
bool losesTrafficWithin(const ReplayResult& result, Duration bound)
{
    auto isInTime = [bound](const FaultOutcome& it) { return it.timeToTrafficLoss && *it.timeToTrafficLoss <= bound; };
    return !result.faults.empty() && std::all_of(result.faults.begin(), result.faults.end(), isInTime);
}

void checkDetection(const DetectionBound& bound, std::span<const Scenario> scenarios, uint64_t seeds)
{
    for (Deployment deployment : deployments) {
        for (Scenario scenario : scenarios) {
            for (uint64_t seed = 1; seed <= seeds; ++seed) {
                BOOST_TEST_CONTEXT(toString(deployment) << " " << toString(scenario) << " seed " << seed)
                {
                    ReplayResult result = replayAt<FleetWithHealthMonitor>(bound.rate, deployment, scenario, seed);
                    BOOST_TEST(losesTrafficWithin(result, bound.time));
                    BOOST_TEST(result.falseDegradations == 0U);
                    BOOST_TEST(result.falseEjectionRequests == 0U);
                    BOOST_TEST(result.falseNotRun == 0U);
                    BOOST_TEST(result.repeatedRuns == 0U);
                    BOOST_TEST(result.worstAmplification <= amplificationBound);
                }
            }
        }
    }
}

uint64_t environmentNumber(const char* name, uint64_t fallback)
{
    const char* text = std::getenv(name);
    return text ? std::strtoull(text, nullptr, 10) : fallback;
}

} // namespace

// Guards against an unhealthy upstream that keeps its traffic, and against degrading its healthy peers.
BOOST_AUTO_TEST_CASE(detectsFaultsAtTenRequestsPerSecond)
{
    constexpr std::array scenarios { Scenario::SlowUpstream, Scenario::FailOneInFive, Scenario::WrongOneInFive,
        Scenario::Flapping, Scenario::PassingChecks, Scenario::LyingAndSlow };
    checkDetection(highRate, scenarios, 3);
}

// Guards against detection that needs more answers than a service with little traffic gives.
BOOST_AUTO_TEST_CASE(detectsSlownessAtOneRequestPerSecond)
{
    constexpr std::array scenarios { Scenario::SlowUpstream, Scenario::LyingAndSlow };
    checkDetection(lowRate, scenarios, 10);
}

// Guards against random failures that stay undetected at a low request rate.
BOOST_AUTO_TEST_CASE(detectsFailuresAtOneRequestPerSecond)
{
    constexpr std::array scenarios { Scenario::FailOneInFive, Scenario::WrongOneInFive };
    checkDetection(lowRate, scenarios, 10);
}

// Guards against a replay that any detector would pass. The baseline counts consecutive errors, so it misses slow
// upstreams and one bad answer in five.
BOOST_AUTO_TEST_CASE(baselineMissesTheBounds)
{
    for (Deployment deployment : deployments) {
        for (Scenario scenario :
            { Scenario::SlowUpstream, Scenario::FailOneInFive, Scenario::WrongOneInFive, Scenario::LyingAndSlow }) {
            uint64_t missed = 0;
            constexpr uint64_t seeds = 5;
            for (uint64_t seed = 1; seed <= seeds; ++seed)
                missed += !losesTrafficWithin(
                    replayAt<Baseline>(highRate.rate, deployment, scenario, seed), highRate.time);
            BOOST_TEST(missed > 0U, toString(deployment) << " " << toString(scenario));
        }
    }
}

// Guards against healthy upstreams that are degraded or proposed for ejection during a demand peak, behind stragglers,
// while they are replaced, start cold or shed, and behind a partition. GM_HEALTHY_SEEDS sets the number of seeds for
// the Persatuan deployment and GM_HEALTHY_FIRST_SEED the first seed of both deployments.
BOOST_AUTO_TEST_CASE(healthyTracesGetNoVerdict)
{
    constexpr uint64_t defaultSeeds = 2;
    uint64_t first = environmentNumber("GM_HEALTHY_FIRST_SEED", 1);
    uint64_t seeds = environmentNumber("GM_HEALTHY_SEEDS", defaultSeeds);
    for (Deployment deployment : deployments) {
        uint64_t count = deployment == Deployment::Persatuan ? seeds : std::min(seeds, defaultSeeds);
        for (Scenario scenario : healthyScenarios) {
            for (uint64_t seed = first; seed < first + count; ++seed) {
                BOOST_TEST_CONTEXT(toString(deployment) << " " << toString(scenario) << " seed " << seed)
                {
                    ReplayOptions options;
                    options.seed = seed;
                    ReplayResult result
                        = replay(generateTrace(deployment, scenario, seed), FleetWithHealthMonitor {}, options);
                    BOOST_TEST(result.degradations == 0U);
                    BOOST_TEST(result.ejectionRequests == 0U);
                }
            }
        }
    }
}

// Guards against an upstream that some entries cannot reach losing the traffic of the other entries: each upstream
// behind the cut must keep more than half of an even share.
BOOST_AUTO_TEST_CASE(oneWayPartitionKeepsReachableEntries)
{
    for (Deployment deployment : deployments) {
        for (uint64_t seed = 1; seed <= 2; ++seed) {
            Trace trace = generateTrace(deployment, Scenario::OneWayCut, seed);
            ReplayResult result = replay(trace, FleetWithHealthMonitor {});
            BOOST_TEST(result.degradations == 0U);
            BOOST_TEST(result.ejectionRequests == 0U);
            const auto& served = result.servedAfterFault;
            auto total = std::accumulate(served.begin(), served.end(), uint64_t { 0 });
            for (size_t i = 0; i < served.size(); ++i) {
                if (trace.header.upstreams[i].dataCentre <= 1)
                    BOOST_TEST(served[i] > total / served.size() / 2);
            }
        }
    }
}

// Guards against a request that crashes one upstream after the other, and against upstreams degraded because of it.
BOOST_AUTO_TEST_CASE(queryOfDeathIsStopped)
{
    for (Deployment deployment : deployments) {
        for (uint64_t seed = 1; seed <= 3; ++seed) {
            Trace trace = generateTrace(deployment, Scenario::QueryOfDeath, seed);
            ReplayResult result = replay(trace, FleetWithHealthMonitor {});
            BOOST_TEST(!result.crashesByFingerprint.empty());
            for (const auto& [fingerprint, crashes] : result.crashesByFingerprint)
                BOOST_TEST(crashes <= maxCrashes, toString(deployment) << " seed " << seed << ": " << crashes);
            BOOST_TEST(result.degradations == 0U);
            BOOST_TEST(result.ejectionRequests == 0U);
            BOOST_TEST(result.falseNotRun == 0U);
            if (seed == 1) {
                ReplayResult baseline = replay(trace, Baseline {});
                for (const auto& [fingerprint, crashes] : baseline.crashesByFingerprint)
                    BOOST_TEST(crashes > maxCrashes);
            }
        }
    }
}

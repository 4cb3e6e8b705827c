// Checks the outcomes of replayed traces. All bounds are those of section 1.2 of the design page.
#define BOOST_TEST_MODULE Replay
#include "Gooseberrymill.h"

#include <boost/test/unit_test.hpp>
#include <numeric>

using namespace Gooseberrymill;

namespace {

// The policies of the fleet without detection, with a simple detector, and simple policies for comparison.
using Fleet = ReplayPolicies<Balancer, AdmissionQueue, NullDetector, AttemptPolicy>;
using FleetWithDetection = ReplayPolicies<Balancer, AdmissionQueue, ConsecutiveErrorDetector, AttemptPolicy>;
using Baseline = ReplayPolicies<RoundRobinBalancer, FifoAdmission, NullDetector, ThreeRetries>;

constexpr std::array<Deployment, 2> deployments { Deployment::Persatuan, Deployment::Nivelaria };

constexpr double goodputBound = 0.9; // share of the capacity at the demand peak
constexpr double amplificationBound = 1.2; // attempts against offered requests in any 10 s
constexpr double shortWaitBound = 2.0; // 99th percentile with stragglers as a multiple of that without
constexpr Duration drainBound = 10s; // design page: queues drain "within seconds" after the peak

Duration waitOf(const ReplayResult& result) { return percentile(result.shortWaits, 0.99); }

// Checks what must hold in every trace: a request answered "not run" did not run, a non-repeatable operation runs at
// most once, and retries stay within their bound.
void checkInvariants(const ReplayResult& result)
{
    BOOST_TEST(result.falseNotRun == 0U);
    BOOST_TEST(result.repeatedRuns == 0U);
    BOOST_TEST(result.worstAmplification <= amplificationBound);
}

} // namespace

// Guards against a trace that changes when it is written and read again.
BOOST_AUTO_TEST_CASE(traceRoundTrips)
{
    for (Scenario scenario :
        { Scenario::Rolling, Scenario::CutWithWrong, Scenario::RegionCut, Scenario::QueryOfDeath }) {
        Trace trace = generateTrace(Deployment::Nivelaria, scenario, 7);
        trace.events.resize(trace.events.size() / 2);
        auto parsed = parseTrace(toText(trace));
        BOOST_REQUIRE(parsed.has_value());
        BOOST_TEST((parsed.value().events == trace.events));
        BOOST_TEST((parsed.value().header.upstreams == trace.header.upstreams));
        BOOST_TEST((parsed.value().header.dataCentres == trace.header.dataCentres));
        BOOST_TEST(toText(parsed.value()) == toText(trace));
    }
}

// Guards against replays of the same trace and seed with different results.
BOOST_AUTO_TEST_CASE(replayIsDeterministic)
{
    Trace first = generateTrace(Deployment::Persatuan, Scenario::Rolling, 3);
    Trace second = generateTrace(Deployment::Persatuan, Scenario::Rolling, 3);
    BOOST_TEST((first.events == second.events));
    ReplayResult a = replay(first, Fleet {});
    ReplayResult b = replay(second, Fleet {});
    BOOST_TEST(a.attempts == b.attempts);
    BOOST_TEST((a.shortWaits == b.shortWaits));
    BOOST_TEST((a.servedAfterFault == b.servedAfterFault));
}

// Guards against a malformed trace being replayed in part. The error must name the line.
BOOST_AUTO_TEST_CASE(malformedTraceIsRefused)
{
    Trace trace = generateTrace(Deployment::Nivelaria, Scenario::Quiet, 1);
    trace.events.resize(3);
    std::string text = toText(trace);
    std::vector<std::string> malformedTexts { "", "{}", "not json\n", text.substr(0, text.size() - 20),
        text + R"({"event":"upstream","at":1,"upstream":999,"kind":"slow","value":2})",
        text + R"({"event":"unknown","at":99999999})",
        text + R"({"event":"pathCut","at":0,"from":0,"to":1,"cut":true})" };
    for (const std::string& it : malformedTexts) {
        auto parsed = parseTrace(it);
        BOOST_REQUIRE(parsed.has_error());
        BOOST_TEST((parsed.error().code == ErrorCode::Malformed));
        BOOST_TEST(parsed.error().detail.starts_with("line "));
    }
}

// Guards against congestion collapse, starvation of a work class, failed critical requests and queues that do not drain
// after a demand peak.
BOOST_AUTO_TEST_CASE(demandPeak)
{
    for (Deployment deployment : deployments) {
        Trace trace = generateTrace(deployment, Scenario::Peak, 1);
        ReplayResult result = replay(trace, Fleet {});
        const ClassOutcome& critical = result.peakClasses[static_cast<size_t>(WorkClass::Critical)];
        BOOST_TEST(result.peakGoodput > goodputBound);
        BOOST_TEST(critical.good == critical.offered);
        BOOST_TEST(result.drainTime <= drainBound);
        for (const ClassOutcome& outcome : result.peakClasses)
            BOOST_TEST((!outcome.offered || outcome.good > 0));
        checkInvariants(result);

        ReplayResult baseline = replay(trace, Baseline {});
        const ClassOutcome& baselineCritical = baseline.peakClasses[static_cast<size_t>(WorkClass::Critical)];
        BOOST_TEST(baselineCritical.good < baselineCritical.offered);
        BOOST_TEST(baseline.drainTime > drainBound);
    }
}

// Guards against patient callers being refused at once at the peak: their reads must wait in the queue.
BOOST_AUTO_TEST_CASE(patientReadsAreQueuedAtThePeak)
{
    ReplayResult result = replay(generateTrace(Deployment::Persatuan, Scenario::Peak, 2), Fleet {});
    BOOST_TEST(percentile(result.queueWaits, 0.95) > Duration(1s));
}

// Guards against short requests that wait behind stragglers, and against stragglers that never finish. In one
// scenario the stragglers have a route of their own, in the other they cannot be told from other requests beforehand.
BOOST_AUTO_TEST_CASE(headOfLineBlocking)
{
    for (uint64_t seed = 1; seed <= 3; ++seed) {
        Trace withoutStragglers = generateTrace(Deployment::Nivelaria, Scenario::ShortOnly, seed);
        auto shortOnly = static_cast<double>(waitOf(replay(withoutStragglers, Fleet {})).count());
        auto baselineShortOnly = static_cast<double>(waitOf(replay(withoutStragglers, Baseline {})).count());
        for (Scenario scenario : { Scenario::Stragglers, Scenario::HiddenStragglers }) {
            BOOST_TEST_CONTEXT(toString(scenario) << " seed " << seed)
            {
                Trace withStragglers = generateTrace(Deployment::Nivelaria, scenario, seed);
                ReplayResult result = replay(withStragglers, Fleet {});
                BOOST_TEST(static_cast<double>(waitOf(result).count()) <= shortWaitBound * shortOnly);
                BOOST_TEST(result.stragglersGood == result.stragglers);
                BOOST_TEST(result.stragglers > 100U);
                checkInvariants(result);

                ReplayResult baseline = replay(withStragglers, Baseline {});
                BOOST_TEST(static_cast<double>(waitOf(baseline).count()) > shortWaitBound * baselineShortOnly);
            }
        }
    }
}

// Guards against traffic between regions, which is billed, when there is neither overload nor a fault.
BOOST_AUTO_TEST_CASE(quietTraceStaysInItsRegion)
{
    for (Deployment deployment : deployments) {
        for (uint64_t seed = 1; seed <= 3; ++seed) {
            Trace trace = generateTrace(deployment, Scenario::Quiet, seed);
            ReplayResult result = replay(trace, Fleet {});
            BOOST_TEST(result.totalCrossRegionBytes() == 0U, toString(deployment) << " seed " << seed);
            checkInvariants(result);
            if (seed == 1)
                BOOST_TEST(replay(trace, Baseline {}).totalCrossRegionBytes() > 0U);
        }
    }
}

// Guards against an upstream that some entries cannot reach losing the traffic of the other entries, and against the
// detector blaming the upstream for the failed path.
BOOST_AUTO_TEST_CASE(oneWayPartition)
{
    for (Deployment deployment : deployments) {
        Trace trace = generateTrace(deployment, Scenario::OneWayCut, 1);
        ReplayResult result = replay(trace, FleetWithDetection {});
        BOOST_TEST(result.ejectionRequests == 0U);
        BOOST_TEST(result.degradations == 0U);
        auto total = std::accumulate(result.servedAfterFault.begin(), result.servedAfterFault.end(), uint64_t { 0 });
        for (size_t i = 0; i < result.servedAfterFault.size(); ++i) {
            bool isBehindCut = trace.header.upstreams[i].dataCentre <= 1;
            if (isBehindCut)
                BOOST_TEST(result.servedAfterFault[i] > total / trace.header.upstreams.size() / 2);
        }
        checkInvariants(result);
    }
}

// Guards against failed requests in a region that is cut off although its own upstreams can serve them.
BOOST_AUTO_TEST_CASE(regionCutOff)
{
    for (Deployment deployment : deployments) {
        Trace trace = generateTrace(deployment, Scenario::RegionCut, 1);
        ReplayResult result = replay(trace, Fleet {});
        for (const ClassOutcome& outcome : result.classes)
            BOOST_TEST(outcome.good == outcome.offered);
        ReplayResult baseline = replay(trace, Baseline {});
        BOOST_TEST(baseline.classes[0].good < baseline.classes[0].offered);
    }
}

// Guards against a false "not run", a second run and a retry storm under every kind of fault.
BOOST_AUTO_TEST_CASE(invariantsHoldInEveryScenario)
{
    for (Deployment deployment : deployments) {
        for (size_t i = 0; i < scenarioCount; ++i) {
            auto scenario = static_cast<Scenario>(i);
            BOOST_TEST_CONTEXT(toString(deployment) << " " << toString(scenario))
            {
                ReplayResult result = replay(generateTrace(deployment, scenario, 11), FleetWithDetection {});
                checkInvariants(result);
            }
        }
    }
}

// Guards against traffic concentrating on a slow upstream whose load reports claim that it is idle: it may get no
// more than an even share.
BOOST_AUTO_TEST_CASE(lyingReportsDoNotAttractTraffic)
{
    for (Deployment deployment : deployments) {
        ReplayResult result = replay(generateTrace(deployment, Scenario::LyingReports, 1), Fleet {});
        auto total = std::accumulate(result.servedAfterFault.begin(), result.servedAfterFault.end(), uint64_t { 0 });
        BOOST_TEST(result.servedAfterFault[0] <= total / result.servedAfterFault.size());
        for (const ClassOutcome& outcome : result.classes)
            BOOST_TEST(outcome.good == outcome.offered);
    }
}

// Guards against requests lost during a rolling replacement, and against restarted upstreams that get no traffic.
BOOST_AUTO_TEST_CASE(rollingReplacementLosesNothing)
{
    for (Deployment deployment : deployments) {
        ReplayResult result = replay(generateTrace(deployment, Scenario::Rolling, 1), Fleet {});
        for (const ClassOutcome& outcome : result.classes)
            BOOST_TEST(outcome.good == outcome.offered);
        for (size_t i = 0; i < 12; ++i)
            BOOST_TEST(result.servedAfterFault[i] > 0U);
    }
}

// Outcomes of replayed traces. Every bound comes from section 1.2 of the design page.
#define BOOST_TEST_MODULE Replay
#include "Gooseberrymill.h"

#include <boost/test/unit_test.hpp>
#include <numeric>

using namespace Gooseberrymill;

namespace {

using Fleet = ReplayPolicies<Balancer, AdmissionQueue, NullDetector, AttemptPolicy>;
using FleetWithDetection = ReplayPolicies<Balancer, AdmissionQueue, ConsecutiveErrorDetector, AttemptPolicy>;
using Baseline = ReplayPolicies<RoundRobinBalancer, FifoAdmission, NullDetector, ThreeRetries>;

constexpr std::array<Deployment, 2> deployments { Deployment::Persatuan, Deployment::Nivelaria };

constexpr double goodputBound = 0.9; // of the capacity at the demand peak
constexpr double amplificationBound = 1.2; // attempts against offered requests in any 10 s
constexpr double shortWaitBound = 2.0; // 99th percentile with stragglers against that without
constexpr Duration drainBound = 10s; // "within seconds" after the surge

Duration waitOf(const ReplayResult& result) { return percentile(result.shortWaits, 0.99); }

// What holds in every trace: "not run" is true and no operation runs twice.
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

// Guards against figures that cannot be repeated.
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

// Guards against a damaged trace being replayed in part. The error names the line.
BOOST_AUTO_TEST_CASE(malformedTraceIsRefused)
{
    Trace trace = generateTrace(Deployment::Nivelaria, Scenario::Quiet, 1);
    trace.events.resize(3);
    std::string text = toText(trace);
    std::vector<std::string> damaged { "", "{}", "not json\n", text.substr(0, text.size() - 20),
        text + R"({"event":"upstream","at":1,"upstream":999,"kind":"slow","value":2})",
        text + R"({"event":"unknown","at":99999999})",
        text + R"({"event":"pathCut","at":0,"from":0,"to":1,"cut":true})" };
    for (const std::string& it : damaged) {
        auto parsed = parseTrace(it);
        BOOST_REQUIRE(parsed.has_error());
        BOOST_TEST((parsed.error().code == ErrorCode::Malformed));
        BOOST_TEST(parsed.error().detail.starts_with("line "));
    }
}

// Guards against congestion collapse, starved orders and a queue that outlives the surge.
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

// Guards against willing callers being refused at once: their reads wait in the queue.
BOOST_AUTO_TEST_CASE(patientReadsAreQueuedAtThePeak)
{
    ReplayResult result = replay(generateTrace(Deployment::Persatuan, Scenario::Peak, 2), Fleet {});
    BOOST_TEST(percentile(result.queueWaits, 0.95) > Duration(1s));
}

// Guards against short requests waiting behind stragglers, and against stragglers that never finish. In
// one scenario the stragglers have a route of their own, in the other nothing tells them beforehand.
BOOST_AUTO_TEST_CASE(headOfLineBlocking)
{
    for (uint64_t seed = 1; seed <= 3; ++seed) {
        Trace without = generateTrace(Deployment::Nivelaria, Scenario::ShortOnly, seed);
        auto shortOnly = static_cast<double>(waitOf(replay(without, Fleet {})).count());
        auto baselineShortOnly = static_cast<double>(waitOf(replay(without, Baseline {})).count());
        for (Scenario scenario : { Scenario::Stragglers, Scenario::HiddenStragglers }) {
            BOOST_TEST_CONTEXT(toString(scenario) << " seed " << seed)
            {
                Trace with = generateTrace(Deployment::Nivelaria, scenario, seed);
                ReplayResult result = replay(with, Fleet {});
                BOOST_TEST(static_cast<double>(waitOf(result).count()) <= shortWaitBound * shortOnly);
                BOOST_TEST(result.stragglersGood == result.stragglers);
                BOOST_TEST(result.stragglers > 100U);
                checkInvariants(result);

                ReplayResult baseline = replay(with, Baseline {});
                BOOST_TEST(static_cast<double>(waitOf(baseline).count()) > shortWaitBound * baselineShortOnly);
            }
        }
    }
}

// Guards against billed traffic between regions on a quiet day.
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

// Guards against an upstream that only some entries cannot reach losing the traffic of the others, or
// being judged for the path.
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

// Guards against a region that is cut off failing requests that its own upstreams can serve.
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

// Guards against an untrue "not run", a second run and a retry storm under every kind of fault.
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

// Guards against traffic that stays on a slow upstream whose reports claim to be idle: no more than the
// share of a healthy upstream may reach it.
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

// Guards against requests lost during a rolling replacement and cold starts without traffic.
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

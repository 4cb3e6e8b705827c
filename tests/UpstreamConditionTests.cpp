#define BOOST_TEST_MODULE UpstreamCondition
#include "Gooseberrymill.h"

#include <boost/test/unit_test.hpp>

using namespace Gooseberrymill;

namespace {

constexpr Instant start { 1000s };

UpstreamCondition readyCondition()
{
    UpstreamCondition condition;
    condition.started(start);
    return condition;
}

} // namespace

// Guards against a suspect upstream keeping its traffic, or being ejected on a Suspect verdict alone.
BOOST_AUTO_TEST_CASE(suspectDegradesAndSickAsksForEjection)
{
    UpstreamCondition condition = readyCondition();
    condition.verdict(Verdict::Suspect, start + 1s);
    BOOST_TEST((condition.state() == UpstreamState::Degraded));
    BOOST_TEST(condition.share(start + 1s) == 0);
    BOOST_TEST(!condition.wantsEjection());
    condition.verdict(Verdict::Unhealthy, start + 2s);
    BOOST_TEST((condition.state() == UpstreamState::Degraded));
    BOOST_TEST(condition.wantsEjection());
    condition.ejected(start + 3s);
    BOOST_TEST((condition.state() == UpstreamState::Ejected));
    BOOST_TEST(!condition.isProbationOver(start + 32s));
    BOOST_TEST(condition.isProbationOver(start + 33s));
}

// Guards against a degraded upstream returning at the first healthy verdict.
BOOST_AUTO_TEST_CASE(degradedReturnsAfterProbationOnly)
{
    UpstreamCondition condition = readyCondition();
    condition.verdict(Verdict::Suspect, start);
    condition.verdict(Verdict::Healthy, start + 1s);
    BOOST_TEST((condition.state() == UpstreamState::Degraded));
    condition.verdict(Verdict::Suspect, start + 20s);
    condition.verdict(Verdict::Healthy, start + 49s);
    BOOST_TEST((condition.state() == UpstreamState::Degraded));
    condition.verdict(Verdict::Healthy, start + 50s);
    BOOST_TEST((condition.state() == UpstreamState::Ready));
}

// Guards against a returning upstream receiving its full share, or non-repeatable requests, at once.
BOOST_AUTO_TEST_CASE(returnRampsUp)
{
    UpstreamCondition condition = readyCondition();
    condition.verdict(Verdict::Unhealthy, start);
    condition.ejected(start);
    condition.readmitted(start + 60s);
    BOOST_TEST(condition.share(start + 60s) == 0.05);
    BOOST_TEST(condition.share(start + 75s) == 0.5);
    BOOST_TEST(!condition.prefersNonRepeatable(start + 89s));
    BOOST_TEST(condition.prefersNonRepeatable(start + 90s));
}

// Guards against a flapping upstream returning as quickly each time, and against an endless probation.
BOOST_AUTO_TEST_CASE(flappingLengthensProbation)
{
    UpstreamCondition condition = readyCondition();
    Instant now = start;
    Duration last = 0s;
    for (int i = 0; i < 12; ++i) {
        condition.verdict(Verdict::Unhealthy, now);
        condition.ejected(now);
        Duration probation = 0s;
        while (!condition.isProbationOver(now + probation))
            probation += 1s;
        BOOST_TEST(probation.count() == std::min<int64_t>(Duration(30s).count() << i, Duration(30min).count()));
        BOOST_TEST((probation >= last));
        last = probation;
        now += probation;
        condition.readmitted(now);
    }
    now += 61min;
    condition.verdict(Verdict::Unhealthy, now);
    BOOST_TEST(condition.flaps() == 1U);
}

// Guards against an endless cycle of degrading and returning: without traffic a degraded upstream gives no evidence
// for an Unhealthy verdict.
BOOST_AUTO_TEST_CASE(repeatedSuspicionAsksForEjection)
{
    UpstreamCondition condition = readyCondition();
    Instant now = start;
    for (int i = 0; i < 2; ++i) {
        condition.verdict(Verdict::Suspect, now);
        BOOST_TEST(!condition.wantsEjection());
        now += 2min;
        condition.tick(now);
        BOOST_TEST((condition.state() == UpstreamState::Ready));
    }
    condition.verdict(Verdict::Suspect, now);
    BOOST_TEST(condition.wantsEjection());
}

// Guards against a restarted upstream inheriting the ejection of the process before it.
BOOST_AUTO_TEST_CASE(restartForgetsEjection)
{
    UpstreamCondition condition = readyCondition();
    condition.verdict(Verdict::Unhealthy, start);
    condition.ejected(start);
    condition.restarted(start + 1s);
    BOOST_TEST((condition.state() == UpstreamState::Cold));
    condition.started(start + 2s);
    BOOST_TEST((condition.state() == UpstreamState::Ready));
}

// Guards against a changed baseline: it returns after a fixed time with the full share.
BOOST_AUTO_TEST_CASE(fixedBaselineReturnsAtOnce)
{
    BasicUpstreamCondition<FixedReadmission> condition { FixedReadmission(10s) };
    condition.started(start);
    Instant now = start;
    for (int i = 0; i < 3; ++i) {
        condition.verdict(Verdict::Unhealthy, now);
        condition.ejected(now);
        BOOST_TEST(!condition.isProbationOver(now + 9s));
        now += 10s;
        BOOST_TEST(condition.isProbationOver(now));
        condition.readmitted(now);
        BOOST_TEST(condition.share(now) == 1);
    }
}

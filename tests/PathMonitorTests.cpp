#define BOOST_TEST_MODULE PathMonitor
#include "Gooseberrymill.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace Gooseberrymill;

namespace {

constexpr Instant start { 1000s };

void failTimes(PathMonitor& monitor, uint32_t count, Instant now)
{
    for (uint32_t i = 0; i < count; ++i)
        monitor.record("node", false, now);
}

} // namespace

// Guards against a single failed connection making a node unusable.
BOOST_AUTO_TEST_CASE(singleFailureKeepsPath)
{
    PathMonitor monitor(1);
    failTimes(monitor, 1, start);
    BOOST_TEST(monitor.isUsable("node", start));
    BOOST_TEST(monitor.isUsable("other", start));
}

// Guards against requests being sent along a broken path repeatedly.
BOOST_AUTO_TEST_CASE(repeatedFailuresAvoidPathForBackoff)
{
    PathMonitor monitor(1);
    failTimes(monitor, 2, start);
    BOOST_TEST(!monitor.isUsable("node", start));
    BOOST_TEST(!monitor.isUsable("node", start + 399ms));
    BOOST_TEST(monitor.isUsable("node", start + 601ms));
    BOOST_TEST(monitor.isUsable("other", start));
}

// Guards against several requests testing a broken path at once.
BOOST_AUTO_TEST_CASE(trialIsTakenOnce)
{
    PathMonitor monitor(1);
    failTimes(monitor, 2, start);
    Instant later = start + 1s;
    BOOST_REQUIRE(monitor.isUsable("node", later));
    monitor.beginTrial("node", later);
    BOOST_TEST(!monitor.isUsable("node", later));
    BOOST_TEST(monitor.isUsable("node", later + 500ms)); // a trial without a result does not block the path for ever
}

// Guards against a backoff that grows because many requests failed together.
BOOST_AUTO_TEST_CASE(failuresDuringBackoffCountOnce)
{
    PathMonitor monitor(1);
    failTimes(monitor, 100, start);
    BOOST_TEST(monitor.failures("node") == 2U);
    BOOST_TEST(monitor.isUsable("node", start + 601ms));
}

// Guards against a repaired path, or a new incarnation of a node, being avoided.
BOOST_AUTO_TEST_CASE(successAndForgetClearPath)
{
    PathMonitor monitor(1);
    failTimes(monitor, 2, start);
    monitor.record("node", true, start);
    BOOST_TEST(monitor.isUsable("node", start));
    BOOST_TEST(monitor.size() == 0U);
    failTimes(monitor, 2, start);
    monitor.forget("node");
    BOOST_TEST(monitor.isUsable("node", start));
}

// Guards against memory that grows with every node ever seen.
BOOST_AUTO_TEST_CASE(memoryIsBounded)
{
    PathMonitor monitor(1, { .maxPaths = 3 });
    for (int i = 0; i < 10; ++i)
        monitor.record(std::to_string(i), false, start);
    BOOST_TEST(monitor.size() == 3U);
    monitor.prune(start + 11min);
    BOOST_TEST(monitor.size() == 0U);
}

// Guards against a backoff that exceeds its limit or makes a path unusable for good.
RC_BOOST_PROP(backoffStaysBounded, (uint64_t seed, const std::vector<uint16_t>& gaps))
{
    PathMonitor monitor(seed);
    Instant now = start;
    for (uint16_t gap : gaps) {
        now += std::chrono::milliseconds(gap);
        monitor.record("node", false, now);
        RC_ASSERT(monitor.isUsable("node", now + 36s));
    }
    monitor.record("node", true, now);
    RC_ASSERT(monitor.isUsable("node", now));
}

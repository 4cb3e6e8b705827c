#define BOOST_TEST_MODULE StallDetector
#include "core/StallDetector.h"

#include <boost/test/unit_test.hpp>

using namespace Gooseberrymill;
using namespace std::chrono_literals;

// Guards against an upstream that gets nothing for seconds while its requests are refused, and no line in the log.
BOOST_AUTO_TEST_CASE(refusalsWithoutADispatchAreReportedOnce)
{
    StallDetector detector;
    Instant start { 1h };
    BOOST_TEST(!detector.refused(start));
    BOOST_TEST(!detector.refused(start + StallDetector::reportAfter - 1ms));
    BOOST_TEST(detector.refused(start + StallDetector::reportAfter));
    BOOST_TEST(!detector.refused(start + 1min));
    BOOST_TEST(detector.refusals() == 4U);
}

// Guards against reports about an upstream that is merely full.
BOOST_AUTO_TEST_CASE(dispatchEndsTheStall)
{
    StallDetector detector;
    Instant now { 1h };
    for (int i = 0; i < 100; ++i, now += 100ms) {
        if (i % 10 == 0)
            detector.dispatched();
        BOOST_TEST(!detector.refused(now));
    }
}

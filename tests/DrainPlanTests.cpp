#define BOOST_TEST_MODULE DrainPlan
#include "Gooseberrymill.h"

#include <boost/test/unit_test.hpp>

using namespace Gooseberrymill;

// Guards against requests that are taken although the process ends before they can be served.
BOOST_AUTO_TEST_CASE(nothingIsTakenInTheSecondHalf)
{
    Instant start(100s);
    DrainPlan plan(start, 6s);
    BOOST_TEST(plan.acceptsRequests(start + 2999ms));
    BOOST_TEST(!plan.acceptsRequests(start + 3s));
    BOOST_TEST((plan.answerBy() == start + 5700ms));
    DrainPlan brief(start, 200ms);
    BOOST_TEST((brief.answerBy() == start + 100ms));
}

// Guards against a process without a limit that breaks off what it serves.
BOOST_AUTO_TEST_CASE(processWithoutALimitServesEverything)
{
    DrainPlan plan(Instant(100s), {});
    BOOST_TEST(plan.acceptsRequests(Instant(1000s)));
    BOOST_TEST((plan.answerBy() == Instant::max()));
}

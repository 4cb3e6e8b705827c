// The request path through real sockets: caller, entry, relay, executor, upstream.
#define BOOST_TEST_MODULE DataPath
#include "node/Log.h"
#include "TestFleet.h"

#include <boost/test/unit_test.hpp>

using namespace Gooseberrymill;
using namespace Gooseberrymill::Testing;

// Guards against a path that does not deliver at all.
BOOST_AUTO_TEST_CASE(servesGet)
{
    TestFleet fleet;
    HttpCaller caller(fleet.port());
    auto response = caller.request("GET", "/read/a?b=c");
    BOOST_TEST(response.status == 200);
    BOOST_TEST(response.complete);
    BOOST_TEST(response.body == "GET /read/a?b=c 0:cbf29ce484222325");
    BOOST_TEST(response.header(HeaderName::outcome) == "ran");
}

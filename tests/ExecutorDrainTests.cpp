// Requests that are queued at an executor when its node begins to stop.
#define BOOST_TEST_MODULE ExecutorDrain
#include "node/Log.h"
#include "TestFleet.h"

#include <boost/test/unit_test.hpp>
#include <future>

using namespace Gooseberrymill;
using namespace Gooseberrymill::Testing;

// Guards against a queued request that is dispatched seconds after its node received SIGTERM and then cut off when the
// process exits. The entry must send it to another upstream while there is time.
BOOST_AUTO_TEST_CASE(waitingRequestMovesToAnotherUpstream)
{
    FleetOptions options;
    options.nodes = 2;
    options.slots = 1;
    options.adjust = [](Settings& settings) { settings.drainTimeout = 10s; };
    TestFleet fleet(options);
    CandidateList all = fleet.candidates();
    fleet.setCandidates({ all[0] });
    auto sendOrder = [&](const char* fault) {
        return std::async(std::launch::async, [&fleet, fault] {
            HttpCaller caller(fleet.port(1));
            return caller.request("POST", "/order/a", { { "Stand-In-Fault", fault } }, "body").status;
        });
    };
    auto running = sendOrder("hold");
    BOOST_REQUIRE(fleet.upstream(0).waitForCount("/order/a", 1));
    auto waiting = sendOrder("none");
    // Time for the request to reach the queue. If this is too short, the test passes without covering the failure.
    std::this_thread::sleep_for(200ms);
    fleet.setCandidates(all);
    std::promise<void> stopped;
    fleet[0].node->stop([&] { stopped.set_value(); });
    BOOST_TEST((waiting.wait_for(5s) == std::future_status::ready));
    BOOST_TEST(fleet.upstream(1).count("/order/a") == 1U);
    fleet.upstream(0).releaseHeld();
    BOOST_TEST(running.get() == 200);
    BOOST_TEST(waiting.get() == 200);
    stopped.get_future().wait();
    BOOST_TEST(fleet.upstream(0).count("/order/a") == 1U);
}

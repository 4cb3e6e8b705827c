#define BOOST_TEST_MODULE OutageProcess
#include "FleetHarness.h"
#include "UpstreamStandIn.h"

using namespace Gooseberrymill::Testing;

namespace {

constexpr auto detectionLimit = 10s; // stated for 10 requests/s and upstream
constexpr uint64_t largeBody = 64 << 20; // does not fit into the socket buffers on its way

} // namespace

// Guards against requests that wait for the store although they need nothing from it.
BOOST_AUTO_TEST_CASE(readsAndTokensRunInAStoreOutage)
{
    Fleet fleet;
    for (const char* kind : { "refuse", "hang" }) {
        fleet.setStoreFaults({ { "down", kind } });
        Load load(fleet, { 0, 1, 2 });
        for (int n = 0; n < 20; ++n) {
            size_t entry = static_cast<size_t>(n) % fleet.size();
            CallerResponse issued = fleet.call(entry, "POST", "/.gooseberrymill/token?service=shop");
            BOOST_REQUIRE_MESSAGE(issued.status == 200, describe(issued));
            std::string token = nlohmann::json::parse(issued.body)["token"];
            std::string target = fmt::format("/order/{}-{}", kind, n);
            CallerResponse ran
                = fleet.call((entry + 1) % fleet.size(), "POST", target, { { "Operation-Token", token } }, "one order");
            BOOST_TEST(ran.status == 200, describe(ran));
            BOOST_TEST(fleet.runs(target) == 1U);
        }
        BOOST_TEST(load.waitForMore(500));
        Load::Result result = load.stop();
        BOOST_TEST(result.failures.empty(), result.failures.front());
        BOOST_TEST(result.notRun == 0U);
        fleet.setStoreFaults({ { "down", "none" } });
    }
}

// Guards against a faulty upstream that keeps its traffic because its ejection needs the store.
BOOST_AUTO_TEST_CASE(faultyUpstreamIsDegradedInAStoreOutage)
{
    Fleet fleet;
    fleet.setStoreFaults({ { "down", "refuse" } });
    Load load(fleet, { 0, 1, 2 });
    BOOST_TEST(load.waitForMore(300));
    fleet.setUpstreamFault(1, "fault=status&status=500");
    auto start = Clock::now();
    BOOST_TEST(
        waitUntil([&] { return fleet.upstreamState(1, 1) == "degraded"; }, detectionLimit), fleet.status(1).dump());
    BOOST_TEST_MESSAGE(fmt::format(
        "degraded after {} ms", std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - start).count()));
    BOOST_TEST(waitUntil([&] { return fleet.upstreamState(0, 1) == "degraded"; }), "peers do not see it");
    BOOST_TEST(load.waitForMore(50));
    size_t reached = fleet.total(1);
    size_t others = fleet.total(0) + fleet.total(2);
    BOOST_TEST(load.waitForMore(500));
    BOOST_TEST(fleet.total(1) - reached <= (fleet.total(0) + fleet.total(2) - others) / 20);
    BOOST_TEST(fleet.upstreamState(1, 1) != "ejected");
}

// Guards against a body cut by the end of its executor that the caller takes for whole.
BOOST_AUTO_TEST_CASE(bodyCutByAKilledExecutorIsNeverWhole)
{
    for (const char* sized : { "yes", "no" }) {
        Fleet fleet;
        std::string target = "/read/large";
        std::optional<size_t> executor;
        std::unique_ptr<HttpCaller> caller;
        // An executor other than the entry: until one is chosen, each caller goes away.
        BOOST_REQUIRE(waitUntil([&] {
            target += "x";
            caller = std::make_unique<HttpCaller>(fleet.node(0).callers);
            caller->sendHead(
                "GET", target, { { "Stand-In-Size", std::to_string(largeBody) }, { "Stand-In-Sized", sized } });
            executor = fleet.waitForRun(target);
            return *executor != 0;
        }));
        uint64_t received = 0;
        CallerResponse response = caller->receive(false, [&](std::string_view bytes) {
            if (!received) {
                fleet.node(*executor).process->signal(SIGKILL);
                fleet.node(*executor).process->exitCode();
            }
            received += bytes.size();
        });
        BOOST_TEST(!response.complete, describe(response));
        BOOST_TEST(received < largeBody);
        BOOST_TEST(received > 0U);
        BOOST_TEST_MESSAGE(describe(response));
    }
}

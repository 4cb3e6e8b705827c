#define BOOST_TEST_MODULE ShutdownProcess
#include "FleetHarness.h"
#include "UpstreamStandIn.h"

#include <future>

using namespace Gooseberrymill::Testing;

namespace {

constexpr uint64_t largeBody = 64 << 20; // does not fit into the socket buffers on its way

void checkNoFailures(const Load::Result& result)
{
    BOOST_TEST(result.failures.empty(), result.failures.size() << " failures, first: " << result.failures.front());
    BOOST_TEST_MESSAGE(fmt::format("complete {}, not run {}", result.complete, result.notRun));
}

std::string digestOfPattern(uint64_t size)
{
    Digest digest;
    constexpr uint64_t step = 1 << 20;
    for (uint64_t at = 0; at < size; at += step)
        digest.add(patternBytes(at, std::min(step, size - at)));
    return digest.text();
}

} // namespace

// Guards against callers that see a reset or a short body when the node they talk to shuts down.
BOOST_AUTO_TEST_CASE(entryNodeUnderLoadInterruptsNoCaller)
{
    Fleet fleet;
    Load load(fleet, { 0, 1, 2 }, 4);
    BOOST_TEST(load.waitForMore(200));
    fleet.node(0).process->signal(SIGTERM);
    BOOST_TEST(fleet.node(0).process->exitCode().value_or(-1) == 0);
    BOOST_TEST(load.waitForMore(100));
    Load::Result result = load.stop();
    checkNoFailures(result);
    BOOST_TEST(result.refusedConnections == 4U); // the callers of the node that left
}

// Guards against requests lost between an entry and an executor that shuts down.
BOOST_AUTO_TEST_CASE(executorNodeUnderLoadInterruptsNoCaller)
{
    Fleet fleet;
    Load load(fleet, { 0, 1 }, 4, { { "Stand-In-Fault", "slow" }, { "Stand-In-Delay-Ms", "20" } });
    BOOST_TEST(waitUntil([&] { return fleet.total(2) > 50; }));
    fleet.node(2).process->signal(SIGTERM);
    BOOST_TEST(fleet.node(2).process->exitCode().value_or(-1) == 0);
    BOOST_TEST(load.waitForMore(100));
    checkNoFailures(load.stop());
}

// Guards against a shutdown that does not wait for a slow request, at its entry and at its executor.
BOOST_AUTO_TEST_CASE(stragglerIsAwaited)
{
    Fleet fleet;
    auto straggler = std::async(std::launch::async, [&] {
        return fleet.call(
            0, "GET", "/read/straggler", { { "Stand-In-Fault", "slow" }, { "Stand-In-Delay-Ms", "6000" } });
    });
    size_t executor = fleet.waitForRun("/read/straggler");
    std::vector<size_t> stopped { 0 };
    if (executor)
        stopped.push_back(executor);
    for (size_t i : stopped)
        fleet.node(i).process->signal(SIGTERM);
    bool isEarly = false;
    while (straggler.wait_for(10ms) != std::future_status::ready) {
        for (size_t i : stopped)
            isEarly = isEarly || !fleet.node(i).process->isRunning();
    }
    CallerResponse response = straggler.get();
    BOOST_TEST((response.status == 200 && response.complete), describe(response));
    BOOST_TEST(!isEarly, "a node ended before the request did");
    for (size_t i : stopped)
        BOOST_TEST(fleet.node(i).process->exitCode().value_or(-1) == 0);
}

// Guards against a streamed body that a shutdown cuts, at its entry and at its executor.
BOOST_AUTO_TEST_CASE(largeBodyInFlightArrivesWhole)
{
    Fleet fleet;
    HttpCaller caller(fleet.node(0).callers);
    caller.sendHead("GET", "/read/large", { { "Stand-In-Size", std::to_string(largeBody) } });
    size_t executor = fleet.waitForRun("/read/large");
    std::vector<size_t> stopped { 0 };
    if (executor)
        stopped.push_back(executor);
    for (size_t i : stopped)
        fleet.node(i).process->signal(SIGTERM);
    for (size_t i : stopped) // the nodes have seen the signal
        fleet.node(i).process->waitForLog("node.stopping");
    Digest digest;
    CallerResponse response = caller.receive(false, [&](std::string_view bytes) { digest.add(bytes); });
    BOOST_TEST((response.status == 200 && response.complete), describe(response));
    BOOST_TEST(digest.text() == digestOfPattern(largeBody));
    for (size_t i : stopped)
        BOOST_TEST(fleet.node(i).process->exitCode().value_or(-1) == 0);
}

// Guards against a drain limit that is accepted and then ignored.
BOOST_AUTO_TEST_CASE(drainLimitEndsTheWait)
{
    FleetShape shape;
    shape.extraSettings = [](size_t) { return std::string("[drain]\nlimit = \"2s\"\n"); };
    Fleet fleet(shape);
    // Another node waits for a request that runs beside node 0.
    std::vector<std::future<CallerResponse>> stragglers;
    size_t executor = 1;
    while (executor) {
        std::string target = fmt::format("/read/straggler-{}", stragglers.size());
        stragglers.push_back(std::async(std::launch::async, [&fleet, target] {
            return fleet.call(1, "GET", target, { { "Stand-In-Fault", "slow" }, { "Stand-In-Delay-Ms", "8000" } });
        }));
        executor = fleet.waitForRun(target);
    }
    fleet.node(0).process->signal(SIGTERM);
    BOOST_TEST(fleet.node(0).process->exitCode().value_or(-1) == 0);
    auto stopped = fleet.node(0).process->waitForLog("node.stopped");
    BOOST_TEST(stopped["reason"].get<std::string>().find("drain limit") != std::string::npos);
    CallerResponse response = stragglers.back().get();
    BOOST_TEST(response.complete, describe(response));
}

// Guards against a caller whose connection is cut without an answer when the drain limit has passed.
BOOST_AUTO_TEST_CASE(callerHasAnAnswerBeforeTheDrainLimit)
{
    FleetShape shape;
    shape.extraSettings = [](size_t) { return std::string("[drain]\nlimit = \"2s\"\n"); };
    Fleet fleet(shape);
    auto straggler = std::async(std::launch::async, [&] {
        return fleet.call(
            0, "GET", "/read/straggler", { { "Stand-In-Fault", "slow" }, { "Stand-In-Delay-Ms", "20000" } });
    });
    fleet.waitForRun("/read/straggler");
    auto begin = Clock::now();
    fleet.node(0).process->signal(SIGTERM);
    CallerResponse response = straggler.get();
    BOOST_TEST((response.status == 504 && response.complete), describe(response));
    BOOST_TEST((Clock::now() - begin < 4s));
    BOOST_TEST(fleet.node(0).process->exitCode().value_or(-1) == 0);
}

// Guards against an order that is taken late in the shutdown, passed on, and cut at its end.
BOOST_AUTO_TEST_CASE(lateOrderIsRefusedAsNotRun)
{
    FleetShape shape;
    shape.extraSettings = [](size_t) { return std::string("[drain]\ngrace = \"200ms\"\nlimit = \"6s\"\n"); };
    Fleet fleet(shape);
    HttpCaller caller(fleet.node(0).callers);
    caller.send("POST /slow-order/late HTTP/1.1\r\nHost: shop\r\nContent-Length: 9\r\nStand-In-Fault: slow\r\n"
                "Stand-In-Delay-Ms: 4000\r\n\r\n");
    std::this_thread::sleep_for(200ms);
    fleet.node(0).process->signal(SIGTERM);
    fleet.node(0).process->waitForLog("node.stopping");
    std::this_thread::sleep_for(3500ms);
    auto begin = Clock::now();
    caller.send("one order");
    CallerResponse response = caller.receive(false);
    BOOST_TEST((response.status == 503 && response.complete), describe(response));
    BOOST_TEST(outcomeOf(response) == "not-run");
    BOOST_TEST((Clock::now() - begin < 1s));
    BOOST_TEST(fleet.node(0).process->exitCode().value_or(-1) == 0);
    BOOST_TEST(fleet.runs("/slow-order/late") == 0U);
}

// Guards against a recorded trace that cannot be replayed.
BOOST_AUTO_TEST_CASE(recordedTraceReplays)
{
    std::filesystem::path trace
        = std::filesystem::temp_directory_path() / fmt::format("gooseberrymill-{}.trace", getpid());
    FleetShape shape;
    shape.nodes = 1;
    shape.extraSettings = [&](size_t) { return fmt::format("[trace]\nfile = \"{}\"\n", trace.string()); };
    {
        Fleet fleet(shape);
        Load load(fleet, { 0 }, 2);
        BOOST_TEST(load.waitForMore(100));
        checkNoFailures(load.stop());
        fleet.node(0).process->signal(SIGTERM);
        BOOST_TEST(fleet.node(0).process->exitCode().value_or(-1) == 0);
    }
    std::string output = trace.string() + ".out";
    ChildProcess replay({ GM_BINARY_DIR "/gooseberrymill", "replay", trace.string() }, output);
    BOOST_TEST(replay.exitCode().value_or(-1) == 0, replay.log());
    std::filesystem::remove(trace);
    std::filesystem::remove(output);
}

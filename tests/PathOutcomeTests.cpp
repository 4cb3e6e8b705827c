// End-to-end tests over real sockets: outcomes stated by refusals, operations whose requests end early, configuration
// changes while requests are in flight, and draining of listeners.
#define BOOST_TEST_MODULE PathOutcome
#include "core/ClaimLedger.h"
#include "node/Log.h"
#include "TestFleet.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <thread>

using namespace Gooseberrymill;
using namespace Gooseberrymill::Testing;

namespace {

const std::string keyText = "017f22e2-79b0-7cc3-98c4-dc0c0c07398f";
const Header keyHeader { HeaderName::idempotencyKey, keyText };
const Header closeFault { "Stand-In-Fault", "close" };
const Header holdFault { "Stand-In-Fault", "hold" };

void checkRefused(
    const CallerResponse& response, int status, std::string_view outcome, bool dispatched, std::string_view reason)
{
    BOOST_TEST_CONTEXT("reason " << reason)
    {
        BOOST_TEST(response.status == status);
        BOOST_TEST(response.header(HeaderName::outcome) == outcome);
        auto error = nlohmann::json::parse(response.body, nullptr, false);
        BOOST_REQUIRE(error.is_object());
        BOOST_TEST(error["outcome"] == outcome);
        BOOST_TEST(error["reason"] == reason);
        BOOST_REQUIRE(error.contains("dispatched"));
        BOOST_TEST(error["dispatched"] == dispatched);
    }
}

template <typename Condition> bool eventually(Condition condition)
{
    auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!condition()) {
        if (std::chrono::steady_clock::now() > limit)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return true;
}

std::shared_ptr<const RouteTable> routesWith(uint32_t slots, const AdmissionPolicy& policy)
{
    auto document = std::make_shared<Configuration>(*shopRoutes()->documents().front());
    document->services[0].slots = slots;
    document->services[0].admission = policy;
    return std::make_shared<RouteTable>(std::vector<std::shared_ptr<const Configuration>> { document });
}

// Operation gate of an executor that delays each decision until the test calls decideRun().
struct DeferredGate {
    std::mutex mutex;
    std::vector<std::function<void(GateDecision)>> decisions;
    std::vector<Refusal> finished;
    size_t cancelledWaits = 0;

    ExecutorHooks hooks()
    {
        ExecutorHooks hooks;
        hooks.operations.begin
            = [this](const RequestHead&, std::string_view, std::function<void(GateDecision)> decide) {
                  std::lock_guard lock(mutex);
                  decisions.push_back(std::move(decide));
              };
        hooks.operations.finish = [this](const RequestHead&, const Refusal& refusal) {
            std::lock_guard lock(mutex);
            finished.push_back(refusal);
        };
        hooks.operations.cancelWait = [this](const RequestHead&) {
            std::lock_guard lock(mutex);
            ++cancelledWaits;
        };
        return hooks;
    }

    bool hasPendingDecision()
    {
        std::lock_guard lock(mutex);
        return !decisions.empty();
    }

    bool isWaitCancelled()
    {
        std::lock_guard lock(mutex);
        return cancelledWaits == 1;
    }

    // Decides Run for the first pending operation on the executor's task. Returns the number of
    // operations that have ended with a refusal.
    size_t decideRun(Node& node)
    {
        std::promise<void> done;
        node.postToExecutor([&] {
            std::exchange(decisions, {}).front()({}); // the callback is also destroyed on this task
            done.set_value();
        });
        done.get_future().wait();
        std::lock_guard lock(mutex);
        return finished.size();
    }
};

} // namespace

// Guards against reporting "not run" for an operation whose earlier request may have run at another executor.
BOOST_AUTO_TEST_CASE(refusalOfNamedOperationIsUnknown)
{
    // Each request gets its own fleet, because the entry learns the upstream state from the first refusal.
    for (auto [state, reason] : { std::pair { UpstreamState::Draining, "draining" },
             std::pair { UpstreamState::Ejected, "ejected" }, std::pair { UpstreamState::Gone, "no-upstream" } }) {
        for (bool named : { false, true }) {
            TestFleet fleet;
            fleet.setState(0, state);
            auto response
                = HttpCaller(fleet.port())
                      .request("POST", "/order/a", named ? std::vector { keyHeader } : std::vector<Header> {}, "x");
            checkRefused(response, named ? 502 : 503, named ? "unknown" : "not-run", false, reason);
        }
    }
    FleetOptions options { .nodes = 1, .slots = 1 };
    constexpr uint64_t maxBody = 1000;
    options.adjust = [](Settings& settings) { settings.maxOperationBodyBytes = maxBody; };
    TestFleet fleet(options);
    HttpCaller caller(fleet.port());
    checkRefused(caller.request("POST", "/order/a", { { HeaderName::idempotencyKey, "abc" } }, "x"), 400, "not-run",
        false, "bad-request");
    checkRefused(caller.request("POST", "/nowhere", { keyHeader }, "x"), 404, "not-run", false, "no-route");
    checkRefused(caller.request("POST", "/order/a", { keyHeader }, std::string(maxBody + 1, 'x')), 413, "not-run",
        false, "body-too-large");
    checkRefused(
        caller.request("POST", "/order/a", { keyHeader, closeFault }, "x"), 502, "unknown", true, "upstream-crashed");

    CandidateList candidates = fleet.candidates();
    fleet.setCandidates({});
    checkRefused(caller.request("POST", "/order/a", { keyHeader }, "x"), 502, "unknown", false, "no-upstream");
    checkRefused(caller.request("POST", "/order/a", {}, "x"), 503, "not-run", false, "no-upstream");
    candidates[0].relayAddress = "127.0.0.1:1";
    fleet.setCandidates(candidates);
    checkRefused(caller.request("POST", "/order/a", { keyHeader }, "x"), 502, "unknown", false, "relay-failed");
    checkRefused(caller.request("POST", "/order/a", {}, "x"), 503, "not-run", false, "relay-failed");
    fleet[0].node->setRoutes(nullptr);
    checkRefused(caller.request("POST", "/order/a", { keyHeader }, "x"), 502, "unknown", false, "no-configuration");
    checkRefused(caller.request("POST", "/order/a", {}, "x"), 503, "not-run", false, "no-configuration");
}

// Guards against an executor that holds the claim but does not report "not run" for an operation that was not run.
BOOST_AUTO_TEST_CASE(executorThatHoldsTheClaimSaysNotRun)
{
    FleetOptions options { .nodes = 2, .slots = 1 };
    std::atomic<int> beginCalls = 0;
    options.executorHooks.operations.begin
        = [&](const RequestHead&, std::string_view, const std::function<void(GateDecision)>& decide) {
              ++beginCalls;
              decide({});
          };
    TestFleet fleet(options);
    fleet.upstream(0).crash();
    fleet.upstream(1).crash();
    HttpCaller caller(fleet.port());
    checkRefused(caller.request("POST", "/order/a", { keyHeader }, "x"), 503, "not-run", false, "upstream-unreachable");
    BOOST_TEST(beginCalls == 1); // no other executor may run it
}

// Guards against reporting "not run" when an earlier attempt reached an upstream.
BOOST_AUTO_TEST_CASE(earlierAttemptCounts)
{
    TestFleet fleet({ .nodes = 2 });
    fleet.upstream(1).crash();
    HttpCaller caller(fleet.port());
    for (int i = 0; i < 8; ++i) {
        auto response = caller.request("GET", "/read/a", { closeFault });
        BOOST_TEST(response.header(HeaderName::outcome) == "unknown");
        BOOST_TEST(nlohmann::json::parse(response.body)["dispatched"] == true);
    }
}

// Guards against an operation that stays claimed when the gate decides after the deadline or after the caller
// disconnected.
BOOST_AUTO_TEST_CASE(lateDecisionToRunIsGivenBack)
{
    for (bool leaves : { false, true }) {
        DeferredGate gate;
        TestFleet fleet({ .nodes = 1, .executorHooks = gate.hooks() });
        HttpCaller caller(fleet.port());
        if (leaves) {
            caller.sendHead("POST", "/order/a", { keyHeader, { "Content-Length", "0" } });
            BOOST_REQUIRE(eventually([&] { return gate.hasPendingDecision(); }));
            caller.close();
        } else {
            // The entry may respond before the executor does, without knowing whether the request was dispatched.
            auto response = caller.request("POST", "/order/a", { keyHeader, { HeaderName::deadline, "200" } }, "x");
            BOOST_TEST(response.status == 504);
            BOOST_TEST(response.header(HeaderName::outcome) == "unknown");
        }
        BOOST_TEST(eventually([&] { return gate.isWaitCancelled(); }));
        BOOST_REQUIRE(gate.hasPendingDecision());
        BOOST_TEST(gate.decideRun(*fleet[0].node) == 1U);
        std::lock_guard lock(gate.mutex);
        BOOST_REQUIRE(gate.finished.size() == 1);
        BOOST_TEST((gate.finished[0].outcome == Outcome::NotRun && !gate.finished[0].dispatched));
        BOOST_TEST(fleet.upstream().count("/order/a") == 0U);
    }
}

// Guards against an operation that no executor runs because the holder of its claim never dispatched it.
BOOST_AUTO_TEST_CASE(holderRunsOperationThatIsOpen)
{
    TestFleet* members = nullptr;
    std::atomic<int> inquiries = 0;
    FleetOptions options { .nodes = 2 };
    options.executorHooks.operations.begin
        = [&](const RequestHead& head, std::string_view, const std::function<void(GateDecision)>& decide) {
              GateDecision decision;
              inquiries += head.isInquiry;
              if (!head.isInquiry) {
                  decision.kind = GateDecision::Kind::Refuse;
                  decision.refusal.outcome = Outcome::Unknown;
                  decision.refusal.reason = RefusalReason::HeldElsewhere;
                  decision.refusal.holder = (*members)[head.upstream == "shop-0" ? 1 : 0].node->incarnation();
              }
              decide(decision);
          };
    TestFleet fleet(options);
    members = &fleet;
    HttpCaller caller(fleet.port());
    auto response = caller.request("POST", "/order/open", { keyHeader }, "body");
    BOOST_TEST(response.status == 200);
    BOOST_TEST(inquiries == 1);
    BOOST_TEST(fleet.upstream(0).count("/order/open") + fleet.upstream(1).count("/order/open") == 1U);
}

// Guards against reporting "unknown" for an operation that ran according to the store.
BOOST_AUTO_TEST_CASE(storedOutcomeOfAGoneHolderIsRan)
{
    FleetOptions options { .nodes = 2 };
    Id128 holder { 1, 2 };
    Outcome stored = Outcome::Ran;
    options.executorHooks.operations.begin
        = [&](const RequestHead&, std::string_view, const std::function<void(GateDecision)>& decide) {
              GateDecision decision;
              decision.kind = GateDecision::Kind::Refuse;
              decision.refusal.outcome = stored;
              decision.refusal.reason = RefusalReason::HeldElsewhere;
              decision.refusal.holder = holder;
              decide(decision);
          };
    TestFleet fleet(options);
    HttpCaller caller(fleet.port());
    checkRefused(caller.request("POST", "/order/a", { keyHeader }, "body"), 502, "ran", false, "answer-not-recorded");
    CandidateList candidates = fleet.candidates();
    candidates.push_back(candidates.back());
    candidates.back().upstream = "shop-gone";
    candidates.back().relayAddress = "127.0.0.1:1"; // still a candidate, but unreachable
    candidates.back().executor = holder;
    candidates.back().state = UpstreamState::Degraded;
    fleet.setCandidates(candidates);
    checkRefused(caller.request("POST", "/order/a", { keyHeader }, "body"), 502, "ran", false, "answer-not-recorded");
    stored = Outcome::Unknown;
    fleet.setCandidates({ candidates[0], candidates[1] });
    checkRefused(caller.request("POST", "/order/a", { keyHeader }, "body"), 502, "unknown", false, "holder-gone");
}

// Guards against conflicting writes, which occur when the keys of one claim shard are spread over several executors.
BOOST_AUTO_TEST_CASE(keysOfAShardGoToOneExecutor)
{
    TestFleet fleet({ .nodes = 4 });
    HttpCaller caller(fleet.port());
    Id128 key = *parseId128(keyText);
    for (int i = 0; i < 12; ++i) {
        key.low += ClaimSettings {}.shards;
        BOOST_TEST(
            caller.request("POST", "/order/a", { { HeaderName::idempotencyKey, toString(key) } }, "x").status == 200);
    }
    size_t used = 0;
    for (size_t i = 0; i < 4; ++i)
        used += fleet.upstream(i).count("/order/a") > 0;
    BOOST_TEST(used == 1U);
}

// Guards against queues that keep the admission policy and slot count they were created with.
BOOST_AUTO_TEST_CASE(configurationChangeReachesQueues)
{
    TestFleet fleet({ .nodes = 1, .slots = 2 });
    HttpCaller holder(fleet.port());
    holder.sendHead("GET", "/read/held", { holdFault });
    BOOST_REQUIRE(fleet.upstream().waitForCount("/read/held", 1));
    HttpCaller caller(fleet.port());
    BOOST_TEST(caller.request("GET", "/read/a").status == 200);
    AdmissionPolicy noQueue;
    noQueue.queueLimit = 0;
    fleet[0].node->setRoutes(routesWith(1, noQueue));
    checkRefused(caller.request("GET", "/read/a"), 503, "not-run", false, "queue-full");
    fleet[0].node->setRoutes(routesWith(4, noQueue)); // the upstream announces two slots
    BOOST_TEST(caller.request("GET", "/read/a").status == 200);
    HttpCaller second(fleet.port());
    second.sendHead("GET", "/read/held", { holdFault });
    BOOST_REQUIRE(fleet.upstream().waitForCount("/read/held", 2));
    checkRefused(caller.request("GET", "/read/a"), 503, "not-run", false, "queue-full");
    fleet.upstream().releaseHeld();
    BOOST_TEST(holder.receive().status == 200);
    BOOST_TEST(second.receive().status == 200);

    // The configuration also applies to a queue that is created after it.
    fleet.setState(0, UpstreamState::Gone);
    fleet[0].node->setRoutes(routesWith(1, noQueue));
    fleet.setState(0, UpstreamState::Ready);
    holder.sendHead("GET", "/read/again", { holdFault });
    BOOST_REQUIRE(fleet.upstream().waitForCount("/read/again", 1));
    checkRefused(caller.request("GET", "/read/a"), 503, "not-run", false, "queue-full");
    fleet.upstream().releaseHeld();
    BOOST_TEST(holder.receive().status == 200);
}

// Guards against requests in flight that are cancelled when their upstream client is replaced, and against an upstream
// that stays unusable after it was removed and came back.
BOOST_AUTO_TEST_CASE(requestsOutliveChangesOfTheirUpstream)
{
    TestFleet fleet({ .nodes = 1, .slots = 4 });
    HttpCaller read(fleet.port());
    HttpCaller order(fleet.port());
    HttpCaller caller(fleet.port());
    read.sendHead("GET", "/read/held", { holdFault });
    order.sendHead("POST", "/order/held", { holdFault, { "Content-Length", "4" } });
    order.send("body");
    BOOST_REQUIRE(fleet.upstream().waitForCount("/read/held", 1));
    BOOST_REQUIRE(fleet.upstream().waitForCount("/order/held", 1));
    for (uint32_t slots : { 2, 8 }) {
        fleet[0].endpoint.slots = slots;
        fleet.setState(0, UpstreamState::Ready);
        if (slots > 2)
            BOOST_TEST(caller.request("GET", "/read/a").status == 200);
    }
    fleet.setState(0, UpstreamState::Gone);
    checkRefused(caller.request("GET", "/read/a"), 503, "not-run", false, "no-upstream");
    fleet.setState(0, UpstreamState::Ready);
    BOOST_TEST(caller.request("GET", "/read/a").status == 200);
    fleet.upstream().releaseHeld();
    for (HttpCaller* held : { &read, &order }) {
        auto response = held->receive();
        BOOST_TEST(response.status == 200);
        BOOST_TEST(response.complete);
    }
    // The end of the held requests must not mark the upstream as gone.
    for (int i = 0; i < 8; ++i)
        BOOST_TEST(HttpCaller(fleet.port()).request("POST", "/order/a", {}, "x").status == 200);
}

// Guards against resetting connections that the kernel accepted before the node stopped listening.
BOOST_AUTO_TEST_CASE(stopServesTheListenBacklog)
{
    constexpr int waitingCallers = 40;
    std::promise<void> entered;
    std::promise<void> release;
    std::atomic<bool> blocks = true;
    FleetOptions options { .nodes = 2, .slots = 64, .workers = 1 };
    options.adjust = [](Settings& settings) { settings.drainGracePeriod = {}; };
    options.entryHooks.offered = [&](const Service&) {
        if (blocks.exchange(false)) {
            entered.set_value();
            release.get_future().wait(); // keeps the worker from accepting connections
        }
    };
    TestFleet fleet(options);
    HttpCaller first(fleet.port());
    first.sendHead("GET", "/read/first");
    entered.get_future().wait();
    std::deque<HttpCaller> callers;
    for (int i = 0; i < waitingCallers; ++i) {
        HttpCaller& caller = callers.emplace_back(fleet.port());
        BOOST_REQUIRE(caller.isConnected());
        caller.sendHead("GET", "/read/waiting");
    }
    std::promise<void> done;
    fleet[0].node->stop([&] { done.set_value(); });
    release.set_value();
    BOOST_TEST(first.receive().status == 200);
    int served = 0;
    for (HttpCaller& caller : callers) {
        auto response = caller.receive();
        served += response.status == 200 && response.complete;
    }
    BOOST_TEST(served == waitingCallers);
    BOOST_TEST((done.get_future().wait_for(20s) == std::future_status::ready));
}

// Guards against closing a connection whose first request is still in transit when the node stops listening.
BOOST_AUTO_TEST_CASE(stopServesConnectionsWithoutRequestYet)
{
    FleetOptions options { .nodes = 2, .workers = 1 };
    options.adjust = [](Settings& settings) { settings.drainGracePeriod = 2s; };
    TestFleet fleet(options);
    HttpCaller late(fleet.port());
    HttpCaller silent(fleet.port());
    HttpCaller kept(fleet.port());
    BOOST_TEST(kept.request("GET", "/read/a").status == 200);
    std::promise<void> done;
    auto ended = done.get_future();
    fleet[0].node->stop([&] { done.set_value(); });
    BOOST_REQUIRE(eventually([&] { return !HttpCaller(fleet.port()).isConnected(); }));
    // The connection must survive several sweeps.
    BOOST_TEST((ended.wait_for(200ms) == std::future_status::timeout));
    auto response = late.request("GET", "/read/late");
    BOOST_TEST(response.status == 200);
    BOOST_TEST(response.header("Connection") == "close");
    BOOST_TEST(kept.waitForClose());
    BOOST_TEST(silent.waitForClose());
    BOOST_TEST((ended.wait_for(20s) == std::future_status::ready));
}

// Guards against idle connections that keep their descriptors open after a load peak.
BOOST_AUTO_TEST_CASE(idleRelayConnectionsAreClosed)
{
    setLogLevel(LogLevel::Error);
    ContextHandle context(g_main_context_new());
    RelayIdentity identity { "a key for tests only", "node", randomId() };
    RelayServer server(context.get(), identity,
        { [](const std::shared_ptr<RelayExchange>& exchange) { exchange->refuse({}); }, {}, {}, {} });
    auto port = server.listen({});
    BOOST_REQUIRE(port.has_value());
    RelayClient client(context.get(), identity, 5s, 200ms);
    std::string address = fmt::format("127.0.0.1:{}", port.value());
    constexpr size_t peak = 5;
    size_t refused = 0;
    std::vector<std::shared_ptr<RelayCall>> calls;
    for (size_t i = 0; i < peak; ++i) {
        RequestHead head;
        head.requestId = randomId();
        calls.push_back(client.call(address, head,
            { [](ResponseHead&&) {}, [](std::string&&) {}, [] {}, [&](Refusal&&) { ++refused; },
                [](const Error&, Outcome) {}, [] {} }));
    }
    auto runUntil = [&](const std::function<bool()>& condition) {
        auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(20);
        while (!condition() && std::chrono::steady_clock::now() < limit)
            g_main_context_iteration(context.get(), FALSE);
        return condition();
    };
    BOOST_TEST(runUntil([&] { return refused == peak; }));
    BOOST_TEST(client.idleCount() == peak);
    BOOST_TEST(runUntil([&] { return client.idleCount() == 0 && server.connectionCount() == 0; }));
}

// Queries of death over real sockets, in a fleet of four nodes whose upstreams crash.
#define BOOST_TEST_MODULE QueryOfDeathDataPath
#include "core/MemoryStore.h"
#include "node/CrashSuspects.h"
#include "node/RequestFingerprint.h"
#include "node/UpstreamSupervisor.h"
#include "TestFleet.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <thread>

using namespace Gooseberrymill;
using namespace Gooseberrymill::Testing;

namespace {

constexpr size_t nodeCount = 4;
const std::vector<Header> crashFault { { "Stand-In-Fault", "crash" } };
const std::vector<Header> closeFault { { "Stand-In-Fault", "close" } };

// Crash filter and recorded events of a node. `suspects` is used only on the executor's task.
struct NodeState {
    std::unique_ptr<CrashSuspects> suspects;
    std::mutex mutex;
    std::vector<Sample> samples;
    std::atomic<size_t> crashes { 0 }; // confirmed crashes
    std::atomic<size_t> queriesOfDeath { 0 }; // requests that became refused
};

// A fleet with, or for comparison without, the query-of-death filter.
class CrashFleet {
public:
    explicit CrashFleet(bool isFilterOn, size_t connectedNodes = nodeCount)
        : m_isFilterOn(isFilterOn)
        , m_fleet(options())
    {
        for (size_t i = 0; i < connectedNodes; ++i)
            connectToPeers(i, connectedNodes);
    }

    TestFleet& fleet() { return m_fleet; }
    NodeState& state(size_t i) { return *m_states[i]; }

    // Calls `function` on the executor's task of node `i` and waits until it returns.
    void onExecutor(size_t i, const std::function<void(NodeState&)>& function)
    {
        std::promise<void> done;
        m_fleet[i].node->postToExecutor([&] {
            function(*m_states[i]);
            done.set_value();
        });
        done.get_future().wait();
    }

    // Sets the first `n` nodes, except node `i` itself, as the peers of node `i`.
    void connectToPeers(size_t i, size_t n)
    {
        if (!m_isFilterOn)
            return;
        CrashSuspects::Peers peers;
        for (size_t k = 0; k < n; ++k) {
            if (k != i)
                peers["shop"].insert(m_fleet[k].node->relayAddress());
        }
        onExecutor(i, [&](NodeState& state) { state.suspects->setPeers(peers); });
    }

    void waitForRestarts()
    {
        for (size_t i = 0; i < nodeCount; ++i)
            m_fleet.upstream(i).waitForRestart();
    }

    // Number of times that a request reached an upstream, in the whole fleet.
    size_t runs(const std::string& target)
    {
        size_t n = 0;
        for (size_t i = 0; i < nodeCount; ++i)
            n += m_fleet.upstream(i).count(target);
        return n;
    }

    // Number of upstream crashes in the whole fleet. One crash may end several runs.
    size_t upstreamCrashes()
    {
        size_t n = 0;
        for (size_t i = 0; i < nodeCount; ++i)
            n += m_fleet.upstream(i).crashes();
        return n;
    }

    size_t badSamples()
    {
        size_t n = 0;
        for (const auto& state : m_states) {
            std::lock_guard lock(state->mutex);
            n += static_cast<size_t>(std::ranges::count_if(state->samples,
                [](const Sample& it) { return it.kind == SampleKind::Failed || it.kind == SampleKind::Wrong; }));
        }
        return n;
    }

    size_t confirmedCrashes()
    {
        size_t n = 0;
        for (const auto& state : m_states)
            n += state->crashes;
        return n;
    }

private:
    FleetOptions options()
    {
        FleetOptions result { .nodes = nodeCount };
        result.makeExecutorHooks = [this](size_t i) { return hooks(i); };
        return result;
    }

    ExecutorHooks hooks(size_t i)
    {
        auto state = m_states.emplace_back(std::make_shared<NodeState>());
        ExecutorHooks hooks;
        hooks.sample = [state](const std::string&, const Sample& sample, Instant) {
            std::lock_guard lock(state->mutex);
            state->samples.push_back(sample);
        };
        if (!m_isFilterOn)
            return hooks;
        hooks.started = [state, i](Task& task) {
            RelayIdentity identity { "a key for tests only", fmt::format("node-{}", i), randomId() };
            CrashSuspectsHooks events;
            events.crashed = [state](const std::string&) { ++state->crashes; };
            events.queryOfDeathFound = [state](const ClosedRequest&, uint32_t) { ++state->queriesOfDeath; };
            state->suspects = std::make_unique<CrashSuspects>(task, identity, 5s, std::move(events));
        };
        hooks.stopped = [state] { state->suspects.reset(); };
        hooks.crashes = crashGate([state] { return state->suspects.get(); });
        return hooks;
    }

    bool m_isFilterOn;
    std::vector<std::shared_ptr<NodeState>> m_states;
    TestFleet m_fleet;
};

nlohmann::json errorOf(const CallerResponse& response)
{
    auto error = nlohmann::json::parse(response.body, nullptr, false);
    return error.is_object() ? error : nlohmann::json::object();
}

bool isQueryOfDeath(const CallerResponse& response)
{
    auto error = errorOf(response);
    return error.is_object() && error.value("reason", "") == "query-of-death";
}

// Sends a crashing request to each node in turn, `rounds` times, whatever the responses are. Returns the last response.
CallerResponse sendInTurn(CrashFleet& fleet, std::string_view method, const std::string& target, size_t rounds)
{
    CallerResponse last;
    for (size_t i = 0; i < rounds * nodeCount; ++i) {
        fleet.waitForRestarts();
        last = HttpCaller(fleet.fleet().port(i % nodeCount)).request(method, target, crashFault);
    }
    return last;
}

// Sends a crashing request from several callers at the same moment. Each caller sends it several times, one after the
// other.
void sendAtOnce(CrashFleet& fleet, const std::string& target, size_t callers)
{
    constexpr size_t sends = 12;
    std::vector<std::thread> threads;
    std::promise<void> start;
    std::shared_future<void> started(start.get_future());
    for (size_t caller = 0; caller < callers; ++caller) {
        threads.emplace_back([&, caller] {
            started.wait();
            for (size_t i = 0; i < sends; ++i) {
                if (i)
                    fleet.waitForRestarts();
                HttpCaller(fleet.fleet().port((caller + i) % nodeCount)).request("POST", target, crashFault, "poison");
            }
        });
    }
    start.set_value();
    for (auto& thread : threads)
        thread.join();
}

} // namespace

// Guards against a caller that causes more than two crashes by trying every node. Without the filter the same calls
// crash more upstreams, and their samples count against the upstreams' health.
BOOST_AUTO_TEST_CASE(callerThatTriesEveryNodeCausesTwoCrashes)
{
    for (std::string method : { "POST", "GET" }) {
        std::string target = method == "POST" ? "/order/poison" : "/read/poison";
        CrashFleet fleet(true);
        auto last = sendInTurn(fleet, method, target, 3);
        BOOST_TEST(fleet.runs(target) == 2U);
        BOOST_TEST(fleet.upstreamCrashes() == 2U);
        BOOST_TEST(fleet.confirmedCrashes() == 2U);
        BOOST_TEST(fleet.badSamples() == 0U);
        BOOST_TEST(last.status == 503);
        BOOST_TEST(errorOf(last)["outcome"] == "not-run");
        BOOST_TEST(errorOf(last)["reason"] == "query-of-death");
        BOOST_TEST(errorOf(last)["runs"] == 2);
        size_t queriesOfDeath = 0;
        for (size_t i = 0; i < nodeCount; ++i)
            queriesOfDeath += fleet.state(i).queriesOfDeath;
        BOOST_TEST(queriesOfDeath == 1U);
        BOOST_TEST(HttpCaller(fleet.fleet().port()).request("GET", "/read/other").status == 200);

        CrashFleet baseline(false);
        sendInTurn(baseline, method, target, 3);
        BOOST_TEST(baseline.upstreamCrashes() > 2U);
        BOOST_TEST(baseline.badSamples() > 0U);
    }
}

// Guards against reporting "not run" when a first attempt crashed an upstream and a retry was refused.
BOOST_AUTO_TEST_CASE(refusalAfterRetriesKeepsUnknownOutcome)
{
    CrashFleet fleet(true);
    auto first = HttpCaller(fleet.fleet().port()).request("GET", "/read/poison", crashFault);
    BOOST_TEST(errorOf(first)["outcome"] == "unknown");
    BOOST_TEST(fleet.runs("/read/poison") <= 2U);
}

// Guards against refusing an operation as "not run" although an earlier request of it may have run, and against an
// operation that is retried automatically after a crash.
BOOST_AUTO_TEST_CASE(operationIsRefusedAsUnknown)
{
    CrashFleet fleet(true);
    std::vector<Header> headers = crashFault;
    headers.push_back({ HeaderName::idempotencyKey, "017f22e2-79b0-7cc3-98c4-dc0c0c07398f" });
    HttpCaller caller(fleet.fleet().port());
    for (size_t n = 1; n <= 2; ++n) {
        fleet.waitForRestarts();
        auto crashed = caller.request("POST", "/order/pay", headers, "payout");
        BOOST_TEST(errorOf(crashed)["outcome"] == "unknown");
        BOOST_TEST(fleet.runs("/order/pay") <= n);
    }
    CallerResponse refused;
    for (size_t i = 0; i < 20 && !isQueryOfDeath(refused); ++i)
        refused = caller.request("POST", "/order/pay", headers, "payout");
    BOOST_TEST(refused.status == 502);
    BOOST_TEST(errorOf(refused)["outcome"] == "unknown");
    BOOST_TEST(errorOf(refused)["reason"] == "query-of-death");
    BOOST_TEST(errorOf(refused)["runs"] == 2);
    BOOST_TEST(fleet.runs("/order/pay") == 2U);
}

// Guards against exceeding the bound of k + 1 crashes, stated in CrashSuspects.h, when k callers send the request at
// the same moment.
BOOST_AUTO_TEST_CASE(callersAtTheSameMomentStayWithinTheBound)
{
    for (size_t callers : { size_t(2), nodeCount }) {
        CrashFleet fleet(true);
        sendAtOnce(fleet, "/order/poison", callers);
        BOOST_TEST(fleet.upstreamCrashes() >= 2U);
        BOOST_TEST(fleet.upstreamCrashes() <= callers + 1);
        BOOST_TEST(fleet.runs("/order/poison") <= 2 * callers);

        CrashFleet baseline(false);
        sendAtOnce(baseline, "/order/poison", callers);
        BOOST_TEST(baseline.upstreamCrashes() > callers + 1);
    }
}

// Guards against refusing a popular request because it was running during crashes that other requests caused.
BOOST_AUTO_TEST_CASE(popularRequestInFlightStaysServed)
{
    CrashFleet fleet(true);
    const std::string popular = "/read/popular";
    for (size_t i = 0; i < nodeCount; ++i) {
        for (size_t n = 0; n < 500 && !fleet.fleet().upstream(i).count(popular); ++n)
            BOOST_TEST(HttpCaller(fleet.fleet().port(i)).request("GET", popular).status == 200);
        BOOST_REQUIRE(fleet.fleet().upstream(i).count(popular));
    }
    std::atomic<bool> isOver = false;
    std::atomic<size_t> refused = 0;
    std::atomic<size_t> served = 0;
    std::vector<std::thread> threads;
    for (size_t i = 0; i < 2 * nodeCount; ++i) {
        threads.emplace_back([&, i] {
            while (!isOver) {
                auto response
                    = HttpCaller(fleet.fleet().port(i % nodeCount))
                          .request("GET", popular, { { "Stand-In-Fault", "slow" }, { "Stand-In-Delay-Ms", "20" } });
                refused += isQueryOfDeath(response);
                served += response.status == 200;
            }
        });
    }
    for (const char* target : { "/order/first", "/order/second", "/order/third" }) {
        sendInTurn(fleet, "POST", target, 2);
        BOOST_TEST(fleet.runs(target) == 2U);
    }
    isOver = true;
    for (auto& thread : threads)
        thread.join();
    BOOST_TEST(refused == 0U);
    BOOST_TEST(served > 0U);
    for (size_t i = 0; i < nodeCount; ++i)
        BOOST_TEST(!isQueryOfDeath(HttpCaller(fleet.fleet().port(i)).request("GET", popular)));
}

// Guards against refusals because of a gray failure, in which an upstream closes connections while its process is
// alive, and against such closes not counting against the upstream's health.
BOOST_AUTO_TEST_CASE(grayUpstreamCausesNoRefusals)
{
    CrashFleet fleet(true);
    constexpr size_t requests = 24;
    for (size_t i = 0; i < requests; ++i) {
        HttpCaller caller(fleet.fleet().port(i % nodeCount));
        BOOST_TEST(!isQueryOfDeath(caller.request("POST", "/order/always", closeFault, "x")));
        BOOST_TEST(
            !isQueryOfDeath(caller.request("POST", "/order/some", i % 3 ? std::vector<Header> {} : closeFault, "x")));
    }
    BOOST_TEST(fleet.runs("/order/always") == requests);
    BOOST_TEST(fleet.confirmedCrashes() == 0U);
    BOOST_TEST(fleet.badSamples() >= requests);
}

// Guards against missing a crash whose restart is so quick that no connection is refused. The upstream's announcement
// must confirm it.
BOOST_AUTO_TEST_CASE(announcementConfirmsCrash)
{
    for (UpstreamState announced : { UpstreamState::Cold, UpstreamState::Gone }) {
        CrashFleet fleet(true);
        fleet.fleet().setCandidates({ fleet.fleet().candidates()[0] });
        HttpCaller(fleet.fleet().port()).request("POST", "/order/quick", closeFault, "x");
        BOOST_TEST(fleet.confirmedCrashes() == 0U);
        fleet.fleet().setState(0, announced);
        fleet.onExecutor(0, [](NodeState& state) { BOOST_TEST(state.crashes == 1U); });
    }
}

// Guards against a node that joins after the crashes and runs the request again.
BOOST_AUTO_TEST_CASE(joiningNodeLearnsReports)
{
    CrashFleet fleet(true, nodeCount - 1);
    CandidateList candidates = fleet.fleet().candidates();
    candidates.pop_back();
    fleet.fleet().setCandidates(candidates);
    sendInTurn(fleet, "POST", "/order/poison", 2);
    BOOST_TEST(fleet.runs("/order/poison") == 2U);
    RequestHead head;
    head.service = "shop";
    head.method = "POST";
    head.target = "/order/poison";
    bool isRefused = false;
    auto screenRequest
        = [&](NodeState& state) { isRefused = state.suspects->screen(head, fingerprintOf(head, {})).has_value(); };
    fleet.onExecutor(nodeCount - 1, screenRequest);
    BOOST_TEST(!isRefused);
    fleet.connectToPeers(nodeCount - 1, nodeCount);
    Instant limit = currentInstant() + 20s;
    while (!isRefused && currentInstant() < limit)
        fleet.onExecutor(nodeCount - 1, screenRequest);
    BOOST_TEST(isRefused);
}

// Guards against degrading or ejecting an upstream because of a crash. It must be Gone until it announces itself again,
// and then be Cold, without the earlier health samples.
BOOST_AUTO_TEST_CASE(crashedUpstreamReturnsColdWithoutEvidence)
{
    std::vector<UpstreamState> states;
    SupervisorHooks hooks;
    hooks.setEndpoint = [](const UpstreamEndpoint&) {};
    hooks.publish = [](const UpstreamRecord&) {};
    hooks.views = [](std::string_view) { return std::vector<UpstreamView> {}; };
    hooks.peerHealth = [](std::string_view) { return std::vector<HealthSummary> {}; };
    hooks.sendHealth = [](const HealthSummary&) {};
    hooks.stateChanged = [&](UpstreamState, UpstreamState to, double) { states.push_back(to); };
    Announcement announcement;
    announcement.name = "shop-0";
    announcement.service = "shop";
    announcement.state = UpstreamState::Ready;
    UpstreamSupervisor<MemoryStore> supervisor(announcement, { 1, 2 }, nullptr, hooks);
    Instant now { 1h };
    supervisor.announced(announcement, now);
    supervisor.crashed(now + 1s);
    BOOST_TEST((supervisor.state() == UpstreamState::Gone));
    supervisor.tick(now + 2s);
    BOOST_TEST((supervisor.state() == UpstreamState::Gone));
    announcement.state = UpstreamState::Cold;
    supervisor.announced(announcement, now + 3s);
    BOOST_TEST((supervisor.state() == UpstreamState::Cold));
    for (UpstreamState state : states)
        BOOST_TEST((state != UpstreamState::Ejected && state != UpstreamState::Degraded));
}

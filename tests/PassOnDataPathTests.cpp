// Requests that find all slots of an upstream taken, over real sockets: caller, entry, relay, executor, upstream.
#define BOOST_TEST_MODULE PassOnDataPath
#include "node/RelayClient.h"
#include "TestFleet.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace Gooseberrymill;
using namespace Gooseberrymill::Testing;

namespace {

const Header holdFault { "Stand-In-Fault", "hold" };

std::string digestOf(std::string_view text)
{
    Digest digest;
    digest.add(text);
    return digest.text();
}

// Targets that the executors of a fleet have accepted: each runs or waits for a slot of the upstream there.
class AcceptedRequests {
public:
    ExecutorHooks hooksOf(size_t node)
    {
        ExecutorHooks hooks;
        hooks.crashes.screen = [this, node](const RequestHead& head, Fingerprint) -> std::optional<Refusal> {
            std::lock_guard lock(m_mutex);
            m_accepted.insert({ node, head.target });
            m_changed.notify_all();
            return std::nullopt;
        };
        return hooks;
    }

    bool has(size_t node, const std::string& target)
    {
        std::lock_guard lock(m_mutex);
        return m_accepted.contains({ node, target });
    }

    bool waitFor(size_t node, const std::string& target)
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(lock, std::chrono::seconds(20), [&] {
            return m_accepted.contains({ node, target });
        });
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::set<std::pair<size_t, std::string>> m_accepted;
};

// Node 2's entry asks for the upstreams beside node 0 and node 1, of which it has no news. It prefers upstream 0, which
// is in its own data centre; upstream 1 is in another one of the region. Each has one slot. The entries of node 0 and
// node 1 know only the upstream beside them.
class FullFleet {
public:
    explicit FullFleet(bool triesOthersWhenFull = true, bool hasOther = true, const Location& place = { "", "other" },
        const std::string& workMs = "200")
        : m_fleet(options(triesOthersWhenFull))
    {
        CandidateList all = m_fleet.candidates();
        all.pop_back();
        all[1].location = place;
        if (!hasOther)
            all.pop_back();
        for (size_t i = 0; i < 2; ++i)
            m_fleet[i].node->setCandidates(
                std::make_shared<const CandidateList>(CandidateList { m_fleet.candidates()[i] }));
        m_fleet[2].node->setCandidates(std::make_shared<const CandidateList>(all));
        // The executors learn how long requests take. The wait is shorter at upstream 0, by a second, so that a busy
        // machine doesn't turn them round.
        auto other = std::async(std::launch::async, [this] { return warm(1, "1200"); });
        BOOST_TEST(warm(0, workMs));
        BOOST_REQUIRE(other.get());
    }

    ~FullFleet()
    {
        for (size_t i = 0; i < 2; ++i)
            m_fleet.upstream(i).releaseHeld();
    }

    // Takes the only slot of an upstream until release().
    void fill(size_t i)
    {
        m_holders.push_back(std::async(std::launch::async,
            [this, i] { return HttpCaller(m_fleet.port(i)).request("POST", "/order/holder", { holdFault }, "x"); }));
        BOOST_REQUIRE(m_fleet.upstream(i).waitForCount("/order/holder", 1));
    }

    void release(size_t i) { m_fleet.upstream(i).releaseHeld(); }

    CallerResponse ask(
        const std::string& method, const std::string& target, std::vector<Header> headers, const std::string& body)
    {
        return HttpCaller(m_fleet.port(2)).request(method, target, std::move(headers), body);
    }

    std::future<CallerResponse> askLater(const std::string& method, const std::string& target,
        const std::vector<Header>& headers = {}, const std::string& body = {})
    {
        return std::async(std::launch::async, [=, this] { return ask(method, target, headers, body); });
    }

    TestFleet& fleet() { return m_fleet; }
    AcceptedRequests& accepted() { return m_accepted; }
    size_t runs(size_t i, const std::string& target) { return m_fleet.upstream(i).count(target); }

private:
    FleetOptions options(bool triesOthersWhenFull)
    {
        FleetOptions options;
        options.nodes = 3;
        options.slots = 1;
        options.workers = 1;
        options.makeExecutorHooks = [this](size_t node) { return m_accepted.hooksOf(node); };
        options.adjust = [=](Settings& settings) { settings.triesOthersWhenFull = triesOthersWhenFull; };
        return options;
    }

    bool warm(size_t i, const std::string& delayMs)
    {
        auto response
            = HttpCaller(m_fleet.port(i))
                  .request("GET", "/read/warm", { { "Stand-In-Fault", "slow" }, { "Stand-In-Delay-Ms", delayMs } });
        return response.status == 200 && m_fleet.upstream(i).count("/read/warm") == 1;
    }

    AcceptedRequests m_accepted;
    TestFleet m_fleet;
    std::vector<std::future<CallerResponse>> m_holders;
};

struct Kind {
    std::string method;
    std::string target;
    std::string body;
};

// Repeatable without a body, not repeatable with one, repeatable with one (which is streamed).
const std::vector<Kind> kinds { { "GET", "/read/a", "" }, { "POST", "/order/a", "a body" },
    { "PUT", "/read/b", "another body" } };

void checkServed(const CallerResponse& response, const Kind& kind)
{
    BOOST_TEST(response.status == 200);
    BOOST_TEST(response.header(HeaderName::outcome) == "ran");
    BOOST_TEST(response.body == kind.method + " " + kind.target + " " + digestOf(kind.body));
}

} // namespace

// Guards against a request that queues while another upstream has a free slot, that runs twice, or that loses its body
// on the way from one to the other.
BOOST_AUTO_TEST_CASE(goesOnToTheUpstreamWithAFreeSlot)
{
    for (const Kind& kind : kinds) {
        FullFleet fleet;
        fleet.fill(0);
        checkServed(fleet.ask(kind.method, kind.target, {}, kind.body), kind);
        BOOST_TEST(fleet.runs(1, kind.target) == 1U);
        BOOST_TEST(!fleet.accepted().has(0, kind.target));
        fleet.release(0);
        BOOST_TEST(fleet.runs(0, kind.target) == 0U);
    }
}

// Guards against a change for fleets without the setting. It also shows that the first choice of these cases is the
// upstream whose slot is taken.
BOOST_AUTO_TEST_CASE(waitsWithoutTheSetting)
{
    for (const Kind& kind : kinds) {
        FullFleet fleet(false);
        fleet.fill(0);
        auto response = fleet.askLater(kind.method, kind.target, {}, kind.body);
        BOOST_TEST(fleet.accepted().waitFor(0, kind.target));
        BOOST_TEST(fleet.runs(0, kind.target) == 0U);
        fleet.release(0);
        checkServed(response.get(), kind);
        BOOST_TEST(fleet.runs(0, kind.target) == 1U);
        BOOST_TEST(fleet.runs(1, kind.target) == 0U);
    }
}

// Guards against a request that is refused, or runs twice, when no upstream has a free slot, and against one that waits
// where the wait is longer.
BOOST_AUTO_TEST_CASE(queuesWhenAllAreFull)
{
    for (const Kind& kind : kinds) {
        FullFleet fleet;
        fleet.fill(0);
        fleet.fill(1);
        auto response = fleet.askLater(kind.method, kind.target, {}, kind.body);
        BOOST_TEST(fleet.accepted().waitFor(0, kind.target));
        BOOST_TEST(!fleet.accepted().has(1, kind.target));
        fleet.release(0);
        checkServed(response.get(), kind);
        fleet.release(1);
        BOOST_TEST(fleet.runs(0, kind.target) == 1U);
        BOOST_TEST(fleet.runs(1, kind.target) == 0U);
    }
}

// Guards against a request that is refused because the service has no other upstream.
BOOST_AUTO_TEST_CASE(queuesAtTheOnlyUpstream)
{
    for (const Kind& kind : kinds) {
        FullFleet fleet(true, false);
        fleet.fill(0);
        auto response = fleet.askLater(kind.method, kind.target, {}, kind.body);
        BOOST_TEST(fleet.accepted().waitFor(0, kind.target));
        fleet.release(0);
        checkServed(response.get(), kind);
        BOOST_TEST(fleet.runs(0, kind.target) == 1U);
    }
}

// Guards against an operation that leaves the executor which holds its claim or has issued its token.
BOOST_AUTO_TEST_CASE(operationsStay)
{
    for (bool hasToken : { false, true }) {
        FullFleet fleet;
        Header operation { HeaderName::idempotencyKey, "017f22e2-79b0-7cc3-98c4-dc0c0c07398f" };
        if (hasToken) {
            auto issued = fleet.ask("POST", "/.gooseberrymill/token?service=shop", {}, "");
            auto reply = nlohmann::json::parse(issued.body, nullptr, false);
            BOOST_REQUIRE(reply.is_object());
            operation = { HeaderName::operationToken, reply.value("token", "") };
        }
        fleet.fill(0);
        auto response = fleet.askLater("POST", "/order/a", { operation }, "x");
        BOOST_TEST(fleet.accepted().waitFor(0, "/order/a"));
        fleet.release(0);
        BOOST_TEST(response.get().status == 200);
        BOOST_TEST(fleet.runs(0, "/order/a") == 1U);
        BOOST_TEST(!fleet.accepted().has(1, "/order/a"));
    }
}

// Guards against an executor that returns a request to an entry which does not go on, such as one of an older version,
// and against one that says "not run" of a request that it has run.
BOOST_AUTO_TEST_CASE(returnsOnlyRequestsOfEntriesThatAsk)
{
    FullFleet fleet;
    fleet.fill(0);
    ContextHandle context(g_main_context_new());
    RelayIdentity identity { "a key for tests only", "node", randomId() };
    RelayClient client(context.get(), identity, 5s, 5s);
    std::vector<Refusal> refusals;
    int status = 0;
    bool hasFailed = false;
    bool hasEnded = false;
    auto call = [&](const std::string& target, uint32_t acceptableWaitMs) {
        RequestHead head;
        head.requestId = randomId();
        head.service = "shop";
        head.route = "read";
        head.upstream = "shop-0";
        head.method = "GET";
        head.target = target;
        head.deadlineMs = 20000;
        head.wantsContinue = true; // like an entry with a request without a body
        head.acceptableWaitMs = acceptableWaitMs;
        auto handle = std::make_shared<std::shared_ptr<RelayCall>>();
        *handle = client.call(fleet.fleet()[0].node->relayAddress(), head,
            { [&](ResponseHead&& response) { status = response.status; }, [](std::string&&) {},
                [&] { hasEnded = true; }, [&](Refusal&& refusal) { refusals.push_back(std::move(refusal)); },
                [&](const Error&, Outcome) { hasFailed = true; },
                [weak = std::weak_ptr(handle)] {
                    auto self = weak.lock();
                    if (self && *self && (*self)->maySendBody())
                        (*self)->endBody();
                } });
        return handle;
    };
    auto runUntil = [&](const std::function<bool()>& condition) {
        auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(20);
        while (!condition() && std::chrono::steady_clock::now() < limit)
            g_main_context_iteration(context.get(), FALSE);
        return condition();
    };
    auto asks = call("/read/asks", 15);
    BOOST_TEST(runUntil([&] { return refusals.size() == 1; }));
    BOOST_REQUIRE(refusals.size() == 1U);
    BOOST_TEST((refusals[0].reason == RefusalReason::SlotsTaken));
    BOOST_TEST((refusals[0].outcome == Outcome::NotRun));
    BOOST_TEST(!refusals[0].dispatched);
    BOOST_TEST(refusals[0].retryAfterMs >= 100U); // half of the 200 ms that a request takes at least
    BOOST_TEST(refusals[0].load.running == 1U);
    auto waits = call("/read/waits", 0);
    BOOST_TEST(runUntil([&] { return fleet.accepted().has(0, "/read/waits"); }));
    fleet.release(0);
    BOOST_TEST(runUntil([&] { return hasEnded; }));
    BOOST_TEST(status == 200);
    BOOST_TEST(!hasFailed);
    BOOST_TEST(refusals.size() == 1U);
    BOOST_TEST(fleet.runs(0, "/read/waits") == 1U);
    BOOST_TEST(fleet.runs(0, "/read/asks") == 0U);
}

// Guards against a request that is refused because the other upstream does not take it, although the full one would
// have queued it.
BOOST_AUTO_TEST_CASE(returnsToTheFullUpstreamWhenTheOtherRefuses)
{
    for (const Kind& kind : kinds) {
        FullFleet fleet;
        fleet.fill(0);
        fleet.fleet().setState(1, UpstreamState::Draining); // node 2 has not heard of it
        auto response = fleet.askLater(kind.method, kind.target, {}, kind.body);
        BOOST_TEST(fleet.accepted().waitFor(0, kind.target));
        fleet.release(0);
        checkServed(response.get(), kind);
        BOOST_TEST(fleet.runs(0, kind.target) == 1U);
        BOOST_TEST(fleet.runs(1, kind.target) == 0U);
    }
}

// Guards against a request that is refused because the upstream where it queues drains, although another one that was
// full as well would queue it.
BOOST_AUTO_TEST_CASE(queuesAtTheNextOneWhenTheFirstDrains)
{
    for (const Kind& kind : kinds) {
        FullFleet fleet;
        fleet.fill(0);
        fleet.fill(1);
        auto response = fleet.askLater(kind.method, kind.target, {}, kind.body);
        BOOST_REQUIRE(fleet.accepted().waitFor(0, kind.target));
        fleet.fleet().setState(0, UpstreamState::Draining);
        BOOST_TEST(fleet.accepted().waitFor(1, kind.target));
        fleet.release(1);
        checkServed(response.get(), kind);
        BOOST_TEST(fleet.runs(0, kind.target) == 0U);
        BOOST_TEST(fleet.runs(1, kind.target) == 1U);
    }
}

// Guards against a repeatable request that is refused because more of its body was sent than the entry keeps when the
// executor returns it.
BOOST_AUTO_TEST_CASE(longBodiesAreNotLost)
{
    const std::string body = patternBytes(0, 4 << 20);
    for (bool isChunked : { false, true }) {
        FullFleet fleet;
        fleet.fill(0);
        auto response = std::async(std::launch::async, [&] {
            HttpCaller caller(fleet.fleet().port(2));
            if (!isChunked)
                return caller.request("PUT", "/read/long", {}, body);
            caller.sendHead("PUT", "/read/long", { { "Transfer-Encoding", "chunked" } });
            caller.send(fmt::format("{:x}\r\n", body.size()));
            caller.send(body);
            caller.send("\r\n0\r\n\r\n");
            return caller.receive();
        });
        // It waits at upstream 0 or is served by upstream 1, but is not refused.
        while (response.wait_for(std::chrono::milliseconds(10)) != std::future_status::ready) {
            if (fleet.accepted().has(0, "/read/long"))
                fleet.release(0);
        }
        auto served = response.get();
        BOOST_TEST(served.status == 200);
        BOOST_TEST(served.body == "PUT /read/long " + digestOf(body));
        BOOST_TEST(fleet.runs(0, "/read/long") + fleet.runs(1, "/read/long") == 1U);
    }
}

// Guards against a request that waits long although another region has a free slot. PassOnTests has the short waits.
BOOST_AUTO_TEST_CASE(goesToAnotherRegionForALongWait)
{
    const Location farAway { "far", "" };
    for (const Kind& kind : kinds) {
        FullFleet fleet(true, true, farAway, "1000"); // a wait of 500 ms
        fleet.fill(0);
        checkServed(fleet.ask(kind.method, kind.target, {}, kind.body), kind);
        BOOST_TEST(fleet.runs(1, kind.target) == 1U);
        BOOST_TEST(!fleet.accepted().has(0, kind.target));
    }
}

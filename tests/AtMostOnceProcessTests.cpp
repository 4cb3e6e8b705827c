#define BOOST_TEST_MODULE AtMostOnceProcess
#include "FleetHarness.h"

#include <future>

using namespace Gooseberrymill::Testing;

namespace {

std::vector<Gooseberrymill::Header> slowFor(int millis)
{
    return { { "Stand-In-Fault", "slow" }, { "Stand-In-Delay-Ms", std::to_string(millis) } };
}

// An answer of an operation that ran must be whole; one that may have run must not be called "not run".
void checkTruthful(const CallerResponse& response, size_t runs)
{
    BOOST_TEST(runs <= 1U);
    if (response.status == 200)
        BOOST_TEST((response.complete && runs == 1), describe(response) << ", runs " << runs);
    else if (response.status)
        BOOST_TEST((outcomeOf(response) == "unknown" || (outcomeOf(response) == "not-run" && !runs)),
            describe(response) << ", runs " << runs);
}

std::future<CallerResponse> orderAsync(Fleet& fleet, size_t i, const std::string& target, const std::string& key,
    const std::vector<Gooseberrymill::Header>& headers)
{
    return std::async(std::launch::async, [=, &fleet] { return fleet.order(i, target, key, headers); });
}

// A node that neither is `excluded` nor runs beside it.
size_t otherThan(size_t excluded, size_t size) { return (excluded + 1) % size; }

} // namespace

// Guards against a duplicate that runs beside the first request when both arrive at once at two nodes.
BOOST_AUTO_TEST_CASE(sameKeyAtTwoNodesAtOnceRunsOnce)
{
    Fleet fleet;
    for (int n = 0; n < 5; ++n) {
        std::string target = fmt::format("/order/both-{}", n);
        std::string key = makeKey();
        auto first = orderAsync(fleet, 0, target, key, slowFor(300));
        auto second = orderAsync(fleet, 1, target, key, slowFor(300));
        CallerResponse a = first.get();
        CallerResponse b = second.get();
        BOOST_TEST(fleet.runs(target) == 1U);
        checkTruthful(a, fleet.runs(target));
        checkTruthful(b, fleet.runs(target));
        BOOST_TEST((a.status == 200 || b.status == 200), describe(a) << " / " << describe(b));
        if (a.status == 200 && b.status == 200)
            BOOST_TEST(a.body == b.body);
    }
}

// Guards against a second run when the first executor was killed and its answer is lost.
BOOST_AUTO_TEST_CASE(keySentAgainAfterItsExecutorWasKilledRunsOnce)
{
    Fleet fleet;
    std::string target = "/slow-order/killed";
    std::string key = makeKey();
    auto first = orderAsync(fleet, 0, target, key, slowFor(20'000));
    size_t executor = fleet.waitForRun(target);
    fleet.node(executor).process->signal(SIGKILL);
    CallerResponse lost = first.get();
    BOOST_TEST((lost.status == 0 || outcomeOf(lost) == "unknown"), describe(lost));
    size_t viewer = otherThan(executor, fleet.size());
    for (size_t i = 0; i < fleet.size(); ++i) {
        if (i != executor)
            BOOST_TEST(fleet.order(i, target, key).status != 200);
    }
    BOOST_TEST(waitUntil([&] { return fleet.memberStatus(viewer, executor) != "alive"; }));
    BOOST_TEST(fleet.order(viewer, target, key).status != 200);
    BOOST_TEST(fleet.runs(target) == 1U);
}

// Guards against "not run" for an operation whose executor has gone: its caller would order again under a new key.
BOOST_AUTO_TEST_CASE(keyWhoseExecutorWasKilledIsNeverNotRun)
{
    Fleet fleet;
    std::string target = "/slow-order/killed";
    std::string key = makeKey();
    auto first = orderAsync(fleet, 0, target, key, slowFor(20'000));
    size_t executor = fleet.waitForRun(target);
    fleet.node(executor).process->signal(SIGKILL);
    first.wait();
    size_t viewer = otherThan(executor, fleet.size());
    CallerResponse soon = fleet.order(viewer, target, key);
    BOOST_TEST(outcomeOf(soon) == "unknown", describe(soon));
    BOOST_TEST(waitUntil([&] { return fleet.memberStatus(viewer, executor) != "alive"; }));
    CallerResponse later = fleet.order(viewer, target, key);
    BOOST_TEST(outcomeOf(later) == "unknown", describe(later));
}

// Guards against a second run when the executor is paused past every timeout and goes on later.
BOOST_AUTO_TEST_CASE(keySentAgainWhileItsExecutorIsPausedRunsOnce)
{
    Fleet fleet;
    std::string target = "/order/paused";
    std::string key = makeKey();
    auto first = orderAsync(fleet, 0, target, key, slowFor(1000));
    size_t executor = fleet.waitForRun(target);
    size_t viewer = otherThan(executor, fleet.size());
    fleet.node(executor).process->signal(SIGSTOP);
    BOOST_TEST(fleet.order(viewer, target, key).status != 200);
    BOOST_TEST(waitUntil([&] { return fleet.memberStatus(viewer, executor) != "alive"; }));
    BOOST_TEST(fleet.order(viewer, target, key).status != 200);
    fleet.node(executor).process->signal(SIGCONT);
    CallerResponse late = first.get();
    checkTruthful(late, fleet.runs(target));
    BOOST_TEST(waitUntil([&] { return fleet.memberStatus(viewer, executor) == "alive"; }));
    CallerResponse after = fleet.order(viewer, target, key);
    checkTruthful(after, fleet.runs(target));
    BOOST_TEST(fleet.runs(target) == 1U);
}

// Guards against "not run" for an operation whose executor is paused and will go on with it.
BOOST_AUTO_TEST_CASE(keyWhoseExecutorIsPausedIsNeverNotRun)
{
    Fleet fleet;
    std::string target = "/order/paused";
    std::string key = makeKey();
    auto first = orderAsync(fleet, 0, target, key, slowFor(1000));
    size_t executor = fleet.waitForRun(target);
    size_t viewer = otherThan(executor, fleet.size());
    fleet.node(executor).process->signal(SIGSTOP);
    CallerResponse soon = fleet.order(viewer, target, key);
    BOOST_TEST(outcomeOf(soon) == "unknown", describe(soon));
    BOOST_TEST(waitUntil([&] { return fleet.memberStatus(viewer, executor) != "alive"; }));
    CallerResponse later = fleet.order(viewer, target, key);
    BOOST_TEST(outcomeOf(later) == "unknown", describe(later));
    fleet.node(executor).process->signal(SIGCONT);
}

// Guards against a paused node that runs the requests in its socket buffers after they ran elsewhere.
BOOST_AUTO_TEST_CASE(requestsLeftInAPausedNodeDoNotRunTwice)
{
    Fleet fleet;
    constexpr size_t paused = 2;
    constexpr size_t operations = 12;
    std::vector<std::string> keys(operations);
    std::vector<std::future<CallerResponse>> firsts;
    auto targetOf = [](size_t n) { return fmt::format("/order/left-{}", n); };
    fleet.node(paused).process->signal(SIGSTOP);
    for (size_t n = 0; n < operations; ++n) {
        keys[n] = makeKey();
        firsts.push_back(orderAsync(fleet, n % 2, targetOf(n), keys[n], {}));
    }
    for (auto& it : firsts)
        it.wait();
    for (size_t n = 0; n < operations; n += 2) // the others are sent once only
        fleet.order(1, targetOf(n), keys[n]);
    fleet.node(paused).process->signal(SIGCONT);
    BOOST_TEST(waitUntil([&] { return fleet.memberStatus(0, paused) == "alive"; }));
    // The node reads its sockets in order, so an answer to a new request comes after those left in it.
    BOOST_TEST(fleet.call(paused, "GET", "/read/after").status == 200);
    for (size_t n = 0; n < operations; ++n) {
        if (n % 2 == 0) {
            CallerResponse after = fleet.order(paused, targetOf(n), keys[n]);
            checkTruthful(after, fleet.runs(targetOf(n)));
        }
        size_t runs = fleet.runs(targetOf(n));
        BOOST_TEST(runs <= 1U, targetOf(n) << " ran " << runs << " times");
        if (n % 2)
            checkTruthful(firsts[n].get(), runs);
    }
}

// Guards against a claim that took effect without its answer being taken for another's, or written twice.
BOOST_AUTO_TEST_CASE(lostAnswerOfTheClaimRunsOnce)
{
    Fleet fleet;
    for (int n = 0; n < 5; ++n) {
        std::string target = fmt::format("/order/lost-{}", n);
        std::string key = makeKey();
        fleet.setStoreFaults({ { "loseAnswers", 1 } });
        CallerResponse first = fleet.order(0, target, key);
        BOOST_TEST(first.status == 200, describe(first));
        CallerResponse second = fleet.order(1, target, key);
        BOOST_TEST((second.status == 200 && second.body == first.body), describe(second));
        BOOST_TEST(fleet.runs(target) == 1U);
    }
}

// Guards against a key that runs without its claim, and against tokens that need the store.
BOOST_AUTO_TEST_CASE(storeDownRefusesKeysAndRunsTokens)
{
    Fleet fleet;
    for (const char* kind : { "refuse", "hang" }) {
        fleet.setStoreFaults({ { "down", kind } });
        std::string target = fmt::format("/order/outage-{}", kind);
        std::string key = makeKey();
        CallerResponse refused = fleet.order(0, target, key);
        BOOST_TEST(outcomeOf(refused) == "unknown", describe(refused));
        BOOST_TEST(!refused.header("Retry-After").empty(), describe(refused));
        BOOST_TEST(fleet.runs(target) == 0U);

        CallerResponse issued = fleet.call(1, "POST", "/.gooseberrymill/token?service=shop");
        BOOST_REQUIRE_MESSAGE(issued.status == 200, describe(issued));
        std::string token = nlohmann::json::parse(issued.body)["token"];
        std::string tokenTarget = fmt::format("/order/token-{}", kind);
        CallerResponse first = fleet.call(0, "POST", tokenTarget, { { "Operation-Token", token } }, "one order");
        CallerResponse second = fleet.call(2, "POST", tokenTarget, { { "Operation-Token", token } }, "one order");
        BOOST_TEST(first.status == 200, describe(first));
        BOOST_TEST((second.status == 200 && second.body == first.body), describe(second));
        BOOST_TEST(fleet.runs(tokenTarget) == 1U);

        fleet.setStoreFaults({ { "down", "none" } });
        CallerResponse later;
        BOOST_TEST(waitUntil([&] { return (later = fleet.order(0, target, key)).status == 200; }), describe(later));
        BOOST_TEST(fleet.runs(target) == 1U);
    }
}

// Guards against a caller that cannot tell a key that was refused before its dispatch from one that may have run.
BOOST_AUTO_TEST_CASE(refusedKeySaysThatNothingWasDispatched)
{
    Fleet fleet;
    fleet.setStoreFaults({ { "down", "refuse" } });
    CallerResponse refused = fleet.order(0, "/order/refused", makeKey());
    auto body = nlohmann::json::parse(refused.body, nullptr, false);
    BOOST_TEST((body.is_object() && body.value("dispatched", true) == false), describe(refused));
    BOOST_TEST(fleet.runs("/order/refused") == 0U);
}

// Guards against a retry after the upstream had the request, and against calling it "not run".
BOOST_AUTO_TEST_CASE(upstreamThatReadsTheRequestAndClosesIsNotAskedAgain)
{
    Fleet fleet;
    std::string target = "/order/closed";
    std::string key = makeKey();
    CallerResponse first = fleet.order(0, target, key, { { "Stand-In-Fault", "close" } });
    BOOST_TEST(outcomeOf(first) == "unknown", describe(first));
    for (size_t i = 0; i < fleet.size(); ++i) {
        CallerResponse again = fleet.order(i, target, key);
        BOOST_TEST(outcomeOf(again) == "unknown", describe(again));
    }
    BOOST_TEST(fleet.runs(target) == 1U);
}

// Guards against a second run of an order whose claim the restored store has lost.
BOOST_AUTO_TEST_CASE(keyWhoseClaimTheStoreLostRunsOnce)
{
    Fleet fleet;
    std::string target = "/order/forgotten";
    std::string key = makeKey();
    BOOST_REQUIRE(fleet.order(0, target, key).status == 200);
    size_t executor = fleet.waitForRun(target);
    fleet.restoreStore({ { "lostWrites", 1000 } });
    fleet.node(executor).process->signal(SIGKILL);
    fleet.node(executor).process->exitCode();
    for (size_t n = 0; n < 2; ++n) {
        for (size_t i = 0; i < fleet.size(); ++i) {
            if (i != executor)
                fleet.order(i, target, key);
        }
    }
    BOOST_TEST(fleet.runs(target) == 1U);
}

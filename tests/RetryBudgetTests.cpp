#define BOOST_TEST_MODULE RetryBudget
#include "Gooseberrymill.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace Gooseberrymill;

namespace {

Instant at(Duration time) { return Instant(time); }

AttemptState failedRead()
{
    return { .repeatable = true, .outcome = Outcome::Unknown, .attempts = 1, .deadlineLeft = 1s, .expected = 50ms };
}

HedgeState slowRead()
{
    return { .repeatable = true, .sameRegion = true, .elapsed = 200ms, .percentile95 = 100ms, .deadlineLeft = 1s };
}

AttemptPolicy fundedPolicy(RetryPolicy policy, uint32_t requests = 1000)
{
    AttemptPolicy attempts(policy);
    for (uint32_t i = 0; i < requests; ++i)
        attempts.offered(at(1s));
    return attempts;
}

// Attempts per offered request if every attempt fails and is retried as often as the policy allows.
template <Retrying Policy> double amplification(Policy policy)
{
    constexpr int requests = 5000;
    int attempts = 0;
    for (int i = 0; i < requests; ++i) {
        Instant now = at(1ms * i);
        policy.offered(now);
        AttemptState state = failedRead();
        ++attempts;
        while (policy.mayRetry(state, now)) {
            ++state.attempts;
            ++attempts;
        }
    }
    return static_cast<double>(attempts) / requests;
}

} // namespace

// Guards against a retry storm when every attempt fails. The bound of design 1.2 is 1.2 times the offered load.
BOOST_AUTO_TEST_CASE(totalFailureStaysWithinBound)
{
    constexpr double bound = 1.2;
    BOOST_TEST(amplification(AttemptPolicy(RetryPolicy {})) <= bound);
    BOOST_TEST(amplification(ThreeRetries()) > bound); // the baseline exceeds the bound
}

// Guards against a constant retry allowance, which would exceed the bound at low request rates.
BOOST_AUTO_TEST_CASE(lowRateHasNoFreeRetries)
{
    RetryBudget budget(0.1);
    BOOST_TEST(!budget.tryAcquire(at(0s)));
    for (int i = 0; i < 9; ++i)
        budget.offered(at(1s * i));
    BOOST_TEST(!budget.tryAcquire(at(9s)));
    budget.offered(at(9s));
    BOOST_TEST(budget.tryAcquire(at(9s)));
    BOOST_TEST(!budget.tryAcquire(at(9s)));
}

// Guards against retries that were earned in a busy period being used long after it.
BOOST_AUTO_TEST_CASE(savedTokensExpireWithTheOfferedLoad)
{
    RetryBudget budget(0.1);
    for (int i = 0; i < 1000; ++i)
        budget.offered(at(1s));
    BOOST_TEST(budget.available(at(1s)) == 100.0, boost::test_tools::tolerance(1e-6));
    BOOST_TEST(budget.available(at(11s)) == 0.0);
    BOOST_TEST(!budget.tryAcquire(at(11s)));
}

// Guards against any schedule in which the retries granted in 10 s exceed a tenth of the requests offered in those 10 s
// and the 11 s before. The budget counts the requests of the last 10 s; the test tolerates one more second.
RC_BOOST_PROP(noScheduleExceedsTheBucket, (const std::vector<std::pair<uint16_t, bool>>& steps))
{
    RetryBudget budget(0.1);
    Instant now {};
    std::vector<Instant> offers;
    std::vector<Instant> grants;
    for (auto [pause, retry] : steps) {
        now += Duration(1ms) * (pause % 2000);
        for (int i = 0; i < 7; ++i) {
            budget.offered(now);
            offers.push_back(now);
        }
        while (retry && budget.tryAcquire(now))
            grants.push_back(now);
    }
    for (Instant start : grants) {
        auto granted
            = std::count_if(grants.begin(), grants.end(), [&](Instant t) { return t >= start && t < start + 10s; });
        auto offered = std::count_if(
            offers.begin(), offers.end(), [&](Instant t) { return t > start - 11s && t < start + 10s; });
        RC_ASSERT(static_cast<double>(granted) <= 0.1 * static_cast<double>(offered) + 1e-6);
    }
}

// Guards against a request that must not run twice being retried after it may have run.
BOOST_AUTO_TEST_CASE(nonRepeatableIsRetriedOnlyWhenNotRun)
{
    AttemptPolicy policy = fundedPolicy({});
    AttemptState state = failedRead();
    state.repeatable = false;
    for (Outcome outcome : { Outcome::Unknown, Outcome::Ran }) {
        state.outcome = outcome;
        BOOST_TEST(!policy.mayRetry(state, at(1s)));
    }
    state.outcome = Outcome::NotRun;
    BOOST_TEST(policy.mayRetry(state, at(1s)));
}

// Guards against attempts that cannot meet the deadline, and against more attempts than configured.
BOOST_AUTO_TEST_CASE(respectsDeadlineAndMaxAttempts)
{
    AttemptPolicy policy = fundedPolicy({});
    AttemptState state = failedRead();
    state.deadlineLeft = state.expected;
    BOOST_TEST(!policy.mayRetry(state, at(1s)));
    state = failedRead();
    state.attempts = RetryPolicy {}.maxAttempts;
    BOOST_TEST(!policy.mayRetry(state, at(1s)));
}

// Guards against a denied attempt using up the budget of other requests.
BOOST_AUTO_TEST_CASE(refusedAttemptCostsNoToken)
{
    AttemptPolicy policy = fundedPolicy({}, 10); // enough for one retry
    AttemptState state = failedRead();
    state.deadlineLeft = Duration::zero();
    BOOST_TEST(!policy.mayRetry(state, at(1s)));
    BOOST_TEST(policy.mayRetry(failedRead(), at(1s)));
    BOOST_TEST(!policy.mayRetry(failedRead(), at(1s)));
}

// Guards against hedges to another region, of requests that are not repeatable, or before the first attempt is late.
BOOST_AUTO_TEST_CASE(hedgesOnlyLateRepeatableReadsOfTheRegion)
{
    RetryPolicy policy;
    BOOST_TEST(!fundedPolicy(policy).mayHedge(slowRead(), at(1s))); // hedging is off unless configured
    policy.hedge = true;
    AttemptPolicy attempts = fundedPolicy(policy);
    BOOST_TEST(attempts.mayHedge(slowRead(), at(1s)));
    HedgeState hedge = slowRead();
    hedge.sameRegion = false;
    BOOST_TEST(!attempts.mayHedge(hedge, at(1s)));
    hedge = slowRead();
    hedge.repeatable = false;
    BOOST_TEST(!attempts.mayHedge(hedge, at(1s)));
    hedge = slowRead();
    hedge.elapsed = hedge.percentile95 / 2;
    BOOST_TEST(!attempts.mayHedge(hedge, at(1s)));
    hedge = slowRead();
    hedge.attempts = 2;
    BOOST_TEST(!attempts.mayHedge(hedge, at(1s)));
    AttemptPolicy unfunded(policy);
    BOOST_TEST(!unfunded.mayHedge(slowRead(), at(1s)));
}

// Guards against a budget that uses a default share or the share of an earlier configuration.
BOOST_AUTO_TEST_CASE(budgetsFollowTheShareOfTheirService)
{
    RetryBudgets budgets;
    Service wide;
    wide.name = "wide";
    wide.retry.budgetShare = 0.5;
    Service narrow;
    narrow.name = "narrow";
    narrow.retry.budgetShare = 0.01;
    for (int i = 0; i < 10; ++i) {
        budgets.of(wide).offered(at(1s));
        budgets.of(narrow).offered(at(1s));
    }
    int granted = 0;
    while (budgets.of(wide).tryAcquire(at(1s)))
        ++granted;
    BOOST_TEST(granted == 5);
    BOOST_TEST(!budgets.of(narrow).tryAcquire(at(1s)));
    narrow.retry.budgetShare = 0.2; // a new configuration
    for (int i = 0; i < 10; ++i)
        budgets.of(narrow).offered(at(1s));
    BOOST_TEST(budgets.of(narrow).tryAcquire(at(1s)));
}

// Guards against a burst that exceeds the bound of the fleet, and against a bound that cannot be used up. When each
// node uses its full part, the bound holds in every window of 10 s, also after an idle period, and a fleet that is busy
// throughout gets nearly all of it.
BOOST_AUTO_TEST_CASE(burstKeepsTheBoundOfTheFleet)
{
    constexpr uint32_t nodes = 36;
    constexpr double share = 0.2;
    constexpr double slack = 58;
    constexpr int64_t windowSeconds = 10;
    std::vector<RetryBudget> budgets(nodes, RetryBudget(share));
    std::vector<uint32_t> taken(100);
    std::vector<uint32_t> offered(100);
    for (int64_t second = 0; second < 100; ++second) {
        for (RetryBudget& budget : budgets) {
            budget.setBurst(slack / nodes);
            bool isBusy = second > 30;
            for (uint32_t i = 0; isBusy && i < 2; ++i) {
                budget.offered(at(std::chrono::seconds(second)));
                ++offered[static_cast<size_t>(second)];
                taken[static_cast<size_t>(second)] += budget.tryAcquire(at(std::chrono::seconds(second))) ? 1 : 0;
            }
        }
    }
    uint32_t total = 0;
    for (size_t start = 0; start + windowSeconds <= taken.size(); ++start) {
        uint32_t retries = 0;
        uint32_t requests = 0;
        for (size_t i = start; i < start + windowSeconds; ++i) {
            retries += taken[i];
            requests += offered[i];
        }
        total += retries;
        BOOST_TEST(retries <= share * requests + slack);
    }
    BOOST_TEST(total > 0U);
    constexpr size_t settledSecond = 50;
    uint32_t retries = 0;
    uint32_t requests = 0;
    for (size_t i = settledSecond; i < taken.size(); ++i) {
        retries += taken[i];
        requests += offered[i];
    }
    BOOST_TEST(retries >= 0.8 * share * requests);
}

// Guards against a restart that refills the burst: restarts in series would spend the fleet's burst several times.
BOOST_AUTO_TEST_CASE(restartsInSeriesSpendTheBurstOnce)
{
    constexpr uint32_t nodes = 36;
    constexpr double slack = 62;
    constexpr int restarts = 5;
    uint32_t taken = 0;
    for (uint32_t node = 0; node < nodes; ++node) {
        RetryBudget budget(0.2);
        budget.setBurst(slack / nodes);
        for (int i = 0; i < restarts; ++i) {
            while (budget.tryAcquire(at(1s * i)))
                ++taken;
            budget = RetryBudget(0.2);
            budget.setBurst(slack / nodes);
            budget.withholdBurst(at(1s * i) + RetryBudget::window());
        }
        while (budget.tryAcquire(at(9s)))
            ++taken;
    }
    BOOST_TEST(taken <= slack);
    BOOST_TEST(taken > 0U);
}

// Guards against a burst that a restarted node never gets back, and against a share that is withheld with it.
BOOST_AUTO_TEST_CASE(burstReturnsAfterOneWindow)
{
    RetryBudget budget(0.2);
    budget.setBurst(1);
    budget.withholdBurst(at(1s) + RetryBudget::window());
    for (int i = 0; i < 5; ++i)
        budget.offered(at(2s));
    BOOST_TEST(budget.tryAcquire(at(2s)));
    BOOST_TEST(!budget.tryAcquire(at(11s)));
    BOOST_TEST(budget.tryAcquire(at(13s)));
    BOOST_TEST(!budget.tryAcquire(at(13s)));
}

// Guards against a node that takes over the part of nodes which it has lost sight of, but which may still spend.
BOOST_AUTO_TEST_CASE(lostNodesKeepTheirPartOfTheBurst)
{
    FleetSize size;
    BOOST_TEST(size.largest() == 1U);
    size.record(36, at(0s));
    size.record(2, at(10s));
    BOOST_TEST(size.largest() == 36U);
    size.record(2, at(FleetSize::memory));
    BOOST_TEST(size.largest() == 36U);
    size.record(2, at(2 * FleetSize::memory)); // the fleet has really shrunk
    BOOST_TEST(size.largest() == 2U);
}

// Guards against nodes that restart in an outage of the store and share the burst among the few that they meet first.
BOOST_AUTO_TEST_CASE(nodesThatFindEachOtherSpendTheBurstOnce)
{
    constexpr uint32_t nodes = 36;
    constexpr double slack = 62;
    const std::vector<std::pair<Duration, uint32_t>> discovery { { 30s, 1 }, { 60s, 2 }, { 60s + 200ms, 12 },
        { 61s, nodes }, { 65s, nodes } };
    uint32_t taken = 0;
    uint32_t takenAtLast = 0;
    for (uint32_t node = 0; node < nodes; ++node) {
        RetryBudget budget(0.2);
        BurstShare share(at(0s), false);
        for (const auto& [time, known] : discovery) {
            share.record(known, at(time));
            budget.setBurst(slack / share.nodes());
            budget.withholdBurst(share.availableFrom());
            bool isAlone = known == 1;
            while (!isAlone && budget.tryAcquire(at(time))) {
                ++taken;
                takenAtLast += time == discovery.back().first ? 1 : 0;
            }
        }
    }
    BOOST_TEST(taken <= slack);
    BOOST_TEST(takenAtLast > 0U);
}

// Guards against a burst that is withheld again whenever the fleet grows, and against one from before a restart.
BOOST_AUTO_TEST_CASE(burstStartsOnce)
{
    BurstShare first(at(1s), true);
    first.record(20, at(2s));
    first.record(36, at(50s));
    BOOST_TEST((first.availableFrom() == at(2s) + BurstShare::discoveryTime));
    BurstShare restarted(at(1s), false);
    restarted.record(36, at(2s));
    BOOST_TEST((restarted.availableFrom() == at(1s) + RetryBudget::window()));
}

// Guards against calls of retries that come on top of the budget of the service that they call.
BOOST_AUTO_TEST_CASE(chargedRetriesTakeTheRoomOfGrantedOnes)
{
    RetryBudget budget(0.2);
    for (int i = 0; i < 20; ++i) {
        budget.offered(at(1s));
        budget.charge(0.125, at(1s));
    }
    BOOST_TEST(budget.tryAcquire(at(1s)));
    BOOST_TEST(!budget.tryAcquire(at(1s))); // 4 earned, 2.5 charged, 1 granted
    budget.charge(100, at(2s));
    BOOST_TEST(budget.available(at(2s)) == 0.0);
    budget.setBurst(1);
    BOOST_TEST(budget.tryAcquire(at(14s))); // charges expire like granted retries
}

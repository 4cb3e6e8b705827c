// Outcome stated by a refusal, retry decisions of AttemptPlan, and affinity of idempotency keys.
#define BOOST_TEST_MODULE AttemptPlan
#include "core/ClaimLedger.h"
#include "core/RefusalOutcome.h"
#include "node/AttemptPlan.h"

#include <boost/test/unit_test.hpp>
#include <set>

using namespace Gooseberrymill;

// Guards against reporting "not run" for an operation by a node that does not know whether it ran elsewhere.
BOOST_AUTO_TEST_CASE(onlyAnExecutorThatKnowsTheOperationSaysNotRun)
{
    for (RefusalReason reason :
        { RefusalReason::QueueFull, RefusalReason::Draining, RefusalReason::NoUpstream, RefusalReason::NoConfiguration,
            RefusalReason::RelayFailed, RefusalReason::DeadlineExceeded, RefusalReason::StoreUnavailable,
            RefusalReason::UpstreamUnreachable, RefusalReason::QueryOfDeath, RefusalReason::Overloaded }) {
        BOOST_TEST((outcomeOf({ .reason = reason }) == Outcome::NotRun));
        BOOST_TEST((outcomeOf({ .reason = reason, .namesOperation = true }) == Outcome::Unknown));
        BOOST_TEST(
            (outcomeOf({ .reason = reason, .namesOperation = true, .operationKnown = true }) == Outcome::NotRun));
        BOOST_TEST((outcomeOf({ .reason = reason, .dispatched = true }) == Outcome::Unknown));
        BOOST_TEST((outcomeOf({ .reason = reason, .dispatched = true, .namesOperation = true, .operationKnown = true })
            == Outcome::Unknown));
    }
}

// Guards against an invalid request that is reported as one that may have run.
BOOST_AUTO_TEST_CASE(faultOfTheRequestIsNotRun)
{
    for (RefusalReason reason :
        { RefusalReason::BadRequest, RefusalReason::NoRoute, RefusalReason::BodyTooLarge, RefusalReason::KeyReused }) {
        BOOST_TEST((outcomeOf({ .reason = reason, .namesOperation = true }) == Outcome::NotRun));
        BOOST_TEST((outcomeOf({ .reason = reason, .dispatched = true }) == Outcome::Unknown));
    }
}

// Guards against retrying a request that is not repeatable after an upstream may have run it, and against giving up on
// one that no upstream has seen.
BOOST_AUTO_TEST_CASE(triesAnotherUpstreamByWhatWasDispatched)
{
    for (bool repeatable : { false, true }) {
        AttemptPlan plan(repeatable, 3, {});
        plan.started("a");
        BOOST_TEST(plan.acquireRetry(false, RefusalReason::Draining, true));
        BOOST_TEST(!plan.acquireRetry(false, RefusalReason::Draining, false));
        BOOST_TEST(!plan.acquireRetry(false, RefusalReason::StoreUnavailable, true));
        BOOST_TEST(!plan.acquireRetry(true, RefusalReason::Draining, true));
        BOOST_TEST(plan.acquireRetry(true, RefusalReason::UpstreamCrashed, true) == repeatable);
        plan.started("b");
        plan.started("c");
        BOOST_TEST(!plan.acquireRetry(false, RefusalReason::Draining, true));
    }
}

// Guards against charging the retry budget for requests that no upstream has seen, and against trying one upstream
// after the other without limit.
BOOST_AUTO_TEST_CASE(turnBacksCostNoRetryAndAreBounded)
{
    uint32_t retries = 0;
    AttemptPlan plan(
        false, 2, [&] { return ++retries, false; }, 3);
    uint32_t attemptCount = 1;
    plan.started("0");
    while (plan.acquireRetry(false, RefusalReason::Degraded, true))
        plan.started(std::to_string(attemptCount++));
    BOOST_TEST(attemptCount == 5U);
    BOOST_TEST(retries == 0U);
}

// Guards against more load on upstreams than the retry budget allows: a request that an upstream sheds has reached it.
BOOST_AUTO_TEST_CASE(shedRequestsCostRetries)
{
    bool isFunded = true;
    AttemptPlan plan(
        false, 2, [&] { return std::exchange(isFunded, false); }, 3);
    plan.started("a");
    BOOST_TEST(plan.acquireRetry(false, RefusalReason::UpstreamShed, true));
    plan.started("b");
    BOOST_TEST(!plan.acquireRetry(false, RefusalReason::UpstreamShed, true));
}

// Guards against giving up on a request that several upstreams shed and none has run, as when all upstreams of a
// service shed half of their requests: maxAttempts limits only attempts that an upstream may have run.
BOOST_AUTO_TEST_CASE(shedRequestIsNoAttempt)
{
    AttemptPlan plan(true, 2, {}, 10);
    for (const char* upstream : { "a", "b", "c", "d" }) {
        plan.started(upstream);
        BOOST_TEST(plan.acquireRetry(false, RefusalReason::UpstreamShed, true));
    }
    plan.started("e");
    BOOST_TEST(plan.acquireRetry(true, RefusalReason::UpstreamCrashed, true));
    plan.started("f");
    BOOST_TEST(!plan.acquireRetry(true, RefusalReason::UpstreamCrashed, true));
}

// Guards against conflicting conditional writes, which occur when several executors write the claims of one shard.
BOOST_AUTO_TEST_CASE(operationsOfAShardShareTheirAffinity)
{
    std::set<Id128> affinities;
    uint32_t shards = ClaimSettings {}.shards;
    for (uint64_t i = 0; i < 1000; ++i) {
        Id128 operation { i * 7919, 0x8000000000000000ULL | i };
        Id128 sameShard { i, operation.low + uint64_t(shards) * 3 };
        BOOST_TEST((claimAffinity(operation) == claimAffinity(sameShard)));
        affinities.insert(claimAffinity(operation));
    }
    BOOST_TEST(affinities.size() == shards);
}

// The operation gate of an executor, with its operation table and an in-memory claim store.
#define BOOST_TEST_MODULE OperationService
#include "core/MemoryStore.h"
#include "node/OperationService.h"

#include <boost/test/unit_test.hpp>

using namespace Gooseberrymill;

namespace {

const Id128 incarnation { 7, 7 };

struct Request {
    RequestHead head;
    std::optional<GateDecision> decision;

    Request(const Id128& operation, const Id128& requestId)
    {
        head.requestId = requestId;
        head.service = "shop";
        head.route = "order";
        head.method = "POST";
        head.target = "/order/a";
        head.deadlineMs = 10000;
        head.operationKind = OperationKind::Key;
        head.operation = operation;
    }

    bool mayRun() const { return decision && decision->kind == GateDecision::Kind::Run; }
};

struct Fixture {
    MemoryStore store;
    OperationService<MemoryStore> service { incarnation, OperationLimits {}, &store };
    Id128 key { static_cast<uint64_t>(currentWallTime().time_since_epoch().count()) << 16 | 0x7000,
        0x8000000000000001ULL };

    void begin(Request& request)
    {
        service.begin(request.head, "body", [&](GateDecision decision) { request.decision = std::move(decision); });
    }
};

} // namespace

// Guards against an operation that stays reserved for a request that was cancelled while it was being claimed, so that
// all other requests wait forever.
BOOST_FIXTURE_TEST_CASE(nextRequestRunsWhenTheClaimantLeft, Fixture)
{
    Request first(key, { 1, 1 });
    Request second(key, { 1, 2 });
    begin(first);
    begin(second);
    service.cancelWait(first.head);
    store.deliverAll();
    BOOST_TEST(!first.decision.has_value());
    BOOST_TEST(second.mayRun());
}

// Guards against an operation that can never run because its only request was cancelled while it was being claimed.
BOOST_FIXTURE_TEST_CASE(laterRequestRunsWhenAllLeft, Fixture)
{
    Request first(key, { 1, 1 });
    begin(first);
    service.cancelWait(first.head);
    store.deliverAll();
    Request later(key, { 1, 2 });
    begin(later);
    BOOST_TEST(later.mayRun());
    BOOST_TEST(!first.decision.has_value());
}

// Guards against waiting requests that are kept, or get a decision, after they were cancelled.
BOOST_FIXTURE_TEST_CASE(waiterThatLeftIsNotTold, Fixture)
{
    Request first(key, { 1, 1 });
    Request second(key, { 1, 2 });
    Request third(key, { 1, 3 });
    begin(first);
    store.deliverAll();
    BOOST_REQUIRE(first.mayRun());
    begin(second);
    begin(third);
    service.cancelWait(second.head);
    service.cancelWait(second.head); // a repeated call has no effect
    auto response = std::make_shared<StoredResponse>();
    response->head.status = 201;
    response->body = "done";
    service.recordResponse(first.head, response, true);
    BOOST_TEST(!second.decision.has_value());
    BOOST_REQUIRE(third.decision.has_value());
    BOOST_TEST((third.decision->kind == GateDecision::Kind::Respond));
    BOOST_TEST(third.decision->response->body == "done");
}

// Guards against an operation that can no longer run after its first request ended with the outcome "not run".
BOOST_FIXTURE_TEST_CASE(runThatWasGivenBackMayBeTakenAgain, Fixture)
{
    Request first(key, { 1, 1 });
    begin(first);
    store.deliverAll();
    BOOST_REQUIRE(first.mayRun());
    Refusal refusal;
    refusal.reason = RefusalReason::Cancelled;
    service.finish(first.head, refusal);
    Request later(key, { 1, 2 });
    begin(later);
    BOOST_TEST(later.mayRun());
}

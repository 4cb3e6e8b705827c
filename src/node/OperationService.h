// At-most-once execution at an executor: implements the operation gate with the operation table and the claims in the
// store. Used only on the executor's task.
#pragma once

#include "ClaimWriter.h"
#include "core/OperationTable.h"
#include "Executor.h"
#include "FleetAuth.h"
#include "RequestFingerprint.h"
#include "Task.h"

namespace Gooseberrymill {

// Decides whether a request that names an operation runs, waits, gets the recorded response or is refused.
template <ObjectStore Store> class OperationService {
public:
    // `store` may be null. Then idempotency keys cannot be claimed, and only operation tokens work.
    OperationService(Id128 incarnation, OperationLimits limits, Store* store)
        : m_table(incarnation, limits)
        , m_limits(limits)
    {
        if (store) {
            m_claims.emplace(*store, ClaimLedger(incarnation, ClaimSettings {}), currentInstant,
                [this](const ClaimSettled& settled) { deliver(m_table.claimSettled(settled, currentInstant())); });
        }
    }

    void setRoutes(std::shared_ptr<const RouteTable> routes) { m_routes = std::move(routes); }

    // begin(), cancelWait(), recordResponse() and finish() implement OperationGate; see there.
    using Decide = std::function<void(GateDecision)>;
    void begin(const RequestHead& head, std::string_view body, Decide decide)
    {
        const Service* service = m_routes ? m_routes->service(head.service) : nullptr;
        OperationRequest request;
        request.kind = head.operationKind;
        request.operation = head.operation;
        request.executor = head.executor;
        request.service = head.service;
        request.route = head.route;
        request.fingerprint = fingerprintOf(head, body);
        request.isInquiry = head.isInquiry;
        if (service)
            request.retention = service->retention;
        Instant now = currentInstant();
        WaiterId waiter = ++m_lastWaiter;
        OperationDecision decision = m_table.begin(request, waiter, now, currentWallTime());
        m_waiting[waiter] = { head.requestId, &head, std::move(decide) };
        m_waiterIds[&head] = waiter;
        if (decision.step == OperationStep::Claim)
            claim(head, now);
        else if (decision.step != OperationStep::Wait)
            answer(waiter, decision);
    }

    void cancelWait(const RequestHead& head)
    {
        auto it = m_waiterIds.find(&head);
        if (it == m_waiterIds.end())
            return;
        m_table.waiterGone(head.operation, it->second);
        m_waiting.erase(it->second);
        m_waiterIds.erase(it);
    }

    void recordResponse(const RequestHead& head, const std::shared_ptr<const StoredResponse>& response, bool delivered)
    {
        if (!m_table.dispatched(head.operation))
            return;
        Instant now = currentInstant();
        if (response)
            deliver(m_table.finished(
                head.operation, { response->head.status, response->head.headers, response->body }, delivered, now));
        else
            deliver(m_table.finishedUnrecorded(head.operation, delivered, now));
        mark(head, ClaimState::Ran, response ? response->head.status : 0);
    }

    void finish(const RequestHead& head, const Refusal& refusal)
    {
        bool mayHaveRun = refusal.dispatched;
        if (mayHaveRun && !m_table.dispatched(head.operation))
            return;
        deliver(m_table.failed(head.operation, refusal.reason, currentInstant()));
        if (mayHaveRun)
            mark(head, ClaimState::Unknown, 0);
    }

    // Binds a new operation to this incarnation. The reply has a zero operation when the table is full.
    TokenReply issueToken(const TokenQuery& query)
    {
        TokenReply reply;
        reply.requestId = query.requestId;
        reply.executor = m_table.incarnation();
        Id128 operation = randomId();
        if (!m_table.issueToken(operation, query.service, currentInstant()))
            return reply;
        reply.operation = operation;
        reply.lifetimeMs = static_cast<uint32_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(m_limits.tokenLifetime).count());
        return reply;
    }

    // Retries and expires claims. Their deadlines are given in milliseconds, so this is called more often than
    // tickTable().
    void tickClaims()
    {
        if (m_claims)
            m_claims->tick();
    }

    // Drops expired operations. Visits every operation, so it is called less often than tickClaims().
    void tickTable() { m_table.tick(currentInstant()); }

    // Operations whose caller may not know the outcome, for operators.
    std::vector<UnresolvedOperation> unresolved() const { return m_table.unresolved(currentInstant()); }
    // Marks an operation as resolved by an operator.
    void resolve(const Id128& operation) { m_table.resolve(operation); }

private:
    // Upper limit of the time for a claim, which is also at most half of the time to the caller's deadline, so that the
    // request still has time to run.
    static constexpr Duration maxClaimWait = 5s;

    void claim(const RequestHead& head, Instant now)
    {
        Claim claim = m_table.claimFor(head.operation);
        if (!m_claims) {
            deliver(m_table.claimSettled({ head.operation, ClaimVerdict::Unavailable, claim }, now));
            return;
        }
        Duration wait = std::min(maxClaimWait, Duration(std::chrono::milliseconds(head.deadlineMs)) / 2);
        m_claims->claim(head.service, claim, now + wait);
    }

    void mark(const RequestHead& head, ClaimState state, uint16_t status)
    {
        if (m_claims && head.operationKind == OperationKind::Key)
            m_claims->mark(head.service, head.operation, state, status);
    }

    void deliver(const std::vector<OperationCompletion>& completions)
    {
        for (const OperationCompletion& completion : completions)
            answer(completion.waiter, completion.decision);
    }

    void answer(WaiterId waiter, const OperationDecision& decision)
    {
        auto it = m_waiting.find(waiter);
        if (it == m_waiting.end())
            return;
        Waiting waiting = std::move(it->second);
        m_waiting.erase(it);
        m_waiterIds.erase(waiting.head);
        waiting.decide(toGateDecision(waiting.requestId, decision));
    }

    GateDecision toGateDecision(const Id128& requestId, const OperationDecision& decision) const
    {
        GateDecision result;
        if (decision.step == OperationStep::Run)
            return result;
        if (decision.step == OperationStep::Answer) {
            auto response = std::make_shared<StoredResponse>();
            response->head.requestId = requestId;
            response->head.status = decision.answer->status;
            response->head.headers = decision.answer->headers;
            response->body = decision.answer->body;
            result.kind = GateDecision::Kind::Respond;
            result.response = std::move(response);
            return result;
        }
        result.kind = GateDecision::Kind::Refuse;
        result.refusal.requestId = requestId;
        result.refusal.outcome = decision.outcome;
        result.refusal.reason = decision.reason;
        result.refusal.holder = decision.holder;
        result.refusal.step = "executor.operation";
        if (decision.reason == RefusalReason::StoreUnavailable)
            result.refusal.retryAfterMs = storeRetryAfterMs;
        return result;
    }

    static constexpr uint32_t storeRetryAfterMs = 5000; // sent to the caller while the store is unavailable

    struct Waiting {
        Id128 requestId;
        const RequestHead* head = nullptr; // key in m_waiterIds; not dereferenced
        Decide decide;
    };

    OperationTable m_table;
    OperationLimits m_limits;
    std::shared_ptr<const RouteTable> m_routes;
    std::unordered_map<WaiterId, Waiting> m_waiting; // requests that wait for a decision
    std::unordered_map<const RequestHead*, WaiterId> m_waiterIds; // ids of the requests in m_waiting, by head
    WaiterId m_lastWaiter = 0;
    std::optional<ClaimWriter<Store>> m_claims; // last, since its callbacks use the members above
};

// Creates an operation gate that calls the OperationService in `services->operations`. The service must exist from the
// hook `started` until the hook `stopped`; the executor calls the gate only between them.
template <typename Services> OperationGate operationGate(std::shared_ptr<Services> services)
{
    OperationGate gate;
    gate.begin = [services](const RequestHead& head, std::string_view body, auto decide) {
        services->operations->begin(head, body, std::move(decide));
    };
    gate.cancelWait = [services](const RequestHead& head) { services->operations->cancelWait(head); };
    gate.recordResponse = [services](const RequestHead& head, const std::shared_ptr<const StoredResponse>& response,
                              bool delivered) { services->operations->recordResponse(head, response, delivered); };
    gate.finish
        = [services](const RequestHead& head, const Refusal& refusal) { services->operations->finish(head, refusal); };
    return gate;
}

} // namespace Gooseberrymill

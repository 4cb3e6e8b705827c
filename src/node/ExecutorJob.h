// One request at the executor, from its head until its response was sent.
#pragma once

#include "Executor.h"

namespace Gooseberrymill {

class ExecutorJob : public std::enable_shared_from_this<ExecutorJob> {
public:
    ExecutorJob(ExecutorBase&, std::shared_ptr<RelayExchange>);

    void start();
    void dispatch(); // a slot is free
    // `dispatched`: a byte of the request may have reached the upstream.
    void refuse(RefusalReason, const char* step, Duration retryAfter = {}, bool dispatched = false);
    void refuse(Refusal); // the outcome follows from `dispatched` and `reason`
    void checkDeadline(Instant now);
    TicketId ticket() const { return m_ticket; }
    void detach(); // the executor ends; nothing more is reported

private:
    const RequestHead& head() const { return m_exchange->head(); }
    bool isOperation() const { return head().operationKind != OperationKind::None; }
    bool findTarget();
    bool checkTarget(); // false: refused
    bool checkState(); // of this node and the upstream; false: refused
    bool screen(); // false: refused as a query of death
    void receiveBody();
    void onChunk(std::string&&);
    void onBodyEnd();
    void checkGates();
    void onDecision(GateDecision&&);
    void respond(const StoredResponse&);
    void admit();
    void onHead(ResponseHead&&);
    void onResponseChunk(std::string&&);
    void onResponseEnd();
    void onFailure(UpstreamFailure&&);
    void finishFailure(const UpstreamFailure&, Duration length, bool isCrash);
    void recordSample(SampleKind, Duration length);
    void onCancelled();
    void streamHead();
    void readNext();
    void sendRefusal(Refusal);
    void releaseSlot(std::optional<SampleKind>, bool completed); // without a kind the sample follows
    SampleKind classifyResponse() const;
    std::optional<RefusalReason> responseRejectionReason() const; // why the response is none for this request
    LoadReport loadReport() const;
    void end();

    ExecutorBase& m_executor;
    std::shared_ptr<RelayExchange> m_exchange;
    std::shared_ptr<const RouteTable> m_routes; // keeps m_service and m_route
    const Service* m_service = nullptr;
    const Route* m_route = nullptr;
    std::shared_ptr<LocalUpstream> m_upstream;
    std::shared_ptr<UpstreamCall> m_call;
    TicketId m_ticket = 0;
    Instant m_deadline {};
    std::string m_body; // the request, or what of it came before the dispatch
    bool m_buffersBody = false; // the request is dispatched only when it is here whole
    bool m_waitsForBodyEnd = false; // nothing happens before the end of the body
    bool m_bodyEnded = false;
    Fingerprint m_fingerprint = 0;
    Instant m_dispatchedAt {};
    bool m_hasSlot = false;
    bool m_waitsForGate = false; // waits for the gate's decision
    bool m_ownsOperation = false; // the gate let the operation run and waits for its end
    bool m_callerGone = false;
    bool m_ended = false;
    ResponseHead m_response;
    std::string m_responseBuffer; // response bytes before the head is sent
    std::shared_ptr<StoredResponse> m_storedResponse;
    uint64_t m_responseBytes = 0;
    bool m_headSent = false;
};

} // namespace Gooseberrymill

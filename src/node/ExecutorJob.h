// A request at the executor, from the arrival of its head until its response was sent.
#pragma once

#include "Executor.h"

namespace Gooseberrymill {

// Receives the request body, checks the gates, waits for a slot of the upstream and relays the response.
class ExecutorJob : public std::enable_shared_from_this<ExecutorJob> {
public:
    ExecutorJob(ExecutorBase&, std::shared_ptr<RelayExchange>);

    void start();
    void dispatch(); // sends the request to the upstream; called when a slot is free
    // `dispatched`: part of the request may have reached the upstream.
    void refuse(RefusalReason, const char* step, Duration retryAfter = {}, bool dispatched = false);
    void refuse(Refusal); // sets the outcome from `dispatched` and `reason`
    void checkDeadline(Instant now); // gives up the request when its time has passed
    TicketId ticket() const { return m_ticket; }
    void detach(); // cancels the upstream call without a response; called when the executor is destroyed

private:
    const RequestHead& head() const { return m_exchange->head(); }
    bool isOperation() const { return head().operationKind != OperationKind::None; }
    // The four functions below return false after they have refused the request.
    bool findTarget(); // looks up service, route and upstream
    bool checkTarget(); // checks the state and the recent failures of the upstream
    bool checkState(); // checks whether this node is draining and whether the upstream accepts requests
    bool screen(); // checks for a query of death
    bool isKeyHeld(const RouteTable&) const; // by the organisation for which the entry accepted the request
    bool checkKey(); // checks whether the caller's key was taken away since the request arrived; false: refused
    void receiveBody();
    void onChunk(std::string&&);
    void onBodyEnd();
    void checkGates(); // screens the request, then consults the operation gate or admits the request
    void onDecision(GateDecision&&);
    void respond(const StoredResponse&);
    AdmissionRequest admissionRequest() const;
    void admit(); // dispatches or queues the request
    void onHead(ResponseHead&&);
    void onResponseChunk(std::string&&);
    void onResponseEnd();
    void onFailure(UpstreamFailure&&);
    void finishFailure(const UpstreamFailure&, Duration length, bool isCrash);
    void countRunning(bool isStarting);
    void recordSample(SampleKind, Duration length);
    void onCancelled();
    bool isRunning() const { return m_call && m_call->isStarted(); } // the upstream may have received the request
    Instant giveUpAt() const; // latest end of the request, whatever the upstream does
    std::string publicId() const; // request id as the caller knows it
    void logUnanswered(Instant now) const;
    void logBadResponse(RefusalReason, const Error&) const; // the response cannot be passed on
    void logExtraBytes() const; // more bytes came after the response
    void recordSignals(); // reads what the response says about its upstream
    bool hasForeignId() const; // the response names another request
    bool isRepeated(const char* header) const; // the response has it more than once
    bool lacksId() const; // the response names no request, although this one has an id
    void sendNotice(); // tells the entry what the upstream asks of its callers
    void rejectResponse(); // which is not this request's; judged by its head
    void abandonResponse(); // stops reading a response without end
    void streamHead();
    void readNext(); // reads more of the response when the entry can take it
    void sendRefusal(Refusal);
    // Frees the slot, or removes the request from the queue. Without a kind the caller records the sample later.
    void releaseSlot(std::optional<SampleKind>, bool completed);
    SampleKind classifyResponse() const;
    // Reason why the response must not be passed on: shed by the upstream, or not an answer to this request.
    std::optional<RefusalReason> responseRejectionReason() const;
    LoadReport loadReport() const;
    FreshnessProof proof() const;
    void end(); // removes the job from the executor

    ExecutorBase& m_executor;
    std::shared_ptr<RelayExchange> m_exchange;
    std::shared_ptr<const RouteTable> m_routes; // owns *m_service and *m_route
    const Service* m_service = nullptr;
    const Route* m_route = nullptr;
    std::shared_ptr<LocalUpstream> m_upstream;
    std::shared_ptr<UpstreamCall> m_call;
    bool m_knewKey = false; // the configuration at the arrival of the request held the caller's key
    TicketId m_ticket = 0; // 0 until the request is offered to the queue
    Instant m_deadline {};
    std::string m_body; // request body received before the dispatch
    bool m_buffersBody = false; // the complete body is buffered before the dispatch
    bool m_waitsForBodyEnd = false; // the gates are checked only after the end of the body
    bool m_bodyEnded = false;
    Fingerprint m_fingerprint = 0;
    std::string m_process; // upstream process that the request was dispatched to
    Instant m_dispatchedAt {};
    bool m_hasSlot = false; // occupies a slot of the upstream
    bool m_waitsForGate = false; // the operation gate has not decided yet
    bool m_ownsOperation = false; // the gate decided Run and must be told the result
    bool m_callerGone = false; // the entry cancelled the request
    bool m_ended = false;
    ResponseHead m_response;
    std::optional<RefusalReason> m_rejection; // why the response is not passed on; known from its head
    std::string m_responseBuffer; // response body received before the head is sent to the entry
    std::shared_ptr<StoredResponse> m_storedResponse; // copy for the operation gate; null when too large or not needed
    uint64_t m_responseBytes = 0;
    bool m_headSent = false;
};

} // namespace Gooseberrymill

// Proxies one request of a caller: routes it, chooses an executor, relays bodies in both directions, and retries.
#pragma once

#include "AttemptPlan.h"
#include "core/PassOnPlan.h"
#include "EntryServer.h"

namespace Gooseberrymill {

// State of one HTTP request at an entry worker.
//
// The request is sent to the executor beside the chosen upstream. When an attempt ends without a response, AttemptPlan
// decides whether another upstream may be tried; otherwise the caller gets a refusal that states the outcome. Small
// request bodies are kept for replay, and small responses are buffered until they are complete, so that the caller does
// not notice a retry.
//
// Owned by the worker until end(). All functions run on the worker's task.
class EntryExchange : public std::enable_shared_from_this<EntryExchange> {
public:
    EntryExchange(EntryWorker&, SoupServerMessage*);
    ~EntryExchange();

    void start(); // call once the request head was read
    // Cancels the current attempt and answers with a refusal decided by this entry. `step` names the failed step in
    // logs and in the response, `detail` describes the error; a `retryAfter` of 0 sets the default for temporary
    // refusals and none for others.
    void refuseLocally(RefusalReason, const char* step, std::string detail = {}, Duration retryAfter = {});
    // Periodic check for an expired deadline, a disconnected caller, and an executor that exceeds the accept timeout.
    void sweep(Instant now);
    void detach(); // cancels the call and releases the message without a response; for the shutdown of the worker

private:
    // Signals of the caller's HTTP message.
    static void onGotChunk(SoupServerMessage*, GBytes*, gpointer);
    static void onGotBody(SoupServerMessage*, gpointer);
    static void onWroteBodyData(SoupServerMessage*, guint size, gpointer);
    static void onFinished(SoupServerMessage*, gpointer);
    void receiveBodyChunk(GBytes*);
    void limitTurn(); // pauses the message after maxChunksPerTurn chunks, until other callers had their turn
    void onMessageFinished();
    bool isCallerDisconnected() const;

    // Log lines about retries and failures. Each names the request and the facts that led to the decision.
    std::string_view publicId() const; // request id as the caller knows it: the caller's own one, else m_requestId
    void logRetry(const Refusal&) const;
    void logRefused(const Refusal&) const;
    void logErrorResponse() const;

    // Preparation.
    std::optional<RouteTable::Match> matchRoute() const; // in the configuration held by this request
    bool findRoute();
    bool rerouteByNewerConfiguration(); // false: there is no newer configuration, or no route in it
    bool parseOperation();
    bool checkLimits();
    // Whether the newest configuration still lets the request run with what authorize() found. Refuses it otherwise.
    bool checkAuthorization();
    bool authorize(); // checks the caller's key; false: the request was refused
    void requestQuota(); // starts the request once its organisation's quota allows it, or refuses it
    void returnUnusedQuota(); // the same, for a caller that is gone
    void returnQuota(); // gives back what requestQuota() got, if the request has not run
    void startRequest();
    void buildHead();
    void serveToken(std::string_view service);

    // Attempts.
    void startAttempt();
    void sendTo(const Candidate&);
    void pumpBody();
    void onNotice(UpstreamNotice&&);
    void applyNotice(bool isAnswered);
    void receiveProof(const FreshnessProof&); // which the executor sent after it had received this request
    void onHead(ResponseHead&&);
    void onChunk(std::string&&);
    void onEnd();
    void onRefusal(Refusal&&);
    void onCallFailed(const Error&, Outcome);
    void retryOrRespond(Refusal&&);
    bool passOn(const Refusal&); // after SlotsTaken; false: no upstream is left
    const Candidate* chooseAsked(); // to queue at an upstream that had no free slot; null: none is left
    void setAcceptableWait();
    bool retryElsewhere(const Refusal&); // false: no upstream is left to try
    void resendTo(const Candidate&, const Refusal&);
    static bool hasLastResort(RefusalReason); // whether an upstream that refused for this reason may be tried once more
    // The upstream to be tried once more; null: none. Marks the request so that the executor lets it wait for the rate
    // limit and cannot reject it as Degraded again.
    const Candidate* chooseLastResort();
    bool retryErrorResponse(); // false: the caller gets the error response
    bool forwardToHolder(const Refusal&);
    // Schedules `action` for the next sweep, until executorDiscoveryTimeout has passed since the first call for this
    // request. False: the timeout has passed, so the executor is presumed gone.
    bool waitForExecutor(std::function<void()> action);
    bool mayHaveBeenDispatched() const; // whether the executor can have dispatched what it was sent
    bool isTooLateToRun() const;
    bool namesOperation() const;
    void cancelCall();
    bool hasAcceptTimedOut(Instant now) const; // it neither accepted nor answered the request
    void handleAcceptTimeout();

    // Response.
    void writeHead(int64_t length);
    void appendBody(std::string&&);
    void respondRefusal(Refusal);
    void respondJson(guint status, const std::string& body);
    void addCommonHeaders(Outcome);
    void abortCaller(); // resets the connection, so that a partial response is not taken for a complete one
    void truncateResponse(Instant now); // resets the connection once the caller has what was received
    bool hasUnwrittenResponse() const; // whether a reset would discard a part of the response
    void resetConnection();
    void updatePause();
    void end();

    EntryWorker& m_worker;
    ObjectHandle<SoupServerMessage> m_message;
    std::shared_ptr<const RouteTable> m_routes; // owns the route and service that m_match points to
    RouteTable::Match m_match;
    std::optional<AttemptPlan> m_plan;
    RequestHead m_head;
    GSocket* m_socket; // key of the caller's connection in the worker; not owned
    Id128 m_requestId;
    std::string m_publicId;
    Instant m_startedAt = currentInstant();
    Instant m_deadline = Instant::max();
    std::shared_ptr<RelayCall> m_call;
    std::string m_upstream; // upstream of the current attempt
    std::string m_node; // node of the current attempt
    Instant m_sentAt {}; // start of the current attempt
    bool m_isExecutorInOwnRegion = false; // whether the executor of the current attempt is in this entry's region
    uint32_t m_acceptTimeouts = 0; // attempts that ended by accept timeout; each one doubles the next timeout
    PassOnPlan m_passOn;
    PassOnStep m_passOnStep = PassOnStep::Region; // of the current attempt
    UpstreamNotice m_notice; // received in the current attempt; without a process: none
    std::string m_soonestUpstream; // rejected the request as RateLimited with the shortest wait
    uint32_t m_shortestWaitMs = UINT32_MAX; // the wait of m_soonestUpstream
    std::string m_leastFailingUpstream; // rejected the request as Degraded with the lowest failure probability
    uint32_t m_leastFailurePercent = UINT32_MAX; // failure probability of m_leastFailingUpstream

    // Request body.
    std::string m_unsentBody; // received from the caller, not yet sent to the executor
    std::string m_sentBody; // sent to the executor, kept for replay in another attempt
    uint64_t m_receivedBytes = 0; // body bytes received from the caller
    bool m_bodyReceived = false; // the caller's body arrived completely
    bool m_isBodyReplayable = true; // whether m_sentBody holds everything that was sent
    bool m_discardsBody = false; // the request needs no body; what arrives is dropped
    bool m_bodyEndSent = false; // the end of the body was sent in the current attempt
    uint32_t m_chunksInTurn = 0;
    bool m_hasEndedTurn = false; // no chunk is read before m_nextTurn runs
    SourceHandle m_nextTurn;

    // Response.
    ResponseHead m_response;
    std::string m_bufferedResponse; // body received before the response head is written to the caller
    size_t m_unwrittenBytes = 0; // response body bytes handed to libsoup and not yet written to the socket
    bool m_responseHeadReceived = false; // the current attempt got a response head
    bool m_responseHeadWritten = false; // the response to the caller has begun; no retry is possible
    std::optional<Instant> m_truncatedAt; // when the response ended early; set until the caller's connection is reset
    bool m_responseComplete = false; // the executor's whole response was received
    bool m_respondedLocally = false; // this entry wrote a response of its own
    bool m_forwardedToHolder = false; // the request was forwarded to the claim's holder once, which is the limit
    std::function<void()> m_retryOnSweep; // run by the next sweep, when this entry may have learned of the executor
    std::optional<Instant> m_executorWaitEnd; // when waitForExecutor() gives up
    bool m_wasAskedForKey = false; // organisations were declared when the request arrived
    bool m_holdsQuota = false; // a request of the organisation's quota was granted and not given back
    bool m_dispatched = false; // an attempt may have reached an upstream
    bool m_knownToHaveRun = false; // the store shows that the operation ran
    bool m_paused = false; // libsoup's processing of the message is paused
    bool m_finished = false; // end() or detach() was called
};

} // namespace Gooseberrymill

// One request of a caller at an entry worker.
#pragma once

#include "AttemptPlan.h"
#include "EntryServer.h"

namespace Gooseberrymill {

class EntryExchange : public std::enable_shared_from_this<EntryExchange> {
public:
    EntryExchange(EntryWorker&, SoupServerMessage*);
    ~EntryExchange();

    void start(); // the request head was read
    void refuseLocally(RefusalReason, const char* step, std::string detail = {}, Duration retryAfter = {});
    void sweep(Instant now); // deadline, a caller that closed, an executor that is silent
    void detach(); // the worker ends

private:
    // From the caller.
    static void onGotChunk(SoupServerMessage*, GBytes*, gpointer);
    static void onGotBody(SoupServerMessage*, gpointer);
    static void onWroteBodyData(SoupServerMessage*, guint size, gpointer);
    static void onFinished(SoupServerMessage*, gpointer);
    void receiveBodyChunk(GBytes*);
    void onMessageFinished();
    bool isCallerDisconnected() const;

    // Log lines about decisions; all name the request and what was known.
    std::string_view publicId() const; // the id that the caller knows
    void logRetry(const Refusal&) const;
    void logRefused(const Refusal&) const;
    void logErrorResponse() const;

    // Preparation.
    std::optional<RouteTable::Match> matchRoute() const; // by the configuration that this request holds
    bool findRoute();
    bool
    rerouteByNewerConfiguration(); // routes the request again by the newest configuration; false: there is no newer one
    bool parseOperation();
    bool checkLimits();
    void buildHead();
    void serveToken(std::string_view service);

    // Attempts.
    void startAttempt();
    void sendTo(const Candidate&);
    void pumpBody();
    void onHead(ResponseHead&&);
    void onChunk(std::string&&);
    void onEnd();
    void onRefusal(Refusal&&);
    void onCallFailed(const Error&, Outcome);
    void retryOrRespond(Refusal&&);
    bool retryElsewhere(const Refusal&); // false: no upstream is left
    void resendTo(const Candidate&, const Refusal&);
    const Candidate* chooseLastResort(); // to be asked once more, without leave to give the request back; null: none
    bool retryErrorResponse(); // false: the answer goes to the caller
    bool forwardToHolder(const Refusal&);
    // Calls `again` at the next sweep while the time for it lasts. False: the executor is taken for gone.
    bool waitForExecutor(std::function<void()> action);
    bool mayHaveBeenDispatched() const; // when the attempt ends without a response
    bool namesOperation() const;
    void cancelCall();
    bool hasAcceptTimedOut(Instant now) const; // it does not take the request
    void handleAcceptTimeout();

    // Response.
    void writeHead(int64_t length);
    void appendBody(std::string&&);
    void respondRefusal(Refusal);
    void respondJson(guint status, const std::string& body);
    void addCommonHeaders(Outcome);
    void abortCaller(); // the caller sees a reset, never a whole response
    void resetConnection();
    void updatePause();
    void end();

    EntryWorker& m_worker;
    ObjectHandle<SoupServerMessage> m_message;
    std::shared_ptr<const RouteTable> m_routes; // keeps m_match
    RouteTable::Match m_match;
    std::optional<AttemptPlan> m_plan;
    RequestHead m_head;
    GSocket* m_socket; // names the caller's connection
    Id128 m_requestId;
    std::string m_publicId;
    Instant m_startedAt = currentInstant();
    Instant m_deadline = Instant::max();
    std::shared_ptr<RelayCall> m_call;
    std::string m_upstream; // of the current attempt
    std::string m_node;
    Instant m_sentAt {}; // the current attempt
    bool m_isExecutorInOwnRegion = false; // its executor is in the own region
    uint32_t m_acceptTimeouts = 0; // attempts that no executor took in time
    std::string m_leastFailingUpstream; // upstream that gave the request back with the lowest probability of failures
    uint32_t m_leastFailurePercent = UINT32_MAX;

    // Request body.
    std::string m_unsentBody; // not yet sent to the executor
    std::string m_sentBody; // sent, kept for another attempt
    uint64_t m_receivedBytes = 0;
    bool m_bodyReceived = false;
    bool m_isBodyReplayable = true;
    bool m_discardsBody = false;
    bool m_bodyEndSent = false; // its end was sent in this attempt

    // Response.
    ResponseHead m_response;
    std::string m_bufferedResponse;
    size_t m_unwrittenBytes = 0;
    bool m_responseHeadReceived = false;
    bool m_responseHeadWritten = false;
    bool m_responseComplete = false;
    bool m_respondedLocally = false; // a local response was written
    bool m_forwardedToHolder = false;
    std::function<void()> m_retryOnSweep; // with the next sweep, when this entry may have heard of the executor
    std::optional<Instant> m_executorWaitEnd;
    bool m_dispatched = false; // an attempt may have reached an upstream
    bool m_knownToHaveRun = false; // the store shows that the operation ran
    bool m_paused = false;
    bool m_finished = false;
};

} // namespace Gooseberrymill

// Forwards requests to the upstreams of this node; no request reaches them any other way. Enforces drain, ejection and
// the concurrency limit, and checks requests that name an operation against the operation gate.
//
// An executor may be constructed on any task. Everything else happens on the executor's task; other tasks post to it.
#pragma once

#include "core/Admission.h"
#include "core/FailureEstimator.h"
#include "core/Health.h"
#include "core/StallDetector.h"
#include "RelayServer.h"
#include "SharedFreshness.h"
#include "Task.h"
#include "UpstreamClient.h"

#include <atomic>
#include <map>
#include <unordered_map>

namespace Gooseberrymill {

// An upstream process as it was last announced.
struct UpstreamEndpoint {
    std::string name;
    std::string service;
    std::string address; // "ip:port"
    uint32_t slots = 1; // requests that the upstream runs at once
    UpstreamState state = UpstreamState::Ready;
    // Process identity that is sent with each request. A different process that serves the same address rejects such a
    // request. When empty, any process may answer.
    std::string instance {};
    uint64_t processStartedAt = 0; // start of the process, in milliseconds of its own clock; 0: unknown
};

// Text that differs for each process. Without an instance it only differs for each address.
std::string processOf(const UpstreamEndpoint&);

//-----------------------------------------------------------------------------
// [SECTION] Hooks
//-----------------------------------------------------------------------------

// A complete response, stored to answer duplicate requests of an operation.
struct StoredResponse {
    ResponseHead head;
    std::string body;
};

// The gate's decision about a request that names an operation.
struct GateDecision {
    enum class Kind : uint8_t { Run, Respond, Refuse };
    Kind kind = Kind::Run;
    std::shared_ptr<const StoredResponse> response; // set when kind is Respond
    Refusal refusal; // set when kind is Refuse
};

// Callbacks that enforce at-most-once execution of operations. Without `begin` every operation runs.
struct OperationGate {
    // Called when the complete request was received and before it is queued. `decide` is called exactly once,
    // immediately or later, unless cancelWait() is called first. The decision about an inquiry is Run when this
    // executor holds the claim and the operation is not running yet.
    std::function<void(const RequestHead&, std::string_view body, std::function<void(GateDecision)> decide)> begin;
    // Called when the request ends while it waits for a decision, with the same RequestHead object as begin(). `decide`
    // need not be called afterwards. When this function is empty, a late decision Run is undone by a call of finish().
    std::function<void(const RequestHead&)> cancelWait;
    // Called when the response is complete. `response` is null when it was too large to store.
    // `delivered`: the entry was still waiting for the response.
    std::function<void(const RequestHead&, std::shared_ptr<const StoredResponse> response, bool delivered)>
        recordResponse;
    // Called when the operation ended without a complete response. After a refusal with outcome NotRun a later request
    // may run it.
    std::function<void(const RequestHead&, const Refusal&)> finish;
};

// A request whose connection the upstream closed before the response was complete.
struct ClosedRequest {
    std::string upstream;
    std::string address; // address of the upstream, "ip:port"
    std::string service;
    std::string method;
    std::string target;
    Fingerprint fingerprint = 0;
    Instant startedAt {}; // when the request was dispatched
};

// Callbacks of the query-of-death filter. Without `screen` every request runs.
struct CrashGate {
    // Called before a request is claimed or queued, and again before it is sent to the upstream. Returns the refusal of
    // a query of death, or nothing when the request may run.
    std::function<std::optional<Refusal>(const RequestHead&, Fingerprint)> screen;
    // The upstream closed the connection of a request. `settled` is called exactly once, immediately or later; only
    // then does the caller get its response and can send the request again.
    std::function<void(ClosedRequest, std::function<void(bool isCrash)> settled)> closed;
    std::function<void(const RequestHead&, Fingerprint)> succeeded; // called when a response is complete
    std::function<void(const UpstreamEndpoint&)> upstreamChanged; // called when state, address or service changed
    RelayServer::Answer<CrashNotice, CrashNoticeReply> notice; // handles crash reports of other nodes
};

// Requests that run at the upstreams of this node. Written by the executor, read by any task.
struct RunningRequests {
    std::atomic<uint32_t> total { 0 };
    std::atomic<uint32_t> retries { 0 }; // those of which an earlier attempt has reached an upstream
    std::atomic<uint64_t> unanswered { 0 }; // non-repeatable ones given up without a whole response, since the start
    std::atomic<uint64_t> stalls { 0 }; // see StallDetector

    // Probability that a call which an upstream of this node makes now belongs to a retry; 0 without a running request.
    double retryShare() const
    {
        double running = total;
        return running > 0 ? retries / running : 0;
    }
};

// Settings and callbacks that adapt an executor to its control plane.
struct ExecutorHooks {
    HeaderProfile headers;
    // Rejects requests before dispatch while the upstream fails most of them, so that the entry can try another
    // upstream.
    bool rejectsWhenDegraded = false;
    std::function<void(Task&)> started; // called on the executor's task before it listens
    std::function<void()> stopped; // called on the executor's task after the last request
    OperationGate operations;
    std::shared_ptr<RunningRequests> running = std::make_shared<RunningRequests>();
    // Receives the result of each request that reached an upstream, for health monitoring.
    std::function<void(const std::string& upstream, const Sample&, Instant)> sample;
    CrashGate crashes;
    std::shared_ptr<SharedFreshness> freshness; // passed on with responses; null: not known
    // The upstream process says in its responses that it is leaving.
    std::function<void(const UpstreamEndpoint&)> upstreamLeaving;
    RelayServer::Answer<TokenQuery, TokenReply> token; // if empty, a token is a random operation id of this incarnation
    RelayServer::Answer<ConfigurationQuery, ConfigurationReply> configuration;
    RelayServer::Answer<DirectoryNotice, DirectoryReply> directory;
    RelayServer::Answer<DepartureNotice, DepartureReply> departures;
    RelayServer::Answer<QuotaQuery, QuotaReply> quota;
};

//-----------------------------------------------------------------------------
// [SECTION] Admission
//-----------------------------------------------------------------------------

// Type-erased interface of the Admission concept. ExecutorBase uses it since it does not know the queue type.
class AdmissionPort {
public:
    virtual ~AdmissionPort() = default;
    virtual AdmissionDecision offer(const AdmissionRequest&, Instant) = 0;
    virtual void finish(TicketId, Duration, bool completed, Instant) = 0;
    virtual bool cancel(TicketId, Instant) = 0;
    virtual std::optional<TicketId> takeReady(Instant) = 0;
    virtual std::optional<AdmissionRefusal> takeRefusal(Instant) = 0;
    virtual LoadReport report() = 0;
    virtual Duration expectedWait(const AdmissionRequest&, Instant) = 0; // see AdmissionQueue
    virtual void setRate(std::optional<double> perSecond, Instant) = 0; // see AdmissionQueue
    virtual Duration rateWait(Instant) = 0;
    virtual void reconfigure(uint32_t slots, const AdmissionPolicy&) = 0;
};

// Implements AdmissionPort with a queue of type `Queue`.
template <Admission Queue> class AdmissionHolder final : public AdmissionPort {
public:
    explicit AdmissionHolder(Queue queue)
        : m_queue(std::move(queue))
    {
    }
    AdmissionDecision offer(const AdmissionRequest& request, Instant now) override
    {
        return m_queue.offer(request, now);
    }
    void finish(TicketId ticket, Duration length, bool completed, Instant now) override
    {
        m_queue.finish(ticket, length, completed, now);
    }
    bool cancel(TicketId ticket, Instant now) override { return m_queue.cancel(ticket, now); }
    std::optional<TicketId> takeReady(Instant now) override { return m_queue.takeReady(now); }
    std::optional<AdmissionRefusal> takeRefusal(Instant now) override { return m_queue.takeRefusal(now); }
    LoadReport report() override { return m_queue.report(); }
    Duration expectedWait(const AdmissionRequest& request, Instant now) override
    {
        if constexpr (requires { m_queue.expectedWait(request, now); })
            return m_queue.expectedWait(request, now);
        return {};
    }
    void setRate(std::optional<double> perSecond, Instant now) override
    {
        if constexpr (requires { m_queue.setRate(perSecond, now); })
            m_queue.setRate(perSecond, now);
    }
    Duration rateWait(Instant now) override
    {
        if constexpr (requires { m_queue.rateWait(now); })
            return m_queue.rateWait(now);
        return {};
    }
    void reconfigure(uint32_t slots, const AdmissionPolicy& policy) override
    {
        if constexpr (requires { m_queue.reconfigure(slots, policy); })
            m_queue.reconfigure(slots, policy);
    }

private:
    Queue m_queue;
};

//-----------------------------------------------------------------------------
// [SECTION] Executor
//-----------------------------------------------------------------------------

class ExecutorJob;

// An upstream of this node, its admission queue and the requests that wait in it.
struct LocalUpstream {
    UpstreamEndpoint endpoint;
    std::unique_ptr<AdmissionPort> queue;
    std::unique_ptr<UpstreamClient> client;
    std::unordered_map<TicketId, std::shared_ptr<ExecutorJob>> waiting;
    EarlyRejection earlyRejection;
    Backpressure backpressure;
    StallDetector stall;
    std::optional<double> rate; // rate limit that the queue applies, requests per second

    LoadReport report(Instant now) const
    {
        constexpr double percent = 100;
        LoadReport load = queue->report();
        load.state = endpoint.state;
        load.failurePercent = static_cast<uint8_t>(earlyRejection.probability(now) * percent);
        bool isPreferred = load.state == UpstreamState::Ready || load.state == UpstreamState::Cold;
        if (isPreferred && earlyRejection.isSuspect(now))
            load.state = UpstreamState::Degraded;
        return load;
    }
};

// The part of the executor that does not depend on the type of the admission queue.
class ExecutorBase {
public:
    ExecutorBase(Task&, const Settings&, const RelayIdentity&, ExecutorHooks);
    virtual ~ExecutorBase();

    Result<uint16_t> listen(const ListenAddress& address) { return m_server.listen(address); }

    void setRoutes(std::shared_ptr<const RouteTable>);
    void setUpstream(UpstreamEndpoint); // adds or updates an upstream; state Gone removes it
    std::optional<LoadReport> report(std::string_view upstream) const;

    // Refuses new requests and calls `done` when every request in flight has ended and its response was sent. With a
    // drain limit, queued requests are refused at once.
    void drain(std::function<void()> done);
    size_t activeCount() const { return m_jobs.size(); }
    uint64_t relayDropCount() const { return m_server.droppedCount(); }

protected:
    virtual std::unique_ptr<AdmissionPort> makeQueue(const UpstreamEndpoint&) = 0;

private:
    friend class ExecutorJob;

    void onRequest(std::shared_ptr<RelayExchange>);
    void onToken(TokenQuery&&, std::function<void(TokenReply)>);
    void reconfigureQueue(LocalUpstream&); // applies the announced slots and the service's limits to the queue
    void refuseWaitingForState(LocalUpstream&); // refuses queued requests because of the upstream's state
    void refuseAllWaiting(LocalUpstream&, RefusalReason, const char* step);
    // What a response, or an entry that heard it earlier, says about the upstream.
    void recordSignals(LocalUpstream&, const ResponseSignals&);
    void recordNotice(LocalUpstream&, const UpstreamNotice&);
    void recordRefusal(LocalUpstream&, RefusalReason); // by the admission queue
    void applyBackpressure(LocalUpstream&);
    void processQueue(const std::shared_ptr<LocalUpstream>&); // dispatches waiting requests, refuses expired ones
    void sweep(); // processes all queues and cancels requests past their deadline
    void remove(const std::shared_ptr<ExecutorJob>&);

    Task& m_task;
    const Settings& m_settings;
    RelayIdentity m_identity;
    ExecutorHooks m_hooks;
    std::shared_ptr<const RouteTable> m_routes;
    std::map<std::string, std::shared_ptr<LocalUpstream>, std::less<>> m_upstreams;
    std::set<std::shared_ptr<ExecutorJob>> m_jobs;
    TicketId m_lastTicket = 0;
    bool m_draining = false;
    std::function<void()> m_onDrained; // empty after it was called
    SourceHandle m_sweepSource; // runs only while there are requests
    RelayServer m_server;
};

// An executor whose admission queues have the type `Queue`; the factory creates one per upstream.
template <Admission Queue> class Executor final : public ExecutorBase {
public:
    using Factory = std::function<Queue(const UpstreamEndpoint&)>;

    Executor(Task& task, const Settings& settings, const RelayIdentity& identity, ExecutorHooks hooks, Factory factory)
        : ExecutorBase(task, settings, identity, std::move(hooks))
        , m_factory(std::move(factory))
    {
    }

protected:
    std::unique_ptr<AdmissionPort> makeQueue(const UpstreamEndpoint& endpoint) override
    {
        return std::make_unique<AdmissionHolder<Queue>>(m_factory(endpoint));
    }

private:
    Factory m_factory;
};

// Reason why an upstream in this state accepts no new requests; None when it does.
RefusalReason refusalReasonFor(UpstreamState);

// Index of a route within its service. Admission and health monitoring keep separate service time statistics per key.
uint32_t workKeyOf(const Service&, const Route&);

} // namespace Gooseberrymill

// The task beside the local upstreams: the only path to them. It enforces drain, ejection and the
// concurrency limit, and runs requests through the operation gate.
//
// Everything but construction happens on the executor's task; other tasks post messages to it.
#pragma once

#include "core/Admission.h"
#include "core/FailureEstimator.h"
#include "core/Health.h"
#include "RelayServer.h"
#include "UpstreamClient.h"

#include <map>
#include <unordered_map>

namespace Gooseberrymill {

struct UpstreamEndpoint {
    std::string name;
    std::string service;
    std::string address; // "ip:port"
    uint32_t slots = 1;
    UpstreamState state = UpstreamState::Ready;
    std::string instance {}; // identity that requests are sent to; another process at the address refuses. Empty: any
};

//-----------------------------------------------------------------------------
// [SECTION] Hooks
//-----------------------------------------------------------------------------

// A whole response, kept for duplicates of an operation.
struct StoredResponse {
    ResponseHead head;
    std::string body;
};

// The gate's decision about a request that names an operation.
struct GateDecision {
    enum class Kind : uint8_t { Run, Respond, Refuse };
    Kind kind = Kind::Run;
    std::shared_ptr<const StoredResponse> response; // with Respond
    Refusal refusal; // with Refuse
};

// At-most-once execution. An empty function lets every operation run.
struct OperationGate {
    // Asked once the whole request is here and before it is queued; `decide` runs once, now or later, unless
    // the request leaves before. An inquiry is answered with Run when the operation is claimed here and open.
    std::function<void(const RequestHead&, std::string_view body, std::function<void(GateDecision)> decide)> begin;
    // The request ends while it waits for a decision. Takes the object that begin() got; `decide` need not run any
    // more. Empty: a later decision Run is given back by finish().
    std::function<void(const RequestHead&)> cancelWait;
    // The response is complete. `response` is null when it was too large to keep.
    // `delivered`: the entry still waits for it.
    std::function<void(const RequestHead&, std::shared_ptr<const StoredResponse> response, bool delivered)>
        recordResponse;
    // The operation ended without a complete response. NotRun: it may run again.
    std::function<void(const RequestHead&, const Refusal&)> finish;
};

// A request whose connection the upstream closed before the response was complete.
struct ClosedRequest {
    std::string upstream;
    std::string address; // of the upstream, "ip:port"
    std::string service;
    std::string method;
    std::string target;
    Fingerprint fingerprint = 0;
    Instant startedAt {};
};

// Screening of queries of death. Empty functions let every request run.
struct CrashGate {
    // Asked before a request is claimed or queued, and again before it is sent to the upstream.
    std::function<std::optional<Refusal>(const RequestHead&, Fingerprint)> screen;
    // `settled` runs once, now or later: the caller gets its answer and may send the request again.
    std::function<void(ClosedRequest, std::function<void(bool isCrash)> settled)> closed;
    std::function<void(const RequestHead&, Fingerprint)> succeeded; // the response was complete
    std::function<void(const UpstreamEndpoint&)> upstreamChanged; // its state or address
    RelayServer::Answer<CrashNotice, CrashNoticeReply> notice;
};

struct ExecutorHooks {
    HeaderProfile headers;
    bool rejectsWhenDegraded = false; // gives requests back while the upstream fails most of them
    std::function<void(Task&)> started; // on the executor's task, before it listens
    std::function<void()> stopped; // on the executor's task, after the last request
    OperationGate operations;
    std::function<void(const std::string& upstream, const Sample&, Instant)> sample; // health evidence
    CrashGate crashes;
    RelayServer::Answer<TokenQuery, TokenReply> token; // empty: a random operation of this incarnation
    RelayServer::Answer<ConfigurationQuery, ConfigurationReply> configuration;
    RelayServer::Answer<DirectoryNotice, DirectoryReply> directory;
};

//-----------------------------------------------------------------------------
// [SECTION] Admission
//-----------------------------------------------------------------------------

// The calls of the Admission concept on a queue whose type only the factory knows.
class AdmissionPort {
public:
    virtual ~AdmissionPort() = default;
    virtual AdmissionDecision offer(const AdmissionRequest&, Instant) = 0;
    virtual void finish(TicketId, Duration, bool completed, Instant) = 0;
    virtual bool cancel(TicketId, Instant) = 0;
    virtual std::optional<TicketId> takeReady(Instant) = 0;
    virtual std::optional<AdmissionRefusal> takeRefusal(Instant) = 0;
    virtual LoadReport report() = 0;
    virtual void reconfigure(uint32_t slots, const AdmissionPolicy&) = 0;
};

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

// One upstream of this node with its queue.
struct LocalUpstream {
    UpstreamEndpoint endpoint;
    std::unique_ptr<AdmissionPort> queue;
    std::unique_ptr<UpstreamClient> client;
    std::unordered_map<TicketId, std::shared_ptr<ExecutorJob>> waiting;
    EarlyRejection earlyRejection;

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

class ExecutorBase {
public:
    ExecutorBase(Task&, const Settings&, const RelayIdentity&, ExecutorHooks);
    virtual ~ExecutorBase();

    Result<uint16_t> listen(const ListenAddress& address) { return m_server.listen(address); }

    void setRoutes(std::shared_ptr<const RouteTable>);
    void setUpstream(UpstreamEndpoint); // adds or updates; state Gone removes it
    std::optional<LoadReport> report(std::string_view upstream) const;

    // Refuses new requests, calls `done` once every request in flight has ended and its response was sent.
    void drain(std::function<void()> done);
    size_t activeCount() const { return m_jobs.size(); }
    uint64_t relayDropCount() const { return m_server.droppedCount(); }

protected:
    virtual std::unique_ptr<AdmissionPort> makeQueue(const UpstreamEndpoint&) = 0;

private:
    friend class ExecutorJob;

    void onRequest(std::shared_ptr<RelayExchange>);
    void onToken(TokenQuery&&, std::function<void(TokenReply)>);
    void reconfigureQueue(LocalUpstream&); // its queue, from the announcement and the service
    void refuseWaitingForState(LocalUpstream&); // for the state of the upstream
    void refuseAllWaiting(LocalUpstream&, RefusalReason, const char* step);
    void processQueue(const std::shared_ptr<LocalUpstream>&); // dispatches waiting requests, refuses expired ones
    void sweep();
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
    std::function<void()> m_onDrained;
    SourceHandle m_sweepSource;
    RelayServer m_server;
};

// `Queue` is made for each upstream by the factory.
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

// Reason why an upstream in this state gets no new request; None when it may.
RefusalReason refusalReasonFor(UpstreamState);

// Index of a route among the routes of its service: the key under which lengths of work are learned.
uint32_t workKeyOf(const Service&, const Route&);

} // namespace Gooseberrymill

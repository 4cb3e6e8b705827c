// Entry worker: accepts connections of callers over HTTP and relays their requests to executors.
#pragma once

#include "core/Balancer.h"
#include "core/DrainPlan.h"
#include "HttpHeaders.h"
#include "QuotaClient.h"
#include "RelayClient.h"
#include "Settings.h"
#include "SharedFreshness.h"
#include "Task.h"

#include <mutex>
#include <set>
#include <unordered_map>

namespace Gooseberrymill {

// Type-erased balancer with the functions of the IncrementalBalancing concept (see core/Balancer.h).
class BalancerInterface {
public:
    virtual ~BalancerInterface() = default;
    virtual void setCandidates(std::shared_ptr<const CandidateList>, Instant) = 0;
    virtual void setServiceCandidates(std::string_view service, std::shared_ptr<const CandidateList>, Instant) = 0;
    virtual std::span<const Candidate> candidatesOf(std::string_view service) const = 0;
    virtual const Candidate* choose(const BalanceRequest&, Instant) = 0;
    virtual void started(std::string_view upstream, Instant) = 0;
    virtual void finished(std::string_view upstream, const LoadReport&, Instant) = 0;
    virtual void abandoned(std::string_view upstream, Instant) = 0;
    virtual void pathResult(std::string_view node, bool reached, Instant) = 0;
    virtual void pause(std::string_view upstream, Instant until) = 0; // see Balancer
    virtual bool hasFreshReport(std::string_view upstream, Instant now) const = 0; // see Balancer
};

// Implements BalancerInterface by a balancer of any type.
template <IncrementalBalancing Balancer> class BalancerAdapter final : public BalancerInterface {
public:
    explicit BalancerAdapter(Balancer balancer)
        : m_balancer(std::move(balancer))
    {
    }
    void setCandidates(std::shared_ptr<const CandidateList> candidates, Instant now) override
    {
        m_balancer.setCandidates(std::move(candidates), now);
    }
    void setServiceCandidates(
        std::string_view service, std::shared_ptr<const CandidateList> candidates, Instant now) override
    {
        m_balancer.setServiceCandidates(service, std::move(candidates), now);
    }
    std::span<const Candidate> candidatesOf(std::string_view service) const override
    {
        return m_balancer.candidatesOf(service);
    }
    const Candidate* choose(const BalanceRequest& request, Instant now) override
    {
        return m_balancer.choose(request, now);
    }
    void started(std::string_view upstream, Instant now) override { m_balancer.started(upstream, now); }
    void finished(std::string_view upstream, const LoadReport& load, Instant now) override
    {
        m_balancer.finished(upstream, load, now);
    }
    void abandoned(std::string_view upstream, Instant now) override { m_balancer.abandoned(upstream, now); }
    void pathResult(std::string_view node, bool reached, Instant now) override
    {
        m_balancer.pathResult(node, reached, now);
    }
    void pause(std::string_view upstream, Instant until) override
    {
        if constexpr (requires { m_balancer.pause(upstream, until); })
            m_balancer.pause(upstream, until);
    }

    bool hasFreshReport(std::string_view upstream, Instant now) const override
    {
        if constexpr (requires { m_balancer.hasFreshReport(upstream, now); })
            return m_balancer.hasFreshReport(upstream, now);
        return true;
    }

private:
    Balancer m_balancer;
};

// The notices that the entry workers of a node share, since a caller's next request may come to another worker.
class SharedNoticeBook {
public:
    void update(std::string_view upstream, UpstreamNotice notice, Instant now)
    {
        std::lock_guard lock(m_mutex);
        m_book.update(upstream, std::move(notice), now);
    }
    UpstreamNotice find(std::string_view upstream, Instant now) const
    {
        std::lock_guard lock(m_mutex);
        return m_book.find(upstream, now);
    }

private:
    mutable std::mutex m_mutex;
    NoticeBook m_book; // guarded by m_mutex
};

// Settings and callbacks by which the node connects its entry workers to the control plane. An empty callback is
// skipped.
struct EntryHooks {
    HeaderProfile headers;
    std::shared_ptr<SharedNoticeBook> notices = std::make_shared<SharedNoticeBook>(); // set by the node
    std::function<void(const Service&)> offered; // called for each request of a caller, before its first attempt
    std::function<bool(const Service&)> allowRetry; // takes one retry from the service's retry budget; empty: no budget
    std::function<uint64_t()> configurationDigest; // digest sent along with each request
    std::shared_ptr<SharedFreshness> freshness; // null: keys are accepted whatever the age of the configuration
    std::shared_ptr<const SharedQuotaNodes> quotaNodes; // homes of quotas; null: organisations have no quotas
};

class EntryExchange;

// HTTP server of one entry worker, which owns the exchanges in flight, the balancer and the relay client.
//
// Call all functions but the constructor on the worker's task. To shut down, call startDraining() and later
// finishDraining().
class EntryWorker {
public:
    EntryWorker(Task&, const Settings&, RelayIdentity, EntryHooks, std::unique_ptr<BalancerInterface>);
    ~EntryWorker();

    // Starts to accept callers and returns the bound port. `port` may be 0 for the first worker; the other workers
    // share the port that it got (SO_REUSEPORT).
    Result<uint16_t> listen(const std::string& host, uint16_t port);
    void setRoutes(std::shared_ptr<const RouteTable>);
    void setCandidates(std::shared_ptr<const CandidateList>); // replaces the candidates of all services
    // Replaces the candidates of the changed services only.
    void updateCandidates(const CandidateChanges&);

    // Adds "Connection: close" to each response from now on, and keeps to the DrainPlan of `drainTimeout`.
    void startDraining();
    // Accepts the connections in the listen backlog, stops listening, serves the requests of the accepted connections
    // and calls `done` when no connection is left. A connection that has sent no request yet may do so for
    // `drainGracePeriod`.
    void finishDraining(std::function<void()> done);
    size_t activeCount() const { return m_exchanges.size(); }

private:
    friend class EntryExchange;

    // Tracks a connection until its socket is destroyed or closeIdleConnections() closes it.
    struct CallerConnection {
        EntryWorker* worker = nullptr;
        GSocket* socket = nullptr; // weak reference
        bool hasRequestInFlight = false;
        bool hasReceivedRequest = false; // the head of its first request was read
        Instant idleSince {}; // when it was accepted or its last request ended
    };

    static void onRequestStarted(SoupServer*, SoupServerMessage*, gpointer);
    static void onRequestHeadRead(SoupServer*, SoupServerMessage*, const char* path, GHashTable* query, gpointer);
    static void onSocketDestroyed(gpointer, GObject*);
    CallerConnection* trackConnection(SoupServerMessage*);
    void startExchange(SoupServerMessage*);
    void sweep();
    void closeIdleConnections(Instant now);
    bool isKeptWhileDraining(GSocket*, const CallerConnection&, Instant now) const;
    void dropSynPackets();
    bool isBacklogEmpty() const;
    void stopListening();
    void endDrainingIfDone();
    void remove(const std::shared_ptr<EntryExchange>&, GSocket*);
    bool takesRequests() const { return !m_drain || m_drain->acceptsRequests(currentInstant()); }
    const Candidate* findExecutor(const std::string& service, const Id128& executor) const;

    Task& m_task;
    const Settings& m_settings;
    EntryHooks m_hooks;
    std::unique_ptr<BalancerInterface> m_balancer;
    RelayClient m_client;
    std::optional<QuotaClient> m_quota; // set if organisations have quotas
    std::shared_ptr<const RouteTable> m_routes;
    ObjectHandle<SoupServer> m_server;
    std::set<std::shared_ptr<EntryExchange>> m_exchanges;
    std::unordered_map<GSocket*, std::unique_ptr<CallerConnection>> m_connections;
    size_t m_maxConnections;
    Instant m_nextIdleCheck {};
    SourceHandle m_sweepSource;
    SourceHandle m_backlogSource;
    Instant m_listeningStoppedAt {}; // start of the grace periods of open connections
    std::optional<DrainPlan> m_drain; // set while draining
    bool m_listeningStopped = false; // the listeners are closed; open connections may still have requests
    std::function<void()> m_onDrained; // called once after the last connection has closed
};

// Entry worker with a balancer of the given type.
template <Balancing Balancer> class EntryServer final : public EntryWorker {
public:
    EntryServer(Task& task, const Settings& settings, RelayIdentity identity, EntryHooks hooks, Balancer balancer)
        : EntryWorker(task, settings, std::move(identity), std::move(hooks),
            std::make_unique<BalancerAdapter<Balancer>>(std::move(balancer)))
    {
    }
};

} // namespace Gooseberrymill

// An entry worker: a task that accepts callers over HTTP and relays their requests to executors.
#pragma once

#include "core/Balancer.h"
#include "HttpHeaders.h"
#include "RelayClient.h"
#include "Settings.h"
#include "Task.h"

#include <set>
#include <unordered_map>

namespace Gooseberrymill {

// The calls of the Balancing concept on a balancer whose type only the worker knows.
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
};

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

private:
    Balancer m_balancer;
};

struct EntryHooks {
    HeaderProfile headers;
    std::function<void(const Service&)> offered; // a request for a service arrived
    std::function<bool(const Service&)> allowRetry; // RetryBudget; empty: no budget
    std::function<uint64_t()> configurationDigest;
};

class EntryExchange;

// Everything but construction happens on the worker's task.
class EntryWorker {
public:
    EntryWorker(Task&, const Settings&, RelayIdentity, EntryHooks, std::unique_ptr<BalancerInterface>);
    ~EntryWorker();

    // `port` of the first worker may be 0; the others share the port it took.
    Result<uint16_t> listen(const std::string& host, uint16_t port);
    void setRoutes(std::shared_ptr<const RouteTable>);
    void setCandidates(std::shared_ptr<const CandidateList>); // of all services
    void updateCandidates(const CandidateChanges&);

    // From now on each response closes its connection.
    void startDraining() { m_draining = true; }
    // Takes what is in the listen backlog, stops listening, serves the requests of the connections taken; calls
    // `done` when no request is in flight. A new connection has another `drainGrace` to send its first request.
    void finishDraining(std::function<void()> done);
    size_t activeCount() const { return m_exchanges.size(); }

private:
    friend class EntryExchange;

    struct CallerConnection {
        EntryWorker* worker = nullptr;
        GSocket* socket = nullptr; // weak
        bool hasRequestInFlight = false; // a request is in flight
        bool hasReceivedRequest = false; // its first request has arrived
        Instant idleSince {};
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
    const Candidate* findExecutor(const std::string& service, const Id128& executor) const;

    Task& m_task;
    const Settings& m_settings;
    EntryHooks m_hooks;
    std::unique_ptr<BalancerInterface> m_balancer;
    RelayClient m_client;
    std::shared_ptr<const RouteTable> m_routes;
    ObjectHandle<SoupServer> m_server;
    std::set<std::shared_ptr<EntryExchange>> m_exchanges;
    std::unordered_map<GSocket*, std::unique_ptr<CallerConnection>> m_connections;
    size_t m_maxConnections;
    Instant m_nextIdleCheck {};
    SourceHandle m_sweepSource;
    SourceHandle m_backlogSource;
    Instant m_listeningStoppedAt {};
    bool m_draining = false;
    bool m_listeningStopped = false; // no new connections
    std::function<void()> m_onDrained;
};

template <Balancing Balancer> class EntryServer final : public EntryWorker {
public:
    EntryServer(Task& task, const Settings& settings, RelayIdentity identity, EntryHooks hooks, Balancer balancer)
        : EntryWorker(task, settings, std::move(identity), std::move(hooks),
            std::make_unique<BalancerAdapter<Balancer>>(std::move(balancer)))
    {
    }
};

} // namespace Gooseberrymill

// Stops requests that crash the upstreams that run them. Lives on the executor's task.
//
// A connection that closes without a complete response is not yet a crash: a gray upstream may close connections
// at random. A crash is confirmed when, within `confirmationWindow` of such a close, a fresh connection to the
// upstream is refused, its heartbeat is lost (state gone) or it announces a restart (state cold). All requests whose
// connections closed in that window are suspects. The reports go to every node that runs the same service.
//
// Bound. The response to a request that was running in a confirmed crash is held until every peer has acknowledged
// the reports, at most `acknowledgementTimeout`. A caller that waits for each response before it sends the request
// again, to whichever node, therefore causes at most 2 crashes. With k such callers at the same moment the bound is
// k + 1 crashes, in which at most 2 k runs end, since several runs may end in one crash: a caller can start a second
// run only after all nodes know the crash of its first, and no run starts once two crashes are known. In general, the
// crashes after the second are those of runs that were dispatched before the executors that dispatched them knew two.
// The bound needs peers that can be reached within the limit, a listening socket that closes with the process for at
// least `probeInterval`, and callers that wait for the response.
//
// A request that ended normally at any node within `successRetention` is no suspect, since a query of death never ends
// normally. Such a node clears the reports of others.
#pragma once

#include "Executor.h"
#include "RelayClient.h"

#include <set>

namespace Gooseberrymill {

struct CrashSuspectsHooks {
    std::function<void(const std::string& upstream)> crashed; // a crash of a local upstream was confirmed
    // The request is refused from now on. Called at the node whose upstream crashed last.
    std::function<void(const ClosedRequest&, uint32_t crashes)> queryOfDeathFound;
    std::function<void()> refused; // a request was refused
};

class CrashSuspects {
public:
    static constexpr Duration confirmationWindow = 3200ms; // a heartbeat is lost after 3 s, plus a tick of control
    static constexpr Duration acknowledgementTimeout = 1s;
    static constexpr Duration probeInterval
        = 50ms; // from the close to the second probe, after which the response is sent
    static constexpr Duration successRetention = 10s;

    CrashSuspects(Task&, const RelayIdentity&, Duration connectTimeout, CrashSuspectsHooks, QueryOfDeathLimits = {});
    ~CrashSuspects();

    // Relay addresses of the other nodes that run the services of this node, by service. Nodes whose upstream is gone
    // belong to them, since it may return. One of the first peers known of a service is asked for its reports.
    using Peers = std::map<std::string, std::set<std::string>>;
    void setPeers(Peers);

    // The functions of CrashGate.
    std::optional<Refusal> screen(const RequestHead&, Fingerprint);
    void closed(ClosedRequest, std::function<void(bool isCrash)> settled);
    void succeeded(const RequestHead&, Fingerprint);
    void upstreamChanged(const UpstreamEndpoint&);
    CrashNoticeReply received(const CrashNotice&);

private:
    using Settled = std::function<void(bool isCrash)>;

    struct Close {
        ClosedRequest request;
        Fingerprint key = 0;
        Instant at {};
        Settled settled; // empty once it was called or waits for acknowledgements
    };

    struct UpstreamRecord {
        std::string address;
        std::vector<Close> closes; // not yet confirmed
        std::optional<Id128> crash; // confirmed
        Instant confirmedAt {};
        Instant probedAt {};
        bool isProbing = false;
        ObjectHandle<GSocket> socket; // of the probe
        SourceHandle probeWatch;
        SourceHandle probeTimer;
    };

    // A notice on its way to several peers.
    struct Broadcast {
        size_t pendingPeers = 0;
        std::function<void()> done;
        SourceHandle timeoutTimer;
    };

    struct Delivery {
        std::string address;
        CrashNotice notice;
        std::shared_ptr<Broadcast> broadcast;
        uint32_t attempts = 0;
        Instant nextAttempt {};
        bool isAcknowledged = false;
    };

    static Fingerprint keyOf(std::string_view service, Fingerprint);
    void probe(const std::string& upstream);
    void onProbe(const std::string& upstream, bool isRefused);
    void confirm(const std::string& upstream);
    void report(const Id128& crash, std::vector<Close>);
    void reportQueriesOfDeath(const std::vector<Close>&);
    void broadcast(const CrashNotice&, std::function<void()> done);
    void deliver(const std::shared_ptr<Delivery>&);
    void onAcknowledged(const std::shared_ptr<Delivery>&, const CrashNoticeReply&);
    static void finish(Broadcast&);
    void clear(Fingerprint key);
    bool hasSucceeded(Fingerprint key, Instant now) const;
    void requestReports(uint32_t maxRequests);
    void tick();

    Task& m_task;
    RelayIdentity m_identity;
    RelayClient m_client;
    CrashSuspectsHooks m_hooks;
    QueryOfDeathFilter m_filter;
    std::map<std::string, UpstreamRecord> m_upstreams;
    Peers m_peers;
    std::map<std::string, uint32_t> m_reportRequestCounts; // how often the reports of a service were asked for
    std::unordered_map<Fingerprint, Instant> m_successes;
    std::set<std::shared_ptr<Delivery>> m_deliveries;
    Instant m_nextCleanup {};
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    SourceHandle m_timer;
};

// The gate over an object that exists from the hook `started` to `stopped`.
CrashGate crashGate(const std::function<CrashSuspects*()>& suspects);

} // namespace Gooseberrymill

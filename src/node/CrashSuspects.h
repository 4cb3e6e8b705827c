// Detects queries of death, requests that crash the upstreams that run them, and refuses them. Used only on the
// executor's task.
//
// A connection that closes without a complete response is not proof of a crash, since a failing upstream may close
// connections at random (gray failure). A crash is confirmed when, within `confirmationWindow` of such a close, a new
// connection to the upstream is refused, its heartbeat is lost (state Gone) or it announces a restart (state Cold). All
// requests whose connections closed in that window are suspects. They are reported to every node that runs the same
// service.
//
// Bound on crashes: the response to a request that was running in a confirmed crash is held back until every peer has
// acknowledged the reports, or for `acknowledgementTimeout` at most. A caller that waits for each response before it
// sends the request again, to whichever node, therefore causes at most 2 crashes. With k such callers at the same
// moment the bound is k + 1 crashes, which end at most 2 k runs, since one crash may end several runs: a caller can
// start its second run only after all nodes have learned of the crash of its first, and no run starts once two crashes
// are known. In general, every crash after the second is caused by a run that was dispatched by an executor that knew
// fewer than two crashes at that time. The bound requires peers that can be reached within the limit, a listening
// socket that closes with the process for at least `probeInterval`, and callers that wait for the response.
//
// A request that completed at any node within `successRetention` is not a suspect, since a query of death never
// completes. A node where it completed clears the reports of other nodes.
#pragma once

#include "Executor.h"
#include "RelayClient.h"

#include <set>

namespace Gooseberrymill {

struct CrashSuspectsHooks {
    std::function<void(const std::string& upstream)> crashed; // called when a crash of a local upstream is confirmed
    // Called when a request has caused enough crashes to be refused from now on, at the node of the last crash.
    std::function<void(const ClosedRequest&, uint32_t crashes)> queryOfDeathFound;
    std::function<void()> refused; // called when a request is refused as a query of death
};

class CrashSuspects {
public:
    // Longer than the 3 s after which a heartbeat is lost, plus one tick of the control task.
    static constexpr Duration confirmationWindow = 3200ms;
    static constexpr Duration acknowledgementTimeout = 1s; // how long a response waits for the peers' acknowledgements
    // From the close to the second probe. If that does not confirm a crash either, the response is sent.
    static constexpr Duration probeInterval = 50ms;
    static constexpr Duration successRetention = 10s; // how long a completed request clears suspicion

    CrashSuspects(Task&, const RelayIdentity&, Duration connectTimeout, CrashSuspectsHooks, QueryOfDeathLimits = {});
    ~CrashSuspects();

    // Relay addresses of the other nodes that run the services of this node, by service. Include nodes whose upstream
    // is gone, since it may return. When the first peers of a service become known, one of them is queried for its
    // reports.
    using Peers = std::map<std::string, std::set<std::string>>;
    void setPeers(Peers);

    // The functions of CrashGate. received() implements its `notice`.
    std::optional<Refusal> screen(const RequestHead&, Fingerprint);
    void closed(ClosedRequest, std::function<void(bool isCrash)> settled);
    void succeeded(const RequestHead&, Fingerprint);
    void upstreamChanged(const UpstreamEndpoint&);
    CrashNoticeReply received(const CrashNotice&);

private:
    using Settled = std::function<void(bool isCrash)>;

    // A connection that the upstream closed before the response was complete.
    struct Close {
        ClosedRequest request;
        Fingerprint key = 0; // see keyOf()
        Instant at {};
        Settled settled; // empty once called
    };

    struct UpstreamRecord {
        std::string address;
        std::vector<Close> closes; // closes that no confirmed crash explains yet
        std::optional<Id128> crash; // id of the last confirmed crash
        Instant confirmedAt {};
        Instant probedAt {};
        bool isProbing = false;
        ObjectHandle<GSocket> socket; // of the probe in progress
        SourceHandle probeWatch;
        SourceHandle probeTimer; // timeout of the probe, or delay before the next one
    };

    // A notice that is being delivered to several peers.
    struct Broadcast {
        size_t pendingPeers = 0; // peers that have not acknowledged
        std::function<void()> done; // empty once called
        SourceHandle timeoutTimer;
    };

    // A notice that is being delivered to one peer.
    struct Delivery {
        std::string address;
        CrashNotice notice;
        std::shared_ptr<Broadcast> broadcast; // null for a request for reports
        uint32_t attempts = 0;
        Instant nextAttempt {};
        bool isAcknowledged = false; // later replies to repeated attempts are ignored
    };

    // Fingerprint of a request including its service: equal requests of two services are different requests.
    static Fingerprint keyOf(std::string_view service, Fingerprint);
    void probe(const std::string& upstream); // connects to the upstream to see whether its listener still exists
    void onProbe(const std::string& upstream, bool isRefused);
    void confirm(const std::string& upstream); // attributes the recorded closes to a crash
    void report(const Id128& crash, std::vector<Close>);
    void reportQueriesOfDeath(const std::vector<Close>&);
    // Sends a notice to all peers of its service. `done` is called after all acknowledgements or the timeout.
    void broadcast(const CrashNotice&, std::function<void()> done);
    void deliver(const std::shared_ptr<Delivery>&);
    void onAcknowledged(const std::shared_ptr<Delivery>&, const CrashNoticeReply&);
    static void finish(Broadcast&);
    void clear(Fingerprint key);
    bool hasSucceeded(Fingerprint key, Instant now) const;
    void requestReports(uint32_t maxRequests); // `maxRequests`: for each service, since the start
    void tick();

    Task& m_task;
    RelayIdentity m_identity;
    RelayClient m_client;
    CrashSuspectsHooks m_hooks;
    QueryOfDeathFilter m_filter;
    std::map<std::string, UpstreamRecord> m_upstreams;
    Peers m_peers;
    std::map<std::string, uint32_t> m_reportRequestCounts; // answered or pending requests for reports, by service
    std::unordered_map<Fingerprint, Instant> m_successes; // last completion of a request
    std::set<std::shared_ptr<Delivery>> m_deliveries;
    Instant m_nextCleanup {};
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); // false after destruction; checked by late replies
    SourceHandle m_timer;
};

// Creates a crash gate that calls the object returned by `suspects`. While that is null, every request runs and no
// close counts as a crash.
CrashGate crashGate(const std::function<CrashSuspects*()>& suspects);

} // namespace Gooseberrymill

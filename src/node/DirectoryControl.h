// Control plane of a node whose fleet uses the object store for discovery (Discovery::Store). Runs on the control task.
//
// Each node writes one record about itself to the store and reads the records of its region once. After that, nodes
// replicate changes directly: a change is sent to the whole region at once. Each region has two watchers, nodes that
// watch the store. They send every node of the region a notice each second, with digests of their directory and
// configuration. A node whose digest differs requests the records that it lacks (anti-entropy).
//
// Store calls per node: two at start, one at stop, one for each departure of its upstream and one when that is over.
// Each watcher also keeps one watch open, renewed every few seconds.
// When the store has come back from an older copy, the watchers compare its records with what they know and write those
// that it has lost.
#pragma once

#include "AdminServer.h"
#include "ConfigurationDriver.h"
#include "core/DirectoryRepair.h"
#include "core/NodeDirectory.h"
#include "core/RetryBudget.h"
#include "core/UpstreamRegistration.h"
#include "CrashSuspects.h"
#include "DepartureExchange.h"
#include "DepartureStore.h"
#include "FreshnessKeeper.h"
#include "Metrics.h"
#include "Node.h"
#include "NodeControl.h"
#include "OperationService.h"
#include "PlatformAdapter.h"
#include "StoreClient.h"

#include <atomic>

namespace Gooseberrymill {

class DirectoryControl final : public NodeControl {
public:
    // Without an adapter (null), the node uses this project's own headers, store API and configuration format.
    DirectoryControl(Task&, Settings, const PlatformAdapter*);
    ~DirectoryControl() override;

    std::optional<Error> start() override;
    void stop(std::function<void()> done) override;

private:
    // Used only on the executor's task once it runs.
    struct ExecutorServices {
        std::unique_ptr<OperationService<StoreClient>> operations;
        std::unique_ptr<CrashSuspects> suspects;
        std::unique_ptr<QuotaHome> quota; // null while this node is stopping
        SourceHandle timer;
    };

    // The last reply to the notices of a peer, which its next notice names.
    struct Question {
        uint64_t number = 0;
        Instant askedAt {};
    };

    // A peer whose last notices failed.
    struct UnresponsivePeer {
        Instant since {}; // time of the first failed notice
        uint32_t failures = 0; // failed notices since the peer was last heard
    };

    // [SECTION] Construction
    ExecutorHooks executorHooks();
    EntryHooks entryHooks();
    ConfigurationHooks configurationHooks();
    AdminCallbacks adminCallbacks();
    std::optional<Error> startServers();
    void startExecutorServices(Task&);
    NodeRecord ownRecord() const;

    // [SECTION] Store
    std::string recordKind(std::string_view region) const;
    void registerNode();
    void replaceRecord(); // overwrites the record that an earlier process of this node left in the store
    void readRegion(const std::string& region);
    void readOwnRegion(Instant now); // does nothing if the region was already read or its next attempt is not due
    void readOtherRegions();
    void loadDepartures(std::span<const StoredObject> listed); // what the list of the own region says of them
    void removeRecord(const std::string& region, const std::string& node);
    void removeOwnRecord();
    void repairRecords(Instant now); // after the store began a new era
    void writeRepair(const DirectoryRepair&);

    // [SECTION] Peers
    void send(const NodeRecord& peer, DirectoryNotice);
    void compareWith(const NodeRecord& peer, std::vector<NodeRecord> records = {}); // starts an anti-entropy exchange
    void compareWithNeighbours(); // several nearby nodes, so that at least one is likely to be up to date
    void notifyRegion(const std::vector<NodeRecord>& records, bool requestsComparison = false);
    void compareWithLeftNodes(); // nodes that left recently may have restarted
    void compareWithOtherRegions(); // one random node of each
    void onReply(const std::string& peer, const Result<RelayMessage>&, Instant askedAt);
    DirectoryReply onNotice(const DirectoryNotice&);
    void directoryChanged(); // passes the new candidates and peers to the data plane
    void recordFleetSize(Instant now);
    void updateQuotaNodes();
    void postToQuota(std::function<void(QuotaHome&)>); // runs on the executor's task, unless this node is stopping
    void recordContact(const std::string& peer, Instant askedAt); // the peer has answered a message sent at `askedAt`
    void recordNoticeFailure(const std::string& peer); // declares the peer lost after enough failures
    void sendNotices(Instant now);

    // [SECTION] Events
    void tick();
    void updateWatchRole(Instant now); // starts or stops watching the store as the election decides
    void onAnnouncement(const Announcement&, const AdminReply&);
    Result<void> applyAnnouncement(const Announcement&);
    void onDeparture(const Departure&, const AdminReply&);
    void recoverDepartures(Instant now); // while the store is away: from peers, or by waiting
    void findSurvivors(const std::string& peer, Instant now); // the peer has just been heard
    void trustAnnouncements(); // the departures are known now
    void applyUpstream();
    void onRoutes(const std::shared_ptr<const RouteTable>&, const std::shared_ptr<void>& inUse);
    void finishStop(const std::string& reason);
    std::string metricsPage();
    std::string statusJson() const;

    Task& m_task;
    Settings m_settings;
    const PlatformAdapter* m_adapter;
    std::mt19937_64 m_random;
    Id128 m_incarnation;
    Instant m_startedAt;
    std::unique_ptr<StoreClient> m_store;
    std::unique_ptr<RelayClient> m_relay;
    MetricsRegistry m_metrics;
    Counter& m_retriesGranted = m_metrics.counter(
        "retries_granted_total", "Attempts at another upstream after one that reached an upstream.");
    Counter& m_retriesDenied
        = m_metrics.counter("retries_denied_total", "Such attempts that the retry budget did not allow.");
    std::shared_ptr<ExecutorServices> m_services;
    std::shared_ptr<RunningRequests> m_running = std::make_shared<RunningRequests>();
    std::unique_ptr<Node> m_node;
    std::unique_ptr<NodeDirectory> m_directory;
    WatchElection m_election;
    std::unique_ptr<ConfigurationDriver<StoreClient>> m_configuration;
    std::shared_ptr<SharedFreshness> m_freshness;
    FreshnessKeeper m_freshnessKeeper;
    std::map<std::string, Question, std::less<>> m_questions; // to the peers that send notices
    std::map<std::string, uint64_t, std::less<>> m_echoes; // numbers of the questions of the peers that get notices
    std::shared_ptr<SharedQuotaNodes> m_quotaNodes = std::make_shared<SharedQuotaNodes>();
    std::vector<QuotaNode> m_lastQuotaNodes;
    bool m_hasOrganisations = false; // the configuration in force has some
    UpstreamRegistration m_upstream;
    std::unique_ptr<DepartureExchange> m_departures;
    std::unique_ptr<DepartureStore<StoreClient>> m_departureStore;
    bool m_trustsAnnouncements = false; // whether an announcement that the upstream serves is believed
    std::optional<Instant> m_survivorsToldAt; // peers that knew this node's earlier process know of its restart
    std::vector<std::unique_ptr<AdminServer>> m_servers; // the first one listens on the admin address
    uint16_t m_adminPort = 0;
    std::atomic<uint64_t> m_configurationDigest { 0 }; // digest of the configuration; read by the entry workers
    BurstShare m_burstShare;
    std::atomic<Instant> m_burstFrom; // BurstShare::availableFrom(); read by the entry workers
    std::atomic<uint32_t> m_nodeCount { 1 }; // BurstShare::nodes(); read by the entry workers
    WatchRole m_role = WatchRole::None;
    bool m_isStoreReachable = false; // the last call of the configuration driver succeeded
    Instant m_watchBackoffUntil {}; // after a failed store call, this node does not watch before this time
    uint64_t m_recordVersion = 0; // store version of this node's record; 0: not written yet
    bool m_isRegistering = false;
    bool m_hasRequestedRegion = false; // a read of this region's records is pending or has succeeded
    bool m_isRegionKnown = false; // this region's records have been read
    Instant m_nextRegionRead {};
    bool m_needsRepair = false; // the store has begun a new era since its records were last compared
    Instant m_nextRepair {};
    bool m_hasRequestedOtherRegions = false; // reads of the other regions are pending or have succeeded
    Instant m_nextStoreAttempt {};
    Instant m_nextNotice {};
    Instant m_nextRemoteNotice {};
    Instant m_lastPeerContact {}; // time of the last notice or reply from any peer
    std::map<std::string, UnresponsivePeer, std::less<>> m_unresponsivePeers;
    bool m_isStopping = false;
    bool m_isStopped = false;
    std::function<void()> m_stopDone;
    SourceHandle m_timer;
    SourceHandle m_drainTimer;
};

} // namespace Gooseberrymill

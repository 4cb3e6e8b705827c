// Control side of a node whose fleet meets in the object store (Discovery::Store). Lives on the control task.
//
// Each node writes one record about itself to the store and reads those of its region once. From then on nodes tell
// each other directly: a change goes to the region at once, and the watchers of the region, two nodes that watch the
// store, send everybody a notice each second with digests of what they know. Whoever knows less asks.
//
// Cost in calls to the store: two a node at its start, a watch of some seconds for each watcher, one a node at its end.
#pragma once

#include "AdminServer.h"
#include "ConfigurationDriver.h"
#include "core/NodeDirectory.h"
#include "core/UpstreamRegistration.h"
#include "CrashSuspects.h"
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
    DirectoryControl(Task&, Settings, const PlatformAdapter*); // null: the interfaces of this project
    ~DirectoryControl() override;

    std::optional<Error> start() override;
    void stop(std::function<void()> done) override;

private:
    // Owned by the executor's task.
    struct ExecutorServices {
        std::unique_ptr<OperationService<StoreClient>> operations;
        std::unique_ptr<CrashSuspects> suspects;
        SourceHandle timer;
    };

    // A node that did not answer lately.
    struct Silence {
        Instant since {};
        uint32_t failures = 0;
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
    std::string kindOf(std::string_view region) const;
    void registerNode();
    void replaceRecord();
    void readRegion(const std::string& region);
    void readOwnRegion(Instant now); // unless it was read, at the times meant for it
    void readOtherRegions();
    void removeRecord(const std::string& region, const std::string& node);

    // [SECTION] Peers
    void send(const NodeRecord& peer, DirectoryNotice);
    void compareWith(const NodeRecord& peer, std::vector<NodeRecord> records = {});
    void compareWithNeighbours(); // a few nodes near this one, of which one at least should be up to date
    void tellRegion(const std::vector<NodeRecord>& records, bool requestsComparison = false);
    void tellRestarted(); // nodes that left lately and may run again
    void tellOtherRegions();
    void onReply(const std::string& peer, const Result<RelayMessage>&);
    DirectoryReply onNotice(const DirectoryNotice&);
    void directoryChanged();
    void noteSilence(const std::string& peer);
    void sendNotices(Instant now);

    // [SECTION] Events
    void tick();
    void refreshRole(Instant now);
    Result<void> onAnnouncement(const Announcement&);
    Result<void> onDeparture(const Departure&);
    void applyUpstream();
    void onRoutes(const std::shared_ptr<const RouteTable>&);
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
    std::shared_ptr<ExecutorServices> m_services;
    std::unique_ptr<Node> m_node;
    std::unique_ptr<NodeDirectory> m_directory;
    WatchElection m_election;
    std::unique_ptr<ConfigurationDriver<StoreClient>> m_configuration;
    UpstreamRegistration m_upstream;
    std::vector<std::unique_ptr<AdminServer>> m_servers; // the first one on the admin address
    uint16_t m_adminPort = 0;
    std::atomic<uint64_t> m_digest { 0 }; // of the configuration; read by the entry workers
    std::atomic<uint32_t> m_nodeCount { 1 }; // read by the entry workers
    WatchRole m_role = WatchRole::None;
    bool m_isStoreReachable = false; // the last call of the configuration driver succeeded
    Instant m_storeRetryAt {}; // a watcher that the store turned away stands back until then
    uint64_t m_recordVersion = 0; // of the own record in the store; 0: not written yet
    bool m_isRegistering = false;
    bool m_hasRegion = false; // the records of the own region were read, or are being read
    bool m_isRegionKnown = false; // they were read
    Instant m_nextRegionRead {};
    bool m_hasOtherRegions = false;
    Instant m_nextStoreTry {};
    Instant m_nextNotice {};
    Instant m_nextRemoteNotice {};
    Instant m_lastHeard {}; // any notice or reply
    std::map<std::string, Silence, std::less<>> m_silences;
    bool m_isStopping = false;
    bool m_isStopped = false;
    std::function<void()> m_stopped;
    SourceHandle m_timer;
    SourceHandle m_drainTimer;
};

} // namespace Gooseberrymill

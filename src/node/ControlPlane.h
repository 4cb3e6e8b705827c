// Control plane of a node: membership by gossip, configuration, ejection of upstreams, audit trail, metrics and the
// admin HTTP server.
#pragma once

#include "AdminServer.h"
#include "AuditTrail.h"
#include "ClaimSweeper.h"
#include "ConfigurationDriver.h"
#include "core/CandidateCache.h"
#include "core/TraceRecorder.h"
#include "CrashSuspects.h"
#include "FreshnessKeeper.h"
#include "GossipSocket.h"
#include "Metrics.h"
#include "Node.h"
#include "NodeControl.h"
#include "OperationService.h"
#include "StoreClient.h"
#include "UpstreamSupervisor.h"

#include <atomic>

namespace Gooseberrymill {

// Owns the data plane (Node) and everything that decides how it routes. Belongs to the control task: unless stated
// otherwise, all functions run on that task, and the executor and the entry workers post to it.
class ControlPlane final : public NodeControl {
public:
    ControlPlane(Task&, Settings);
    ~ControlPlane() override;

    std::optional<Error> start() override;
    // Leaves the membership, waits for the requests in flight (at most Settings::drainTimeout, if set), flushes the
    // audit trail and calls `done`, also if the flush failed. Further calls have no effect.
    void stop(std::function<void()> done) override;

    uint16_t adminPort() const { return m_adminPort; }

private:
    using Supervisor = UpstreamSupervisor<StoreClient>;

    // Outcome of one request, measured by the executor for the health monitor of `upstream`.
    struct UpstreamSample {
        std::string upstream;
        Sample sample;
        Instant at;
    };

    // Created, used and destroyed on the executor's task.
    struct ExecutorServices {
        std::unique_ptr<StoreClient> store;
        std::unique_ptr<OperationService<StoreClient>> operations;
        std::unique_ptr<CrashSuspects> suspects;
        std::unique_ptr<QuotaHome> quota; // null while this node is stopping
        SourceHandle timer; // ticks the claims and posts the samples to the control task
        std::vector<UpstreamSample> samples; // collected since the last post to the control task
    };

    // [SECTION] Construction
    ExecutorHooks executorHooks();
    EntryHooks entryHooks(); // runs on the task of each entry worker
    ConfigurationHooks configurationHooks();
    SupervisorHooks supervisorHooks(const std::string& upstream);
    AdminCallbacks adminCallbacks();
    std::optional<Error> startGossip();
    std::optional<Error> startAdmin();
    void startExecutorServices(Task&); // runs on the executor's task
    CrashSuspectsHooks crashSuspectsHooks();
    void flushSamples(); // runs on the executor's task
    void publishUnresolvedOperations(); // runs on the executor's task

    // [SECTION] Events
    void tick();
    void sendGossip();
    void onMembershipChanges();
    void refreshCandidates();
    // Relay addresses of the other live nodes with upstreams of the same services, by service.
    CrashSuspects::Peers crashPeers() const;
    void refreshWatchRole();
    void updateQuotaNodes();
    void postToQuota(std::function<void(QuotaHome&)>); // runs on the executor's task, unless this node is stopping
    void onRoutes(const std::shared_ptr<const RouteTable>&, const std::shared_ptr<void>& inUse);
    void onSamples(const std::vector<UpstreamSample>&);
    void onEndpointChanged(const std::string& upstream, UpstreamState from, UpstreamState to, double severity);
    Result<void> onAnnouncement(const Announcement&);
    void joinThroughStore();
    void publishSeeds();
    void finishStop(const std::string& reason);
    void writeTrace();

    // [SECTION] Views
    void audit(AuditEventKind, const std::string& service, const std::string& subject, const std::string& reason,
        const std::string& actor = "node");
    std::string statusJson() const;
    std::string operationsJson() const;
    std::string metricsPage();

    Task& m_task;
    Settings m_settings;
    std::mt19937_64 m_random;
    Id128 m_incarnation;
    std::unique_ptr<StoreClient> m_store; // null if the settings name no store
    std::unique_ptr<RelayClient> m_relay; // sends configuration queries to peers
    MetricsRegistry m_metrics;
    std::shared_ptr<SharedQuotaNodes> m_quotaNodes = std::make_shared<SharedQuotaNodes>();
    std::shared_ptr<SharedFreshness> m_freshness;
    FreshnessKeeper m_freshnessKeeper;
    std::unique_ptr<AuditTrail<StoreClient>> m_audit; // null if the settings name no store
    std::unique_ptr<ClaimSweeper<StoreClient>> m_sweeper; // null if the settings name no store
    std::unique_ptr<TraceRecorder> m_recorder; // null unless the settings name a trace file
    std::unique_ptr<Membership> m_membership;
    std::unique_ptr<GossipSocket> m_gossip;
    std::unique_ptr<ConfigurationDriver<StoreClient>> m_configuration;
    std::map<std::string, std::unique_ptr<Supervisor>, std::less<>> m_supervisors; // by upstream name
    std::shared_ptr<const RouteTable> m_routes; // configuration in force; null until the first one is accepted
    std::shared_ptr<ExecutorServices> m_executorServices;
    std::shared_ptr<RunningRequests> m_running = std::make_shared<RunningRequests>();
    std::unique_ptr<Node> m_node;
    std::unique_ptr<AdminServer> m_admin;
    std::vector<UnresolvedOperation> m_unresolvedOperations; // latest list posted by the executor, for the admin server
    std::atomic<uint64_t> m_configurationDigest { 0 }; // of the configuration in force; read by the entry workers
    uint16_t m_adminPort = 0;
    WatchRole m_watchRole = WatchRole::None;
    CandidateCache m_candidates;
    bool m_membersChanged = false; // true if the watch role and the crash peers may be out of date
    Instant m_nextWatchRoleUpdate {};
    bool m_isStopping = false;
    bool m_isStopped = false;
    Instant m_nextSeedsUpdate {};
    std::function<void()> m_onStopped; // `done` of stop()
    SourceHandle m_timer;
    SourceHandle m_drainTimer; // ends the drain at Settings::drainTimeout
};

} // namespace Gooseberrymill

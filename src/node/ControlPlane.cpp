#include "ControlPlane.h"

#include "core/RetryBudget.h"
#include "NodeRecordJson.h"
#include "RunningMetrics.h"

#include <fstream>
#include <nlohmann/json.hpp>

namespace Gooseberrymill {

namespace {

using Json = nlohmann::ordered_json;

constexpr std::string_view seedsKind = "nodes"; // object kind; one object per data centre lists a few gossip addresses
constexpr size_t seedsPerDataCentre = 5; // gossip addresses published in the store
constexpr Duration seedsUpdateInterval = 30s; // how often a watcher compares the published seeds with the members
constexpr Duration tickInterval = 50ms; // drives supervisors, membership, configuration, audit trail and claim sweeper
constexpr uint32_t ticksPerOperationScan = 10; // a scan takes time in proportion to the operations in the table
constexpr Duration sampleFlushInterval = 100ms; // health samples are posted to the control task in batches
constexpr Duration maxPeerHealthAge = 5s; // health summaries of peers are ignored beyond this age as stale
constexpr Duration watchRoleInterval = 100ms; // minimum between role updates, since each one scans all members
constexpr size_t queriedPeersPerDataCentre = 2; // queried for their configuration after a start

std::span<const uint8_t> bytesOf(const std::string& text)
{
    return { reinterpret_cast<const uint8_t*>(text.data()), text.size() };
}

std::string seedsObjectName(const std::string& dataCentre) { return dataCentre.empty() ? "default" : dataCentre; }

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Construction
//-----------------------------------------------------------------------------

ControlPlane::ControlPlane(Task& task, Settings settings)
    : m_task(task)
    , m_settings(std::move(settings))
    , m_random(randomId().low)
    , m_incarnation(randomId())
    , m_freshness(std::make_shared<SharedFreshness>(m_settings.keyRevocationBound))
    , m_freshnessKeeper(m_freshness, currentInstant())
    , m_executorServices(std::make_shared<ExecutorServices>())
{
}

ControlPlane::~ControlPlane()
{
    m_timer.reset();
    m_admin.reset();
    m_node.reset();
}

std::optional<Error> ControlPlane::start()
{
    if (!m_settings.storeUrl.empty()) {
        m_store = std::make_unique<StoreClient>(m_settings.storeUrl, m_settings.storeTimeout);
        m_sweeper = std::make_unique<ClaimSweeper<StoreClient>>(*m_store, ClaimSettings {});
        auto firstBatch = static_cast<uint64_t>(currentWallTime().time_since_epoch().count());
        m_audit = std::make_unique<AuditTrail<StoreClient>>(*m_store, m_settings.nodeName, firstBatch);
    }
    if (!m_settings.traceFile.empty())
        m_recorder = std::make_unique<TraceRecorder>(m_settings.nodeName, m_settings.location, currentInstant());
    RelayIdentity identity { m_settings.fleetKey, m_settings.nodeName, m_incarnation };
    m_relay = std::make_unique<RelayClient>(
        m_task.context(), identity, m_settings.connectTimeout, m_settings.relayIdleTimeout);
    m_node = std::make_unique<Node>(
        m_settings, executorHooks(), [this] { return entryHooks(); }, m_incarnation);
    if (auto error = m_node->start())
        return error;
    if (auto error = startGossip())
        return error;
    m_configuration = std::make_unique<ConfigurationDriver<StoreClient>>(
        m_store.get(), *m_relay, m_random(), configurationHooks(), currentInstant());
    m_configuration->start({});
    if (auto error = startAdmin())
        return error;
    joinThroughStore();
    m_timer = m_task.every(tickInterval, [this] {
        tick();
        return true;
    });
    audit(AuditEventKind::NodeStarted, "", m_settings.nodeName, "incarnation " + toString(m_incarnation));
    return std::nullopt;
}

std::optional<Error> ControlPlane::startGossip()
{
    auto socket = GossipSocket::open(m_task, m_settings.gossipListen, m_settings.gossipAdvertise,
        bytesOf(m_settings.fleetKey), [this](const GossipMessage& message, std::string_view from) {
            m_membership->received(message, from, currentInstant());
            if (m_routes && !m_routes->organisations().isEmpty())
                postToQuota([now = currentInstant()](QuotaHome& home) { home.contacted(now); });
            onMembershipChanges();
            sendGossip();
        });
    if (!socket)
        return socket.error();
    m_gossip = std::move(socket.value());
    NodeRecord self;
    self.name = m_settings.nodeName;
    self.incarnation = m_incarnation;
    self.startedAt = static_cast<uint64_t>(currentWallTime().time_since_epoch().count());
    self.gossipAddress = m_gossip->advertisedAddress();
    self.relayAddress = m_node->relayAddress();
    self.location = m_settings.location;
    MembershipSettings settings;
    settings.seeds = m_settings.seeds;
    m_membership = std::make_unique<Membership>(settings, std::move(self), m_random(), currentInstant());
    return std::nullopt;
}

std::optional<Error> ControlPlane::startAdmin()
{
    m_admin = std::make_unique<AdminServer>(adminCallbacks());
    auto port = m_admin->listen(m_settings.adminListen);
    if (!port)
        return port.error();
    m_adminPort = port.value();
    log(LogLevel::Info, "node.started",
        { { "node", m_settings.nodeName }, { "callers", m_node->callerPort() }, { "relay", m_node->relayAddress() },
            { "gossip", m_gossip->advertisedAddress() }, { "admin", m_adminPort } });
    return std::nullopt;
}

ExecutorHooks ControlPlane::executorHooks()
{
    ExecutorHooks hooks;
    hooks.running = m_running;
    hooks.freshness = m_freshness;
    hooks.started = [this](Task& task) { startExecutorServices(task); };
    hooks.stopped = [services = m_executorServices] {
        services->timer.reset();
        services->suspects.reset();
        services->operations.reset();
        services->quota.reset();
        services->store.reset();
    };
    hooks.operations = operationGate(m_executorServices);
    hooks.token = [services = m_executorServices](TokenQuery&& query, const std::function<void(TokenReply)>& reply) {
        reply(services->operations->issueToken(query));
    };
    hooks.quota
        = [services = m_executorServices](const QuotaQuery& query, const std::function<void(QuotaReply)>& reply) {
              reply(services->quota ? services->quota->answer(query, currentInstant()) : QuotaReply {});
          };
    hooks.crashes = crashGate([services = m_executorServices] { return services->suspects.get(); });
    hooks.sample = [services = m_executorServices](const std::string& upstream, const Sample& sample, Instant now) {
        services->samples.push_back({ upstream, sample, now });
    };
    hooks.configuration = [this](ConfigurationQuery&& query, std::function<void(ConfigurationReply)> reply) {
        m_task.post([this, query = std::move(query), reply = std::move(reply)] {
            ConfigurationReply answer = m_configuration ? m_configuration->answer(query) : ConfigurationReply {};
            m_node->postToExecutor([answer = std::move(answer), reply] { reply(answer); });
        });
    };
    return hooks;
}

void ControlPlane::startExecutorServices(Task& task)
{
    if (!m_settings.storeUrl.empty())
        m_executorServices->store = std::make_unique<StoreClient>(m_settings.storeUrl, m_settings.storeTimeout);
    m_executorServices->operations = std::make_unique<OperationService<StoreClient>>(
        m_incarnation, OperationLimits {}, m_executorServices->store.get());
    // Nothing tells whether this node acted as a home before its start.
    m_executorServices->quota
        = std::make_unique<QuotaHome>(m_settings.nodeName, m_settings.location.region, false, currentInstant());
    m_executorServices->suspects = std::make_unique<CrashSuspects>(task,
        RelayIdentity { m_settings.fleetKey, m_settings.nodeName, m_incarnation }, m_settings.connectTimeout,
        crashSuspectsHooks());
    m_executorServices->timer = task.every(sampleFlushInterval, [this, ticks = 0U]() mutable {
        m_executorServices->operations->tickClaims();
        flushSamples();
        if (++ticks % ticksPerOperationScan == 0)
            publishUnresolvedOperations();
        return true;
    });
}

// Runs while the control task is blocked until the executor has started, so m_metrics is not accessed concurrently.
// The hooks run on the executor's task.
CrashSuspectsHooks ControlPlane::crashSuspectsHooks()
{
    Counter& crashes = m_metrics.counter("upstream_crashes_total", "Confirmed crashes of local upstreams.");
    Counter& found = m_metrics.counter("query_of_death_found_total", "Requests that began to be refused.");
    Counter& refusals = m_metrics.counter("query_of_death_refused_total", "Refusals of queries of death.");
    CrashSuspectsHooks hooks;
    hooks.crashed = [this, &crashes](const std::string& upstream) {
        crashes.add();
        m_task.post([this, upstream] {
            if (auto it = m_supervisors.find(upstream); it != m_supervisors.end())
                it->second->crashed(currentInstant());
        });
    };
    hooks.queryOfDeathFound = [this, &found](const ClosedRequest& request, uint32_t count) {
        found.add();
        m_task.post([this, request, count] {
            audit(AuditEventKind::QueryOfDeath, request.service, request.method + " " + request.target,
                fmt::format("refused after {} crashes", count));
        });
    };
    hooks.refused = [&refusals] { refusals.add(); };
    return hooks;
}

void ControlPlane::flushSamples()
{
    if (m_executorServices->samples.empty())
        return;
    m_task.post([this, samples = std::exchange(m_executorServices->samples, {})] { onSamples(samples); });
}

void ControlPlane::publishUnresolvedOperations()
{
    m_executorServices->operations->tickTable();
    m_task.post(
        [this, unresolved = m_executorServices->operations->unresolved()] { m_unresolvedOperations = unresolved; });
}

// Each entry worker has its own retry budgets, so that workers share no state. A budget is a share of the worker's own
// requests, so the fleet as a whole stays within the same share.
EntryHooks ControlPlane::entryHooks()
{
    auto budgets = std::make_shared<RetryBudgets>();
    EntryHooks hooks;
    hooks.offered = [budgets](const Service& service) { budgets->of(service).offered(currentInstant()); };
    hooks.allowRetry = [budgets](const Service& service) { return budgets->of(service).tryAcquire(currentInstant()); };
    hooks.configurationDigest = [this] { return m_configurationDigest.load(std::memory_order_relaxed); };
    hooks.freshness = m_freshness;
    hooks.quotaNodes = m_quotaNodes;
    return hooks;
}

ConfigurationHooks ControlPlane::configurationHooks()
{
    ConfigurationHooks hooks;
    hooks.freshness = m_freshness;
    hooks.routesChanged = [this](const std::shared_ptr<const RouteTable>& routes, const std::shared_ptr<void>& inUse) {
        onRoutes(routes, inUse);
    };
    hooks.digestChanged = [this](uint64_t digest) {
        m_configurationDigest = digest;
        m_membership->setConfigurationDigest(digest);
    };
    hooks.relayAddress = [this](std::string_view node) {
        const NodeRecord* record = m_membership->find(node);
        return record ? record->relayAddress : std::string();
    };
    hooks.accepted = [this](const ConfigurationRecord& record) {
        audit(AuditEventKind::ConfigurationInForce, "", record.name,
            fmt::format("version {}, change id {}", revisionOf(record.version), record.changeId), record.author);
    };
    hooks.refused = [this](const ConfigurationRecord& record, const std::string& reason) {
        audit(AuditEventKind::ConfigurationRefused, "", record.name,
            fmt::format("version {}: {}", revisionOf(record.version), reason), record.author);
    };
    return hooks;
}

SupervisorHooks ControlPlane::supervisorHooks(const std::string& upstream)
{
    SupervisorHooks hooks;
    hooks.setEndpoint = [this](const UpstreamEndpoint& endpoint) { m_node->setUpstream(endpoint); };
    hooks.publish = [this](const UpstreamRecord& record) {
        m_membership->setUpstream(record, currentInstant());
        m_candidates.noteChange(*m_membership, m_settings.nodeName);
        m_membersChanged = true;
    };
    hooks.views = [this](std::string_view service) {
        return makeUpstreamViews(*m_membership, m_candidates, service, currentInstant());
    };
    hooks.peerHealth = [this](std::string_view service) {
        return m_membership->peerHealth(service, maxPeerHealthAge, currentInstant());
    };
    hooks.sendHealth = [this](const HealthSummary& summary) { m_membership->sendHealth(summary, currentInstant()); };
    hooks.stateChanged = [this, upstream](UpstreamState from, UpstreamState to, double severity) {
        onEndpointChanged(upstream, from, to, severity);
    };
    return hooks;
}

//-----------------------------------------------------------------------------
// [SECTION] Events
//-----------------------------------------------------------------------------

void ControlPlane::tick()
{
    Instant now = currentInstant();
    for (auto& [name, supervisor] : m_supervisors)
        supervisor->tick(now);
    m_membership->tick(now);
    onMembershipChanges();
    sendGossip();
    m_configuration->tick();
    if (m_configuration->isReady() && m_freshnessKeeper.update(now))
        m_configuration->readStore();
    if (m_audit)
        m_audit->tick(now);
    if (m_sweeper && m_routes && m_watchRole == WatchRole::Watcher)
        m_sweeper->tick(*m_routes, currentWallTime());
    if (now >= m_nextSeedsUpdate && !m_isStopping) {
        m_nextSeedsUpdate = now + seedsUpdateInterval;
        publishSeeds();
    }
}

void ControlPlane::sendGossip()
{
    for (const OutgoingGossip& message : m_membership->takeMessages())
        m_gossip->send(message);
}

void ControlPlane::onMembershipChanges()
{
    for (const MembershipChange& change : m_membership->takeChanges()) {
        if (change.event == MemberEvent::DigestMismatch) {
            m_configuration->digestSeen(change.node, change.configurationDigest);
            continue;
        }
        if (change.event == MemberEvent::SelfSuperseded) {
            log(LogLevel::Error, "node.superseded",
                { { "node", m_settings.nodeName }, { "by", toString(change.incarnation) } });
            m_task.post([this] { stop([this] { m_task.stop(); }); });
            continue;
        }
        // No peers are known at the start, so peers are queried for the configuration when one joins.
        bool needsConfiguration = change.event == MemberEvent::Joined && !m_configuration->isReady();
        if (needsConfiguration)
            m_configuration->start(choosePeersToQuery(*m_membership, queriedPeersPerDataCentre, m_random));
        m_candidates.noteChange(*m_membership, change.node);
        m_membersChanged = m_membersChanged || change.event != MemberEvent::UpstreamChanged;
    }
    refreshCandidates();
}

void ControlPlane::refreshCandidates()
{
    Instant now = currentInstant();
    CandidateChanges changes = m_candidates.takeChanges(*m_membership, now);
    if (!changes.empty())
        m_node->updateCandidates(std::make_shared<const CandidateChanges>(std::move(changes)));
    if (!m_membersChanged || now < m_nextWatchRoleUpdate)
        return;
    m_membersChanged = false;
    m_nextWatchRoleUpdate = now + watchRoleInterval;
    m_node->postToExecutor([services = m_executorServices, peers = crashPeers()] {
        if (services->suspects)
            services->suspects->setPeers(peers);
    });
    updateQuotaNodes();
    refreshWatchRole();
}

void ControlPlane::postToQuota(std::function<void(QuotaHome&)> function)
{
    m_node->postToExecutor([services = m_executorServices, function = std::move(function)] {
        if (services->quota)
            function(*services->quota);
    });
}

void ControlPlane::updateQuotaNodes()
{
    std::vector<QuotaNode> nodes;
    std::set<std::string> regions;
    m_membership->forEach([&](const NodeRecord& it) {
        regions.insert(it.location.region);
        if (it.status == NodeStatus::Alive || it.status == NodeStatus::Suspect)
            nodes.push_back({ it.name, it.location.region, it.relayAddress });
    });
    auto shared = std::make_shared<const QuotaNodes>(std::move(nodes), regions.size(), quotaTerms(m_settings));
    m_quotaNodes->set(shared);
    postToQuota([shared, now = currentInstant()](QuotaHome& home) { home.setNodes(shared, now); });
}

CrashSuspects::Peers ControlPlane::crashPeers() const
{
    CrashSuspects::Peers peers;
    for (const auto& [name, supervisor] : m_supervisors)
        peers[supervisor->announcement().service];
    m_membership->forEach([&](const NodeRecord& record) {
        bool isLive = record.status == NodeStatus::Alive || record.status == NodeStatus::Suspect;
        if (!isLive || record.incarnation == m_incarnation)
            return;
        for (const UpstreamRecord& it : record.upstreams) {
            if (auto found = peers.find(it.service); found != peers.end())
                found->second.insert(record.relayAddress);
        }
    });
    return peers;
}

void ControlPlane::refreshWatchRole()
{
    WatchRole role = m_isStopping ? WatchRole::None : chooseWatchRole(*m_membership);
    if (role == m_watchRole)
        return;
    m_watchRole = role;
    m_configuration->setRole(role);
    if (role == WatchRole::Watcher)
        audit(AuditEventKind::WatchTakeover, "", m_settings.location.dataCentre, "this node watches the store");
}

void ControlPlane::onRoutes(const std::shared_ptr<const RouteTable>& routes, const std::shared_ptr<void>& inUse)
{
    m_routes = routes;
    if (m_recorder)
        m_recorder->setRoutes(routes);
    m_node->setRoutes(routes, inUse);
    m_node->postToExecutor([services = m_executorServices, routes] {
        if (services->operations)
            services->operations->setRoutes(routes);
        if (services->quota)
            services->quota->setRoutes(routes, currentInstant());
    });
    for (auto& [name, supervisor] : m_supervisors)
        supervisor->configure(routes->service(supervisor->announcement().service));
}

void ControlPlane::onSamples(const std::vector<UpstreamSample>& samples)
{
    for (const UpstreamSample& it : samples) {
        auto supervisor = m_supervisors.find(it.upstream);
        if (supervisor != m_supervisors.end())
            supervisor->second->record(it.sample, it.at);
        if (m_recorder)
            m_recorder->requestEnded(it.upstream, it.sample, it.at);
    }
}

void ControlPlane::onEndpointChanged(const std::string& upstream, UpstreamState from, UpstreamState to, double severity)
{
    log(LogLevel::Info, "upstream.state",
        { { "upstream", upstream }, { "from", toString(from) }, { "to", toString(to) }, { "severity", severity } });
    auto it = m_supervisors.find(upstream);
    std::string service = it == m_supervisors.end() ? "" : it->second->announcement().service;
    if (m_recorder && it != m_supervisors.end())
        m_recorder->upstreamChanged(upstream, service, it->second->announcement().slots, to, currentInstant());
    std::string reason = fmt::format("{} -> {}, severity {:.2f}", toString(from), toString(to), severity);
    if (to == UpstreamState::Ejected)
        audit(AuditEventKind::Ejection, service, upstream, reason);
    else if (from == UpstreamState::Ejected)
        audit(AuditEventKind::Readmission, service, upstream, reason);
    else if (to == UpstreamState::Degraded)
        audit(AuditEventKind::Degraded, service, upstream, reason);
    else if (to == UpstreamState::Draining || to == UpstreamState::Gone)
        audit(AuditEventKind::Drain, service, upstream, reason);
}

Result<void> ControlPlane::onAnnouncement(const Announcement& announcement)
{
    if (m_isStopping)
        return Error { ErrorCode::Unavailable, "announce", announcement.name, "this node is shutting down" };
    auto& supervisor = m_supervisors[announcement.name];
    if (supervisor && supervisor->announcement().service != announcement.service)
        return Error { ErrorCode::Conflict, "announce", announcement.name, "already announced for another service" };
    if (!supervisor) {
        supervisor = std::make_unique<Supervisor>(
            announcement, m_incarnation, m_store.get(), supervisorHooks(announcement.name));
        if (m_routes)
            supervisor->configure(m_routes->service(announcement.service));
    }
    supervisor->announced(announcement, currentInstant());
    onMembershipChanges();
    sendGossip();
    return boost::outcome_v2::success();
}

//-----------------------------------------------------------------------------
// [SECTION] Seeds in the store
//-----------------------------------------------------------------------------

// Adds the gossip addresses published in the store as seeds, so that a node can join the fleet even if no seed in its
// settings is reachable.
void ControlPlane::joinThroughStore()
{
    if (!m_store)
        return;
    m_store->list(seedsKind, [this](const Result<std::vector<StoredObject>>& result) {
        if (!result)
            return log(LogLevel::Warning, "seeds.read", result.error());
        for (const StoredObject& object : result.value()) {
            Json json = Json::parse(object.value, nullptr, false);
            if (!json.is_array())
                continue;
            for (const Json& address : json) {
                if (address.is_string())
                    m_membership->addSeed(address.get<std::string>());
            }
        }
    });
}

// Updates the published gossip addresses of this node's data centre, on watchers only. If two watchers write at the
// same time, the conditional write of one fails; it compares again at the next update.
void ControlPlane::publishSeeds()
{
    if (!m_store || m_watchRole != WatchRole::Watcher)
        return;
    std::vector<std::string> addresses;
    m_membership->forEach([&](const NodeRecord& record) {
        bool isLocal = record.location == m_settings.location && record.status == NodeStatus::Alive;
        if (isLocal && addresses.size() < seedsPerDataCentre)
            addresses.push_back(record.gossipAddress);
    });
    std::string value = Json(addresses).dump();
    std::string name = seedsObjectName(m_settings.location.dataCentre);
    m_store->get(seedsKind, name, [this, name, value](const Result<StoredObject>& result) {
        bool isAbsent = !result && result.error().code == ErrorCode::NotFound;
        if ((!result && !isAbsent) || (result && result.value().value == value))
            return;
        uint64_t version = result ? result.value().version : 0;
        m_store->put(seedsKind, name, value, version, [](const Result<uint64_t>&) {});
    });
}

//-----------------------------------------------------------------------------
// [SECTION] Graceful end
//-----------------------------------------------------------------------------

void ControlPlane::stop(std::function<void()> done)
{
    if (std::exchange(m_isStopping, true))
        return;
    log(LogLevel::Info, "node.stopping", { { "node", m_settings.nodeName } });
    m_onStopped = std::move(done);
    m_membership->leave(currentInstant());
    sendGossip();
    refreshWatchRole();
    m_node->stop([this] { m_task.post([this] { finishStop("every request in flight has ended"); }); });
    if (m_settings.drainTimeout > Duration {}) {
        m_drainTimer = m_task.every(m_settings.drainTimeout, [this] {
            finishStop("the drain limit has passed with requests in flight");
            return false;
        });
    }
}

void ControlPlane::writeTrace()
{
    if (!m_recorder)
        return;
    uint64_t dropped = m_recorder->dropped();
    std::ofstream file(m_settings.traceFile, std::ios::binary);
    file << toText(m_recorder->finish(currentInstant()));
    file.close();
    log(file ? LogLevel::Info : LogLevel::Error, "trace.written",
        { { "file", m_settings.traceFile }, { "dropped", dropped } });
}

void ControlPlane::finishStop(const std::string& reason)
{
    if (std::exchange(m_isStopped, true))
        return;
    writeTrace();
    audit(AuditEventKind::NodeStopped, "", m_settings.nodeName, reason);
    auto end = [this, reason](bool isFlushed) {
        log(isFlushed ? LogLevel::Info : LogLevel::Warning, "node.stopped",
            { { "node", m_settings.nodeName }, { "reason", reason },
                { "audit_events_lost", m_audit ? m_audit->bufferedEvents() : size_t { 0 } } });
        m_onStopped();
    };
    if (m_audit)
        m_audit->flush(end);
    else
        end(true);
}

//-----------------------------------------------------------------------------
// [SECTION] Views for operators
//-----------------------------------------------------------------------------

AdminCallbacks ControlPlane::adminCallbacks()
{
    AdminCallbacks callbacks;
    callbacks.isHealthy = [this] { return !m_isStopping && m_configuration->isReady(); };
    callbacks.metrics = [this] { return metricsPage(); };
    callbacks.status = [this] { return statusJson(); };
    callbacks.announce
        = [this](const Announcement& announcement, const AdminReply& reply) { reply(onAnnouncement(announcement)); };
    callbacks.operations = [this] { return operationsJson(); };
    callbacks.resolve = [this](const Resolution& resolution) -> Result<void> {
        auto id = parseId128(resolution.operation);
        auto it = std::find_if(m_unresolvedOperations.begin(), m_unresolvedOperations.end(),
            [&](const UnresolvedOperation& operation) { return id && operation.operation == *id; });
        if (it == m_unresolvedOperations.end())
            return Error { ErrorCode::NotFound, "operations.resolve", resolution.operation, "" };
        audit(
            AuditEventKind::OperationResolved, it->service, resolution.operation, resolution.reason, resolution.actor);
        m_unresolvedOperations.erase(it);
        m_node->postToExecutor([services = m_executorServices, operation = *id] {
            if (services->operations)
                services->operations->resolve(operation);
        });
        return boost::outcome_v2::success();
    };
    return callbacks;
}

void ControlPlane::audit(AuditEventKind kind, const std::string& service, const std::string& subject,
    const std::string& reason, const std::string& actor)
{
    if (!m_audit)
        return;
    AuditEvent event;
    event.kind = kind;
    event.time = currentWallTime();
    event.actor = actor;
    event.service = service;
    event.subject = subject;
    event.reason = reason;
    m_audit->record(std::move(event));
}

std::string ControlPlane::statusJson() const
{
    Json documents = Json::array();
    for (const ConfigurationRecord& record : m_configuration->ledger().held())
        documents.push_back({ { "name", record.name }, { "version", revisionOf(record.version) } });
    Json members = Json::array();
    m_membership->forEach([&](const NodeRecord& record) { members.push_back(toStatusJson(record)); });
    Json status { { "node", m_settings.nodeName }, { "incarnation", toString(m_incarnation) },
        { "callers", m_node->callerPort() }, { "relay", m_node->relayAddress() },
        { "ready", m_configuration->isReady() }, { "stopping", m_isStopping }, { "configuration", documents },
        { "unresolvedOperations", m_unresolvedOperations.size() }, { "members", members } };
    return status.dump();
}

std::string ControlPlane::operationsJson() const
{
    Json list = Json::array();
    for (const UnresolvedOperation& it : m_unresolvedOperations) {
        list.push_back({ { "id", toString(it.operation) }, { "service", it.service }, { "route", it.route },
            { "outcome", toString(it.outcome) }, { "reason", toString(it.reason) }, { "status", it.status },
            { "ageSeconds", std::chrono::duration_cast<std::chrono::seconds>(it.age).count() } });
    }
    return list.dump();
}

std::string ControlPlane::metricsPage()
{
    auto set = [this](const char* name, const char* help, double value) { m_metrics.gauge(name, help).set(value); };
    const MembershipCounters& gossip = m_membership->counters();
    set("gossip_sent_bytes", "Bytes of gossip sent since the start.", static_cast<double>(gossip.bytes));
    set("gossip_sent_count", "Gossip datagrams sent since the start.", static_cast<double>(gossip.messages));
    set("gossip_dropped_count", "Datagrams dropped as invalid or replayed.",
        static_cast<double>(m_gossip->drops().total()));
    set("relay_dropped_count", "Relay connections closed because of invalid input.",
        static_cast<double>(m_node->relayDropCount()));
    set("members_live_count", "Members alive or suspected, this node included.",
        static_cast<double>(m_membership->liveCount()));
    set("operations_unresolved_count", "Operations whose caller may not know the outcome.",
        static_cast<double>(m_unresolvedOperations.size()));
    set("configuration_store_calls_count", "Calls to the store for configuration since the start.",
        static_cast<double>(m_configuration->storeCalls()));
    setRunningMetrics(m_metrics, *m_running);
    if (m_audit) {
        set("audit_buffered_count", "Audit events not yet in the store.",
            static_cast<double>(m_audit->bufferedEvents()));
        set("audit_dropped_count", "Audit events lost to the bound of the buffer.",
            static_cast<double>(m_audit->droppedEvents()));
    }
    return m_metrics.print();
}

} // namespace Gooseberrymill

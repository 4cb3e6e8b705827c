#include "DirectoryControl.h"

#include "core/DirectorySync.h"
#include "Log.h"
#include "NodeRecordJson.h"
#include "RunningMetrics.h"

#include <nlohmann/json.hpp>
#include <set>

namespace Gooseberrymill {

namespace {

using Json = nlohmann::ordered_json;

constexpr Duration tickPeriod = 100ms;
constexpr Duration serviceTickPeriod = 1s; // ticks of the operation table on the executor's task
constexpr Duration noticePeriod = 1s; // between notices of a watcher to its region
constexpr Duration remoteNoticePeriod = 4s; // between comparisons of a watcher with one node of each other region
constexpr Duration isolationTimeout = 3s; // a node that heard no peer for this long contacts some itself
// Delay of the first region read after start, so that nodes that start together are all in the first list.
constexpr Duration registrationGracePeriod = 600ms;
constexpr Duration storeRetryPeriod = 1s;
constexpr Duration repairDelay = 1s; // after a new era was seen; by then most nodes have left the role of watcher again
constexpr Duration secondRepairDelay = 2500ms; // of a watcher that another one precedes, and that finds little to do
constexpr size_t maxRepairChanges = 40; // in one second; two watchers of each region share the store's write rate
constexpr Duration watchBackoff = 5s; // a watcher whose store call failed pauses this long while others watch
constexpr Duration storeFallbackDelay = 2500ms; // a node without configuration from peers then reads the store
constexpr Duration peerTimeout = 1s; // for the reply to a notice
constexpr Duration lostNodeTimeout = 8s; // a node that answers no notice for this long is considered gone
constexpr uint32_t failedNoticesUntilLost = 5; // minimum, besides lostNodeTimeout
constexpr size_t peersComparedWhenIsolated = 2;
// How late an announcement may arrive. One that arrives later after the start of this node was sent after that start,
// so its sender had not announced before that it leaves.
constexpr Duration announcementDelayLimit = 3s;
// A peer that has run for so much longer than this node has seen its earlier process. Clocks may differ by seconds.
constexpr std::chrono::milliseconds survivorAge = 5s;
constexpr Duration departureReturnTime = 500ms; // in which peers that hear of a restart return the node's departures
constexpr size_t neighboursComparedAtStart = 2; // two, as one of them may have just started as well
constexpr std::string_view recordKindPrefix = "nodes-"; // followed by the region: one object kind per region

ConfigurationSyncSettings syncSettings()
{
    ConfigurationSyncSettings settings;
    settings.reopensWatch = true;
    settings.readPeriod = 30s;
    settings.readTimeout = 1500ms;
    settings.initialReadJitter = 50ms;
    // The store may lose a watch and never answer it. Changes missed this way are found by the next watch.
    settings.watchTimeout = 1s;
    settings.unavailableBackoff = 800ms;
    // Applies the first answer at once: waiting would reject requests, and a later answer can still raise the version.
    settings.bootstrapTimeout = 0s;
    return settings;
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Construction
//-----------------------------------------------------------------------------

DirectoryControl::DirectoryControl(Task& task, Settings settings, const PlatformAdapter* adapter)
    : m_task(task)
    , m_settings(std::move(settings))
    , m_adapter(adapter)
    , m_random(randomId().low)
    , m_incarnation(randomId())
    , m_startedAt(currentInstant())
    , m_services(std::make_shared<ExecutorServices>())
    , m_election(currentInstant())
    , m_freshness(std::make_shared<SharedFreshness>(m_settings.keyRevocationBound))
    , m_freshnessKeeper(m_freshness, m_startedAt)
    , m_upstream(m_settings.upstreamService, m_settings.upstreamAddress)
    , m_trustsAnnouncements(m_settings.isFleetFirstStart) // there is no history
    , m_burstShare(m_startedAt, m_settings.isFleetFirstStart)
    , m_burstFrom(m_burstShare.availableFrom())
{
}

DirectoryControl::~DirectoryControl()
{
    m_timer.reset();
    m_drainTimer.reset();
    m_servers.clear();
    m_node.reset();
}

std::optional<Error> DirectoryControl::start()
{
    const StoreDialect& dialect = m_adapter ? m_adapter->store : nativeStoreDialect();
    m_store = std::make_unique<StoreClient>(m_settings.storeUrl, m_settings.storeTimeout, dialect);
    RelayIdentity identity { m_settings.fleetKey, m_settings.nodeName, m_incarnation };
    m_store->onNewEra([this](uint64_t era) {
        log(LogLevel::Warning, "store.restored", { { "era", era } });
        Instant now = currentInstant();
        m_needsRepair = true;
        m_departureStore->storeRestored();
        m_nextRepair = now + (m_election.isFirstWatcher(*m_directory, now) ? repairDelay : secondRepairDelay);
    });
    m_relay = std::make_unique<RelayClient>(
        m_task.context(), identity, m_settings.connectTimeout, m_settings.relayIdleTimeout);
    m_node = std::make_unique<Node>(
        m_settings, executorHooks(), [this] { return entryHooks(); }, m_incarnation);
    if (auto error = m_node->start())
        return error;
    m_directory = std::make_unique<NodeDirectory>(ownRecord());
    DepartureExchange::Options departureOptions { m_settings.nodeName, m_settings.location.region, m_incarnation };
    m_departures = std::make_unique<DepartureExchange>(
        departureOptions, *m_relay, *m_directory, m_random(), [this](const UpstreamDeparture& departure) {
            m_departureStore->keep(departure);
            if (m_upstream.applyDeparture(departure))
                applyUpstream();
        });
    DepartureStoreOptions storeOptions;
    storeOptions.kind = recordKind(m_settings.location.region);
    storeOptions.node = m_settings.nodeName;
    m_departureStore = std::make_unique<DepartureStore<StoreClient>>(
        *m_store, storeOptions, DepartureStore<StoreClient>::Clocks { &currentInstant, &currentWallTime }, m_random());
    m_configuration
        = std::make_unique<ConfigurationDriver<StoreClient>>(m_store.get(), *m_relay, m_random(), configurationHooks(),
            currentInstant(), syncSettings(), m_adapter ? m_adapter->configuration : ConfigurationFormat {});
    if (auto error = startServers())
        return error;
    registerNode();
    m_nextRegionRead = m_startedAt + (m_settings.isFleetFirstStart ? registrationGracePeriod : Duration {});
    readOwnRegion(currentInstant());
    m_timer = m_task.every(tickPeriod, [this] {
        tick();
        return true;
    });
    log(LogLevel::Info, "node.started",
        { { "node", m_settings.nodeName }, { "incarnation", toString(m_incarnation) },
            { "callers", m_node->callerPort() }, { "relay", m_node->relayAddress() }, { "admin", m_adminPort },
            { "gossip", "" }, { "service", m_settings.upstreamService } });
    return std::nullopt;
}

NodeRecord DirectoryControl::ownRecord() const
{
    NodeRecord record;
    record.name = m_settings.nodeName;
    record.incarnation = m_incarnation;
    record.startedAt = static_cast<uint64_t>(currentWallTime().time_since_epoch().count());
    record.relayAddress = m_node->relayAddress();
    record.location = m_settings.location;
    return record;
}

std::optional<Error> DirectoryControl::startServers()
{
    std::vector<ListenAddress> addresses { m_settings.adminListen };
    for (const auto& address : { m_settings.readinessListen, m_settings.metricsListen }) {
        if (address)
            addresses.push_back(*address);
    }
    for (const ListenAddress& address : addresses) {
        auto server = std::make_unique<AdminServer>(adminCallbacks());
        auto port = server->listen(address);
        if (!port)
            return port.error();
        if (m_servers.empty())
            m_adminPort = port.value();
        m_servers.push_back(std::move(server));
    }
    return std::nullopt;
}

ExecutorHooks DirectoryControl::executorHooks()
{
    ExecutorHooks hooks;
    if (m_adapter)
        hooks.headers = m_adapter->headers;
    hooks.rejectsWhenDegraded = true;
    hooks.freshness = m_freshness;
    hooks.running = m_running;
    hooks.started = [this](Task& task) { startExecutorServices(task); };
    hooks.stopped = [services = m_services] {
        services->timer.reset();
        services->suspects.reset();
        services->operations.reset();
        services->quota.reset();
    };
    hooks.operations = operationGate(m_services);
    hooks.token = [services = m_services](TokenQuery&& query, const std::function<void(TokenReply)>& reply) {
        reply(services->operations->issueToken(query));
    };
    hooks.crashes = crashGate([services = m_services] { return services->suspects.get(); });
    hooks.configuration = [this](ConfigurationQuery&& query, std::function<void(ConfigurationReply)> reply) {
        m_task.post([this, query = std::move(query), reply = std::move(reply)] {
            ConfigurationReply answer = m_configuration ? m_configuration->answer(query) : ConfigurationReply {};
            m_node->postToExecutor([answer = std::move(answer), reply] { reply(answer); });
        });
    };
    hooks.quota = [services = m_services](const QuotaQuery& query, const std::function<void(QuotaReply)>& reply) {
        reply(services->quota ? services->quota->answer(query, currentInstant()) : QuotaReply {});
    };
    hooks.upstreamLeaving = [this](const UpstreamEndpoint& endpoint) {
        m_task.post([this, instance = endpoint.instance, startedAt = endpoint.processStartedAt] {
            if (m_upstream.applyDeparture({ instance, startedAt }))
                applyUpstream();
        });
    };
    hooks.departures = [this](DepartureNotice&& notice, std::function<void(DepartureReply)> reply) {
        m_task.post([this, notice = std::move(notice), reply = std::move(reply)] {
            if (!m_departures)
                return;
            m_departures->onNotice(notice);
            m_node->postToExecutor([reply] { reply({}); });
        });
    };
    hooks.directory = [this](DirectoryNotice&& notice, std::function<void(DirectoryReply)> reply) {
        m_task.post([this, notice = std::move(notice), reply = std::move(reply)] {
            DirectoryReply answer = m_directory ? onNotice(notice) : DirectoryReply {};
            m_node->postToExecutor([answer = std::move(answer), reply] { reply(answer); });
        });
    };
    return hooks;
}

void DirectoryControl::startExecutorServices(Task& task)
{
    m_services->operations
        = std::make_unique<OperationService<StoreClient>>(m_incarnation, OperationLimits {}, nullptr);
    m_services->quota = std::make_unique<QuotaHome>(
        m_settings.nodeName, m_settings.location.region, m_settings.isFleetFirstStart, m_startedAt);
    CrashSuspectsHooks hooks;
    hooks.crashed = [](const std::string& upstream) {
        log(LogLevel::Warning, "upstream.crashed", { { "upstream", upstream } });
    };
    hooks.queryOfDeathFound = [](const ClosedRequest& request, uint32_t crashes) {
        log(LogLevel::Warning, "request.query_of_death",
            { { "service", request.service }, { "target", request.target }, { "crashes", crashes } });
    };
    hooks.refused = [] {};
    m_services->suspects = std::make_unique<CrashSuspects>(task,
        RelayIdentity { m_settings.fleetKey, m_settings.nodeName, m_incarnation }, m_settings.connectTimeout, hooks);
    m_services->timer = task.every(serviceTickPeriod, [services = m_services.get()] {
        services->operations->tickTable();
        return true;
    });
}

// The retry limits apply to the whole fleet, so each entry worker of each node gets a fraction of the burst. Calls that
// an upstream makes while it runs a retry also count as retries. They enter at the node beside it, which cannot tell
// them from its other requests, so each request is charged with the share of retries that run there.
EntryHooks DirectoryControl::entryHooks()
{
    constexpr double nodeFraction = 0.8; // the rest is for charges that exceed the budget of their node
    auto budgets = std::make_shared<std::map<std::string, RetryBudget>>();
    auto budgetOf = [this, budgets](const Service& service) -> RetryBudget& {
        double share = m_settings.retryShare > 0 ? m_settings.retryShare : service.retry.budgetShare;
        RetryBudget& budget = budgets->try_emplace(service.name, share * nodeFraction).first->second;
        uint32_t entries = m_nodeCount.load(std::memory_order_relaxed) * std::max(1U, m_settings.workers);
        budget.setShare(share * nodeFraction);
        budget.setBurst(nodeFraction * m_settings.retryBurst / entries);
        budget.withholdBurst(m_burstFrom.load(std::memory_order_relaxed));
        return budget;
    };
    EntryHooks hooks;
    if (m_adapter)
        hooks.headers = m_adapter->headers;
    hooks.offered = [budgetOf, running = m_running](const Service& service) {
        Instant now = currentInstant();
        RetryBudget& budget = budgetOf(service);
        budget.offered(now);
        budget.charge(running->retryShare(), now);
    };
    hooks.allowRetry = [this, budgetOf](const Service& service) {
        Instant now = currentInstant();
        RetryBudget& budget = budgetOf(service);
        bool isGranted = budget.tryAcquire(now);
        (isGranted ? m_retriesGranted : m_retriesDenied).add();
        if (!isGranted)
            log(LogLevel::Info, "retry.denied",
                { { "service", service.name }, { "available", budget.available(now) },
                    { "nodes", m_nodeCount.load(std::memory_order_relaxed) } });
        return isGranted;
    };
    hooks.configurationDigest = [this] { return m_configurationDigest.load(std::memory_order_relaxed); };
    hooks.freshness = m_freshness;
    hooks.quotaNodes = m_quotaNodes;
    return hooks;
}

ConfigurationHooks DirectoryControl::configurationHooks()
{
    ConfigurationHooks hooks;
    hooks.routesChanged = [this](const std::shared_ptr<const RouteTable>& routes, const std::shared_ptr<void>& inUse) {
        onRoutes(routes, inUse);
    };
    hooks.digestChanged = [this](uint64_t digest) {
        m_configurationDigest = digest;
        if (m_role != WatchRole::Watcher)
            return; // the change came from a watcher, which also notifies the other nodes
        notifyRegion({});
        m_nextRemoteNotice = {};
    };
    hooks.relayAddress = [this](std::string_view node) {
        const NodeRecord* record = m_directory->find(node);
        return record ? record->relayAddress : std::string();
    };
    hooks.freshness = m_freshness;
    hooks.accepted = [](const ConfigurationRecord&) {};
    hooks.refused = [](const ConfigurationRecord&, const std::string&) {};
    hooks.storeCallFinished = [this](bool isReachable) {
        if (m_isStoreReachable != isReachable)
            log(isReachable ? LogLevel::Info : LogLevel::Warning, isReachable ? "store.regained" : "store.lost");
        m_isStoreReachable = isReachable;
        if (!isReachable)
            m_watchBackoffUntil = currentInstant() + watchBackoff;
    };
    return hooks;
}

//-----------------------------------------------------------------------------
// [SECTION] Store
//-----------------------------------------------------------------------------

std::string DirectoryControl::recordKind(std::string_view region) const
{
    return std::string(recordKindPrefix) + std::string(region);
}

// After a lost answer, the next attempt gets a conflict if the first write succeeded, and replaceRecord() resolves it.
void DirectoryControl::registerNode()
{
    m_isRegistering = true;
    m_nextStoreAttempt = currentInstant() + storeRetryPeriod;
    m_store->put(recordKind(m_settings.location.region), m_settings.nodeName, toJson(m_directory->self()), 0,
        [this](const Result<uint64_t>& result) {
            m_isRegistering = false;
            if (result)
                m_recordVersion = result.value();
            else if (result.error().code == ErrorCode::Conflict)
                replaceRecord();
            else
                log(LogLevel::Warning, "directory.register", result.error());
        });
}

// The record exists already: either this process wrote it and lost the answer, or an earlier process of this node did.
void DirectoryControl::replaceRecord()
{
    m_isRegistering = true;
    std::string kind = recordKind(m_settings.location.region);
    m_store->get(kind, m_settings.nodeName, [this, kind](const Result<StoredObject>& stored) {
        m_isRegistering = false;
        if (!stored)
            return log(LogLevel::Warning, "directory.register", stored.error());
        if (auto record = parseNodeRecord(stored.value())) {
            if (record->incarnation == m_incarnation) {
                m_recordVersion = stored.value().version;
                return;
            }
            m_directory->merge(*record, currentInstant());
            // Its record would have been removed if it had been declared lost, so nobody has taken over its parts.
            postToQuota([now = currentInstant()](QuotaHome& home) { home.actFrom(now); });
        }
        m_isRegistering = true;
        m_store->put(kind, m_settings.nodeName, toJson(m_directory->self()), stored.value().version,
            [this](const Result<uint64_t>& result) {
                m_isRegistering = false;
                if (result)
                    m_recordVersion = result.value();
                else
                    log(LogLevel::Warning, "directory.register", result.error());
            });
    });
}

void DirectoryControl::readRegion(const std::string& region)
{
    bool isOwn = region == m_settings.location.region;
    m_store->list(recordKind(region), [this, region, isOwn](const Result<std::vector<StoredObject>>& result) {
        if (!result) {
            log(LogLevel::Warning, "directory.read", result.error(), { { "region", region } });
            (isOwn ? m_hasRequestedRegion : m_hasRequestedOtherRegions) = false;
            return;
        }
        std::vector<NodeRecord> records;
        for (const StoredObject& object : result.value()) {
            if (auto record = parseNodeRecord(object))
                records.push_back(std::move(*record));
        }
        if (m_directory->mergeAll(records, currentInstant()))
            directoryChanged();
        m_isRegionKnown = m_isRegionKnown || isOwn;
        updateQuotaNodes();
        if (!isOwn)
            return;
        loadDepartures(result.value());
        notifyRegion({ m_directory->self() });
        compareWithNeighbours();
    });
}

void DirectoryControl::readOwnRegion(Instant now)
{
    if (m_isStopping || m_hasRequestedRegion || now < m_nextRegionRead)
        return;
    m_hasRequestedRegion = true;
    m_nextRegionRead = now + storeRetryPeriod;
    readRegion(m_settings.location.region);
}

void DirectoryControl::readOtherRegions()
{
    m_hasRequestedOtherRegions = true;
    std::set<std::string> regions;
    for (const Location& it : m_settings.dataCentres)
        regions.insert(it.region);
    regions.erase(m_settings.location.region);
    for (const std::string& region : regions)
        readRegion(region);
}

void DirectoryControl::loadDepartures(std::span<const StoredObject> listed)
{
    for (const UpstreamDeparture& it : m_departureStore->load(listed)) {
        if (m_upstream.applyDeparture(it))
            applyUpstream();
    }
    m_departureStore->removeLeftovers(listed, [this](std::string_view node) {
        const NodeRecord* record = m_directory->find(node);
        return record && record->status != NodeStatus::Left;
    });
    trustAnnouncements();
}

void DirectoryControl::removeRecord(const std::string& region, const std::string& node)
{
    std::string kind = recordKind(region);
    m_store->get(kind, node, [this, kind, node](const Result<StoredObject>& stored) {
        if (!stored)
            return;
        const NodeRecord* known = m_directory->find(node);
        auto record = parseNodeRecord(stored.value());
        bool isReplaced = known && record && record->incarnation != known->incarnation;
        if (isReplaced)
            return; // a new process of this node has registered since
        m_store->remove(kind, node, stored.value().version, [](const Result<uint64_t>& result) {
            if (!result)
                log(LogLevel::Warning, "directory.remove", result.error());
        });
    });
}

// The version of the record may be of an earlier era, so it is read first.
void DirectoryControl::removeOwnRecord()
{
    std::string kind = recordKind(m_settings.location.region);
    m_store->get(kind, m_settings.nodeName, [this, kind](const Result<StoredObject>& stored) {
        auto record = stored ? parseNodeRecord(stored.value()) : std::nullopt;
        if (!record || record->incarnation != m_incarnation)
            return;
        m_store->remove(kind, m_settings.nodeName, stored.value().version, [](const Result<uint64_t>& result) {
            if (!result)
                log(LogLevel::Warning, "directory.remove", result.error());
        });
    });
}

void DirectoryControl::repairRecords(Instant now)
{
    bool isDue = m_needsRepair && m_isRegionKnown && m_role == WatchRole::Watcher && now >= m_nextRepair;
    if (!isDue || m_isStopping)
        return;
    m_needsRepair = false;
    m_nextRepair = now + storeRetryPeriod;
    m_store->list(recordKind(m_settings.location.region), [this](const Result<std::vector<StoredObject>>& result) {
        if (!result) {
            m_needsRepair = true;
            return log(
                LogLevel::Warning, "directory.read", result.error(), { { "region", m_settings.location.region } });
        }
        std::vector<ListedRecord> listed;
        bool isChanged = false;
        for (const StoredObject& object : result.value()) {
            auto record = parseNodeRecord(object);
            if (!record)
                continue;
            isChanged = m_directory->merge(*record, currentInstant()) || isChanged;
            listed.push_back({ std::move(*record), object.version });
        }
        if (isChanged)
            directoryChanged(); // with nodes that have registered since, and may have found nobody
        DirectoryRepair repair = planRepair(*m_directory, m_settings.location.region, listed, maxRepairChanges);
        m_needsRepair = m_needsRepair || repair.hasMore;
        writeRepair(repair);
    });
}

void DirectoryControl::writeRepair(const DirectoryRepair& repair)
{
    log(LogLevel::Info, "directory.repair",
        { { "written", repair.writes.size() }, { "removed", repair.removals.size() }, { "more", repair.hasMore } });
    // A conflict means that the node or another watcher has written the record meanwhile.
    auto finish = [this](const Result<uint64_t>& result) {
        if (result || result.error().code == ErrorCode::Conflict)
            return;
        log(LogLevel::Warning, "directory.repair", result.error());
        m_needsRepair = true;
    };
    std::string kind = recordKind(m_settings.location.region);
    for (const ListedRecord& it : repair.writes)
        m_store->put(kind, it.record.name, toJson(it.record), it.version, finish);
    for (const ListedRecord& it : repair.removals)
        m_store->remove(kind, it.record.name, it.version, finish);
}

//-----------------------------------------------------------------------------
// [SECTION] Peers
//-----------------------------------------------------------------------------

void DirectoryControl::send(const NodeRecord& peer, DirectoryNotice notice)
{
    notice.isWatching = m_role == WatchRole::Watcher && m_isStoreReachable;
    notice.configurationDigest = m_configurationDigest;
    Instant now = currentInstant();
    notice.proof = m_freshness->proof(now);
    notice.isWatcher = m_role == WatchRole::Watcher;
    if (auto it = m_echoes.find(peer.name); it != m_echoes.end())
        notice.echo = it->second;
    m_relay->query(
        peer.relayAddress, std::move(notice),
        [this, name = peer.name, now](const Result<RelayMessage>& result) { onReply(name, result, now); }, peerTimeout);
}

void DirectoryControl::compareWith(const NodeRecord& peer, std::vector<NodeRecord> records)
{
    DirectoryNotice notice = makeNotice(*m_directory, std::move(records));
    notice.requestsComparison = true;
    send(peer, std::move(notice));
}

void DirectoryControl::notifyRegion(const std::vector<NodeRecord>& records, bool requestsComparison)
{
    std::vector<NodeRecord> peers;
    m_directory->forEachLive([&](const NodeRecord& it) {
        if (it.location.region == m_settings.location.region && it.name != m_settings.nodeName)
            peers.push_back(it);
    });
    DirectoryNotice notice = makeNotice(*m_directory, records);
    notice.isForRegion = true;
    notice.requestsComparison = requestsComparison;
    for (const NodeRecord& peer : peers)
        send(peer, notice);
}

// Prefers nodes of the same data centre, since a directory is the largest message between nodes.
void DirectoryControl::compareWithNeighbours()
{
    std::vector<NodeRecord> near;
    std::vector<NodeRecord> others;
    m_directory->forEachLive([&](const NodeRecord& it) {
        if (it.name != m_settings.nodeName && it.location.region == m_settings.location.region)
            (it.location == m_settings.location ? near : others).push_back(it);
    });
    std::ranges::shuffle(near, m_random);
    std::ranges::shuffle(others, m_random);
    near.insert(near.end(), others.begin(), others.end());
    near.resize(std::min(near.size(), neighboursComparedAtStart));
    for (const NodeRecord& peer : near)
        compareWith(peer);
}

void DirectoryControl::compareWithLeftNodes()
{
    std::vector<NodeRecord> left;
    m_directory->forEachLeft([&](const NodeRecord& it) {
        if (it.location.region == m_settings.location.region)
            left.push_back(it);
    });
    for (const NodeRecord& peer : left)
        compareWith(peer);
}

void DirectoryControl::compareWithOtherRegions()
{
    std::map<std::string, std::vector<const NodeRecord*>> regions;
    m_directory->forEachLive([&](const NodeRecord& it) {
        if (it.location.region != m_settings.location.region)
            regions[it.location.region].push_back(&it);
    });
    std::vector<NodeRecord> chosen;
    chosen.reserve(regions.size());
    for (const auto& [region, nodes] : regions)
        chosen.push_back(*nodes[m_random() % nodes.size()]);
    for (const NodeRecord& peer : chosen)
        compareWith(peer);
}

void DirectoryControl::onReply(const std::string& peer, const Result<RelayMessage>& result, Instant askedAt)
{
    const auto* reply = result ? std::get_if<DirectoryReply>(&result.value()) : nullptr;
    if (!reply)
        return recordNoticeFailure(peer);
    Instant now = currentInstant();
    m_lastPeerContact = now;
    m_unresponsivePeers.erase(peer);
    m_freshness->received(reply->proof, askedAt);
    if (m_role == WatchRole::Watcher)
        recordContact(peer, askedAt);
    if (reply->question)
        m_echoes[peer] = reply->question;
    m_configuration->digestSeen(peer, reply->configurationDigest);
    ReplyResult outcome = handleReply(*m_directory, *reply, now);
    if (outcome.isChanged)
        directoryChanged();
    findSurvivors(peer, now);
    if (const NodeRecord* record = m_directory->find(peer); outcome.next && record)
        send(NodeRecord(*record), std::move(*outcome.next));
}

DirectoryReply DirectoryControl::onNotice(const DirectoryNotice& notice)
{
    Instant now = currentInstant();
    m_lastPeerContact = now;
    m_unresponsivePeers.erase(notice.sender);
    m_election.recordNotice(notice.sender, notice.isWatching, now);
    Question& question = m_questions[notice.sender];
    if (notice.echo && notice.echo == question.number) {
        m_freshness->received(notice.proof, question.askedAt);
        if (notice.isWatcher)
            recordContact(notice.sender, question.askedAt);
    }
    NoticeResult outcome = handleNotice(*m_directory, notice, now);
    if (outcome.isChanged)
        directoryChanged();
    findSurvivors(notice.sender, now);
    m_configuration->digestSeen(notice.sender, notice.configurationDigest);
    outcome.reply.configurationDigest = m_configurationDigest;
    outcome.reply.proof = m_freshness->proof(now);
    if (m_hasOrganisations) {
        question = { m_random(), now };
        outcome.reply.question = question.number;
    }
    return std::move(outcome.reply);
}

// Only watchers declare a node lost; the first of them also removes its record from the store.
void DirectoryControl::recordNoticeFailure(const std::string& peer)
{
    Instant now = currentInstant();
    UnresponsivePeer& unresponsive = m_unresponsivePeers.try_emplace(peer, UnresponsivePeer { now, 0 }).first->second;
    ++unresponsive.failures;
    // A node that has heard no peer lately may itself be partitioned and must not declare others lost.
    bool hasRecentContact = now - m_lastPeerContact < noticePeriod * 2;
    bool isLost = unresponsive.failures >= failedNoticesUntilLost && now - unresponsive.since >= lostNodeTimeout;
    if (!isLost || !hasRecentContact || m_role != WatchRole::Watcher)
        return;
    const NodeRecord* record = m_directory->find(peer);
    if (!record || record->status == NodeStatus::Left)
        return;
    NodeRecord lostNode = *record;
    log(LogLevel::Warning, "node.lost",
        { { "peer", peer }, { "notices", unresponsive.failures },
            { "silent_ms", std::chrono::duration_cast<std::chrono::milliseconds>(now - unresponsive.since).count() } });
    m_unresponsivePeers.erase(peer);
    m_questions.erase(peer);
    m_echoes.erase(peer);
    if (!m_directory->markLeft(peer, now))
        return;
    directoryChanged();
    notifyRegion({ *m_directory->find(peer) });
    if (m_election.isFirstWatcher(*m_directory, now))
        removeRecord(lostNode.location.region, peer);
}

void DirectoryControl::postToQuota(std::function<void(QuotaHome&)> function)
{
    m_node->postToExecutor([services = m_services, function = std::move(function)] {
        if (services->quota)
            function(*services->quota);
    });
}

void DirectoryControl::recordContact(const std::string& peer, Instant askedAt)
{
    const NodeRecord* record = m_directory->find(peer);
    if (m_hasOrganisations && record && record->location.region == m_settings.location.region)
        postToQuota([askedAt](QuotaHome& home) { home.contacted(askedAt); });
}

void DirectoryControl::updateQuotaNodes()
{
    bool isRegionKnown = m_isRegionKnown || m_lastPeerContact > Instant {};
    if (!m_hasOrganisations || !isRegionKnown)
        return;
    std::vector<QuotaNode> nodes;
    m_directory->forEachLive([&](const NodeRecord& it) {
        nodes.push_back({ it.name, it.location.region, it.relayAddress });
    });
    if (nodes == m_lastQuotaNodes)
        return;
    m_lastQuotaNodes = nodes;
    std::set<std::string> regions;
    for (const Location& it : m_settings.dataCentres)
        regions.insert(it.region);
    auto shared = std::make_shared<const QuotaNodes>(std::move(nodes), regions.size(), quotaTerms(m_settings));
    m_quotaNodes->set(shared);
    postToQuota([shared, now = currentInstant()](QuotaHome& home) { home.setNodes(shared, now); });
}

void DirectoryControl::directoryChanged()
{
    recordFleetSize(currentInstant());
    updateQuotaNodes();
    m_node->setCandidates(std::make_shared<const CandidateList>(m_directory->candidates()));
    CrashSuspects::Peers peers;
    peers[m_settings.upstreamService];
    m_directory->forEachLive([&](const NodeRecord& record) {
        for (const UpstreamRecord& it : record.upstreams) {
            if (it.service == m_settings.upstreamService && record.incarnation != m_incarnation)
                peers[it.service].insert(record.relayAddress);
        }
    });
    m_node->postToExecutor([services = m_services, peers = std::move(peers)] {
        if (services->suspects)
            services->suspects->setPeers(peers);
    });
}

void DirectoryControl::recordFleetSize(Instant now)
{
    m_burstShare.record(static_cast<uint32_t>(m_directory->liveCount()), now);
    m_burstFrom = m_burstShare.availableFrom();
    m_nodeCount = m_burstShare.nodes();
}

void DirectoryControl::sendNotices(Instant now)
{
    bool isIsolated = now - std::max(m_lastPeerContact, m_startedAt) > isolationTimeout;
    if (m_role == WatchRole::Watcher && now >= m_nextNotice) {
        m_nextNotice = now + noticePeriod;
        notifyRegion(m_directory->takeUnshared(), true);
        compareWithLeftNodes();
    } else if (m_role != WatchRole::Watcher && isIsolated && now >= m_nextNotice) {
        m_nextNotice = now + isolationTimeout;
        std::vector<NodeRecord> all = m_directory->records();
        std::erase_if(all, [&](const NodeRecord& it) { return it.name == m_settings.nodeName; });
        std::vector<NodeRecord> chosen;
        std::ranges::sample(all, std::back_inserter(chosen), peersComparedWhenIsolated, m_random);
        for (const NodeRecord& peer : chosen)
            compareWith(peer, { m_directory->self() });
    }
    if (m_role == WatchRole::Watcher && now >= m_nextRemoteNotice) {
        m_nextRemoteNotice = now + remoteNoticePeriod;
        compareWithOtherRegions();
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Events
//-----------------------------------------------------------------------------

void DirectoryControl::tick()
{
    Instant now = currentInstant();
    m_directory->tick(now);
    recordFleetSize(now);
    if (!m_isStopping && !m_isRegistering && !m_recordVersion && now >= m_nextStoreAttempt)
        registerNode();
    readOwnRegion(now);
    updateWatchRole(now);
    repairRecords(now);
    if (m_role == WatchRole::Watcher && !m_hasRequestedOtherRegions && now >= m_nextStoreAttempt) {
        m_nextStoreAttempt = now + storeRetryPeriod;
        readOtherRegions();
    }
    bool mayReadStore
        = m_role == WatchRole::Watcher || m_configuration->isReady() || now - m_startedAt > storeFallbackDelay;
    if (mayReadStore)
        m_configuration->tick();
    if (m_configuration->isReady() && m_freshnessKeeper.update(now))
        m_configuration->readStore();
    m_departures->tick(now);
    m_departureStore->tick();
    recoverDepartures(now);
    sendNotices(now);
}

void DirectoryControl::updateWatchRole(Instant now)
{
    bool isDiscoveringRegion = now - m_startedAt < registrationGracePeriod * 2 && !m_isRegionKnown;
    bool isBackingOff = now < m_watchBackoffUntil && !m_election.isFirstWatcher(*m_directory, now);
    bool shouldWatch
        = !m_isStopping && !isDiscoveringRegion && !isBackingOff && m_election.shouldWatch(*m_directory, now);
    WatchRole role = shouldWatch ? WatchRole::Watcher : WatchRole::None;
    if (role == m_role)
        return;
    m_role = role;
    log(LogLevel::Info, "store.watch", { { "node", m_settings.nodeName }, { "watching", shouldWatch } });
    m_configuration->setRole(role);
}

// An announcement that the upstream leaves is acknowledged once the departure is kept; any other one at once.
void DirectoryControl::onAnnouncement(const Announcement& announcement, const AdminReply& reply)
{
    Result<void> result = applyAnnouncement(announcement);
    bool isDeparture = announcement.state == UpstreamState::Draining && !announcement.instance.empty()
        && announcement.processStartedAt;
    if (!result || !isDeparture)
        return reply(result);
    UpstreamDeparture departure { announcement.instance, announcement.processStartedAt };
    if (m_upstream.applyDeparture(departure))
        applyUpstream();
    m_departures->share(departure);
    m_departureStore->keep(departure, reply);
}

Result<void> DirectoryControl::applyAnnouncement(const Announcement& announcement)
{
    if (m_isStopping)
        return Error { ErrorCode::Unavailable, "announce", announcement.name, "this node is shutting down" };
    ReportResult reportResult
        = m_upstream.applyReport({ announcement.instance, announcement.service, announcement.address,
            announcement.processStartedAt, announcement.sequence, announcement.slots, announcement.state });
    if (reportResult == ReportResult::Foreign) {
        log(LogLevel::Warning, "upstream.foreign",
            { { "upstream", announcement.name }, { "service", announcement.service },
                { "address", announcement.address } });
        return Error { ErrorCode::Invalid, "announce", announcement.name,
            "service or address differs from this node's upstream" };
    }
    if (reportResult == ReportResult::Outdated)
        log(LogLevel::Info, "upstream.outdated",
            { { "upstream", announcement.name }, { "sequence", announcement.sequence } });
    else
        applyUpstream();
    return boost::outcome_v2::success();
}

void DirectoryControl::onDeparture(const Departure& departure, const AdminReply& reply)
{
    auto now = static_cast<uint64_t>(currentWallTime().time_since_epoch().count());
    UpstreamDeparture left = m_upstream.departureOf(departure.instance, departure.processStartedAt, now);
    if (m_upstream.applyDeparture(left))
        applyUpstream();
    else
        log(LogLevel::Info, "upstream.departure_unknown", { { "upstream", departure.instance } });
    m_departures->share(left);
    m_departureStore->keep(left, reply);
}

void DirectoryControl::recoverDepartures(Instant now)
{
    if (m_trustsAnnouncements)
        return;
    bool haveSurvivorsAnswered = m_survivorsToldAt && now - *m_survivorsToldAt >= departureReturnTime;
    if (haveSurvivorsAnswered) {
        log(LogLevel::Info, "upstream.departures_from_peers", { { "node", m_settings.nodeName } });
        trustAnnouncements();
    } else if (now - m_startedAt >= announcementDelayLimit) {
        // Announcements that have arrived so far may be from before a departure, so the next one decides.
        log(LogLevel::Warning, "upstream.departures_unknown", { { "node", m_settings.nodeName } });
        m_trustsAnnouncements = true;
    }
}

void DirectoryControl::findSurvivors(const std::string& peer, Instant now)
{
    const NodeRecord* record = m_directory->find(peer);
    const NodeRecord& self = m_directory->self();
    bool isSurvivor = record && record->location.region == self.location.region
        && record->startedAt + static_cast<uint64_t>(survivorAge.count()) <= self.startedAt;
    if (m_trustsAnnouncements || m_survivorsToldAt || !isSurvivor)
        return;
    m_survivorsToldAt = now;
    notifyRegion({ self });
}

void DirectoryControl::trustAnnouncements()
{
    m_trustsAnnouncements = true;
    if (m_upstream.current())
        applyUpstream();
}

// Other nodes know the upstream by the name of its node, which stays the same when the process is replaced.
void DirectoryControl::applyUpstream()
{
    const UpstreamReport& report = *m_upstream.current();
    // Without its history, this node cannot tell whether the announcement is one from before a departure.
    bool isUncertain = !m_trustsAnnouncements && report.state != UpstreamState::Draining;
    if (isUncertain)
        return;
    if (auto departure = m_upstream.currentDeparture()) {
        m_departures->share(*departure);
        m_departureStore->keep(*departure);
    }
    m_node->setUpstream({ m_settings.nodeName, report.service, report.address, report.slots, report.state,
        report.instance, report.processStartedAt });
    UpstreamRecord record { m_settings.nodeName, report.service, report.slots, report.state, 0, 1 };
    std::vector<UpstreamRecord> upstreams { record };
    if (m_directory->self().upstreams == upstreams)
        return;
    log(LogLevel::Info, "upstream.state",
        { { "upstream", report.instance }, { "service", report.service }, { "to", toString(report.state) },
            { "slots", report.slots }, { "sequence", report.sequence } });
    m_directory->update([&](NodeRecord& own) { own.upstreams = upstreams; });
    directoryChanged();
    notifyRegion({ m_directory->self() });
}

void DirectoryControl::onRoutes(const std::shared_ptr<const RouteTable>& routes, const std::shared_ptr<void>& inUse)
{
    m_node->setRoutes(routes, inUse);
    m_node->postToExecutor([services = m_services, routes] {
        if (services->operations)
            services->operations->setRoutes(routes);
        if (services->quota)
            services->quota->setRoutes(routes, currentInstant());
    });
    m_hasOrganisations = !routes->organisations().isEmpty();
    updateQuotaNodes();
}

//-----------------------------------------------------------------------------
// [SECTION] Graceful shutdown
//-----------------------------------------------------------------------------

void DirectoryControl::stop(std::function<void()> done)
{
    if (std::exchange(m_isStopping, true))
        return;
    log(LogLevel::Info, "node.stopping", { { "node", m_settings.nodeName } });
    m_stopDone = std::move(done);
    m_directory->update([](NodeRecord& own) {
        own.status = NodeStatus::Left;
        own.upstreams.clear();
    });
    m_node->postToExecutor([services = m_services] { services->quota.reset(); });
    notifyRegion({ m_directory->self() });
    if (m_recordVersion)
        m_store->remove(recordKind(m_settings.location.region), m_settings.nodeName, m_recordVersion,
            [this](const Result<uint64_t>& result) {
                if (result)
                    return;
                log(LogLevel::Warning, "directory.remove", result.error());
                if (result.error().code == ErrorCode::Conflict)
                    removeOwnRecord();
            });
    m_node->stop([this] { m_task.post([this] { finishStop("every request in flight has ended"); }); });
    if (m_settings.drainTimeout > Duration {}) {
        m_drainTimer = m_task.every(m_settings.drainTimeout, [this] {
            finishStop("the drain limit has passed with requests in flight");
            return false;
        });
    }
}

void DirectoryControl::finishStop(const std::string& reason)
{
    if (std::exchange(m_isStopped, true))
        return;
    log(LogLevel::Info, "node.stopped", { { "node", m_settings.nodeName }, { "reason", reason } });
    m_stopDone();
}

//-----------------------------------------------------------------------------
// [SECTION] Views for operators
//-----------------------------------------------------------------------------

AdminCallbacks DirectoryControl::adminCallbacks()
{
    AdminCallbacks callbacks;
    callbacks.isHealthy = [this] { return !m_isStopping && m_configuration->isReady(); };
    callbacks.metrics = [this] { return metricsPage(); };
    callbacks.status = [this] { return statusJson(); };
    callbacks.announce
        = [this](const Announcement& announcement, const AdminReply& reply) { onAnnouncement(announcement, reply); };
    callbacks.depart = [this](const Departure& departure, const AdminReply& reply) { onDeparture(departure, reply); };
    callbacks.operations = [] { return std::string("[]"); };
    callbacks.resolve = [](const Resolution& resolution) -> Result<void> {
        return Error { ErrorCode::NotFound, "operations.resolve", resolution.operation, "" };
    };
    if (m_adapter)
        callbacks.decodeCall = m_adapter->decodeCall;
    return callbacks;
}

std::string DirectoryControl::metricsPage()
{
    auto set = [this](const char* name, const char* help, double value) { m_metrics.gauge(name, help).set(value); };
    set("members_live_count", "Nodes taken for live, this one included.",
        static_cast<double>(m_directory->liveCount()));
    set("configuration_store_calls_count", "Calls to the store for configuration since the start.",
        static_cast<double>(m_configuration->storeCalls()));
    set("store_watching_count", "1 while this node watches the store.", m_role == WatchRole::Watcher ? 1 : 0);
    set("relay_dropped_count", "Relay connections closed because of invalid input.",
        static_cast<double>(m_node->relayDropCount()));
    set("configuration_age_ms", "Age of the news that the configuration is the newest; -1: none.",
        static_cast<double>(m_freshnessKeeper.ageMs(currentInstant())));
    setRunningMetrics(m_metrics, *m_running);
    set("departures_unacknowledged_count", "Departures of the upstream whose acknowledgement waits for the store.",
        static_cast<double>(m_departureStore->waitingCount()));
    set("log_lines_dropped_count", "Log lines dropped since the start.", static_cast<double>(droppedLogLines()));
    return m_metrics.print();
}

std::string DirectoryControl::statusJson() const
{
    Json documents = Json::array();
    for (const ConfigurationRecord& record : m_configuration->ledger().held())
        documents.push_back({ { "name", record.name }, { "version", revisionOf(record.version) } });
    Json members = Json::array();
    m_directory->forEachLive([&](const NodeRecord& record) { members.push_back(toStatusJson(record)); });
    Json status { { "node", m_settings.nodeName }, { "incarnation", toString(m_incarnation) },
        { "ready", m_configuration->isReady() }, { "stopping", m_isStopping }, { "configuration", documents },
        { "members", members } };
    return status.dump();
}

} // namespace Gooseberrymill

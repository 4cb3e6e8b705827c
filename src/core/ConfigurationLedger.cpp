#include "ConfigurationLedger.h"

#include "StoreHistory.h"

#include <algorithm>
#include <xxhash.h>

namespace Gooseberrymill {

//-----------------------------------------------------------------------------
// [SECTION] Ledger
//-----------------------------------------------------------------------------

bool isNewer(const ConfigurationRecord& a, const ConfigurationRecord& b)
{
    if (a.changeNumber && b.changeNumber)
        return a.changeNumber > b.changeNumber;
    return revisionOf(a.version) > revisionOf(b.version); // other nodes do not transmit the era
}

bool ConfigurationLedger::updateIfNewer(const ConfigurationRecord& record)
{
    if (!isNewerThanHeld(record))
        return false;
    m_documents[record.name] = record;
    updateDigest();
    return true;
}

uint64_t ConfigurationLedger::version(std::string_view name) const
{
    const ConfigurationRecord* record = find(name);
    return record ? record->version : 0;
}

bool ConfigurationLedger::isNewerThanHeld(const ConfigurationRecord& record) const
{
    if (!record.version)
        return false; // removed from the store
    const ConfigurationRecord* held = find(record.name);
    return !held || isNewer(record, *held);
}

const ConfigurationRecord* ConfigurationLedger::find(std::string_view name) const
{
    auto it = m_documents.find(name);
    return it == m_documents.end() ? nullptr : &it->second;
}

uint64_t ConfigurationLedger::stamp() const
{
    uint64_t stamp = 0;
    for (const auto& [name, record] : m_documents)
        stamp += record.changeNumber;
    return stamp;
}

std::vector<ConfigurationRecord> ConfigurationLedger::held() const
{
    std::vector<ConfigurationRecord> records;
    for (const auto& [name, record] : m_documents)
        records.push_back({ name, record.version, record.changeId, {}, {}, record.changeNumber });
    return records;
}

ConfigurationReply ConfigurationLedger::newerThan(const ConfigurationQuery& query) const
{
    ConfigurationReply reply;
    for (const auto& [name, record] : m_documents) {
        auto it = std::ranges::find(query.held, name, &ConfigurationRecord::name);
        if (it == query.held.end() || isNewer(record, *it))
            reply.newer.push_back(record);
    }
    return reply;
}

void ConfigurationLedger::updateDigest()
{
    m_digest = 0;
    for (const auto& [name, record] : m_documents) {
        uint64_t number = record.changeNumber ? record.changeNumber : revisionOf(record.version);
        uint64_t hash = XXH64(name.data(), name.size(), number);
        m_digest = XXH64(&hash, sizeof(hash), m_digest);
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Watchers
//-----------------------------------------------------------------------------

WatchRole chooseWatchRole(const Membership& membership)
{
    const NodeRecord& self = membership.self();
    if (self.status != NodeStatus::Alive)
        return WatchRole::None;
    const std::string& dataCentre = self.location.dataCentre;
    auto weight = [&](const std::string& name) {
        return XXH64(name.data(), name.size(), XXH64(dataCentre.data(), dataCentre.size(), 0));
    };
    uint64_t ownWeight = weight(self.name);
    size_t liveRank = 0;
    size_t rank = 0;
    membership.forEach([&](const NodeRecord& node) {
        if (node.location.dataCentre != dataCentre || node.status == NodeStatus::Left || weight(node.name) <= ownWeight)
            return;
        ++rank;
        liveRank += node.status != NodeStatus::Dead;
    });
    if (liveRank >= watchersPerDataCentre)
        return WatchRole::None;
    return rank < maxWatcherRank ? WatchRole::Watcher : WatchRole::Poller;
}

std::vector<std::string> choosePeersToQuery(const Membership& membership, size_t perDataCentre, std::mt19937_64& random)
{
    std::map<std::string, std::vector<std::string>> groups;
    membership.forEach([&](const NodeRecord& node) {
        if (node.status == NodeStatus::Alive && node.name != membership.self().name)
            groups[node.location.dataCentre].push_back(node.name);
    });
    std::vector<std::string> peers;
    for (auto& [dataCentre, names] : groups)
        std::ranges::sample(names, std::back_inserter(peers), static_cast<std::ptrdiff_t>(perDataCentre), random);
    return peers;
}

//-----------------------------------------------------------------------------
// [SECTION] Synchronisation
//-----------------------------------------------------------------------------

ConfigurationSync::ConfigurationSync(ConfigurationSyncSettings settings, uint64_t seed, Instant now)
    : m_settings(settings)
    , m_random(seed)
    , m_bootstrapDeadline(now + settings.bootstrapTimeout)
{
}

Duration ConfigurationSync::jitter(Duration limit)
{
    return Duration(static_cast<int64_t>(m_random() % static_cast<uint64_t>(limit.count() + 1)));
}

void ConfigurationSync::start(std::span<const std::string> peers, Instant now)
{
    m_peers.assign(peers.begin(), peers.end());
    std::ranges::shuffle(m_peers, m_random);
    m_bootstrapDeadline = now + m_settings.bootstrapTimeout;
    // Keeps the nodes of a data centre that start together from reading at the same instant.
    m_nextReadAt = now + jitter(m_settings.initialReadJitter);
    queryNextPeers(now);
}

void ConfigurationSync::roleChanged(WatchRole role, Instant now)
{
    if (role == m_role)
        return;
    bool wasNone = m_role == WatchRole::None;
    m_role = role;
    if (role != WatchRole::Watcher)
        m_watches.clear();
    if (role != WatchRole::None && wasNone)
        m_nextReadAt = now + jitter(m_settings.initialReadJitter);
    else if (role == WatchRole::None && !m_isBootstrapping)
        m_nextReadAt.reset();
}

void ConfigurationSync::digestSeen(std::string_view peer, uint64_t digest, Instant now)
{
    if (digest && digest != m_ledger.digest())
        queryPeer(peer, now);
}

void ConfigurationSync::queryPeer(std::string_view peer, Instant now)
{
    size_t open = 0;
    for (const PeerQuery& it : m_peerQueries) {
        if (it.peer == peer)
            return; // queried less than `peerQueryInterval` ago, or the answer is still pending
        open += it.isPending;
    }
    if (open >= m_settings.maxPeerQueries)
        return;
    m_peerQueries.push_back({ std::string(peer), now });
    m_actions.emplace_back(QueryPeer { std::string(peer), { m_ledger.held() } });
}

// Queries up to `maxPeerQueries` of the peers passed to start().
void ConfigurationSync::queryNextPeers(Instant now)
{
    for (size_t i = 0; i < m_peers.size() && i < m_settings.maxPeerQueries; ++i)
        queryPeer(m_peers[i], now);
    // The next call queries other peers.
    auto n = static_cast<std::ptrdiff_t>(std::min(m_peers.size(), m_settings.maxPeerQueries));
    std::rotate(m_peers.begin(), m_peers.begin() + n, m_peers.end());
}

void ConfigurationSync::peerAnswered(std::string_view peer, const ConfigurationReply& reply, Instant now)
{
    for (const ConfigurationRecord& it : reply.newer)
        considerDocument(it);
    peerFailed(peer, now);
}

void ConfigurationSync::peerFailed(std::string_view peer, Instant now)
{
    auto it = std::ranges::find(m_peerQueries, peer, &PeerQuery::peer);
    if (it != m_peerQueries.end())
        it->isPending = false;
    tryEndBootstrap(now);
    applyPendingDocuments();
}

void ConfigurationSync::startRead(Instant now)
{
    m_readStartedAt = now;
    m_nextReadAt.reset();
    ++m_storeCalls;
    m_actions.emplace_back(ReadStore {});
}

void ConfigurationSync::readSoon(Instant now)
{
    if (!m_readStartedAt)
        startRead(now);
}

void ConfigurationSync::recordStoreResponse()
{
    m_isStoreLost = false;
    m_missingResponses = 0;
}

bool ConfigurationSync::recordMissingResponse() { return ++m_missingResponses == 1 && m_settings.reopensWatch; }

void ConfigurationSync::storeAnswered(std::span<const ConfigurationRecord> documents, Instant now)
{
    recordStoreResponse();
    m_readStartedAt.reset();
    m_hasStoreAnswer = true;
    for (const ConfigurationRecord& it : documents) {
        if (const ConfigurationRecord* held = m_ledger.find(it.name); held && isNewer(*held, it))
            ++m_staleReads; // from a store replica that lags behind, or a store restored from a backup
        considerStored(it);
    }
    if (m_role == WatchRole::Watcher)
        startMissingWatches(documents, now);
    if (m_role != WatchRole::None) {
        Duration period = m_role == WatchRole::Watcher ? m_settings.readPeriod : m_settings.pollPeriod;
        if (documents.empty() && !isReady())
            period = std::min(period, m_settings.unavailableBackoff); // nothing to watch yet
        m_nextReadAt = now + period + jitter(m_settings.readJitter);
    }
    tryEndBootstrap(now);
    applyPendingDocuments();
}

// A document in force is also watched while the store lacks it, since a restored store gets it again later.
void ConfigurationSync::startMissingWatches(std::span<const ConfigurationRecord> stored, Instant now)
{
    std::vector<ConfigurationRecord> documents = m_ledger.held();
    documents.insert(documents.end(), stored.begin(), stored.end());
    for (const ConfigurationRecord& it : documents) {
        if (!m_watches.contains(it.name))
            startWatch(it.name, now);
    }
}

void ConfigurationSync::storeFailed(Instant now, ReadFailure failure)
{
    m_readStartedAt.reset();
    bool repeats = failure == ReadFailure::NoResponse && recordMissingResponse();
    if (!repeats)
        m_isStoreLost = true;
    if (m_role == WatchRole::None && isReady())
        return;
    m_nextReadAt = repeats ? now : now + m_settings.unavailableBackoff + jitter(m_settings.readJitter);
}

// Watches a document from the newest version that the store has returned of it, applied or not.
void ConfigurationSync::startWatch(const std::string& name, Instant now)
{
    m_watches[name] = now;
    ++m_storeCalls;
    uint64_t version = m_storeVersions[name];
    m_actions.emplace_back(WatchStore { name, version, m_settings.watchTimeout });
}

void ConfigurationSync::watchAnswered(
    std::string_view name, const std::optional<ConfigurationRecord>& document, Instant now, WatchEnd end)
{
    auto it = m_watches.find(name);
    if (it != m_watches.end())
        m_watches.erase(it);
    bool repeats = end == WatchEnd::NoResponse && recordMissingResponse();
    bool isAnswered = end == WatchEnd::Unchanged || end == WatchEnd::HistoryGone;
    if (isAnswered)
        recordStoreResponse();
    else if (!repeats)
        m_isStoreLost = true;
    if (document)
        considerStored(*document);
    applyPendingDocuments();
    // After a watch that returned no higher version, the next read opens a new one. Opening it here would loop without
    // end if the store kept answering immediately.
    if (m_role != WatchRole::Watcher)
        return;
    bool hasNewVersion = document && m_ledger.isNewerThanHeld(*document);
    bool endedNormally = m_settings.reopensWatch && !document && end == WatchEnd::Unchanged;
    if (hasNewVersion || endedNormally || repeats)
        startWatch(std::string(name), now);
    else if (m_settings.reopensWatch && !m_readStartedAt)
        m_nextReadAt = end == WatchEnd::HistoryGone
            ? now
            : std::min(m_nextReadAt.value_or(Instant::max()),
                now + m_settings.unavailableBackoff + jitter(m_settings.readJitter));
}

// Handles a document that the store returned.
void ConfigurationSync::considerStored(const ConfigurationRecord& document)
{
    uint64_t& version = m_storeVersions[document.name];
    version = std::max(version, document.version);
    reportIfOutdated(document);
    considerDocument(document);
}

void ConfigurationSync::reportIfOutdated(const ConfigurationRecord& document)
{
    auto withoutText = [](const ConfigurationRecord& it) {
        return ConfigurationRecord { it.name, it.version, it.changeId, it.author, {} };
    };
    const ConfigurationRecord* inForce = m_ledger.find(document.name);
    if (!inForce || isNewer(document, *inForce) || document.changeId == inForce->changeId)
        return;
    ConfigurationRecord& last = m_outdated[document.name];
    if (last.version == document.version && last.changeId == document.changeId)
        return;
    last = withoutText(document);
    m_actions.emplace_back(ReportOutdated { last, withoutText(*inForce) });
}

// Queues a document to be applied if it is newer than those in force, rejected and queued.
void ConfigurationSync::considerDocument(const ConfigurationRecord& document)
{
    if (!m_ledger.isNewerThanHeld(document))
        return;
    if (auto it = m_rejected.find(document.name); it != m_rejected.end() && !isNewer(document, it->second))
        return;
    auto [it, isFirst] = m_pendingDocuments.try_emplace(document.name, document);
    if (!isFirst && isNewer(document, it->second))
        it->second = document;
}

void ConfigurationSync::applyPendingDocuments()
{
    if (m_isBootstrapping)
        return;
    for (auto& [name, document] : std::exchange(m_pendingDocuments, {}))
        m_actions.emplace_back(ApplyDocument { document });
}

// A restarted node waits for the answers of the store and of the peers that it queried, up to `bootstrapTimeout`.
// Otherwise it would apply the first answer although a later one may bring a higher version.
void ConfigurationSync::tryEndBootstrap(Instant now)
{
    if (!m_isBootstrapping)
        return;
    bool allAnswered = m_hasStoreAnswer && std::ranges::none_of(m_peerQueries, &PeerQuery::isPending);
    if (m_pendingDocuments.empty() || (!allAnswered && now < m_bootstrapDeadline))
        return;
    m_isBootstrapping = false;
    if (m_role == WatchRole::None)
        m_nextReadAt.reset();
}

void ConfigurationSync::accepted(const ConfigurationRecord& document, Instant)
{
    if (m_ledger.updateIfNewer(document))
        m_actions.emplace_back(AnnounceDigest { m_ledger.digest() });
}

void ConfigurationSync::rejected(const ConfigurationRecord& document, Instant)
{
    auto [it, isFirst] = m_rejected.try_emplace(document.name, document);
    if (!isFirst && isNewer(document, it->second))
        it->second = document;
    if (!isReady())
        m_isBootstrapping = true;
}

void ConfigurationSync::tick(Instant now)
{
    std::erase_if(m_peerQueries, [&](const PeerQuery& it) {
        return now - it.at >= (it.isPending ? m_settings.peerTimeout : m_settings.peerQueryInterval);
    });
    if (m_readStartedAt && now - *m_readStartedAt >= m_settings.readTimeout) {
        m_readStartedAt.reset();
        m_nextReadAt = now;
    }
    bool mayRead = m_role != WatchRole::None || m_isBootstrapping;
    if (m_nextReadAt && now >= *m_nextReadAt && mayRead)
        startRead(now);
    if (m_isBootstrapping) {
        if (!m_readStartedAt && !m_nextReadAt)
            m_nextReadAt = now + m_settings.unavailableBackoff + jitter(m_settings.readJitter);
        if (m_peerQueries.empty())
            queryNextPeers(now);
    }
    // A watch that is still pending well after its timeout fell silent without closing. The next read opens a new one.
    std::erase_if(
        m_watches, [&](const auto& it) { return now - it.second >= m_settings.watchTimeout + m_settings.readPeriod; });
    tryEndBootstrap(now);
    applyPendingDocuments();
}

} // namespace Gooseberrymill

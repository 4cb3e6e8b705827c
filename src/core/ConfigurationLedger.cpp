#include "ConfigurationLedger.h"

#include <algorithm>
#include <xxhash.h>

namespace Gooseberrymill {

//-----------------------------------------------------------------------------
// [SECTION] Ledger
//-----------------------------------------------------------------------------

bool ConfigurationLedger::updateIfNewer(const ConfigurationRecord& record)
{
    if (record.version <= version(record.name))
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

const ConfigurationRecord* ConfigurationLedger::find(std::string_view name) const
{
    auto it = m_documents.find(name);
    return it == m_documents.end() ? nullptr : &it->second;
}

std::vector<ConfigurationRecord> ConfigurationLedger::held() const
{
    std::vector<ConfigurationRecord> records;
    for (const auto& [name, record] : m_documents)
        records.push_back({ name, record.version, record.changeId, {}, {} });
    return records;
}

ConfigurationReply ConfigurationLedger::newerThan(const ConfigurationQuery& query) const
{
    ConfigurationReply reply;
    for (const auto& [name, record] : m_documents) {
        auto it = std::ranges::find(query.held, name, &ConfigurationRecord::name);
        if (it == query.held.end() || it->version < record.version)
            reply.newer.push_back(record);
    }
    return reply;
}

void ConfigurationLedger::updateDigest()
{
    m_digest = 0;
    for (const auto& [name, record] : m_documents) {
        uint64_t hash = XXH64(name.data(), name.size(), record.version);
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
    uint64_t own = weight(self.name);
    size_t liveRank = 0;
    size_t rank = 0;
    membership.forEach([&](const NodeRecord& node) {
        if (node.location.dataCentre != dataCentre || node.status == NodeStatus::Left || weight(node.name) <= own)
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
    , m_gatherUntil(now + settings.bootstrapTimeout)
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
    m_gatherUntil = now + m_settings.bootstrapTimeout;
    // A data centre that starts as a whole must not read at one instant.
    m_nextRead = now + jitter(m_settings.initialReadJitter);
    askSome(now);
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
        m_nextRead = now + jitter(m_settings.initialReadJitter);
    else if (role == WatchRole::None && !m_isGathering)
        m_nextRead.reset();
}

void ConfigurationSync::digestSeen(std::string_view peer, uint64_t digest, Instant now)
{
    if (digest && digest != m_ledger.digest())
        ask(peer, now);
}

void ConfigurationSync::ask(std::string_view peer, Instant now)
{
    size_t open = 0;
    for (const Ask& it : m_asks) {
        if (it.peer == peer)
            return; // asked a moment ago
        open += it.isOpen;
    }
    if (open >= m_settings.maxAsks)
        return;
    m_asks.push_back({ std::string(peer), now });
    m_actions.emplace_back(QueryPeer { std::string(peer), { m_ledger.held() } });
}

void ConfigurationSync::askSome(Instant now)
{
    for (size_t i = 0; i < m_peers.size() && i < m_settings.maxAsks; ++i)
        ask(m_peers[i], now);
    // Other peers next time.
    auto n = static_cast<std::ptrdiff_t>(std::min(m_peers.size(), m_settings.maxAsks));
    std::rotate(m_peers.begin(), m_peers.begin() + n, m_peers.end());
}

void ConfigurationSync::peerAnswered(std::string_view peer, const ConfigurationReply& reply, Instant now)
{
    for (const ConfigurationRecord& it : reply.newer)
        offer(it);
    peerFailed(peer, now);
}

void ConfigurationSync::peerFailed(std::string_view peer, Instant now)
{
    auto it = std::ranges::find(m_asks, peer, &Ask::peer);
    if (it != m_asks.end())
        it->isOpen = false;
    endGathering(now);
    flushOffers();
}

void ConfigurationSync::read(Instant now)
{
    m_readSince = now;
    m_nextRead.reset();
    ++m_storeCalls;
    m_actions.emplace_back(ReadStore {});
}

void ConfigurationSync::storeAnswered(std::span<const ConfigurationRecord> documents, Instant now)
{
    m_readSince.reset();
    m_hasStoreAnswer = true;
    for (const ConfigurationRecord& it : documents) {
        if (it.version < m_ledger.version(it.name))
            ++m_olderAnswers; // a store replica that lags, or a store restored from a backup
        offer(it);
        if (m_role == WatchRole::Watcher && !m_watches.contains(it.name))
            watch(it.name, now);
    }
    if (m_role != WatchRole::None) {
        Duration period = m_role == WatchRole::Watcher ? m_settings.readPeriod : m_settings.pollPeriod;
        m_nextRead = now + period + jitter(m_settings.readJitter);
    }
    endGathering(now);
    flushOffers();
}

void ConfigurationSync::storeFailed(Instant now)
{
    m_readSince.reset();
    if (m_role != WatchRole::None || !isReady())
        m_nextRead = now + m_settings.unavailableBackoff + jitter(m_settings.readJitter);
}

void ConfigurationSync::watch(const std::string& name, Instant now)
{
    m_watches[name] = now;
    ++m_storeCalls;
    uint64_t version = m_ledger.version(name);
    if (auto it = m_offers.find(name); it != m_offers.end())
        version = std::max(version, it->second.version);
    if (auto it = m_rejected.find(name); it != m_rejected.end())
        version = std::max(version, it->second);
    m_actions.emplace_back(WatchStore { name, version, m_settings.watchTimeout });
}

void ConfigurationSync::watchAnswered(
    std::string_view name, const std::optional<ConfigurationRecord>& document, Instant now, WatchEnd end)
{
    auto it = m_watches.find(name);
    if (it != m_watches.end())
        m_watches.erase(it);
    if (document)
        offer(*document);
    flushOffers();
    // An answer without news must not become a loop of calls; the next read starts the watch again.
    if (m_role != WatchRole::Watcher)
        return;
    bool isNews = document && document->version > m_ledger.version(name);
    bool endedInOrder = m_settings.reopensWatch && !document && end == WatchEnd::Unchanged;
    if (isNews || endedInOrder)
        watch(std::string(name), now);
    else if (m_settings.reopensWatch && !m_readSince)
        m_nextRead = end == WatchEnd::HistoryGone
            ? now
            : std::min(m_nextRead.value_or(Instant::max()),
                now + m_settings.unavailableBackoff + jitter(m_settings.readJitter));
}

void ConfigurationSync::offer(const ConfigurationRecord& document)
{
    if (document.version <= m_ledger.version(document.name))
        return;
    if (auto it = m_rejected.find(document.name); it != m_rejected.end() && document.version <= it->second)
        return;
    ConfigurationRecord& best = m_offers[document.name];
    if (document.version > best.version)
        best = document;
}

void ConfigurationSync::flushOffers()
{
    if (m_isGathering)
        return;
    for (auto& [name, document] : std::exchange(m_offers, {}))
        m_actions.emplace_back(ApplyDocument { document });
}

// A restarted node waits for the store and the peers it asked, so that it does not start on the first
// answer when a later one is newer.
void ConfigurationSync::endGathering(Instant now)
{
    if (!m_isGathering)
        return;
    bool allAnswered = m_hasStoreAnswer && std::ranges::none_of(m_asks, &Ask::isOpen);
    if (m_offers.empty() || (!allAnswered && now < m_gatherUntil))
        return;
    m_isGathering = false;
    if (m_role == WatchRole::None)
        m_nextRead.reset();
}

void ConfigurationSync::accepted(const ConfigurationRecord& document, Instant)
{
    if (m_ledger.updateIfNewer(document))
        m_actions.emplace_back(AnnounceDigest { m_ledger.digest() });
}

void ConfigurationSync::rejected(const ConfigurationRecord& document, Instant)
{
    uint64_t& version = m_rejected[document.name];
    version = std::max(version, document.version);
    if (!isReady())
        m_isGathering = true;
}

void ConfigurationSync::tick(Instant now)
{
    std::erase_if(m_asks,
        [&](const Ask& it) { return now - it.at >= (it.isOpen ? m_settings.peerTimeout : m_settings.askInterval); });
    if (m_readSince && now - *m_readSince >= m_settings.readTimeout) {
        m_readSince.reset();
        m_nextRead = now;
    }
    bool mayRead = m_role != WatchRole::None || m_isGathering;
    if (m_nextRead && now >= *m_nextRead && mayRead)
        read(now);
    if (m_isGathering) {
        if (!m_readSince && !m_nextRead)
            m_nextRead = now + m_settings.unavailableBackoff + jitter(m_settings.readJitter);
        if (m_asks.empty())
            askSome(now);
    }
    // A watch that outlived its patience fell silent; the next read opens a new one.
    std::erase_if(
        m_watches, [&](const auto& it) { return now - it.second >= m_settings.watchTimeout + m_settings.readPeriod; });
    endGathering(now);
    flushOffers();
}

} // namespace Gooseberrymill

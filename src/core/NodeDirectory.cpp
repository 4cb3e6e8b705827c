#include "NodeDirectory.h"

#include <algorithm>
#include <xxhash.h>

namespace Gooseberrymill {

bool isNewer(const NodeRecord& a, const NodeRecord& b)
{
    return std::tie(a.startedAt, a.incarnation, a.counter) > std::tie(b.startedAt, b.incarnation, b.counter);
}

NodeDirectory::NodeDirectory(NodeRecord self)
    : m_self(self.name)
{
    m_records.emplace(m_self, Entry { std::move(self), {} });
    updateDigest();
}

const NodeRecord* NodeDirectory::find(std::string_view node) const
{
    auto it = m_records.find(node);
    return it == m_records.end() ? nullptr : &it->second.record;
}

bool NodeDirectory::merge(const NodeRecord& record, Instant now, PropagationScope scope)
{
    auto it = m_records.find(record.name);
    if (record.name == m_self) {
        NodeRecord& own = it->second.record;
        if (record == own || !isNewer(record, own))
            return false;
        // The record is from an earlier process of this node whose clock was ahead, or a peer has marked this node as
        // departed.
        own.startedAt = std::max(own.startedAt, record.startedAt + (record.incarnation == own.incarnation ? 0 : 1));
        own.counter = std::max(own.counter, record.counter) + 1;
        updateDigest();
        return true;
    }
    if (it != m_records.end() && !isNewer(record, it->second.record))
        return false;
    put(record, now);
    if (scope == PropagationScope::Node)
        m_unshared.insert(record.name);
    else
        m_unshared.erase(record.name);
    updateDigest();
    return true;
}

bool NodeDirectory::mergeAll(std::span<const NodeRecord> records, Instant now, PropagationScope scope)
{
    bool isChanged = false;
    for (const NodeRecord& record : records)
        isChanged = merge(record, now, scope) || isChanged;
    return isChanged;
}

void NodeDirectory::put(const NodeRecord& record, Instant now)
{
    m_records.insert_or_assign(record.name, Entry { record, now });
}

void NodeDirectory::update(const std::function<void(NodeRecord&)>& change)
{
    NodeRecord& own = m_records.find(m_self)->second.record;
    change(own);
    ++own.counter;
    updateDigest();
}

bool NodeDirectory::markLeft(std::string_view node, Instant now)
{
    auto it = m_records.find(node);
    if (it == m_records.end() || node == m_self || it->second.record.status == NodeStatus::Left)
        return false;
    it->second.record.status = NodeStatus::Left;
    ++it->second.record.counter;
    it->second.leftAt = now;
    updateDigest();
    return true;
}

// The digest covers live records only, so that nodes which remove a departed node at different times still agree.
void NodeDirectory::updateDigest()
{
    m_digest = 0;
    for (const auto& [name, entry] : m_records) {
        if (entry.record.status != NodeStatus::Left)
            m_digest ^= fingerprintOf(entry.record);
    }
}

uint64_t NodeDirectory::fingerprintOf(const NodeRecord& record)
{
    std::array<uint64_t, 4> key { XXH3_64bits(record.name.data(), record.name.size()), record.incarnation.low,
        record.startedAt, record.counter };
    return XXH3_64bits(key.data(), sizeof(key));
}

std::vector<uint64_t> NodeDirectory::fingerprints() const
{
    std::vector<uint64_t> all;
    all.reserve(m_records.size());
    for (const auto& [name, entry] : m_records)
        all.push_back(fingerprintOf(entry.record));
    return all;
}

std::vector<NodeRecord> NodeDirectory::recordsNotIn(std::vector<uint64_t> fingerprints) const
{
    std::ranges::sort(fingerprints);
    std::vector<NodeRecord> missing;
    for (const auto& [name, entry] : m_records) {
        if (!std::ranges::binary_search(fingerprints, fingerprintOf(entry.record)))
            missing.push_back(entry.record);
    }
    return missing;
}

std::vector<NodeRecord> NodeDirectory::takeUnshared()
{
    std::vector<NodeRecord> unshared;
    for (const std::string& name : std::exchange(m_unshared, {})) {
        if (const NodeRecord* record = find(name))
            unshared.push_back(*record);
    }
    return unshared;
}

void NodeDirectory::tick(Instant now)
{
    std::erase_if(m_records, [&](const auto& it) {
        const Entry& entry = it.second;
        return it.first != m_self && entry.record.status == NodeStatus::Left && now - entry.leftAt > tombstoneLifetime;
    });
}

size_t NodeDirectory::liveCount() const
{
    return static_cast<size_t>(
        std::ranges::count_if(m_records, [](const auto& it) { return it.second.record.status != NodeStatus::Left; }));
}

std::vector<NodeRecord> NodeDirectory::records() const
{
    std::vector<NodeRecord> all;
    all.reserve(m_records.size());
    for (const auto& [name, entry] : m_records)
        all.push_back(entry.record);
    return all;
}

CandidateList NodeDirectory::candidates() const
{
    CandidateList list;
    forEachLive([&](const NodeRecord& node) {
        for (const UpstreamRecord& it : node.upstreams) {
            if (it.state != UpstreamState::Gone)
                list.push_back({ it.name, it.service, node.name, node.relayAddress, node.incarnation, node.location,
                    it.slots, it.state, it.share });
        }
    });
    std::ranges::sort(list, [](const Candidate& a, const Candidate& b) {
        return std::tie(a.service.get(), a.upstream) < std::tie(b.service.get(), b.upstream);
    });
    return list;
}

//-----------------------------------------------------------------------------
// [SECTION] Watchers
//-----------------------------------------------------------------------------

void WatchElection::recordNotice(std::string_view node, bool isWatching, Instant now)
{
    auto it = m_watchers.find(node);
    if (isWatching)
        m_watchers.insert_or_assign(std::string(node), now);
    else if (it != m_watchers.end())
        m_watchers.erase(it);
}

bool WatchElection::isLiveWatcher(std::string_view node, Instant now) const
{
    auto it = m_watchers.find(node);
    return it != m_watchers.end() && now - it->second <= m_settings.noticeLifetime;
}

std::vector<std::string_view> WatchElection::nodesRankedBefore(const NodeDirectory& directory)
{
    auto rank = [](std::string_view name) { return std::pair(XXH3_64bits(name.data(), name.size()), name); };
    const NodeRecord& self = directory.self();
    std::vector<std::string_view> names;
    directory.forEachLive([&](const NodeRecord& node) {
        if (node.location.region == self.location.region && rank(node.name) < rank(self.name))
            names.push_back(node.name);
    });
    return names;
}

bool WatchElection::shouldWatch(const NodeDirectory& directory, Instant now) const
{
    auto names = nodesRankedBefore(directory);
    auto live = std::ranges::count_if(names, [&](std::string_view name) { return isLiveWatcher(name, now); });
    if (static_cast<size_t>(live) >= m_settings.watchersPerRegion)
        return false;
    return now - m_startedAt >= m_settings.rankDelay * static_cast<int64_t>(names.size());
}

bool WatchElection::isFirstWatcher(const NodeDirectory& directory, Instant now) const
{
    auto names = nodesRankedBefore(directory);
    return std::ranges::none_of(names, [&](std::string_view name) { return isLiveWatcher(name, now); });
}

} // namespace Gooseberrymill

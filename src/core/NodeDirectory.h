// The nodes of a fleet as one of them knows it, where the object store is the meeting point. No I/O, no clock.
//
// Each node writes its record to the store once and tells others of changes directly. Records carry a start time and
// a counter, so the newer of two records of a node is known wherever they meet. What a node does not know costs a
// round trip and no promise: the executor beside an upstream alone decides what runs there.
#pragma once

#include "Membership.h"

#include <set>

namespace Gooseberrymill {

//-----------------------------------------------------------------------------
// [SECTION] Directory
//-----------------------------------------------------------------------------

// Who has a record that this node gets.
enum class PropagationScope : uint8_t {
    Region, // every node of the own region is told by the same sender
    Node, // perhaps this node alone
};

class NodeDirectory {
public:
    static constexpr Duration tombstoneLifetime = 30s; // how long a node that left is remembered, against older records

    explicit NodeDirectory(NodeRecord self);

    // Takes over a record that is newer than the one held. A record under this node's own name that is not older
    // than its own is answered by raising the own one. True when something changed.
    bool merge(const NodeRecord&, Instant now, PropagationScope = PropagationScope::Node);
    bool mergeAll(std::span<const NodeRecord>, Instant now, PropagationScope = PropagationScope::Node);

    // The own record changed: raises its counter.
    void update(const std::function<void(NodeRecord&)>& change);

    // Another node does not answer any more. It is taken for gone until it says otherwise.
    bool markLeft(std::string_view node, Instant now);

    void tick(Instant now); // forgets nodes that left long ago

    const NodeRecord& self() const { return m_records.find(m_self)->second.record; }
    const NodeRecord* find(std::string_view node) const;
    uint64_t digest() const { return m_digest; } // equal at nodes that know the same records
    size_t liveCount() const;
    std::vector<NodeRecord> records() const; // all, those that left included

    // One value for each record, equal at nodes that hold the same version of it.
    std::vector<uint64_t> fingerprints() const;
    std::vector<NodeRecord> recordsNotIn(std::vector<uint64_t> fingerprints) const;
    // Records that reached this node since the last call and may not have reached its region.
    std::vector<NodeRecord> takeUnshared();

    template <typename Function> void forEachLive(Function function) const
    {
        for (const auto& [name, entry] : m_records) {
            if (entry.record.status != NodeStatus::Left)
                function(entry.record);
        }
    }

    // Nodes that left a short time ago. One that restarts while the store is away knows nobody, so it is told.
    template <typename Function> void forEachLeft(Function function) const
    {
        for (const auto& [name, entry] : m_records) {
            if (entry.record.status == NodeStatus::Left)
                function(entry.record);
        }
    }

    // Candidates of all services, sorted as the balancer needs them.
    CandidateList candidates() const;

private:
    struct Entry {
        NodeRecord record;
        Instant leftAt {};
    };

    void put(const NodeRecord&, Instant now);
    void updateDigest();
    static uint64_t fingerprintOf(const NodeRecord&);

    std::string m_self;
    std::map<std::string, Entry, std::less<>> m_records;
    std::set<std::string, std::less<>> m_unshared; // names of records
    uint64_t m_digest = 0;
};

// True when `a` is newer than `b`; both are records of one node.
bool isNewer(const NodeRecord& a, const NodeRecord& b);

//-----------------------------------------------------------------------------
// [SECTION] Watchers
//-----------------------------------------------------------------------------

struct WatchElectionSettings {
    size_t watchersPerRegion = 2; // two, so that a change arrives in time when one of them is lost
    Duration noticeLifetime = 1600ms; // of a watcher; it sends one each second
    Duration rankDelay = 150ms; // at the start each rank waits for the ones before it
};

// Few nodes of each region watch the store and tell the others. The order is the same at all nodes; a node watches
// when too few of those before it have said lately that their watch works.
class WatchElection {
public:
    explicit WatchElection(Instant now, const WatchElectionSettings& settings = {})
        : m_settings(settings)
        , m_startedAt(now)
    {
    }

    void recordNotice(std::string_view node, bool isWatching, Instant now);
    bool shouldWatch(const NodeDirectory&, Instant now) const;

    // Whether this node is the first of the live watchers it knows; it removes records of lost nodes.
    bool isFirstWatcher(const NodeDirectory&, Instant now) const;

private:
    // Nodes of the own region in the order, up to this node.
    static std::vector<std::string_view> nodesRankedBefore(const NodeDirectory&);
    bool isLiveWatcher(std::string_view node, Instant now) const;

    WatchElectionSettings m_settings;
    Instant m_startedAt;
    std::map<std::string, Instant, std::less<>> m_watchers; // last notice of a working watch
};

} // namespace Gooseberrymill

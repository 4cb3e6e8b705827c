// Membership through the object store: each node's view of the other nodes of the fleet. No I/O, no clock.
//
// Each node writes its record to the store once and sends later changes directly to other nodes. A record carries a
// start time and a counter, so any node can tell which of two records of a node is newer. An outdated view costs an
// extra round trip but breaks no guarantee: only the executor next to an upstream decides what runs there.
#pragma once

#include "Membership.h"

#include <set>

namespace Gooseberrymill {

//-----------------------------------------------------------------------------
// [SECTION] Directory
//-----------------------------------------------------------------------------

// Which other nodes receive a record that this node receives.
enum class PropagationScope : uint8_t {
    Region, // the sender also sends it to every other node of the own region
    Node, // possibly no other node receives it
};

// The records of all known nodes, including this one. Newer records replace older ones, in whatever order they arrive.
class NodeDirectory {
public:
    static constexpr Duration tombstoneLifetime = 30s; // how long the record of a departed node rejects older records

    explicit NodeDirectory(NodeRecord self);

    // Stores a record if it is newer than the known one. When another record under this node's own name is newer than
    // its own, the own record is raised above it instead. Returns whether the directory changed.
    bool merge(const NodeRecord&, Instant now, PropagationScope = PropagationScope::Node);
    bool mergeAll(std::span<const NodeRecord>, Instant now, PropagationScope = PropagationScope::Node);

    // Applies a change to this node's own record and raises its counter.
    void update(const std::function<void(NodeRecord&)>& change);

    // Marks another node that no longer responds as departed, until it sends a newer record. Returns whether the record
    // changed.
    bool markLeft(std::string_view node, Instant now);

    void tick(Instant now); // removes departed nodes after `tombstoneLifetime`

    const NodeRecord& self() const { return m_records.find(m_self)->second.record; }
    const NodeRecord* find(std::string_view node) const;
    uint64_t digest() const { return m_digest; } // equal at nodes that know the same live records
    size_t liveCount() const;
    std::vector<NodeRecord> records() const; // of all nodes, including departed ones

    // One hash for each record, equal at nodes that have the same version of the record.
    std::vector<uint64_t> fingerprints() const;
    // The records whose fingerprint is not in the list.
    std::vector<NodeRecord> recordsNotIn(std::vector<uint64_t> fingerprints) const;
    // The records received since the last call that other nodes of the region may not have received.
    std::vector<NodeRecord> takeUnshared();

    template <typename Function> void forEachLive(Function function) const
    {
        for (const auto& [name, entry] : m_records) {
            if (entry.record.status != NodeStatus::Left)
                function(entry.record);
        }
    }

    // Visits recently departed nodes. One that restarts while the store is unavailable knows no other node, so the
    // others must contact it.
    template <typename Function> void forEachLeft(Function function) const
    {
        for (const auto& [name, entry] : m_records) {
            if (entry.record.status == NodeStatus::Left)
                function(entry.record);
        }
    }

    // Candidates of all services, sorted by service, then upstream.
    CandidateList candidates() const;

private:
    struct Entry {
        NodeRecord record;
        Instant leftAt {}; // time of departure, or of the last change of the record
    };

    void put(const NodeRecord&, Instant now);
    void updateDigest();
    static uint64_t fingerprintOf(const NodeRecord&);

    std::string m_self;
    std::map<std::string, Entry, std::less<>> m_records;
    std::set<std::string, std::less<>> m_unshared; // names of the nodes whose records takeUnshared() returns next
    uint64_t m_digest = 0;
};

// Whether `a` is newer than `b`. Both must be records of the same node.
bool isNewer(const NodeRecord& a, const NodeRecord& b);

//-----------------------------------------------------------------------------
// [SECTION] Watchers
//-----------------------------------------------------------------------------

struct WatchElectionSettings {
    size_t watchersPerRegion = 2; // two, so that changes still arrive in time when one of them fails
    Duration noticeLifetime = 1600ms; // a watcher, which sends one notice per second, counts as failed after this time
    Duration rankDelay = 150ms; // delay per rank after the start, so that nodes ranked earlier can announce themselves
};

// Elects the nodes of each region that watch the store and notify the others. All nodes rank the nodes of a region in
// the same order. A node watches when fewer than `watchersPerRegion` nodes before it have recently reported a working
// watch.
class WatchElection {
public:
    explicit WatchElection(Instant now, const WatchElectionSettings& settings = {})
        : m_settings(settings)
        , m_startedAt(now)
    {
    }

    // Records whether `node` has a working watch, as its latest notice says.
    void recordNotice(std::string_view node, bool isWatching, Instant now);
    bool shouldWatch(const NodeDirectory&, Instant now) const;

    // Whether no live watcher precedes this node. The first watcher removes the records of lost nodes from the store.
    bool isFirstWatcher(const NodeDirectory&, Instant now) const;

private:
    // Live nodes of the own region that rank before this node.
    static std::vector<std::string_view> nodesRankedBefore(const NodeDirectory&);
    bool isLiveWatcher(std::string_view node, Instant now) const;

    WatchElectionSettings m_settings;
    Instant m_startedAt;
    std::map<std::string, Instant, std::less<>> m_watchers; // time of each watcher's last notice
};

} // namespace Gooseberrymill

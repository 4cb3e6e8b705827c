// Configuration documents in force, and the decisions that spread them. No I/O, no clock.
#pragma once

#include "Membership.h"
#include "RelayMessages.h"

#include <variant>

namespace Gooseberrymill {

//-----------------------------------------------------------------------------
// [SECTION] Ledger
//-----------------------------------------------------------------------------

// Documents in force by name. A version is only ever raised.
class ConfigurationLedger {
public:
    // False, and nothing changes, unless the version is higher than the one held.
    bool updateIfNewer(const ConfigurationRecord&);

    uint64_t version(std::string_view name) const; // 0 when the document is not held
    const ConfigurationRecord* find(std::string_view name) const;
    bool isEmpty() const { return m_documents.empty(); }
    uint64_t digest() const { return m_digest; } // over (name, version) pairs; 0 when nothing is held

    std::vector<ConfigurationRecord> held() const; // names and versions, without texts
    ConfigurationReply newerThan(const ConfigurationQuery&) const; // complete documents the asker lacks

private:
    void updateDigest();

    std::map<std::string, ConfigurationRecord, std::less<>> m_documents;
    uint64_t m_digest = 0;
};

//-----------------------------------------------------------------------------
// [SECTION] Watchers
//-----------------------------------------------------------------------------

constexpr size_t watchersPerDataCentre = 2;
constexpr size_t maxWatcherRank = 8; // over all known members; a node beyond it never keeps a watch

enum class WatchRole : uint8_t {
    None, // configuration comes from peers
    Watcher, // watches the store
    Poller, // its data centre seems to have lost its watchers, but it is far down the order: reads only
};

// Role of this node by rendezvous hashing over the live members of its data centre. When a large part of
// the fleet is cut off from its peers, each node takes itself for the only one alive. The rank over all
// members, dead ones included, then keeps the number of watches bounded.
WatchRole chooseWatchRole(const Membership&);

// Names of live members to ask after a restart: up to `perDataCentre` of each data centre.
std::vector<std::string> choosePeersToQuery(const Membership&, size_t perDataCentre, std::mt19937_64& random);

//-----------------------------------------------------------------------------
// [SECTION] Synchronisation
//-----------------------------------------------------------------------------

// Periods that keep "in force everywhere within 5 s" when watches fall silent without closing: a write is
// found after at most readPeriod (2 s, jitter included) and one lost read (0.5 s); 2.5 s remain for peers.
struct ConfigurationSyncSettings {
    Duration readPeriod = 1800ms; // a watcher reads the versions again, whatever its watch says
    Duration readJitter = 200ms; // added at random, so that watchers do not read in step
    Duration readTimeout = 500ms; // a read without an answer is repeated
    Duration initialReadJitter = 300ms; // before the first read of a new watcher
    Duration pollPeriod = 4s; // of a poller; 6,100 of them make 1,525 reads/s
    Duration watchTimeout = 30s;
    Duration unavailableBackoff = 1s; // after the store answered with an error
    Duration peerTimeout = 400ms;
    Duration peerQueryInterval = 200ms; // between two questions to the same peer
    Duration bootstrapTimeout = 1s; // a restarted node waits so long for all answers before it takes the highest
    size_t maxPeerQueries = 4; // questions to peers under way
    // A watch that ended without a change is opened again at once, and one that failed is followed by a read after
    // `unavailableBackoff`, so that reads can be rare. Otherwise the next read opens the watch.
    bool reopensWatch = false;
};

// How a watch ended that brought no document.
enum class WatchEnd : uint8_t {
    Unchanged, // nothing changed within the patience
    Failed,
    HistoryGone, // the store no longer knows what changed since; only a read tells
};

struct QueryPeer {
    std::string peer;
    ConfigurationQuery query;
};
struct ReadStore { }; // list all objects of kind "configuration"
struct WatchStore {
    std::string name;
    uint64_t version = 0;
    Duration timeout {};
};
struct ApplyDocument {
    ConfigurationRecord document; // parse it, then call accepted() or rejected()
};
struct AnnounceDigest {
    uint64_t digest = 0; // changed: tell peers at once
};
using SyncAction = std::variant<QueryPeer, ReadStore, WatchStore, ApplyDocument, AnnounceDigest>;

class ConfigurationSync {
public:
    ConfigurationSync(ConfigurationSyncSettings, uint64_t seed, Instant now);

    // [SECTION] Input
    void start(std::span<const std::string> peers, Instant now); // peers of several data centres
    void roleChanged(WatchRole, Instant now);
    void digestSeen(std::string_view peer, uint64_t digest, Instant now);
    void peerAnswered(std::string_view peer, const ConfigurationReply&, Instant now);
    void peerFailed(std::string_view peer, Instant now);
    void storeAnswered(std::span<const ConfigurationRecord> documents, Instant now); // of a read
    void storeFailed(Instant now); // of a read
    // Without a record the watch ended as `end` says.
    void watchAnswered(std::string_view name, const std::optional<ConfigurationRecord>&, Instant now,
        WatchEnd end = WatchEnd::Unchanged);
    void accepted(const ConfigurationRecord&, Instant now); // it parsed and is in force from now on
    void rejected(const ConfigurationRecord&, Instant now); // it does not parse; the former version stays
    void tick(Instant now); // about every 50 ms

    // [SECTION] Output
    std::vector<SyncAction> takeActions() { return std::exchange(m_actions, {}); }
    const ConfigurationLedger& ledger() const { return m_ledger; }
    bool isReady() const { return !m_ledger.isEmpty(); } // false: refuse with "no configuration"
    uint64_t storeCalls() const { return m_storeCalls; }
    uint64_t staleReads() const { return m_staleReads; } // the store answered with less than is in force

private:
    struct PeerQuery {
        std::string peer;
        Instant at;
        bool isPending = true;
    };

    void queryPeer(std::string_view peer, Instant now);
    void queryNextPeers(Instant now);
    void startRead(Instant now);
    void startWatch(const std::string& name, Instant now);
    void considerDocument(const ConfigurationRecord&);
    void applyPendingDocuments();
    void tryEndBootstrap(Instant now);
    Duration jitter(Duration limit);

    ConfigurationSyncSettings m_settings;
    std::mt19937_64 m_random;
    ConfigurationLedger m_ledger;
    std::vector<SyncAction> m_actions;
    WatchRole m_role = WatchRole::None;
    bool m_isBootstrapping = true;
    bool m_hasStoreAnswer = false;
    Instant m_bootstrapDeadline;
    std::vector<std::string> m_peers; // to ask while nothing is held
    std::vector<PeerQuery> m_peerQueries;
    std::map<std::string, ConfigurationRecord, std::less<>>
        m_pendingDocuments; // highest of each name, not yet in force
    std::map<std::string, uint64_t, std::less<>> m_rejectedVersions; // highest version that did not parse
    std::map<std::string, Instant, std::less<>> m_watches; // pending, since when
    std::optional<Instant> m_readStartedAt; // a read is under way
    std::optional<Instant> m_nextReadAt;
    uint64_t m_storeCalls = 0;
    uint64_t m_staleReads = 0;
};

} // namespace Gooseberrymill

// SWIM-like membership: failure detection and dissemination over datagrams.
//
// The class does no I/O: it takes datagrams and the time, and returns datagrams to send.
#pragma once

#include "Balancer.h"
#include "Ejection.h"

#include <map>
#include <random>
#include <unordered_map>

namespace Gooseberrymill {

enum class NodeStatus : uint8_t { Alive, Suspect, Dead, Left };
std::string_view toString(NodeStatus);

// One upstream as its executor announces it.
struct UpstreamRecord {
    std::string name;
    std::string service;
    uint32_t slots = 1;
    UpstreamState state = UpstreamState::Cold;
    float severity = 0; // of a degraded or ejected upstream
    float share = 1; // 0..1, below 1 while ramping up
    bool operator==(const UpstreamRecord&) const = default;
    template <class Archive> void serialize(Archive& archive) { archive(name, service, slots, state, severity, share); }
};

// One node. A higher `counter` of the same incarnation is newer; `startedAt` orders incarnations of a name.
struct NodeRecord {
    std::string name;
    Id128 incarnation; // random, new for each process
    uint64_t startedAt = 0; // wall time in milliseconds; orders incarnations only, never used for safety
    uint64_t counter = 0;
    NodeStatus status = NodeStatus::Alive;
    std::string gossipAddress; // advertised "ip:port", UDP
    std::string relayAddress; // advertised "ip:port", TCP
    Location location;
    std::vector<UpstreamRecord> upstreams;
    bool operator==(const NodeRecord&) const = default;
    template <class Archive> void serialize(Archive& archive)
    {
        archive(name, incarnation, startedAt, counter, status, gossipAddress, relayAddress, location, upstreams);
    }
};

//-----------------------------------------------------------------------------
// [SECTION] Messages
//-----------------------------------------------------------------------------

constexpr size_t maxDatagramBytes = 1200;
constexpr size_t maxNameBytes = 64; // names of nodes, upstreams, services, regions and data centres
constexpr size_t maxAddressBytes = 64;
constexpr size_t maxUpdatesPerMessage = 64;
constexpr size_t maxUpstreamsPerUpdate = 32;
constexpr size_t maxWantedKeysPerMessage = 32;

// Key of an incarnation in updates: half the bytes of the identifier, still random.
inline uint64_t memberKey(const Id128& incarnation) { return incarnation.high ^ incarnation.low; }

struct NodeIdentity {
    std::string name;
    Id128 incarnation;
    uint64_t startedAt = 0;
    std::string gossipAddress;
    std::string relayAddress;
    Location location;
    bool operator==(const NodeIdentity&) const = default;
};

struct VersionedUpstream {
    UpstreamRecord record;
    uint64_t version = 0; // raised by the executor with each change of this upstream
    bool operator==(const VersionedUpstream&) const = default;
};

// What a datagram says about one member. Upstreams that are not listed are unchanged.
struct MemberUpdate {
    uint64_t key = 0; // memberKey of the incarnation
    uint64_t counter = 0;
    NodeStatus status = NodeStatus::Alive;
    uint32_t revision = 0; // sum of the versions of all its upstreams; shows a receiver that it lacks one
    std::optional<NodeIdentity> identity; // present when the receiver may not know the member
    std::vector<VersionedUpstream> upstreams;
    bool operator==(const MemberUpdate&) const = default;
};

enum class GossipKind : uint8_t { Ping, Ack, PingRequest, Leave, Update, SyncRequest, SyncReply, Health };
constexpr size_t gossipKindCount = 8;

struct GossipMessage {
    GossipKind kind = GossipKind::Ping;
    std::string sender;
    Id128 incarnation;
    uint64_t startedAt = 0;
    uint64_t sequence = 0; // raised with each datagram of an incarnation
    uint64_t configurationDigest = 0;
    uint32_t revision = 0; // of the sender's upstreams, as in MemberUpdate
    uint32_t liveCount = 0; // members the sender holds live; a much higher one than ours asks for a table
    uint64_t probe = 0; // number of a ping, ack or ping request; digest of a part in a comparison
    uint64_t target = 0; // of a ping request: key of the member to probe; of a sync request: part to compare
    std::string targetAddress; // of a ping request
    std::string cursor; // of a sync: names after this one are asked for or follow
    bool isLast = false; // of a sync reply: no names follow
    std::vector<uint64_t> wantedKeys; // of a sync request: keys whose identity is asked for, in place of the cursor
    std::vector<MemberUpdate> updates;
    std::vector<HealthSummary> health;
};

// Upper bounds of the encoded sizes; the codec's tests check them against the encoder.
size_t encodedSizeBound(const MemberUpdate&);
size_t encodedSizeBound(const HealthSummary&);
size_t encodedSizeBound(const GossipMessage&);

struct OutgoingGossip {
    std::string address;
    GossipMessage message;
};

//-----------------------------------------------------------------------------
// [SECTION] Changes
//-----------------------------------------------------------------------------

enum class MemberEvent : uint8_t {
    Joined,
    Alive, // a suspected or dead member refuted
    Suspected,
    Dead,
    Left,
    Superseded, // a new process of the same name replaced it
    UpstreamChanged,
    SelfSuperseded, // another process runs under this node's name; this one must stop
    DigestMismatch, // a peer's configuration digest differs from ours
};

struct MembershipChange {
    MemberEvent event = MemberEvent::Joined;
    std::string node;
    Id128 incarnation;
    std::string upstream; // with UpstreamChanged
    uint64_t configurationDigest = 0; // with DigestMismatch
};

//-----------------------------------------------------------------------------
// [SECTION] Membership
//-----------------------------------------------------------------------------

struct MembershipSettings {
    std::vector<std::string> seeds; // gossip addresses to join through
    Duration probePeriod = 1s;
    Duration directTimeout = 200ms; // cross-region round trips take 60 ms
    Duration probeTimeout = 500ms; // direct and indirect together; a longer silence is suspected
    Duration minSuspicion = 600ms;
    Duration suspicionPerLog10 = 300ms; // times log10(n)
    Duration gossipPeriod = 200ms; // rounds that spread queued updates
    Duration deadRetention = 60s; // must exceed the time an update travels, or dead members would return
    Duration retryPeriod = 1s; // one dead, forgotten or seed address is probed in each
    Duration tableComparisonPeriod = 1s; // a random part of a random member's table is compared
    Duration joinPhase = 10s; // after the start a node may raise its startedAt over an old record of its name
    size_t indirectProbes = 3;
    size_t urgentFanout = 4; // receivers of an urgent local change at once
    size_t gossipFanout = 2;
    size_t crossRegionInterval = 8; // one in this many probes and gossip targets
    double retransmitFactor = 3; // times ln(n + 1); with half of it, 1 run in 20 left a member uninformed for seconds
    double bytesPerSecond = 2400; // 3 KB/s less the probes and acks, which are always sent
    double burstBytes = 6000;
    double syncBytesPerSecond = 128000; // answers to joining nodes, which are rare
    size_t maxForgottenAddresses = 512; // addresses of forgotten members
    double healthBytesPerSecond = 400; // with `bytesPerSecond` below 3 KB/s; what gossip does not use is added
    double healthBurstBytes = 2400;
    size_t healthFanout = 6; // peers that hear of an upstream in one round; the next round takes the following ones
    Duration healthPeriod = 500ms; // between the starts of two rounds; longer when a round needs more bytes
};

struct MembershipCounters {
    uint64_t messages = 0; // sent
    uint64_t bytes = 0; // bound of the encoded bytes sent
    uint64_t syncBytes = 0; // of these, answers to joining nodes
    uint64_t healthBytes = 0; // of these, health summaries
    uint64_t healthRounds = 0; // started
    uint64_t obsolete = 0; // received from a superseded incarnation
    uint64_t unknownMembers = 0; // updates about a member that was not known
    uint64_t suspicions = 0; // raised by this node
    uint64_t refutations = 0;
    uint64_t invalid = 0;
};

class Membership {
public:
    // `self` names this process; its upstreams are announced with the first messages.
    Membership(MembershipSettings, NodeRecord self, uint64_t seed, Instant now);

    // [SECTION] Input
    void tick(Instant now); // about every 50 ms
    void received(const GossipMessage&, std::string_view from, Instant now);
    void setUpstream(const UpstreamRecord&, Instant now); // adds or changes one of this node's upstreams
    void leave(Instant now);
    void addSeed(const std::string& gossipAddress); // one more address to join through
    void setConfigurationDigest(uint64_t digest) { m_configurationDigest = digest; }
    // The newest summary of an own upstream; goes to members that run the same service, within the budget for
    // health. Summaries for the same member share a datagram.
    void sendHealth(const HealthSummary&, Instant now);

    // [SECTION] Output
    std::vector<OutgoingGossip> takeMessages();
    std::vector<MembershipChange> takeChanges();

    // [SECTION] View
    const NodeRecord& self() const { return m_self->record; }
    const NodeRecord* find(std::string_view name) const; // null when unknown
    size_t size() const { return m_members.size(); } // all records, dead ones included
    size_t liveCount() const { return m_liveCount; } // alive and suspected members, this one included
    void forEach(const std::function<void(const NodeRecord&)>&) const; // in the order of names
    // Time for which a member may have been silent without this node knowing.
    Duration age(std::string_view name, Instant now) const;
    // The health summaries that peers sent, newest of each upstream, not older than `maxAge`.
    std::vector<HealthSummary> peerHealth(std::string_view service, Duration maxAge, Instant now) const;
    Duration suspicionTimeout() const;
    size_t retransmitLimit() const;
    size_t queuedUpdates() const { return m_queuedUpdates.size(); }
    const MembershipCounters& counters() const { return m_counters; }

private:
    struct Member {
        NodeRecord record;
        std::vector<uint64_t> versions; // of the upstreams, in their order
        uint64_t key = 0;
        uint32_t revision = 0; // sum of the versions
        uint64_t ringPosition = 0; // hash of the name
        Instant statusSince;
        Instant lastHeard;
    };

    // The current state of a part of a member that is still being spread.
    struct QueuedUpdate {
        uint64_t key = 0;
        bool hasIdentity = false;
        std::vector<std::string> upstreams; // without identity; empty: the status alone
        size_t transmits = 0;
        uint64_t order = 0; // newer entries have a higher one
        bool urgent = false;
    };

    struct Probe {
        uint64_t number = 0;
        uint64_t key = 0; // 0: an address without a live member
        Instant sentAt;
        bool isIndirect = false; // others were asked
        std::string replyAddress; // not empty: probed for another member
        uint64_t replyNumber = 0;
    };

    struct ReceivedHealth {
        HealthSummary summary;
        std::string service;
        Instant at;
    };

    struct OwnHealth {
        HealthSummary summary;
        Instant at;
    };

    // A member that is to hear of own upstreams in the current round.
    struct HealthTarget {
        uint64_t key = 0;
        std::vector<std::string> upstreams;
    };

    Member* byKey(uint64_t key);
    static bool isLive(const Member& member)
    {
        return member.record.status == NodeStatus::Alive || member.record.status == NodeStatus::Suspect;
    }
    GossipMessage makeMessage(GossipKind) const;
    void send(std::string address, GossipMessage message, bool isSync = false);
    bool canSendQueuedUpdates() const;
    void addQueuedUpdates(GossipMessage&);
    MemberUpdate makeUpdate(const Member&, bool hasIdentity, std::span<const std::string> upstreams) const;
    std::vector<MemberUpdate> makeRecords(const Member&) const;
    void enqueue(const Member&, bool hasIdentity, std::vector<std::string> upstreams, bool urgent);
    void reportChange(MemberEvent, const Member&, std::string upstream = {});
    void setStatus(Member&, NodeStatus, uint64_t counter, Instant now);
    void refute(uint64_t counter, Instant now);
    void applyUpdate(const MemberUpdate&, std::vector<uint64_t>& wantedKeys, Instant now);
    void applyUpdateAboutSelf(const MemberUpdate&, Instant now);
    Member* addMember(const MemberUpdate&, Instant now);
    void applyStatus(Member&, const MemberUpdate&, Instant now);
    void applyUpstreams(Member&, const MemberUpdate&, bool forwards);
    void addSelfRecord(GossipMessage&) const;
    void notifyOfStatus(const Member&);
    void removeMember(const std::string& name);
    void rememberAddress(const std::string& address);
    void supersede(Member&);

    void probeNext(Instant now);
    void probe(const Member&, Instant now);
    const Member* nextProbeTarget();
    const Member* ringSuccessor() const;
    std::vector<const Member*> randomMembers(size_t n, uint64_t excludedKey = 0, bool preferRegion = true);
    void checkProbes(Instant now);
    void checkStatuses(Instant now);
    void sendQueuedUpdates(Instant now);
    void sendHealthSummaries(Instant now);
    void startHealthRound(Instant now);
    void retryLostAddresses(Instant now);
    void startTableComparison();
    std::vector<const Member*> bucketMembers(uint64_t bucket) const;
    static uint64_t bucketDigest(std::span<const Member* const> members);
    void requestSync(std::string address, Instant now);
    void answerSync(const GossipMessage&, std::string_view from);
    void sendRecords(std::span<const Member* const> members, std::string_view to);
    void continueSync(const GossipMessage&, std::string_view from, Instant now);
    size_t random(size_t n) { return n ? static_cast<size_t>(m_random() % n) : 0; }

    MembershipSettings m_settings;
    std::mt19937_64 m_random;
    std::map<std::string, Member, std::less<>> m_members; // by name, this node included
    std::unordered_map<uint64_t, Member*> m_membersByKey;
    Member* m_self = nullptr;
    size_t m_liveCount = 1;
    uint64_t m_sequence = 0;
    uint64_t m_nextProbeNumber = 1;
    uint64_t m_nextOrder = 1;
    uint64_t m_configurationDigest = 0;
    std::vector<Probe> m_probes;
    std::vector<QueuedUpdate> m_queuedUpdates;
    std::vector<uint64_t> m_nonAliveKeys; // members that are not alive
    std::array<std::vector<uint64_t>, 2> m_probeRounds; // shuffled keys still to probe: own region, other regions
    size_t m_probeCount = 0;
    std::vector<std::string> m_forgottenAddresses; // addresses of forgotten members
    std::map<std::string, ReceivedHealth, std::less<>> m_peerHealth; // by upstream
    std::map<std::string, OwnHealth, std::less<>> m_ownHealth; // by upstream
    std::vector<HealthTarget> m_healthTargets; // still to be served in this round
    uint64_t m_healthRoundNumber = 0;
    Instant m_nextHealthAt;
    std::optional<Instant> m_lastHealthRoundAt; // start of the last round
    double m_healthTokens = 0;
    std::vector<OutgoingGossip> m_messages;
    std::vector<MembershipChange> m_changes;
    MembershipCounters m_counters;
    double m_gossipTokens = 0;
    double m_syncTokens = 0;
    size_t m_statusNoticeCount = 0; // since the last tick
    std::optional<std::string> m_syncCursor; // a full exchange is going on
    std::string m_syncPeer;
    Instant m_syncSentAt;
    Instant m_lastSync;
    bool m_hasJoined = false;
    bool m_isApplyingTable = false; // the updates come from another member's table
    Instant m_startedAt;
    Instant m_lastTick;
    Instant m_lastReceived;
    Instant m_nextProbeAt;
    Instant m_nextGossipAt;
    Instant m_nextRetryAt;
    Instant m_nextTableComparisonAt;
};

//-----------------------------------------------------------------------------
// [SECTION] Derived lists
//-----------------------------------------------------------------------------

// State of an upstream as entries see it: degraded while its node is suspected.
UpstreamState candidateState(const NodeRecord&, const UpstreamRecord&);

// Candidates of all live members, sorted by service, then upstream. Upstreams of suspected members are
// shown as degraded, so that they are chosen last until the suspicion is settled.
CandidateList makeCandidates(const Membership&);

// Upstreams of a service as the floor computation needs them, sorted by upstream.
std::vector<UpstreamView> makeUpstreamViews(const Membership&, std::string_view service, Instant now);

} // namespace Gooseberrymill

// SWIM-style membership: failure detection by probing, and dissemination of updates by gossip datagrams.
//
// Membership does no I/O and reads no clock. The caller passes in received datagrams and the current time, and sends
// the datagrams that it returns.
#pragma once

#include "Balancer.h"
#include "Ejection.h"

#include <map>
#include <random>
#include <unordered_map>

namespace Gooseberrymill {

enum class NodeStatus : uint8_t { Alive, Suspect, Dead, Left };
std::string_view toString(NodeStatus);

// State of one upstream as announced by its executor, the node that runs it.
struct UpstreamRecord {
    std::string name;
    std::string service;
    uint32_t slots = 1;
    UpstreamState state = UpstreamState::Cold;
    float severity = 0; // how bad the state of a degraded or ejected upstream is
    float share = 1; // share of its normal load to send, 0..1; below 1 while the upstream ramps up
    bool operator==(const UpstreamRecord&) const = default;
    template <class Archive> void serialize(Archive& archive) { archive(name, service, slots, state, severity, share); }
};

// State of one node. An incarnation is one process that runs under the node's name. Of two records of the same
// incarnation, the one with the higher `counter` is newer. `startedAt` orders incarnations of the same name.
struct NodeRecord {
    std::string name;
    Id128 incarnation; // random identifier, new for each process
    uint64_t startedAt = 0; // wall-clock ms; only orders incarnations, since clocks are not trusted for safety
    uint64_t counter = 0; // orders the records of one incarnation; raised to refute a suspicion, for example
    NodeStatus status = NodeStatus::Alive;
    std::string gossipAddress; // advertised UDP "ip:port"
    std::string relayAddress; // advertised TCP "ip:port"
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
constexpr size_t maxNameBytes = 64; // for names of nodes, upstreams, services, regions and data centres
constexpr size_t maxAddressBytes = 64;
constexpr size_t maxUpdatesPerMessage = 64;
constexpr size_t maxUpstreamsPerUpdate = 32;
constexpr size_t maxWantedKeysPerMessage = 32;

// Identifies an incarnation in updates. It needs half the bytes of the full identifier and is still random.
inline uint64_t memberKey(const Id128& incarnation) { return incarnation.high ^ incarnation.low; }

// The part of a NodeRecord that rarely or never changes during an incarnation.
struct NodeIdentity {
    std::string name;
    Id128 incarnation;
    uint64_t startedAt = 0;
    std::string gossipAddress;
    std::string relayAddress;
    Location location;
    bool operator==(const NodeIdentity&) const = default;
};

// An upstream record with its version. A receiver ignores versions that are not higher than its own.
struct VersionedUpstream {
    UpstreamRecord record;
    uint64_t version = 0; // raised by the executor each time this upstream changes
    bool operator==(const VersionedUpstream&) const = default;
};

// Update about one member. Upstreams that it does not list are unchanged.
struct MemberUpdate {
    uint64_t key = 0; // memberKey() of the incarnation
    uint64_t counter = 0;
    NodeStatus status = NodeStatus::Alive;
    uint32_t revision = 0; // sum of the versions of all its upstreams; a receiver with a lower sum has missed a change
    std::optional<NodeIdentity> identity; // set when the receiver may not know the member yet
    std::vector<VersionedUpstream> upstreams;
    bool operator==(const MemberUpdate&) const = default;
};

// Ping, Ack and PingRequest probe members. Leave and Update spread member updates, which pings and acks carry as well.
// SyncRequest and SyncReply exchange records of the member table. Health carries health summaries.
enum class GossipKind : uint8_t { Ping, Ack, PingRequest, Leave, Update, SyncRequest, SyncReply, Health };
constexpr size_t gossipKindCount = 8;

// One gossip datagram. Some fields have a different meaning in each kind of message.
struct GossipMessage {
    GossipKind kind = GossipKind::Ping;
    std::string sender;
    Id128 incarnation;
    uint64_t startedAt = 0;
    uint64_t sequence = 0; // raised by one with each datagram that an incarnation sends
    uint64_t configurationDigest = 0;
    uint32_t revision = 0; // sum of the versions of the sender's upstreams, as in MemberUpdate
    uint32_t liveCount = 0; // live members known to the sender; a receiver that knows far fewer requests its table
    // Ping, Ack and PingRequest: number of the probe. SyncRequest that compares a bucket: digest of the bucket.
    // SyncReply: 1 if the records are not part of a table exchange with a cursor.
    uint64_t probe = 0;
    uint64_t target = 0; // PingRequest: key of the member to probe; SyncRequest: table bucket to compare
    std::string targetAddress; // PingRequest: address of the member to probe
    std::string cursor; // SyncRequest: names after it are requested; SyncReply: last name that the reply contains
    bool isLast = false; // SyncReply: the table has no names after the cursor
    std::vector<uint64_t> wantedKeys; // SyncRequest: members whose records are requested, in place of the cursor
    std::vector<MemberUpdate> updates;
    std::vector<HealthSummary> health;
};

// Upper bounds of the encoded sizes in bytes. GossipCodecTests checks them against the encoder.
size_t encodedSizeBound(const MemberUpdate&);
size_t encodedSizeBound(const HealthSummary&);
size_t encodedSizeBound(const GossipMessage&);

// A message to send, and the gossip address it goes to.
struct OutgoingGossip {
    std::string address;
    GossipMessage message;
};

//-----------------------------------------------------------------------------
// [SECTION] Changes
//-----------------------------------------------------------------------------

enum class MemberEvent : uint8_t {
    Joined,
    Alive, // a suspected or dead member refuted its status
    Suspected,
    Dead,
    Left,
    Superseded, // a newer process of the same name replaced the member
    UpstreamChanged,
    SelfSuperseded, // a newer process runs under this node's name, so this process must stop
    DigestMismatch, // a peer's configuration digest differs from ours
};

struct MembershipChange {
    MemberEvent event = MemberEvent::Joined;
    std::string node;
    Id128 incarnation;
    std::string upstream; // set for UpstreamChanged only
    uint64_t configurationDigest = 0; // the peer's digest; set for DigestMismatch only
};

//-----------------------------------------------------------------------------
// [SECTION] Membership
//-----------------------------------------------------------------------------

struct MembershipSettings {
    std::vector<std::string> seeds; // gossip addresses to join through
    Duration probePeriod = 1s;
    Duration directTimeout = 200ms; // before indirect probes are requested; cross-region round trips take 60 ms
    Duration probeTimeout = 500ms; // for direct and indirect probes together; without an ack the member is suspected
    Duration minSuspicion = 600ms; // shortest time in which a suspected member can refute
    Duration suspicionPerLog10 = 300ms; // multiplied by log10(number of live members) for the suspicion timeout
    Duration gossipPeriod = 200ms; // between rounds that send queued updates to random members
    Duration deadRetention = 60s; // must exceed the time an update spreads, or old updates would add dead members again
    Duration retryPeriod = 1s; // one address of a dead or forgotten member or a seed is probed in each period
    Duration tableComparisonPeriod = 1s; // anti-entropy: one random bucket is compared with a random member
    Duration joinPhase = 10s; // time after its start in which a node may raise startedAt over an old record of its name
    size_t indirectProbes = 3; // members asked to probe a member that did not answer
    size_t urgentFanout = 4; // members that are sent an urgent change of this node at once
    size_t gossipFanout = 2; // receivers in each gossip round
    size_t crossRegionInterval = 8; // one in this many random probes and gossip targets is in another region
    double retransmitFactor = 3; // times ln(n + 1); with half of it, 1 run in 20 left a member uninformed for seconds
    double bytesPerSecond = 2400; // budget of 3 KB/s less the probes and acks, which are always sent
    double burstBytes = 6000; // most that the gossip budget accumulates; urgent updates may overdraw it by as much
    double syncBytesPerSecond = 128000; // for table replies; joining nodes, which need most of them, are rare
    size_t maxForgottenAddresses = 512; // addresses of removed members that are still probed, in case a partition heals
    double healthBytesPerSecond = 400; // plus what gossip leaves unused; with `bytesPerSecond` it stays below 3 KB/s
    double healthBurstBytes = 2400;
    size_t healthFanout = 6; // members that receive an upstream's summary per round; the next round takes the next ones
    Duration healthPeriod = 500ms; // least time between the starts of two health rounds; the byte budget may stretch it
};

struct MembershipCounters {
    uint64_t messages = 0; // datagrams sent
    uint64_t bytes = 0; // upper bound of the bytes sent, with IP and UDP headers
    uint64_t syncBytes = 0; // part of `bytes` that was sent as table replies
    uint64_t healthBytes = 0; // part of `bytes` that was sent as health summaries
    uint64_t healthRounds = 0; // health rounds started
    uint64_t obsolete = 0; // datagrams received from a superseded incarnation
    uint64_t unknownMembers = 0; // updates received about an unknown member
    uint64_t suspicions = 0; // suspicions raised by this node's own probes
    uint64_t refutations = 0; // reports that this node is suspected or dead, refuted by it
    uint64_t invalid = 0; // updates received whose key does not match their identity
};

// View that one node has of the fleet. Every node probes others and spreads what it learns by gossip, so that all
// views converge. MembershipSettings holds the timing and the traffic budgets.
class Membership {
public:
    // `self` describes this process. Its upstreams are announced with the first messages.
    Membership(MembershipSettings, NodeRecord self, uint64_t seed, Instant now);

    // [SECTION] Input
    void tick(Instant now); // runs timers; call it about every 50 ms
    void received(const GossipMessage&, std::string_view from, Instant now);
    void setUpstream(const UpstreamRecord&, Instant now); // adds or changes one of this node's upstreams
    void leave(Instant now); // announces that this node leaves the fleet
    void addSeed(const std::string& gossipAddress); // adds an address to join through
    void setConfigurationDigest(uint64_t digest) { m_configurationDigest = digest; }
    // Sets the newest health summary of one of this node's upstreams. It is sent to members that run the same service,
    // within the budget for health. Summaries for the same member share a datagram.
    void sendHealth(const HealthSummary&, Instant now);

    // [SECTION] Output
    std::vector<OutgoingGossip> takeMessages();
    std::vector<MembershipChange> takeChanges();

    // [SECTION] View
    const NodeRecord& self() const { return m_self->record; }
    const NodeRecord* find(std::string_view name) const; // null if the name is unknown
    size_t size() const { return m_members.size(); } // all members, including dead ones
    size_t liveCount() const { return m_liveCount; } // alive and suspected members, including this one
    void forEach(const std::function<void(const NodeRecord&)>&) const; // in order of name
    // Staleness of a member's record: how long the member may have been silent without this node knowing.
    Duration age(std::string_view name, Instant now) const;
    // Newest health summary received for each upstream of a service, if not older than `maxAge`.
    std::vector<HealthSummary> peerHealth(std::string_view service, Duration maxAge, Instant now) const;
    Duration suspicionTimeout() const; // time that a suspected member has to refute, before it is declared dead
    size_t retransmitLimit() const; // times that a queued update is sent before it is dropped
    size_t queuedUpdates() const { return m_queuedUpdates.size(); }
    const MembershipCounters& counters() const { return m_counters; }

private:
    struct Member {
        NodeRecord record;
        std::vector<uint64_t> versions; // version of each upstream, in the order of record.upstreams
        uint64_t key = 0;
        uint32_t revision = 0; // sum of `versions`
        uint64_t ringPosition = 0; // hash of the name
        Instant statusSince;
        Instant lastHeard;
    };

    // Reference to a part of a member's record that is still to be gossiped. The current state is sent, so it never
    // becomes outdated in the queue.
    struct QueuedUpdate {
        uint64_t key = 0;
        bool hasIdentity = false;
        std::vector<std::string> upstreams; // names to send without identity; if empty, only the status is sent
        size_t transmits = 0;
        uint64_t order = 0; // higher for newer entries
        bool urgent = false;
    };

    struct Probe {
        uint64_t number = 0;
        uint64_t key = 0; // 0 if the probed address belongs to no live member
        Instant sentAt;
        bool isIndirect = false; // other members were asked to probe, or this probe is done for another member
        std::string replyAddress; // member that requested this probe; empty for own probes
        uint64_t replyNumber = 0; // number of the probe at the member that requested it
    };

    struct ReceivedHealth {
        HealthSummary summary;
        std::string service;
        Instant at; // when the summary was received
    };

    struct OwnHealth {
        HealthSummary summary;
        Instant at; // when sendHealth() set the summary
    };

    // A member that is still to be sent summaries of own upstreams in the current health round.
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
    void send(std::string address, GossipMessage message, bool isSync = false); // isSync: from the sync budget
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
    std::vector<uint64_t> m_nonAliveKeys; // members that are suspected, dead or left
    std::array<std::vector<uint64_t>, 2> m_probeRounds; // shuffled keys still to probe; [0] own region, [1] others
    size_t m_probeCount = 0;
    std::vector<std::string> m_forgottenAddresses; // gossip addresses of removed dead members
    std::map<std::string, ReceivedHealth, std::less<>> m_peerHealth; // received summaries, by upstream
    std::map<std::string, OwnHealth, std::less<>> m_ownHealth; // summaries of this node's upstreams, by upstream
    std::vector<HealthTarget> m_healthTargets; // members still to be sent to in this health round
    uint64_t m_healthRoundNumber = 0;
    Instant m_nextHealthAt;
    std::optional<Instant> m_lastHealthRoundAt; // start of the last health round
    double m_healthTokens = 0; // bytes left in the health budget
    std::vector<OutgoingGossip> m_messages;
    std::vector<MembershipChange> m_changes;
    MembershipCounters m_counters;
    double m_gossipTokens = 0; // bytes left in the gossip budget; may be negative
    double m_syncTokens = 0; // bytes left in the budget for table replies
    size_t m_statusNoticeCount = 0; // notices sent by notifyOfStatus() since the last tick
    std::optional<std::string> m_syncCursor; // last name received; set while a full table is being fetched
    std::string m_syncPeer; // address of the last table request
    Instant m_syncSentAt;
    Instant m_lastSync;
    bool m_hasJoined = false; // a table reply was received
    bool m_isApplyingTable = false; // the updates being applied come from another member's table
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

// State of an upstream for load balancing: a ready or cold upstream counts as degraded while its node is suspected.
UpstreamState candidateState(const NodeRecord&, const UpstreamRecord&);

// Load-balancing candidates of all live members, sorted by service, then upstream. Upstreams of suspected members
// appear as degraded, so that they are chosen last until the member refutes or is declared dead.
CandidateList makeCandidates(const Membership&);

// All upstreams of a service with the staleness of their state, sorted by upstream. They are the input of the floor
// computation, which prevents ejections that would leave the service too few slots.
std::vector<UpstreamView> makeUpstreamViews(const Membership&, std::string_view service, Instant now);

} // namespace Gooseberrymill

#include "Membership.h"

#include <algorithm>
#include <bit>
#include <cassert>
#include <cmath>

namespace Gooseberrymill {

namespace {

constexpr size_t datagramOverhead = 28; // bytes of the IP and UDP headers, which count against the budget
constexpr size_t messageFixedBytes = 104; // encoded version, incarnation, sequence, kind, numbers, counts and MAC
constexpr size_t updateFixedBytes = 24;
constexpr size_t identityFixedBytes = 30;
constexpr size_t upstreamFixedBytes = 24;
constexpr size_t workSummaryBytes = 20;
constexpr size_t maxStatusNoticesPerTick = 4;
constexpr size_t leaveFanout = 8; // members that are told of a leave at once
constexpr size_t leaveRepeats = 4; // gossip rounds that repeat the leave
constexpr size_t maxProbes = 64; // probes that wait for an ack at the same time
constexpr size_t maxHealthSummaries = 1024; // upstreams of peers whose health is stored
constexpr size_t maxQueuedUpdates = 4096;
constexpr size_t targetBucketSize = 8; // members in one bucket of the table comparison, roughly
constexpr uint64_t bucketBitsShift = 56; // upper 8 bits of a bucket: prefix length plus one; lower 56 bits: the prefix
constexpr uint64_t maxBucketBits = 32;
constexpr Duration minCatchUpInterval = 1s; // in the join phase, between table requests when a peer knows more members
// A table is requested when a peer knows more than 1/256 more live members. Smaller differences are normal in large
// fleets, where a few members are always joining.
constexpr size_t catchUpToleranceDivisor = 256;
constexpr Duration syncTimeout = 500ms; // without a reply, the next part of the table is requested from another member
constexpr Duration minSyncInterval = 2s; // between table requests after the join phase, or when a lost address answers
constexpr Duration pauseThreshold = 500ms; // a longer gap between two ticks means that this process was paused

// Position of a name on the ring: FNV-1a with a final mix. Must not change between releases, because all nodes have to
// compute the same positions.
uint64_t hashName(std::string_view name)
{
    uint64_t hash = 0xcbf29ce484222325ULL;
    for (char c : name)
        hash = (hash ^ static_cast<uint8_t>(c)) * 0x100000001b3ULL;
    hash ^= hash >> 32;
    return hash * 0x9e3779b97f4a7c15ULL;
}

// At equal counters the status with the higher precedence wins, which is the worse one. The member overrides it with a
// higher counter, which only the member itself can set.
int statusPrecedence(NodeStatus status) { return static_cast<int>(status); }

// Urgent changes take requests away from an upstream. They are gossiped first and may overdraw the budget.
bool isUrgent(UpstreamState state)
{
    return state == UpstreamState::Draining || state == UpstreamState::Ejected || state == UpstreamState::Degraded
        || state == UpstreamState::Gone;
}

// True if an incarnation started after that of the record. The incarnation identifiers break ties.
bool isNewer(uint64_t startedAt, const Id128& incarnation, const NodeRecord& than)
{
    return std::pair(startedAt, incarnation) > std::pair(than.startedAt, than.incarnation);
}

} // namespace

std::string_view toString(NodeStatus status)
{
    constexpr std::array<std::string_view, 4> names { "alive", "suspect", "dead", "left" };
    auto index = static_cast<size_t>(status);
    return index < names.size() ? names[index] : std::string_view("invalid");
}

size_t encodedSizeBound(const MemberUpdate& update)
{
    size_t n = updateFixedBytes;
    if (const auto& identity = update.identity) {
        n += identityFixedBytes + identity->name.size() + identity->gossipAddress.size() + identity->relayAddress.size()
            + identity->location.region.size() + identity->location.dataCentre.size();
    }
    for (const VersionedUpstream& it : update.upstreams)
        n += upstreamFixedBytes + it.record.name.size() + it.record.service.size();
    return n;
}

size_t encodedSizeBound(const HealthSummary& summary)
{
    return 2 + summary.upstream.size() + summary.work.size() * workSummaryBytes;
}

size_t encodedSizeBound(const GossipMessage& message)
{
    size_t n = messageFixedBytes + message.sender.size() + message.targetAddress.size() + message.cursor.size()
        + message.wantedKeys.size() * sizeof(uint64_t);
    for (const MemberUpdate& it : message.updates)
        n += encodedSizeBound(it);
    for (const HealthSummary& it : message.health)
        n += encodedSizeBound(it);
    return n;
}

//-----------------------------------------------------------------------------
// [SECTION] Construction and input
//-----------------------------------------------------------------------------

Membership::Membership(MembershipSettings settings, NodeRecord self, uint64_t seed, Instant now)
    : m_settings(std::move(settings))
    , m_random(seed)
    , m_healthTokens(m_settings.healthBurstBytes)
    , m_gossipTokens(m_settings.burstBytes)
    , m_syncTokens(m_settings.syncBytesPerSecond)
    , m_startedAt(now)
    , m_lastTick(now)
    , m_lastReceived(now)
{
    assert(!self.name.empty() && self.name.size() <= maxNameBytes);
    std::string name = self.name;
    Member& member = m_members[name];
    member.record = std::move(self);
    member.record.status = NodeStatus::Alive;
    member.versions.assign(member.record.upstreams.size(), 1);
    member.revision = static_cast<uint32_t>(member.versions.size());
    member.key = memberKey(member.record.incarnation);
    member.ringPosition = hashName(name);
    member.statusSince = now;
    member.lastHeard = now;
    m_membersByKey[member.key] = &member;
    m_self = &member;
    // Random phases keep nodes that start together from probing at the same instants.
    auto offset = [&](Duration period) { return now + Duration(random(static_cast<size_t>(period.count()))); };
    m_nextProbeAt = offset(m_settings.probePeriod);
    m_nextGossipAt = offset(m_settings.gossipPeriod);
    m_nextRetryAt = now;
    m_nextTableComparisonAt = offset(m_settings.tableComparisonPeriod);
}

void Membership::tick(Instant now)
{
    assert(now >= m_lastTick);
    Duration gap = now - m_lastTick;
    m_lastTick = now;
    double seconds = std::chrono::duration<double>(gap).count();
    double tokens = m_gossipTokens + seconds * m_settings.bytesPerSecond;
    m_gossipTokens = std::min(m_settings.burstBytes, tokens);
    // Budget that updates leave unused goes to health summaries, so that health rounds are short in a quiet fleet.
    double unused = tokens - m_gossipTokens;
    m_syncTokens = std::min(m_settings.syncBytesPerSecond, m_syncTokens + seconds * m_settings.syncBytesPerSecond);
    m_healthTokens
        = std::min(m_settings.healthBurstBytes, m_healthTokens + seconds * m_settings.healthBytesPerSecond + unused);
    m_statusNoticeCount = 0;
    if (gap > pauseThreshold) {
        // This process was paused. Acks may wait unread in the socket, so missing ones do not show that a member
        // failed.
        m_probes.clear();
        for (auto& [name, member] : m_members) {
            if (member.record.status == NodeStatus::Suspect)
                member.statusSince += gap;
        }
    }
    checkProbes(now);
    checkStatuses(now);
    if (m_self->record.status == NodeStatus::Alive && now >= m_nextProbeAt) {
        m_nextProbeAt = std::max(m_nextProbeAt + m_settings.probePeriod, now);
        probeNext(now);
    }
    if (now >= m_nextGossipAt) {
        m_nextGossipAt = std::max(m_nextGossipAt + m_settings.gossipPeriod, now);
        sendQueuedUpdates(now);
    }
    if (m_self->record.status != NodeStatus::Alive)
        return;
    sendHealthSummaries(now);
    if (now >= m_nextRetryAt) {
        m_nextRetryAt = now + m_settings.retryPeriod;
        retryLostAddresses(now);
    }
    if (now >= m_nextTableComparisonAt) {
        m_nextTableComparisonAt = now + m_settings.tableComparisonPeriod;
        startTableComparison();
    }
    if (m_syncCursor && now - m_syncSentAt >= syncTimeout) {
        auto others = randomMembers(1);
        requestSync(others.empty() ? m_syncPeer : others.front()->record.gossipAddress, now);
    }
}

void Membership::received(const GossipMessage& message, std::string_view from, Instant now)
{
    uint64_t key = memberKey(message.incarnation);
    if (key == m_self->key)
        return; // this node's own datagram, sent back to it
    auto known = m_members.find(message.sender);
    if (known != m_members.end() && known->second.key != key
        && !isNewer(message.startedAt, message.incarnation, known->second.record)) {
        ++m_counters.obsolete;
        return;
    }
    m_lastReceived = now;
    std::vector<uint64_t> wantedKeys;
    m_isApplyingTable = message.kind == GossipKind::SyncReply;
    for (const MemberUpdate& update : message.updates)
        applyUpdate(update, wantedKeys, now);
    Member* sender = byKey(key);
    if (sender)
        sender->lastHeard = now;
    if (!sender || sender->revision < message.revision)
        wantedKeys.push_back(key);
    std::ranges::sort(wantedKeys);
    wantedKeys.erase(std::unique(wantedKeys.begin(), wantedKeys.end()), wantedKeys.end());
    if (message.configurationDigest != m_configurationDigest && sender) {
        reportChange(MemberEvent::DigestMismatch, *sender);
        m_changes.back().configurationDigest = message.configurationDigest;
    }
    Duration catchUpInterval = now - m_startedAt <= m_settings.joinPhase ? minCatchUpInterval : minSyncInterval;
    if (sender && message.liveCount > m_liveCount + m_liveCount / catchUpToleranceDivisor && !m_syncCursor
        && now - m_lastSync >= catchUpInterval && m_self->record.status == NodeStatus::Alive) {
        m_syncCursor = "";
        requestSync(std::string(from), now);
    }
    if (!wantedKeys.empty() && message.kind != GossipKind::SyncReply && m_self->record.status == NodeStatus::Alive) {
        GossipMessage request = makeMessage(GossipKind::SyncRequest);
        wantedKeys.resize(std::min(wantedKeys.size(), maxWantedKeysPerMessage));
        request.wantedKeys = std::move(wantedKeys);
        addSelfRecord(request);
        send(std::string(from), std::move(request));
    }

    switch (message.kind) {
    case GossipKind::Ping: {
        GossipMessage ack = makeMessage(GossipKind::Ack);
        ack.probe = message.probe;
        if (m_self->record.status != NodeStatus::Alive)
            ack.updates.push_back(makeUpdate(*m_self, false, {}));
        // If this node considers the sender suspected or dead, the ack tells the sender, so that it can refute.
        if (sender && sender->record.status != NodeStatus::Alive)
            ack.updates.push_back(makeUpdate(*sender, false, {}));
        addQueuedUpdates(ack);
        send(std::string(from), std::move(ack));
        break;
    }
    case GossipKind::Ack: {
        auto it = std::ranges::find(m_probes, message.probe, &Probe::number);
        if (it == m_probes.end())
            break;
        Probe probe = *it;
        m_probes.erase(it);
        if (!probe.replyAddress.empty()) {
            GossipMessage ack = makeMessage(GossipKind::Ack);
            ack.probe = probe.replyNumber;
            send(probe.replyAddress, std::move(ack));
        } else if (!probe.key && now - m_lastSync >= minSyncInterval) {
            // An address without a live member answers: a partition may have healed.
            m_syncCursor = "";
            requestSync(std::string(from), now);
        }
        break;
    }
    case GossipKind::PingRequest: {
        if (m_probes.size() >= maxProbes || message.targetAddress.empty())
            break;
        Probe probe { m_nextProbeNumber++, message.target, now, true, std::string(from), message.probe };
        GossipMessage ping = makeMessage(GossipKind::Ping);
        ping.probe = probe.number;
        m_probes.push_back(std::move(probe));
        if (const Member* target = byKey(message.target); target && target->record.status != NodeStatus::Alive)
            ping.updates.push_back(makeUpdate(*target, false, {}));
        send(message.targetAddress, std::move(ping));
        break;
    }
    case GossipKind::SyncRequest:
        answerSync(message, from);
        break;
    case GossipKind::SyncReply:
        continueSync(message, from, now);
        break;
    case GossipKind::Health:
        for (const HealthSummary& summary : message.health) {
            if (!sender)
                break;
            auto it = std::ranges::find(sender->record.upstreams, summary.upstream, &UpstreamRecord::name);
            if (it == sender->record.upstreams.end())
                continue;
            if (m_peerHealth.size() < maxHealthSummaries || m_peerHealth.contains(summary.upstream))
                m_peerHealth[summary.upstream] = { summary, it->service, now };
        }
        break;
    case GossipKind::Leave:
    case GossipKind::Update:
        break;
    }
}

void Membership::setUpstream(const UpstreamRecord& upstream, Instant now)
{
    assert(upstream.name.size() <= maxNameBytes && upstream.service.size() <= maxNameBytes);
    NodeRecord& record = m_self->record;
    auto it = std::ranges::find(record.upstreams, upstream.name, &UpstreamRecord::name);
    if (it == record.upstreams.end()) {
        record.upstreams.push_back(upstream);
        m_self->versions.push_back(1);
        ++m_self->revision;
    } else {
        if (*it == upstream)
            return;
        *it = upstream;
        ++m_self->versions[static_cast<size_t>(it - record.upstreams.begin())];
        ++m_self->revision;
    }
    bool urgent = isUrgent(upstream.state);
    enqueue(*m_self, false, { upstream.name }, urgent);
    reportChange(MemberEvent::UpstreamChanged, *m_self, upstream.name);
    if (!urgent)
        return;
    std::array<std::string, 1> names { upstream.name };
    for (const Member* peer : randomMembers(m_settings.urgentFanout)) {
        GossipMessage message = makeMessage(GossipKind::Update);
        message.updates.push_back(makeUpdate(*m_self, false, names));
        send(peer->record.gossipAddress, std::move(message));
    }
    m_nextGossipAt = std::min(m_nextGossipAt, now + m_settings.gossipPeriod);
}

void Membership::addSeed(const std::string& gossipAddress)
{
    auto& seeds = m_settings.seeds;
    if (std::find(seeds.begin(), seeds.end(), gossipAddress) == seeds.end())
        seeds.push_back(gossipAddress);
}

void Membership::leave(Instant now)
{
    if (m_self->record.status == NodeStatus::Left)
        return;
    setStatus(*m_self, NodeStatus::Left, m_self->record.counter + 1, now);
    for (const Member* it : randomMembers(leaveFanout)) {
        GossipMessage message = makeMessage(GossipKind::Leave);
        message.updates.push_back(makeUpdate(*m_self, false, {}));
        send(it->record.gossipAddress, std::move(message));
    }
}

void Membership::sendHealth(const HealthSummary& summary, Instant now)
{
    bool isOwn = std::ranges::find(m_self->record.upstreams, summary.upstream, &UpstreamRecord::name)
        != m_self->record.upstreams.end();
    if (!isOwn || summary.work.size() > maxSummaryWork || summary.work.empty())
        return;
    m_ownHealth[summary.upstream] = { summary, now };
}

// Assigns the summary of each upstream to the next `healthFanout` members of its service on the ring, so that each
// member receives about as many summaries as it sends. The next round continues with the members after these.
void Membership::startHealthRound(Instant now)
{
    m_nextHealthAt = now + m_settings.healthPeriod;
    ++m_counters.healthRounds;
    // A summary older than the start of the last round was sent in that round, or its upstream is gone.
    if (m_lastHealthRoundAt)
        std::erase_if(m_ownHealth, [&](const auto& entry) { return entry.second.at <= *m_lastHealthRoundAt; });
    m_lastHealthRoundAt = now;
    std::unordered_map<std::string_view, std::vector<const Member*>> peers; // by service
    for (const UpstreamRecord& it : m_self->record.upstreams) {
        if (m_ownHealth.contains(it.name))
            peers[it.service];
    }
    for (const auto& [name, member] : m_members) {
        if (&member == m_self || !isLive(member))
            continue;
        for (const UpstreamRecord& it : member.record.upstreams) {
            auto list = it.state == UpstreamState::Gone ? peers.end() : peers.find(it.service);
            if (list != peers.end() && (list->second.empty() || list->second.back() != &member))
                list->second.push_back(&member);
        }
    }
    for (auto& [service, list] : peers) {
        // Unsigned distances wrap around.
        std::ranges::sort(list, {}, [&](const Member* it) { return it->ringPosition - m_self->ringPosition; });
    }
    std::map<uint64_t, std::vector<std::string>> targets;
    for (const UpstreamRecord& it : m_self->record.upstreams) {
        auto list = peers.find(it.service);
        if (list == peers.end() || !m_ownHealth.contains(it.name))
            continue;
        size_t n = std::min(m_settings.healthFanout, list->second.size());
        for (size_t i = 0; i < n; ++i) {
            size_t position = (m_healthRoundNumber * m_settings.healthFanout + i) % list->second.size();
            targets[list->second[position]->key].push_back(it.name);
        }
    }
    ++m_healthRoundNumber;
    for (auto& [key, upstreams] : targets)
        m_healthTargets.push_back({ key, std::move(upstreams) });
    // The last target is served first: the one that needs the most summaries.
    std::ranges::stable_sort(m_healthTargets, {}, [](const HealthTarget& it) { return it.upstreams.size(); });
}

void Membership::sendHealthSummaries(Instant now)
{
    constexpr size_t maxSummaries = 16; // per datagram; the limit of GossipCodec
    if (m_healthTargets.empty() && !m_ownHealth.empty() && now >= m_nextHealthAt)
        startHealthRound(now);
    while (!m_healthTargets.empty() && m_healthTokens > 0) {
        HealthTarget& target = m_healthTargets.back();
        const Member* member = byKey(target.key);
        GossipMessage message = makeMessage(GossipKind::Health);
        while (member && !target.upstreams.empty() && message.health.size() < maxSummaries) {
            auto summary = m_ownHealth.find(target.upstreams.back());
            if (summary != m_ownHealth.end()) {
                if (encodedSizeBound(message) + encodedSizeBound(summary->second.summary) > maxDatagramBytes)
                    break;
                message.health.push_back(summary->second.summary);
            }
            target.upstreams.pop_back();
        }
        if (!member || target.upstreams.empty())
            m_healthTargets.pop_back();
        if (!member || message.health.empty())
            continue;
        auto bytes = encodedSizeBound(message) + datagramOverhead;
        m_healthTokens -= static_cast<double>(bytes);
        m_gossipTokens += static_cast<double>(bytes); // send() deducts it, but health has a budget of its own
        m_counters.healthBytes += bytes;
        send(member->record.gossipAddress, std::move(message));
    }
}

std::vector<OutgoingGossip> Membership::takeMessages() { return std::exchange(m_messages, {}); }
std::vector<MembershipChange> Membership::takeChanges() { return std::exchange(m_changes, {}); }

//-----------------------------------------------------------------------------
// [SECTION] View
//-----------------------------------------------------------------------------

const NodeRecord* Membership::find(std::string_view name) const
{
    auto it = m_members.find(name);
    return it == m_members.end() ? nullptr : &it->second.record;
}

void Membership::forEach(const std::function<void(const NodeRecord&)>& function) const
{
    for (const auto& [name, member] : m_members)
        function(member.record);
}

Duration Membership::age(std::string_view name, Instant now) const
{
    auto it = m_members.find(name);
    if (it == m_members.end())
        return Duration::max();
    const Member& member = it->second;
    if (&member == m_self)
        return {};
    Duration heard = now - member.lastHeard;
    if (member.record.status != NodeStatus::Alive)
        return heard;
    // If the member had failed, other members would have reported it within the detection time. This holds only up to
    // the last datagram that reached this node.
    Duration detection = m_settings.probePeriod + m_settings.probeTimeout + suspicionTimeout();
    return std::min(heard, now - m_lastReceived + detection);
}

std::vector<HealthSummary> Membership::peerHealth(std::string_view service, Duration maxAge, Instant now) const
{
    std::vector<HealthSummary> result;
    for (const auto& [upstream, it] : m_peerHealth) {
        if (it.service == service && now - it.at <= maxAge)
            result.push_back(it.summary);
    }
    return result;
}

Duration Membership::suspicionTimeout() const
{
    double factor = std::log10(static_cast<double>(std::max<size_t>(m_liveCount, 2)));
    Duration scaled(static_cast<int64_t>(factor * static_cast<double>(m_settings.suspicionPerLog10.count())));
    return std::max(m_settings.minSuspicion, scaled);
}

size_t Membership::retransmitLimit() const
{
    return static_cast<size_t>(std::ceil(m_settings.retransmitFactor * std::log(static_cast<double>(m_liveCount) + 1)))
        + 1;
}

//-----------------------------------------------------------------------------
// [SECTION] Sending
//-----------------------------------------------------------------------------

Membership::Member* Membership::byKey(uint64_t key)
{
    auto it = m_membersByKey.find(key);
    return it == m_membersByKey.end() ? nullptr : it->second;
}

GossipMessage Membership::makeMessage(GossipKind kind) const
{
    GossipMessage message;
    message.kind = kind;
    message.sender = m_self->record.name;
    message.incarnation = m_self->record.incarnation;
    message.startedAt = m_self->record.startedAt;
    message.configurationDigest = m_configurationDigest;
    message.revision = m_self->revision;
    message.liveCount = static_cast<uint32_t>(m_liveCount);
    return message;
}

void Membership::send(std::string address, GossipMessage message, bool isSync)
{
    message.sequence = ++m_sequence;
    size_t bytes = encodedSizeBound(message) + datagramOverhead;
    assert(bytes <= maxDatagramBytes + datagramOverhead);
    ++m_counters.messages;
    m_counters.bytes += bytes;
    if (isSync) {
        m_counters.syncBytes += bytes;
        m_syncTokens -= static_cast<double>(bytes);
    } else {
        m_gossipTokens -= static_cast<double>(bytes);
    }
    m_messages.push_back({ std::move(address), std::move(message) });
}

MemberUpdate Membership::makeUpdate(
    const Member& member, bool hasIdentity, std::span<const std::string> upstreams) const
{
    const NodeRecord& record = member.record;
    MemberUpdate update { member.key, record.counter, record.status, member.revision, std::nullopt, {} };
    if (hasIdentity) {
        update.identity = NodeIdentity { record.name, record.incarnation, record.startedAt, record.gossipAddress,
            record.relayAddress, record.location };
    }
    for (const std::string& name : upstreams) {
        auto it = std::ranges::find(record.upstreams, name, &UpstreamRecord::name);
        if (it != record.upstreams.end())
            update.upstreams.push_back({ *it, member.versions[static_cast<size_t>(it - record.upstreams.begin())] });
    }
    return update;
}

// Splits the complete record into as many updates as needed for each to fit into a datagram.
std::vector<MemberUpdate> Membership::makeRecords(const Member& member) const
{
    size_t limit = maxDatagramBytes - messageFixedBytes - 2 * maxNameBytes;
    std::vector<MemberUpdate> records { makeUpdate(member, true, {}) };
    size_t bytes = encodedSizeBound(records.back());
    for (size_t i = 0; i < member.record.upstreams.size(); ++i) {
        VersionedUpstream it { member.record.upstreams[i], member.versions[i] };
        size_t n = upstreamFixedBytes + it.record.name.size() + it.record.service.size();
        if (bytes + n > limit || records.back().upstreams.size() >= maxUpstreamsPerUpdate) {
            records.push_back(makeUpdate(member, true, {}));
            bytes = encodedSizeBound(records.back());
        }
        records.back().upstreams.push_back(std::move(it));
        bytes += n;
    }
    return records;
}

// Adds this node's own record. Its upstreams are left out unless one more status update still fits into the datagram.
void Membership::addSelfRecord(GossipMessage& message) const
{
    MemberUpdate update = makeRecords(*m_self).front();
    if (encodedSizeBound(message) + encodedSizeBound(update) + updateFixedBytes > maxDatagramBytes)
        update.upstreams.clear();
    message.updates.push_back(std::move(update));
}

// Queues a part of a member's record for gossip. An entry for the same part is replaced, and its transmits start anew.
void Membership::enqueue(const Member& member, bool hasIdentity, std::vector<std::string> upstreams, bool urgent)
{
    auto same = [&](const QueuedUpdate& it) {
        return it.key == member.key && it.hasIdentity == hasIdentity && it.upstreams == upstreams;
    };
    std::erase_if(m_queuedUpdates, same);
    if (m_queuedUpdates.size() >= maxQueuedUpdates) {
        // The oldest entry has been spread the most. The table comparison delivers what is lost by dropping it.
        m_queuedUpdates.erase(std::ranges::min_element(m_queuedUpdates, {}, &QueuedUpdate::order));
    }
    m_queuedUpdates.push_back({ member.key, hasIdentity, std::move(upstreams), 0, m_nextOrder++, urgent });
}

// Urgent updates may be sent until the gossip budget is overdrawn by `burstBytes`.
bool Membership::canSendQueuedUpdates() const
{
    if (m_gossipTokens > 0)
        return !m_queuedUpdates.empty();
    return m_gossipTokens > -m_settings.burstBytes && std::ranges::any_of(m_queuedUpdates, &QueuedUpdate::urgent);
}

// Adds queued updates while they fit into the datagram and the budget. Urgent updates may overdraw the budget.
void Membership::addQueuedUpdates(GossipMessage& message)
{
    if (!canSendQueuedUpdates())
        return;
    std::ranges::sort(m_queuedUpdates, [](const QueuedUpdate& a, const QueuedUpdate& b) {
        if (a.urgent != b.urgent)
            return a.urgent;
        if (a.transmits != b.transmits)
            return a.transmits < b.transmits;
        return a.order > b.order;
    });
    size_t bytes = encodedSizeBound(message);
    size_t limit = retransmitLimit();
    for (QueuedUpdate& queued : m_queuedUpdates) {
        if (message.updates.size() >= maxUpdatesPerMessage || bytes + updateFixedBytes > maxDatagramBytes)
            break;
        const Member* member = byKey(queued.key);
        if (!member) {
            queued.transmits = limit;
            continue;
        }
        MemberUpdate update
            = queued.hasIdentity ? makeRecords(*member).front() : makeUpdate(*member, false, queued.upstreams);
        size_t n = encodedSizeBound(update);
        if (bytes + n > maxDatagramBytes)
            continue;
        if (!queued.urgent && static_cast<double>(bytes + n) > m_gossipTokens)
            break;
        bytes += n;
        message.updates.push_back(std::move(update));
        ++queued.transmits;
    }
    std::erase_if(m_queuedUpdates, [&](const QueuedUpdate& it) { return it.transmits >= limit; });
}

// Up to `n` distinct live members other than this node. With `preferRegion` most are of this node's region.
std::vector<const Membership::Member*> Membership::randomMembers(size_t n, uint64_t excludedKey, bool preferRegion)
{
    std::array<std::vector<const Member*>, 2> groups; // own region, other regions
    for (const auto& [name, member] : m_members) {
        if (&member == m_self || !isLive(member) || member.key == excludedKey)
            continue;
        bool isLocal = member.record.location.region == m_self->record.location.region;
        groups[isLocal || !preferRegion ? 0 : 1].push_back(&member);
    }
    std::vector<const Member*> chosen;
    while (chosen.size() < n && (!groups[0].empty() || !groups[1].empty())) {
        bool isCrossRegion = groups[0].empty() || (!groups[1].empty() && !random(m_settings.crossRegionInterval));
        auto& group = groups[isCrossRegion ? 1 : 0];
        std::swap(group[random(group.size())], group.back());
        chosen.push_back(group.back());
        group.pop_back();
    }
    return chosen;
}

//-----------------------------------------------------------------------------
// [SECTION] Periodic work
//-----------------------------------------------------------------------------

// Probes the successor on the ring and a random member. Random probing alone would leave a member unprobed for t
// seconds with probability exp(-t). With the ring, each member is probed by its predecessor in each period.
void Membership::probeNext(Instant now)
{
    const Member* successor = ringSuccessor();
    if (successor)
        probe(*successor, now);
    const Member* member = nextProbeTarget();
    if (member && member != successor)
        probe(*member, now);
}

void Membership::probe(const Member& member, Instant now)
{
    if (m_probes.size() >= maxProbes)
        return;
    GossipMessage ping = makeMessage(GossipKind::Ping);
    ping.probe = m_nextProbeNumber++;
    m_probes.push_back({ ping.probe, member.key, now, false, {}, 0 });
    if (member.record.status != NodeStatus::Alive)
        ping.updates.push_back(makeUpdate(member, false, {}));
    addQueuedUpdates(ping);
    send(member.record.gossipAddress, std::move(ping));
}

// Next alive member of this region on the ring, null if there is none.
const Membership::Member* Membership::ringSuccessor() const
{
    const Member* next = nullptr;
    uint64_t nextDistance = 0;
    for (const auto& [name, member] : m_members) {
        if (&member == m_self || member.record.status != NodeStatus::Alive
            || member.record.location.region != m_self->record.location.region)
            continue;
        uint64_t distance = member.ringPosition - m_self->ringPosition; // unsigned, wraps around
        if (!next || distance < nextDistance) {
            next = &member;
            nextDistance = distance;
        }
    }
    return next;
}

// Next member of a shuffled round over the live members, so that none is probed twice before all were probed once.
// Own region and other regions have separate rounds; every `crossRegionInterval`-th target is in another region.
const Membership::Member* Membership::nextProbeTarget()
{
    bool isCrossRegion = ++m_probeCount % m_settings.crossRegionInterval == 0;
    for (size_t attempt = 0; attempt < 2; ++attempt, isCrossRegion = !isCrossRegion) {
        auto& round = m_probeRounds[isCrossRegion ? 1 : 0];
        if (round.empty()) {
            for (const auto& [name, member] : m_members) {
                bool isLocal = member.record.location.region == m_self->record.location.region;
                if (&member != m_self && isLive(member) && isLocal != isCrossRegion)
                    round.push_back(member.key);
            }
            std::ranges::shuffle(round, m_random);
        }
        while (!round.empty()) {
            const Member* member = byKey(round.back());
            round.pop_back();
            if (member && isLive(*member))
                return member;
        }
    }
    return nullptr;
}

// Requests indirect probes for members that did not answer within `directTimeout`, and suspects those that did not
// answer within `probeTimeout`.
void Membership::checkProbes(Instant now)
{
    std::vector<uint64_t> silent;
    std::erase_if(m_probes, [&](Probe& it) {
        if (now - it.sentAt < m_settings.probeTimeout)
            return false;
        if (it.key && it.replyAddress.empty())
            silent.push_back(it.key);
        return true;
    });
    for (Probe& it : m_probes) {
        if (it.isIndirect || !it.key || now - it.sentAt < m_settings.directTimeout)
            continue;
        it.isIndirect = true;
        const Member* target = byKey(it.key);
        if (!target)
            continue;
        for (const Member* helper : randomMembers(m_settings.indirectProbes, it.key, false)) {
            GossipMessage request = makeMessage(GossipKind::PingRequest);
            request.probe = it.number;
            request.target = it.key;
            request.targetAddress = target->record.gossipAddress;
            send(helper->record.gossipAddress, std::move(request));
        }
    }
    for (uint64_t key : silent) {
        Member* member = byKey(key);
        if (!member || member->record.status != NodeStatus::Alive)
            continue;
        ++m_counters.suspicions;
        setStatus(*member, NodeStatus::Suspect, member->record.counter, now);
        notifyOfStatus(*member);
    }
}

// Declares suspected members dead after the suspicion timeout, and removes dead members and those that left after
// `deadRetention`.
void Membership::checkStatuses(Instant now)
{
    std::vector<std::string> forgotten;
    Duration timeout = suspicionTimeout();
    auto keys = std::exchange(m_nonAliveKeys, {});
    for (uint64_t key : keys) {
        Member* member = byKey(key);
        if (!member || member == m_self || member->record.status == NodeStatus::Alive)
            continue;
        Duration since = now - member->statusSince;
        if (!isLive(*member) && since >= m_settings.deadRetention) {
            forgotten.push_back(member->record.name);
            continue;
        }
        m_nonAliveKeys.push_back(key);
        if (member->record.status == NodeStatus::Suspect && since >= timeout)
            setStatus(*member, NodeStatus::Dead, member->record.counter, now);
    }
    for (const std::string& name : forgotten)
        removeMember(name);
}

// Gossip round: sends queued updates to a few random members. A node that left repeats its leave for some rounds.
void Membership::sendQueuedUpdates(Instant now)
{
    if (!canSendQueuedUpdates())
        return;
    for (const Member* it : randomMembers(m_settings.gossipFanout)) {
        GossipMessage message
            = makeMessage(m_self->record.status == NodeStatus::Left ? GossipKind::Leave : GossipKind::Update);
        if (m_self->record.status == NodeStatus::Left
            && now - m_self->statusSince <= m_settings.gossipPeriod * leaveRepeats)
            message.updates.push_back(makeUpdate(*m_self, false, {}));
        addQueuedUpdates(message);
        if (message.updates.empty())
            break;
        send(it->record.gossipAddress, std::move(message));
    }
}

// Before this node has joined: requests the table from a seed or another lost address. Afterwards: probes one lost
// address, to find members again after a partition has healed.
void Membership::retryLostAddresses(Instant now)
{
    std::vector<std::string> lostAddresses;
    for (const auto& [name, member] : m_members) {
        if (member.record.status == NodeStatus::Dead)
            lostAddresses.push_back(member.record.gossipAddress);
    }
    for (const std::string& it : m_forgottenAddresses)
        lostAddresses.push_back(it);
    for (const std::string& seed : m_settings.seeds) {
        bool isKnown = std::ranges::any_of(
            m_members, [&](const auto& it) { return isLive(it.second) && it.second.record.gossipAddress == seed; });
        if (!isKnown)
            lostAddresses.push_back(seed);
    }
    std::erase(lostAddresses, m_self->record.gossipAddress);
    if (lostAddresses.empty())
        return;
    if (!m_hasJoined) {
        m_syncCursor = "";
        requestSync(lostAddresses[random(lostAddresses.size())], now);
        return;
    }
    if (m_probes.size() >= maxProbes)
        return;
    const std::string& address = lostAddresses[random(lostAddresses.size())];
    GossipMessage ping = makeMessage(GossipKind::Ping);
    ping.probe = m_nextProbeNumber++;
    m_probes.push_back({ ping.probe, 0, now, false, {}, 0 });
    addSelfRecord(ping);
    for (const auto& [name, member] : m_members) {
        if (member.record.status == NodeStatus::Dead && member.record.gossipAddress == address)
            ping.updates.push_back(makeUpdate(member, false, {}));
    }
    send(address, std::move(ping));
}

// Anti-entropy: compares one random bucket of the table with that of a random member. It delivers updates that gossip
// failed to deliver, and costs one small datagram when the buckets are equal.
void Membership::startTableComparison()
{
    auto others = randomMembers(1);
    if (others.empty())
        return;
    uint64_t bits = static_cast<uint64_t>(std::bit_width(m_members.size() / targetBucketSize));
    uint64_t bucket = (bits + 1) << bucketBitsShift | random(size_t(1) << bits);
    GossipMessage request = makeMessage(GossipKind::SyncRequest);
    request.target = bucket;
    request.probe = bucketDigest(bucketMembers(bucket));
    send(others.front()->record.gossipAddress, std::move(request));
}

// Live members whose ring position starts with the prefix of the bucket.
std::vector<const Membership::Member*> Membership::bucketMembers(uint64_t bucket) const
{
    uint64_t bits = std::min<uint64_t>((bucket >> bucketBitsShift) - 1, maxBucketBits);
    uint64_t prefix = bucket & ((uint64_t(1) << bucketBitsShift) - 1);
    std::vector<const Member*> members;
    for (const auto& [name, member] : m_members) {
        if (isLive(member) && (!bits || member.ringPosition >> (64 - bits) == prefix))
            members.push_back(&member);
    }
    return members;
}

// Digest over key, counter and revision of the members. It does not depend on their order.
uint64_t Membership::bucketDigest(std::span<const Member* const> members)
{
    uint64_t digest = 0;
    for (const Member* it : members)
        digest += (it->key ^ it->record.counter << 32 ^ it->revision) * 0x9e3779b97f4a7c15ULL;
    return digest;
}

//-----------------------------------------------------------------------------
// [SECTION] Table exchange
//-----------------------------------------------------------------------------

// Requests the part of the table after the cursor. The first request also introduces this node to the receiver.
void Membership::requestSync(std::string address, Instant now)
{
    GossipMessage request = makeMessage(GossipKind::SyncRequest);
    request.cursor = m_syncCursor.value_or("");
    if (request.cursor.empty()) {
        addSelfRecord(request);
    }
    m_syncPeer = address;
    m_syncSentAt = now;
    m_lastSync = now;
    send(std::move(address), std::move(request));
}

// Sends complete records. The reply is marked by a `probe` of 1, so that it does not move the cursor of a table
// exchange at the receiver.
void Membership::sendRecords(std::span<const Member* const> members, std::string_view to)
{
    GossipMessage reply = makeMessage(GossipKind::SyncReply);
    reply.probe = 1;
    size_t bytes = encodedSizeBound(reply);
    for (const Member* member : members) {
        for (MemberUpdate& it : makeRecords(*member)) {
            size_t n = encodedSizeBound(it);
            if (bytes + n > maxDatagramBytes || reply.updates.size() >= maxUpdatesPerMessage) {
                GossipMessage next = makeMessage(GossipKind::SyncReply);
                next.probe = 1;
                bytes = encodedSizeBound(next);
                send(std::string(to), std::exchange(reply, std::move(next)), true);
            }
            bytes += n;
            reply.updates.push_back(std::move(it));
        }
        if (m_syncTokens <= 0)
            break;
    }
    if (!reply.updates.empty())
        send(std::string(to), std::move(reply), true);
}

// Answers with the records that the request names, those of a bucket whose digest differs, or the next part of the
// table.
void Membership::answerSync(const GossipMessage& request, std::string_view from)
{
    if (m_syncTokens <= 0)
        return; // a joining node times out and asks another member
    if (request.target) {
        auto members = bucketMembers(request.target);
        if (bucketDigest(members) != request.probe)
            sendRecords(members, from);
        return;
    }
    if (!request.wantedKeys.empty()) {
        std::vector<const Member*> members;
        for (uint64_t key : request.wantedKeys) {
            if (const Member* member = byKey(key))
                members.push_back(member);
        }
        sendRecords(members, from);
        return;
    }
    GossipMessage reply = makeMessage(GossipKind::SyncReply);
    size_t bytes = encodedSizeBound(reply) + maxNameBytes; // reserves room for the cursor, which is set last
    auto append = [&](const Member& member) {
        auto records = makeRecords(member);
        size_t n = 0;
        for (const MemberUpdate& it : records)
            n += encodedSizeBound(it);
        if (reply.updates.empty() && records.size() > 1) {
            // A record that needs several datagrams is sent before the reply.
            std::array<const Member*, 1> one { &member };
            sendRecords(one, from);
            return true;
        }
        if (bytes + n > maxDatagramBytes || reply.updates.size() + records.size() > maxUpdatesPerMessage)
            return false;
        bytes += n;
        std::ranges::move(records, std::back_inserter(reply.updates));
        return true;
    };
    auto it = m_members.upper_bound(request.cursor);
    while (it != m_members.end() && append(it->second)) {
        reply.cursor = it->first;
        ++it;
    }
    reply.isLast = it == m_members.end();
    send(std::string(from), std::move(reply), true);
}

// Requests the next part of the table, unless this was the last one or the cursor did not move.
void Membership::continueSync(const GossipMessage& reply, std::string_view from, Instant now)
{
    if (!m_syncCursor || reply.probe)
        return;
    m_hasJoined = true;
    if (reply.isLast || reply.cursor <= *m_syncCursor) {
        if (reply.isLast)
            m_syncCursor.reset();
        return;
    }
    m_syncCursor = reply.cursor;
    requestSync(std::string(from), now);
}

//-----------------------------------------------------------------------------
// [SECTION] Applying updates
//-----------------------------------------------------------------------------

void Membership::reportChange(MemberEvent event, const Member& member, std::string upstream)
{
    m_changes.push_back({ event, member.record.name, member.record.incarnation, std::move(upstream), 0 });
}

void Membership::setStatus(Member& member, NodeStatus status, uint64_t counter, Instant now)
{
    bool wasLive = isLive(member);
    NodeStatus before = member.record.status;
    member.record.status = status;
    member.record.counter = counter;
    bool isNowLive = isLive(member);
    if (wasLive != isNowLive)
        m_liveCount += isNowLive ? 1 : static_cast<size_t>(-1);
    enqueue(member, before == NodeStatus::Dead && status == NodeStatus::Alive, {}, true);
    if (before == status)
        return;
    member.statusSince = now;
    if (status != NodeStatus::Alive && std::ranges::find(m_nonAliveKeys, member.key) == m_nonAliveKeys.end())
        m_nonAliveKeys.push_back(member.key);
    switch (status) {
    case NodeStatus::Alive:
        reportChange(MemberEvent::Alive, member);
        break;
    case NodeStatus::Suspect:
        reportChange(MemberEvent::Suspected, member);
        break;
    case NodeStatus::Dead:
        reportChange(MemberEvent::Dead, member);
        break;
    case NodeStatus::Left:
        reportChange(MemberEvent::Left, member);
        break;
    }
}

// Answers a report that this node is suspected or dead with a higher counter, which overrides the report.
void Membership::refute(uint64_t counter, Instant now)
{
    ++m_counters.refutations;
    m_self->record.counter = counter + 1;
    enqueue(*m_self, true, {}, true);
    for (const Member* it : randomMembers(m_settings.urgentFanout)) {
        if (m_gossipTokens <= -m_settings.burstBytes)
            break;
        GossipMessage message = makeMessage(GossipKind::Update);
        addSelfRecord(message);
        send(it->record.gossipAddress, std::move(message));
    }
    m_nextGossipAt = std::min(m_nextGossipAt, now);
}

void Membership::applyUpdateAboutSelf(const MemberUpdate& update, Instant now)
{
    if (m_self->record.status != NodeStatus::Alive)
        return;
    if (update.status != NodeStatus::Alive && update.counter >= m_self->record.counter)
        refute(update.counter, now);
}

void Membership::supersede(Member& member)
{
    reportChange(MemberEvent::Superseded, member);
    m_membersByKey.erase(member.key);
    if (isLive(member))
        --m_liveCount;
}

// Adds a member, or replaces an older incarnation of the same name. Returns null if the update is about an older
// incarnation, a dead member or one that left, or if its name is that of this node.
Membership::Member* Membership::addMember(const MemberUpdate& update, Instant now)
{
    const NodeIdentity& identity = *update.identity;
    auto it = m_members.find(identity.name);
    if (it != m_members.end()) {
        Member& old = it->second;
        if (!isNewer(identity.startedAt, identity.incarnation, old.record))
            return nullptr;
        if (&old == m_self) {
            if (now - m_startedAt <= m_settings.joinPhase) {
                // So early this is taken for the record of an ended process that looks newer because the wall clock
                // went back. Without a higher startedAt, that record would replace this one.
                m_self->record.startedAt = identity.startedAt + 1;
                enqueue(*m_self, true, {}, true);
            } else {
                reportChange(MemberEvent::SelfSuperseded, *m_self);
            }
            return nullptr;
        }
        supersede(old);
        m_members.erase(it);
    }
    if (update.status == NodeStatus::Dead || update.status == NodeStatus::Left)
        return nullptr; // unknown here, or already removed; adding it would bring a removed member back
    Member& member = m_members[identity.name];
    member.record.name = identity.name;
    member.record.incarnation = identity.incarnation;
    member.record.startedAt = identity.startedAt;
    member.record.counter = update.counter;
    member.record.status = update.status;
    member.record.gossipAddress = identity.gossipAddress;
    member.record.relayAddress = identity.relayAddress;
    member.record.location = identity.location;
    member.key = update.key;
    member.ringPosition = hashName(identity.name);
    member.statusSince = now;
    member.lastHeard = now;
    m_membersByKey[member.key] = &member;
    if (member.record.status != NodeStatus::Alive)
        m_nonAliveKeys.push_back(member.key);
    ++m_liveCount;
    std::erase(m_forgottenAddresses, identity.gossipAddress);
    // The content of a table reply is already known to other members, so it is not gossiped further.
    if (!m_isApplyingTable)
        enqueue(member, true, {}, false);
    reportChange(MemberEvent::Joined, member);
    return &member;
}

// Applies an update. Members whose record is missing or incomplete here are added to `wantedKeys`.
void Membership::applyUpdate(const MemberUpdate& update, std::vector<uint64_t>& wantedKeys, Instant now)
{
    if (update.identity && memberKey(update.identity->incarnation) != update.key) {
        ++m_counters.invalid;
        return;
    }
    if (update.key == m_self->key) {
        applyUpdateAboutSelf(update, now);
        return;
    }
    Member* member = byKey(update.key);
    if (!member) {
        if (update.identity) {
            member = addMember(update, now);
            if (!member)
                return;
            applyUpstreams(*member, update, false);
            if (member->revision < update.revision && wantedKeys.size() < maxWantedKeysPerMessage)
                wantedKeys.push_back(update.key);
            return;
        }
        ++m_counters.unknownMembers;
        if (update.status != NodeStatus::Dead && update.status != NodeStatus::Left
            && wantedKeys.size() < maxWantedKeysPerMessage)
            wantedKeys.push_back(update.key);
        return;
    }
    if (update.identity && update.identity->startedAt > member->record.startedAt)
        member->record.startedAt = update.identity->startedAt;
    applyStatus(*member, update, now);
    applyUpstreams(*member, update, true);
    if (isLive(*member) && member->revision < update.revision && wantedKeys.size() < maxWantedKeysPerMessage)
        wantedKeys.push_back(update.key);
}

void Membership::applyStatus(Member& member, const MemberUpdate& update, Instant now)
{
    NodeRecord& record = member.record;
    if (record.status == NodeStatus::Left)
        return; // final for an incarnation
    bool isNewerStatus = update.counter > record.counter
        || (update.counter == record.counter && statusPrecedence(update.status) > statusPrecedence(record.status));
    if (!isNewerStatus) {
        // The sender considers a member alive that is dead here. Only the member itself can refute its death.
        if (update.status == NodeStatus::Alive && record.status == NodeStatus::Dead)
            notifyOfStatus(member);
        return;
    }
    NodeStatus status = update.status;
    // A death that was not preceded by a suspicion here comes from the other side of a partition or a cut link. The
    // member is only suspected, which gives it the suspicion timeout to refute.
    if (status == NodeStatus::Dead && record.status == NodeStatus::Alive)
        status = NodeStatus::Suspect;
    setStatus(member, status, update.counter, now);
}

// `forwards`: whether changed upstreams are gossiped further.
void Membership::applyUpstreams(Member& member, const MemberUpdate& update, bool forwards)
{
    auto& known = member.record.upstreams;
    for (const VersionedUpstream& it : update.upstreams) {
        auto old = std::ranges::find(known, it.record.name, &UpstreamRecord::name);
        if (old == known.end()) {
            known.push_back(it.record);
            member.versions.push_back(it.version);
            member.revision += static_cast<uint32_t>(it.version);
        } else {
            uint64_t& version = member.versions[static_cast<size_t>(old - known.begin())];
            if (version >= it.version)
                continue;
            member.revision += static_cast<uint32_t>(it.version - version);
            version = it.version;
            *old = it.record;
        }
        reportChange(MemberEvent::UpstreamChanged, member, it.record.name);
        if (forwards && !m_isApplyingTable)
            enqueue(member, false, { it.record.name }, isUrgent(it.record.state));
    }
}

// Tells a member directly which status it has here, so that it can refute. Limited to `maxStatusNoticesPerTick`.
void Membership::notifyOfStatus(const Member& member)
{
    if (m_statusNoticeCount >= maxStatusNoticesPerTick)
        return;
    ++m_statusNoticeCount;
    GossipMessage message = makeMessage(GossipKind::Update);
    message.updates.push_back(makeUpdate(member, false, {}));
    send(member.record.gossipAddress, std::move(message));
}

// Keeps the address of a removed member for later probes. A random entry is replaced when the list is full.
void Membership::rememberAddress(const std::string& address)
{
    if (std::ranges::find(m_forgottenAddresses, address) != m_forgottenAddresses.end())
        return;
    if (m_forgottenAddresses.size() >= m_settings.maxForgottenAddresses)
        m_forgottenAddresses[random(m_forgottenAddresses.size())] = address;
    else
        m_forgottenAddresses.push_back(address);
}

void Membership::removeMember(const std::string& name)
{
    auto it = m_members.find(name);
    if (it->second.record.status == NodeStatus::Dead)
        rememberAddress(it->second.record.gossipAddress);
    m_membersByKey.erase(it->second.key);
    m_members.erase(it);
}

//-----------------------------------------------------------------------------
// [SECTION] Derived lists
//-----------------------------------------------------------------------------

UpstreamState candidateState(const NodeRecord& node, const UpstreamRecord& upstream)
{
    bool isPreferred = upstream.state == UpstreamState::Ready || upstream.state == UpstreamState::Cold;
    return node.status == NodeStatus::Suspect && isPreferred ? UpstreamState::Degraded : upstream.state;
}

CandidateList makeCandidates(const Membership& membership)
{
    CandidateList candidates;
    membership.forEach([&](const NodeRecord& node) {
        if (node.status != NodeStatus::Alive && node.status != NodeStatus::Suspect)
            return;
        for (const UpstreamRecord& it : node.upstreams) {
            if (it.state == UpstreamState::Gone)
                continue;
            candidates.push_back({ it.name, it.service, node.name, node.relayAddress, node.incarnation, node.location,
                it.slots, candidateState(node, it), it.share });
        }
    });
    std::ranges::sort(candidates, {}, [](const Candidate& it) { return std::tie(it.service, it.upstream); });
    return candidates;
}

std::vector<UpstreamView> makeUpstreamViews(const Membership& membership, std::string_view service, Instant now)
{
    std::vector<UpstreamView> views;
    membership.forEach([&](const NodeRecord& node) {
        bool isGone = node.status == NodeStatus::Dead || node.status == NodeStatus::Left;
        for (const UpstreamRecord& it : node.upstreams) {
            if (it.service != service)
                continue;
            views.push_back({ it.name, node.incarnation, it.slots, isGone ? UpstreamState::Gone : it.state, it.severity,
                membership.age(node.name, now) });
        }
    });
    std::ranges::sort(views, {}, &UpstreamView::upstream);
    return views;
}

} // namespace Gooseberrymill

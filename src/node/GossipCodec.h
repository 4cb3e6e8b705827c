// Wire format of gossip datagrams: a version byte, a message in cereal's portable binary format and a MAC under the
// fleet key. All lengths are bounded, and replayed datagrams are rejected.
#pragma once

#include "core/Membership.h"
#include "FleetAuth.h"

namespace Gooseberrymill {

constexpr uint8_t gossipVersion = 1; // written by the encoder
constexpr uint8_t oldestGossipVersion = 1; // oldest version decoded, so that a fleet can be upgraded node by node

// Number of received datagrams that were dropped, by reason.
struct GossipDrops {
    uint64_t tooLarge = 0;
    uint64_t malformed = 0;
    uint64_t unsupported = 0; // version of the format is not supported
    uint64_t notAuthentic = 0; // MAC does not match
    uint64_t replayed = 0; // sequence number already seen, or older than the window
    uint64_t staleIncarnation = 0; // sent by an older incarnation of the sender
    uint64_t total() const { return tooLarge + malformed + unsupported + notAuthentic + replayed + staleIncarnation; }
};

// Sliding window over the sequence numbers of one sender. Tolerates reordering within the window.
class SequenceWindow {
public:
    // Marks the number as seen. Returns false if it was seen before or is older than the window.
    bool accept(uint64_t sequence);

private:
    static constexpr uint64_t windowBits = 64;
    uint64_t m_highest = 0;
    uint64_t m_seen = 0; // bit i is set if m_highest - i was seen
};

// Replay protection for all senders. At most `maxSenders` are tracked; the least recently used one is evicted first.
class ReplayFilter {
public:
    explicit ReplayFilter(size_t maxSenders = 16384);

    // Records the message and counts it in the drops if it is a replay or comes from an older incarnation.
    std::error_code check(const GossipMessage&, GossipDrops&);
    size_t size() const { return m_senders.size(); }

private:
    struct Sender {
        Id128 incarnation;
        uint64_t startedAt = 0;
        SequenceWindow window;
        uint64_t lastUse = 0; // m_useCounter at the last message of this incarnation; smallest is evicted first
    };

    size_t m_maxSenders;
    uint64_t m_useCounter = 0; // logical clock of the eviction order
    std::unordered_map<std::string, Sender> m_senders;
};

// Encodes, authenticates and decodes datagrams with the fleet key.
class GossipCodec {
public:
    explicit GossipCodec(std::span<const uint8_t> key);

    // Returns an empty datagram and TooLarge if a field exceeds its bound or the message does not fit into a datagram.
    std::vector<uint8_t> encode(const GossipMessage&, std::error_code&) const;

    // Checks size, authenticity, version, bounds and replay, in this order. Each failure is counted once in drops().
    std::optional<GossipMessage> decode(std::span<const uint8_t> datagram, std::error_code&);

    const GossipDrops& drops() const { return m_drops; }
    const ReplayFilter& replayFilter() const { return m_replayFilter; }

private:
    std::error_code parse(std::span<const uint8_t> datagram, GossipMessage&);

    std::vector<uint8_t> m_key;
    ReplayFilter m_replayFilter;
    GossipDrops m_drops;
};

} // namespace Gooseberrymill

// Encoding of gossip datagrams: cereal portable binary, authenticated, bounded, protected against replay.
#pragma once

#include "core/Membership.h"
#include "FleetAuth.h"

namespace Gooseberrymill {

constexpr uint8_t gossipVersion = 1;
constexpr uint8_t oldestGossipVersion = 1; // a decoder accepts the previous version during an upgrade

// Counts of dropped datagrams, by reason.
struct GossipDrops {
    uint64_t tooLarge = 0;
    uint64_t malformed = 0;
    uint64_t unsupported = 0; // message version
    uint64_t notAuthentic = 0;
    uint64_t replayed = 0;
    uint64_t staleIncarnation = 0; // of an older incarnation of the sender
    uint64_t total() const { return tooLarge + malformed + unsupported + notAuthentic + replayed + staleIncarnation; }
};

// Remembers which sequence numbers of a sender have been seen, as a window that slides forward.
class SequenceWindow {
public:
    bool accept(uint64_t sequence); // false: seen before, or older than the window

private:
    static constexpr uint64_t windowBits = 64;
    uint64_t m_highest = 0;
    uint64_t m_seen = 0; // bit i: m_highest - i was seen
};

// Replay protection over all senders. Memory is bounded: the sender that was silent longest goes first.
class ReplayFilter {
public:
    explicit ReplayFilter(size_t maxSenders = 16384);

    std::error_code check(const GossipMessage&, GossipDrops&);
    size_t size() const { return m_senders.size(); }

private:
    struct Sender {
        Id128 incarnation;
        uint64_t startedAt = 0;
        SequenceWindow window;
        uint64_t lastUse = 0;
    };

    size_t m_maxSenders;
    uint64_t m_useCounter = 0;
    std::unordered_map<std::string, Sender> m_senders;
};

// Encodes and decodes datagrams under the fleet key.
class GossipCodec {
public:
    explicit GossipCodec(std::span<const uint8_t> key);

    // Empty with an error when a field exceeds its bound or the datagram its size.
    std::vector<uint8_t> encode(const GossipMessage&, std::error_code&) const;

    // Checks size, version, authenticity and bounds, then replay. Each failure is counted once.
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

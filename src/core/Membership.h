// SWIM-like membership: failure detection and dissemination over datagrams.
//
// The class does no I/O: it takes datagrams and the time, and returns datagrams to send.
#pragma once

#include "Ejection.h"

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

} // namespace Gooseberrymill

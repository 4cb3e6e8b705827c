// What a node remembers for its peers: the departures of their upstreams, which they forget when they restart. Does no
// I/O, reads no clock.
#pragma once

#include "RelayMessages.h"

#include <map>

namespace Gooseberrymill {

class DepartureBook {
public:
    // Longer than a late announcement takes, and than a process that leaves serves on.
    static constexpr Duration lifetime = 5min;
    static constexpr size_t maxNodes = 2048; // bounds memory; further nodes are not recorded

    void record(const DepartureNotice&, Instant now);

    // The departures of a node that its present incarnation does not know. They are returned until told() names them.
    std::vector<UpstreamDeparture> unknownTo(std::string_view node, const Id128& incarnation) const;
    void told(std::string_view node, const Id128& incarnation, std::span<const UpstreamDeparture> departures);

    void tick(Instant now); // removes what has outlived its lifetime
    bool isEmpty() const { return m_nodes.empty(); }

private:
    struct Entry {
        UpstreamDeparture departure;
        Id128 knownTo; // latest incarnation of the node that knows of it
        Instant recordedAt {};
    };

    std::map<std::string, std::vector<Entry>, std::less<>> m_nodes; // the latest ones of each node, one an instance
};

} // namespace Gooseberrymill

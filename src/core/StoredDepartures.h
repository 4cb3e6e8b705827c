// The departures of one node's upstreams as the object store holds them. Does no I/O, reads no clock.
#pragma once

#include "RelayMessages.h"

#include <span>

namespace Gooseberrymill {

// At most maxDeparturesPerNode, one for each instance; the oldest is removed first.
class StoredDepartures {
public:
    // Adds a departure, or raises the start time of a known one. Returns false if it is covered already.
    bool add(const UpstreamDeparture&);
    // Adds departures that are older than all of these, so that they are removed before them.
    void addOlder(std::span<const UpstreamDeparture>);
    bool covers(const UpstreamDeparture&) const;
    bool coversAll(std::span<const UpstreamDeparture>) const;

    std::span<const UpstreamDeparture> entries() const { return m_entries; }
    bool isEmpty() const { return m_entries.empty(); }
    void clear() { m_entries.clear(); }

private:
    std::vector<UpstreamDeparture> m_entries; // the oldest first
};

} // namespace Gooseberrymill

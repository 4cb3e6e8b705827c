// Which peers remember the departures that this node has acknowledged, and which peers it still has to tell. Does no
// I/O, reads no clock.
#pragma once

#include "Membership.h"
#include "RelayMessages.h"

#include <map>
#include <random>
#include <set>

namespace Gooseberrymill {

class DepartureCopies {
public:
    static constexpr size_t wanted = 16; // copies of a departure; enough when most nodes of a region restart
    static constexpr Duration lifetime = 5min; // as long as the peers remember a departure

    using Notices = std::map<const NodeRecord*, std::vector<UpstreamDeparture>>;

    bool add(const UpstreamDeparture&, Instant now); // false: already known

    // What to send to which of these peers, until each departure has its copies. A peer that has restarted has lost its
    // copy. The peers chosen are not chosen again before answered() names them.
    Notices due(std::span<const NodeRecord* const> peers, std::mt19937_64&);
    void answered(const std::string& peer, const Id128& incarnation, std::span<const UpstreamDeparture>, bool isStored);

    void tick(Instant now); // removes what has outlived its lifetime
    bool isEmpty() const { return m_entries.empty(); }

private:
    struct Entry {
        UpstreamDeparture departure;
        Instant addedAt {};
        std::map<std::string, Id128, std::less<>> holders; // peers that have a copy, and the incarnation that got it
        std::set<std::string, std::less<>> pending; // peers that have not answered yet

        bool isAtOrPending(const NodeRecord& peer) const;
    };

    std::vector<Entry> m_entries; // at most maxDeparturesPerNode, the latest one of each instance
};

} // namespace Gooseberrymill

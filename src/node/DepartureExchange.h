// Departures of upstreams, between the nodes of a region. A node acknowledges that its upstream leaves, and this must
// hold after a restart, but it has no disk: peers remember the departure and return it. Runs on the control task.
#pragma once

#include "core/DepartureBook.h"
#include "core/DepartureCopies.h"
#include "core/NodeDirectory.h"
#include "RelayClient.h"

#include <random>
#include <set>

namespace Gooseberrymill {

class DepartureExchange {
public:
    struct Options {
        std::string node; // this node
        std::string region; // of the peers that remember its departures
        Id128 incarnation; // of this node
        Duration replyTimeout = 1s;
    };

    // `returned`: a peer returns a departure that this node has forgotten. The references must outlive this object.
    DepartureExchange(Options, RelayClient&, const NodeDirectory&, uint64_t seed,
        std::function<void(const UpstreamDeparture&)> returned);

    void share(const UpstreamDeparture&); // of this node's upstream; does nothing if it is already shared
    void onNotice(const DepartureNotice&);
    void tick(Instant now);

private:
    size_t tellPeers(Instant now); // sends them the departures of this node that lack copies; returns how many it tells
    void returnToRestarted(); // sends peers that have restarted their departures

    Options m_options;
    RelayClient& m_relay;
    const NodeDirectory& m_directory;
    std::mt19937_64 m_random;
    std::function<void(const UpstreamDeparture&)> m_returned;
    DepartureCopies m_copies; // departures of this node's upstream
    Instant m_nextTelling {};
    DepartureBook m_book; // departures of the peers' upstreams
    std::set<std::string, std::less<>> m_returningTo; // peers whose reply to returned departures is pending
};

} // namespace Gooseberrymill

// Settings of one node process, read from a TOML file at startup (SettingsFile.h). Services, routes and policies are
// not settings: they are the configuration of the whole fleet (core/Configuration.h).
#pragma once

#include "core/Basics.h"

namespace Gooseberrymill {

// Local address that a server binds.
struct ListenAddress {
    std::string host = "127.0.0.1"; // IP address without brackets
    uint16_t port = 0; // 0: any free port; the port that was bound is logged in the event "listening"
    bool operator==(const ListenAddress&) const = default;
};

// How nodes discover each other.
enum class Discovery : uint8_t {
    Gossip, // nodes join through Settings::seeds and then run the SWIM membership protocol over UDP
    Store, // nodes register in a directory in the object store and then exchange messages over the relay
};

struct Settings {
    // [node]
    std::string nodeName; // name of the node, unique in the fleet
    Location location; // region and data centre of the instance
    uint32_t workers = 4; // number of threads that serve callers

    // [upstream]: the upstream of this instance; if empty, upstreams are known only after they announce themselves
    std::string upstreamService; // service that the upstream belongs to; empty: taken from its announcement
    std::string upstreamAddress; // "ip:port" of the upstream's HTTP server; empty: any address may be announced

    // [platform]
    std::string platform; // name of the adapter for the platform's interfaces; empty: the project's own interfaces

    // [listen] and [advertise]: addresses to bind, and the addresses that other nodes use if these differ
    ListenAddress callerListen; // HTTP/1.1 requests of callers
    ListenAddress relayListen; // relay connections of other nodes, over TCP
    ListenAddress gossipListen; // gossip messages of other nodes, over UDP
    std::optional<ListenAddress>
        readinessListen; // HTTP readiness check of the platform; empty: served on the admin address
    std::optional<ListenAddress> metricsListen; // HTTP metrics page; empty: served on the admin address
    ListenAddress adminListen; // HTTP interface for operators and local upstreams; loopback by default
    std::string relayAdvertise; // relay address "ip:port" told to other nodes; empty: the bound address
    std::string gossipAdvertise; // gossip address "ip:port" told to other nodes; empty: the bound address

    // [fleet]
    std::string fleetKey; // secret shared by all nodes of the fleet, at least 16 characters
    Discovery discovery = Discovery::Gossip; // how this node discovers the others
    bool isFleetFirstStart = true; // false: the store already holds records of other nodes, which are read at once
    std::vector<Location> dataCentres; // all data centres of the fleet, for Discovery::Store
    std::vector<std::string> seeds; // gossip addresses "ip:port" of nodes to join through

    // [store]
    std::string storeUrl; // URL "http://ip:port" of the object store; empty: no store, for trials only
    Duration storeTimeout = 2s; // timeout of a store request

    // [limits]
    uint32_t maxCallerConnections = 4096; // most open connections of callers
    uint32_t maxHeaderBytes = 32 * 1024; // largest size of all header lines of a request
    uint64_t maxOperationBodyBytes = 1 << 20; // largest body of a non-repeatable request, which is buffered completely
    Duration callerIdleTimeout = 60s; // time after which an idle connection of a caller is closed
    Duration connectTimeout = 1s; // timeout of connecting to an upstream or a node
    Duration relayIdleTimeout = 30s; // time after which an idle connection to another node is closed
    Duration upstreamIdleTimeout {}; // time until an idle upstream connection is closed; 0: the upstream closes it

    // [retry]: retry budget of each service over the whole fleet, in any window of 10 s
    double retryShare = 0; // retries as a share of the requests of a service; 0: RetryPolicy::budgetShare applies
    double retryBurst = 0; // retries of a service allowed in addition to the share; 0: none

    // [drain]
    Duration drainGracePeriod = 1s; // time after SIGTERM during which connections of callers are still accepted
    Duration drainTimeout {}; // longest wait for requests in flight after SIGTERM; 0: no limit

    // [keys]: keys of organisations
    // Time after a key was taken away from which no request with it runs, also at nodes that are cut off; 0: as the
    // configuration arrives.
    Duration keyRevocationBound {};

    // [quota]: requests of an organisation over the whole fleet; in each window it may run
    // (rate * window + burst) * (1 + overage) + slack
    Duration quotaWindow = 5s;
    double quotaOverage = 0; // share
    uint32_t quotaSlack = 0; // requests

    // [balancing]
    // Whether a request that finds all slots of an upstream taken may go on to another one.
    bool triesOthersWhenFull = false;

    // [trace]
    std::string traceFile; // file that decisions are recorded to; empty: no recording

    bool operator==(const Settings&) const = default;
};

} // namespace Gooseberrymill

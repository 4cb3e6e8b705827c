// Settings of one process, from a TOML file. Services and routes are configuration, not settings.
#pragma once

#include "core/Basics.h"

namespace Gooseberrymill {

struct ListenAddress {
    std::string host = "127.0.0.1";
    uint16_t port = 0; // 0: any free port; the port taken is logged as "listening"
    bool operator==(const ListenAddress&) const = default;
};

// How nodes find each other.
enum class Discovery : uint8_t {
    Gossip, // seeds of the settings, then SWIM membership over UDP
    Store, // a directory in the object store, then messages between nodes over the relay
};

struct Settings {
    // [node]
    std::string nodeName; // unique in the fleet
    Location location; // region and data centre
    uint32_t workers = 4; // threads that serve callers

    // [upstream]: the upstream of this instance; empty: upstreams are only known once they announce themselves
    std::string upstreamService; // service that the upstream belongs to
    std::string upstreamAddress; // "ip:port" of its HTTP server

    // [platform]
    std::string platform; // name of the adapter that speaks to the platform; empty: the interfaces of this project

    // [listen] and [advertise]: peers and callers may see other addresses than the ones bound here
    ListenAddress callerListen; // HTTP/1.1 for callers
    ListenAddress relayListen; // TCP for other nodes
    ListenAddress gossipListen; // UDP for other nodes
    std::optional<ListenAddress>
        readinessListen; // HTTP for the platform's readiness check; empty: on the admin address
    std::optional<ListenAddress> metricsListen; // HTTP for the metrics page; empty: on the admin address
    ListenAddress adminListen; // HTTP for operators and local upstreams; loopback unless set otherwise
    std::string relayAdvertise; // "ip:port"; empty: the address bound
    std::string gossipAdvertise; // "ip:port"; empty: the address bound

    // [fleet]
    std::string fleetKey; // shared secret of all nodes, at least 16 characters
    Discovery discovery = Discovery::Gossip;
    bool isFleetFirstStart = true; // of the whole fleet; otherwise the store already holds the records of other nodes
    std::vector<Location> dataCentres; // of the whole fleet, for Discovery::Store
    std::vector<std::string> seeds; // gossip addresses "ip:port" to join through

    // [store]
    std::string storeUrl; // "http://ip:port"; empty: no store, for trials only
    Duration storeTimeout = 2s;

    // [limits]
    uint32_t maxCallerConnections = 4096;
    uint32_t maxHeaderBytes = 32 * 1024;
    uint64_t maxOperationBodyBytes = 1 << 20; // a non-repeatable request is held whole before it runs
    Duration callerIdleTimeout = 60s; // of a caller's connection
    Duration connectTimeout = 1s; // to an upstream or a node
    Duration relayIdleTimeout = 30s; // of a connection to another node
    Duration upstreamIdleTimeout {}; // of a kept-alive connection to an upstream; 0: until the upstream closes it

    // [retry]: bounds of the whole fleet, in any window; 0: the share that each service configures, without slack
    double retryShare = 0; // retries as a share of the requests of a service
    double retryBurst = 0; // retries beyond the share

    // [drain]
    Duration drainGracePeriod = 1s; // time in which callers' connections are still accepted after SIGTERM
    Duration drainTimeout {}; // 0: wait for every request in flight

    // [trace]
    std::string traceFile; // empty: decisions are not recorded

    bool operator==(const Settings&) const = default;
};

} // namespace Gooseberrymill

// Settings of one process, from a TOML file. Services and routes are configuration, not settings.
#pragma once

#include "core/Basics.h"

namespace Gooseberrymill {

struct ListenAddress {
    std::string host = "127.0.0.1";
    uint16_t port = 0; // 0: any free port; the port taken is logged as "listening"
    bool operator==(const ListenAddress&) const = default;
};

struct Settings {
    // [node]
    std::string nodeName; // unique in the fleet
    Location location; // region and data centre
    uint32_t workers = 4; // threads that serve callers

    // [listen] and [advertise]: peers and callers may see other addresses than the ones bound here
    ListenAddress callerListen; // HTTP/1.1 for callers
    ListenAddress relayListen; // TCP for other nodes
    ListenAddress gossipListen; // UDP for other nodes
    ListenAddress adminListen; // HTTP for operators and local upstreams; loopback unless set otherwise
    std::string relayAdvertise; // "ip:port"; empty: the address bound
    std::string gossipAdvertise; // "ip:port"; empty: the address bound

    // [fleet]
    std::string fleetKey; // shared secret of all nodes, at least 16 characters
    std::vector<std::string> seeds; // gossip addresses "ip:port" to join through

    // [store]
    std::string storeUrl; // "http://ip:port"; empty: no store, for trials only
    Duration storeTimeout = 2s;

    // [limits]
    uint32_t maxCallerConnections = 4096;
    uint32_t maxHeaderBytes = 32 * 1024;
    uint64_t maxOperationBodyBytes = 1 << 20; // a non-repeatable request is held whole before it runs
    Duration idleTimeout = 60s; // of a caller's connection
    Duration connectTimeout = 1s; // to an upstream or a node
    Duration relayIdleTimeout = 30s; // of a connection to another node

    // [drain]
    Duration drainGrace = 1s; // time in which callers' connections are still accepted after SIGTERM
    Duration drainLimit {}; // 0: wait for every request in flight

    // [trace]
    std::string traceFile; // empty: decisions are not recorded

    bool operator==(const Settings&) const = default;
};

} // namespace Gooseberrymill

// HTTP server on the admin address: metrics, status, announcements of local upstreams, unresolved operations.
//
//   GET  /healthz                 200 when the node is healthy, else 503
//   GET  /metrics                 metrics in the Prometheus text format
//   GET  /status                  JSON
//   POST /announce                heartbeat of an upstream, see Announcement
//   GET  /operations              unresolved operations, JSON
//   POST /operations/<id>/resolve {"actor", "reason"}; marks an operation as resolved by an operator
#pragma once

#include "GlibHandles.h"
#include "Settings.h"

#include <libsoup/soup.h>
#include <variant>

namespace Gooseberrymill {

// Heartbeat that an upstream sends about itself. POST /announce takes the JSON fields name, service, address, slots,
// state and load; the remaining members are set only by a platform adapter.
struct Announcement {
    std::string name;
    std::string service;
    std::string address; // "ip:port" of its HTTP server
    uint32_t slots = 1;
    UpstreamState state = UpstreamState::Ready; // cold, ready, draining or gone
    double load = 0; // number of requests in progress, as counted by the upstream
    std::string instance {}; // identity of the upstream process, sent with each request to it; empty: unknown
    uint64_t processStartedAt = 0; // start time of the process, in milliseconds of its own clock; 0: unknown
    uint64_t sequence = 0; // increases with each announcement of a process; 0: unknown
    bool operator==(const Announcement&) const = default;
};

Result<Announcement> parseAnnouncement(std::string_view json);

// Deregistration of an upstream process. The process still completes requests for a while, but must not receive new
// ones.
struct Departure {
    std::string instance;
    uint64_t processStartedAt = 0; // start time of the process, in milliseconds of its own clock; 0: unknown
};

// Readiness probe of this node by the platform.
struct ReadinessQuery { };

// A call to the admin address in the platform's format, made by an upstream or by the platform itself.
using PlatformCall = std::variant<Announcement, Departure, ReadinessQuery>;

// Manual resolution of an operation whose outcome is unknown.
struct Resolution {
    std::string operation; // id as listed by GET /operations
    std::string actor;
    std::string reason;
};

// Sends the response to a call, at once or later, on the task that created the server. Must be called once.
using AdminReply = std::function<void(const Result<void>&)>;

// Connects the server to the node. All callbacks run on the task that created the server. `decodeCall` and
// `depart` may be empty, all others must be set.
struct AdminCallbacks {
    std::function<bool()> isHealthy;
    std::function<std::string()> metrics;
    std::function<std::string()> status; // JSON
    std::function<void(const Announcement&, AdminReply)> announce;
    std::function<std::string()> operations; // JSON
    std::function<Result<void>(const Resolution&)> resolve; // NotFound when no unresolved operation has this id
    // Decodes a call in the platform's format. Returns an empty optional when the request is not such a call.
    std::function<std::optional<Result<PlatformCall>>(
        std::string_view method, std::string_view path, std::string_view body)>
        decodeCall {};
    std::function<void(const Departure&, AdminReply)> depart {};
};

// Serves in the thread-default main context of the task that creates it.
class AdminServer {
public:
    static constexpr size_t maxBodyBytes = 16'384;
    static constexpr size_t maxDiscardedBytes = 1 << 20; // of a body above that, before the connection is closed

    explicit AdminServer(AdminCallbacks);
    AdminServer(const AdminServer&) = delete;
    AdminServer& operator=(const AdminServer&) = delete;
    ~AdminServer();

    Result<uint16_t> listen(const ListenAddress&); // returns the bound port

private:
    static void handleHeaders(SoupServer*, SoupServerMessage*, const char* path, GHashTable*, gpointer self);
    static void handleChunk(SoupServerMessage*, GBytes*, gpointer);
    static void discardChunk(SoupServerMessage*, GBytes*, gpointer);
    static void handle(SoupServer*, SoupServerMessage*, const char* path, GHashTable*, gpointer self);
    bool servePlatformCall(
        SoupServerMessage*, std::string_view method, std::string_view path, std::string_view body) const;
    void serveGet(SoupServerMessage*, std::string_view path) const;
    void servePost(SoupServerMessage*, std::string_view path, std::string_view body) const;
    void serveResolve(SoupServerMessage*, std::string_view operation, std::string_view body) const;

    AdminCallbacks m_callbacks;
    ObjectHandle<SoupServer> m_server;
};

} // namespace Gooseberrymill

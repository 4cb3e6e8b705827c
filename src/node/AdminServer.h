// HTTP on the admin address: metrics, status, announcements of local upstreams, unresolved operations.
//
//   GET  /healthz                 200 when the node is up, else 503
//   GET  /metrics                 text page
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

// What an upstream says about itself: {name, service, address, slots, state, load}.
struct Announcement {
    std::string name;
    std::string service;
    std::string address; // "ip:port" of its HTTP server
    uint32_t slots = 1;
    UpstreamState state = UpstreamState::Ready; // cold, ready, draining or gone
    double load = 0; // requests that it runs, by its own count
    std::string instance {}; // identity of the process, sent with each request to it; empty: none
    uint64_t processStartedAt = 0; // start of the process, in milliseconds of its own clock; 0: not told
    uint64_t sequence = 0; // raised with each announcement of a process; 0: not told
    bool operator==(const Announcement&) const = default;
};

Result<Announcement> parseAnnouncement(std::string_view json);

// The process leaves. It serves for a while yet, but is to get no new request.
struct Departure {
    std::string instance;
};

struct ReadinessQuery { };

// A call of the platform on a local address.
using PlatformCall = std::variant<Announcement, Departure, ReadinessQuery>;

// Who resolved an operation, and why.
struct Resolution {
    std::string operation; // id as the list shows it
    std::string actor;
    std::string reason;
};

// What the server asks the node. All callbacks run on the task that made the server and must be set.
struct AdminCallbacks {
    std::function<bool()> isHealthy;
    std::function<std::string()> metrics;
    std::function<std::string()> status; // JSON
    std::function<Result<void>(const Announcement&)> announce;
    std::function<std::string()> operations; // JSON
    std::function<Result<void>(const Resolution&)> resolve; // NotFound when no such operation is unresolved
    // A call in the platform's form; empty optional: none of its calls. Both may be empty.
    std::function<std::optional<Result<PlatformCall>>(
        std::string_view method, std::string_view path, std::string_view body)>
        decodeCall {};
    std::function<Result<void>(const Departure&)> depart {};
};

// Serves in the thread-default main context of the task that makes it.
class AdminServer {
public:
    static constexpr size_t maxBodyBytes = 16'384;

    explicit AdminServer(AdminCallbacks);
    AdminServer(const AdminServer&) = delete;
    AdminServer& operator=(const AdminServer&) = delete;
    ~AdminServer();

    Result<uint16_t> listen(const ListenAddress&); // the port bound

private:
    static void handleHead(SoupServer*, SoupServerMessage*, const char* path, GHashTable*, gpointer self);
    static void handleChunk(SoupServerMessage*, GBytes*, gpointer);
    static void handle(SoupServer*, SoupServerMessage*, const char* path, GHashTable*, gpointer self);
    bool servePlatform(SoupServerMessage*, std::string_view method, std::string_view path, std::string_view body) const;
    void serveGet(SoupServerMessage*, std::string_view path) const;
    void servePost(SoupServerMessage*, std::string_view path, std::string_view body) const;
    void serveResolve(SoupServerMessage*, std::string_view operation, std::string_view body) const;

    AdminCallbacks m_callbacks;
    ObjectHandle<SoupServer> m_server;
};

} // namespace Gooseberrymill

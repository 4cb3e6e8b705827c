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

namespace Gooseberrymill {

// What an upstream says about itself: {name, service, address, slots, state, load}.
struct Announcement {
    std::string name;
    std::string service;
    std::string address; // "ip:port" of its HTTP server
    uint32_t slots = 1;
    UpstreamState state = UpstreamState::Ready; // cold, ready, draining or gone
    double load = 0; // requests that it runs, by its own count
    bool operator==(const Announcement&) const = default;
};

Result<Announcement> parseAnnouncement(std::string_view json);

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
    void serveGet(SoupServerMessage*, std::string_view path) const;
    void servePost(SoupServerMessage*, std::string_view path, std::string_view body) const;
    void serveResolve(SoupServerMessage*, std::string_view operation, std::string_view body) const;

    AdminCallbacks m_callbacks;
    ObjectHandle<SoupServer> m_server;
};

} // namespace Gooseberrymill

#include "EntryServer.h"

#include "EntryExchange.h"
#include "Log.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <linux/filter.h>
#include <sys/socket.h>

namespace Gooseberrymill {

namespace {

constexpr Duration sweepInterval = 25ms; // resolution of the timeouts of exchanges
constexpr Duration idleCheckInterval = 250ms;
constexpr Duration backlogCheckInterval = 1ms;
constexpr Duration unreadInputGracePeriod = 5s; // input that libsoup leaves unread must not block draining longer
constexpr uint32_t maxBacklogChecks = 1000; // callers that keep connecting must not keep the listener open
constexpr uint32_t minBacklogChecks = 200; // enough time for handshakes that began before the SYN filter was set

} // namespace

EntryWorker::EntryWorker(Task& task, const Settings& settings, RelayIdentity identity, EntryHooks hooks,
    std::unique_ptr<BalancerInterface> balancer)
    : m_task(task)
    , m_settings(settings)
    , m_hooks(std::move(hooks))
    , m_balancer(std::move(balancer))
    , m_client(task.context(), std::move(identity), settings.connectTimeout, settings.relayIdleTimeout)
    , m_maxConnections(std::max(1U, settings.maxCallerConnections / std::max(1U, settings.workers)))
{
    if (m_hooks.quotaNodes)
        m_quota.emplace(m_client, settings.location.region, m_hooks.quotaNodes);
}

EntryWorker::~EntryWorker()
{
    m_sweepSource.reset();
    m_backlogSource.reset();
    for (const auto& exchange : m_exchanges)
        exchange->detach();
    m_exchanges.clear();
    for (auto& [socket, connection] : m_connections)
        g_object_weak_unref(G_OBJECT(socket), &EntryWorker::onSocketDestroyed, connection.get());
    m_connections.clear();
    if (m_server) {
        g_signal_handlers_disconnect_by_data(m_server.get(), this);
        soup_server_remove_handler(m_server.get(), "/");
        soup_server_disconnect(m_server.get());
    }
}

Result<uint16_t> EntryWorker::listen(const std::string& host, uint16_t port)
{
    auto socket = listenSocket(host, port, true);
    if (!socket)
        return socket.error();
    uint16_t boundPort = localPort(socket.value().get());
    m_server.reset(soup_server_new("raw-paths", TRUE, nullptr));
    g_signal_connect(m_server.get(), "request-started", G_CALLBACK(onRequestStarted), this);
    soup_server_add_early_handler(m_server.get(), "/", onRequestHeadRead, this, nullptr);
    GError* error = nullptr;
    if (!soup_server_listen_socket(
            m_server.get(), socket.value().get(), static_cast<SoupServerListenOptions>(0), &error))
        return errorFrom(error, "entry.listen", host);
    m_sweepSource = m_task.every(sweepInterval, [this] {
        sweep();
        return true;
    });
    return boundPort;
}

void EntryWorker::setRoutes(std::shared_ptr<const RouteTable> routes) { m_routes = std::move(routes); }

void EntryWorker::setCandidates(std::shared_ptr<const CandidateList> candidates)
{
    m_balancer->setCandidates(std::move(candidates), currentInstant());
}

void EntryWorker::updateCandidates(const CandidateChanges& changes)
{
    for (const ServiceCandidates& it : changes)
        m_balancer->setServiceCandidates(it.service, it.candidates, currentInstant());
}

void EntryWorker::onRequestStarted(SoupServer* /*server*/, SoupServerMessage* message, gpointer data)
{
    static_cast<EntryWorker*>(data)->trackConnection(message);
}

void EntryWorker::onRequestHeadRead(
    SoupServer* /*server*/, SoupServerMessage* message, const char* /*path*/, GHashTable* /*query*/, gpointer data)
{
    static_cast<EntryWorker*>(data)->startExchange(message);
}

void EntryWorker::onSocketDestroyed(gpointer data, GObject* /*socket*/)
{
    auto* connection = static_cast<CallerConnection*>(data);
    connection->worker->m_connections.erase(connection->socket);
}

EntryWorker::CallerConnection* EntryWorker::trackConnection(SoupServerMessage* message)
{
    GSocket* socket = soup_server_message_get_socket(message);
    if (!socket)
        return nullptr;
    auto& connection = m_connections[socket];
    if (!connection) {
        connection = std::make_unique<CallerConnection>();
        connection->worker = this;
        connection->socket = socket;
        connection->idleSince = currentInstant();
        g_object_weak_ref(G_OBJECT(socket), &EntryWorker::onSocketDestroyed, connection.get());
    }
    return connection.get();
}

void EntryWorker::startExchange(SoupServerMessage* message)
{
    if (auto* connection = trackConnection(message))
        connection->hasRequestInFlight = connection->hasReceivedRequest = true;
    auto exchange = std::make_shared<EntryExchange>(*this, message);
    m_exchanges.insert(exchange);
    if (m_connections.size() > m_maxConnections)
        exchange->refuseLocally(RefusalReason::Overloaded, "entry.connections", "too many connections", 1s);
    else if (!takesRequests())
        exchange->refuseLocally(RefusalReason::Draining, "entry.drain");
    else
        exchange->start();
}

void EntryWorker::sweep()
{
    Instant now = currentInstant();
    std::vector<std::shared_ptr<EntryExchange>> exchanges(m_exchanges.begin(), m_exchanges.end());
    for (const auto& exchange : exchanges)
        exchange->sweep(now);
    closeIdleConnections(now);
    endDrainingIfDone();
}

// Closes connections that are disconnected, idle for callerIdleTimeout, above the connection limit, or not kept while
// draining. libsoup 3.2.3 does not notice when the peer closes a keep-alive connection on which a request was served,
// so this check also frees their descriptors.
void EntryWorker::closeIdleConnections(Instant now)
{
    if (now < m_nextIdleCheck && !m_listeningStopped)
        return;
    m_nextIdleCheck = now + idleCheckInterval;
    size_t excess = m_connections.size() - std::min(m_connections.size(), m_maxConnections);
    for (auto it = m_connections.begin(); it != m_connections.end();) {
        CallerConnection& connection = *it->second;
        bool isExpired = now - connection.idleSince >= m_settings.callerIdleTimeout;
        bool shouldClose
            = isExpired || excess || (m_listeningStopped && !isKeptWhileDraining(it->first, connection, now));
        if (connection.hasRequestInFlight || (!shouldClose && !isClosedByPeer(it->first))) {
            ++it;
            continue;
        }
        excess -= excess > 0;
        g_object_weak_unref(G_OBJECT(it->first), &EntryWorker::onSocketDestroyed, &connection);
        g_socket_close(it->first, nullptr);
        it = m_connections.erase(it);
    }
}

void EntryWorker::remove(const std::shared_ptr<EntryExchange>& exchange, GSocket* socket)
{
    if (auto it = m_connections.find(socket); it != m_connections.end()) {
        it->second->hasRequestInFlight = false;
        it->second->idleSince = currentInstant();
    }
    m_exchanges.erase(exchange);
}

// Whether an idle connection stays open after listening stopped: for up to unreadInputGracePeriod while it
// has unread input, and for drainGracePeriod while it has sent no request yet.
bool EntryWorker::isKeptWhileDraining(GSocket* socket, const CallerConnection& connection, Instant now) const
{
    if (isClosedByPeer(socket))
        return false;
    Duration gracePeriod = hasInput(socket) ? unreadInputGracePeriod : Duration {};
    if (!connection.hasReceivedRequest)
        gracePeriod = std::max(gracePeriod, m_settings.drainGracePeriod);
    return now < m_listeningStoppedAt + gracePeriod;
}

void EntryWorker::startDraining()
{
    if (!m_drain)
        m_drain.emplace(currentInstant(), m_settings.drainTimeout);
}

void EntryWorker::finishDraining(std::function<void()> done)
{
    startDraining();
    m_onDrained = std::move(done);
    // Closing a listening socket makes the kernel reset the connections in its backlog. That would hit a connection
    // that arrives between the last check of the backlog and the close, so SYN packets are dropped first. A caller
    // whose SYN is dropped retransmits it and is refused after the close.
    dropSynPackets();
    m_backlogSource = m_task.every(backlogCheckInterval, [this, checks = 0U]() mutable {
        bool mayArrive = ++checks < minBacklogChecks || !isBacklogEmpty();
        if (mayArrive && checks < maxBacklogChecks)
            return true;
        stopListening();
        return false;
    });
}

void EntryWorker::dropSynPackets()
{
    if (!m_server)
        return;
    constexpr uint32_t flagsOffset = 13; // flags byte of the TCP header; the filter sees the packet from there on
    constexpr uint32_t synFlag = 0x02;
    constexpr uint32_t wholePacket = 0xffffffff;
    std::array<sock_filter, 4> code { {
        BPF_STMT(BPF_LD | BPF_B | BPF_ABS, flagsOffset),
        BPF_JUMP(BPF_JMP | BPF_JSET | BPF_K, synFlag, 0, 1),
        BPF_STMT(BPF_RET | BPF_K, 0),
        BPF_STMT(BPF_RET | BPF_K, wholePacket),
    } };
    sock_fprog program { static_cast<unsigned short>(code.size()), code.data() };
    GSList* listeners = soup_server_get_listeners(m_server.get());
    for (GSList* it = listeners; it; it = it->next) {
        int fd = g_socket_get_fd(static_cast<GSocket*>(it->data));
        if (setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program)) != 0)
            log(LogLevel::Warning, "entry.filter", { { "error", std::strerror(errno) } });
    }
    g_slist_free(listeners);
}

bool EntryWorker::isBacklogEmpty() const
{
    if (!m_server)
        return true;
    GSList* listeners = soup_server_get_listeners(m_server.get());
    bool isEmpty = true;
    for (GSList* it = listeners; it; it = it->next)
        isEmpty = isEmpty && !hasInput(static_cast<GSocket*>(it->data));
    g_slist_free(listeners);
    return isEmpty;
}

void EntryWorker::stopListening()
{
    m_listeningStopped = true;
    m_listeningStoppedAt = currentInstant();
    if (!m_server)
        return;
    // Closes only the listeners, so that connections whose requests are in flight stay open.
    GSList* listeners = soup_server_get_listeners(m_server.get());
    for (GSList* it = listeners; it; it = it->next)
        g_socket_close(static_cast<GSocket*>(it->data), nullptr);
    g_slist_free(listeners);
}

// Called by the sweep only, so that a connection accepted just now is already tracked.
void EntryWorker::endDrainingIfDone()
{
    if (m_listeningStopped && m_onDrained && m_exchanges.empty() && m_connections.empty())
        m_task.post(std::exchange(m_onDrained, nullptr));
}

const Candidate* EntryWorker::findExecutor(const std::string& service, const Id128& executor) const
{
    auto candidates = m_balancer->candidatesOf(service);
    auto it = std::ranges::find(candidates, executor, &Candidate::executor);
    return it == candidates.end() ? nullptr : &*it;
}

} // namespace Gooseberrymill

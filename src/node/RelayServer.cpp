#include "RelayServer.h"

#include "Log.h"

namespace Gooseberrymill {

namespace {

constexpr Duration truncationLimit = 2s; // an entry that has not taken a truncated response by then gets a reset
constexpr Duration acceptRetryDelay = 100ms; // pause after a failed accept, for example when no descriptors are left

std::string addressOf(GSocket* socket)
{
    ObjectHandle<GSocketAddress> address(g_socket_get_remote_address(socket, nullptr));
    if (!address)
        return "";
    char* text = g_socket_connectable_to_string(G_SOCKET_CONNECTABLE(address.get()));
    std::string result = text;
    g_free(text);
    return result;
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] RelayExchange
//-----------------------------------------------------------------------------

RelayExchange::RelayExchange(std::shared_ptr<RelayConnection> connection, RequestHead head, RequestContext context)
    : m_connection(std::move(connection))
    , m_head(std::move(head))
    , m_context(std::move(context))
{
}

void RelayExchange::sendContinue()
{
    if (isOpen())
        m_connection->send(Continue { m_head.requestId });
}

void RelayExchange::queueNotice(const UpstreamNotice& notice)
{
    if (isOpen() && m_connection->isUnderstood(notice))
        m_connection->queue(notice);
}

void RelayExchange::sendHead(ResponseHead head)
{
    head.requestId = m_head.requestId;
    if (isOpen())
        m_connection->queue(std::move(head));
}

void RelayExchange::sendChunk(std::string bytes)
{
    if (!isOpen())
        return;
    if (bytes.size() <= maxChunkBytes) {
        m_connection->queue(BodyChunk { std::move(bytes) });
    } else {
        for (size_t at = 0; at < bytes.size(); at += maxChunkBytes)
            m_connection->queue(BodyChunk { bytes.substr(at, maxChunkBytes) });
    }
    m_connection->flush();
}

void RelayExchange::sendEnd()
{
    if (!isOpen())
        return;
    m_connection->send(BodyEnd {});
    markAnswered();
}

void RelayExchange::refuse(Refusal refusal)
{
    refusal.requestId = m_head.requestId;
    if (!isOpen())
        return;
    // Nodes of relay version 4 do not know the reason and take this one to mean the same.
    bool knowsRateLimit = m_connection->isUnderstood(UpstreamNotice {});
    if (refusal.reason == RefusalReason::RateLimited && !knowsRateLimit)
        refusal.reason = RefusalReason::QueueFull;
    m_connection->send(std::move(refusal));
    markAnswered();
}

void RelayExchange::abort()
{
    m_answered = true;
    m_connection->finish(truncationLimit);
    if (m_onAnswered)
        m_onAnswered();
}

void RelayExchange::markAnswered()
{
    m_answered = true;
    m_connection->resumeReading();
    if (auto done = m_onAnswered)
        done();
}

//-----------------------------------------------------------------------------
// [SECTION] RelayServer
//-----------------------------------------------------------------------------

RelayServer::RelayServer(GMainContext* context, RelayIdentity identity, Handlers handlers)
    : m_context(context)
    , m_identity(std::move(identity))
    , m_handlers(std::move(handlers))
{
}

RelayServer::~RelayServer()
{
    auto peers = std::move(m_peers);
    for (const auto& peer : peers) {
        peer->connection->setHandlers({});
        peer->connection->close();
        if (peer->exchange) {
            peer->exchange->setHandlers({});
            peer->exchange->m_onAnswered = nullptr;
        }
    }
}

Result<uint16_t> RelayServer::listen(const ListenAddress& address)
{
    auto socket = listenSocket(address.host, address.port, false);
    if (!socket)
        return socket.error();
    m_socket = std::move(socket).value();
    m_acceptSource = watchSocket(m_context, m_socket.get(), G_IO_IN, [this](GIOCondition) { return onAccept(); });
    return localPort(m_socket.get());
}

bool RelayServer::onAccept()
{
    GError* error = nullptr;
    ObjectHandle<GSocket> socket(g_socket_accept(m_socket.get(), nullptr, &error));
    if (socket) {
        addPeer(std::move(socket));
        return true;
    }
    if (g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK)) {
        g_error_free(error);
        return true;
    }
    log(LogLevel::Warning, "relay.accept-failed", errorFrom(error, "relay.accept", ""));
    m_acceptRetryTimer = callAfter(m_context, acceptRetryDelay, [this] {
        m_acceptSource = watchSocket(m_context, m_socket.get(), G_IO_IN, [this](GIOCondition) { return onAccept(); });
        return false;
    });
    return false;
}

void RelayServer::addPeer(ObjectHandle<GSocket> socket)
{
    auto peer = std::make_shared<Peer>();
    std::string address = addressOf(socket.get());
    peer->connection = std::make_shared<RelayConnection>(
        m_context, std::move(socket), m_identity, RelaySide::Server, std::move(address));
    std::weak_ptr<Peer> weak = peer;
    peer->connection->setHandlers({
        [this, weak](RelayMessage&& message) {
            if (auto self = weak.lock())
                onMessage(self, std::move(message));
        },
        [this, weak](const Error& error) {
            if (error.code != ErrorCode::Closed && error.code != ErrorCode::Unavailable) {
                ++m_droppedCount;
                log(LogLevel::Warning, "relay.connection-failed", error);
            }
            if (auto self = weak.lock())
                onClosed(self);
        },
        [weak] {
            auto self = weak.lock();
            if (auto exchange = self ? self->exchange : nullptr; exchange && !exchange->m_answered) {
                if (auto handlers = exchange->m_handlers; handlers->writable)
                    handlers->writable();
            }
        },
    });
    m_peers.insert(peer);
    peer->connection->open();
}

void RelayServer::onMessage(const std::shared_ptr<Peer>& peer, RelayMessage&& message)
{
    if (std::holds_alternative<Hello>(message)) {
        if (m_closing)
            sendClosingNotice(*peer);
    } else if (auto* head = std::get_if<RequestHead>(&message); head && !peer->exchange)
        onRequest(peer, std::move(*head));
    else if (peer->exchange)
        onBody(peer, std::move(message));
    else if (auto* context = std::get_if<RequestContext>(&message))
        peer->nextContext = std::move(*context);
    else
        onQuery(peer, std::move(message));
}

void RelayServer::onRequest(const std::shared_ptr<Peer>& peer, RequestHead&& head)
{
    if (peer->closing)
        return; // the closing notice already tells the peer that this request was not run
    RequestContext context = std::exchange(peer->nextContext, {});
    peer->exchange = std::make_shared<RelayExchange>(peer->connection, std::move(head), std::move(context));
    std::weak_ptr<Peer> weak = peer;
    peer->exchange->m_onAnswered = [this, weak] {
        if (auto self = weak.lock())
            endExchangeIfDone(self);
    };
    auto exchange = peer->exchange;
    m_handlers.request(std::move(exchange));
}

void RelayServer::onBody(const std::shared_ptr<Peer>& peer, RelayMessage&& message)
{
    auto exchange = peer->exchange;
    auto handlers = exchange->m_handlers;
    bool shouldDeliver = !exchange->m_answered && !exchange->m_bodyEnded;
    if (auto* chunk = std::get_if<BodyChunk>(&message); chunk && !exchange->m_bodyEnded) {
        if (shouldDeliver && handlers->chunk)
            handlers->chunk(std::move(chunk->bytes));
    } else if (std::holds_alternative<BodyEnd>(message) && !exchange->m_bodyEnded) {
        exchange->m_bodyEnded = true;
        if (shouldDeliver && handlers->end)
            handlers->end();
        endExchangeIfDone(peer);
    } else {
        peer->connection->reset();
        onClosed(peer);
    }
}

void RelayServer::onQuery(const std::shared_ptr<Peer>& peer, RelayMessage&& message)
{
    std::weak_ptr<RelayConnection> weak = peer->connection;
    auto reply = [weak](const RelayMessage& answer) {
        if (auto connection = weak.lock())
            connection->send(answer);
    };
    if (auto* token = std::get_if<TokenQuery>(&message); token && m_handlers.token)
        m_handlers.token(std::move(*token), reply);
    else if (auto* query = std::get_if<ConfigurationQuery>(&message); query && m_handlers.configuration)
        m_handlers.configuration(std::move(*query), reply);
    else if (auto* notice = std::get_if<CrashNotice>(&message); notice && m_handlers.crashes)
        m_handlers.crashes(std::move(*notice), reply);
    else if (auto* directory = std::get_if<DirectoryNotice>(&message); directory && m_handlers.directory)
        m_handlers.directory(std::move(*directory), reply);
    else if (auto* departures = std::get_if<DepartureNotice>(&message); departures && m_handlers.departures)
        m_handlers.departures(std::move(*departures), reply);
    else if (auto* quota = std::get_if<QuotaQuery>(&message); quota && m_handlers.quota)
        m_handlers.quota(std::move(*quota), reply);
    else
        removePeer(peer);
}

void RelayServer::onClosed(const std::shared_ptr<Peer>& peer)
{
    auto held = holdReference(peer);
    auto exchange = std::exchange(held->exchange, nullptr);
    removePeer(held);
    if (!exchange || exchange->m_answered)
        return;
    if (auto handlers = exchange->m_handlers; handlers->cancelled)
        handlers->cancelled();
}

void RelayServer::endExchangeIfDone(const std::shared_ptr<Peer>& peer)
{
    if (!peer->connection->isOpen()) {
        peer->exchange.reset();
        removePeer(peer);
        return;
    }
    if (!peer->exchange || !peer->exchange->m_answered || !peer->exchange->m_bodyEnded)
        return;
    peer->exchange.reset();
    if (m_closing)
        sendClosingNotice(*peer);
}

void RelayServer::close()
{
    m_closing = true;
    m_acceptSource.reset();
    m_acceptRetryTimer.reset();
    m_socket.reset();
    for (const auto& peer : m_peers) {
        if (!peer->exchange && peer->connection->isEstablished())
            sendClosingNotice(*peer);
    }
}

void RelayServer::sendClosingNotice(Peer& peer)
{
    if (std::exchange(peer.closing, true))
        return;
    Refusal notice;
    notice.reason = RefusalReason::Draining;
    peer.connection->send(notice);
    peer.connection->finishWriting();
}

void RelayServer::removePeer(const std::shared_ptr<Peer>& peer)
{
    auto held = holdReference(peer);
    m_peers.erase(held);
    held->connection->setHandlers({});
    held->connection->close();
}

} // namespace Gooseberrymill

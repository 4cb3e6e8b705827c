#include "RelayClient.h"

#include "core/RefusalOutcome.h"
#include "Task.h"

#include <algorithm>

namespace Gooseberrymill {

namespace {

constexpr size_t maxIdlePerPeer = 64;
constexpr int idleChecksPerTimeout = 4; // runs of the idle timer per idle timeout

// A connection attempt. It ends when the peer's Hello arrives, on an error or at the connect timeout.
struct PendingConnection : std::enable_shared_from_this<PendingConnection> {
    std::function<void(Result<std::shared_ptr<RelayConnection>>)> done;
    std::shared_ptr<RelayConnection> connection;
    ObjectHandle<GSocket> socket;
    SourceHandle watch;
    SourceHandle timer;

    void finish(Result<std::shared_ptr<RelayConnection>> result)
    {
        auto callback = std::exchange(done, nullptr);
        watch.reset();
        timer.reset();
        socket.reset();
        if (auto held = std::exchange(connection, nullptr))
            held->setHandlers({});
        if (callback)
            callback(std::move(result));
    }

    // Reports the error from the main loop, because callers expect no callback before their call returns.
    void failLater(GMainContext* context, Error error)
    {
        timer = callAfter(context, {}, [self = shared_from_this(), error = std::move(error)] {
            auto held = holdReference(self);
            Error copy = error;
            held->finish(std::move(copy));
            return false;
        });
    }
};

void onConnected(const std::shared_ptr<PendingConnection>& pending, GMainContext* context,
    const RelayIdentity& identity, const std::string& address)
{
    auto held = holdReference(pending);
    GError* error = nullptr;
    if (!g_socket_check_connect_result(held->socket.get(), &error)) {
        held->finish(errorFrom(error, "relay.connect", address));
        return;
    }
    held->connection
        = std::make_shared<RelayConnection>(context, std::move(held->socket), identity, RelaySide::Client, address);
    std::weak_ptr<PendingConnection> weak = held;
    held->connection->setHandlers({
        [weak](RelayMessage&& /*hello*/) {
            if (auto self = weak.lock()) {
                auto ready = self->connection;
                self->finish(std::move(ready));
            }
        },
        [weak](const Error& failure) {
            if (auto self = weak.lock())
                self->finish(failure);
        },
        {},
    });
    held->connection->open();
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] RelayCall
//-----------------------------------------------------------------------------

RelayCall::RelayCall(RequestHead head, RequestContext context, Handlers handlers)
    : m_head(std::move(head))
    , m_context(std::move(context))
    , m_handlers(std::make_shared<Handlers>(std::move(handlers)))
{
}

void RelayCall::attach(
    std::shared_ptr<RelayConnection> connection, std::function<void(std::shared_ptr<RelayConnection>)> release)
{
    m_connection = std::move(connection);
    m_release = std::move(release);
    if (m_context != RequestContext {} && m_connection->isUnderstood(m_context))
        m_connection->queue(m_context);
    m_queuedBytesBeforeHead = m_connection->queuedBytes();
    std::weak_ptr<RelayCall> weak = weak_from_this();
    m_connection->setHandlers({
        [weak](RelayMessage&& message) {
            if (auto self = weak.lock())
                self->onMessage(std::move(message));
        },
        [weak](const Error& error) {
            if (auto self = weak.lock())
                self->fail(error);
        },
        [weak] {
            if (auto self = weak.lock(); self && !self->m_done)
                self->m_handlers->writable();
        },
    });
    m_connection->queue(m_head);
    if (!m_head.bodyLength && !m_head.wantsContinue)
        endBody();
    else
        m_connection->flush();
    if (!m_done)
        m_handlers->writable();
}

void RelayCall::sendChunk(std::string bytes)
{
    g_assert(bytes.size() <= maxChunkBytes);
    if (!m_connection || m_bodyEndSent)
        return;
    m_chunkSent = true;
    m_connection->send(BodyChunk { std::move(bytes) });
}

void RelayCall::endBody()
{
    if (!m_connection || m_bodyEndSent)
        return;
    m_bodyEndSent = true;
    m_connection->send(BodyEnd {});
}

void RelayCall::pause()
{
    if (m_connection)
        m_connection->pauseReading();
}

void RelayCall::resume()
{
    if (m_connection)
        m_connection->resumeReading();
}

void RelayCall::cancel()
{
    m_done = true;
    if (m_connection)
        m_connection->reset();
    m_connection.reset();
}

void RelayCall::onMessage(RelayMessage&& message)
{
    auto self = shared_from_this();
    if (m_done)
        return;
    if (auto* head = std::get_if<ResponseHead>(&message))
        onHead(std::move(*head));
    else if (auto* notice = std::get_if<UpstreamNotice>(&message); notice && !m_headReceived) {
        if (m_handlers->notice)
            m_handlers->notice(std::move(*notice));
    } else if (auto* continuation = std::get_if<Continue>(&message);
               continuation && !m_headReceived && continuation->requestId == m_head.requestId) {
        m_continueReceived = true;
        m_handlers->writable();
    } else if (auto* refusal = std::get_if<Refusal>(&message))
        onRefusal(std::move(*refusal));
    else if (auto* chunk = std::get_if<BodyChunk>(&message); chunk && m_headReceived)
        m_handlers->chunk(std::move(chunk->bytes));
    else if (std::holds_alternative<BodyEnd>(message) && m_headReceived) {
        finish();
        m_handlers->end();
    } else
        fail({ ErrorCode::Invalid, "relay.response", m_connection->peer(), "unexpected message" });
}

void RelayCall::onHead(ResponseHead&& head)
{
    if (m_headReceived || head.requestId != m_head.requestId) {
        fail({ ErrorCode::Invalid, "relay.response", m_connection->peer(),
            "repeated response head, or response to another request" });
        return;
    }
    m_headReceived = true;
    m_handlers->head(std::move(head));
}

void RelayCall::onRefusal(Refusal&& refusal)
{
    // A zero request id announces that the peer closes the connection. A request that was on the way to the peer at
    // that time was not run.
    bool closesConnection = !refusal.requestId;
    if (m_headReceived || (!closesConnection && refusal.requestId != m_head.requestId)) {
        fail({ ErrorCode::Invalid, "relay.response", m_connection->peer(),
            "refusal after the response head, or of another request" });
        return;
    }
    refusal.requestId = m_head.requestId;
    if (closesConnection) {
        refusal.outcome
            = outcomeOf({ refusal.reason, refusal.dispatched, m_head.operationKind != OperationKind::None });
        m_done = true;
        m_connection->close();
    } else
        finish();
    m_handlers->refused(std::move(refusal));
}

void RelayCall::fail(const Error& error)
{
    if (m_done)
        return;
    m_done = true;
    Outcome outcome = isHeadWritten() ? Outcome::Unknown : Outcome::NotRun;
    if (m_connection)
        m_connection->reset();
    m_handlers->failed(error, outcome);
}

void RelayCall::finish()
{
    m_done = true;
    // The response is complete. If no part of the request body was sent, sending its end lets the connection be reused.
    if (!m_chunkSent)
        endBody();
    auto connection = std::exchange(m_connection, nullptr);
    if (m_bodyEndSent)
        m_release(std::move(connection));
    else
        connection->reset(); // the peer would read the rest of the body as the next request
}

//-----------------------------------------------------------------------------
// [SECTION] RelayClient
//-----------------------------------------------------------------------------

RelayClient::RelayClient(GMainContext* context, RelayIdentity identity, Duration connectTimeout, Duration idleTimeout)
    : m_context(context)
    , m_identity(std::move(identity))
    , m_connectTimeout(connectTimeout)
    , m_idleTimeout(idleTimeout)
{
}

RelayClient::~RelayClient() { *m_alive = false; }

std::shared_ptr<RelayCall> RelayClient::call(
    const std::string& address, RequestHead head, RelayCall::Handlers handlers, RequestContext context)
{
    auto call = std::make_shared<RelayCall>(std::move(head), std::move(context), std::move(handlers));
    auto start = [this, alive = m_alive, address, call](Result<std::shared_ptr<RelayConnection>> result) {
        if (!*alive)
            return;
        if (!result) {
            call->fail(result.error());
            return;
        }
        if (call->m_done) {
            release(address, std::move(result).value());
            return;
        }
        call->attach(std::move(result).value(), [this, alive, address](std::shared_ptr<RelayConnection> connection) {
            if (*alive)
                release(address, std::move(connection));
        });
    };
    acquire(address, std::move(start));
    return call;
}

void RelayClient::query(const std::string& address, RelayMessage message,
    std::function<void(Result<RelayMessage>)> done, Duration replyTimeout)
{
    acquire(address,
        [this, alive = m_alive, address, message = std::move(message), done = std::move(done), replyTimeout](
            Result<std::shared_ptr<RelayConnection>> result) {
            if (!result) {
                done(result.error());
                return;
            }
            auto connection = result.value();
            if (!connection->isUnderstood(message)) {
                if (*alive)
                    release(address, std::move(connection));
                done(Error { ErrorCode::Unsupported, "relay.query", address, "the peer is of an earlier version" });
                return;
            }
            auto timer = std::make_shared<SourceHandle>();
            if (replyTimeout > Duration {}) {
                *timer = callAfter(m_context, replyTimeout, [connection, done, address, timer] {
                    auto held = holdReference(connection);
                    auto finished = done;
                    held->setHandlers({});
                    held->reset();
                    finished(Error { ErrorCode::Timeout, "relay.query", address, "no reply before the timeout" });
                    return false;
                });
            }
            // The handlers keep the connection alive until the peer replies or the connection closes.
            connection->setHandlers({
                [this, alive, address, connection, done, timer](RelayMessage&& reply) {
                    auto held = holdReference(connection);
                    timer->reset();
                    auto finished = done;
                    held->setHandlers({});
                    if (*alive)
                        release(address, held);
                    finished(std::move(reply));
                },
                [connection, done, timer](const Error& error) {
                    auto held = holdReference(connection);
                    timer->reset();
                    auto finished = done;
                    held->setHandlers({});
                    finished(error);
                },
                {},
            });
            connection->send(message);
        });
}

size_t RelayClient::idleCount() const
{
    size_t n = 0;
    for (const auto& [address, connections] : m_idle)
        n += connections.size();
    return n;
}

void RelayClient::acquire(const std::string& address, ConnectCallback done)
{
    auto& idle = m_idle[address];
    if (idle.empty()) {
        connect(address, std::move(done));
        return;
    }
    auto connection = std::move(idle.back().connection);
    idle.pop_back();
    connection->setHandlers({});
    done(std::move(connection));
}

void RelayClient::connect(const std::string& address, ConnectCallback done)
{
    ObjectHandle<GSocketAddress> target = parseAddress(address);
    auto pending = std::make_shared<PendingConnection>();
    pending->done = std::move(done);
    if (!target) {
        pending->failLater(m_context, { ErrorCode::Malformed, "relay.connect", address, "invalid address" });
        return;
    }
    pending->timer = callAfter(m_context, m_connectTimeout, [pending, address] {
        auto self = holdReference(pending);
        self->finish(Error { ErrorCode::Timeout, "relay.connect", address, "" });
        return false;
    });
    GError* error = nullptr;
    ObjectHandle<GSocket> socket(
        g_socket_new(g_socket_address_get_family(target.get()), G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, &error));
    if (socket) {
        g_socket_set_blocking(socket.get(), FALSE);
        if (g_socket_connect(socket.get(), target.get(), nullptr, &error)
            || g_error_matches(error, G_IO_ERROR, G_IO_ERROR_PENDING)) {
            g_clear_error(&error);
            pending->watch = watchSocket(m_context, socket.get(), G_IO_OUT,
                [pending, address, context = m_context, identity = m_identity](GIOCondition) {
                    onConnected(pending, context, identity, address);
                    return false;
                });
            pending->socket = std::move(socket);
            return;
        }
    }
    pending->failLater(m_context, errorFrom(error, "relay.connect", address));
}

void RelayClient::release(const std::string& address, std::shared_ptr<RelayConnection> connection)
{
    auto& idle = m_idle[address];
    connection->resumeReading();
    if (!connection->isOpen() || idle.size() >= maxIdlePerPeer) {
        connection->close();
        return;
    }
    auto* rawConnection = connection.get();
    auto closeThis = [this, alive = m_alive, address, rawConnection] {
        if (*alive)
            closeIdle(address, rawConnection);
    };
    // A peer sends at most its closing notice on an idle connection, so any message or error closes the connection.
    connection->setHandlers(
        { [closeThis](RelayMessage&&) { closeThis(); }, [closeThis](const Error&) { closeThis(); }, {} });
    idle.push_back({ std::move(connection), currentInstant() });
    if (!m_idleTimer) {
        m_idleTimer = callAfter(m_context, m_idleTimeout / idleChecksPerTimeout, [this] {
            bool hasIdle = closeExpired();
            if (!hasIdle)
                m_idleTimer.reset();
            return hasIdle;
        });
    }
}

bool RelayClient::closeExpired()
{
    Instant now = currentInstant();
    std::vector<std::shared_ptr<RelayConnection>> expired;
    for (auto it = m_idle.begin(); it != m_idle.end();) {
        auto& idle = it->second;
        auto firstUnexpired = std::find_if(
            idle.begin(), idle.end(), [&](const IdleConnection& held) { return now - held.idleSince < m_idleTimeout; });
        std::transform(idle.begin(), firstUnexpired, std::back_inserter(expired),
            [](IdleConnection& held) { return std::move(held.connection); });
        idle.erase(idle.begin(), firstUnexpired);
        it = idle.empty() ? m_idle.erase(it) : std::next(it);
    }
    for (const auto& connection : expired) {
        connection->setHandlers({});
        connection->close();
    }
    return !m_idle.empty();
}

void RelayClient::closeIdle(const std::string& address, const RelayConnection* connection)
{
    auto& idle = m_idle[address];
    auto it = std::find_if(
        idle.begin(), idle.end(), [&](const IdleConnection& held) { return held.connection.get() == connection; });
    if (it == idle.end())
        return;
    auto dropped = std::move(it->connection);
    idle.erase(it);
    dropped->close();
}

} // namespace Gooseberrymill

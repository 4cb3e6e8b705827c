#include "RelayConnection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace Gooseberrymill {

namespace {

constexpr gint keepaliveIdleSeconds = 2;
constexpr gint keepaliveIntervalSeconds = 1;
constexpr gint keepaliveProbes = 2;
constexpr gint unacknowledgedTimeoutMillis = 2500; // longest time that sent bytes may stay unacknowledged

} // namespace

RelayConnection::RelayConnection(GMainContext* context, ObjectHandle<GSocket> socket, const RelayIdentity& identity,
    RelaySide side, std::string peer)
    : m_context(context)
    , m_socket(std::move(socket))
    , m_peer(std::move(peer))
    , m_codec(identity, side, randomId())
{
    g_socket_set_blocking(m_socket.get(), FALSE);
    g_socket_set_timeout(m_socket.get(), 0);
    g_socket_set_option(m_socket.get(), IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
    // A peer may become unreachable without a TCP reset. Keepalive probes detect this while a request is waiting.
    g_socket_set_keepalive(m_socket.get(), TRUE);
    g_socket_set_option(m_socket.get(), IPPROTO_TCP, TCP_KEEPIDLE, keepaliveIdleSeconds, nullptr);
    g_socket_set_option(m_socket.get(), IPPROTO_TCP, TCP_KEEPINTVL, keepaliveIntervalSeconds, nullptr);
    g_socket_set_option(m_socket.get(), IPPROTO_TCP, TCP_KEEPCNT, keepaliveProbes, nullptr);
    g_socket_set_option(m_socket.get(), IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledgedTimeoutMillis, nullptr);
}

void RelayConnection::open()
{
    auto ec = m_codec.encodeHello(m_output);
    g_assert(!ec);
    m_queuedBytes = m_output.size();
    flush();
    watchInput();
}

void RelayConnection::queue(const RelayMessage& message)
{
    if (!isOpen() || m_isFinishing)
        return;
    size_t before = m_output.size();
    if (auto ec = m_codec.encode(message, m_output)) {
        failLater({ ec, "relay.encode", m_peer, "" });
        return;
    }
    m_queuedBytes += m_output.size() - before;
}

void RelayConnection::flush()
{
    while (isOpen() && m_outputOffset < m_output.size()) {
        GError* error = nullptr;
        gssize n = g_socket_send(
            m_socket.get(), m_output.data() + m_outputOffset, m_output.size() - m_outputOffset, nullptr, &error);
        if (n >= 0) {
            m_outputOffset += static_cast<size_t>(n);
            m_writtenBytes += static_cast<uint64_t>(n);
            continue;
        }
        if (!g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK)) {
            failLater(errorFrom(error, "relay.write", m_peer));
            return;
        }
        g_error_free(error);
        m_wasAboveHighWatermark = m_wasAboveHighWatermark || !isWritable();
        if (m_outputOffset > highWatermark) {
            m_output.erase(0, m_outputOffset);
            m_outputOffset = 0;
        }
        if (!m_outputSource) {
            m_outputSource
                = watchSocket(m_context, m_socket.get(), G_IO_OUT, [this](GIOCondition) { return onOutput(); });
        }
        return;
    }
    m_output.clear();
    m_outputOffset = 0;
    if (m_isFinishing)
        finishWriting();
}

bool RelayConnection::onOutput()
{
    auto self = shared_from_this();
    flush();
    if (!isOpen())
        return false;
    size_t left = m_output.size() - m_outputOffset;
    if (!left)
        m_outputSource.reset();
    if (left <= lowWatermark && std::exchange(m_wasAboveHighWatermark, false)) {
        auto handlers = m_handlers;
        if (handlers->writable)
            handlers->writable();
    }
    return left;
}

void RelayConnection::watchInput()
{
    // Without a condition the source still reports errors and resets, so a paused connection detects them.
    auto condition = static_cast<GIOCondition>(m_paused ? 0 : G_IO_IN);
    m_inputSource = watchSocket(m_context, m_socket.get(), condition, [this](GIOCondition) { return onInput(); });
}

bool RelayConnection::onInput()
{
    constexpr size_t readBytes = 64 << 10;
    static thread_local std::array<char, readBytes> buffer;
    auto self = shared_from_this();
    GError* error = nullptr;
    if (m_paused) {
        fail({ ErrorCode::Closed, "relay.read", m_peer, "reset" });
        return false;
    }
    gssize n = g_socket_receive(m_socket.get(), buffer.data(), buffer.size(), nullptr, &error);
    if (n < 0 && g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK)) {
        g_error_free(error);
        return true;
    }
    if (n <= 0) {
        fail(n ? errorFrom(error, "relay.read", m_peer) : Error { ErrorCode::Closed, "relay.read", m_peer, "" });
        return false;
    }
    if (m_isFinishing)
        return true;
    m_codec.feed({ buffer.data(), static_cast<size_t>(n) });
    deliverMessages();
    return isOpen() && m_inputSource.get() == g_main_current_source();
}

void RelayConnection::deliverMessages()
{
    if (m_isDelivering)
        return;
    auto self = shared_from_this();
    m_isDelivering = true;
    std::optional<RelayMessage> message;
    while (isOpen() && !m_paused && !m_isFinishing) {
        if (auto ec = m_codec.next(message)) {
            fail({ ec, "relay.decode", m_peer, "" });
            break;
        }
        if (!message)
            break;
        auto handlers = m_handlers;
        if (handlers->message)
            handlers->message(std::move(*message));
    }
    m_isDelivering = false;
}

void RelayConnection::pauseReading()
{
    if (m_paused || !isOpen())
        return;
    m_paused = true;
    watchInput();
}

void RelayConnection::resumeReading()
{
    if (!m_paused || !isOpen())
        return;
    m_paused = false;
    watchInput();
    // Frames that are already buffered are delivered from the main loop, not from inside the caller.
    if (m_codec.bufferedBytes() && !m_deferredSource) {
        m_deferredSource = callAfter(m_context, {}, [this] {
            auto self = shared_from_this();
            m_deferredSource.reset();
            deliverMessages();
            return false;
        });
    }
}

void RelayConnection::close()
{
    m_inputSource.reset();
    m_outputSource.reset();
    m_deferredSource.reset();
    m_finishTimer.reset();
    if (m_socket)
        g_socket_close(m_socket.get(), nullptr);
    m_socket.reset();
}

void RelayConnection::reset()
{
    if (m_socket)
        closeWithReset(m_socket.get());
    close();
}

void RelayConnection::finishWriting()
{
    if (m_socket)
        g_socket_shutdown(m_socket.get(), FALSE, TRUE, nullptr);
}

void RelayConnection::finish(Duration limit)
{
    if (!isOpen() || std::exchange(m_isFinishing, true))
        return;
    m_finishTimer = callAfter(m_context, limit, [this] {
        auto self = shared_from_this();
        closeWithReset(m_socket.get());
        fail({ ErrorCode::Closed, "relay.finish", m_peer, "the peer did not close" });
        return false;
    });
    resumeReading();
    flush();
}

void RelayConnection::fail(const Error& error)
{
    if (!isOpen())
        return;
    close();
    auto handlers = m_handlers;
    if (handlers->closed)
        handlers->closed(error);
}

void RelayConnection::failLater(Error error)
{
    m_deferredSource = callAfter(m_context, {}, [this, error = std::move(error)] {
        auto self = shared_from_this();
        fail(error);
        return false;
    });
}

} // namespace Gooseberrymill

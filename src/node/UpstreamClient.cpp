#include "UpstreamClient.h"

#include <fmt/format.h>

namespace Gooseberrymill {

namespace {

constexpr auto uriFlags = static_cast<GUriFlags>(SOUP_HTTP_URI_FLAGS);
constexpr size_t readBytes = 32 << 10;
constexpr uint32_t spareConnections = 8; // for the connections of cancelled requests that are still closing

bool hasNoBody(SoupMessage* message)
{
    guint status = soup_message_get_status(message);
    return soup_message_get_method(message) == SOUP_METHOD_HEAD || status == SOUP_STATUS_NO_CONTENT
        || status == SOUP_STATUS_NOT_MODIFIED;
}

// True when the end of the response body can be told from a truncation. A body that ends with the connection cannot.
// libsoup 3.2.3 also accepts the end of the connection between two chunks as the end of a chunked body, so a chunked
// body is only accepted when the connection stays open after it.
bool hasVerifiableEnd(SoupMessage* message)
{
    if (hasNoBody(message))
        return true;
    SoupEncoding encoding = soup_message_headers_get_encoding(soup_message_get_response_headers(message));
    return encoding == SOUP_ENCODING_CONTENT_LENGTH
        || (encoding == SOUP_ENCODING_CHUNKED && soup_message_is_keepalive(message));
}

bool isChunked(SoupMessage* message)
{
    return soup_message_headers_get_encoding(soup_message_get_response_headers(message)) == SOUP_ENCODING_CHUNKED;
}

BodyFraming framingOf(SoupMessage* message)
{
    if (hasNoBody(message))
        return BodyFraming::None;
    switch (soup_message_headers_get_encoding(soup_message_get_response_headers(message))) {
    case SOUP_ENCODING_CONTENT_LENGTH:
        return BodyFraming::Length;
    case SOUP_ENCODING_CHUNKED:
        return BodyFraming::Chunked;
    default:
        return BodyFraming::UntilClose;
    }
}

// libsoup 3.2.3 takes the end of the connection within the head for the end of the head. Nothing follows such a head,
// and the peer has closed; a whole response without a body leaves the connection open or announces that it closes.
bool isHeadCut(SoupMessage* message, GSocket* socket)
{
    auto* headers = soup_message_get_response_headers(message);
    bool announcesClose = soup_message_headers_header_contains(headers, "Connection", "close")
        || soup_message_get_http_version(message) == SOUP_HTTP_1_0;
    bool endsWithConnection = !hasNoBody(message) && soup_message_headers_get_encoding(headers) == SOUP_ENCODING_EOF;
    return (endsWithConnection || !announcesClose) && isClosedByPeer(socket);
}

// Content-Length of the response; 0 for a status without a body; -1: unknown.
int64_t declaredLength(SoupMessage* message)
{
    auto* headers = soup_message_get_response_headers(message);
    if (const char* text = soup_message_headers_get_one(headers, "Content-Length"))
        return static_cast<int64_t>(g_ascii_strtoull(text, nullptr, 10));
    guint status = soup_message_get_status(message);
    return status == SOUP_STATUS_NO_CONTENT || status == SOUP_STATUS_NOT_MODIFIED ? 0 : -1;
}

} // namespace

std::string_view toString(BodyFraming framing)
{
    constexpr std::array<std::string_view, 4> names { "none", "length", "chunked", "until-close" };
    return names[static_cast<size_t>(framing)];
}

void disableGlibHelpers()
{
    g_setenv("GIO_USE_VFS", "local", TRUE);
    g_setenv("GIO_USE_PROXY_RESOLVER", "dummy", TRUE);
    g_setenv("GSETTINGS_BACKEND", "memory", TRUE);
}

void ConnectionSockets::add(guint64 connection, ObjectHandle<GSocket> socket)
{
    std::erase_if(m_sockets, [](const auto& entry) { return g_socket_is_closed(entry.second.get()); });
    m_sockets[connection] = std::move(socket);
}

ObjectHandle<GSocket> ConnectionSockets::find(guint64 connection) const
{
    auto it = m_sockets.find(connection);
    return it == m_sockets.end() ? nullptr : shareObject(it->second.get());
}

//-----------------------------------------------------------------------------
// [SECTION] UpstreamCall
//-----------------------------------------------------------------------------

void UpstreamCall::onStarting(SoupMessage* message, gpointer data)
{
    auto* self = static_cast<UpstreamCall*>(data);
    if (!std::exchange(self->m_started, true))
        self->m_startedAt = currentInstant();
    self->m_connectTimer.reset();
    guint64 connection = soup_message_get_connection_id(message);
    self->m_isOnKeptConnection = !self->m_socket;
    if (self->m_socket)
        self->m_sockets->add(connection, shareObject(self->m_socket.get()));
    else
        self->m_socket = self->m_sockets->find(connection);
}

// libsoup resends an idempotent request when its kept connection closes before the response. Only the entry may repeat
// a request, within the retry budget.
void UpstreamCall::onRestarted(SoupMessage* /*message*/, gpointer data)
{
    g_cancellable_cancel(static_cast<UpstreamCall*>(data)->m_cancellable.get());
}

// libsoup 3.2.3 reads interim responses in a loop that it leaves only when no input is left, so that an upstream which
// writes them without end would hold the task for good.
void UpstreamCall::onInterimResponse(SoupMessage* /*message*/, gpointer data)
{
    auto* self = static_cast<UpstreamCall*>(data);
    if (++self->m_interimResponses <= maxInterimResponses)
        return;
    g_cancellable_cancel(self->m_cancellable.get());
    self->dropConnection();
}

void UpstreamCall::onNetworkEvent(
    SoupMessage* /*message*/, GSocketClientEvent event, GIOStream* connection, gpointer data)
{
    if (event == G_SOCKET_CLIENT_CONNECTED && G_IS_SOCKET_CONNECTION(connection))
        static_cast<UpstreamCall*>(data)->m_socket
            = shareObject(g_socket_connection_get_socket(G_SOCKET_CONNECTION(connection)));
}

void UpstreamCall::setBody(UpstreamRequest&& request)
{
    if (!request.bodyLength)
        return;
    if (!request.body) {
        soup_message_set_request_body(
            m_message.get(), nullptr, m_body.stream(), static_cast<gssize>(request.bodyLength));
        return;
    }
    auto* text = new std::string(std::move(*request.body));
    BytesHandle bytes(g_bytes_new_with_free_func(
        text->data(), text->size(), [](gpointer data) { delete static_cast<std::string*>(data); }, text));
    soup_message_set_request_body_from_bytes(m_message.get(), nullptr, bytes.get());
}

void UpstreamCall::send(
    GMainContext* context, SoupSession* session, GUri* base, UpstreamRequest&& request, Duration connectTimeout)
{
    m_peer = fmt::format("{}:{}", g_uri_get_host(base), g_uri_get_port(base));
    std::string text = fmt::format("http://{}{}", m_peer, request.target);
    UriHandle uri(g_uri_parse(text.c_str(), uriFlags, nullptr));
    if (!uri) {
        m_connectTimer = callAfter(context, {}, [this] {
            auto self = shared_from_this();
            fail({ { ErrorCode::Malformed, "upstream.target", m_peer, "" }, RefusalReason::BadRequest, false });
            return false;
        });
        return;
    }
    m_message.reset(soup_message_new_from_uri(request.method.c_str(), uri.get()));
    bool hasBody = request.bodyLength != 0;
    bool needsNewConnection = !request.repeatable || hasBody; // a streamed body cannot be sent again
    soup_message_set_flags(m_message.get(),
        static_cast<SoupMessageFlags>(SOUP_MESSAGE_NO_REDIRECT | SOUP_MESSAGE_DO_NOT_USE_AUTH_CACHE
            | (needsNewConnection ? SOUP_MESSAGE_NEW_CONNECTION : 0)));
    auto* headers = soup_message_get_request_headers(m_message.get());
    for (const Header& header : request.headers)
        soup_message_headers_append(headers, header.name.c_str(), header.value.c_str());
    auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(request.timeUntilDeadline).count();
    soup_message_headers_replace(headers, request.deadlineHeaderName, std::to_string(millis).c_str());
    m_allowsCloseDelimitedResponse = request.allowsCloseDelimitedResponse;
    setBody(std::move(request));
    g_signal_connect(m_message.get(), "starting", G_CALLBACK(onStarting), this);
    g_signal_connect(m_message.get(), "restarted", G_CALLBACK(onRestarted), this);
    g_signal_connect(m_message.get(), "got-informational", G_CALLBACK(onInterimResponse), this);
    g_signal_connect(m_message.get(), "network-event", G_CALLBACK(onNetworkEvent), this);
    m_connectTimer = callAfter(context, connectTimeout, [this] {
        m_connectTimedOut = true;
        g_cancellable_cancel(m_cancellable.get());
        return false;
    });
    m_body.setLowWatermarkCallback([weak = weak_from_this()] {
        if (auto self = weak.lock(); self && !self->m_done)
            self->m_handlers->bodyWritable();
    });
    auto sent = [self = shared_from_this()](GObject* source, GAsyncResult* result) {
        GError* error = nullptr;
        auto* stream = soup_session_send_finish(SOUP_SESSION(source), result, &error);
        self->onSent(stream, error);
    };
    soup_session_send_async(
        session, m_message.get(), G_PRIORITY_DEFAULT, m_cancellable.get(), onAsyncDone, asyncData(std::move(sent)));
}

void UpstreamCall::onSent(GInputStream* stream, GError* error)
{
    m_input.reset(stream);
    if (m_done) {
        g_clear_error(&error);
        release();
        return;
    }
    if (!stream) {
        fail(error, "upstream.send");
        return;
    }
    m_headReceived = true;
    m_facts.framing = framingOf(m_message.get());
    m_facts.statedBytes = declaredLength(m_message.get());
    if (!m_allowsCloseDelimitedResponse && !hasVerifiableEnd(m_message.get())) {
        fail({ { ErrorCode::Invalid, "upstream.head", m_peer, "the end of the response body cannot be verified" },
            RefusalReason::UpstreamInvalid, true });
        return;
    }
    ResponseHead head;
    head.status = static_cast<uint16_t>(soup_message_get_status(m_message.get()));
    head.headers = endToEndHeaders(soup_message_get_response_headers(m_message.get()));
    head.bodyLength = declaredLength(m_message.get());
    auto handlers = m_handlers;
    handlers->head(std::move(head));
}

void UpstreamCall::readMore()
{
    if (m_done || !m_input || std::exchange(m_isReading, true))
        return;
    m_buffer.resize(readBytes);
    auto done = [self = shared_from_this()](GObject* source, GAsyncResult* result) {
        GError* error = nullptr;
        gssize n = g_input_stream_read_finish(G_INPUT_STREAM(source), result, &error);
        self->onRead(n, error);
    };
    g_input_stream_read_async(m_input.get(), m_buffer.data(), m_buffer.size(), G_PRIORITY_DEFAULT, m_cancellable.get(),
        onAsyncDone, asyncData(std::move(done)));
}

void UpstreamCall::onRead(gssize n, GError* error)
{
    m_isReading = false;
    if (m_done) {
        g_clear_error(&error);
        release();
        return;
    }
    if (n < 0) {
        fail(error, "upstream.read");
        return;
    }
    auto handlers = m_handlers;
    if (n > 0) {
        m_hasBody = true;
        m_facts.receivedBytes += static_cast<uint64_t>(n);
        m_buffer.resize(static_cast<size_t>(n));
        handlers->chunk(std::exchange(m_buffer, {}));
        return;
    }
    if (!m_hasBody && isHeadCut(m_message.get(), m_socket.get())) {
        fail({ { ErrorCode::Closed, "upstream.read", m_peer, "the connection ended before the end of the head" },
            RefusalReason::UpstreamTruncated, true });
        return;
    }
    if (soup_message_get_method(m_message.get()) != SOUP_METHOD_HEAD && isChunked(m_message.get())
        && isClosedByPeer(m_socket.get())) {
        fail({ { ErrorCode::Closed, "upstream.read", m_peer, "the chunked body ended with the connection" },
            RefusalReason::UpstreamTruncated, true });
        return;
    }
    m_done = true;
    m_facts.hasExtraBytes = m_facts.framing != BodyFraming::UntilClose && m_socket && hasInput(m_socket.get());
    release();
    handlers->end();
}

void UpstreamCall::cancel()
{
    if (std::exchange(m_done, true))
        return;
    auto self = shared_from_this();
    m_connectTimer.reset();
    m_body.abort();
    g_cancellable_cancel(m_cancellable.get());
    if (m_input && !g_input_stream_has_pending(m_input.get()))
        release();
}

void UpstreamCall::dropConnection()
{
    if (m_socket && !g_socket_is_closed(m_socket.get()))
        g_socket_shutdown(m_socket.get(), TRUE, TRUE, nullptr);
}

Duration UpstreamCall::serviceTime() const { return m_started ? currentInstant() - m_startedAt : Duration {}; }

RefusalReason UpstreamCall::reasonOf(const GError* error) const
{
    if (!m_started)
        return RefusalReason::UpstreamUnreachable;
    if (m_headReceived)
        return RefusalReason::UpstreamTruncated;
    if (m_interimResponses > maxInterimResponses)
        return RefusalReason::UpstreamInvalid;
    bool malformed = error && error->domain == SOUP_SESSION_ERROR && error->code == SOUP_SESSION_ERROR_PARSING;
    return malformed ? RefusalReason::UpstreamInvalid : RefusalReason::UpstreamCrashed;
}

void UpstreamCall::fail(GError* error, const char* step)
{
    RefusalReason reason = reasonOf(error);
    Error detail = errorFrom(error, step, m_peer);
    if (m_connectTimedOut)
        detail.code = ErrorCode::Timeout;
    if (m_interimResponses > maxInterimResponses)
        detail = { ErrorCode::Invalid, step, m_peer,
            fmt::format("more than {} interim responses to one request", maxInterimResponses) };
    fail({ std::move(detail), reason, m_started });
}

void UpstreamCall::fail(UpstreamFailure&& failure)
{
    if (std::exchange(m_done, true))
        return;
    auto handlers = m_handlers;
    m_body.abort();
    g_cancellable_cancel(m_cancellable.get());
    release();
    handlers->failed(std::move(failure));
}

void UpstreamCall::release()
{
    m_connectTimer.reset();
    m_input.reset();
    if (m_message)
        g_signal_handlers_disconnect_by_data(m_message.get(), this);
    m_message.reset();
}

//-----------------------------------------------------------------------------
// [SECTION] UpstreamClient
//-----------------------------------------------------------------------------

UpstreamClient::UpstreamClient(
    GMainContext* context, const std::string& address, uint32_t slots, Duration connectTimeout, Duration idleTimeout)
    : m_context(context)
    , m_connectTimeout(connectTimeout)
    , m_base(g_uri_parse(("http://" + address + "/").c_str(), uriFlags, nullptr))
{
    int connections = static_cast<int>(2 * slots + spareConnections);
    m_session.reset(soup_session_new_with_options("max-conns", connections, "max-conns-per-host", connections,
        "timeout", 0U, "idle-timeout", static_cast<guint>(std::chrono::ceil<std::chrono::seconds>(idleTimeout).count()),
        "proxy-resolver", nullptr, nullptr));
    for (GType feature : { SOUP_TYPE_AUTH_MANAGER, SOUP_TYPE_CONTENT_DECODER, SOUP_TYPE_COOKIE_JAR })
        soup_session_remove_feature_by_type(m_session.get(), feature);
}

std::shared_ptr<UpstreamCall> UpstreamClient::start(UpstreamRequest request, UpstreamCall::Handlers handlers)
{
    auto call = std::make_shared<UpstreamCall>();
    call->m_sockets = m_sockets;
    call->m_handlers = std::make_shared<UpstreamCall::Handlers>(std::move(handlers));
    call->send(m_context, m_session.get(), m_base.get(), std::move(request), m_connectTimeout);
    return call;
}

} // namespace Gooseberrymill

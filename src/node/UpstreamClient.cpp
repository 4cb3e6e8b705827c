#include "UpstreamClient.h"

#include "Log.h"
#include "Task.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace Gooseberrymill {

namespace {

constexpr size_t readBytes = 32 << 10;
constexpr uint32_t spareConnections = 8; // idle ones beyond those that the slots can use
constexpr uint16_t firstFinalStatus = 200;

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] UpstreamConnections
//-----------------------------------------------------------------------------

UpstreamConnections::UpstreamConnections(
    GMainContext* context, std::string upstream, size_t maxIdle, Duration idleTimeout)
    : m_context(context)
    , m_upstream(std::move(upstream))
    , m_maxIdle(maxIdle)
    , m_idleTimeout(idleTimeout)
{
}

ObjectHandle<GSocket> UpstreamConnections::take()
{
    while (!m_idle.empty()) {
        Idle idle = std::move(m_idle.back());
        m_idle.pop_back();
        if (isUsable(idle))
            return std::move(idle.socket);
        g_socket_close(idle.socket.get(), nullptr);
    }
    return nullptr;
}

void UpstreamConnections::keep(ObjectHandle<GSocket> socket, std::string lastRequest)
{
    if (m_idle.size() >= m_maxIdle) {
        g_socket_close(m_idle.front().socket.get(), nullptr);
        m_idle.pop_front();
    }
    auto it = m_idle.insert(m_idle.end(), Idle { std::move(socket), std::move(lastRequest), {}, {} });
    auto drop = [this, it] {
        g_socket_close(it->socket.get(), nullptr);
        m_idle.erase(it);
        return false;
    };
    it->watch = watchSocket(m_context, it->socket.get(), G_IO_IN, [this, it, drop](GIOCondition) {
        isUsable(*it);
        return drop();
    });
    if (m_idleTimeout > Duration {})
        it->timer = callAfter(m_context, m_idleTimeout, drop);
}

bool UpstreamConnections::isUsable(const Idle& idle) const
{
    InputState state = inputState(idle.socket.get());
    if (state == InputState::Bytes) {
        log(LogLevel::Warning, "upstream.extra_bytes",
            { { "upstream", m_upstream }, { "request", idle.lastRequest }, { "step", "upstream.idle" } });
    }
    return state == InputState::Nothing;
}

//-----------------------------------------------------------------------------
// [SECTION] UpstreamCall: request
//-----------------------------------------------------------------------------

UpstreamCall::UpstreamCall(GMainContext* context, std::string address, std::shared_ptr<UpstreamConnections> connections,
    UpstreamRequest&& request, Handlers handlers)
    : m_context(context)
    , m_address(std::move(address))
    , m_logId(std::move(request.logId))
    , m_connections(std::move(connections))
    , m_handlers(std::make_shared<Handlers>(std::move(handlers)))
    , m_bodyLength(request.bodyLength)
    , m_bodyBytesLeft(request.bodyLength)
    , m_kind(request.method == "HEAD" ? MessageKind::ResponseWithoutBody : MessageKind::Response)
    , m_reader(m_kind)
    , m_allowsCloseDelimitedResponse(request.allowsCloseDelimitedResponse)
{
    removeHeaders(request.headers, request.deadlineHeaderName);
    auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(request.timeUntilDeadline).count();
    request.headers.push_back({ request.deadlineHeaderName, std::to_string(millis) });
    if (!findHeader(request.headers, "Host"))
        request.headers.insert(request.headers.begin(), { "Host", m_address });
    auto head = encodeRequestHead(request.method, request.target, request.headers, request.bodyLength);
    if (!head)
        return;
    m_output = std::move(*head);
    if (request.body) {
        write(*request.body);
        m_isBodyEnded = true;
    }
    m_isBodyEnded = m_isBodyEnded || !request.bodyLength;
}

void UpstreamCall::start(bool mayUseKeptConnection, Duration connectTimeout)
{
    if (m_output.empty()) {
        failLater({ { ErrorCode::Malformed, "upstream.target", m_address, "" }, RefusalReason::BadRequest, false });
        return;
    }
    if (mayUseKeptConnection)
        m_socket = m_connections->take();
    m_isOnKeptConnection = m_socket != nullptr;
    if (m_socket)
        begin();
    else
        connect(connectTimeout);
}

void UpstreamCall::connect(Duration timeout)
{
    auto failWith = [this](GError* error) {
        failLater({ errorFrom(error, "upstream.connect", m_address), RefusalReason::UpstreamUnreachable, false });
    };
    ObjectHandle<GSocketAddress> address = parseAddress(m_address);
    if (!address)
        return failWith(nullptr);
    GError* error = nullptr;
    m_socket.reset(
        g_socket_new(g_socket_address_get_family(address.get()), G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, &error));
    if (!m_socket)
        return failWith(error);
    g_socket_set_blocking(m_socket.get(), FALSE);
    g_socket_set_option(m_socket.get(), IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
    if (!g_socket_connect(m_socket.get(), address.get(), nullptr, &error)) {
        if (!g_error_matches(error, G_IO_ERROR, G_IO_ERROR_PENDING))
            return failWith(error);
        g_error_free(error);
    }
    m_connectWatch = watchSocket(m_context, m_socket.get(), G_IO_OUT, [this](GIOCondition) {
        onConnected();
        return false;
    });
    m_connectTimer = callAfter(m_context, timeout, [this] {
        fail({ { ErrorCode::Timeout, "upstream.connect", m_address, "" }, RefusalReason::UpstreamUnreachable, false });
        return false;
    });
}

void UpstreamCall::onConnected()
{
    auto self = shared_from_this();
    m_connectWatch.reset();
    m_connectTimer.reset();
    GError* error = nullptr;
    if (g_socket_check_connect_result(m_socket.get(), &error))
        begin();
    else
        fail({ errorFrom(error, "upstream.connect", m_address), RefusalReason::UpstreamUnreachable, false });
}

void UpstreamCall::begin()
{
    m_started = true;
    m_startedAt = currentInstant();
    flush();
    if (m_isAboveLowWatermark)
        watchOutput(); // reports that the body is writable
    watchInput();
}

void UpstreamCall::pushBody(std::string bytes)
{
    if (m_done || m_isBodyEnded || bytes.empty())
        return;
    bool isChunked = m_bodyLength < 0;
    if (isChunked)
        bytes = encodeChunk(bytes);
    else
        m_bodyBytesLeft -= static_cast<int64_t>(bytes.size());
    if (isChunked || m_bodyBytesLeft >= 0)
        return write(bytes);
    failLater({ { ErrorCode::Invalid, "upstream.body", m_address, "longer than its length" }, RefusalReason::BadRequest,
        m_started });
}

void UpstreamCall::endBody()
{
    if (m_done || std::exchange(m_isBodyEnded, true))
        return;
    if (m_bodyLength < 0)
        write(lastChunk);
    else if (m_bodyBytesLeft > 0) {
        failLater({ { ErrorCode::Invalid, "upstream.body", m_address, "shorter than its length" },
            RefusalReason::BadRequest, m_started });
    } else if (m_reader.head())
        scheduleDelivery();
}

void UpstreamCall::write(std::string_view bytes)
{
    if (m_hasWriteError)
        return;
    m_output += bytes;
    if (m_started && !m_outputWatch)
        flush();
    m_isAboveLowWatermark = m_isAboveLowWatermark || bufferedBytes() > lowWatermark;
}

// A failed write ends nothing: the upstream may have answered before it closed, and the reader sees the end.
void UpstreamCall::flush()
{
    while (m_socket && m_outputOffset < m_output.size()) {
        GError* error = nullptr;
        gssize n = g_socket_send(
            m_socket.get(), m_output.data() + m_outputOffset, m_output.size() - m_outputOffset, nullptr, &error);
        if (n >= 0) {
            m_outputOffset += static_cast<size_t>(n);
            continue;
        }
        bool isFull = g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK);
        g_error_free(error);
        if (!isFull) {
            m_hasWriteError = true;
            break;
        }
        if (m_outputOffset > std::max(bodyBufferBytes, m_output.size() / 2)) {
            m_output.erase(0, m_outputOffset);
            m_outputOffset = 0;
        }
        watchOutput();
        return;
    }
    m_output.clear();
    m_outputOffset = 0;
    if (m_reader.head() && (m_isBodyEnded || m_hasWriteError))
        scheduleDelivery();
}

void UpstreamCall::watchOutput()
{
    if (!m_outputWatch)
        m_outputWatch = watchSocket(m_context, m_socket.get(), G_IO_OUT, [this](GIOCondition) { return onOutput(); });
}

bool UpstreamCall::onOutput()
{
    auto self = shared_from_this();
    flush();
    bool isLow = bufferedBytes() <= lowWatermark;
    if (!bufferedBytes())
        m_outputWatch.reset();
    if (!m_done && isLow && std::exchange(m_isAboveLowWatermark, false)) {
        auto handlers = m_handlers;
        handlers->bodyWritable();
    }
    return bufferedBytes() > 0;
}

//-----------------------------------------------------------------------------
// [SECTION] UpstreamCall: response
//-----------------------------------------------------------------------------

void UpstreamCall::readMore()
{
    if (m_done)
        return;
    m_wantsMore = true;
    if (m_isDelivering)
        return;
    if (m_reader.hasBody() || m_reader.isComplete())
        scheduleDelivery();
    else
        watchInput();
}

void UpstreamCall::watchInput()
{
    if (m_inputWatch || !m_socket || m_done)
        return;
    m_inputWatch = watchSocket(m_context, m_socket.get(), G_IO_IN, [this](GIOCondition) { return onInput(); });
}

bool UpstreamCall::onInput()
{
    static thread_local std::array<char, readBytes> buffer;
    auto self = shared_from_this();
    GError* error = nullptr;
    gssize n = g_socket_receive(m_socket.get(), buffer.data(), buffer.size(), nullptr, &error);
    if (n < 0 && g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK)) {
        g_error_free(error);
        return true;
    }
    if (n < 0)
        fail({ errorFrom(error, "upstream.read", m_address), reasonOfCut(), true });
    else if (n)
        receive({ buffer.data(), static_cast<size_t>(n) });
    else
        receiveEnd();
    deliver();
    return m_inputWatch.get() && m_inputWatch.get() == g_main_current_source();
}

void UpstreamCall::receive(std::string_view bytes)
{
    m_reader.feed(bytes);
    while (m_reader.isComplete() && m_reader.head()->status < firstFinalStatus) {
        bool isUpgrade = m_reader.head()->status == SOUP_STATUS_SWITCHING_PROTOCOLS;
        if (isUpgrade || ++m_interimResponses > maxInterimResponses) {
            return fail({ { ErrorCode::Invalid, "upstream.read", m_address,
                              isUpgrade ? "an upgrade that was not asked for" : "too many interim responses" },
                RefusalReason::UpstreamInvalid, true });
        }
        std::string rest = m_reader.takeRest();
        m_reader = MessageReader(m_kind);
        m_reader.feed(rest);
    }
    if (const FramingError* error = m_reader.error())
        fail(*error);
}

// A length says how much comes, not whose it is: when a response is broken off and another one follows, the length is
// made up with bytes of the other one, and the rest of that one is left over. Chunks do not fit then.
bool UpstreamCall::isLengthUncertain() const
{
    return m_reader.isComplete() && m_reader.head()->framing == BodyFraming::Length && hasExtraBytes();
}

// An error of a socket is reported once, to the reader or to the writer. What comes after it is not the end of a body.
void UpstreamCall::receiveEnd()
{
    m_inputWatch.reset();
    bool isOpenEnded = m_reader.head() && m_reader.head()->framing == BodyFraming::UntilClose;
    if (isOpenEnded && (m_hasWriteError || hasSocketError()))
        return fail({ { ErrorCode::Closed, "upstream.read", m_address, "reset" }, reasonOfCut(), true });
    m_reader.endOfInput();
    if (const FramingError* error = m_reader.error())
        fail(*error);
}

bool UpstreamCall::hasSocketError() const
{
    gint error = 0;
    return !g_socket_get_option(m_socket.get(), SOL_SOCKET, SO_ERROR, &error, nullptr) || error;
}

void UpstreamCall::scheduleDelivery()
{
    if (m_deferred)
        return;
    m_deferred = callAfter(m_context, {}, [this] {
        auto self = shared_from_this();
        m_deferred.reset();
        deliver();
        return false;
    });
}

void UpstreamCall::deliver()
{
    if (m_done || m_isDelivering)
        return;
    m_isDelivering = true;
    while (!m_done && deliverNext()) { }
    m_isDelivering = false;
    bool needsInput = !m_reader.isComplete() && (m_headDelivered ? m_wantsMore : !m_reader.head());
    if (!needsInput)
        m_inputWatch.reset(); // the peer is stopped by flow control
    else
        watchInput();
}

bool UpstreamCall::deliverNext()
{
    const MessageHead* head = m_reader.head();
    // The entry takes no more of its caller's body once it has the response of an upstream that answers early.
    bool isRequestSent = m_isBodyEnded && !bufferedBytes();
    if (!head || (!isRequestSent && !m_hasWriteError))
        return false;
    if (isLengthUncertain()) {
        fail({ { ErrorCode::Invalid, "upstream.read", m_address, "bytes follow the response, so its end is uncertain" },
            RefusalReason::UpstreamInvalid, true });
        return false;
    }
    if (!std::exchange(m_headDelivered, true)) {
        deliverHead(*head);
        return true;
    }
    if (!m_wantsMore)
        return false;
    auto handlers = m_handlers;
    if (m_reader.hasBody()) {
        m_wantsMore = false;
        m_facts.receivedBytes = m_reader.bodyBytes();
        handlers->chunk(m_reader.takeBody());
        return true;
    }
    if (!m_reader.isComplete())
        return false;
    m_done = true;
    m_facts.hasExtraBytes = hasExtraBytes();
    release();
    handlers->end();
    return false;
}

void UpstreamCall::deliverHead(const MessageHead& head)
{
    m_facts.framing = head.framing;
    m_facts.statedBytes = head.contentLength ? static_cast<int64_t>(*head.contentLength) : -1;
    if (head.framing == BodyFraming::UntilClose && !m_allowsCloseDelimitedResponse) {
        fail({ { ErrorCode::Invalid, "upstream.head", m_address, "the end of the response body cannot be verified" },
            RefusalReason::UpstreamInvalid, true });
        return;
    }
    ResponseHead response;
    response.status = head.status;
    response.headers = endToEndHeaders(head.headers);
    bool isBodyless = head.status == SOUP_STATUS_NO_CONTENT || head.status == SOUP_STATUS_NOT_MODIFIED;
    bool hasNoBody = head.framing == BodyFraming::None && (isBodyless || m_kind == MessageKind::Response);
    response.bodyLength = hasNoBody ? 0 : m_facts.statedBytes;
    auto handlers = m_handlers;
    handlers->head(std::move(response));
}

bool UpstreamCall::hasExtraBytes() const
{
    return m_reader.hasRest() || inputState(m_socket.get()) == InputState::Bytes;
}

// A connection on which the rest of the request body is still due would take the next request for it.
void UpstreamCall::release()
{
    bool isRequestSent = m_isBodyEnded && !bufferedBytes() && !m_hasWriteError;
    bool isKept = isRequestSent && m_reader.head()->keepsConnection && !m_reader.hasRest()
        && inputState(m_socket.get()) == InputState::Nothing;
    auto socket = isKept ? std::move(m_socket) : nullptr;
    close();
    if (socket)
        m_connections->keep(std::move(socket), m_logId);
}

void UpstreamCall::cancel()
{
    m_done = true;
    close();
}

Duration UpstreamCall::serviceTime() const { return m_started ? currentInstant() - m_startedAt : Duration {}; }

//-----------------------------------------------------------------------------
// [SECTION] UpstreamCall: failures
//-----------------------------------------------------------------------------

RefusalReason UpstreamCall::reasonOfCut() const
{
    return m_reader.hasStarted() ? RefusalReason::UpstreamTruncated : RefusalReason::UpstreamCrashed;
}

void UpstreamCall::fail(const FramingError& error)
{
    bool isCut = error.kind == FramingError::Kind::Cut;
    fail({ { isCut ? ErrorCode::Closed : ErrorCode::Invalid, "upstream.read", m_address, toString(error) },
        isCut ? reasonOfCut() : RefusalReason::UpstreamInvalid, true });
}

void UpstreamCall::fail(UpstreamFailure&& failure)
{
    if (std::exchange(m_done, true))
        return;
    auto self = shared_from_this();
    if (const MessageHead* head = m_reader.head()) {
        m_facts.framing = head->framing;
        m_facts.receivedBytes = m_reader.bodyBytes();
    }
    auto handlers = m_handlers;
    close();
    handlers->failed(std::move(failure));
}

void UpstreamCall::failLater(UpstreamFailure failure)
{
    m_deferred = callAfter(m_context, {}, [this, failure = std::move(failure)] {
        auto self = shared_from_this();
        fail(UpstreamFailure(failure));
        return false;
    });
}

void UpstreamCall::close()
{
    m_connectTimer.reset();
    m_connectWatch.reset();
    m_inputWatch.reset();
    m_outputWatch.reset();
    m_deferred.reset();
    m_output.clear();
    m_outputOffset = 0;
    if (m_socket)
        g_socket_close(m_socket.get(), nullptr);
    m_socket.reset();
}

//-----------------------------------------------------------------------------
// [SECTION] UpstreamClient
//-----------------------------------------------------------------------------

UpstreamClient::UpstreamClient(GMainContext* context, std::string upstream, std::string address, uint32_t slots,
    Duration connectTimeout, Duration idleTimeout)
    : m_context(context)
    , m_address(std::move(address))
    , m_connectTimeout(connectTimeout)
    , m_connections(std::make_shared<UpstreamConnections>(
          context, std::move(upstream), 2 * slots + spareConnections, idleTimeout))
{
}

std::shared_ptr<UpstreamCall> UpstreamClient::start(UpstreamRequest request, UpstreamCall::Handlers handlers)
{
    bool mayUseKeptConnection = request.repeatable && !request.bodyLength;
    auto call
        = std::make_shared<UpstreamCall>(m_context, m_address, m_connections, std::move(request), std::move(handlers));
    call->start(mayUseKeptConnection, m_connectTimeout);
    return call;
}

} // namespace Gooseberrymill

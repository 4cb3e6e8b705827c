// HTTP client of one local upstream (libsoup).
#pragma once

#include "BodyStream.h"
#include "GlibCalls.h"
#include "HttpHeaders.h"
#include "Task.h"

#include <map>

namespace Gooseberrymill {

struct UpstreamRequest {
    Id128 requestId;
    std::string method;
    std::string target;
    std::vector<Header> headers;
    bool repeatable = false; // if false, sent on a new connection
    int64_t bodyLength = 0; // bytes; -1: unknown, the body is sent in chunks
    std::optional<std::string> body; // the whole body; nullopt: the body is streamed by pushBody()
    Duration timeUntilDeadline {}; // sent to the upstream in the deadline header
    const char* deadlineHeaderName = HeaderName::deadline;
    bool allowsCloseDelimitedResponse = false; // see HeaderProfile
};

struct UpstreamFailure {
    Error error;
    RefusalReason reason = RefusalReason::UpstreamUnreachable;
    bool started = false; // true when a byte of the request may have reached the upstream
};

// How the end of a message body is told (RFC 9112, section 6.3).
enum class BodyFraming : uint8_t { None, Length, Chunked, UntilClose };

std::string_view toString(BodyFraming);

// How a response arrived, for logs.
struct ResponseFacts {
    BodyFraming framing = BodyFraming::None;
    int64_t statedBytes = -1; // Content-Length; -1: none
    uint64_t receivedBytes = 0; // of the body
    bool hasExtraBytes = false; // more bytes followed its end
};

// Sockets of a session by libsoup's connection id. libsoup exposes the socket of a connection only while it connects,
// so the sockets are recorded for later requests on the same connection.
class ConnectionSockets {
public:
    void add(guint64 connection, ObjectHandle<GSocket>);
    ObjectHandle<GSocket> find(guint64 connection) const;

private:
    std::map<guint64, ObjectHandle<GSocket>> m_sockets;
};

// One request sent to the upstream, at most once: a kept connection that closes before the response is a failure.
// Handlers run on the task of the client, never after cancel().
class UpstreamCall : public std::enable_shared_from_this<UpstreamCall> {
public:
    struct Handlers {
        std::function<void(ResponseHead&&)> head; // the request id and the load are not set
        std::function<void(std::string&&)> chunk; // a part of the response body; readMore() requests the next one
        std::function<void()> end; // the response is complete
        std::function<void(UpstreamFailure&&)> failed;
        std::function<void()> bodyWritable; // the buffer of the request body fell below its low watermark
    };

    void pushBody(std::string bytes) { m_body.push(std::move(bytes)); }
    void endBody() { m_body.finish(); }
    bool isBodyWritable() const { return m_body.bufferedBytes() < bodyBufferBytes; }
    void readMore(); // reads the next part of the response body; does nothing while a read is pending
    void cancel();
    // Shuts down the connection so that no later request uses it: bytes that still arrive on it may belong to another
    // request.
    void dropConnection();
    bool isStarted() const { return m_started; } // libsoup has begun to write the request
    // The connection carried another request before, so what it delivers may be left over from that one.
    bool isOnKeptConnection() const { return m_isOnKeptConnection; }
    Duration serviceTime() const; // since the request was started; 0 before
    const ResponseFacts& facts() const { return m_facts; }

private:
    friend class UpstreamClient;
    static constexpr size_t bodyBufferBytes = 128 << 10; // buffered request body from which isBodyWritable() is false
    static constexpr uint32_t maxInterimResponses = 16; // 1xx responses to one request

    void send(GMainContext*, SoupSession*, GUri* base, UpstreamRequest&&, Duration connectTimeout);
    void setBody(UpstreamRequest&&);
    void onSent(GInputStream*, GError*);
    void onRead(gssize n, GError*);
    void fail(GError*, const char* step);
    void fail(UpstreamFailure&&);
    void release();
    RefusalReason reasonOf(const GError*) const;
    static void onStarting(SoupMessage*, gpointer);
    static void onRestarted(SoupMessage*, gpointer);
    static void onInterimResponse(SoupMessage*, gpointer);
    static void onNetworkEvent(SoupMessage*, GSocketClientEvent, GIOStream*, gpointer);

    std::shared_ptr<Handlers> m_handlers;
    ObjectHandle<SoupMessage> m_message;
    std::shared_ptr<ConnectionSockets> m_sockets;
    ObjectHandle<GSocket> m_socket;
    ObjectHandle<GInputStream> m_input;
    ObjectHandle<GCancellable> m_cancellable { g_cancellable_new() };
    SourceHandle m_connectTimer;
    BodyStream m_body;
    std::string m_peer;
    std::string m_buffer;
    Instant m_startedAt {};
    ResponseFacts m_facts;
    uint32_t m_interimResponses = 0;
    bool m_started = false;
    bool m_isOnKeptConnection = false;
    bool m_headReceived = false;
    bool m_hasBody = false; // a part of the response body has arrived
    bool m_isReading = false;
    bool m_connectTimedOut = false;
    bool m_done = false;
    bool m_allowsCloseDelimitedResponse = false;
};

// Sends requests to one upstream over a pool of kept-alive connections.
class UpstreamClient {
public:
    // `slots`: largest number of concurrent requests.
    // `idleTimeout`: closes a kept-alive connection that is idle for this time; 0: until the upstream closes it.
    UpstreamClient(
        GMainContext*, const std::string& address, uint32_t slots, Duration connectTimeout, Duration idleTimeout = {});

    std::shared_ptr<UpstreamCall> start(UpstreamRequest, UpstreamCall::Handlers);

private:
    GMainContext* m_context;
    Duration m_connectTimeout;
    UriHandle m_base;
    std::shared_ptr<ConnectionSockets> m_sockets = std::make_shared<ConnectionSockets>();
    ObjectHandle<SoupSession> m_session;
};

// Stops GLib from starting helper processes and loading libraries meant for desktops. Call it first in main().
void disableGlibHelpers();

} // namespace Gooseberrymill

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
    bool repeatable = false; // otherwise it is sent on a connection of its own, which libsoup cannot retry
    int64_t bodyLength = 0; // -1: unknown, sent in chunks
    std::optional<std::string> body; // whole body; empty optional: pushed while it arrives
    Duration timeUntilDeadline {};
    const char* deadlineHeaderName = HeaderName::deadline;
    bool allowsCloseDelimitedResponse = false; // as in HeaderProfile
};

struct UpstreamFailure {
    Error error;
    RefusalReason reason = RefusalReason::UpstreamUnreachable;
    bool started = false; // a byte of the request may have reached the upstream
};

// Sockets of a session by libsoup's connection id. libsoup tells the socket of a connection only when it opens.
class ConnectionSockets {
public:
    void add(guint64 connection, ObjectHandle<GSocket>);
    ObjectHandle<GSocket> find(guint64 connection) const;

private:
    std::map<guint64, ObjectHandle<GSocket>> m_sockets;
};

// One request at the upstream. Handlers run on the task of the client, never after cancel().
class UpstreamCall : public std::enable_shared_from_this<UpstreamCall> {
public:
    struct Handlers {
        std::function<void(ResponseHead&&)> head; // request id and load are left empty
        std::function<void(std::string&&)> chunk; // after it, readMore() asks for the next
        std::function<void()> end;
        std::function<void(UpstreamFailure&&)> failed;
        std::function<void()> bodyWritable; // the buffer of the request body fell below the low mark
    };

    void pushBody(std::string bytes) { m_body.push(std::move(bytes)); }
    void endBody() { m_body.finish(); }
    bool isBodyWritable() const { return m_body.bufferedBytes() < bodyBufferBytes; }
    void readMore(); // does nothing while a read is pending
    void cancel();
    void dropConnection(); // what comes on it may belong to another request; no later request uses it
    bool isStarted() const { return m_started; }
    Duration serviceTime() const; // since the request was started

private:
    friend class UpstreamClient;
    static constexpr size_t bodyBufferBytes = 128 << 10;

    void send(GMainContext*, SoupSession*, GUri* base, UpstreamRequest&&, Duration connectTimeout);
    void setBody(UpstreamRequest&&);
    void onSent(GInputStream*, GError*);
    void onRead(gssize n, GError*);
    void fail(GError*, const char* step);
    void fail(UpstreamFailure&&);
    void release();
    RefusalReason reasonOf(const GError*) const;
    static void onStarting(SoupMessage*, gpointer);
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
    bool m_started = false;
    bool m_headReceived = false;
    bool m_isReading = false;
    bool m_connectTimedOut = false;
    bool m_done = false;
    bool m_mayEndWithConnection = false;
};

class UpstreamClient {
public:
    // `slots`: requests that run at once.
    // `idleTimeout`: of a kept-alive connection; 0: until the upstream closes it.
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

// Keeps GLib from using helper processes and libraries of a desktop. Call it first in main().
void disableGlibHelpers();

} // namespace Gooseberrymill

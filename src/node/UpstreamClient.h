// HTTP/1.1 client of one local upstream.
#pragma once

#include "GlibCalls.h"
#include "HttpFraming.h"
#include "HttpHeaders.h"

#include <list>

namespace Gooseberrymill {

struct UpstreamRequest {
    std::string logId; // names the request in log lines
    std::string method;
    std::string target; // as the caller sent it
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

// How a response arrived, for logs.
struct ResponseFacts {
    BodyFraming framing = BodyFraming::None;
    int64_t statedBytes = -1; // Content-Length; -1: none
    uint64_t receivedBytes = 0; // of the body
    bool hasExtraBytes = false; // more bytes followed its end
};

// Idle connections to one upstream. One that closes, or on which bytes arrive that belong to no request, is dropped.
class UpstreamConnections {
public:
    // `idleTimeout`: closes a connection that is idle for this time; 0: until the upstream closes it.
    UpstreamConnections(GMainContext*, std::string upstream, size_t maxIdle, Duration idleTimeout);

    ObjectHandle<GSocket> take(); // the one that was used last; null: none
    void keep(ObjectHandle<GSocket>, std::string lastRequest);

private:
    struct Idle {
        ObjectHandle<GSocket> socket;
        std::string lastRequest; // log id of the request that it carried last
        SourceHandle watch;
        SourceHandle timer;
    };

    bool isUsable(const Idle&) const; // logs bytes that wait

    GMainContext* m_context;
    std::string m_upstream;
    size_t m_maxIdle;
    Duration m_idleTimeout;
    std::list<Idle> m_idle; // in the order of their last use
};

// One request sent to the upstream, at most once: a kept connection that closes before the response is a failure.
// Handlers run on the task of the client, never after cancel() and never from inside a call of this class.
class UpstreamCall : public std::enable_shared_from_this<UpstreamCall> {
public:
    struct Handlers {
        std::function<void(ResponseHead&&)> head; // the request id and the load are not set
        std::function<void(std::string&&)> chunk; // a part of the response body; readMore() requests the next one
        std::function<void()> end; // the response is complete
        std::function<void(UpstreamFailure&&)> failed;
        std::function<void()> bodyWritable; // the buffer of the request body fell below its low watermark
    };

    UpstreamCall(GMainContext*, std::string address, std::shared_ptr<UpstreamConnections>, UpstreamRequest&&, Handlers);
    ~UpstreamCall() { close(); }

    void pushBody(std::string bytes);
    void endBody();
    bool isBodyWritable() const { return bufferedBytes() < bodyBufferBytes; }
    void readMore(); // requests the next part of the response body
    void cancel(); // closes the connection
    bool isStarted() const { return m_started; } // the request is being written
    // The connection carried another request before, so what it delivers may be left over from that one.
    bool isOnKeptConnection() const { return m_isOnKeptConnection; }
    Duration serviceTime() const; // since the request was started; 0 before
    const ResponseFacts& facts() const { return m_facts; }

private:
    friend class UpstreamClient;
    static constexpr size_t bodyBufferBytes = 128 << 10; // buffered request body from which isBodyWritable() is false
    static constexpr size_t lowWatermark = 32 << 10; // buffered request body at which bodyWritable runs
    static constexpr uint32_t maxInterimResponses = 16; // 1xx responses to one request

    void start(bool mayUseKeptConnection, Duration connectTimeout);
    void connect(Duration timeout);
    void onConnected();
    void begin(); // writes the request

    size_t bufferedBytes() const { return m_output.size() - m_outputOffset; }
    void write(std::string_view bytes);
    void flush();
    void watchOutput();
    bool onOutput();

    void watchInput();
    bool onInput();
    void receive(std::string_view bytes);
    void receiveEnd(); // the upstream has closed the connection
    bool hasSocketError() const;
    void scheduleDelivery();
    void deliver(); // calls the handlers for what was received
    bool deliverNext(); // false: nothing to deliver
    void deliverHead(const MessageHead&);
    bool hasExtraBytes() const; // that follow the response
    bool isLengthUncertain() const;
    void release(); // keeps the connection for a later request, or closes it

    void fail(const FramingError&);
    void fail(UpstreamFailure&&);
    void failLater(UpstreamFailure);
    RefusalReason reasonOfCut() const;
    void close();

    GMainContext* m_context;
    std::string m_address;
    std::string m_logId;
    std::shared_ptr<UpstreamConnections> m_connections;
    std::shared_ptr<Handlers> m_handlers;
    ObjectHandle<GSocket> m_socket;
    SourceHandle m_connectTimer;
    SourceHandle m_connectWatch;
    SourceHandle m_inputWatch;
    SourceHandle m_outputWatch;
    SourceHandle m_deferred; // pending delivery or failure

    std::string m_output;
    size_t m_outputOffset = 0; // bytes of m_output that are written
    int64_t m_bodyLength = 0;
    int64_t m_bodyBytesLeft = 0; // of a body of known length that were not pushed yet
    bool m_isBodyEnded = false;
    bool m_isAboveLowWatermark = false;
    bool m_hasWriteError = false; // the socket may have reported its error to the writer only

    MessageKind m_kind = MessageKind::Response;
    MessageReader m_reader;
    Instant m_startedAt {};
    ResponseFacts m_facts;
    uint32_t m_interimResponses = 0;
    bool m_allowsCloseDelimitedResponse = false;
    bool m_started = false;
    bool m_isOnKeptConnection = false;
    bool m_headDelivered = false;
    bool m_wantsMore = false; // readMore() was called
    bool m_isDelivering = false;
    bool m_done = false;
};

// Sends requests to one upstream over kept connections.
class UpstreamClient {
public:
    // `slots`: largest number of concurrent requests. `idleTimeout`: see UpstreamConnections.
    UpstreamClient(GMainContext*, std::string upstream, std::string address, uint32_t slots, Duration connectTimeout,
        Duration idleTimeout = {});

    std::shared_ptr<UpstreamCall> start(UpstreamRequest, UpstreamCall::Handlers);

private:
    GMainContext* m_context;
    std::string m_address;
    Duration m_connectTimeout;
    std::shared_ptr<UpstreamConnections> m_connections;
};

} // namespace Gooseberrymill

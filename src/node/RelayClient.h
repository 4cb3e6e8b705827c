// Client side of the relay: sends requests to executors over pooled connections. A connection carries one request at a
// time.
#pragma once

#include "RelayConnection.h"

#include <map>

namespace Gooseberrymill {

// One request relayed to an executor. It ends with at most one of the handlers end, refused and failed.
class RelayCall : public std::enable_shared_from_this<RelayCall> {
public:
    struct Handlers {
        std::function<void(ResponseHead&&)> head;
        std::function<void(std::string&&)> chunk; // a part of the response body
        std::function<void()> end; // the response is complete
        std::function<void(Refusal&&)> refused; // the executor rejected the request instead of responding
        std::function<void(const Error&, Outcome)> failed; // outcome NotRun: no byte of the request head was written
        std::function<void()> writable; // the call got a connection, or can accept more of the body
        std::function<void(UpstreamNotice&&)> notice {}; // precedes the head or the refusal
    };

    RelayCall(RequestHead, RequestContext, Handlers);

    // True when the body may be sent and the output buffer is below its high watermark.
    bool isWritable() const { return m_connection && m_connection->isWritable() && maySendBody(); }
    // True once connected and, if the request head asks for a Continue, after the executor has sent it.
    bool maySendBody() const { return m_connection && (!m_head.wantsContinue || m_continueReceived); }
    void sendChunk(std::string bytes); // at most maxChunkBytes bytes; ignored while not connected
    void endBody();
    void pause(); // stops reading the response from the socket
    void resume();
    void cancel(); // no handler runs afterwards; the connection is reset, not reused
    bool isDone() const { return m_done; }
    // True when at least one byte of the request head was written to the socket.
    bool isHeadWritten() const { return m_connection && m_connection->writtenBytes() > m_queuedBytesBeforeHead; }

private:
    friend class RelayClient;

    void attach(std::shared_ptr<RelayConnection>, std::function<void(std::shared_ptr<RelayConnection>)> release);
    void onMessage(RelayMessage&&);
    void onHead(ResponseHead&&);
    void onRefusal(Refusal&&);
    void fail(const Error&);
    void finish();

    RequestHead m_head;
    RequestContext m_context;
    std::shared_ptr<Handlers> m_handlers;
    std::shared_ptr<RelayConnection> m_connection;
    std::function<void(std::shared_ptr<RelayConnection>)> m_release;
    uint64_t m_queuedBytesBeforeHead = 0;
    bool m_continueReceived = false;
    bool m_chunkSent = false;
    bool m_bodyEndSent = false;
    bool m_headReceived = false;
    bool m_done = false;
};

// Sends requests and queries to other nodes and keeps a pool of idle connections for each address.
class RelayClient {
public:
    // `idleTimeout`: an idle connection is closed after this time, which releases the descriptors of a load peak.
    RelayClient(GMainContext*, RelayIdentity, Duration connectTimeout, Duration idleTimeout);
    ~RelayClient();

    // Starts a call, on an idle connection if there is one. No handler runs before call() returns.
    std::shared_ptr<RelayCall> call(const std::string& address, RequestHead, RelayCall::Handlers, RequestContext = {});

    // Sends a query or notice and passes the next message of the peer to the callback; Unsupported if the peer is of a
    // version that does not understand it.
    // `replyTimeout`: longest wait for the reply once connected; 0: no timeout.
    void query(const std::string& address, RelayMessage, std::function<void(Result<RelayMessage>)>,
        Duration replyTimeout = {});

    size_t idleCount() const; // idle connections in the pool

private:
    struct IdleConnection {
        std::shared_ptr<RelayConnection> connection;
        Instant idleSince {};
    };
    using ConnectCallback = std::function<void(Result<std::shared_ptr<RelayConnection>>)>;

    void acquire(const std::string& address, ConnectCallback);
    void connect(const std::string& address, ConnectCallback);
    void release(const std::string& address, std::shared_ptr<RelayConnection>);
    void closeIdle(const std::string& address, const RelayConnection*);
    bool closeExpired(); // returns whether idle connections remain

    GMainContext* m_context;
    RelayIdentity m_identity;
    Duration m_connectTimeout;
    Duration m_idleTimeout;
    std::map<std::string, std::vector<IdleConnection>> m_idle; // by address, the longest idle connection first
    SourceHandle m_idleTimer; // active while there are idle connections
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); // false once destroyed; checked by callbacks
};

} // namespace Gooseberrymill

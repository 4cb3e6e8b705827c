// Client side of the relay: calls to executors over pooled connections, one request at a time on each.
#pragma once

#include "RelayConnection.h"

#include <map>

namespace Gooseberrymill {

// One request relayed to an executor.
class RelayCall : public std::enable_shared_from_this<RelayCall> {
public:
    struct Handlers {
        std::function<void(ResponseHead&&)> head;
        std::function<void(std::string&&)> chunk;
        std::function<void()> end; // the response is complete
        std::function<void(Refusal&&)> refused;
        std::function<void(const Error&, Outcome)> failed; // NotRun: no byte of the head was written
        std::function<void()> writable; // connected, or ready for more of the body
    };

    RelayCall(RequestHead, Handlers);

    bool isWritable() const { return m_connection && m_connection->isWritable() && maySendBody(); }
    bool maySendBody() const
    {
        return m_connection && (!m_head.wantsContinue || m_continueReceived);
    } // the body may be sent
    void sendChunk(std::string bytes); // at most maxChunkBytes; only while connected
    void endBody();
    void pause(); // stops the response
    void resume();
    void cancel(); // no handler runs afterwards; the connection is not reused
    bool isDone() const { return m_done; }
    bool isHeadWritten() const
    {
        return m_connection && m_connection->writtenBytes() > m_queuedBytesBeforeHead;
    } // at least a byte

private:
    friend class RelayClient;

    void attach(std::shared_ptr<RelayConnection>, std::function<void(std::shared_ptr<RelayConnection>)> release);
    void onMessage(RelayMessage&&);
    void onHead(ResponseHead&&);
    void onRefusal(Refusal&&);
    void fail(const Error&);
    void finish();

    RequestHead m_head;
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

class RelayClient {
public:
    // An idle connection is closed after `idleTimeout`, so that the descriptors of a peak are given back.
    RelayClient(GMainContext*, RelayIdentity, Duration connectTimeout, Duration idleTimeout);
    ~RelayClient();

    // Starts a call; no handler runs before it returns.
    std::shared_ptr<RelayCall> call(const std::string& address, RequestHead, RelayCall::Handlers);

    // Sends a query or notice and returns the next message of the peer.
    // `limit`: longest wait for the reply on an open connection; 0: none.
    void query(const std::string& address, RelayMessage, std::function<void(Result<RelayMessage>)>,
        Duration replyTimeout = {});

    size_t idleCount() const;

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
    bool closeExpired(); // true while connections are idle

    GMainContext* m_context;
    RelayIdentity m_identity;
    Duration m_connectTimeout;
    Duration m_idleTimeout;
    std::map<std::string, std::vector<IdleConnection>> m_idle; // by address, the longest idle first
    SourceHandle m_idleTimer; // runs while connections are idle
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace Gooseberrymill

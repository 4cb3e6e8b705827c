// Server side of the relay: accepts connections from other nodes and passes their requests to the executor.
#pragma once

#include "RelayConnection.h"
#include "Settings.h"

#include <atomic>
#include <set>

namespace Gooseberrymill {

// One request received from an entry, and the response to it.
class RelayExchange {
public:
    struct Handlers {
        std::function<void(std::string&&)> chunk; // a part of the request body
        std::function<void()> end; // the request body is complete
        std::function<void()> cancelled; // the entry closed the connection before the response was complete
        std::function<void()> writable; // the unsent output fell to the low watermark after it had reached the high one
    };

    RelayExchange(std::shared_ptr<RelayConnection>, RequestHead, RequestContext);

    const RequestHead& head() const { return m_head; }
    const RequestContext& context() const { return m_context; }
    const std::string& peer() const { return m_connection->peer(); }
    void setHandlers(Handlers handlers) { m_handlers = std::make_shared<Handlers>(std::move(handlers)); }

    // True while the response is not complete and the connection is open. Otherwise the send functions do nothing.
    bool isOpen() const { return !m_answered && m_connection->isOpen(); }
    bool isWritable() const { return m_connection->isWritable(); }
    void pauseBody() { m_connection->pauseReading(); }
    void resumeBody() { m_connection->resumeReading(); }

    void sendContinue(); // tells the entry to send the body
    // Sends the notice with the next message, if the peer understands it.
    void queueNotice(const UpstreamNotice&);
    void sendHead(ResponseHead); // queued; written with the first chunk or the end
    void sendChunk(std::string bytes); // split into frames of at most maxChunkBytes
    void sendEnd();
    void refuse(Refusal); // sent instead of a response head
    void abort(); // ends the connection after what was sent, so that the entry sees a truncated response

private:
    friend class RelayServer;

    void markAnswered(); // the response or refusal was sent in full

    std::shared_ptr<RelayConnection> m_connection;
    RequestHead m_head;
    RequestContext m_context;
    std::shared_ptr<Handlers> m_handlers = std::make_shared<Handlers>();
    std::function<void()> m_onAnswered;
    bool m_bodyEnded = false;
    bool m_answered = false;
};

// Accepts connections from other nodes. Each request becomes a RelayExchange; queries are answered by their handlers.
class RelayServer {
public:
    // Handles a query of another node and passes the reply to the callback.
    template <typename Query, typename Reply> using Answer = std::function<void(Query&&, std::function<void(Reply)>)>;

    struct Handlers {
        std::function<void(std::shared_ptr<RelayExchange>)> request;
        Answer<TokenQuery, TokenReply> token;
        Answer<ConfigurationQuery, ConfigurationReply> configuration;
        Answer<CrashNotice, CrashNoticeReply> crashes;
        Answer<DirectoryNotice, DirectoryReply> directory {};
        Answer<DepartureNotice, DepartureReply> departures {};
        Answer<QuotaQuery, QuotaReply> quota {};
    };

    RelayServer(GMainContext*, RelayIdentity, Handlers);
    ~RelayServer();

    Result<uint16_t> listen(const ListenAddress&); // returns the bound port
    size_t connectionCount() const { return m_peers.size(); }
    // Connections closed because of invalid input. May be called from any task.
    uint64_t droppedCount() const { return m_droppedCount; }

    // Stops accepting and notifies the peers. Idle connections are closed at once, the others after their request.
    void close();

private:
    struct Peer {
        std::shared_ptr<RelayConnection> connection;
        std::shared_ptr<RelayExchange> exchange;
        RequestContext nextContext; // of the request whose head follows
        bool closing = false; // the closing notice was sent
    };

    bool onAccept();
    void addPeer(ObjectHandle<GSocket>);
    void onMessage(const std::shared_ptr<Peer>&, RelayMessage&&);
    void onRequest(const std::shared_ptr<Peer>&, RequestHead&&);
    void onBody(const std::shared_ptr<Peer>&, RelayMessage&&);
    void onQuery(const std::shared_ptr<Peer>&, RelayMessage&&);
    void onClosed(const std::shared_ptr<Peer>&);
    void endExchangeIfDone(const std::shared_ptr<Peer>&);
    void sendClosingNotice(Peer&);
    void removePeer(const std::shared_ptr<Peer>&);

    GMainContext* m_context;
    RelayIdentity m_identity;
    Handlers m_handlers;
    ObjectHandle<GSocket> m_socket;
    SourceHandle m_acceptSource;
    SourceHandle m_acceptRetryTimer; // active after accept failed
    std::set<std::shared_ptr<Peer>> m_peers;
    bool m_closing = false;
    std::atomic<uint64_t> m_droppedCount { 0 };
};

} // namespace Gooseberrymill

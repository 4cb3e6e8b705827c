// One authenticated connection between two nodes, used by the client side and the server side.
#pragma once

#include "GlibCalls.h"
#include "RelayFrames.h"

namespace Gooseberrymill {

// Sends and receives messages on a non-blocking socket. Closes on any error.
class RelayConnection : public std::enable_shared_from_this<RelayConnection> {
public:
    struct Handlers {
        std::function<void(RelayMessage&&)> message;
        std::function<void(const Error&)> closed; // runs once on failure or end; not after close() or reset()
        std::function<void()> writable; // the unsent output fell to the low watermark after it had reached the high one
    };

    RelayConnection(GMainContext*, ObjectHandle<GSocket>, const RelayIdentity&, RelaySide, std::string peer);
    ~RelayConnection() { close(); }

    void open(); // sends the Hello and starts reading
    void setHandlers(Handlers handlers) { m_handlers = std::make_shared<Handlers>(std::move(handlers)); }

    // Whether the peer understands the message; false before its Hello was received.
    bool isUnderstood(const RelayMessage& message) const
    {
        return isEstablished() && peerHello().version >= firstVersionOf(message);
    }
    void queue(const RelayMessage&); // encodes the message; the next flush() sends it
    void flush(); // writes what the socket accepts now, and the rest when it becomes writable
    void send(const RelayMessage& message)
    {
        queue(message);
        flush();
    }

    void pauseReading(); // bounds memory: TCP flow control then stops the peer
    void resumeReading();

    void close(); // closes the socket; no handler runs afterwards
    void reset(); // closes with a TCP reset and discards unsent output
    void finishWriting(); // shuts down the sending side; the peer sees the end after the bytes already written
    // Sends what is queued and then the end, and ignores what arrives until the peer closes. A peer that does not close
    // within `limit` gets a TCP reset. A reset at once would discard what the peer has not received yet.
    void finish(Duration limit);

    bool isOpen() const { return m_socket != nullptr; }
    // True after the peer's Hello was received.
    bool isEstablished() const { return m_codec.isEstablished(); }
    bool isWritable() const { return m_output.size() - m_outputOffset < highWatermark; }
    uint64_t queuedBytes() const { return m_queuedBytes; } // encoded since the connection opened
    uint64_t writtenBytes() const { return m_writtenBytes; } // accepted by the socket since the connection opened
    const std::string& peer() const { return m_peer; }
    const Hello& peerHello() const { return m_codec.peer(); }

private:
    static constexpr size_t highWatermark = 128 << 10; // unsent bytes from which isWritable() is false
    static constexpr size_t lowWatermark = 32 << 10; // unsent bytes at which the writable handler runs

    void watchInput();
    bool onInput();
    void deliverMessages();
    bool onOutput();
    void fail(const Error&);
    void failLater(Error); // fails from the main loop, not from inside the caller

    GMainContext* m_context;
    ObjectHandle<GSocket> m_socket;
    std::string m_peer;
    RelayCodec m_codec;
    std::shared_ptr<Handlers> m_handlers = std::make_shared<Handlers>();
    SourceHandle m_inputSource;
    SourceHandle m_outputSource;
    SourceHandle m_deferredSource; // pending deferred failure or delivery
    SourceHandle m_finishTimer; // ends finish() at its limit
    std::string m_output;
    size_t m_outputOffset = 0; // bytes of m_output that are already written
    uint64_t m_queuedBytes = 0;
    uint64_t m_writtenBytes = 0;
    bool m_paused = false;
    bool m_isFinishing = false; // finish() was called
    bool m_isDelivering = false;
    bool m_wasAboveHighWatermark = false;
};

} // namespace Gooseberrymill

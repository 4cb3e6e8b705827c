// One authenticated connection between two nodes, either side.
#pragma once

#include "GlibCalls.h"
#include "RelayFrames.h"

namespace Gooseberrymill {

class RelayConnection : public std::enable_shared_from_this<RelayConnection> {
public:
    struct Handlers {
        std::function<void(RelayMessage&&)> message;
        std::function<void(const Error&)> closed; // once; not after close() or reset()
        std::function<void()> writable; // the output fell below the low mark
    };

    RelayConnection(GMainContext*, ObjectHandle<GSocket>, const RelayIdentity&, RelaySide, std::string peer);
    ~RelayConnection() { close(); }

    void open(); // sends the Hello and starts reading
    void setHandlers(Handlers handlers) { m_handlers = std::make_shared<Handlers>(std::move(handlers)); }

    void queue(const RelayMessage&); // sent by the next flush()
    void flush();
    void send(const RelayMessage& message)
    {
        queue(message);
        flush();
    }

    void pauseReading(); // bounds memory: the peer is stopped by TCP flow control
    void resumeReading();

    void close();
    void reset(); // closes at once and drops unsent output
    void finishWriting(); // no more output; the peer sees the end after what was sent

    bool isOpen() const { return m_socket != nullptr; }
    bool isEstablished() const { return m_codec.isEstablished(); }
    bool isWritable() const { return m_output.size() - m_outputOffset < highWatermark; }
    uint64_t queuedBytes() const { return m_queuedBytes; }
    uint64_t writtenBytes() const { return m_writtenBytes; }
    const std::string& peer() const { return m_peer; }
    const Hello& peerHello() const { return m_codec.peer(); }

private:
    static constexpr size_t highWatermark = 128 << 10;
    static constexpr size_t lowWatermark = 32 << 10;

    void watchInput();
    bool onInput();
    void deliverMessages();
    bool onOutput();
    void fail(const Error&);
    void failLater(Error);

    GMainContext* m_context;
    ObjectHandle<GSocket> m_socket;
    std::string m_peer;
    RelayCodec m_codec;
    std::shared_ptr<Handlers> m_handlers = std::make_shared<Handlers>();
    SourceHandle m_inputSource;
    SourceHandle m_outputSource;
    SourceHandle m_deferredSource;
    std::string m_output;
    size_t m_outputOffset = 0;
    uint64_t m_queuedBytes = 0;
    uint64_t m_writtenBytes = 0;
    bool m_paused = false;
    bool m_isDelivering = false;
    bool m_wasAboveHighWatermark = false;
};

} // namespace Gooseberrymill

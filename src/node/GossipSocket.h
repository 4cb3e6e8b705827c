// UDP socket that sends and receives gossip datagrams. Used by the control task.
#pragma once

#include "GossipCodec.h"
#include "Settings.h"
#include "Task.h"

namespace Gooseberrymill {

struct GossipSocketCounters {
    uint64_t received = 0; // datagrams that were decoded successfully
    uint64_t sent = 0; // datagrams sent
    uint64_t sentBytes = 0;
    uint64_t sendErrors = 0; // datagrams not encoded or not sent; not retried, since the protocol tolerates loss
};

// Must be created, used and destroyed on the thread of one task.
class GossipSocket {
public:
    // Called for each valid message; `from` is the sender's address as host:port.
    using Receiver = std::function<void(const GossipMessage&, std::string_view from)>;

    // Binds `listen`. Peers reach the socket at `advertised`; if it is empty, at the bound address. Messages are passed
    // to the receiver from the task's main loop.
    static Result<std::unique_ptr<GossipSocket>> open(
        const Task&, const ListenAddress& listen, std::string advertised, std::span<const uint8_t> key, Receiver);

    void send(const OutgoingGossip&);
    const std::string& advertisedAddress() const { return m_advertised; }
    const std::string& boundAddress() const { return m_bound; }
    const GossipSocketCounters& counters() const { return m_counters; }
    const GossipDrops& drops() const { return m_codec.drops(); }

private:
    GossipSocket(ObjectHandle<GSocket>, std::span<const uint8_t> key, Receiver);

    static gboolean onReadable(GSocket*, GIOCondition, gpointer);
    void receiveAll();

    ObjectHandle<GSocket> m_socket;
    GossipCodec m_codec;
    Receiver m_receiver;
    std::string m_bound;
    std::string m_advertised;
    GossipSocketCounters m_counters;
    SourceHandle m_source; // declared last, so that it is destroyed before the members that its callback uses
};

} // namespace Gooseberrymill

// UDP socket of the control task for gossip datagrams.
#pragma once

#include "GossipCodec.h"
#include "Settings.h"
#include "Task.h"

namespace Gooseberrymill {

struct GossipSocketCounters {
    uint64_t received = 0; // decoded
    uint64_t sent = 0;
    uint64_t sentBytes = 0;
    uint64_t sendErrors = 0; // a datagram that could not be sent is lost; the protocol repeats
};

// Belongs to one task: it is created, used and destroyed on that task's thread.
class GossipSocket {
public:
    using Receiver = std::function<void(const GossipMessage&, std::string_view from)>;

    // Binds `listen`. Peers reach the socket at `advertised`, or at the address bound when that is empty.
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
    SourceHandle m_source; // last: it must end before the members it uses
};

} // namespace Gooseberrymill

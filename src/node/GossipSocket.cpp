#include "GossipSocket.h"

#include <charconv>
#include <fmt/format.h>

namespace Gooseberrymill {

namespace {

constexpr int maxDatagramsPerWakeup = 64; // bounds the time for which other event sources of the task have to wait

ObjectHandle<GSocketAddress> parseAddress(std::string_view address)
{
    size_t colon = address.rfind(':');
    if (colon == std::string_view::npos)
        return nullptr;
    uint16_t port = 0;
    std::string_view digits = address.substr(colon + 1);
    auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (ec != std::errc() || end != digits.data() + digits.size() || !port)
        return nullptr;
    std::string host(address.substr(0, colon));
    return ObjectHandle<GSocketAddress>(g_inet_socket_address_new_from_string(host.c_str(), port));
}

std::string formatAddress(GSocketAddress* address)
{
    if (!address || !G_IS_INET_SOCKET_ADDRESS(address))
        return {};
    auto* inet = G_INET_SOCKET_ADDRESS(address);
    std::unique_ptr<char, decltype(&g_free)> host(
        g_inet_address_to_string(g_inet_socket_address_get_address(inet)), g_free);
    return fmt::format("{}:{}", host.get(), g_inet_socket_address_get_port(inet));
}

Error openError(GError* error, const std::string& address)
{
    ErrorHandle ownedError(error);
    return { ErrorCode::Unavailable, "gossip.open", address, ownedError ? ownedError->message : "" };
}

} // namespace

GossipSocket::GossipSocket(ObjectHandle<GSocket> socket, std::span<const uint8_t> key, Receiver receiver)
    : m_socket(std::move(socket))
    , m_codec(key)
    , m_receiver(std::move(receiver))
{
}

Result<std::unique_ptr<GossipSocket>> GossipSocket::open(const Task& task, const ListenAddress& listen,
    std::string advertised, std::span<const uint8_t> key, Receiver receiver)
{
    std::string name = fmt::format("{}:{}", listen.host, listen.port);
    ObjectHandle<GSocketAddress> address(g_inet_socket_address_new_from_string(listen.host.c_str(), listen.port));
    if (!address)
        return Error { ErrorCode::Invalid, "gossip.open", name, "not an IP address" };
    GError* error = nullptr;
    ObjectHandle<GSocket> socket(g_socket_new(
        g_socket_address_get_family(address.get()), G_SOCKET_TYPE_DATAGRAM, G_SOCKET_PROTOCOL_UDP, &error));
    if (!socket)
        return openError(error, name);
    g_socket_set_blocking(socket.get(), FALSE);
    if (!g_socket_bind(socket.get(), address.get(), FALSE, &error))
        return openError(error, name);
    ObjectHandle<GSocketAddress> local(g_socket_get_local_address(socket.get(), &error));
    if (!local)
        return openError(error, name);

    std::unique_ptr<GossipSocket> result(new GossipSocket(std::move(socket), key, std::move(receiver)));
    result->m_bound = formatAddress(local.get());
    result->m_advertised = advertised.empty() ? result->m_bound : std::move(advertised);
    GSource* source = g_socket_create_source(result->m_socket.get(), G_IO_IN, nullptr);
    g_source_set_callback(source, G_SOURCE_FUNC(&GossipSocket::onReadable), result.get(), nullptr);
    g_source_attach(source, task.context());
    result->m_source = SourceHandle(source);
    return result;
}

void GossipSocket::send(const OutgoingGossip& out)
{
    std::error_code ec;
    auto datagram = m_codec.encode(out.message, ec);
    ObjectHandle<GSocketAddress> address = parseAddress(out.address);
    if (ec || !address) {
        ++m_counters.sendErrors;
        return;
    }
    GError* error = nullptr;
    gssize n = g_socket_send_to(m_socket.get(), address.get(), reinterpret_cast<const char*>(datagram.data()),
        datagram.size(), nullptr, &error);
    ErrorHandle ownedError(error);
    if (n < 0) {
        ++m_counters.sendErrors;
        return;
    }
    ++m_counters.sent;
    m_counters.sentBytes += datagram.size();
}

gboolean GossipSocket::onReadable(GSocket*, GIOCondition, gpointer data)
{
    static_cast<GossipSocket*>(data)->receiveAll();
    return G_SOURCE_CONTINUE;
}

void GossipSocket::receiveAll()
{
    // One byte more than the maximum, so that an oversized datagram is detected instead of being truncated to a valid
    // size.
    std::array<uint8_t, maxDatagramBytes + 1> buf {};
    for (int i = 0; i < maxDatagramsPerWakeup; ++i) {
        GSocketAddress* from = nullptr;
        GError* error = nullptr;
        gssize n = g_socket_receive_from(
            m_socket.get(), &from, reinterpret_cast<char*>(buf.data()), buf.size(), nullptr, &error);
        ObjectHandle<GSocketAddress> ownedFrom(from);
        ErrorHandle ownedError(error);
        if (n < 0) {
            // The error reports an unreachable port for an earlier outgoing datagram. Received datagrams may
            // still be waiting, so continue.
            if (g_error_matches(error, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED))
                continue;
            return;
        }
        std::error_code ec;
        auto message = m_codec.decode(std::span(buf.data(), static_cast<size_t>(n)), ec);
        if (!message)
            continue;
        ++m_counters.received;
        m_receiver(*message, formatAddress(from));
    }
}

} // namespace Gooseberrymill

// One relay connection over loopback sockets, driven by the default main context.
#define BOOST_TEST_MODULE RelayConnection
#include "RelayConnection.h"

#include <boost/test/unit_test.hpp>

using namespace Gooseberrymill;

namespace {

constexpr Duration patience = 60s; // bound of a wait for an event that is certain to come

void runUntil(const std::function<bool()>& isDone)
{
    bool hasExpired = false;
    SourceHandle timer = callAfter(nullptr, patience, [&] {
        hasExpired = true;
        return false;
    });
    while (!isDone() && !hasExpired)
        g_main_context_iteration(nullptr, TRUE);
    BOOST_REQUIRE_MESSAGE(isDone(), "no event within the bound");
}

ObjectHandle<GSocket> connectTo(uint16_t port)
{
    auto address = parseAddress("127.0.0.1:" + std::to_string(port));
    ObjectHandle<GSocket> socket(
        g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, nullptr));
    BOOST_REQUIRE(g_socket_connect(socket.get(), address.get(), nullptr, nullptr));
    return socket;
}

// Both ends of a connection, and what the client end received.
struct ConnectionPair {
    ConnectionPair()
    {
        auto listener = listenSocket("127.0.0.1", 0, false);
        BOOST_REQUIRE(listener);
        ObjectHandle<GSocket> socket = connectTo(localPort(listener.value().get()));
        g_socket_set_blocking(listener.value().get(), TRUE);
        ObjectHandle<GSocket> accepted(g_socket_accept(listener.value().get(), nullptr, nullptr));
        RelayIdentity identity { "a key of at least 16 characters", "node", {} };
        client = std::make_shared<RelayConnection>(nullptr, std::move(socket), identity, RelaySide::Client, "server");
        server = std::make_shared<RelayConnection>(nullptr, std::move(accepted), identity, RelaySide::Server, "client");
        client->setHandlers({ [this](RelayMessage&& message) {
                                 if (const auto* chunk = std::get_if<BodyChunk>(&message))
                                     receivedBytes += chunk->bytes.size();
                             },
            [this](const Error& error) { clientEnd = error; }, {} });
        server->setHandlers({ {}, [this](const Error& error) { serverEnd = error; }, {} });
        client->open();
        server->open();
        runUntil([this] { return client->isEstablished() && server->isEstablished(); });
    }

    std::shared_ptr<RelayConnection> client;
    std::shared_ptr<RelayConnection> server;
    size_t receivedBytes = 0;
    std::optional<Error> clientEnd;
    std::optional<Error> serverEnd;
};

// Sends more than the sockets hold.
size_t sendChunks(RelayConnection& connection)
{
    constexpr size_t chunkCount = 1000;
    for (size_t i = 0; i < chunkCount; ++i)
        connection.send(BodyChunk { std::string(maxChunkBytes, 'x') });
    return chunkCount * maxChunkBytes;
}

} // namespace

// Guards against a truncated response that loses what the executor had already received, its head included, because the
// reset that ends the relay connection discards what is not delivered yet.
BOOST_AUTO_TEST_CASE(finishedConnectionDeliversWhatWasSent)
{
    ConnectionPair pair;
    size_t sentBytes = sendChunks(*pair.server);
    pair.server->finish(patience);
    pair.server->send(BodyEnd {}); // ignored
    pair.client->send(BodyEnd {}); // not read
    runUntil([&] { return pair.clientEnd && pair.serverEnd; });
    BOOST_TEST(pair.receivedBytes == sentBytes);
    BOOST_TEST(pair.clientEnd->code == makeErrorCode(ErrorCode::Closed));
}

// Guards against connections that stay open for ever because the peer stopped reading.
BOOST_AUTO_TEST_CASE(finishedConnectionIsResetAtItsLimit)
{
    ConnectionPair pair;
    pair.client->pauseReading();
    sendChunks(*pair.server);
    pair.server->finish(200ms);
    runUntil([&] { return pair.clientEnd && pair.serverEnd; });
    BOOST_TEST(!pair.server->isOpen());
}

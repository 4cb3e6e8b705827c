// An upstream that answers with given bytes, whether or not they are a response, and nodes in front of it that speak as
// on the users' platform.
#pragma once

#include "node/PlatformAdapter.h"
#include "SpoiledResponses.h"
#include "TestFleet.h"

#include <thread>

namespace Gooseberrymill::Testing {

// What the upstream writes after it has received a request.
struct RawResponse {
    std::string bytes;
    bool closes = false; // after the bytes
    bool isEndless = false; // the bytes are repeated until the peer closes
    std::string repeated {}; // written after the bytes until the peer closes
    std::vector<ResponsePiece> later {}; // written after the bytes
    bool resets = false; // closes with a reset
};

inline RawResponse rawResponse(SpoiledResponse response)
{
    RawResponse result;
    result.closes = response.closes;
    result.resets = response.resets;
    result.later = std::move(response.pieces);
    return result;
}

// An upstream that answers each request with given bytes. `respond` gets the head of the request.
class RawUpstream {
public:
    explicit RawUpstream(std::function<RawResponse(const std::string& head)> respond)
        : m_respond(std::move(respond))
        , m_listener(std::move(listenSocket("127.0.0.1", 0, false)).value())
        , m_thread([this] { run(); })
    {
    }
    RawUpstream(const RawUpstream&) = delete;
    RawUpstream& operator=(const RawUpstream&) = delete;
    ~RawUpstream()
    {
        m_isStopped = true;
        m_thread.join();
        for (std::thread& it : m_connections)
            it.join();
    }

    std::string address() const { return fmt::format("127.0.0.1:{}", localPort(m_listener.get())); }
    uint64_t writtenBytes() const { return m_writtenBytes; }
    size_t openConnections() const { return m_openConnections; }
    size_t endlessResponses() const { return m_endlessResponses; } // that were begun
    size_t openEndlessResponses() const { return m_openEndlessResponses; }
    size_t requests() const { return m_requests; } // whose head has arrived

private:
    void run()
    {
        while (!m_isStopped) {
            ObjectHandle<GSocket> socket(g_socket_accept(m_listener.get(), nullptr, nullptr));
            if (!socket) {
                std::this_thread::sleep_for(std::chrono::milliseconds(1));
                continue;
            }
            m_connections.emplace_back([this, connection = std::move(socket)] { serve(connection.get()); });
        }
    }

    void serve(GSocket* socket)
    {
        ++m_openConnections;
        g_socket_set_blocking(socket, TRUE);
        g_socket_set_timeout(socket, 1);
        std::string input;
        std::array<char, 4096> buf {};
        while (!m_isStopped) {
            gssize n = g_socket_receive(socket, buf.data(), buf.size(), nullptr, nullptr);
            if (!n)
                break;
            if (n > 0)
                input.append(buf.data(), static_cast<size_t>(n));
            size_t end = input.find("\r\n\r\n");
            if (end == std::string::npos)
                continue;
            ++m_requests;
            RawResponse response = m_respond(input.substr(0, end));
            input.clear();
            if (!write(socket, response) || !writeLater(socket, response) || response.closes) {
                if (response.resets)
                    closeWithReset(socket);
                break;
            }
            if (response.repeated.empty())
                continue;
            ++m_openEndlessResponses;
            ++m_endlessResponses;
            write(socket, { std::move(response.repeated), false, true });
            --m_openEndlessResponses;
            break;
        }
        g_socket_close(socket, nullptr);
        --m_openConnections;
    }

    bool writeLater(GSocket* socket, const RawResponse& response)
    {
        for (const ResponsePiece& it : response.later) {
            std::this_thread::sleep_for(it.delay);
            if (!write(socket, { it.bytes }))
                return false;
        }
        return true;
    }

    bool write(GSocket* socket, const RawResponse& response)
    {
        std::string_view rest = response.bytes;
        if (rest.empty())
            return true;
        do {
            if (rest.empty())
                rest = response.bytes;
            gssize n = g_socket_send(socket, rest.data(), rest.size(), nullptr, nullptr);
            if (n < 0 && !response.isEndless)
                return false;
            if (n < 0 && g_socket_get_available_bytes(socket) < 0)
                return false;
            if (n < 0 && !g_socket_condition_check(socket, static_cast<GIOCondition>(G_IO_OUT)))
                continue; // the peer does not read
            if (n < 0)
                return false;
            m_writtenBytes += static_cast<uint64_t>(n);
            rest.remove_prefix(static_cast<size_t>(n));
        } while ((response.isEndless || !rest.empty()) && !m_isStopped);
        return true;
    }

    std::function<RawResponse(const std::string&)> m_respond;
    ObjectHandle<GSocket> m_listener;
    std::atomic<bool> m_isStopped { false };
    std::atomic<uint64_t> m_writtenBytes { 0 };
    std::atomic<size_t> m_openConnections { 0 };
    std::atomic<size_t> m_requests { 0 };
    std::atomic<size_t> m_endlessResponses { 0 };
    std::atomic<size_t> m_openEndlessResponses { 0 };
    std::vector<std::thread> m_connections; // used by m_thread until it has ended
    std::thread m_thread;
};

// Nodes that speak as on the users' platform. The upstream of node 0 is `raw`, the others are sound.
struct MeshFleet {
    explicit MeshFleet(const RawUpstream& raw, size_t nodes = 1, Duration deadline = 3s)
        : MeshFleet(raw, options(nodes, deadline))
    {
    }
    MeshFleet(const RawUpstream& raw, const FleetOptions& options)
        : fleet(options)
    {
        UpstreamEndpoint& endpoint = fleet[0].endpoint;
        endpoint.address = raw.address();
        fleet[0].node->setUpstream(endpoint);
    }

    static FleetOptions options(size_t nodes, Duration deadline)
    {
        FleetOptions result { .nodes = nodes, .deadline = deadline };
        result.executorHooks.headers = findPlatformAdapter("mesh")->headers;
        result.entryHooks.headers = result.executorHooks.headers;
        return result;
    }

    CallerResponse call(std::string_view method, std::string_view target, const std::string& id)
    {
        return HttpCaller(fleet.port()).request(method, target, { { "Attempt-Id", id } });
    }

    TestFleet fleet;
};

inline std::string idOf(const std::string& head)
{
    constexpr std::string_view name = "Attempt-Id: ";
    size_t start = head.find(name);
    return start == std::string::npos
        ? ""
        : head.substr(start + name.size(), head.find("\r\n", start) - start - name.size());
}

inline std::string headOf(std::string_view status, const std::string& id, const std::string& rest)
{
    std::string idLine = id.empty() ? "" : fmt::format("Attempt-Id: {}\r\n", id);
    return fmt::format("HTTP/1.1 {}\r\n{}{}", status, idLine, rest);
}

} // namespace Gooseberrymill::Testing

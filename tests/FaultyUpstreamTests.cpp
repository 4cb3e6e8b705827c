// Upstreams that write bytes which are no answer, or no whole one, to the request.
#define BOOST_TEST_MODULE FaultyUpstream
#include "node/PlatformAdapter.h"
#include "TestFleet.h"

#include <boost/test/unit_test.hpp>
#include <thread>

using namespace Gooseberrymill;
using namespace Gooseberrymill::Testing;

namespace {

// What the upstream writes after it has received a request.
struct RawResponse {
    std::string bytes;
    bool closes = false; // after the bytes
    bool isEndless = false; // the bytes are repeated until the peer closes
};

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
            RawResponse response = m_respond(input.substr(0, end));
            input.clear();
            if (!write(socket, response) || response.closes)
                break;
        }
        g_socket_close(socket, nullptr);
        --m_openConnections;
    }

    bool write(GSocket* socket, const RawResponse& response)
    {
        do {
            gssize n = g_socket_send(socket, response.bytes.data(), response.bytes.size(), nullptr, nullptr);
            if (n < 0 && !response.isEndless)
                return false;
            if (n < 0 && g_socket_get_available_bytes(socket) < 0)
                return false;
            if (n < 0 && !g_socket_condition_check(socket, static_cast<GIOCondition>(G_IO_OUT)))
                continue; // the peer does not read
            if (n < 0)
                return false;
            m_writtenBytes += static_cast<uint64_t>(n);
        } while (response.isEndless && !m_isStopped);
        return true;
    }

    std::function<RawResponse(const std::string&)> m_respond;
    ObjectHandle<GSocket> m_listener;
    std::atomic<bool> m_isStopped { false };
    std::atomic<uint64_t> m_writtenBytes { 0 };
    std::atomic<size_t> m_openConnections { 0 };
    std::vector<std::thread> m_connections; // used by m_thread until it has ended
    std::thread m_thread;
};

// Two nodes that speak as on the users' platform. The upstream of node 0 is `raw`, the other one is sound.
struct MeshFleet {
    explicit MeshFleet(const RawUpstream& raw, size_t nodes = 1, Duration deadline = 3s)
        : fleet(options(nodes, deadline))
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

std::string idOf(const std::string& head)
{
    constexpr std::string_view name = "Attempt-Id: ";
    size_t start = head.find(name);
    return start == std::string::npos
        ? ""
        : head.substr(start + name.size(), head.find("\r\n", start) - start - name.size());
}

std::string headOf(std::string_view status, const std::string& id, const std::string& rest)
{
    std::string idLine = id.empty() ? "" : fmt::format("Attempt-Id: {}\r\n", id);
    return fmt::format("HTTP/1.1 {}\r\n{}{}", status, idLine, rest);
}

std::string rejection(const std::string& id)
{
    return headOf("503 Service Unavailable", id, "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
}

std::string answer(const std::string& id)
{
    return headOf("200 OK", id, "Response-Signature: s\r\nContent-Length: 2\r\n\r\nok");
}

} // namespace

// Guards against an earlier rejection, written once more, that makes a request which runs count as not run.
BOOST_AUTO_TEST_CASE(repeatedRejectionSaysNothingOfTheNextRequest)
{
    for (bool echoesId : { true, false }) {
        RawUpstream raw([&](const std::string& head) {
            bool isFirst = idOf(head) == "first";
            return RawResponse { isFirst ? answer("first") : rejection(echoesId ? "first" : "") };
        });
        MeshFleet mesh(raw);
        BOOST_TEST(mesh.call("GET", "/read/a", "first").status == 200); // keeps the connection
        auto response = mesh.call("GET", "/read/b", "second");
        BOOST_TEST(response.status == 502);
        BOOST_TEST(response.header(HeaderName::outcome) == "unknown");
        auto order = mesh.call("POST", "/order/a", "third");
        BOOST_TEST(order.status == (echoesId ? 502 : 503)); // its connection is new: the rejection can only be its own
    }
}

// Guards against a response without the id of its request, which may belong to another one, that ends a rate limit.
BOOST_AUTO_TEST_CASE(unidentifiedResponseSaysNothingOfTheLimit)
{
    std::atomic<size_t> arrivals { 0 };
    RawUpstream raw([&](const std::string& head) {
        ++arrivals;
        std::string limit = "Response-Signature: s\r\nServer-Limit: 2\r\nContent-Length: 0\r\n\r\n";
        return RawResponse { idOf(head) == "second" ? answer("") : headOf("200 OK", idOf(head), limit) };
    });
    MeshFleet mesh(raw);
    BOOST_TEST(mesh.call("GET", "/read/a", "first").status == 200);
    BOOST_TEST(mesh.call("GET", "/read/b", "second").status == 502);
    constexpr size_t callers = 8;
    std::vector<std::thread> threads;
    for (size_t i = 0; i < callers; ++i)
        threads.emplace_back([&mesh, i] { mesh.call("GET", "/read/c", fmt::format("id-{}", i)); });
    for (std::thread& it : threads)
        it.join();
    constexpr size_t allowed = 2 + 3; // a rejected request waits for a second at most
    BOOST_TEST(arrivals <= allowed);
    BOOST_TEST(arrivals > 2U);
}

// Guards against taking a request that the upstream rejects for one that may have run.
BOOST_AUTO_TEST_CASE(rejectionOfTheRequestItselfIsNotRun)
{
    RawUpstream raw([&](const std::string& head) { return RawResponse { rejection(idOf(head)) }; });
    MeshFleet mesh(raw);
    for (std::string target : { "/read/a", "/order/a" }) {
        for (std::string id : { "first", "second" }) {
            auto response = mesh.call("GET", target, id);
            BOOST_TEST(response.status == 503);
            BOOST_TEST(response.header(HeaderName::outcome) == "not-run");
        }
    }
}

// Guards against a request that must not be repeated and reaches a second upstream after a false rejection.
BOOST_AUTO_TEST_CASE(falseRejectionIsNotTriedElsewhere)
{
    std::atomic<size_t> arrivals { 0 };
    RawUpstream raw([&](const std::string&) {
        ++arrivals;
        return RawResponse { rejection("earlier") };
    });
    MeshFleet mesh(raw, 2);
    for (int i = 0; i < 20; ++i) {
        std::string target = fmt::format("/order/{}", i);
        size_t before = arrivals;
        mesh.call("POST", target, fmt::format("id-{}", i));
        BOOST_TEST(arrivals - before + mesh.fleet.upstream(1).count(target) == 1U);
    }
    BOOST_TEST(arrivals > 0U);
}

// Guards against a response that stops in its head and reaches the caller as a whole one with an empty or short body.
BOOST_AUTO_TEST_CASE(cutHeadIsNeverAWholeResponse)
{
    const std::vector<std::pair<std::string, std::string>> cuts { { "200 OK", "Response-Signature: s\r\n" },
        { "200 OK", "Response-Signature: s" }, { "200 OK", "Response-Signature: s\r\nContent-Len" },
        { "200 OK", "Response-Signature: s\r\nContent-Length: " },
        { "200 OK", "Response-Signature: s\r\nContent-Length: 0\r\n" },
        { "200 OK", "Response-Signature: s\r\nContent-Length: 1" },
        { "200 OK", "Response-Signature: s\r\nTransfer-Encoding: chunked\r\n" },
        { "200 OK", "Response-Signature: s\r\nTransfer-Encoding: chu" },
        { "204 No Content", "Response-Signature: s\r\n" } };
    size_t next = 0;
    RawUpstream raw([&](const std::string& head) {
        const auto& [status, rest] = cuts[next];
        return RawResponse { headOf(status, idOf(head), rest), true };
    });
    MeshFleet mesh(raw);
    for (; next < cuts.size(); ++next) {
        BOOST_TEST_CONTEXT(cuts[next].first << " " << cuts[next].second)
        {
            for (std::string target : { "/read/a", "/order/a" }) {
                auto response = mesh.call(target == "/read/a" ? "GET" : "POST", target, fmt::format("id-{}", next));
                BOOST_TEST(response.status == 502);
                BOOST_TEST(response.header(HeaderName::outcome) == "unknown");
            }
        }
    }
}

// Guards against refusing whole responses without a body, or without a length.
BOOST_AUTO_TEST_CASE(wholeResponsesWithoutBodyOrLengthArePassedOn)
{
    const std::vector<RawResponse> responses { { "Response-Signature: s\r\nContent-Length: 0\r\n\r\n" },
        { "Response-Signature: s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", true },
        { "Response-Signature: s\r\n\r\nbody", true } };
    size_t next = 0;
    RawUpstream raw([&](const std::string& head) {
        return RawResponse { headOf("200 OK", idOf(head), responses[next].bytes), responses[next].closes };
    });
    MeshFleet mesh(raw);
    for (; next < responses.size(); ++next) {
        auto response = mesh.call("POST", "/order/a", fmt::format("id-{}", next));
        BOOST_TEST(response.status == 200);
        BOOST_TEST(response.complete);
        BOOST_TEST(response.body == (next == 2 ? "body" : ""));
    }
}

// Guards against memory and work without bound while an upstream writes bytes without end, in a head or in a body.
BOOST_AUTO_TEST_CASE(endlessBytesAreCutOff)
{
    constexpr uint64_t allowedBytes = 64 << 20; // of all four requests; socket buffers included
    for (bool isInHead : { true, false }) {
        std::string filler(16 << 10, 'x');
        RawUpstream raw([&](const std::string& head) {
            std::string start = isInHead ? headOf("200 OK", idOf(head), "X-Filler: ")
                                         : headOf("200 OK", idOf(head), "Response-Signature: s\r\n\r\n");
            return RawResponse { start + filler, false, true };
        });
        MeshFleet mesh(raw, 1, 1s);
        for (std::string target : { "/read/a", "/order/a" }) {
            HttpCaller caller(mesh.fleet.port());
            caller.sendHead(
                target == "/read/a" ? "GET" : "POST", target, { { "Attempt-Id", target }, { "Content-Length", "0" } });
            std::this_thread::sleep_for(1500ms); // past the deadline; the caller reads nothing and leaves
        }
        uint64_t written = 0;
        bool isIdle = false;
        for (int i = 0; i < 50 && !isIdle; ++i) {
            written = raw.writtenBytes();
            std::this_thread::sleep_for(200ms);
            isIdle = raw.writtenBytes() == written && !raw.openConnections();
        }
        BOOST_TEST_CONTEXT((isInHead ? "in the head" : "in the body"))
        {
            BOOST_TEST(isIdle);
            BOOST_TEST(written <= allowedBytes);
        }
    }
}

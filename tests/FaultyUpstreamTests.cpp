// Upstreams that write bytes which are no answer, or no whole one, to the request.
#define BOOST_TEST_MODULE FaultyUpstream
#include "RawUpstream.h"

#include <boost/test/unit_test.hpp>
#include <thread>

using namespace Gooseberrymill;
using namespace Gooseberrymill::Testing;

namespace {

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

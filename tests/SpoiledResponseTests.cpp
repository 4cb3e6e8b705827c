// Upstreams that break off, spoil, repeat and delay their responses on one connection: whatever reaches the caller as a
// whole response is the upstream's whole one.
#define BOOST_TEST_MODULE SpoiledResponse
#include "FaultProxy.h"
#include "RawUpstream.h"

#include <boost/test/unit_test.hpp>
#include <fmt/ranges.h>

using namespace Gooseberrymill;
using namespace Gooseberrymill::Testing;

namespace {

constexpr size_t smallBody = 3000; // bytes; collected before the head is passed on
constexpr size_t bufferedBytes = 64 << 10; // largest body that is collected
constexpr size_t largeBody = 200'000; // bytes; streamed

std::string chunk(std::string_view bytes) { return fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes); }

std::string chunkedHead(const std::string& id)
{
    return headOf("200 OK", id, "Response-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n");
}

std::string wholeResponse(const std::string& id, const std::string& body)
{
    return chunkedHead(id) + chunk(body) + "0\r\n\r\n";
}

// A body that shows whose it is.
std::string bodyOf(const std::string& id, size_t size)
{
    std::string line = id + "\n";
    std::string body;
    while (body.size() < size)
        body += line;
    body.resize(size);
    return body;
}

std::string responseOf(const std::string& id, size_t size, bool isChunked)
{
    std::string body = bodyOf(id, size);
    if (isChunked)
        return wholeResponse(id, body);
    return headOf("200 OK", id, fmt::format("Response-Signature: s\r\nContent-Length: {}\r\n\r\n{}", size, body));
}

// Sends requests that the upstream answers with what `spoil` makes of their id, and counts short bodies that look
// whole.
size_t shortBodies(size_t size, const std::function<RawResponse(const std::string& id)>& spoil)
{
    constexpr size_t requests = 10;
    RawUpstream raw([&](const std::string& head) { return spoil(idOf(head)); });
    MeshFleet mesh(raw, 1, 1s);
    size_t found = 0;
    for (size_t i = 0; i < requests; ++i) {
        std::string id = fmt::format("id-{}", i);
        auto response = mesh.call("GET", "/read/a", id);
        bool looksWhole = response.status == 200 && response.complete;
        found += looksWhole && response.body != bodyOf(id, size);
    }
    BOOST_TEST(raw.requests() == requests);
    return found;
}

// The same for each seed and id.
SpoiledResponse drawResponse(uint64_t seed, const std::string& id)
{
    const std::array<size_t, 7> sizes { 1, 500, smallBody, bufferedBytes - 1, bufferedBytes, bufferedBytes + 1,
        largeBody };
    uint64_t own = seed * 1'000'003 + std::hash<std::string>()(id);
    size_t size = sizes[own % sizes.size()];
    std::string headers = fmt::format("Attempt-Id: {}\r\nX-Body-Bytes: {}\r\nResponse-Signature: s\r\n", id, size);
    return ResponseSpoiler(own, headers, bodyOf(id, size)).draw();
}

// What is wrong with a response that looks whole; empty: nothing.
std::string problemOf(const CallerResponse& response, const std::string& id)
{
    if (response.status != 200 || !response.complete)
        return "";
    if (response.header("Attempt-Id") != id)
        return fmt::format("{} got the response to {}", id, response.header("Attempt-Id"));
    std::string stated = response.header("X-Body-Bytes");
    bool isOwn = !stated.empty() && response.body == bodyOf(id, std::stoul(stated));
    return isOwn ? "" : fmt::format("{} got {} of {} bytes, or others", id, response.body.size(), stated);
}

} // namespace

// Guards against a broken-off response in chunks that looks whole because a second response follows on its connection.
BOOST_AUTO_TEST_CASE(chunksBrokenOffBeforeASecondResponseAreNotWhole)
{
    for (size_t size : { smallBody, largeBody }) {
        BOOST_TEST_CONTEXT(size << " bytes")
        {
            BOOST_TEST(shortBodies(size, [&](const std::string& id) {
                std::string body = bodyOf(id, size);
                return RawResponse { chunkedHead(id) + chunk(body.substr(0, size / 2)) + wholeResponse(id, body) };
            }) == 0U);
        }
    }
}

// Guards against a chunk size that is no number, or a chunk that is longer than its size, taken for the end of the
// body.
BOOST_AUTO_TEST_CASE(spoiledChunksAreNotTheEndOfTheBody)
{
    const std::vector<std::string> spoiled { "zz\r\n", "\r\n", "-5\r\n", "+5\r\n", " 5\r\n", "0x5\r\n",
        "11111111111111111\r\n", "5 5\r\n", "\n" };
    for (size_t size : { smallBody, largeBody }) {
        for (const std::string& it : spoiled) {
            BOOST_TEST_CONTEXT(size << " bytes, " << it)
            {
                BOOST_TEST(shortBodies(size, [&](const std::string& id) {
                    std::string body = bodyOf(id, size);
                    return RawResponse { chunkedHead(id) + chunk(body.substr(0, size / 2)) + it
                        + "hello\r\n0\r\n\r\n" };
                }) == 0U);
            }
        }
        BOOST_TEST_CONTEXT(size << " bytes, a chunk longer than its size")
        {
            BOOST_TEST(shortBodies(size, [&](const std::string& id) {
                std::string body = bodyOf(id, size);
                return RawResponse { chunkedHead(id) + fmt::format("{:x}\r\n{}\r\n0\r\n\r\n", size / 2, body) };
            }) == 0U);
        }
    }
}

// Guards against a late second response that is given to the next request on its connection.
BOOST_AUTO_TEST_CASE(lateSecondResponseIsNeverAnotherRequests)
{
    constexpr size_t hugeBody = 4 << 20;
    for (size_t size : { size_t(1), bufferedBytes - 1, bufferedBytes, bufferedBytes + 1, hugeBody }) {
        for (bool isChunked : { false, true }) {
            RawUpstream raw([&](const std::string& head) {
                std::string own = responseOf(idOf(head), size, isChunked);
                return RawResponse { idOf(head) == "second" ? responseOf("first", size, isChunked) + own : own };
            });
            MeshFleet mesh(raw);
            BOOST_TEST_CONTEXT(size << " bytes, in chunks: " << isChunked)
            {
                BOOST_TEST(mesh.call("GET", "/read/a", "first").body == bodyOf("first", size));
                auto second = mesh.call("GET", "/read/b", "second");
                BOOST_TEST(second.status == 502);
                BOOST_TEST(second.header(HeaderName::outcome) == "unknown");
                BOOST_TEST(second.header("Attempt-Id") != "first");
                BOOST_TEST(mesh.call("GET", "/read/c", "third").body == bodyOf("third", size));
            }
        }
    }
}

// Guards against a large response that is passed on although its head shows that it must not be.
BOOST_AUTO_TEST_CASE(largeResponseIsJudgedByItsHead)
{
    const std::string body(largeBody, 'x');
    const std::string length = fmt::format("Content-Length: {}\r\n\r\n", largeBody);
    RawUpstream raw([&](const std::string& head) {
        bool isRejection = idOf(head) == "rejected";
        return RawResponse { headOf(isRejection ? "503 Service Unavailable" : "200 OK", idOf(head),
                                 (isRejection ? "Not-Executed: 1\r\n" : "") + length)
            + body };
    });
    MeshFleet mesh(raw);
    for (std::string target : { "/read/a", "/order/a" }) {
        const char* method = target == "/read/a" ? "GET" : "POST";
        auto withoutSignature = mesh.call(method, target, "unsigned");
        BOOST_TEST(withoutSignature.status == 502);
        BOOST_TEST(withoutSignature.header(HeaderName::outcome) == "unknown");
        auto rejected = mesh.call(method, target, "rejected");
        BOOST_TEST(rejected.status == 503);
        BOOST_TEST(rejected.header(HeaderName::outcome) == "not-run");
    }
}

// Guards against any mixture of breaking off, spoiling, repeating and delaying after which a wrong response looks
// whole.
BOOST_AUTO_TEST_CASE(randomlySpoiledResponsesAreNeverMixedOrShort)
{
    constexpr size_t callers = 4;
    constexpr size_t requests = 60; // of each caller
    const char* text = std::getenv("GM_SPOIL_SEED");
    uint64_t first = text ? std::stoull(text) : 1;
    for (uint64_t seed = first; seed < first + 3; ++seed) {
        RawUpstream raw([&](const std::string& head) { return rawResponse(drawResponse(seed, idOf(head))); });
        MeshFleet mesh(raw, 1, 1s);
        std::atomic<size_t> served { 0 };
        std::mutex mutex;
        std::vector<std::string> problems;
        auto call = [&](size_t caller) {
            for (size_t i = 0; i < requests; ++i) {
                std::string id = fmt::format("{}-{}-{}", seed, caller, i);
                auto response = i % 3 ? mesh.call("GET", "/read/a", id) : mesh.call("POST", "/order/a", id);
                served += response.status == 200 && response.complete;
                std::string problem = problemOf(response, id);
                std::lock_guard lock(mutex);
                if (!problem.empty())
                    problems.push_back(problem);
            }
        };
        std::vector<std::thread> threads;
        for (size_t i = 0; i < callers; ++i)
            threads.emplace_back(call, i);
        for (std::thread& it : threads)
            it.join();
        BOOST_TEST_MESSAGE("seed " << seed << ": " << served << " of " << callers * requests << " served");
        BOOST_TEST(problems.empty(), "seed " << seed << ": " << fmt::format("{}", fmt::join(problems, "; ")));
        BOOST_TEST(served > callers * requests / 5);
    }
}

// Guards against cutting a whole response in chunks because its connection closes behind it.
BOOST_AUTO_TEST_CASE(closeAfterTheLastChunkCutsNothing)
{
    for (size_t size : { smallBody, bufferedBytes, bufferedBytes + 1, largeBody }) {
        for (std::string_view end : { "0\r\n\r\n", "0\r\nX-Trailer: 1\r\n\r\n" }) {
            for (bool announces : { true, false }) {
                RawUpstream raw([&](const std::string& head) {
                    std::string id = idOf(head);
                    std::string start = headOf("200 OK", id,
                        fmt::format("Response-Signature: s\r\nTransfer-Encoding: chunked\r\n{}\r\n",
                            announces ? "Connection: close\r\n" : ""));
                    bool isCut = id == "cut";
                    return RawResponse { start + chunk(bodyOf(id, size)) + std::string(isCut ? "" : end), true };
                });
                MeshFleet mesh(raw);
                BOOST_TEST_CONTEXT(size << " bytes, close announced: " << announces << ", " << end)
                {
                    for (int i = 0; i < 3; ++i) {
                        auto whole = mesh.call("POST", "/order/a", "whole");
                        BOOST_TEST(whole.status == 200);
                        BOOST_TEST(whole.complete);
                        BOOST_TEST((whole.body == bodyOf("whole", size)));
                    }
                    auto cut = mesh.call("POST", "/order/a", "cut");
                    BOOST_TEST((cut.status != 200 || !cut.complete));
                }
            }
        }
    }
}

// Guards against the end of a relayed response that is believed although the connection between the nodes broke.
BOOST_AUTO_TEST_CASE(responseCutBetweenTheNodesIsNeverWhole)
{
    constexpr size_t callers = 4;
    const std::array<size_t, 3> sizes { smallBody, bufferedBytes + 1, largeBody };
    RawUpstream raw([&](const std::string& head) {
        std::string id = idOf(head);
        size_t size = sizes[id.size() % sizes.size()];
        return RawResponse { headOf("200 OK", id,
                                 fmt::format(
                                     "Response-Signature: s\r\nX-Body-Bytes: {0}\r\nContent-Length: {0}\r\n\r\n", size))
            + bodyOf(id, size) };
    });
    MeshFleet mesh(raw, 2, 2s);
    CandidateList candidates { mesh.fleet.candidates().front() };
    std::string address = candidates.front().relayAddress;
    FaultProxy proxy(static_cast<uint16_t>(std::stoi(address.substr(address.rfind(':') + 1))));
    candidates.front().relayAddress = fmt::format("127.0.0.1:{}", proxy.port());
    mesh.fleet[1].node->setCandidates(std::make_shared<const CandidateList>(candidates));
    std::atomic<bool> isStopped { false };
    std::atomic<size_t> served { 0 };
    std::atomic<size_t> failed { 0 };
    std::atomic<size_t> wrong { 0 };
    auto call = [&](size_t caller) {
        for (size_t i = 0; !isStopped; ++i) {
            std::string id = fmt::format("{}-{}{}", caller, i, std::string(i % sizes.size(), 'x'));
            auto response = HttpCaller(mesh.fleet.port(1)).request("GET", "/read/a", { { "Attempt-Id", id } });
            ++(response.status == 200 && response.complete ? served : failed);
            wrong += !problemOf(response, id).empty();
        }
    };
    std::vector<std::thread> threads;
    for (size_t i = 0; i < callers; ++i)
        threads.emplace_back(call, i);
    std::mt19937 random(1);
    for (int i = 0; i < 100; ++i) {
        std::this_thread::sleep_for(std::chrono::milliseconds(10 + random() % 30));
        proxy.setFault(PathFault::Reset);
        std::this_thread::sleep_for(std::chrono::milliseconds(random() % 10));
        proxy.setFault(PathFault::None);
    }
    isStopped = true;
    for (std::thread& it : threads)
        it.join();
    BOOST_TEST_MESSAGE(served << " served, " << failed << " failed");
    BOOST_TEST(wrong == 0U);
    BOOST_TEST(served > 0U);
    BOOST_TEST(failed > 0U);
}

// Guards against a reset that only the writer of the request saw, and the reader takes for the end of a body.
BOOST_AUTO_TEST_CASE(resetWhileTheRequestIsWrittenIsNotTheEndOfTheBody)
{
    const std::string requestBody(4 << 20, 'x');
    RawUpstream raw([&](const std::string& head) {
        RawResponse response { headOf("200 OK", idOf(head), "Response-Signature: s\r\n\r\n") + "half" };
        response.later = { { std::chrono::milliseconds(20), "" } };
        response.closes = response.resets = true;
        return response;
    });
    MeshFleet mesh(raw);
    for (int i = 0; i < 20; ++i) {
        HttpCaller caller(mesh.fleet.port());
        auto response = caller.request("POST", "/read/a", { { "Attempt-Id", "first" } }, requestBody);
        BOOST_TEST((response.status != 200 || !response.complete));
    }
}

// Guards against losing the response of an upstream that answers before it has read a long request body, and reads on.
BOOST_AUTO_TEST_CASE(earlyResponseReachesACallerThatStillSends)
{
    const std::string longBody(4 << 20, 'x');
    const std::string orderBody(500'000, 'x'); // collected before the upstream gets it
    RawUpstream raw([&](const std::string& head) { return RawResponse { responseOf(idOf(head), smallBody, false) }; });
    MeshFleet mesh(raw);
    for (std::string target : { "/read/a", "/order/a" }) {
        for (int i = 0; i < 5; ++i) {
            HttpCaller caller(mesh.fleet.port());
            std::string id = fmt::format("id-{}", i);
            auto response
                = caller.request("POST", target, { { "Attempt-Id", id } }, target == "/read/a" ? longBody : orderBody);
            BOOST_TEST(response.status == 200);
            BOOST_TEST(response.complete);
            BOOST_TEST((response.body == bodyOf(id, smallBody)));
        }
    }
}

// Upstreams whose answers have a status that is none, or bytes behind a head that ends its message: a caller gets no
// such answer and none of those bytes, neither with its own request nor with the next one. Each request goes from the
// caller to an entry, over the relay to the executor of another node, and to the upstream.
#define BOOST_TEST_MODULE ResponseStatus
#include "RawUpstream.h"

#include <boost/test/unit_test.hpp>

using namespace Gooseberrymill;
using namespace Gooseberrymill::Testing;

namespace {

const std::string oddBody = "the body of the odd answer";
const std::string strayBody = "bytes that belong to no message";

std::string framed(const std::string& body, bool isChunked)
{
    if (isChunked)
        return fmt::format("Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{}\r\n0\r\n\r\n", body.size(), body);
    return fmt::format("Content-Length: {}\r\n\r\n{}", body.size(), body);
}

std::string answerOf(const std::string& id) { return "the answer to " + id; }

std::string wholeAnswer(const std::string& id, bool isChunked = false)
{
    return headOf("200 OK", id, "Response-Signature: s\r\n" + framed(answerOf(id), isChunked));
}

// The entry at node 2 knows the upstream `odd` of node 0, and that of node 1 if `hasOther`. `respond` makes the answer
// to each request whose id starts with "odd"; all other answers are whole.
class StatusFleet {
public:
    explicit StatusFleet(std::function<RawResponse(const std::string& id)> respond, bool hasOther = false)
        : m_respond(std::move(respond))
        , m_odd([this](const std::string& head) { return answer(head); })
        , m_other([this](const std::string& head) {
            ++m_otherArrivals;
            return RawResponse { wholeAnswer(idOf(head)) };
        })
        , m_mesh(m_odd, 3, 2s)
        , m_caller(m_mesh.fleet.port(2))
    {
        UpstreamEndpoint& endpoint = m_mesh.fleet[1].endpoint;
        endpoint.address = m_other.address();
        m_mesh.fleet[1].node->setUpstream(endpoint);
        CandidateList candidates = m_mesh.fleet.candidates();
        candidates.resize(hasOther ? 2 : 1);
        m_mesh.fleet[2].node->setCandidates(std::make_shared<const CandidateList>(candidates));
        awaitCandidates(hasOther);
    }

    // On the connection of the one caller.
    CallerResponse call(const std::string& target, const std::string& id)
    {
        return m_caller.request(target.starts_with("/read") ? "GET" : "POST", target, { { "Attempt-Id", id } });
    }

    // The next request on the caller's connection gets its own answer.
    void checkNext(const std::string& target)
    {
        auto next = call(target, "next");
        BOOST_TEST(next.status == 200);
        BOOST_TEST(next.complete);
        BOOST_TEST(next.header("Attempt-Id") == "next");
        BOOST_TEST(next.body == answerOf("next"));
    }

    size_t oddArrivals() const { return m_oddArrivals; } // of requests whose answer is odd
    size_t otherArrivals() const { return m_otherArrivals; }

private:
    // The workers of the nodes take over their upstreams and candidates in their own time.
    void awaitCandidates(bool hasOther)
    {
        constexpr int enough = 10; // in a row, none of them from an upstream of before
        constexpr int limit = 2000;
        int inARow = 0;
        for (int i = 0; i < limit && inARow < enough; ++i) {
            size_t before = m_odd.requests() + (hasOther ? m_other.requests() : 0);
            bool isWhole = call("/read/a", "ready").body == answerOf("ready");
            size_t after = m_odd.requests() + (hasOther ? m_other.requests() : 0);
            inARow = isWhole && after == before + 1 ? inARow + 1 : 0;
        }
        BOOST_REQUIRE(inARow == enough);
        m_otherArrivals = 0;
    }

    RawResponse answer(const std::string& head)
    {
        std::string id = idOf(head);
        if (!id.starts_with("odd"))
            return { wholeAnswer(id) };
        ++m_oddArrivals;
        return m_respond(id);
    }

    std::function<RawResponse(const std::string&)> m_respond;
    std::atomic<size_t> m_oddArrivals { 0 };
    std::atomic<size_t> m_otherArrivals { 0 };
    RawUpstream m_odd;
    RawUpstream m_other;
    MeshFleet m_mesh;
    HttpCaller m_caller;
};

// One complete response of the node's own, to work that may have run.
void checkOwnRefusal(const CallerResponse& response)
{
    BOOST_TEST(response.status == 502);
    BOOST_TEST(response.complete);
    BOOST_TEST(response.header(HeaderName::outcome) == "unknown");
    BOOST_TEST(response.header("Response-Signature") == "");
    BOOST_TEST(response.body.find(oddBody) == std::string::npos);
    BOOST_TEST(response.body.find(strayBody) == std::string::npos);
}

std::string oddAnswer(const std::string& line, const std::string& id, bool isChunked)
{
    return fmt::format(
        "HTTP/1.1{}\r\nAttempt-Id: {}\r\nResponse-Signature: s\r\n{}", line, id, framed(oddBody, isChunked));
}

// Checks that answers with the first line "HTTP/1.1" and `line` are refused.
void checkRefused(const std::string& line)
{
    for (bool isChunked : { false, true }) {
        for (std::string target : { "/read/a", "/order/a" }) {
            BOOST_TEST_CONTEXT("status line HTTP/1.1" << line << ", in chunks: " << isChunked << ", " << target)
            {
                StatusFleet fleet(
                    [&](const std::string& id) { return RawResponse { oddAnswer(line, id, isChunked) }; });
                fleet.checkNext(target); // keeps a connection to the upstream
                checkOwnRefusal(fleet.call(target, "odd"));
                fleet.checkNext(target);
                if (target == "/order/a")
                    BOOST_TEST(fleet.oddArrivals() == 1U);
                BOOST_TEST(fleet.oddArrivals() >= 1U);
            }
        }
    }
}

// Heads that end their message, and what they say about a body.
std::vector<std::string> bodylessHeads(const std::string& id)
{
    std::vector<std::string> result;
    for (std::string status : { "204 No Content", "304 Not Modified" }) {
        for (std::string framing : { "", "Content-Length: 31\r\n", "Transfer-Encoding: chunked\r\n" })
            result.push_back(headOf(status, id, "Response-Signature: s\r\n" + framing + "\r\n"));
    }
    return result;
}

// Bytes behind a message. The last two look like an answer, with the id of its request and with none.
std::vector<std::string> strays(const std::string& id)
{
    std::string chunk = fmt::format("{:x}\r\n{}\r\n0\r\n\r\n", strayBody.size(), strayBody);
    std::string signature = "Response-Signature: s\r\n";
    return { strayBody, chunk, headOf("200 OK", id, signature + framed(strayBody, false)),
        headOf("200 OK", "", signature + framed(strayBody, true)) };
}

} // namespace

// Guards against an upstream in trouble whose status "000" reaches the caller as the status of an answer.
BOOST_AUTO_TEST_CASE(statusOfZerosIsNoAnswer)
{
    for (std::string line : { " 000 OK", " 000", " 000 " })
        checkRefused(line);
}

// Guards against a number below 100 that is passed on, or passed over as an interim response.
BOOST_AUTO_TEST_CASE(statusBelow100IsNoAnswer)
{
    for (std::string line : { " 001 OK", " 099 OK" })
        checkRefused(line);
}

// Guards against a status of other than three digits that is filled up, cut, or read together with what follows it.
BOOST_AUTO_TEST_CASE(statusOfOtherThanThreeDigitsIsNoAnswer)
{
    for (std::string line : { " 0 OK", " 00 OK", " 0", " 20 OK", " 20", " 2000 OK", " 2000", " 0200 OK" })
        checkRefused(line);
}

// Guards against a number of three digits that is no status of HTTP (RFC 9110, section 15: 100 to 599) and that a
// caller gets as the status of an answer.
BOOST_AUTO_TEST_CASE(statusAbove599IsNoAnswer)
{
    for (std::string line : { " 600 OK", " 600", " 999 OK" })
        checkRefused(line);
}

// Guards against letters and signs that are read as a number, or as none and so as 0.
BOOST_AUTO_TEST_CASE(statusThatIsNoNumberIsNoAnswer)
{
    for (std::string line : { " abc OK", " 2x0 OK", " 20x OK", " -200 OK", " -20 OK", " +20 OK", " 2.0 OK" })
        checkRefused(line);
}

// Guards against a head without a status whose answer gets a status that nobody wrote.
BOOST_AUTO_TEST_CASE(missingStatusIsNoAnswer)
{
    for (std::string line : { "", " ", " OK", "  OK", "200 OK" })
        checkRefused(line);
}

// Guards against an odd status that takes repeatable work out of service while another upstream could answer it, and
// against work that must not be repeated and runs at a second upstream because the answer of the first was refused.
BOOST_AUTO_TEST_CASE(oddStatusIsTriedElsewhereOnlyWhereWorkMayBeRepeated)
{
    for (std::string line : { " 000 OK", " 20 OK", " 2000 OK", " abc OK", " -200 OK", "" }) {
        for (bool isChunked : { false, true }) {
            for (std::string target : { "/read/a", "/order/a" }) {
                BOOST_TEST_CONTEXT("status line HTTP/1.1" << line << ", in chunks: " << isChunked << ", " << target)
                {
                    auto respond
                        = [&](const std::string& id) { return RawResponse { oddAnswer(line, id, isChunked) }; };
                    StatusFleet fleet(respond, true);
                    constexpr int fewest = 6;
                    constexpr int most = 200; // until one of them reaches the odd upstream
                    for (int i = 0; i < fewest || (i < most && !fleet.oddArrivals()); ++i) {
                        std::string id = fmt::format("odd-{}", i);
                        size_t oddBefore = fleet.oddArrivals();
                        size_t otherBefore = fleet.otherArrivals();
                        auto response = fleet.call(target, id);
                        size_t odd = fleet.oddArrivals() - oddBefore;
                        size_t other = fleet.otherArrivals() - otherBefore;
                        if (target == "/order/a")
                            BOOST_TEST(odd + other == 1U);
                        if (!other) {
                            checkOwnRefusal(response);
                            continue;
                        }
                        BOOST_TEST(response.status == 200);
                        BOOST_TEST(response.complete);
                        BOOST_TEST(response.body == answerOf(id));
                    }
                    BOOST_TEST(fleet.oddArrivals() > 0U);
                }
            }
        }
    }
}

// Guards against an upgrade that nobody asked for, after which bytes of another protocol reach the caller as an answer.
BOOST_AUTO_TEST_CASE(switchOfProtocolsIsNoAnswer)
{
    for (std::string headers : { "", "Connection: upgrade\r\nUpgrade: other\r\n" }) {
        for (std::string target : { "/read/a", "/order/a" }) {
            for (size_t i = 0; i < strays("").size() + 1; ++i) {
                BOOST_TEST_CONTEXT(target << ", headers " << headers << ", bytes " << i)
                {
                    StatusFleet fleet([&](const std::string& id) {
                        std::string rest = i ? strays(id)[i - 1] : "";
                        return RawResponse { headOf(
                            "101 Switching Protocols", id, fmt::format("{}\r\n{}", headers, rest)) };
                    });
                    fleet.checkNext(target);
                    checkOwnRefusal(fleet.call(target, "odd"));
                    fleet.checkNext(target);
                    if (target == "/order/a")
                        BOOST_TEST(fleet.oddArrivals() == 1U);
                }
            }
        }
    }
}

// Guards against an interim response that is taken for the answer, or after which the answer is lost.
BOOST_AUTO_TEST_CASE(answerBehindInterimResponsesIsTheAnswer)
{
    for (std::string status : { "100 Continue", "102 Processing", "103 Early Hints", "199 Other" }) {
        for (bool isChunked : { false, true }) {
            for (std::string target : { "/read/a", "/order/a" }) {
                for (int delayMs : { 0, 20 }) {
                    BOOST_TEST_CONTEXT(status << ", in chunks: " << isChunked << ", " << target << ", " << delayMs)
                    {
                        StatusFleet fleet([&](const std::string& id) {
                            RawResponse response { headOf(status, "", "Link: </a>\r\n\r\n") };
                            response.later = { { std::chrono::milliseconds(delayMs), wholeAnswer(id, isChunked) } };
                            return response;
                        });
                        auto response = fleet.call(target, "odd");
                        BOOST_TEST(response.status == 200);
                        BOOST_TEST(response.complete);
                        BOOST_TEST(response.header("Link") == "");
                        BOOST_TEST(response.body == answerOf("odd"));
                        fleet.checkNext(target);
                        BOOST_TEST(fleet.oddArrivals() == 1U);
                    }
                }
            }
        }
    }
}

// Guards against a body behind an interim response that is read as a part of the answer, and against an interim
// response that counts as the answer because nothing follows it.
BOOST_AUTO_TEST_CASE(bytesBehindAnInterimResponseAreNoAnswer)
{
    for (std::string framing : { "", "Content-Length: 31\r\n", "Transfer-Encoding: chunked\r\n" }) {
        for (std::string target : { "/read/a", "/order/a" }) {
            for (size_t i = 0; i < 3; ++i) {
                BOOST_TEST_CONTEXT(framing << target << ", bytes " << i)
                {
                    StatusFleet fleet([&](const std::string& id) {
                        std::string start = headOf("103 Early Hints", id, framing + "\r\n");
                        std::string answer = i < 2 ? strays(id)[i] + wholeAnswer(id) : "";
                        return RawResponse { start + answer, i == 2 };
                    });
                    fleet.checkNext(target);
                    checkOwnRefusal(fleet.call(target, "odd"));
                    fleet.checkNext(target);
                    if (target == "/order/a")
                        BOOST_TEST(fleet.oddArrivals() == 1U);
                }
            }
        }
    }
}

// Guards against a response without a body after which the caller's connection ends unannounced, so that the next
// request on it gets no answer.
BOOST_AUTO_TEST_CASE(connectionServesOnAfterABodylessResponse)
{
    for (size_t head = 0; head < bodylessHeads("").size(); ++head) {
        for (std::string target : { "/read/a", "/order/a" }) {
            BOOST_TEST_CONTEXT(bodylessHeads("odd")[head] << target)
            {
                StatusFleet fleet([&](const std::string& id) { return RawResponse { bodylessHeads(id)[head] }; });
                auto response = fleet.call(target, "odd");
                BOOST_TEST((response.status == 204 || response.status == 304));
                BOOST_TEST(response.header("Connection") == "");
                fleet.checkNext(target);
                BOOST_TEST(fleet.oddArrivals() == 1U);
            }
        }
    }
}

// Guards against bytes behind a response without a body that reach the caller as its body or as its next answer, or are
// read as the answer to the next request on the connection to the upstream.
BOOST_AUTO_TEST_CASE(bytesBehindABodylessResponseAreNoAnswer)
{
    for (size_t head = 0; head < bodylessHeads("").size(); ++head) {
        for (size_t stray = 0; stray < strays("").size(); ++stray) {
            for (std::string target : { "/read/a", "/order/a" }) {
                BOOST_TEST_CONTEXT(bodylessHeads("odd")[head] << target << ", bytes " << stray)
                {
                    StatusFleet fleet([&](const std::string& id) {
                        return RawResponse { bodylessHeads(id)[head] + strays(id)[stray] };
                    });
                    for (int i = 0; i < 3; ++i) {
                        auto response = fleet.call(target, "odd");
                        BOOST_TEST((response.status == 204 || response.status == 304));
                        BOOST_TEST(response.header("Attempt-Id") == "odd");
                        BOOST_TEST(response.body == "");
                        fleet.checkNext(target); // would show bytes behind the response before it
                    }
                    BOOST_TEST(fleet.oddArrivals() == 3U);
                }
            }
        }
    }
}

// Guards against bytes that come only after their connection was kept, and that the next request on it gets as its
// answer. Only the id tells whose they are; the next request may fail for them.
BOOST_AUTO_TEST_CASE(lateBytesBehindABodylessResponseAreNeverTheNextAnswer)
{
    for (size_t head = 0; head < bodylessHeads("").size(); ++head) {
        for (size_t stray = 0; stray < strays("").size(); ++stray) {
            for (std::string target : { "/read/a", "/order/a" }) {
                BOOST_TEST_CONTEXT(bodylessHeads("odd")[head] << target << ", bytes " << stray)
                {
                    StatusFleet fleet([&](const std::string& id) {
                        RawResponse response { bodylessHeads(id)[head] };
                        response.later = { { std::chrono::milliseconds(10), strays(id)[stray] } };
                        return response;
                    });
                    auto response = fleet.call(target, "odd");
                    BOOST_TEST((response.status == 204 || response.status == 304));
                    BOOST_TEST(response.body == "");
                    auto next = fleet.call(target, "next");
                    if (next.status == 200)
                        BOOST_TEST(next.body == answerOf("next"));
                    else
                        checkOwnRefusal(next);
                    BOOST_TEST(next.complete);
                    fleet.checkNext(target);
                }
            }
        }
    }
}

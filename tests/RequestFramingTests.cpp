// Callers whose requests are framed wrongly: nothing that is hidden behind a body runs as a request of its own.
#define BOOST_TEST_MODULE RequestFraming
#include "TestFleet.h"

#include <boost/test/unit_test.hpp>

using namespace Gooseberrymill;
using namespace Gooseberrymill::Testing;

namespace {

const std::string hidden = "GET /read/hidden HTTP/1.1\r\nHost: test\r\n\r\n";

std::string post(const std::string& headers, const std::string& body)
{
    return "POST /read/a HTTP/1.1\r\nHost: test\r\n" + headers + "\r\n" + body + hidden;
}

// Requests whose body ends in more than one place, depending on who reads them.
std::vector<std::string> ambiguousRequests()
{
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    std::vector<std::string> result;
    for (std::string size : { "zz", "", "-5", "+5", " 5", "0x5", "5 5", "11111111111111111" })
        result.push_back(post(chunked, "5\r\nhello\r\n" + size + "\r\n\r\n"));
    result.push_back(post(chunked, "2\r\nhello\r\n0\r\n\r\n"));
    result.push_back(post(chunked + "Content-Length: 5\r\n", "0\r\n\r\n"));
    result.push_back(post("Content-Length: 5\r\n" + chunked, "0\r\n\r\n"));
    result.push_back(post("Content-Length: 0\r\nContent-Length: 5\r\n", ""));
    result.push_back(post("Content-Length: -5\r\n", ""));
    result.push_back(post("Content-Length: +5\r\n", ""));
    result.push_back(post("Transfer-Encoding : chunked\r\n", "0\r\n\r\n"));
    result.push_back(post("Content-Length : 5\r\n", ""));
    result.push_back(post("Transfer-Encoding: xchunked\r\n", ""));
    result.push_back(post("Transfer-Encoding: chunked, gzip\r\n", ""));
    return result;
}

// Requests with a body of 5 bytes, another one behind each.
std::vector<std::string> properRequests()
{
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    return { post("Content-Length: 5\r\n", "hello"), post("content-length:5\r\n", "hello"),
        post(chunked, "5\r\nhello\r\n0\r\n\r\n"), post(chunked, "2;a=b\r\nhe\r\n03\r\nllo\r\n0\r\nX: 1\r\n\r\n") };
}

} // namespace

// Guards against a proper request that is refused, or that swallows the one behind it.
BOOST_AUTO_TEST_CASE(requestBehindAProperBodyIsServed)
{
    for (const std::string& it : properRequests()) {
        TestFleet fleet;
        HttpCaller caller(fleet.port());
        caller.send(it);
        BOOST_TEST_CONTEXT(it)
        {
            auto first = caller.receive();
            BOOST_TEST(first.status == 200);
            BOOST_TEST(first.header("Stand-In-Digest").starts_with("5:"));
            BOOST_TEST(caller.receive().status == 200);
            BOOST_TEST(fleet.upstream().count("/read/hidden") == 1U);
        }
    }
}

// Guards against request smuggling: what one caller hides behind a body runs as a request.
BOOST_AUTO_TEST_CASE(requestHiddenBehindASpoiledBodyIsNotRun)
{
    for (const std::string& it : ambiguousRequests()) {
        TestFleet fleet({ .deadline = 1s });
        HttpCaller caller(fleet.port());
        caller.send(it);
        caller.receive();
        std::this_thread::sleep_for(50ms); // time for the hidden request to run
        BOOST_TEST_CONTEXT(it) { BOOST_TEST(fleet.upstream().count("/read/hidden") == 0U); }
    }
}

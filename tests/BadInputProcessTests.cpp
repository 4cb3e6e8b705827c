#define BOOST_TEST_MODULE BadInputProcess
#include "FleetHarness.h"

using namespace Gooseberrymill::Testing;

namespace {

std::mt19937 seeded { 20261204 };

std::string randomBytes(size_t size)
{
    std::string bytes(size, '\0');
    for (char& c : bytes)
        c = static_cast<char>(seeded());
    return bytes;
}

double metric(Fleet& fleet, size_t i, const std::string& part)
{
    auto response = callPort(fleet.node(i).admin, "GET", "/metrics", { { "Connection", "close" } });
    std::istringstream lines(response.body);
    for (std::string line; std::getline(lines, line);) {
        if (!line.starts_with('#') && line.find(part) != std::string::npos)
            return std::stod(line.substr(line.rfind(' ')));
    }
    return -1;
}

// The same process serves callers, operators and other nodes.
void checkServes(Fleet& fleet, const std::string& incarnation)
{
    BOOST_TEST(fleet.node(0).process->isRunning(), fleet.node(0).process->log());
    BOOST_TEST(fleet.status(0).value("incarnation", "") == incarnation);
    for (size_t i = 0; i < fleet.size(); ++i) {
        CallerResponse response = fleet.call(i, "GET", "/read/after");
        BOOST_TEST(response.status == 200, describe(response));
    }
    BOOST_TEST(waitUntil([&] { return fleet.memberStatus(1, 0) == "alive"; }));
}

// Sends each text on a connection of its own, and half of it on another one that is closed at once.
void sendAll(uint16_t port, const std::vector<std::string>& texts)
{
    for (const std::string& text : texts) {
        HttpCaller whole(port);
        whole.send(text);
        HttpCaller half(port);
        half.send(std::string_view(text).substr(0, text.size() / 2));
        half.close();
        whole.waitForClose(50);
    }
}

std::string frame(uint32_t length, char kind, const std::string& rest)
{
    std::string text;
    for (int shift : { 24, 16, 8, 0 })
        text += static_cast<char>(length >> shift);
    return text + kind + rest;
}

const std::vector<std::string>& badFrames()
{
    static std::vector<std::string> list = [] {
        constexpr size_t expected = 64;
        std::vector<std::string> texts;
        texts.reserve(expected);
        for (int n = 0; n < 20; ++n)
            texts.push_back(randomBytes(1 + seeded() % 2000));
        for (uint32_t length : { 0U, 1U, 24U, 25U, 0x7fffffffU, 0x80000000U, 0xffffffffU }) {
            for (char kind : { '\x00', '\x01', '\x02', '\x05', '\x7f' })
                texts.push_back(frame(length, kind, randomBytes(100)));
        }
        return texts;
    }();
    return list;
}

} // namespace

// Guards against random bytes, truncated frames and oversized lengths that end a node or stop its relay port.
BOOST_AUTO_TEST_CASE(relayPortSurvivesBadFrames)
{
    Fleet fleet({ .nodes = 2 });
    std::string incarnation = fleet.status(0)["incarnation"];
    sendAll(fleet.node(0).relay, badFrames());
    checkServes(fleet, incarnation);
}

// Guards against bad input on the relay port that no operator can see.
BOOST_AUTO_TEST_CASE(relayPortCountsBadFrames)
{
    Fleet fleet({ .nodes = 2 });
    sendAll(fleet.node(0).relay, badFrames());
    BOOST_TEST(waitUntil([&] { return metric(fleet, 0, "relay_dropped_count") > 0; }, 5s));
}

// Guards against datagrams that end a node, and against drops that are not counted.
BOOST_AUTO_TEST_CASE(gossipPortSurvivesAndCountsBadDatagrams)
{
    Fleet fleet({ .nodes = 2 });
    std::string incarnation = fleet.status(0)["incarnation"];
    const std::string& gossip = fleet.node(0).gossip;
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(std::stoi(gossip.substr(gossip.rfind(':') + 1))));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    int descriptor = socket(AF_INET, SOCK_DGRAM, 0);
    double before = metric(fleet, 0, "gossip_dropped_count");
    constexpr int datagrams = 200;
    constexpr double counted = 100; // the socket buffer may overflow
    for (int n = 0; n < datagrams; ++n) {
        std::string bytes = randomBytes(n % 2 ? seeded() % 1300 : seeded() % 60);
        sendto(descriptor, bytes.data(), bytes.size(), 0, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    }
    close(descriptor);
    BOOST_TEST(waitUntil([&] { return metric(fleet, 0, "gossip_dropped_count") >= before + counted; }));
    checkServes(fleet, incarnation);
}

// Guards against malformed HTTP that ends a node or makes it take a request for another one.
BOOST_AUTO_TEST_CASE(httpPortsSurviveMalformedRequests)
{
    Fleet fleet({ .nodes = 2 });
    std::string incarnation = fleet.status(0)["incarnation"];
    size_t reached = fleet.total(0) + fleet.total(1);
    std::vector<std::string> texts {
        "GET\r\n\r\n",
        "GET / HTTP/9.9\r\n\r\n",
        "\r\n\r\n\r\n",
        "POST /order/bad HTTP/1.1\r\nHost: t\r\nContent-Length: -5\r\n\r\n",
        "POST /order/bad HTTP/1.1\r\nHost: t\r\nContent-Length: 99999999999999999999\r\n\r\n",
        "POST /order/bad HTTP/1.1\r\nHost: t\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n",
        "POST /order/bad HTTP/1.1\r\nHost: t\r\nTransfer-Encoding: chunked\r\n\r\nnothex\r\n",
        "POST /announce HTTP/1.1\r\nHost: t\r\nContent-Length: 3\r\n\r\n{{{",
        "POST /announce HTTP/1.1\r\nHost: t\r\nContent-Length: 4\r\n\r\nnull",
        "GET /" + std::string(100'000, 'a') + " HTTP/1.1\r\nHost: t\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: t\r\nLong: " + std::string(100'000, 'b') + "\r\n\r\n",
        "GET /%zz%00 HTTP/1.1\r\nHost: t\r\n\r\n",
        "CONNECT example:1 HTTP/1.1\r\nHost: t\r\n\r\n",
    };
    for (int n = 0; n < 20; ++n)
        texts.push_back(randomBytes(1 + seeded() % 2000));
    sendAll(fleet.node(0).callers, texts);
    sendAll(fleet.node(0).admin, texts);
    BOOST_TEST(fleet.total(0) + fleet.total(1) == reached, "a malformed request reached an upstream");
    checkServes(fleet, incarnation);
}

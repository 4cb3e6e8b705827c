// Callers that write without end, in every part of a request, to each port of a node that speaks HTTP.
#define BOOST_TEST_MODULE EndlessRequestsProcess
#include "FleetHarness.h"
#include "RepeatedText.h"

#include <deque>

using namespace Gooseberrymill::Testing;

namespace {

constexpr auto writeTime = 1500ms;
constexpr size_t maxGrowthKiB = 24 << 10; // of the node's memory
constexpr auto maxWait = 1s; // of another request; callers give up a node that has not read theirs by then

struct EndlessRequest {
    std::string name;
    std::string start;
    std::string repeated;
};

std::vector<EndlessRequest> endlessRequests(const std::string& readTarget, const std::string& postTarget)
{
    std::string get = "GET " + readTarget + " HTTP/1.1\r\nHost: test\r\n";
    std::string post = "POST " + postTarget + " HTTP/1.1\r\nHost: test\r\n";
    std::string chunked = post + "Transfer-Encoding: chunked\r\n\r\n";
    return {
        { "a request line", "GET /", repeat("x") },
        { "a header line", get + "X-Filler: ", repeat("x") },
        { "header lines", get, repeat("X-Filler: some text\r\n") },
        { "empty lines", "", repeat("\r\n") },
        { "zeros", "", std::string(16 << 10, '\0') },
        { "lines that are no HTTP", "", repeat("no request\r\n") },
        { "a chunk size", chunked, repeat("0") },
        { "a chunk extension", chunked + "5;name=", repeat("x") },
        { "trailers", chunked + "0\r\n", repeat("X-Trailer: some text\r\n") },
        { "chunks", chunked, repeat("400\r\n" + std::string(1024, 'x') + "\r\n") },
        { "chunks of one byte", chunked, repeat("1\r\nx\r\n") },
        { "a body of a huge length", post + "Content-Length: 1000000000000\r\n\r\n", repeat("x") },
        { "requests", "", repeat(get + "\r\n") },
    };
}

// Writes to a port and reads nothing until stopped.
class EndlessWriter {
public:
    EndlessWriter(uint16_t port, const EndlessRequest& request)
        : m_caller(port)
        , m_thread([this, &request] { run(request); })
    {
    }
    EndlessWriter(const EndlessWriter&) = delete;
    EndlessWriter& operator=(const EndlessWriter&) = delete;
    ~EndlessWriter()
    {
        m_isStopped = true;
        shutdown(m_caller.descriptor(), SHUT_RDWR);
        m_thread.join();
    }

private:
    void run(const EndlessRequest& request)
    {
        bool isOpen = m_caller.send(request.start);
        while (isOpen && !m_isStopped)
            isOpen = m_caller.send(request.repeated);
    }

    std::atomic<bool> m_isStopped { false };
    HttpCaller m_caller;
    std::thread m_thread;
};

struct Effect {
    size_t growthKiB = 0;
    size_t failed = 0; // other requests
    Clock::duration longestWait {};
};

Effect play(Fleet& fleet, uint16_t port, const EndlessRequest& request, const std::string& soundTarget)
{
    size_t before = fleet.node(0).process->usage().first;
    Effect effect;
    std::deque<EndlessWriter> writers;
    for (int i = 0; i < 4; ++i)
        writers.emplace_back(port, request);
    auto end = Clock::now() + writeTime;
    while (Clock::now() < end) {
        auto start = Clock::now();
        effect.failed += callPort(port, "GET", soundTarget, { { "Connection", "close" } }).status != 200;
        effect.longestWait = std::max(effect.longestWait, Clock::now() - start);
        size_t resident = fleet.node(0).process->usage().first;
        effect.growthKiB = std::max(effect.growthKiB, resident - std::min(resident, before));
        std::this_thread::sleep_for(20ms);
    }
    return effect;
}

void checkPort(Fleet& fleet, uint16_t port, const std::string& readTarget, const std::string& postTarget)
{
    for (const EndlessRequest& request : endlessRequests(readTarget, postTarget)) {
        BOOST_TEST_CONTEXT(request.name)
        {
            Effect effect = play(fleet, port, request, readTarget);
            auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(effect.longestWait);
            BOOST_TEST_MESSAGE(request.name << ": " << effect.growthKiB << " KiB, failed " << effect.failed
                                            << ", longest wait " << wait.count() << " ms");
            BOOST_TEST(effect.growthKiB <= maxGrowthKiB);
            BOOST_TEST(effect.failed == 0U);
            BOOST_TEST((effect.longestWait <= maxWait));
            BOOST_TEST_REQUIRE(fleet.node(0).process->isRunning(), fleet.node(0).process->log());
        }
    }
}

} // namespace

// Guards against memory and waits without bound while callers write without end.
BOOST_AUTO_TEST_CASE(callerPortBoundsEndlessRequests)
{
    Fleet fleet({ .nodes = 2 });
    checkPort(fleet, fleet.node(0).callers, "/read/sound", "/order/a");
}

// Guards against the same on the port for heartbeats, readiness and metrics.
BOOST_AUTO_TEST_CASE(adminPortBoundsEndlessRequests)
{
    Fleet fleet({ .nodes = 2 });
    checkPort(fleet, fleet.node(0).admin, "/healthz", "/announce");
}

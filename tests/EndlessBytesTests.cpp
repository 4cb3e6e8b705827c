// Upstreams that write without end, in every part of a response: the node keeps a bounded part of it, ends the call at
// a known time, and serves the other requests meanwhile.
#define BOOST_TEST_MODULE EndlessBytes
#include "EndlessResponses.h"

#include <boost/test/unit_test.hpp>

using namespace Gooseberrymill;
using namespace Gooseberrymill::Testing;

namespace {

constexpr Duration deadline = 1s;
constexpr size_t maxGrowthKiB = 6 << 10; // memory for one such response; buffers of the sockets do not count
constexpr Duration maxWait = 1s; // of another request; callers give up a node that has not read theirs by then
constexpr Duration releaseLimit = deadline + 3s;

// Sends sound requests to the same upstream in turn, until stopped.
class SoundCaller {
public:
    explicit SoundCaller(MeshFleet& mesh)
        : m_thread([this, &mesh] { run(mesh); })
    {
    }
    SoundCaller(const SoundCaller&) = delete;
    SoundCaller& operator=(const SoundCaller&) = delete;
    ~SoundCaller() { stop(); }

    void stop()
    {
        m_isStopped = true;
        if (m_thread.joinable())
            m_thread.join();
    }
    size_t served() const { return m_served; }
    size_t failed() const { return m_failed; }
    Duration longestWait() const { return m_longestWait; }

private:
    void run(MeshFleet& mesh)
    {
        while (!m_isStopped) {
            Instant start = currentInstant();
            bool isServed = mesh.call("GET", "/read/sound", "sound").status == 200;
            m_longestWait = std::max(m_longestWait, currentInstant() - start);
            ++(isServed ? m_served : m_failed);
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
    }

    std::atomic<bool> m_isStopped { false };
    size_t m_served = 0;
    size_t m_failed = 0;
    Duration m_longestWait {};
    std::thread m_thread;
};

// What endless responses did to the node.
struct Effect {
    size_t growthKiB = 0;
    bool isReleased = false; // the connections to the upstream were closed in time
    size_t served = 0; // other requests
    size_t failed = 0;
    Duration longestWait {};
};

// A caller of the endless response.
struct Reader {
    bool isRepeatable = false;
    bool readsResponse = false;
};
constexpr std::array<Reader, 4> readers { { { true, true }, { true, false }, { false, true }, { false, false } } };

// All readers call at once.
Effect play(const EndlessResponse& response)
{
    RawUpstream raw([&](const std::string& head) {
        if (head.find("/read/sound") != std::string::npos)
            return RawResponse { headOf(
                "200 OK", idOf(head), "Response-Signature: s\r\nContent-Length: 5\r\n\r\nsound") };
        return RawResponse { response.start(idOf(head)), false, false, response.repeated };
    });
    MeshFleet mesh(raw, 1, deadline);
    mesh.call("GET", "/read/sound", "sound");
    Effect effect;
    size_t before = residentKiB();
    size_t highest = before;
    SoundCaller sound(mesh);
    std::deque<HttpCaller> callers;
    std::vector<std::future<void>> reads;
    for (const Reader& it : readers) {
        HttpCaller& caller = callers.emplace_back(mesh.fleet.port());
        caller.sendHead(it.isRepeatable ? "GET" : "POST", it.isRepeatable ? "/read/a" : "/order/a",
            { { "Attempt-Id", "first" }, { "Content-Length", "0" } });
        if (it.readsResponse)
            reads.push_back(
                std::async(std::launch::async, [&caller] { caller.receive(false, [](std::string_view) {}); }));
    }
    Instant end = currentInstant() + releaseLimit;
    while (currentInstant() < end && !effect.isReleased) {
        highest = std::max(highest, residentKiB());
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
        effect.isReleased = raw.endlessResponses() == readers.size() && !raw.openEndlessResponses();
    }
    sound.stop();
    for (HttpCaller& it : callers)
        shutdown(it.descriptor(), SHUT_RDWR);
    for (auto& it : reads)
        it.get();
    effect.growthKiB = highest - before;
    effect.served = sound.served();
    effect.failed = sound.failed();
    effect.longestWait = sound.longestWait();
    return effect;
}

} // namespace

// Guards against memory, processor time and waits without bound while an upstream writes without end.
BOOST_AUTO_TEST_CASE(endlessResponsesHoldLittleAndEnd)
{
    for (const EndlessResponse& response : endlessResponses()) {
        BOOST_TEST_CONTEXT(response.name)
        {
            Effect effect = play(response);
            BOOST_TEST_MESSAGE(response.name << ": " << effect.growthKiB << " KiB, released " << effect.isReleased
                                             << ", served " << effect.served << ", failed " << effect.failed
                                             << ", longest wait " << effect.longestWait.count() / 1000 << " ms");
            BOOST_TEST(effect.growthKiB <= maxGrowthKiB * readers.size());
            BOOST_TEST(effect.isReleased);
            BOOST_TEST(effect.failed == 0U);
            BOOST_TEST(effect.served > 0U);
            BOOST_TEST(effect.longestWait.count() <= maxWait.count());
        }
    }
}

// Requests that an upstream takes and does not answer in full: what they occupy is free again at a known time.
#define BOOST_TEST_MODULE UnansweredRequest
#include "FaultProxy.h"
#include "RawUpstream.h"

#include <boost/test/unit_test.hpp>

using namespace Gooseberrymill;
using namespace Gooseberrymill::Testing;

namespace {

constexpr Duration deadline = 1s;
// Bound for the release of everything that the request occupied: its deadline, the time for a late response, and slack
// for a busy machine.
constexpr Duration releaseLimit = deadline + 3s;

enum class Progress : uint8_t { Nothing, Head, HalfOfTheBody, NoLastChunk, NoEndOfTheConnection };
constexpr std::array allProgress { Progress::Nothing, Progress::Head, Progress::HalfOfTheBody, Progress::NoLastChunk,
    Progress::NoEndOfTheConnection };

enum class Event : uint8_t { CallerWaits, CallerLeaves, EntryDies, RelayFallsSilent };

// What the upstream writes before it falls silent.
std::string firstBytes(Progress progress, const std::string& id)
{
    switch (progress) {
    case Progress::Nothing:
        return "";
    case Progress::Head:
        return headOf("200 OK", id, "Response-Signature: s\r\nContent-Length: 10\r\n\r\n");
    case Progress::HalfOfTheBody:
        return headOf("200 OK", id, "Response-Signature: s\r\nContent-Length: 10\r\n\r\nhello");
    case Progress::NoLastChunk:
        return headOf("200 OK", id, "Response-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n");
    case Progress::NoEndOfTheConnection:
        return headOf("200 OK", id, "Response-Signature: s\r\n\r\nhello");
    }
    return "";
}

bool waitFor(const std::function<bool()>& event, Duration limit)
{
    Instant end = currentInstant() + limit;
    while (!event()) {
        if (currentInstant() > end)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return true;
}

// An upstream with one slot beside node 0, which answers "/read/sound" and falls silent on all other requests. Callers
// of node 1 reach it through a proxy.
class SilentUpstream {
public:
    explicit SilentUpstream(Progress progress)
        : m_raw([progress](const std::string& head) {
            if (head.find("/read/sound") != std::string::npos)
                return RawResponse { headOf(
                    "200 OK", idOf(head), "Response-Signature: s\r\nContent-Length: 5\r\n\r\nsound") };
            return RawResponse { firstBytes(progress, idOf(head)) };
        })
        , m_mesh(m_raw, options(m_running))
        , m_proxy(portOf(m_mesh.fleet[0].node->relayAddress()))
    {
        CandidateList candidates { m_mesh.fleet.candidates().front() };
        m_mesh.fleet.setCandidates(candidates);
        candidates.front().relayAddress = fmt::format("127.0.0.1:{}", m_proxy.port());
        m_mesh.fleet[1].node->setCandidates(std::make_shared<const CandidateList>(candidates));
    }

    // Sends one request through node 1 until the upstream has it, and lets the event happen.
    void play(bool isRepeatable, Event event)
    {
        HttpCaller caller(m_mesh.fleet.port(1));
        caller.sendHead(isRepeatable ? "GET" : "POST", isRepeatable ? "/read/a" : "/order/a",
            { { "Attempt-Id", "first" }, { "Content-Length", "0" } });
        m_hasArrived = waitFor([&] { return m_raw.requests() > 0; }, releaseLimit);
        std::this_thread::sleep_for(std::chrono::milliseconds(50)); // time for the first bytes to pass
        if (event == Event::CallerWaits)
            m_response = caller.receive();
        else if (event == Event::CallerLeaves)
            caller.close();
        else if (event == Event::EntryDies)
            m_mesh.fleet[1].node.reset();
        else
            m_proxy.silenceOpenConnections();
        m_isReleased = waitFor([&] { return !m_raw.openConnections() && !m_running->total; }, releaseLimit);
        m_next = m_mesh.call("GET", "/read/sound", "second");
    }

    // What went wrong; empty: nothing.
    std::string problem() const
    {
        if (!m_hasArrived)
            return "the request did not reach the upstream";
        if (!m_isReleased)
            return fmt::format(
                "{} connections and {} slots are held", m_raw.openConnections(), m_running->total.load());
        if (m_running->retries)
            return "a retry is still counted";
        if (m_next.status != 200)
            return fmt::format("the next request got status {}", m_next.status);
        return "";
    }

    const CallerResponse& response() const { return m_response; } // of the caller that waits
    Node& node() { return *m_mesh.fleet[0].node; }
    const RunningRequests& running() const { return *m_running; }

private:
    static FleetOptions options(const std::shared_ptr<RunningRequests>& running)
    {
        FleetOptions result = MeshFleet::options(2, deadline);
        result.slots = 1;
        result.makeExecutorHooks = [running, hooks = result.executorHooks](size_t node) {
            ExecutorHooks own = hooks;
            if (!node)
                own.running = running;
            return own;
        };
        return result;
    }

    static uint16_t portOf(const std::string& address)
    {
        return static_cast<uint16_t>(std::stoi(address.substr(address.rfind(':') + 1)));
    }

    std::shared_ptr<RunningRequests> m_running = std::make_shared<RunningRequests>();
    RawUpstream m_raw;
    MeshFleet m_mesh;
    FaultProxy m_proxy;
    CallerResponse m_response;
    CallerResponse m_next; // of a sound request after the event
    bool m_hasArrived = false;
    bool m_isReleased = false;
};

// Plays the event with each kind of request and each progress of the response, all at once.
void checkRelease(Event event)
{
    std::vector<std::pair<std::string, std::future<std::string>>> plays;
    for (bool isRepeatable : { true, false }) {
        for (Progress progress : allProgress) {
            auto play = [isRepeatable, progress, event] {
                SilentUpstream upstream(progress);
                upstream.play(isRepeatable, event);
                return upstream.problem();
            };
            plays.emplace_back(fmt::format("repeatable {}, progress {}", isRepeatable, static_cast<int>(progress)),
                std::async(std::launch::async, play));
        }
    }
    for (auto& [name, play] : plays) {
        std::string problem = play.get();
        BOOST_TEST(problem.empty(), name << ": " << problem);
    }
}

} // namespace

// Guards against slots that are lost for good to requests that an upstream never answers.
BOOST_AUTO_TEST_CASE(slotIsFreeAfterTheDeadline) { checkRelease(Event::CallerWaits); }

// Guards against slots that are lost for good when the caller of such a request leaves.
BOOST_AUTO_TEST_CASE(slotIsFreeAfterTheCallerHasLeft) { checkRelease(Event::CallerLeaves); }

// Guards against slots that are lost for good when the node that took such a request from its caller dies.
BOOST_AUTO_TEST_CASE(slotIsFreeAfterTheEntryHasDied) { checkRelease(Event::EntryDies); }

// Guards against slots that are lost for good when the connection between the two nodes falls silent.
BOOST_AUTO_TEST_CASE(slotIsFreeAfterTheRelayFellSilent) { checkRelease(Event::RelayFallsSilent); }

// Guards against a planned stop without a limit that waits for ever for a response that never comes.
BOOST_AUTO_TEST_CASE(stopEndsAfterTheDeadline)
{
    SilentUpstream upstream(Progress::Nothing);
    upstream.play(false, Event::CallerLeaves);
    std::promise<void> stopped;
    upstream.node().stop([&] { stopped.set_value(); });
    BOOST_TEST((stopped.get_future().wait_for(releaseLimit) == std::future_status::ready));
}

// Guards against telling the caller that a request which the upstream has taken did not run.
BOOST_AUTO_TEST_CASE(outcomeOfAnUnansweredRequestIsUnknown)
{
    for (bool isRepeatable : { true, false }) {
        SilentUpstream upstream(Progress::Nothing);
        upstream.play(isRepeatable, Event::CallerWaits);
        BOOST_TEST(upstream.response().status == 504);
        BOOST_TEST(upstream.response().header(HeaderName::outcome) == "unknown");
    }
}

// Guards against requests whose outcome nobody learns and no metric shows.
BOOST_AUTO_TEST_CASE(unansweredRequestsAreCounted)
{
    SilentUpstream upstream(Progress::HalfOfTheBody);
    upstream.play(false, Event::CallerLeaves);
    BOOST_TEST(upstream.running().unanswered == 1U);
}

#define BOOST_TEST_MODULE Backpressure
#include "TestFleet.h"

#include <boost/test/unit_test.hpp>

using namespace Gooseberrymill;
using namespace Gooseberrymill::Testing;

namespace {

Instant at(Duration time) { return Instant(1000s + time); }

Backpressure backpressureOf(const std::string& process)
{
    Backpressure state;
    state.setProcess(process);
    return state;
}

ResponseSignals namedRate(double rate) { return { .namesRate = true, .rate = rate, .isServed = true }; }

const ResponseSignals served { .isServed = true };

constexpr const char* limitHeader = "Gooseberrymill-Rate-Limit";
constexpr const char* leavingAnswer = "Gooseberrymill-Leaving: 1";

// One upstream behind node 0, with a process identity. All nodes are entries to it.
struct SingleUpstream {
    explicit SingleUpstream(size_t nodes, uint32_t slots = 16)
        : fleet({ .nodes = nodes, .slots = slots })
    {
        setProcess(1);
        CandidateList candidates = fleet.candidates();
        candidates.resize(1);
        fleet.setCandidates(candidates);
    }

    void setProcess(uint64_t startedAt, UpstreamState state = UpstreamState::Ready)
    {
        UpstreamEndpoint& endpoint = fleet[0].endpoint;
        endpoint.instance = "i-1";
        endpoint.processStartedAt = startedAt;
        endpoint.state = state;
        fleet[0].node->setUpstream(endpoint);
    }

    int get(size_t entry, const std::string& target, const std::vector<Header>& headers = {})
    {
        return HttpCaller(fleet.port(entry)).request("GET", target, headers).status;
    }

    TestFleet fleet;
};

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Decisions
//-----------------------------------------------------------------------------

// Guards against a limit that a failure, a rejection or an unusable value lifts, and against one that never ends.
BOOST_AUTO_TEST_CASE(onlyAServedAnswerEndsTheLimit)
{
    Backpressure state = backpressureOf("i-1@5");
    state.recordResponse(namedRate(2));
    state.recordResponse({ .isServed = false });
    state.recordResponse({ .namesRate = true, .isServed = true });
    BOOST_TEST(state.rate().value_or(0) == 2);
    state.recordResponse({ .namesRate = true, .rate = 1.5, .isServed = false });
    BOOST_TEST(state.rate().value_or(0) == 1.5);
    state.recordResponse(served);
    BOOST_TEST(!state.rate());
    BOOST_TEST(state.notice(0s).process.empty());
}

// Guards against an executor that starts without the limit and the leave that the entries have heard of.
BOOST_AUTO_TEST_CASE(noticesOfEntriesReplaceTheForgottenState)
{
    Backpressure before = backpressureOf("i-1@5");
    before.recordResponse(namedRate(2));
    before.recordResponse({ .isLeaving = true });
    UpstreamNotice notice = before.notice(1500us);
    BOOST_TEST(notice.waitMs == 2U);

    Backpressure after = backpressureOf("i-1@5");
    after.recordNotice(notice);
    BOOST_TEST(after.rate().value_or(0) == 2);
    BOOST_TEST(after.isLeaving());

    Backpressure other = backpressureOf("i-1@6");
    other.recordNotice(notice);
    other.recordNotice({});
    BOOST_TEST(!other.rate());
    BOOST_TEST(!other.isLeaving());
}

// Guards against a stale notice that brings back a limit after the upstream has ended it.
BOOST_AUTO_TEST_CASE(theUpstreamItselfOverrulesNotices)
{
    Backpressure state = backpressureOf("i-1@5");
    state.recordResponse(served);
    state.recordNotice({ "i-1@5", 1, 0, false });
    BOOST_TEST(!state.rate());
    state.recordResponse(namedRate(3));
    state.recordNotice({ "i-1@5", 1, 0, false });
    BOOST_TEST(state.rate().value_or(0) == 3);
}

// Guards against a new process that inherits the limit or the leave of the one before.
BOOST_AUTO_TEST_CASE(anotherProcessStartsWithoutLimits)
{
    Backpressure state = backpressureOf("i-1@5");
    state.recordResponse({ .namesRate = true, .rate = 1, .isLeaving = true, .isServed = true });
    state.setProcess("i-1@5");
    BOOST_TEST(state.isLeaving());
    state.setProcess("i-1@6");
    BOOST_TEST(!state.isLeaving());
    BOOST_TEST(!state.rate());
}

// Guards against notices that are lost at once, kept for ever, or kept after the upstream has ended its limit.
BOOST_AUTO_TEST_CASE(entriesRememberTheLatestNotice)
{
    NoticeBook book;
    UpstreamNotice notice { "i-1@5", 1, 0, false };
    book.update("a", notice, at(0s));
    BOOST_TEST((book.find("a", at(NoticeBook::lifetime)) == notice));
    BOOST_TEST(book.find("b", at(0s)).process.empty());
    BOOST_TEST(book.find("a", at(NoticeBook::lifetime + 1s)).process.empty());
    book.update("a", {}, at(1s));
    BOOST_TEST(book.find("a", at(1s)).process.empty());
}

//-----------------------------------------------------------------------------
// [SECTION] Data path
//-----------------------------------------------------------------------------

// Guards against a limit that is kept by each entry for itself.
BOOST_AUTO_TEST_CASE(limitHoldsOverAllEntries)
{
    SingleUpstream single(4);
    const std::vector<Header> limited { { "Stand-In-Header", std::string(limitHeader) + ": 2" } };
    BOOST_TEST(single.get(0, "/read/first", limited) == 200);
    std::atomic<int> rejected { 0 };
    std::vector<std::thread> callers;
    auto end = std::chrono::steady_clock::now() + 4s;
    for (size_t i = 0; i < 12; ++i) {
        callers.emplace_back([&, i] {
            while (std::chrono::steady_clock::now() < end) {
                rejected += single.get(i % 4, "/read/limited", limited) == 503 ? 1 : 0;
                std::this_thread::sleep_for(5ms);
            }
        });
    }
    for (std::thread& it : callers)
        it.join();
    constexpr double allowed = 1.5 * 4 * 2 + 5;
    BOOST_TEST(single.fleet.upstream().count("/read/limited") <= allowed);
    BOOST_TEST(single.fleet.upstream().count("/read/limited") >= 6U); // the limit is used
    BOOST_TEST(rejected > 0);
    BOOST_TEST(single.get(0, "/read/last") == 200); // names no limit any more
    for (int i = 0; i < 20; ++i)
        BOOST_TEST(single.get(1, "/read/free") == 200);
}

// Guards against a restarted executor that passes on all slots at once before the first answer names the limit again.
BOOST_AUTO_TEST_CASE(limitHoldsThroughARestartOfItsExecutor)
{
    constexpr uint32_t slots = 32;
    SingleUpstream single(2, slots);
    const std::vector<Header> limited { { "Stand-In-Header", std::string(limitHeader) + ": 1" },
        { "Stand-In-Fault", "slow" }, { "Stand-In-Delay-Ms", "1000" } };
    BOOST_TEST(single.get(1, "/read/first", limited) == 200);
    single.fleet.restartNode(0);
    std::vector<std::thread> callers;
    auto end = std::chrono::steady_clock::now() + 2s;
    for (size_t i = 0; i < slots; ++i) {
        callers.emplace_back([&] {
            while (std::chrono::steady_clock::now() < end) {
                single.get(1, "/read/limited", limited);
                std::this_thread::sleep_for(5ms);
            }
        });
    }
    for (std::thread& it : callers)
        it.join();
    constexpr double allowed = 1.5 * 4 * 1 + 5;
    BOOST_TEST(single.fleet.upstream().count("/read/limited") <= allowed);
    BOOST_TEST(single.fleet.upstream().count("/read/limited") >= 1U);
}

// Guards against a request that is held for a token longer than it could be served, or rejected although one comes
// soon.
BOOST_AUTO_TEST_CASE(lastUpstreamMakesCallersWaitAMomentOnly)
{
    SingleUpstream single(1);
    const std::vector<Header> fast { { "Stand-In-Header", std::string(limitHeader) + ": 2" } };
    BOOST_TEST(single.get(0, "/read/a", fast) == 200);
    BOOST_TEST(single.get(0, "/read/b", fast) == 200); // a token comes within 0.5 s
    const std::vector<Header> slow { { "Stand-In-Header", std::string(limitHeader) + ": 0" } };
    BOOST_TEST(single.get(0, "/read/c", slow) == 200);
    auto start = std::chrono::steady_clock::now();
    auto response = HttpCaller(single.fleet.port()).request("GET", "/read/d");
    BOOST_TEST((std::chrono::steady_clock::now() - start < 500ms));
    BOOST_TEST(response.status == 503);
    BOOST_TEST(response.header(HeaderName::outcome) == "not-run");
    BOOST_TEST(std::stod(response.header(HeaderName::retryAfter)) >= 3);
}

// Guards against requests that reach an upstream from an entry which has passed on that it is leaving.
BOOST_AUTO_TEST_CASE(leavingUpstreamGetsNoNewRequests)
{
    SingleUpstream single(2);
    auto announceLate = [&] { single.setProcess(1); };
    BOOST_TEST(single.get(1, "/read/leaving", { { "Stand-In-Header", leavingAnswer } }) == 200);
    announceLate();
    BOOST_TEST(single.get(0, "/read/after") == 503);
    BOOST_TEST(single.get(1, "/read/after") == 503);
    single.fleet.restartNode(0); // knows nothing of it
    bool isTold = false;
    for (int i = 0; i < 100 && !isTold; ++i) { // the connections to the old process fail first
        auto response = HttpCaller(single.fleet.port(1)).request("GET", "/read/after");
        BOOST_TEST(response.status == 503);
        isTold = response.body.find("\"executor.upstream\"") != std::string::npos;
        std::this_thread::sleep_for(20ms);
    }
    BOOST_TEST(isTold);
    announceLate();
    BOOST_TEST(single.get(0, "/read/after") == 503);
    BOOST_TEST(single.fleet.upstream().count("/read/after") == 0U);
    single.setProcess(2);
    BOOST_TEST(single.get(1, "/read/next") == 200);
}

// Guards against a misread header: repeated, in a list, unusable or of another case.
BOOST_AUTO_TEST_CASE(signalsAreReadFromHeaders)
{
    HeaderProfile profile;
    auto read = [&](const std::vector<std::string>& values) {
        std::vector<Header> headers;
        headers.reserve(values.size());
        for (const std::string& it : values)
            headers.push_back({ "gooseberrymill-rate-limit", it });
        return readSignals(headers, profile);
    };
    BOOST_TEST(!read({}).namesRate);
    BOOST_TEST(read({ "2.5" }).rate.value_or(0) == 2.5);
    BOOST_TEST(read({ "3", "2" }).rate.value_or(0) == 2);
    BOOST_TEST(read({ "3, 2" }).rate.value_or(0) == 2);
    BOOST_TEST(read({ "x", "4" }).rate.value_or(0) == 4);
    BOOST_TEST(read({ "x" }).namesRate);
    BOOST_TEST(!read({ "-1" }).rate);
    BOOST_TEST(read({ "0" }).rate.value_or(0) == minUpstreamRate);
    BOOST_TEST(readSignals({ { "Gooseberrymill-Leaving", "1" } }, profile).isLeaving);
    BOOST_TEST(!readSignals({ { "Gooseberrymill-Leaving", "0" } }, profile).isLeaving);
}

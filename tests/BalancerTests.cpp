#define BOOST_TEST_MODULE Balancer
#include "Gooseberrymill.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <rapidcheck/boost_test.h>
#include <set>

using namespace Gooseberrymill;

namespace {

const Location home { "cantabria", "cantabria-1" };
const Location neighbour { "cantabria", "cantabria-2" };
const Location remote { "navarra", "navarra-1" };

Instant at(Duration time) { return Instant(1000s + time); }

Candidate makeCandidate(const std::string& name, Location location, uint32_t slots = 4)
{
    Candidate candidate;
    candidate.upstream = name;
    candidate.service = "banco";
    candidate.node = "node-" + name;
    candidate.location = std::move(location);
    candidate.slots = slots;
    return candidate;
}

// Two upstreams per tier: a, b in the own data centre; c, d in another one of the region; e, f in another region.
CandidateList tieredCandidates()
{
    return { makeCandidate("a", home), makeCandidate("b", home), makeCandidate("c", neighbour),
        makeCandidate("d", neighbour), makeCandidate("e", remote), makeCandidate("f", remote) };
}

Balancer makeBalancer(CandidateList candidates, uint64_t seed = 1, BalancerOptions options = {})
{
    Balancer balancer(home, seed, options);
    balancer.setCandidates(std::make_shared<CandidateList>(std::move(candidates)), at(0s));
    return balancer;
}

BalanceRequest forService() { return { .service = "banco", .affinity = {}, .exclude = {} }; }

LoadReport fullLoad(uint32_t queued = 0) { return { .running = 4, .queued = queued, .limit = 4 }; }

void reportLoad(Balancer& balancer, std::string_view upstream, const LoadReport& load, Instant now)
{
    balancer.started(upstream, now);
    balancer.finished(upstream, load, now);
}

template <Balancing T>
std::map<std::string, int> chooseMany(T& balancer, Instant now, int count = 200, BalanceRequest request = forService())
{
    std::map<std::string, int> chosen;
    for (int i = 0; i < count; ++i) {
        const Candidate* candidate = balancer.choose(request, now);
        ++chosen[candidate ? candidate->upstream : ""];
    }
    return chosen;
}

std::set<std::string> names(const std::map<std::string, int>& chosen)
{
    std::set<std::string> result;
    for (const auto& [name, count] : chosen)
        result.insert(name);
    return result;
}

using Names = std::set<std::string>;

} // namespace

// Guards against cross-region traffic, which is billed, while the own data centre has free slots (design 1.2, links).
BOOST_AUTO_TEST_CASE(staysInNearestTier)
{
    Balancer balancer = makeBalancer(tieredCandidates());
    BOOST_TEST((names(chooseMany(balancer, at(0s))) == Names { "a", "b" }));

    RoundRobinBalancer roundRobin(home, 1);
    roundRobin.setCandidates(std::make_shared<CandidateList>(tieredCandidates()), at(0s));
    BOOST_TEST(chooseMany(roundRobin, at(0s))["e"] > 0); // the baselines ignore regions
    LeastOutstandingBalancer leastOutstanding(home, 1);
    leastOutstanding.setCandidates(std::make_shared<CandidateList>(tieredCandidates()), at(0s));
    BOOST_TEST(chooseMany(leastOutstanding, at(0s))["e"] > 0);
}

// Guards against traffic to a farther tier while a nearer upstream has a free slot, and against no such traffic when
// all nearer ones are full.
BOOST_AUTO_TEST_CASE(spillsOnlyWhenNearerTiersAreFull)
{
    Balancer balancer = makeBalancer(tieredCandidates());
    reportLoad(balancer, "a", fullLoad(), at(0s));
    BOOST_TEST((names(chooseMany(balancer, at(0s))) == Names { "b" }));
    reportLoad(balancer, "b", fullLoad(), at(0s));
    BOOST_TEST((names(chooseMany(balancer, at(0s))) == Names { "c", "d" }));
    reportLoad(balancer, "c", fullLoad(), at(0s));
    reportLoad(balancer, "d", fullLoad(), at(0s));
    // All slots of the region are taken but no request is queued: sending to another region costs more than waiting.
    BOOST_TEST((names(chooseMany(balancer, at(0s))) == Names { "a", "b" }));
    for (const char* name : { "a", "b", "c" })
        reportLoad(balancer, name, fullLoad(1), at(0s));
    BOOST_TEST((names(chooseMany(balancer, at(0s))) == Names { "a", "b" }));
    reportLoad(balancer, "d", fullLoad(1), at(0s));
    BOOST_TEST((names(chooseMany(balancer, at(0s))) == Names { "e", "f" }));
    reportLoad(balancer, "e", fullLoad(), at(0s));
    reportLoad(balancer, "f", fullLoad(), at(0s));
    BOOST_TEST((names(chooseMany(balancer, at(0s))) == Names { "a", "b" })); // queued in the nearest tier
}

// Guards against a stale report that keeps traffic away from an upstream which has become idle since.
BOOST_AUTO_TEST_CASE(agedReportLosesItsWeight)
{
    Balancer balancer = makeBalancer(tieredCandidates());
    reportLoad(balancer, "a", fullLoad(), at(0s));
    reportLoad(balancer, "b", fullLoad(), at(0s));
    BOOST_TEST((names(chooseMany(balancer, at(3s))) == Names { "a", "b" }));
}

// Guards against ignoring the entry's own requests in flight until the next report arrives.
BOOST_AUTO_TEST_CASE(countsOwnOutstanding)
{
    Balancer balancer = makeBalancer(tieredCandidates());
    for (int i = 0; i < 4; ++i)
        balancer.started("a", at(0s));
    BOOST_TEST((names(chooseMany(balancer, at(10s))) == Names { "b" }));
    for (int i = 0; i < 4; ++i)
        balancer.abandoned("a", at(10s));
    BOOST_TEST((names(chooseMany(balancer, at(10s))) == Names { "a", "b" }));
}

// Guards against counting the entry's own requests twice, in the report and as outstanding.
BOOST_AUTO_TEST_CASE(ownRequestsInReportCountOnce)
{
    Balancer balancer = makeBalancer({ makeCandidate("a", home), makeCandidate("c", neighbour) });
    for (int i = 0; i < 3; ++i)
        balancer.started("a", at(0s));
    balancer.finished("a", { .running = 2, .limit = 4 }, at(0s)); // both reported requests are the entry's own
    BOOST_TEST((names(chooseMany(balancer, at(0s))) == Names { "a" }));
}

// Guards against traffic to draining, ejected and gone upstreams.
BOOST_AUTO_TEST_CASE(neverChoosesUnusableStates)
{
    for (UpstreamState state : { UpstreamState::Draining, UpstreamState::Ejected, UpstreamState::Gone }) {
        CandidateList candidates = tieredCandidates();
        candidates[0].state = state;
        Balancer balancer = makeBalancer(candidates);
        BOOST_TEST(!chooseMany(balancer, at(0s)).contains("a"));
        // The same when a load report shows the state before the membership does.
        Balancer second = makeBalancer(tieredCandidates());
        reportLoad(second, "b", { .limit = 4, .state = state }, at(0s));
        BOOST_TEST(!chooseMany(second, at(1s)).contains("b"));
    }
    CandidateList only { makeCandidate("a", home) };
    only[0].state = UpstreamState::Ejected;
    Balancer balancer = makeBalancer(only);
    BOOST_TEST(!balancer.choose(forService(), at(0s)));
}

// Guards against preferring a degraded upstream to a healthy one in any tier, and against not using it when all healthy
// ones are full.
BOOST_AUTO_TEST_CASE(degradedIsLastChoiceButUsable)
{
    CandidateList candidates = tieredCandidates();
    candidates[0].state = UpstreamState::Degraded;
    candidates[1].state = UpstreamState::Degraded;
    Balancer balancer = makeBalancer(candidates);
    BOOST_TEST((names(chooseMany(balancer, at(0s))) == Names { "c", "d" }));
    for (const char* name : { "c", "d", "e", "f" })
        reportLoad(balancer, name, fullLoad(1), at(0s));
    BOOST_TEST((names(chooseMany(balancer, at(0s))) == Names { "a", "b" }));
}

// Guards against a cold upstream getting its full share of the traffic at once.
BOOST_AUTO_TEST_CASE(rampingUpstreamGetsItsShare)
{
    CandidateList candidates;
    for (int i = 0; i < 10; ++i)
        candidates.push_back(makeCandidate(std::string(1, static_cast<char>('a' + i)), home));
    candidates[0].share = 0.1;
    candidates[0].state = UpstreamState::Cold;
    Balancer balancer = makeBalancer(candidates);
    int chosen = chooseMany(balancer, at(0s), 10'000)["a"];
    BOOST_TEST(chosen > 0);
    BOOST_TEST(chosen < 200); // a full share is about 1000
}

// Guards against connection timeouts for every request to one unreachable node, and against a node that stays blocked
// after it is reachable again.
BOOST_AUTO_TEST_CASE(backsOffFromUnreachableNode)
{
    Balancer balancer = makeBalancer(tieredCandidates());
    balancer.pathResult("node-a", false, at(0s));
    BOOST_TEST((names(chooseMany(balancer, at(100ms))) == Names { "b" }));
    BOOST_TEST(chooseMany(balancer, at(600ms)).contains("a")); // the backoff has ended
    balancer.pathResult("node-a", false, at(600ms));
    BOOST_TEST(!chooseMany(balancer, at(1500ms)).contains("a")); // the backoff has doubled
    balancer.pathResult("node-a", true, at(1500ms));
    BOOST_TEST(chooseMany(balancer, at(1500ms)).contains("a"));
}

// Guards against rejecting a request because every path is in backoff: as a last resort, one of them is tried.
BOOST_AUTO_TEST_CASE(triesBlockedPathAsLastResort)
{
    Balancer balancer = makeBalancer({ makeCandidate("a", home) });
    balancer.pathResult("node-a", false, at(0s));
    BOOST_TEST(balancer.choose(forService(), at(1ms)) != nullptr);
}

// Guards against retries to the upstream that just failed.
BOOST_AUTO_TEST_CASE(respectsExclusion)
{
    Balancer balancer = makeBalancer(tieredCandidates());
    std::vector<std::string> tried { "a", "b" };
    BalanceRequest request = forService();
    request.exclude = tried;
    BOOST_TEST((names(chooseMany(balancer, at(0s), 200, request)) == Names { "c", "d" }));
}

// Guards against entries that send duplicates of one operation to different executors, and against a hash that sends
// all keys to the same executor.
BOOST_AUTO_TEST_CASE(affinityAgreesBetweenEntries)
{
    for (size_t size : { 12U, 500U }) {
        CandidateList candidates;
        for (size_t i = 0; i < size; ++i)
            candidates.push_back(makeCandidate("u" + std::to_string(1000 + i), i % 2 ? home : neighbour));
        Balancer first = makeBalancer(candidates, 1);
        Balancer second(neighbour, 2);
        second.setCandidates(std::make_shared<CandidateList>(candidates), at(0s));
        // An entry whose membership lacks one upstream.
        CandidateList fewer = candidates;
        fewer.erase(fewer.begin() + 3);
        Balancer third = makeBalancer(fewer, 3);
        std::map<std::string, int> chosen;
        int moved = 0;
        constexpr int keys = 2000;
        for (uint64_t i = 1; i <= keys; ++i) {
            BalanceRequest request = forService();
            request.affinity = Id128 { i * 0x9e3779b97f4a7c15ULL, i };
            std::string upstream = first.choose(request, at(0s))->upstream;
            BOOST_REQUIRE(second.choose(request, at(0s))->upstream == upstream);
            moved += third.choose(request, at(0s))->upstream != upstream;
            ++chosen[upstream];
        }
        double even = static_cast<double>(keys) / static_cast<double>(size);
        BOOST_TEST(moved < 2 * even + 20);
        BOOST_TEST(chosen.size() > size / 2);
    }
}

// Guards against herding: many entries choosing the same upstream by the same stale report. By the reports of 64
// entries, one of 8 upstreams is idle and the others run two requests each; each entry sends 4 requests before the next
// report.
BOOST_AUTO_TEST_CASE(entriesDoNotHerdOnStaleReport)
{
    constexpr int entries = 64;
    constexpr int requestsPerEntry = 4;
    CandidateList candidates;
    for (int i = 0; i < 8; ++i)
        candidates.push_back(makeCandidate(std::string(1, static_cast<char>('a' + i)), home, 400));
    auto idleShare = [&](uint32_t entryCount) {
        int onIdle = 0;
        for (int entry = 0; entry < entries; ++entry) {
            BalancerOptions options;
            options.entryCount = entryCount;
            Balancer balancer = makeBalancer(candidates, static_cast<uint64_t>(entry) + 1, options);
            for (const Candidate& candidate : candidates)
                reportLoad(balancer, candidate.upstream,
                    { .running = candidate.upstream == "a" ? 0U : 2U, .limit = 400 }, at(0s));
            for (int i = 0; i < requestsPerEntry; ++i) {
                const Candidate* chosen = balancer.choose(forService(), at(1ms));
                balancer.started(chosen->upstream, at(1ms));
                onIdle += chosen->upstream == "a";
            }
        }
        return static_cast<double>(onIdle) / (entries * requestsPerEntry);
    };
    // One of 8 upstreams is among two random choices with a probability of a quarter, which bounds its share. Choosing
    // the least loaded of all would first send everything to it.
    BOOST_TEST(idleShare(entries) <= 0.25);
    BOOST_TEST(idleShare(entries) <= idleShare(1));
}

// Guards against balancer state that grows with the number of upstreams.
BOOST_AUTO_TEST_CASE(subsetBoundsStateOfLargeService)
{
    CandidateList candidates;
    constexpr size_t count = 20'000;
    for (size_t i = 0; i < count; ++i)
        candidates.push_back(makeCandidate("u" + std::to_string(100'000 + i), i % 3 ? remote : home));
    std::map<std::string, int> chosen;
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        Balancer balancer = makeBalancer(candidates, seed);
        for (const auto& [name, times] : chooseMany(balancer, at(0s), 500))
            chosen[name] += times;
        BOOST_TEST(balancer.stateBytes() < 64U * 1024);
    }
    // Entries use different subsets, so together they use far more upstreams than one of them.
    BOOST_TEST(chosen.size() > 400U);
}

// Guards against choosing an excluded or unusable upstream, or none although one is usable, after any sequence of
// calls.
RC_BOOST_PROP(choiceIsAlwaysUsable, (const std::vector<std::tuple<uint8_t, uint8_t, uint16_t>>& steps, uint64_t seed))
{
    CandidateList candidates = tieredCandidates();
    Balancer balancer = makeBalancer(candidates, seed);
    Instant now = at(0s);
    std::vector<std::string> outstanding;
    for (auto [action, choice, pause] : steps) {
        now += Duration(1ms) * (pause % 800);
        size_t index = choice % candidates.size();
        switch (action % 6) {
        case 0:
            candidates[index].state = static_cast<UpstreamState>(pause % upstreamStateCount);
            balancer.setCandidates(std::make_shared<CandidateList>(candidates), now);
            break;
        case 1:
            balancer.pathResult(candidates[index].node, pause % 2, now);
            break;
        case 2:
            if (!outstanding.empty()) {
                balancer.finished(outstanding.back(), { .running = pause % 8U, .queued = pause % 3U, .limit = 4 }, now);
                outstanding.pop_back();
            }
            break;
        default:
            std::vector<std::string> exclude { candidates[index].upstream };
            BalanceRequest request = forService();
            request.exclude = exclude;
            if (action % 2)
                request.affinity = Id128 { choice, pause };
            const Candidate* chosen = balancer.choose(request, now);
            bool anyUsable = std::any_of(candidates.begin(), candidates.end(), [&](const Candidate& candidate) {
                return candidate.state < UpstreamState::Ejected && candidate.upstream != exclude[0];
            });
            RC_ASSERT(anyUsable == (chosen != nullptr));
            if (!chosen)
                break;
            RC_ASSERT(chosen->state < UpstreamState::Ejected);
            RC_ASSERT(chosen->upstream != exclude[0]);
            balancer.started(chosen->upstream, now);
            outstanding.push_back(chosen->upstream);
        }
    }
}

// Guards against requests that travel to an upstream whose rate limit allows none, and against one that is forgotten.
BOOST_AUTO_TEST_CASE(pausedUpstreamIsALastResort)
{
    Balancer balancer = makeBalancer(tieredCandidates());
    balancer.pause("a", at(1s));
    BOOST_TEST(names(chooseMany(balancer, at(0s))) == Names({ "b" }));
    balancer.pause("b", at(1s));
    BOOST_TEST(names(chooseMany(balancer, at(0s))) == Names({ "c", "d" }));
    for (std::string_view it : { "c", "d", "e", "f" })
        balancer.pause(it, at(1s));
    BOOST_TEST(!names(chooseMany(balancer, at(0s))).contains(""));
    BOOST_TEST(names(chooseMany(balancer, at(1s))) == Names({ "a", "b" }));
}

#define BOOST_TEST_MODULE CandidateCache
#include "core/CandidateCache.h"
#include "MembershipHarness.h"

#include <boost/test/unit_test.hpp>

using namespace Gooseberrymill;

namespace {

// Applies the membership changes of one node to a candidate cache and an index.
struct Observer {
    MembershipHarness harness;
    CandidateCache cache;
    CandidateIndex index; // the candidates as an entry stores them
    size_t appliedChanges = 0; // number of membership changes passed to the cache

    explicit Observer(HarnessOptions options)
        : harness(options)
    {
        cache.noteChange(*node().membership, node().name); // the node's own upstreams are not reported as changes
    }

    MembershipHarness::Node& node() { return harness.nodes[1]; }

    void step(Duration duration)
    {
        harness.run(duration);
        for (; appliedChanges < node().changes.size(); ++appliedChanges)
            cache.noteChange(*node().membership, node().changes[appliedChanges].second.node);
        for (const ServiceCandidates& it : cache.takeChanges(*node().membership, harness.now))
            index.replace(it.service, it.candidates);
    }

    const Candidate* find(std::string_view service, std::string_view upstream) const
    {
        auto list = index.of(service);
        auto it = std::ranges::find(list, upstream, &Candidate::upstream);
        return it == list.end() ? nullptr : &*it;
    }
};

void setState(MembershipHarness& harness, size_t i, UpstreamState state)
{
    harness.nodes[i].membership->setUpstream(
        { fmt::format("upstream-{}-0", i), fmt::format("service-{}", i % 3), 7, state, 0, 1 }, harness.now);
    harness.collect(i);
}

} // namespace

// Guards against lists by service that differ from the membership after joins, drains, failures and restarts.
BOOST_AUTO_TEST_CASE(listsEqualTheWholeList)
{
    for (uint64_t seed : { 1, 2, 3 }) {
        Observer observer({ .members = 12, .upstreamsPerNode = 2, .loss = 0.02, .seed = seed });
        std::mt19937_64 random(seed);
        for (int round = 0; round < 40; ++round) {
            size_t i = 2 + random() % 10;
            bool isUp = observer.harness.nodes[i].membership != nullptr;
            if (!isUp)
                observer.harness.start(i);
            else if (random() % 3 == 0)
                observer.harness.kill(i);
            else
                setState(observer.harness, i, static_cast<UpstreamState>(random() % upstreamStateCount));
            for (int n = 0; n < 100; ++n)
                observer.step(10ms);
            while (observer.appliedChanges != observer.node().changes.size())
                observer.step(10ms);
        }
        for (int n = 0; n < 1000; ++n)
            observer.step(10ms);
        CandidateList all;
        for (size_t service = 0; service < 3; ++service) {
            auto list = observer.index.of(fmt::format("service-{}", service));
            all.insert(all.end(), list.begin(), list.end());
            auto views = makeUpstreamViews(
                *observer.node().membership, observer.cache, fmt::format("service-{}", service), observer.harness.now);
            auto scanned = makeUpstreamViews(
                *observer.node().membership, fmt::format("service-{}", service), observer.harness.now);
            std::erase_if(scanned, [](const UpstreamView& it) { return it.state == UpstreamState::Gone; });
            BOOST_TEST_REQUIRE(views.size() == scanned.size());
            for (size_t i = 0; i < views.size(); ++i)
                BOOST_TEST((views[i].upstream == scanned[i].upstream && views[i].state == scanned[i].state
                    && views[i].executor == scanned[i].executor && views[i].age == scanned[i].age));
        }
        CandidateList expected = makeCandidates(*observer.node().membership);
        BOOST_TEST_REQUIRE(all.size() == expected.size());
        BOOST_TEST((all == expected));
    }
}

// Guards against a delay until the next regular rebuild when an upstream leaves, and against a rebuild for every
// change.
BOOST_AUTO_TEST_CASE(lostCapacityIsNotDelayed)
{
    Observer observer({ .members = 12, .seed = 4, .isJoined = true });
    Membership& membership = *observer.node().membership;
    for (const auto& it : observer.harness.nodes)
        observer.cache.noteChange(membership, it.name);
    Instant now = observer.harness.now;
    BOOST_TEST(observer.cache.takeChanges(membership, now).size() == 3U);

    // Changes of the node's own upstream reach its membership at once.
    auto set = [&](UpstreamState state, float share) {
        membership.setUpstream({ "upstream-1-0", "service-1", 7, state, 0, share }, now);
        observer.cache.noteChange(membership, "node-00001");
    };
    size_t rebuilds = 0;
    float share = 0;
    for (Duration time = 1ms; time < 1s; time += 1ms) {
        share = share > 0.9F ? 0.1F : share + 0.01F;
        set(UpstreamState::Ready, share);
        rebuilds += !observer.cache.takeChanges(membership, now + time).empty();
    }
    BOOST_TEST(rebuilds <= 10U);
    now += 1s;
    observer.cache.takeChanges(membership, now);
    for (UpstreamState state : { UpstreamState::Draining, UpstreamState::Ejected, UpstreamState::Gone }) {
        now += 200ms;
        set(UpstreamState::Ready, 1);
        BOOST_TEST_REQUIRE(observer.cache.takeChanges(membership, now).size() == 1U);
        now += 10ms;
        set(state, 1);
        auto changes = observer.cache.takeChanges(membership, now);
        BOOST_TEST_REQUIRE(changes.size() == 1U);
        auto it = std::ranges::find(*changes.front().candidates, "upstream-1-0", &Candidate::upstream);
        BOOST_TEST((it == changes.front().candidates->end() || it->state == state));
    }
}

// Guards against a change of one service that rebuilds the lists of others, which would lose their balancer state and
// cost as much as a rebuild of the whole fleet.
BOOST_AUTO_TEST_CASE(otherServicesKeepTheirLists)
{
    Observer observer({ .members = 12, .seed = 5, .isJoined = true });
    Membership& membership = *observer.node().membership;
    for (const auto& it : observer.harness.nodes)
        observer.cache.noteChange(membership, it.name);
    observer.cache.takeChanges(membership, observer.harness.now);
    const Candidate* before = observer.cache.of("service-0").data();
    membership.setUpstream({ "upstream-1-0", "service-1", 7, UpstreamState::Draining, 0, 1 }, observer.harness.now);
    observer.cache.noteChange(membership, "node-00001");
    auto changes = observer.cache.takeChanges(membership, observer.harness.now + 10ms);
    BOOST_TEST_REQUIRE(changes.size() == 1U);
    BOOST_TEST(changes.front().service == "service-1");
    BOOST_TEST(observer.cache.of("service-0").data() == before);
}

// Guards against a balancer that keeps the state of idle services forever, or loses the state of a service when another
// one changes.
BOOST_AUTO_TEST_CASE(stateOfIdleServicesIsDropped)
{
    auto listOf = [](const std::string& service) {
        auto list = std::make_shared<CandidateList>();
        for (int i = 0; i < 24; ++i) {
            list->push_back({ fmt::format("{}-{:02}", service, i), service, fmt::format("node-{}", i), "", { 1, 1 }, {},
                7, UpstreamState::Ready, 1 });
        }
        return list;
    };
    Instant start(1000s);
    BalancerOptions options;
    Balancer balancer({}, 1, options);
    auto choose = [&](std::string_view service, Instant now) {
        return balancer.choose({ .service = service, .affinity = std::nullopt, .exclude = {} }, now);
    };
    for (const char* service : { "a", "b" })
        balancer.setServiceCandidates(service, listOf(service), start);
    BOOST_TEST_REQUIRE(choose("a", start));
    size_t one = balancer.stateBytes();
    BOOST_TEST_REQUIRE(choose("b", start));
    BOOST_TEST(balancer.stateBytes() > one);
    Instant later = start + 2 * options.viewLifetime;
    const Candidate* kept = choose("a", later);
    BOOST_TEST_REQUIRE(kept);
    BOOST_TEST(balancer.stateBytes() <= one);

    // A request in flight is still counted after the list of another service is replaced.
    balancer.started(kept->upstream, later);
    size_t withLoad = balancer.stateBytes();
    balancer.setServiceCandidates("b", nullptr, later);
    BOOST_TEST(balancer.stateBytes() == withLoad);
    BOOST_TEST(!choose("b", later));
    BOOST_TEST(choose("a", later) != nullptr);
}

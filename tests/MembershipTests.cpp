#define BOOST_TEST_MODULE Membership
#include "MembershipHarness.h"

#include <boost/test/unit_test.hpp>

using namespace Gooseberrymill;

namespace {

constexpr Duration detectionBound = 3s; // for all members to detect a failure; section 6 of the design page
constexpr Duration leaveBound = 3s; // for all members to see a leave or drain; section 1.1 of the design page

bool isDown(const Membership& membership, std::string_view name)
{
    const NodeRecord* record = membership.find(name);
    return !record || record->status == NodeStatus::Dead || record->status == NodeStatus::Left;
}

auto hasLiveCount(size_t n)
{
    return [n](const Membership& it) { return it.liveCount() == n; };
}

int64_t millis(Duration duration) { return duration / 1ms; }

} // namespace

// Guards against members that never find each other: all must know all others after joining through three seeds.
BOOST_AUTO_TEST_CASE(membersJoinThroughSeeds)
{
    for (size_t n : { 2, 12, 50, 200 }) {
        MembershipHarness harness({ .members = n, .loss = 0.02, .duplication = 0.02, .seed = n });
        auto known = [n](const Membership& it) { return it.liveCount() == n && makeCandidates(it).size() == n; };
        auto time = harness.runUntil(known, 30s);
        BOOST_TEST_REQUIRE(time.has_value(), "n = " << n);
        BOOST_TEST_MESSAGE("join n=" << n << " ms=" << millis(*time));
    }
}

// Guards against a killed node that some member still considers live after 3 s, and so still sends traffic to.
BOOST_AUTO_TEST_CASE(killedNodeIsDetected)
{
    for (size_t n : { 12, 50, 200 }) {
        std::vector<int64_t> times;
        for (uint64_t seed = 1; seed <= (n == 200 ? 4 : 20); ++seed) {
            MembershipHarness harness({ .members = n, .seed = seed });
            BOOST_TEST_REQUIRE(harness.runUntil(hasLiveCount(n), 30s).has_value());
            harness.run(Duration(5s) + Duration(seed * 137000));
            size_t stoppedNode = seed % n;
            harness.kill(stoppedNode);
            auto name = harness.nodes[stoppedNode].name;
            auto time = harness.runUntil([&](const Membership& it) { return isDown(it, name); }, 20s);
            BOOST_TEST_REQUIRE(time.has_value());
            BOOST_TEST(
                millis(*time) <= millis(detectionBound), "n = " << n << ", seed " << seed << ", ms " << millis(*time));
            times.push_back(millis(*time));
        }
        std::ranges::sort(times);
        BOOST_TEST_MESSAGE(
            "detection by all n=" << n << " median ms=" << times[times.size() / 2] << " max ms=" << times.back());
    }
}

// Guards against declaring members dead that only some of their peers cannot reach. Suspicions are only reported.
BOOST_AUTO_TEST_CASE(oneWayCutsDoNotKill)
{
    for (size_t n : { 12, 50, 200 }) {
        for (uint64_t seed = 1; seed <= (n == 200 ? 1 : 3); ++seed) {
            MembershipHarness harness({ .members = n, .loss = 0.01, .seed = seed });
            BOOST_TEST_REQUIRE(harness.runUntil(hasLiveCount(n), 30s).has_value());
            harness.run(5s);
            std::mt19937_64 random(seed);
            for (size_t i = 0; i < n / 4; ++i)
                harness.cut(random() % n, random() % n);
            Instant begin = harness.now;
            harness.run(n == 200 ? 20s : 60s);
            BOOST_TEST(harness.count(MemberEvent::Dead, begin) == 0U, "n = " << n << ", seed " << seed);
            BOOST_TEST_MESSAGE("one-way cuts n=" << n << " seed=" << seed << " suspicion events="
                                                 << harness.count(MemberEvent::Suspected, begin));
        }
    }
}

// Guards against members that do not see a leave or a drain within 3 s. The first datagram of each announcement is
// lost, and the leaving node cannot reach some members at all.
BOOST_AUTO_TEST_CASE(leaveAndDrainAreSeenByAll)
{
    for (size_t n : { 12, 50, 200 }) {
        for (uint64_t seed = 1; seed <= (n == 200 ? 2 : 10); ++seed) {
            MembershipHarness harness({ .members = n, .loss = 0.02, .seed = seed });
            BOOST_TEST_REQUIRE(harness.runUntil(hasLiveCount(n), 30s).has_value());
            harness.run(5s);
            size_t leavingNode = seed % n;
            for (size_t i = 0; i < n / 6; ++i)
                harness.cut(leavingNode, (leavingNode + 1 + i * 3) % n);
            bool isFirst = true;
            harness.drop = [&](size_t from, size_t, const GossipMessage&) {
                return from == leavingNode && std::exchange(isFirst, false);
            };
            UpstreamRecord record = harness.nodes[leavingNode].membership->self().upstreams.front();
            record.state = UpstreamState::Draining;
            harness.nodes[leavingNode].membership->setUpstream(record, harness.now);
            harness.collect(leavingNode);
            auto name = harness.nodes[leavingNode].name;
            auto drain = harness.runUntil(
                [&](const Membership& it) {
                    const NodeRecord* node = it.find(name);
                    return node && !node->upstreams.empty() && node->upstreams.front().state == UpstreamState::Draining;
                },
                20s);
            BOOST_TEST_REQUIRE(drain.has_value());
            BOOST_TEST(millis(*drain) <= millis(leaveBound), "drain n = " << n << ", seed " << seed);
            isFirst = true;
            harness.nodes[leavingNode].membership->leave(harness.now);
            harness.collect(leavingNode);
            harness.run(1s);
            harness.kill(leavingNode);
            auto left = harness.runUntil([&](const Membership& it) { return isDown(it, name); }, 20s);
            BOOST_TEST_REQUIRE(left.has_value());
            BOOST_TEST(millis(*left) + 1000 <= millis(leaveBound), "leave n = " << n << ", seed " << seed);
            BOOST_TEST_MESSAGE("n=" << n << " seed=" << seed << " drain ms=" << millis(*drain)
                                    << " left within ms=" << millis(*left) + 1000);
        }
    }
}

// Guards against two halves, or an isolated node and the others, that do not find each other after a partition heals.
BOOST_AUTO_TEST_CASE(partitionsHeal)
{
    for (Duration length : { Duration(20s), Duration(110s) }) { // shorter and longer than dead members are kept
        for (size_t n : { 12, 50 }) {
            for (size_t sideSize : { size_t(1), n / 2 }) {
                MembershipHarness harness({ .members = n, .loss = 0.01, .seed = n + sideSize });
                BOOST_TEST_REQUIRE(harness.runUntil(hasLiveCount(n), 30s).has_value());
                harness.partition([&](size_t i) { return i >= n - sideSize; });
                harness.run(length);
                BOOST_TEST(harness.nodes[0].membership->liveCount() == n - sideSize);
                // An isolated node has to probe all others itself, so it must have lost only some of them by now.
                BOOST_TEST(harness.nodes[n - 1].membership->liveCount() < n);
                harness.healAll();
                auto time = harness.runUntil(hasLiveCount(n), 60s);
                BOOST_TEST_REQUIRE(time.has_value(), "n = " << n << ", side " << sideSize);
                BOOST_TEST_MESSAGE(
                    "healed n=" << n << " side=" << sideSize << " after s=" << length / 1s << " ms=" << millis(*time));
            }
        }
    }
}

// Guards against an ended process that remains in the views of members after a new process of the same name started.
BOOST_AUTO_TEST_CASE(restartSupersedes)
{
    MembershipHarness harness({ .members = 50, .loss = 0.01, .seed = 7 });
    BOOST_TEST_REQUIRE(harness.runUntil(hasLiveCount(50), 30s).has_value());
    for (size_t stoppedNode : { 4, 0, 17 }) {
        harness.run(3s);
        Id128 oldIncarnation = harness.nodes[stoppedNode].membership->self().incarnation;
        harness.kill(stoppedNode);
        harness.run(300ms);
        harness.start(stoppedNode);
        Id128 newIncarnation = harness.nodes[stoppedNode].membership->self().incarnation;
        BOOST_TEST_REQUIRE((oldIncarnation != newIncarnation));
        auto name = harness.nodes[stoppedNode].name;
        auto time = harness.runUntil(
            [&](const Membership& it) {
                const NodeRecord* node = it.find(name);
                return node && node->incarnation == newIncarnation && node->status == NodeStatus::Alive
                    && it.liveCount() == 50;
            },
            20s);
        BOOST_TEST_REQUIRE(time.has_value());
        BOOST_TEST(millis(*time) <= millis(detectionBound));
        BOOST_TEST_MESSAGE("restart seen by all ms=" << millis(*time));
    }
}

// Guards against a late datagram of an ended process that replaces the record of its successor.
BOOST_AUTO_TEST_CASE(obsoleteIncarnationIsRejected)
{
    NodeRecord self;
    self.name = "a";
    self.incarnation = { 1, 2 };
    self.startedAt = 1;
    self.gossipAddress = "10.0.0.1:1";
    Membership membership({}, self, 1, Instant {});
    auto makeJoinMessage = [](Id128 incarnation, uint64_t startedAt) {
        GossipMessage message;
        message.sender = "b";
        message.incarnation = incarnation;
        message.startedAt = startedAt;
        message.updates.push_back({ memberKey(incarnation), 0, NodeStatus::Alive, 0,
            NodeIdentity { "b", incarnation, startedAt, "10.0.0.2:1", "10.0.0.2:2", {} }, {} });
        return message;
    };
    membership.received(makeJoinMessage({ 50, 6 }, 20), "10.0.0.2:1", Instant(1ms));
    membership.received(makeJoinMessage({ 30, 4 }, 10), "10.0.0.2:1", Instant(2ms));
    BOOST_TEST(membership.counters().obsolete == 1U);
    BOOST_TEST((membership.find("b")->incarnation == Id128 { 50, 6 }));
}

// Guards against a paused node that stays dead after it resumes, or that then declares other members dead.
BOOST_AUTO_TEST_CASE(pausedNodeRecovers)
{
    MembershipHarness harness({ .members = 50, .seed = 11 });
    BOOST_TEST_REQUIRE(harness.runUntil(hasLiveCount(50), 30s).has_value());
    harness.run(3s);
    harness.nodes[9].isPaused = true;
    harness.run(10s);
    BOOST_TEST(isDown(*harness.nodes[3].membership, harness.nodes[9].name));
    Instant resumed = harness.now;
    harness.nodes[9].isPaused = false;
    auto time = harness.runUntil(hasLiveCount(50), 20s);
    BOOST_TEST_REQUIRE(time.has_value());
    harness.run(5s);
    BOOST_TEST(harness.count(MemberEvent::Dead, resumed) == 0U);
    BOOST_TEST_MESSAGE("recovered from a pause ms=" << millis(*time));
}

// Guards against gossip traffic that exceeds the budget of 3 KB/s per node as the fleet grows. The state of some
// upstream changes every four seconds, as at the target scale.
BOOST_AUTO_TEST_CASE(trafficStaysInBudget)
{
    constexpr double budget = 3000; // bytes per second and node; section 1.4 of the design page
    for (size_t n : { 12, 50, 200, 1000 }) {
        MembershipHarness harness({ .members = n, .seed = n, .isJoined = n == 1000 });
        BOOST_TEST_REQUIRE(harness.runUntil(hasLiveCount(n), 60s).has_value(), "n = " << n);
        harness.run(n == 1000 ? 3s : 20s);
        uint64_t before = harness.totalBytes();
        constexpr Duration length = 20s;
        for (int i = 0; i < 5; ++i) {
            size_t changed = static_cast<size_t>(i) * 7 % n;
            UpstreamRecord record = harness.nodes[changed].membership->self().upstreams.front();
            record.state = UpstreamState::Degraded;
            harness.nodes[changed].membership->setUpstream(record, harness.now);
            harness.run(length / 5);
        }
        double rate = static_cast<double>(harness.totalBytes() - before) / static_cast<double>(n)
            / std::chrono::duration<double>(length).count();
        BOOST_TEST(rate <= budget, "n = " << n << ", bytes per second " << rate);
        BOOST_TEST_MESSAGE("traffic n=" << n << " bytes/s per node=" << rate);
    }
}

// Guards against health summaries that are sent to members of other services, or in messages that exceed a datagram.
BOOST_AUTO_TEST_CASE(healthGoesToPeersOfServiceOnly)
{
    MembershipHarness harness({ .members = 12, .seed = 3 });
    BOOST_TEST_REQUIRE(harness.runUntil(hasLiveCount(12), 30s).has_value());
    harness.run(2s);
    size_t sent = 0;
    harness.drop = [&](size_t, size_t to, const GossipMessage& message) {
        if (message.kind == GossipKind::Health) {
            ++sent;
            BOOST_TEST(to % 3 == 0U);
            BOOST_TEST(encodedSizeBound(message) <= maxDatagramBytes);
        }
        return false;
    };
    harness.nodes[0].membership->sendHealth(
        { "upstream-0-0", { { 1, 10, 2, 3.5F, 0.5F }, { 2, 10, 2, 3.5F, 0.5F } } }, harness.now);
    harness.collect(0);
    harness.run(200ms);
    BOOST_TEST(sent == 3U);
    auto health = harness.nodes[3].membership->peerHealth("service-0", 5s, harness.now);
    BOOST_TEST_REQUIRE(health.size() == 1U);
    BOOST_TEST(health.front().work.size() == 2U);
    BOOST_TEST(harness.nodes[1].membership->peerHealth("service-0", 5s, harness.now).empty());
}

// Guards against candidates that are out of order, belong to dead nodes, or are not degraded while their node is
// suspected.
BOOST_AUTO_TEST_CASE(derivedListsFollowMembership)
{
    MembershipHarness harness({ .members = 12, .seed = 5 });
    BOOST_TEST_REQUIRE(harness.runUntil(hasLiveCount(12), 30s).has_value());
    harness.run(2s);
    harness.kill(6);
    Membership& observer = *harness.nodes[1].membership;
    bool sawSuspect = false;
    for (int i = 0; i < 400; ++i) {
        harness.run(10ms);
        const NodeRecord* node = observer.find(harness.nodes[6].name);
        auto list = makeCandidates(observer);
        BOOST_TEST(
            std::ranges::is_sorted(list, {}, [](const Candidate& it) { return std::tie(it.service, it.upstream); }));
        auto it = std::ranges::find(list, "upstream-6-0", &Candidate::upstream);
        if (node && node->status == NodeStatus::Suspect) {
            sawSuspect = true;
            BOOST_TEST((it != list.end() && it->state == UpstreamState::Degraded));
        }
        if (node && node->status == NodeStatus::Dead)
            BOOST_TEST((it == list.end()));
    }
    BOOST_TEST(sawSuspect);
    auto views = makeUpstreamViews(observer, "service-0", harness.now);
    BOOST_TEST_REQUIRE(views.size() == 4U);
    for (const UpstreamView& it : views) {
        BOOST_TEST((it.state == (it.upstream == "upstream-6-0" ? UpstreamState::Gone : UpstreamState::Ready)));
        if (it.state == UpstreamState::Ready)
            BOOST_TEST(millis(it.age) <= millis(detectionBound) + 1000);
    }
}

#define BOOST_TEST_MODULE GossipSocketProcess
#include "GossipSocket.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

using namespace Gooseberrymill;

namespace {

const std::vector<uint8_t> fleetKey(32, 7);
const std::vector<uint8_t> otherKey(32, 8);

// A member on a real socket, on the calling thread's task.
struct Peer {
    std::unique_ptr<GossipSocket> socket;
    std::unique_ptr<Membership> membership;
    SourceHandle timer;

    Peer(Task& task, size_t i, std::vector<std::string> seeds, std::span<const uint8_t> key)
    {
        auto opened = GossipSocket::open(
            task, { "127.0.0.1", 0 }, {}, key, [this](const GossipMessage& message, std::string_view from) {
                membership->received(message, from, currentInstant());
                flush();
            });
        BOOST_TEST_REQUIRE(opened.has_value());
        socket = std::move(opened).value();
        NodeRecord self;
        self.name = fmt::format("node-{}", i);
        self.incarnation = randomId();
        self.startedAt = 1;
        self.gossipAddress = socket->advertisedAddress();
        self.location = { "region", "dc" };
        self.upstreams.push_back({ fmt::format("upstream-{}", i), "katalog", 7, UpstreamState::Ready, 0, 1 });
        MembershipSettings settings;
        settings.seeds = std::move(seeds);
        membership = std::make_unique<Membership>(settings, self, i + 1, currentInstant());
        timer = task.every(50ms, [this] {
            membership->tick(currentInstant());
            flush();
            return true;
        });
    }

    void flush()
    {
        for (const OutgoingGossip& out : membership->takeMessages())
            socket->send(out);
        membership->takeChanges();
    }
};

// Runs the task until the condition holds. False when it did not within the limit.
bool runUntil(Task& task, const std::function<bool()>& condition, Duration limit)
{
    Instant end = currentInstant() + limit;
    bool holds = false;
    SourceHandle timer = task.every(20ms, [&] {
        holds = condition();
        if (holds || currentInstant() >= end)
            task.stop();
        return true;
    });
    task.run();
    return holds;
}

} // namespace

// Guards against members that work in virtual time but not over real sockets: join, drain, death.
BOOST_AUTO_TEST_CASE(peersOnLoopbackFindEachOther)
{
    Task task("control", Task::Thread::Current);
    std::vector<std::unique_ptr<Peer>> peers;
    std::vector<std::string> seeds;
    for (size_t i = 0; i < 5; ++i) {
        peers.push_back(std::make_unique<Peer>(task, i, seeds, fleetKey));
        if (!i)
            seeds.push_back(peers.front()->socket->boundAddress());
    }
    auto allSee = [&](const std::function<bool(const Membership&)>& condition) {
        return std::ranges::all_of(peers, [&](const auto& it) { return !it || condition(*it->membership); });
    };
    BOOST_TEST_REQUIRE(runUntil(
        task, [&] { return allSee([](const Membership& it) { return makeCandidates(it).size() == 5; }); }, 15s));

    UpstreamRecord record = peers[2]->membership->self().upstreams.front();
    record.state = UpstreamState::Draining;
    peers[2]->membership->setUpstream(record, currentInstant());
    peers[2]->flush();
    auto isDraining = [](const Membership& it) {
        const NodeRecord* node = it.find("node-2");
        return node && node->upstreams.front().state == UpstreamState::Draining;
    };
    BOOST_TEST(runUntil(
        task, [&] { return allSee(isDraining); }, 3s)); // design page, section 1.1

    peers[4].reset();
    auto isDead = [](const Membership& it) { return it.find("node-4")->status == NodeStatus::Dead; };
    BOOST_TEST(runUntil(
        task, [&] { return allSee(isDead); }, 6s));
    for (const auto& it : peers) {
        if (it)
            BOOST_TEST(it->socket->drops().total() == 0U);
    }
}

// Guards against a process with another key entering the fleet, or its datagrams going uncounted.
BOOST_AUTO_TEST_CASE(foreignKeyIsDropped)
{
    Task task("control", Task::Thread::Current);
    Peer member(task, 0, {}, fleetKey);
    Peer foreign(task, 1, { member.socket->boundAddress() }, otherKey);
    BOOST_TEST(runUntil(
        task, [&] { return member.socket->drops().notAuthentic >= 2; }, 10s));
    BOOST_TEST(member.membership->size() == 1U);
    BOOST_TEST(foreign.membership->size() == 1U);
}

// Guards against the bound address being announced where peers see another one, and against an
// unusable address ending in anything but an error.
BOOST_AUTO_TEST_CASE(advertisedAddressIsSeparate)
{
    Task task("control", Task::Thread::Current);
    auto ignore = [](const GossipMessage&, std::string_view) {};
    auto opened = GossipSocket::open(task, { "127.0.0.1", 0 }, "192.0.2.1:7000", fleetKey, ignore);
    BOOST_TEST_REQUIRE(opened.has_value());
    BOOST_TEST(opened.value()->advertisedAddress() == "192.0.2.1:7000");
    BOOST_TEST(opened.value()->boundAddress().starts_with("127.0.0.1:"));
    opened.value()->send({ "not an address", {} });
    BOOST_TEST(opened.value()->counters().sendErrors == 1U);
    BOOST_TEST(!GossipSocket::open(task, { "not an address", 0 }, {}, fleetKey, ignore).has_value());
}

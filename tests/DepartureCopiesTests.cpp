#define BOOST_TEST_MODULE DepartureCopies
#include "core/DepartureCopies.h"

#include <boost/test/unit_test.hpp>

using namespace Gooseberrymill;

namespace {

const Instant start { 1h };
const UpstreamDeparture departure { "i-1", 1000 };

struct Fixture {
    DepartureCopies copies;
    std::vector<NodeRecord> peers;
    std::mt19937_64 random { 1 };

    void addPeers(size_t n)
    {
        for (size_t i = 0; i < n; ++i) {
            NodeRecord& peer = peers.emplace_back();
            peer.name = "node-" + std::to_string(peers.size());
            peer.incarnation = { 1, peers.size() };
        }
    }
    DepartureCopies::Notices due()
    {
        std::vector<const NodeRecord*> all;
        for (const NodeRecord& it : peers)
            all.push_back(&it);
        return copies.due(all, random);
    }
    void answerAll(const DepartureCopies::Notices& notices, bool isStored)
    {
        for (const auto& [peer, departures] : notices)
            copies.answered(peer->name, peer->incarnation, departures, isStored);
    }
};

} // namespace

// Guards against a departure that no peer remembers, because none was known or reachable when it was acknowledged.
BOOST_FIXTURE_TEST_CASE(peersThatComeLaterAreTold, Fixture)
{
    BOOST_TEST(copies.add(departure, start));
    BOOST_TEST(due().empty());
    addPeers(1);
    answerAll(due(), false);
    auto notices = due();
    BOOST_TEST_REQUIRE(notices.size() == 1U);
    BOOST_TEST((notices.begin()->second == std::vector { departure }));
    BOOST_TEST(due().empty()); // its answer is pending
    answerAll(notices, true);
    BOOST_TEST(due().empty());
}

// Guards against a copy that counts although its peer has restarted.
BOOST_FIXTURE_TEST_CASE(restartedPeerIsToldAgain, Fixture)
{
    copies.add(departure, start);
    addPeers(2);
    answerAll(due(), true);
    BOOST_TEST(due().empty());
    peers[1].incarnation = { 2, 2 };
    auto notices = due();
    BOOST_TEST_REQUIRE(notices.size() == 1U);
    BOOST_TEST(notices.begin()->first->name == "node-2");
}

// Guards against a departure that is sent to the whole fleet, and against one that stops short of its copies when peers
// do not answer.
BOOST_FIXTURE_TEST_CASE(otherPeersReplaceThoseThatFail, Fixture)
{
    addPeers(300);
    copies.add(departure, start);
    auto notices = due();
    BOOST_TEST(notices.size() == DepartureCopies::wanted);
    auto failing = notices.begin()->first;
    copies.answered(failing->name, failing->incarnation, notices.begin()->second, false);
    notices.erase(failing);
    answerAll(notices, true);
    BOOST_TEST(due().size() == 1U);
}

// Guards against the departure of a later start of the same instance that is taken for the earlier one.
BOOST_FIXTURE_TEST_CASE(laterStartIsSharedAgain, Fixture)
{
    addPeers(1);
    copies.add(departure, start);
    answerAll(due(), true);
    BOOST_TEST(!copies.add(departure, start));
    BOOST_TEST(!copies.add({ "i-1", 500 }, start));
    BOOST_TEST(copies.add({ "i-1", 2000 }, start));
    BOOST_TEST(due().size() == 1U);
}

// Guards against memory that grows with each departure.
BOOST_FIXTURE_TEST_CASE(departuresAreBoundedAndEnd, Fixture)
{
    addPeers(1);
    for (size_t i = 0; i < 100; ++i)
        copies.add({ "i-" + std::to_string(i), 1000 }, start);
    auto notices = due();
    BOOST_TEST_REQUIRE(notices.size() == 1U);
    BOOST_TEST(notices.begin()->second.size() == maxDeparturesPerNode);
    BOOST_TEST(notices.begin()->second.back().instance == "i-99");
    copies.tick(start + DepartureCopies::lifetime);
    BOOST_TEST(copies.isEmpty());
}

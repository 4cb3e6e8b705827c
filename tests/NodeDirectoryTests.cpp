// Tests the merging of node records that arrive in any order, and the election of the nodes that watch the store.
#define BOOST_TEST_MODULE NodeDirectory
#include "core/NodeDirectory.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace Gooseberrymill;

namespace {

Instant at(Duration time) { return Instant(time); }

NodeRecord record(std::string name, uint64_t startedAt = 1000, uint64_t incarnation = 1)
{
    NodeRecord node;
    node.name = std::move(name);
    node.incarnation = { incarnation, startedAt };
    node.startedAt = startedAt;
    node.relayAddress = node.name + ":1";
    node.location = { "north", "a" };
    node.upstreams = { { node.name, "bayaran", 7, UpstreamState::Ready, 0, 1 } };
    return node;
}

} // namespace

// Guards against an older record replacing a newer one, in whatever order they arrive.
BOOST_AUTO_TEST_CASE(newestRecordWinsInAnyOrder)
{
    NodeRecord first = record("b", 1000);
    NodeRecord changed = first;
    changed.counter = 3;
    changed.upstreams[0].state = UpstreamState::Draining;
    NodeRecord restarted = record("b", 2000, 2);
    std::vector<NodeRecord> records { first, changed, restarted };
    std::vector<size_t> order { 0, 1, 2 };
    uint64_t digest = 0;
    do {
        NodeDirectory directory(record("a"));
        for (size_t i : order)
            directory.merge(records[i], at(1s));
        BOOST_TEST((directory.find("b")->incarnation == restarted.incarnation));
        BOOST_TEST((!digest || digest == directory.digest()));
        digest = directory.digest();
    } while (std::ranges::next_permutation(order).found);
}

// Guards against a live node that its peers keep treating as departed, either because its clock was set back or because
// a peer could not reach it.
BOOST_AUTO_TEST_CASE(liveNodeRaisesItsRecordAboveAClaimAgainstIt)
{
    NodeDirectory own(record("a", 1000, 5));
    NodeDirectory peer(record("b"));
    peer.merge(record("a", 7000, 4), at(1s)); // record of an earlier process whose clock was ahead
    BOOST_TEST(own.merge(*peer.find("a"), at(1s)));
    BOOST_TEST(peer.merge(own.self(), at(1s)));
    BOOST_TEST((peer.find("a")->incarnation == own.self().incarnation));
    BOOST_TEST(peer.markLeft("a", at(2s)));
    BOOST_TEST(peer.candidates().size() == 1U);
    BOOST_TEST(own.merge(*peer.find("a"), at(2s)));
    BOOST_TEST(peer.merge(own.self(), at(2s)));
    BOOST_TEST(peer.candidates().size() == 2U);
}

// Guards against an old record that restores a departed node, and against a directory that never forgets one.
BOOST_AUTO_TEST_CASE(nodesThatLeftAreRememberedForAWhile)
{
    NodeDirectory directory(record("a"));
    NodeRecord left = record("b");
    directory.merge(left, at(1s));
    directory.markLeft("b", at(2s));
    BOOST_TEST(!directory.merge(left, at(3s)));
    BOOST_TEST(directory.liveCount() == 1U);
    size_t told = 0;
    directory.forEachLeft([&](const NodeRecord& it) { told += it.name == "b"; });
    BOOST_TEST(told == 1U);
    directory.tick(at(2s) + NodeDirectory::tombstoneLifetime + 1s);
    BOOST_TEST(!directory.find("b"));
}

// Guards against a region in which no node watches the store, and against one in which every node does.
BOOST_AUTO_TEST_CASE(twoLiveNodesOfARegionWatch)
{
    constexpr size_t count = 12;
    std::vector<std::string> names;
    for (size_t i = 0; i < count; ++i)
        names.push_back("node-" + std::to_string(i));
    std::vector<NodeDirectory> directories;
    std::vector<WatchElection> elections;
    for (const std::string& name : names) {
        NodeDirectory& directory = directories.emplace_back(record(name));
        for (const std::string& other : names)
            directory.merge(record(other), at(0s));
        elections.emplace_back(at(0s));
    }
    std::vector<bool> isDead(count);
    auto watchersAt = [&](Duration time) {
        std::vector<size_t> watchers;
        for (size_t i = 0; i < count; ++i) {
            if (!isDead[i] && elections[i].shouldWatch(directories[i], at(time)))
                watchers.push_back(i);
        }
        for (size_t watcher : watchers) {
            for (WatchElection& election : elections)
                election.recordNotice(names[watcher], true, at(time));
        }
        return watchers;
    };
    for (Duration time = 0ms; time < 5s; time += 100ms)
        BOOST_TEST(watchersAt(time).size() <= 2U);
    auto watchers = watchersAt(5s);
    BOOST_TEST(watchers.size() == 2U);
    isDead[watchers[0]] = isDead[watchers[1]] = true;
    for (Duration time = 5100ms; time < 8s; time += 100ms)
        watchersAt(time);
    BOOST_TEST(watchersAt(8s).size() == 2U);
}

// Tests that directories become equal by exchanging notices, and how many records and fingerprints this takes.
#define BOOST_TEST_MODULE DirectorySync
#include "core/DirectorySync.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

using namespace Gooseberrymill;

namespace {

constexpr size_t regionSize = 36;

Instant at(Duration time) { return Instant(time); }

NodeRecord record(const std::string& name, const std::string& region = "north")
{
    NodeRecord node;
    node.name = name;
    node.incarnation = { 1, 2 };
    node.startedAt = 1000;
    node.relayAddress = "10.0.0.1:7600";
    node.location = { region, region + "-a" };
    node.upstreams = { { name, "bayaran", 7, UpstreamState::Ready, 0, 1 } };
    return node;
}

// The directories of the nodes of one region, all of which know each other.
struct Region {
    explicit Region(const std::string& region, size_t size = regionSize)
    {
        std::vector<NodeRecord> all;
        for (size_t i = 0; i < size; ++i)
            all.push_back(record(fmt::format("{}-{}", region, i), region));
        for (const NodeRecord& self : all) {
            nodes.emplace_back(self);
            nodes.back().mergeAll(all, at(1s), PropagationScope::Region);
        }
    }

    // Sends a notice from node `from` to every other node and handles all replies. Returns the number of records and
    // fingerprints sent.
    size_t notify(size_t from)
    {
        DirectoryNotice notice = makeNotice(nodes[from], nodes[from].takeUnshared());
        notice.isForRegion = true;
        notice.requestsComparison = true;
        size_t sent = 0;
        for (size_t i = 0; i < nodes.size(); ++i) {
            if (i != from)
                sent += exchange(nodes[from], nodes[i], notice);
        }
        return sent;
    }

    static size_t exchange(NodeDirectory& from, NodeDirectory& to, const DirectoryNotice& notice)
    {
        size_t sent = 0;
        std::optional<DirectoryNotice> next = notice;
        for (int round = 0; next; ++round) {
            BOOST_REQUIRE(round < 3);
            DirectoryReply reply = handleNotice(to, *next, at(2s)).reply;
            sent += next->records.size() + next->knownFingerprints.size() + reply.records.size()
                + reply.knownFingerprints.size();
            next = handleReply(from, reply, at(2s)).next;
        }
        return sent;
    }

    std::vector<NodeDirectory> nodes;
};

} // namespace

// Guards against directories that still differ after a comparison, whichever side knows more records.
BOOST_AUTO_TEST_CASE(comparisonMakesBothSidesEqual)
{
    NodeDirectory a(record("a"));
    NodeDirectory b(record("b"));
    for (const char* name : { "c", "d", "e" })
        a.merge(record(name), at(1s));
    for (const char* name : { "e", "f" })
        b.merge(record(name), at(1s));
    b.markLeft("e", at(1s));
    DirectoryNotice notice = makeNotice(a, {});
    notice.requestsComparison = true;
    Region::exchange(a, b, notice);
    BOOST_TEST(a.digest() == b.digest());
    BOOST_TEST(a.liveCount() == 5U);
    BOOST_TEST(b.liveCount() == 5U);
}

// Guards against unnecessary traffic: equal directories exchange digests only.
BOOST_AUTO_TEST_CASE(equalDirectoriesSendNoRecords)
{
    Region region("north");
    BOOST_TEST(region.notify(0) == 0U);
}

// Guards against sending the whole directory to each node of a region after one change in another region. This cost up
// to a quarter of the revenue of a fleet of 108 nodes.
BOOST_AUTO_TEST_CASE(changeFromElsewhereCostsItsOwnSizeAtEachNode)
{
    Region region("north");
    region.nodes[0].merge(record("south-7", "south"), at(1s));
    BOOST_TEST(region.notify(0) == regionSize - 1);
    for (const NodeDirectory& node : region.nodes)
        BOOST_TEST(node.digest() == region.nodes[0].digest());
    // The second watcher received the record from the first one, like all other nodes, and does not send it again.
    BOOST_TEST(region.notify(1) == 0U);
}

// Guards against a record that only one node of a region ever gets: a notice from another region reaches a single node,
// which must pass its records on.
BOOST_AUTO_TEST_CASE(recordsOfAnotherRegionsNoticeAreSharedOnce)
{
    Region region("north");
    DirectoryNotice notice = makeNotice(NodeDirectory(record("south-1", "south")), { record("south-1", "south") });
    notice.isForRegion = true; // refers to the sender's region, not to that of the receiver
    handleNotice(region.nodes[3], notice, at(1s));
    BOOST_TEST(region.nodes[3].takeUnshared().size() == 1U);
    BOOST_TEST(region.nodes[3].takeUnshared().empty());
}

// Guards against sending records more than once to a node that starts while the store is unavailable and therefore
// knows only itself.
BOOST_AUTO_TEST_CASE(restartedNodeGetsEachRecordOnce)
{
    Region region("north");
    NodeRecord restarted = record("north-5");
    restarted.startedAt = 2000;
    region.nodes[5] = NodeDirectory(restarted);
    DirectoryNotice notice = makeNotice(region.nodes[0], {});
    notice.requestsComparison = true;
    size_t sent = Region::exchange(region.nodes[0], region.nodes[5], notice);
    BOOST_TEST(sent <= 2 * (regionSize + 1));
    BOOST_TEST(region.nodes[5].digest() == region.nodes[0].digest());
    BOOST_TEST(region.nodes[0].find("north-5")->startedAt == 2000U);
}

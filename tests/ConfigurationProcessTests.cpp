#define BOOST_TEST_MODULE ConfigurationProcess
#include "FleetHarness.h"

using namespace Gooseberrymill::Testing;

namespace {

constexpr auto inForceLimit = 5s; // invariant 7

// The shop with one more route, so that the change can be seen from outside.
std::string shopWithRoute(const std::string& name)
{
    return shopConfiguration(
        fmt::format("[[service.route]]\nname = \"{0}\"\npath = \"/{0}/*\"\nrepeatable = true\n", name));
}

bool isInForce(Fleet& fleet, const std::string& route)
{
    for (size_t i = 0; i < fleet.size(); ++i) {
        if (fleet.call(i, "GET", "/" + route + "/1").status != 200)
            return false;
    }
    return true;
}

// Samples the version of every node all the time. A version that goes down is a failure.
class VersionWatch {
public:
    explicit VersionWatch(Fleet& fleet)
        : m_thread([this, &fleet] { run(fleet); })
    {
    }
    VersionWatch(const VersionWatch&) = delete;
    VersionWatch& operator=(const VersionWatch&) = delete;
    ~VersionWatch() { stop(); }

    std::vector<std::string> stop()
    {
        m_isStopped = true;
        if (m_thread.joinable())
            m_thread.join();
        return m_drops;
    }

    size_t samples() const { return m_samples; }

private:
    void run(Fleet& fleet)
    {
        std::vector<uint64_t> highest(fleet.size());
        while (!m_isStopped) {
            for (size_t i = 0; i < fleet.size(); ++i) {
                uint64_t version = fleet.version(i);
                if (version < highest[i])
                    m_drops.push_back(fmt::format("node {}: {} after {}", i, version, highest[i]));
                highest[i] = std::max(highest[i], version);
                ++m_samples;
            }
        }
    }

    std::atomic<bool> m_isStopped { false };
    std::atomic<size_t> m_samples { 0 };
    std::vector<std::string> m_drops;
    std::thread m_thread; // last: uses the other members
};

} // namespace

// Guards against two winners of a race, a loser that is not told, and a change that is late on some node.
BOOST_AUTO_TEST_CASE(racingChangesHaveOneWinnerInForceEverywhere)
{
    Fleet fleet({ .nodes = 4 });
    VersionWatch watch(fleet);
    for (int n = 0; n < 3; ++n) {
        std::string expect = std::to_string(fleet.version(0));
        std::string routes[] = { fmt::format("ana-{}", n), fmt::format("ben-{}", n) };
        auto ana = fleet.startApply(shopWithRoute(routes[0]), "ana", expect);
        auto ben = fleet.startApply(shopWithRoute(routes[1]), "ben", expect);
        bool hasAnaWon = ana->exitCode().value_or(-1) == 0;
        bool hasBenWon = ben->exitCode().value_or(-1) == 0;
        auto returned = Clock::now();
        BOOST_REQUIRE_MESSAGE(hasAnaWon != hasBenWon, ana->log() << ben->log());
        std::string loser = hasAnaWon ? ben->log() : ana->log();
        BOOST_TEST(loser.find(hasAnaWon ? "won by ana" : "won by ben") != std::string::npos, loser);
        const std::string& route = routes[hasAnaWon ? 0 : 1];
        BOOST_TEST(waitUntil([&] { return isInForce(fleet, route); }, inForceLimit), "late: " << route);
        BOOST_TEST_MESSAGE(fmt::format("in force everywhere after {} ms",
            std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - returned).count()));
        BOOST_TEST(fleet.call(0, "GET", "/" + routes[hasAnaWon ? 1 : 0] + "/1").status == 404);
    }
    auto drops = watch.stop();
    BOOST_TEST(drops.empty(), drops.front());
}

// Guards against a restarted node that stays without a configuration, or takes a default, in a store outage.
BOOST_AUTO_TEST_CASE(restartedNodeGetsTheVersionFromItsPeersInAStoreOutage)
{
    Fleet fleet;
    BOOST_REQUIRE(fleet.apply(shopWithRoute("later"), "ana").first == 0);
    BOOST_REQUIRE(waitUntil([&] { return isInForce(fleet, "later"); }));
    uint64_t version = fleet.version(0);
    for (const char* kind : { "refuse", "hang" }) {
        fleet.setStoreFaults({ { "down", kind } });
        fleet.node(2).process->signal(SIGKILL);
        fleet.node(2).process->exitCode();
        fleet.startNode(2);
        BOOST_TEST(waitUntil([&] { return fleet.version(2) == version; }, inForceLimit), fleet.status(2).dump());
        BOOST_TEST(waitUntil([&] { return fleet.call(2, "GET", "/later/1").status == 200; }));
        fleet.setStoreFaults({ { "down", "none" } });
    }
}

// Guards against watchers that wait on a watch that neither answers nor closes.
BOOST_AUTO_TEST_CASE(silentWatchDoesNotDelayAChange)
{
    Fleet fleet({ .nodes = 4 });
    VersionWatch watch(fleet);
    fleet.setStoreFaults({ { "silentWatches", true } });
    // The first change is answered by the watches that were open before and opens silent ones.
    for (const char* route : { "first", "second", "third" }) {
        BOOST_REQUIRE(fleet.apply(shopWithRoute(route), "ana").first == 0);
        BOOST_TEST(waitUntil([&] { return isInForce(fleet, route); }, inForceLimit), "late: " << route);
    }
    auto drops = watch.stop();
    BOOST_TEST(drops.empty(), drops.front());
}

// Guards against a node that goes back to an older version when the store answers with one.
BOOST_AUTO_TEST_CASE(olderAnswersOfTheStoreTakeNothingBack)
{
    Fleet fleet({ .nodes = 4 });
    BOOST_REQUIRE(fleet.apply(shopWithRoute("first"), "ana").first == 0);
    BOOST_REQUIRE(fleet.apply(shopWithRoute("second"), "ana").first == 0);
    BOOST_REQUIRE(waitUntil([&] { return isInForce(fleet, "second"); }));
    VersionWatch watch(fleet);
    fleet.setStoreFaults({ { "olderVersions", true } });
    uint64_t version = fleet.version(0);
    fleet.node(3).process->signal(SIGSTOP); // makes the others choose their watchers anew
    BOOST_TEST(waitUntil([&] { return fleet.memberStatus(0, 3) != "alive"; }));
    fleet.node(3).process->signal(SIGCONT);
    BOOST_TEST(waitUntil([&] { return fleet.memberStatus(0, 3) == "alive"; }));
    size_t samples = watch.samples();
    BOOST_TEST(waitUntil([&] { return watch.samples() > samples + 400; }));
    for (size_t i = 0; i < fleet.size(); ++i)
        BOOST_TEST(fleet.version(i) >= version);
    BOOST_TEST(isInForce(fleet, "second"));
    auto drops = watch.stop();
    BOOST_TEST(drops.empty(), drops.front());
}

// Guards against a confirmed change that nodes drop as old because the restored store gave it a lower version, that
// they do not see because the store had lost the document, and against the older copy coming into force.
BOOST_AUTO_TEST_CASE(changeAfterARestorationComesIntoForce)
{
    constexpr int allWrites = 1000;
    for (const char* settings : { "", "discovery = \"store\"\n" }) {
        FleetShape shape;
        shape.fleetSettings = settings;
        Fleet fleet(shape);
        for (const char* route : { "first", "second", "third" })
            BOOST_REQUIRE(fleet.apply(shopWithRoute(route), "ana").first == 0);
        BOOST_REQUIRE(waitUntil([&] { return isInForce(fleet, "third"); }));
        std::string before = "third";
        for (int lostWrites : { 2, allWrites }) {
            fleet.restoreStore({ { "lostWrites", lostWrites } });
            auto end = Clock::now() + 3s;
            while (Clock::now() < end)
                BOOST_TEST_REQUIRE(isInForce(fleet, before));
            std::string after = fmt::format("after-{}", lostWrites);
            BOOST_REQUIRE(fleet.apply(shopWithRoute(after), "ana").first == 0);
            BOOST_TEST(waitUntil([&] { return isInForce(fleet, after); }, inForceLimit), "late: " << after << settings);
            before = after;
        }
    }
}

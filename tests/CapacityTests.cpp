#define BOOST_TEST_MODULE Capacity
#include "CapacityBench.h"

#include "core/ClaimLedger.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

using namespace Gooseberrymill;

namespace {

// Design page, section 1.4.
constexpr size_t targetNodes = 6100;
constexpr size_t targetRoutes = 36000;
constexpr size_t upstreamsPerNode = 15;
constexpr double controlMegabytes = 64;
constexpr double controlBytesPerSecond = 3000;
constexpr double controlCoreMicros = 11000; // of a second: 1.1% of a core

} // namespace

// Guards against the state of one node outgrowing 64 MB at the target scale: table, candidates, balancers of all
// workers under evenly spread requests, documents and routes.
BOOST_AUTO_TEST_CASE(controlMemoryFitsTarget)
{
    CapacityBenchOptions options;
    options.nodeCounts = { targetNodes };
    options.routeCounts = { targetRoutes };
    options.gossipLength = 1s;
    options.repeats = 1;
    auto members = benchMembership(options);
    auto candidates = benchCandidates(options);
    auto routes = benchRoutes(options);
    double table = valueOf(members, "membership", "table", targetNodes);
    double lists = valueOf(candidates, "candidates", "lists by service", targetNodes);
    double balancers
        = valueOf(candidates, "candidates", "index and state of all workers, 60 s of even requests", targetNodes);
    double documents = valueOf(routes, "documents", "in memory", targetRoutes);
    double routeTable = valueOf(routes, "route table", "per route", targetRoutes) * targetRoutes / 1e6;
    double ledger = valueOf(routes, "ledger", "in memory", targetRoutes);
    double health = valueOf(benchHealth(options), "health", "monitor", upstreamsPerNode) * upstreamsPerNode / 1e6;
    BOOST_TEST_MESSAGE("MB: table " << table << ", lists " << lists << ", balancers " << balancers << ", documents "
                                    << documents << ", routes " << routeTable << ", ledger " << ledger << ", health "
                                    << health);
    BOOST_TEST(table + lists + balancers + documents + routeTable + ledger + health <= controlMegabytes);

    // 22,000 restarts a day change an upstream three times each.
    constexpr double changesPerSecond = 22000.0 * 3 / 86400;
    double change = valueOf(candidates, "candidates", "one change, rebuild and hand over", targetNodes);
    BOOST_TEST(change * changesPerSecond <= controlCoreMicros / 10);
    // Each of the node's upstreams asks twice a second.
    double views = valueOf(candidates, "candidates", "views of one service for an ejection", targetNodes);
    BOOST_TEST(views * 2 * upstreamsPerNode <= controlCoreMicros / 10);
}

// Guards against health summaries that, together with gossip, exceed 3 KB/s of a node.
BOOST_AUTO_TEST_CASE(healthFitsBudgetWithGossip)
{
    CapacityBenchOptions options;
    options.nodeCounts = { targetNodes };
    options.repeats = 1;
    options.gossipLength = 60s;
    auto members = benchMembership(options);
    BOOST_TEST(
        valueOf(members, "membership", "gossip and health sent, restarts", targetNodes) <= controlBytesPerSecond);
    auto health = benchHealth(options);
    for (size_t n : { 1, 5, 15 }) {
        for (std::string_view layout : { "services on the same peers", "services on different peers" }) {
            double sent = valueOf(health, "health", fmt::format("sent with quiet gossip, {}", layout), n);
            BOOST_TEST(sent > 0);
            BOOST_TEST(sent <= controlBytesPerSecond, layout << ", " << n << " upstreams: " << sent);
        }
    }
}

// Guards against group commit that writes once per claim when the store is slow.
BOOST_AUTO_TEST_CASE(claimsShareWrites)
{
    auto rows = benchClaims({ .repeats = 1 });
    // At 500 claims/s of an object and 100 ms per write, 50 claims arrive during a write.
    double shared = valueOf(rows, "claims", "claims per write of 100 ms, at that many claims/s of one object", 500);
    BOOST_TEST(shared >= 25);
    // A full object stays below the store's limit of 1 MB.
    size_t most = ClaimSettings {}.maxClaimsPerBucket;
    BOOST_TEST(valueOf(rows, "claims", "in the store object", most) * static_cast<double>(most) <= 1e6);
}

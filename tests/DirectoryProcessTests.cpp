// Nodes that meet through a directory in the object store (fleet.discovery = "store"), as real processes.
#define BOOST_TEST_MODULE DirectoryProcess
#include "FleetHarness.h"

#include <boost/test/unit_test.hpp>

using namespace Gooseberrymill;
using namespace Gooseberrymill::Testing;

namespace {

// Relay ports stay over a restart, as on instances with fixed addresses.
FleetShape directoryShape()
{
    FleetShape shape;
    shape.fleetSettings = "discovery = \"store\"\n";
    std::vector<uint16_t> ports;
    constexpr size_t maxNodes = 8;
    for (size_t i = 0; i < maxNodes; ++i)
        ports.push_back(freePort(SOCK_STREAM));
    shape.extraSettings
        = [ports](size_t i) { return fmt::format("[listen]\nrelay = \"127.0.0.1:{}\"\n", ports.at(i)); };
    return shape;
}

bool servesReads(Fleet& fleet, size_t node)
{
    return waitUntil([&] { return fleet.call(node, "GET", "/read/a").status == 200; });
}

} // namespace

// Guards against nodes that stay alone, and against callers who notice that the upstream beside their node is gone.
BOOST_AUTO_TEST_CASE(nodesServeEachOthersCallers)
{
    Fleet fleet(directoryShape());
    for (size_t i = 0; i < fleet.size(); ++i)
        BOOST_TEST(servesReads(fleet, i));
    fleet.node(0).upstream->signal(SIGKILL);
    fleet.node(0).upstream->exitCode();
    for (int i = 0; i < 20; ++i)
        BOOST_TEST(fleet.call(0, "GET", "/read/b").status == 200);
}

// Guards against a node that has neither peers nor configuration after a restart, because the store is away.
BOOST_AUTO_TEST_CASE(nodeRestartedInAStoreOutageIsToldByItsPeers)
{
    Fleet fleet(directoryShape());
    fleet.setStoreFaults({ { "down", "refuse" } });
    fleet.node(1).process->signal(SIGTERM);
    BOOST_TEST(fleet.node(1).process->exitCode().value_or(-1) == 0);
    fleet.node(1).upstream.reset();
    fleet.startNode(1);
    BOOST_TEST(servesReads(fleet, 1));
}

// Guards against a node that finds nobody because the restored store has lost the records of the others.
BOOST_AUTO_TEST_CASE(nodeStartedAfterARestorationIsFoundByTheOthers)
{
    Fleet fleet(directoryShape());
    fleet.restoreStore({ { "lostWrites", 1000 } }); // to a copy without any object
    size_t late = fleet.addNode();
    BOOST_TEST(servesReads(fleet, late));
}

// Guards against departed nodes that nodes started later take for live, because the store has their records back.
BOOST_AUTO_TEST_CASE(recordOfANodeThatLeftIsRemovedAgain)
{
    Fleet fleet(directoryShape());
    BOOST_TEST(servesReads(fleet, 2));
    fleet.node(2).process->signal(SIGTERM);
    BOOST_TEST(fleet.node(2).process->exitCode().value_or(-1) == 0);
    BOOST_TEST(waitUntil([&] { return !fleet.storeHas("nodes-r/node-2"); }));
    fleet.restoreStore({ { "lostWrites", 1 } });
    BOOST_TEST(fleet.storeHas("nodes-r/node-2"));
    BOOST_TEST(waitUntil([&] { return !fleet.storeHas("nodes-r/node-2"); }));
}

// Guards against an odd entry of another writer that ends the nodes reading the list, or hides the others from them.
BOOST_AUTO_TEST_CASE(oddEntriesInTheStoreHarmNoNode)
{
    Fleet fleet(directoryShape());
    constexpr size_t depth = 300'000;
    std::string nested = std::string(depth, '[') + std::string(depth, ']');
    std::string odd = R"({"incarnation":"00c79d25-b954-14b2-8b19-7fa8353dd236","startedAt":1,"region":"r",)"
                      R"("dataCentre":"d-0","relay":"127.0.0.1:99999"})";
    for (const char* kind : { "nodes-r", "configuration" }) {
        fleet.writeToStore(fmt::format("{}/0-nested", kind), nested);
        fleet.writeToStore(fmt::format("{}/zz-odd", kind), odd);
    }
    fleet.node(1).process->signal(SIGKILL);
    fleet.node(1).process->exitCode();
    fleet.node(1).upstream.reset();
    fleet.startNode(1);
    size_t late = fleet.addNode();
    for (size_t i : { size_t { 0 }, size_t { 1 }, size_t { 2 }, late })
        BOOST_TEST(servesReads(fleet, i));
    std::string changed
        = shopConfiguration("[[service.route]]\nname = \"late\"\npath = \"/late/*\"\nrepeatable = true\n");
    BOOST_TEST(fleet.apply(changed, "ana").first == 0);
    for (size_t i = 0; i < fleet.size(); ++i) {
        BOOST_TEST(waitUntil([&] { return fleet.call(i, "GET", "/late/a").status == 200; }));
        BOOST_TEST(fleet.node(i).process->isRunning());
    }
}

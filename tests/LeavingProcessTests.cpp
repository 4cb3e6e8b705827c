#define BOOST_TEST_MODULE LeavingProcess
#include "FleetHarness.h"

using namespace Gooseberrymill::Testing;

namespace {

constexpr auto leaveLimit = 3s; // invariant 5
constexpr size_t leaving = 0; // index of the node and upstream that leave

std::vector<size_t> allBut(size_t excluded, size_t size)
{
    std::vector<size_t> list;
    for (size_t i = 0; i < size; ++i) {
        if (i != excluded)
            list.push_back(i);
    }
    return list;
}

// A fleet with a forwarder before each gossip port.
struct ForwardedFleet {
    explicit ForwardedFleet(size_t nodes)
    {
        for (size_t i = 0; i < nodes; ++i) {
            ports.push_back(freePort(SOCK_DGRAM));
            forwarders.push_back(std::make_unique<GossipForwarder>(ports.back()));
        }
        fleet = std::make_unique<Fleet>(FleetShape {
            .nodes = nodes, .extraSettings = [this](size_t i) {
                return fmt::format("[listen]\ngossip = \"127.0.0.1:{}\"\n[advertise]\ngossip = \"127.0.0.1:{}\"\n",
                    ports[i], forwarders[i]->port());
            } });
    }

    void cut(size_t from, size_t to)
    {
        forwarders[to]->cutFrom(ports[from]);
        forwarders[from]->cutTo(ports[to]);
    }

    std::vector<uint16_t> ports;
    std::vector<std::unique_ptr<GossipForwarder>> forwarders;
    std::unique_ptr<Fleet> fleet;
};

// Runs `leave` under load from `entries`. No request may reach the leaving upstream later than the limit.
Load::Result checkLeaves(Fleet& fleet, const std::vector<size_t>& entries, const std::function<void()>& leave)
{
    Load load(fleet, entries);
    BOOST_TEST(waitUntil([&] { return fleet.total(leaving) >= 20; }), "no load on the leaving upstream");
    leave();
    std::this_thread::sleep_until(Clock::now() + leaveLimit); // the stated bound itself
    size_t reached = fleet.total(leaving);
    size_t failures = load.now().failures.size();
    BOOST_TEST(load.waitForMore(300), "the other upstreams get no load");
    BOOST_TEST(fleet.total(leaving) == reached);
    Load::Result result = load.stop();
    BOOST_TEST(result.failures.size() == failures, "failures after the upstream left: " << result.failures.back());
    BOOST_TEST_MESSAGE(
        fmt::format("complete {}, not run {}, failures {}", result.complete, result.notRun, result.failures.size()));
    return result;
}

void checkNoFailures(const Load::Result& result)
{
    BOOST_TEST(result.failures.empty(), result.failures.size() << " failures, first: " << result.failures.front());
}

} // namespace

// Guards against entries that go on sending to an upstream that announced `draining`.
BOOST_AUTO_TEST_CASE(drainingUpstreamGetsNoNewRequests)
{
    Fleet fleet({ .nodes = 4 });
    checkNoFailures(checkLeaves(fleet, { 0, 1, 2, 3 }, [&] { fleet.setUpstreamState(leaving, "draining"); }));
}

// Guards against entries that go on sending to the upstream of a node that shuts down.
BOOST_AUTO_TEST_CASE(upstreamOfATerminatedNodeGetsNoNewRequests)
{
    Fleet fleet({ .nodes = 4 });
    checkNoFailures(checkLeaves(fleet, allBut(leaving, 4), [&] { fleet.node(leaving).process->signal(SIGTERM); }));
    BOOST_TEST(fleet.node(leaving).process->exitCode().value_or(-1) == 0);
}

// Guards against requests that wait for a killed node, or that fail after its upstream has gone.
BOOST_AUTO_TEST_CASE(upstreamOfAKilledNodeGetsNoNewRequests)
{
    Fleet fleet({ .nodes = 4 });
    checkLeaves(fleet, allBut(leaving, 4), [&] { fleet.node(leaving).process->signal(SIGKILL); });
}

// Guards against nodes that miss `draining` because they do not hear the node beside the upstream.
BOOST_AUTO_TEST_CASE(drainingUpstreamGetsNoNewRequestsWhenGossipIsCutOneWay)
{
    ForwardedFleet forwarded(4);
    Fleet& fleet = *forwarded.fleet;
    checkNoFailures(checkLeaves(fleet, { 0, 1, 2, 3 }, [&] {
        forwarded.cut(leaving, 1);
        forwarded.cut(leaving, 2);
        fleet.setUpstreamState(leaving, "draining");
    }));
    BOOST_TEST(forwarded.forwarders[1]->dropped() + forwarded.forwarders[leaving]->dropped() > 0U);
}

// Guards against nodes that miss `left` because they do not hear the node that shuts down.
BOOST_AUTO_TEST_CASE(upstreamOfATerminatedNodeGetsNoNewRequestsWhenGossipIsCutOneWay)
{
    ForwardedFleet forwarded(4);
    Fleet& fleet = *forwarded.fleet;
    checkNoFailures(checkLeaves(fleet, allBut(leaving, 4), [&] {
        forwarded.cut(leaving, 1);
        forwarded.cut(leaving, 2);
        fleet.node(leaving).process->signal(SIGTERM);
    }));
    BOOST_TEST(fleet.node(leaving).process->exitCode().value_or(-1) == 0);
}

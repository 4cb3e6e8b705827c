// Several nodes with their upstreams in one process, on free loopback ports.
#pragma once

#include "HttpCaller.h"
#include "node/Log.h"
#include "node/Node.h"
#include "UpstreamStandIn.h"

#include <future>

namespace Gooseberrymill::Testing {

// A service "shop": "/read/*" may be repeated, "/order/*" may not.
inline std::shared_ptr<const RouteTable> shopRoutes(Duration deadline = 30s)
{
    auto document = std::make_shared<Configuration>();
    Service service;
    service.name = "shop";
    service.slots = 64; // the announced slots apply, which are fewer
    constexpr uint64_t largeBody = 128 << 20;
    Route read { .name = "read",
        .methods = {},
        .path = "/read/*",
        .repeatable = true,
        .internal = false,
        .workClass = WorkClass::Interactive,
        .deadline = deadline,
        .maxBodyBytes = largeBody,
        .check = {} };
    Route order = read;
    order.name = "order";
    order.path = "/order/*";
    order.repeatable = false;
    order.workClass = WorkClass::Critical;
    Route hidden = read;
    hidden.name = "hidden";
    hidden.path = "/hidden/*";
    hidden.internal = true;
    Route small = read;
    small.name = "small";
    small.path = "/small/*";
    small.maxBodyBytes = 1000;
    service.routes = { read, order, hidden, small };
    document->version = 1;
    document->services = { service };
    return std::make_shared<RouteTable>(std::vector<std::shared_ptr<const Configuration>> { document });
}

// One node with one upstream beside it.
struct TestNode {
    std::unique_ptr<UpstreamStandIn> upstream;
    std::unique_ptr<Node> node;
    UpstreamEndpoint endpoint;
};

struct FleetOptions {
    size_t nodes = 1;
    uint32_t slots = 16;
    uint32_t workers = 2;
    Duration deadline = 30s;
    ExecutorHooks executorHooks {};
    std::function<ExecutorHooks(size_t node)> makeExecutorHooks {}; // in place of executorHooks
    EntryHooks entryHooks {};
    std::function<void(Settings&)> adjust {};
};

class TestFleet {
public:
    explicit TestFleet(const FleetOptions& options = {})
    {
        disableGlibHelpers();
        setLogLevel(LogLevel::Error);
        for (size_t i = 0; i < options.nodes; ++i)
            addNode(options, i);
        announce();
    }

    ~TestFleet()
    {
        for (TestNode& member : m_members)
            member.node.reset(); // nodes first: they hold connections to all upstreams
    }

    TestNode& operator[](size_t i) { return m_members[i]; }
    uint16_t port(size_t i = 0) { return m_members[i].node->callerPort(); }
    UpstreamStandIn& upstream(size_t i = 0) { return *m_members[i].upstream; }

    void setState(size_t i, UpstreamState state)
    {
        m_members[i].endpoint.state = state;
        m_members[i].node->setUpstream(m_members[i].endpoint);
    }

    // Replaces the process of a node; it keeps its relay address.
    void restartNode(size_t i)
    {
        TestNode& member = m_members[i];
        Settings settings = member.node->settings();
        std::string address = member.node->relayAddress();
        settings.relayListen.port = static_cast<uint16_t>(std::stoi(address.substr(address.rfind(':') + 1)));
        member.node.reset();
        member.node = std::make_unique<Node>(settings);
        auto error = member.node->start();
        g_assert(!error);
        member.node->setRoutes(shopRoutes());
        member.node->setUpstream(member.endpoint);
        member.node->setCandidates(m_candidates);
    }

    // Sets the candidates of every node from the upstreams of all.
    void announce()
    {
        auto candidates = std::make_shared<CandidateList>();
        for (TestNode& member : m_members)
            candidates->push_back(
                { member.endpoint.name, "shop", member.node->settings().nodeName, member.node->relayAddress(),
                    member.node->incarnation(), {}, member.endpoint.slots, UpstreamState::Ready, 1 });
        m_candidates = candidates;
        for (TestNode& member : m_members)
            member.node->setCandidates(candidates);
    }

    static std::shared_ptr<const RouteTable> routes() { return shopRoutes(30s); }
    void setExecutorRoutes(const std::shared_ptr<const RouteTable>& routes, size_t i = 0)
    {
        m_members[i].node->setExecutorRoutes(routes);
    }

    CandidateList candidates() const { return *m_candidates; }
    void setCandidates(CandidateList candidates)
    {
        m_candidates = std::make_shared<const CandidateList>(std::move(candidates));
        for (TestNode& member : m_members)
            member.node->setCandidates(m_candidates);
    }

private:
    void addNode(const FleetOptions& options, size_t i)
    {
        TestNode& member = m_members.emplace_back();
        Settings settings;
        settings.nodeName = fmt::format("node-{}", i);
        settings.workers = options.workers;
        settings.fleetKey = "a key for tests only";
        settings.drainGracePeriod = 50ms;
        if (options.adjust)
            options.adjust(settings);
        member.upstream = std::make_unique<UpstreamStandIn>();
        member.node = std::make_unique<Node>(settings,
            options.makeExecutorHooks ? options.makeExecutorHooks(i) : options.executorHooks,
            [hooks = options.entryHooks] { return hooks; });
        auto error = member.node->start();
        g_assert(!error);
        member.endpoint
            = { fmt::format("shop-{}", i), "shop", member.upstream->address(), options.slots, UpstreamState::Ready };
        member.node->setRoutes(shopRoutes(options.deadline));
        member.node->setUpstream(member.endpoint);
    }

    std::deque<TestNode> m_members;
    std::shared_ptr<const CandidateList> m_candidates;
};

} // namespace Gooseberrymill::Testing

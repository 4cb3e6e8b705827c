#define BOOST_TEST_MODULE Ejection
#include "Gooseberrymill.h"
#include "RosterJson.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <fmt/format.h>
#include <random>
#include <rapidcheck/boost_test.h>

using namespace Gooseberrymill;

namespace {

constexpr Instant start { 1000s };
constexpr Duration maxAge = 3s; // oldest confirmation that counts

std::string nameOf(size_t i) { return std::string(1, static_cast<char>('a' + i)); }

// Operations that a schedule consists of.
enum class Operation : uint8_t {
    WantEjection,
    Recover,
    ViewAll, // the node learns the current state of all other nodes
    ViewOne, // the node learns the current state of one other node
    StoreEffect, // the store executes the oldest call of the node
    Deliver, // the node receives the oldest reply
    Unavailable, // the oldest call fails without effect
    AnswerLost, // the oldest call takes effect and its reply is lost
    Delayed, // the oldest call times out at the node and may take effect later
    LateEffect, // the oldest timed-out call takes effect
    LateDrop, // the oldest timed-out call never arrives
    Tick,
    Wait, // time passes without any event, as when all processes are paused
    ProbationOver,
    Restart, // the process crashes and a new incarnation starts
    Crash, // the process and its upstream stay down
    Drain,
    Cold, // the upstream process restarts beside the same node
    Ready,
};
constexpr size_t operationCount = 19;

struct Step {
    Operation operation = Operation::Tick;
    uint8_t node = 0;
    uint8_t argument = 0;
};

struct StoreCall {
    EjectionAction action;
    size_t node = 0;
    Id128 incarnation;
    std::vector<UpstreamView> views; // view of the caller at the time of the call
    Instant viewsAt;
    Instant sentAt;
};

// One node beside one upstream.
template <EjectionControl T> struct Node {
    explicit Node(T it)
        : controller(std::move(it))
    {
    }
    T controller;
    Id128 incarnation;
    UpstreamState upstreamState = UpstreamState::Cold; // state of the upstream apart from ejection
    bool refuses = false; // the ejection is in effect
    bool isUnhealthy = false;
    double severity = 0;
    std::vector<UpstreamView> views;
    Instant viewsAt = start;
    std::deque<StoreCall> calls; // calls not yet executed by the store
    std::deque<StoreReply> replies; // replies not yet delivered
};

// Several executors with the real decision code, a fake store and stale views.
template <EjectionControl T> class Fleet {
public:
    Fleet(std::vector<uint32_t> slots, uint32_t floorSlots)
        : m_slots(std::move(slots))
        , m_floor(floorSlots)
    {
        for (size_t i = 0; i < m_slots.size(); ++i)
            m_nodes.push_back(makeNode(i));
    }

    // All upstreams become ready and register; every view is complete.
    void startAll()
    {
        for (size_t i = 0; i < m_nodes.size(); ++i)
            run({ Operation::Ready, static_cast<uint8_t>(i), 0 });
        settle(5);
    }

    // Simulates a period without faults: calls are answered, views are complete, time passes.
    void settle(int seconds)
    {
        for (int round = 0; round < seconds * 2; ++round) {
            m_now += 500ms;
            m_lateCalls.clear();
            for (size_t i = 0; i < m_nodes.size(); ++i) {
                auto node = static_cast<uint8_t>(i);
                run({ Operation::ViewAll, node, 0 });
                run({ Operation::Tick, node, 0 });
                while (!m_nodes[i].calls.empty() || !m_nodes[i].replies.empty()) {
                    run({ Operation::StoreEffect, node, 0 });
                    run({ Operation::Deliver, node, 0 });
                }
            }
        }
    }

    // Moves a store step to the next node with an outstanding call or reply, so that schedules make progress.
    Step retargeted(Step step) const
    {
        bool isReply = step.operation == Operation::Deliver;
        bool isCall = step.operation >= Operation::StoreEffect && step.operation <= Operation::Delayed;
        for (size_t n = 0; (isReply || isCall) && n < m_nodes.size(); ++n) {
            size_t i = (step.node + n) % m_nodes.size();
            if (isReply ? m_nodes[i].replies.empty() : m_nodes[i].calls.empty())
                continue;
            step.node = static_cast<uint8_t>(i);
            break;
        }
        return step;
    }

    // Returns false when the step has nothing to do.
    bool run(const Step& step)
    {
        size_t i = step.node % m_nodes.size();
        Node<T>& node = m_nodes[i];
        if (step.operation == Operation::Wait) {
            m_now += step.argument * 50ms;
            return step.argument != 0;
        }
        if (step.operation == Operation::LateEffect || step.operation == Operation::LateDrop)
            return completeLateCall(step.operation == Operation::LateEffect);
        bool isDown = node.upstreamState == UpstreamState::Gone;
        if (isDown && step.operation != Operation::Restart && step.operation != Operation::StoreEffect)
            return false;
        bool done = onStore(node, i, step) || onUpstream(node, i, step) || onNode(node, i, step);
        check();
        return done;
    }

    // Slots of the upstreams that are not ejected. Crashed, cold and draining ones count, because ejection did not
    // remove them.
    uint32_t notEjectedSlots() const
    {
        uint32_t sum = 0;
        for (size_t i = 0; i < m_nodes.size(); ++i)
            sum += m_nodes[i].refuses ? 0 : m_slots[i];
        return sum;
    }

    uint32_t servingSlots() const
    {
        uint32_t sum = 0;
        for (size_t i = 0; i < m_nodes.size(); ++i) {
            if (m_nodes[i].upstreamState == UpstreamState::Ready && !m_nodes[i].refuses)
                sum += m_slots[i];
        }
        return sum;
    }

    size_t ejectedCount() const
    {
        return static_cast<size_t>(std::ranges::count_if(m_nodes, [](const Node<T>& it) { return it.refuses; }));
    }

    uint64_t ejections() const { return m_ejections; }
    const std::string& violation() const { return m_violation; }
    const ServiceRoster& roster() const { return m_roster; }
    std::vector<Node<T>>& nodes() { return m_nodes; }
    Instant now() const { return m_now; }

private:
    Node<T> makeNode(size_t i)
    {
        EjectionSettings settings;
        settings.service = "katalog";
        settings.upstream = nameOf(i);
        settings.executor = { ++m_incarnations, i };
        settings.slots = m_slots[i];
        settings.floorSlots = m_floor;
        settings.maxConfirmationAge = maxAge;
        settings.seed = m_incarnations;
        Node<T> node { T(settings) };
        node.incarnation = settings.executor;
        return node;
    }

    void fail(std::string what)
    {
        if (m_violation.empty())
            m_violation = std::move(what);
    }

    void feed(Node<T>& node, size_t i, const EjectionEvent& event)
    {
        for (EjectionAction& it : node.controller.handle(event, m_now)) {
            if (std::holds_alternative<ApplyEjection>(it)) {
                node.refuses = true;
                ++m_ejections;
            } else if (std::holds_alternative<Readmit>(it)) {
                node.refuses = false;
            } else {
                node.calls.push_back({ it, i, node.incarnation, node.views, node.viewsAt, m_now });
            }
        }
        if (node.refuses != node.controller.isEjected())
            fail("actions and state of the controller differ");
    }

    static uint64_t numberOf(const EjectionAction& action)
    {
        if (const auto* it = std::get_if<ReadRoster>(&action))
            return it->call;
        return std::get<WriteRoster>(action).call;
    }

    // Checks the floor at the time of the conditional write, independently of the code under test.
    void checkWrite(const StoreCall& call, const WriteRoster& write)
    {
        const std::string name = nameOf(call.node);
        auto entryOf = [&](const ServiceRoster& roster, const std::string& upstream) {
            auto it = std::ranges::find(roster.entries, upstream, &RosterEntry::upstream);
            return it == roster.entries.end() ? RosterEntry {} : *it;
        };
        for (const RosterEntry& it : m_roster.entries) {
            if (it.upstream != name && !(entryOf(write.roster, it.upstream) == it))
                fail("a write changed the entry of another upstream");
        }
        RosterEntry own = entryOf(write.roster, name);
        if (own.state != UpstreamState::Ejected)
            return;
        uint32_t others = 0;
        for (const RosterEntry& it : m_roster.entries) {
            for (const UpstreamView& view : call.views) {
                bool eligible = it.upstream != name && it.state == UpstreamState::Ready && view.upstream == it.upstream
                    && view.executor == it.executor && view.state == UpstreamState::Ready
                    && view.age + (call.sentAt - call.viewsAt) <= maxAge;
                others += eligible ? it.slots : 0;
            }
        }
        if (others < m_floor)
            fail(fmt::format("ejection of {} written with {} other slots", name, others));
    }

    StoreReply effect(const StoreCall& call)
    {
        StoreReply reply;
        reply.call = numberOf(call.action);
        const auto* write = std::get_if<WriteRoster>(&call.action);
        if (!write) {
            reply.error = m_roster.version ? ErrorCode::Ok : ErrorCode::NotFound;
            reply.roster = m_roster;
            return reply;
        }
        if (write->ifVersion != m_roster.version) {
            reply.error = ErrorCode::Conflict;
            return reply;
        }
        checkWrite(call, *write);
        m_roster = write->roster;
        m_roster.version = write->ifVersion + 1;
        reply.version = m_roster.version;
        return reply;
    }

    bool completeLateCall(bool takesEffect)
    {
        if (m_lateCalls.empty())
            return false;
        if (takesEffect)
            effect(m_lateCalls.front());
        m_lateCalls.pop_front();
        check();
        return true;
    }

    bool onStore(Node<T>& node, size_t i, const Step& step)
    {
        if (step.operation == Operation::Deliver) {
            if (node.replies.empty())
                return false;
            StoreReply reply = node.replies.front();
            node.replies.pop_front();
            feed(node, i, reply);
            return true;
        }
        bool isCall = step.operation == Operation::StoreEffect || step.operation == Operation::Unavailable
            || step.operation == Operation::AnswerLost || step.operation == Operation::Delayed;
        if (!isCall || node.calls.empty())
            return false;
        StoreCall call = node.calls.front();
        node.calls.pop_front();
        StoreReply lost { numberOf(call.action), ErrorCode::AnswerLost, {}, 0 };
        if (step.operation == Operation::StoreEffect) {
            node.replies.push_back(effect(call));
        } else if (step.operation == Operation::Unavailable) {
            lost.error = ErrorCode::Unavailable;
            node.replies.push_back(lost);
        } else {
            if (step.operation == Operation::AnswerLost)
                effect(call);
            else
                m_lateCalls.push_back(call);
            node.replies.push_back(lost);
        }
        return true;
    }

    bool onUpstream(Node<T>& node, size_t i, const Step& step)
    {
        switch (step.operation) {
        case Operation::Ready:
            if (node.upstreamState != UpstreamState::Cold)
                return false;
            node.upstreamState = UpstreamState::Ready;
            feed(node, i, UpstreamReady {});
            return true;
        case Operation::Cold:
            if (node.upstreamState != UpstreamState::Ready)
                return false;
            node.upstreamState = UpstreamState::Cold;
            node.isUnhealthy = false;
            feed(node, i, UpstreamCold {});
            return true;
        case Operation::Drain:
            if (node.upstreamState != UpstreamState::Ready)
                return false;
            node.upstreamState = UpstreamState::Draining;
            feed(node, i, UpstreamDraining {});
            return true;
        case Operation::Crash:
        case Operation::Restart: {
            // Calls in flight may still arrive at the store.
            for (StoreCall& it : node.calls)
                m_lateCalls.push_back(std::move(it));
            node = makeNode(i);
            if (step.operation == Operation::Crash)
                node.upstreamState = UpstreamState::Gone;
            return true;
        }
        default:
            return false;
        }
    }

    UpstreamView viewOf(size_t i) const
    {
        const Node<T>& node = m_nodes[i];
        UpstreamView view { nameOf(i), node.incarnation, m_slots[i], node.upstreamState, node.severity, 0s };
        if (node.refuses)
            view.state = UpstreamState::Ejected;
        return view;
    }

    void updateView(Node<T>& node, size_t i, size_t other)
    {
        if (i == other || m_nodes[other].upstreamState == UpstreamState::Gone)
            return;
        auto it = std::ranges::find(node.views, nameOf(other), &UpstreamView::upstream);
        if (it == node.views.end())
            node.views.push_back(viewOf(other));
        else
            *it = viewOf(other);
    }

    bool onNode(Node<T>& node, size_t i, const Step& step)
    {
        switch (step.operation) {
        case Operation::WantEjection:
            node.isUnhealthy = true;
            node.severity = step.argument;
            feed(node, i, VerdictChanged { true, node.severity });
            return true;
        case Operation::Recover:
            node.isUnhealthy = false;
            feed(node, i, VerdictChanged { false, 0 });
            return true;
        case Operation::ViewAll:
        case Operation::ViewOne:
            for (UpstreamView& it : node.views)
                it.age += m_now - node.viewsAt;
            node.viewsAt = m_now;
            for (size_t other = 0; other < m_nodes.size(); ++other) {
                if (step.operation == Operation::ViewAll || other == step.argument % m_nodes.size())
                    updateView(node, i, other);
            }
            feed(node, i, ViewChanged { node.views });
            return true;
        case Operation::Tick:
            m_now += step.argument * 10ms;
            feed(node, i, Tick {});
            return true;
        case Operation::ProbationOver:
            if (!node.refuses)
                return false;
            feed(node, i, ProbationOver {});
            return true;
        default:
            return false;
        }
    }

    void check()
    {
        if (notEjectedSlots() < m_floor && ejectedCount() > 0)
            fail(fmt::format("ejections leave {} slots, floor {}", notEjectedSlots(), m_floor));
        if constexpr (std::is_same_v<T, EjectionController>) {
            for (size_t i = 0; i < m_nodes.size(); ++i) {
                if (m_nodes[i].refuses && !isRecorded(i))
                    fail(fmt::format("{} refuses requests without a record", nameOf(i)));
            }
        }
    }

    bool isRecorded(size_t i) const
    {
        return std::ranges::any_of(m_roster.entries, [&](const RosterEntry& it) {
            return it.upstream == nameOf(i) && it.executor == m_nodes[i].incarnation
                && it.state == UpstreamState::Ejected;
        });
    }

    std::vector<uint32_t> m_slots;
    uint32_t m_floor;
    std::vector<Node<T>> m_nodes;
    ServiceRoster m_roster;
    std::deque<StoreCall> m_lateCalls; // calls that timed out at their callers
    uint64_t m_incarnations = 0;
    uint64_t m_ejections = 0;
    Instant m_now = start;
    std::string m_violation;
};

// A generated fleet and schedule.
struct Scenario {
    std::vector<uint32_t> slots;
    uint32_t floorSlots = 0;
    std::vector<Step> steps;
};

// Picks operations that lead to ejections more often than faults, so that most schedules eject.
Operation pickOperation(std::mt19937& random)
{
    constexpr std::array<int, operationCount> weights { 10, 1, 8, 4, 14, 14, 2, 3, 3, 3, 1, 8, 1, 2, 1, 1, 1, 1, 3 };
    static_assert(weights.size() == operationCount);
    std::discrete_distribution<int> pick(weights.begin(), weights.end());
    return static_cast<Operation>(pick(random));
}

Scenario makeScenario(uint32_t seed)
{
    std::mt19937 random(seed);
    auto upTo = [&](uint32_t n) { return std::uniform_int_distribution<uint32_t>(0, n)(random); };
    Scenario scenario;
    uint32_t sum = 0;
    for (uint32_t i = 0, n = 2 + upTo(3); i < n; ++i)
        sum += scenario.slots.emplace_back(1 + upTo(3));
    scenario.floorSlots = upTo(sum - 1);
    for (uint32_t i = 0, n = 20 + upTo(130); i < n; ++i)
        scenario.steps.push_back(
            { pickOperation(random), static_cast<uint8_t>(upTo(255)), static_cast<uint8_t>(upTo(60)) });
    return scenario;
}

struct RunResult {
    std::string violation;
    uint64_t ejections = 0;
    bool recovered = true;
};

template <EjectionControl T> RunResult runScenario(const Scenario& scenario)
{
    Fleet<T> fleet(scenario.slots, scenario.floorSlots);
    fleet.startAll();
    for (const Step& step : scenario.steps)
        fleet.run(fleet.retargeted(step));
    RunResult result;
    result.ejections = fleet.ejections();
    fleet.settle(60);
    result.violation = fleet.violation();
    result.recovered = fleet.servingSlots() >= scenario.floorSlots || fleet.ejectedCount() == 0;
    return result;
}

template <EjectionControl T> Fleet<T> readyFleet(std::vector<uint32_t> slots, uint32_t floorSlots)
{
    Fleet<T> fleet(std::move(slots), floorSlots);
    fleet.startAll();
    return fleet;
}

using RealFleet = Fleet<EjectionController>;

constexpr uint8_t nodeA = 0;
constexpr uint8_t nodeB = 1;

// Executes the node's calls and delivers the replies.
void complete(RealFleet& fleet, uint8_t node)
{
    while (fleet.run({ Operation::StoreEffect, node, 0 }) || fleet.run({ Operation::Deliver, node, 0 })) { }
}

void eject(RealFleet& fleet, uint8_t node, uint8_t severity)
{
    fleet.run({ Operation::ViewAll, node, 0 });
    fleet.run({ Operation::WantEjection, node, severity });
    complete(fleet, node);
}

// Runs an ejection up to its write, which the store has not yet executed.
void sendEjection(RealFleet& fleet, uint8_t node)
{
    fleet.run({ Operation::ViewAll, node, 0 });
    fleet.run({ Operation::WantEjection, node, 1 });
    fleet.run({ Operation::StoreEffect, node, 0 });
    fleet.run({ Operation::Deliver, node, 0 });
}

bool refuses(RealFleet& fleet, uint8_t node) { return fleet.nodes()[node].refuses; }

UpstreamState recordedState(const RealFleet& fleet, size_t node)
{
    const RosterEntry* entry = findEntry(fleet.roster(), nameOf(node));
    return entry ? entry->state : UpstreamState::Gone;
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Generated schedules
//-----------------------------------------------------------------------------

// Guards against an interleaving of ejections, store faults, pauses, crashes, drains and restarts in which ejections
// take a service below its floor, or in which ejections remain while the service is below its floor.
BOOST_AUTO_TEST_CASE(schedulesKeepFloor)
{
    uint64_t ejections = 0;
    uint64_t withEjection = 0;
    bool passed = rc::check("floor holds", [&] {
        auto seed = *rc::gen::arbitrary<uint32_t>();
        for (uint32_t i = 0; i < 100; ++i) {
            RunResult result = runScenario<EjectionController>(makeScenario(seed + i));
            ejections += result.ejections;
            withEjection += result.ejections ? 1 : 0;
            if (!result.violation.empty())
                RC_FAIL(fmt::format("seed {}: {}", seed + i, result.violation));
            if (!result.recovered)
                RC_FAIL(fmt::format("seed {}: below the floor while something is ejected", seed + i));
        }
    });
    fmt::print("schedules: 10000 run, {} with ejections, {} ejections in effect\n", withEjection, ejections);
    BOOST_TEST(passed);
    BOOST_TEST(withEjection > 2000U);
}

// Guards against a test harness that cannot fail: the controller without the store must violate the floor in it.
BOOST_AUTO_TEST_CASE(naiveControllerBreaksFloor)
{
    uint64_t broken = 0;
    for (uint32_t seed = 1; seed <= 2000; ++seed)
        broken += runScenario<NaiveEjectionController>(makeScenario(seed)).violation.empty() ? 0 : 1;
    fmt::print("naive controller: floor broken in {} of 2000 schedules, seeds 1-2000\n", broken);
    BOOST_TEST(broken > 0U);
}

//-----------------------------------------------------------------------------
// [SECTION] Exhaustive exploration
//-----------------------------------------------------------------------------

namespace {

struct Exploration {
    uint64_t states = 0;
    uint64_t ejections = 0; // number of paths that end with an ejection in effect
    std::string violation;
};

template <EjectionControl T> void explore(const Fleet<T>& fleet, int depth, int ticks, Exploration& result)
{
    ++result.states;
    if (!fleet.violation().empty()) {
        result.violation = fleet.violation();
        return;
    }
    if (depth == 0) {
        result.ejections += fleet.ejectedCount() ? 1 : 0;
        return;
    }
    constexpr std::array<Operation, 7> operations { Operation::StoreEffect, Operation::Deliver, Operation::AnswerLost,
        Operation::Delayed, Operation::LateEffect, Operation::Tick, Operation::ProbationOver };
    for (Operation operation : operations) {
        for (uint8_t node = 0; node < 2; ++node) {
            if (operation == Operation::LateEffect && node)
                continue; // does not depend on the node
            bool isTick = operation == Operation::Tick;
            if (isTick && !ticks)
                continue;
            Fleet<T> next = fleet;
            // A tick takes 1 s: more than the first backoff, half the validity of an ejection.
            if (next.run({ operation, node, 100 }))
                explore(next, depth - 1, ticks - (isTick ? 1 : 0), result);
            if (!result.violation.empty())
                return;
        }
    }
}

template <EjectionControl T> Exploration exploreAll(int depth)
{
    Fleet<T> fleet = readyFleet<T>({ 1, 1, 1 }, 2);
    Exploration result;
    // Both executors have complete views before either decides.
    for (uint8_t node : { nodeA, nodeB })
        fleet.run({ Operation::ViewAll, node, 0 });
    for (uint8_t node : { nodeA, nodeB })
        fleet.run({ Operation::WantEjection, node, 1 });
    constexpr int maxTicks = 2;
    explore(fleet, depth, maxTicks, result);
    return result;
}

} // namespace

// Guards against an order of effects, replies, losses and delays of two concurrent ejections that the random
// schedules miss. All orders up to the depth are explored.
BOOST_AUTO_TEST_CASE(exhaustiveWalkKeepsFloor)
{
#ifdef __SANITIZE_ADDRESS__
    constexpr int depth = 8; // keeps the sanitizer run within the time limit of a test
#else
    constexpr int depth = 9;
#endif
    Exploration result = exploreAll<EjectionController>(depth);
    fmt::print("walk: depth {}, {} states, {} paths end with an ejection\n", depth, result.states, result.ejections);
    BOOST_TEST(result.violation == "");
    BOOST_TEST(result.ejections > 0U);
    BOOST_TEST(exploreAll<NaiveEjectionController>(2).violation != "");
}

//-----------------------------------------------------------------------------
// [SECTION] Single situations
//-----------------------------------------------------------------------------

// Guards against an ejection that is never granted, or that takes effect without being recorded.
BOOST_AUTO_TEST_CASE(ejectsAboveFloorAndReadmitsAfterProbation)
{
    RealFleet fleet = readyFleet<EjectionController>({ 1, 1, 1 }, 2);
    eject(fleet, nodeA, 3);
    BOOST_TEST(refuses(fleet, nodeA));
    BOOST_TEST((recordedState(fleet, nodeA) == UpstreamState::Ejected));
    BOOST_TEST(findEntry(fleet.roster(), "a")->severity == 3);
    fleet.run({ Operation::ProbationOver, nodeA, 0 });
    BOOST_TEST(!refuses(fleet, nodeA));
    complete(fleet, nodeA);
    BOOST_TEST((recordedState(fleet, nodeA) == UpstreamState::Ready));
}

// Guards against two executors with the same view both ejecting.
BOOST_AUTO_TEST_CASE(loserOfConflictIsRefused)
{
    RealFleet fleet = readyFleet<EjectionController>({ 1, 1, 1 }, 2);
    for (uint8_t node : { nodeA, nodeB }) {
        fleet.run({ Operation::ViewAll, node, 0 });
        fleet.run({ Operation::WantEjection, node, 1 });
    }
    complete(fleet, nodeA);
    complete(fleet, nodeB);
    fleet.run({ Operation::Tick, nodeB, 100 });
    complete(fleet, nodeB);
    fleet.settle(10);
    BOOST_TEST(fleet.ejectedCount() == 1U);
}

// Guards against a recorded ejection that is never applied because the reply to its write was lost.
BOOST_AUTO_TEST_CASE(lostReplyIsReadBack)
{
    RealFleet fleet = readyFleet<EjectionController>({ 1, 1, 1 }, 2);
    sendEjection(fleet, nodeA);
    fleet.run({ Operation::AnswerLost, nodeA, 0 });
    fleet.run({ Operation::Deliver, nodeA, 0 });
    BOOST_TEST(!refuses(fleet, nodeA));
    BOOST_TEST((recordedState(fleet, nodeA) == UpstreamState::Ejected));
    fleet.run({ Operation::Tick, nodeA, 100 });
    complete(fleet, nodeA);
    BOOST_TEST(refuses(fleet, nodeA));
}

// Guards against an executor applying an ejection after a pause, when the floor may no longer hold.
BOOST_AUTO_TEST_CASE(pausedExecutorWithdrawsGrant)
{
    RealFleet fleet = readyFleet<EjectionController>({ 1, 1, 1 }, 2);
    sendEjection(fleet, nodeA);
    fleet.run({ Operation::StoreEffect, nodeA, 0 });
    fleet.run({ Operation::Wait, nodeA, 41 });
    fleet.run({ Operation::Deliver, nodeA, 0 });
    BOOST_TEST(!refuses(fleet, nodeA));
    fleet.run({ Operation::Recover, nodeA, 0 });
    complete(fleet, nodeA);
    BOOST_TEST((recordedState(fleet, nodeA) == UpstreamState::Ready));
}

// Guards against a slow store receiving an endless sequence of ejections that are written and withdrawn.
BOOST_AUTO_TEST_CASE(withdrawnGrantDelaysNextProposal)
{
    RealFleet fleet = readyFleet<EjectionController>({ 1, 1, 1 }, 2);
    sendEjection(fleet, nodeA);
    fleet.run({ Operation::StoreEffect, nodeA, 0 });
    fleet.run({ Operation::Wait, nodeA, 41 });
    fleet.run({ Operation::Deliver, nodeA, 0 });
    complete(fleet, nodeA);
    BOOST_TEST((recordedState(fleet, nodeA) == UpstreamState::Ready));
    uint64_t version = fleet.roster().version;
    fleet.run({ Operation::ViewAll, nodeA, 0 });
    complete(fleet, nodeA);
    BOOST_TEST(fleet.roster().version == version);
    fleet.settle(6);
    BOOST_TEST(refuses(fleet, nodeA));
}

// Guards against an ejection during an outage of the store.
BOOST_AUTO_TEST_CASE(storeOutageAllowsNoEjection)
{
    RealFleet fleet = readyFleet<EjectionController>({ 1, 1, 1 }, 2);
    for (int i = 0; i < 100; ++i) {
        fleet.run({ Operation::ViewAll, nodeA, 0 });
        fleet.run({ Operation::WantEjection, nodeA, 1 });
        fleet.run({ Operation::Unavailable, nodeA, 0 });
        fleet.run({ Operation::Deliver, nodeA, 0 });
        fleet.run({ Operation::Tick, nodeA, 100 });
        BOOST_REQUIRE(!refuses(fleet, nodeA));
    }
}

// Guards against readmission waiting for the store, and against the most severe upstream returning first.
BOOST_AUTO_TEST_CASE(leastSevereReturnsFirstAfterCrash)
{
    RealFleet fleet = readyFleet<EjectionController>({ 1, 1, 1, 1 }, 2);
    eject(fleet, nodeA, 9);
    eject(fleet, nodeB, 1);
    BOOST_REQUIRE(fleet.ejectedCount() == 2U);
    fleet.run({ Operation::Crash, 2, 0 });
    fleet.run({ Operation::Wait, 0, 61 });
    fleet.run({ Operation::ViewAll, nodeA, 0 });
    fleet.run({ Operation::ViewAll, nodeB, 0 });
    BOOST_TEST(refuses(fleet, nodeA));
    BOOST_TEST(!refuses(fleet, nodeB));
}

// Guards against a service staying below its floor because the executor that should readmit first does not act.
BOOST_AUTO_TEST_CASE(nextExecutorReadmitsWhenFirstIsSilent)
{
    RealFleet fleet = readyFleet<EjectionController>({ 1, 1, 1, 1 }, 2);
    eject(fleet, nodeA, 9);
    eject(fleet, nodeB, 1);
    fleet.run({ Operation::Crash, 2, 0 });
    fleet.run({ Operation::Wait, 0, 61 });
    for (int i = 0; i < 3; ++i) {
        fleet.run({ Operation::ViewAll, nodeA, 0 });
        fleet.run({ Operation::Wait, 0, 20 });
    }
    fleet.run({ Operation::Tick, nodeA, 0 });
    BOOST_TEST(!refuses(fleet, nodeA));
}

// Guards against a restarted executor inheriting the ejection of its old incarnation, and against its old entry
// counting as capacity before it is ready.
BOOST_AUTO_TEST_CASE(restartedExecutorRegistersAnew)
{
    RealFleet fleet = readyFleet<EjectionController>({ 1, 1, 1 }, 2);
    eject(fleet, nodeA, 1);
    fleet.run({ Operation::Restart, nodeA, 0 });
    BOOST_TEST(!refuses(fleet, nodeA));
    BOOST_TEST((recordedState(fleet, nodeA) == UpstreamState::Ejected));
    eject(fleet, nodeB, 1);
    BOOST_TEST(!refuses(fleet, nodeB));
    fleet.run({ Operation::Ready, nodeA, 0 });
    complete(fleet, nodeA);
    BOOST_TEST((recordedState(fleet, nodeA) == UpstreamState::Ready));
    BOOST_TEST((findEntry(fleet.roster(), "a")->executor == fleet.nodes()[nodeA].incarnation));
}

// Guards against a late write of an earlier ejection that the executor applies or that stays in the roster.
BOOST_AUTO_TEST_CASE(lateWriteIsCorrected)
{
    RealFleet fleet = readyFleet<EjectionController>({ 1, 1, 1 }, 2);
    sendEjection(fleet, nodeA);
    fleet.run({ Operation::Delayed, nodeA, 0 });
    fleet.run({ Operation::Deliver, nodeA, 0 });
    fleet.run({ Operation::Recover, nodeA, 0 });
    fleet.run({ Operation::Tick, nodeA, 100 });
    complete(fleet, nodeA);
    fleet.run({ Operation::LateEffect, 0, 0 });
    BOOST_TEST(!refuses(fleet, nodeA));
    BOOST_TEST((recordedState(fleet, nodeA) == UpstreamState::Ejected));
    fleet.settle(40);
    BOOST_TEST((recordedState(fleet, nodeA) == UpstreamState::Ready));
}

// Guards against an ejection that counts an upstream as eligible although it is degraded or its confirmation is stale
// or of another incarnation than the one registered.
BOOST_AUTO_TEST_CASE(onlyConfirmedReadyUpstreamsAreEligible)
{
    ServiceRoster roster;
    for (size_t i = 0; i < 3; ++i)
        roster = registerUpstream(roster, { nameOf(i), { 1, i }, 2, UpstreamState::Ready, 0, 0 });
    UpstreamView view { "b", { 1, 1 }, 2, UpstreamState::Ready, 0, 0s };
    auto slotsWith = [&](const UpstreamView& it) { return eligibleSlots(roster, std::array { it }, "a", 3s); };
    BOOST_TEST(slotsWith(view) == 2U);
    UpstreamView old = view;
    old.age = 4s;
    BOOST_TEST(slotsWith(old) == 0U);
    UpstreamView degraded = view;
    degraded.state = UpstreamState::Degraded;
    BOOST_TEST(slotsWith(degraded) == 0U);
    UpstreamView restarted = view;
    restarted.executor = { 2, 1 };
    BOOST_TEST(slotsWith(restarted) == 0U);
    BOOST_TEST(proposeEjection(roster, 2, std::array { view }, { "a", { 1, 0 }, 1, 1 }, 3s).has_value());
    BOOST_TEST(!proposeEjection(roster, 3, std::array { view }, { "a", { 1, 0 }, 1, 1 }, 3s).has_value());
    BOOST_TEST(!proposeEjection(roster, 0, std::array { view }, { "a", { 9, 0 }, 1, 1 }, 3s).has_value());
    BOOST_TEST(!markState(roster, "a", { 9, 0 }, UpstreamState::Gone).has_value());
    BOOST_TEST((findEntry(*markState(roster, "a", { 1, 0 }, UpstreamState::Gone), "a")->state == UpstreamState::Gone));
}

//-----------------------------------------------------------------------------
// [SECTION] JSON form
//-----------------------------------------------------------------------------

// Guards against a roster that changes in the conversion to JSON and back.
RC_BOOST_PROP(rosterRoundTrips, (uint64_t high, uint64_t low, uint32_t slots, uint8_t state, int16_t severity))
{
    ServiceRoster roster;
    roster.service = "bayaran";
    roster.version = 7;
    roster = registerUpstream(roster,
        { "up", { high, low }, slots, static_cast<UpstreamState>(state % upstreamStateCount), severity / 8.0, low });
    auto parsed = rosterFromJson(rosterToJson(roster), 7);
    RC_ASSERT(parsed.has_value());
    RC_ASSERT(parsed.value() == roster);
}

// Guards against a malformed roster being accepted as one with fewer upstreams.
BOOST_AUTO_TEST_CASE(rejectsMalformedRoster)
{
    std::string id = "00000000-0000-0001-0000-000000000001";
    auto entry = [&](std::string_view state) {
        return fmt::format(R"({{"upstream":"a","executor":"{}","slots":1,"state":"{}"}})", id, state);
    };
    auto document
        = [](std::string_view entries) { return fmt::format(R"({{"service":"s","entries":[{}]}})", entries); };
    BOOST_TEST(rosterFromJson(document(entry("ready")), 1).has_value());
    BOOST_TEST(!rosterFromJson(document(entry("fine")), 1).has_value());
    BOOST_TEST(!rosterFromJson(document(entry("ready") + "," + entry("ready")), 1).has_value());
    BOOST_TEST(!rosterFromJson(R"({"service":"s"})", 1).has_value());
    BOOST_TEST(!rosterFromJson("", 1).has_value());
    BOOST_TEST(!rosterFromJson(document(R"({"upstream":"a"})"), 1).has_value());
}

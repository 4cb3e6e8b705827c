// Soak of the real programs under random faults from outside: signals to the processes, faults of the paths between
// nodes and of the store, new configurations, in overlapping series, while some upstreams name a rate limit and others
// fall mute or spoil their responses. Callers keep their connections open and check what they get while it runs; what
// upstreams saw is checked at the end.
//
//   FaultSoakProcessTests                             seeds that failed once, and one more
//   GM_SOAK_SEED=100 GM_SOAK_COUNT=50 GM_SOAK_SECONDS=20 FaultSoakProcessTests
#define BOOST_TEST_MODULE FaultSoakProcess
#include "FaultProxy.h"
#include "FleetHarness.h"

#include <boost/test/unit_test.hpp>

using namespace Gooseberrymill;
using namespace Gooseberrymill::Testing;

namespace {

constexpr size_t nodeCount = 4;
constexpr size_t callerCount = 6;
constexpr uint64_t defaultSeed = 1;
constexpr auto defaultLength = 8s;
constexpr auto inForceLimit = 5s; // from the confirmation of a configuration until every node has it
constexpr auto recoveryTime = 15s; // as the platform allows after a fault
constexpr size_t maxResidentKiB = 260 << 10; // memory of the smallest instance that is planned for
constexpr size_t maxDescriptors = 1000;
constexpr uint32_t slotCount = 4; // of an upstream; fewer than the callers, so that mute upstreams can take all
constexpr const char* callerDeadlineMs = "4000";

uint64_t numberFrom(const char* variable, uint64_t fallback)
{
    const char* text = std::getenv(variable);
    return text ? std::stoull(text) : fallback;
}

struct Sent {
    std::string target;
    bool isOrder = false;
    size_t entry = 0; // node that the request was sent to
    CallerResponse response;
    Clock::time_point receivedAt {};
};

// A time in which something disturbed a node.
struct Disturbance {
    size_t node = 0;
    Clock::time_point from {};
    Clock::time_point to = Clock::time_point::max();
};

// A caller that keeps its connection to one node and moves on when it closes.
class Caller {
public:
    Caller(Fleet& fleet, uint64_t seed, size_t index)
        : m_random(seed * callerCount + index)
        , m_name(fmt::format("{}-{}", seed, index))
    {
        for (size_t i = 0; i < fleet.size(); ++i)
            m_ports.push_back(fleet.node(i).callers);
    }

    void run(const std::atomic<bool>& isStopped)
    {
        while (!isStopped)
            callOnce();
    }

    const std::vector<Sent>& sent() const { return m_sent; }

private:
    void callOnce()
    {
        if (!m_connection) {
            m_entry = m_random() % m_ports.size();
            m_connection = std::make_unique<HttpCaller>(m_ports[m_entry]);
        }
        Sent sent;
        sent.entry = m_entry;
        sent.isOrder = m_random() % 2;
        sent.target = fmt::format("/{}/{}-{}", sent.isOrder ? "order" : "read", m_name, m_sent.size());
        const std::vector<Header> headers { { HeaderName::deadline, callerDeadlineMs } };
        sent.response = sent.isOrder ? m_connection->request("POST", sent.target, headers, "one order")
                                     : m_connection->request("GET", sent.target, headers);
        sent.receivedAt = Clock::now();
        bool isOpen = sent.response.complete && sent.response.header("Connection") != "close";
        if (!isOpen || m_random() % 10 == 0)
            m_connection.reset();
        if (!sent.response.status)
            std::this_thread::sleep_for(20ms); // a node that is down
        m_sent.push_back(std::move(sent));
    }

    std::mt19937_64 m_random;
    std::string m_name;
    std::vector<uint16_t> m_ports;
    std::unique_ptr<HttpCaller> m_connection;
    size_t m_entry = 0; // node of m_connection
    std::vector<Sent> m_sent;
};

// Faults of one run, drawn from a seed. Each ends by itself; several overlap.
class Faults {
public:
    // `unlimited`: upstreams that name no rate limit, may fall mute and may spoil their responses.
    Faults(Fleet& fleet, std::vector<std::unique_ptr<FaultProxy>>& paths, const std::array<size_t, 2>& unlimited,
        uint64_t seed)
        : m_fleet(fleet)
        , m_paths(paths)
        , m_unlimited(unlimited)
        , m_random(seed)
        , m_spoilRandom(seed)
    {
    }

    void run(Clock::duration length)
    {
        auto end = Clock::now() + length;
        while (Clock::now() < end) {
            begin();
            auto next = Clock::now() + std::chrono::milliseconds(100 + m_random() % 700);
            while (Clock::now() < next) {
                endDue(Clock::now());
                std::this_thread::sleep_for(10ms);
            }
        }
        endDue(Clock::time_point::max());
    }

    // Path that only the next configuration has; puts that configuration into the store.
    std::string configureLast()
    {
        BOOST_TEST_REQUIRE(
            waitUntil([&] { return m_fleet.apply(shopConfiguration(extraRoute(++m_versions)), "soak").first == 0; }));
        return fmt::format("/extra-{}/a", m_versions);
    }

    const std::string& history() const { return m_history; }
    const std::vector<Disturbance>& disturbances() const { return m_disturbances; }

private:
    struct Ending {
        Clock::time_point due;
        std::function<void()> action;
    };

    static std::string extraRoute(int number)
    {
        return fmt::format(
            "[[service.route]]\nname = \"extra-{0}\"\npath = \"/extra-{0}/*\"\nrepeatable = true\n", number);
    }

    void after(uint64_t millis, std::function<void()> action)
    {
        m_endings.push_back({ Clock::now() + std::chrono::milliseconds(millis), std::move(action) });
    }

    void endDue(Clock::time_point now)
    {
        for (size_t i = 0; i < m_endings.size();) {
            if (m_endings[i].due > now) {
                ++i;
                continue;
            }
            auto action = std::move(m_endings[i].action);
            m_endings.erase(m_endings.begin() + static_cast<std::ptrdiff_t>(i));
            action();
        }
    }

    void begin()
    {
        if (m_spoilRandom() % 4 == 0)
            spoilResponses(m_unlimited[m_spoilRandom() % m_unlimited.size()], 200 + m_spoilRandom() % 1800);
        size_t i = m_random() % m_fleet.size();
        uint64_t millis = 200 + m_random() % 1800;
        switch (m_random() % 8) {
        case 0:
            return pause(i, millis);
        case 1:
            return stop(i, SIGKILL, millis);
        case 2:
            return stop(i, SIGTERM, millis);
        case 3:
            return cutPath(i, millis);
        case 4:
            return failStore(millis);
        case 5:
            return restoreStore(millis);
        case 6:
            return muteUpstream(m_unlimited[i % m_unlimited.size()], millis);
        default:
            return configure();
        }
    }

    void note(const std::string& text) { m_history += text + "; "; }

    void endDisturbance(size_t index) { m_disturbances[index].to = Clock::now(); }
    size_t beginDisturbance(size_t node)
    {
        m_disturbances.push_back({ node, Clock::now() });
        return m_disturbances.size() - 1;
    }

    void pause(size_t i, uint64_t millis)
    {
        if (m_isDown[i])
            return;
        note(fmt::format("pause {} {} ms", i, millis));
        size_t index = beginDisturbance(i);
        m_fleet.node(i).process->signal(SIGSTOP);
        after(millis, [this, i, index] {
            m_fleet.node(i).process->signal(SIGCONT);
            endDisturbance(index);
        });
    }

    // Starts the node again after a while. A SIGTERM that takes longer than that is waited for.
    void stop(size_t i, int signal, uint64_t millis)
    {
        if (std::exchange(m_isDown[i], true))
            return;
        note(fmt::format("signal {} to {}, {} ms", signal, i, millis));
        size_t index = beginDisturbance(i);
        m_fleet.node(i).process->signal(signal);
        after(millis, [this, i, index] {
            m_fleet.node(i).process->signal(SIGCONT);
            m_fleet.node(i).process->exitCode();
            m_fleet.startNode(i);
            m_isDown[i] = false;
            endDisturbance(index);
        });
    }

    void cutPath(size_t i, uint64_t millis)
    {
        constexpr std::array faults { PathFault::Delay, PathFault::Silence, PathFault::OneWay, PathFault::Reset };
        PathFault fault = faults[m_random() % faults.size()];
        note(fmt::format("path fault {} to {}, {} ms", static_cast<int>(fault), i, millis));
        size_t index = beginDisturbance(i);
        m_paths[i]->setFault(fault);
        after(millis, [this, i, index] {
            m_paths[i]->setFault(PathFault::None);
            endDisturbance(index);
        });
    }

    // The upstream takes requests and never answers them.
    void muteUpstream(size_t i, uint64_t millis)
    {
        note(fmt::format("upstream {} mute {} ms", i, millis));
        m_fleet.setUpstreamFault(i, "fault=hold");
        after(millis, [this, i] { m_fleet.setUpstreamFault(i, ""); });
    }

    // The upstream breaks off, spoils and repeats its responses.
    void spoilResponses(size_t i, uint64_t millis)
    {
        note(fmt::format("upstream {} spoils responses {} ms", i, millis));
        m_fleet.setUpstreamFault(i, fmt::format("fault=spoil&seed={}", m_spoilRandom() % 1000));
        after(millis, [this, i] { m_fleet.setUpstreamFault(i, ""); });
    }

    void failStore(uint64_t millis)
    {
        const char* how = m_random() % 2 ? "refuse" : "hang";
        note(fmt::format("store {} {} ms", how, millis));
        m_fleet.setStoreFaults({ { "down", how } });
        after(millis, [this] { m_fleet.setStoreFaults({ { "down", "none" } }); });
    }

    // The store is away for a while and comes back from a copy of up to 9 s before.
    void restoreStore(uint64_t millis)
    {
        uint64_t age = m_random() % 9000;
        note(fmt::format("store restored after {} ms from a copy {} ms old", millis, age));
        m_fleet.setStoreFaults({ { "down", "refuse" } });
        after(millis, [this, age] {
            m_fleet.restoreStore({ { "ageMs", age } });
            m_fleet.setStoreFaults({ { "down", "none" } });
        });
    }

    void configure()
    {
        note("configuration");
        if (m_fleet.apply(shopConfiguration(extraRoute(m_versions + 1)), "soak").first == 0)
            ++m_versions;
    }

    Fleet& m_fleet;
    std::vector<std::unique_ptr<FaultProxy>>& m_paths;
    std::array<size_t, 2> m_unlimited;
    std::mt19937_64 m_random;
    std::mt19937_64 m_spoilRandom; // of its own, so that a seed draws the same other faults as before it came
    std::vector<Ending> m_endings;
    std::array<bool, nodeCount> m_isDown {};
    int m_versions = 0;
    std::string m_history;
    std::vector<Disturbance> m_disturbances;
};

// A rate limit that an upstream names in each response. The rates of a run differ, so a rate tells the upstream.
class NamedLimit {
public:
    NamedLimit(Fleet& fleet, size_t upstream)
        : m_fleet(fleet)
        , m_upstream(upstream)
        , m_rate(2 + 0.25 * static_cast<double>(upstream))
        , m_from(Clock::now())
    {
        m_fleet.setUpstreamFault(upstream, fmt::format("header={}:{}", limitHeader, m_rate));
    }

    void end()
    {
        m_to = Clock::now();
        m_fleet.setUpstreamFault(m_upstream, "");
    }

    // The arrivals that the limit must cover never exceed it in any 4 s.
    void check(const std::vector<Caller>& callers, const std::vector<Disturbance>& disturbances,
        const std::string& context) const
    {
        constexpr int64_t windowMillis = 4000;
        std::vector<int64_t> covered = coveredArrivals(callers, disturbances);
        double allowed = 1.5 * 4 * m_rate + 5;
        for (auto first = covered.begin(); first != covered.end(); ++first) {
            auto last = std::lower_bound(first, covered.end(), *first + windowMillis);
            BOOST_TEST_REQUIRE(static_cast<double>(last - first) <= allowed,
                "upstream " << m_upstream << " got " << last - first << " requests in 4 s at a limit of " << m_rate
                            << " a second; " << context);
        }
        BOOST_TEST_MESSAGE("upstream " << m_upstream << ": " << covered.size() << " arrivals at limit " << m_rate);
    }

private:
    static constexpr const char* limitHeader = "Gooseberrymill-Rate-Limit";
    static constexpr auto startTime = 4s; // from the first response that names the limit until it must hold
    static constexpr auto passOnTime = 500ms; // from a response that an entry has passed on until it is bound by it

    // Times of the arrivals whose entry had passed on the limit, and was not disturbed since.
    std::vector<int64_t> coveredArrivals(
        const std::vector<Caller>& callers, const std::vector<Disturbance>& disturbances) const
    {
        std::map<std::string, size_t> entries; // by target
        std::array<std::vector<Clock::time_point>, nodeCount> passedOn;
        for (const Caller& caller : callers) {
            for (const Sent& it : caller.sent()) {
                entries[it.target] = it.entry;
                if (it.response.header(limitHeader) == fmt::format("{}", m_rate))
                    passedOn.at(it.entry).push_back(it.receivedAt);
            }
        }
        for (auto& times : passedOn)
            std::ranges::sort(times);
        auto isCovered = [&](size_t entry, Clock::time_point time) {
            const auto& times = passedOn.at(entry);
            auto next = std::ranges::upper_bound(times, time - passOnTime);
            if (next == times.begin())
                return false;
            return std::ranges::none_of(disturbances,
                [&](const Disturbance& it) { return it.node == entry && it.from < time && it.to > *std::prev(next); });
        };
        std::vector<int64_t> covered;
        for (const auto& [target, millis] : m_fleet.arrivals(m_upstream)) {
            Clock::time_point time { std::chrono::milliseconds(millis) };
            auto entry = entries.find(target);
            if (entry != entries.end() && time >= m_from + startTime && time <= m_to && isCovered(entry->second, time))
                covered.push_back(millis);
        }
        return covered;
    }

    Fleet& m_fleet;
    size_t m_upstream;
    double m_rate; // requests per second
    Clock::time_point m_from;
    Clock::time_point m_to {};
};

// Fixed ports, as on instances with fixed addresses; peers reach each relay port through a proxy.
FleetShape soakShape(std::vector<std::unique_ptr<FaultProxy>>& paths)
{
    FleetShape shape;
    shape.nodes = nodeCount;
    shape.slots = slotCount;
    shape.fleetSettings = "discovery = \"store\"\n";
    std::vector<std::string> sections;
    for (size_t i = 0; i < nodeCount; ++i) {
        uint16_t relay = freePort(SOCK_STREAM);
        paths.push_back(std::make_unique<FaultProxy>(relay));
        sections.push_back(fmt::format("[listen]\nrelay = \"127.0.0.1:{}\"\ncaller = \"127.0.0.1:{}\"\n"
                                       "admin = \"127.0.0.1:{}\"\n[advertise]\nrelay = \"127.0.0.1:{}\"\n",
            relay, freePort(SOCK_STREAM), freePort(SOCK_STREAM), paths.back()->port()));
    }
    shape.extraSettings = [sections](size_t i) { return sections.at(i); };
    return shape;
}

// Requests that reached an upstream, by target.
std::map<std::string, size_t> runsOf(Fleet& fleet)
{
    std::map<std::string, size_t> runs;
    for (size_t i = 0; i < fleet.size(); ++i) {
        nlohmann::json counts = fleet.counts(i);
        for (const auto& [target, count] : counts["targets"].items())
            runs[target] += count.get<size_t>();
    }
    return runs;
}

void checkAnswers(
    const std::map<std::string, size_t>& allRuns, const std::vector<Sent>& sent, const std::string& context)
{
    for (const Sent& it : sent) {
        const CallerResponse& response = it.response;
        auto found = allRuns.find(it.target);
        size_t runs = it.isOrder && found != allRuns.end() ? found->second : 0;
        BOOST_TEST(runs <= 1U, it.target << " ran " << runs << " times; " << context);
        bool claimsNotRun = response.complete && (response.status == 503 || outcomeOf(response) == "not-run");
        BOOST_TEST(!(claimsNotRun && runs), it.target << " ran though refused: " << describe(response) << context);
        std::string stated = response.header("Stand-In-Bytes");
        bool isWhole = stated.empty() || response.body.size() == std::stoull(stated);
        BOOST_TEST((response.status != 200 || !response.complete || isWhole),
            it.target << " got " << response.body.size() << " of " << stated << " bytes; " << context);
        bool isOwn = response.body.find(it.target + " ") != std::string::npos;
        BOOST_TEST((response.status != 200 || !response.complete || isOwn),
            it.target << " got another answer: " << describe(response) << context);
    }
}

void checkBounds(Fleet& fleet, const std::string& context)
{
    for (size_t i = 0; i < fleet.size(); ++i) {
        auto [resident, descriptors] = fleet.node(i).process->usage();
        BOOST_TEST(resident < maxResidentKiB, "node " << i << " holds " << resident << " KiB; " << context);
        BOOST_TEST(descriptors < maxDescriptors, "node " << i << " holds " << descriptors << " fds; " << context);
    }
}

void soak(uint64_t seed, Clock::duration length)
{
    std::vector<std::unique_ptr<FaultProxy>> paths;
    Fleet fleet(soakShape(paths));
    std::vector<Caller> callers;
    callers.reserve(callerCount);
    for (size_t i = 0; i < callerCount; ++i)
        callers.emplace_back(fleet, seed, i);
    std::atomic<bool> isStopped { false };
    std::vector<std::thread> threads;
    threads.reserve(callerCount);
    for (Caller& it : callers)
        threads.emplace_back([&it, &isStopped] { it.run(isStopped); });
    std::array limits { NamedLimit(fleet, seed % nodeCount), NamedLimit(fleet, (seed + 1) % nodeCount) };
    Faults faults(fleet, paths, { (seed + 2) % nodeCount, (seed + 3) % nodeCount }, seed);
    faults.run(length);
    for (NamedLimit& it : limits)
        it.end();
    std::string context = fmt::format("seed {}: {}", seed, faults.history());
    for (size_t i = 0; i < fleet.size(); ++i) {
        bool isServing = waitUntil([&] { return fleet.call(i, "GET", "/read/after").status == 200; }, recoveryTime);
        BOOST_TEST(isServing, "node " << i << " does not serve again; " << context);
    }
    for (size_t i = 0; i < fleet.size(); ++i) {
        size_t before = fleet.total(i);
        bool isUsed = waitUntil([&] { return fleet.total(i) > before; }, recoveryTime);
        BOOST_TEST(isUsed, "upstream " << i << " gets no requests again; " << context);
    }
    std::string lastPath = faults.configureLast();
    for (size_t i = 0; i < fleet.size(); ++i) {
        bool isInForce = waitUntil([&] { return fleet.call(i, "GET", lastPath).status == 200; }, inForceLimit);
        BOOST_TEST(isInForce, "node " << i << " does not have the last configuration; " << context);
    }
    isStopped = true;
    for (std::thread& it : threads)
        it.join();
    for (const NamedLimit& it : limits)
        it.check(callers, faults.disturbances(), context);
    auto runs = runsOf(fleet);
    size_t served = 0;
    size_t total = 0;
    for (const Caller& it : callers) {
        checkAnswers(runs, it.sent(), context);
        total += it.sent().size();
        served += static_cast<size_t>(
            std::ranges::count_if(it.sent(), [](const Sent& each) { return each.response.status == 200; }));
    }
    checkBounds(fleet, context);
    BOOST_TEST(served > 0U);
    BOOST_TEST_MESSAGE("seed " << seed << ": " << served << " of " << total << " served; " << faults.history());
}

} // namespace

// Guards against a promise that holds under each fault alone and not when several come together.
BOOST_AUTO_TEST_CASE(promisesHoldUnderOverlappingFaults)
{
    uint64_t first = numberFrom("GM_SOAK_SEED", defaultSeed);
    uint64_t count = numberFrom("GM_SOAK_COUNT", 1);
    auto length = std::chrono::seconds(
        numberFrom("GM_SOAK_SECONDS", static_cast<uint64_t>(std::chrono::seconds(defaultLength).count())));
    for (uint64_t seed = first; seed < first + count; ++seed)
        soak(seed, length);
}

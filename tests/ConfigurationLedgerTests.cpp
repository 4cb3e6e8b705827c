#define BOOST_TEST_MODULE ConfigurationLedger
#include "Gooseberrymill.h"

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <fmt/format.h>
#include <queue>
#include <rapidcheck/boost_test.h>

using namespace Gooseberrymill;

namespace {

// RapidCheck uses a random seed unless the environment sets one. A fixed seed makes runs repeatable.
const int fixedSeed = setenv("RC_PARAMS", "seed=1 max_success=300", 0);

constexpr Duration convergenceBound = 5s; // for a write to be in force on all nodes; section 1.1 of the design page
constexpr size_t dataCentreCount = 6;
constexpr size_t nodesPerDataCentre = 4;
constexpr size_t nodeCount = dataCentreCount * nodesPerDataCentre;

ConfigurationRecord document(std::string name, uint64_t version, std::string text = "text")
{
    return { std::move(name), version, fmt::format("change-{}", version), "operator", std::move(text) };
}

// The configuration store. Each accepted write raises the version by one. Lists may contain old versions, as from a
// replica that lags behind.
struct Store {
    std::map<std::string, std::vector<ConfigurationRecord>> history;
    bool isDown = false;
    bool hasSilentWatches = false;
    bool returnsOldVersions = false;
    uint64_t calls = 0;

    bool put(const std::string& name, uint64_t expected, const std::string& author)
    {
        auto& versions = history[name];
        uint64_t current = versions.empty() ? 0 : versions.back().version;
        if (expected != current)
            return false;
        versions.push_back(document(name, current + 1));
        versions.back().author = author;
        return true;
    }
    std::vector<ConfigurationRecord> list() const
    {
        std::vector<ConfigurationRecord> result;
        for (const auto& [name, versions] : history)
            result.push_back(returnsOldVersions && versions.size() > 1 ? versions.front() : versions.back());
        return result;
    }
};

// Simulates nodes, the links between them and the store in virtual time. With `isNaive`, a node puts every version that
// it reads from the store into force, even a lower one.
template <bool isNaive> class Harness {
public:
    struct Node {
        std::unique_ptr<ConfigurationSync> sync;
        std::map<std::string, uint64_t> inForce; // versions in force, by document
        bool isDown = true;
        int side = 0; // nodes of different sides are cut off from each other, but not from the store
        std::map<std::string, uint64_t> watches; // pending watches: document and version watched from
    };

    explicit Harness(uint64_t seed)
        : m_random(seed)
    {
        nodes.resize(nodeCount);
        for (size_t i = 0; i < nodeCount; ++i)
            start(i);
    }

    void start(size_t i)
    {
        Node& node = nodes[i];
        node.sync = std::make_unique<ConfigurationSync>(ConfigurationSyncSettings {}, m_random(), now);
        node.inForce.clear();
        node.watches.clear();
        node.isDown = false;
        ++m_generation[i];
        std::vector<std::string> peers;
        for (size_t dc = 0; dc < dataCentreCount; ++dc)
            peers.push_back(std::to_string((dc * nodesPerDataCentre + m_random() % nodesPerDataCentre)));
        std::erase(peers, std::to_string(i));
        node.sync->start(peers, now);
        updateRoles();
        performActions(i);
    }

    void kill(size_t i) { nodes[i].isDown = true; }

    // Makes the first two live nodes of each data centre and side watchers, in place of chooseWatchRole().
    void updateRoles()
    {
        for (size_t i = 0; i < nodeCount; ++i) {
            if (nodes[i].isDown || !nodes[i].sync)
                continue;
            size_t rank = 0;
            for (size_t k = i - i % nodesPerDataCentre; k < i; ++k)
                rank += !nodes[k].isDown && nodes[k].side == nodes[i].side;
            nodes[i].sync->roleChanged(rank < watchersPerDataCentre ? WatchRole::Watcher : WatchRole::None, now);
        }
    }

    void run(Duration duration)
    {
        Instant end = now + duration;
        while (now < end) {
            now += 25ms;
            ++m_step;
            while (!m_events.empty() && m_events.top().at <= now) {
                auto event = m_events.top();
                m_events.pop();
                event.function();
            }
            if (m_step % 80 == 0)
                updateRoles(); // every 2 s; the real membership takes up to 3 s to detect a change
            for (size_t i = 0; i < nodeCount; ++i) {
                if (nodes[i].isDown)
                    continue;
                nodes[i].sync->tick(now);
                // Stands in for probes and acks, which show this node's digest to two peers per second.
                if ((m_step + i) % 20 == 0)
                    sendDigest(i, m_random() % nodeCount);
                performActions(i);
                recordVersionsInForce(i);
            }
        }
    }

    bool isConverged(const std::map<std::string, uint64_t>& expected) const
    {
        for (const Node& node : nodes) {
            if (!node.isDown && node.inForce != expected)
                return false;
        }
        return true;
    }

    std::map<std::string, uint64_t> storeVersions() const
    {
        std::map<std::string, uint64_t> result;
        for (const auto& [name, versions] : store.history)
            result[name] = versions.back().version;
        return result;
    }

    std::optional<Duration> timeToConverge(Duration limit)
    {
        Instant begin = now;
        while (!isConverged(storeVersions())) {
            if (now - begin > limit)
                return std::nullopt;
            run(25ms);
        }
        return now - begin;
    }

    void notifyWatches()
    {
        if (store.isDown || store.hasSilentWatches)
            return;
        for (size_t i = 0; i < nodeCount; ++i) {
            for (auto [name, from] : std::exchange(nodes[i].watches, {})) {
                ConfigurationRecord latest = store.history[name].back();
                if (latest.version <= from) {
                    nodes[i].watches[name] = from;
                    continue;
                }
                scheduleOnNode(
                    i, 3ms, [latest](Node& node, Instant at) { node.sync->watchAnswered(latest.name, latest, at); });
            }
        }
    }

    std::vector<Node> nodes;
    Store store;
    Instant now {};
    double loss = 0;
    size_t reverts = 0; // times that the version in force on a node went down
    std::optional<std::string> unparsableAuthor; // documents by this author do not parse

private:
    struct Event {
        Instant at;
        uint64_t order;
        std::function<void()> function;
        bool operator<(const Event& other) const { return std::pair(other.at, other.order) < std::pair(at, order); }
    };

    template <typename Function> void scheduleOnNode(size_t i, Duration delay, Function function)
    {
        m_events.push({ now + delay, m_order++, [this, i, function, generation = m_generation[i]] {
                           if (nodes[i].isDown || m_generation[i] != generation)
                               return;
                           function(nodes[i], now);
                           performActions(i);
                           recordVersionsInForce(i);
                       } });
    }

    bool isLost() { return std::generate_canonical<double, 53>(m_random) < loss; }
    bool reaches(size_t a, size_t b) const
    {
        return a != b && !nodes[a].isDown && !nodes[b].isDown && nodes[a].side == nodes[b].side;
    }

    void sendDigest(size_t from, size_t to)
    {
        if (!reaches(from, to) || isLost())
            return;
        uint64_t digest = nodes[from].sync->ledger().digest();
        scheduleOnNode(to, 20ms,
            [from, digest](Node& node, Instant at) { node.sync->digestSeen(std::to_string(from), digest, at); });
    }

    void performActions(size_t i)
    {
        // Performing an action may cause further actions.
        for (auto actions = nodes[i].sync->takeActions(); !actions.empty(); actions = nodes[i].sync->takeActions()) {
            for (const SyncAction& action : actions)
                std::visit([&](const auto& it) { perform(i, it); }, action);
        }
    }

    void perform(size_t i, const QueryPeer& queryPeer)
    {
        size_t peer = std::stoul(queryPeer.peer);
        if (!reaches(i, peer) || isLost())
            return; // the query or its answer is lost
        ConfigurationReply reply = nodes[peer].sync->ledger().newerThan(queryPeer.query);
        scheduleOnNode(i, 60ms,
            [reply, name = queryPeer.peer](Node& node, Instant at) { node.sync->peerAnswered(name, reply, at); });
    }

    void perform(size_t i, const ReadStore&)
    {
        ++store.calls;
        if (isLost())
            return;
        if (store.isDown) {
            scheduleOnNode(i, 5ms, [](Node& node, Instant at) { node.sync->storeFailed(at); });
            return;
        }
        auto list = store.list();
        scheduleOnNode(i, 5ms, [this, list, i](Node& node, Instant at) {
            node.sync->storeAnswered(list, at);
            if constexpr (isNaive) {
                for (const ConfigurationRecord& it : list)
                    setInForce(i, it);
            }
        });
    }

    void perform(size_t i, const WatchStore& watch)
    {
        ++store.calls;
        if (!store.isDown)
            nodes[i].watches[watch.name] = watch.version;
    }

    void perform(size_t i, const ApplyDocument& apply)
    {
        if (unparsableAuthor && apply.document.author == *unparsableAuthor) {
            nodes[i].sync->rejected(apply.document, now);
            return;
        }
        nodes[i].sync->accepted(apply.document, now);
        if constexpr (isNaive)
            setInForce(i, apply.document);
    }

    void perform(size_t i, const AnnounceDigest&)
    {
        for (int n = 0; n < 4; ++n)
            sendDigest(i, m_random() % nodeCount);
    }

    void perform(size_t, const ReportOutdated&) { }

    void setInForce(size_t i, const ConfigurationRecord& record)
    {
        uint64_t& version = nodes[i].inForce[record.name];
        reverts += record.version < version;
        version = record.version;
    }

    void recordVersionsInForce(size_t i)
    {
        if constexpr (!isNaive) {
            for (const ConfigurationRecord& it : nodes[i].sync->ledger().held())
                setInForce(i, it);
        }
    }

    std::mt19937_64 m_random;
    std::priority_queue<Event> m_events;
    std::map<size_t, uint64_t> m_generation;
    uint64_t m_order = 0;
    uint64_t m_step = 0;
};

struct ScheduleResult {
    size_t reverts = 0; // times that the version in force on a node went down
    std::optional<Duration> convergence; // time until all nodes held the versions of the store; empty if over the bound
};

// Runs a generated schedule of writes and faults. At the end all nodes run and are connected, and the store answers
// with its newest versions, but without notifying any watch.
template <bool isNaive> ScheduleResult runSchedule(uint64_t seed, const std::vector<uint8_t>& steps)
{
    Harness<isNaive> harness(seed);
    std::mt19937_64 random(seed + 1);
    harness.loss = 0.05;
    auto write = [&] {
        // Two operators write over the same version at the same time. Only the first write is accepted.
        std::string name = random() % 3 ? "main" : "extra";
        auto versions = harness.storeVersions();
        if (harness.store.isDown)
            return;
        harness.store.put(name, versions[name], "first");
        harness.store.put(name, versions[name], "second");
        harness.notifyWatches();
    };
    write();
    harness.run(3s);
    for (uint8_t step : steps) {
        size_t i = random() % nodeCount;
        switch (step % 9) {
        case 0:
        case 1:
            write();
            break;
        case 2:
            harness.store.isDown = !harness.store.isDown;
            break;
        case 3:
            harness.store.hasSilentWatches = !harness.store.hasSilentWatches;
            break;
        case 4:
            harness.store.returnsOldVersions = !harness.store.returnsOldVersions;
            break;
        case 5:
            harness.kill(i);
            break;
        case 6:
            harness.start(i);
            break;
        case 7:
            for (size_t k = 0; k < nodeCount; ++k)
                harness.nodes[k].side = k < i;
            break;
        default:
            for (auto& node : harness.nodes)
                node.side = 0;
        }
        harness.run(Duration(100000 + random() % 1500000));
    }
    for (size_t i = 0; i < nodeCount; ++i) {
        harness.nodes[i].side = 0;
        if (harness.nodes[i].isDown)
            harness.start(i);
    }
    harness.store.isDown = false;
    harness.store.returnsOldVersions = false;
    harness.store.hasSilentWatches = true; // the last write must be found by reading
    if (random() % 2)
        write();
    auto time = harness.timeToConverge(convergenceBound);
    return { harness.reverts, time };
}

int64_t millis(Duration duration) { return duration / 1ms; }

} // namespace

// Guards against a ledger that lowers a version, or that has the same digest for different contents.
RC_BOOST_PROP(ledgerOnlyRises, (const std::vector<std::pair<uint8_t, uint8_t>>& writes))
{
    ConfigurationLedger ledger;
    std::map<std::string, uint64_t> expected;
    for (auto [name, version] : writes) {
        std::string text = std::to_string(name % 4);
        uint64_t digest = ledger.digest();
        bool isHigher = version > expected[text];
        RC_ASSERT(ledger.updateIfNewer(document(text, version)) == isHigher);
        RC_ASSERT((ledger.digest() != digest) == isHigher);
        expected[text] = std::max<uint64_t>(expected[text], version);
        RC_ASSERT(ledger.version(text) == expected[text]);
    }
    // The order of the writes must not affect the digest.
    ConfigurationLedger other;
    for (auto it = expected.rbegin(); it != expected.rend(); ++it)
        other.updateIfNewer(document(it->first, it->second));
    RC_ASSERT(other.digest() == ledger.digest());
    RC_ASSERT(ledger.newerThan({ other.held() }).newer.empty());
}

// Guards against a version in force going down, and against a node that lacks the newest version for more than 5 s.
// Schedules contain concurrent writers, lost answers, restarts, store outages, partitions, silent watches and reads of
// old versions.
RC_BOOST_PROP(schedulesConvergeAndNeverRevert, (uint64_t seed, const std::vector<uint8_t>& steps))
{
    auto result = runSchedule<false>(seed, steps);
    RC_ASSERT(!result.reverts);
    RC_ASSERT(result.convergence.has_value());
    RC_CLASSIFY(*result.convergence > 2500ms, "slower than 2.5 s");
}

// Guards against a harness that cannot fail: a variant that puts every version read from the store into force must show
// reverts under the same schedule.
BOOST_AUTO_TEST_CASE(naiveVariantIsCaught)
{
    // Two writes, then reads of old versions for several read periods.
    std::vector<uint8_t> steps { 0, 0, 4, 8, 8, 8, 8, 4, 0 };
    size_t caught = 0;
    for (uint64_t seed = 1; seed <= 10; ++seed) {
        caught += runSchedule<true>(seed, steps).reverts > 0;
        BOOST_TEST(runSchedule<false>(seed, steps).reverts == 0U);
    }
    BOOST_TEST(caught == 10U);
}

// Guards against a delay of more than 5 s when a watch falls silent without closing, and against more store calls than
// the configured periods allow.
BOOST_AUTO_TEST_CASE(silentWatchIsFoundByReading)
{
    int64_t slowest = 0;
    for (uint64_t seed = 1; seed <= 40; ++seed) {
        Harness<false> harness(seed);
        harness.store.put("main", 0, "operator");
        harness.run(Duration(5s) + Duration(seed * 53000));
        harness.loss = 0.05;
        harness.store.hasSilentWatches = true;
        harness.store.put("main", 1, "operator");
        harness.notifyWatches();
        auto time = harness.timeToConverge(convergenceBound);
        BOOST_TEST_REQUIRE(time.has_value(), "seed " << seed);
        slowest = std::max(slowest, millis(*time));
    }
    Harness<false> harness(1);
    harness.store.put("main", 0, "operator");
    harness.run(10s);
    uint64_t before = harness.store.calls;
    harness.run(100s);
    double rate = static_cast<double>(harness.store.calls - before) / 100;
    // 12 watchers, each with at most one read per 1.8 s and one watch per 30 s.
    BOOST_TEST(rate <= 12 / 1.8 + 12 / 30.0);
    BOOST_TEST_MESSAGE("silent watch: slowest ms=" << slowest << "; store calls/s of 12 watchers=" << rate);
}

// Guards against a restarted node that starts on a default configuration, or that applies the first answer although
// another peer holds a higher version.
BOOST_AUTO_TEST_CASE(restartedNodeTakesHighestAndRefusesBefore)
{
    Instant now {};
    std::vector<std::string> peers { "a", "b", "c" };
    ConfigurationSync sync({}, 1, now);
    sync.start(peers, now);
    sync.peerAnswered("a", { { document("main", 3) } }, now + 10ms);
    sync.peerAnswered("b", { { document("main", 5) } }, now + 20ms);
    sync.tick(now + 50ms);
    BOOST_TEST(!sync.isReady());
    std::vector<ConfigurationRecord> stored { document("main", 4) };
    sync.storeAnswered(stored, now + 60ms);
    BOOST_TEST(!sync.isReady()); // peer c has not answered
    sync.tick(now + 1050ms);
    std::vector<uint64_t> applied;
    for (const SyncAction& it : sync.takeActions()) {
        if (const auto* apply = std::get_if<ApplyDocument>(&it)) {
            applied.push_back(apply->document.version);
            sync.accepted(apply->document, now + 1060ms);
        }
    }
    BOOST_TEST(applied == std::vector<uint64_t> { 5 });
    BOOST_TEST(sync.isReady());

    ConfigurationSync withoutPeers({}, 1, now);
    withoutPeers.start({}, now);
    for (int i = 0; i < 200; ++i) {
        withoutPeers.tick(now + i * 50ms);
        for (const SyncAction& it : withoutPeers.takeActions()) {
            BOOST_TEST(!std::holds_alternative<ApplyDocument>(it));
            if (std::holds_alternative<ReadStore>(it))
                withoutPeers.storeFailed(now + i * 50ms);
        }
    }
    BOOST_TEST(!withoutPeers.isReady());
    BOOST_TEST(withoutPeers.storeCalls() <= 11U); // at most one call per second in an outage
}

// Guards against a document that does not parse replacing the previous version, being retried without end, or blocking
// a later valid version.
BOOST_AUTO_TEST_CASE(rejectedDocumentChangesNothing)
{
    Harness<false> harness(3);
    harness.store.put("main", 0, "operator");
    harness.run(4s);
    harness.unparsableAuthor = "careless";
    harness.store.put("main", 1, "careless");
    harness.notifyWatches();
    harness.run(5s);
    BOOST_TEST(harness.isConverged({ { "main", 1 } }));
    harness.store.put("main", 2, "operator");
    harness.notifyWatches();
    BOOST_TEST(harness.timeToConverge(convergenceBound).has_value());
    BOOST_TEST(harness.isConverged({ { "main", 3 } }));
    BOOST_TEST(harness.reverts == 0U);
}

// Guards against all nodes of a data centre watching the store, or reading it as often as watchers do, when each node
// considers all others dead.
BOOST_AUTO_TEST_CASE(watchersAreBounded)
{
    auto makeMembership = [](size_t own, size_t n, NodeStatus others) {
        auto record = [](size_t i) {
            NodeRecord it;
            it.name = fmt::format("node-{}", i);
            it.incarnation = { 1000 + i, 1 };
            it.gossipAddress = fmt::format("10.0.0.{}:1", i);
            it.location = { "region", "dc" };
            return it;
        };
        Membership membership({}, record(own), own, Instant {});
        for (size_t i = 0; i < n; ++i) {
            if (i == own)
                continue;
            NodeRecord it = record(i);
            GossipMessage message;
            message.sender = it.name;
            message.incarnation = it.incarnation;
            message.updates.push_back({ memberKey(it.incarnation), 0, NodeStatus::Alive, 0,
                NodeIdentity { it.name, it.incarnation, 0, it.gossipAddress, it.gossipAddress, it.location }, {} });
            membership.received(message, it.gossipAddress, Instant {});
            message.updates.front() = { memberKey(it.incarnation), 0, NodeStatus::Suspect, 0, {}, {} };
            if (others == NodeStatus::Dead) {
                membership.received(message, it.gossipAddress, Instant {});
                message.updates.front().status = NodeStatus::Dead;
                membership.received(message, it.gossipAddress, Instant {});
            }
        }
        return chooseWatchRole(membership);
    };
    constexpr size_t n = 40;
    std::map<WatchRole, size_t> connected;
    std::map<WatchRole, size_t> isolated;
    for (size_t i = 0; i < n; ++i) {
        ++connected[makeMembership(i, n, NodeStatus::Alive)];
        ++isolated[makeMembership(i, n, NodeStatus::Dead)];
    }
    BOOST_TEST(connected[WatchRole::Watcher] == watchersPerDataCentre);
    BOOST_TEST(connected[WatchRole::None] == n - watchersPerDataCentre);
    BOOST_TEST(isolated[WatchRole::Watcher] == maxWatcherRank);
    BOOST_TEST(isolated[WatchRole::Poller] == n - maxWatcherRank);
}

namespace {

size_t countReads(const std::vector<SyncAction>& actions)
{
    return static_cast<size_t>(
        std::ranges::count_if(actions, [](const SyncAction& it) { return std::holds_alternative<ReadStore>(it); }));
}

} // namespace

// Guards against a change that is missed for seconds because the store dropped its history while a watch was pending.
// The next watch ends with HistoryGone, and then only a read returns the change.
BOOST_AUTO_TEST_CASE(lostHistoryIsFollowedByARead)
{
    ConfigurationSyncSettings settings;
    settings.reopensWatch = true;
    settings.readPeriod = 30s;
    for (WatchEnd end : { WatchEnd::Unchanged, WatchEnd::Failed, WatchEnd::HistoryGone }) {
        Instant now(1000s);
        ConfigurationSync sync(settings, 1, now);
        sync.roleChanged(WatchRole::Watcher, now);
        ConfigurationRecord document;
        document.name = "main";
        document.version = 7;
        sync.storeAnswered(std::span(&document, 1), now);
        now += 2s;
        sync.tick(now);
        sync.accepted(document, now);
        sync.takeActions();
        sync.watchAnswered("main", std::nullopt, now, end);
        std::vector<SyncAction> actions = sync.takeActions();
        bool watchesAgain
            = std::ranges::any_of(actions, [](const SyncAction& it) { return std::holds_alternative<WatchStore>(it); });
        BOOST_TEST(watchesAgain == (end == WatchEnd::Unchanged));
        sync.tick(now);
        BOOST_TEST(countReads(sync.takeActions()) == (end == WatchEnd::HistoryGone ? 1U : 0U));
        if (end == WatchEnd::HistoryGone)
            continue; // the read is still pending
        sync.tick(now + settings.unavailableBackoff + settings.readJitter);
        BOOST_TEST(countReads(sync.takeActions()) == (end == WatchEnd::Failed ? 1U : 0U));
    }
}

// Guards against a change that is missed for seconds because its watcher pauses after a connection that went dead
// without a reset, against calls without a pause to a store that does not answer, and against a watcher that stays
// elected.
BOOST_AUTO_TEST_CASE(callWithoutAResponseIsRepeatedOnce)
{
    ConfigurationSyncSettings settings;
    settings.reopensWatch = true;
    settings.readPeriod = 30s;
    Instant now(1000s);
    ConfigurationSync sync(settings, 1, now);
    sync.roleChanged(WatchRole::Watcher, now);
    ConfigurationRecord stored = document("main", 7);
    sync.storeAnswered(std::span(&stored, 1), now);
    sync.accepted(stored, now);
    auto watches = [&] {
        std::vector<SyncAction> actions = sync.takeActions();
        return std::ranges::any_of(
            actions, [](const SyncAction& it) { return std::holds_alternative<WatchStore>(it); });
    };
    watches();
    for (WatchEnd answer : { WatchEnd::Unchanged, WatchEnd::HistoryGone }) {
        sync.watchAnswered("main", std::nullopt, now, WatchEnd::NoResponse);
        BOOST_TEST(watches());
        BOOST_TEST(!sync.isStoreLost());
        sync.watchAnswered("main", std::nullopt, now, WatchEnd::NoResponse);
        BOOST_TEST(!watches());
        BOOST_TEST(sync.isStoreLost());
        sync.tick(now);
        BOOST_TEST(countReads(sync.takeActions()) == 0U);
        sync.watchAnswered("main", std::nullopt, now, answer);
        BOOST_TEST(!sync.isStoreLost());
        sync.takeActions();
    }
    sync.storeAnswered(std::span(&stored, 1), now);
    sync.takeActions();
    sync.storeFailed(now, ReadFailure::NoResponse);
    sync.tick(now);
    BOOST_TEST(countReads(sync.takeActions()) == 1U);
    BOOST_TEST(!sync.isStoreLost());
    sync.storeFailed(now, ReadFailure::NoResponse);
    sync.tick(now);
    BOOST_TEST(countReads(sync.takeActions()) == 0U);
    BOOST_TEST(sync.isStoreLost());
    sync.storeFailed(now, ReadFailure::Failed);
    BOOST_TEST(sync.isStoreLost());
}

// Guards against a document of the store that is dropped without a line in the log, or with one at each read.
BOOST_AUTO_TEST_CASE(outdatedDocumentIsReportedOnce)
{
    Instant now(1000s);
    ConfigurationSync sync({}, 1, now);
    sync.accepted(document("main", 7), now);
    sync.takeActions();
    auto countReports = [&](const ConfigurationRecord& received) {
        sync.storeAnswered(std::span(&received, 1), now);
        std::vector<SyncAction> actions = sync.takeActions();
        return std::ranges::count_if(
            actions, [](const SyncAction& it) { return std::holds_alternative<ReportOutdated>(it); });
    };
    BOOST_TEST(countReports(document("main", 5)) == 1);
    BOOST_TEST(countReports(document("main", 5)) == 0);
    BOOST_TEST(countReports(document("main", 7)) == 0);
    BOOST_TEST(countReports(document("main", 6)) == 1);
}

namespace {

ConfigurationRecord numbered(uint64_t changeNumber, uint64_t version)
{
    ConfigurationRecord record = document("main", version);
    record.changeId = fmt::format("r{}", changeNumber);
    record.changeNumber = changeNumber;
    return record;
}

// Puts each document that is to be applied into force. Returns the change number in force.
uint64_t applyAll(ConfigurationSync& sync, Instant now)
{
    for (const SyncAction& action : sync.takeActions()) {
        if (const auto* apply = std::get_if<ApplyDocument>(&action))
            sync.accepted(apply->document, now);
    }
    return sync.ledger().find("main") ? sync.ledger().find("main")->changeNumber : 0;
}

} // namespace

// Guards against a newer document that is dropped because the store, restored from a copy, gave it a lower version, and
// against the older copy coming into force.
BOOST_AUTO_TEST_CASE(changeNumbersDecideAfterTheStoreWasRestored)
{
    ConfigurationSyncSettings settings;
    settings.bootstrapTimeout = 0s;
    Instant now(1000s);
    ConfigurationSync sync(settings, 1, now);
    auto read = [&](const ConfigurationRecord& stored) {
        sync.storeAnswered(std::span(&stored, 1), now);
        return applyAll(sync, now);
    };
    BOOST_TEST(read(numbered(12, 41)) == 12U);
    BOOST_TEST(read(numbered(10, 39)) == 12U);
    BOOST_TEST(read(numbered(12, 40)) == 12U);
    BOOST_TEST(read(numbered(13, 41)) == 13U);
    sync.peerAnswered("peer", { { numbered(12, 500) } }, now);
    BOOST_TEST(applyAll(sync, now) == 13U);
    ConfigurationLedger behind;
    behind.updateIfNewer(numbered(12, 500));
    BOOST_TEST(sync.ledger().newerThan({ behind.held() }).newer.size() == 1U);
    BOOST_TEST(behind.newerThan({ sync.ledger().held() }).newer.empty());
}

// Guards against nodes that query each other without end because they hold one document under two versions of the
// store.
BOOST_AUTO_TEST_CASE(digestIsTheSameForOneChangeUnderTwoStoreVersions)
{
    ConfigurationLedger before;
    ConfigurationLedger after;
    before.updateIfNewer(numbered(12, 41));
    after.updateIfNewer(numbered(12, 38));
    BOOST_TEST(before.digest() == after.digest());
    after.updateIfNewer(numbered(13, 41));
    BOOST_TEST(before.digest() != after.digest());
}

// Guards against a valid document that is refused because an invalid one had a higher version before the restoration.
BOOST_AUTO_TEST_CASE(rejectedDocumentDoesNotBlockANewerOneWithALowerVersion)
{
    ConfigurationSyncSettings settings;
    settings.bootstrapTimeout = 0s;
    Instant now(1000s);
    ConfigurationSync sync(settings, 1, now);
    ConfigurationRecord invalid = numbered(11, 41);
    ConfigurationRecord valid = numbered(12, 40);
    sync.storeAnswered(std::span(&invalid, 1), now);
    sync.takeActions();
    sync.rejected(invalid, now);
    sync.storeAnswered(std::span(&valid, 1), now);
    BOOST_TEST(applyAll(sync, now) == 12U);
}

// Guards against a document of a peer, which transmits no era, that is always older than one read from the store.
BOOST_AUTO_TEST_CASE(documentsWithoutANumberAreOrderedByRevision)
{
    ConfigurationLedger ledger;
    BOOST_TEST(ledger.updateIfNewer(document("main", makeVersion(3, 41))));
    BOOST_TEST(!ledger.updateIfNewer(document("main", 41)));
    BOOST_TEST(ledger.updateIfNewer(document("main", 45)));
    BOOST_TEST(!ledger.updateIfNewer(document("main", makeVersion(4, 44))));
}

// Guards against a change that no watcher sees because the restored store did not have the document when it was read.
BOOST_AUTO_TEST_CASE(documentThatTheStoreLacksIsWatched)
{
    ConfigurationSyncSettings settings;
    settings.reopensWatch = true;
    settings.readPeriod = 30s;
    settings.bootstrapTimeout = 0s;
    Instant now(1000s);
    ConfigurationSync sync(settings, 1, now);
    sync.roleChanged(WatchRole::Watcher, now);
    ConfigurationRecord stored = numbered(12, 41);
    sync.storeAnswered(std::span(&stored, 1), now);
    applyAll(sync, now);
    sync.watchAnswered("main", std::nullopt, now, WatchEnd::HistoryGone);
    sync.storeAnswered({}, now);
    std::vector<SyncAction> actions = sync.takeActions();
    BOOST_TEST(
        std::ranges::any_of(actions, [](const SyncAction& it) { return std::holds_alternative<WatchStore>(it); }));

    ConfigurationSync starting(settings, 1, now);
    starting.roleChanged(WatchRole::Watcher, now);
    starting.storeAnswered({}, now);
    starting.takeActions();
    starting.tick(now + settings.unavailableBackoff + settings.readJitter);
    BOOST_TEST(countReads(starting.takeActions()) == 1U);
}

// Tests when keys are accepted, by what a node knows about the newest configuration. One failure each, and a model of
// several nodes and a store in which messages are late, repeated and lost.
#define BOOST_TEST_MODULE ConfigurationFreshness
#include "core/ConfigurationFreshness.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <random>

using namespace Gooseberrymill;

namespace {

constexpr Duration bound = 5s;
constexpr Instant start { 1'000s };

ConfigurationFreshness freshNode(uint64_t stamp = 1)
{
    ConfigurationFreshness node(bound);
    node.setOwnStamp(stamp, start);
    node.confirmedByStore(stamp, start);
    return node;
}

// Takes the word of a peer for news of the moment at which it arrives, whatever its age.
class TrustingFreshness : public ConfigurationFreshness {
public:
    using ConfigurationFreshness::ConfigurationFreshness;
    void received(const FreshnessProof& proof, Instant /*askedAt*/, Instant now)
    {
        ConfigurationFreshness::received({ proof.configuration, 0 }, now);
    }
};

class CarefulFreshness : public ConfigurationFreshness {
public:
    using ConfigurationFreshness::ConfigurationFreshness;
    void received(const FreshnessProof& proof, Instant askedAt, Instant /*now*/)
    {
        ConfigurationFreshness::received(proof, askedAt);
    }
};

struct ModelResult {
    uint64_t accepted = 0; // moments at which a node accepted keys
    uint64_t refused = 0;
    uint64_t violations = 0; // accepted although a change was acknowledged more than the bound before
};

// Nodes, a store that answers late, and messages between nodes that are late, lost and repeated. A node that is cut off
// reaches neither the store nor other nodes.
template <typename Freshness> class Model {
public:
    Model(uint64_t seed, bool hasFaults)
        : m_random(seed)
        , m_hasFaults(hasFaults)
        , m_nodes(nodeCount, Node { Freshness(bound) })
    {
        m_changes.push_back(start);
        for (Node& node : m_nodes)
            node.freshness.setOwnStamp(1, start);
    }

    ModelResult run(Duration length)
    {
        for (Instant end = m_now + length; m_now < end; m_now += step) {
            Instant now = m_now;
            if (draw(400) == 0)
                m_changes.push_back(now);
            for (size_t i = 0; i < m_nodes.size(); ++i)
                tick(i, now);
            deliver(now);
            check(now);
        }
        return std::exchange(m_result, {});
    }

private:
    static constexpr size_t nodeCount = 5;
    static constexpr Duration step = 50ms;

    struct Node {
        Freshness freshness;
        uint64_t stamp = 1;
        bool isCutOff = false;
        Instant frozenUntil {};
    };

    struct Message {
        size_t to = 0;
        bool isFromStore = false;
        uint64_t stamp = 0; // of the store, or of the sender's own configuration
        FreshnessProof proof;
        Instant askedAt {};
    };

    uint64_t draw(uint64_t n) { return m_random() % n; }
    Duration delay()
    {
        if (!m_hasFaults)
            return std::chrono::milliseconds(5 + draw(40));
        return draw(4) ? std::chrono::milliseconds(5 + draw(200)) : std::chrono::milliseconds(draw(20'000));
    }

    void tick(size_t i, Instant now)
    {
        Node& node = m_nodes[i];
        if (m_hasFaults && draw(300) == 0)
            node.isCutOff = !node.isCutOff;
        if (m_hasFaults && draw(600) == 0)
            node.frozenUntil = now + std::chrono::seconds(draw(12));
        if (node.isCutOff || now < node.frozenUntil)
            return;
        bool asksStore = m_hasFaults ? draw(15) == 0 : (now - start) % Duration(1s) == Duration(0);
        if ((i < 2 && asksStore)
            || node.freshness.shouldAskStore(
                now)) // the store answers with what it holds now, and the answer takes its time
            m_messages.emplace(now + delay(), Message { i, true, m_changes.size(), {}, now });
        if (draw(5) == 0)
            ask(i, draw(nodeCount), now);
    }

    void ask(size_t from, size_t peer, Instant now)
    {
        Node& other = m_nodes[peer];
        Instant answeredAt = now + delay();
        if (other.isCutOff || now < other.frozenUntil)
            return;
        Message answer { from, false, other.stamp, other.freshness.proof(now), now };
        m_messages.emplace(answeredAt, answer);
        if (m_hasFaults && draw(3) == 0)
            m_messages.emplace(answeredAt + delay(), answer); // repeated
    }

    void deliver(Instant now)
    {
        while (!m_messages.empty() && m_messages.begin()->first <= now) {
            Message message = m_messages.begin()->second;
            m_messages.erase(m_messages.begin());
            Node& node = m_nodes[message.to];
            if (now < node.frozenUntil) {
                m_messages.emplace(node.frozenUntil, message);
                continue;
            }
            if (message.stamp > node.stamp) {
                node.stamp = message.stamp;
                node.freshness.setOwnStamp(node.stamp, now);
            }
            if (message.isFromStore)
                node.freshness.confirmedByStore(message.stamp, message.askedAt);
            else
                node.freshness.received(message.proof, message.askedAt, now);
        }
    }

    void check(Instant now)
    {
        for (const Node& node : m_nodes) {
            bool isAccepted = node.freshness.mayAcceptKeys(now);
            (isAccepted ? m_result.accepted : m_result.refused) += 1;
            // The first change that the node lacks; changes are numbered from 1.
            bool lacksOldChange = node.stamp < m_changes.size() && m_changes[node.stamp] + bound < now;
            m_result.violations += isAccepted && lacksOldChange;
        }
    }

    Instant m_now = start;
    std::mt19937_64 m_random;
    bool m_hasFaults;
    std::vector<Node> m_nodes;
    std::vector<Instant> m_changes; // when each change was acknowledged
    std::multimap<Instant, Message> m_messages; // by the time of their arrival
    ModelResult m_result;
};

} // namespace

// Guards against a node that goes on with keys after it has lost the store and its peers.
BOOST_AUTO_TEST_CASE(acceptsNoKeysWithoutNews)
{
    ConfigurationFreshness node = freshNode();
    BOOST_TEST(node.mayAcceptKeys(start + bound / 2));
    BOOST_TEST(!node.mayAcceptKeys(start + bound));
    BOOST_TEST(!node.mayAcceptKeys(start + 1h));
}

// Guards against a node that wakes from a freeze and accepts a key before it has heard anything: its clock ran on.
BOOST_AUTO_TEST_CASE(wakesWithoutTrust)
{
    ConfigurationFreshness node = freshNode();
    BOOST_TEST(node.mayAcceptKeys(start + 1s));
    BOOST_TEST(!node.mayAcceptKeys(start + 20s));
    node.confirmedByStore(1, start + 20s);
    BOOST_TEST(node.mayAcceptKeys(start + 20s));
}

// Guards against taking a late answer for news of the moment at which it arrives.
BOOST_AUTO_TEST_CASE(lateAnswerProvesThePast)
{
    ConfigurationFreshness node(bound);
    node.setOwnStamp(1, start);
    node.confirmedByStore(1, start);
    node.confirmedByStore(1, start - 3s); // arrives after the answer to a later question
    BOOST_TEST(node.mayAcceptKeys(start + bound / 2));
    ConfigurationFreshness late(bound);
    late.setOwnStamp(1, start);
    late.confirmedByStore(1, start - bound);
    BOOST_TEST(!late.mayAcceptKeys(start));
}

// Guards against a peer whose old news, sent again and again, keeps another node's keys alive.
BOOST_AUTO_TEST_CASE(repeatedProofDoesNotRenew)
{
    ConfigurationFreshness peer = freshNode();
    ConfigurationFreshness node(bound);
    node.setOwnStamp(1, start);
    for (Instant now = start; now < start + 1min; now += 100ms) {
        node.received(peer.proof(now), now);
        BOOST_TEST((now - start < bound || !node.mayAcceptKeys(now)));
    }
}

// Guards against a ring of nodes that keep one another's news alive without the store.
BOOST_AUTO_TEST_CASE(ringOfNodesLosesItsNews)
{
    std::vector<ConfigurationFreshness> ring(4, ConfigurationFreshness(bound));
    for (auto& node : ring)
        node.setOwnStamp(1, start);
    ring[0].confirmedByStore(1, start);
    size_t last = 0;
    for (Instant now = start; now < start + 1min; now += 20ms) {
        size_t next = (last + 1) % ring.size();
        ring[next].received(ring[last].proof(now - 10ms), now - 20ms);
        last = next;
        for (const auto& node : ring)
            BOOST_TEST((now - start < bound || !node.mayAcceptKeys(now)));
    }
}

// Guards against news about a newer configuration that vouches for the older one of this node.
BOOST_AUTO_TEST_CASE(newsOfANewerConfigurationCoversOnlyThatOne)
{
    ConfigurationFreshness node = freshNode(1);
    node.received({ 2, 0 }, start + 2s);
    BOOST_TEST(node.mayAcceptKeys(start + 3s)); // by the news about its own configuration
    BOOST_TEST(!node.mayAcceptKeys(start + 5s));
    node.setOwnStamp(2, start + 5s);
    BOOST_TEST(node.mayAcceptKeys(start + 5s));
}

// Guards against a process that accepts keys right after its start, before it can know which were taken away.
BOOST_AUTO_TEST_CASE(knowsNothingAfterAStart)
{
    ConfigurationFreshness node(bound);
    BOOST_TEST(!node.mayAcceptKeys(start));
    BOOST_TEST(node.shouldAskStore(start));
    node.setOwnStamp(3, start);
    BOOST_TEST(!node.mayAcceptKeys(start));
    BOOST_TEST((node.proof(start) == FreshnessProof {}));
}

// Guards against refusing every key after the store has come back from a copy that lacks the newest configuration.
BOOST_AUTO_TEST_CASE(restoredStoreConfirmsTheNewerConfiguration)
{
    ConfigurationFreshness node = freshNode(5);
    node.confirmedByStore(3, start + 4s);
    BOOST_TEST(node.mayAcceptKeys(start + 5s));
    BOOST_TEST(node.proof(start + 4s).configuration == 5U);
}

// Guards against a store that came back from an older copy and makes a node trust the configuration that it holds,
// although it has heard of a newer one that may have taken keys away.
BOOST_AUTO_TEST_CASE(restoredStoreDoesNotReviveAnOldConfiguration)
{
    ConfigurationFreshness node = freshNode(4);
    node.received({ 5, 0 }, start + 1s);
    BOOST_TEST(node.isBehind());
    node.confirmedByStore(4, start + 20s);
    BOOST_TEST(!node.mayAcceptKeys(start + 20s));
}

// Guards against a store that is asked although messages of other nodes bring news, and against one that is not asked
// before keys are refused.
BOOST_AUTO_TEST_CASE(asksTheStoreBeforeKeysAreRefused)
{
    ConfigurationFreshness node = freshNode();
    BOOST_TEST(!node.shouldAskStore(start + 2s));
    Instant asks = start;
    while (!node.shouldAskStore(asks))
        asks += 10ms;
    BOOST_TEST(node.mayAcceptKeys(asks + 500ms)); // time for a read that is answered at once, or sent a second time
    node.received({ 1, 100 }, asks);
    BOOST_TEST(!node.shouldAskStore(asks));
}

// Guards against a change of fleets that set no bound.
BOOST_AUTO_TEST_CASE(withoutABoundKeysAreAlwaysAccepted)
{
    ConfigurationFreshness node { Duration {} };
    BOOST_TEST(node.mayAcceptKeys(start));
    BOOST_TEST(!node.shouldAskStore(start));
    BOOST_TEST((node.proof(start) == FreshnessProof {}));
}

// Guards against any interleaving of late, lost and repeated messages, cuts and freezes in which a node accepts keys
// later than the bound after a change that it lacks. A node that trusts the word of peers must break it.
BOOST_AUTO_TEST_CASE(boundHoldsUnderFaults)
{
    uint64_t trustingViolations = 0;
    uint64_t accepted = 0;
    for (uint64_t seed = 1; seed <= 60; ++seed) {
        ModelResult result = Model<CarefulFreshness>(seed, true).run(120s);
        BOOST_TEST_CONTEXT("seed " << seed) { BOOST_TEST(result.violations == 0U); }
        accepted += result.accepted;
        trustingViolations += Model<TrustingFreshness>(seed, true).run(120s).violations;
    }
    BOOST_TEST(accepted > 0U);
    BOOST_TEST(trustingViolations > 0U);
}

// Guards against refusing keys in a fleet without faults, in which two nodes ask the store about once a second.
BOOST_AUTO_TEST_CASE(calmFleetRefusesNoKey)
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        Model<CarefulFreshness> model(seed, false);
        model.run(10s);
        ModelResult result = model.run(120s);
        BOOST_TEST_CONTEXT("seed " << seed) { BOOST_TEST(result.refused == 0U); }
    }
}

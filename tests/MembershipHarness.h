// Simulates a fleet of members in virtual time, with delay, loss, duplication, one-way cuts, partitions, kills,
// restarts and pauses.
#pragma once

#include "Gooseberrymill.h"

#include <fmt/format.h>
#include <memory>
#include <queue>
#include <set>

namespace Gooseberrymill {

struct HarnessOptions {
    size_t members = 12;
    size_t upstreamsPerNode = 1;
    size_t serviceCount = 3;
    double loss = 0; // probability that a datagram is lost, 0..1
    double duplication = 0; // probability that a datagram is delivered twice, 0..1
    uint64_t seed = 1;
    bool isJoined = false; // members know each other from the start, so that a large fleet need not join first
};

class MembershipHarness {
public:
    struct Node {
        std::unique_ptr<Membership> membership; // null while the node is killed
        std::string address;
        std::string name;
        uint64_t startCount = 0;
        bool isPaused = false;
        std::vector<std::pair<Instant, MembershipChange>> changes;
        uint64_t bytes = 0; // bytes sent by killed processes of this node
    };

    explicit MembershipHarness(HarnessOptions options)
        : m_options(options)
        , m_random(options.seed)
    {
        for (size_t i = 0; i < options.members; ++i) {
            Node node;
            node.address = fmt::format("10.{}.{}.{}:7000", i / 62500, i / 250 % 250, i % 250);
            node.name = fmt::format("node-{:05}", i);
            m_indexByAddress[node.address] = i;
            nodes.push_back(std::move(node));
        }
        for (size_t i = 0; i < options.members; ++i)
            start(i);
        if (options.isJoined)
            fillTables();
    }

    static Location locationOf(size_t i)
    {
        // Two regions of three data centres, as at the target scale.
        return { fmt::format("region-{}", i % 2), fmt::format("dc-{}", i % 6) };
    }

    void start(size_t i)
    {
        Node& node = nodes[i];
        NodeRecord record;
        record.name = node.name;
        record.incarnation = { m_random(), m_random() };
        record.startedAt = static_cast<uint64_t>(now.time_since_epoch().count()) / 1000 + ++node.startCount;
        record.gossipAddress = node.address;
        record.relayAddress = node.address;
        record.location = locationOf(i);
        for (size_t u = 0; u < m_options.upstreamsPerNode; ++u) {
            record.upstreams.push_back({ fmt::format("upstream-{}-{}", i, u),
                fmt::format("service-{}", (i + u) % m_options.serviceCount), 7, UpstreamState::Ready, 0, 1 });
        }
        MembershipSettings settings;
        for (size_t s = 0; s < std::min<size_t>(3, nodes.size()); ++s)
            settings.seeds.push_back(nodes[s].address);
        node.membership = std::make_unique<Membership>(settings, record, m_random(), now);
    }

    // Gives each member the records of all others, as if it had fetched the table.
    void fillTables()
    {
        GossipMessage message;
        for (const Node& node : nodes) {
            const NodeRecord& it = node.membership->self();
            message.kind = GossipKind::SyncReply;
            message.sender = it.name;
            message.incarnation = it.incarnation;
            message.startedAt = it.startedAt;
            message.updates.push_back({ memberKey(it.incarnation), it.counter, NodeStatus::Alive,
                static_cast<uint32_t>(it.upstreams.size()),
                NodeIdentity { it.name, it.incarnation, it.startedAt, it.gossipAddress, it.relayAddress, it.location },
                {} });
            for (const UpstreamRecord& upstream : it.upstreams)
                message.updates.back().upstreams.push_back({ upstream, 1 });
        }
        message.probe = 1;
        for (size_t i = 0; i < nodes.size(); ++i) {
            message.sender = nodes[i ? 0 : 1].name;
            message.incarnation = nodes[i ? 0 : 1].membership->self().incarnation;
            message.startedAt = nodes[i ? 0 : 1].membership->self().startedAt;
            nodes[i].membership->received(message, nodes[i ? 0 : 1].address, now);
            nodes[i].membership->takeMessages();
            nodes[i].membership->takeChanges();
        }
    }

    void kill(size_t i)
    {
        if (nodes[i].membership)
            nodes[i].bytes += nodes[i].membership->counters().bytes;
        nodes[i].membership.reset();
    }

    // Drops all datagrams in one direction.
    void cut(size_t from, size_t to) { m_cuts.insert({ from, to }); }
    void healAll()
    {
        m_cuts.clear();
        side.clear();
    }
    void partition(const std::function<int(size_t)>& sideOf)
    {
        side.resize(nodes.size());
        for (size_t i = 0; i < nodes.size(); ++i)
            side[i] = sideOf(i);
    }

    void run(Duration duration)
    {
        Instant end = now + duration;
        while (now < end) {
            now += 10ms;
            while (!m_inFlight.empty() && m_inFlight.top().at <= now) {
                Delivery delivery = m_inFlight.top();
                m_inFlight.pop();
                deliver(delivery);
            }
            for (size_t i = 0; i < nodes.size(); ++i) {
                if (!nodes[i].membership || nodes[i].isPaused || (now.time_since_epoch() / 10ms + i) % 5)
                    continue;
                nodes[i].membership->tick(now);
                collect(i);
            }
        }
    }

    // Stores the changes of a member and sends its messages.
    void collect(size_t i)
    {
        Node& node = nodes[i];
        for (auto& change : node.membership->takeChanges())
            node.changes.emplace_back(now, std::move(change));
        for (OutgoingGossip& out : node.membership->takeMessages())
            sendDatagram(i, std::move(out));
    }

    // Runs until all running members satisfy `predicate`, and returns the virtual time that it took. Empty if they do
    // not within `limit`.
    std::optional<Duration> runUntil(const std::function<bool(const Membership&)>& predicate, Duration limit)
    {
        Instant begin = now;
        while (now - begin <= limit) {
            bool all = true;
            for (size_t i = 0; i < nodes.size() && all; ++i) {
                if (nodes[i].membership && !nodes[i].isPaused)
                    all = predicate(*nodes[i].membership);
            }
            if (all)
                return now - begin;
            run(10ms);
        }
        return std::nullopt;
    }

    size_t count(MemberEvent event, Instant since, std::string_view about = {}) const
    {
        size_t n = 0;
        for (const Node& node : nodes) {
            for (const auto& [at, change] : node.changes)
                n += at > since && change.event == event && (about.empty() || about == change.node);
        }
        return n;
    }

    uint64_t totalBytes() const
    {
        uint64_t bytes = 0;
        for (const Node& node : nodes)
            bytes += node.bytes + (node.membership ? node.membership->counters().bytes : 0);
        return bytes;
    }

    std::vector<Node> nodes;
    Instant now {};
    std::vector<int> side; // by node; datagrams between different sides are lost; empty without a partition
    std::function<bool(size_t from, size_t to, const GossipMessage&)> drop; // set by a test: true drops the datagram

private:
    struct Delivery {
        Instant at;
        uint64_t order;
        size_t from;
        size_t to;
        std::shared_ptr<const GossipMessage> message;
        bool operator<(const Delivery& other) const { return std::pair(other.at, other.order) < std::pair(at, order); }
    };

    bool chance(double p) { return std::generate_canonical<double, 53>(m_random) < p; }

    void sendDatagram(size_t from, OutgoingGossip out)
    {
        auto it = m_indexByAddress.find(out.address);
        if (it == m_indexByAddress.end())
            return;
        size_t to = it->second;
        if (m_cuts.contains({ from, to }) || (!side.empty() && side[from] != side[to]) || chance(m_options.loss))
            return;
        if (drop && drop(from, to, out.message))
            return;
        auto message = std::make_shared<const GossipMessage>(std::move(out.message));
        for (int copies = chance(m_options.duplication) ? 2 : 1; copies; --copies) {
            Duration delay = from % 2 == to % 2 ? 1ms : 30ms;
            delay += Duration(m_random() % 2000);
            m_inFlight.push({ now + delay, m_order++, from, to, message });
        }
    }

    void deliver(const Delivery& delivery)
    {
        Node& node = nodes[delivery.to];
        if (!node.membership)
            return;
        if (node.isPaused) {
            // Datagrams to a paused process wait in its socket buffer.
            Delivery later = delivery;
            later.at = now + 50ms;
            m_inFlight.push(later);
            return;
        }
        node.membership->received(*delivery.message, nodes[delivery.from].address, now);
        collect(delivery.to);
    }

    HarnessOptions m_options;
    std::mt19937_64 m_random;
    std::map<std::string, size_t> m_indexByAddress;
    std::set<std::pair<size_t, size_t>> m_cuts;
    std::priority_queue<Delivery> m_inFlight;
    uint64_t m_order = 0;
};

} // namespace Gooseberrymill

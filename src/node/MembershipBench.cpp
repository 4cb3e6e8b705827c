#include "MembershipBench.h"

#include "GossipCodec.h"

#include <algorithm>
#include <ctime>
#include <fmt/format.h>
#include <malloc.h>

namespace Gooseberrymill {

namespace {

constexpr Duration tickPeriod = 50ms;

double cpuSeconds()
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

double allocatedBytes()
{
    struct mallinfo2 info = mallinfo2();
    return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

// One real member; its peers are played: they answer probes, and send what peers would send.
class Bench {
public:
    Bench(const MembershipBenchOptions& options, size_t nodes)
        : m_options(options)
        , m_nodes(nodes)
        , m_key(32, 1)
        , m_encoder(m_key)
        , m_decoder(m_key)
        , m_random(options.seed)
    {
        m_services = std::max<size_t>(1, options.serviceCount * nodes / options.referenceNodes);
        for (size_t i = 0; i < nodes; ++i)
            m_records.push_back(makeRecord(i));
        m_sequences.assign(nodes, 0);
    }

    MembershipBenchRow run()
    {
        MembershipBenchRow row;
        row.nodes = m_nodes;
        row.upstreams = m_nodes * m_options.upstreamsPerNode;
        double before = allocatedBytes();
        m_membership = std::make_unique<Membership>(MembershipSettings {}, m_records.front(), m_options.seed, m_now);
        fillTable();
        m_membership->takeChanges();
        m_membership->takeMessages();
        row.bytesTotal = allocatedBytes() - before;
        row.bytesPerNode = row.bytesTotal / static_cast<double>(m_nodes);
        row.bytesPerUpstream = row.bytesTotal / static_cast<double>(row.upstreams);
        before = allocatedBytes();
        double cpu = cpuSeconds();
        auto list = std::make_unique<CandidateList>(makeCandidates(*m_membership));
        row.candidateMillis = (cpuSeconds() - cpu) * 1e3;
        row.candidateBytes = allocatedBytes() - before;
        list.reset();

        runFor(Duration(20s)); // the table is known to all; what the fill queued drains
        m_cpu = {};
        uint64_t sent = m_sentBytes;
        double rate = m_options.restartsPerDay / 86400 * static_cast<double>(m_nodes)
            / static_cast<double>(m_options.referenceNodes);
        m_changesPerSecond = rate;
        runFor(m_options.length);
        double seconds = std::chrono::duration<double>(m_options.length).count();
        row.tickMicros = m_cpu.tick / static_cast<double>(std::max<size_t>(1, m_cpu.ticks)) * 1e6;
        row.receiveMicros = m_cpu.receive / static_cast<double>(std::max<size_t>(1, m_cpu.received)) * 1e6;
        row.cpuShare = (m_cpu.tick + m_cpu.receive) / seconds;
        row.sentPerSecond = static_cast<double>(m_sentBytes - sent) / seconds;

        sent = m_sentBytes;
        for (size_t i = 1; i < m_nodes; ++i)
            m_isDown.push_back(i % m_options.dataCentres == m_options.dataCentres - 1);
        m_isDown.insert(m_isDown.begin(), false);
        m_lossAt = m_now;
        for (Duration at {}; at < m_options.length; at += 1s) {
            uint64_t start = m_sentBytes;
            runFor(1s);
            row.lossPeakPerSecond = std::max(row.lossPeakPerSecond, static_cast<double>(m_sentBytes - start));
        }
        row.lossSentPerSecond = static_cast<double>(m_sentBytes - sent) / seconds;
        row.lossQueue = m_membership->queuedUpdates();
        return row;
    }

private:
    NodeRecord makeRecord(size_t i)
    {
        NodeRecord record;
        record.name = fmt::format("node-{:05}", i);
        record.incarnation = { m_random(), m_random() };
        record.startedAt = 1;
        record.gossipAddress = fmt::format("10.{}.{}.{}:7000", i / 62500, i / 250 % 250, i % 250);
        record.relayAddress = record.gossipAddress;
        record.location = { fmt::format("region-{}", i % 2), fmt::format("dc-{}", i % m_options.dataCentres) };
        for (size_t u = 0; u < m_options.upstreamsPerNode; ++u) {
            record.upstreams.push_back({ fmt::format("upstream-{:05}-{:02}", i, u),
                fmt::format("service-{:04}", (i * m_options.upstreamsPerNode + u) % m_services), 7,
                UpstreamState::Ready, 0, 1 });
        }
        return record;
    }

    GossipMessage messageFrom(size_t i, GossipKind kind)
    {
        GossipMessage message;
        message.kind = kind;
        message.sender = m_records[i].name;
        message.incarnation = m_records[i].incarnation;
        message.startedAt = 1;
        message.sequence = ++m_sequences[i];
        message.revision = static_cast<uint32_t>(m_options.upstreamsPerNode + m_changes[i]);
        message.liveCount = static_cast<uint32_t>(m_membership->liveCount());
        return message;
    }

    void fillTable()
    {
        for (size_t i = 1; i < m_nodes; ++i) {
            const NodeRecord& record = m_records[i];
            GossipMessage message = messageFrom(i, GossipKind::SyncReply);
            message.probe = 1;
            MemberUpdate update { memberKey(record.incarnation), 0, NodeStatus::Alive, message.revision,
                NodeIdentity {
                    record.name, record.incarnation, 1, record.gossipAddress, record.relayAddress, record.location },
                {} };
            for (const UpstreamRecord& it : record.upstreams)
                update.upstreams.push_back({ it, 1 });
            message.updates.push_back(std::move(update));
            m_membership->received(message, record.gossipAddress, m_now);
        }
    }

    bool isDown(size_t i) const { return !m_isDown.empty() && m_isDown[i]; }

    void deliver(size_t i, const GossipMessage& message)
    {
        std::error_code ec;
        auto datagram = m_encoder.encode(message, ec);
        double cpu = cpuSeconds();
        auto decoded = m_decoder.decode(datagram, ec);
        if (decoded)
            m_membership->received(*decoded, m_records[i].gossipAddress, m_now);
        m_cpu.receive += cpuSeconds() - cpu;
        ++m_cpu.received;
    }

    void answer()
    {
        // Answers lead to further messages, which are answered in the next step.
        for (OutgoingGossip& out : m_membership->takeMessages()) {
            std::error_code ec;
            m_sentBytes += m_encoder.encode(out.message, ec).size() + 28; // IP and UDP headers
            if (out.message.kind != GossipKind::Ping)
                continue;
            auto it = std::ranges::find(m_records, out.address, &NodeRecord::gossipAddress);
            if (it == m_records.end())
                continue;
            auto i = static_cast<size_t>(it - m_records.begin());
            if (isDown(i))
                continue;
            GossipMessage ack = messageFrom(i, GossipKind::Ack);
            ack.probe = out.message.probe;
            deliver(i, ack);
        }
        m_membership->takeChanges();
    }

    size_t randomPeer()
    {
        size_t i = 0;
        do
            i = 1 + m_random() % (m_nodes - 1);
        while (isDown(i));
        return i;
    }

    // What reaches this node in a second: two pings, and each change about as often as a node repeats it.
    void peersSend()
    {
        for (int n = 0; n < 2; ++n) {
            size_t i = randomPeer();
            GossipMessage ping = messageFrom(i, GossipKind::Ping);
            ping.probe = m_random();
            deliver(i, ping);
        }
        m_pendingChanges += m_changesPerSecond;
        // A restart changes the state of an upstream three times: draining, cold, ready.
        for (; m_pendingChanges >= 1; m_pendingChanges -= 1) {
            for (UpstreamState state : { UpstreamState::Draining, UpstreamState::Cold, UpstreamState::Ready })
                sendChange(randomPeer(), state);
        }
        if (m_lossAt)
            sendDeaths();
    }

    void sendChange(size_t i, UpstreamState state)
    {
        const NodeRecord& record = m_records[i];
        ++m_changes[i];
        UpstreamRecord upstream = record.upstreams.front();
        upstream.state = state;
        for (size_t copies = m_membership->retransmitLimit(); copies; --copies) {
            size_t from = randomPeer();
            GossipMessage message = messageFrom(from, GossipKind::Update);
            message.updates.push_back({ memberKey(record.incarnation), 0, NodeStatus::Alive,
                static_cast<uint32_t>(m_options.upstreamsPerNode + m_changes[i]), std::nullopt,
                { { upstream, m_changes[i] + 1 } } });
            deliver(from, message);
        }
    }

    // The other members' findings arrive over ten seconds, suspicion first.
    void sendDeaths()
    {
        auto second = static_cast<size_t>((m_now - *m_lossAt) / 1s);
        for (size_t i = 1; i < m_nodes; ++i) {
            if (!isDown(i) || (i / m_options.dataCentres) % 10 != second)
                continue;
            for (NodeStatus status : { NodeStatus::Suspect, NodeStatus::Dead }) {
                size_t from = randomPeer();
                GossipMessage message = messageFrom(from, GossipKind::Update);
                message.updates.push_back({ memberKey(m_records[i].incarnation), 0, status, 0, {}, {} });
                deliver(from, message);
            }
        }
    }

    void runFor(Duration duration)
    {
        Instant end = m_now + duration;
        while (m_now < end) {
            m_now += tickPeriod;
            if (m_now.time_since_epoch() % Duration(1s) == Duration(0))
                peersSend();
            double cpu = cpuSeconds();
            if (m_options.sendsHealth && m_now.time_since_epoch() % Duration(500ms) == Duration(0)) {
                for (const UpstreamRecord& it : m_records.front().upstreams)
                    m_membership->sendHealth(
                        { it.name, { { 1, 40, 0, 9.2F, 0.25F }, { 2, 12, 1, 9.9F, 0.3F } } }, m_now);
            }
            m_membership->tick(m_now);
            m_cpu.tick += cpuSeconds() - cpu;
            ++m_cpu.ticks;
            answer();
        }
    }

    struct Cpu {
        double tick = 0;
        double receive = 0;
        size_t ticks = 0;
        size_t received = 0;
    };

    const MembershipBenchOptions& m_options;
    size_t m_nodes;
    size_t m_services = 1;
    std::vector<uint8_t> m_key;
    GossipCodec m_encoder;
    GossipCodec m_decoder;
    std::mt19937_64 m_random;
    std::vector<NodeRecord> m_records;
    std::vector<uint64_t> m_sequences;
    std::map<size_t, uint64_t> m_changes; // of the first upstream of a node
    std::vector<bool> m_isDown;
    std::optional<Instant> m_lossAt;
    std::unique_ptr<Membership> m_membership;
    Instant m_now {};
    double m_changesPerSecond = 0;
    double m_pendingChanges = 0;
    uint64_t m_sentBytes = 0;
    Cpu m_cpu;
};

} // namespace

std::vector<MembershipBenchRow> runMembershipBench(const MembershipBenchOptions& options)
{
    std::vector<MembershipBenchRow> rows;
    for (size_t nodes : options.nodeCounts)
        rows.push_back(Bench(options, nodes).run());
    return rows;
}

std::string formatMembershipBench(std::span<const MembershipBenchRow> rows)
{
    std::string text
        = fmt::format("{:>6} {:>9} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8} {:>7} {:>7} {:>7} {:>7} {:>6}\n", "nodes",
            "upstreams", "MB", "B/node", "B/upstr", "cand MB", "cand ms", "tick us", "recv us", "core %", "B/s", "loss",
            "peak", "queue");
    for (const MembershipBenchRow& it : rows) {
        text += fmt::format(
            "{:>6} {:>9} {:>8.1f} {:>8.0f} {:>8.0f} {:>8.1f} {:>8.1f} {:>8.1f} {:>8.1f} {:>7.2f} {:>7.0f} "
            "{:>7.0f} {:>7.0f} {:>6}\n",
            it.nodes, it.upstreams, it.bytesTotal / 1e6, it.bytesPerNode, it.bytesPerUpstream, it.candidateBytes / 1e6,
            it.candidateMillis, it.tickMicros, it.receiveMicros, it.cpuShare * 100, it.sentPerSecond,
            it.lossSentPerSecond, it.lossPeakPerSecond, it.lossQueue);
    }
    return text;
}

std::string formatMembershipBenchCsv(std::span<const MembershipBenchRow> rows)
{
    std::string text = "nodes,upstreams,bytes,bytes_per_node,bytes_per_upstream,candidate_bytes,candidate_ms,tick_us,"
                       "receive_us,cpu_share,sent_per_s,loss_sent_per_s,loss_peak_per_s,loss_queue\n";
    for (const MembershipBenchRow& it : rows) {
        text += fmt::format("{},{},{:.0f},{:.0f},{:.0f},{:.0f},{:.2f},{:.2f},{:.2f},{:.5f},{:.0f},{:.0f},{:.0f},{}\n",
            it.nodes, it.upstreams, it.bytesTotal, it.bytesPerNode, it.bytesPerUpstream, it.candidateBytes,
            it.candidateMillis, it.tickMicros, it.receiveMicros, it.cpuShare, it.sentPerSecond, it.lossSentPerSecond,
            it.lossPeakPerSecond, it.lossQueue);
    }
    return text;
}

} // namespace Gooseberrymill

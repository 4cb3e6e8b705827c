#include "CapacityBench.h"

#include "ClaimJson.h"
#include "ConfigurationFile.h"
#include "ConfigurationPublisher.h"
#include "core/CandidateCache.h"
#include "core/ConfigurationLedger.h"
#include "core/HealthMonitor.h"
#include "core/OperationTable.h"
#include "core/QueryOfDeathFilter.h"
#include "RelayFrames.h"
#include "RosterJson.h"
#include "Verbs.h"

#include <algorithm>
#include <cassert>
#include <ctime>
#include <fmt/format.h>
#include <malloc.h>

namespace Gooseberrymill {

namespace {

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

// Least processor time of one call, in microseconds.
template <typename Function> double leastMicros(size_t repeats, size_t calls, Function function)
{
    double least = 1e9;
    for (size_t i = 0; i < repeats; ++i) {
        double start = cpuSeconds();
        for (size_t n = 0; n < calls; ++n)
            function(n);
        least = std::min(least, (cpuSeconds() - start) / static_cast<double>(calls));
    }
    return least * 1e6;
}

// Keeps the compiler from dropping a computation whose result is not used.
template <typename T> void keep(const T& value) { asm volatile("" : : "g"(&value) : "memory"); }

double perEntry(double bytes, size_t n) { return bytes / static_cast<double>(n); }

Instant at(Duration time) { return Instant(1000s + time); }

//-----------------------------------------------------------------------------
// [SECTION] Membership tables
//-----------------------------------------------------------------------------

NodeRecord makeRecord(size_t i, size_t upstreams, size_t services)
{
    NodeRecord record;
    record.name = fmt::format("node-{:05}", i);
    record.incarnation = { i + 1, 7 };
    record.startedAt = 1;
    record.gossipAddress = fmt::format("10.{}.{}.{}:7000", i / 62500, i / 250 % 250, i % 250);
    record.relayAddress = record.gossipAddress;
    record.location = { fmt::format("region-{}", i % 2), fmt::format("dc-{}", i % 6) };
    for (size_t u = 0; u < upstreams; ++u) {
        record.upstreams.push_back({ fmt::format("upstream-{:05}-{:02}", i, u),
            fmt::format("service-{:04}", (i * upstreams + u) % services), 7, UpstreamState::Ready, 0, 1 });
    }
    return record;
}

void deliver(Membership& membership, const NodeRecord& record, GossipKind kind, uint64_t version, uint64_t sequence)
{
    GossipMessage message;
    message.kind = kind;
    message.sender = record.name;
    message.incarnation = record.incarnation;
    message.startedAt = 1;
    message.sequence = sequence;
    message.probe = 1;
    message.liveCount = 1;
    message.revision = static_cast<uint32_t>(record.upstreams.size() * version);
    MemberUpdate update { memberKey(record.incarnation), 0, NodeStatus::Alive, message.revision,
        NodeIdentity { record.name, record.incarnation, 1, record.gossipAddress, record.relayAddress, record.location },
        {} };
    for (const UpstreamRecord& it : record.upstreams)
        update.upstreams.push_back({ it, version });
    message.updates.push_back(std::move(update));
    membership.received(message, record.gossipAddress, at(0s));
}

struct Fleet {
    std::vector<NodeRecord> records;
    std::unique_ptr<Membership> membership;
};

Fleet makeFleet(size_t nodes, size_t upstreams, size_t services)
{
    Fleet fleet;
    for (size_t i = 0; i < nodes; ++i)
        fleet.records.push_back(makeRecord(i, upstreams, services));
    fleet.membership = std::make_unique<Membership>(MembershipSettings {}, fleet.records.front(), 1, at(0s));
    for (size_t i = 1; i < nodes; ++i)
        deliver(*fleet.membership, fleet.records[i], GossipKind::SyncReply, 1, 1);
    fleet.membership->takeChanges();
    fleet.membership->takeMessages();
    return fleet;
}

size_t servicesAt(const CapacityBenchOptions& options, size_t nodes)
{
    return std::max<size_t>(options.upstreamsPerNode, options.serviceCount * nodes / options.referenceNodes);
}

} // namespace

std::vector<CapacityRow> benchMembership(const CapacityBenchOptions& options)
{
    MembershipBenchOptions bench;
    bench.nodeCounts = options.nodeCounts;
    bench.length = options.gossipLength;
    std::vector<CapacityRow> rows;
    for (const MembershipBenchRow& it : runMembershipBench(bench)) {
        rows.push_back({ "membership", "table", it.nodes, it.bytesTotal / 1e6, "MB" });
        rows.push_back({ "membership", "table per node", it.nodes, it.bytesPerNode, "B" });
        rows.push_back({ "membership", "gossip sent, restarts", it.nodes, it.sentPerSecond, "B/s" });
        rows.push_back({ "membership", "gossip sent, data centre lost", it.nodes, it.lossSentPerSecond, "B/s" });
        rows.push_back({ "membership", "receive one datagram", it.nodes, it.receiveMicros, "us" });
        rows.push_back({ "membership", "tick", it.nodes, it.tickMicros, "us" });
        rows.push_back({ "membership", "share of a core", it.nodes, it.cpuShare * 100, "%" });
    }
    bench.sendsHealth = true;
    for (const MembershipBenchRow& it : runMembershipBench(bench)) {
        rows.push_back({ "membership", "gossip and health sent, restarts", it.nodes, it.sentPerSecond, "B/s" });
        rows.push_back(
            { "membership", "gossip and health sent, data centre lost", it.nodes, it.lossSentPerSecond, "B/s" });
        rows.push_back({ "membership", "share of a core, with health", it.nodes, it.cpuShare * 100, "%" });
    }
    return rows;
}

//-----------------------------------------------------------------------------
// [SECTION] Candidates and balancers
//-----------------------------------------------------------------------------

std::vector<CapacityRow> benchCandidates(const CapacityBenchOptions& options)
{
    std::vector<CapacityRow> rows;
    for (size_t nodes : options.nodeCounts) {
        size_t services = servicesAt(options, nodes);
        Fleet fleet = makeFleet(nodes, options.upstreamsPerNode, services);
        Membership& membership = *fleet.membership;
        auto add = [&](std::string measure, double value, std::string unit) {
            rows.push_back({ "candidates", std::move(measure), nodes, value, std::move(unit) });
        };
        double before = allocatedBytes();
        double cpu = cpuSeconds();
        auto whole = std::make_unique<CandidateList>(makeCandidates(membership));
        add("whole list, built", (cpuSeconds() - cpu) * 1e3, "ms");
        add("whole list", (allocatedBytes() - before) / 1e6, "MB");
        whole.reset();

        before = allocatedBytes();
        CandidateCache cache;
        cpu = cpuSeconds();
        for (const NodeRecord& it : fleet.records)
            cache.noteChange(membership, it.name);
        CandidateChanges all = cache.takeChanges(membership, at(0s));
        add("lists by service, first build", (cpuSeconds() - cpu) * 1e3, "ms");
        double bytes = allocatedBytes() - before;
        add("lists by service", bytes / 1e6, "MB");
        add("lists by service, per upstream", perEntry(bytes, nodes * options.upstreamsPerNode), "B");

        before = allocatedBytes();
        std::vector<Balancer> balancers;
        for (size_t i = 0; i < options.workers; ++i) {
            balancers.emplace_back(Location { "region-0", "dc-0" }, i + 1);
            for (const ServiceCandidates& it : all)
                balancers.back().setServiceCandidates(it.service, it.candidates, at(0s));
        }
        add("index of all workers", (allocatedBytes() - before) / 1e6, "MB");
        std::mt19937_64 random(1);
        std::string service;
        auto request = [&](Balancer& balancer, size_t index, Instant now) {
            service = fmt::format("service-{:04}", index);
            const Candidate* candidate
                = balancer.choose({ .service = service, .affinity = std::nullopt, .exclude = {} }, now);
            assert(candidate);
            balancer.started(candidate->upstream, now);
            balancer.finished(candidate->upstream, {}, now);
        };
        double share = options.requestsPerSecond / static_cast<double>(options.workers);
        for (Duration time {}; time < 60s; time += Duration(static_cast<int64_t>(1e6 / share))) {
            for (Balancer& it : balancers)
                request(it, random() % services, at(time));
        }
        add("index and state of all workers, 60 s of even requests", (allocatedBytes() - before) / 1e6, "MB");
        for (Balancer& it : balancers) {
            for (size_t i = 0; i < services; ++i)
                request(it, i, at(60s));
        }
        add("index and state of all workers, all services in use", (allocatedBytes() - before) / 1e6, "MB");
        add("choice",
            leastMicros(options.repeats, 1000, [&](size_t n) { request(balancers[0], n % services, at(60s)); }), "us");

        // One upstream of one node drains and returns.
        uint64_t version = 1;
        double least = 1e9;
        all.clear();
        for (size_t i = 0; i < 20 * options.repeats; ++i) {
            NodeRecord& record = fleet.records[1 + i % (nodes - 1)];
            UpstreamRecord& upstream = record.upstreams.front();
            upstream.state = UpstreamState::Draining;
            deliver(membership, record, GossipKind::Update, ++version, i + 2);
            double start = cpuSeconds();
            cache.noteChange(membership, record.name);
            CandidateChanges changes = cache.takeChanges(membership, at(1s * (i + 1)));
            for (Balancer& it : balancers) {
                for (const ServiceCandidates& each : changes)
                    it.setServiceCandidates(each.service, each.candidates, at(60s));
            }
            least = std::min(least, cpuSeconds() - start);
            membership.takeChanges();
            membership.takeMessages();
        }
        add("one change, rebuild and hand over", least * 1e6, "us");
        add("views of one service for an ejection",
            leastMicros(options.repeats, 100,
                [&](size_t n) {
                    keep(makeUpstreamViews(membership, cache, fmt::format("service-{:04}", n % services), at(60s)));
                }),
            "us");
        add("views of one service by a scan",
            leastMicros(2, 3, [&](size_t) { keep(makeUpstreamViews(membership, "service-0000", at(60s))); }), "us");
        add("choice of the watch role", leastMicros(2, 3, [&](size_t) { keep(chooseWatchRole(membership)); }), "us");
    }
    return rows;
}

//-----------------------------------------------------------------------------
// [SECTION] Routes, documents, ledger
//-----------------------------------------------------------------------------

namespace {

constexpr size_t routesPerService = 9;
constexpr size_t servicesPerDocument = 40;

std::string makeDocument(size_t document, size_t routes)
{
    std::string text = fmt::format("name = \"document-{:04}\"\n", document);
    for (size_t i = 0; i < routes; ++i) {
        size_t service = document * servicesPerDocument + i / routesPerService;
        if (i % routesPerService == 0) {
            text += fmt::format(
                "\n[[service]]\nname = \"service-{:04}\"\nupstreams = 24\nslots = 7\nfloorSlots = 112\n", service);
        }
        text += fmt::format(
            "\n[[service.route]]\nname = \"route-{0}\"\npath = \"/service-{1:04}/part-{0}/*\"\nmethods = "
            "[\"GET\", \"POST\"]\nrepeatable = true\n",
            i % routesPerService, service);
    }
    return text;
}

} // namespace

std::vector<CapacityRow> benchRoutes(const CapacityBenchOptions& options)
{
    std::vector<CapacityRow> rows;
    constexpr size_t routesPerDocument = routesPerService * servicesPerDocument;
    for (size_t routes : options.routeCounts) {
        auto add = [&](std::string item, std::string measure, double value, std::string unit) {
            rows.push_back({ std::move(item), std::move(measure), routes, value, std::move(unit) });
        };
        std::vector<ConfigurationRecord> records;
        std::vector<std::string> objects;
        double textBytes = 0;
        for (size_t n = 0; n * routesPerDocument < routes; ++n) {
            std::string text = makeDocument(n, std::min(routesPerDocument, routes - n * routesPerDocument));
            textBytes += static_cast<double>(text.size());
            objects.push_back(printConfigurationObject(
                ConfigurationObject { text, "change", "operator", "2026-01-01T00:00:00Z", "" }));
            records.push_back({ fmt::format("document-{:04}", n), 1, "change", "operator", std::move(text) });
        }
        add("documents", "text", textBytes / 1e6, "MB");
        double objectBytes = 0;
        for (const std::string& it : objects)
            objectBytes += static_cast<double>(it.size());
        add("documents", "bytes of one read of all objects", objectBytes / 1e6, "MB");
        add("documents", "decode one read of all objects",
            leastMicros(options.repeats, 1,
                [&](size_t) {
                    for (const std::string& it : objects)
                        keep(parseConfigurationObject(it));
                })
                / 1e3,
            "ms");

        double before = allocatedBytes();
        double cpu = cpuSeconds();
        std::vector<std::shared_ptr<const Configuration>> documents;
        for (const ConfigurationRecord& it : records) {
            auto parsed = parseConfiguration(it.text, it.name);
            assert(parsed.value);
            documents.push_back(std::make_shared<const Configuration>(std::move(*parsed.value)));
        }
        add("documents", "parse all", (cpuSeconds() - cpu) * 1e3, "ms");
        double bytes = allocatedBytes() - before;
        add("documents", "in memory", bytes / 1e6, "MB");
        add("documents", "in memory per route", perEntry(bytes, routes), "B");

        before = allocatedBytes();
        cpu = cpuSeconds();
        auto table = std::make_unique<RouteTable>(documents);
        add("route table", "build", (cpuSeconds() - cpu) * 1e3, "ms");
        add("route table", "per route", perEntry(allocatedBytes() - before, routes), "B");
        assert(routes > 0);
        std::vector<std::string> targets;
        for (size_t i = 0; i < 1000; ++i) {
            size_t route = i * 7919 % routes;
            targets.push_back(fmt::format("/service-{:04}/part-{}/item?x=1",
                route / routesPerDocument * servicesPerDocument + route % routesPerDocument / routesPerService,
                route % routesPerDocument % routesPerService));
        }
        add("route table", "lookup",
            1e3
                * leastMicros(options.repeats, targets.size(),
                    [&](size_t n) {
                        auto match = table->match("GET", targets[n]);
                        assert(match);
                        keep(match);
                    }),
            "ns");

        before = allocatedBytes();
        ConfigurationLedger ledger;
        for (const ConfigurationRecord& it : records)
            ledger.updateIfNewer(it);
        add("ledger", "in memory", (allocatedBytes() - before) / 1e6, "MB");
        uint64_t version = 1;
        ConfigurationRecord changed = records.front();
        add("ledger", "raise one document and digest",
            leastMicros(options.repeats, 100,
                [&](size_t) {
                    changed.version = ++version;
                    ledger.updateIfNewer(changed);
                }),
            "us");
        add("ledger", "compare with a peer",
            leastMicros(options.repeats, 100, [&](size_t) { keep(ledger.newerThan({ ledger.held() })); }), "us");
    }
    return rows;
}

//-----------------------------------------------------------------------------
// [SECTION] Claims
//-----------------------------------------------------------------------------

namespace {

// Claims of one object at an even rate; a write takes `latency`.
double claimsPerWrite(double rate, Duration latency)
{
    ClaimLedger ledger({ 1, 1 }, {});
    Claim claim;
    claim.executor = { 1, 1 };
    Instant now = at(0s);
    std::optional<std::pair<std::string, Instant>> write;
    uint64_t writes = 0;
    uint64_t version = 0;
    size_t claims = 0;
    Duration period(static_cast<int64_t>(1e6 / rate));
    Duration length = std::min<Duration>(10s, period * 3000);
    auto carryOut = [&] {
        for (ClaimAction& action : ledger.takeActions()) {
            if (auto* read = std::get_if<ReadBucket>(&action)) {
                ledger.readDone(read->name, ClaimBucket { read->name, 0, {} }, now);
            } else if (auto* start = std::get_if<WriteBucket>(&action)) {
                ++writes;
                write = { start->bucket.name, now + latency };
            }
        }
    };
    for (Instant next = now, end = now + length; now < end; now += 1ms) {
        if (write && now >= write->second) {
            std::string name = write->first;
            write.reset();
            ledger.writeDone(name, ++version, now);
            carryOut();
        }
        for (; next <= now; next += period) {
            // The bits that choose bucket and shard stay the same.
            claim.operation = { 0x0190000000007000ULL, (1ULL << 63) | (++claims << 16) };
            claim.nonce = claims;
            ledger.claim("service", claim, now + 5s, now);
            carryOut();
            carryOut();
        }
        ledger.tick(now);
        carryOut();
    }
    return static_cast<double>(claims) / static_cast<double>(std::max<uint64_t>(1, writes));
}

} // namespace

std::vector<CapacityRow> benchClaims(const CapacityBenchOptions& options)
{
    std::vector<CapacityRow> rows;
    for (size_t n : { size_t(100), size_t(1000), ClaimSettings {}.maxClaimsPerBucket }) {
        double before = allocatedBytes();
        auto bucket = std::make_unique<ClaimBucket>();
        bucket->name = "service.00.1";
        for (size_t i = 0; i < n; ++i)
            bucket->claims.push_back({ { i, i * 77 }, { 1, 1 }, i * 0x9e3779b97f4a7c15ULL, i * 0xc2b2ae3d27d4eb4fULL,
                ClaimState::Ran, 200 });
        bucket->claims.shrink_to_fit();
        rows.push_back({ "claims", "in the table", n, perEntry(allocatedBytes() - before, n), "B" });
        std::string json = toJson(*bucket);
        rows.push_back({ "claims", "in the store object", n, perEntry(static_cast<double>(json.size()), n), "B" });
        rows.push_back({ "claims", "encode, per claim held", n,
            leastMicros(options.repeats, 3, [&](size_t) { keep(toJson(*bucket)); }) / static_cast<double>(n), "us" });
        rows.push_back({ "claims", "decode, per claim held", n,
            leastMicros(options.repeats, 3, [&](size_t) { keep(parseClaimBucket("name", 1, json)); })
                / static_cast<double>(n),
            "us" });
    }
    for (Duration latency : { Duration(5ms), Duration(20ms), Duration(100ms) }) {
        for (size_t rate : { 10, 100, 500 }) {
            rows.push_back({ "claims",
                fmt::format("claims per write of {} ms, at that many claims/s of one object", latency / Duration(1ms)),
                rate, claimsPerWrite(static_cast<double>(rate), latency), "claims" });
        }
    }
    return rows;
}

//-----------------------------------------------------------------------------
// [SECTION] Operations and crash suspects
//-----------------------------------------------------------------------------

std::vector<CapacityRow> benchOperations(const CapacityBenchOptions&)
{
    std::vector<CapacityRow> rows;
    constexpr size_t answerBytes = 1024;
    for (size_t n : { size_t(1000), size_t(10000), size_t(30000) }) {
        double before = allocatedBytes();
        OperationTable table({ 1, 1 }, {});
        for (size_t i = 0; i < n; ++i)
            table.issueToken({ i + 1, i * 77 }, "service-0000", at(0s));
        rows.push_back({ "operations", "token", n, perEntry(allocatedBytes() - before, n), "B" });
        double cpu = cpuSeconds();
        for (size_t i = 0; i < n; ++i) {
            OperationRequest request { OperationKind::Token, { i + 1, i * 77 }, { 1, 1 }, "service-0000", "route-0",
                i };
            table.begin(request, i + 1, at(1s), WallTime(1000s));
            table.dispatched(request.operation);
            table.finished(request.operation,
                { 200, { { "Content-Type", "application/json" } }, std::string(answerBytes, 'x') }, true, at(1s));
        }
        rows.push_back(
            { "operations", "begin to finish", n, (cpuSeconds() - cpu) * 1e6 / static_cast<double>(n), "us" });
        rows.push_back(
            { "operations", "with a recorded answer of 1 KiB", n, perEntry(allocatedBytes() - before, n), "B" });
    }
    return rows;
}

std::vector<CapacityRow> benchCrashSuspects(const CapacityBenchOptions& options)
{
    std::vector<CapacityRow> rows;
    for (size_t n : { size_t(100), size_t(1000), size_t(10000) }) {
        double before = allocatedBytes();
        QueryOfDeathFilter filter;
        for (size_t i = 0; i < n; ++i)
            filter.reported({ { i, 1 }, i * 0x9e3779b97f4a7c15ULL }, at(0s));
        rows.push_back({ "crash suspects", "fingerprint", n, perEntry(allocatedBytes() - before, n), "B" });
        rows.push_back({ "crash suspects", "question", n,
            1e3
                * leastMicros(options.repeats, 1000,
                    [&](size_t i) { keep(filter.crashCountIfRefused(i % n * 0x9e3779b97f4a7c15ULL, at(0s))); }),
            "ns" });
    }
    return rows;
}

//-----------------------------------------------------------------------------
// [SECTION] Health
//-----------------------------------------------------------------------------

namespace {

// Bytes a second of one node, gossip of a quiet fleet included, and length of a round of health datagrams. `isSpread`
// places the services of a node on as many different peers as possible; otherwise the same peers run all of them.
std::pair<double, double> healthTraffic(size_t upstreams, bool isSpread)
{
    constexpr size_t peersPerService = 23;
    NodeRecord self = makeRecord(0, upstreams, upstreams);
    Membership membership({}, self, 1, at(0s));
    size_t next = 1;
    for (size_t peer = 0; peer < peersPerService; ++peer) {
        for (size_t service = 0; service < (isSpread ? upstreams : 1); ++service, ++next) {
            NodeRecord record = makeRecord(next, upstreams, upstreams);
            if (isSpread)
                record.upstreams = { self.upstreams[service] };
            for (size_t i = 0; i < record.upstreams.size(); ++i)
                record.upstreams[i].name = fmt::format("upstream-{:05}-{:02}", next, i);
            deliver(membership, record, GossipKind::SyncReply, 1, 1);
        }
    }
    membership.takeMessages();
    constexpr Duration warmUp = 300s; // the table that was just learned is spread once
    constexpr Duration length = 120s;
    MembershipCounters before;
    for (Duration time = 50ms; time <= warmUp + length; time += 50ms) {
        if (time == warmUp)
            before = membership.counters();
        if (time % Duration(500ms) == Duration(0)) {
            for (const UpstreamRecord& it : self.upstreams)
                membership.sendHealth({ it.name, { { 1, 40, 0, 9.2F, 0.25F }, { 2, 12, 1, 9.9F, 0.3F } } }, at(time));
        }
        membership.tick(at(time));
        for (const OutgoingGossip& it : membership.takeMessages()) {
            if (it.message.kind != GossipKind::Ping)
                continue;
            GossipMessage ack;
            ack.kind = GossipKind::Ack;
            membership.forEach([&](const NodeRecord& node) {
                if (node.gossipAddress != it.address)
                    return;
                ack.sender = node.name;
                ack.incarnation = node.incarnation;
                ack.revision = static_cast<uint32_t>(node.upstreams.size());
            });
            ack.startedAt = 1;
            ack.sequence = static_cast<uint64_t>(time.count());
            ack.probe = it.message.probe;
            ack.liveCount = 1;
            membership.received(ack, it.address, at(time));
        }
        membership.takeChanges();
    }
    double seconds = std::chrono::duration<double>(length).count();
    const MembershipCounters& counters = membership.counters();
    return { static_cast<double>(counters.bytes - before.bytes) / seconds,
        seconds / static_cast<double>(std::max<uint64_t>(1, counters.healthRounds - before.healthRounds)) };
}

} // namespace

std::vector<CapacityRow> benchHealth(const CapacityBenchOptions& options)
{
    std::vector<CapacityRow> rows;
    for (size_t n : { size_t(1), size_t(5), size_t(15) }) {
        constexpr size_t samples = 600; // 60 s of 10 answers/s in two kinds of work
        double before = allocatedBytes();
        std::vector<HealthMonitor> monitors(n);
        std::vector<HealthSummary> peers;
        for (size_t i = 0; i < 23; ++i)
            peers.push_back(
                { fmt::format("upstream-{:05}", i), { { 1, 20, 0, 9.2F, 0.25F }, { 2, 20, 0, 9.2F, 0.25F } } });
        double recordCpu = 0;
        double evaluateCpu = 0;
        size_t evaluations = 0;
        for (size_t i = 0; i < samples; ++i) {
            Instant now = at(100ms * static_cast<int64_t>(i));
            double start = cpuSeconds();
            for (HealthMonitor& it : monitors)
                it.record({ SampleKind::Ok, static_cast<uint32_t>(1 + i % 2), Duration(9000 + i % 7 * 500) }, now);
            recordCpu += cpuSeconds() - start;
            if (i % 5)
                continue;
            start = cpuSeconds();
            for (HealthMonitor& it : monitors) {
                it.evaluate(peers, now);
                keep(it.summary("upstream", now));
                ++evaluations;
            }
            evaluateCpu += cpuSeconds() - start;
        }
        rows.push_back({ "health", "monitor", n, perEntry(allocatedBytes() - before, n), "B" });
        rows.push_back({ "health", "sample", n, recordCpu * 1e6 / static_cast<double>(samples * n), "us" });
        rows.push_back(
            { "health", "evaluation with 23 peers", n, evaluateCpu * 1e6 / static_cast<double>(evaluations), "us" });
        for (bool isSpread : { false, true }) {
            std::string layout = isSpread ? "services on different peers" : "services on the same peers";
            auto [bytes, round] = healthTraffic(n, isSpread);
            rows.push_back({ "health", "sent with quiet gossip, " + layout, n, bytes, "B/s" });
            rows.push_back({ "health", "round, " + layout, n, round, "s" });
        }
    }
    (void)options;
    return rows;
}

//-----------------------------------------------------------------------------
// [SECTION] Rosters
//-----------------------------------------------------------------------------

std::vector<CapacityRow> benchRosters(const CapacityBenchOptions& options)
{
    std::vector<CapacityRow> rows;
    for (size_t n : { size_t(12), size_t(24), size_t(200) }) {
        ServiceRoster roster;
        roster.service = "service-0000";
        std::vector<UpstreamView> views;
        for (size_t i = 0; i < n; ++i) {
            std::string name = fmt::format("upstream-{:05}-00", i);
            roster.entries.push_back({ name, { i, 1 }, 7, UpstreamState::Ready, 0, 0 });
            views.push_back({ name, { i, 1 }, 7, UpstreamState::Ready, 0, 0s });
        }
        std::string json = rosterToJson(roster);
        rows.push_back({ "rosters", "entry in the store", n, perEntry(static_cast<double>(json.size()), n), "B" });
        rows.push_back({ "rosters", "proposal", n,
            leastMicros(options.repeats, 20,
                [&](size_t) {
                    auto proposal = proposeEjection(roster, 7, views, { "upstream-00000-00", { 0, 1 }, 2, 1 }, 3s);
                    assert(proposal);
                    keep(proposal);
                }),
            "us" });
        rows.push_back({ "rosters", "decode and encode", n,
            leastMicros(options.repeats, 20, [&](size_t) { keep(rosterToJson(rosterFromJson(json, 1).value())); }),
            "us" });
    }
    return rows;
}

//-----------------------------------------------------------------------------
// [SECTION] Relay
//-----------------------------------------------------------------------------

std::vector<CapacityRow> benchRelay(const CapacityBenchOptions& options)
{
    RelayCodec client({ std::string(32, 'k'), "client", { 1, 1 } }, RelaySide::Client, { 1, 2 });
    RelayCodec server({ std::string(32, 'k'), "server", { 2, 1 } }, RelaySide::Server, { 2, 2 });
    std::string buf;
    std::optional<RelayMessage> message;
    [[maybe_unused]] std::error_code ec;
    auto carry = [&](RelayCodec& from, RelayCodec& to, const RelayMessage& it) {
        buf.clear();
        ec = from.encode(it, buf);
        assert(!ec);
        to.feed(buf);
        ec = to.next(message);
        assert(!ec && message);
    };
    for (auto [from, to] : { std::pair(&client, &server), std::pair(&server, &client) }) {
        buf.clear();
        ec = from->encodeHello(buf);
        to->feed(buf);
        ec = to->next(message);
        assert(!ec && message);
    }
    RequestHead head;
    head.service = "service-0000";
    head.route = "route-0";
    head.upstream = "upstream-00000-00";
    head.method = "GET";
    head.target = "/service-0000/part-0/item?x=1";
    for (size_t i = 0; i < 8; ++i)
        head.headers.push_back({ fmt::format("x-header-{}", i), "a value of usual length" });
    ResponseHead response;
    response.status = 200;
    response.headers = head.headers;
    std::vector<CapacityRow> rows;
    for (size_t size : { size_t(1024), size_t(16 * 1024), maxChunkBytes }) {
        BodyChunk chunk { std::string(size, 'x') };
        rows.push_back({ "relay", "body chunk, both sides", size,
            leastMicros(options.repeats, 200, [&](size_t) { carry(server, client, chunk); }), "us" });
        rows.push_back({ "relay", "request and answer with one chunk, both sides", size,
            leastMicros(options.repeats, 200,
                [&](size_t) {
                    carry(client, server, head);
                    carry(client, server, BodyEnd {});
                    carry(server, client, response);
                    carry(server, client, chunk);
                    carry(server, client, BodyEnd {});
                }),
            "us" });
    }
    return rows;
}

//-----------------------------------------------------------------------------
// [SECTION] Output
//-----------------------------------------------------------------------------

std::vector<CapacityRow> runCapacityBench(const CapacityBenchOptions& options)
{
    std::vector<CapacityRow> rows;
    for (auto* part : { &benchMembership, &benchCandidates, &benchRoutes, &benchClaims, &benchOperations, &benchHealth,
             &benchRosters, &benchCrashSuspects, &benchRelay }) {
        std::vector<CapacityRow> more = part(options);
        rows.insert(rows.end(), std::make_move_iterator(more.begin()), std::make_move_iterator(more.end()));
    }
    return rows;
}

double valueOf(std::span<const CapacityRow> rows, std::string_view item, std::string_view measure, size_t size)
{
    auto it = std::ranges::find_if(
        rows, [&](const CapacityRow& row) { return row.item == item && row.measure == measure && row.size == size; });
    assert(it != rows.end());
    return it->value;
}

std::string formatCapacity(std::span<const CapacityRow> rows)
{
    std::string text = fmt::format("{:<14} {:<66} {:>8} {:>12} unit\n", "item", "measure", "size", "value");
    for (const CapacityRow& it : rows)
        text += fmt::format("{:<14} {:<66} {:>8} {:>12.3f} {}\n", it.item, it.measure, it.size, it.value, it.unit);
    return text;
}

std::string formatCapacityCsv(std::span<const CapacityRow> rows)
{
    std::string text = "item,measure,size,value,unit\n";
    for (const CapacityRow& it : rows)
        text += fmt::format("{},\"{}\",{},{:.4f},{}\n", it.item, it.measure, it.size, it.value, it.unit);
    return text;
}

int runCapacityCommand(std::span<const std::string> arguments)
{
    std::string format = arguments.empty() ? "text" : arguments.front();
    if (format != "text" && format != "csv") {
        fmt::print(stderr, "gooseberrymill: bench capacity takes text or csv\n");
        return exitUsage;
    }
    std::vector<CapacityRow> rows = runCapacityBench({});
    fmt::print("{}", format == "csv" ? formatCapacityCsv(rows) : formatCapacity(rows));
    return exitSuccess;
}

} // namespace Gooseberrymill

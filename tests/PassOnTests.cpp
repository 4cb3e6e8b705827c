// Tests requests that find all slots of an upstream taken: the decision, and a fleet of many entries in virtual time
// whose news of the upstreams is old.
#define BOOST_TEST_MODULE PassOn
#include "core/AdmissionQueue.h"
#include "core/Balancer.h"
#include "core/PassOnPlan.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

using namespace Gooseberrymill;

namespace {

constexpr Instant start { 1'000s };

struct LoadOptions {
    bool passesOn = true;
    size_t entries = 70;
    size_t upstreams = 14;
    uint32_t slots = 5;
    double loadShare = 0.8; // demand as a share of the capacity
    Duration service = 300ms;
    uint64_t seed = 1;
};

struct LoadResult {
    Duration waitP99 {};
    Duration waitMean {};
    double hops = 0; // refusals for taken slots, for each request
    double busySpread = 0; // largest less mean share of busy slots, over time
};

// Entries with a balancer each, upstreams with an admission queue each. A hop takes 1 ms. An entry hears of an upstream
// with its responses and refusals only.
class Fleet {
public:
    explicit Fleet(const LoadOptions& options)
        : m_options(options)
        , m_random(options.seed)
    {
        auto candidates = std::make_shared<CandidateList>();
        Service service;
        service.name = "desk";
        service.slots = options.slots;
        service.admission.shortWorkSlots = 0;
        for (size_t i = 0; i < options.upstreams; ++i) {
            std::string name = fmt::format("u{:02}", i);
            candidates->push_back({ name, std::string("desk"), name, name, {}, Location { "r", "dc" }, options.slots,
                UpstreamState::Ready, 1 });
            m_upstreams.emplace(name, AdmissionQueue(service));
        }
        for (size_t i = 0; i < options.entries; ++i) {
            BalancerOptions balancing;
            balancing.entryCount = 1;
            m_entries.emplace_back(Location { "r", "dc" }, m_random(), balancing);
            m_entries.back().setCandidates(candidates, start);
        }
    }

    LoadResult run(Duration length)
    {
        double perSecond = m_options.loadShare * static_cast<double>(m_options.upstreams * m_options.slots)
            / std::chrono::duration<double>(m_options.service).count();
        std::exponential_distribution<double> gap(perSecond);
        std::exponential_distribution<double> work(1 / std::chrono::duration<double>(m_options.service).count());
        Instant at = start;
        while (at < start + length) {
            at += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(m_random)));
            Request request;
            request.entry = m_random() % m_entries.size();
            request.offeredAt = at;
            request.work = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(work(m_random)));
            m_requests.push_back(request);
            schedule(at, [this, id = m_requests.size() - 1](Instant now) { choose(id, now); });
        }
        for (Instant now = start + 1s; now < start + length; now += 100ms)
            schedule(now, [this](Instant) { sampleSpread(); });
        while (!m_events.empty()) {
            auto event = std::move(m_events.extract(m_events.begin()));
            event.mapped()(event.key());
        }
        return result();
    }

private:
    struct Request {
        size_t entry = 0;
        Instant offeredAt {};
        Duration work {};
        Duration wait {};
        PassOnPlan plan;
        PassOnStep step = PassOnStep::Region;
        std::vector<std::string> tried;
        std::string upstream;
    };
    static constexpr Duration hop = 1ms;

    void schedule(Instant at, std::function<void(Instant)> action) { m_events.emplace(at, std::move(action)); }

    void choose(size_t id, Instant now)
    {
        Request& request = m_requests[id];
        Balancer& balancer = m_entries[request.entry];
        BalanceRequest wanted { "desk", WorkClass::Interactive, true, std::nullopt, request.tried };
        const Candidate* chosen = nullptr;
        if (request.plan.hasAsked() && request.step == PassOnStep::Region) {
            wanted.reach = BalanceReach::FreeInRegion;
            chosen = balancer.choose(wanted, now);
        } else if (!request.plan.hasAsked())
            chosen = balancer.choose(wanted, now);
        if (!chosen)
            request.step = PassOnStep::Queue;
        request.upstream = chosen ? chosen->upstream : request.plan.shortest();
        request.tried.push_back(request.upstream);
        balancer.started(request.upstream, now);
        bool isKnown = !request.plan.hasAsked() && balancer.hasFreshReport(request.upstream, now);
        Duration acceptable = request.plan.acceptableWait(request.step, 5s);
        if (!m_options.passesOn || isKnown)
            acceptable = Duration(0);
        schedule(now + hop, [this, id, acceptable](Instant at) { offer(id, acceptable, at); });
    }

    void offer(size_t id, Duration acceptable, Instant now)
    {
        Request& request = m_requests[id];
        AdmissionQueue& queue = m_upstreams.at(request.upstream);
        AdmissionRequest offered { id + 1, WorkClass::Interactive, 1, now + 1h };
        Duration wait = queue.expectedWait(offered, now);
        if (acceptable > Duration(0) && wait > acceptable) {
            ++m_hops;
            LoadReport load = queue.report();
            schedule(now + hop, [this, id, wait, load](Instant at) { passOn(id, wait, load, at); });
            return;
        }
        AdmissionDecision decision = queue.offer(offered, now);
        if (decision.verdict == AdmissionVerdict::Dispatch)
            dispatch(id, now);
    }

    void passOn(size_t id, Duration wait, const LoadReport& load, Instant now)
    {
        Request& request = m_requests[id];
        m_entries[request.entry].finished(request.upstream, load, now);
        request.plan.refused(request.upstream, wait, request.step);
        request.step = request.plan.next(5s);
        choose(id, now);
    }

    void dispatch(size_t id, Instant now)
    {
        Request& request = m_requests[id];
        request.wait = now - request.offeredAt;
        schedule(now + request.work, [this, id](Instant at) { finish(id, at); });
    }

    void finish(size_t id, Instant now)
    {
        Request& request = m_requests[id];
        AdmissionQueue& queue = m_upstreams.at(request.upstream);
        queue.finish(id + 1, request.work, true, now);
        LoadReport load = queue.report();
        schedule(now + hop, [this, id, load](Instant at) {
            m_entries[m_requests[id].entry].finished(m_requests[id].upstream, load, at);
        });
        while (auto ticket = queue.takeReady(now))
            dispatch(*ticket - 1, now);
    }

    void sampleSpread()
    {
        double most = 0;
        double sum = 0;
        for (const auto& [name, queue] : m_upstreams) {
            LoadReport load = queue.report();
            double busy = (load.running + load.queued) / static_cast<double>(m_options.slots);
            most = std::max(most, busy);
            sum += busy;
        }
        m_spread += most - sum / static_cast<double>(m_upstreams.size());
        ++m_samples;
    }

    LoadResult result() const
    {
        std::vector<Duration> waits;
        Duration sum {};
        for (const Request& it : m_requests) {
            waits.push_back(it.wait);
            sum += it.wait;
        }
        auto n = static_cast<std::ptrdiff_t>(waits.size());
        std::ranges::nth_element(waits, waits.begin() + n * 99 / 100);
        return { waits[static_cast<size_t>(n * 99 / 100)], sum / n,
            static_cast<double>(m_hops) / static_cast<double>(n), m_spread / static_cast<double>(m_samples) };
    }

    LoadOptions m_options;
    std::mt19937_64 m_random;
    std::map<std::string, AdmissionQueue> m_upstreams;
    std::vector<Balancer> m_entries;
    std::vector<Request> m_requests;
    std::multimap<Instant, std::function<void(Instant)>> m_events; // by time
    size_t m_hops = 0;
    double m_spread = 0;
    size_t m_samples = 0;
};

LoadResult play(LoadOptions options, bool passesOn)
{
    options.passesOn = passesOn;
    return Fleet(options).run(60s);
}

} // namespace

// Guards against requests that queue at one upstream while another has free slots: 70 entries that each hear of an
// upstream every few seconds, at 0.8 of the capacity. The 99th percentile of the wait must at least halve.
BOOST_AUTO_TEST_CASE(halvesTheWaitOfManyEntries)
{
    for (uint64_t seed = 1; seed <= 3; ++seed) {
        LoadOptions options;
        options.seed = seed;
        LoadResult before = play(options, false);
        LoadResult after = play(options, true);
        BOOST_TEST_MESSAGE("p99 " << before.waitP99.count() << " -> " << after.waitP99.count() << " us, mean "
                                  << before.waitMean.count() << " -> " << after.waitMean.count() << " us, hops "
                                  << after.hops << ", spread " << before.busySpread << " -> " << after.busySpread);
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            BOOST_TEST(after.waitP99 * 2 <= before.waitP99);
            BOOST_TEST(after.busySpread < before.busySpread);
            BOOST_TEST(after.hops < 1);
        }
    }
}

// Guards against a cost where nothing is gained: few entries with young news, and little load.
BOOST_AUTO_TEST_CASE(isNoWorseForFewEntriesAndLittleLoad)
{
    for (auto [entries, loadShare] :
        std::initializer_list<std::pair<size_t, double>> { { 3, 0.4 }, { 3, 0.8 }, { 70, 0.3 }, { 10, 0.6 } }) {
        LoadOptions options;
        options.entries = entries;
        options.loadShare = loadShare;
        LoadResult before = play(options, false);
        LoadResult after = play(options, true);
        BOOST_TEST_CONTEXT(entries << " entries, load " << loadShare)
        {
            BOOST_TEST(after.waitP99.count() <= before.waitP99.count() * 1.05 + 1000);
            BOOST_TEST(after.waitMean.count() <= before.waitMean.count() * 1.05 + 1000);
        }
    }
}

// Guards against hops without end when every upstream is full.
BOOST_AUTO_TEST_CASE(boundsTheHopsOfARequest)
{
    PassOnPlan plan;
    PassOnStep step = PassOnStep::Region;
    size_t hops = 0;
    while (step != PassOnStep::Queue && hops < 100) {
        BOOST_TEST(plan.acceptableWait(step, 5s) > Duration(0));
        plan.refused(fmt::format("u{}", hops), std::chrono::milliseconds(900 - 10 * hops), step);
        ++hops;
        step = plan.next(5s);
    }
    BOOST_TEST(hops <= 5U);
    BOOST_TEST(plan.shortest() == fmt::format("u{}", hops - 1)); // the shortest wait of those asked
    BOOST_TEST((plan.acceptableWait(step, 5s) == Duration(0))); // waits there in any case
}

// Guards against another region for a wait that is shorter than the way there, and against leaving the own region
// first.
BOOST_AUTO_TEST_CASE(anotherRegionOnlyWhereItSavesTime)
{
    PassOnPlan patient;
    patient.refused("a", 40ms, PassOnStep::Region);
    BOOST_TEST((patient.next(5s) == PassOnStep::Region));
    patient.regionExhausted();
    BOOST_TEST((patient.next(5s) == PassOnStep::Queue));
    PassOnPlan hurried;
    hurried.refused("a", 900ms, PassOnStep::Region);
    BOOST_TEST((hurried.next(5s) == PassOnStep::Region));
    hurried.regionExhausted();
    BOOST_TEST((hurried.next(5s) == PassOnStep::OtherRegion));
    hurried.refused("b", 800ms, PassOnStep::OtherRegion);
    BOOST_TEST((hurried.next(5s) == PassOnStep::Queue));
    BOOST_TEST(hurried.shortest() == "b");
}

// Guards against hops that use up what little time a request has left.
BOOST_AUTO_TEST_CASE(requestsWithLittleTimeQueue)
{
    PassOnPlan plan;
    BOOST_TEST((plan.acceptableWait(PassOnStep::Region, 100ms) == Duration(0)));
    plan.refused("a", 900ms, PassOnStep::Region);
    BOOST_TEST((plan.next(100ms) == PassOnStep::Queue));
}

// Guards against a request that is given up, or that queues twice at one upstream, when the upstream where it queues
// fails it and others were only full.
BOOST_AUTO_TEST_CASE(eachFullUpstreamIsLeftToQueueAtOnce)
{
    PassOnPlan plan;
    plan.refused("a", 90ms, PassOnStep::Region);
    plan.refused("b", 40ms, PassOnStep::Region);
    plan.refused("c", 60ms, PassOnStep::Region);
    for (const char* upstream : { "b", "c", "a" }) {
        BOOST_TEST(plan.shortest() == upstream);
        plan.queued(upstream);
    }
    BOOST_TEST(plan.shortest().empty());
    BOOST_TEST(plan.hasAsked());
}

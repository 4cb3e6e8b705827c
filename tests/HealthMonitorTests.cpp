#define BOOST_TEST_MODULE HealthMonitor
#include "Gooseberrymill.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <fmt/format.h>
#include <random>

using namespace Gooseberrymill;

namespace {

constexpr double logMedian = 9.2; // about 10 ms in microseconds
constexpr double logDeviation = 0.5;
constexpr double healthyBadShare = 0.001;
constexpr Duration tick = 1s; // interval of summaries and verdicts

// Behaviour of one upstream at a moment.
struct Behaviour {
    double rate = 1; // answers a second
    double slowness = 1; // factor on the service time
    double badShare = healthyBadShare;
    double shedShare = 0;
    SampleKind badKind = SampleKind::Failed;
    uint32_t badEvery = 0; // every badEvery-th answer is bad; 0: random by badShare
    double stragglerShare = 0; // share of answers that are stragglers
    double stragglerRatio = 50; // factor on the service time of a straggler
};

using Script = std::function<Behaviour(size_t upstream, double second)>;

// A service of several upstreams, each with a detector, in virtual time.
template <typename T> struct ServiceSimulation {
    ServiceSimulation(size_t upstreams, uint32_t seed, Script what)
        : detectors(upstreams)
        , counters(upstreams)
        , script(std::move(what))
        , random(seed)
    {
    }

    void answers(size_t i, double second)
    {
        Behaviour behaviour = script(i, second);
        // A fixed number of answers a second plus a random one for the fraction.
        auto count = static_cast<uint32_t>(behaviour.rate);
        if (uniform(random) < behaviour.rate - count)
            ++count;
        for (uint32_t n = 0; n < count; ++n) {
            Sample sample;
            ++counters[i];
            bool bad
                = behaviour.badEvery ? counters[i] % behaviour.badEvery == 0 : uniform(random) < behaviour.badShare;
            if (uniform(random) < behaviour.shedShare)
                sample.kind = SampleKind::Shed;
            else if (bad)
                sample.kind = behaviour.badKind;
            double ratio = behaviour.slowness;
            if (behaviour.stragglerShare > 0 && uniform(random) < behaviour.stragglerShare)
                ratio *= behaviour.stragglerRatio;
            sample.serviceTime
                = Duration(static_cast<int64_t>(ratio * std::exp(logMedian + logDeviation * normal(random))));
            Duration offset(static_cast<int64_t>(1e6 * n / count));
            detectors[i].record(sample, now + offset);
        }
    }

    // Simulates one second: answers, then verdicts, then summaries. A summary is one second old when it is compared.
    Verdict step(double second)
    {
        for (size_t i = 0; i < detectors.size(); ++i)
            answers(i, second);
        now += tick;
        if (static_cast<uint64_t>(second) % ticksPerEvaluation)
            return Verdict::Healthy;
        Verdict worst = Verdict::Healthy;
        std::vector<HealthSummary> peers;
        for (size_t i = 0; i < detectors.size(); ++i) {
            peers.clear();
            for (size_t j = 0; j < summaries.size(); ++j) {
                if (j != i)
                    peers.push_back(summaries[j]);
            }
            Verdict verdict = detectors[i].evaluate(peers, now);
            verdicts[i] = verdict;
            worst = std::max(worst, verdict);
        }
        if constexpr (std::is_same_v<T, HealthMonitor>) {
            summaries.resize(detectors.size());
            for (size_t i = 0; i < detectors.size(); ++i)
                summaries[i] = detectors[i].summary(names[i], now);
        }
        return worst;
    }

    uint64_t ticksPerEvaluation = 1;
    std::vector<T> detectors;
    std::vector<uint32_t> counters;
    Script script;
    std::mt19937 random;
    std::uniform_real_distribution<double> uniform { 0, 1 };
    std::normal_distribution<double> normal { 0, 1 };
    Instant now { 1000s };
    std::vector<HealthSummary> summaries;
    std::array<Verdict, 16> verdicts {};
    std::array<std::string, 16> names { "a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l", "m", "n", "o",
        "p" };
};

constexpr size_t fleet = 12;
constexpr double faultAt = 300;

// Seconds from the fault of upstream 0 to its first verdict other than Healthy, for each of 100 seeds in ascending
// order; infinite when there is none within `limit`.
template <typename T>
std::vector<double> detectionTimes(const Behaviour& healthy, const Behaviour& faulty, double limit)
{
    std::vector<double> times;
    for (uint32_t seed = 1; seed <= 100; ++seed) {
        ServiceSimulation<T> simulation(
            fleet, seed, [&](size_t i, double second) { return i == 0 && second >= faultAt ? faulty : healthy; });
        double found = INFINITY;
        for (double second = 0; second < faultAt + limit; ++second) {
            simulation.step(second);
            if (simulation.verdicts[0] == Verdict::Healthy)
                continue;
            found = second + 1 - faultAt;
            break;
        }
        times.push_back(found);
    }
    std::ranges::sort(times);
    return times;
}

template <typename T> void report(std::string_view what, const std::vector<double>& times, double bound)
{
    auto inTime = std::ranges::count_if(times, [bound](double it) { return it <= bound; });
    fmt::print("{} {}: p50 {} s, p90 {} s, p99 {} s, max {} s, within {} s: {} of {}\n",
        std::is_same_v<T, HealthMonitor> ? "HealthMonitor           " : "ConsecutiveErrorDetector", what, times[49],
        times[89], times[98], times.back(), bound, inTime, times.size());
}

constexpr double searchLimit = 120;

std::vector<double> compare(std::string_view what, const Behaviour& healthy, const Behaviour& faulty, double bound)
{
    std::vector<double> times = detectionTimes<HealthMonitor>(healthy, faulty, searchLimit);
    report<HealthMonitor>(what, times, bound);
    report<ConsecutiveErrorDetector>(
        what, detectionTimes<ConsecutiveErrorDetector>(healthy, faulty, searchLimit), bound);
    return times;
}

// Runs a scenario with several seeds and counts the seconds in which any upstream has a verdict other than Healthy.
uint64_t verdictsOn(
    const Script& script, size_t upstreams, uint32_t seeds, double length, uint64_t ticksPerEvaluation = 1)
{
    uint64_t found = 0;
    for (uint32_t seed = 1; seed <= seeds; ++seed) {
        ServiceSimulation<HealthMonitor> simulation(upstreams, seed, script);
        simulation.ticksPerEvaluation = ticksPerEvaluation;
        for (double second = 0; second < length; ++second)
            found += simulation.step(second) != Verdict::Healthy ? 1 : 0;
    }
    return found;
}

} // namespace

// Guards against a threshold that does not follow the stated false alarm rate.
BOOST_AUTO_TEST_CASE(thresholdFollowsFromFalseAlarmRate)
{
    BOOST_TEST(alarmThreshold(1, 2, 0.1) == std::log(365.25 * 86400 * 2 / 0.1), boost::test_tools::tolerance(1e-9));
    BOOST_TEST(alarmThreshold(10, 2, 0.1) > alarmThreshold(1, 2, 0.1));
    BOOST_TEST(alarmThreshold(1, 2, 1) < alarmThreshold(1, 2, 0.1));
}

// Guards against detection of a slow upstream later than the stated 10 s at 10 requests/s.
BOOST_AUTO_TEST_CASE(detectsSlowUpstreamAtTenRequestsPerSecond)
{
    auto times = compare("slow x5, 10/s", { .rate = 10 }, { .rate = 10, .slowness = 5 }, 10);
    BOOST_TEST(times.back() <= 10);
}

// Guards against detection of a slow upstream later than the stated 30 s at 1 request/s.
BOOST_AUTO_TEST_CASE(detectsSlowUpstreamAtOneRequestPerSecond)
{
    auto times = compare("slow x5, 1/s", { .rate = 1 }, { .rate = 1, .slowness = 5 }, 30);
    BOOST_TEST(times.back() <= 30);
}

// Guards against stragglers hiding a slow upstream.
BOOST_AUTO_TEST_CASE(detectsSlowUpstreamAmongStragglers)
{
    auto times = compare("slow x5 with 5% stragglers x50, 10/s", { .rate = 10, .stragglerShare = 0.05 },
        { .rate = 10, .slowness = 5, .stragglerShare = 0.05 }, 10);
    BOOST_TEST(times.back() <= 10);
}

// Guards against detection of failing answers later than the stated 10 s at 10 requests/s.
BOOST_AUTO_TEST_CASE(detectsFailingUpstreamAtTenRequestsPerSecond)
{
    auto times = compare("failed 1 in 5 at random, 10/s", { .rate = 10 }, { .rate = 10, .badShare = 0.2 }, 10);
    BOOST_TEST(times.back() <= 10);
}

// Guards against answers that leave the bounded buffer before they are old enough to be tested.
BOOST_AUTO_TEST_CASE(detectsFaultsAtSixHundredRequestsPerSecond)
{
    constexpr size_t upstreams = 4;
    constexpr double highRate = 600;
    constexpr double start = 30;
    constexpr double bound = 10;
    for (const Behaviour& faulty : { Behaviour { .rate = highRate, .slowness = 5 },
             Behaviour { .rate = highRate, .badShare = 0.2 }, Behaviour { .rate = highRate, .badShare = 1 } }) {
        for (uint32_t seed = 1; seed <= 5; ++seed) {
            ServiceSimulation<HealthMonitor> simulation(upstreams, seed, [&](size_t i, double second) {
                return i == 0 && second >= start ? faulty : Behaviour { .rate = highRate };
            });
            uint64_t early = 0;
            for (double second = 0; second < start; ++second)
                early += simulation.step(second) != Verdict::Healthy ? 1 : 0;
            double found = INFINITY;
            for (double second = start; second < start + bound && found == INFINITY; ++second) {
                simulation.step(second);
                if (simulation.verdicts[0] != Verdict::Healthy)
                    found = second + 1 - start;
            }
            BOOST_TEST(early == 0U);
            BOOST_TEST(found <= bound);
        }
    }
}

// Guards against wrong answers being detected later than failed ones.
BOOST_AUTO_TEST_CASE(detectsWrongAnswersAtTenRequestsPerSecond)
{
    auto times = compare("wrong 1 in 5 at random, 10/s", { .rate = 10 },
        { .rate = 10, .badShare = 0.2, .badKind = SampleKind::Wrong }, 10);
    BOOST_TEST(times.back() <= 10);
}

// Guards against detection of regular failures later than the stated 30 s at 1 request/s.
BOOST_AUTO_TEST_CASE(detectsEveryFifthFailedAtOneRequestPerSecond)
{
    auto times = compare("failed every fifth, 1/s", { .rate = 1 }, { .rate = 1, .badEvery = 5 }, 30);
    BOOST_TEST(times.back() <= 30);
}

// Guards against detection of random failures later than the stated 30 s at 1 request/s. 30 answers often contain
// too few failures for the stated false alarm rate, see docs/health.md and KNOWN-RED.txt.
BOOST_AUTO_TEST_CASE(detectsRandomFailuresAtOneRequestPerSecond)
{
    auto times = compare("failed 1 in 5 at random, 1/s", { .rate = 1 }, { .rate = 1, .badShare = 0.2 }, 30);
    BOOST_TEST(times.back() <= 30);
}

// Guards against false verdicts on a healthy service: 100 seeds of 24 h each. The rate of 0.5 requests/s and
// 3 upstreams, evaluated every 2 s, keep the run within a minute; GM_HEALTHY_RATE and GM_HEALTHY_UPSTREAMS raise them.
BOOST_AUTO_TEST_CASE(healthyStreamsGetNoVerdict)
{
#ifdef __SANITIZE_ADDRESS__
    constexpr uint32_t seeds = 10; // keeps the sanitizer run within the time limit of a test
#else
    constexpr uint32_t seeds = 100;
#endif
    const char* rateText = std::getenv("GM_HEALTHY_RATE");
    const char* upstreamsText = std::getenv("GM_HEALTHY_UPSTREAMS");
    double rate = rateText ? std::atof(rateText) : 0.5;
    auto upstreams = static_cast<size_t>(upstreamsText ? std::atoi(upstreamsText) : 3);
    uint64_t found
        = verdictsOn([rate](size_t, double) { return Behaviour { .rate = rate }; }, upstreams, seeds, 86400, 2);
    fmt::print("healthy, {}/s, {} upstreams, {} seeds of 24 h: {} s with a verdict\n", rate, upstreams, seeds, found);
    BOOST_TEST(found == 0U);
}

// Guards against stragglers on all upstreams being taken for slow upstreams.
BOOST_AUTO_TEST_CASE(stragglersGetNoVerdict)
{
    for (double rate : { 1.0, 10.0 }) {
        auto script = [rate](size_t, double) { return Behaviour { .rate = rate, .stragglerShare = 0.05 }; };
        BOOST_TEST(verdictsOn(script, fleet, 20, 1800) == 0U);
    }
}

// Guards against load shedding being counted as failure.
BOOST_AUTO_TEST_CASE(sheddingGetsNoVerdict)
{
    auto script = [](size_t i, double) { return Behaviour { .rate = 10, .shedShare = i == 0 ? 0.7 : 0.0 }; };
    BOOST_TEST(verdictsOn(script, fleet, 20, 600) == 0U);
}

// Guards against a slowdown or failure of the whole service being attributed to single upstreams.
BOOST_AUTO_TEST_CASE(serviceWideFaultGetsNoVerdict)
{
    for (double rate : { 1.0, 10.0 }) {
        for (double badShare : { healthyBadShare, 0.2, 1.0 }) {
            auto script = [=](size_t, double second) {
                bool faulty = second >= 200 && second < 400;
                return Behaviour {
                    .rate = rate, .slowness = faulty ? 10.0 : 1.0, .badShare = faulty ? badShare : healthyBadShare
                };
            };
            uint64_t found = verdictsOn(script, fleet, 20, 600);
            BOOST_TEST(found == 0U, "rate " << rate << " bad " << badShare << ": " << found << " s with a verdict");
        }
    }
}

// Guards against an unhealthy verdict when demand varies and service times follow the load.
BOOST_AUTO_TEST_CASE(demandSwingsGetNoVerdict)
{
    auto script = [](size_t, double second) {
        bool surge = static_cast<int>(second) % 40 < 15;
        return Behaviour { .rate = surge ? 12.0 : 0.5, .slowness = surge ? 3.0 : 1.0 };
    };
    BOOST_TEST(verdictsOn(script, fleet, 20, 1800) == 0U);
}

// Guards against the slow answers of a cold upstream counting as evidence or distorting the reference of its peers.
BOOST_AUTO_TEST_CASE(coldStartGetsNoVerdict)
{
    for (uint32_t seed = 1; seed <= 20; ++seed) {
        ServiceSimulation<HealthMonitor> simulation(fleet, seed, [](size_t i, double second) {
            return Behaviour { .rate = 10, .slowness = i == 0 && second < 60 ? 20.0 : 1.0 };
        });
        simulation.detectors[0].setCold(true, simulation.now);
        for (double second = 0; second < 180; ++second) {
            if (second == 60)
                simulation.detectors[0].setCold(false, simulation.now);
            BOOST_REQUIRE(simulation.step(second) == Verdict::Healthy);
            if (second > 1 && second < 60)
                BOOST_REQUIRE(simulation.summaries[0].work.empty());
        }
    }
}

// Guards against a verdict without any peer to compare with.
BOOST_AUTO_TEST_CASE(withoutPeersThereIsNoVerdict)
{
    BOOST_TEST(verdictsOn([](size_t, double) { return Behaviour { .rate = 10, .badShare = 0.5 }; }, 1, 5, 300) == 0U);
}

// Guards against a verdict that never clears after recovery.
BOOST_AUTO_TEST_CASE(verdictClearsAfterRecovery)
{
    ServiceSimulation<HealthMonitor> simulation(fleet, 7, [](size_t i, double second) {
        return Behaviour { .rate = 10, .slowness = i == 0 && second >= 100 && second < 120 ? 5.0 : 1.0 };
    });
    Verdict worst = Verdict::Healthy;
    for (double second = 0; second < 180; ++second)
        worst = std::max(worst, simulation.step(second));
    BOOST_TEST((worst == Verdict::Unhealthy));
    BOOST_TEST((simulation.verdicts[0] == Verdict::Healthy));
}

// Guards against a severity that does not order upstreams by how unhealthy they are.
BOOST_AUTO_TEST_CASE(severityOrdersUpstreams)
{
    ServiceSimulation<HealthMonitor> simulation(fleet, 3, [](size_t i, double second) {
        double slowness = second < 100 ? 1.0 : i == 0 ? 5.0 : i == 1 ? 20.0 : 1.0;
        return Behaviour { .rate = 10, .slowness = slowness };
    });
    for (double second = 0; second < 130; ++second)
        simulation.step(second);
    BOOST_TEST(simulation.detectors[0].severity() > 0);
    BOOST_TEST(simulation.detectors[1].severity() > simulation.detectors[0].severity());
    BOOST_TEST(simulation.detectors[2].severity() == 0);
}

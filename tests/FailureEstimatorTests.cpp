// Phases of failures at upstreams with a good health check, played against the decision to give requests back.
#define BOOST_TEST_MODULE FailureEstimator
#include "core/FailureEstimator.h"

#include <boost/test/unit_test.hpp>
#include <random>

using namespace Gooseberrymill;

namespace {

Instant at(Duration time) { return Instant(time); }

// One service as the deployments have it: twelve upstreams at three requests a second each, three in ten of them in
// a phase of nine seconds that fails three of four requests.
struct Load {
    size_t upstreams = 12;
    Duration gap = 28ms; // between two requests of the service
    Duration phase = 9s;
    double phaseShare = 0.3;
    double phaseFailures = 0.75;
    double soundFailures = 0.0125;
    double repeatableShare = 0.3;
    Duration length = 600s;
};

struct Served {
    uint32_t once = 0; // requests that run at most once
    uint32_t onceFailed = 0;
    uint32_t hops = 0; // nodes asked beyond the first
    double failedShare() const { return static_cast<double>(onceFailed) / once; }
};

// `givesBack` false: the baseline, every request runs where it arrives.
Served play(const Load& load, bool givesBack, uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::uniform_real_distribution<> uniform;
    std::vector<EarlyRejection> gates(load.upstreams);
    std::vector<bool> inPhase(load.upstreams);
    std::vector<Instant> phaseEnds(load.upstreams);
    Served served;
    for (Duration time {}; time < load.length; time += load.gap) {
        for (size_t i = 0; i < load.upstreams; ++i) {
            if (at(time) >= phaseEnds[i]) {
                inPhase[i] = uniform(random) < load.phaseShare;
                phaseEnds[i] = at(time) + load.phase;
            }
        }
        bool isRepeatable = uniform(random) < load.repeatableShare;
        size_t first = random() % load.upstreams;
        size_t chosen = first;
        for (size_t hop = 0; givesBack && hop < load.upstreams; ++hop) {
            chosen = (first + hop) % load.upstreams;
            if (gates[chosen].admits(isRepeatable, hop + 1 == load.upstreams, at(time)))
                break;
            ++served.hops;
        }
        bool hasFailed = uniform(random) < (inPhase[chosen] ? load.phaseFailures : load.soundFailures);
        gates[chosen].record(hasFailed, at(time));
        served.once += isRepeatable ? 0 : 1;
        served.onceFailed += !isRepeatable && hasFailed ? 1 : 0;
    }
    return served;
}

} // namespace

// Guards against a decision that is too slow for phases of seconds: a third of the failures of the baseline is the
// most that callers of requests that run once may see, for less than one more hop a request.
BOOST_AUTO_TEST_CASE(callersSeeFewFailuresOfPhases)
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        Served baseline = play({}, false, seed);
        Served played = play({}, true, seed);
        BOOST_TEST(played.failedShare() < baseline.failedShare() / 3);
        BOOST_TEST(played.hops < played.once);
    }
}

// Guards against traffic that stays away from a sound upstream after a false alarm.
BOOST_AUTO_TEST_CASE(falseAlarmEndsByItself)
{
    EarlyRejection gate;
    gate.record(true, at(1s));
    gate.record(true, at(1100ms));
    BOOST_TEST(!gate.admits(false, false, at(1200ms)));
    BOOST_TEST(gate.admits(false, false, at(12s)));
}

// Guards against a return that is only found by requests that run once, and against a flood of probes.
BOOST_AUTO_TEST_CASE(repeatableRequestsProbe)
{
    EarlyRejection gate;
    gate.record(true, at(1s));
    gate.record(true, at(1100ms));
    BOOST_TEST(gate.admits(true, false, at(1200ms)));
    BOOST_TEST(!gate.admits(true, false, at(1300ms)));
    gate.record(false, at(1400ms));
    gate.record(false, at(1500ms));
    gate.record(false, at(1600ms));
    BOOST_TEST(gate.admits(false, false, at(1700ms)));
}

// Guards against a refusal while every upstream is suspect, when trying one still serves some callers.
BOOST_AUTO_TEST_CASE(lastChoiceIsNeverGivenBack)
{
    EarlyRejection gate;
    for (Duration time = 1s; time < 2s; time += 100ms)
        gate.record(true, at(time));
    BOOST_TEST(!gate.admits(false, false, at(2s)));
    BOOST_TEST(gate.admits(false, true, at(2s)));
}

// Guards against evidence about one process being held against the next one at its address.
BOOST_AUTO_TEST_CASE(anotherProcessStartsWithoutEvidence)
{
    EarlyRejection gate;
    gate.record(true, at(1s));
    gate.record(true, at(2s));
    gate.reset();
    BOOST_TEST(gate.probability(at(3s)) == 0.0);
}

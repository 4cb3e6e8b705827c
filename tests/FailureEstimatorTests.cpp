// Simulates transient faults at upstreams whose health check passes, with and without early rejection of requests.
#define BOOST_TEST_MODULE FailureEstimator
#include "core/FailureEstimator.h"

#include <boost/test/unit_test.hpp>
#include <random>

using namespace Gooseberrymill;

namespace {

Instant at(Duration time) { return Instant(time); }

// Load of one service as in the deployments: twelve upstreams with three requests a second each. Three in ten of them
// are in a fault of nine seconds, during which three of four requests fail.
struct Load {
    size_t upstreams = 12;
    Duration gap = 28ms; // time between two requests of the service
    Duration faultDuration = 9s;
    double faultShare = 0.3;
    double faultyFailureShare = 0.75;
    double healthyFailureShare = 0.0125;
    double repeatableShare = 0.3;
    Duration length = 600s;
};

struct RequestCounts {
    uint32_t nonRepeatable = 0; // number of requests that run at most once
    uint32_t nonRepeatableFailed = 0;
    uint32_t hops = 0; // number of nodes tried beyond the first
    double failedShare() const { return static_cast<double>(nonRepeatableFailed) / nonRepeatable; }
};

// With `rejectsEarly` false, the baseline: every request runs at the first upstream chosen.
RequestCounts simulate(const Load& load, bool rejectsEarly, uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::uniform_real_distribution<> uniform;
    std::vector<EarlyRejection> rejections(load.upstreams);
    std::vector<bool> isFaulty(load.upstreams);
    std::vector<Instant> stateEnds(load.upstreams);
    RequestCounts counts;
    for (Duration time {}; time < load.length; time += load.gap) {
        for (size_t i = 0; i < load.upstreams; ++i) {
            if (at(time) >= stateEnds[i]) {
                isFaulty[i] = uniform(random) < load.faultShare;
                stateEnds[i] = at(time) + load.faultDuration;
            }
        }
        bool isRepeatable = uniform(random) < load.repeatableShare;
        size_t first = random() % load.upstreams;
        size_t chosen = first;
        for (size_t hop = 0; rejectsEarly && hop < load.upstreams; ++hop) {
            chosen = (first + hop) % load.upstreams;
            if (rejections[chosen].admits(isRepeatable, hop + 1 == load.upstreams, at(time)))
                break;
            ++counts.hops;
        }
        bool hasFailed = uniform(random) < (isFaulty[chosen] ? load.faultyFailureShare : load.healthyFailureShare);
        rejections[chosen].record(hasFailed, at(time));
        counts.nonRepeatable += isRepeatable ? 0 : 1;
        counts.nonRepeatableFailed += !isRepeatable && hasFailed ? 1 : 0;
    }
    return counts;
}

} // namespace

// Guards against a decision that is too slow for faults of seconds. Callers of non-repeatable requests may see at most
// a third of the failures of the baseline, for less than one extra hop a request.
BOOST_AUTO_TEST_CASE(callersSeeFewFailuresOfPhases)
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        RequestCounts baseline = simulate({}, false, seed);
        RequestCounts simulated = simulate({}, true, seed);
        BOOST_TEST(simulated.failedShare() < baseline.failedShare() / 3);
        BOOST_TEST(simulated.hops < simulated.nonRepeatable);
    }
}

// Guards against a false alarm that keeps traffic away from a healthy upstream.
BOOST_AUTO_TEST_CASE(falseAlarmEndsByItself)
{
    EarlyRejection rejection;
    rejection.record(true, at(1s));
    rejection.record(true, at(1100ms));
    BOOST_TEST(!rejection.admits(false, false, at(1200ms)));
    BOOST_TEST(rejection.admits(false, false, at(12s)));
}

// Guards against a recovery that only non-repeatable requests could detect, and against a flood of probes.
BOOST_AUTO_TEST_CASE(repeatableRequestsProbe)
{
    EarlyRejection rejection;
    rejection.record(true, at(1s));
    rejection.record(true, at(1100ms));
    BOOST_TEST(rejection.admits(true, false, at(1200ms)));
    BOOST_TEST(!rejection.admits(true, false, at(1300ms)));
    rejection.record(false, at(1400ms));
    rejection.record(false, at(1500ms));
    rejection.record(false, at(1600ms));
    BOOST_TEST(rejection.admits(false, false, at(1700ms)));
}

// Guards against rejecting a request when every upstream is suspect, although trying one still serves some callers.
BOOST_AUTO_TEST_CASE(lastChoiceIsNeverGivenBack)
{
    EarlyRejection rejection;
    for (Duration time = 1s; time < 2s; time += 100ms)
        rejection.record(true, at(time));
    BOOST_TEST(!rejection.admits(false, false, at(2s)));
    BOOST_TEST(rejection.admits(false, true, at(2s)));
}

// Guards against evidence about one process being counted against the next one at its address.
BOOST_AUTO_TEST_CASE(anotherProcessStartsWithoutEvidence)
{
    EarlyRejection rejection;
    rejection.record(true, at(1s));
    rejection.record(true, at(2s));
    rejection.reset();
    BOOST_TEST(rejection.probability(at(3s)) == 0.0);
}

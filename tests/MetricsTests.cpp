#define BOOST_TEST_MODULE Metrics
#include "Metrics.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <random>
#include <thread>

using namespace Gooseberrymill;

namespace {

bool hasLine(const std::string& page, const std::string& line)
{
    return ("\n" + page).find("\n" + line + "\n") != std::string::npos;
}

} // namespace

// Guards against lost updates when several threads increment one counter.
BOOST_AUTO_TEST_CASE(countersTakeUpdatesOfManyThreads)
{
    MetricsRegistry registry;
    Counter& counter = registry.counter("requests_total", "Requests.");
    constexpr int threadCount = 4;
    constexpr int increments = 100'000;
    std::vector<std::thread> threads;
    threads.reserve(threadCount);
    for (int i = 0; i < threadCount; ++i) {
        threads.emplace_back([&] {
            for (int n = 0; n < increments; ++n)
                counter.add();
        });
    }
    for (std::thread& thread : threads)
        thread.join();
    BOOST_TEST(counter.value() == uint64_t(threadCount) * increments);
}

// Guards against two metrics with the same name and labels, each with a part of the count.
BOOST_AUTO_TEST_CASE(sameNameAndLabelsGiveSameMetric)
{
    MetricsRegistry registry;
    Counter& a = registry.counter("requests_total", "Requests.", { { "service", "sello" } });
    Counter& b = registry.counter("requests_total", "Requests.", { { "service", "banco" } });
    BOOST_TEST(&a != &b);
    BOOST_TEST(&a == &registry.counter("requests_total", "Requests.", { { "service", "sello" } }));
}

// Guards against output that Prometheus collectors cannot parse, and against names without a unit.
BOOST_AUTO_TEST_CASE(printsTextPage)
{
    MetricsRegistry registry;
    registry.counter("relayed_bytes_total", "Bytes relayed.", { { "from", "a" }, { "to", "b\"\\\n" } }).add(42);
    registry.gauge("queue_count", "Waiting requests.").set(2.5);
    Timing& timing = registry.timing("wait_seconds", "Wait for a slot.", { { "class", "critical" } });
    timing.record(250ms);
    timing.record(750ms);
    std::string page = registry.print();
    BOOST_TEST_CONTEXT(page)
    {
        BOOST_TEST(hasLine(page, "# TYPE relayed_bytes_total counter"));
        BOOST_TEST(hasLine(page, "# HELP relayed_bytes_total Bytes relayed."));
        BOOST_TEST(hasLine(page, R"(relayed_bytes_total{from="a",to="b\"\\\n"} 42)"));
        BOOST_TEST(hasLine(page, "queue_count 2.5"));
        BOOST_TEST(hasLine(page, "# TYPE wait_seconds summary"));
        BOOST_TEST(hasLine(page, R"(wait_seconds{class="critical",quantile="0.5"} 0.25)"));
        BOOST_TEST(hasLine(page, R"(wait_seconds{class="critical",quantile="0.99"} 0.75)"));
        BOOST_TEST(hasLine(page, R"(wait_seconds_sum{class="critical"} 1)"));
        BOOST_TEST(hasLine(page, R"(wait_seconds_count{class="critical"} 2)"));
        BOOST_TEST(hasLine(page, R"(wait_seconds_max{class="critical"} 0.75)"));
    }
}

// Guards against invalid quantiles from the estimator while it has few samples or none.
BOOST_AUTO_TEST_CASE(quantilesOfFewSamplesAreExact)
{
    Timing timing;
    BOOST_TEST(timing.quantileSeconds(0) == 0.0);
    BOOST_TEST(timing.meanSeconds() == 0.0);
    BOOST_TEST(timing.maxSeconds() == 0.0);
    for (int i = 10; i >= 1; --i)
        timing.record(std::chrono::seconds(i));
    BOOST_TEST(timing.quantileSeconds(0) == 5.0);
    BOOST_TEST(timing.quantileSeconds(1) == 9.0);
    BOOST_TEST(timing.quantileSeconds(3) == 10.0);
    BOOST_TEST(timing.meanSeconds() == 5.5);
}

// Guards against inaccurate quantile estimates. Compares them with the exact quantiles of a long-tailed distribution;
// an error of up to 10% of the exact value is allowed.
BOOST_AUTO_TEST_CASE(quantilesOfManySamplesAreClose)
{
    std::mt19937_64 random(7);
    std::lognormal_distribution<double> distribution(std::log(0.02), 1.0);
    constexpr size_t sampleCount = 100'000;
    Timing timing;
    std::vector<double> exact;
    exact.reserve(sampleCount);
    for (size_t i = 0; i < sampleCount; ++i) {
        auto duration = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(distribution(random)));
        timing.record(duration);
        exact.push_back(std::chrono::duration<double>(duration).count());
    }
    std::sort(exact.begin(), exact.end());
    for (size_t i = 0; i < Timing::probabilities.size(); ++i) {
        double expected = exact.at(static_cast<size_t>(Timing::probabilities.at(i) * sampleCount));
        BOOST_TEST(timing.quantileSeconds(i) == expected, boost::test_tools::tolerance(0.1));
    }
    BOOST_TEST(timing.maxSeconds() == exact.back());
    BOOST_TEST(timing.count() == sampleCount);
}

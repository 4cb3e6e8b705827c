// Metrics of a node: counters, gauges and distributions of times, printed as a text page.
#pragma once

#include "core/Basics.h"

#include <atomic>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <deque>
#include <map>
#include <memory>

namespace Gooseberrymill {

// May be changed from any task.
class Counter {
public:
    void add(uint64_t n = 1) { m_value.fetch_add(n, std::memory_order_relaxed); }
    uint64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<uint64_t> m_value { 0 };
};

// May be set from any task.
class Gauge {
public:
    void set(double value) { m_value.store(value, std::memory_order_relaxed); }
    double value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<double> m_value { 0 };
};

// Distribution of times with a constant amount of memory. Belongs to the task that owns the registry;
// other tasks collect times and post them.
class Timing {
public:
    static constexpr std::array<double, 4> probabilities { 0.5, 0.9, 0.99, 0.999 };

    Timing();

    void record(Duration);
    void record(std::span<const Duration>);

    uint64_t count() const;
    double meanSeconds() const;
    double maxSeconds() const;
    double quantileSeconds(size_t index) const; // of probabilities[index]

private:
    // The P-square estimate needs this many samples; below it the quantiles are exact.
    static constexpr size_t firstSamples = 2 * probabilities.size() + 3;

    using Accumulator = boost::accumulators::accumulator_set<double,
        boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::mean,
            boost::accumulators::tag::max, boost::accumulators::tag::extended_p_square>>;

    Accumulator m_accumulator;
    std::vector<double> m_first; // sorted
};

using MetricLabels = std::map<std::string, std::string>;

// Named metrics. Registration and printing belong to the control task; references stay valid for the
// life of the registry and may be handed to other tasks, subject to the rules of each class.
class MetricsRegistry {
public:
    // Names are lower case and end in the unit: counters in "_total" (of bytes "_bytes_total"), gauges in
    // "_bytes", "_seconds", "_ratio" or "_count", times in "_seconds". Other names are misuse and assert.
    // The same name and labels give the same metric.
    Counter& counter(const std::string& name, const std::string& help, const MetricLabels& labels = {});
    Gauge& gauge(const std::string& name, const std::string& help, const MetricLabels& labels = {});
    Timing& timing(const std::string& name, const std::string& help, const MetricLabels& labels = {});

    std::string print() const; // Prometheus text format 0.0.4

private:
    template <typename T> struct Family {
        std::string help;
        std::map<std::string, std::unique_ptr<T>> metrics; // by printed labels
    };
    template <typename T> using Families = std::map<std::string, Family<T>>;

    template <typename T>
    static T& find(Families<T>&, const std::string& name, const std::string& help, const MetricLabels&);

    Families<Counter> m_counters;
    Families<Gauge> m_gauges;
    Families<Timing> m_timings;
};

} // namespace Gooseberrymill

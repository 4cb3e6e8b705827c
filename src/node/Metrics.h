// Metrics of a node: counters, gauges and summaries of durations, printed in the Prometheus text format.
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

// Monotonically increasing count. Thread-safe.
class Counter {
public:
    void add(uint64_t n = 1) { m_value.fetch_add(n, std::memory_order_relaxed); }
    uint64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<uint64_t> m_value { 0 };
};

// Value that can go up and down. Thread-safe.
class Gauge {
public:
    void set(double value) { m_value.store(value, std::memory_order_relaxed); }
    double value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<double> m_value { 0 };
};

// Quantiles, mean and maximum of durations, in constant memory. Not thread-safe: only the task that owns the registry
// may use it; other tasks collect durations and post them to that task.
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
    // The P-square estimator needs this many samples. Up to this count, quantiles are computed exactly.
    static constexpr size_t exactSampleCount = 2 * probabilities.size() + 3;

    using Accumulator = boost::accumulators::accumulator_set<double,
        boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::mean,
            boost::accumulators::tag::max, boost::accumulators::tag::extended_p_square>>;

    Accumulator m_accumulator;
    std::vector<double> m_firstSamples; // sorted
};

using MetricLabels = std::map<std::string, std::string>;

// Named metrics. Only the control task may register and print metrics. References to metrics stay valid for the
// lifetime of the registry; other tasks may use them if the class of the metric is thread-safe.
class MetricsRegistry {
public:
    // Names are lower case and end in the unit: counters in "_total" (of bytes "_bytes_total"), gauges in
    // "_bytes", "_seconds", "_ratio" or "_count", times in "_seconds". Other names fail an assertion.
    // The same name and labels return the same metric.
    Counter& counter(const std::string& name, const std::string& help, const MetricLabels& labels = {});
    Gauge& gauge(const std::string& name, const std::string& help, const MetricLabels& labels = {});
    Timing& timing(const std::string& name, const std::string& help, const MetricLabels& labels = {});

    std::string print() const; // Prometheus text format 0.0.4

private:
    template <typename T> struct Family {
        std::string help;
        std::map<std::string, std::unique_ptr<T>> metrics; // keyed by the labels in printed form
    };
    template <typename T> using Families = std::map<std::string, Family<T>>;

    template <typename T>
    static T& find(Families<T>&, const std::string& name, const std::string& help, const MetricLabels&);

    Families<Counter> m_counters;
    Families<Gauge> m_gauges;
    Families<Timing> m_timings;
};

} // namespace Gooseberrymill

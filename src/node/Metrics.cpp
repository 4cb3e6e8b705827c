#include "Metrics.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <fmt/format.h>

namespace Gooseberrymill {

namespace {

namespace Accumulators = boost::accumulators;

[[maybe_unused]] bool isMetricName(std::string_view name, std::initializer_list<std::string_view> units)
{
    bool hasOnlyValidCharacters = !name.empty() && std::all_of(name.begin(), name.end(), [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '_';
    });
    return hasOnlyValidCharacters
        && std::any_of(units.begin(), units.end(), [&](std::string_view unit) { return name.ends_with(unit); });
}

std::string escapeLabel(std::string_view text)
{
    std::string escaped;
    for (char c : text) {
        if (c == '\\' || c == '"')
            escaped += '\\';
        if (c == '\n')
            escaped += "\\n";
        else
            escaped += c;
    }
    return escaped;
}

std::string printLabels(const MetricLabels& labels)
{
    std::string text;
    for (const auto& [name, value] : labels)
        text += fmt::format("{}{}=\"{}\"", text.empty() ? "" : ",", name, escapeLabel(value));
    return text;
}

std::string braced(const std::string& labels) { return labels.empty() ? "" : fmt::format("{{{}}}", labels); }

void printHeader(std::string& page, const std::string& name, const std::string& help, std::string_view type)
{
    page += fmt::format("# HELP {} {}\n# TYPE {} {}\n", name, help, name, type);
}

void printTiming(std::string& page, const std::string& name, const std::string& labels, const Timing& timing)
{
    std::string prefix = labels.empty() ? "" : labels + ",";
    for (size_t i = 0; i < Timing::probabilities.size(); ++i) {
        page += fmt::format(
            "{}{{{}quantile=\"{}\"}} {}\n", name, prefix, Timing::probabilities.at(i), timing.quantileSeconds(i));
    }
    auto count = timing.count();
    page += fmt::format("{}_sum{} {}\n", name, braced(labels), timing.meanSeconds() * static_cast<double>(count));
    page += fmt::format("{}_count{} {}\n", name, braced(labels), count);
}

} // namespace

Timing::Timing()
    : m_accumulator(Accumulators::extended_p_square_probabilities = probabilities)
{
    m_firstSamples.reserve(exactSampleCount);
}

void Timing::record(Duration duration)
{
    double seconds = std::chrono::duration<double>(duration).count();
    m_accumulator(seconds);
    if (m_firstSamples.size() < exactSampleCount)
        m_firstSamples.insert(std::upper_bound(m_firstSamples.begin(), m_firstSamples.end(), seconds), seconds);
}

void Timing::record(std::span<const Duration> durations)
{
    for (Duration duration : durations)
        record(duration);
}

uint64_t Timing::count() const { return Accumulators::count(m_accumulator); }

double Timing::meanSeconds() const { return count() ? Accumulators::mean(m_accumulator) : 0; }

double Timing::maxSeconds() const { return count() ? Accumulators::max(m_accumulator) : 0; }

double Timing::quantileSeconds(size_t index) const
{
    assert(index < probabilities.size());
    if (m_firstSamples.empty())
        return 0;
    if (count() > exactSampleCount)
        return Accumulators::extended_p_square(m_accumulator)[static_cast<std::ptrdiff_t>(index)];
    auto rank = static_cast<size_t>(std::ceil(probabilities.at(index) * static_cast<double>(m_firstSamples.size())));
    return m_firstSamples.at(std::max<size_t>(rank, 1) - 1);
}

template <typename T>
T& MetricsRegistry::find(
    Families<T>& families, const std::string& name, const std::string& help, const MetricLabels& labels)
{
    Family<T>& family = families[name];
    family.help = help;
    std::unique_ptr<T>& metric = family.metrics[printLabels(labels)];
    if (!metric)
        metric = std::make_unique<T>();
    return *metric;
}

Counter& MetricsRegistry::counter(const std::string& name, const std::string& help, const MetricLabels& labels)
{
    assert(isMetricName(name, { "_total" }));
    return find(m_counters, name, help, labels);
}

Gauge& MetricsRegistry::gauge(const std::string& name, const std::string& help, const MetricLabels& labels)
{
    assert(isMetricName(name, { "_bytes", "_seconds", "_ratio", "_count" }));
    return find(m_gauges, name, help, labels);
}

Timing& MetricsRegistry::timing(const std::string& name, const std::string& help, const MetricLabels& labels)
{
    assert(isMetricName(name, { "_seconds" }));
    return find(m_timings, name, help, labels);
}

std::string MetricsRegistry::print() const
{
    std::string page;
    for (const auto& [name, family] : m_counters) {
        printHeader(page, name, family.help, "counter");
        for (const auto& [labels, counter] : family.metrics)
            page += fmt::format("{}{} {}\n", name, braced(labels), counter->value());
    }
    for (const auto& [name, family] : m_gauges) {
        printHeader(page, name, family.help, "gauge");
        for (const auto& [labels, gauge] : family.metrics)
            page += fmt::format("{}{} {}\n", name, braced(labels), gauge->value());
    }
    for (const auto& [name, family] : m_timings) {
        printHeader(page, name, family.help, "summary");
        for (const auto& [labels, timing] : family.metrics)
            printTiming(page, name, labels, *timing);
        printHeader(page, name + "_max", "Largest value of " + name + ".", "gauge");
        for (const auto& [labels, timing] : family.metrics)
            page += fmt::format("{}_max{} {}\n", name, braced(labels), timing->maxSeconds());
    }
    return page;
}

} // namespace Gooseberrymill

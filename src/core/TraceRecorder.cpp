#include "TraceRecorder.h"

#include <algorithm>

namespace Gooseberrymill {

namespace {

// Returns the trace event that puts an upstream into this state; empty when Replay derives the state itself.
std::optional<ChangeKind> changeKindFor(UpstreamState state)
{
    switch (state) {
    case UpstreamState::Cold:
        return ChangeKind::Restart;
    case UpstreamState::Draining:
        return ChangeKind::Drain;
    case UpstreamState::Gone:
        return ChangeKind::Crash;
    default:
        return std::nullopt;
    }
}

} // namespace

TraceRecorder::TraceRecorder(std::string deployment, Location location, Instant start)
    : m_start(start)
{
    m_trace.header.deployment = std::move(deployment);
    m_trace.header.scenario = "recorded";
    m_trace.header.dataCentres.push_back(std::move(location));
}

std::optional<uint16_t> TraceRecorder::serviceIndex(const std::string& service)
{
    auto& services = m_trace.header.services;
    auto it = std::find_if(
        services.begin(), services.end(), [&](const Service& existing) { return existing.name == service; });
    if (it != services.end())
        return static_cast<uint16_t>(it - services.begin());
    const Service* configured = m_routes ? m_routes->service(service) : nullptr;
    if (!configured)
        return std::nullopt;
    services.push_back(*configured);
    return static_cast<uint16_t>(services.size() - 1);
}

void TraceRecorder::upstreamChanged(
    const std::string& upstream, const std::string& service, uint32_t slots, UpstreamState state, Instant now)
{
    auto it = m_upstreams.find(upstream);
    if (it == m_upstreams.end()) {
        auto index = serviceIndex(service);
        if (!index)
            return; // the service is not configured yet; the next change of the upstream adds it
        auto& upstreams = m_trace.header.upstreams;
        KnownUpstream known { static_cast<uint16_t>(upstreams.size()), *index };
        upstreams.push_back({ upstream, *index, 0, slots, slots });
        m_upstreams.emplace(upstream, known);
        return; // a trace starts with all upstreams ready
    }
    if (auto kind = changeKindFor(state))
        append(TraceUpstreamChange { now - m_start, it->second.index, *kind, 1 });
}

void TraceRecorder::requestEnded(const std::string& upstream, const Sample& sample, Instant now)
{
    auto it = m_upstreams.find(upstream);
    if (it == m_upstreams.end() || sample.kind == SampleKind::Cancelled)
        return;
    const Service& service = m_trace.header.services[it->second.service];
    if (sample.workKey >= service.routes.size())
        return;
    const Route& route = service.routes[sample.workKey];
    TraceArrival arrival;
    arrival.at = std::max(now - sample.serviceTime - m_start, Duration {});
    arrival.service = it->second.service;
    arrival.route = static_cast<uint16_t>(sample.workKey);
    arrival.workClass = route.workClass;
    arrival.deadline = route.deadline;
    arrival.demand = sample.serviceTime;
    append(arrival);
}

void TraceRecorder::append(TraceEvent event)
{
    if (m_trace.events.size() < maxRecordedEvents)
        m_trace.events.push_back(std::move(event));
    else
        ++m_dropped;
}

Trace TraceRecorder::finish(Instant now)
{
    std::stable_sort(m_trace.events.begin(), m_trace.events.end(),
        [](const TraceEvent& a, const TraceEvent& b) { return timeOf(a) < timeOf(b); });
    m_trace.header.duration = now - m_start;
    Trace trace = std::exchange(m_trace, {});
    m_upstreams.clear();
    return trace;
}

} // namespace Gooseberrymill

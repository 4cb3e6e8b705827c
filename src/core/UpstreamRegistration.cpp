#include "UpstreamRegistration.h"

#include <algorithm>

namespace Gooseberrymill {

namespace {

constexpr size_t maxDepartures = 64; // bounds the list of instances that left; the oldest is removed first

} // namespace

ReportResult UpstreamRegistration::applyReport(const UpstreamReport& report)
{
    bool isForeign
        = (!m_service.empty() && report.service != m_service) || (!m_address.empty() && report.address != m_address);
    if (isForeign)
        return ReportResult::Foreign;
    if (m_current && report.processStartedAt < m_current->processStartedAt)
        return ReportResult::Outdated;
    bool isSameProcess
        = m_current && report.processStartedAt == m_current->processStartedAt && report.instance == m_current->instance;
    // A restarted process may keep its identity. Its later start time tells it apart, and its sequence starts again.
    bool isOld = m_current && report.sequence && report.sequence <= m_current->sequence;
    bool hasSameStart = m_current && report.processStartedAt == m_current->processStartedAt;
    if (hasSameStart && (!isSameProcess || isOld))
        return ReportResult::Outdated;
    bool wasDraining = isSameProcess && m_current->state == UpstreamState::Draining;
    m_current = report;
    // The departure was acknowledged, so the process stays draining whatever it announces later.
    if (wasDraining || hasLeft(report))
        m_current->state = UpstreamState::Draining;
    return ReportResult::Applied;
}

UpstreamDeparture UpstreamRegistration::departureOf(
    std::string_view instance, uint64_t processStartedAt, uint64_t now) const
{
    if (processStartedAt)
        return { std::string(instance), processStartedAt };
    bool isCurrent = m_current && m_current->instance == instance;
    return { std::string(instance), isCurrent ? m_current->processStartedAt : now };
}

bool UpstreamRegistration::applyDeparture(const UpstreamDeparture& departure)
{
    auto it = std::ranges::find(m_departures, departure.instance, &UpstreamDeparture::instance);
    if (it != m_departures.end()) {
        it->startedUpTo = std::max(it->startedUpTo, departure.startedUpTo);
    } else {
        if (m_departures.size() >= maxDepartures)
            m_departures.erase(m_departures.begin());
        m_departures.push_back(departure);
    }
    bool isCurrent = m_current && m_current->instance == departure.instance
        && m_current->processStartedAt <= departure.startedUpTo;
    if (isCurrent)
        m_current->state = UpstreamState::Draining;
    return isCurrent;
}

std::optional<UpstreamDeparture> UpstreamRegistration::currentDeparture() const
{
    bool isDraining = m_current && m_current->state == UpstreamState::Draining;
    if (!isDraining || m_current->instance.empty() || !m_current->processStartedAt)
        return std::nullopt;
    return UpstreamDeparture { m_current->instance, m_current->processStartedAt };
}

bool UpstreamRegistration::hasLeft(const UpstreamReport& report) const
{
    auto it = std::ranges::find(m_departures, report.instance, &UpstreamDeparture::instance);
    return it != m_departures.end() && report.processStartedAt <= it->startedUpTo;
}

} // namespace Gooseberrymill

#include "UpstreamRegistration.h"

#include <algorithm>

namespace Gooseberrymill {

namespace {

constexpr size_t maxDeparted = 64; // bounds the list of processes that left; the oldest is removed first

} // namespace

ReportResult UpstreamRegistration::applyReport(const UpstreamReport& report)
{
    bool isForeign
        = (!m_service.empty() && report.service != m_service) || (!m_address.empty() && report.address != m_address);
    if (isForeign)
        return ReportResult::Foreign;
    std::string processKey = report.instance + "@" + std::to_string(report.processStartedAt);
    bool hasLeft = std::ranges::find(m_departed, processKey) != m_departed.end();
    if (!m_current) {
        m_current = report;
        if (hasLeft)
            m_current->state = UpstreamState::Draining;
        return ReportResult::Applied;
    }
    if (report.processStartedAt < m_current->processStartedAt)
        return ReportResult::Outdated;
    bool isSameProcess
        = report.processStartedAt == m_current->processStartedAt && report.instance == m_current->instance;
    // A restarted process may keep its identity. Its later start time tells it apart, and its sequence starts again.
    bool isOld = report.sequence && report.sequence <= m_current->sequence;
    if (report.processStartedAt == m_current->processStartedAt && (!isSameProcess || isOld))
        return ReportResult::Outdated;
    bool wasDraining = isSameProcess && m_current->state == UpstreamState::Draining;
    m_current = report;
    // The departure was acknowledged, so the process stays draining whatever it announces later.
    if (wasDraining || hasLeft)
        m_current->state = UpstreamState::Draining;
    return ReportResult::Applied;
}

bool UpstreamRegistration::markDeparted(std::string_view instance)
{
    if (!m_current || m_current->instance != instance)
        return false;
    if (m_departed.size() >= maxDeparted)
        m_departed.erase(m_departed.begin());
    m_departed.push_back(m_current->instance + "@" + std::to_string(m_current->processStartedAt));
    m_current->state = UpstreamState::Draining;
    return true;
}

} // namespace Gooseberrymill

#include "QueryOfDeathFilter.h"

#include <algorithm>
#include <cassert>

namespace Gooseberrymill {

QueryOfDeathFilter::QueryOfDeathFilter(QueryOfDeathLimits limits)
    : m_limits(limits)
{
    assert(limits.maxCrashes && limits.maxFingerprints);
}

std::vector<CrashReport> QueryOfDeathFilter::crashed(
    const Id128& crash, std::span<const Fingerprint> running, Instant now)
{
    std::vector<CrashReport> reports;
    for (Fingerprint fingerprint : running) {
        CrashReport report { crash, fingerprint };
        if (reported(report, now))
            reports.push_back(report);
    }
    return reports;
}

bool QueryOfDeathFilter::reported(const CrashReport& report, Instant now)
{
    Suspect& suspect = m_suspects[report.fingerprint];
    bool isKnown = std::find(suspect.crashes.begin(), suspect.crashes.end(), report.crash) != suspect.crashes.end();
    if (isKnown)
        return false;
    suspect.lastCrash = now;
    if (suspect.crashes.size() < m_limits.maxCrashes)
        suspect.crashes.push_back(report.crash);
    if (m_suspects.size() > m_limits.maxFingerprints)
        dropOldest();
    return true;
}

void QueryOfDeathFilter::succeeded(Fingerprint fingerprint) { m_suspects.erase(fingerprint); }

uint32_t QueryOfDeathFilter::refusedAfter(Fingerprint fingerprint, Instant now) const
{
    auto it = m_suspects.find(fingerprint);
    if (it == m_suspects.end() || now - it->second.lastCrash > m_limits.memory)
        return 0;
    auto n = static_cast<uint32_t>(it->second.crashes.size());
    return n >= m_limits.maxCrashes ? n : 0;
}

std::vector<CrashReport> QueryOfDeathFilter::reports() const
{
    std::vector<CrashReport> result;
    for (const auto& [fingerprint, suspect] : m_suspects) {
        for (const Id128& crash : suspect.crashes)
            result.push_back({ crash, fingerprint });
    }
    return result;
}

void QueryOfDeathFilter::tick(Instant now)
{
    std::erase_if(m_suspects, [&](const auto& entry) { return now - entry.second.lastCrash > m_limits.memory; });
}

void QueryOfDeathFilter::dropOldest()
{
    auto oldest = std::min_element(m_suspects.begin(), m_suspects.end(),
        [](const auto& a, const auto& b) { return a.second.lastCrash < b.second.lastCrash; });
    m_suspects.erase(oldest);
}

} // namespace Gooseberrymill

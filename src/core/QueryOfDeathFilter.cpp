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
    Instant crashedAt = now - std::chrono::seconds(report.ageSeconds);
    if (now - crashedAt > m_limits.retention)
        return false;
    Suspect& suspect = m_suspects[report.fingerprint];
    if (now - suspect.lastCrash > m_limits.retention)
        suspect = {};
    bool isKnown = std::find(suspect.crashes.begin(), suspect.crashes.end(), report.crash) != suspect.crashes.end();
    if (isKnown)
        return false;
    if (suspect.crashes.size() >= std::max<size_t>(maxKnownCrashes, m_limits.maxCrashes))
        return false;
    suspect.lastCrash = std::max(suspect.lastCrash, crashedAt);
    suspect.crashes.push_back(report.crash);
    if (m_suspects.size() > m_limits.maxFingerprints)
        dropOldest();
    return true;
}

void QueryOfDeathFilter::succeeded(Fingerprint fingerprint) { m_suspects.erase(fingerprint); }

uint32_t QueryOfDeathFilter::crashCountIfRefused(Fingerprint fingerprint, Instant now) const
{
    auto it = m_suspects.find(fingerprint);
    if (it == m_suspects.end() || now - it->second.lastCrash > m_limits.retention)
        return 0;
    auto n = static_cast<uint32_t>(it->second.crashes.size());
    return n >= m_limits.maxCrashes ? n : 0;
}

std::vector<CrashReport> QueryOfDeathFilter::reports(Instant now) const
{
    std::vector<CrashReport> result;
    for (const auto& [fingerprint, suspect] : m_suspects) {
        auto age = std::chrono::duration_cast<std::chrono::seconds>(now - suspect.lastCrash).count();
        for (const Id128& crash : suspect.crashes)
            result.push_back({ crash, fingerprint, static_cast<uint32_t>(std::max<int64_t>(age, 0)) });
    }
    return result;
}

void QueryOfDeathFilter::tick(Instant now)
{
    std::erase_if(m_suspects, [&](const auto& entry) { return now - entry.second.lastCrash > m_limits.retention; });
}

void QueryOfDeathFilter::dropOldest()
{
    auto oldest = std::min_element(m_suspects.begin(), m_suspects.end(),
        [](const auto& a, const auto& b) { return a.second.lastCrash < b.second.lastCrash; });
    m_suspects.erase(oldest);
}

} // namespace Gooseberrymill

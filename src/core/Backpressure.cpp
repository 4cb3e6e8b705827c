#include "Backpressure.h"

namespace Gooseberrymill {

//-----------------------------------------------------------------------------
// [SECTION] Executor
//-----------------------------------------------------------------------------

void Backpressure::setProcess(std::string process)
{
    if (m_process == process)
        return;
    *this = {};
    m_process = std::move(process);
}

void Backpressure::recordResponse(const ResponseSignals& signals)
{
    m_isLeaving = m_isLeaving || signals.isLeaving;
    bool endsLimit = !signals.namesRate && signals.isServed;
    if (!signals.rate && !endsLimit)
        return;
    m_rate = signals.rate;
    m_hasResponded = true;
}

void Backpressure::recordNotice(const UpstreamNotice& notice)
{
    if (notice.process.empty() || notice.process != m_process)
        return;
    m_isLeaving = m_isLeaving || notice.isLeaving;
    if (!m_hasResponded && notice.rate > 0)
        m_rate = std::clamp(notice.rate, minUpstreamRate, maxUpstreamRate);
}

UpstreamNotice Backpressure::notice(Duration wait) const
{
    if (!m_rate && !m_isLeaving)
        return {};
    auto millis = std::chrono::ceil<std::chrono::milliseconds>(wait).count();
    return { m_process, m_rate.value_or(0), static_cast<uint32_t>(std::clamp<int64_t>(millis, 0, UINT32_MAX)),
        m_isLeaving };
}

//-----------------------------------------------------------------------------
// [SECTION] Entry
//-----------------------------------------------------------------------------

void NoticeBook::update(std::string_view upstream, UpstreamNotice notice, Instant now)
{
    auto it = m_entries.find(upstream);
    if (notice.process.empty()) {
        if (it != m_entries.end())
            m_entries.erase(it);
        return;
    }
    std::erase_if(m_entries, [&](const auto& entry) { return now - entry.second.heardAt > lifetime; });
    m_entries.insert_or_assign(std::string(upstream), Entry { std::move(notice), now });
}

UpstreamNotice NoticeBook::find(std::string_view upstream, Instant now) const
{
    auto it = m_entries.find(upstream);
    bool isCurrent = it != m_entries.end() && now - it->second.heardAt <= lifetime;
    return isCurrent ? it->second.notice : UpstreamNotice {};
}

} // namespace Gooseberrymill

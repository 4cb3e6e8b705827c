#include "StoreHistory.h"

#include <algorithm>

namespace Gooseberrymill {

EraChange StoreHistory::record(std::optional<uint64_t> responseEra, uint64_t eraAtSend)
{
    if (!responseEra || responseEra == m_era)
        return EraChange::None;
    if (m_era && *responseEra < *m_era && eraAtSend != *m_era)
        return EraChange::Outdated;
    bool isFirst = !m_era;
    m_era = responseEra;
    m_positions.clear();
    return isFirst ? EraChange::None : EraChange::Started;
}

uint64_t StoreHistory::position(std::string_view kind) const
{
    auto it = m_positions.find(kind);
    return it == m_positions.end() ? 0 : it->second;
}

void StoreHistory::advance(std::string_view kind, uint64_t revision)
{
    uint64_t& position = m_positions.try_emplace(std::string(kind), 0).first->second;
    position = std::max(position, revision);
}

} // namespace Gooseberrymill

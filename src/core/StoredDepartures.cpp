#include "StoredDepartures.h"

#include <algorithm>

namespace Gooseberrymill {

bool StoredDepartures::add(const UpstreamDeparture& departure)
{
    if (covers(departure))
        return false;
    std::erase_if(m_entries, [&](const UpstreamDeparture& it) { return it.instance == departure.instance; });
    if (m_entries.size() >= maxDeparturesPerNode)
        m_entries.erase(m_entries.begin());
    m_entries.push_back(departure);
    return true;
}

void StoredDepartures::addOlder(std::span<const UpstreamDeparture> departures)
{
    StoredDepartures all;
    for (const UpstreamDeparture& it : departures)
        all.add(it);
    for (const UpstreamDeparture& it : m_entries)
        all.add(it);
    *this = std::move(all);
}

bool StoredDepartures::covers(const UpstreamDeparture& departure) const
{
    return std::ranges::any_of(m_entries, [&](const UpstreamDeparture& it) {
        return it.instance == departure.instance && it.startedUpTo >= departure.startedUpTo;
    });
}

bool StoredDepartures::coversAll(std::span<const UpstreamDeparture> departures) const
{
    return std::ranges::all_of(departures, [this](const UpstreamDeparture& it) { return covers(it); });
}

} // namespace Gooseberrymill

#include "DepartureBook.h"

#include <algorithm>

namespace Gooseberrymill {

void DepartureBook::record(const DepartureNotice& notice, Instant now)
{
    if (m_nodes.size() >= maxNodes && !m_nodes.contains(notice.node))
        return;
    auto& entries = m_nodes[notice.node];
    for (const UpstreamDeparture& departure : notice.departures) {
        auto isSameInstance = [&](const Entry& it) { return it.departure.instance == departure.instance; };
        auto known = std::ranges::find_if(entries, isSameInstance);
        if (known != entries.end() && known->departure.startedUpTo > departure.startedUpTo)
            continue; // a late notice
        std::erase_if(entries, isSameInstance);
        if (entries.size() >= maxDeparturesPerNode)
            entries.erase(entries.begin());
        entries.push_back({ departure, notice.incarnation, now });
    }
}

std::vector<UpstreamDeparture> DepartureBook::unknownTo(std::string_view node, const Id128& incarnation) const
{
    std::vector<UpstreamDeparture> unknown;
    auto it = m_nodes.find(node);
    if (it == m_nodes.end())
        return unknown;
    for (const Entry& entry : it->second) {
        if (entry.knownTo != incarnation)
            unknown.push_back(entry.departure);
    }
    return unknown;
}

void DepartureBook::told(std::string_view node, const Id128& incarnation, std::span<const UpstreamDeparture> departures)
{
    auto it = m_nodes.find(node);
    if (it == m_nodes.end())
        return;
    for (Entry& entry : it->second) {
        if (std::ranges::find(departures, entry.departure) != departures.end())
            entry.knownTo = incarnation;
    }
}

void DepartureBook::tick(Instant now)
{
    for (auto& [node, entries] : m_nodes)
        std::erase_if(entries, [now](const Entry& it) { return now - it.recordedAt >= lifetime; });
    std::erase_if(m_nodes, [](const auto& it) { return it.second.empty(); });
}

} // namespace Gooseberrymill

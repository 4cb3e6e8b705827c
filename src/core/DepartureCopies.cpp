#include "DepartureCopies.h"

#include <algorithm>

namespace Gooseberrymill {

bool DepartureCopies::add(const UpstreamDeparture& departure, Instant now)
{
    auto known = std::ranges::find(
        m_entries, departure.instance, [](const Entry& it) -> const std::string& { return it.departure.instance; });
    if (known != m_entries.end()) {
        if (known->departure.startedUpTo >= departure.startedUpTo)
            return false;
        m_entries.erase(known);
    }
    if (m_entries.size() >= maxDeparturesPerNode)
        m_entries.erase(m_entries.begin());
    m_entries.push_back({ departure, now, {}, {} });
    return true;
}

bool DepartureCopies::Entry::isAtOrPending(const NodeRecord& peer) const
{
    auto holder = holders.find(peer.name);
    return (holder != holders.end() && holder->second == peer.incarnation) || pending.contains(peer.name);
}

DepartureCopies::Notices DepartureCopies::due(std::span<const NodeRecord* const> peers, std::mt19937_64& random)
{
    Notices notices;
    for (Entry& entry : m_entries) {
        std::vector<const NodeRecord*> others;
        std::ranges::copy_if(
            peers, std::back_inserter(others), [&](const NodeRecord* peer) { return !entry.isAtOrPending(*peer); });
        size_t copies = peers.size() - others.size();
        std::vector<const NodeRecord*> chosen;
        if (copies < wanted)
            std::ranges::sample(
                others, std::back_inserter(chosen), static_cast<std::ptrdiff_t>(wanted - copies), random);
        for (const NodeRecord* peer : chosen) {
            entry.pending.insert(peer->name);
            notices[peer].push_back(entry.departure);
        }
    }
    return notices;
}

void DepartureCopies::answered(
    const std::string& peer, const Id128& incarnation, std::span<const UpstreamDeparture> departures, bool isStored)
{
    for (Entry& entry : m_entries) {
        if (std::ranges::find(departures, entry.departure) == departures.end())
            continue;
        entry.pending.erase(peer);
        if (isStored)
            entry.holders[peer] = incarnation;
    }
}

void DepartureCopies::tick(Instant now)
{
    std::erase_if(m_entries, [now](const Entry& it) { return now - it.addedAt >= lifetime; });
}

} // namespace Gooseberrymill

#include "Ejection.h"

#include <algorithm>

namespace Gooseberrymill {

namespace {

const UpstreamView* findView(std::span<const UpstreamView> views, std::string_view upstream)
{
    auto it = std::ranges::find(views, upstream, &UpstreamView::upstream);
    return it == views.end() ? nullptr : &*it;
}

auto lowerBound(std::vector<RosterEntry>& entries, std::string_view upstream)
{
    return std::ranges::lower_bound(entries, upstream, {}, &RosterEntry::upstream);
}

} // namespace

const RosterEntry* findEntry(const ServiceRoster& roster, std::string_view upstream)
{
    auto it = std::ranges::lower_bound(roster.entries, upstream, {}, &RosterEntry::upstream);
    return it == roster.entries.end() || it->upstream != upstream ? nullptr : &*it;
}

ServiceRoster registerUpstream(ServiceRoster roster, RosterEntry entry)
{
    auto it = lowerBound(roster.entries, entry.upstream);
    if (it != roster.entries.end() && it->upstream == entry.upstream)
        *it = std::move(entry);
    else
        roster.entries.insert(it, std::move(entry));
    return roster;
}

std::optional<ServiceRoster> markState(
    ServiceRoster roster, std::string_view upstream, const Id128& executor, UpstreamState state)
{
    auto it = lowerBound(roster.entries, upstream);
    if (it == roster.entries.end() || it->upstream != upstream || it->executor != executor)
        return std::nullopt;
    it->state = state;
    it->severity = 0;
    return roster;
}

uint32_t eligibleSlots(
    const ServiceRoster& roster, std::span<const UpstreamView> views, std::string_view except, Duration maxAge)
{
    uint32_t sum = 0;
    for (const RosterEntry& entry : roster.entries) {
        if (entry.upstream == except || entry.state != UpstreamState::Ready)
            continue;
        const UpstreamView* view = findView(views, entry.upstream);
        bool confirmed
            = view && view->executor == entry.executor && view->state == UpstreamState::Ready && view->age <= maxAge;
        if (confirmed)
            sum += std::min(entry.slots, view->slots);
    }
    return sum;
}

uint32_t servingSlots(std::span<const UpstreamView> views, std::string_view except, Duration maxAge)
{
    uint32_t sum = 0;
    for (const UpstreamView& view : views) {
        bool serves = view.state == UpstreamState::Ready || view.state == UpstreamState::Degraded;
        if (serves && view.upstream != except && view.age <= maxAge)
            sum += view.slots;
    }
    return sum;
}

std::optional<ServiceRoster> proposeEjection(ServiceRoster roster, uint32_t floorSlots,
    std::span<const UpstreamView> views, const EjectionRequest& request, Duration maxAge)
{
    const RosterEntry* own = findEntry(roster, request.upstream);
    if (!own || own->executor != request.executor)
        return std::nullopt;
    if (eligibleSlots(roster, views, request.upstream, maxAge) < floorSlots)
        return std::nullopt;
    RosterEntry entry = *own;
    entry.state = UpstreamState::Ejected;
    entry.severity = request.severity;
    entry.attempt = request.attempt;
    return registerUpstream(std::move(roster), std::move(entry));
}

} // namespace Gooseberrymill

#include "CandidateCache.h"

#include <algorithm>

namespace Gooseberrymill {

namespace {

bool isServing(UpstreamState state)
{
    return state == UpstreamState::Cold || state == UpstreamState::Ready || state == UpstreamState::Degraded;
}

bool isLive(const NodeRecord* node)
{
    return node && (node->status == NodeStatus::Alive || node->status == NodeStatus::Suspect);
}

} // namespace

void CandidateCache::noteChange(const Membership& membership, std::string_view node)
{
    if (!m_changedNodes.contains(node))
        m_changedNodes.emplace(node);
    m_isUrgent = m_isUrgent || removesCapacity(membership, node);
}

bool CandidateCache::removesCapacity(const Membership& membership, std::string_view node) const
{
    auto services = m_servicesByNode.find(node);
    if (services == m_servicesByNode.end())
        return false;
    const NodeRecord* record = membership.find(node);
    for (std::string_view service : services->second) {
        for (const Candidate& it : of(service)) {
            if (it.node.get() != node || !isServing(it.state))
                continue;
            if (!isLive(record) || it.executor != record->incarnation)
                return true;
            auto current = std::ranges::find(record->upstreams, it.upstream, &UpstreamRecord::name);
            if (current == record->upstreams.end() || !isServing(current->state) || current->state > it.state)
                return true;
        }
    }
    return false;
}

Shared<Location> CandidateCache::shareLocation(const Location& location)
{
    auto it = std::ranges::find_if(m_locations, [&](const Shared<Location>& each) { return each == location; });
    return it == m_locations.end() ? m_locations.emplace_back(location) : *it;
}

CandidateList CandidateCache::candidatesOfNode(const Membership& membership, std::string_view node)
{
    CandidateList list;
    const NodeRecord* record = membership.find(node);
    if (!isLive(record))
        return list;
    Shared<std::string> name(record->name);
    Shared<std::string> relayAddress(record->relayAddress);
    Shared<Location> location = shareLocation(record->location);
    for (const UpstreamRecord& it : record->upstreams) {
        if (it.state == UpstreamState::Gone)
            continue;
        auto service = m_services.find(it.service);
        if (service == m_services.end())
            service = m_services.emplace(it.service, Service { it.service, nullptr }).first;
        list.push_back({ it.name, service->second.name, name, relayAddress, record->incarnation, location, it.slots,
            candidateState(*record, it), it.share });
    }
    return list;
}

CandidateChanges CandidateCache::takeChanges(const Membership& membership, Instant now)
{
    CandidateChanges changes;
    Duration period = m_isUrgent ? m_settings.urgentPeriod : m_settings.period;
    bool isDue = !m_lastRebuild || now - *m_lastRebuild >= period;
    if (m_changedNodes.empty() || !isDue)
        return changes;
    m_lastRebuild = now;
    m_isUrgent = false;
    rebuild(membership, changes);
    m_changedNodes.clear();
    return changes;
}

void CandidateCache::rebuild(const Membership& membership, CandidateChanges& changes)
{
    std::map<std::string_view, CandidateList> affected; // by key of m_services: the new candidates of changed nodes
    for (const std::string& node : m_changedNodes) {
        auto& services = m_servicesByNode[node];
        for (std::string_view service : services)
            affected[service];
        services.clear();
        for (Candidate& it : candidatesOfNode(membership, node)) {
            std::string_view service = m_services.find(std::string_view(it.service))->first;
            affected[service].push_back(std::move(it));
            if (std::ranges::find(services, service) == services.end())
                services.push_back(service);
        }
        services.shrink_to_fit();
        if (services.empty())
            m_servicesByNode.erase(node);
    }
    for (auto& [name, records] : affected) {
        auto service = m_services.find(name);
        CandidateList list = std::move(records);
        for (const Candidate& it : of(name)) {
            if (!m_changedNodes.contains(std::string_view(it.node)))
                list.push_back(it);
        }
        std::ranges::sort(list, {}, &Candidate::upstream);
        if (service->second.candidates && *service->second.candidates == list)
            continue;
        ++m_rebuiltListCount;
        list.shrink_to_fit();
        service->second.candidates = std::make_shared<const CandidateList>(std::move(list));
        changes.push_back({ service->first, service->second.candidates });
        if (service->second.candidates->empty())
            m_services.erase(service);
    }
}

std::span<const Candidate> CandidateCache::of(std::string_view service) const
{
    auto it = m_services.find(service);
    if (it == m_services.end() || !it->second.candidates)
        return {};
    return *it->second.candidates;
}

std::vector<UpstreamView> makeUpstreamViews(
    const Membership& membership, const CandidateCache& cache, std::string_view service, Instant now)
{
    std::vector<UpstreamView> views;
    for (const Candidate& it : cache.of(service)) {
        const NodeRecord* node = membership.find(std::string_view(it.node));
        if (!isLive(node))
            continue;
        auto record = std::ranges::find(node->upstreams, it.upstream, &UpstreamRecord::name);
        if (record == node->upstreams.end() || record->service != service)
            continue;
        views.push_back({ record->name, node->incarnation, record->slots, record->state, record->severity,
            membership.age(node->name, now) });
    }
    return views;
}

} // namespace Gooseberrymill

// Candidate lists by service, updated incrementally from the membership.
//
// Only the lists of services of changed members are rebuilt, and the candidates of one node share its strings. Changes
// are batched: those that remove capacity wait at most `urgentPeriod`, since a leaving or ejected upstream must stop
// getting traffic at once; all others wait at most `period`.
#pragma once

#include "Balancer.h"
#include "Membership.h"

#include <set>

namespace Gooseberrymill {

struct CandidateCacheSettings {
    Duration period = 100ms; // minimum time between two rebuilds
    Duration urgentPeriod = 10ms; // same after a loss of capacity; bounds the rebuilds when many members fail at once
};

class CandidateCache {
public:
    explicit CandidateCache(CandidateCacheSettings settings = {})
        : m_settings(settings)
    {
    }

    // Marks a member as changed, or one of its upstreams.
    void noteChange(const Membership&, std::string_view node);

    // Rebuilds and returns the lists that changed; empty while no rebuild is due. Call after noteChange() and with each
    // tick.
    CandidateChanges takeChanges(const Membership&, Instant now);

    std::span<const Candidate> of(std::string_view service) const; // empty when there is no such service
    size_t serviceCount() const { return m_services.size(); }
    uint64_t rebuiltListCount() const { return m_rebuiltListCount; } // total since construction

private:
    struct Service {
        Shared<std::string> name;
        std::shared_ptr<const CandidateList> candidates;
    };
    using Services = std::map<std::string, Service, std::less<>>;

    bool removesCapacity(const Membership&, std::string_view node) const;
    CandidateList candidatesOfNode(const Membership&, std::string_view node);
    Shared<Location> shareLocation(const Location&);
    void rebuild(const Membership&, CandidateChanges&);

    CandidateCacheSettings m_settings;
    Services m_services;
    detail::ByName<std::vector<std::string_view>>
        m_servicesByNode; // services in which a node has candidates; the strings are keys of m_services
    std::vector<Shared<Location>> m_locations; // one shared value for each distinct location
    std::set<std::string, std::less<>> m_changedNodes; // names of the nodes to rebuild
    bool m_isUrgent = false; // whether a pending change removes capacity
    std::optional<Instant> m_lastRebuild;
    uint64_t m_rebuiltListCount = 0;
};

// Like makeUpstreamViews(membership, service, now), but visits only the nodes of the service's candidates. Omits
// upstreams that are gone and those of dead members: neither kind is eligible, serves requests or waits for
// readmission.
std::vector<UpstreamView> makeUpstreamViews(
    const Membership&, const CandidateCache&, std::string_view service, Instant now);

} // namespace Gooseberrymill

// Candidate lists by service, kept in step with the membership.
//
// Only the services of changed members are rebuilt, and the records of a list share the strings of their
// node. Changes are gathered: those that remove capacity wait for at most `urgentPeriod`, since a leaving
// or ejected upstream must lose its traffic at once; all others for at most `period`.
#pragma once

#include "Balancer.h"
#include "Membership.h"

#include <set>

namespace Gooseberrymill {

struct CandidateCacheSettings {
    Duration period = 100ms; // between two rebuilds
    Duration urgentPeriod = 10ms; // bounds the rebuilds when many members die together
};

class CandidateCache {
public:
    explicit CandidateCache(CandidateCacheSettings settings = {})
        : m_settings(settings)
    {
    }

    // A member or one of its upstreams changed.
    void noteChange(const Membership&, std::string_view node);

    // The lists that changed; empty while no rebuild is due. Call after noteChange() and with each tick.
    CandidateChanges takeChanges(const Membership&, Instant now);

    std::span<const Candidate> of(std::string_view service) const;
    size_t serviceCount() const { return m_services.size(); }
    uint64_t rebuiltListCount() const { return m_rebuiltListCount; }

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
        m_servicesByNode; // services in which a node has candidates: keys of m_services
    std::vector<Shared<Location>> m_locations;
    std::set<std::string, std::less<>> m_changedNodes; // names of nodes
    bool m_isUrgent = false;
    std::optional<Instant> m_lastRebuild;
    uint64_t m_rebuiltListCount = 0;
};

// As makeUpstreamViews(membership, service, now), but looks only at the nodes of the candidates. Upstreams of
// dead members and those that are gone are left out; neither is eligible, serves or waits for readmission.
std::vector<UpstreamView> makeUpstreamViews(
    const Membership&, const CandidateCache&, std::string_view service, Instant now);

} // namespace Gooseberrymill

// Plain balancing: the usable upstreams of a service in turn. Baseline for the load-aware balancer.
#pragma once

#include "Balancer.h"

#include <algorithm>
#include <map>

namespace Gooseberrymill {

class RoundRobinBalancer {
public:
    void setCandidates(std::shared_ptr<const CandidateList> candidates, Instant /*now*/)
    {
        m_candidates = std::move(candidates);
    }

    const Candidate* choose(const BalanceRequest& request, Instant /*now*/)
    {
        if (!m_candidates)
            return nullptr;
        std::vector<const Candidate*> usable;
        for (const Candidate& candidate : *m_candidates) {
            if (candidate.service == request.service && isUsable(candidate) && !isExcluded(candidate, request))
                usable.push_back(&candidate);
        }
        return usable.empty() ? nullptr : usable[m_turns[std::string(request.service)]++ % usable.size()];
    }

    void started(std::string_view /*upstream*/, Instant /*now*/) { }
    void finished(std::string_view /*upstream*/, const LoadReport& /*load*/, Instant /*now*/) { }
    void abandoned(std::string_view /*upstream*/, Instant /*now*/) { }
    void pathResult(std::string_view /*node*/, bool /*reached*/, Instant /*now*/) { }

private:
    static bool isUsable(const Candidate& candidate) { return candidate.state <= UpstreamState::Degraded; }
    static bool isExcluded(const Candidate& candidate, const BalanceRequest& request)
    {
        return std::find(request.exclude.begin(), request.exclude.end(), candidate.upstream) != request.exclude.end();
    }

    std::shared_ptr<const CandidateList> m_candidates;
    std::map<std::string, size_t, std::less<>> m_turns;
};

static_assert(Balancing<RoundRobinBalancer>);

} // namespace Gooseberrymill

// Baseline for comparison with Balancer: chooses the usable upstreams of a service in turn and ignores locality.
#pragma once

#include "Balancer.h"
#include <algorithm>
#include <map>

namespace Gooseberrymill {

namespace detail {

inline bool isUsable(const Candidate& candidate, std::span<const std::string> exclude)
{
    bool acceptsRequests = candidate.state == UpstreamState::Ready || candidate.state == UpstreamState::Cold
        || candidate.state == UpstreamState::Degraded;
    return acceptsRequests && std::find(exclude.begin(), exclude.end(), candidate.upstream) == exclude.end();
}

} // namespace detail

class RoundRobinBalancer {
public:
    RoundRobinBalancer() = default;
    RoundRobinBalancer(const Location&, uint64_t seed)
        : m_start(seed)
    {
    }

    void setCandidates(const std::shared_ptr<const CandidateList>& candidates, Instant)
    {
        m_candidates.replaceAll(candidates);
    }
    void setServiceCandidates(std::string_view service, std::shared_ptr<const CandidateList> candidates, Instant)
    {
        m_candidates.replace(service, std::move(candidates));
    }
    std::span<const Candidate> candidatesOf(std::string_view service) const { return m_candidates.of(service); }

    const Candidate* choose(const BalanceRequest& request, Instant)
    {
        auto candidates = m_candidates.of(request.service);
        size_t& next = m_next.try_emplace(std::string(request.service), m_start).first->second;
        for (size_t i = 0; i < candidates.size(); ++i) {
            const Candidate& candidate = candidates[next++ % candidates.size()];
            if (detail::isUsable(candidate, request.exclude))
                return &candidate;
        }
        return nullptr;
    }

    void started(std::string_view, Instant) { }
    void finished(std::string_view, const LoadReport&, Instant) { }
    void abandoned(std::string_view, Instant) { }
    void pathResult(std::string_view, bool, Instant) { }

private:
    size_t m_start = 0;
    CandidateIndex m_candidates;
    std::map<std::string, size_t> m_next;
};

static_assert(IncrementalBalancing<RoundRobinBalancer>);

} // namespace Gooseberrymill

// Baseline for comparison with Balancer: chooses the upstream with the fewest outstanding requests of this entry and
// ignores locality.
#pragma once

#include "RoundRobinBalancer.h"
#include <unordered_map>

namespace Gooseberrymill {

class LeastOutstandingBalancer {
public:
    LeastOutstandingBalancer() = default;
    LeastOutstandingBalancer(const Location&, uint64_t seed)
        : m_offset(seed)
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
        const Candidate* best = nullptr;
        uint32_t fewest = 0;
        ++m_offset; // rotates the choice among equally loaded upstreams
        for (size_t i = 0; i < candidates.size(); ++i) {
            const Candidate& candidate = candidates[(m_offset + i) % candidates.size()];
            if (!detail::isUsable(candidate, request.exclude))
                continue;
            auto it = m_outstanding.find(candidate.upstream);
            uint32_t count = it == m_outstanding.end() ? 0 : it->second;
            if (!best || count < fewest) {
                best = &candidate;
                fewest = count;
            }
        }
        return best;
    }

    void started(std::string_view upstream, Instant) { ++m_outstanding[std::string(upstream)]; }
    void finished(std::string_view upstream, const LoadReport&, Instant now) { abandoned(upstream, now); }
    void abandoned(std::string_view upstream, Instant)
    {
        auto it = m_outstanding.find(std::string(upstream));
        if (it != m_outstanding.end() && !--it->second)
            m_outstanding.erase(it);
    }
    void pathResult(std::string_view, bool, Instant) { }

private:
    size_t m_offset = 0;
    CandidateIndex m_candidates;
    std::unordered_map<std::string, uint32_t> m_outstanding;
};

static_assert(IncrementalBalancing<LeastOutstandingBalancer>);

} // namespace Gooseberrymill

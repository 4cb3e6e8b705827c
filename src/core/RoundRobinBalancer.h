// Baseline for Balancer: every usable upstream of the service in turn, wherever it is.
#pragma once

#include "Balancer.h"
#include <algorithm>
#include <map>

namespace Gooseberrymill {

namespace detail {

inline bool isUsable(const Candidate& candidate, std::span<const std::string> exclude)
{
    bool takesWork = candidate.state == UpstreamState::Ready || candidate.state == UpstreamState::Cold
        || candidate.state == UpstreamState::Degraded;
    return takesWork && std::find(exclude.begin(), exclude.end(), candidate.upstream) == exclude.end();
}

inline std::span<const Candidate> candidatesOf(const CandidateList& all, std::string_view service)
{
    auto first = std::lower_bound(all.begin(), all.end(), service,
        [](const Candidate& candidate, std::string_view name) { return candidate.service < name; });
    auto last = std::upper_bound(first, all.end(), service,
        [](std::string_view name, const Candidate& candidate) { return name < candidate.service; });
    return { first, last };
}

} // namespace detail

class RoundRobinBalancer {
public:
    RoundRobinBalancer() = default;
    RoundRobinBalancer(const Location&, uint64_t seed)
        : m_start(seed)
    {
    }

    void setCandidates(std::shared_ptr<const CandidateList> candidates, Instant)
    {
        m_candidates = std::move(candidates);
    }

    const Candidate* choose(const BalanceRequest& request, Instant)
    {
        if (!m_candidates)
            return nullptr;
        auto candidates = detail::candidatesOf(*m_candidates, request.service);
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
    std::shared_ptr<const CandidateList> m_candidates;
    std::map<std::string, size_t> m_next;
};

static_assert(Balancing<RoundRobinBalancer>);

} // namespace Gooseberrymill

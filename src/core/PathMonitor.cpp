#include "PathMonitor.h"

#include <algorithm>

namespace Gooseberrymill {

namespace {

constexpr double minJitter = 0.8; // jitter keeps several entries from sending their trials at the same time
constexpr double maxJitter = 1.2;

} // namespace

PathMonitor::PathMonitor(uint64_t seed, const PathPolicy& policy)
    : m_policy(policy)
    , m_random(static_cast<std::minstd_rand::result_type>(seed ^ seed >> 32))
{
}

Duration PathMonitor::backoff(uint32_t failures)
{
    Duration result = m_policy.firstBackoff;
    for (uint32_t i = m_policy.failureLimit; i < failures && result < m_policy.maxBackoff; ++i)
        result *= 2;
    result = std::min(result, m_policy.maxBackoff);
    double jitter = std::uniform_real_distribution<double>(minJitter, maxJitter)(m_random);
    return Duration(static_cast<int64_t>(static_cast<double>(result.count()) * jitter));
}

void PathMonitor::record(std::string_view node, bool reached, Instant now)
{
    auto it = m_paths.find(node);
    if (reached) {
        if (it != m_paths.end())
            m_paths.erase(it);
        return;
    }
    if (it == m_paths.end()) {
        if (m_paths.size() >= m_policy.maxPaths)
            prune(now);
        if (m_paths.size() >= m_policy.maxPaths)
            return;
        it = m_paths.emplace(node, Path {}).first;
    }
    Path& path = it->second;
    // Requests in flight when the path breaks all fail at about the same time. Failures during the backoff are not
    // counted, so that these requests do not lengthen it.
    bool isAvoided = path.failures >= m_policy.failureLimit && now < path.avoidUntil;
    path.lastAt = now;
    if (isAvoided)
        return;
    ++path.failures;
    if (path.failures >= m_policy.failureLimit)
        path.avoidUntil = now + backoff(path.failures);
}

bool PathMonitor::isUsable(std::string_view node, Instant now) const
{
    auto it = m_paths.find(node);
    return it == m_paths.end() || it->second.failures < m_policy.failureLimit || now >= it->second.avoidUntil;
}

void PathMonitor::beginTrial(std::string_view node, Instant now)
{
    auto it = m_paths.find(node);
    if (it == m_paths.end() || it->second.failures < m_policy.failureLimit)
        return;
    it->second.avoidUntil = now + m_policy.firstBackoff;
}

void PathMonitor::forget(std::string_view node)
{
    auto it = m_paths.find(node);
    if (it != m_paths.end())
        m_paths.erase(it);
}

void PathMonitor::prune(Instant now)
{
    std::erase_if(m_paths, [&](const auto& it) { return now - it.second.lastAt > m_policy.lifetime; });
}

uint32_t PathMonitor::failures(std::string_view node) const
{
    auto it = m_paths.find(node);
    return it == m_paths.end() ? 0 : it->second.failures;
}

} // namespace Gooseberrymill

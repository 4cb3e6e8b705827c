// Tracks which other nodes this entry can reach.
//
// A failed connection means that this node cannot reach the other node. It is no evidence about the upstream
// beside that node, because other entries may still reach it. The monitor only tells the balancer which nodes to
// avoid for a while. It never changes the condition of an upstream.
#pragma once

#include "Basics.h"
#include <map>
#include <random>

namespace Gooseberrymill {

struct PathPolicy {
    uint32_t failureLimit = 2; // number of consecutive failures after which the path is avoided
    Duration firstBackoff = 500ms; // backoff after failureLimit failures; doubles on each further failure
    Duration maxBackoff = 30s;
    Duration lifetime = 10min; // a path without results for this long is removed by prune()
    size_t maxPaths = 10000; // bounds memory; further failing paths are not tracked
};

// Circuit breaker with exponential backoff for each path to another node. `now` must not go backwards.
class PathMonitor {
public:
    explicit PathMonitor(uint64_t seed, const PathPolicy& = {});

    // Records the result of a connection or relay request to the node. A refusal by the node counts as reached.
    void record(std::string_view node, bool reached, Instant now);

    // False during the backoff. After the backoff one trial at a time is allowed: call `beginTrial` before sending it,
    // which keeps other requests off the path until the trial succeeds or `firstBackoff` has passed.
    bool isUsable(std::string_view node, Instant now) const;
    void beginTrial(std::string_view node, Instant now);

    void forget(std::string_view node); // removes the path, e.g. when the node left or has a new incarnation
    void prune(Instant now); // removes paths without results for the lifetime
    uint32_t failures(std::string_view node) const; // number of consecutive failures
    size_t size() const { return m_paths.size(); }

private:
    struct Path {
        uint32_t failures = 0; // number of consecutive failures
        Instant avoidUntil; // end of the backoff
        Instant lastAt; // time of the last failure
    };

    Duration backoff(uint32_t failures);

    PathPolicy m_policy;
    std::minstd_rand m_random;
    std::map<std::string, Path, std::less<>> m_paths; // only paths whose last result was a failure
};

} // namespace Gooseberrymill

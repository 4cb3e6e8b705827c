// Evidence of one entry about the paths to other nodes.
//
// A connection that cannot be made says that this node does not reach that node. It says nothing about
// the upstream beside it: other entries may reach it. The monitor only tells the balancer which nodes to
// avoid for a while and never changes the condition of an upstream.
#pragma once

#include "Basics.h"
#include <map>
#include <random>

namespace Gooseberrymill {

struct PathPolicy {
    uint32_t failureLimit = 2; // failures in a row after which the path is avoided
    Duration firstBackoff = 500ms; // doubles on each further failure
    Duration maxBackoff = 30s;
    Duration lifetime = 10min; // a path without results is forgotten
    size_t maxPaths = 10000; // bounds memory
};

// `now` must not go backwards.
class PathMonitor {
public:
    explicit PathMonitor(uint64_t seed, const PathPolicy& = {});

    // Result of a connection or relay request to the node. Refusals by the node count as reached.
    void record(std::string_view node, bool reached, Instant now);

    // False during the backoff. After it, one trial at a time is allowed: `beginTrial` claims it.
    bool isUsable(std::string_view node, Instant now) const;
    void beginTrial(std::string_view node, Instant now);

    void forget(std::string_view node); // the node left or has a new incarnation
    void prune(Instant now); // drops paths without results for their lifetime
    uint32_t failures(std::string_view node) const;
    size_t size() const { return m_paths.size(); }

private:
    struct Path {
        uint32_t failures = 0; // in a row
        Instant avoidUntil;
        Instant lastAt;
    };

    Duration backoff(uint32_t failures);

    PathPolicy m_policy;
    std::minstd_rand m_random;
    std::map<std::string, Path, std::less<>> m_paths; // only paths whose last result was a failure
};

} // namespace Gooseberrymill

// Stops requests that crash the upstreams that run them.
//
// When an upstream crashes, every request that it was running is a suspect. Suspects are told to all
// nodes, since the caller will try another one. A fingerprint seen in `maxCrashes` crashes is refused
// until its entry expires. A request that ends without a crash clears its fingerprint: a popular request
// is running during many crashes that it did not cause.
#pragma once

#include "Basics.h"

#include <concepts>
#include <map>
#include <unordered_map>

namespace Gooseberrymill {

// Identifies equal requests: method, target and the beginning of the body.
using Fingerprint = uint64_t;

struct CrashReport {
    Id128 crash; // random, one per crash of an upstream; makes reports harmless to repeat
    Fingerprint fingerprint = 0;
    uint32_t ageSeconds = 0; // since the crash, so that passing a report on does not make it last longer
    bool operator==(const CrashReport&) const = default;
    template <class Archive> void serialize(Archive& archive) { archive(crash, fingerprint, ageSeconds); }
};

struct QueryOfDeathLimits {
    uint32_t maxCrashes = 2; // runs that ended in a crash after which the request is refused
    Duration retention = 1h; // a fingerprint is forgotten this long after its last crash
    size_t maxFingerprints = 10'000; // the one whose last crash is oldest is dropped first
};

class QueryOfDeathFilter {
public:
    explicit QueryOfDeathFilter(QueryOfDeathLimits limits = {});

    // An upstream crashed while it ran these requests. Returns the reports to tell to other nodes.
    std::vector<CrashReport> crashed(const Id128& crash, std::span<const Fingerprint> running, Instant now);

    // A report of another node. Returns true when it was new, so that it should be passed on.
    bool reported(const CrashReport&, Instant now);

    // The request ended without a crash.
    void succeeded(Fingerprint);

    // Number of crashes that the request is suspected of, when that is enough to refuse it; otherwise 0.
    uint32_t crashCountIfRefused(Fingerprint, Instant now) const;

    // All reports still held, for a node that has just joined.
    std::vector<CrashReport> reports(Instant now) const;

    bool isSuspect(Fingerprint fingerprint) const { return m_suspects.contains(fingerprint); }

    void tick(Instant now);
    size_t size() const { return m_suspects.size(); }

private:
    static constexpr size_t maxKnownCrashes = 16; // counted for one fingerprint

    struct Suspect {
        std::vector<Id128> crashes; // distinct, at most maxKnownCrashes
        Instant lastCrash {};
    };

    void dropOldest();

    QueryOfDeathLimits m_limits;
    std::unordered_map<Fingerprint, Suspect> m_suspects;
};

// A filter of requests that crash upstreams.
template <typename T>
concept CrashFiltering = requires(
    T filter, const Id128& crash, std::span<const Fingerprint> running, const CrashReport& report, Instant now)
{
    {
        filter.crashed(crash, running, now)
        } -> std::same_as<std::vector<CrashReport>>;
    {
        filter.reported(report, now)
        } -> std::same_as<bool>;
    { filter.succeeded(report.fingerprint) };
    {
        filter.crashCountIfRefused(report.fingerprint, now)
        } -> std::same_as<uint32_t>;
};

// Baseline: refuses nothing.
class PassAllFilter {
public:
    std::vector<CrashReport> crashed(const Id128&, std::span<const Fingerprint>, Instant) { return {}; }
    bool reported(const CrashReport&, Instant) { return false; }
    void succeeded(Fingerprint) { }
    uint32_t crashCountIfRefused(Fingerprint, Instant) const { return 0; }
};

static_assert(CrashFiltering<QueryOfDeathFilter>);
static_assert(CrashFiltering<PassAllFilter>);

} // namespace Gooseberrymill

// Refuses queries of death: requests that crash the upstreams that run them.
//
// When an upstream crashes, every request that it was running becomes a suspect. Suspects are reported to all nodes,
// because the caller will retry at another one. A fingerprint that was running in `maxCrashes` crashes is refused until
// its entry expires. A request that ends without a crash clears its fingerprint, because a popular request is running
// during many crashes that it did not cause.
#pragma once

#include "Basics.h"

#include <concepts>
#include <map>
#include <unordered_map>

namespace Gooseberrymill {

// Hash that identifies equal requests: of the method, the target and the beginning of the body.
using Fingerprint = uint64_t;

// A request that was running when an upstream crashed, as nodes report it to each other.
struct CrashReport {
    Id128 crash; // random identifier of the crash; makes repeated reports idempotent
    Fingerprint fingerprint = 0;
    uint32_t ageSeconds = 0; // time since the crash, so that forwarding a report does not extend its lifetime
    bool operator==(const CrashReport&) const = default;
    template <class Archive> void serialize(Archive& archive) { archive(crash, fingerprint, ageSeconds); }
};

struct QueryOfDeathLimits {
    uint32_t maxCrashes = 2; // a request is refused after it was running in this many crashes
    Duration retention = 1h; // a fingerprint is forgotten this long after its last crash
    size_t maxFingerprints = 10'000; // above it, the fingerprint with the oldest last crash is dropped
};

// Counts the crashes during which each request was running.
class QueryOfDeathFilter {
public:
    explicit QueryOfDeathFilter(QueryOfDeathLimits limits = {});

    // An upstream crashed while it was running these requests. Returns the new reports to send to other nodes.
    std::vector<CrashReport> crashed(const Id128& crash, std::span<const Fingerprint> running, Instant now);

    // Handles a report of another node. Returns true if it was new and should be forwarded.
    bool reported(const CrashReport&, Instant now);

    // The request ended without a crash: it is no longer a suspect.
    void succeeded(Fingerprint);

    // Number of crashes during which the request was running, if that is enough to refuse it; otherwise 0.
    uint32_t crashCountIfRefused(Fingerprint, Instant now) const;

    // All reports still stored, for a node that has just joined.
    std::vector<CrashReport> reports(Instant now) const;

    bool isSuspect(Fingerprint fingerprint) const { return m_suspects.contains(fingerprint); }

    void tick(Instant now); // drops expired fingerprints
    size_t size() const { return m_suspects.size(); }

private:
    static constexpr size_t maxKnownCrashes = 16; // crashes counted per fingerprint, unless maxCrashes is larger

    struct Suspect {
        std::vector<Id128> crashes; // identifiers of distinct crashes; bounded by maxKnownCrashes or maxCrashes
        Instant lastCrash {};
    };

    void dropOldest();

    QueryOfDeathLimits m_limits;
    std::unordered_map<Fingerprint, Suspect> m_suspects;
};

// Satisfied by every filter of requests that crash upstreams.
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

// Baseline to compare QueryOfDeathFilter with: refuses nothing.
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

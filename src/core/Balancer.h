// Load balancing: how an entry chooses the upstream for a request.
//
// An entry is a worker of a node that accepts requests from callers. It sends each request to an executor, which is the
// node next to the chosen upstream.
#pragma once

#include "Configuration.h"
#include "Shared.h"
#include <random>
#include <unordered_map>

namespace Gooseberrymill {

// One upstream that an entry may choose.
struct Candidate {
    std::string upstream;
    Shared<std::string> service;
    Shared<std::string> node; // name of the node next to the upstream (its executor)
    Shared<std::string> relayAddress; // "ip:port" of that node
    Id128 executor; // incarnation of that node
    Shared<Location> location;
    uint32_t slots = 1; // maximum of concurrent requests
    UpstreamState state = UpstreamState::Ready;
    double share = 1; // fraction (0..1) of its normal traffic; below 1 while ramping up
    bool operator==(const Candidate&) const = default;
};

// Candidates of one service or of all services.
using CandidateList = std::vector<Candidate>; // sorted by service, then upstream

// New candidate list of one service. The list is empty when no candidate is left.
struct ServiceCandidates {
    std::string service;
    std::shared_ptr<const CandidateList> candidates;
};
using CandidateChanges = std::vector<ServiceCandidates>;

// Which upstreams a request may go to.
enum class BalanceReach : uint8_t {
    All,
    FreeInRegion, // those of the own region that are not known to be full
    FreeElsewhere, // those of other regions that are not known to be full
};

// Properties of a request that influence the choice of an upstream.
struct BalanceRequest {
    std::string_view service;
    WorkClass workClass = WorkClass::Interactive;
    bool repeatable = false;
    std::optional<Id128> affinity; // idempotency key; requests with equal keys prefer the same executor
    std::span<const std::string> exclude; // upstreams already tried
    BalanceReach reach = BalanceReach::All;
};

// A load balancer: chooses an upstream and adjusts to load reports and connection failures.
template <typename T>
concept Balancing = requires(T balancer, std::shared_ptr<const CandidateList> candidates, const BalanceRequest& request,
    std::string_view upstream, const LoadReport& load, std::string_view node, bool reached, Instant now)
{
    { balancer.setCandidates(candidates, now) };
    {
        balancer.choose(request, now)
        } -> std::same_as<const Candidate*>; // null when no candidate is usable; valid until setCandidates()
    { balancer.started(upstream, now) }; // the entry sent a request to `upstream`
    { balancer.finished(upstream, load, now) }; // a response or rejection arrived, with a load report
    { balancer.abandoned(upstream, now) }; // a sent request ended without a response
    { balancer.pathResult(node, reached, now) }; // the entry did or did not reach `node`
};

// A load balancer whose candidates can be replaced for one service at a time, so that the cost of a change depends only
// on the services concerned. Pointers returned by choose() are valid until the next call of either setter.
template <typename T>
concept IncrementalBalancing = Balancing<T> && requires(
    T balancer, std::shared_ptr<const CandidateList> candidates, std::string_view service, Instant now)
{
    { balancer.setServiceCandidates(service, candidates, now) };
    {
        balancer.candidatesOf(service)
        } -> std::same_as<std::span<const Candidate>>;
};

//-----------------------------------------------------------------------------
// [SECTION] Candidates by service
//-----------------------------------------------------------------------------

namespace detail {

struct StringHash {
    using is_transparent = void; // NOLINT(readability-identifier-naming): name looked up by the library
    size_t operator()(std::string_view text) const { return std::hash<std::string_view>()(text); }
};
template <typename T> using ByName = std::unordered_map<std::string, T, StringHash, std::equal_to<>>;

} // namespace detail

// Looks up the candidates of a service.
class CandidateIndex {
public:
    void replaceAll(const std::shared_ptr<const CandidateList>&); // the list must be sorted by service, then upstream
    void replace(std::string_view service, std::shared_ptr<const CandidateList>); // null or empty: removes the service
    std::span<const Candidate> of(std::string_view service) const;

private:
    // The candidates of one service, and the list that owns them.
    struct Slice {
        std::shared_ptr<const CandidateList> owner;
        std::span<const Candidate> candidates;
    };
    detail::ByName<Slice> m_slices;
};

//-----------------------------------------------------------------------------
// [SECTION] Balancer
//-----------------------------------------------------------------------------

struct BalancerOptions {
    uint32_t entryCount = 1; // entries sharing the upstreams; scales the estimate of requests missing in load reports
    uint32_t subsetSize = 32; // maximum of candidates per service and tier that this entry considers
    Duration reportLifetime = 2s; // age at which a load report has lost all its weight; the weight falls linearly
    Duration pathBackoff = 500ms; // backoff after the first failure to reach a node; doubles with each further failure
    Duration maxPathBackoff = 30s; // upper bound of the doubled backoff
    // Whether a degraded upstream of the own region is tried before a healthy one of another region. Meant for
    // executors that reject requests by the current state of their upstream: such a rejection costs less than a request
    // to another region.
    bool prefersDegradedInRegion = false;
    Duration viewLifetime = 5s; // state of a service that gets no requests for this time is dropped
};

// Locality-aware load balancer. Applies power-of-two-choices in the nearest tier (own data centre, own region, other
// regions) that has a free slot.
//
// - A farther tier is used only when every nearer upstream is full, and another region only when requests are also
//   queued at each upstream of the own region. Degraded upstreams come after the healthy ones of all tiers (see
//   BalancerOptions::prefersDegradedInRegion for the exception). When all upstreams are full, the request goes to the
//   nearest tier and is queued there.
// - Each entry considers a subset of each tier, chosen by rendezvous hashing with its own seed. The cost of a
//   choice and the size of the state therefore do not grow with the fleet, and entries use different subsets.
// - Affinity uses rendezvous hashing over the upstreams of the entry's region. It does not depend on the seed, so the
//   entries of a region agree on the upstream of a key.
class Balancer {
public:
    Balancer(Location location, uint64_t seed, BalancerOptions options = {});

    void setCandidates(std::shared_ptr<const CandidateList> candidates, Instant now);
    void setServiceCandidates(std::string_view service, std::shared_ptr<const CandidateList>, Instant now);
    std::span<const Candidate> candidatesOf(std::string_view service) const { return m_candidates.of(service); }
    const Candidate* choose(const BalanceRequest& request, Instant now);
    void started(std::string_view upstream, Instant now);
    void finished(std::string_view upstream, const LoadReport& load, Instant now);
    void abandoned(std::string_view upstream, Instant now);
    void pathResult(std::string_view node, bool reached, Instant now);
    // The upstream takes no request before `until`; it stays a last resort. A time that has passed ends the pause.
    void pause(std::string_view upstream, Instant until);

    // Whether the latest report of the upstream is so young that it tells whether a slot is free.
    bool hasFreshReport(std::string_view upstream, Instant now) const;

    void setEntryCount(uint32_t count) { m_options.entryCount = count; }
    size_t stateBytes() const; // approximate memory used by load states and service views, in bytes

private:
    static constexpr size_t tierCount = 3;
    static constexpr size_t firstRemoteTier = 2; // index of the tier outside the own region

    struct UpstreamLoad {
        LoadReport report; // the latest one
        Instant reportedAt {};
        bool isReported = false; // whether a report has arrived yet
        uint32_t outstanding = 0; // this entry's requests in flight
        uint32_t outstandingAtReport = 0; // this entry's requests that the report already includes
        uint32_t sinceReport = 0; // requests that this entry sent since the report
        Instant pausedUntil {}; // its rate limit allows no request before
    };

    // Connection failures to one node.
    struct PathState {
        uint32_t failures = 0; // consecutive
        Instant blockedUntil {};
    };

    // An upstream of a tier.
    struct Member {
        const Candidate* candidate = nullptr;
        const UpstreamLoad* load = nullptr; // owned by m_loads, or a static empty one
    };

    // Position of a candidate on the hash ring.
    struct RingPoint {
        uint64_t hash = 0;
        const Candidate* candidate = nullptr;
    };

    // The part of a service's candidates that this entry uses.
    struct ServiceView {
        std::array<std::vector<Member>, tierCount> tiers; // subset of the candidates, by distance
        std::vector<RingPoint> ring; // candidates of the own region (of all regions if it has none), sorted by hash
        bool hasRing = false; // whether `ring` was built; happens at the first request with affinity
        Instant lastUsed {};
    };

    template <typename T> using ByName = detail::ByName<T>;

    // Which upstreams are eligible: healthy ones with a free slot, degraded ones with a free slot, healthy ones even if
    // full, or any that is not excluded, even behind a path in backoff.
    enum class Pass : uint8_t { Free, Degraded, Full, LastResort };

    ServiceView& viewOf(std::string_view service);
    ServiceView buildView(std::string_view service);
    void buildRing(ServiceView& view, std::string_view service) const;
    void evictIdleState(Instant now);
    size_t tierOf(const Location& location) const;
    UpstreamLoad& loadOf(std::string_view upstream);
    UpstreamState stateOf(const Member& member, Instant now) const;
    bool isBlocked(const Candidate& candidate, Instant now) const;
    bool isEligible(const Member& member, const BalanceRequest& request, Pass pass, Instant now) const;
    double knownLoad(const UpstreamLoad& load, Instant now) const;
    static double limitOf(const Member& member);
    uint32_t unreportedLoad(const UpstreamLoad& load, Instant now) const;
    bool isFull(const Member& member, Instant now) const;
    double score(const Member& member, Instant now) const;
    const Candidate* chooseInTier(
        const std::vector<Member>& tier, const BalanceRequest& request, Pass pass, Instant now);
    const Candidate* scanTier(const std::vector<Member>& tier, const BalanceRequest& request, Pass pass, Instant now);
    const Candidate* chooseFree(const ServiceView& view, const BalanceRequest& request, Instant now);
    bool isRegionBacklogged(const ServiceView& view, const BalanceRequest& request, Instant now) const;
    const Candidate* chooseAffine(ServiceView& view, const BalanceRequest& request, Instant now);
    bool passesRampSampling(const Candidate& candidate);

    Location m_location;
    uint64_t m_seed;
    BalancerOptions m_options;
    std::mt19937_64 m_random;
    CandidateIndex m_candidates;
    ByName<ServiceView> m_views; // by service; built at the first request to a service
    ByName<std::unique_ptr<UpstreamLoad>> m_loads; // by upstream
    ByName<PathState> m_paths; // by node; only nodes whose last connection failed
    Instant m_nextEviction {};
};

static_assert(IncrementalBalancing<Balancer>);

} // namespace Gooseberrymill

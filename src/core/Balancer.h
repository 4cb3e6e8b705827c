// Choice of an upstream by an entry.
#pragma once

#include "Configuration.h"
#include "Shared.h"
#include <random>
#include <unordered_map>

namespace Gooseberrymill {

// One candidate upstream as an entry sees it.
struct Candidate {
    std::string upstream;
    Shared<std::string> service;
    Shared<std::string> node; // name of the node beside it
    Shared<std::string> relayAddress; // "ip:port"
    Id128 executor; // incarnation of that node
    Shared<Location> location;
    uint32_t slots = 1;
    UpstreamState state = UpstreamState::Ready;
    double share = 1; // 0..1, below 1 while ramping up
    bool operator==(const Candidate&) const = default;
};

// Candidates known to an entry, of one service or of all; immutable.
using CandidateList = std::vector<Candidate>; // sorted by service, then upstream

// The candidates of one service after a change; an empty list when none is left.
struct ServiceCandidates {
    std::string service;
    std::shared_ptr<const CandidateList> candidates;
};
using CandidateChanges = std::vector<ServiceCandidates>;

struct BalanceRequest {
    std::string_view service;
    WorkClass workClass = WorkClass::Interactive;
    bool repeatable = false;
    std::optional<Id128> affinity; // idempotency key; prefers the executor given by rendezvous hashing
    std::span<const std::string> exclude; // upstreams already tried
};

// Chooses an upstream and learns from answers.
template <typename T>
concept Balancing = requires(T balancer, std::shared_ptr<const CandidateList> candidates, const BalanceRequest& request,
    std::string_view upstream, const LoadReport& load, std::string_view node, bool reached, Instant now)
{
    { balancer.setCandidates(candidates, now) };
    {
        balancer.choose(request, now)
        } -> std::same_as<const Candidate*>; // null when none is usable; valid until setCandidates
    { balancer.started(upstream, now) }; // the entry sent a request there
    { balancer.finished(upstream, load, now) }; // an answer or refusal brought a load report
    { balancer.abandoned(upstream, now) }; // no answer came
    { balancer.pathResult(node, reached, now) }; // path evidence about a node
};

// A balancer whose candidates are replaced service by service, so that a change costs as much as the services
// it touches. Pointers returned by choose() are valid until the next call of either setter.
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

class CandidateIndex {
public:
    void replaceAll(const std::shared_ptr<const CandidateList>&); // sorted by service, then upstream
    void replace(std::string_view service, std::shared_ptr<const CandidateList>);
    std::span<const Candidate> of(std::string_view service) const;

private:
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
    uint32_t entryCount = 1; // entries that choose among the same upstreams; weighs choices not yet reported
    uint32_t subsetSize = 32; // candidates per service and tier that this entry considers
    Duration reportLifetime = 2s; // a load report loses its weight linearly over this time
    Duration pathBackoff = 500ms; // after the first failure to reach a node; doubles on each further one
    Duration maxPathBackoff = 30s;
    // Whether a degraded upstream of the region is asked before a healthy one of another region. For executors that
    // give requests back by what they know now, which costs less than the way to another region.
    bool prefersDegradedInRegion = false;
    Duration viewLifetime = 5s; // state of a service without requests for so long is dropped
};

// Power of two choices in the nearest tier (data centre, region, other regions) that has a free slot.
//
// - A farther tier is used only when every nearer upstream is full, another region only when requests
//   also wait at each of them. Degraded upstreams come after the healthy ones of all tiers. When all are full, the
//   request goes to the nearest tier and queues there.
// - Each entry considers a subset of each tier, chosen by rendezvous hashing with its own seed, so that
//   the cost of a choice and the state do not grow with the fleet.
// - Affinity is by rendezvous hashing over the entry's region and does not depend on the seed.
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

    void setEntryCount(uint32_t count) { m_options.entryCount = count; }
    size_t stateBytes() const; // approximate memory of the load states and indexes

private:
    static constexpr size_t tierCount = 3;
    static constexpr size_t firstRemoteTier = 2; // first tier outside the own region

    struct UpstreamLoad {
        LoadReport report;
        Instant reportedAt {};
        bool isReported = false;
        uint32_t outstanding = 0; // of this entry
        uint32_t outstandingAtReport = 0; // part of `report.running` that is this entry's own
        uint32_t sinceReport = 0; // sent since the report
    };

    struct PathState {
        uint32_t failures = 0;
        Instant blockedUntil {};
    };

    struct Member {
        const Candidate* candidate = nullptr;
        const UpstreamLoad* load = nullptr; // owned by m_loads, or an empty one
    };

    struct RingPoint {
        uint64_t hash = 0;
        const Candidate* candidate = nullptr;
    };

    struct ServiceView {
        std::array<std::vector<Member>, tierCount> tiers;
        std::vector<RingPoint> ring; // candidates of the own region (of all regions if it has none), by hash
        bool hasRing = false; // built at the first request with affinity
        Instant lastUsed {};
    };

    template <typename T> using ByName = detail::ByName<T>;

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
    bool isRegionBacklogged(const ServiceView& view, const BalanceRequest& request, Instant now) const;
    const Candidate* chooseAffine(ServiceView& view, const BalanceRequest& request, Instant now);
    bool passesRampSampling(const Candidate& candidate);

    Location m_location;
    uint64_t m_seed;
    BalancerOptions m_options;
    std::mt19937_64 m_random;
    CandidateIndex m_candidates;
    ByName<ServiceView> m_views; // built when a service is first asked for
    ByName<std::unique_ptr<UpstreamLoad>> m_loads;
    ByName<PathState> m_paths; // nodes with failures only
    Instant m_nextEviction {};
};

static_assert(IncrementalBalancing<Balancer>);

} // namespace Gooseberrymill

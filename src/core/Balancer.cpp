#include "Balancer.h"

#include <algorithm>
#include <unordered_set>
#include <xxhash.h>

namespace Gooseberrymill {

namespace {

constexpr size_t maxExactRendezvousSize = 64; // larger services only compare the candidates found by probing the ring
constexpr size_t ringProbeCount = 16; // ring positions probed per affinity key
constexpr uint32_t maxEntryWeight = 8; // cap on entryCount when estimating requests of others since a report
constexpr uint32_t maxUnreportedSlots = 2; // cap on the slots assumed to be taken since a report
constexpr Duration maxFreshReportAge = 100ms; // an older report probably misses at least one request
constexpr Duration reportedStateLifetime = 3s; // how long a worse reported state overrides that of the candidate list
constexpr Duration backlogLifetime = 250ms; // a queue reported longer ago may have emptied since
constexpr uint64_t ringSeed = 0; // equal at all entries, so that they agree on affinity

uint64_t hashText(std::string_view text, uint64_t seed) { return XXH3_64bits_withSeed(text.data(), text.size(), seed); }

uint64_t hashKey(const Id128& key, uint64_t salt) { return XXH3_64bits_withSeed(&key, sizeof(key), salt); }

bool acceptsRequests(UpstreamState state)
{
    return state == UpstreamState::Ready || state == UpstreamState::Cold || state == UpstreamState::Degraded;
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Candidates by service
//-----------------------------------------------------------------------------

void CandidateIndex::replaceAll(const std::shared_ptr<const CandidateList>& all)
{
    m_slices.clear();
    if (!all)
        return;
    std::span<const Candidate> rest(*all);
    while (!rest.empty()) {
        const std::string& service = rest.front().service;
        auto end = std::ranges::find_if(rest, [&](const Candidate& it) { return !(it.service == service); });
        auto size = static_cast<size_t>(end - rest.begin());
        m_slices.emplace(service, Slice { all, rest.first(size) });
        rest = rest.subspan(size);
    }
}

void CandidateIndex::replace(std::string_view service, std::shared_ptr<const CandidateList> candidates)
{
    auto it = m_slices.find(service);
    if (!candidates || candidates->empty()) {
        if (it != m_slices.end())
            m_slices.erase(it);
        return;
    }
    if (it == m_slices.end())
        it = m_slices.emplace(std::string(service), Slice {}).first;
    it->second.candidates = *candidates;
    it->second.owner = std::move(candidates);
}

std::span<const Candidate> CandidateIndex::of(std::string_view service) const
{
    auto it = m_slices.find(service);
    return it == m_slices.end() ? std::span<const Candidate>() : it->second.candidates;
}

//-----------------------------------------------------------------------------
// [SECTION] Construction
//-----------------------------------------------------------------------------

Balancer::Balancer(Location location, uint64_t seed, BalancerOptions options)
    : m_location(std::move(location))
    , m_seed(seed)
    , m_options(options)
    , m_random(seed)
{
}

//-----------------------------------------------------------------------------
// [SECTION] Service views
//-----------------------------------------------------------------------------

void Balancer::setCandidates(std::shared_ptr<const CandidateList> candidates, Instant now)
{
    m_views.clear();
    const std::shared_ptr<const CandidateList> all = std::move(candidates);
    m_candidates.replaceAll(all);
    evictIdleState(now);
}

void Balancer::setServiceCandidates(
    std::string_view service, std::shared_ptr<const CandidateList> candidates, Instant /*now*/)
{
    if (auto it = m_views.find(service); it != m_views.end())
        m_views.erase(it);
    m_candidates.replace(service, std::move(candidates));
}

// Drops the views of services without recent requests, the load states that no view refers to, and path failures whose
// backoff ended long ago.
void Balancer::evictIdleState(Instant now)
{
    m_nextEviction = now + m_options.viewLifetime / 2;
    std::erase_if(m_views, [&](const auto& entry) { return now - entry.second.lastUsed > m_options.viewLifetime; });
    std::unordered_set<const UpstreamLoad*> used;
    for (const auto& [name, view] : m_views) {
        for (const auto& tier : view.tiers) {
            for (const Member& it : tier)
                used.insert(it.load);
        }
    }
    std::erase_if(m_loads, [&](const auto& entry) {
        const UpstreamLoad& load = *entry.second;
        bool isIdle = !load.outstanding && now - load.reportedAt > m_options.reportLifetime && now >= load.pausedUntil;
        return isIdle && !used.contains(&load);
    });
    std::erase_if(
        m_paths, [&](const auto& entry) { return now - entry.second.blockedUntil > m_options.maxPathBackoff; });
}

size_t Balancer::tierOf(const Location& location) const
{
    if (location.region != m_location.region)
        return 2;
    return location.dataCentre == m_location.dataCentre ? 0 : 1;
}

Balancer::UpstreamLoad& Balancer::loadOf(std::string_view upstream)
{
    auto it = m_loads.find(upstream);
    if (it == m_loads.end())
        it = m_loads.emplace(std::string(upstream), std::make_unique<UpstreamLoad>()).first;
    return *it->second;
}

Balancer::ServiceView& Balancer::viewOf(std::string_view service)
{
    auto it = m_views.find(service);
    if (it == m_views.end())
        it = m_views.emplace(std::string(service), buildView(service)).first;
    return it->second;
}

Balancer::ServiceView Balancer::buildView(std::string_view service)
{
    ServiceView view;
    std::array<std::vector<RingPoint>, tierCount> ranked;
    for (const Candidate& candidate : candidatesOf(service)) {
        if (acceptsRequests(candidate.state))
            ranked[tierOf(candidate.location)].push_back({ hashText(candidate.upstream, m_seed), &candidate });
    }
    for (size_t i = 0; i < tierCount; ++i) {
        std::vector<RingPoint>& tier = ranked[i];
        size_t size = std::min<size_t>(tier.size(), m_options.subsetSize);
        std::nth_element(tier.begin(), tier.begin() + static_cast<std::ptrdiff_t>(size), tier.end(),
            [](const RingPoint& a, const RingPoint& b) { return a.hash < b.hash; });
        view.tiers[i].reserve(size);
        for (size_t n = 0; n < size; ++n)
            view.tiers[i].push_back({ tier[n].candidate, &loadOf(tier[n].candidate->upstream) });
    }
    return view;
}

void Balancer::buildRing(ServiceView& view, std::string_view service) const
{
    view.hasRing = true;
    bool hasOwnRegion = !view.tiers[0].empty() || !view.tiers[1].empty();
    for (const Candidate& candidate : candidatesOf(service)) {
        if (acceptsRequests(candidate.state) && (!hasOwnRegion || candidate.location->region == m_location.region))
            view.ring.push_back({ hashText(candidate.upstream, ringSeed), &candidate });
    }
    std::sort(
        view.ring.begin(), view.ring.end(), [](const RingPoint& a, const RingPoint& b) { return a.hash < b.hash; });
}

//-----------------------------------------------------------------------------
// [SECTION] Load of one upstream
//-----------------------------------------------------------------------------

UpstreamState Balancer::stateOf(const Member& member, Instant now) const
{
    UpstreamState listed = member.candidate->state;
    if (!member.load->isReported || now - member.load->reportedAt > reportedStateLifetime)
        return listed;
    UpstreamState reported = member.load->report.state;
    return std::max(listed, reported);
}

// Requests known to be at the upstream. The entry's own requests are always exact. The reported requests of other
// entries lose weight as the report ages, except while own requests are outstanding: an upstream whose slots are all
// taken by long requests sends no newer report.
double Balancer::knownLoad(const UpstreamLoad& load, Instant now) const
{
    if (!load.isReported)
        return load.outstanding;
    double age = static_cast<double>((now - load.reportedAt).count());
    double weight
        = load.outstanding ? 1.0 : std::max(0.0, 1 - age / static_cast<double>(m_options.reportLifetime.count()));
    uint32_t reported = load.report.running + load.report.queued;
    uint32_t others = reported - std::min(reported, load.outstandingAtReport);
    return load.outstanding + weight * others;
}

double Balancer::limitOf(const Member& member)
{
    uint32_t reported = member.load->isReported ? member.load->report.limit : 0;
    return std::max(1U, reported ? reported : member.candidate->slots);
}

// Estimates the slots taken since the report. Without this estimate, an upstream that was filled by very long requests
// after its last report would keep getting more.
uint32_t Balancer::unreportedLoad(const UpstreamLoad& load, Instant now) const
{
    if (m_options.entryCount <= 1 || !load.isReported)
        return 0;
    bool isOld = load.report.running && now - load.reportedAt > maxFreshReportAge;
    return std::min(maxUnreportedSlots, load.sinceReport + (isOld ? 1U : 0U));
}

bool Balancer::isFull(const Member& member, Instant now) const
{
    double share = std::clamp(member.candidate->share, 0.0, 1.0);
    return knownLoad(*member.load, now) + unreportedLoad(*member.load, now) >= std::max(1.0, share * limitOf(member));
}

// Relative load; lower is better. Other entries choose by the same stale reports, so this assumes that each of them has
// sent as many requests since the report as this entry. Otherwise all entries would send to the upstream that was
// reported idle.
double Balancer::score(const Member& member, Instant now) const
{
    uint32_t others = std::min(m_options.entryCount, maxEntryWeight);
    double unreported = others > 1 ? member.load->sinceReport * (others - 1.0) : 0;
    return (knownLoad(*member.load, now) + unreported + 1) / limitOf(member);
}

bool Balancer::isBlocked(const Candidate& candidate, Instant now) const
{
    if (m_paths.empty())
        return false;
    auto it = m_paths.find(std::string_view(candidate.node));
    return it != m_paths.end() && now < it->second.blockedUntil;
}

bool Balancer::isEligible(const Member& member, const BalanceRequest& request, Pass pass, Instant now) const
{
    // As a last resort, an upstream is eligible although its last report says that it accepts no requests: it may
    // have recovered since, and a rejection by it costs less than not trying it.
    UpstreamState state = pass == Pass::LastResort ? member.candidate->state : stateOf(member, now);
    if (!acceptsRequests(state))
        return false;
    if (std::find(request.exclude.begin(), request.exclude.end(), member.candidate->upstream) != request.exclude.end())
        return false;
    if (pass == Pass::LastResort)
        return true;
    if (isBlocked(*member.candidate, now) || now < member.load->pausedUntil)
        return false;
    switch (pass) {
    case Pass::Free:
        return state != UpstreamState::Degraded && !isFull(member, now);
    case Pass::Degraded:
        return state == UpstreamState::Degraded && !isFull(member, now);
    case Pass::Full:
        return state != UpstreamState::Degraded;
    case Pass::LastResort:
        break;
    }
    return true;
}

//-----------------------------------------------------------------------------
// [SECTION] Selection
//-----------------------------------------------------------------------------

// Accepts an upstream that is ramping up with a probability equal to its share.
bool Balancer::passesRampSampling(const Candidate& candidate)
{
    return candidate.share >= 1 || std::uniform_real_distribution<>()(m_random) < candidate.share;
}

// Returns the least loaded eligible member. The scan starts at a random position, so that ties are spread.
const Candidate* Balancer::scanTier(
    const std::vector<Member>& tier, const BalanceRequest& request, Pass pass, Instant now)
{
    const Candidate* best = nullptr;
    double lowest = 0;
    size_t start = m_random() % tier.size();
    for (size_t i = 0; i < tier.size(); ++i) {
        const Member& member = tier[(start + i) % tier.size()];
        if (!isEligible(member, request, pass, now))
            continue;
        double value = score(member, now);
        if (!best || value < lowest) {
            best = member.candidate;
            lowest = value;
        }
    }
    return best;
}

// Power of two choices; scans the whole tier when neither of the two is eligible.
const Candidate* Balancer::chooseInTier(
    const std::vector<Member>& tier, const BalanceRequest& request, Pass pass, Instant now)
{
    if (tier.empty())
        return nullptr;
    size_t n = tier.size();
    size_t firstIndex = m_random() % n;
    size_t secondIndex = n > 1 ? (firstIndex + 1 + m_random() % (n - 1)) % n : firstIndex;
    const Member* chosen = nullptr;
    for (const Member* member : { &tier[firstIndex], &tier[secondIndex] }) {
        if (!isEligible(*member, request, pass, now) || !passesRampSampling(*member->candidate))
            continue;
        if (!chosen || score(*member, now) < score(*chosen, now))
            chosen = member;
    }
    return chosen ? chosen->candidate : scanTier(tier, request, pass, now);
}

// Returns the eligible candidate with the highest rendezvous weight for the key. Null when all candidates considered
// are ineligible or loaded to more than 75 percent of their limit.
const Candidate* Balancer::chooseAffine(ServiceView& view, const BalanceRequest& request, Instant now)
{
    static const UpstreamLoad unknownLoad;
    if (!view.hasRing)
        buildRing(view, request.service);
    if (view.ring.empty())
        return nullptr;
    const Candidate* best = nullptr;
    uint64_t highest = 0;
    auto consider = [&](const RingPoint& point) {
        uint64_t weight = hashKey(*request.affinity, point.hash);
        if (best && weight <= highest)
            return;
        const Candidate& candidate = *point.candidate;
        if (candidate.state == UpstreamState::Degraded)
            return;
        auto it = m_loads.find(candidate.upstream);
        Member member { &candidate, it == m_loads.end() ? &unknownLoad : it->second.get() };
        if (!isEligible(member, request, Pass::Free, now) || knownLoad(*member.load, now) + 1 > limitOf(member) * 0.75)
            return;
        best = &candidate;
        highest = weight;
    };
    if (view.ring.size() <= maxExactRendezvousSize) {
        std::for_each(view.ring.begin(), view.ring.end(), consider);
        return best;
    }
    for (size_t i = 0; i < ringProbeCount; ++i) {
        uint64_t hash = hashKey(*request.affinity, i);
        auto it = std::lower_bound(view.ring.begin(), view.ring.end(), hash,
            [](const RingPoint& point, uint64_t value) { return point.hash < value; });
        consider(it == view.ring.end() ? view.ring.front() : *it);
    }
    return best;
}

const Candidate* Balancer::choose(const BalanceRequest& request, Instant now)
{
    if (now >= m_nextEviction)
        evictIdleState(now);
    if (m_candidates.of(request.service).empty())
        return nullptr;
    ServiceView& view = viewOf(request.service);
    view.lastUsed = now;
    if (request.reach != BalanceReach::All)
        return chooseFree(view, request, now);
    if (request.affinity) {
        if (const Candidate* candidate = chooseAffine(view, request, now))
            return candidate;
    }
    for (size_t i = 0; i < firstRemoteTier; ++i) {
        if (const Candidate* candidate = chooseInTier(view.tiers[i], request, Pass::Free, now))
            return candidate;
    }
    if (!isRegionBacklogged(view, request, now)) {
        for (size_t i = 0; i < firstRemoteTier; ++i) {
            if (const Candidate* candidate = chooseInTier(view.tiers[i], request, Pass::Full, now))
                return candidate;
        }
    }
    for (size_t i = 0; m_options.prefersDegradedInRegion && i < firstRemoteTier; ++i) {
        if (const Candidate* candidate = chooseInTier(view.tiers[i], request, Pass::Degraded, now))
            return candidate;
    }
    for (Pass pass : { Pass::Free, Pass::Degraded, Pass::Full, Pass::LastResort }) {
        for (const std::vector<Member>& tier : view.tiers) {
            if (const Candidate* candidate = chooseInTier(tier, request, pass, now))
                return candidate;
        }
    }
    return nullptr;
}

const Candidate* Balancer::chooseFree(const ServiceView& view, const BalanceRequest& request, Instant now)
{
    bool isInRegion = request.reach == BalanceReach::FreeInRegion;
    for (size_t i = isInRegion ? 0 : firstRemoteTier; i < (isInRegion ? firstRemoteTier : tierCount); ++i) {
        if (const Candidate* candidate = chooseInTier(view.tiers[i], request, Pass::Free, now))
            return candidate;
    }
    return nullptr;
}

bool Balancer::hasFreshReport(std::string_view upstream, Instant now) const
{
    auto it = m_loads.find(upstream);
    return it != m_loads.end() && it->second->isReported && now - it->second->reportedAt <= maxFreshReportAge;
}

// Whether requests are queued at each eligible upstream of the own region. At low request rates, reports are too old to
// show that every slot is taken at this moment; a queue does show it. A short wait in a queue costs less than sending
// the request to another region.
bool Balancer::isRegionBacklogged(const ServiceView& view, const BalanceRequest& request, Instant now) const
{
    auto hasBacklog = [&](const Member& member) {
        const UpstreamLoad& load = *member.load;
        bool isFresh = load.isReported && now - load.reportedAt <= backlogLifetime;
        return (isFresh && load.report.queued) || load.outstanding > static_cast<uint32_t>(limitOf(member));
    };
    for (size_t i = 0; i < firstRemoteTier; ++i) {
        for (const Member& member : view.tiers[i]) {
            if (isEligible(member, request, Pass::Full, now) && !hasBacklog(member))
                return false;
        }
    }
    return true;
}

//-----------------------------------------------------------------------------
// [SECTION] Feedback
//-----------------------------------------------------------------------------

void Balancer::started(std::string_view upstream, Instant)
{
    UpstreamLoad& load = loadOf(upstream);
    ++load.outstanding;
    ++load.sinceReport;
}

void Balancer::finished(std::string_view upstream, const LoadReport& report, Instant now)
{
    UpstreamLoad& load = loadOf(upstream);
    load.outstanding -= std::min(load.outstanding, 1U);
    load.report = report;
    load.reportedAt = now;
    load.isReported = true;
    load.outstandingAtReport = load.outstanding;
    load.sinceReport = 0;
}

void Balancer::abandoned(std::string_view upstream, Instant)
{
    UpstreamLoad& load = loadOf(upstream);
    load.outstanding -= std::min(load.outstanding, 1U);
}

void Balancer::pause(std::string_view upstream, Instant until) { loadOf(upstream).pausedUntil = until; }

void Balancer::pathResult(std::string_view node, bool reached, Instant now)
{
    auto it = m_paths.find(node);
    if (reached) {
        if (it != m_paths.end())
            m_paths.erase(it);
        return;
    }
    if (it == m_paths.end())
        it = m_paths.emplace(std::string(node), PathState {}).first;
    constexpr uint32_t maxDoublings = 10; // keeps the shift in range
    Duration backoff = m_options.pathBackoff * (1U << std::min(it->second.failures, maxDoublings));
    ++it->second.failures;
    it->second.blockedUntil = now + std::min(backoff, m_options.maxPathBackoff);
}

size_t Balancer::stateBytes() const
{
    constexpr size_t nodeOverhead = 4 * sizeof(void*);
    size_t bytes = m_loads.size() * (sizeof(std::string) + sizeof(UpstreamLoad) + nodeOverhead);
    bytes += m_paths.size() * (sizeof(std::string) + sizeof(PathState) + nodeOverhead);
    for (const auto& [name, view] : m_views) {
        bytes += sizeof(view) + view.ring.capacity() * sizeof(RingPoint);
        for (const auto& tier : view.tiers)
            bytes += tier.capacity() * sizeof(Member);
    }
    return bytes;
}

} // namespace Gooseberrymill

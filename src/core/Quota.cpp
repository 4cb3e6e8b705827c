#include "Quota.h"

#include <algorithm>
#include <xxhash.h>

namespace Gooseberrymill {

namespace {

constexpr size_t homesOfLargeOrganisation = 4; // in each region
constexpr size_t minNodesForSeveralHomes
    = 8; // nodes of a region, so that no node is a home of almost every organisation
constexpr double smallQuotaSlacks = 3; // a quota of at most so many times the slack counts as small
constexpr size_t maxRemoteAsks = 3; // homes in other regions that an entry asks for a request
// Part of the slack by which buckets are deeper, so that a small one does not run dry between two requests.
constexpr double depthShareOfSlack = 0.25;
constexpr Duration contactLifetime = 3s; // without contact to the region for longer, a home grants nothing
// A node without contact for this long may have been declared lost, and another one acts in its place.
constexpr Duration replacedAfter = 7s;
constexpr Duration takeOverDelay = 2s; // before parts of a node that has gone are granted
constexpr Duration returnDelay = 5s; // before a node that was replaced grants again; all others know of it by then
constexpr Duration maxTurn = 30s; // callers are not told to wait longer
constexpr Duration emptyLifetime = 250ms; // a home that had no token is not asked again for at most this time
constexpr Duration unreachableLifetime = 1s; // the same for one that did not answer
constexpr Duration minRetryAfter = 50ms;

uint64_t rankOf(const QuotaNode& node, std::string_view organisation)
{
    uint64_t seed = XXH3_64bits(node.name.data(), node.name.size());
    return XXH3_64bits_withSeed(organisation.data(), organisation.size(), seed);
}

Duration secondsToDuration(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

double secondsOf(Duration duration) { return std::chrono::duration<double>(duration).count(); }

double requestsInWindow(const Organisation& organisation, const QuotaTerms& terms)
{
    return organisation.rate * secondsOf(terms.window) + organisation.burst;
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] QuotaNodes
//-----------------------------------------------------------------------------

QuotaNodes::QuotaNodes(std::vector<QuotaNode> nodes, size_t regions, QuotaTerms terms)
    : m_regionCount(std::max<size_t>(1, regions))
    , m_size(nodes.size())
    , m_terms(terms)
{
    std::ranges::sort(nodes, {}, &QuotaNode::name);
    for (QuotaNode& it : nodes)
        m_regions[it.region].push_back(std::move(it));
}

std::span<const QuotaNode> QuotaNodes::nodesIn(std::string_view region) const
{
    auto it = m_regions.find(region);
    return it == m_regions.end() ? std::span<const QuotaNode>() : it->second;
}

size_t QuotaNodes::homesPerRegion(std::string_view region, const Organisation& organisation) const
{
    bool isSmall = requestsInWindow(organisation, m_terms) <= smallQuotaSlacks * m_terms.slack;
    return isSmall || nodesIn(region).size() < minNodesForSeveralHomes ? 1 : homesOfLargeOrganisation;
}

double QuotaNodes::partOfHome(std::string_view region, const Organisation& organisation) const
{
    return 1.0 / static_cast<double>(m_regionCount * homesPerRegion(region, organisation));
}

std::vector<const QuotaNode*> QuotaNodes::homesIn(std::string_view region, const Organisation& organisation) const
{
    std::vector<std::pair<uint64_t, const QuotaNode*>> ranked;
    for (const QuotaNode& it : nodesIn(region))
        ranked.emplace_back(rankOf(it, organisation.name), &it);
    size_t n = std::min(ranked.size(), homesPerRegion(region, organisation));
    std::ranges::partial_sort(ranked, ranked.begin() + static_cast<std::ptrdiff_t>(n), std::greater<>());
    std::vector<const QuotaNode*> homes;
    for (size_t i = 0; i < n; ++i)
        homes.push_back(ranked[i].second);
    return homes;
}

std::vector<const QuotaNode*> QuotaNodes::homesOutside(std::string_view region, const Organisation& organisation) const
{
    std::vector<const QuotaNode*> homes;
    for (const auto& [name, nodes] : m_regions) {
        if (name == region)
            continue;
        auto homesThere = homesIn(name, organisation);
        homes.insert(homes.end(), homesThere.begin(), homesThere.end());
    }
    return homes;
}

bool QuotaNodes::isHome(std::string_view node, std::string_view region, const Organisation& organisation) const
{
    return std::ranges::any_of(homesIn(region, organisation), [&](const QuotaNode* it) { return it->name == node; });
}

// Half of what the terms allow beyond the quota, shared by all nodes.
uint32_t QuotaNodes::stockOfEntry(const Organisation& organisation) const
{
    double allowed = m_terms.overage * requestsInWindow(organisation, m_terms) + m_terms.slack;
    size_t entries = std::max<size_t>(1, m_size) * std::max(1U, m_terms.entriesPerNode);
    return static_cast<uint32_t>(allowed / 2 / static_cast<double>(entries));
}

//-----------------------------------------------------------------------------
// [SECTION] QuotaBucket
//-----------------------------------------------------------------------------

void QuotaBucket::configure(double rate, double depth, Instant now)
{
    bool isNew = m_depth <= 0;
    if (!isNew)
        refill(now);
    m_rate = rate;
    m_depth = depth;
    m_tokens = std::min(m_tokens, m_depth);
}

void QuotaBucket::refill(Instant now)
{
    if (now <= m_filledAt)
        return;
    m_tokens = std::min(m_depth, m_tokens + m_rate * secondsOf(now - m_filledAt));
    m_filledAt = now;
}

uint32_t QuotaBucket::take(uint32_t wanted, Instant now)
{
    refill(now);
    auto taken = std::min(wanted, static_cast<uint32_t>(m_tokens));
    m_tokens -= taken;
    return taken;
}

void QuotaBucket::giveBack(uint32_t tokens, Instant now)
{
    refill(now);
    m_tokens = std::min(m_depth, m_tokens + tokens);
}

Duration QuotaBucket::nextTurn(Instant now)
{
    refill(now);
    if (m_rate <= 0)
        return maxTurn;
    Instant firstToken = std::max(now, m_filledAt) + secondsToDuration(std::max(0.0, 1 - m_tokens) / m_rate);
    Instant turn = std::min(std::max(firstToken, m_nextTurn), now + maxTurn);
    m_nextTurn = turn + secondsToDuration(1 / m_rate);
    return turn - now;
}

//-----------------------------------------------------------------------------
// [SECTION] QuotaHome
//-----------------------------------------------------------------------------

QuotaHome::QuotaHome(std::string node, std::string region, bool startsFull, Instant now)
    : m_node(std::move(node))
    , m_region(std::move(region))
    , m_startsFull(startsFull)
    , m_actsFrom(startsFull ? now : now + returnDelay)
    , m_contactAt(now)
    , m_gainsFrom(now)
{
}

// A node that has gone leaves its parts to others, perhaps to this node. Any change may make this node the home of
// other organisations, whose buckets then fill from now on.
void QuotaHome::setNodes(std::shared_ptr<const QuotaNodes> nodes, Instant now)
{
    bool hasLost = m_nodes && std::ranges::any_of(m_nodes->nodesIn(m_region), [&](const QuotaNode& it) {
        auto known = nodes->nodesIn(m_region);
        return std::ranges::find(known, it.name, &QuotaNode::name) == known.end();
    });
    if (m_nodes) {
        m_gainsFrom = std::max(m_gainsFrom, hasLost ? now + takeOverDelay : now);
        m_startsFull = false;
    }
    m_nodes = std::move(nodes);
    m_hasKnownOthers = m_hasKnownOthers || m_nodes->nodesIn(m_region).size() > 1;
    dropForeignBuckets();
}

void QuotaHome::setRoutes(std::shared_ptr<const RouteTable> routes, Instant now)
{
    if (m_routes) {
        m_gainsFrom = std::max(m_gainsFrom, now);
        m_startsFull = false;
    }
    m_routes = std::move(routes);
    dropForeignBuckets();
}

// A bucket that is kept while another node grants the part would be full when the part comes back.
void QuotaHome::dropForeignBuckets()
{
    if (!m_nodes || !m_routes)
        return;
    std::erase_if(m_buckets, [this](const auto& it) {
        const Organisation* organisation = m_routes->organisations().named(it.first);
        return !organisation || !m_nodes->isHome(m_node, m_region, *organisation);
    });
}

void QuotaHome::actFrom(Instant from)
{
    m_actsFrom = from;
    m_gainsFrom = std::max(m_gainsFrom, from);
    m_startsFull = false;
}

void QuotaHome::contacted(Instant askedAt)
{
    if (askedAt <= m_contactAt)
        return;
    if (askedAt - m_contactAt > replacedAfter) {
        actFrom(askedAt + returnDelay);
        m_buckets.clear();
        m_startsFull = false;
    }
    m_contactAt = askedAt;
}

bool QuotaHome::isActing(Instant now) const
{
    if (!m_nodes || !m_routes || now < m_actsFrom)
        return false;
    return !m_hasKnownOthers || now - m_contactAt <= contactLifetime;
}

QuotaReply QuotaHome::answer(const QuotaQuery& query, Instant now)
{
    if (!isActing(now))
        return {};
    const Organisation* organisation = m_routes->organisations().named(query.organisation);
    if (organisation && !hasQuota(*organisation))
        return { query.wanted, 0 }; // the entry's configuration is older
    if (!organisation)
        return {};
    // A bucket is kept only while this node is a home, which saves the ranking of all nodes.
    if (!m_buckets.contains(query.organisation) && !m_nodes->isHome(m_node, m_region, *organisation))
        return {};
    QuotaBucket& bucket = bucketOf(*organisation, now);
    bucket.giveBack(query.returned, now);
    QuotaReply reply;
    reply.granted = bucket.take(query.wanted, now);
    if (query.wanted && !reply.granted) {
        auto turn = std::chrono::ceil<std::chrono::milliseconds>(bucket.nextTurn(now)).count();
        reply.retryAfterMs = static_cast<uint32_t>(std::max<int64_t>(1, turn));
    }
    return reply;
}

QuotaBucket& QuotaHome::bucketOf(const Organisation& organisation, Instant now)
{
    double part = m_nodes->partOfHome(m_region, organisation);
    auto [it, isNew] = m_buckets.try_emplace(organisation.name, std::max(m_actsFrom, m_gainsFrom));
    double depth = std::max(1.0, organisation.burst * part) + depthShareOfSlack * m_nodes->terms().slack * part;
    it->second.configure(organisation.rate * part, depth, now);
    if (isNew && m_startsFull)
        it->second.fill();
    return it->second;
}

//-----------------------------------------------------------------------------
// [SECTION] QuotaStock
//-----------------------------------------------------------------------------

uint32_t QuotaStock::takeGranted()
{
    uint32_t n = std::min(m_waiting, m_tokens);
    m_tokens -= n;
    m_waiting -= n;
    if (!m_waiting) {
        m_isInRound = m_isInRound && m_isAsking;
        m_isExhausted = false;
    }
    return n;
}

void QuotaStock::refuseAll()
{
    m_waiting = 0;
    m_isExhausted = false;
}

// Near homes first, in random order, then a few in other regions.
bool QuotaStock::startRound(const QuotaNodes& nodes, std::string_view region, const Organisation& organisation)
{
    m_round.clear();
    auto add = [&](std::vector<const QuotaNode*> homes, size_t limit) {
        std::ranges::shuffle(homes, m_random);
        homes.resize(std::min(homes.size(), limit));
        for (const QuotaNode* it : homes)
            m_round.push_back({ it->name, it->relayAddress, { organisation.name, 1, 0 } });
    };
    add(nodes.homesIn(region, organisation), SIZE_MAX);
    add(nodes.homesOutside(region, organisation), maxRemoteAsks);
    std::ranges::reverse(m_round);
    m_target = nodes.stockOfEntry(organisation);
    return !m_round.empty();
}

std::optional<QuotaAsk> QuotaStock::nextAsk(
    const QuotaNodes& nodes, std::string_view region, const Organisation& organisation, Instant now)
{
    if (m_isAsking || !m_waiting || m_isExhausted)
        return std::nullopt;
    if (!std::exchange(m_isInRound, true))
        startRound(nodes, region, organisation);
    while (!m_round.empty()) {
        QuotaAsk ask = std::move(m_round.back());
        m_round.pop_back();
        if (auto it = m_homes.find(ask.node); it != m_homes.end() && now < it->second.emptyUntil)
            continue;
        ask.query.wanted = m_waiting + m_target;
        ask.query.returned = std::exchange(m_returned, 0);
        m_isAsking = true;
        m_asked = ask.node;
        return ask;
    }
    m_isExhausted = true;
    return std::nullopt;
}

void QuotaStock::answered(const QuotaReply& reply, Instant now)
{
    m_isAsking = false;
    m_tokens = std::min(m_tokens + reply.granted, m_waiting + m_target);
    Home& home = m_homes[m_asked];
    if (reply.granted)
        return;
    Duration turn = std::chrono::milliseconds(reply.retryAfterMs);
    home.emptyUntil = now + (reply.retryAfterMs ? std::min(turn, emptyLifetime) : emptyLifetime);
    home.turnAt = now + (reply.retryAfterMs ? turn : Duration(unreachableLifetime));
}

void QuotaStock::failed(Instant now)
{
    m_isAsking = false;
    Home& home = m_homes[m_asked];
    home.emptyUntil = now + unreachableLifetime;
    home.turnAt = home.emptyUntil;
}

std::optional<Duration> QuotaStock::takeRefusal(Instant now)
{
    if (!m_isExhausted)
        return std::nullopt;
    m_isExhausted = false;
    m_isInRound = false;
    m_waiting = 0;
    Instant turn = Instant::max();
    for (const auto& [name, home] : m_homes) {
        if (home.turnAt > now)
            turn = std::min(turn, home.turnAt);
    }
    return turn == Instant::max() ? unreachableLifetime : std::max<Duration>(minRetryAfter, turn - now);
}

} // namespace Gooseberrymill

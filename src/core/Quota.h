// Quotas of organisations over the whole fleet: how many of their requests may run. No I/O, no clock.
//
// Each organisation has a few homes: nodes that grant parts of its quota. An entry asks one of them before it accepts a
// request. See docs/design/quotas.md.
//
// [SECTION] Terms
// [SECTION] QuotaNodes    which nodes are the homes of an organisation
// [SECTION] QuotaBucket   tokens of one organisation at one home
// [SECTION] QuotaHome     grants the parts of the quotas whose home is this node
// [SECTION] QuotaStock    whom an entry asks for an organisation, and what it holds
#pragma once

#include "Configuration.h"
#include "RelayMessages.h"

#include <map>
#include <random>

namespace Gooseberrymill {

//-----------------------------------------------------------------------------
// [SECTION] Terms
//-----------------------------------------------------------------------------

// In any window, at most (rate * window + burst) * (1 + overage) + slack requests of an organisation may run.
struct QuotaTerms {
    Duration window = 5s;
    double overage = 0; // share
    uint32_t slack = 0; // requests
    uint32_t entriesPerNode = 1;
};

inline bool hasQuota(const Organisation& organisation) { return organisation.rate > 0; }

//-----------------------------------------------------------------------------
// [SECTION] QuotaNodes
//-----------------------------------------------------------------------------

// A live node, which may be a home.
struct QuotaNode {
    std::string name;
    std::string region;
    std::string relayAddress; // "ip:port"
    bool operator==(const QuotaNode&) const = default;
};

// The live nodes as one node knows them. Immutable, so that tasks can share it.
class QuotaNodes {
public:
    // `regions`: number of regions of the fleet, of which each has an equal part of every quota.
    QuotaNodes(std::vector<QuotaNode>, size_t regions, QuotaTerms = {});

    // Homes of the organisation in a region, the highest ranked one first.
    std::vector<const QuotaNode*> homesIn(std::string_view region, const Organisation&) const;
    // Homes in all other regions.
    std::vector<const QuotaNode*> homesOutside(std::string_view region, const Organisation&) const;
    bool isHome(std::string_view node, std::string_view region, const Organisation&) const;
    double partOfHome(std::string_view region, const Organisation&) const; // share (0..1) of the quota of one home

    std::span<const QuotaNode> nodesIn(std::string_view region) const;
    size_t size() const { return m_size; }
    const QuotaTerms& terms() const { return m_terms; }
    // Requests granted beforehand that an entry may hold of the organisation's quota.
    uint32_t stockOfEntry(const Organisation&) const;

private:
    size_t homesPerRegion(std::string_view region, const Organisation&) const;

    std::map<std::string, std::vector<QuotaNode>, std::less<>> m_regions; // nodes by region, sorted by name
    size_t m_regionCount;
    size_t m_size;
    QuotaTerms m_terms;
};

//-----------------------------------------------------------------------------
// [SECTION] QuotaBucket
//-----------------------------------------------------------------------------

// Token bucket that also tells callers when their turn comes. It starts empty and fills from `from` on, which may be in
// the future.
class QuotaBucket {
public:
    explicit QuotaBucket(Instant from)
        : m_filledAt(from)
    {
    }

    void configure(double rate, double depth, Instant now); // tokens a second, and the most tokens it holds
    void fill() { m_tokens = m_depth; }
    uint32_t take(uint32_t wanted, Instant now); // returns the number of tokens taken
    void giveBack(uint32_t tokens, Instant now);
    // Time until a caller that got no token gets one, after those that were told before.
    Duration nextTurn(Instant now);

private:
    void refill(Instant now);

    double m_rate = 0;
    double m_depth = 0;
    double m_tokens = 0;
    Instant m_filledAt;
    Instant m_nextTurn {}; // of the next caller that is told one
};

//-----------------------------------------------------------------------------
// [SECTION] QuotaHome
//-----------------------------------------------------------------------------

// The home role of one node. It acts only while a watcher of its region knows that it lives, so that no other node
// takes over its parts meanwhile.
class QuotaHome {
public:
    // `startsFull`: the fleet starts for the first time, so nobody can have granted anything before.
    QuotaHome(std::string node, std::string region, bool startsFull, Instant now);

    // [SECTION] Input
    void setNodes(std::shared_ptr<const QuotaNodes>, Instant now);
    void setRoutes(std::shared_ptr<const RouteTable>, Instant now); // with the organisations
    void actFrom(Instant); // this process may hold the parts of its node from then on
    void contacted(Instant askedAt); // a node that watches over the region has answered a message sent at `askedAt`

    // [SECTION] Output
    QuotaReply answer(const QuotaQuery&, Instant now);
    bool isActing(Instant now) const;
    size_t bucketCount() const { return m_buckets.size(); }

private:
    void dropForeignBuckets();
    QuotaBucket& bucketOf(const Organisation&, Instant now);

    std::string m_node;
    std::string m_region;
    bool m_startsFull; // nobody can have granted anything yet
    bool m_hasKnownOthers = false; // another node of the region was live once
    Instant m_actsFrom;
    Instant m_contactAt; // latest proof that a watcher knew this node to live
    Instant m_gainsFrom; // from then on a part fills that this node may have taken over from another one
    std::shared_ptr<const QuotaNodes> m_nodes;
    std::shared_ptr<const RouteTable> m_routes;
    std::map<std::string, QuotaBucket, std::less<>> m_buckets; // by organisation
};

//-----------------------------------------------------------------------------
// [SECTION] QuotaStock
//-----------------------------------------------------------------------------

// A query to one home.
struct QuotaAsk {
    std::string node;
    std::string relayAddress;
    QuotaQuery query;
};

// What one entry holds of one organisation's quota, and whom it asks for more. One query is under way at a time.
class QuotaStock {
public:
    explicit QuotaStock(uint32_t seed)
        : m_random(seed)
    {
    }

    // [SECTION] Input
    void want() { ++m_waiting; } // a request waits for a token
    void giveBack() { ++m_returned; } // a request that had a token did not run; the next home that is asked gets it
    void refuseAll(); // nobody can be asked
    void answered(const QuotaReply&, Instant now);
    void failed(Instant now); // the home that was asked last did not answer

    // [SECTION] Output: call these after each input, in this order
    uint32_t takeGranted(); // waiting requests that may run now, in the order of their arrival
    // The next home to ask; empty: a query is under way, nobody waits, or no home is left.
    std::optional<QuotaAsk> nextAsk(const QuotaNodes&, std::string_view region, const Organisation&, Instant now);
    // Set if no home is left to ask: all requests that wait are refused, and may return after this time.
    std::optional<Duration> takeRefusal(Instant now);
    bool isIdle() const { return !m_waiting && !m_isAsking && !m_tokens && !m_returned; }

private:
    // What this entry knows of a home.
    struct Home {
        Instant emptyUntil {}; // it had no token, or did not answer
        Instant turnAt {}; // when it has told a caller of this entry to return
    };

    bool startRound(const QuotaNodes&, std::string_view region, const Organisation&);

    std::minstd_rand m_random; // small, as there is one for each organisation
    uint32_t m_waiting = 0;
    uint32_t m_tokens = 0; // granted and not used
    uint32_t m_returned = 0; // given back by requests
    bool m_isAsking = false;
    std::string m_asked; // home of the query under way
    uint32_t m_target = 0; // tokens to hold when nobody waits
    bool m_isInRound = false;
    bool m_isExhausted = false; // every home of this round was asked
    std::vector<QuotaAsk> m_round; // homes left to ask, the next one last
    std::map<std::string, Home, std::less<>> m_homes; // by name of the node
};

} // namespace Gooseberrymill

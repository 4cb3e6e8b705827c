// Retry budget of a service, and the policies that decide whether a request gets another attempt (retry or hedge).
#pragma once

#include "Configuration.h"

#include <algorithm>
#include <map>

namespace Gooseberrymill {

//-----------------------------------------------------------------------------
// [SECTION] RetryBudget
//-----------------------------------------------------------------------------

// Limits the retries of the last 10 s to `share` of the requests that arrived in the same time, plus an optional burst.
// Without a burst there is no constant allowance, so the bound also holds at low request rates. A sliding window is
// used instead of a token bucket: a bucket could spend the tokens saved in one window together with those gained in the
// next, so its rate would have to be half of the bound.
class RetryBudget {
public:
    explicit RetryBudget(double share)
        : m_share(share)
    {
    }

    void offered(Instant now); // counts a request that arrived from a caller
    bool tryAcquire(Instant now); // counts one more attempt and returns true if the budget allows it
    double available(Instant now); // number of retries that the budget allows now
    // Counts arrivals at the service that are retries but were not granted here. Never refused; may be fractional.
    void charge(double retries, Instant now);
    void setBurst(double burst) { m_burst = burst; } // retries allowed in any 10 s in addition to the share
    void setShare(double share) { m_share = share; }
    // No burst before `time`. A process that replaces another one does not know what that one has spent: it passes the
    // time at which a whole window has passed since its start.
    void withholdBurst(Instant time) { m_burstFrom = time; }

    // Time after which a retry no longer counts.
    static constexpr Duration window() { return bucketLength * bucketCount; }

private:
    static constexpr size_t bucketCount = 11; // 10 complete seconds and the current one
    static constexpr Duration bucketLength = 1s;

    struct Bucket {
        uint32_t offered = 0; // requests that arrived in this second
        double acquired = 0; // retries granted or charged in this second
    };

    void advance(Instant now);
    Bucket& current();

    double m_share;
    double m_burst = 0;
    Instant m_burstFrom {}; // the burst counts from this time on
    std::array<Bucket, bucketCount> m_buckets {}; // ring buffer with one bucket per second
    int64_t m_currentSecond = 0; // number of the second that the newest bucket counts
};

// Number of nodes that share a fleet-wide allowance: the largest one seen within at least `memory`. Nodes that are cut
// off or taken for lost may still spend, so a node must not take over their part.
class FleetSize {
public:
    static constexpr Duration memory = 1h; // longer than partitions between regions usually last

    void record(uint32_t liveNodes, Instant now); // call it again and again, also without a change
    uint32_t largest() const { return std::max(m_previous, m_current); }

private:
    uint32_t m_previous = 1; // largest number of the period before
    uint32_t m_current = 1; // largest number since m_periodStart
    Instant m_periodStart {};
};

// A node's part of a burst that all nodes of the fleet share. It follows from what the node knows of the fleet, so that
// the parts of all nodes stay within the burst while some of them start, or find each other after an outage.
class BurstShare {
public:
    // A node that has met another one knows all that it can reach when this time has passed.
    static constexpr Duration discoveryTime = 3s;

    // `isFleetStart`: the whole fleet starts for the first time, so no earlier process of this node has spent anything.
    BurstShare(Instant startedAt, bool isFleetStart);

    void record(uint32_t liveNodes, Instant now); // call it again and again, also without a change
    uint32_t nodes() const { return m_size.largest(); } // number of nodes that share the burst
    Instant availableFrom() const { return m_availableFrom; } // no part before this time

private:
    FleetSize m_size;
    Instant m_availableFrom;
    bool m_hasMetOthers = false; // another node was live once
};

// Retry budgets of all services at one entry worker. Each access applies the share that the service is currently
// configured with.
class RetryBudgets {
public:
    RetryBudget& of(const Service& service)
    {
        RetryBudget& budget = m_budgets.try_emplace(service.name, service.retry.budgetShare).first->second;
        budget.setShare(service.retry.budgetShare);
        return budget;
    }

private:
    std::map<std::string, RetryBudget> m_budgets;
};

//-----------------------------------------------------------------------------
// [SECTION] AttemptPolicy
//-----------------------------------------------------------------------------

// State of a request after an attempt that ended without a valid response.
struct AttemptState {
    bool repeatable = false;
    Outcome outcome = Outcome::NotRun; // over all attempts: NotRun only if none of them can have run
    uint32_t attempts = 1; // attempts made so far
    Duration deadlineLeft {}; // time until the deadline
    Duration expected {}; // expected duration of an attempt; zero while unknown
};

// State of a request whose first attempt is still running.
struct HedgeState {
    bool repeatable = false;
    bool sameRegion = false; // true if the upstream of the hedge is in the region of the first one
    uint32_t attempts = 1; // attempts made so far
    Duration elapsed {}; // time since the first attempt started
    Duration percentile95 {}; // 95th percentile of the response times of the route; zero while unknown
    Duration deadlineLeft {};
};

// Decides whether a request gets another attempt. The budget is checked last, so an attempt that is denied for another
// reason is not counted against it.
template <typename T>
concept Retrying = requires(T policy, const AttemptState& attempt, const HedgeState& hedge, Instant now)
{
    { policy.offered(now) };
    {
        policy.mayRetry(attempt, now)
        } -> std::same_as<bool>;
    {
        policy.mayHedge(hedge, now)
        } -> std::same_as<bool>;
};

// Allows retries and hedges as configured, within the retry budget.
class AttemptPolicy {
public:
    explicit AttemptPolicy(const RetryPolicy& policy)
        : m_policy(policy)
        , m_budget(policy.budgetShare)
    {
    }

    void offered(Instant now) { m_budget.offered(now); }
    bool mayRetry(const AttemptState& attempt, Instant now);
    bool mayHedge(const HedgeState& hedge, Instant now);

private:
    RetryPolicy m_policy;
    RetryBudget m_budget;
};

// Baseline to compare AttemptPolicy with: up to three retries of requests that are repeatable or were not run, without
// a budget.
class ThreeRetries {
public:
    explicit ThreeRetries(const RetryPolicy& = {}) { }

    void offered(Instant) { }
    bool mayRetry(const AttemptState& attempt, Instant)
    {
        constexpr uint32_t maxRetries = 3;
        return attempt.attempts <= maxRetries && (attempt.repeatable || attempt.outcome == Outcome::NotRun);
    }
    bool mayHedge(const HedgeState&, Instant) { return false; }
};

static_assert(Retrying<AttemptPolicy>);
static_assert(Retrying<ThreeRetries>);

} // namespace Gooseberrymill

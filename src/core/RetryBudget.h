// Bound on retries and hedges, and the decision whether another attempt is made.
#pragma once

#include "Configuration.h"

#include <map>

namespace Gooseberrymill {

//-----------------------------------------------------------------------------
// [SECTION] RetryBudget
//-----------------------------------------------------------------------------

// Retries of the last 10 s, at most `share` of the requests offered in the same time. Without a burst there is no
// constant part, so the bound also holds at low rates. A window instead of a bucket of tokens: what a bucket saved in
// one window and gained in the next could be spent together, so only half of the bound could be used.
class RetryBudget {
public:
    explicit RetryBudget(double share)
        : m_share(share)
    {
    }

    void offered(Instant now); // a caller's request arrived
    bool tryAcquire(Instant now); // true: one more attempt may be made, and it was counted
    double available(Instant now); // retries that may be made now
    void setBurst(double burst) { m_burst = burst; } // retries of any 10 s beyond the share
    void setShare(double share) { m_share = share; }

private:
    static constexpr size_t bucketCount = 11; // 10 s and the second that has begun
    static constexpr Duration bucketLength = 1s;

    struct Bucket {
        uint32_t offered = 0;
        uint32_t acquired = 0;
    };

    void advance(Instant now);
    Bucket& current();

    double m_share;
    double m_burst = 0;
    std::array<Bucket, bucketCount> m_buckets {}; // per second, a ring
    int64_t m_currentSecond = 0;
};

// The budgets of all services of one entry worker, each with the share that its service is configured with now.
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

// What is known when an attempt ended without a good answer.
struct AttemptState {
    bool repeatable = false;
    Outcome outcome = Outcome::NotRun; // of all attempts together: NotRun only if none can have run
    uint32_t attempts = 1; // made so far
    Duration deadlineLeft {};
    Duration expected {}; // usual time of an attempt; zero while unknown
};

struct HedgeState {
    bool repeatable = false;
    bool sameRegion = false; // the second upstream is in the region of the first
    uint32_t attempts = 1;
    Duration elapsed {}; // since the first attempt
    Duration percentile95 {}; // 95th percentile of the route; zero while unknown
    Duration deadlineLeft {};
};

// Decides on another attempt. The budget is asked last, so a refused attempt costs no token.
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

// Baseline: up to three retries of repeatable or not-run requests, without a budget.
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

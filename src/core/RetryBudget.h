// Bound on retries and hedges, and the decision whether another attempt is made.
#pragma once

#include "Configuration.h"

#include <map>

namespace Gooseberrymill {

//-----------------------------------------------------------------------------
// [SECTION] RetryBudget
//-----------------------------------------------------------------------------

// Token bucket that gains `share` for each offered request and holds at most `share` of the requests
// offered in the last 10 s. Without a burst there is no constant part, so the bound also holds at low rates.
class RetryBudget {
public:
    explicit RetryBudget(double share)
        : m_share(share)
    {
    }

    void offered(Instant now); // a caller's request arrived
    bool take(Instant now); // true: one more attempt may be made, and it was counted
    double tokens(Instant now);
    // Tokens held beyond the share at most, gained over 10 s. The first call fills them.
    void setBurst(double burst);
    void setShare(double share) { m_share = share; } // applies to what is offered and held from now on

private:
    static constexpr size_t bucketCount = 10;
    static constexpr Duration bucketLength = 1s;

    void advance(Instant now);

    double m_share;
    double m_tokens = 0;
    double m_burst = 0;
    std::array<uint32_t, bucketCount> m_offered {}; // requests per second, a ring
    uint64_t m_total = 0; // sum of the ring
    int64_t m_second = 0;
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
    Duration usual {}; // 95th percentile of the route; zero while unknown
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

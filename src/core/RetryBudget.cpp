#include "RetryBudget.h"

#include <algorithm>

namespace Gooseberrymill {

//-----------------------------------------------------------------------------
// [SECTION] RetryBudget
//-----------------------------------------------------------------------------

void RetryBudget::advance(Instant now)
{
    auto second = now.time_since_epoch() / bucketLength;
    auto passed = std::min<int64_t>(second - m_second, bucketCount);
    for (int64_t i = 1; i <= passed; ++i) {
        uint32_t& bucket = m_offered[static_cast<size_t>(m_second + i) % bucketCount];
        m_total -= bucket;
        bucket = 0;
    }
    if (passed == static_cast<int64_t>(bucketCount)) {
        m_offered.fill(0);
        m_total = 0;
    }
    m_tokens += m_burst / bucketCount * static_cast<double>(passed > 0 ? passed : 0);
    m_second = second;
    m_tokens = std::min(m_tokens, m_burst + m_share * static_cast<double>(m_total));
}

void RetryBudget::setBurst(double burst)
{
    if (m_burst == 0)
        m_tokens += burst;
    m_burst = burst;
}

void RetryBudget::offered(Instant now)
{
    advance(now);
    ++m_offered[static_cast<size_t>(m_second) % bucketCount];
    ++m_total;
    m_tokens = std::min(m_tokens + m_share, m_burst + m_share * static_cast<double>(m_total));
}

bool RetryBudget::take(Instant now)
{
    advance(now);
    constexpr double rounding = 1e-9; // ten gains of 0.1 must make one token
    if (m_tokens + rounding < 1)
        return false;
    m_tokens = std::max(0.0, m_tokens - 1);
    return true;
}

double RetryBudget::tokens(Instant now)
{
    advance(now);
    return m_tokens;
}

//-----------------------------------------------------------------------------
// [SECTION] AttemptPolicy
//-----------------------------------------------------------------------------

bool AttemptPolicy::mayRetry(const AttemptState& attempt, Instant now)
{
    if (attempt.attempts >= m_policy.maxAttempts)
        return false;
    if (!attempt.repeatable && attempt.outcome != Outcome::NotRun)
        return false;
    if (attempt.deadlineLeft <= attempt.expected)
        return false;
    return m_budget.take(now);
}

bool AttemptPolicy::mayHedge(const HedgeState& hedge, Instant now)
{
    if (!m_policy.hedge || !hedge.repeatable || !hedge.sameRegion)
        return false;
    if (hedge.attempts >= std::min(2U, m_policy.maxAttempts))
        return false;
    if (hedge.usual <= Duration::zero() || hedge.elapsed < hedge.usual || hedge.deadlineLeft <= hedge.usual)
        return false;
    return m_budget.take(now);
}

} // namespace Gooseberrymill

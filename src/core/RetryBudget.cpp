#include "RetryBudget.h"

#include <algorithm>
#include <utility>

namespace Gooseberrymill {

//-----------------------------------------------------------------------------
// [SECTION] RetryBudget
//-----------------------------------------------------------------------------

void RetryBudget::advance(Instant now)
{
    auto second = now.time_since_epoch() / bucketLength;
    auto passed = std::min<int64_t>(second - m_currentSecond, bucketCount);
    for (int64_t i = 1; i <= passed; ++i)
        m_buckets[static_cast<size_t>(m_currentSecond + i) % bucketCount] = {};
    m_currentSecond = std::max(m_currentSecond, second);
}

RetryBudget::Bucket& RetryBudget::current() { return m_buckets[static_cast<size_t>(m_currentSecond) % bucketCount]; }

void RetryBudget::offered(Instant now)
{
    advance(now);
    ++current().offered;
}

bool RetryBudget::tryAcquire(Instant now)
{
    constexpr double roundingTolerance = 1e-9; // ten shares of 0.1 must add up to one retry despite rounding
    if (available(now) + roundingTolerance < 1)
        return false;
    ++current().acquired;
    return true;
}

void RetryBudget::charge(double retries, Instant now)
{
    advance(now);
    current().acquired += retries;
}

double RetryBudget::available(Instant now)
{
    advance(now);
    uint64_t offered = 0;
    double acquired = 0;
    for (const Bucket& it : m_buckets) {
        offered += it.offered;
        acquired += it.acquired;
    }
    // The oldest bucket counts only for retries. This way the window for retries is never shorter than that for
    // offered requests.
    offered -= m_buckets[static_cast<size_t>(m_currentSecond + 1) % bucketCount].offered;
    double burst = now < m_burstFrom ? 0 : m_burst;
    return std::max(0.0, burst + m_share * static_cast<double>(offered) - acquired);
}

//-----------------------------------------------------------------------------
// [SECTION] FleetSize
//-----------------------------------------------------------------------------

void FleetSize::record(uint32_t liveNodes, Instant now)
{
    if (now - m_periodStart >= memory) {
        m_previous = std::exchange(m_current, 1);
        m_periodStart = now;
    }
    m_current = std::max(m_current, liveNodes);
}

//-----------------------------------------------------------------------------
// [SECTION] BurstShare
//-----------------------------------------------------------------------------

BurstShare::BurstShare(Instant startedAt, bool isFleetStart)
    : m_availableFrom(startedAt + (isFleetStart ? discoveryTime : RetryBudget::window()))
{
}

void BurstShare::record(uint32_t liveNodes, Instant now)
{
    m_size.record(liveNodes, now);
    if (liveNodes < 2 || std::exchange(m_hasMetOthers, true))
        return;
    m_availableFrom = std::max(m_availableFrom, now + discoveryTime);
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
    return m_budget.tryAcquire(now);
}

bool AttemptPolicy::mayHedge(const HedgeState& hedge, Instant now)
{
    if (!m_policy.hedge || !hedge.repeatable || !hedge.sameRegion)
        return false;
    if (hedge.attempts >= std::min(2U, m_policy.maxAttempts))
        return false;
    if (hedge.percentile95 <= Duration::zero() || hedge.elapsed < hedge.percentile95
        || hedge.deadlineLeft <= hedge.percentile95)
        return false;
    return m_budget.tryAcquire(now);
}

} // namespace Gooseberrymill

// Retry decisions for one request. No I/O.
#pragma once

#include "core/Basics.h"

namespace Gooseberrymill {

// Counts the attempts of one request and decides whether it may be sent to another upstream.
//
// Two limits apply: one of `maxAttempts` on dispatched attempts, which an upstream may have run, and one of
// `maxAttempts + maxUndispatchedRetries` on all attempts.
class AttemptPlan {
public:
    // `allowRetry` takes one retry from the budget and returns false when it is exhausted; empty: no budget.
    // `maxUndispatchedRetries`: attempts beyond `maxAttempts`, for executors that reject the request before an upstream
    // has seen it.
    AttemptPlan(
        bool repeatable, uint32_t maxAttempts, std::function<bool()> allowRetry, uint32_t maxUndispatchedRetries = 0)
        : m_repeatable(repeatable)
        , m_maxAttempts(maxAttempts)
        , m_maxUndispatchedRetries(maxUndispatchedRetries)
        , m_allowRetry(std::move(allowRetry))
    {
    }

    // Records an attempt. Call it before each one.
    void started(const std::string& upstream)
    {
        ++m_attempts;
        m_tried.push_back(upstream);
    }

    // Call it once after an attempt that failed. Returns whether the request may be sent to another upstream, and if so
    // takes a retry from the budget where one is due.
    // `dispatched`: the upstream may have run the request.
    // `isBodyReplayable`: everything of the body that was sent can be sent again.
    //
    // The budget bounds the load on upstreams, so an attempt that reached no upstream costs no retry. An attempt that
    // the upstream shed reached it and costs a retry, but did not run and does not count against `maxAttempts`.
    bool acquireRetry(bool dispatched, RefusalReason reason, bool isBodyReplayable)
    {
        bool reachedUpstream = dispatched || reason == RefusalReason::UpstreamShed;
        m_hasReachedUpstream = m_hasReachedUpstream || reachedUpstream;
        m_dispatchedAttempts += dispatched ? 1 : 0;
        bool mayRetryUndispatched = !dispatched && isRetriableElsewhere(reason);
        bool mayRepeat = dispatched && m_repeatable && isUpstreamFault(reason);
        if ((!mayRetryUndispatched && !mayRepeat) || !isBodyReplayable
            || m_attempts >= m_maxAttempts + m_maxUndispatchedRetries)
            return false;
        if (m_dispatchedAttempts >= m_maxAttempts)
            return false;
        return !reachedUpstream || !m_allowRetry || m_allowRetry();
    }

    std::span<const std::string> tried() const { return m_tried; }
    uint32_t attempts() const { return m_attempts; }
    bool hasReachedUpstream() const { return m_hasReachedUpstream; } // in an attempt that has ended

    // Whether another upstream, or the same one later, may serve a request that was refused for this reason.
    static bool isRetriableElsewhere(RefusalReason reason)
    {
        switch (reason) {
        case RefusalReason::Draining:
        case RefusalReason::QueueFull:
        case RefusalReason::NoUpstream:
        case RefusalReason::Ejected:
        case RefusalReason::UpstreamUnreachable:
        case RefusalReason::RelayFailed:
        case RefusalReason::UpstreamShed:
        case RefusalReason::Degraded:
        case RefusalReason::DeadlineUnreachable:
        case RefusalReason::RateLimited:
        case RefusalReason::SlotsTaken:
            return true;
        default:
            return false;
        }
    }

private:
    // Failures after dispatch that a repeatable request may be retried for.
    static bool isUpstreamFault(RefusalReason reason)
    {
        switch (reason) {
        case RefusalReason::UpstreamCrashed:
        case RefusalReason::UpstreamTruncated:
        case RefusalReason::UpstreamInvalid:
        case RefusalReason::RelayFailed:
        case RefusalReason::Degraded:
            return true;
        default:
            return false;
        }
    }

    bool m_repeatable;
    uint32_t m_maxAttempts;
    uint32_t m_maxUndispatchedRetries;
    uint32_t m_dispatchedAttempts = 0; // attempts that an upstream may have run; limited by m_maxAttempts
    std::function<bool()> m_allowRetry;
    bool m_hasReachedUpstream = false;
    uint32_t m_attempts = 0; // all attempts, dispatched or not
    std::vector<std::string> m_tried;
};

} // namespace Gooseberrymill

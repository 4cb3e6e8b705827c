// Decides whether a request may be sent to another upstream. No I/O.
#pragma once

#include "core/Basics.h"

namespace Gooseberrymill {

class AttemptPlan {
public:
    // `allowRetry` takes one retry from the budget; empty: no budget. `maxUndispatchedRetries`: executors that may give
    // the request back before an upstream has seen it, beyond `maxAttempts`.
    AttemptPlan(
        bool repeatable, uint32_t maxAttempts, std::function<bool()> allowRetry, uint32_t maxUndispatchedRetries = 0)
        : m_repeatable(repeatable)
        , m_maxAttempts(maxAttempts)
        , m_maxUndispatchedRetries(maxUndispatchedRetries)
        , m_allowRetry(std::move(allowRetry))
    {
    }

    void started(const std::string& upstream)
    {
        ++m_attempts;
        m_tried.push_back(upstream);
    }

    // An attempt ended without a response.
    // `isBodyReplayable`: everything of the body that was sent can be sent again.
    // `dispatched`: the attempt may have reached an upstream.
    // A request that no upstream has seen costs no retry: the budget bounds the load on upstreams.
    // One that an upstream shed has arrived there, which the budget bounds, but has not run: it is no attempt.
    bool acquireRetry(bool dispatched, RefusalReason reason, bool isBodyReplayable)
    {
        bool reachedUpstream = dispatched || reason == RefusalReason::UpstreamShed;
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

    // Another upstream, or the same one later, may serve a request that was refused for this reason.
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
            return true;
        default:
            return false;
        }
    }

private:
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
    uint32_t m_dispatchedAttempts = 0; // attempts that an upstream may have run
    std::function<bool()> m_allowRetry;
    uint32_t m_attempts = 0;
    std::vector<std::string> m_tried;
};

} // namespace Gooseberrymill

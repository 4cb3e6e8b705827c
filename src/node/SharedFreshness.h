// The freshness of the node's configuration, shared by the tasks of the process.
#pragma once

#include "core/ConfigurationFreshness.h"

#include <mutex>

namespace Gooseberrymill {

// Thread-safe; see ConfigurationFreshness for the functions.
class SharedFreshness {
public:
    explicit SharedFreshness(Duration revocationBound)
        : m_isEnabled(revocationBound > Duration::zero())
        , m_freshness(revocationBound)
    {
    }

    bool isEnabled() const { return m_isEnabled; }

    void setOwnStamp(uint64_t stamp, Instant now)
    {
        std::lock_guard lock(m_mutex);
        m_freshness.setOwnStamp(stamp, now);
    }
    void confirmedByStore(uint64_t stamp, Instant askedAt)
    {
        std::lock_guard lock(m_mutex);
        m_freshness.confirmedByStore(stamp, askedAt);
    }
    void received(const FreshnessProof& proof, Instant askedAt)
    {
        if (!m_isEnabled || !proof.configuration)
            return;
        std::lock_guard lock(m_mutex);
        m_freshness.received(proof, askedAt);
    }
    bool mayAcceptKeys(Instant now) const
    {
        std::lock_guard lock(m_mutex);
        return m_freshness.mayAcceptKeys(now);
    }
    bool isBehind() const
    {
        std::lock_guard lock(m_mutex);
        return m_freshness.isBehind();
    }
    bool shouldAskStore(Instant now) const
    {
        std::lock_guard lock(m_mutex);
        return m_freshness.shouldAskStore(now);
    }
    FreshnessProof proof(Instant now) const
    {
        if (!m_isEnabled)
            return {};
        std::lock_guard lock(m_mutex);
        return m_freshness.proof(now);
    }
    std::optional<Duration> age(Instant now) const
    {
        std::lock_guard lock(m_mutex);
        return m_freshness.age(now);
    }

private:
    const bool m_isEnabled;
    mutable std::mutex m_mutex;
    ConfigurationFreshness m_freshness; // guarded by m_mutex
};

} // namespace Gooseberrymill

// Watches over the freshness of the node's configuration on the control task: decides when the node asks the store
// itself, and logs when keys can no longer be accepted and when they can again.
#pragma once

#include "Log.h"
#include "SharedFreshness.h"

namespace Gooseberrymill {

class FreshnessKeeper {
public:
    FreshnessKeeper(std::shared_ptr<SharedFreshness> freshness, Instant startedAt)
        : m_freshness(std::move(freshness))
        , m_nextQuestion(startedAt + startPeriod)
    {
    }

    // Call it periodically while a configuration is in force. Returns whether the node should read the configuration
    // from the store now.
    bool update(Instant now)
    {
        if (!m_freshness->isEnabled())
            return false;
        if (bool mayAccept = m_freshness->mayAcceptKeys(now); mayAccept != m_mayAccept) {
            m_mayAccept = mayAccept;
            log(mayAccept ? LogLevel::Info : LogLevel::Warning, mayAccept ? "keys.accepted" : "keys.refused",
                { { "age_ms", ageMs(now) } });
        }
        if (now < m_nextQuestion || !m_freshness->shouldAskStore(now))
            return false;
        m_nextQuestion = now + questionPeriod;
        return true;
    }

    // Age of what is known about the newest configuration, in milliseconds; -1: nothing is known.
    int64_t ageMs(Instant now) const
    {
        auto age = m_freshness->age(now);
        return age ? std::chrono::duration_cast<std::chrono::milliseconds>(*age).count() : -1;
    }

private:
    static constexpr Duration startPeriod = 1s; // neighbours answer a node that has started within this time
    static constexpr Duration questionPeriod = 1s; // least time between two questions to the store

    std::shared_ptr<SharedFreshness> m_freshness;
    Instant m_nextQuestion;
    bool m_mayAccept = false;
};

} // namespace Gooseberrymill

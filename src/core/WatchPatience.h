// How long a client of the object store waits for the response to a watch that should have ended. No I/O, no clock.
#pragma once

#include "Basics.h"

#include <algorithm>

namespace Gooseberrymill {

// A store that is well ends a watch without a change soon after its wait. A connection may be dead without a reset, and
// while a watch waits on it, changes are missed. So the wait for a late response is short, until one is missing: a slow
// store must still be able to answer the next watch.
class WatchPatience {
public:
    static constexpr Duration usualDelay = 500ms; // of the response, after the wait of the watch

    explicit WatchPatience(Duration longestDelay)
        : m_longestDelay(longestDelay)
    {
    }

    // How long to wait for the response to the next watch, in addition to the wait of the watch itself.
    Duration allowedDelay() const
    {
        return m_isPatient ? m_longestDelay : std::min<Duration>(usualDelay, m_longestDelay);
    }
    void responded(Duration delay) { m_isPatient = m_isPatient && delay > usualDelay; }
    void missedResponse() { m_isPatient = true; }

private:
    Duration m_longestDelay;
    bool m_isPatient = false;
};

} // namespace Gooseberrymill

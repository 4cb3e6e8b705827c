// Notices an upstream that gets no requests although requests for it are refused. Does no I/O.
#pragma once

#include "Basics.h"

namespace Gooseberrymill {

class StallDetector {
public:
    static constexpr Duration reportAfter = 2s; // refusals without a dispatch for this long are a stall

    void dispatched() { *this = {}; }

    // Records a refusal for lack of a slot. Returns true once for each stall, when it has lasted for reportAfter.
    bool refused(Instant now)
    {
        ++m_refusals;
        m_since = m_since.value_or(now);
        return now - *m_since >= reportAfter && !std::exchange(m_isReported, true);
    }

    uint64_t refusals() const { return m_refusals; } // since the last dispatch

private:
    std::optional<Instant> m_since; // first refusal since the last dispatch
    uint64_t m_refusals = 0;
    bool m_isReported = false;
};

} // namespace Gooseberrymill

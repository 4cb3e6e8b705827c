// Which requests a process that is shutting down still takes, and when the last ones get their answers.
#pragma once

#include "Basics.h"

#include <algorithm>

namespace Gooseberrymill {

// A process without a limit waits for every request. With one it is ended when the limit has passed, so it takes
// nothing new in the second half and answers what is left just before the end.
class DrainPlan {
public:
    static constexpr Duration answerMargin = 300ms; // from the last answers to the limit, to write them

    DrainPlan(Instant startedAt, Duration limit) // limit 0: none
        : m_startedAt(startedAt)
        , m_limit(limit)
    {
    }

    bool acceptsRequests(Instant now) const { return m_limit <= Duration {} || now < m_startedAt + m_limit / 2; }

    // Time by which every caller has a final answer.
    Instant answerBy() const
    {
        return m_limit > Duration {} ? m_startedAt + std::max(m_limit - answerMargin, m_limit / 2) : Instant::max();
    }

private:
    Instant m_startedAt;
    Duration m_limit;
};

} // namespace Gooseberrymill

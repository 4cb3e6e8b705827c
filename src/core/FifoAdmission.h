// Baseline to compare AdmissionQueue with: an unbounded first-in, first-out queue with a fixed concurrency limit.
#pragma once

#include "Admission.h"
#include <algorithm>
#include <deque>
#include <unordered_set>

namespace Gooseberrymill {

class FifoAdmission {
public:
    explicit FifoAdmission(const Service& service)
        : m_slots(std::max(1U, service.slots))
    {
    }

    AdmissionDecision offer(const AdmissionRequest& request, Instant)
    {
        if (m_waiting.empty() && m_running.size() < m_slots) {
            m_running.insert(request.ticket);
            return { .verdict = AdmissionVerdict::Dispatch };
        }
        m_waiting.push_back(request.ticket);
        return { .verdict = AdmissionVerdict::Queued };
    }

    void finish(TicketId ticket, Duration, bool, Instant) { m_running.erase(ticket); }

    bool cancel(TicketId ticket, Instant)
    {
        auto it = std::find(m_waiting.begin(), m_waiting.end(), ticket);
        if (it == m_waiting.end())
            return false;
        m_waiting.erase(it);
        return true;
    }

    std::optional<TicketId> takeReady(Instant)
    {
        if (m_waiting.empty() || m_running.size() >= m_slots)
            return std::nullopt;
        TicketId ticket = m_waiting.front();
        m_waiting.pop_front();
        m_running.insert(ticket);
        return ticket;
    }

    std::optional<AdmissionRefusal> takeRefusal(Instant) { return std::nullopt; }

    LoadReport report() const
    {
        return { .running = static_cast<uint32_t>(m_running.size()),
            .queued = static_cast<uint32_t>(m_waiting.size()),
            .limit = m_slots };
    }

private:
    uint32_t m_slots;
    std::deque<TicketId> m_waiting;
    std::unordered_set<TicketId> m_running;
};

static_assert(Admission<FifoAdmission>);

} // namespace Gooseberrymill

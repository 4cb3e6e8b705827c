// Plain admission: a first-in, first-out queue with a fixed number of slots. Baseline for AdmissionQueue.
#pragma once

#include "Admission.h"

#include <algorithm>
#include <deque>
#include <set>

namespace Gooseberrymill {

class FifoAdmission {
public:
    FifoAdmission(uint32_t slots, uint32_t queueLimit)
        : m_slots(slots)
        , m_queueLimit(queueLimit)
    {
    }

    void setSlots(uint32_t slots) { m_slots = slots; }

    AdmissionDecision offer(const AdmissionRequest& request, Instant now)
    {
        constexpr Duration retryAfter = 1s;
        if (request.deadline <= now)
            return { AdmissionVerdict::Refuse, RefusalReason::DeadlineExceeded, {} };
        if (m_waiting.empty() && m_running.size() < m_slots) {
            m_running.insert(request.ticket);
            return { AdmissionVerdict::Dispatch, RefusalReason::None, {} };
        }
        if (m_waiting.size() >= m_queueLimit)
            return { AdmissionVerdict::Refuse, RefusalReason::QueueFull, retryAfter };
        m_waiting.push_back({ request.ticket, request.deadline });
        return { AdmissionVerdict::Queued, RefusalReason::None, {} };
    }

    void finish(TicketId ticket, Duration /*length*/, bool /*completed*/, Instant /*now*/) { m_running.erase(ticket); }

    bool cancel(TicketId ticket, Instant /*now*/)
    {
        return std::erase_if(m_waiting, [&](const Waiting& waiting) { return waiting.ticket == ticket; }) > 0;
    }

    std::optional<TicketId> takeReady(Instant now)
    {
        auto it = std::find_if(m_waiting.begin(), m_waiting.end(), [&](const Waiting& w) { return w.deadline > now; });
        if (m_running.size() >= m_slots || it == m_waiting.end())
            return std::nullopt;
        TicketId ticket = it->ticket;
        m_waiting.erase(it);
        m_running.insert(ticket);
        return ticket;
    }

    std::optional<AdmissionRefusal> takeExpired(Instant now)
    {
        auto it = std::find_if(m_waiting.begin(), m_waiting.end(), [&](const Waiting& w) { return w.deadline <= now; });
        if (it == m_waiting.end())
            return std::nullopt;
        TicketId ticket = it->ticket;
        m_waiting.erase(it);
        return AdmissionRefusal { ticket, RefusalReason::DeadlineExceeded };
    }

    LoadReport report() const
    {
        return { static_cast<uint32_t>(m_running.size()), static_cast<uint32_t>(m_waiting.size()), m_slots,
            UpstreamState::Ready };
    }

private:
    struct Waiting {
        TicketId ticket = 0;
        Instant deadline {};
    };

    uint32_t m_slots;
    uint32_t m_queueLimit;
    std::set<TicketId> m_running;
    std::deque<Waiting> m_waiting;
};

static_assert(Admission<FifoAdmission>);

} // namespace Gooseberrymill

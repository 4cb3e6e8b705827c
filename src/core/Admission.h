// Concurrency limit and queue of one upstream, at its executor.
#pragma once

#include "Configuration.h"

namespace Gooseberrymill {

using TicketId = uint64_t;

struct AdmissionRequest {
    TicketId ticket = 0; // chosen by the caller of the queue, unique while in use
    WorkClass workClass = WorkClass::Interactive;
    uint32_t workKey = 0; // route index; expected length is learned per key
    Instant deadline {};
};

enum class AdmissionVerdict : uint8_t {
    Dispatch, // send it to the upstream now
    Queued, // a later call returns it from takeReady() or takeRefusal()
    Refuse, // not run; see `reason`
};

struct AdmissionDecision {
    AdmissionVerdict verdict = AdmissionVerdict::Refuse;
    RefusalReason reason = RefusalReason::None;
    Duration retryAfter {}; // hint for the caller when refused
};

struct AdmissionRefusal {
    TicketId ticket = 0;
    RefusalReason reason = RefusalReason::None;
};

// A queue in front of one upstream.
template <typename T>
concept Admission = requires(
    T queue, const AdmissionRequest& request, TicketId ticket, Duration serviceTime, bool completed, Instant now)
{
    {
        queue.offer(request, now)
        } -> std::same_as<AdmissionDecision>;
    { queue.finish(ticket, serviceTime, completed,
        now) }; // the dispatched request ended; completed: its length may be learned from
    {
        queue.cancel(ticket, now)
        } -> std::same_as<bool>; // true when it was still waiting
    {
        queue.takeReady(now)
        } -> std::same_as<std::optional<TicketId>>; // next waiting request to dispatch, if a slot is free
    {
        queue.takeRefusal(now)
        } -> std::same_as<std::optional<AdmissionRefusal>>; // next waiting request that cannot be answered in time
    {
        queue.report()
        } -> std::same_as<LoadReport>;
};

} // namespace Gooseberrymill

// Admission control for one upstream: the types and the concept that every admission queue satisfies. Each executor
// keeps one queue per upstream.
#pragma once

#include "Configuration.h"

namespace Gooseberrymill {

using TicketId = uint64_t;

struct AdmissionRequest {
    TicketId ticket = 0; // chosen by the code that calls offer(); unique among the waiting and running requests
    WorkClass workClass = WorkClass::Interactive;
    uint32_t workKey = 0; // kind of work, the route index; service times are estimated per key
    Instant deadline {};
    bool mayWaitForRate = false; // no other upstream is left, so it may wait while the rate limit allows no request
};

enum class AdmissionVerdict : uint8_t {
    Dispatch, // the request holds a slot and is sent to the upstream now
    Queued, // the request waits until takeReady() or takeRefusal() returns its ticket
    Refuse, // the request is rejected without running; `reason` says why
};

struct AdmissionDecision {
    AdmissionVerdict verdict = AdmissionVerdict::Refuse;
    RefusalReason reason = RefusalReason::None;
    Duration retryAfter {}; // time after which a refused caller may try again
};

// A request that was queued and then dropped.
struct AdmissionRefusal {
    TicketId ticket = 0;
    RefusalReason reason = RefusalReason::None;
};

// A concurrency limiter with a queue, in front of one upstream.
template <typename T>
concept Admission = requires(
    T queue, const AdmissionRequest& request, TicketId ticket, Duration serviceTime, bool completed, Instant now)
{
    {
        queue.offer(request, now)
        } -> std::same_as<AdmissionDecision>;
    // A dispatched request ended. `completed`: its service time is a valid sample for the estimates.
    { queue.finish(ticket, serviceTime, completed, now) };
    {
        queue.cancel(ticket, now)
        } -> std::same_as<bool>; // true if the request was neither dispatched nor returned by takeRefusal() yet
    {
        queue.takeReady(now)
        } -> std::same_as<std::optional<TicketId>>; // next waiting request to dispatch, if a slot is free
    {
        queue.takeRefusal(now)
        } -> std::same_as<std::optional<AdmissionRefusal>>; // next request that was dropped from the queue
    {
        queue.report()
        } -> std::same_as<LoadReport>;
};

} // namespace Gooseberrymill

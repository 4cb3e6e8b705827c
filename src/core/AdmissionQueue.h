// Adaptive concurrency limit and bounded priority queue of one upstream. Requests are ordered by work class and
// deadline, and load that cannot meet its deadline is shed early.
//
// Usage: after each call of offer(), finish() and cancel(), call takeReady() until it returns nothing. Call
// takeRefusal() until it returns nothing at the same moments, and on a timer while requests wait.
#pragma once

#include "Admission.h"
#include "RateLimiter.h"
#include <deque>
#include <set>
#include <unordered_map>

namespace Gooseberrymill {

//-----------------------------------------------------------------------------
// [SECTION] ServiceTimeWindow
//-----------------------------------------------------------------------------

// Quantiles of the most recent service times, exact over a sliding window of samples. Because the window is bounded, a
// slow period stops counting after a fixed number of samples.
class ServiceTimeWindow {
public:
    explicit ServiceTimeWindow(size_t window);

    void add(Duration serviceTime);
    bool isKnown() const { return !m_samples.empty(); }
    Duration median() const { return m_median; } // zero before the first sample
    Duration high() const { return m_high; } // 90th percentile: nine of ten samples are shorter

private:
    void update();

    size_t m_window;
    size_t m_next = 0; // index of the oldest sample once the window is full
    uint32_t m_sinceUpdate = 0; // samples added since the quantiles were computed
    std::vector<Duration> m_samples;
    std::vector<Duration> m_sorted; // scratch copy of the samples for the quantile computation
    Duration m_median {};
    Duration m_high {};
};

//-----------------------------------------------------------------------------
// [SECTION] ConcurrencyLimit
//-----------------------------------------------------------------------------

// Concurrency limit of an upstream whose declared slots may be inaccurate. If requests that run at the limit take
// clearly longer than requests that run at half of it, the upstream has fewer slots than declared and the limit is
// decreased by one. Periodic probes increase it again, up to the declared slots.
class ConcurrencyLimit {
public:
    explicit ConcurrencyLimit(uint32_t slots);

    // Records a response. `logRatio` is the logarithm of its service time divided by the median of its kind of work.
    void record(uint32_t concurrency, double logRatio, Instant now);
    void setSlots(uint32_t slots); // a limit that was decreased below both the old and the new slots stays as it is
    uint32_t value() const { return m_limit; }

private:
    // Moving average of the log ratios measured at one concurrency.
    struct Level {
        double mean = 0;
        uint32_t count = 0;
        Instant updatedAt {};
    };

    std::optional<double> meanLogRatio(uint32_t first, uint32_t last, Instant now) const;
    void adapt(Instant now);

    uint32_t m_slots;
    uint32_t m_limit;
    std::vector<Level> m_levels; // indexed by concurrency, 1..slots; index 0 is unused
    Instant m_changedAt {};
    Instant m_checkedAt {};
};

//-----------------------------------------------------------------------------
// [SECTION] AdmissionQueue
//-----------------------------------------------------------------------------

// Critical work is dispatched first; the other classes share the slots by weighted fair queuing. Inside a class the
// earliest deadline goes first, and some slots are reserved for requests that are expected to be short.
class AdmissionQueue {
public:
    explicit AdmissionQueue(const Service& service);
    AdmissionQueue(uint32_t slots, const AdmissionPolicy& policy);

    // Also applies to waiting requests. If the limits decrease, requests above them keep running or waiting.
    void reconfigure(uint32_t slots, const AdmissionPolicy& policy);

    AdmissionDecision offer(const AdmissionRequest& request, Instant now);
    void finish(TicketId ticket, Duration serviceTime, bool completed, Instant now);
    bool cancel(TicketId ticket, Instant now);
    std::optional<TicketId> takeReady(Instant now);
    std::optional<AdmissionRefusal> takeRefusal(Instant now);
    // How long the request would wait for a slot if it were offered now; zero: it would be dispatched at once.
    Duration expectedWait(const AdmissionRequest& request, Instant now) const;
    LoadReport report() const;

    void setRate(std::optional<double> perSecond, Instant now) { m_rate.setRate(perSecond, now); }
    // Time until the rate limit allows another request after those that wait; 0 without a limit.
    Duration rateWait(Instant now) const { return m_rate.timeUntil(m_waitingClass.size() + 1, now); }

    uint32_t limit() const { return m_limit.value(); }
    Duration highServiceTime(uint32_t workKey, Instant now) const; // 90th percentile; zero while unknown or outdated
    bool isLong(uint32_t workKey, Instant now) const; // its median exceeds longWorkRatio times the service's median

private:
    struct Waiting {
        Instant deadline;
        TicketId ticket = 0;
        uint32_t workKey = 0;
        WorkClass workClass = WorkClass::Interactive;
        Duration expected {}; // estimated service time when the request was queued
        bool operator<(const Waiting& other) const
        {
            return std::tie(deadline, ticket) < std::tie(other.deadline, other.ticket);
        }
    };
    using Lane = std::set<Waiting>; // sorted, earliest deadline first

    struct ClassQueue {
        Lane shortWork;
        Lane longWork;
        Duration work {}; // sum of the expected service times of the waiting requests
        double virtualTime = 0; // service time received so far, in microseconds, divided by the weight of the class
        bool empty() const { return shortWork.empty() && longWork.empty(); }
    };

    struct Running {
        uint32_t workKey = 0;
        uint32_t concurrency = 0; // running requests at the time of its dispatch, including itself
        bool isLong = false;
        Instant startedAt;
    };

    struct WorkEstimate {
        ServiceTimeWindow serviceTimes { workWindow };
        Instant updatedAt {};
    };

    static constexpr size_t workWindow = 64; // samples kept per kind of work
    static constexpr size_t serviceWindow = 256; // samples kept over all kinds of work

    Duration medianServiceTime(uint32_t workKey, Instant now) const;
    Duration predictedWait(const Waiting& request) const;
    bool mayRunLong(Instant now) const;
    Lane* pickLane(ClassQueue& queue, bool longAllowed);
    ClassQueue* pickClass(bool longAllowed);
    ClassQueue* pickFairClass(bool longAllowed);
    const Waiting* pickNext(Instant now);
    void enqueue(const Waiting& request, bool isLong);
    Waiting dequeue(ClassQueue& queue, Lane& lane, Lane::iterator it);
    void dispatch(const Waiting& request, Instant now);
    void charge(ClassQueue& queue, Duration cost);
    bool makeRoomFor(const Waiting& request);
    AdmissionDecision queueForRate(const Waiting& request, Duration wait, Instant now);
    AdmissionDecision refuse(RefusalReason reason, Duration wait) const;
    void dropUnreachable(Instant now);
    double weightOf(size_t index) const;

    AdmissionPolicy m_policy;
    ConcurrencyLimit m_limit;
    RateLimiter m_rate;
    std::array<ClassQueue, workClassCount> m_classes;
    std::unordered_map<TicketId, WorkClass> m_waitingClass;
    std::unordered_map<TicketId, Running> m_running;
    std::unordered_map<uint32_t, WorkEstimate> m_estimates; // by workKey: one entry per route of the service
    ServiceTimeWindow m_serviceWideTimes { serviceWindow };
    std::deque<AdmissionRefusal> m_refusals; // dropped requests that takeRefusal() has not returned yet
    double m_virtualTime = 0; // highest virtual time at which a class was served
    double m_nonCriticalCredit = 0; // microseconds of work that the other classes may run ahead of critical work
};

static_assert(Admission<AdmissionQueue>);

} // namespace Gooseberrymill

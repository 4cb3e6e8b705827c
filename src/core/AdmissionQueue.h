// Concurrency limit and bounded queue of one upstream: classes, deadlines, early shedding.
//
// Usage: after each offer(), finish() and cancel(), call takeReady() until it is empty. Call
// takeRefusal() until it is empty at the same moments and on a timer while requests wait.
#pragma once

#include "Admission.h"
#include <deque>
#include <set>
#include <unordered_map>

namespace Gooseberrymill {

//-----------------------------------------------------------------------------
// [SECTION] ServiceTimeWindow
//-----------------------------------------------------------------------------

// Quantiles of the last service times, exact over a window. A window forgets a slow period after a fixed
// number of samples.
class ServiceTimeWindow {
public:
    explicit ServiceTimeWindow(size_t window);

    void add(Duration serviceTime);
    bool isKnown() const { return !m_samples.empty(); }
    Duration median() const { return m_median; } // zero before the first sample
    Duration high() const { return m_high; } // nine of ten are shorter

private:
    void update();

    size_t m_window;
    size_t m_next = 0;
    uint32_t m_sinceUpdate = 0;
    std::vector<Duration> m_samples;
    std::vector<Duration> m_sorted;
    Duration m_median {};
    Duration m_high {};
};

//-----------------------------------------------------------------------------
// [SECTION] ConcurrencyLimit
//-----------------------------------------------------------------------------

// Effective limit of an upstream whose declared slots may be inaccurate. When responses at the limit
// take clearly longer than responses at half of it, the upstream does not have that many slots, and the
// limit is reduced. It is probed upward again, up to the declared slots.
class ConcurrencyLimit {
public:
    explicit ConcurrencyLimit(uint32_t slots);

    // A response: `logRatio` is the logarithm of its service time against the usual one of its work.
    void record(uint32_t concurrency, double logRatio, Instant now);
    void setSlots(uint32_t slots); // keeps a limit that was reduced below both numbers
    uint32_t value() const { return m_limit; }

private:
    struct Level {
        double mean = 0;
        uint32_t count = 0;
        Instant updatedAt {};
    };

    std::optional<double> meanLogRatio(uint32_t first, uint32_t last, Instant now) const;
    void adapt(Instant now);

    uint32_t m_slots;
    uint32_t m_limit;
    std::vector<Level> m_levels; // by concurrency, 1..slots
    Instant m_changedAt {};
    Instant m_checkedAt {};
};

//-----------------------------------------------------------------------------
// [SECTION] AdmissionQueue
//-----------------------------------------------------------------------------

class AdmissionQueue {
public:
    explicit AdmissionQueue(const Service& service);
    AdmissionQueue(uint32_t slots, const AdmissionPolicy& policy);

    // Takes effect for what is waiting too. Requests beyond a lower limit run on or wait on.
    void reconfigure(uint32_t slots, const AdmissionPolicy& policy);

    AdmissionDecision offer(const AdmissionRequest& request, Instant now);
    void finish(TicketId ticket, Duration serviceTime, bool completed, Instant now);
    bool cancel(TicketId ticket, Instant now);
    std::optional<TicketId> takeReady(Instant now);
    std::optional<AdmissionRefusal> takeRefusal(Instant now);
    LoadReport report() const;

    uint32_t limit() const { return m_limit.value(); }
    Duration highServiceTime(uint32_t workKey, Instant now) const; // zero while unknown
    bool isLong(uint32_t workKey, Instant now) const; // expected to be long against the service's median

private:
    struct Waiting {
        Instant deadline;
        TicketId ticket = 0;
        uint32_t workKey = 0;
        WorkClass workClass = WorkClass::Interactive;
        Duration expected {};
        bool operator<(const Waiting& other) const
        {
            return std::tie(deadline, ticket) < std::tie(other.deadline, other.ticket);
        }
    };
    using Lane = std::set<Waiting>; // earliest deadline first

    struct ClassQueue {
        Lane shortWork;
        Lane longWork;
        Duration work {}; // sum of expected service times
        double virtualTime = 0; // service received, divided by the weight
        bool empty() const { return shortWork.empty() && longWork.empty(); }
    };

    struct Running {
        uint32_t workKey = 0;
        uint32_t concurrency = 0; // at dispatch, itself included
        bool isLong = false;
        Instant startedAt;
    };

    struct WorkEstimate {
        ServiceTimeWindow serviceTimes { workWindow };
        Instant updatedAt {};
    };

    static constexpr size_t workWindow = 64; // samples per kind of work
    static constexpr size_t serviceWindow = 256; // samples of the whole service

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
    AdmissionDecision refuse(RefusalReason reason, Duration wait) const;
    void dropUnreachable(Instant now);
    double weightOf(size_t index) const;

    AdmissionPolicy m_policy;
    ConcurrencyLimit m_limit;
    std::array<ClassQueue, workClassCount> m_classes;
    std::unordered_map<TicketId, WorkClass> m_waitingClass;
    std::unordered_map<TicketId, Running> m_running;
    std::unordered_map<uint32_t, WorkEstimate> m_estimates; // by workKey: one per route of the service
    ServiceTimeWindow m_serviceWideTimes { serviceWindow };
    std::deque<AdmissionRefusal> m_refusals;
    double m_virtualTime = 0; // of the class served last
    double m_nonCriticalCredit = 0; // microseconds that classes other than critical may claim ahead of it
};

static_assert(Admission<AdmissionQueue>);

} // namespace Gooseberrymill

#define BOOST_TEST_MODULE AdmissionQueue
#include "Gooseberrymill.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <random>
#include <rapidcheck/boost_test.h>

using namespace Gooseberrymill;

namespace {

Instant at(Duration time) { return Instant(1000s + time); }

AdmissionRequest request(TicketId ticket, WorkClass workClass, Instant deadline, uint32_t workKey = 1)
{
    return { ticket, workClass, workKey, deadline };
}

Service makeService(uint32_t slots)
{
    Service service;
    service.slots = slots;
    return service;
}

// Feeds the queue with service times of one kind of work. Tickets count down from UINT64_MAX, so they do not collide
// with those of the tests.
void trainEstimate(AdmissionQueue& queue, uint32_t workKey, Duration serviceTime, Instant now, int samples = 200)
{
    static TicketId ticket = UINT64_MAX;
    for (int i = 0; i < samples; ++i) {
        --ticket;
        BOOST_REQUIRE((queue.offer(request(ticket, WorkClass::Interactive, now + 1h, workKey), now).verdict
            == AdmissionVerdict::Dispatch));
        queue.finish(ticket, serviceTime, true, now);
    }
}

std::vector<TicketId> takeAll(AdmissionQueue& queue, Instant now)
{
    std::vector<TicketId> tickets;
    while (auto ticket = queue.takeReady(now))
        tickets.push_back(*ticket);
    return tickets;
}

std::map<TicketId, RefusalReason> takeRefusals(AdmissionQueue& queue, Instant now)
{
    std::map<TicketId, RefusalReason> refusals;
    while (auto refusal = queue.takeRefusal(now))
        refusals[refusal->ticket] = refusal->reason;
    return refusals;
}

} // namespace

// Guards against critical requests (payouts) waiting behind reads when all slots are in use.
BOOST_AUTO_TEST_CASE(criticalGoesFirst)
{
    AdmissionQueue queue(1, {});
    BOOST_TEST(
        (queue.offer(request(1, WorkClass::Interactive, at(10s)), at(0s)).verdict == AdmissionVerdict::Dispatch));
    queue.offer(request(2, WorkClass::Interactive, at(10s)), at(0s));
    queue.offer(request(3, WorkClass::Critical, at(20s)), at(0s));
    queue.finish(1, 10ms, true, at(10ms));
    BOOST_TEST(queue.takeReady(at(10ms)).value() == 3U);

    FifoAdmission fifo(makeService(1));
    fifo.offer(request(1, WorkClass::Interactive, at(10s)), at(0s));
    fifo.offer(request(2, WorkClass::Interactive, at(10s)), at(0s));
    fifo.offer(request(3, WorkClass::Critical, at(20s)), at(0s));
    fifo.finish(1, 10ms, true, at(10ms));
    BOOST_TEST(fifo.takeReady(at(10ms)).value() == 2U); // the baseline dispatches in order of arrival
}

// Guards against a request with an early deadline being dispatched after one of its class with a later deadline.
BOOST_AUTO_TEST_CASE(earliestDeadlineGoesFirstInsideAClass)
{
    AdmissionQueue queue(1, {});
    queue.offer(request(1, WorkClass::Patient, at(60s)), at(0s));
    queue.offer(request(2, WorkClass::Patient, at(50s)), at(0s));
    queue.offer(request(3, WorkClass::Patient, at(30s)), at(0s));
    queue.finish(1, 10ms, true, at(10ms));
    BOOST_TEST(queue.takeReady(at(10ms)).value() == 3U);
}

// Guards against a class that never gets a slot while other classes keep the queue busy (design 1.2: no class starves),
// and against shares that ignore the configured weights.
BOOST_AUTO_TEST_CASE(noClassStarves)
{
    AdmissionPolicy policy;
    policy.queueLimit = 100000;
    AdmissionQueue queue(1, policy);
    trainEstimate(queue, 1, 10ms, at(0s));
    TicketId next = 0;
    std::map<TicketId, WorkClass> classes;
    auto add = [&](WorkClass workClass) {
        classes[++next] = workClass;
        queue.offer(request(next, workClass, at(10h)), at(0s));
    };
    add(WorkClass::Critical);
    for (int i = 0; i < 1000; ++i) {
        for (size_t c = 0; c < workClassCount; ++c)
            add(static_cast<WorkClass>(c));
    }
    std::array<int, workClassCount> served {};
    TicketId running = 1;
    constexpr int turns = 900;
    for (int i = 0; i < turns; ++i) {
        queue.finish(running, 10ms, true, at(0s));
        running = queue.takeReady(at(0s)).value();
        ++served[static_cast<size_t>(classes[running])];
    }
    for (int count : served)
        BOOST_TEST(count > 0);
    BOOST_TEST(served[0] > turns * 0.9);
    double ratio = static_cast<double>(served[1]) / served[3];
    BOOST_TEST(ratio > 2.0); // the configured weights are 4 and 1
    BOOST_TEST(served[1] > served[2]);
}

// Guards against a request that cannot meet its deadline using a slot or a place in the queue.
BOOST_AUTO_TEST_CASE(shedsEarlyWhatCannotMakeItsDeadline)
{
    AdmissionQueue queue(1, {});
    trainEstimate(queue, 1, 100ms, at(0s));
    // Only 20 requests of 100 ms fit into 2 s, so the rest of the 40 must be refused.
    int accepted = 0;
    for (TicketId i = 1; i <= 40; ++i) {
        AdmissionDecision decision = queue.offer(request(i, WorkClass::Interactive, at(2s)), at(0s));
        if (decision.verdict != AdmissionVerdict::Refuse) {
            ++accepted;
            continue;
        }
        BOOST_TEST((decision.reason == RefusalReason::DeadlineUnreachable));
        BOOST_TEST((decision.retryAfter >= Duration(1s)));
    }
    BOOST_TEST(accepted >= 18);
    BOOST_TEST(accepted <= 20);
    AdmissionDecision urgent = queue.offer(request(50, WorkClass::Interactive, at(50ms)), at(0s));
    BOOST_TEST((urgent.reason == RefusalReason::DeadlineUnreachable));
    AdmissionDecision inTime = queue.offer(request(21, WorkClass::Patient, at(30s)), at(0s));
    BOOST_TEST((inTime.verdict == AdmissionVerdict::Queued));
}

// Guards against a request that every upstream with a free slot refuses because the slowest work of its kind would miss
// the deadline. A second attempt has less time left than nine of ten requests need, but succeeds more often than not.
BOOST_AUTO_TEST_CASE(freeSlotTakesWorkThatProbablyEndsInTime)
{
    AdmissionQueue queue(2, {});
    for (int i = 0; i < 25; ++i) {
        trainEstimate(queue, 1, 500ms, at(0s), 4);
        trainEstimate(queue, 1, 3500ms, at(0s), 1);
    }
    BOOST_REQUIRE(
        (queue.offer(request(1, WorkClass::Interactive, at(20s)), at(0s)).verdict == AdmissionVerdict::Dispatch));
    BOOST_TEST((queue.offer(request(2, WorkClass::Interactive, at(2s)), at(0s)).verdict == AdmissionVerdict::Dispatch));
    queue.finish(2, 500ms, true, at(500ms));
    AdmissionDecision hopeless = queue.offer(request(3, WorkClass::Interactive, at(900ms)), at(500ms));
    BOOST_TEST((hopeless.reason == RefusalReason::DeadlineUnreachable));
}

// Guards against a waiting request being dispatched although it can no longer meet its deadline.
BOOST_AUTO_TEST_CASE(waitingRequestExpiresBeforeItsDeadline)
{
    AdmissionQueue queue(1, {});
    trainEstimate(queue, 1, 100ms, at(0s));
    queue.offer(request(1, WorkClass::Interactive, at(10s)), at(0s));
    queue.offer(request(2, WorkClass::Interactive, at(400ms)), at(0s));
    BOOST_TEST(takeRefusals(queue, at(100ms)).empty());
    auto refusals = takeRefusals(queue, at(350ms)); // 50 ms are left for 100 ms of work
    BOOST_REQUIRE(refusals.contains(2));
    BOOST_TEST((refusals[2] == RefusalReason::DeadlineUnreachable));
    queue.finish(1, 350ms, true, at(350ms));
    BOOST_TEST(takeAll(queue, at(350ms)).empty());
}

// Guards against an estimate from a slow period of the upstream refusing all work forever.
BOOST_AUTO_TEST_CASE(idleUpstreamTriesAgainAfterSlowPeriod)
{
    AdmissionQueue queue(2, {});
    trainEstimate(queue, 1, 5s, at(0s));
    AdmissionDecision decision = queue.offer(request(1, WorkClass::Interactive, at(1s)), at(0s));
    BOOST_TEST((decision.verdict == AdmissionVerdict::Dispatch));
    queue.finish(1, 10ms, true, at(10ms));
    trainEstimate(queue, 1, 10ms, at(20ms));
    BOOST_TEST((queue.highServiceTime(1, at(20ms)) < Duration(100ms)));
}

// Guards against memory use and waiting time that grow without bound. The baseline queue has no bound.
BOOST_AUTO_TEST_CASE(queueIsBoundedAndDropsLeastImportant)
{
    AdmissionPolicy policy;
    policy.queueLimit = 3;
    AdmissionQueue queue(1, policy);
    queue.offer(request(1, WorkClass::Critical, at(10s)), at(0s));
    queue.offer(request(2, WorkClass::Patient, at(20s)), at(0s));
    queue.offer(request(3, WorkClass::Background, at(10s)), at(0s));
    queue.offer(request(4, WorkClass::Background, at(20s)), at(0s));
    AdmissionDecision same = queue.offer(request(5, WorkClass::Background, at(5s)), at(0s));
    BOOST_TEST((same.verdict == AdmissionVerdict::Refuse));
    BOOST_TEST((same.reason == RefusalReason::QueueFull));
    BOOST_TEST((queue.offer(request(6, WorkClass::Critical, at(10s)), at(0s)).verdict == AdmissionVerdict::Queued));
    auto refusals = takeRefusals(queue, at(0s));
    BOOST_TEST(refusals.size() == 1U);
    BOOST_REQUIRE(refusals.contains(4)); // the request of the lowest class with the latest deadline
    BOOST_TEST((refusals[4] == RefusalReason::QueueFull));
    BOOST_TEST(queue.report().queued == 3U);

    FifoAdmission fifo(makeService(1));
    for (TicketId i = 1; i <= 1000; ++i)
        fifo.offer(request(i, WorkClass::Background, at(10s)), at(0s));
    BOOST_TEST(fifo.report().queued == 999U);
}

// Guards against stragglers holding every slot while short requests wait (head-of-line blocking).
BOOST_AUTO_TEST_CASE(longWorkLeavesReservedSlots)
{
    AdmissionPolicy policy;
    policy.shortWorkSlots = 1;
    AdmissionQueue queue(4, policy);
    trainEstimate(queue, 1, 10ms, at(0s));
    trainEstimate(queue, 2, 500ms, at(0s), 50);
    trainEstimate(queue, 1, 10ms, at(0s));
    BOOST_TEST(queue.isLong(2, at(0s)));
    BOOST_TEST(!queue.isLong(1, at(0s)));
    int dispatched = 0;
    for (TicketId i = 1; i <= 10; ++i) {
        auto decision = queue.offer(request(i, WorkClass::Interactive, at(1h), 2), at(0s));
        dispatched += decision.verdict == AdmissionVerdict::Dispatch;
    }
    BOOST_TEST(dispatched == 3);
    auto decision = queue.offer(request(100, WorkClass::Background, at(1h), 1), at(0s));
    BOOST_TEST((decision.verdict == AdmissionVerdict::Dispatch));
    queue.finish(100, 10ms, true, at(10ms));
    // Long work still proceeds: when a long request ends, the next long request gets its slot.
    queue.finish(1, 500ms, true, at(500ms));
    BOOST_TEST(queue.takeReady(at(500ms)).value() == 4U);
}

// Guards against the slots reserved for short work blocking a service that has only long work.
BOOST_AUTO_TEST_CASE(longWorkRunsWithASingleSlot)
{
    AdmissionPolicy policy;
    policy.shortWorkSlots = 4;
    AdmissionQueue queue(1, policy);
    trainEstimate(queue, 1, 10ms, at(0s));
    trainEstimate(queue, 2, 500ms, at(0s), 50);
    trainEstimate(queue, 1, 10ms, at(0s));
    auto decision = queue.offer(request(1, WorkClass::Interactive, at(1h), 2), at(0s));
    BOOST_TEST((decision.verdict == AdmissionVerdict::Dispatch));
}

// Guards against a request being dispatched after its caller has disconnected.
BOOST_AUTO_TEST_CASE(cancelledRequestIsNotDispatched)
{
    AdmissionQueue queue(1, {});
    queue.offer(request(1, WorkClass::Interactive, at(10s)), at(0s));
    queue.offer(request(2, WorkClass::Interactive, at(10s)), at(0s));
    BOOST_TEST(queue.cancel(2, at(0s)));
    BOOST_TEST(!queue.cancel(2, at(0s)));
    BOOST_TEST(!queue.cancel(1, at(0s))); // already dispatched
    queue.finish(1, 10ms, true, at(10ms));
    BOOST_TEST(!queue.takeReady(at(10ms)));
}

namespace {

// Simulates an upstream with `realSlots` slots; above them the service time grows in proportion to the concurrency.
// Returns the final limit.
uint32_t limitAfterLoad(AdmissionQueue& queue, double realSlots, Duration loadTime, Instant& now, uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::lognormal_distribution<> spread(0, 0.5);
    std::multimap<Instant, std::pair<TicketId, Instant>> running;
    static TicketId ticket = 0;
    Instant end = now + loadTime;
    auto start = [&](TicketId id) {
        double slowdown = std::max(1.0, static_cast<double>(running.size() + 1) / realSlots);
        Duration time(static_cast<int64_t>(50'000 * spread(random) * slowdown));
        running.emplace(now + time, std::pair(id, now));
    };
    int phase = 0;
    while (now < end) {
        now += 5ms;
        while (!running.empty() && running.begin()->first <= now) {
            auto [id, started] = running.begin()->second;
            Duration time = running.begin()->first - started;
            running.erase(running.begin());
            queue.finish(id, time, true, now);
        }
        while (auto id = queue.takeReady(now))
            start(*id);
        while (queue.takeRefusal(now)) { }
        // The load alternates every second between light and more than the upstream can handle.
        bool busy = (++phase / 200) % 2;
        uint32_t wanted = busy ? 20 : 2;
        while (queue.report().running + queue.report().queued < wanted) {
            ++ticket;
            auto decision = queue.offer(request(ticket, WorkClass::Interactive, now + 1h), now);
            if (decision.verdict == AdmissionVerdict::Dispatch)
                start(ticket);
            else if (decision.verdict == AdmissionVerdict::Refuse)
                break;
        }
    }
    for (const auto& [finished, request] : running)
        queue.finish(request.first, finished - request.second, true, std::max(now, finished));
    now += 10s;
    while (auto id = queue.takeReady(now))
        queue.finish(*id, 50ms, false, now);
    return queue.limit();
}

} // namespace

// Guards against a limit that follows declared slots which the upstream does not have, stays low after the upstream has
// recovered, or exceeds the declared slots.
BOOST_AUTO_TEST_CASE(limitFollowsRealSlots)
{
    for (uint64_t seed = 1; seed <= 5; ++seed) {
        AdmissionQueue queue(8, {});
        Instant now = at(0s);
        uint32_t low = limitAfterLoad(queue, 3, 120s, now, seed);
        BOOST_TEST(low <= 5U, "seed " << seed << " limit " << low);
        BOOST_TEST(low >= 2U, "seed " << seed << " limit " << low);
        uint32_t recovered = limitAfterLoad(queue, 8, 180s, now, seed);
        BOOST_TEST(recovered >= 7U, "seed " << seed << " limit " << recovered);
        BOOST_TEST(recovered <= 8U);
    }
}

// Guards against a limit that is decreased although the declared slots are accurate.
BOOST_AUTO_TEST_CASE(accurateSlotsKeepTheirLimit)
{
    for (uint64_t seed = 1; seed <= 5; ++seed) {
        AdmissionQueue queue(7, {});
        Instant now = at(0s);
        BOOST_TEST(limitAfterLoad(queue, 7, 120s, now, seed) >= 6U, "seed " << seed);
    }
}

// Guards against a ticket that is lost or returned twice, more running requests than declared slots, and a queue longer
// than its limit, for any order of calls.
RC_BOOST_PROP(everyTicketIsAnsweredOnce, (const std::vector<std::tuple<uint8_t, uint8_t, uint16_t>>& steps))
{
    AdmissionPolicy policy;
    policy.queueLimit = 5;
    AdmissionQueue queue(3, policy);
    std::map<TicketId, Instant> running;
    std::map<TicketId, Instant> waiting;
    Instant now = at(0s);
    TicketId ticket = 0;
    auto drain = [&] {
        while (auto refusal = queue.takeRefusal(now))
            RC_ASSERT(waiting.erase(refusal->ticket) == 1U);
        while (auto ready = queue.takeReady(now)) {
            RC_ASSERT(waiting.erase(*ready) == 1U);
            running.emplace(*ready, now);
        }
        while (auto refusal = queue.takeRefusal(now))
            RC_ASSERT(waiting.erase(refusal->ticket) == 1U);
    };
    for (auto [action, choice, pause] : steps) {
        now += Duration(pause % 500) * 100;
        if (action % 4 < 2) {
            ++ticket;
            auto workClass = static_cast<WorkClass>(choice % workClassCount);
            auto decision
                = queue.offer(request(ticket, workClass, now + Duration(1ms) * (pause % 700), choice % 3), now);
            if (decision.verdict == AdmissionVerdict::Dispatch)
                running.emplace(ticket, now);
            else if (decision.verdict == AdmissionVerdict::Queued)
                waiting.emplace(ticket, now);
        } else if (action % 4 == 2 && !running.empty()) {
            auto it = std::next(running.begin(), static_cast<std::ptrdiff_t>(choice % running.size()));
            queue.finish(it->first, std::max(Duration(1), Duration(now - it->second)), choice % 5 != 0, now);
            running.erase(it);
        } else if (!waiting.empty()) {
            auto it = std::next(waiting.begin(), static_cast<std::ptrdiff_t>(choice % waiting.size()));
            RC_ASSERT(queue.cancel(it->first, now));
            waiting.erase(it);
        }
        drain();
        RC_ASSERT(queue.report().running == running.size());
        RC_ASSERT(queue.report().queued == waiting.size());
        RC_ASSERT(running.size() <= 3U);
        RC_ASSERT(waiting.size() <= 5U);
    }
}

// Guards against a queue that keeps its initial slots and policy when the configuration changes.
BOOST_AUTO_TEST_CASE(reconfigurationAppliesToARunningQueue)
{
    AdmissionQueue queue(2, {});
    for (TicketId ticket : { 1U, 2U, 3U, 4U })
        queue.offer(request(ticket, WorkClass::Interactive, at(1h)), at(0s));
    BOOST_TEST(queue.limit() == 2U);
    AdmissionPolicy policy;
    policy.queueLimit = 2;
    queue.reconfigure(4, policy);
    BOOST_TEST(queue.limit() == 4U);
    BOOST_TEST((takeAll(queue, at(0s)) == std::vector<TicketId> { 3, 4 }));
    queue.reconfigure(1, policy);
    BOOST_TEST(queue.limit() == 1U);
    for (TicketId ticket : { 5U, 6U })
        BOOST_TEST(
            (queue.offer(request(ticket, WorkClass::Interactive, at(1h)), at(0s)).verdict == AdmissionVerdict::Queued));
    BOOST_TEST((queue.offer(request(7, WorkClass::Interactive, at(1h)), at(0s)).reason == RefusalReason::QueueFull));
    for (TicketId ticket : { 1U, 2U, 3U })
        queue.finish(ticket, 10ms, true, at(10ms));
    BOOST_TEST(takeAll(queue, at(10ms)).empty()); // one request is still running, which is the new limit
    queue.finish(4, 10ms, true, at(10ms));
    BOOST_TEST((takeAll(queue, at(10ms)) == std::vector<TicketId> { 5 }));
}

// Guards against a rate limit that is exceeded when slots get free, and against one that idle upstreams ignore.
BOOST_AUTO_TEST_CASE(rateLimitBoundsDispatches)
{
    AdmissionQueue queue(makeService(8));
    queue.setRate(2, at(0s));
    int dispatched = 0;
    TicketId ticket = 0;
    for (Duration time {}; time < 10s; time += 10ms) {
        AdmissionRequest next = request(++ticket, WorkClass::Critical, at(time + 10s));
        next.mayWaitForRate = ticket % 3 == 0;
        AdmissionDecision decision = queue.offer(next, at(time));
        std::vector<TicketId> started = takeAll(queue, at(time));
        if (decision.verdict == AdmissionVerdict::Dispatch)
            started.push_back(ticket);
        for (TicketId it : started)
            queue.finish(it, 1ms, true, at(time));
        dispatched += static_cast<int>(started.size());
    }
    BOOST_TEST(dispatched <= 20);
    BOOST_TEST(dispatched >= 19);
}

// Guards against a request that waits for the rate although another upstream could take it, or longer than a moment.
BOOST_AUTO_TEST_CASE(onlyLastChoicesWaitForTheRate)
{
    AdmissionQueue queue(makeService(8));
    queue.setRate(2, at(0s));
    AdmissionDecision decision = queue.offer(request(1, WorkClass::Critical, at(10s)), at(0s));
    BOOST_TEST((decision.verdict == AdmissionVerdict::Refuse));
    BOOST_TEST((decision.reason == RefusalReason::RateLimited));
    AdmissionRequest last = request(2, WorkClass::Critical, at(10s));
    last.mayWaitForRate = true;
    BOOST_TEST((queue.offer(last, at(0s)).verdict == AdmissionVerdict::Queued));
    last.ticket = 3;
    BOOST_TEST((queue.offer(last, at(0s)).verdict == AdmissionVerdict::Queued));
    last.ticket = 4; // would wait for 1.5 s
    decision = queue.offer(last, at(0s));
    BOOST_TEST((decision.reason == RefusalReason::RateLimited));
    BOOST_TEST((decision.retryAfter == 1500ms));
    BOOST_TEST(takeAll(queue, at(499ms)).empty());
    BOOST_TEST(takeAll(queue, at(500ms)) == std::vector<TicketId> { 2 });
    last.ticket = 5;
    last.deadline = at(700ms); // before its token
    BOOST_TEST((queue.offer(last, at(500ms)).verdict == AdmissionVerdict::Refuse));
    BOOST_TEST(takeAll(queue, at(1s)) == std::vector<TicketId> { 3 });
}

#define BOOST_TEST_MODULE AuditTrail
#include "AuditTrail.h"
#include "core/MemoryStore.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace Gooseberrymill;

namespace {

AuditEvent makeEvent(int number)
{
    AuditEvent event;
    event.kind = AuditEventKind::Ejection;
    event.time = WallTime(std::chrono::milliseconds(number));
    event.subject = std::to_string(number);
    event.reason = "slow";
    return event;
}

std::vector<int> storedNumbers(MemoryStore& store, uint64_t* dropped = nullptr)
{
    std::vector<int> numbers;
    readAudit(store, [&](const Result<AuditHistory>& result) {
        BOOST_REQUIRE(result);
        BOOST_TEST(result.value().damagedBatches == 0U);
        for (const AuditEvent& event : result.value().events)
            numbers.push_back(std::stoi(event.subject));
        if (dropped)
            *dropped = result.value().dropped;
    });
    store.deliverAll();
    return numbers;
}

std::vector<int> range(int first, int last)
{
    std::vector<int> numbers;
    for (int i = first; i <= last; ++i)
        numbers.push_back(i);
    return numbers;
}

// Simulated clock. run() continues from the end of the last run and ticks once per second.
struct Clock {
    Instant now {};
    void run(AuditTrail<MemoryStore>& trail, MemoryStore& store, int seconds)
    {
        for (int i = 0; i < seconds; ++i) {
            now += 1s;
            trail.tick(now);
            store.deliverAll();
        }
    }
};

constexpr AuditLimits limits { 50, 10, 5s, 60s };

} // namespace

// Guards against events that change when they are written and read back.
RC_BOOST_PROP(batchRoundTrips, ())
{
    auto text = rc::gen::container<std::string>(rc::gen::inRange<char>(' ', '~'));
    AuditBatch batch { { 1, *rc::gen::arbitrary<uint64_t>() }, *rc::gen::arbitrary<uint32_t>(), {} };
    auto count = *rc::gen::inRange(0, 20);
    for (int i = 0; i < count; ++i) {
        auto kind = static_cast<AuditEventKind>(*rc::gen::inRange<size_t>(0, auditEventKindCount));
        batch.events.push_back({ kind, WallTime(std::chrono::milliseconds(i)), *text, *text, *text, *text, *text });
    }
    auto parsed = parseAuditBatch(printAuditBatch(batch));
    RC_ASSERT(parsed.has_value());
    RC_ASSERT(parsed.value() == batch);
}

// Guards against a batch above the store's limit of 1 MB.
BOOST_AUTO_TEST_CASE(largestBatchFitsIntoObject)
{
    AuditBatch batch;
    std::string worst(10'000, '\x01'); // JSON escapes each byte with six characters
    AuditEvent event { AuditEventKind::QueryOfDeath, {}, worst, worst, worst, worst, worst };
    batch.events.assign(AuditLimits().maxBatchEvents, truncateTexts(event));
    constexpr size_t maxObjectBytes = 1'000'000;
    BOOST_TEST(printAuditBatch(batch).size() < maxObjectBytes);
}

// Guards against a store call for each event.
BOOST_AUTO_TEST_CASE(writesInBatches)
{
    MemoryStore store;
    AuditTrail<MemoryStore> trail(store, "n1", 1000, limits);
    Clock clock;
    for (int i = 1; i <= 8; ++i)
        trail.record(makeEvent(i));
    BOOST_TEST(store.callCount() == 0U); // recording does not touch the store
    clock.run(trail, store, 20);
    BOOST_TEST(store.callCount() == 1U);
    BOOST_TEST(storedNumbers(store) == range(1, 8), boost::test_tools::per_element());
    BOOST_TEST(trail.bufferedEvents() == 0U);
}

// Guards against losing events in a store outage although the buffer has room, and against unbounded memory use.
BOOST_AUTO_TEST_CASE(outageKeepsNewestEvents)
{
    MemoryStore store;
    store.faults.isDown = true;
    AuditTrail<MemoryStore> trail(store, "n1", 1, limits);
    Clock clock;
    for (int i = 1; i <= 200; ++i) {
        trail.record(makeEvent(i));
        clock.run(trail, store, 60);
    }
    BOOST_TEST(trail.bufferedEvents() <= limits.maxBufferedEvents + limits.maxBatchEvents);
    BOOST_TEST(store.callCount() < 250U); // backoff prevents a call per tick during 200 minutes of outage
    store.faults.isDown = false;
    clock.run(trail, store, 300);
    uint64_t dropped = 0;
    std::vector<int> numbers = storedNumbers(store, &dropped);
    BOOST_REQUIRE(numbers.size() >= limits.maxBufferedEvents);
    std::vector<int> newest(numbers.end() - 50, numbers.end());
    BOOST_TEST(newest == range(151, 200), boost::test_tools::per_element());
    BOOST_TEST(dropped == trail.droppedEvents());
    BOOST_TEST(dropped + numbers.size() == 200U);
}

// Guards against events that are stored twice or not at all after the response to a write was lost.
BOOST_AUTO_TEST_CASE(lostAnswersNeitherRepeatNorLoseEvents)
{
    MemoryStore store;
    AuditTrail<MemoryStore> trail(store, "n1", 1, limits);
    Clock clock;
    for (int i = 1; i <= 30; ++i) {
        if (i % 3 == 0)
            store.faults.lostAnswers = 1;
        if (i % 5 == 0)
            store.faults.lostWrites = 1;
        trail.record(makeEvent(i));
        clock.run(trail, store, 3);
    }
    clock.run(trail, store, 300);
    BOOST_TEST(storedNumbers(store) == range(1, 30), boost::test_tools::per_element());
}

// Guards against a restarted node that overwrites the batches of its earlier run, or is blocked by them.
BOOST_AUTO_TEST_CASE(numbersOfEarlierRunAreSkipped)
{
    MemoryStore store;
    Clock clock;
    for (int run = 0; run < 3; ++run) {
        AuditTrail<MemoryStore> trail(store, "n1", 1, limits);
        trail.record(makeEvent(run));
        clock.run(trail, store, 20);
        BOOST_TEST(trail.bufferedEvents() == 0U);
    }
    BOOST_TEST(storedNumbers(store) == range(0, 2), boost::test_tools::per_element());
}

// Guards against losing events in a graceful shutdown, and against a shutdown that waits for a store outage to end.
BOOST_AUTO_TEST_CASE(flushWritesEverythingOrFails)
{
    MemoryStore store;
    AuditTrail<MemoryStore> trail(store, "n1", 1, limits);
    for (int i = 1; i <= 35; ++i)
        trail.record(makeEvent(i));
    std::optional<bool> result;
    trail.flush([&](bool isComplete) { result = isComplete; });
    store.deliverAll();
    BOOST_TEST((result == true));
    BOOST_TEST(storedNumbers(store) == range(1, 35), boost::test_tools::per_element());
    trail.record(makeEvent(36));
    store.faults.isDown = true;
    trail.flush([&](bool isComplete) { result = isComplete; });
    store.deliverAll();
    BOOST_TEST((result == false));
}

// Guards against one damaged object that makes the rest of the trail unreadable.
BOOST_AUTO_TEST_CASE(damagedBatchesAreCounted)
{
    std::vector<StoredObject> objects { { "audit", "n1-1", 1, "{" }, { "audit", "n1-2", 2, "{\"batch\": 3}" },
        { "audit", "n1-3", 3, printAuditBatch({ { 1, 2 }, 0, { makeEvent(7) } }) } };
    AuditHistory history = mergeAuditBatches(objects);
    BOOST_TEST(history.damagedBatches == 2U);
    BOOST_TEST(history.events.size() == 1U);
}

// Guards against an event kind without a name.
BOOST_AUTO_TEST_CASE(everyKindHasName)
{
    for (size_t i = 0; i < auditEventKindCount; ++i) {
        auto kind = static_cast<AuditEventKind>(i);
        BOOST_TEST((parseAuditEventKind(toString(kind)) == kind));
    }
}

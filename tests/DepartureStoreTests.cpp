// Departures in the object store: acknowledged only when they are kept, and kept through lost answers, restarts of the
// node and of the store.
#define BOOST_TEST_MODULE DepartureStore
#include "core/MemoryStore.h"
#include "node/DepartureStore.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace Gooseberrymill;

namespace {

constexpr const char* kind = "nodes-cantabria";
const UpstreamDeparture first { "i-1", 1000 };
const UpstreamDeparture second { "i-2", 2000 };

enum class Answer : uint8_t { None, Acknowledged, Refused };

struct Fixture {
    MemoryStore memory;
    Instant now { std::chrono::hours(1) };
    WallTime wall { std::chrono::hours(500'000) };
    std::unique_ptr<DepartureStore<MemoryStore>> store = makeStore();

    std::unique_ptr<DepartureStore<MemoryStore>> makeStore(const std::string& node = "node-a")
    {
        DepartureStoreOptions options;
        options.kind = kind;
        options.node = node;
        return std::make_unique<DepartureStore<MemoryStore>>(memory, options,
            DepartureStore<MemoryStore>::Clocks { [this] { return now; }, [this] { return wall; } }, 1);
    }

    // The process ends; the next one of the same node reads the list.
    std::vector<UpstreamDeparture> restart()
    {
        store = makeStore();
        memory.deliverAll();
        return store->load(listed());
    }

    std::shared_ptr<Answer> keep(const UpstreamDeparture& departure) const
    {
        auto answer = std::make_shared<Answer>(Answer::None);
        store->keep(departure, [answer](const Result<void>& result) {
            BOOST_TEST((*answer == Answer::None)); // answered once
            *answer = result ? Answer::Acknowledged : Answer::Refused;
        });
        return answer;
    }

    void pass(Duration time)
    {
        constexpr Duration step = 100ms;
        for (Duration passed {}; passed < time; passed += step) {
            now += step;
            wall += std::chrono::duration_cast<std::chrono::milliseconds>(step);
            store->tick();
            memory.deliverAll();
        }
    }

    std::vector<StoredObject> listed()
    {
        std::vector<StoredObject> objects;
        memory.list(kind, [&](const Result<std::vector<StoredObject>>& result) { objects = result.value(); });
        memory.deliverAll();
        return objects;
    }

    std::vector<UpstreamDeparture> stored()
    {
        auto objects = listed();
        return objects.empty() ? std::vector<UpstreamDeparture>()
                               : parseDepartureObject(objects.front().value)->departures;
    }
};

using Departures = std::vector<UpstreamDeparture>;

} // namespace

BOOST_FIXTURE_TEST_SUITE(departures, Fixture)

// Guards against an acknowledgement that ends with the memory of the nodes.
BOOST_AUTO_TEST_CASE(acknowledgedOnlyWhenStored)
{
    auto answer = keep(first);
    BOOST_TEST((*answer == Answer::None));
    memory.deliverAll();
    BOOST_TEST((*answer == Answer::Acknowledged));
    BOOST_TEST((restart() == Departures { first }));
}

// Guards against an acknowledgement that comes too late to count, or twice.
BOOST_AUTO_TEST_CASE(refusedWhileTheStoreIsAwayAndKeptAfterwards)
{
    memory.faults.isDown = true;
    auto answer = keep(first);
    pass(900ms);
    BOOST_TEST((*answer == Answer::Refused));
    memory.faults.isDown = false;
    pass(DepartureStoreOptions {}.maxRetryDelay);
    BOOST_TEST((stored() == Departures { first }));
    BOOST_TEST((*keep(first) == Answer::Acknowledged)); // at once
}

// Guards against a store that never answers and an upstream that is never answered.
BOOST_AUTO_TEST_CASE(refusedWhenTheStoreDoesNotAnswer)
{
    auto answer = keep(first);
    now += 1s;
    store->tick();
    BOOST_TEST((*answer == Answer::Refused));
    memory.deliverAll();
    BOOST_TEST((*keep(first) == Answer::Acknowledged));
}

// Guards against a store that is overwhelmed by retries while it is away, and against callers that wait in vain.
BOOST_AUTO_TEST_CASE(retriesBecomeRare)
{
    memory.faults.isDown = true;
    keep(first);
    pass(62s);
    BOOST_TEST(memory.callCount() <= 13U); // at 0, 0.2, 0.6, 1.4, 3, 6.2 and 12.6 s, then every 8 s, and the ticks
    BOOST_TEST((*keep(first) == Answer::Refused)); // no attempt is due in time
    auto calls = memory.callCount();
    keep(second); // a new departure is worth one at once
    BOOST_TEST(memory.callCount() == calls + 1);
}

// Guards against a lost answer that loses the departure, or leaves it without an acknowledgement.
BOOST_AUTO_TEST_CASE(lostAnswersAndWritesAreRepeated)
{
    memory.faults.lostAnswers = 1;
    auto answer = keep(first);
    pass(500ms);
    BOOST_TEST((*answer == Answer::Acknowledged));
    memory.faults.lostWrites = 1;
    answer = keep(second);
    pass(500ms);
    BOOST_TEST((*answer == Answer::Acknowledged));
    BOOST_TEST((restart() == Departures { first, second }));
}

// Guards against a write of the earlier process that is executed late and is overwritten.
BOOST_AUTO_TEST_CASE(lateWriteOfAnEarlierProcessIsKept)
{
    auto earlier = std::exchange(store, makeStore());
    store->load(listed());
    earlier->keep(first, [](const Result<void>&) {});
    auto answer = keep(second);
    earlier.reset();
    pass(500ms);
    BOOST_TEST((*answer == Answer::Acknowledged));
    BOOST_TEST((stored() == Departures { first, second }));
}

// Guards against departures that a restarted node forgets when it writes its own next one.
BOOST_AUTO_TEST_CASE(departuresOfEarlierProcessesStay)
{
    keep(first);
    BOOST_TEST((restart() == Departures { first }));
    keep(second);
    memory.deliverAll();
    BOOST_TEST((restart() == Departures { first, second }));
}

// Guards against an older departure of the store that pushes out the one that is to be acknowledged.
BOOST_AUTO_TEST_CASE(newestDeparturesAreKept)
{
    for (size_t i = 0; i < maxDeparturesPerNode; ++i)
        keep({ "old-" + std::to_string(i), 1 });
    memory.deliverAll();
    store = makeStore(); // has not read the list
    auto answer = keep(first);
    pass(500ms);
    BOOST_TEST((*answer == Answer::Acknowledged));
    BOOST_TEST(stored().size() == maxDeparturesPerNode);
    BOOST_TEST((stored().back() == first));
}

// Guards against a store that came back from an older copy without what it had acknowledged.
BOOST_AUTO_TEST_CASE(restoredStoreIsWrittenAgain)
{
    keep(first);
    memory.deliverAll();
    auto lost = listed().front();
    memory.remove(kind, lost.name, lost.version, [](const Result<uint64_t>&) {});
    store->storeRestored();
    pass(2s);
    BOOST_TEST((stored() == Departures { first }));
}

// Guards against a departure that only peers know, after a restart while the store was away.
BOOST_AUTO_TEST_CASE(departureFromPeersIsStored)
{
    store->keep(first);
    BOOST_TEST(memory.callCount() == 0U); // the list may already contain it
    pass(2s);
    BOOST_TEST((stored() == Departures { first }));
}

// Guards against calls of the store on days without departures, and for repeated ones.
BOOST_AUTO_TEST_CASE(oneCallForEachDeparture)
{
    pass(60s);
    BOOST_TEST(memory.callCount() == 0U);
    for (int i = 0; i < 20; ++i) {
        keep(first);
        pass(1500ms);
    }
    BOOST_TEST(memory.callCount() == 1U);
}

// Guards against objects that stay in the store for good.
BOOST_AUTO_TEST_CASE(removedAfterItsLifetime)
{
    keep(first);
    pass(DepartureStoreOptions {}.lifetime - 1s);
    BOOST_TEST(!listed().empty());
    pass(2s);
    BOOST_TEST(listed().empty());
    auto answer = keep(second);
    memory.deliverAll();
    BOOST_TEST((*answer == Answer::Acknowledged));
    BOOST_TEST((stored() == Departures { second }));
}

// Guards against objects of nodes that are gone for good, and against the removal of others.
BOOST_AUTO_TEST_CASE(leftoversOfGoneNodesAreRemoved)
{
    memory.put(kind, "node-z", R"({"incarnation":"x"})", 0, [](const Result<uint64_t>&) {});
    memory.put(kind, "_departures.odd", R"({"departures":7})", 0, [](const Result<uint64_t>&) {});
    for (const char* node : { "node-b", "node-c", "node-d", "node-e" })
        makeStore(node)->keep(first, [](const Result<void>&) {});
    memory.deliverAll();
    auto remove = [&] {
        store->removeLeftovers(listed(), [](std::string_view node) { return node == "node-b"; });
        memory.deliverAll();
    };
    remove();
    BOOST_TEST(listed().size() == 6U);
    wall += std::chrono::minutes(16);
    remove();
    BOOST_TEST(listed().size() == 4U); // a few at a time
    remove();
    remove();
    BOOST_TEST(listed().size() == 3U);
    BOOST_TEST(listed().at(0).name == "_departures.node-b");
}

// Guards against a time of another writer that overflows: such an object is old or new, and the others are judged.
BOOST_AUTO_TEST_CASE(oddTimesOfLeftoversAreCompared)
{
    memory.put(kind, "_departures.first", R"({"departures":[],"writtenAt":-9223372036854775808})", 0,
        [](const Result<uint64_t>&) {});
    memory.put(kind, "_departures.last", R"({"departures":[],"writtenAt":9223372036854775807})", 0,
        [](const Result<uint64_t>&) {});
    store->removeLeftovers(listed(), [](std::string_view) { return false; });
    BOOST_TEST_REQUIRE(listed().size() == 1U);
    BOOST_TEST(listed().front().name == "_departures.last");
}

// Guards against an object that is taken for a node's record, or the reverse.
BOOST_AUTO_TEST_CASE(objectNamesAreNoNodeNames)
{
    BOOST_TEST((nodeOfDepartureObject(departureObjectName("node-a")) == "node-a"));
    BOOST_TEST(!nodeOfDepartureObject("node-a"));
    BOOST_TEST((parseDepartureObject(R"({"incarnation":"00000000-0000-0000-0000-000000000001"})") == std::nullopt));
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against an entry of another writer that ends the process or hides the others.
RC_BOOST_PROP(damagedObjectsAreReadOrIgnored, (const std::string& junk))
{
    std::string text = toJson(DepartureObject { { first, second }, {} });
    text.insert(*rc::gen::inRange<size_t>(0, text.size()), junk);
    parseDepartureObject(text);
    RC_ASSERT(parseDepartureObject(R"({"departures":[7,{"instance":"i-1","startedUpTo":-1},
        {"instance":"i-2","startedUpTo":2000}]})")
                  ->departures
        == Departures { second });
}

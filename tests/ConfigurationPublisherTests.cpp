#define BOOST_TEST_MODULE ConfigurationPublisher
#include "ConfigurationPublisher.h"
#include "core/MemoryStore.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace Gooseberrymill;

namespace {

const std::string text = "[[service]]\nname = \"sello\"\nupstreams = 12\nslots = 4\nfloorSlots = 32\n"
                         "[[service.route]]\nname = \"issue\"\npath = \"/certificates\"\n";

struct Attempt {
    std::optional<PublishReport> report;
};

std::shared_ptr<Attempt> publish(
    MemoryStore& store, const std::string& author, std::optional<uint64_t> expected = std::nullopt)
{
    auto attempt = std::make_shared<Attempt>();
    ConfigurationObject object { text, "change-of-" + author, author, "2026-01-01T00:00:00Z", "" };
    auto publisher = std::make_shared<ConfigurationPublisher<MemoryStore>>(
        store, "main", object, [attempt](const PublishReport& report) { attempt->report = report; });
    publisher->start(expected);
    return attempt;
}

PublishStatus statusOf(const std::shared_ptr<Attempt>& attempt)
{
    BOOST_REQUIRE(attempt->report);
    return attempt->report->status;
}

StoredObject stored(MemoryStore& store)
{
    StoredObject object;
    store.get(configurationKind, "main", [&](Result<StoredObject> result) {
        if (result)
            object = result.value();
    });
    store.deliverAll();
    return object;
}

} // namespace

// Guards against a field being lost or altered when an object is stored and read back.
RC_BOOST_PROP(objectRoundTrips, ())
{
    auto word = rc::gen::container<std::string>(rc::gen::inRange<char>(' ', '~'));
    ConfigurationObject object { *word, *word, *word, *word, *word };
    auto parsed = parseConfigurationObject(printConfigurationObject(object));
    RC_ASSERT(parsed.has_value());
    RC_ASSERT(parsed.value() == object);
}

// Guards against a damaged object in the store being applied or crashing the process.
BOOST_AUTO_TEST_CASE(refusesDamagedObjects)
{
    for (std::string_view value :
        { "", "[]", "{}", "{\"text\": 1, \"changeId\": \"\", \"author\": \"\", \"appliedAt\": \"\"}", "{\"text\"",
            "{\"text\": \"\", \"changeId\": \"\", \"author\": \"\"}" })
        BOOST_TEST_CONTEXT(value) { BOOST_TEST(!parseConfigurationObject(value)); }
    StoredObject object { "configuration", "main", 3,
        printConfigurationObject({ "name = 3", "id", "ana", "2026-01-01T00:00:00Z", "" }) };
    auto invalid = readConfiguration(object);
    BOOST_REQUIRE(!invalid);
    BOOST_TEST(invalid.error().detail.find("configuration/main:1") == 0U);
    object.value = printConfigurationObject({ text, "id", "ana", "2026-01-01T00:00:00Z", "" });
    auto valid = readConfiguration(object);
    BOOST_REQUIRE(valid);
    BOOST_TEST(valid.value().version == 3U);
    BOOST_TEST(valid.value().author == "ana");
    object.name = "other";
    BOOST_TEST(!readConfiguration(object));
}

// Guards against two concurrent changes both being reported as applied.
BOOST_AUTO_TEST_CASE(racingChangesHaveOneWinner)
{
    MemoryStore store;
    auto first = publish(store, "ana");
    auto second = publish(store, "budi"); // both read the same version before either writes
    store.deliverAll();
    BOOST_TEST((statusOf(first) == PublishStatus::Applied));
    BOOST_TEST((statusOf(second) == PublishStatus::LostRace));
    BOOST_TEST(second->report->winner == "ana");
    BOOST_TEST(second->report->winnerChangeId == "change-of-ana");
    BOOST_TEST(second->report->version == first->report->version);
}

// Guards against a change overwriting another one that its operator has not seen.
BOOST_AUTO_TEST_CASE(expectedVersionIsCondition)
{
    MemoryStore store;
    auto first = publish(store, "ana", 0);
    store.deliverAll();
    BOOST_TEST((statusOf(first) == PublishStatus::Applied));
    auto stale = publish(store, "budi", 0);
    store.deliverAll();
    BOOST_TEST((statusOf(stale) == PublishStatus::LostRace));
    BOOST_TEST(stale->report->winner == "ana");
    auto fresh = publish(store, "budi", first->report->version);
    store.deliverAll();
    BOOST_TEST((statusOf(fresh) == PublishStatus::Applied));
}

// Guards against a change reported as failed although the store applied it.
BOOST_AUTO_TEST_CASE(lostAnswerIsSettledByChangeId)
{
    MemoryStore store;
    store.faults.lostAnswers = 1;
    auto attempt = publish(store, "ana");
    store.deliverAll();
    BOOST_TEST((statusOf(attempt) == PublishStatus::Applied));
    BOOST_TEST(attempt->report->version == stored(store).version);
}

// Guards against a change reported as applied although the store never received it.
BOOST_AUTO_TEST_CASE(lostWriteIsRepeated)
{
    MemoryStore store;
    store.faults.lostWrites = 1;
    auto attempt = publish(store, "ana");
    store.deliverAll();
    BOOST_TEST((statusOf(attempt) == PublishStatus::Applied));
    store.faults.lostWrites = 100;
    auto undecided = publish(store, "budi");
    store.deliverAll();
    BOOST_TEST((statusOf(undecided) == PublishStatus::Unknown));
    BOOST_TEST(parseConfigurationObject(stored(store).value).value().author == "ana");
}

// Guards against a definite outcome being reported when the store fails between the write and the read that checks it.
BOOST_AUTO_TEST_CASE(outageAfterLostAnswerIsUnknown)
{
    MemoryStore store;
    store.faults.lostAnswers = 1;
    auto attempt = publish(store, "ana");
    store.deliver(); // answers the read; the write is then in the store
    store.faults.isDown = true;
    store.deliverAll();
    BOOST_TEST((statusOf(attempt) == PublishStatus::Unknown));
}

// Guards against an unknown outcome being reported when the store was down before anything was written.
BOOST_AUTO_TEST_CASE(outageBeforeWriteIsFailure)
{
    MemoryStore store;
    store.faults.isDown = true;
    auto attempt = publish(store, "ana");
    store.deliverAll();
    BOOST_TEST((statusOf(attempt) == PublishStatus::Failed));
}

// Guards against an applied change being reported as having lost the race because another change replaced it at once.
BOOST_AUTO_TEST_CASE(lostAnswerThenReplaced)
{
    MemoryStore store;
    store.faults.lostAnswers = 1;
    auto first = publish(store, "ana");
    store.deliver();
    uint64_t version = 1;
    store.put(configurationKind, "main",
        printConfigurationObject({ text, "change-of-budi", "budi", "2026-01-01T00:00:00Z", "change-of-ana" }), version,
        [](const Result<uint64_t>& result) { BOOST_TEST(result.has_value()); });
    store.deliverAll();
    BOOST_TEST((statusOf(first) == PublishStatus::Superseded));
    BOOST_TEST(first->report->winner == "budi");
}

// Guards against a change that nodes take for older than the one it replaces, because an operator's clock is behind.
BOOST_AUTO_TEST_CASE(changeNumbersRiseWithEachChange)
{
    std::string id = makeChangeId(WallTime(5000ms), { 1, 2 });
    BOOST_TEST(changeNumberOf(id) == 5000U);
    BOOST_TEST(raiseChangeNumber(id, 4000) == id);
    BOOST_TEST(changeNumberOf(raiseChangeNumber(id, 9000)) == 9001U);
    for (std::string_view odd : { "", ".", "12", "x.y", "-1.y", "1x.y", "99999999999999999999.y" })
        BOOST_TEST(changeNumberOf(odd) == 0U, odd);
    BOOST_TEST(raiseChangeNumber("change-of-ana", 9000) == "change-of-ana");

    MemoryStore store;
    for (int64_t at : { 9000, 5000 }) {
        ConfigurationObject object { text, makeChangeId(WallTime(std::chrono::milliseconds(at)), { 1, 2 }), "ana", "",
            "" };
        std::make_shared<ConfigurationPublisher<MemoryStore>>(store, "main", object, [](const PublishReport&) {
        })->start(std::nullopt);
        store.deliverAll();
    }
    BOOST_TEST(changeNumberOf(parseConfigurationObject(stored(store).value).value().changeId) == 9001U);
}

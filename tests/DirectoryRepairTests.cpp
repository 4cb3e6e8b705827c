#define BOOST_TEST_MODULE DirectoryRepair
#include "Gooseberrymill.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

using namespace Gooseberrymill;

namespace {

constexpr size_t noLimit = 100;

NodeRecord node(std::string name, uint64_t startedAt = 100, std::string region = "north")
{
    NodeRecord record;
    record.name = std::move(name);
    record.incarnation = { startedAt, startedAt };
    record.startedAt = startedAt;
    record.relayAddress = "10.0.0.1:7600";
    record.location = { std::move(region), "a" };
    return record;
}

std::vector<std::string> namesOf(const std::vector<ListedRecord>& records)
{
    std::vector<std::string> names;
    names.reserve(records.size());
    for (const ListedRecord& it : records)
        names.push_back(fmt::format("{}@{}", it.record.name, it.version));
    return names;
}

using Names = std::vector<std::string>;

} // namespace

// Guards against a node that starts later and finds nobody, because the store has lost the records of live nodes.
BOOST_AUTO_TEST_CASE(missingRecordsOfLiveNodesAreWritten)
{
    NodeDirectory directory(node("n1"));
    directory.merge(node("n2"), Instant {});
    directory.merge(node("n3", 200), Instant {});
    directory.merge(node("far", 100, "south"), Instant {});
    std::vector<ListedRecord> listed { { node("n2"), 7 }, { node("n3", 150), 8 } };
    DirectoryRepair repair = planRepair(directory, "north", listed, noLimit);
    BOOST_TEST(namesOf(repair.writes) == (Names { "n1@0", "n3@8" }), boost::test_tools::per_element());
    BOOST_TEST(repair.writes.back().record.startedAt == 200U);
    BOOST_TEST(repair.removals.empty());
    BOOST_TEST(!repair.hasMore);
}

// Guards against departed nodes that are taken for live again because the store has their records back.
BOOST_AUTO_TEST_CASE(recordsOfDepartedNodesAreRemoved)
{
    NodeDirectory directory(node("n1"));
    directory.merge(node("n2"), Instant {});
    directory.merge(node("n3"), Instant {});
    directory.markLeft("n2", Instant {});
    directory.markLeft("n3", Instant {});
    std::vector<ListedRecord> listed { { node("n1"), 5 }, { node("n2"), 6 }, { node("n3", 200), 7 } };
    DirectoryRepair repair = planRepair(directory, "north", listed, noLimit);
    BOOST_TEST(repair.writes.empty());
    BOOST_TEST(namesOf(repair.removals) == (Names { "n2@6" }), boost::test_tools::per_element()); // n3 has restarted
}

// Guards against a repair that overwrites the record of a node that has restarted, or that of an unknown one.
BOOST_AUTO_TEST_CASE(newerAndUnknownRecordsAreLeftAlone)
{
    NodeDirectory directory(node("n1"));
    directory.merge(node("n2"), Instant {});
    std::vector<ListedRecord> listed { { node("n1"), 5 }, { node("n2", 200), 6 }, { node("n9"), 7 } };
    DirectoryRepair repair = planRepair(directory, "north", listed, noLimit);
    BOOST_TEST(repair.writes.empty());
    BOOST_TEST(repair.removals.empty());
}

// Guards against a fleet that spends the whole rate of the store on its records.
BOOST_AUTO_TEST_CASE(repairIsBounded)
{
    NodeDirectory directory(node("n1"));
    for (int i = 2; i <= 50; ++i)
        directory.merge(node(fmt::format("n{}", i)), Instant {});
    DirectoryRepair repair = planRepair(directory, "north", {}, 10);
    BOOST_TEST(repair.writes.size() == 10U);
    BOOST_TEST(repair.hasMore);
}

#define BOOST_TEST_MODULE DepartureBook
#include "core/DepartureBook.h"

#include <boost/test/unit_test.hpp>

using namespace Gooseberrymill;

namespace {

const Id128 firstIncarnation { 1, 1 };
const Id128 nextIncarnation { 2, 2 };
const Instant start { std::chrono::hours(1) };

std::vector<std::string> instancesIn(const std::vector<UpstreamDeparture>& departures)
{
    std::vector<std::string> names;
    names.reserve(departures.size());
    for (const UpstreamDeparture& it : departures)
        names.push_back(it.instance);
    return names;
}

struct Fixture {
    DepartureBook book;

    void record(const std::string& instance, const Id128& incarnation, Instant now = start)
    {
        book.record({ "node-a", incarnation, { { instance, 1000 } } }, now);
    }
    void tellAll(const Id128& incarnation) { book.told("node-a", incarnation, book.unknownTo("node-a", incarnation)); }
    std::vector<std::string> unknownTo(const Id128& incarnation) const
    {
        return instancesIn(book.unknownTo("node-a", incarnation));
    }
};

using Names = std::vector<std::string>;

} // namespace

// Guards against a node that forgets by a restart which departures it has acknowledged.
BOOST_FIXTURE_TEST_CASE(restartedNodeIsToldUntilItReplies, Fixture)
{
    record("i-1", firstIncarnation);
    BOOST_TEST(unknownTo(firstIncarnation).empty());
    BOOST_TEST(unknownTo(nextIncarnation) == Names { "i-1" });
    BOOST_TEST(unknownTo(nextIncarnation) == Names { "i-1" });
    tellAll(nextIncarnation);
    BOOST_TEST(unknownTo(nextIncarnation).empty());
    BOOST_TEST(book.unknownTo("node-b", nextIncarnation).empty());
}

// Guards against a departure after the restart that hides the one before it.
BOOST_FIXTURE_TEST_CASE(laterDepartureHidesNoEarlierOne, Fixture)
{
    record("i-1", firstIncarnation);
    record("i-2", nextIncarnation);
    BOOST_TEST(unknownTo(nextIncarnation) == Names { "i-1" });
}

// Guards against a notice of the earlier incarnation that arrives after the restarted node was told.
BOOST_FIXTURE_TEST_CASE(lateNoticeOfTheEarlierIncarnationIsReturned, Fixture)
{
    record("i-1", firstIncarnation);
    tellAll(nextIncarnation);
    record("i-2", firstIncarnation);
    BOOST_TEST(unknownTo(nextIncarnation) == Names { "i-2" });
}

// Guards against a departure that counts as told because it was recorded while others were on their way.
BOOST_FIXTURE_TEST_CASE(onlyWhatWasSentCountsAsTold, Fixture)
{
    record("i-1", firstIncarnation);
    auto sent = book.unknownTo("node-a", nextIncarnation);
    record("i-2", firstIncarnation);
    book.told("node-a", nextIncarnation, sent);
    BOOST_TEST(unknownTo(nextIncarnation) == Names { "i-2" });
}

// Guards against a late notice about an earlier start that replaces the departure of a later one.
BOOST_FIXTURE_TEST_CASE(latestStartOfAnInstanceIsKept, Fixture)
{
    book.record({ "node-a", firstIncarnation, { { "i-1", 2000 } } }, start);
    record("i-1", firstIncarnation);
    auto unknown = book.unknownTo("node-a", nextIncarnation);
    BOOST_TEST_REQUIRE(unknown.size() == 1U);
    BOOST_TEST(unknown.front().startedUpTo == 2000U);
}

// Guards against memory that grows with each departure.
BOOST_FIXTURE_TEST_CASE(departuresAreBoundedAndEnd, Fixture)
{
    for (int i = 0; i < 100; ++i)
        record("i-" + std::to_string(i), firstIncarnation);
    BOOST_TEST(unknownTo(nextIncarnation).size() == maxDeparturesPerNode);
    BOOST_TEST(unknownTo(nextIncarnation).back() == "i-99");
    for (size_t i = 0; i < 2 * DepartureBook::maxNodes; ++i)
        book.record({ "node-" + std::to_string(i), firstIncarnation, { { "i", 1 } } }, start);
    BOOST_TEST(book.unknownTo("node-" + std::to_string(2 * DepartureBook::maxNodes - 1), nextIncarnation).empty());
    book.tick(start + DepartureBook::lifetime);
    BOOST_TEST(book.isEmpty());
}

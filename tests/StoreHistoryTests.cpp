#define BOOST_TEST_MODULE StoreHistory
#include "Gooseberrymill.h"

#include <boost/test/unit_test.hpp>

using namespace Gooseberrymill;

// Guards against a watch from a position that the restored store lacks, or that it has given out again.
BOOST_AUTO_TEST_CASE(restorationForgetsThePositions)
{
    StoreHistory history;
    history.record(3, 0);
    history.advance("config", 150);
    BOOST_TEST((history.record(4, 3) == EraChange::Started));
    BOOST_TEST(history.position("config") == 0U);
    history.advance("config", 110);
    BOOST_TEST(history.position("config") == 110U);
    BOOST_TEST((history.record(6, 4) == EraChange::Started)); // one restoration was not seen
    BOOST_TEST(history.position("config") == 0U);
}

// Guards against a late response of the earlier era that brings its positions back.
BOOST_AUTO_TEST_CASE(lateResponseOfAnEarlierEraIsOutdated)
{
    StoreHistory history;
    history.record(3, 0);
    history.record(4, 3);
    history.advance("config", 110);
    BOOST_TEST((history.record(3, 3) == EraChange::Outdated));
    BOOST_TEST(history.era() == 4U);
    BOOST_TEST(history.position("config") == 110U);
}

// Guards against a node that heeds no response any more after a single one that named too high an era.
BOOST_AUTO_TEST_CASE(lowerEraOfALaterCallIsTakenOver)
{
    StoreHistory history;
    history.record(3, 0);
    history.record(900, 3);
    BOOST_TEST((history.record(3, 900) == EraChange::Started));
    BOOST_TEST(history.era() == 3U);
}

// Guards against a restoration that is seen where the store says nothing about its era.
BOOST_AUTO_TEST_CASE(responseWithoutAnEraChangesNothing)
{
    StoreHistory history;
    history.advance("config", 7);
    BOOST_TEST((history.record(std::nullopt, 0) == EraChange::None));
    BOOST_TEST(history.position("config") == 7U);
    BOOST_TEST((history.record(5, 0) == EraChange::None)); // the first one
    history.advance("config", 9);
    BOOST_TEST((history.record(std::nullopt, 5) == EraChange::None));
    BOOST_TEST(history.position("config") == 9U);
}

// Guards against a conditional write that succeeds on other content because its revision was given out again.
BOOST_AUTO_TEST_CASE(versionsOfTwoErasNeverMatch)
{
    BOOST_TEST(makeVersion(0, 41) == 41U);
    BOOST_TEST(makeVersion(4, 0) == 0U);
    BOOST_TEST(makeVersion(4, 1) > makeVersion(3, maxRevision));
    StoreHistory history;
    history.record(3, 0);
    uint64_t version = history.versionOf(41);
    BOOST_TEST(revisionOf(version) == 41U);
    BOOST_TEST(history.isCurrent(version));
    history.record(4, 3);
    BOOST_TEST(!history.isCurrent(version));
    BOOST_TEST(history.versionOf(41) != version);
}

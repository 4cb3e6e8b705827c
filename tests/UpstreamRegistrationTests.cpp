// Announcements of the upstream beside a node: out of order, after a restart, on departure, and of another service.
#define BOOST_TEST_MODULE UpstreamRegistration
#include "core/UpstreamRegistration.h"

#include <boost/test/unit_test.hpp>

using namespace Gooseberrymill;

namespace {

UpstreamReport report(std::string instance, uint64_t processStartedAt, uint64_t sequence)
{
    UpstreamReport result;
    result.instance = std::move(instance);
    result.service = "bayaran";
    result.address = "10.0.0.1:80";
    result.processStartedAt = processStartedAt;
    result.sequence = sequence;
    result.slots = 7;
    return result;
}

struct Fixture {
    UpstreamRegistration registration { "bayaran", "10.0.0.1:80" };
};

} // namespace

// Guards against a late announcement of an earlier process replacing the process that now serves at its address.
BOOST_FIXTURE_TEST_CASE(lateAnnouncementOfAnEarlierProcessChangesNothing, Fixture)
{
    registration.applyReport(report("old", 1000, 9));
    BOOST_TEST((registration.applyReport(report("new", 2000, 1)) == ReportResult::Applied));
    BOOST_TEST((registration.applyReport(report("old", 1000, 10)) == ReportResult::Outdated));
    BOOST_TEST(registration.current()->instance == "new");
}

// Guards against an announcement that arrives out of order overwriting a newer state.
BOOST_FIXTURE_TEST_CASE(olderSequenceChangesNothing, Fixture)
{
    registration.applyReport(report("a", 1000, 5));
    UpstreamReport late = report("a", 1000, 4);
    late.slots = 1;
    BOOST_TEST((registration.applyReport(late) == ReportResult::Outdated));
    BOOST_TEST(registration.current()->slots == 7U);
}

// Guards against ignoring a restarted process that keeps its identity, because its sequence starts again.
BOOST_FIXTURE_TEST_CASE(restartUnderTheSameIdentityIsANewProcess, Fixture)
{
    registration.applyReport(report("a", 1000, 50));
    registration.markDeparted("a");
    BOOST_TEST((registration.applyReport(report("a", 3000, 1)) == ReportResult::Applied));
    BOOST_TEST((registration.current()->state == UpstreamState::Ready));
}

// Guards against new requests for an upstream whose departure was acknowledged.
BOOST_FIXTURE_TEST_CASE(leavingIsFinalForAProcess, Fixture)
{
    UpstreamReport leaving = report("a", 1000, 2);
    leaving.state = UpstreamState::Draining;
    registration.applyReport(report("a", 1000, 1));
    registration.applyReport(leaving);
    registration.applyReport(report("a", 1000, 3));
    BOOST_TEST((registration.current()->state == UpstreamState::Draining));
    registration.applyReport(report("b", 2000, 1));
    BOOST_TEST(registration.markDeparted("b"));
    registration.applyReport(report("b", 2000, 2));
    BOOST_TEST((registration.current()->state == UpstreamState::Draining));
    BOOST_TEST(!registration.markDeparted("a"));
}

// Guards against requests being sent to an address that an announcement of another service or address names.
BOOST_FIXTURE_TEST_CASE(strangersNameNothing, Fixture)
{
    UpstreamReport other = report("x", 9000, 1);
    other.service = "katalog";
    BOOST_TEST((registration.applyReport(other) == ReportResult::Foreign));
    other = report("x", 9000, 1);
    other.address = "10.0.0.2:80";
    BOOST_TEST((registration.applyReport(other) == ReportResult::Foreign));
    BOOST_TEST(!registration.current());
}

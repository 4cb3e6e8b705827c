// Announcements of the upstream beside a node: order, restarts, leaving, strangers.
#define BOOST_TEST_MODULE UpstreamRegistration
#include "core/UpstreamRegistration.h"

#include <boost/test/unit_test.hpp>

using namespace Gooseberrymill;

namespace {

UpstreamReport report(std::string instance, uint64_t bornAt, uint64_t sequence)
{
    UpstreamReport result;
    result.instance = std::move(instance);
    result.service = "bayaran";
    result.address = "10.0.0.1:80";
    result.bornAt = bornAt;
    result.sequence = sequence;
    result.slots = 7;
    return result;
}

struct Fixture {
    UpstreamRegistration registration { "bayaran", "10.0.0.1:80" };
};

} // namespace

// Guards against a late announcement of a dead process sending requests to the one that took its address.
BOOST_FIXTURE_TEST_CASE(lateAnnouncementOfAnEarlierProcessChangesNothing, Fixture)
{
    registration.announced(report("old", 1000, 9));
    BOOST_TEST((registration.announced(report("new", 2000, 1)) == ReportVerdict::Applied));
    BOOST_TEST((registration.announced(report("old", 1000, 10)) == ReportVerdict::Outdated));
    BOOST_TEST(registration.current()->instance == "new");
}

// Guards against announcements out of order undoing a newer state.
BOOST_FIXTURE_TEST_CASE(olderSequenceChangesNothing, Fixture)
{
    registration.announced(report("a", 1000, 5));
    UpstreamReport late = report("a", 1000, 4);
    late.slots = 1;
    BOOST_TEST((registration.announced(late) == ReportVerdict::Outdated));
    BOOST_TEST(registration.current()->slots == 7U);
}

// Guards against a restarted process that keeps its identity being ignored because its sequence begins anew.
BOOST_FIXTURE_TEST_CASE(restartUnderTheSameIdentityIsANewProcess, Fixture)
{
    registration.announced(report("a", 1000, 50));
    registration.departed("a");
    BOOST_TEST((registration.announced(report("a", 3000, 1)) == ReportVerdict::Applied));
    BOOST_TEST((registration.current()->state == UpstreamState::Ready));
}

// Guards against new requests for an upstream whose leaving was acknowledged.
BOOST_FIXTURE_TEST_CASE(leavingIsFinalForAProcess, Fixture)
{
    UpstreamReport leaving = report("a", 1000, 2);
    leaving.state = UpstreamState::Draining;
    registration.announced(report("a", 1000, 1));
    registration.announced(leaving);
    registration.announced(report("a", 1000, 3));
    BOOST_TEST((registration.current()->state == UpstreamState::Draining));
    registration.announced(report("b", 2000, 1));
    BOOST_TEST(registration.departed("b"));
    registration.announced(report("b", 2000, 2));
    BOOST_TEST((registration.current()->state == UpstreamState::Draining));
    BOOST_TEST(!registration.departed("a"));
}

// Guards against requests sent to an address that a stranger names.
BOOST_FIXTURE_TEST_CASE(strangersNameNothing, Fixture)
{
    UpstreamReport other = report("x", 9000, 1);
    other.service = "katalog";
    BOOST_TEST((registration.announced(other) == ReportVerdict::Foreign));
    other = report("x", 9000, 1);
    other.address = "10.0.0.2:80";
    BOOST_TEST((registration.announced(other) == ReportVerdict::Foreign));
    BOOST_TEST(!registration.current());
}

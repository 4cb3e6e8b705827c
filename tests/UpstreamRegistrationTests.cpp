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

constexpr uint64_t now = 50'000; // milliseconds of the wall clock

struct Fixture {
    UpstreamRegistration registration { "bayaran", "10.0.0.1:80" };

    // A process deregisters. Returns whether it is the current one.
    bool deregister(std::string_view instance, uint64_t processStartedAt)
    {
        return registration.applyDeparture(registration.departureOf(instance, processStartedAt, now));
    }
    bool isDraining() const { return registration.current()->state == UpstreamState::Draining; }
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
    BOOST_TEST(deregister("a", 0));
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
    BOOST_TEST(deregister("b", 0));
    registration.applyReport(report("b", 2000, 2));
    BOOST_TEST((registration.current()->state == UpstreamState::Draining));
    BOOST_TEST(!deregister("a", 0));
}

// Guards against a departure that a restarted node acknowledges and forgets, because it has not heard of the process.
BOOST_FIXTURE_TEST_CASE(departureOfAnUnknownProcessIsKept, Fixture)
{
    BOOST_TEST(!deregister("a", 1000));
    BOOST_TEST((registration.applyReport(report("a", 1000, 7)) == ReportResult::Applied));
    BOOST_TEST(isDraining());
    registration.applyReport(report("a", 1000, 8)); // a second late announcement
    BOOST_TEST(isDraining());
    BOOST_TEST((registration.applyReport(report("a", 3000, 1)) == ReportResult::Applied));
    BOOST_TEST(!isDraining());
}

// Guards against the same when the departure names no start time.
BOOST_FIXTURE_TEST_CASE(departureWithoutAStartTimeCoversEarlierStarts, Fixture)
{
    BOOST_TEST(!deregister("a", 0));
    registration.applyReport(report("a", now - 1, 1));
    BOOST_TEST(isDraining());
    registration.applyReport(report("a", now + 1, 1));
    BOOST_TEST(!isDraining());
}

// Guards against a departure that arrives late and retires the next start of the same instance.
BOOST_FIXTURE_TEST_CASE(lateDepartureOfAnEarlierStartChangesNothing, Fixture)
{
    registration.applyReport(report("a", 1000, 50));
    registration.applyReport(report("a", 3000, 1));
    BOOST_TEST(!deregister("a", 1000));
    BOOST_TEST(!isDraining());
    BOOST_TEST(deregister("a", 3000));
    BOOST_TEST(isDraining());
}

// Guards against requests for a process whose later start under the same identity is known to have left.
BOOST_FIXTURE_TEST_CASE(departureOfALaterStartCoversTheKnownOne, Fixture)
{
    registration.applyReport(report("a", 1000, 50));
    BOOST_TEST(deregister("a", 3000));
    BOOST_TEST(isDraining());
}

// Guards against memory that grows with each process that leaves.
BOOST_FIXTURE_TEST_CASE(departuresAreBounded, Fixture)
{
    constexpr uint64_t count = 1000;
    for (uint64_t i = 1; i <= count; ++i)
        deregister("i-" + std::to_string(i), i);
    registration.applyReport(report("i-" + std::to_string(count), count, 1));
    BOOST_TEST(isDraining());
    registration.applyReport(report("i-1", count + 1, 1));
    BOOST_TEST(!isDraining());
}

// Guards against passing on the departure of a process that cannot be told from the next one at its address.
BOOST_FIXTURE_TEST_CASE(departureNeedsAnIdentity, Fixture)
{
    UpstreamReport leaving = report("", 0, 0);
    leaving.state = UpstreamState::Draining;
    registration.applyReport(leaving);
    BOOST_TEST(isDraining());
    BOOST_TEST(!registration.currentDeparture());
    leaving = report("a", 1000, 1);
    leaving.state = UpstreamState::Draining;
    registration.applyReport(leaving);
    BOOST_TEST((registration.currentDeparture() == UpstreamDeparture { "a", 1000 }));
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

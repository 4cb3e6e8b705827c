#define BOOST_TEST_MODULE TraceRecorder
#include "core/TraceRecorder.h"

#include <boost/test/unit_test.hpp>

using namespace Gooseberrymill;

namespace {

constexpr Instant start { 1h };

std::shared_ptr<const RouteTable> makeRoutes()
{
    auto document = std::make_shared<Configuration>();
    Service& service = document->services.emplace_back();
    service.name = "archivo";
    service.upstreams = 1;
    service.slots = 4;
    Route& route = service.routes.emplace_back();
    route.name = "lookup";
    route.path = "/archivo/*";
    route.repeatable = true;
    return std::make_shared<const RouteTable>(std::vector<std::shared_ptr<const Configuration>> { document });
}

} // namespace

// Guards against a recorded trace that Replay cannot read. Requests are recorded in the order in which they end, but
// the events of a trace must be sorted by the time at which they began.
BOOST_AUTO_TEST_CASE(recordedTraceParses)
{
    TraceRecorder recorder("nivelaria", { "navarra", "navarra-1" }, start);
    recorder.setRoutes(makeRoutes());
    recorder.upstreamChanged("archivo-1", "archivo", 4, UpstreamState::Ready, start);
    recorder.requestEnded("archivo-1", { SampleKind::Ok, 0, 10ms }, start + 1s);
    recorder.requestEnded("archivo-1", { SampleKind::Ok, 0, 900ms }, start + 1100ms); // began before the one above
    recorder.upstreamChanged("archivo-1", "archivo", 4, UpstreamState::Draining, start + 2s);
    Trace trace = recorder.finish(start + 3s);
    BOOST_REQUIRE(trace.events.size() == 3U);
    BOOST_TEST((timeOf(trace.events[0]) == 200ms));
    auto parsed = parseTrace(toText(trace));
    BOOST_REQUIRE(parsed);
    BOOST_TEST((parsed.value().events == trace.events));
}

// Guards against a recorder whose memory grows without bound during a long recording.
BOOST_AUTO_TEST_CASE(recordingIsBounded)
{
    TraceRecorder recorder("nivelaria", { "navarra", "navarra-1" }, start);
    recorder.setRoutes(makeRoutes());
    recorder.upstreamChanged("archivo-1", "archivo", 4, UpstreamState::Ready, start);
    constexpr size_t extra = 10;
    for (size_t i = 0; i < TraceRecorder::maxRecordedEvents + extra; ++i)
        recorder.requestEnded("archivo-1", { SampleKind::Ok, 0, 1ms }, start + Duration(i));
    BOOST_TEST(recorder.dropped() == extra);
}

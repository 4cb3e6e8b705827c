// Records the requests and upstream states that an executor sees as a trace, which Replay can run.
//
// Each ended request becomes an arrival whose demand is the measured service time. Restarts, drains and crashes of
// upstreams become upstream changes. Trace events are sorted by time, and a request is placed at the time when its
// upstream began it, which is known only when it ends. The trace is therefore kept in memory, up to a bound, and
// sorted when the recording is finished.
#pragma once

#include "Health.h"
#include "Trace.h"

#include <map>
#include <memory>

namespace Gooseberrymill {

class TraceRecorder {
public:
    static constexpr size_t maxRecordedEvents = 200'000; // about 30 MB; later events are only counted by dropped()

    TraceRecorder(std::string deployment, Location location, Instant start);

    // Sets the routes that later samples refer to. A service is added to the trace when its first upstream appears.
    // Its index and its routes in the trace do not change afterwards.
    void setRoutes(std::shared_ptr<const RouteTable> routes) { m_routes = std::move(routes); }

    // An upstream that is new to the recorder is added to the trace as ready; its first state is not recorded.
    void upstreamChanged(
        const std::string& upstream, const std::string& service, uint32_t slots, UpstreamState, Instant now);
    // `now` is the end of the request. Cancelled requests and those of unknown upstreams or routes are not recorded.
    void requestEnded(const std::string& upstream, const Sample&, Instant now);

    // Number of events that were not recorded because of maxRecordedEvents.
    uint64_t dropped() const { return m_dropped; }
    // Returns the sorted trace and leaves the recorder empty.
    Trace finish(Instant now);

private:
    struct KnownUpstream {
        uint16_t index = 0;
        uint16_t service = 0;
    };

    std::optional<uint16_t> serviceIndex(const std::string& service);
    void append(TraceEvent);

    Instant m_start;
    Trace m_trace;
    std::shared_ptr<const RouteTable> m_routes;
    std::map<std::string, KnownUpstream, std::less<>> m_upstreams;
    uint64_t m_dropped = 0;
};

} // namespace Gooseberrymill

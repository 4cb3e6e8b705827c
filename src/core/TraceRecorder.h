// Records what an executor saw as a trace that Replay can run again.
//
// Each ended request becomes an arrival with the service time that was measured; changes of upstreams become
// upstream changes. The trace is kept in memory, bounded, and taken at the end, since events are sorted by the
// time at which they began.
#pragma once

#include "Health.h"
#include "Trace.h"

#include <map>
#include <memory>

namespace Gooseberrymill {

class TraceRecorder {
public:
    static constexpr size_t maxRecordedEvents = 200'000; // about 30 MB; later events are counted only

    TraceRecorder(std::string deployment, Location location, Instant start);

    // Routes that later samples refer to. Services keep their index; one that is new is added at its first use.
    void setRoutes(std::shared_ptr<const RouteTable> routes) { m_routes = std::move(routes); }

    void upstreamChanged(
        const std::string& upstream, const std::string& service, uint32_t slots, UpstreamState, Instant now);
    void requestEnded(const std::string& upstream, const Sample&, Instant now);

    uint64_t dropped() const { return m_dropped; }
    Trace finish(Instant now); // leaves the recorder empty

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

// Traces of requests and faults, as input of Replay: format, writer, parser and a deterministic generator.
//
// A trace is a text in JSON Lines. The first line is the header, all others are events, sorted by time.
// Times are microseconds since the start of the trace. Events refer to services, routes, upstreams and
// data centres by their index in the header.
#pragma once

#include "Configuration.h"
#include <variant>

namespace Gooseberrymill {

//-----------------------------------------------------------------------------
// [SECTION] Format
//-----------------------------------------------------------------------------

struct TraceUpstream {
    std::string name;
    uint16_t service = 0;
    uint16_t dataCentre = 0;
    uint32_t slots = 1; // concurrency limit that the upstream declares
    uint32_t realSlots = 1; // actual limit: service times grow with the concurrency beyond it
    bool operator==(const TraceUpstream&) const = default;
};

struct TraceHeader {
    std::string deployment;
    std::string scenario;
    uint64_t seed = 0;
    Duration duration {};
    Duration localDelay {}; // one way, between data centres of a region
    Duration regionDelay {}; // one way, between regions
    Duration callerDelay {}; // one way, between a caller and its entry
    Duration peakStart {}; // start of a demand peak; equal to peakEnd when there is none
    Duration peakEnd {}; // time at which the load begins to fall again
    Duration faultAt {}; // time of the first fault; zero when there is none
    std::vector<Location> dataCentres;
    std::vector<Service> services;
    std::vector<TraceUpstream> upstreams;
};

// A request arrives from a caller.
struct TraceArrival {
    Duration at {};
    uint16_t service = 0;
    uint16_t route = 0;
    uint16_t dataCentre = 0; // data centre of the entry that gets the request
    WorkClass workClass = WorkClass::Interactive;
    Duration deadline {}; // time that the caller waits for the response
    Duration demand {}; // service time at a healthy upstream
    uint32_t responseBytes = 0;
    Id128 operation; // identifier of the operation; zero when the request has none
    bool isStraggler = false; // takes far longer than other requests
    bool isPoison = false; // query of death: crashes each upstream that runs it
    uint64_t fingerprint = 0; // same value for equal requests; zero when no other request equals this one
    bool operator==(const TraceArrival&) const = default;
};

enum class ChangeKind : uint8_t {
    Slow, // value: factor on service times; 1 restores the usual ones
    Fail, // value: share of failed responses
    Wrong, // value: share of wrong responses
    PassChecks, // value 1: health checks succeed although requests fail
    Crash, // the upstream crashes; its running requests end with an unknown outcome
    Restart, // the upstream starts again, cold
    Drain, // the upstream accepts no new requests
    Shed, // value: share of requests answered 503 with Retry-After
    Lie, // value 1: load reports claim that the upstream is idle
};
constexpr size_t changeKindCount = 9;

std::string_view toString(ChangeKind);

struct TraceUpstreamChange {
    Duration at {};
    uint16_t upstream = 0;
    ChangeKind kind = ChangeKind::Slow;
    double value = 1;
    bool operator==(const TraceUpstreamChange&) const = default;
};

// Messages from data centre `from` to data centre `to` are lost while the path is cut. The reverse path stays intact.
struct TracePathCut {
    Duration at {};
    uint16_t from = 0;
    uint16_t to = 0;
    bool isCut = true;
    bool operator==(const TracePathCut&) const = default;
};

// Messages between one region and all others are lost in both directions while the region is cut off.
struct TraceRegionCut {
    Duration at {};
    std::string region;
    bool isCut = true;
    bool operator==(const TraceRegionCut&) const = default;
};

using TraceEvent = std::variant<TraceArrival, TraceUpstreamChange, TracePathCut, TraceRegionCut>;

Duration timeOf(const TraceEvent& event);

struct Trace {
    TraceHeader header;
    std::vector<TraceEvent> events; // sorted by time
};

// Writes the trace in the format described above.
std::string toText(const Trace& trace);

// Errors name the line. A trace with unsorted events or with indexes that the header does not define is malformed.
Result<Trace> parseTrace(std::string_view text);

//-----------------------------------------------------------------------------
// [SECTION] Generator
//-----------------------------------------------------------------------------

// Services, data centres and delays of one of two example deployments.
enum class Deployment : uint8_t { Persatuan, Nivelaria };

// Unless stated otherwise the load is that of Quiet and the fault concerns one upstream from second 15 on.
enum class Scenario : uint8_t {
    Quiet, // load below capacity, no fault
    Peak, // the load rises to three times the capacity within two seconds
    ShortOnly, // the requests of Stragglers without the stragglers
    Stragglers, // 5% of the requests take 50 times as long; they have a route of their own
    HiddenStragglers, // 5% of the requests take 50 times as long, on any route, so they cannot be told beforehand
    SlowUpstream, // one upstream is five times slower
    WrongUpstream, // half of an upstream's responses are wrong while health checks succeed
    Flapping, // five times, 80% of an upstream's requests fail for 4 s, followed by 4 s without failures
    LyingReports, // one upstream is three times slower while its load reports claim that it is idle
    OneWayCut, // messages from the first to the second data centre are lost until second 45
    RegionCut, // the last region is cut off from all others until second 45
    Rolling, // the upstreams of the first service are drained and restarted one after the other
    ColdStarts, // three upstreams of the first service crash and start again cold after 5 s
    Shedding, // one upstream answers half of its requests with 503
    QueryOfDeath, // callers repeat two requests that crash each upstream that runs them
    PeakWithSlow, // Peak and SlowUpstream together
    CutWithWrong, // OneWayCut, and half of the responses of an upstream in another data centre are wrong
    FailOneInFive, // 20% of an upstream's requests fail
    WrongOneInFive, // 20% of an upstream's responses are wrong
    PassingChecks, // half of an upstream's requests fail while health checks succeed
    LyingAndSlow, // one upstream is five times slower while its load reports claim that it is idle
};
constexpr size_t scenarioCount = 21;

std::string_view toString(Deployment);
std::string_view toString(Scenario);
std::optional<Deployment> parseDeployment(std::string_view);
std::optional<Scenario> parseScenario(std::string_view);

// Equal arguments give equal traces.
Trace generateTrace(Deployment deployment, Scenario scenario, uint64_t seed);

// Drops arrivals at random so that each service gets about `ratePerUpstream` requests a second for each of its
// upstreams. A service with fewer requests keeps all of them.
Trace thinTrace(Trace trace, double ratePerUpstream, uint64_t seed);

} // namespace Gooseberrymill

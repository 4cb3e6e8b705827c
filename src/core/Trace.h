// Traces of decision events: format, parser, writer and a generator with fixed seeds.
//
// A trace is text in JSON lines. The first line is the header, the rest are events sorted by time.
// Times are microseconds since the start of the trace. Services, routes, upstreams and data centres
// are referred to by their index in the header.
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
    uint32_t slots = 1; // declared
    uint32_t realSlots = 1; // service times grow beyond this concurrency
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
    Duration peakStart {}; // of a demand surge; equal to peakEnd when there is none
    Duration peakEnd {};
    Duration faultAt {}; // first fault; zero when there is none
    std::vector<Location> dataCentres;
    std::vector<Service> services;
    std::vector<TraceUpstream> upstreams;
};

struct TraceArrival {
    Duration at {};
    uint16_t service = 0;
    uint16_t route = 0;
    uint16_t dataCentre = 0; // of the entry
    WorkClass workClass = WorkClass::Interactive;
    Duration deadline {}; // patience of the caller
    Duration demand {}; // service time at a healthy upstream
    uint32_t responseBytes = 0;
    Id128 operation; // zero: none
    bool isStraggler = false;
    bool isPoison = false; // crashes the upstream that runs it
    uint64_t fingerprint = 0; // equal requests have the same; zero: unlike any other
    bool operator==(const TraceArrival&) const = default;
};

enum class ChangeKind : uint8_t {
    Slow, // value: factor on service times; 1 restores
    Fail, // value: share of failed responses
    Wrong, // value: share of wrong responses
    PassChecks, // value 1: health checks succeed although requests fail
    Crash, // running requests end with an unknown outcome
    Restart, // comes back cold
    Drain,
    Shed, // value: share of requests answered 503 with Retry-After
    Lie, // value 1: load reports claim to be idle
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

struct TracePathCut { // one way: messages from `from` to `to` are lost
    Duration at {};
    uint16_t from = 0; // data centre
    uint16_t to = 0;
    bool isCut = true;
    bool operator==(const TracePathCut&) const = default;
};

struct TraceRegionCut { // both ways between one region and all others
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

std::string toText(const Trace& trace);

// Errors name the line. Unsorted events and indexes outside the header are malformed.
Result<Trace> parseTrace(std::string_view text);

//-----------------------------------------------------------------------------
// [SECTION] Generator
//-----------------------------------------------------------------------------

enum class Deployment : uint8_t { Persatuan, Nivelaria };

enum class Scenario : uint8_t {
    Quiet, // below capacity, no fault
    Peak, // three times the capacity within two seconds
    ShortOnly, // the requests of Stragglers without the stragglers
    Stragglers, // 5% of 50 times the length, on a route of their own
    HiddenStragglers, // the same on any route, so that nothing tells them beforehand
    SlowUpstream,
    WrongUpstream,
    Flapping,
    LyingReports,
    OneWayCut,
    RegionCut,
    Rolling,
    ColdStarts,
    Shedding,
    QueryOfDeath,
    PeakWithSlow, // Peak and SlowUpstream together
    CutWithWrong, // OneWayCut and WrongUpstream together
    FailOneInFive,
    WrongOneInFive,
    PassingChecks, // half of the requests fail while health checks succeed
    LyingAndSlow, // five times slower while load reports claim to be idle
};
constexpr size_t scenarioCount = 21;

std::string_view toString(Deployment);
std::string_view toString(Scenario);
std::optional<Deployment> parseDeployment(std::string_view);
std::optional<Scenario> parseScenario(std::string_view);

Trace generateTrace(Deployment deployment, Scenario scenario, uint64_t seed);

// Drops arrivals at random until each service gets `perUpstream` requests a second for each of its upstreams.
// A service with fewer requests keeps them all.
Trace thinTrace(Trace trace, double perUpstream, uint64_t seed);

} // namespace Gooseberrymill

#include "Trace.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <random>

namespace Gooseberrymill {

namespace {

using nlohmann::json;

constexpr std::array<std::string_view, changeKindCount> changeNames { "slow", "fail", "wrong", "pass-checks", "crash",
    "restart", "drain", "shed", "lie" };
constexpr std::array<std::string_view, 2> deploymentNames { "persatuan", "nivelaria" };
constexpr std::array<std::string_view, scenarioCount> scenarioNames { "quiet", "peak", "short-only", "stragglers",
    "hidden-stragglers", "slow-upstream", "wrong-upstream", "flapping", "lying-reports", "one-way-cut", "region-cut",
    "rolling", "cold-starts", "shedding", "query-of-death", "peak-with-slow", "cut-with-wrong", "fail-one-in-five",
    "wrong-one-in-five", "passing-checks", "lying-and-slow" };

template <typename Enum, size_t n>
std::optional<Enum> parseName(const std::array<std::string_view, n>& names, std::string_view text)
{
    auto it = std::find(names.begin(), names.end(), text);
    if (it == names.end())
        return std::nullopt;
    return static_cast<Enum>(it - names.begin());
}

} // namespace

std::string_view toString(ChangeKind kind) { return changeNames[static_cast<size_t>(kind)]; }
std::string_view toString(Deployment deployment) { return deploymentNames[static_cast<size_t>(deployment)]; }
std::string_view toString(Scenario scenario) { return scenarioNames[static_cast<size_t>(scenario)]; }
std::optional<Deployment> parseDeployment(std::string_view text)
{
    return parseName<Deployment>(deploymentNames, text);
}
std::optional<Scenario> parseScenario(std::string_view text) { return parseName<Scenario>(scenarioNames, text); }

Duration timeOf(const TraceEvent& event)
{
    return std::visit([](const auto& it) { return it.at; }, event);
}

//-----------------------------------------------------------------------------
// [SECTION] Writer
//-----------------------------------------------------------------------------

namespace {

json toJson(const Route& route)
{
    return { { "name", route.name }, { "class", toString(route.workClass) }, { "repeatable", route.repeatable },
        { "internal", route.internal }, { "deadline", route.deadline.count() } };
}

json toJson(const Service& service)
{
    json routes = json::array();
    for (const Route& route : service.routes)
        routes.push_back(toJson(route));
    return { { "name", service.name }, { "upstreams", service.upstreams }, { "slots", service.slots },
        { "floorSlots", service.floorSlots }, { "queueLimit", service.admission.queueLimit },
        { "shortWorkSlots", service.admission.shortWorkSlots }, { "routes", routes } };
}

json toJson(const TraceUpstream& upstream)
{
    return { { "name", upstream.name }, { "service", upstream.service }, { "dataCentre", upstream.dataCentre },
        { "slots", upstream.slots }, { "realSlots", upstream.realSlots } };
}

json toJson(const TraceHeader& header)
{
    json object { { "format", 1 }, { "deployment", header.deployment }, { "scenario", header.scenario },
        { "seed", header.seed }, { "duration", header.duration.count() }, { "localDelay", header.localDelay.count() },
        { "regionDelay", header.regionDelay.count() }, { "callerDelay", header.callerDelay.count() },
        { "peakStart", header.peakStart.count() }, { "peakEnd", header.peakEnd.count() },
        { "faultAt", header.faultAt.count() }, { "dataCentres", json::array() }, { "services", json::array() },
        { "upstreams", json::array() } };
    for (const Location& location : header.dataCentres)
        object["dataCentres"].push_back({ { "region", location.region }, { "name", location.dataCentre } });
    for (const Service& service : header.services)
        object["services"].push_back(toJson(service));
    for (const TraceUpstream& upstream : header.upstreams)
        object["upstreams"].push_back(toJson(upstream));
    return object;
}

json toJson(const TraceArrival& arrival)
{
    json object { { "event", "arrival" }, { "at", arrival.at.count() }, { "service", arrival.service },
        { "route", arrival.route }, { "dataCentre", arrival.dataCentre }, { "class", toString(arrival.workClass) },
        { "deadline", arrival.deadline.count() }, { "demand", arrival.demand.count() },
        { "bytes", arrival.responseBytes } };
    if (arrival.operation)
        object["operation"] = toString(arrival.operation);
    if (arrival.isStraggler)
        object["straggler"] = true;
    if (arrival.isPoison)
        object["poison"] = true;
    if (arrival.fingerprint)
        object["fingerprint"] = arrival.fingerprint;
    return object;
}

json toJson(const TraceUpstreamChange& change)
{
    return { { "event", "upstream" }, { "at", change.at.count() }, { "upstream", change.upstream },
        { "kind", toString(change.kind) }, { "value", change.value } };
}

json toJson(const TracePathCut& cut)
{
    return { { "event", "pathCut" }, { "at", cut.at.count() }, { "from", cut.from }, { "to", cut.to },
        { "cut", cut.isCut } };
}

json toJson(const TraceRegionCut& cut)
{
    return { { "event", "regionCut" }, { "at", cut.at.count() }, { "region", cut.region }, { "cut", cut.isCut } };
}

} // namespace

std::string toText(const Trace& trace)
{
    std::string text = toJson(trace.header).dump() + "\n";
    for (const TraceEvent& event : trace.events) {
        text += std::visit([](const auto& it) { return toJson(it).dump(); }, event);
        text += '\n';
    }
    return text;
}

//-----------------------------------------------------------------------------
// [SECTION] Parser
//-----------------------------------------------------------------------------

namespace {

// Thrown inside the parser only; parseTrace() turns it into an Error.
struct FormatError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

void require(bool condition, const char* what)
{
    if (!condition)
        throw FormatError(what);
}

Duration durationOf(const json& object, const char* key)
{
    auto count = object.at(key).get<int64_t>();
    require(count >= 0, "time must not be negative");
    return Duration(count);
}

WorkClass classOf(const json& object)
{
    auto workClass = parseWorkClass(object.at("class").get<std::string>());
    require(workClass.has_value(), "unknown work class");
    return *workClass;
}

uint16_t indexOf(const json& object, const char* key, size_t size)
{
    auto index = object.at(key).get<uint64_t>();
    require(index < size, "index of an item that the header does not list");
    return static_cast<uint16_t>(index);
}

Route parseRoute(const json& object)
{
    Route route;
    route.name = object.at("name").get<std::string>();
    route.workClass = classOf(object);
    route.repeatable = object.at("repeatable").get<bool>();
    route.internal = object.value("internal", false);
    route.deadline = durationOf(object, "deadline");
    return route;
}

Service parseService(const json& object)
{
    Service service;
    service.name = object.at("name").get<std::string>();
    service.upstreams = object.at("upstreams").get<uint32_t>();
    service.slots = object.at("slots").get<uint32_t>();
    service.floorSlots = object.value("floorSlots", 0U);
    service.admission.queueLimit = object.value("queueLimit", service.admission.queueLimit);
    service.admission.shortWorkSlots = object.value("shortWorkSlots", service.admission.shortWorkSlots);
    for (const json& route : object.at("routes"))
        service.routes.push_back(parseRoute(route));
    return service;
}

TraceHeader parseHeader(const json& object)
{
    require(object.at("format").get<int>() == 1, "unsupported trace format version");
    TraceHeader header;
    header.deployment = object.at("deployment").get<std::string>();
    header.scenario = object.value("scenario", "");
    header.seed = object.at("seed").get<uint64_t>();
    header.duration = durationOf(object, "duration");
    header.localDelay = durationOf(object, "localDelay");
    header.regionDelay = durationOf(object, "regionDelay");
    header.callerDelay = durationOf(object, "callerDelay");
    header.peakStart = durationOf(object, "peakStart");
    header.peakEnd = durationOf(object, "peakEnd");
    header.faultAt = durationOf(object, "faultAt");
    for (const json& location : object.at("dataCentres"))
        header.dataCentres.push_back(
            { location.at("region").get<std::string>(), location.at("name").get<std::string>() });
    for (const json& service : object.at("services"))
        header.services.push_back(parseService(service));
    for (const json& entry : object.at("upstreams")) {
        TraceUpstream upstream;
        upstream.name = entry.at("name").get<std::string>();
        upstream.service = indexOf(entry, "service", header.services.size());
        upstream.dataCentre = indexOf(entry, "dataCentre", header.dataCentres.size());
        upstream.slots = entry.at("slots").get<uint32_t>();
        upstream.realSlots = entry.at("realSlots").get<uint32_t>();
        require(upstream.slots && upstream.realSlots, "upstream has no slots");
        header.upstreams.push_back(std::move(upstream));
    }
    return header;
}

TraceArrival parseArrival(const json& object, const TraceHeader& header)
{
    TraceArrival arrival;
    arrival.service = indexOf(object, "service", header.services.size());
    arrival.route = indexOf(object, "route", header.services[arrival.service].routes.size());
    arrival.dataCentre = indexOf(object, "dataCentre", header.dataCentres.size());
    arrival.workClass = classOf(object);
    arrival.deadline = durationOf(object, "deadline");
    arrival.demand = durationOf(object, "demand");
    arrival.responseBytes = object.value("bytes", 0U);
    arrival.isStraggler = object.value("straggler", false);
    arrival.isPoison = object.value("poison", false);
    arrival.fingerprint = object.value("fingerprint", uint64_t { 0 });
    if (object.contains("operation")) {
        auto operation = parseId128(object.at("operation").get<std::string>());
        require(operation.has_value(), "malformed operation identifier");
        arrival.operation = *operation;
    }
    return arrival;
}

TraceUpstreamChange parseChange(const json& object, const TraceHeader& header)
{
    TraceUpstreamChange change;
    change.upstream = indexOf(object, "upstream", header.upstreams.size());
    auto kind = parseName<ChangeKind>(changeNames, object.at("kind").get<std::string>());
    require(kind.has_value(), "unknown kind of upstream change");
    change.kind = *kind;
    change.value = object.at("value").get<double>();
    return change;
}

TraceEvent parseEvent(const json& object, const TraceHeader& header)
{
    auto name = object.at("event").get<std::string>();
    Duration at = durationOf(object, "at");
    auto withTime = [&](auto event) {
        event.at = at;
        return TraceEvent(std::move(event));
    };
    if (name == "arrival")
        return withTime(parseArrival(object, header));
    if (name == "upstream")
        return withTime(parseChange(object, header));
    if (name == "pathCut") {
        TracePathCut cut;
        cut.from = indexOf(object, "from", header.dataCentres.size());
        cut.to = indexOf(object, "to", header.dataCentres.size());
        cut.isCut = object.at("cut").get<bool>();
        return withTime(cut);
    }
    require(name == "regionCut", "unknown event type");
    TraceRegionCut cut;
    cut.region = object.at("region").get<std::string>();
    cut.isCut = object.at("cut").get<bool>();
    return withTime(std::move(cut));
}

Error malformed(size_t line, std::string_view detail)
{
    return { ErrorCode::Malformed, "trace.parse", "", fmt::format("line {}: {}", line, detail) };
}

} // namespace

Result<Trace> parseTrace(std::string_view text)
{
    Trace trace;
    size_t line = 0;
    try {
        while (!text.empty()) {
            size_t length = text.find('\n');
            std::string_view lineText = text.substr(0, length);
            text.remove_prefix(length == std::string_view::npos ? text.size() : length + 1);
            ++line;
            json parsed = json::parse(lineText);
            if (line == 1) {
                trace.header = parseHeader(parsed);
                continue;
            }
            TraceEvent event = parseEvent(parsed, trace.header);
            require(
                trace.events.empty() || timeOf(trace.events.back()) <= timeOf(event), "events are not sorted by time");
            trace.events.push_back(std::move(event));
        }
    } catch (const std::exception& error) {
        return malformed(line, error.what());
    }
    if (!line)
        return malformed(1, "header line is missing");
    return trace;
}

//-----------------------------------------------------------------------------
// [SECTION] Generator
//-----------------------------------------------------------------------------

namespace {

// A route with the load that the generator puts on it.
struct RoutePlan {
    Route route;
    double share = 1; // share of the service's requests
    Duration demand {}; // mean service time
    uint32_t responseBytes = 4096;
};

struct ServicePlan {
    Service service;
    std::vector<RoutePlan> routes;

    // Mean service time of a request in microseconds.
    double meanDemand() const
    {
        double sum = 0;
        for (const RoutePlan& plan : routes)
            sum += plan.share * static_cast<double>(plan.demand.count());
        return sum;
    }
};

constexpr uint32_t upstreamsPerService = 12;
constexpr double demandSpread = 0.5; // standard deviation of the logarithm of the log-normal service time
constexpr double quietUtilisation = 0.4; // offered load as a share of capacity
constexpr double peakUtilisation = 3.0; // offered load at the peak as a share of capacity
// Utilisation by all requests if none were stragglers. Stragglers raise the mean service time by the factor
// 0.95 + 0.05 * 50 = 3.45 and with it the utilisation to about that of Quiet.
constexpr double stragglerUtilisation = quietUtilisation / 3.45;
constexpr double stragglerShare = 0.05; // share of the requests
constexpr double stragglerFactor = 50; // factor on the service time
constexpr Duration rampTime = 2s; // time in which the load rises to the peak, and in which it falls again

RoutePlan makeRoutePlan(std::string name, WorkClass workClass, double share, Duration demand, Duration deadline)
{
    RoutePlan plan;
    plan.route.name = std::move(name);
    plan.route.workClass = workClass;
    plan.route.repeatable = workClass != WorkClass::Critical;
    plan.route.deadline = deadline;
    plan.share = share;
    plan.demand = demand;
    return plan;
}

ServicePlan makeServicePlan(std::string name, uint32_t slots, uint32_t shortWorkSlots, std::vector<RoutePlan> routes)
{
    ServicePlan plan;
    plan.service.name = std::move(name);
    routes.push_back(makeRoutePlan("history", WorkClass::Background, 0, 60ms, 60s)); // used by stragglers only
    plan.service.slots = slots;
    plan.service.upstreams = upstreamsPerService;
    plan.service.floorSlots = slots * upstreamsPerService * 2 / 3;
    plan.service.admission.shortWorkSlots = shortWorkSlots;
    for (const RoutePlan& route : routes)
        plan.service.routes.push_back(route.route);
    plan.routes = std::move(routes);
    return plan;
}

std::vector<ServicePlan> servicePlansOf(Deployment deployment)
{
    using enum WorkClass;
    if (deployment == Deployment::Persatuan) {
        constexpr uint32_t slots = 7;
        return {
            makeServicePlan("katalog", slots, 1,
                { makeRoutePlan("patterns", Patient, 0.8, 100ms, 30s),
                    makeRoutePlan("stock", Interactive, 0.15, 60ms, 5s),
                    makeRoutePlan("export", Background, 0.05, 200ms, 60s) }),
            makeServicePlan("bekalan", slots, 1,
                { makeRoutePlan("order", Critical, 0.25, 100ms, 10s), makeRoutePlan("price", Patient, 0.6, 100ms, 30s),
                    makeRoutePlan("stock", Interactive, 0.15, 60ms, 5s) }),
            makeServicePlan("bayaran", slots, 1,
                { makeRoutePlan("payout", Critical, 0.25, 120ms, 10s),
                    makeRoutePlan("statement", Patient, 0.6, 100ms, 30s),
                    makeRoutePlan("ledger", Interactive, 0.15, 60ms, 5s) }),
        };
    }
    constexpr uint32_t slots = 4;
    return {
        makeServicePlan("archivo", slots, 2,
            { makeRoutePlan("lookup", Interactive, 0.85, 60ms, 10s),
                makeRoutePlan("instrument", Background, 0.15, 80ms, 60s) }),
        makeServicePlan("banco", slots, 2,
            { makeRoutePlan("register", Critical, 0.25, 80ms, 10s), makeRoutePlan("bench", Interactive, 0.6, 60ms, 10s),
                makeRoutePlan("reference", Background, 0.15, 80ms, 60s) }),
        makeServicePlan("sello", slots, 2,
            { makeRoutePlan("issue", Critical, 0.25, 100ms, 10s), makeRoutePlan("verify", Interactive, 0.65, 60ms, 10s),
                makeRoutePlan("audit", Background, 0.1, 80ms, 60s) }),
    };
}

std::vector<Location> dataCentresOf(Deployment deployment)
{
    std::vector<Location> locations;
    std::vector<std::string> regions = deployment == Deployment::Persatuan
        ? std::vector<std::string> { "semenanjung-utara", "semenanjung-selatan", "borneo" }
        : std::vector<std::string> { "cantabria", "navarra", "galicia" };
    for (const std::string& region : regions) {
        locations.push_back({ region, region + "-1" });
        locations.push_back({ region, region + "-2" });
    }
    return locations;
}

class Generator {
public:
    Generator(Deployment deployment, Scenario scenario, uint64_t seed)
        : m_scenario(scenario)
        , m_random(seed)
        , m_plans(servicePlansOf(deployment))
    {
        TraceHeader& header = m_trace.header;
        header.deployment = toString(deployment);
        header.scenario = toString(scenario);
        header.seed = seed;
        header.duration = 60s;
        header.localDelay = deployment == Deployment::Persatuan ? Duration(500us) : Duration(1ms);
        header.regionDelay = 30ms;
        header.callerDelay = deployment == Deployment::Persatuan ? 1ms : 3ms;
        header.dataCentres = dataCentresOf(deployment);
        for (const ServicePlan& plan : m_plans)
            header.services.push_back(plan.service);
        addUpstreams();
    }

    Trace run()
    {
        bool isPeak = m_scenario == Scenario::Peak || m_scenario == Scenario::PeakWithSlow;
        if (isPeak) {
            m_trace.header.peakStart = 20s;
            m_trace.header.peakEnd = 40s;
        }
        for (size_t i = 0; i < m_plans.size(); ++i)
            addArrivals(i);
        addFaults();
        std::stable_sort(m_trace.events.begin(), m_trace.events.end(),
            [](const TraceEvent& a, const TraceEvent& b) { return timeOf(a) < timeOf(b); });
        return std::move(m_trace);
    }

private:
    void addUpstreams()
    {
        TraceHeader& header = m_trace.header;
        for (size_t s = 0; s < m_plans.size(); ++s) {
            for (uint32_t i = 0; i < upstreamsPerService; ++i) {
                TraceUpstream upstream;
                upstream.name = fmt::format("{}-{:02}", m_plans[s].service.name, i);
                upstream.service = static_cast<uint16_t>(s);
                upstream.dataCentre = static_cast<uint16_t>(i % header.dataCentres.size());
                upstream.slots = upstream.realSlots = m_plans[s].service.slots;
                header.upstreams.push_back(std::move(upstream));
            }
        }
    }

    bool hasStragglers() const
    {
        return m_scenario == Scenario::Stragglers || m_scenario == Scenario::HiddenStragglers;
    }

    double utilisationAt(Duration time) const
    {
        if (hasStragglers() || m_scenario == Scenario::ShortOnly)
            return stragglerUtilisation;
        const TraceHeader& header = m_trace.header;
        if (header.peakStart == header.peakEnd)
            return quietUtilisation;
        double ramp = 0;
        if (time >= header.peakStart && time < header.peakEnd)
            ramp = std::min(1.0, static_cast<double>((time - header.peakStart).count()) / micros(rampTime));
        else if (time >= header.peakEnd)
            ramp = std::max(0.0, 1 - static_cast<double>((time - header.peakEnd).count()) / micros(rampTime));
        return quietUtilisation + ramp * (peakUtilisation - quietUtilisation);
    }

    static double micros(Duration duration) { return static_cast<double>(duration.count()); }

    void addArrivals(size_t service)
    {
        const ServicePlan& plan = m_plans[service];
        double slots = plan.service.slots * upstreamsPerService;
        double capacity = slots / plan.meanDemand(); // requests per microsecond
        std::uniform_real_distribution<> uniform;
        std::exponential_distribution<> interarrivalTime(capacity * peakUtilisation);
        double time = 0;
        // Poisson process with a varying rate by thinning: arrivals at the highest rate, of which a share is kept.
        while ((time += interarrivalTime(m_random)) < micros(m_trace.header.duration)) {
            Duration at(static_cast<int64_t>(time));
            if (uniform(m_random) * peakUtilisation < utilisationAt(at))
                addArrival(service, at);
        }
    }

    void addArrival(size_t service, Duration at)
    {
        const ServicePlan& plan = m_plans[service];
        std::uniform_real_distribution<> uniform;
        double remaining = uniform(m_random);
        size_t route = 0;
        while (route + 1 < plan.routes.size() && remaining >= plan.routes[route].share)
            remaining -= plan.routes[route++].share;
        std::lognormal_distribution<> demand(-demandSpread * demandSpread / 2, demandSpread);
        double factor = demand(m_random);
        bool isStraggler = uniform(m_random) < stragglerShare;
        uint16_t dataCentre = static_cast<uint16_t>(m_random() % m_trace.header.dataCentres.size());
        Id128 operation { m_random(), m_random() };

        TraceArrival arrival;
        arrival.at = at;
        arrival.service = static_cast<uint16_t>(service);
        arrival.isStraggler = isStraggler && hasStragglers();
        if (isStraggler && m_scenario == Scenario::ShortOnly)
            return;
        if (arrival.isStraggler) {
            factor *= stragglerFactor;
            if (m_scenario == Scenario::Stragglers)
                route = plan.routes.size() - 1;
        }
        const RoutePlan& routePlan = plan.routes[route];
        arrival.route = static_cast<uint16_t>(route);
        arrival.dataCentre = dataCentre;
        arrival.workClass = routePlan.route.workClass;
        arrival.deadline = arrival.isStraggler ? Duration(60s) : routePlan.route.deadline;
        arrival.demand = Duration(static_cast<int64_t>(factor * micros(routePlan.demand)) + 1);
        arrival.responseBytes = routePlan.responseBytes;
        if (!routePlan.route.repeatable)
            arrival.operation = operation;
        m_trace.events.emplace_back(arrival);
    }

    void addChange(Duration at, size_t upstream, ChangeKind kind, double value)
    {
        m_trace.events.emplace_back(TraceUpstreamChange { at, static_cast<uint16_t>(upstream), kind, value });
    }

    // Marks every 500th request to the first service after the fault time as a repetition of one of two requests that
    // crash upstreams.
    void addQueriesOfDeath()
    {
        uint64_t count = 0;
        for (TraceEvent& event : m_trace.events) {
            auto* arrival = std::get_if<TraceArrival>(&event);
            constexpr uint64_t interval = 500;
            if (!arrival || arrival->at < faultTime || arrival->service != 0 || ++count % interval)
                continue;
            arrival->isPoison = true;
            arrival->fingerprint = 1 + count / interval % 2;
        }
    }

    void addFaults()
    {
        constexpr size_t faultyUpstream = 0; // first upstream of the first service, in the first data centre
        Duration fault = faultTime;
        auto& events = m_trace.events;
        switch (m_scenario) {
        case Scenario::Quiet:
        case Scenario::Peak:
        case Scenario::ShortOnly:
        case Scenario::Stragglers:
        case Scenario::HiddenStragglers:
            return;
        case Scenario::SlowUpstream:
        case Scenario::PeakWithSlow:
            addChange(fault, faultyUpstream, ChangeKind::Slow, 5);
            break;
        case Scenario::CutWithWrong:
            addChange(fault, 2, ChangeKind::Wrong, 0.5);
            [[fallthrough]];
        case Scenario::OneWayCut:
            events.emplace_back(TracePathCut { fault, 0, 1, true });
            events.emplace_back(TracePathCut { 45s, 0, 1, false });
            break;
        case Scenario::WrongUpstream:
            addChange(fault, faultyUpstream, ChangeKind::Wrong, 0.5);
            addChange(fault, faultyUpstream, ChangeKind::PassChecks, 1);
            break;
        case Scenario::Flapping:
            for (int i = 0; i < 5; ++i) {
                addChange(fault + 8s * i, faultyUpstream, ChangeKind::Fail, 0.8);
                addChange(fault + 8s * i + 4s, faultyUpstream, ChangeKind::Fail, 0);
            }
            break;
        case Scenario::LyingReports:
            addChange(fault, faultyUpstream, ChangeKind::Lie, 1);
            addChange(fault, faultyUpstream, ChangeKind::Slow, 3);
            break;
        case Scenario::RegionCut:
            events.emplace_back(TraceRegionCut { fault, m_trace.header.dataCentres.back().region, true });
            events.emplace_back(TraceRegionCut { 45s, m_trace.header.dataCentres.back().region, false });
            break;
        case Scenario::Rolling:
            for (size_t i = 0; i < upstreamsPerService; ++i) {
                Duration start = fault + 3s * static_cast<int64_t>(i);
                addChange(start, i, ChangeKind::Drain, 1);
                addChange(start + 4s, i, ChangeKind::Restart, 1);
            }
            break;
        case Scenario::ColdStarts:
            for (size_t i = 0; i < 3; ++i) {
                addChange(fault, i, ChangeKind::Crash, 1);
                addChange(fault + 5s, i, ChangeKind::Restart, 1);
            }
            break;
        case Scenario::Shedding:
            addChange(fault, faultyUpstream, ChangeKind::Shed, 0.5);
            break;
        case Scenario::QueryOfDeath:
            addQueriesOfDeath();
            break;
        case Scenario::FailOneInFive:
            addChange(fault, faultyUpstream, ChangeKind::Fail, 0.2);
            break;
        case Scenario::WrongOneInFive:
            addChange(fault, faultyUpstream, ChangeKind::Wrong, 0.2);
            break;
        case Scenario::PassingChecks:
            addChange(fault, faultyUpstream, ChangeKind::Fail, 0.5);
            addChange(fault, faultyUpstream, ChangeKind::PassChecks, 1);
            break;
        case Scenario::LyingAndSlow:
            addChange(fault, faultyUpstream, ChangeKind::Lie, 1);
            addChange(fault, faultyUpstream, ChangeKind::Slow, 5);
            break;
        }
        m_trace.header.faultAt = fault;
    }

    static constexpr Duration faultTime = 15s;

    Scenario m_scenario;
    std::mt19937_64 m_random;
    std::vector<ServicePlan> m_plans;
    Trace m_trace;
};

} // namespace

Trace generateTrace(Deployment deployment, Scenario scenario, uint64_t seed)
{
    return Generator(deployment, scenario, seed).run();
}

Trace thinTrace(Trace trace, double ratePerUpstream, uint64_t seed)
{
    const TraceHeader& header = trace.header;
    std::vector<double> arrivals(header.services.size());
    for (const TraceEvent& event : trace.events) {
        if (const auto* arrival = std::get_if<TraceArrival>(&event))
            ++arrivals[arrival->service];
    }
    std::vector<double> upstreams(header.services.size());
    for (const TraceUpstream& upstream : header.upstreams)
        ++upstreams[upstream.service];
    std::mt19937_64 random(seed);
    std::uniform_real_distribution<> uniform;
    double duration = std::chrono::duration<double>(header.duration).count();
    std::erase_if(trace.events, [&](const TraceEvent& event) {
        const auto* arrival = std::get_if<TraceArrival>(&event);
        return arrival
            && uniform(random) * arrivals[arrival->service] >= ratePerUpstream * upstreams[arrival->service] * duration;
    });
    return trace;
}

} // namespace Gooseberrymill

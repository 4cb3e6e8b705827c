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
std::optional<Enum> findName(const std::array<std::string_view, n>& names, std::string_view text)
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
std::optional<Deployment> parseDeployment(std::string_view text) { return findName<Deployment>(deploymentNames, text); }
std::optional<Scenario> parseScenario(std::string_view text) { return findName<Scenario>(scenarioNames, text); }

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
    json text { { "format", 1 }, { "deployment", header.deployment }, { "scenario", header.scenario },
        { "seed", header.seed }, { "duration", header.duration.count() }, { "localDelay", header.localDelay.count() },
        { "regionDelay", header.regionDelay.count() }, { "callerDelay", header.callerDelay.count() },
        { "peakStart", header.peakStart.count() }, { "peakEnd", header.peakEnd.count() },
        { "faultAt", header.faultAt.count() }, { "dataCentres", json::array() }, { "services", json::array() },
        { "upstreams", json::array() } };
    for (const Location& location : header.dataCentres)
        text["dataCentres"].push_back({ { "region", location.region }, { "name", location.dataCentre } });
    for (const Service& service : header.services)
        text["services"].push_back(toJson(service));
    for (const TraceUpstream& upstream : header.upstreams)
        text["upstreams"].push_back(toJson(upstream));
    return text;
}

json toJson(const TraceArrival& arrival)
{
    json text { { "event", "arrival" }, { "at", arrival.at.count() }, { "service", arrival.service },
        { "route", arrival.route }, { "dataCentre", arrival.dataCentre }, { "class", toString(arrival.workClass) },
        { "deadline", arrival.deadline.count() }, { "demand", arrival.demand.count() },
        { "bytes", arrival.responseBytes } };
    if (arrival.operation)
        text["operation"] = toString(arrival.operation);
    if (arrival.isStraggler)
        text["straggler"] = true;
    if (arrival.isPoison)
        text["poison"] = true;
    if (arrival.fingerprint)
        text["fingerprint"] = arrival.fingerprint;
    return text;
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

// Thrown inside the parser only, turned into an Error at its border.
struct FormatError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

void require(bool condition, const char* what)
{
    if (!condition)
        throw FormatError(what);
}

Duration durationOf(const json& text, const char* key)
{
    auto count = text.at(key).get<int64_t>();
    require(count >= 0, "negative time");
    return Duration(count);
}

WorkClass classOf(const json& text)
{
    auto workClass = parseWorkClass(text.at("class").get<std::string>());
    require(workClass.has_value(), "unknown class");
    return *workClass;
}

uint16_t indexOf(const json& text, const char* key, size_t size)
{
    auto index = text.at(key).get<uint64_t>();
    require(index < size, "index outside the header");
    return static_cast<uint16_t>(index);
}

Route parseRoute(const json& text)
{
    Route route;
    route.name = text.at("name").get<std::string>();
    route.workClass = classOf(text);
    route.repeatable = text.at("repeatable").get<bool>();
    route.internal = text.value("internal", false);
    route.deadline = durationOf(text, "deadline");
    return route;
}

Service parseService(const json& text)
{
    Service service;
    service.name = text.at("name").get<std::string>();
    service.upstreams = text.at("upstreams").get<uint32_t>();
    service.slots = text.at("slots").get<uint32_t>();
    service.floorSlots = text.value("floorSlots", 0U);
    service.admission.queueLimit = text.value("queueLimit", service.admission.queueLimit);
    service.admission.shortWorkSlots = text.value("shortWorkSlots", service.admission.shortWorkSlots);
    for (const json& route : text.at("routes"))
        service.routes.push_back(parseRoute(route));
    return service;
}

TraceHeader parseHeader(const json& text)
{
    require(text.at("format").get<int>() == 1, "unsupported format");
    TraceHeader header;
    header.deployment = text.at("deployment").get<std::string>();
    header.scenario = text.value("scenario", "");
    header.seed = text.at("seed").get<uint64_t>();
    header.duration = durationOf(text, "duration");
    header.localDelay = durationOf(text, "localDelay");
    header.regionDelay = durationOf(text, "regionDelay");
    header.callerDelay = durationOf(text, "callerDelay");
    header.peakStart = durationOf(text, "peakStart");
    header.peakEnd = durationOf(text, "peakEnd");
    header.faultAt = durationOf(text, "faultAt");
    for (const json& location : text.at("dataCentres"))
        header.dataCentres.push_back(
            { location.at("region").get<std::string>(), location.at("name").get<std::string>() });
    for (const json& service : text.at("services"))
        header.services.push_back(parseService(service));
    for (const json& entry : text.at("upstreams")) {
        TraceUpstream upstream;
        upstream.name = entry.at("name").get<std::string>();
        upstream.service = indexOf(entry, "service", header.services.size());
        upstream.dataCentre = indexOf(entry, "dataCentre", header.dataCentres.size());
        upstream.slots = entry.at("slots").get<uint32_t>();
        upstream.realSlots = entry.at("realSlots").get<uint32_t>();
        require(upstream.slots && upstream.realSlots, "an upstream without slots");
        header.upstreams.push_back(std::move(upstream));
    }
    return header;
}

TraceArrival parseArrival(const json& text, const TraceHeader& header)
{
    TraceArrival arrival;
    arrival.service = indexOf(text, "service", header.services.size());
    arrival.route = indexOf(text, "route", header.services[arrival.service].routes.size());
    arrival.dataCentre = indexOf(text, "dataCentre", header.dataCentres.size());
    arrival.workClass = classOf(text);
    arrival.deadline = durationOf(text, "deadline");
    arrival.demand = durationOf(text, "demand");
    arrival.responseBytes = text.value("bytes", 0U);
    arrival.isStraggler = text.value("straggler", false);
    arrival.isPoison = text.value("poison", false);
    arrival.fingerprint = text.value("fingerprint", uint64_t { 0 });
    if (text.contains("operation")) {
        auto operation = parseId128(text.at("operation").get<std::string>());
        require(operation.has_value(), "malformed operation");
        arrival.operation = *operation;
    }
    return arrival;
}

TraceUpstreamChange parseChange(const json& text, const TraceHeader& header)
{
    TraceUpstreamChange change;
    change.upstream = indexOf(text, "upstream", header.upstreams.size());
    auto kind = findName<ChangeKind>(changeNames, text.at("kind").get<std::string>());
    require(kind.has_value(), "unknown kind of change");
    change.kind = *kind;
    change.value = text.at("value").get<double>();
    return change;
}

TraceEvent parseEvent(const json& text, const TraceHeader& header)
{
    auto name = text.at("event").get<std::string>();
    Duration at = durationOf(text, "at");
    auto timed = [&](auto event) {
        event.at = at;
        return TraceEvent(std::move(event));
    };
    if (name == "arrival")
        return timed(parseArrival(text, header));
    if (name == "upstream")
        return timed(parseChange(text, header));
    if (name == "pathCut") {
        TracePathCut cut;
        cut.from = indexOf(text, "from", header.dataCentres.size());
        cut.to = indexOf(text, "to", header.dataCentres.size());
        cut.isCut = text.at("cut").get<bool>();
        return timed(cut);
    }
    require(name == "regionCut", "unknown event");
    TraceRegionCut cut;
    cut.region = text.at("region").get<std::string>();
    cut.isCut = text.at("cut").get<bool>();
    return timed(std::move(cut));
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
            std::string_view row = text.substr(0, length);
            text.remove_prefix(length == std::string_view::npos ? text.size() : length + 1);
            ++line;
            json parsed = json::parse(row);
            if (line == 1) {
                trace.header = parseHeader(parsed);
                continue;
            }
            TraceEvent event = parseEvent(parsed, trace.header);
            require(trace.events.empty() || timeOf(trace.events.back()) <= timeOf(event), "events are not sorted");
            trace.events.push_back(std::move(event));
        }
    } catch (const std::exception& error) {
        return malformed(line, error.what());
    }
    if (!line)
        return malformed(1, "no header");
    return trace;
}

//-----------------------------------------------------------------------------
// [SECTION] Generator
//-----------------------------------------------------------------------------

namespace {

struct RoutePlan {
    Route route;
    double share = 1; // of the service's requests
    Duration demand {}; // mean service time
    uint32_t responseBytes = 4096;
};

struct ServicePlan {
    Service service;
    std::vector<RoutePlan> routes;

    double meanDemand() const
    {
        double sum = 0;
        for (const RoutePlan& plan : routes)
            sum += plan.share * static_cast<double>(plan.demand.count());
        return sum;
    }
};

constexpr uint32_t upstreamsPerService = 12;
constexpr double demandSpread = 0.5; // sigma of the log-normal service time
constexpr double quietUtilisation = 0.4;
constexpr double peakUtilisation = 3.0;
constexpr double stragglerUtilisation = quietUtilisation / 3.45; // of the short requests; with stragglers as quiet
constexpr double stragglerShare = 0.05;
constexpr double stragglerFactor = 50;
constexpr Duration rampTime = 2s;

RoutePlan makeRoute(std::string name, WorkClass workClass, double share, Duration demand, Duration deadline)
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

ServicePlan makeService(std::string name, uint32_t slots, uint32_t shortWorkSlots, std::vector<RoutePlan> routes)
{
    ServicePlan plan;
    plan.service.name = std::move(name);
    routes.push_back(makeRoute("history", WorkClass::Background, 0, 60ms, 60s)); // stragglers only
    plan.service.slots = slots;
    plan.service.upstreams = upstreamsPerService;
    plan.service.floorSlots = slots * upstreamsPerService * 2 / 3;
    plan.service.admission.shortWorkSlots = shortWorkSlots;
    for (const RoutePlan& route : routes)
        plan.service.routes.push_back(route.route);
    plan.routes = std::move(routes);
    return plan;
}

std::vector<ServicePlan> servicesOf(Deployment deployment)
{
    using enum WorkClass;
    if (deployment == Deployment::Persatuan) {
        constexpr uint32_t slots = 7;
        return {
            makeService("katalog", slots, 1,
                { makeRoute("patterns", Patient, 0.8, 100ms, 30s), makeRoute("stock", Interactive, 0.15, 60ms, 5s),
                    makeRoute("export", Background, 0.05, 200ms, 60s) }),
            makeService("bekalan", slots, 1,
                { makeRoute("order", Critical, 0.25, 100ms, 10s), makeRoute("price", Patient, 0.6, 100ms, 30s),
                    makeRoute("stock", Interactive, 0.15, 60ms, 5s) }),
            makeService("bayaran", slots, 1,
                { makeRoute("payout", Critical, 0.25, 120ms, 10s), makeRoute("statement", Patient, 0.6, 100ms, 30s),
                    makeRoute("ledger", Interactive, 0.15, 60ms, 5s) }),
        };
    }
    constexpr uint32_t slots = 4;
    return {
        makeService("archivo", slots, 2,
            { makeRoute("lookup", Interactive, 0.85, 60ms, 10s),
                makeRoute("instrument", Background, 0.15, 80ms, 60s) }),
        makeService("banco", slots, 2,
            { makeRoute("register", Critical, 0.25, 80ms, 10s), makeRoute("bench", Interactive, 0.6, 60ms, 10s),
                makeRoute("reference", Background, 0.15, 80ms, 60s) }),
        makeService("sello", slots, 2,
            { makeRoute("issue", Critical, 0.25, 100ms, 10s), makeRoute("verify", Interactive, 0.65, 60ms, 10s),
                makeRoute("audit", Background, 0.1, 80ms, 60s) }),
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
        , m_plans(servicesOf(deployment))
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
        std::exponential_distribution<> gap(capacity * peakUtilisation);
        double time = 0;
        // Thinning of a Poisson process at the highest rate.
        while ((time += gap(m_random)) < micros(m_trace.header.duration)) {
            Duration at(static_cast<int64_t>(time));
            if (uniform(m_random) * peakUtilisation < utilisationAt(at))
                addArrival(service, at);
        }
    }

    void addArrival(size_t service, Duration at)
    {
        const ServicePlan& plan = m_plans[service];
        std::uniform_real_distribution<> uniform;
        double pick = uniform(m_random);
        size_t route = 0;
        while (route + 1 < plan.routes.size() && pick >= plan.routes[route].share)
            pick -= plan.routes[route++].share;
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
        const RoutePlan& planned = plan.routes[route];
        arrival.route = static_cast<uint16_t>(route);
        arrival.dataCentre = dataCentre;
        arrival.workClass = planned.route.workClass;
        arrival.deadline = arrival.isStraggler ? Duration(60s) : planned.route.deadline;
        arrival.demand = Duration(static_cast<int64_t>(factor * micros(planned.demand)) + 1);
        arrival.responseBytes = planned.responseBytes;
        if (!planned.route.repeatable)
            arrival.operation = operation;
        m_trace.events.emplace_back(arrival);
    }

    void change(Duration at, size_t upstream, ChangeKind kind, double value)
    {
        m_trace.events.emplace_back(TraceUpstreamChange { at, static_cast<uint16_t>(upstream), kind, value });
    }

    // Two requests that their callers send again and again.
    void addPoison()
    {
        uint64_t count = 0;
        for (TraceEvent& event : m_trace.events) {
            auto* arrival = std::get_if<TraceArrival>(&event);
            constexpr uint64_t every = 500;
            if (!arrival || arrival->at < faultTime || arrival->service != 0 || ++count % every)
                continue;
            arrival->isPoison = true;
            arrival->fingerprint = 1 + count / every % 2;
        }
    }

    void addFaults()
    {
        constexpr size_t victim = 0; // first upstream of the first service, in the first data centre
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
            change(fault, victim, ChangeKind::Slow, 5);
            break;
        case Scenario::CutWithWrong:
            change(fault, 2, ChangeKind::Wrong, 0.5);
            [[fallthrough]];
        case Scenario::OneWayCut:
            events.emplace_back(TracePathCut { fault, 0, 1, true });
            events.emplace_back(TracePathCut { 45s, 0, 1, false });
            break;
        case Scenario::WrongUpstream:
            change(fault, victim, ChangeKind::Wrong, 0.5);
            change(fault, victim, ChangeKind::PassChecks, 1);
            break;
        case Scenario::Flapping:
            for (int i = 0; i < 5; ++i) {
                change(fault + 8s * i, victim, ChangeKind::Fail, 0.8);
                change(fault + 8s * i + 4s, victim, ChangeKind::Fail, 0);
            }
            break;
        case Scenario::LyingReports:
            change(fault, victim, ChangeKind::Lie, 1);
            change(fault, victim, ChangeKind::Slow, 3);
            break;
        case Scenario::RegionCut:
            events.emplace_back(TraceRegionCut { fault, m_trace.header.dataCentres.back().region, true });
            events.emplace_back(TraceRegionCut { 45s, m_trace.header.dataCentres.back().region, false });
            break;
        case Scenario::Rolling:
            for (size_t i = 0; i < upstreamsPerService; ++i) {
                Duration start = fault + 3s * static_cast<int64_t>(i);
                change(start, i, ChangeKind::Drain, 1);
                change(start + 4s, i, ChangeKind::Restart, 1);
            }
            break;
        case Scenario::ColdStarts:
            for (size_t i = 0; i < 3; ++i) {
                change(fault, i, ChangeKind::Crash, 1);
                change(fault + 5s, i, ChangeKind::Restart, 1);
            }
            break;
        case Scenario::Shedding:
            change(fault, victim, ChangeKind::Shed, 0.5);
            break;
        case Scenario::QueryOfDeath:
            addPoison();
            break;
        case Scenario::FailOneInFive:
            change(fault, victim, ChangeKind::Fail, 0.2);
            break;
        case Scenario::WrongOneInFive:
            change(fault, victim, ChangeKind::Wrong, 0.2);
            break;
        case Scenario::PassingChecks:
            change(fault, victim, ChangeKind::Fail, 0.5);
            change(fault, victim, ChangeKind::PassChecks, 1);
            break;
        case Scenario::LyingAndSlow:
            change(fault, victim, ChangeKind::Lie, 1);
            change(fault, victim, ChangeKind::Slow, 5);
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

Trace thinTrace(Trace trace, double perUpstream, uint64_t seed)
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
            && uniform(random) * arrivals[arrival->service] >= perUpstream * upstreams[arrival->service] * duration;
    });
    return trace;
}

} // namespace Gooseberrymill

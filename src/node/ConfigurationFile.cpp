#include "ConfigurationFile.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace Gooseberrymill {

namespace {

//-----------------------------------------------------------------------------
// [SECTION] Validation of text values
//-----------------------------------------------------------------------------

bool isMethod(std::string_view text)
{
    constexpr size_t maxMethodLength = 16;
    return !text.empty() && text.size() <= maxMethodLength
        && std::all_of(text.begin(), text.end(), [](char c) { return c >= 'A' && c <= 'Z'; });
}

bool isPath(std::string_view text)
{
    constexpr size_t maxPathLength = 512;
    if (!text.starts_with('/') || text.size() > maxPathLength)
        return false;
    if (text.ends_with("/*"))
        text.remove_suffix(1);
    constexpr std::string_view forbiddenCharacters = "*?#\"\\<>";
    return std::all_of(text.begin(), text.end(),
        [&](char c) { return c > ' ' && c <= '~' && forbiddenCharacters.find(c) == std::string_view::npos; });
}

bool isHeaderName(std::string_view text)
{
    constexpr size_t maxHeaderLength = 64;
    constexpr std::string_view specialCharacters = "!#$%&'*+-.^_`|~";
    return text.size() <= maxHeaderLength && std::all_of(text.begin(), text.end(), [&](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9')
            || specialCharacters.find(c) != std::string_view::npos;
    });
}

bool isContentType(std::string_view text)
{
    constexpr size_t maxContentTypeLength = 128;
    if (text.empty())
        return true;
    size_t slash = text.find('/');
    return text.size() <= maxContentTypeLength && slash != std::string_view::npos && slash && slash + 1 < text.size()
        && std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c <= '~' && c != '"' && c != '\\'; });
}

const TextRule methodRule { "an HTTP method of 1 to 16 upper-case letters", &isMethod };
const TextRule pathRule { "\"/exact\" or \"/prefix/*\", printable ASCII without spaces, at most 512 characters",
    &isPath };
bool isHostName(std::string_view text)
{
    constexpr size_t maxHostLength = 253;
    return text.size() <= maxHostLength && std::all_of(text.begin(), text.end(), [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '.';
    });
}

const TextRule hostRule { "a host name in lower case without a port, or \"\" for any", &isHostName };
const TextRule headerRule { "a header name of at most 64 characters, or \"\" for none", &isHeaderName };
const TextRule contentTypeRule { "a media type such as \"application/json\", or \"\" for any", &isContentType };

const TextCodec<WorkClass> workClassCodec { "text", "critical, interactive, patient or background",
    [](std::string_view text) { return parseWorkClass(text); },
    [](const WorkClass& value) { return std::string(toString(value)); } };

const TextCodec<std::optional<WorkClass>> optionalWorkClassCodec { "text",
    "critical, interactive, patient, background, or \"\"",
    [](std::string_view text) -> std::optional<std::optional<WorkClass>> {
        if (text.empty())
            return std::optional<WorkClass>();
        std::optional<WorkClass> workClass = parseWorkClass(text);
        if (!workClass)
            return std::nullopt;
        return workClass;
    },
    [](const std::optional<WorkClass>& value) { return value ? std::string(toString(*value)) : std::string(); } };

bool isOrganisationKey(std::string_view text)
{
    constexpr size_t maxKeyLength = 256;
    return !text.empty() && text.size() <= maxKeyLength
        && std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c <= '~'; });
}

const TextRule organisationKeyRule { "a text of 1 to 256 printable ASCII characters without spaces", &isOrganisationKey,
    true };

//-----------------------------------------------------------------------------
// [SECTION] Keys
//-----------------------------------------------------------------------------

constexpr size_t maxServices = 4096;
constexpr size_t maxOrganisations = 200'000;
constexpr size_t maxRoutes = 4096; // most routes of one service
constexpr size_t maxSplitServices = 16; // most services that one route splits its requests between
constexpr size_t maxListElements = 32; // most elements of a list of methods or status codes
constexpr uint64_t maxUpstreams = 100'000; // most upstreams of one service
constexpr uint64_t maxSlots = 10'000; // most concurrent requests of one upstream

void describeDetection(auto& section, DetectionPolicy& policy)
{
    section.real("falseAlarmsPerUpstreamYear", policy.falseAlarmsPerUpstreamYear, { 0.0001, 1000.0 },
        "False alarms accepted on one healthy upstream in a year; lower values detect later.");
    section.real(
        "slowRatio", policy.slowRatio, { 1.5, 100.0 }, "Service time relative to the peers that must be detected.");
    section.real("failureShare", policy.failureShare, { 0.01, 1.0 },
        "Share of failed or wrong responses that must be detected.");
    section.duration(
        "probation", policy.probation, { 1s, 24h }, "Length of the first ejection; it doubles with each further one.");
    section.duration("maxProbation", policy.maxProbation, { 1s, 168h }, "Longest ejection.");
    section.duration("ramp", policy.ramp, { 0s, 1h }, "Time from cold or readmitted to the full share of traffic.");
}

void describeWeights(auto& section, std::array<uint32_t, workClassCount>& weights)
{
    constexpr Bounds<uint64_t> range { 1, 1000 };
    for (size_t i = 0; i < workClassCount; ++i) {
        section.integer(toString(static_cast<WorkClass>(i)), weights.at(i), range, Presence::Optional,
            "Share of the slots of this class when slots are short.");
    }
}

void describeAdmission(auto& section, AdmissionPolicy& policy)
{
    section.integer("queueLimit", policy.queueLimit, { 1, 100'000 }, Presence::Optional,
        "Requests that may wait for one upstream.");
    section.integer("shortWorkSlots", policy.shortWorkSlots, { 0, maxSlots }, Presence::Optional,
        "Slots of each upstream that requests expected to be long may not take; fewer than slots. With one slot the "
        "default is 0.");
    section.real("longWorkRatio", policy.longWorkRatio, { 1.1, 1000.0 },
        "Expected length relative to the median of the service from which a request counts as long.");
    section.section("weights", [&](auto& weights) { describeWeights(weights, policy.weights); });
}

void describeRetry(auto& section, RetryPolicy& policy)
{
    // At most 0.2, because retries must not raise the load on upstreams above 1.2 times the offered load.
    section.real(
        "budgetShare", policy.budgetShare, { 0.0, 0.2 }, "Retries and hedges as a share of the offered requests.");
    section.integer("maxAttempts", policy.maxAttempts, { 1, 10 }, Presence::Optional,
        "Attempts of one request, the first included.");
    section.flag("hedge", policy.hedge,
        "Reserved for second attempts of repeatable reads in the same region; entries do not make them yet.");
}

void describeCheck(auto& section, AnswerCheck& check)
{
    section.integerList(
        "statuses", check.statuses, { 100, 599 }, maxListElements, "Expected status codes; empty: any below 500.");
    section.text(
        "contentType", check.contentType, contentTypeRule, Presence::Optional, "Expected content type; empty: any.");
    section.text("requiredHeader", check.requiredHeader, headerRule, Presence::Optional,
        "Header that each response must have; empty: none.");
    section.size("minBytes", check.minBytes, { 0, 1ULL << 30 }, "Least length of a response body.");
}

void describeRoute(auto& section, Route& route)
{
    section.text("name", route.name, nameRule, Presence::Required, "Name of the route, unique in its service.");
    section.text("path", route.path, pathRule, Presence::Required, "Path, or prefix ending in \"/*\".");
    section.text("host", route.host, hostRule, Presence::Optional, "Host name that callers ask for; empty: any.");
    section.textList("methods", route.methods, methodRule, maxListElements, "HTTP methods; empty: any.");
    section.flag("repeatable", route.repeatable, "Whether a request may reach an upstream more than once.");
    section.flag("internal", route.internal, "Whether only callers that name an internal service may use the route.");
    section.flag("public", route.isPublic, "Whether callers need no key although organisations are declared.");
    section.coded("class", route.workClass, workClassCodec, Presence::Optional,
        "Class of work; decides the order when slots are short.");
    section.duration("deadline", route.deadline, { 1ms, 24h },
        "How long the caller waits, unless the request brings a shorter deadline.");
    section.size("maxBodyBytes", route.maxBodyBytes, { 0, 1ULL << 30 },
        "Largest request body; at most 1MiB on a route that is not repeatable.");
    section.integer("maxAttempts", route.maxAttempts, { 0, 10 }, Presence::Optional,
        "Upstreams that one request may be sent to; 0: as retry.maxAttempts of the service says.");
    section.section("check", [&](auto& check) { describeCheck(check, route.check); });
    section.sections("split", route.split, maxSplitServices, [](auto& split, WeightedService& item) {
        split.text("service", item.service, nameRule, Presence::Required, "Service that gets a share of the requests.");
        split.integer("weight", item.weight, { 1, 1'000'000 }, Presence::Required,
            "Share of the requests, relative to the sum of the weights.");
    });
}

void describeService(auto& section, Service& service)
{
    section.text("name", service.name, nameRule, Presence::Required, "Name of the service, unique in the fleet.");
    section.integer(
        "upstreams", service.upstreams, { 1, maxUpstreams }, Presence::Required, "Planned number of upstreams.");
    section.integer(
        "slots", service.slots, { 1, maxSlots }, Presence::Required, "Concurrent requests of one upstream.");
    section.integer("floorSlots", service.floorSlots, { 0, maxUpstreams * maxSlots }, Presence::Required,
        "Healthy capacity in slots that ejections must leave; at most upstreams x slots.");
    // At most 7 days, after which claim objects are deleted (ClaimSettings::keepFor): with a longer retention, a key
    // whose claim is already deleted would be accepted a second time.
    section.duration("retention", service.retention, { 1min, 168h }, "How long operation keys and outcomes are kept.");
    section.section("detection", [&](auto& detection) { describeDetection(detection, service.detection); });
    // When reading, shortWorkSlots still holds its default here. It is reduced below the number of slots, so that a
    // service with one slot does not reserve that slot for short requests.
    if (section.isReading)
        service.admission.shortWorkSlots = std::min(service.admission.shortWorkSlots, service.slots - 1);
    section.section("admission", [&](auto& admission) { describeAdmission(admission, service.admission); });
    section.section("retry", [&](auto& retry) { describeRetry(retry, service.retry); });
    section.sections("route", service.routes, maxRoutes, [](auto& route, Route& item) { describeRoute(route, item); });
}

void describeOrganisation(auto& section, Organisation& organisation)
{
    section.text(
        "name", organisation.name, nameRule, Presence::Required, "Name of the organisation, unique in the fleet.");
    section.textList("keys", organisation.keys, organisationKeyRule, maxListElements,
        "Keys that its callers present as \"Authorization: Bearer KEY\"; each belongs to one organisation.");
    section.real("rate", organisation.rate, { 0.0, 1e9 }, "Requests a second over the whole fleet; 0: no limit.");
    section.real("burst", organisation.burst, { 0.0, 1e9 }, "Requests allowed beyond the rate at one time.");
    section.coded("class", organisation.workClass, optionalWorkClassCodec, Presence::Optional,
        "Class of work that precedes that of the route; empty: that of the route.");
}

void describeConfiguration(auto& section, Configuration& configuration)
{
    section.text("name", configuration.name, nameRule, Presence::Optional, "Name of the document.");
    section.sections("service", configuration.services, maxServices,
        [](auto& service, Service& item) { describeService(service, item); });
    section.sections("organisation", configuration.organisations, maxOrganisations,
        [](auto& organisation, Organisation& item) { describeOrganisation(organisation, item); });
}

//-----------------------------------------------------------------------------
// [SECTION] Validation across keys
//-----------------------------------------------------------------------------

// Validates rules that involve more than one key. A rule is skipped if one of its keys has already been rejected, so
// that one mistake is reported once.
class CrossChecker {
public:
    explicit CrossChecker(ReadContext& context)
        : m_context(context)
    {
    }

    void checkDocument(const Configuration& configuration)
    {
        if (configuration.services.empty() && !m_context.isRejected("service"))
            m_context.reportAt(1, "service", "no service", "at least one table [[service]]");
        for (size_t i = 0; i < configuration.services.size(); ++i)
            checkService(configuration.services[i], fmt::format("service[{}]", i));
        for (size_t i = 0; i < configuration.services.size(); ++i)
            checkSplits(configuration.services[i], fmt::format("service[{}]", i));
        checkOrganisations(configuration.organisations);
    }

private:
    struct MethodRoute {
        std::string method; // HTTP method that the route handles; empty: any
        std::string routePath; // key path of that route in the document, such as "service[0].route[2]"
    };

    // Returns true if none of the keys below `path` has been rejected.
    bool areAccepted(const std::string& path, std::initializer_list<std::string_view> keys) const
    {
        return std::none_of(keys.begin(), keys.end(),
            [&](std::string_view key) { return m_context.isRejected(fmt::format("{}.{}", path, key)); });
    }

    void checkService(const Service& service, const std::string& path)
    {
        if (areAccepted(path, { "name" }) && !m_serviceNames.insert(service.name).second)
            m_context.report(path + ".name", fmt::format("\"{}\" a second time", service.name), "a unique name");
        checkCapacity(service, path);
        const DetectionPolicy& detection = service.detection;
        if (areAccepted(path, { "detection.probation", "detection.maxProbation" })
            && detection.probation > detection.maxProbation) {
            m_context.report(path + ".detection.maxProbation", printDuration(detection.maxProbation),
                fmt::format("at least the probation of {}", printDuration(detection.probation)));
        }
        if (service.routes.empty() && areAccepted(path, { "route" }))
            m_context.report(path + ".route", "no route", "at least one table [[service.route]]");
        std::set<std::string> routeNames;
        for (size_t i = 0; i < service.routes.size(); ++i) {
            const Route& route = service.routes[i];
            std::string routePath = fmt::format("{}.route[{}]", path, i);
            if (areAccepted(routePath, { "name" }) && !routeNames.insert(route.name).second)
                m_context.report(routePath + ".name", fmt::format("\"{}\" a second time", route.name), "a unique name");
            checkRoute(service, route, path, routePath);
        }
    }

    // The errors do not show a key, which is a secret.
    void checkOrganisations(std::span<const Organisation> organisations)
    {
        std::set<std::string> names;
        std::set<std::string> keys;
        for (size_t i = 0; i < organisations.size(); ++i) {
            const Organisation& organisation = organisations[i];
            std::string path = fmt::format("organisation[{}]", i);
            if (areAccepted(path, { "name" }) && !names.insert(organisation.name).second)
                m_context.report(
                    path + ".name", fmt::format("\"{}\" a second time", organisation.name), "a unique name");
            bool areUnique = true;
            for (const std::string& key : organisation.keys)
                areUnique = keys.insert(key).second && areUnique;
            if (areAccepted(path, { "keys" }) && !areUnique)
                m_context.report(path + ".keys", "a key a second time", "keys that no other organisation has");
        }
    }

    // Checks that the services a route is split between exist. Runs after the names of all services are collected.
    void checkSplits(const Service& service, const std::string& path)
    {
        for (size_t i = 0; i < service.routes.size(); ++i) {
            for (size_t j = 0; j < service.routes[i].split.size(); ++j) {
                const std::string& name = service.routes[i].split[j].service;
                std::string key = fmt::format("{}.route[{}].split[{}]", path, i, j);
                if (areAccepted(key, { "service" }) && !m_serviceNames.contains(name))
                    m_context.report(key + ".service", fmt::format("\"{}\"", name), "the name of a declared service");
            }
        }
    }

    void checkCapacity(const Service& service, const std::string& path)
    {
        uint64_t capacity = static_cast<uint64_t>(service.upstreams) * service.slots;
        if (areAccepted(path, { "upstreams", "slots", "floorSlots" }) && service.floorSlots > capacity) {
            m_context.report(path + ".floorSlots", fmt::format("{}", service.floorSlots),
                fmt::format("at most the capacity of {} ({} upstreams x {} slots)", capacity, service.upstreams,
                    service.slots));
        }
        // If every slot were reserved for short requests, a long request would never be dispatched.
        if (areAccepted(path, { "slots", "admission.shortWorkSlots" })
            && service.admission.shortWorkSlots >= service.slots) {
            m_context.report(path + ".admission.shortWorkSlots", fmt::format("{}", service.admission.shortWorkSlots),
                fmt::format("fewer than slots, which is {}", service.slots));
        }
    }

    void checkRoute(const Service& service, const Route& route, const std::string& servicePath, const std::string& path)
    {
        if (areAccepted(path, { "path", "methods" }))
            checkReachable(route, path);
        if (route.repeatable || !areAccepted(path, { "repeatable" }))
            return;
        // Background requests are shed first and are cancelled when the caller disconnects. A non-repeatable request
        // is never cancelled after dispatch, so it would keep slots that the class is meant to release.
        if (areAccepted(path, { "class" }) && route.workClass == WorkClass::Background)
            m_context.report(path + ".class", "\"background\" on a route that is not repeatable",
                "critical, interactive or patient");
        if (areAccepted(path, { "maxBodyBytes" }) && route.maxBodyBytes > maxNonRepeatableBodyBytes)
            m_context.report(path + ".maxBodyBytes",
                fmt::format("{} on a route that is not repeatable", printSize(route.maxBodyBytes)),
                fmt::format("at most {}, because the request is held whole before it runs",
                    printSize(maxNonRepeatableBodyBytes)));
        // The outcome of an operation must still be stored when its caller's deadline expires.
        if (areAccepted(path, { "deadline" }) && areAccepted(servicePath, { "retention" })
            && route.deadline > service.retention)
            m_context.report(path + ".deadline",
                fmt::format("{} on a route that is not repeatable", printDuration(route.deadline)),
                fmt::format("at most the retention of {}", printDuration(service.retention)));
    }

    // Reports methods of a route that an earlier route with the same host and path already handles. The route table
    // selects the first match, so the later route would never be used.
    void checkReachable(const Route& route, const std::string& path)
    {
        std::vector<MethodRoute>& earlierRoutes = m_methodRoutes[route.host + route.path];
        std::vector<std::string> methods = route.methods;
        if (methods.empty())
            methods.emplace_back();
        for (const std::string& method : methods) {
            auto it = std::find_if(earlierRoutes.begin(), earlierRoutes.end(),
                [&](const MethodRoute& earlier) { return earlier.method.empty() || earlier.method == method; });
            if (it == earlierRoutes.end())
                continue;
            std::string name = method.empty() ? "any method" : method;
            m_context.report(path + (method.empty() ? ".path" : ".methods"),
                fmt::format("{} on {}, which {} at line {} already takes", name, route.path, it->routePath,
                    m_context.lineOf(it->routePath)),
                "a path and method that no earlier route has");
        }
        for (std::string& method : methods)
            earlierRoutes.push_back({ std::move(method), path });
    }

    ReadContext& m_context;
    std::set<std::string> m_serviceNames;
    std::map<std::string, std::vector<MethodRoute>> m_methodRoutes; // routes checked so far, by host and path
};

std::vector<KeyEntry> listKeys(Configuration& configuration)
{
    std::vector<KeyEntry> entries;
    SectionLister lister(entries, "", "");
    describeConfiguration(lister, configuration);
    return entries;
}

} // namespace

FileResult<Configuration> parseConfiguration(std::string_view text, std::string file)
{
    ReadContext context(std::move(file));
    auto table = parseToml(text, context);
    if (!table)
        return { std::nullopt, context.takeErrors() };
    Configuration configuration;
    SectionReader reader(context, &*table, "");
    describeConfiguration(reader, configuration);
    reader.finish();
    CrossChecker(context).checkDocument(configuration);
    std::vector<FileError> errors = context.takeErrors();
    if (!errors.empty())
        return { std::nullopt, std::move(errors) };
    addSplitTargets(configuration);
    return { std::move(configuration), {} };
}

std::string printConfiguration(const Configuration& configuration)
{
    Configuration copy = configuration;
    for (Service& service : copy.services)
        std::erase_if(service.routes, [](const Route& route) { return route.isSplitTarget; });
    return printToml(listKeys(copy));
}

std::vector<KeyEntry> listConfigurationKeys()
{
    Configuration configuration;
    Service& service = configuration.services.emplace_back();
    service.slots = 2; // smallest number of slots for which the default of shortWorkSlots is valid
    service.routes.emplace_back();
    configuration.organisations.emplace_back();
    return listKeys(configuration);
}

} // namespace Gooseberrymill

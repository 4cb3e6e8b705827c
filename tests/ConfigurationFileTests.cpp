#define BOOST_TEST_MODULE ConfigurationFile
#include "ConfigurationFile.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <fstream>
#include <rapidcheck/boost_test.h>
#include <sstream>

using namespace Gooseberrymill;

namespace {

const std::string validText = R"(name = "main"

[[service]]
name = "bayaran"
upstreams = 12
slots = 7
floorSlots = 56

[[service.route]]
name = "pay"
path = "/payouts/*"
methods = ["POST"]
class = "critical"
)";

std::string replaced(std::string text, std::string_view from, std::string_view to)
{
    size_t at = text.find(from);
    BOOST_REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

std::string joined(const std::vector<FileError>& errors)
{
    std::string text;
    for (const FileError& error : errors)
        text += toString(error) + "\n";
    return text;
}

// Checks that the text is rejected with exactly one error, for `keyPath` and at the line that contains `marker`.
void checkRejected(const std::string& text, std::string_view keyPath, std::string_view marker)
{
    auto result = parseConfiguration(text, "main.toml");
    BOOST_TEST_CONTEXT(keyPath << "\n" << joined(result.errors))
    {
        BOOST_TEST(!result.value);
        BOOST_REQUIRE(result.errors.size() == 1);
        const FileError& error = result.errors.front();
        BOOST_TEST(error.keyPath == keyPath);
        BOOST_TEST(error.file == "main.toml");
        BOOST_TEST(!error.found.empty());
        BOOST_TEST(!error.allowed.empty());
        size_t at = text.find(marker);
        BOOST_REQUIRE(at != std::string::npos);
        auto line = 1 + std::count(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(at), '\n');
        BOOST_TEST(error.line == static_cast<uint32_t>(line));
    }
}

// Checks a document whose last route has the additional `lines`.
void checkRouteRejected(std::string_view lines, std::string_view keyPath, std::string_view marker)
{
    checkRejected(validText + std::string(lines), keyPath, marker);
}

//-----------------------------------------------------------------------------
// [SECTION] Generators
//-----------------------------------------------------------------------------

rc::Gen<std::string> genName(const std::string& prefix)
{
    auto letters = rc::gen::container<std::string>(rc::gen::elementOf(std::string("abcXYZ019._-")));
    return rc::gen::map(letters, [prefix](const std::string& text) { return (prefix + text).substr(0, 64); });
}

Duration genDuration(Duration min, Duration max)
{
    return Duration(*rc::gen::inRange<int64_t>(min.count(), max.count() + 1));
}

double genReal(double min, double max)
{
    constexpr int steps = 1'000'003;
    return min + (max - min) * *rc::gen::inRange(0, steps) / steps;
}

Route genRoute(size_t index)
{
    Route route;
    route.name = *genName(fmt::format("r{}", index));
    route.path = fmt::format("/p{}", index) + *rc::gen::element<std::string>("", "/*", "/x/%20~", "/a/b/*");
    route.methods = *rc::gen::elementOf(std::vector<std::vector<std::string>> { {}, { "GET" }, { "PUT", "PATCH" } });
    route.repeatable = *rc::gen::arbitrary<bool>();
    route.internal = *rc::gen::arbitrary<bool>();
    route.workClass = static_cast<WorkClass>(*rc::gen::inRange(0, route.repeatable ? 4 : 3));
    route.deadline = genDuration(1ms, 1min);
    route.maxBodyBytes = *rc::gen::inRange<uint64_t>(0, route.repeatable ? (1 << 30) : maxNonRepeatableBodyBytes);
    route.check.statuses = *rc::gen::container<std::vector<uint16_t>>(rc::gen::inRange<uint16_t>(100, 600));
    route.check.statuses.resize(std::min<size_t>(route.check.statuses.size(), 32));
    route.check.contentType = *rc::gen::element<std::string>("", "application/json", "text/plain;charset=utf-8");
    route.check.requiredHeader = *rc::gen::element<std::string>("", "X-Signature");
    route.check.minBytes = *rc::gen::inRange<uint64_t>(0, 1 << 20);
    return route;
}

Service genService(size_t index)
{
    Service service;
    service.name = *genName(fmt::format("s{}", index));
    service.upstreams = *rc::gen::inRange<uint32_t>(1, 1000);
    service.slots = *rc::gen::inRange<uint32_t>(1, 100);
    service.floorSlots = *rc::gen::inRange<uint32_t>(0, service.upstreams * service.slots + 1);
    service.retention = genDuration(1min, 168h);
    service.detection.falseAlarmsPerUpstreamYear = genReal(0.0001, 1000);
    service.detection.slowRatio = genReal(1.5, 100);
    service.detection.failureShare = genReal(0.01, 1);
    service.detection.probation = genDuration(1s, 24h);
    service.detection.maxProbation = genDuration(service.detection.probation, 168h);
    service.detection.ramp = genDuration(0s, 1h);
    service.admission.queueLimit = *rc::gen::inRange<uint32_t>(1, 100'001);
    service.admission.shortWorkSlots = *rc::gen::inRange<uint32_t>(0, service.slots);
    service.admission.longWorkRatio = genReal(1.1, 1000);
    for (uint32_t& weight : service.admission.weights)
        weight = *rc::gen::inRange<uint32_t>(1, 1001);
    service.retry.budgetShare = genReal(0, 0.2);
    service.retry.maxAttempts = *rc::gen::inRange<uint32_t>(1, 11);
    service.retry.hedge = *rc::gen::arbitrary<bool>();
    auto routes = *rc::gen::inRange<size_t>(1, 5);
    for (size_t i = 0; i < routes; ++i)
        service.routes.push_back(genRoute(index * 100 + i));
    return service;
}

} // namespace

// Guards against a value that changes when a configuration is printed and parsed again, as it is on its way from the
// operators' library through the store to a node.
RC_BOOST_PROP(printedConfigurationParsesToSameValue, ())
{
    Configuration configuration;
    configuration.name = *genName("d");
    auto services = *rc::gen::inRange<size_t>(1, 4);
    for (size_t i = 0; i < services; ++i)
        configuration.services.push_back(genService(i));
    auto result = parseConfiguration(printConfiguration(configuration), "generated");
    if (!result.value)
        RC_FAIL(joined(result.errors));
    RC_ASSERT(*result.value == configuration);
}

// Guards against a parser that crashes on damaged text, or rejects it without reporting an error.
RC_BOOST_PROP(damagedTextIsReported, (const std::string& junk))
{
    std::string text = validText;
    text.insert(*rc::gen::inRange<size_t>(0, text.size()), junk);
    auto result = parseConfiguration(text, "damaged");
    RC_ASSERT(result.value.has_value() == result.errors.empty());
}

RC_BOOST_PROP(durationsAndSizesRoundTrip, ())
{
    auto micros = *rc::gen::inRange<int64_t>(0, int64_t(1) << 50);
    RC_ASSERT(parseDuration(printDuration(Duration(micros))) == std::optional(Duration(micros)));
    auto bytes = *rc::gen::inRange<uint64_t>(0, uint64_t(1) << 50);
    RC_ASSERT(parseSize(printSize(bytes)) == std::optional(bytes));
}

// Guards against a duration or size without a unit being interpreted in a unit that the operator did not intend.
BOOST_AUTO_TEST_CASE(durationsAndSizesNeedUnits)
{
    BOOST_TEST((parseDuration("250ms") == Duration(250ms)));
    BOOST_TEST((parseDuration("24h") == Duration(24h)));
    BOOST_TEST((parseSize("64KiB") == uint64_t(65536)));
    for (std::string_view text :
        { "", "s", "10", "-1s", "1.5s", "10 s", "10S", "1m", "99999999999999999999s", "9223372036854775807h", "+1s" })
        BOOST_TEST_CONTEXT(text) { BOOST_TEST(!parseDuration(text)); }
    for (std::string_view text : { "", "64", "64KB", "64 KiB", "-1B", "18446744073709551615GiB" })
        BOOST_TEST_CONTEXT(text) { BOOST_TEST(!parseSize(text)); }
}

// Guards against a valid document being rejected, and against a default that differs from the one in Configuration.h.
BOOST_AUTO_TEST_CASE(readsDocumentWithDefaults)
{
    auto result = parseConfiguration(validText, "main.toml");
    BOOST_TEST_CONTEXT(joined(result.errors)) { BOOST_REQUIRE(result.value); }
    const Service& service = result.value->services.at(0);
    BOOST_TEST(service.floorSlots == 56U);
    BOOST_TEST((service.detection == DetectionPolicy {}));
    BOOST_TEST((service.admission == AdmissionPolicy {}));
    BOOST_TEST((service.retry == RetryPolicy {}));
    BOOST_TEST(!service.routes.at(0).repeatable);
    BOOST_TEST((service.routes.at(0).workClass == WorkClass::Critical));
}

// Guards against a default of shortWorkSlots that reserves the only slot of a service, so that long requests never run.
BOOST_AUTO_TEST_CASE(singleSlotIsNotKeptForShortRequests)
{
    std::string text = replaced(replaced(validText, "slots = 7", "slots = 1"), "floorSlots = 56", "floorSlots = 6");
    auto result = parseConfiguration(text, "main.toml");
    BOOST_TEST_CONTEXT(joined(result.errors)) { BOOST_REQUIRE(result.value); }
    BOOST_TEST(result.value->services.at(0).admission.shortWorkSlots == 0U);
}

// Guards against an invalid value that is applied, or that is reported without its line or the range of valid values.
BOOST_AUTO_TEST_CASE(refusesWrongValues)
{
    checkRejected(replaced(validText, "slots = 7", "slots = 0"), "service[0].slots", "slots = 0");
    checkRejected(replaced(validText, "slots = 7", "slots = -7"), "service[0].slots", "slots = -7");
    checkRejected(replaced(validText, "slots = 7", "slots = \"7\""), "service[0].slots", "slots = \"7\"");
    checkRejected(replaced(validText, "slots = 7", "slots = 7.5"), "service[0].slots", "slots = 7.5");
    checkRejected(replaced(validText, "slots = 7", "slot = 7\nslots = 7"), "service[0].slot", "slot = 7\n");
    checkRejected(replaced(validText, "slots = 7\n", ""), "service[0].slots", "[[service]]");
    checkRejected(replaced(validText, "floorSlots = 56", "floorSlots = 85"), "service[0].floorSlots", "floorSlots");
    checkRejected(replaced(validText, "floorSlots = 56\n", ""), "service[0].floorSlots", "[[service]]");
    checkRejected(replaced(validText, "\"bayaran\"", "\"bay aran\""), "service[0].name", "\"bay aran\"");
    checkRejected(replaced(validText, "\"critical\"", "\"urgent\""), "service[0].route[0].class", "\"urgent\"");
    checkRejected(replaced(validText, "[\"POST\"]", "[\"post\"]"), "service[0].route[0].methods[0]", "\"post\"");
    checkRejected(replaced(validText, "[\"POST\"]", "\"POST\""), "service[0].route[0].methods", "\"POST\"");
    checkRejected(replaced(validText, "/payouts/*", "/pay*outs"), "service[0].route[0].path", "/pay*outs");
    checkRejected(replaced(validText, "/payouts/*", "payouts"), "service[0].route[0].path", "\"payouts\"");
    checkRejected(
        replaced(validText, "floorSlots", "retention = 86400\nfloorSlots"), "service[0].retention", "retention");
    checkRejected(
        replaced(validText, "floorSlots", "retention = \"1s\"\nfloorSlots"), "service[0].retention", "retention");
    checkRejected(replaced(validText, "floorSlots", "admission.shortWorkSlots = 7\nfloorSlots"),
        "service[0].admission.shortWorkSlots", "admission");
    checkRejected(replaced(validText, "floorSlots", "detection.maxProbation = \"10s\"\nfloorSlots"),
        "service[0].detection.maxProbation", "detection");
    checkRejected(replaced(validText, "floorSlots", "retry.budgetShare = nan\nfloorSlots"),
        "service[0].retry.budgetShare", "retry");
    checkRejected(replaced(validText, "floorSlots", "admission.weights.patient = 0\nfloorSlots"),
        "service[0].admission.weights.patient", "admission");
    checkRejected("name = \"main\"\nservice = 3\n", "service", "service");
    checkRejected("name = \"main\"\n", "service", "name"); // would remove every service from the fleet
}

// Guards against non-repeatable routes whose requests can never run, or whose outcome is deleted before the caller's
// deadline.
BOOST_AUTO_TEST_CASE(refusesImpossibleNonRepeatableRoutes)
{
    checkRejected(replaced(validText, "\"critical\"", "\"background\""), "service[0].route[0].class", "\"background\"");
    checkRouteRejected("maxBodyBytes = \"2MiB\"\n", "service[0].route[0].maxBodyBytes", "maxBodyBytes");
    checkRouteRejected("deadline = \"24h\"\n[service.x]\n", "service[0].x", "[service.x]");
    checkRejected(replaced(validText + "deadline = \"2h\"\n", "floorSlots", "retention = \"1h\"\nfloorSlots"),
        "service[0].route[0].deadline", "deadline");
    auto repeatable = parseConfiguration(
        replaced(validText, "\"critical\"", "\"background\"\nrepeatable = true\nmaxBodyBytes = \"2MiB\""), "main.toml");
    BOOST_TEST_CONTEXT(joined(repeatable.errors)) { BOOST_TEST(repeatable.value.has_value()); }
}

// Guards against a route that is never selected because an earlier route matches the same requests.
BOOST_AUTO_TEST_CASE(refusesUnreachableRoutes)
{
    std::string head = "[[service.route]]\nname = \"second\"\n";
    auto addRoute
        = [&](std::string_view text, std::string_view lines) { return std::string(text) + head + std::string(lines); };
    std::string samePath = "path = \"/payouts/*\" # second\n";
    checkRejected(addRoute(validText, samePath + "methods = [\"GET\", \"POST\"] # overlap\n"),
        "service[0].route[1].methods", "# overlap");
    std::string anyMethod = replaced(validText, "methods = [\"POST\"]\n", "");
    checkRejected(addRoute(anyMethod, samePath), "service[0].route[1].path", "# second");
    checkRejected(
        addRoute(anyMethod, samePath + "methods = [\"GET\"] # covered\n"), "service[0].route[1].methods", "# covered");
    for (const std::string& lines :
        { samePath, samePath + "methods = [\"GET\"]\n", std::string("path = \"/payouts\"\n") }) {
        auto result = parseConfiguration(addRoute(validText, lines), "main.toml");
        BOOST_TEST_CONTEXT(lines << joined(result.errors)) { BOOST_TEST(result.value.has_value()); }
    }
}

// Guards against reporting only the first error, which would make the operator fix and retry once per error.
BOOST_AUTO_TEST_CASE(collectsAllErrorsInLineOrder)
{
    std::string text = replaced(validText, "slots = 7", "slots = true");
    text = replaced(text, "\"critical\"", "1");
    text = replaced(text, "floorSlots = 56", "floorSlots = 56\ncolour = \"red\"");
    auto result = parseConfiguration(text, "main.toml");
    BOOST_TEST_CONTEXT(joined(result.errors))
    {
        BOOST_REQUIRE(result.errors.size() == 3);
        BOOST_TEST(result.errors[0].keyPath == "service[0].slots");
        BOOST_TEST(result.errors[1].keyPath == "service[0].colour");
        BOOST_TEST(result.errors[2].keyPath == "service[0].route[0].class");
    }
}

// Guards against an invalid value that splits its error message over several lines or makes it very long.
BOOST_AUTO_TEST_CASE(foundValuesStayOnOneLine)
{
    for (const std::string& value : { std::string("a\\nb\\u001b[31m"), std::string(100'000, 'x') }) {
        auto result = parseConfiguration(replaced(validText, "bayaran", value), "main.toml");
        BOOST_REQUIRE(result.errors.size() == 1);
        std::string text = toString(result.errors[0]);
        BOOST_TEST(text.size() < 300U);
        BOOST_TEST(std::none_of(text.begin(), text.end(), [](char c) { return c >= 0 && c < ' '; }), text);
    }
}

// Guards against a syntax error that is reported without its line.
BOOST_AUTO_TEST_CASE(reportsSyntaxErrors)
{
    auto result = parseConfiguration("name = \"main\"\nservice = [\n= 3\n", "main.toml");
    BOOST_REQUIRE(result.errors.size() == 1);
    BOOST_TEST(result.errors[0].line == 3U);
    BOOST_TEST(toString(result.errors[0]).starts_with("main.toml:3: found a syntax error"));
    auto duplicate = parseConfiguration("name = \"main\"\nname = \"main\"\n", "main.toml");
    BOOST_REQUIRE(duplicate.errors.size() == 1);
    BOOST_TEST(duplicate.errors[0].line == 2U);
}

// Guards against two services or routes with one name, which metrics and the audit trail could not distinguish.
BOOST_AUTO_TEST_CASE(refusesDuplicateNames)
{
    std::string route = "[[service.route]]\nname = \"pay\"\npath = \"/other\"\n";
    auto routes = parseConfiguration(validText + route, "main.toml");
    BOOST_REQUIRE(routes.errors.size() == 1);
    BOOST_TEST(routes.errors[0].keyPath == "service[0].route[1].name");
    std::string service = replaced(validText.substr(validText.find("[[service]]")), "/payouts/*", "/other/*");
    auto services = parseConfiguration(validText + service, "main.toml");
    BOOST_REQUIRE(services.errors.size() == 1);
    BOOST_TEST(services.errors[0].keyPath == "service[1].name");
}

// Guards against organisations that lose a key or a limit between the file and the routes.
BOOST_AUTO_TEST_CASE(readsOrganisations)
{
    std::string text = validText + R"(public = true

[[organisation]]
name = "archive"
keys = ["first-key", "second-key"]
rate = 2.5
burst = 10.0
class = "patient"

[[organisation]]
name = "court"
keys = ["third-key"]
)";
    auto result = parseConfiguration(text, "main.toml");
    BOOST_REQUIRE_MESSAGE(result.value, joined(result.errors));
    BOOST_TEST(result.value->services[0].routes[0].isPublic);
    BOOST_REQUIRE(result.value->organisations.size() == 2U);
    Organisation expected { "archive", { "first-key", "second-key" }, 2.5, 10, WorkClass::Patient };
    BOOST_TEST((result.value->organisations[0] == expected));
    BOOST_TEST((result.value->organisations[1] == Organisation { "court", { "third-key" }, 0, 0, std::nullopt }));
    checkRejected(replaced(text, "\"patient\"", "\"urgent\""), "organisation[0].class", "class = \"urgent\"");
    auto printed = parseConfiguration(printConfiguration(*result.value), "printed.toml");
    BOOST_REQUIRE(printed.value);
    BOOST_TEST((printed.value->organisations == result.value->organisations));
}

// Guards against two organisations with one key or one name, and against an error that shows a key.
BOOST_AUTO_TEST_CASE(refusesSharedKeysWithoutShowingThem)
{
    const std::string text = validText + R"(
[[organisation]]
name = "archive"
keys = ["first-key"]

[[organisation]]
name = "court"
keys = ["second-key", "first-key"]
)";
    checkRejected(text, "organisation[1].keys", "keys = [\"second-key\"");
    checkRejected(replaced(replaced(text, ", \"first-key\"", ""), "\"court\"", "\"archive\""), "organisation[1].name",
        "name = \"archive\"\nkeys = [\"second-key\"");
    checkRejected(replaced(text, "\"second-key\", \"first-key\"", "\"a key\""), "organisation[1].keys[0]", "\"a key\"");
    std::string malformed = replaced(text, "\"second-key\", \"first-key\"", "\"a key\"");
    std::string repeated = replaced(text, "\"second-key\", \"first-key\"", "\"a-key\", \"a-key\"");
    for (const std::string& each : { text, malformed, repeated }) {
        std::string errors = joined(parseConfiguration(each, "main.toml").errors);
        BOOST_TEST(!errors.empty());
        for (std::string_view key : { "first-key", "\"a key", "a-key" })
            BOOST_TEST(errors.find(key) == std::string::npos, errors);
    }
}

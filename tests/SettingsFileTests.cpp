#define BOOST_TEST_MODULE SettingsFile
#include "ConfigurationFile.h"
#include "SettingsFile.h"

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <rapidcheck/boost_test.h>
#include <sstream>

using namespace Gooseberrymill;

namespace {

const std::string validText = R"([node]
name = "katalog-01"
region = "borneo"
dataCentre = "kuching-1"

[fleet]
key = "a key of the whole fleet"
seeds = ["127.0.0.1:7000"]

[store]
url = "http://127.0.0.1:8000"
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

// Checks that the text is rejected with exactly one error, for `keyPath` and at `line`.
void checkRejected(const std::string& text, std::string_view keyPath, uint32_t line)
{
    auto result = parseSettings(text, "node.toml");
    BOOST_TEST_CONTEXT(keyPath << "\n" << joined(result.errors))
    {
        BOOST_REQUIRE(result.errors.size() == 1);
        BOOST_TEST(result.errors[0].keyPath == keyPath);
        BOOST_TEST(result.errors[0].line == line);
    }
}

Duration genDuration(Duration min, Duration max)
{
    return Duration(*rc::gen::inRange<int64_t>(min.count(), max.count() + 1));
}

} // namespace

// Guards against a setting that changes when it is printed and parsed again.
RC_BOOST_PROP(printedSettingsParseToSameValue, ())
{
    Settings settings;
    settings.nodeName = "n" + std::to_string(*rc::gen::inRange(0, 1000));
    settings.location = { "cantabria", "santander-2" };
    settings.workers = *rc::gen::inRange<uint32_t>(1, 65);
    settings.callerListen.host = *rc::gen::element<std::string>("0.0.0.0", "::1", "127.0.0.1");
    settings.callerListen.port = *rc::gen::inRange<uint16_t>(0, 30000);
    settings.relayListen.port = *rc::gen::inRange<uint16_t>(30000, 60000);
    settings.relayAdvertise = *rc::gen::element<std::string>("", "10.1.2.3:70", "[fe80::1]:9");
    settings.fleetKey = "0123456789abcdef" + *rc::gen::element<std::string>("", "\"\\'#\xc3\xa9");
    settings.seeds = *rc::gen::elementOf(std::vector<std::vector<std::string>> { {}, { "10.0.0.1:7000", "[::1]:7" } });
    settings.storeUrl = *rc::gen::element<std::string>("", "http://10.0.0.9:80");
    settings.storeTimeout = genDuration(10ms, 60s);
    settings.maxHeaderBytes = *rc::gen::inRange<uint32_t>(1 << 10, 1 << 20);
    settings.maxOperationBodyBytes = *rc::gen::inRange<uint64_t>(1 << 20, 16 << 20);
    settings.callerIdleTimeout = genDuration(1s, 1h);
    settings.relayIdleTimeout = genDuration(1s, 1h);
    settings.drainGracePeriod = genDuration(0s, 1min);
    settings.drainTimeout = genDuration(0s, 24h);
    settings.traceFile = *rc::gen::element<std::string>("", "/tmp/a \"quoted\" name");
    auto result = parseSettings(printSettings(settings), "generated");
    if (!result.value)
        RC_FAIL(joined(result.errors));
    RC_ASSERT(*result.value == settings);
}

// Guards against a default that differs from the one in Settings.h.
BOOST_AUTO_TEST_CASE(readsSettingsWithDefaults)
{
    auto result = parseSettings(validText, "node.toml");
    BOOST_TEST_CONTEXT(joined(result.errors)) { BOOST_REQUIRE(result.value); }
    Settings expected;
    expected.nodeName = "katalog-01";
    expected.location = { "borneo", "kuching-1" };
    expected.fleetKey = "a key of the whole fleet";
    expected.seeds = { "127.0.0.1:7000" };
    expected.storeUrl = "http://127.0.0.1:8000";
    BOOST_TEST((*result.value == expected));
}

// Guards against a process that starts although a setting is invalid or unknown.
BOOST_AUTO_TEST_CASE(refusesWrongSettings)
{
    checkRejected(replaced(validText, "region = \"borneo\"\n", ""), "node.region", 1);
    checkRejected(replaced(validText, "name = ", "workers = 0\nname = "), "node.workers", 2);
    checkRejected(replaced(validText, "name = ", "worker = 4\nname = "), "node.worker", 2);
    checkRejected(replaced(validText, "127.0.0.1:7000", "localhost:7000"), "fleet.seeds[0]", 8);
    checkRejected(replaced(validText, "127.0.0.1:7000", "127.0.0.1:0"), "fleet.seeds[0]", 8);
    checkRejected(replaced(validText, "http:", "https:"), "store.url", 11);
    checkRejected(validText + "timeout = \"0s\"\n", "store.timeout", 12);
    checkRejected(validText + "[listen]\ncaller = \"127.0.0.1\"\n", "listen.caller", 13);
    checkRejected(validText + "[listen]\ncaller = \"127.0.0.1:99999\"\n", "listen.caller", 13);
    checkRejected(validText + "[listen]\ncaller = \"127.0.0.1:80\"\nadmin = \"127.0.0.1:80\"\n", "listen.admin", 14);
    checkRejected(validText + "[limits]\nmaxOperationBodyBytes = \"64KiB\"\n", "limits.maxOperationBodyBytes", 13);
    checkRejected(replaced(validText, "[store]", "[shop]"), "shop", 10);
}

// Guards against the fleet key being written to a log through an error message.
BOOST_AUTO_TEST_CASE(doesNotRepeatSecret)
{
    auto result = parseSettings(replaced(validText, "a key of the whole fleet", "hunter2"), "node.toml");
    BOOST_REQUIRE(result.errors.size() == 1);
    BOOST_TEST(toString(result.errors[0]).find("hunter2") == std::string::npos);
    auto wrongType = parseSettings(replaced(validText, "\"a key of the whole fleet\"", "71236"), "node.toml");
    BOOST_REQUIRE(wrongType.errors.size() == 1);
    BOOST_TEST(toString(wrongType.errors[0]).find("71236") == std::string::npos);
}

// Guards against a settings file being validated as a configuration document, or the reverse.
BOOST_AUTO_TEST_CASE(tellsKindsApart)
{
    CheckedFile settings = checkFile(validText, "node.toml");
    BOOST_TEST((settings.kind == FileKind::Settings));
    BOOST_TEST(settings.errors.empty());
    CheckedFile configuration = checkFile("name = \"main\"\n", "main.toml");
    BOOST_TEST((configuration.kind == FileKind::Configuration));
    BOOST_TEST(configuration.errors.size() == 1U);
    BOOST_TEST(!checkFile("", "empty.toml").kind);
    BOOST_TEST(checkFile("", "empty.toml").errors.size() == 1U);
    BOOST_TEST(!checkFile("name = \"main\"\n" + validText, "both.toml").kind);
    BOOST_TEST(!checkFile("[node", "broken.toml").kind);
}

// Guards against documentation that differs from the keys that are read. docs/CONFIGURATION.md has one table row per
// key.
BOOST_AUTO_TEST_CASE(documentationMatchesKeys)
{
    std::ifstream file(std::string(GM_SOURCE_DIR) + "/docs/CONFIGURATION.md");
    std::stringstream page;
    page << file.rdbuf();
    std::vector<KeyEntry> entries = listConfigurationKeys();
    for (KeyEntry& entry : listSettingsKeys())
        entries.push_back(std::move(entry));
    std::string heading;
    size_t rows = 0;
    for (const KeyEntry& entry : entries) {
        if (entry.section != heading)
            BOOST_TEST(page.str().find(fmt::format("### `{}`", entry.section)) != std::string::npos, entry.section);
        heading = entry.section;
        std::string row = fmt::format("| `{}` | {} | {} | {} | {} |\n", entry.key, entry.type,
            entry.isRequired ? "required" : fmt::format("`{}`", entry.value), entry.allowed, entry.description);
        BOOST_TEST(page.str().find(row) != std::string::npos, "missing row: " << row);
        ++rows;
    }
    std::string line;
    size_t found = 0;
    while (std::getline(page, line))
        found += line.starts_with("| `");
    BOOST_TEST(found == rows, "the page lists a key that does not exist");
}

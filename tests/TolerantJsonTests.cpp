#define BOOST_TEST_MODULE TolerantJson
#include "node/PlatformAdapter.h"
#include "TolerantJson.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

using namespace Gooseberrymill;

namespace {

std::string nested(size_t depth) { return std::string(depth, '[') + std::string(depth, ']'); }

// Values that another program may have written, as the store passes them on.
std::vector<std::string> oddValues()
{
    return { nested(300'000), R"({"startedAt":1e999})", R"({"startedAt":-1e400,"relay":"10.0.0.1:99999"})",
        "{\"relay\":\"\xff\xfe\"}", R"({"relay":"\ud800"})", "{\"relay\":\"\x01\"}", "7", R"({"a":[[]]})" };
}

} // namespace

// Guards against an odd entry that ends the process, or that hides the other entries of its list.
BOOST_AUTO_TEST_CASE(oddEntryHidesNoOtherInAList)
{
    for (const std::string& odd : oddValues()) {
        const StoreDialect& mesh = findPlatformAdapter("mesh")->store;
        std::string entry = R"({{"metadata":{{"name":"{}","revision":{}}},"spec":{}}})";
        std::string items = fmt::format(fmt::runtime(entry), "a", 5, R"({"v":1})") + ","
            + fmt::format(fmt::runtime(entry), "odd", 6, odd) + ","
            + fmt::format(fmt::runtime(entry), "z", 7, R"({"v":2})");
        StoreCall list { StoreVerb::List, "nodes-north", {}, {}, 0, {}, {} };
        auto page = mesh.decodePage(list, { 200, "", fmt::format(R"({{"items":[{}],"store_revision":9}})", items) });
        BOOST_REQUIRE_MESSAGE(page, odd.substr(0, 40));
        BOOST_TEST(page->revision == 9U);
        BOOST_REQUIRE(page->objects.size() >= 2U);
        BOOST_TEST(page->objects.front().value == R"({"v":1})");
        BOOST_TEST(page->objects.back().value == R"({"v":2})");

        std::string events = fmt::format(
            R"({{"events":[{{"deleted":false,"object":{}}},{{"deleted":false,"object":{}}}]}})",
            fmt::format(fmt::runtime(entry), "odd", 6, odd), fmt::format(fmt::runtime(entry), "z", 7, R"({"v":2})"));
        StoreCall watch { StoreVerb::Watch, "config", "main", {}, 5, 1s, {} };
        auto changes = mesh.decodePage(watch, { 200, "", events });
        BOOST_REQUIRE_MESSAGE(changes, odd.substr(0, 40));
        BOOST_TEST(changes->objects.back().value == R"({"v":2})");

        std::string objects = fmt::format(R"({{"name":"a","version":5,"value":{{"v":1}}}},{{"name":"odd","version":6,)"
                                          R"("value":{}}},{{"name":"z","version":7,"value":{{"v":2}}}})",
            odd);
        auto native = nativeStoreDialect().decodePage(list, { 200, "", fmt::format(R"({{"objects":[{}]}})", objects) });
        BOOST_REQUIRE_MESSAGE(native, odd.substr(0, 40));
        BOOST_TEST(native->objects.back().value == R"({"v":2})");
    }
}

// Guards against an odd revision or name that hides the other entries of its list.
BOOST_AUTO_TEST_CASE(oddMetadataHidesNoOtherInAList)
{
    const StoreDialect& mesh = findPlatformAdapter("mesh")->store;
    StoreCall list { StoreVerb::List, "nodes-north", {}, {}, 0, {}, {} };
    for (const char* metadata : { R"({"name":"odd","revision":1e999})", R"({"name":7,"revision":6})", "[]", "null",
             R"({"name":"odd","revision":-6})", R"({"name":"odd","revision":"6"})" }) {
        auto page = mesh.decodePage(list,
            { 200, "",
                fmt::format(R"({{"items":[{{"metadata":{},"spec":{{}}}},{{"metadata":{{"name":"z","revision":7}},)"
                            R"("spec":{{"v":2}}}}],"store_revision":9}})",
                    metadata) });
        BOOST_REQUIRE_MESSAGE(page, metadata);
        BOOST_REQUIRE(page->objects.size() == 1U);
        BOOST_TEST(page->objects[0].name == "z");
    }
}

// Guards against heartbeats with odd values that end the process or register an upstream that cannot be reached.
BOOST_AUTO_TEST_CASE(oddHeartbeatsRegisterNothing)
{
    auto decode = [](const std::string& address, const std::string& slots, const std::string& coldLeft) {
        std::string body = fmt::format(R"({{"address":"{}","info":{{"service":"s","slots":{}}},)"
                                       R"("status":{{"state":"ready","seq_no":4,"cold_left":"{}"}}}})",
            address, slots, coldLeft);
        auto call = findPlatformAdapter("mesh")->decodeCall("POST", "/v1/Instances.Heartbeat/i-1", body);
        return call && *call;
    };
    BOOST_TEST(decode("10.0.0.9:8080", "4", "0ms"));
    for (const char* address : { "10.0.0.9:80800", "10.0.0.9:0", "10.0.0.9:-1", "10.0.0.9", "10.0.0.9:", ":8080" })
        BOOST_TEST(!decode(address, "4", "0ms"), address);
    for (const std::string& slots : { std::string("1e999"), std::string("1e9"), nested(300'000) })
        BOOST_TEST(!decode("10.0.0.9:8080", slots, "0ms"));
    for (const char* coldLeft : { "1e300s", "nans", "infs", "-1s", "1e19ms" })
        BOOST_TEST(decode("10.0.0.9:8080", "4", coldLeft), coldLeft); // taken for not cold
}

// Guards against text that is changed although it is valid.
BOOST_AUTO_TEST_CASE(validTextIsReadAsItIs)
{
    std::string text = R"({"a":"\ud83d\ude00 \\ \" é","b":[-1.5e3,123456789012345678,true]})";
    BOOST_TEST(parseTolerantly(text) == nlohmann::json::parse(text));
    BOOST_TEST(
        parseTolerantly(R"(["\ud83d\ude00","\ud83d",1e999])").dump() == "[\"\xf0\x9f\x98\x80\",\"\xef\xbf\xbd\",null]");
    for (std::string_view broken : { "", "{", "[1,", "\"", "\"\\", "\"\\u12", "-" })
        BOOST_TEST(parseTolerantly(broken).is_discarded(), broken);
}

#include "ConfigurationPublisher.h"

#include "ConfigurationFile.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace Gooseberrymill {

std::string printConfigurationObject(const ConfigurationObject& object)
{
    nlohmann::json json { { "text", object.text }, { "changeId", object.changeId }, { "author", object.author },
        { "appliedAt", object.appliedAt } };
    if (!object.replaces.empty())
        json["replaces"] = object.replaces;
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

Result<ConfigurationObject> parseConfigurationObject(std::string_view json)
{
    auto fail = [](std::string detail) {
        return Error { ErrorCode::Malformed, "configuration.parse", "", std::move(detail) };
    };
    auto parsed = nlohmann::json::parse(json, nullptr, false);
    if (!parsed.is_object())
        return fail("not a JSON object");
    ConfigurationObject object;
    struct Field {
        const char* name;
        std::string& value;
        bool isRequired;
    };
    std::array<Field, 5> fields { { { "text", object.text, true }, { "changeId", object.changeId, true },
        { "author", object.author, true }, { "appliedAt", object.appliedAt, true },
        { "replaces", object.replaces, false } } };
    for (Field& field : fields) {
        auto it = parsed.find(field.name);
        if (it == parsed.end() && !field.isRequired)
            continue;
        if (it == parsed.end() || !it->is_string())
            return fail(fmt::format("\"{}\" is missing or not a string", field.name));
        field.value = it->get<std::string>();
    }
    return object;
}

std::string makeChangeId(WallTime now, const Id128& uniqueId)
{
    return fmt::format("{}.{}", now.time_since_epoch().count(), toString(uniqueId));
}

uint64_t changeNumberOf(std::string_view changeId)
{
    size_t digits = changeId.find('.');
    if (digits == std::string_view::npos)
        return 0;
    uint64_t number = 0;
    auto [end, ec] = std::from_chars(changeId.data(), changeId.data() + digits, number);
    return ec == std::errc() && end == changeId.data() + digits ? number : 0;
}

std::string raiseChangeNumber(const std::string& changeId, uint64_t replacedNumber)
{
    uint64_t number = changeNumberOf(changeId);
    if (!number || number > replacedNumber)
        return changeId;
    return fmt::format("{}{}", replacedNumber + 1, changeId.substr(changeId.find('.')));
}

Result<Configuration> readConfiguration(const StoredObject& stored)
{
    auto object = parseConfigurationObject(stored.value);
    if (!object)
        return object.error();
    std::string file = fmt::format("{}/{}", stored.kind, stored.name);
    FileResult<Configuration> parsed = parseConfiguration(object.value().text, file);
    if (!parsed.value)
        return Error { ErrorCode::Invalid, "configuration.parse", object.value().author,
            toString(parsed.errors.front()) };
    if (parsed.value->name != stored.name)
        return Error { ErrorCode::Invalid, "configuration.parse", object.value().author,
            fmt::format("{}: the document is named \"{}\"", file, parsed.value->name) };
    parsed.value->version = stored.version;
    parsed.value->changeId = object.value().changeId;
    parsed.value->author = object.value().author;
    return std::move(*parsed.value);
}

} // namespace Gooseberrymill

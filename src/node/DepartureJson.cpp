#include "DepartureJson.h"

#include <nlohmann/json.hpp>

namespace Gooseberrymill {

namespace {

using Json = nlohmann::json;

constexpr std::string_view namePrefix = "_departures."; // a node's name starts with a letter or a digit

} // namespace

std::string departureObjectName(std::string_view node) { return std::string(namePrefix) + std::string(node); }

std::optional<std::string_view> nodeOfDepartureObject(std::string_view objectName)
{
    if (!objectName.starts_with(namePrefix))
        return std::nullopt;
    return objectName.substr(namePrefix.size());
}

std::string toJson(const DepartureObject& object)
{
    Json departures = Json::array();
    for (const UpstreamDeparture& it : object.departures)
        departures.push_back({ { "instance", it.instance }, { "startedUpTo", it.startedUpTo } });
    Json json { { "departures", std::move(departures) }, { "writtenAt", object.writtenAt.time_since_epoch().count() } };
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<DepartureObject> parseDepartureObject(std::string_view text)
{
    Json json = Json::parse(text, nullptr, false);
    if (!json.is_object() || !json.contains("departures") || !json["departures"].is_array())
        return std::nullopt;
    DepartureObject object;
    if (auto it = json.find("writtenAt"); it != json.end() && it->is_number_integer())
        object.writtenAt = WallTime(std::chrono::milliseconds(it->get<int64_t>()));
    for (const Json& it : json["departures"]) {
        bool isValid = it.is_object() && it.contains("instance") && it["instance"].is_string()
            && it.contains("startedUpTo") && it["startedUpTo"].is_number_unsigned();
        if (isValid)
            object.departures.push_back({ it["instance"].get<std::string>(), it["startedUpTo"].get<uint64_t>() });
    }
    return object;
}

} // namespace Gooseberrymill

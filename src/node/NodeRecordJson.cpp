#include "NodeRecordJson.h"

#include "TomlSections.h"

namespace Gooseberrymill {

std::string toJson(const NodeRecord& record)
{
    nlohmann::ordered_json json { { "incarnation", toString(record.incarnation) }, { "startedAt", record.startedAt },
        { "relay", record.relayAddress }, { "region", record.location.region },
        { "dataCentre", record.location.dataCentre } };
    return json.dump();
}

std::optional<NodeRecord> parseNodeRecord(const StoredObject& object)
{
    auto json = nlohmann::json::parse(object.value, nullptr, false);
    auto text = [&](const char* name) {
        auto it = json.is_object() ? json.find(name) : json.end();
        return it != json.end() && it->is_string() ? it->get<std::string>() : std::string();
    };
    auto incarnation = parseId128(text("incarnation"));
    if (!incarnation || !isAddress(text("relay")) || !json.contains("startedAt")
        || !json["startedAt"].is_number_unsigned())
        return std::nullopt;
    NodeRecord record;
    record.name = object.name;
    record.incarnation = *incarnation;
    record.startedAt = json["startedAt"].get<uint64_t>();
    record.relayAddress = text("relay");
    record.location = { text("region"), text("dataCentre") };
    return record;
}

nlohmann::ordered_json toStatusJson(const NodeRecord& record)
{
    auto upstreams = nlohmann::ordered_json::array();
    for (const UpstreamRecord& it : record.upstreams) {
        upstreams.push_back({ { "name", it.name }, { "service", it.service }, { "slots", it.slots },
            { "state", toString(it.state) }, { "severity", it.severity }, { "share", it.share } });
    }
    return { { "name", record.name }, { "incarnation", toString(record.incarnation) },
        { "status", toString(record.status) }, { "region", record.location.region },
        { "dataCentre", record.location.dataCentre }, { "relay", record.relayAddress }, { "upstreams", upstreams } };
}

} // namespace Gooseberrymill

#include "AuditTrail.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace Gooseberrymill {

namespace {

constexpr std::array<std::string_view, auditEventKindCount> kindNames { "configuration-accepted",
    "configuration-refused", "configuration-in-force", "ejection", "readmission", "degraded", "drain", "query-of-death",
    "watch-takeover", "operation-resolved", "node-started", "node-stopped" };

nlohmann::json toJson(const AuditEvent& event)
{
    nlohmann::json json { { "kind", toString(event.kind) }, { "time", event.time.time_since_epoch().count() },
        { "node", event.node }, { "actor", event.actor }, { "reason", event.reason } };
    if (!event.service.empty())
        json["service"] = event.service;
    if (!event.subject.empty())
        json["subject"] = event.subject;
    return json;
}

// Returns an empty string if the field is missing or not a string.
std::string textField(const nlohmann::json& json, const char* name)
{
    auto it = json.find(name);
    return it != json.end() && it->is_string() ? it->get<std::string>() : "";
}

std::optional<AuditEvent> fromJson(const nlohmann::json& json)
{
    if (!json.is_object())
        return std::nullopt;
    auto kind = parseAuditEventKind(textField(json, "kind"));
    auto time = json.find("time");
    if (!kind || time == json.end() || !time->is_number_integer())
        return std::nullopt;
    AuditEvent event;
    event.kind = *kind;
    event.time = WallTime(std::chrono::milliseconds(time->get<int64_t>()));
    event.node = textField(json, "node");
    event.actor = textField(json, "actor");
    event.service = textField(json, "service");
    event.subject = textField(json, "subject");
    event.reason = textField(json, "reason");
    return event;
}

void truncateText(std::string& text)
{
    if (text.size() <= maxAuditTextBytes)
        return;
    // If this splits a UTF-8 sequence, printAuditBatch() replaces the invalid bytes.
    text.resize(maxAuditTextBytes);
    text += "...";
}

} // namespace

std::string_view toString(AuditEventKind kind)
{
    auto index = static_cast<size_t>(kind);
    return index < kindNames.size() ? kindNames.at(index) : std::string_view("invalid");
}

std::optional<AuditEventKind> parseAuditEventKind(std::string_view text)
{
    auto it = std::find(kindNames.begin(), kindNames.end(), text);
    if (it == kindNames.end())
        return std::nullopt;
    return static_cast<AuditEventKind>(it - kindNames.begin());
}

AuditEvent truncateTexts(AuditEvent event)
{
    for (std::string* text : { &event.node, &event.actor, &event.service, &event.subject, &event.reason })
        truncateText(*text);
    return event;
}

std::string printAuditBatch(const AuditBatch& batch)
{
    nlohmann::json events = nlohmann::json::array();
    for (const AuditEvent& event : batch.events)
        events.push_back(toJson(event));
    nlohmann::json json { { "batch", toString(batch.id) }, { "dropped", batch.dropped },
        { "events", std::move(events) } };
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

Result<AuditBatch> parseAuditBatch(std::string_view text)
{
    auto fail = [](std::string detail) { return Error { ErrorCode::Malformed, "audit.parse", "", std::move(detail) }; };
    auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object())
        return fail("not a JSON object");
    auto id = parseId128(textField(json, "batch"));
    auto dropped = json.find("dropped");
    auto events = json.find("events");
    if (!id || dropped == json.end() || !dropped->is_number_unsigned() || events == json.end() || !events->is_array())
        return fail("a field is missing or has the wrong type");
    AuditBatch batch { *id, dropped->get<uint64_t>(), {} };
    for (const auto& item : *events) {
        auto event = fromJson(item);
        if (!event)
            return fail("an event is malformed");
        batch.events.push_back(std::move(*event));
    }
    return batch;
}

AuditHistory mergeAuditBatches(std::span<const StoredObject> batches)
{
    AuditHistory history;
    for (const StoredObject& object : batches) {
        auto batch = parseAuditBatch(object.value);
        if (!batch) {
            ++history.damagedBatches;
            continue;
        }
        history.dropped += batch.value().dropped;
        for (AuditEvent& event : batch.value().events)
            history.events.push_back(std::move(event));
    }
    std::stable_sort(history.events.begin(), history.events.end(),
        [](const AuditEvent& a, const AuditEvent& b) { return a.time < b.time; });
    return history;
}

} // namespace Gooseberrymill

#include "RosterJson.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace Gooseberrymill {

namespace {

using nlohmann::json;

constexpr size_t maxRosterBytes = 1 << 20; // the store's size limit for a value

std::optional<UpstreamState> parseState(std::string_view text)
{
    for (size_t i = 0; i < upstreamStateCount; ++i) {
        if (toString(static_cast<UpstreamState>(i)) == text)
            return static_cast<UpstreamState>(i);
    }
    return std::nullopt;
}

Error malformed(std::string detail) { return { ErrorCode::Malformed, "roster.parse", "", std::move(detail) }; }

std::optional<RosterEntry> parseEntry(const json& item)
{
    RosterEntry entry;
    entry.upstream = item.at("upstream").get<std::string>();
    entry.slots = item.at("slots").get<uint32_t>();
    entry.severity = item.value("severity", 0.0);
    entry.attempt = item.value("attempt", uint64_t { 0 });
    auto executor = parseId128(item.at("executor").get<std::string>());
    auto state = parseState(item.at("state").get<std::string>());
    if (!executor || !state || !std::isfinite(entry.severity))
        return std::nullopt;
    entry.executor = *executor;
    entry.state = *state;
    return entry;
}

Result<ServiceRoster> parseRoster(const json& document, uint64_t version)
{
    ServiceRoster roster;
    roster.version = version;
    roster.service = document.at("service").get<std::string>();
    for (const json& item : document.at("entries")) {
        std::optional<RosterEntry> entry = parseEntry(item);
        if (!entry)
            return malformed("invalid executor, state or severity");
        roster.entries.push_back(std::move(*entry));
    }
    std::ranges::sort(roster.entries, {}, &RosterEntry::upstream);
    if (std::ranges::adjacent_find(roster.entries, {}, &RosterEntry::upstream) != roster.entries.end())
        return malformed("upstream listed twice");
    return roster;
}

} // namespace

std::string rosterToJson(const ServiceRoster& roster)
{
    json entries = json::array();
    for (const RosterEntry& it : roster.entries) {
        entries.push_back({ { "upstream", it.upstream }, { "executor", toString(it.executor) }, { "slots", it.slots },
            { "state", toString(it.state) }, { "severity", it.severity }, { "attempt", it.attempt } });
    }
    return json { { "service", roster.service }, { "entries", std::move(entries) } }.dump();
}

Result<ServiceRoster> rosterFromJson(std::string_view text, uint64_t version)
{
    if (text.size() > maxRosterBytes)
        return malformed("longer than 1 MiB");
    // The JSON library reports missing or mistyped members only through exceptions.
    try {
        return parseRoster(json::parse(text), version);
    } catch (const json::exception& e) {
        return malformed(e.what());
    }
}

} // namespace Gooseberrymill

#include "TomlSections.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <gio/gio.h>
#include <nlohmann/json.hpp>

namespace Gooseberrymill {

namespace {

// Unit of a duration or a size.
struct Unit {
    std::string_view name;
    uint64_t factor; // microseconds or bytes in one unit
};

// Sorted from the largest unit to the smallest, so that printing selects the largest one that divides the value.
constexpr std::array<Unit, 6> durationUnits { { { "d", 86'400'000'000 }, { "h", 3'600'000'000 }, { "min", 60'000'000 },
    { "s", 1'000'000 }, { "ms", 1'000 }, { "us", 1 } } };
constexpr std::array<Unit, 4> sizeUnits { { { "GiB", 1ULL << 30 }, { "MiB", 1ULL << 20 }, { "KiB", 1ULL << 10 },
    { "B", 1 } } };

template <size_t n> std::optional<uint64_t> parseWithUnit(std::string_view text, const std::array<Unit, n>& units)
{
    uint64_t number = 0;
    auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (ec != std::errc())
        return std::nullopt;
    std::string_view unitName = text.substr(static_cast<size_t>(end - text.data()));
    for (const Unit& unit : units) {
        if (unit.name != unitName)
            continue;
        // Rejects values that would overflow the signed 64-bit count of a Duration.
        if (number > static_cast<uint64_t>(INT64_MAX) / unit.factor)
            return std::nullopt;
        return number * unit.factor;
    }
    return std::nullopt;
}

template <size_t n> std::string printWithUnit(uint64_t value, const std::array<Unit, n>& units, std::string_view zero)
{
    if (!value)
        return std::string(zero);
    auto it = std::find_if(units.begin(), units.end(), [&](const Unit& unit) { return !(value % unit.factor); });
    return fmt::format("{}{}", value / it->factor, it->name);
}

std::string_view typeName(const toml::node& node)
{
    switch (node.type()) {
    case toml::node_type::table:
        return "a table";
    case toml::node_type::array:
        return "an array";
    case toml::node_type::string:
        return "a text";
    case toml::node_type::integer:
        return "an integer";
    case toml::node_type::floating_point:
        return "a number";
    case toml::node_type::boolean:
        return "a boolean";
    default:
        return "a date or time";
    }
}

std::string describeValue(const toml::node& node)
{
    if (const auto* text = node.as_string())
        return quoteForMessage(text->get());
    if (const auto* number = node.as_integer())
        return fmt::format("{}", number->get());
    if (const auto* number = node.as_floating_point())
        return fmt::format("{}", number->get());
    if (const auto* flag = node.as_boolean())
        return fmt::format("{}", flag->get());
    return std::string(typeName(node));
}

std::string describeBounds(Bounds<uint64_t> bounds)
{
    return fmt::format("an integer from {} to {}", bounds.min, bounds.max);
}

std::string describeBounds(Bounds<double> bounds)
{
    return fmt::format("a number from {} to {}", bounds.min, bounds.max);
}

std::string describeBounds(Bounds<Duration> bounds)
{
    return fmt::format("a duration from {} to {}", printDuration(bounds.min), printDuration(bounds.max));
}

std::string describeSizeBounds(Bounds<uint64_t> bounds)
{
    return fmt::format("a size from {} to {}", printSize(bounds.min), printSize(bounds.max));
}

std::string describeList(std::string_view element, size_t limit)
{
    return fmt::format("a list of at most {} of: {}", limit, element);
}

std::string quoteToml(std::string_view text)
{
    // Every JSON string is also a valid TOML basic string.
    return nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string printReal(double value)
{
    std::string text = fmt::format("{}", value);
    bool isInteger = text.find_first_of(".en") == std::string::npos;
    return isInteger ? text + ".0" : text;
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Conversion and validation of text
//-----------------------------------------------------------------------------

std::optional<Duration> parseDuration(std::string_view text)
{
    auto value = parseWithUnit(text, durationUnits);
    return value ? std::optional(Duration(static_cast<int64_t>(*value))) : std::nullopt;
}

std::string printDuration(Duration value)
{
    return printWithUnit(static_cast<uint64_t>(value.count()), durationUnits, "0s");
}

std::optional<uint64_t> parseSize(std::string_view text) { return parseWithUnit(text, sizeUnits); }

std::string printSize(uint64_t value) { return printWithUnit(value, sizeUnits, "0B"); }

bool isName(std::string_view text)
{
    constexpr size_t maxNameLength = 64;
    auto isAlphanumeric = [](char c) { return g_ascii_isalnum(c) != 0; };
    auto isAllowed = [&](char c) { return isAlphanumeric(c) || c == '.' || c == '_' || c == '-'; };
    return !text.empty() && text.size() <= maxNameLength && isAlphanumeric(text.front())
        && std::all_of(text.begin(), text.end(), isAllowed);
}

bool isPrintable(std::string_view text)
{
    constexpr char del = 0x7f;
    return g_utf8_validate(text.data(), static_cast<gssize>(text.size()), nullptr)
        && std::none_of(text.begin(), text.end(), [](char c) { return (c >= 0 && c < ' ') || c == del; });
}

bool isAddress(std::string_view text)
{
    size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return false;
    std::string host(text.substr(0, colon));
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    else if (host.find(':') != std::string::npos)
        return false;
    std::string_view digits = text.substr(colon + 1);
    uint16_t port = 0;
    auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    return ec == std::errc() && end == digits.data() + digits.size() && port && g_hostname_is_ip_address(host.c_str());
}

std::string quoteForMessage(std::string_view text)
{
    constexpr size_t maxShownBytes = 80;
    bool isTruncated = text.size() > maxShownBytes;
    std::string quoted = quoteToml(text.substr(0, maxShownBytes));
    return isTruncated ? fmt::format("{}... ({} bytes)", quoted, text.size()) : quoted;
}

const TextRule nameRule { "a name of 1 to 64 letters, digits, '.', '_' or '-'", &isName };

//-----------------------------------------------------------------------------
// [SECTION] Errors
//-----------------------------------------------------------------------------

std::string toString(const FileError& error)
{
    std::string text = error.file;
    if (error.line)
        text += fmt::format(":{}", error.line);
    if (!error.keyPath.empty())
        text += fmt::format(": {}", error.keyPath);
    text += fmt::format(": found {}", error.found);
    if (!error.allowed.empty())
        text += fmt::format("; allowed: {}", error.allowed);
    return text;
}

void ReadContext::report(const std::string& keyPath, std::string found, std::string allowed)
{
    reportAt(lineOf(keyPath), keyPath, std::move(found), std::move(allowed));
}

void ReadContext::reportAt(uint32_t line, const std::string& keyPath, std::string found, std::string allowed)
{
    m_rejected.insert(keyPath);
    m_errors.push_back({ m_file, line, keyPath, std::move(found), std::move(allowed) });
}

bool ReadContext::isRejected(const std::string& keyPath) const
{
    auto it = m_rejected.lower_bound(keyPath);
    return it != m_rejected.end() && it->starts_with(keyPath)
        && (it->size() == keyPath.size() || (*it)[keyPath.size()] == '.' || (*it)[keyPath.size()] == '[');
}

uint32_t ReadContext::lineOf(std::string keyPath) const
{
    for (;;) {
        if (auto it = m_lines.find(keyPath); it != m_lines.end())
            return it->second;
        size_t end = keyPath.find_last_of(".[");
        if (end == std::string::npos)
            return 0;
        keyPath.resize(end);
    }
}

std::vector<FileError> ReadContext::takeErrors()
{
    std::stable_sort(
        m_errors.begin(), m_errors.end(), [](const FileError& a, const FileError& b) { return a.line < b.line; });
    return std::move(m_errors);
}

//-----------------------------------------------------------------------------
// [SECTION] Reading
//-----------------------------------------------------------------------------

std::optional<toml::table> parseToml(std::string_view text, ReadContext& context)
{
    // A document is stored as one value of the object store. Values are limited to 1 MB including their JSON escaping.
    constexpr size_t maxFileBytes = 900'000;
    if (text.size() > maxFileBytes) {
        context.reportAt(0, "", fmt::format("{} bytes", text.size()), fmt::format("at most {} bytes", maxFileBytes));
        return std::nullopt;
    }
    try {
        return toml::parse(text);
    } catch (const toml::parse_error& error) {
        context.reportAt(error.source().begin.line, "", fmt::format("a syntax error: {}", error.description()), "TOML");
        return std::nullopt;
    }
}

std::string SectionReader::pathOf(std::string_view key) const
{
    return m_path.empty() ? std::string(key) : fmt::format("{}.{}", m_path, key);
}

const toml::node* SectionReader::find(std::string_view key)
{
    m_knownKeys.emplace(key);
    const toml::node* node = m_table ? m_table->get(key) : nullptr;
    if (node)
        m_context.recordLine(pathOf(key), node->source().begin.line);
    return node;
}

const toml::node* SectionReader::findOrReportMissing(std::string_view key, std::string_view allowed, Presence presence)
{
    const toml::node* node = find(key);
    if (!node && presence == Presence::Required)
        reject(key, "nothing (the key is required)", std::string(allowed));
    return node;
}

void SectionReader::reject(std::string_view key, std::string found, std::string allowed)
{
    m_context.report(pathOf(key), std::move(found), std::move(allowed));
}

void SectionReader::rejectType(std::string_view key, const toml::node& node, std::string_view allowed)
{
    reject(key, fmt::format("{} ({})", describeValue(node), typeName(node)), std::string(allowed));
}

std::optional<std::string> SectionReader::readText(
    std::string_view key, std::string_view allowed, Presence presence, bool isSecret)
{
    const toml::node* node = findOrReportMissing(key, allowed, presence);
    if (!node)
        return std::nullopt;
    if (const auto* text = node->as_string())
        return text->get();
    if (isSecret)
        reject(key, std::string(typeName(*node)), std::string(allowed));
    else
        rejectType(key, *node, allowed);
    return std::nullopt;
}

std::optional<uint64_t> SectionReader::readInteger(std::string_view key, Bounds<uint64_t> bounds, Presence presence)
{
    std::string allowed = describeBounds(bounds);
    const toml::node* node = findOrReportMissing(key, allowed, presence);
    if (!node)
        return std::nullopt;
    const auto* number = node->as_integer();
    if (!number) {
        rejectType(key, *node, allowed);
        return std::nullopt;
    }
    auto value = static_cast<uint64_t>(number->get());
    if (number->get() >= 0 && value >= bounds.min && value <= bounds.max)
        return value;
    reject(key, describeValue(*node), allowed);
    return std::nullopt;
}

std::optional<uint64_t> SectionReader::readSize(std::string_view key, Bounds<uint64_t> bounds)
{
    std::string allowed = describeSizeBounds(bounds) + ", with a unit B, KiB, MiB or GiB";
    auto text = readText(key, allowed, Presence::Optional);
    if (!text)
        return std::nullopt;
    auto value = parseSize(*text);
    if (value && *value >= bounds.min && *value <= bounds.max)
        return value;
    reject(key, quoteForMessage(*text), allowed);
    return std::nullopt;
}

void SectionReader::text(
    std::string_view key, std::string& value, const TextRule& rule, Presence presence, std::string_view)
{
    auto found = readText(key, rule.allowed, presence, rule.isSecret);
    if (!found)
        return;
    if (rule.accepts(*found)) {
        value = std::move(*found);
        return;
    }
    std::string shown = rule.isSecret ? fmt::format("a text of {} characters", found->size()) : quoteForMessage(*found);
    reject(key, std::move(shown), std::string(rule.allowed));
}

void SectionReader::flag(std::string_view key, bool& value, std::string_view)
{
    const toml::node* node = find(key);
    if (!node)
        return;
    if (const auto* found = node->as_boolean())
        value = found->get();
    else
        rejectType(key, *node, "true or false");
}

void SectionReader::real(std::string_view key, double& value, Bounds<double> bounds, std::string_view)
{
    const toml::node* node = find(key);
    if (!node)
        return;
    std::string allowed = describeBounds(bounds);
    if (!node->is_number()) {
        rejectType(key, *node, allowed);
        return;
    }
    double number = node->value<double>().value_or(std::nan(""));
    if (number >= bounds.min && number <= bounds.max)
        value = number;
    else
        reject(key, describeValue(*node), allowed);
}

void SectionReader::duration(std::string_view key, Duration& value, Bounds<Duration> bounds, std::string_view)
{
    std::string allowed = describeBounds(bounds) + ", with a unit us, ms, s, min, h or d";
    auto text = readText(key, allowed, Presence::Optional);
    if (!text)
        return;
    auto parsed = parseDuration(*text);
    if (parsed && *parsed >= bounds.min && *parsed <= bounds.max)
        value = *parsed;
    else
        reject(key, quoteForMessage(*text), allowed);
}

const toml::array* SectionReader::findArray(std::string_view key, std::string_view allowed, size_t limit)
{
    const toml::node* node = find(key);
    if (!node)
        return nullptr;
    const toml::array* array = node->as_array();
    if (!array) {
        rejectType(key, *node, allowed);
        return nullptr;
    }
    if (array->size() <= limit)
        return array;
    reject(key, fmt::format("{} elements", array->size()), std::string(allowed));
    return nullptr;
}

void SectionReader::textList(
    std::string_view key, std::vector<std::string>& value, const TextRule& rule, size_t limit, std::string_view)
{
    const toml::array* array = findArray(key, describeList(rule.allowed, limit), limit);
    if (!array)
        return;
    value.clear();
    auto describe
        = [&](const toml::node& node) { return rule.isSecret ? std::string("a secret") : describeValue(node); };
    for (size_t i = 0; i < array->size(); ++i) {
        const toml::node& node = *array->get(i);
        std::string elementKey = fmt::format("{}[{}]", key, i);
        const auto* text = node.as_string();
        if (!text)
            rejectType(elementKey, node, rule.allowed);
        else if (!rule.accepts(text->get()))
            reject(elementKey, describe(node), std::string(rule.allowed));
        else if (std::find(value.begin(), value.end(), text->get()) != value.end())
            reject(elementKey, describe(node) + " twice", "each element once");
        else
            value.push_back(text->get());
    }
}

void SectionReader::integerList(
    std::string_view key, std::vector<uint16_t>& value, Bounds<uint64_t> bounds, size_t limit, std::string_view)
{
    std::string allowed = describeBounds(bounds);
    const toml::array* array = findArray(key, describeList(allowed, limit), limit);
    if (!array)
        return;
    value.clear();
    for (size_t i = 0; i < array->size(); ++i) {
        const toml::node& node = *array->get(i);
        std::string elementKey = fmt::format("{}[{}]", key, i);
        const auto* number = node.as_integer();
        if (!number) {
            rejectType(elementKey, node, allowed);
            continue;
        }
        int64_t found = number->get();
        if (found < static_cast<int64_t>(bounds.min) || found > static_cast<int64_t>(bounds.max))
            reject(elementKey, describeValue(node), allowed);
        else
            value.push_back(static_cast<uint16_t>(found));
    }
}

const toml::table* SectionReader::findTable(std::string_view key)
{
    const toml::node* node = find(key);
    if (!node)
        return nullptr;
    if (!node->is_table())
        rejectType(key, *node, "a table");
    return node->as_table();
}

std::vector<const toml::table*> SectionReader::findTables(std::string_view key, size_t limit)
{
    std::vector<const toml::table*> tables;
    const toml::array* array = findArray(key, fmt::format("at most {} tables [[{}]]", limit, pathOf(key)), limit);
    for (size_t i = 0; array && i < array->size(); ++i) {
        const toml::node& node = *array->get(i);
        std::string elementKey = fmt::format("{}[{}]", key, i);
        m_context.recordLine(pathOf(elementKey), node.source().begin.line);
        if (!node.is_table())
            rejectType(elementKey, node, "a table");
        else
            tables.push_back(node.as_table());
    }
    return tables;
}

void SectionReader::finish()
{
    if (!m_table)
        return;
    for (const auto& [key, node] : *m_table) {
        if (m_knownKeys.contains(key.str()))
            continue;
        std::string knownKeys = fmt::format("{}", fmt::join(m_knownKeys, ", "));
        m_context.reportAt(key.source().begin.line, pathOf(key.str()), "an unknown key", std::move(knownKeys));
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Listing and printing
//-----------------------------------------------------------------------------

std::string SectionLister::quote(std::string_view text) { return quoteToml(text); }

std::string SectionLister::pathOf(std::string_view key) const
{
    return m_path.empty() ? std::string(key) : fmt::format("{}.{}", m_path, key);
}

void SectionLister::add(std::string_view key, std::string_view type, std::string value, std::string allowed,
    Presence presence, std::string_view description)
{
    m_entries.push_back({ m_heading, std::string(key), std::string(type), std::move(value), std::move(allowed),
        std::string(description), presence == Presence::Required });
}

void SectionLister::text(std::string_view key, const std::string& value, const TextRule& rule, Presence presence,
    std::string_view description)
{
    add(key, "text", quote(value), std::string(rule.allowed), presence, description);
}

void SectionLister::flag(std::string_view key, bool value, std::string_view description)
{
    add(key, "boolean", value ? "true" : "false", "true or false", Presence::Optional, description);
}

void SectionLister::real(std::string_view key, double value, Bounds<double> bounds, std::string_view description)
{
    add(key, "number", printReal(value), describeBounds(bounds), Presence::Optional, description);
}

void SectionLister::duration(
    std::string_view key, Duration value, Bounds<Duration> bounds, std::string_view description)
{
    add(key, "duration", quote(printDuration(value)), describeBounds(bounds), Presence::Optional, description);
}

void SectionLister::textList(std::string_view key, const std::vector<std::string>& value, const TextRule& rule,
    size_t limit, std::string_view description)
{
    std::vector<std::string> quoted;
    quoted.reserve(value.size());
    for (const std::string& element : value)
        quoted.push_back(quote(element));
    add(key, "list of text", fmt::format("[{}]", fmt::join(quoted, ", ")), describeList(rule.allowed, limit),
        Presence::Optional, description);
}

void SectionLister::integerList(std::string_view key, const std::vector<uint16_t>& value, Bounds<uint64_t> bounds,
    size_t limit, std::string_view description)
{
    add(key, "list of integers", fmt::format("[{}]", fmt::join(value, ", ")),
        describeList(describeBounds(bounds), limit), Presence::Optional, description);
}

void SectionLister::integer(
    std::string_view key, uint64_t value, Bounds<uint64_t> bounds, Presence presence, std::string_view description)
{
    add(key, "integer", fmt::format("{}", value), describeBounds(bounds), presence, description);
}

void SectionLister::size(std::string_view key, uint64_t value, Bounds<uint64_t> bounds, std::string_view description)
{
    add(key, "size", quote(printSize(value)), describeSizeBounds(bounds), Presence::Optional, description);
}

namespace {

std::string printEntries(std::span<const KeyEntry> entries, bool withComments)
{
    std::string text;
    const KeyEntry* previous = nullptr;
    for (const KeyEntry& entry : entries) {
        // All elements of an array of tables have the same heading. A further one is detected by its key "name",
        // which the previous element has already listed.
        bool isNewElement
            = previous && previous->section == entry.section && entry.section.starts_with("[[") && entry.key == "name";
        if (!entry.section.empty() && (!previous || previous->section != entry.section || isNewElement))
            text += fmt::format("\n{}\n", entry.section);
        if (withComments)
            text += fmt::format("# {} ({})\n", entry.description, entry.allowed);
        if (withComments && entry.isRequired)
            text += fmt::format("# {} = # required\n", entry.key);
        else
            text += fmt::format("{} = {}\n", entry.key, entry.value);
        previous = &entry;
    }
    return text;
}

} // namespace

std::string printToml(std::span<const KeyEntry> entries) { return printEntries(entries, false); }

std::string printCommentedToml(std::span<const KeyEntry> entries) { return printEntries(entries, true); }

} // namespace Gooseberrymill

#include "Log.h"

#include <atomic>
#include <fmt/chrono.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace Gooseberrymill {

namespace {

std::atomic<LogLevel> minimumLevel { LogLevel::Info };

constexpr std::array<std::string_view, 4> levelNames { "debug", "info", "warning", "error" };

using Line = nlohmann::ordered_json;

std::string timestamp()
{
    auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    auto millis = now.time_since_epoch().count() % 1000;
    return fmt::format("{:%FT%T}.{:03}Z", fmt::gmtime(std::chrono::system_clock::to_time_t(now)), millis);
}

Line startLine(LogLevel level, std::string_view event)
{
    Line line;
    line["time"] = timestamp();
    line["level"] = levelNames.at(static_cast<size_t>(level));
    line["event"] = event;
    return line;
}

void addFields(Line& line, std::initializer_list<LogField> fields)
{
    for (const LogField& field : fields)
        std::visit([&](const auto& value) { line[std::string(field.name)] = value; }, field.value);
}

void writeLine(const Line& line)
{
    // One call writes the whole line, so that lines of several threads do not mix.
    std::string text = line.dump(-1, ' ', false, Line::error_handler_t::replace) + "\n";
    std::fwrite(text.data(), 1, text.size(), stderr);
}

} // namespace

LogField::LogField(std::string_view fieldName, std::string_view text)
    : name(fieldName)
    , value(std::string(text))
{
}

LogField::LogField(std::string_view fieldName, const std::string& text)
    : name(fieldName)
    , value(text)
{
}

LogField::LogField(std::string_view fieldName, const char* text)
    : name(fieldName)
    , value(std::string(text))
{
}

LogField::LogField(std::string_view fieldName, bool flag)
    : name(fieldName)
    , value(flag)
{
}

LogField::LogField(std::string_view fieldName, double number)
    : name(fieldName)
    , value(number)
{
}

void setLogLevel(LogLevel level) { minimumLevel = level; }

std::optional<LogLevel> parseLogLevel(std::string_view text)
{
    for (size_t i = 0; i < levelNames.size(); ++i) {
        if (levelNames[i] == text)
            return static_cast<LogLevel>(i);
    }
    return std::nullopt;
}

void log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    if (level < minimumLevel)
        return;
    Line line = startLine(level, event);
    addFields(line, fields);
    writeLine(line);
}

void log(LogLevel level, std::string_view event, const Error& error, std::initializer_list<LogField> fields)
{
    if (level < minimumLevel)
        return;
    Line line = startLine(level, event);
    line["step"] = error.step;
    line["peer"] = error.peer;
    line["error"] = error.code.message();
    if (!error.detail.empty())
        line["detail"] = error.detail;
    addFields(line, fields);
    writeLine(line);
}

} // namespace Gooseberrymill

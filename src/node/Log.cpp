#include "Log.h"

#include <atomic>
#include <climits>
#include <fmt/chrono.h>
#include <fmt/format.h>
#include <mutex>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <unistd.h>

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

// Limits the number of lines per second, counted over all threads.
class LineRateLimiter {
public:
    bool tryAcquire()
    {
        auto second
            = std::chrono::duration_cast<std::chrono::seconds>(std::chrono::steady_clock::now().time_since_epoch())
                  .count();
        std::lock_guard lock(m_mutex);
        if (second != m_second) {
            m_second = second;
            m_lines = 0;
        }
        return ++m_lines <= maxLinesPerSecond;
    }

private:
    static constexpr uint32_t maxLinesPerSecond = 200;
    std::mutex m_mutex;
    int64_t m_second = 0;
    uint32_t m_lines = 0;
};

std::atomic<uint64_t> droppedLines { 0 };
std::atomic<uint64_t> reportedDroppedLines { 0 }; // the part of droppedLines that a written line has reported

bool isWritable()
{
    pollfd descriptor { STDOUT_FILENO, POLLOUT, 0 };
    return poll(&descriptor, 1, 0) == 1 && (descriptor.revents & POLLOUT);
}

void writeLine(Line& line)
{
    static LineRateLimiter limiter;
    if (!limiter.tryAcquire() || !isWritable()) {
        ++droppedLines;
        return;
    }
    uint64_t dropped = droppedLines;
    if (uint64_t reported = reportedDroppedLines.exchange(dropped); reported < dropped)
        line["lines_dropped"] = dropped - reported;
    // A single write() call keeps lines of several threads from interleaving. A writable pipe accepts PIPE_BUF bytes
    // without blocking, so longer lines are truncated.
    std::string text = line.dump(-1, ' ', false, Line::error_handler_t::replace);
    text.resize(std::min<size_t>(text.size(), PIPE_BUF - 1));
    text += '\n';
    if (write(STDOUT_FILENO, text.data(), text.size()) != static_cast<ssize_t>(text.size()))
        ++droppedLines;
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

uint64_t droppedLogLines() { return droppedLines; }

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

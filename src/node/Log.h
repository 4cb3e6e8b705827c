// Structured log on standard output: one JSON object per line.
//
// Writing never blocks. A line is dropped when standard output is not writable or the limit of lines per second is
// exceeded; the next line written reports the number of dropped lines. A line longer than PIPE_BUF is truncated.
#pragma once

#include "core/Basics.h"

#include <initializer_list>
#include <variant>

namespace Gooseberrymill {

enum class LogLevel : uint8_t { Debug, Info, Warning, Error };

// One field of a log line.
struct LogField {
    std::string_view name;
    std::variant<std::string, int64_t, double, bool> value;

    LogField(std::string_view fieldName, std::string_view text);
    LogField(std::string_view fieldName, const std::string& text);
    LogField(std::string_view fieldName, const char* text);
    LogField(std::string_view fieldName, bool flag);
    LogField(std::string_view fieldName, double number);
    template <std::integral T>
    LogField(std::string_view fieldName, T number)
        : name(fieldName)
        , value(static_cast<int64_t>(number))
    {
    }
};

// Number of lines dropped since the start of the process, because of the rate limit or because standard output was not
// read. May be called from any thread.
uint64_t droppedLogLines();

// Sets the lowest level that is written. To be called once, before threads start.
void setLogLevel(LogLevel);
std::optional<LogLevel> parseLogLevel(std::string_view); // "debug", "info", "warning", "error"

// Writes one line: time (UTC, milliseconds), level, event, fields. `event` is a short fixed name such as
// "request.refused". May be called from any thread; lines of different threads are not interleaved.
void log(LogLevel, std::string_view event, std::initializer_list<LogField> fields = {});

// Same, with the step, peer, code and detail of an error as fields before `fields`.
void log(LogLevel, std::string_view event, const Error&, std::initializer_list<LogField> fields = {});

} // namespace Gooseberrymill

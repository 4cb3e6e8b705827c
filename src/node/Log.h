// JSON-line log on standard output, one object a line.
//
// Writing never blocks: a line that the reader has no room for, or beyond the bound a second, is dropped, and the next
// line written says how many were.
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

// Lines dropped since the start, because of the bound or of a reader that stopped. May be called from any thread.
uint64_t droppedLogLines();

// Lines below this level are dropped. Set once, before threads start.
void setLogLevel(LogLevel);
std::optional<LogLevel> parseLogLevel(std::string_view); // "debug", "info", "warning", "error"

// Writes one line: time (UTC, milliseconds), level, event, fields. `event` is a short fixed name such as
// "request.refused". May be called from any thread; a line is written whole.
void log(LogLevel, std::string_view event, std::initializer_list<LogField> fields = {});

// Same, with the step, peer, code and detail of an error.
void log(LogLevel, std::string_view event, const Error&, std::initializer_list<LogField> fields = {});

} // namespace Gooseberrymill

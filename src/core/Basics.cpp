#include "Basics.h"

#include <fmt/format.h>

namespace Gooseberrymill {

namespace {

constexpr std::array<std::string_view, 3> outcomeNames { "not-run", "unknown", "ran" };

constexpr std::array<std::string_view, 33> refusalReasonNames { "none", "no-configuration", "no-route", "bad-request",
    "body-too-large", "no-upstream", "draining", "ejected", "queue-full", "deadline-unreachable", "deadline-exceeded",
    "cancelled", "query-of-death", "store-unavailable", "key-expired", "key-reused", "held-elsewhere", "holder-gone",
    "upstream-unreachable", "upstream-crashed", "upstream-truncated", "upstream-invalid", "relay-failed",
    "shutting-down", "overloaded", "answer-not-recorded", "upstream-shed", "degraded", "rate-limited", "key-unknown",
    "key-unverified", "quota-exceeded", "slots-taken" };

constexpr std::array<std::string_view, workClassCount> workClassNames { "critical", "interactive", "patient",
    "background" };

constexpr std::array<std::string_view, upstreamStateCount> upstreamStateNames { "cold", "ready", "degraded", "ejected",
    "draining", "gone" };

constexpr std::array<std::string_view, 14> errorCodeNames { "ok", "malformed", "too large", "not authentic", "conflict",
    "not found", "unavailable", "answer lost", "timeout", "cancelled", "closed", "unsupported", "invalid",
    "unchanged" };

template <typename Enum, size_t n> std::string_view nameOf(const std::array<std::string_view, n>& names, Enum value)
{
    auto index = static_cast<size_t>(value);
    return index < n ? names[index] : std::string_view("invalid");
}

int hexDigit(char c)
{
    if (c >= '0' && c <= '9')
        return c - '0';
    if (c >= 'a' && c <= 'f')
        return c - 'a' + 10;
    if (c >= 'A' && c <= 'F')
        return c - 'A' + 10;
    return -1;
}

class ErrorCategory final : public std::error_category {
public:
    const char* name() const noexcept override { return "gooseberrymill"; }
    std::string message(int value) const override
    {
        return std::string(nameOf(errorCodeNames, static_cast<ErrorCode>(value)));
    }
};

} // namespace

std::string toString(const Id128& id)
{
    return fmt::format("{:08x}-{:04x}-{:04x}-{:04x}-{:012x}", id.high >> 32, (id.high >> 16) & 0xffff, id.high & 0xffff,
        id.low >> 48, id.low & 0xffffffffffffULL);
}

std::optional<Id128> parseId128(std::string_view text)
{
    constexpr size_t uuidLength = 36;
    if (text.size() != uuidLength)
        return std::nullopt;
    std::array<uint64_t, 2> halves {};
    size_t digits = 0;
    for (size_t i = 0; i < text.size(); ++i) {
        if (i == 8 || i == 13 || i == 18 || i == 23) {
            if (text[i] != '-')
                return std::nullopt;
            continue;
        }
        int digit = hexDigit(text[i]);
        if (digit < 0)
            return std::nullopt;
        uint64_t& half = halves[digits++ / 16];
        half = half << 4 | static_cast<uint64_t>(digit);
    }
    return Id128 { halves[0], halves[1] };
}

std::optional<WallTime> uuidTime(const Id128& id)
{
    if (((id.high >> 12) & 0xf) != 7)
        return std::nullopt;
    return WallTime(std::chrono::milliseconds(id.high >> 16));
}

std::string_view toString(Outcome outcome) { return nameOf(outcomeNames, outcome); }
std::string_view toString(RefusalReason reason) { return nameOf(refusalReasonNames, reason); }
std::string_view toString(WorkClass workClass) { return nameOf(workClassNames, workClass); }
std::string_view toString(UpstreamState state) { return nameOf(upstreamStateNames, state); }

std::optional<WorkClass> parseWorkClass(std::string_view text)
{
    for (size_t i = 0; i < workClassNames.size(); ++i) {
        if (workClassNames[i] == text)
            return static_cast<WorkClass>(i);
    }
    return std::nullopt;
}

std::string toString(const Error& error)
{
    std::string text = fmt::format("{}: {}", error.step, error.code.message());
    if (!error.peer.empty())
        text += fmt::format(" (peer {})", error.peer);
    if (!error.detail.empty())
        text += fmt::format(": {}", error.detail);
    return text;
}

const std::error_category& errorCategory()
{
    static const ErrorCategory category;
    return category;
}

std::error_code makeErrorCode(ErrorCode ec) { return { static_cast<int>(ec), errorCategory() }; }

} // namespace Gooseberrymill

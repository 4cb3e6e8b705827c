#include "RateLimiter.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace Gooseberrymill {

namespace {

constexpr double microsPerSecond = 1e6;
constexpr double roundingTolerance = 1e-6; // tokens; a wait is rounded to whole microseconds

} // namespace

std::optional<double> parseUpstreamRate(std::string_view text)
{
    constexpr std::string_view blanks = " \t";
    text.remove_prefix(std::min(text.find_first_not_of(blanks), text.size()));
    text.remove_suffix(text.size() - std::min(text.find_last_not_of(blanks) + 1, text.size()));
    double value = 0;
    auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value, std::chars_format::fixed);
    bool isTooLarge = ec == std::errc::result_out_of_range && text.find_first_not_of("0123456789.") == text.npos;
    if (isTooLarge)
        return maxUpstreamRate;
    bool isNumber = ec == std::errc() && end == text.data() + text.size() && std::isfinite(value) && value >= 0;
    return isNumber ? std::optional(std::clamp(value, minUpstreamRate, maxUpstreamRate)) : std::nullopt;
}

double RateLimiter::tokensAt(Instant now) const
{
    double elapsed = static_cast<double>((now - m_updatedAt).count()) / microsPerSecond;
    return std::min(capacity(), m_tokens + elapsed * *m_rate);
}

void RateLimiter::setRate(std::optional<double> perSecond, Instant now)
{
    if (m_rate == perSecond)
        return;
    double tokens = m_rate ? tokensAt(now) : 0;
    m_rate = perSecond;
    m_tokens = m_rate ? std::min(tokens, capacity()) : 0;
    m_updatedAt = now;
}

bool RateLimiter::tryTake(Instant now)
{
    if (!m_rate)
        return true;
    double tokens = tokensAt(now);
    if (tokens + roundingTolerance < 1)
        return false;
    m_tokens = std::max(0.0, tokens - 1);
    m_updatedAt = now;
    return true;
}

Duration RateLimiter::timeUntil(size_t count, Instant now) const
{
    if (!m_rate)
        return {};
    double missing = static_cast<double>(count) - tokensAt(now);
    return Duration(static_cast<int64_t>(std::ceil(std::max(0.0, missing) / *m_rate * microsPerSecond)));
}

} // namespace Gooseberrymill

// Keeps the requests sent to one upstream within the rate that the upstream has asked for.
#pragma once

#include "Basics.h"

#include <algorithm>

namespace Gooseberrymill {

//-----------------------------------------------------------------------------
// [SECTION] Rates
//-----------------------------------------------------------------------------

// Requests per second that an upstream takes from the whole fleet. Smaller values are raised to minUpstreamRate: only
// an answer tells that a limit has ended, so some request must still ask.
constexpr double minUpstreamRate = 0.25;
constexpr double maxUpstreamRate = 1e6; // larger values are lowered to it

// Parses a decimal number of requests per second. Empty for text that is no number, for a negative one and for
// infinity; a caller then keeps what it knew.
std::optional<double> parseUpstreamRate(std::string_view);

//-----------------------------------------------------------------------------
// [SECTION] RateLimiter
//-----------------------------------------------------------------------------

// Token bucket. It holds the tokens of one second and at least one, so requests may come in small groups, and any span
// of n seconds gets at most n + 1 times the rate, or n times the rate plus one.
class RateLimiter {
public:
    // Starts or changes the limit; empty ends it. A limit that starts has no token: the requests sent before it count
    // towards it at the upstream.
    void setRate(std::optional<double> perSecond, Instant now);
    std::optional<double> rate() const { return m_rate; }

    bool tryTake(Instant now); // takes a token if there is one; always true without a limit
    // Time until `count` tokens have been there, from now on. 0 without a limit.
    Duration timeUntil(size_t count, Instant now) const;

private:
    double tokensAt(Instant now) const;
    double capacity() const { return std::max(1.0, *m_rate); }

    std::optional<double> m_rate;
    double m_tokens = 0; // at m_updatedAt
    Instant m_updatedAt {};
};

} // namespace Gooseberrymill

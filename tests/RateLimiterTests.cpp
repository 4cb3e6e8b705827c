#define BOOST_TEST_MODULE RateLimiter
#include "core/RateLimiter.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace Gooseberrymill;

namespace {

Instant at(Duration time) { return Instant(1000s + time); }

// Requests that the users' rule allows an upstream in any 4 s.
double allowedIn4s(double rate) { return 1.5 * 4 * rate + 5; }

} // namespace

// Guards against a value that is misread: it would lift the limit or stop the upstream.
BOOST_AUTO_TEST_CASE(readsRates)
{
    BOOST_TEST(parseUpstreamRate("3").value() == 3);
    BOOST_TEST(parseUpstreamRate(" 1.75\t").value() == 1.75);
    BOOST_TEST(parseUpstreamRate("0").value() == minUpstreamRate);
    BOOST_TEST(parseUpstreamRate("0.001").value() == minUpstreamRate);
    BOOST_TEST(parseUpstreamRate("99999999999").value() == maxUpstreamRate);
    BOOST_TEST(parseUpstreamRate(std::string(400, '9')).value() == maxUpstreamRate);
    for (std::string_view text :
        { "", " ", "-1", "-0.5", "nan", "inf", "1e3", "0x10", "three", "2,5", "1 2", "+1", "-" })
        BOOST_TEST(!parseUpstreamRate(text));
}

// Guards against a limit that is exceeded in some 4 s, with any arrivals and changes of the limit downwards.
RC_BOOST_PROP(noSpanExceedsTheRate, (const std::vector<uint16_t>& pauses, uint16_t milliRate))
{
    double rate = std::max(minUpstreamRate, milliRate % 8000 / 1000.0);
    RateLimiter limiter;
    Instant now = at(0s);
    limiter.setRate(rate, now);
    std::vector<Instant> taken;
    for (uint16_t pause : pauses) {
        now += Duration(1ms) * (pause % 3000);
        for (int i = 0; i < 10; ++i) {
            if (limiter.tryTake(now))
                taken.push_back(now);
        }
    }
    for (Instant start : taken) {
        auto count = std::count_if(taken.begin(), taken.end(), [&](Instant t) { return t >= start && t < start + 4s; });
        RC_ASSERT(static_cast<double>(count) <= allowedIn4s(rate));
        RC_ASSERT(static_cast<double>(count) <= 5 * rate + 1);
    }
}

// Guards against a limit that starts with a full bucket: what was sent just before counts at the upstream too.
BOOST_AUTO_TEST_CASE(startsEmpty)
{
    RateLimiter limiter;
    BOOST_TEST(limiter.tryTake(at(0s)));
    limiter.setRate(2, at(0s));
    BOOST_TEST(!limiter.tryTake(at(0s)));
    BOOST_TEST((limiter.timeUntil(1, at(0s)) == 500ms));
    BOOST_TEST(!limiter.tryTake(at(499ms)));
    BOOST_TEST(limiter.tryTake(at(500ms)));
}

// Guards against a repeated value that refills the bucket, and against a limit that does not end.
BOOST_AUTO_TEST_CASE(followsChanges)
{
    RateLimiter limiter;
    limiter.setRate(1, at(0s));
    for (int i = 0; i < 20; ++i)
        limiter.setRate(1, at(50ms * i));
    BOOST_TEST(!limiter.tryTake(at(950ms)));
    BOOST_TEST(limiter.tryTake(at(1s)));
    limiter.setRate(10, at(1s));
    BOOST_TEST(!limiter.tryTake(at(1s)));
    BOOST_TEST(limiter.tryTake(at(1100ms)));
    limiter.setRate(std::nullopt, at(1100ms));
    for (int i = 0; i < 100; ++i)
        BOOST_TEST(limiter.tryTake(at(1100ms)));
    BOOST_TEST((limiter.timeUntil(5, at(1100ms)) == 0s));
}

// Guards against an upstream with a limit of zero that is never asked again whether the limit still holds.
BOOST_AUTO_TEST_CASE(smallestLimitStillAsks)
{
    RateLimiter limiter;
    limiter.setRate(parseUpstreamRate("0"), at(0s));
    BOOST_TEST(!limiter.tryTake(at(3s)));
    BOOST_TEST(limiter.tryTake(at(4s)));
    BOOST_TEST((limiter.timeUntil(2, at(4s)) == 8s));
}

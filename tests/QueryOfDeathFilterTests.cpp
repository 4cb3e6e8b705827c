#define BOOST_TEST_MODULE QueryOfDeathFilter
#include "core/QueryOfDeathFilter.h"

#include <boost/test/unit_test.hpp>

using namespace Gooseberrymill;

namespace {

constexpr Instant start { 1h };
constexpr Fingerprint poison = 7;
constexpr Fingerprint popular = 8;

} // namespace

// Guards against a request that crashes upstreams being run without limit.
BOOST_AUTO_TEST_CASE(refusesAfterTwoCrashes)
{
    QueryOfDeathFilter filter;
    filter.crashed({ 1, 1 }, std::vector { poison }, start);
    BOOST_TEST(filter.crashCountIfRefused(poison, start) == 0U);
    filter.crashed({ 1, 2 }, std::vector { poison }, start);
    BOOST_TEST(filter.crashCountIfRefused(poison, start) == 2U);
}

// Guards against a caller getting additional runs by retrying at another node.
BOOST_AUTO_TEST_CASE(countsCrashesOfOtherNodes)
{
    QueryOfDeathFilter here;
    QueryOfDeathFilter there;
    for (const CrashReport& report : here.crashed({ 1, 1 }, std::vector { poison }, start))
        BOOST_TEST(there.reported(report, start));
    there.crashed({ 1, 2 }, std::vector { poison }, start);
    BOOST_TEST(there.crashCountIfRefused(poison, start) == 2U);
}

// Guards against a crash that is reported twice being counted as two.
BOOST_AUTO_TEST_CASE(ignoresRepeatedReport)
{
    QueryOfDeathFilter filter;
    CrashReport report { { 1, 1 }, poison };
    BOOST_TEST(filter.reported(report, start));
    BOOST_TEST(!filter.reported(report, start));
    BOOST_TEST(filter.crashCountIfRefused(poison, start) == 0U);
}

// Guards against a popular request being refused because it was running during crashes that other requests caused.
BOOST_AUTO_TEST_CASE(successClearsSuspicion)
{
    QueryOfDeathFilter filter;
    filter.crashed({ 1, 1 }, std::vector { poison, popular }, start);
    filter.succeeded(popular);
    filter.crashed({ 1, 2 }, std::vector { poison, popular }, start);
    BOOST_TEST(filter.crashCountIfRefused(popular, start) == 0U);
    BOOST_TEST(filter.crashCountIfRefused(poison, start) == 2U);
}

// Guards against a refusal that never expires and against unbounded growth.
BOOST_AUTO_TEST_CASE(forgetsAfterMemoryAndStaysBounded)
{
    QueryOfDeathLimits limits;
    limits.maxFingerprints = 100;
    QueryOfDeathFilter filter(limits);
    filter.crashed({ 1, 1 }, std::vector { poison }, start);
    filter.crashed({ 1, 2 }, std::vector { poison }, start);
    BOOST_TEST(filter.crashCountIfRefused(poison, start + limits.retention + 1s) == 0U);
    for (uint64_t i = 0; i < 1000; ++i)
        filter.crashed({ 2, i }, std::vector<Fingerprint> { 100 + i }, start + Duration(i));
    BOOST_TEST(filter.size() <= limits.maxFingerprints);
    filter.tick(start + limits.retention + 1h);
    BOOST_TEST(filter.size() == 0U);
}

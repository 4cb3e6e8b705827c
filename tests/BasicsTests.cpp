#define BOOST_TEST_MODULE Basics
#include "Gooseberrymill.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace Gooseberrymill;

// Guards against identifiers that change when they are formatted and parsed again.
RC_BOOST_PROP(uuidTextRoundTrips, (uint64_t high, uint64_t low))
{
    Id128 id { high, low };
    RC_ASSERT(parseId128(toString(id)) == std::optional(id));
}

// Guards against a malformed UUID being accepted as a valid one.
BOOST_AUTO_TEST_CASE(rejectsMalformedUuid)
{
    BOOST_TEST(!parseId128(""));
    BOOST_TEST(!parseId128("0192f0c1-7b7e-7000-8000-00000000000"));
    BOOST_TEST(!parseId128("0192f0c1-7b7e-7000-8000-00000000000g"));
    BOOST_TEST(!parseId128("0192f0c1+7b7e-7000-8000-000000000000"));
}

// Guards against a creation time being read from a UUID of another version, which has none.
BOOST_AUTO_TEST_CASE(readsTimeOfVersion7Only)
{
    auto v7 = parseId128("017f22e2-79b0-7cc3-98c4-dc0c0c07398f"); // RFC 9562, appendix A.6
    BOOST_REQUIRE(v7);
    BOOST_REQUIRE(uuidTime(*v7));
    BOOST_TEST(uuidTime(*v7)->time_since_epoch().count() == 0x017f22e279b0);
    auto v4 = parseId128("919108f7-52d1-4320-9bac-f847db4148a8");
    BOOST_REQUIRE(v4);
    BOOST_TEST(!uuidTime(*v4));
}

// Guards against an enumerator without a name in logs and responses.
BOOST_AUTO_TEST_CASE(everyEnumeratorHasName)
{
    for (int i = 0; i <= static_cast<int>(RefusalReason::Degraded); ++i)
        BOOST_TEST(toString(static_cast<RefusalReason>(i)) != "invalid");
    for (int i = 0; i <= static_cast<int>(ErrorCode::Invalid); ++i)
        BOOST_TEST(errorCategory().message(i) != (i == static_cast<int>(ErrorCode::Invalid) ? "ok" : "invalid"));
    for (size_t i = 0; i < workClassCount; ++i)
        BOOST_TEST((parseWorkClass(toString(static_cast<WorkClass>(i))) == static_cast<WorkClass>(i)));
}

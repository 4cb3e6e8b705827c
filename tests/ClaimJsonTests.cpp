#define BOOST_TEST_MODULE ClaimJson
#include "node/ClaimJson.h"

#include <boost/test/unit_test.hpp>

using namespace Gooseberrymill;

// Guards against claims that change when they are written to the store and read back.
BOOST_AUTO_TEST_CASE(roundTrips)
{
    ClaimBucket bucket { "bayaran.1.2", 7, {} };
    bucket.claims.push_back({ { 1, 1 }, { 2, 2 }, ~0ULL, ~0ULL, ClaimState::Claimed, 0 });
    bucket.claims.push_back({ { 1, 2 }, { 2, 3 }, 1, 2, ClaimState::Ran, 201 });
    auto parsed = parseClaimBucket("bayaran.1.2", 7, toJson(bucket));
    BOOST_REQUIRE(parsed);
    BOOST_TEST((parsed.value().claims == bucket.claims));
    BOOST_TEST(parsed.value().version == 7U);
}

// Guards against reading a damaged object as one without claims, which would allow an operation to run twice.
BOOST_AUTO_TEST_CASE(rejectsDamagedObjects)
{
    for (const char* text :
        { "", "{}", "[]", "null", R"({"claims":[1]})", R"({"claims":{"x":{}}})",
            R"({"claims":{"00000000-0000-0001-0000-000000000001":{"executor":"no","nonce":1,"fingerprint":1,"state":"ran"}}})",
            R"({"claims":{"00000000-0000-0001-0000-000000000001":{"executor":"00000000-0000-0001-0000-000000000001","nonce":1,"fingerprint":1,"state":"?"}}})" })
        BOOST_TEST(!parseClaimBucket("n", 1, text), text);
}

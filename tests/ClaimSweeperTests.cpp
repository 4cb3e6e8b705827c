#define BOOST_TEST_MODULE ClaimSweeper
#include "core/MemoryStore.h"
#include "node/ClaimSweeper.h"

#include <boost/test/unit_test.hpp>

using namespace Gooseberrymill;

namespace {

constexpr WallTime now { std::chrono::hours(500'000) };

RouteTable makeRoutes()
{
    auto document = std::make_shared<Configuration>();
    document->services.emplace_back().name = "bayaran";
    return RouteTable({ document });
}

Id128 keyAt(WallTime time) { return { static_cast<uint64_t>(time.time_since_epoch().count()) << 16 | 0x7000, 5 }; }

void storeBucket(MemoryStore& memory, WallTime time)
{
    memory.put(claimsKind, claimBucketName("bayaran", keyAt(time), ClaimSettings {}), R"({"claims":{}})", 0,
        [](const auto&) {});
    memory.deliverAll();
}

bool hasBucket(MemoryStore& memory, WallTime time)
{
    bool isFound = false;
    memory.get(claimsKind, claimBucketName("bayaran", keyAt(time), ClaimSettings {}),
        [&](const Result<StoredObject>& result) { isFound = result.has_value(); });
    memory.deliverAll();
    return isFound;
}

void sweepAll(ClaimSweeper<MemoryStore>& sweeper, MemoryStore& memory)
{
    constexpr int ticks = 5000; // more than needed for all names of the expired buckets checked after a start
    for (int i = 0; i < ticks; ++i) {
        sweeper.tick(makeRoutes(), now);
        memory.deliverAll();
    }
}

} // namespace

// Guards against claims that stay in the store forever, and against deleting a claim whose key is still accepted.
BOOST_AUTO_TEST_CASE(removesOnlyExpiredBuckets)
{
    MemoryStore memory;
    storeBucket(memory, now - 7 * 24h - 3h);
    storeBucket(memory, now - 7 * 24h - 30h);
    storeBucket(memory, now - 7 * 24h);
    storeBucket(memory, now - 1h);
    ClaimSweeper<MemoryStore> sweeper(memory, ClaimSettings {});
    sweepAll(sweeper, memory);
    BOOST_TEST(sweeper.removedCount() == 2U);
    BOOST_TEST(hasBucket(memory, now - 7 * 24h));
    BOOST_TEST(hasBucket(memory, now - 1h));
    BOOST_TEST(!hasBucket(memory, now - 7 * 24h - 3h));
    BOOST_TEST(!hasBucket(memory, now - 7 * 24h - 30h));
}

// Guards against a burst of reads when a sweeper starts.
BOOST_AUTO_TEST_CASE(boundsReadsPerTick)
{
    MemoryStore memory;
    ClaimSweeper<MemoryStore> sweeper(memory, ClaimSettings {});
    sweeper.tick(makeRoutes(), now);
    BOOST_TEST(memory.callCount() <= ClaimSweeper<MemoryStore>::namesPerTick);
}

#define BOOST_TEST_MODULE MembershipBench
#include "MembershipBench.h"

#include <boost/test/unit_test.hpp>

using namespace Gooseberrymill;

// Guards against membership outgrowing what a node may use for control at the target scale.
BOOST_AUTO_TEST_CASE(targetScaleFitsBudget)
{
    MembershipBenchOptions options;
    options.nodeCounts = { 200, 1000, 6100 };
    options.length = 60s;
    auto rows = runMembershipBench(options);
    BOOST_TEST_MESSAGE("\n" << formatMembershipBench(rows));
    // Design page, section 1.4: 64 MB, 3 KB/s and 1.1% of a core, as averages over a minute.
    for (const MembershipBenchRow& it : rows) {
        BOOST_TEST(it.bytesTotal <= 64e6);
        BOOST_TEST(it.sentPerSecond <= 3000);
        BOOST_TEST(it.lossSentPerSecond <= 3000);
        BOOST_TEST(it.cpuShare <= 0.011);
    }
}

#define BOOST_TEST_MODULE DepartureProcess
#include "Processes.h"

using namespace Gooseberrymill;

// Guards against an upstream that is used again after its departure was acknowledged, because its node has restarted
// and an announcement comes late; and against a late departure that retires the next start.
// The cases are in departure_tests.py.
BOOST_AUTO_TEST_CASE(acknowledgedDeparturesOutliveARestart)
{
    Command command({ "python3", "-B", std::string(GM_SOURCE_DIR) + "/tests/departure_tests.py", GM_SOURCE_DIR,
        std::string(GM_BINARY_DIR) + "/gooseberrymill" });
    command.wait();
    BOOST_TEST(command.exitCode == 0, command.errors);
}

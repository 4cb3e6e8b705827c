#define BOOST_TEST_MODULE DepartureProcess
#include "Processes.h"

using namespace Gooseberrymill;

namespace {

// Runs a program of this folder with the binary under test.
void runProgram(const std::string& name, const std::vector<std::string>& arguments = {})
{
    std::vector<std::string> all { "python3", "-B", std::string(GM_SOURCE_DIR) + "/tests/" + name, GM_SOURCE_DIR,
        std::string(GM_BINARY_DIR) + "/gooseberrymill" };
    all.insert(all.end(), arguments.begin(), arguments.end());
    Command command(all);
    command.wait();
    BOOST_TEST_MESSAGE(command.output);
    BOOST_TEST(command.exitCode == 0, command.errors);
}

} // namespace

// Guards against an upstream that is used again after its departure was acknowledged, because its node has restarted,
// or all nodes have, and an announcement comes late; and against a late departure that retires the next start.
// The cases are in departure_tests.py.
BOOST_AUTO_TEST_CASE(acknowledgedDeparturesOutliveRestarts) { runProgram("departure_tests.py"); }

// Guards against the same under faults of the nodes and of the store that overlap. One seed; more by hand, see
// CONTRIBUTING.md.
BOOST_AUTO_TEST_CASE(departuresHoldUnderOverlappingFaults)
{
    const std::string seed = "2";
    const std::string count = "1";
    const std::string seconds = "15";
    runProgram("departure_soak.py", { seed, count, seconds });
}

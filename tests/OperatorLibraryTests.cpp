#define BOOST_TEST_MODULE OperatorLibrary
#include "Processes.h"

using namespace Gooseberrymill;

// Guards against the operators' library and the binary disagreeing on what a valid configuration is.
// The cases are in operator_library_tests.py.
BOOST_AUTO_TEST_CASE(libraryAgreesWithCheck)
{
    Command command({ "python3", std::string(GM_SOURCE_DIR) + "/tests/operator_library_tests.py", GM_SOURCE_DIR,
        std::string(GM_BINARY_DIR) + "/gooseberrymill" });
    command.wait();
    BOOST_TEST(command.exitCode == 0, command.errors);
}

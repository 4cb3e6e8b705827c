// Main function of a node, run by `gooseberrymill serve`.
#pragma once

#include "Settings.h"

namespace Gooseberrymill {

// Runs a node until SIGTERM or SIGINT has stopped it. Returns the exit code of the process.
int runNode(const Settings&);

} // namespace Gooseberrymill

// The node: everything that `gooseberrymill serve` runs.
#pragma once

#include "Settings.h"

namespace Gooseberrymill {

// Runs a node until it is told to stop. Returns the exit code of the process.
int runNode(const Settings&);

} // namespace Gooseberrymill

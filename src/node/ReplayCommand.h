// Implements the verb `replay TRACE`, which replays a recorded or generated trace and prints the outcomes.
#pragma once

#include <cstdint>
#include <string>

namespace Gooseberrymill {

struct ReplayCommandOptions {
    // Name of a trace file in the format of core/Trace.h, or "DEPLOYMENT:SCENARIO" to generate a trace.
    std::string trace;
    uint64_t seed = 1; // random seed of a generated trace and of the policies
    bool baseline = false; // true: replay with the baseline policies instead of the ones under test
    std::string traceOutputFile; // file that the trace is also written to; empty: none
};

// Replays the trace and prints the outcomes to standard output. Returns the exit status: 0, or 2 if the trace cannot be
// read, generated or written.
int runReplay(const ReplayCommandOptions& options);

} // namespace Gooseberrymill

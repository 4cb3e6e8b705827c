// Verb `replay TRACE`: replays a recorded or generated trace and prints the outcomes.
#pragma once

#include <cstdint>
#include <string>

namespace Gooseberrymill {

struct ReplayCommandOptions {
    // File in the format of core/Trace.h, or "DEPLOYMENT:SCENARIO" for a generated trace.
    std::string trace;
    uint64_t seed = 1; // of a generated trace and of the policies
    bool baseline = false; // replay the baselines instead of the policies
    std::string traceOutputFile; // also write the trace to this file; empty: do not
};

// Prints the outcomes to standard output. Returns the exit status: 2 for a trace that cannot be read.
int runReplay(const ReplayCommandOptions& options);

} // namespace Gooseberrymill

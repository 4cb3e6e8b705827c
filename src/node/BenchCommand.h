// Verb `bench`: policies beside their baselines in one run, and the cost of a decision.
#pragma once

#include <cstdint>

namespace Gooseberrymill {

struct BenchOptions {
    uint64_t seed = 1; // first seed of the traces
    uint32_t seeds = 1; // number of consecutive seeds; figures are the worst of them
    bool csv = false;
    bool costOnly = false; // only the cost of a decision
};

// Prints the tables to standard output. Returns the exit status.
int runBench(const BenchOptions& options);

} // namespace Gooseberrymill

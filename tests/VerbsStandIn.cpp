// Stands in for the verbs `bench` and `replay` until the binary offers them.
//
// Usage: VerbsStandIn bench [SEEDS [csv]] | cost | replay TRACE [SEED]
#include "BenchCommand.h"
#include "ReplayCommand.h"

#include <cstdlib>
#include <fmt/format.h>
#include <string_view>

using namespace Gooseberrymill;

int main(int count, char** arguments)
{
    auto number = [&](int index, unsigned long fallback) {
        return count > index ? std::strtoul(arguments[index], nullptr, 10) : fallback;
    };
    std::string_view verb = count > 1 ? arguments[1] : "";
    if (verb == "bench" || verb == "cost") {
        BenchOptions options;
        options.seeds = static_cast<uint32_t>(number(2, 1));
        options.csv = count > 3;
        options.costOnly = verb == "cost";
        return runBench(options);
    }
    if (verb == "replay" && count > 2) {
        ReplayCommandOptions options;
        options.trace = arguments[2];
        options.seed = number(3, 1);
        return runReplay(options);
    }
    fmt::print(stderr, "usage: VerbsStandIn bench [SEEDS [csv]] | cost | replay TRACE [SEED]\n");
    return 2;
}

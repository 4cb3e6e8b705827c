// The verbs of the command line. Each returns the exit code of the process.
#pragma once

#include "core/Basics.h"

namespace Gooseberrymill {

constexpr int exitSuccess = 0;
constexpr int exitFailure = 1; // the thing asked for failed
constexpr int exitUsage = 2; // the command line is wrong

struct Verb {
    std::string_view name;
    std::string_view arguments; // for the help text
    std::string_view summary;
    std::vector<std::string_view> flags; // the flags it takes
    size_t minArguments = 0;
    size_t maxArguments = 0;
    int (*run)(std::span<const std::string> arguments) = nullptr;
};

std::span<const Verb> verbs();

// Parses the command line and runs the verb.
int runCommandLine(std::span<const std::string> arguments);

} // namespace Gooseberrymill

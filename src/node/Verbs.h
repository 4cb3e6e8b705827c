// Subcommands ("verbs") of the gooseberrymill program, and its exit codes.
#pragma once

#include "core/Basics.h"

namespace Gooseberrymill {

constexpr int exitSuccess = 0;
constexpr int exitFailure = 1; // the verb failed
constexpr int exitUsage = 2; // the command line is invalid

struct Verb {
    std::string_view name;
    std::string_view arguments; // arguments and flags as printed in the help text
    std::string_view summary;
    std::vector<std::string_view> flags; // names of the accepted flags, without "--"
    size_t minArguments = 0; // number of positional arguments
    size_t maxArguments = 0;
    int (*run)(std::span<const std::string> arguments) = nullptr; // returns the exit code of the process
};

std::span<const Verb> verbs();

// Parses the command line, without the program name, and runs the verb. Returns the exit code of the process.
int runCommandLine(std::span<const std::string> arguments);

} // namespace Gooseberrymill

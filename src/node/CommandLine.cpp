// Parses the command line with gflags, prints the help text and runs the selected verb.
#include "Verbs.h"

#include <algorithm>
#include <fmt/format.h>
#include <gflags/gflags.h>

namespace Gooseberrymill {

namespace {

constexpr std::string_view programVersion = "0.1.0";

std::string helpText()
{
    std::string text = "usage: gooseberrymill VERB [ARGUMENTS] [FLAGS]\n\nVerbs:\n";
    std::vector<std::string_view> flagNames;
    for (const Verb& verb : verbs()) {
        std::string usage = fmt::format("{} {}", verb.name, verb.arguments);
        text += fmt::format("  {}\n      {}\n", usage, verb.summary);
        for (std::string_view flag : verb.flags) {
            if (std::find(flagNames.begin(), flagNames.end(), flag) == flagNames.end())
                flagNames.push_back(flag);
        }
    }
    text += "\nFlags:\n";
    for (std::string_view name : flagNames) {
        gflags::CommandLineFlagInfo info;
        if (gflags::GetCommandLineFlagInfo(std::string(name).c_str(), &info))
            text += fmt::format("  --{}\n      {}\n", name, info.description);
    }
    text += "  --help\n      This text.\n  --version\n      The version of the program.\n";
    text += "\nExit codes: 0 success, 1 the verb failed, 2 the command line is invalid.\n";
    return text;
}

int reportUsageError(std::string_view problem)
{
    fmt::print(stderr, "gooseberrymill: {}\nTry gooseberrymill --help.\n", problem);
    return exitUsage;
}

// Result of parsing the command line. The values of flags are stored by gflags; a verb receives only its positional
// arguments.
struct ParsedCommandLine {
    std::vector<std::string> positional;
    std::vector<std::string> flags; // names, without "--"
    bool wantsHelp = false;
    bool wantsVersion = false;
    std::string problem; // error message; empty when the command line is valid
};

// Sets one flag. Without '=', the value is the next argument, and the index of the current argument is advanced past
// it; a flag of type bool is set to true instead. Returns an error message, or an empty string. The parser of gflags is
// not used, because it ends the process with exit code 1 on an invalid flag, which means that the verb failed.
std::string setFlag(
    std::string_view text, std::span<const std::string> remaining, size_t& argumentIndex, std::string& name)
{
    size_t equals = text.find('=');
    name = std::string(text.substr(0, equals));
    gflags::CommandLineFlagInfo info;
    if (!gflags::GetCommandLineFlagInfo(name.c_str(), &info))
        return fmt::format("unknown flag --{}", name);
    std::string value;
    if (equals != std::string_view::npos) {
        value = std::string(text.substr(equals + 1));
    } else if (info.type == "bool") {
        value = "true";
    } else if (remaining.empty()) {
        return fmt::format("--{} needs a value", name);
    } else {
        value = remaining.front();
        ++argumentIndex;
    }
    if (gflags::SetCommandLineOption(name.c_str(), value.c_str()).empty())
        return fmt::format("--{}: \"{}\" is not of type {}", name, value, info.type);
    return "";
}

ParsedCommandLine parseCommandLine(std::span<const std::string> arguments)
{
    ParsedCommandLine line;
    bool flagsEnded = false; // "--" was found: all further arguments are positional
    for (size_t i = 0; i < arguments.size() && line.problem.empty(); ++i) {
        const std::string& argument = arguments[i];
        if (flagsEnded || argument.size() < 2 || argument.front() != '-') {
            line.positional.push_back(argument);
        } else if (argument == "--") {
            flagsEnded = true;
        } else if (argument == "--help" || argument == "-h") {
            line.wantsHelp = true;
        } else if (argument == "--version") {
            line.wantsVersion = true;
        } else {
            std::string_view text = std::string_view(argument).substr(argument.starts_with("--") ? 2 : 1);
            std::string name;
            line.problem = setFlag(text, arguments.subspan(i + 1), i, name);
            line.flags.push_back(std::move(name));
        }
    }
    return line;
}

} // namespace

int runCommandLine(std::span<const std::string> arguments)
{
    ParsedCommandLine line = parseCommandLine(arguments);
    if (line.wantsHelp) {
        fmt::print("{}", helpText());
        return exitSuccess;
    }
    if (line.wantsVersion) {
        fmt::print("gooseberrymill {}\n", programVersion);
        return exitSuccess;
    }
    if (!line.problem.empty())
        return reportUsageError(line.problem);
    if (line.positional.empty())
        return reportUsageError("a verb is missing");
    auto allVerbs = verbs();
    auto verb = std::find_if(
        allVerbs.begin(), allVerbs.end(), [&](const Verb& v) { return v.name == line.positional.front(); });
    if (verb == allVerbs.end())
        return reportUsageError(fmt::format("unknown verb \"{}\"", line.positional.front()));
    for (const std::string& flag : line.flags) {
        if (std::find(verb->flags.begin(), verb->flags.end(), flag) == verb->flags.end())
            return reportUsageError(fmt::format("{} does not take --{}", verb->name, flag));
    }
    auto positional = std::span<const std::string>(line.positional).subspan(1);
    if (positional.size() < verb->minArguments || positional.size() > verb->maxArguments)
        return reportUsageError(fmt::format("usage: {} {}", verb->name, verb->arguments));
    return verb->run(positional);
}

} // namespace Gooseberrymill

// Reads and writes the settings of one node process as TOML. docs/CONFIGURATION.md lists the keys.
#pragma once

#include "Settings.h"
#include "TomlSections.h"

namespace Gooseberrymill {

// Parses and validates a settings file. Reports all errors found in one pass; `file` is the file name in error
// messages.
FileResult<Settings> parseSettings(std::string_view text, std::string file);

// Returns TOML text that parses to the same settings. The text contains the fleet key, so it must not be logged.
std::string printSettings(const Settings&);

// Lists the keys of a settings file, each with its default value, for the documentation.
std::vector<KeyEntry> listSettingsKeys();

// Kind of a TOML file, detected from its top-level keys.
enum class FileKind : uint8_t { Configuration, Settings };

struct CheckedFile {
    std::optional<FileKind> kind; // empty if the top-level keys belong to neither kind or to both
    std::vector<FileError> errors; // errors found in the file; empty if it is valid
};

// Detects the kind of a file and validates it accordingly.
CheckedFile checkFile(std::string_view text, const std::string& file);

} // namespace Gooseberrymill

// The TOML form of the settings of one process. docs/CONFIGURATION.md lists the keys.
#pragma once

#include "Settings.h"
#include "TomlSections.h"

namespace Gooseberrymill {

FileResult<Settings> parseSettings(std::string_view text, std::string file);

// TOML that parses to the same settings. Contains the fleet key.
std::string printSettings(const Settings&);

std::vector<KeyEntry> listSettingsKeys();

// The two kinds of files, told apart by their top-level keys.
enum class FileKind : uint8_t { Configuration, Settings };

struct CheckedFile {
    std::optional<FileKind> kind; // empty when the text is of neither kind or of both
    std::vector<FileError> errors;
};

// Checks a file of either kind.
CheckedFile checkFile(std::string_view text, const std::string& file);

} // namespace Gooseberrymill

// The TOML form of a configuration document: reading with every error in one pass, printing, defaults.
// docs/CONFIGURATION.md lists the keys.
#pragma once

#include "core/Configuration.h"
#include "TomlSections.h"

namespace Gooseberrymill {

// Largest body limit of a non-repeatable route. Every node can hold such a body whole, because the
// setting limits.maxOperationBodyBytes is at least this.
constexpr uint64_t maxNonRepeatableBodyBytes = 1 << 20;

// Reads a document. `file` is the name that errors show. Version, change id and author are not part of
// the text; they come from the store object.
FileResult<Configuration> parseConfiguration(std::string_view text, std::string file);

// TOML that parses to the same services, routes and policies.
std::string printConfiguration(const Configuration&);

// Keys of a document with one service and one route, each with its default.
std::vector<KeyEntry> listConfigurationKeys();

} // namespace Gooseberrymill

// Reads and writes configuration documents (services, routes and policies) as TOML. docs/CONFIGURATION.md lists the
// keys.
#pragma once

#include "core/Configuration.h"
#include "TomlSections.h"

namespace Gooseberrymill {

// Upper bound in bytes of Route::maxBodyBytes for a non-repeatable route. Such a request is buffered completely before
// it is executed, and every node can buffer this much: limits.maxOperationBodyBytes cannot be set lower.
constexpr uint64_t maxNonRepeatableBodyBytes = 1 << 20;

// Parses and validates a document. Reports all errors found in one pass; `file` is the file name in error messages.
// Version, change id and author are not part of the text; they are fields of the store object.
FileResult<Configuration> parseConfiguration(std::string_view text, std::string file);

// Returns TOML text that parses to the same services, routes and policies.
std::string printConfiguration(const Configuration&);

// Lists the keys of a document with one service and one route, each with its default value, for the documentation.
std::vector<KeyEntry> listConfigurationKeys();

} // namespace Gooseberrymill

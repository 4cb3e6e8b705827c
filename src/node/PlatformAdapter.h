// Names, formats and calls that depend on the platform a node runs on. An adapter only translates between them and the
// project's own types; it contains no policy.
#pragma once

#include "AdminServer.h"
#include "ConfigurationDriver.h"
#include "HttpHeaders.h"
#include "StoreDialect.h"

namespace Gooseberrymill {

struct PlatformAdapter {
    HeaderProfile headers; // header names used with callers and upstreams
    const StoreDialect& store;
    ConfigurationFormat configuration;
    // Decodes a request of the platform or of an upstream to a local address; nullopt: not one of the platform's calls.
    std::optional<Result<PlatformCall>> (*decodeCall)(
        std::string_view method, std::string_view path, std::string_view body);
};

// Returns the adapter with the name in Settings::platform, or null when there is none.
const PlatformAdapter* findPlatformAdapter(std::string_view name);

} // namespace Gooseberrymill

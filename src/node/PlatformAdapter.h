// What the system asks of the platform that it runs on: names, formats and calls. An adapter translates them into the
// project's own types and decides nothing.
#pragma once

#include "AdminServer.h"
#include "ConfigurationDriver.h"
#include "HttpHeaders.h"
#include "StoreDialect.h"

namespace Gooseberrymill {

struct PlatformAdapter {
    HeaderProfile headers; // towards callers and upstreams
    const StoreDialect& store;
    ConfigurationForm configuration;
    // A call of the platform on a local address; empty optional: not one of its calls.
    std::optional<Result<LocalCall>> (*decodeCall)(
        std::string_view method, std::string_view path, std::string_view body);
};

// The adapter with that name (Settings::platform); null when there is none.
const PlatformAdapter* findPlatformAdapter(std::string_view name);

} // namespace Gooseberrymill

// Names and rules of the HTTP headers that the system reads, adds and drops.
#pragma once

#include "core/RelayMessages.h"

#include <libsoup/soup.h>

namespace Gooseberrymill {

namespace HeaderName {
constexpr const char* outcome = "Gooseberrymill-Outcome";
constexpr const char* deadline = "Gooseberrymill-Deadline-Ms"; // time left
constexpr const char* requestId = "Gooseberrymill-Request-Id";
constexpr const char* callerService = "Gooseberrymill-Caller-Service"; // names the internal service that calls
constexpr const char* idempotencyKey = "Idempotency-Key";
constexpr const char* operationToken = "Operation-Token";
constexpr const char* forwardedFor = "X-Forwarded-For";
constexpr const char* retryAfter = "Retry-After";
constexpr const char* contentType = "Content-Type";
} // namespace HeaderName

// Names and forms that depend on who speaks to the system. The defaults are those of this project.
struct HeaderProfile {
    const char* deadline = HeaderName::deadline;
    const char* callerService = HeaderName::callerService;
    const char* expectedInstance = "Gooseberrymill-Expected-Instance"; // upstream that alone may run the request
    const char* notRun = "Gooseberrymill-Not-Run"; // of a response: the upstream did not run the request
    const char* requestId = nullptr; // id that callers give a request and upstreams echo; null: none
    const char* signature = nullptr; // of a response: every success has it; null: none
    bool hasFractionalRetryAfter = false; // whether callers read fractions of a second in Retry-After
    bool addsProxyHeaders = true; // whether requests and responses get headers about this system
    bool allowsCloseDelimitedResponse
        = false; // whether a response without a length is whole when its connection ends in order
};

// Headers without hop-by-hop ones (RFC 9110, section 7.6.1), those named in Connection, and the framing.
std::vector<Header> endToEndHeaders(SoupMessageHeaders*);

size_t headerBytes(SoupMessageHeaders*);
bool isHeaderNamed(const Header&, std::string_view name); // names are compared without case
const Header* findHeader(const std::vector<Header>&, std::string_view name);
void removeHeaders(std::vector<Header>&, std::string_view name);

} // namespace Gooseberrymill

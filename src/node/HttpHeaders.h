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

// Headers without hop-by-hop ones (RFC 9110, section 7.6.1), those named in Connection, and the framing.
std::vector<Header> endToEndHeaders(SoupMessageHeaders*);

size_t headerBytes(SoupMessageHeaders*);
bool isHeaderNamed(const Header&, std::string_view name); // names are compared without case
const Header* findHeader(const std::vector<Header>&, std::string_view name);
void removeHeaders(std::vector<Header>&, std::string_view name);

} // namespace Gooseberrymill

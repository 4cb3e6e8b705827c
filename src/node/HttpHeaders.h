// Names of the HTTP headers that the proxy reads, adds and removes, and helpers for header lists.
#pragma once

#include "core/Backpressure.h"
#include "core/RelayMessages.h"

#include <libsoup/soup.h>

namespace Gooseberrymill {

namespace HeaderName {
constexpr const char* outcome = "Gooseberrymill-Outcome";
constexpr const char* deadline = "Gooseberrymill-Deadline-Ms"; // milliseconds until the deadline
constexpr const char* requestId = "Gooseberrymill-Request-Id";
constexpr const char* callerService = "Gooseberrymill-Caller-Service"; // internal service that the caller belongs to
constexpr const char* idempotencyKey = "Idempotency-Key";
constexpr const char* operationToken = "Operation-Token";
constexpr const char* forwardedFor = "X-Forwarded-For";
constexpr const char* retryAfter = "Retry-After";
constexpr const char* contentType = "Content-Type";
constexpr const char* rateLimit = "Gooseberrymill-Rate-Limit"; // requests per second that the upstream takes
constexpr const char* authorization = "Authorization"; // request: "Bearer KEY"
constexpr const char* organisation = "Gooseberrymill-Organisation"; // request to an upstream: the caller's organisation
constexpr const char* leaving = "Gooseberrymill-Leaving"; // "1": the upstream takes no new requests
} // namespace HeaderName

// Header names and conventions of a platform's callers and upstreams. The defaults are those of this project.
struct HeaderProfile {
    const char* deadline = HeaderName::deadline;
    const char* callerService = HeaderName::callerService;
    const char* expectedInstance = "Gooseberrymill-Expected-Instance"; // request: the only upstream that may run it
    const char* notRun = "Gooseberrymill-Not-Run"; // response: the upstream did not run the request
    const char* requestId = nullptr; // id that callers set and upstreams echo; null: there is none
    const char* rateLimit = HeaderName::rateLimit; // response: requests per second from the whole fleet, a decimal
    const char* organisation = HeaderName::organisation; // request to an upstream: the caller's organisation
    const char* leaving = HeaderName::leaving; // response: "1" from an upstream that is leaving
    const char* signature = nullptr; // header that every successful response must have; null: not required
    bool hasFractionalRetryAfter = false; // whether Retry-After is sent with fractions of a second
    bool addsProxyHeaders = true; // whether requests and responses get the proxy's own headers
    // Whether a response without a length counts as complete when its connection closes without an error.
    bool allowsCloseDelimitedResponse = false;
};

// Copies the headers except hop-by-hop ones (RFC 9110, section 7.6.1), those named in Connection, and framing headers.
std::vector<Header> endToEndHeaders(SoupMessageHeaders*);
std::vector<Header> endToEndHeaders(const std::vector<Header>&);

size_t headerBytes(SoupMessageHeaders*); // size of all header lines in bytes
bool equalsIgnoringCase(std::string_view, std::string_view); // of ASCII letters
bool isHeaderNamed(const Header&, std::string_view name); // ignores case
const Header* findHeader(const std::vector<Header>&, std::string_view name); // the first one; null: none
void removeHeaders(std::vector<Header>&, std::string_view name);

// Reads what the headers of a response say about its upstream; isServed is left as it is. Of several rates the lowest
// usable one counts.
ResponseSignals readSignals(const std::vector<Header>&, const HeaderProfile&);

} // namespace Gooseberrymill

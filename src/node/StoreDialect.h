// Mapping of object store calls to HTTP. A StoreDialect translates paths, headers, statuses and bodies of one store
// API; connections, timeouts and the handling of results are left to StoreClient.
#pragma once

#include "core/ObjectStore.h"
#include "core/RelayMessages.h"

namespace Gooseberrymill {

enum class StoreVerb : uint8_t { Get, Create, Replace, Remove, List, Watch };

struct StoreCall {
    StoreVerb verb = StoreVerb::Get;
    std::string_view kind;
    std::string_view name; // empty for List
    std::string_view value; // JSON text to store, for Create and Replace
    uint64_t version = 0; // Replace, Remove: required current version; Watch: newest revision seen
    Duration maxWait {}; // for Watch: how long the store may wait for a change
    std::string_view after; // for List: return the objects that follow this name
};

struct StoreHttpRequest {
    const char* method = "GET";
    std::string target; // path and query, appended to the store's URL
    std::vector<Header> headers;
    std::string body; // JSON; empty if there is none
};

struct StoreHttpResponse {
    uint32_t status = 0;
    std::string etag; // value of the ETag header; empty if there is none
    std::string body;
    std::string era {}; // value of the header that StoreDialect::eraHeader() names; empty if there is none
};

// One page of a list, or the changes that a watch returned.
struct StorePage {
    std::vector<StoredObject> objects; // for Watch: in order of change; version 0 if the object was removed
    bool hasMore = false; // another page of the list follows after the last object
    uint64_t revision = 0; // revision of the store at the time of the response; 0 if not reported
};

// HTTP API of one kind of store.
class StoreDialect {
public:
    virtual ~StoreDialect() = default;
    virtual StoreHttpRequest encode(const StoreCall&) const = 0;
    virtual const char* eraHeader() const = 0; // of a response, names the era of the store
    virtual std::optional<uint64_t> decodeEra(std::string_view header) const = 0; // empty if it is malformed
    // Maps an HTTP status to an error; empty on success. A watch that ends without a change is a Timeout.
    virtual std::optional<ErrorCode> errorOf(StoreVerb, uint32_t status) const = 0;
    // Decode a successful response; empty if it is malformed. Versions are revisions of the store's era.
    virtual std::optional<StoredObject> decodeObject(const StoreCall&, StoreHttpResponse&&) const = 0; // for Get
    virtual std::optional<uint64_t> decodeVersion(const StoreHttpResponse&) const = 0; // for writes
    virtual std::optional<StorePage> decodePage(const StoreCall&, StoreHttpResponse&&) const = 0; // for List and Watch
};

// API of the store in this project's own deployments: one resource per object, with the version as its ETag.
const StoreDialect& nativeStoreDialect();

// Parses a decimal number without a sign; empty for any other text.
std::optional<uint64_t> parseEra(std::string_view text);

// Percent-encodes `text` for a URL path. A slash is not escaped.
std::string escapePathSegment(std::string_view text);

} // namespace Gooseberrymill

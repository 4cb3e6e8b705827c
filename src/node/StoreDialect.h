// How calls to the object store look on HTTP. The client owns connections, timeouts and outcomes; a dialect knows
// paths, headers, statuses and bodies, and decides nothing.
#pragma once

#include "core/ObjectStore.h"
#include "core/RelayMessages.h"

namespace Gooseberrymill {

enum class StoreVerb : uint8_t { Get, Create, Replace, Remove, List, Watch };

struct StoreCall {
    StoreVerb verb = StoreVerb::Get;
    std::string_view kind;
    std::string_view name; // empty with List
    std::string_view value; // JSON text, with Create and Replace
    uint64_t version = 0; // condition of a write; with Watch: the newest version that the caller holds
    Duration maxWait {}; // of a watch
    std::string_view after; // with List: continues behind this name
};

struct StoreHttpRequest {
    const char* method = "GET";
    std::string target; // path and query, relative to the address of the store
    std::vector<Header> headers;
    std::string body; // JSON; empty: none
};

struct StoreHttpResponse {
    uint32_t status = 0;
    std::string etag; // empty: none
    std::string body;
};

// One part of a list, or the changes that end a watch.
struct StorePage {
    std::vector<StoredObject> objects; // with Watch: as changed; version 0: removed
    bool hasMore = false; // the list goes on behind the last object
    uint64_t revision = 0; // of the store when it answered; 0: not told
};

class StoreDialect {
public:
    virtual ~StoreDialect() = default;
    virtual StoreHttpRequest encode(const StoreCall&) const = 0;
    // What the status means; empty: success. A watch that ends without a change is Timeout.
    virtual std::optional<ErrorCode> errorOf(StoreVerb, uint32_t status) const = 0;
    virtual std::optional<StoredObject> decodeObject(const StoreCall&, StoreHttpResponse&&) const = 0; // of a Get
    virtual std::optional<uint64_t> decodeVersion(const StoreHttpResponse&) const = 0; // of a write
    virtual std::optional<StorePage> decodePage(const StoreCall&, StoreHttpResponse&&) const = 0; // of a List or Watch
};

// The API that the store of this project's own deployments speaks: one resource an object, versions as ETag.
const StoreDialect& nativeStoreDialect();

std::string escapePathSegment(std::string_view text);

} // namespace Gooseberrymill

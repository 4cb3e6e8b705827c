// Client of the platform's object store over HTTP/JSON. Satisfies the concept ObjectStore.
#pragma once

#include "core/ObjectStore.h"
#include "GlibHandles.h"
#include "StoreDialect.h"

#include <libsoup/soup.h>
#include <map>

namespace Gooseberrymill {

constexpr size_t maxStoreValueBytes = 1'000'000;

// Calls made for one kind of object. The platform counts each call; a watch is one call however long it waits.
struct StoreCallCounts {
    uint64_t reads = 0;
    uint64_t writes = 0; // conditional updates and removals
    uint64_t lists = 0;
    uint64_t watches = 0;
};

// Belongs to one task: it is made, used and destroyed there, and callbacks run in that task's main
// context, never from within the call itself. Destroying the client drops the calls in flight: their
// callbacks do not run.
//
// A write fails with Unavailable only while no byte of the request can have left this process; from then
// on a failure is AnswerLost or Timeout. Each write uses a new connection, because libsoup repeats an
// idempotent HTTP method by itself when a kept-alive connection closes.
class StoreClient {
public:
    StoreClient(std::string url, Duration timeout, const StoreDialect& = nativeStoreDialect());
    StoreClient(const StoreClient&) = delete;
    StoreClient& operator=(const StoreClient&) = delete;
    ~StoreClient();

    void get(std::string_view kind, std::string_view name, Callback<StoredObject>);
    void put(
        std::string_view kind, std::string_view name, const std::string& value, uint64_t version, Callback<uint64_t>);
    void remove(std::string_view kind, std::string_view name, uint64_t version, Callback<uint64_t>);
    void list(std::string_view kind, Callback<std::vector<StoredObject>>);

    // Timeout when nothing changed within `patience`, or when the store stays silent beyond it.
    void watch(
        std::string_view kind, std::string_view name, uint64_t version, Duration maxWait, Callback<StoredObject>);

    const std::map<std::string, StoreCallCounts>& callCounts() const { return m_callCounts; }
    size_t pendingCalls() const;

private:
    struct Shared;
    struct Call;

    std::shared_ptr<Call> startCall(const StoreCall&, std::string step, Duration timeout);
    void listFrom(const std::string& kind, const std::string& after, std::vector<StoredObject>&& previousObjects,
        Callback<std::vector<StoredObject>>);

    std::string m_url;
    Duration m_timeout;
    const StoreDialect& m_dialect;
    std::map<std::string, uint64_t> m_revisions; // newest revision of the store seen in lists and watches, by kind
    std::shared_ptr<Shared> m_shared;
    std::map<std::string, StoreCallCounts> m_callCounts;
};

static_assert(ObjectStore<StoreClient>);

} // namespace Gooseberrymill

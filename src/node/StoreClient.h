// Asynchronous HTTP client of the platform's object store. Satisfies the concept ObjectStore.
#pragma once

#include "core/ObjectStore.h"
#include "core/StoreHistory.h"
#include "core/WatchPatience.h"
#include "GlibHandles.h"
#include "StoreDialect.h"

#include <libsoup/soup.h>
#include <map>

namespace Gooseberrymill {

constexpr size_t maxStoreValueBytes = 1'000'000; // size limit of an object in the store

// Number of calls made for one kind of object, as the platform counts them: a watch is one call, however long it waits.
struct StoreCallCounts {
    uint64_t reads = 0;
    uint64_t writes = 0; // conditional updates and removals
    uint64_t lists = 0; // each page of a list is a call
    uint64_t watches = 0;
};

// Must be created, used and destroyed on one task. Callbacks run from that task's main loop, never from within the call
// itself. Destroying the client cancels the calls in flight without running their callbacks.
//
// A connection failure or timeout of a write is reported as Unavailable only if no byte of the request can have left
// this process; otherwise as AnswerLost or Timeout, since the write may have taken effect. Each write uses a new
// connection, because libsoup silently repeats an idempotent HTTP method if a kept-alive connection closes.
//
// A connection may be dead without a reset. After a call without a response, all idle connections are given up, and the
// next call opens a new one.
//
// The store may come back from an older copy and begin a new era. Versions contain the era: a write whose condition is
// a version of an earlier era fails with Conflict, without a call. A response that is late and names an earlier era
// fails: reads with Unavailable, writes with AnswerLost. A watch that a new era overtakes fails with Unsupported, as
// one whose history is gone; a list, with Unavailable.
class StoreClient {
public:
    // `timeout` limits each call; a watch may take its own maximum wait in addition.
    StoreClient(std::string url, Duration timeout, const StoreDialect& = nativeStoreDialect());
    StoreClient(const StoreClient&) = delete;
    StoreClient& operator=(const StoreClient&) = delete;
    ~StoreClient();

    void get(std::string_view kind, std::string_view name, Callback<StoredObject>);
    void put(
        std::string_view kind, std::string_view name, const std::string& value, uint64_t version, Callback<uint64_t>);
    void remove(std::string_view kind, std::string_view name, uint64_t version, Callback<uint64_t>);
    void list(std::string_view kind, Callback<std::vector<StoredObject>>);

    // Long poll that returns the object once its version exceeds `version`. Fails with Unchanged if the store answers
    // that nothing changed within `maxWait` (whole seconds, at least 1 s), and with Timeout if it does not answer.
    void watch(
        std::string_view kind, std::string_view name, uint64_t version, Duration maxWait, Callback<StoredObject>);

    // Called when the store has begun a new era, before the response that shows it is passed on.
    void onNewEra(std::function<void(uint64_t era)>);
    uint64_t era() const; // 0: the store has not named one
    bool isCurrent(uint64_t version) const; // whether the version is of the store's present era

    const std::map<std::string, StoreCallCounts>& callCounts() const { return m_callCounts; }
    size_t pendingCalls() const;

private:
    struct Shared;
    struct Call;

    // Sends the request from the main loop, so that the caller can still set onResponse.
    std::shared_ptr<Call> startCall(const StoreCall&, std::string step, Duration timeout);
    // Requests the page that follows the name `after` and appends it to the objects of the previous pages.
    void listFrom(const std::string& kind, const std::string& after, std::vector<StoredObject>&& previousObjects,
        Callback<std::vector<StoredObject>>);
    // Fails the call from the main loop, without sending it.
    static void failUnsent(const std::shared_ptr<Call>&, const Error&, Callback<uint64_t>);

    std::string m_url;
    Duration m_timeout;
    const StoreDialect& m_dialect;
    std::shared_ptr<Shared> m_shared; // calls hold a weak reference, which tells them that the client is destroyed
    std::map<std::string, StoreCallCounts> m_callCounts;
};

static_assert(ObjectStore<StoreClient>);

} // namespace Gooseberrymill

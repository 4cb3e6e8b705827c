// Interface of the platform's object store: versioned objects, conditional updates and watches.
#pragma once

#include "Basics.h"

namespace Gooseberrymill {

struct StoredObject {
    std::string kind; // "configuration", "roster", "claims", "audit", "nodes"
    std::string name;
    uint64_t version = 0; // set by the store with each write; 0: the object does not exist
    std::string value; // JSON text
};

template <typename T> using Callback = std::function<void(Result<T>)>;

// Asynchronous store. Each callback runs exactly once, on the task that made the call.
// Errors: Conflict (the condition did not hold, nothing was written), NotFound, Unavailable (the call had no
// effect), AnswerLost (a write may have taken effect), Timeout (for writes like AnswerLost), Unchanged (watches only),
// Malformed.
template <typename T>
concept ObjectStore = requires(T store, std::string_view kind, std::string_view name, std::string value,
    uint64_t version, Callback<StoredObject> onObject, Callback<uint64_t> onVersion,
    Callback<std::vector<StoredObject>> onList, Duration timeout)
{
    { store.get(kind, name, onObject) };
    // Writes if the object has `version`; 0: only if it does not exist. Returns the new version.
    { store.put(kind, name, value, version, onVersion) };
    { store.remove(kind, name, version, onVersion) };
    { store.list(kind, onList) };
    // Completes when the object's version exceeds `version`, or with Unchanged after the timeout.
    { store.watch(kind, name, version, timeout, onObject) };
};

} // namespace Gooseberrymill

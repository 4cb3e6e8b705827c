// The platform's object store as the system sees it: versions, conditional updates, watches.
#pragma once

#include "Basics.h"

namespace Gooseberrymill {

struct StoredObject {
    std::string kind; // "configuration", "roster", "claims", "audit", "nodes"
    std::string name;
    uint64_t version = 0; // 0: does not exist
    std::string value; // JSON text
};

template <typename T> using Callback = std::function<void(Result<T>)>;

// Asynchronous store. Each callback runs once, on the task that made the call.
// Errors: Conflict (the condition failed, nothing was written), NotFound, Unavailable (the call had no
// effect), AnswerLost (a write may have taken effect), Timeout (as AnswerLost for writes), Malformed.
template <typename T>
concept ObjectStore = requires(T store, std::string_view kind, std::string_view name, std::string value,
    uint64_t version, Callback<StoredObject> onObject, Callback<uint64_t> onVersion,
    Callback<std::vector<StoredObject>> onList, Duration timeout)
{
    { store.get(kind, name, onObject) };
    { store.put(
        kind, name, value, version, onVersion) }; // version 0: only if it does not exist; result: the new version
    { store.remove(kind, name, version, onVersion) };
    { store.list(kind, onList) };
    { store.watch(kind, name, version, timeout, onObject) }; // answers when the version exceeds `version`, or Timeout
};

} // namespace Gooseberrymill

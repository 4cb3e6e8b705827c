// JSON forms of a node record: in the object store and on the status page.
#pragma once

#include "core/Membership.h"
#include "core/ObjectStore.h"

#include <nlohmann/json.hpp>

namespace Gooseberrymill {

// The record as the node writes it to the store when it starts: what other nodes need to reach it.
std::string toJson(const NodeRecord&);
std::optional<NodeRecord> parseNodeRecord(const StoredObject&); // empty if the object is no record

nlohmann::ordered_json toStatusJson(const NodeRecord&);

} // namespace Gooseberrymill

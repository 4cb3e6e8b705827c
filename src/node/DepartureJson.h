// JSON form of the departures of a node in the object store.
#pragma once

#include "core/StoredDepartures.h"

namespace Gooseberrymill {

// The object of one node. It lies beside the node records of its region, so that the list that a node reads when it
// starts contains it. Its name is no valid node name, and it has no incarnation, so that nodes of an earlier release
// pass over it.
struct DepartureObject {
    std::vector<UpstreamDeparture> departures;
    WallTime writtenAt {};
    bool operator==(const DepartureObject&) const = default;
};

std::string departureObjectName(std::string_view node);
// The node whose departures the object contains; empty for any other object.
std::optional<std::string_view> nodeOfDepartureObject(std::string_view objectName);

std::string toJson(const DepartureObject&);
std::optional<DepartureObject> parseDepartureObject(std::string_view json); // empty if it is malformed

} // namespace Gooseberrymill

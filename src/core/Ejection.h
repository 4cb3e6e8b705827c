// Ejection of upstreams that never takes a service below its floor.
//
// The roster of a service is one object in the platform's store. Every ejection is a conditional
// write on it, so all ejections of a service are serialised. Readmission needs no permission.
#pragma once

#include "Health.h"

namespace Gooseberrymill {

struct RosterEntry {
    std::string upstream;
    Id128 executor; // incarnation of the node beside it
    uint32_t slots = 0;
    UpstreamState state = UpstreamState::Cold;
    double severity = 0; // of an ejected upstream; decides who is readmitted first
    bool operator==(const RosterEntry&) const = default;
};

// The store object `roster/<service>`.
struct ServiceRoster {
    std::string service;
    uint64_t version = 0; // the store's version of the object read; 0 when it does not exist
    std::vector<RosterEntry> entries; // sorted by upstream
    bool operator==(const ServiceRoster&) const = default;
};

// One upstream as the membership view of a node shows it.
struct UpstreamView {
    std::string upstream;
    Id128 executor;
    uint32_t slots = 0;
    UpstreamState state = UpstreamState::Gone;
    double severity = 0;
    Duration age {}; // since the last confirmation by its executor
};

} // namespace Gooseberrymill

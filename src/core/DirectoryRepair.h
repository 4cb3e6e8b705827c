// Repair of the node records in the object store after the store came back from an older copy. No I/O.
//
// Records of nodes that registered since the copy are missing, and those of nodes that left since are back. The nodes
// know each other, so a watcher writes what is missing and removes what is gone. A node that starts later finds the
// fleet by these records.
#pragma once

#include "NodeDirectory.h"

namespace Gooseberrymill {

// A record as the store lists it.
struct ListedRecord {
    NodeRecord record;
    uint64_t version = 0;
};

struct DirectoryRepair {
    // Records to write, each on the condition that the store still has `version`; 0: that it has none.
    std::vector<ListedRecord> writes;
    std::vector<ListedRecord> removals; // on the condition that the store still has `version`
    bool hasMore = false; // there are more changes than `maxChanges`
};

// Compares the live and the departed nodes of a region with the records that the store lists for it. Records of nodes
// that the directory does not know are left alone.
DirectoryRepair planRepair(
    const NodeDirectory&, std::string_view region, std::span<const ListedRecord> listed, size_t maxChanges);

} // namespace Gooseberrymill

#include "DirectoryRepair.h"

#include <algorithm>

namespace Gooseberrymill {

DirectoryRepair planRepair(
    const NodeDirectory& directory, std::string_view region, std::span<const ListedRecord> listed, size_t maxChanges)
{
    auto findListed = [&](const std::string& name) {
        auto it = std::ranges::find_if(listed, [&](const ListedRecord& each) { return each.record.name == name; });
        return it == listed.end() ? nullptr : &*it;
    };
    DirectoryRepair repair;
    auto add = [&](std::vector<ListedRecord>& changes, const NodeRecord& record, uint64_t version) {
        if (repair.writes.size() + repair.removals.size() < maxChanges)
            changes.push_back({ record, version });
        else
            repair.hasMore = true;
    };
    directory.forEachLive([&](const NodeRecord& live) {
        if (live.location.region != region)
            return;
        const ListedRecord* stored = findListed(live.name);
        bool isOfEarlierProcess
            = stored && stored->record.incarnation != live.incarnation && isNewer(live, stored->record);
        if (!stored || isOfEarlierProcess)
            add(repair.writes, live, stored ? stored->version : 0);
    });
    directory.forEachLeft([&](const NodeRecord& left) {
        const ListedRecord* stored = findListed(left.name);
        if (stored && !isNewer(stored->record, left))
            add(repair.removals, stored->record, stored->version);
    });
    return repair;
}

} // namespace Gooseberrymill

// Eras of an object store, and versions that tell them apart. No I/O, no clock.
//
// A store may come back from a copy some seconds old. It then lacks what it acknowledged since, and gives the same
// revisions out again. A store that can do so names its era in its responses; the era rises each time. Revisions are
// comparable within an era only.
#pragma once

#include "Basics.h"

#include <map>

namespace Gooseberrymill {

//-----------------------------------------------------------------------------
// [SECTION] Versions
//-----------------------------------------------------------------------------

// The version of an object holds the era of the store in its upper bits and the revision in the others. So a version of
// an earlier era is lower than all of a later one, and equals none of them. A store that names no era has era 0, and
// its versions are its revisions. Version 0 stands for an object that does not exist.
constexpr unsigned revisionBits = 48;
constexpr uint64_t maxRevision = (uint64_t { 1 } << revisionBits) - 1;
constexpr uint64_t maxVersionEra = UINT64_MAX >> revisionBits;

constexpr uint64_t makeVersion(uint64_t era, uint64_t revision)
{
    return revision ? (era & maxVersionEra) << revisionBits | (revision & maxRevision) : 0;
}
constexpr uint64_t revisionOf(uint64_t version) { return version & maxRevision; }
constexpr uint64_t versionEraOf(uint64_t version) { return version >> revisionBits; }

//-----------------------------------------------------------------------------
// [SECTION] History
//-----------------------------------------------------------------------------

// What a response says about the era of the store.
enum class EraChange : uint8_t {
    None, // from the known era, or it names none
    Started, // the first response of another era: the store was restored
    Outdated, // a late response of an earlier era: what it says is no longer true
};

// What a client of the store knows about its era, and how far it knows the changes in it.
class StoreHistory {
public:
    // Records the era that a response names. `eraAtSend` is era() at the time of the call: an era that is lower than
    // known but not older than the call is that of a store which was replaced.
    EraChange record(std::optional<uint64_t> era, uint64_t eraAtSend);

    uint64_t era() const { return m_era.value_or(0); } // 0: no response has named one
    bool isCurrent(uint64_t version) const { return versionEraOf(version) == (era() & maxVersionEra); }
    uint64_t versionOf(uint64_t revision) const { return makeVersion(era(), revision); }

    // Revision up to which the changes of a kind are known in this era; 0 if none are.
    uint64_t position(std::string_view kind) const;
    void advance(std::string_view kind, uint64_t revision);

private:
    std::optional<uint64_t> m_era;
    std::map<std::string, uint64_t, std::less<>> m_positions;
};

} // namespace Gooseberrymill

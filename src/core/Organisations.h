// Organisations whose callers use the fleet, their keys, and the lookup of a key.
#pragma once

#include "Basics.h"
#include <memory>
#include <unordered_map>

namespace Gooseberrymill {

// A customer of the fleet. Its callers prove that they belong to it by a key.
struct Organisation {
    std::string name;
    std::vector<std::string> keys; // secrets; never logged, and never sent to an upstream or another node
    double rate = 0; // requests per second over all nodes; 0: no limit
    double burst = 0; // requests allowed beyond the rate at one time
    std::optional<WorkClass> workClass; // precedes the class of the route; empty: that of the route
    bool operator==(const Organisation&) const = default;
};

// Stands for a key where the key itself must not be: in messages between nodes and in lookups. 0: no key.
using KeyDigest = uint64_t;

KeyDigest digestOfKey(std::string_view key);

// Finds the organisation that holds a key. A lookup takes constant time, whatever the number of organisations. The
// organisations added must outlive the table.
class OrganisationTable {
public:
    void add(std::span<const Organisation>);

    bool isEmpty() const { return m_byName.empty(); } // callers need no key
    size_t size() const { return m_byName.size(); }
    const Organisation* find(std::string_view key) const; // null: no organisation holds the key
    const Organisation* named(std::string_view name) const; // null: there is no such organisation
    const Organisation* holder(KeyDigest) const; // null: no organisation holds the key

private:
    std::unordered_map<KeyDigest, const Organisation*> m_byKey;
    std::unordered_map<std::string_view, const Organisation*> m_byName;
};

} // namespace Gooseberrymill

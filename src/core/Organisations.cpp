#include "Organisations.h"

#include <algorithm>
#include <xxhash.h>

namespace Gooseberrymill {

KeyDigest digestOfKey(std::string_view key)
{
    return key.empty() ? 0 : std::max<KeyDigest>(1, XXH3_64bits(key.data(), key.size()));
}

void OrganisationTable::add(std::span<const Organisation> organisations)
{
    for (const Organisation& organisation : organisations) {
        m_byName.emplace(organisation.name, &organisation);
        for (const std::string& key : organisation.keys)
            m_byKey.emplace(digestOfKey(key), &organisation);
    }
}

const Organisation* OrganisationTable::find(std::string_view key) const
{
    auto it = m_byKey.find(digestOfKey(key));
    if (it == m_byKey.end())
        return nullptr;
    // Another key may have the same digest.
    return std::ranges::find(it->second->keys, key) == it->second->keys.end() ? nullptr : it->second;
}

const Organisation* OrganisationTable::named(std::string_view name) const
{
    auto it = m_byName.find(name);
    return it == m_byName.end() ? nullptr : it->second;
}

} // namespace Gooseberrymill

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
    const Organisation* found = holder(digestOfKey(key));
    // Another key may have the same digest.
    bool isHeld = found && std::ranges::find(found->keys, key) != found->keys.end();
    return isHeld ? found : nullptr;
}

const Organisation* OrganisationTable::holder(KeyDigest digest) const
{
    auto it = m_byKey.find(digest);
    return it == m_byKey.end() ? nullptr : it->second;
}

const Organisation* OrganisationTable::named(std::string_view name) const
{
    auto it = m_byName.find(name);
    return it == m_byName.end() ? nullptr : it->second;
}

} // namespace Gooseberrymill

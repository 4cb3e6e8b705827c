#include "FleetAuth.h"

#include "GlibHandles.h"

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <sys/random.h>

namespace Gooseberrymill {

Mac computeMac(std::span<const uint8_t> key, std::span<const uint8_t> data)
{
    constexpr size_t sha256Bytes = 32;
    std::array<uint8_t, sha256Bytes> digest {};
    gsize length = digest.size();
    HmacHandle hmac(g_hmac_new(G_CHECKSUM_SHA256, key.data(), key.size()));
    g_hmac_update(hmac.get(), data.data(), static_cast<gssize>(data.size()));
    g_hmac_get_digest(hmac.get(), digest.data(), &length);
    Mac mac;
    std::copy_n(digest.begin(), macBytes, mac.begin());
    return mac;
}

bool isEqualMac(const Mac& a, const Mac& b)
{
    uint8_t difference = 0;
    for (size_t i = 0; i < macBytes; ++i)
        difference |= static_cast<uint8_t>(a[i] ^ b[i]);
    return !difference;
}

Id128 randomId()
{
    Id128 id;
    do {
        if (getrandom(&id, sizeof(id), 0) != static_cast<ssize_t>(sizeof(id)))
            std::abort();
    } while (!id);
    return id;
}

} // namespace Gooseberrymill

#include "RequestFingerprint.h"

#include <memory>
#include <xxhash.h>

namespace Gooseberrymill {

namespace {

struct StateFree {
    void operator()(XXH3_state_t* state) const { XXH3_freeState(state); }
};

// Hashes the length before each part, so that "ab" + "c" and "a" + "bc" differ.
void addPart(XXH3_state_t* state, std::string_view part)
{
    uint64_t n = part.size();
    XXH3_64bits_update(state, &n, sizeof(n));
    XXH3_64bits_update(state, part.data(), part.size());
}

} // namespace

uint64_t fingerprintOf(const RequestHead& head, std::string_view body)
{
    std::unique_ptr<XXH3_state_t, StateFree> state(XXH3_createState());
    XXH3_64bits_reset(state.get());
    addPart(state.get(), head.method);
    addPart(state.get(), head.target);
    XXH3_64bits_update(state.get(), &head.bodyLength, sizeof(head.bodyLength));
    addPart(state.get(), body);
    return XXH3_64bits_digest(state.get());
}

} // namespace Gooseberrymill

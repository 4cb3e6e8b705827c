// Fingerprint of a request, for reused keys and for queries of death.
#pragma once

#include "core/RelayMessages.h"

namespace Gooseberrymill {

// Over method, target and body. `body` is empty when it is streamed; then its length stands for it.
uint64_t fingerprintOf(const RequestHead&, std::string_view body);

} // namespace Gooseberrymill

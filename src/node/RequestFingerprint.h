// Fingerprint of a request, used to detect reused idempotency keys and queries of death.
#pragma once

#include "core/RelayMessages.h"

namespace Gooseberrymill {

// Hash of method, target, body length and body. For a streamed body `body` is empty, and only its length is hashed.
uint64_t fingerprintOf(const RequestHead&, std::string_view body);

} // namespace Gooseberrymill

// Authentication of messages between nodes of one fleet: HMAC-SHA-256 under the fleet key.
#pragma once

#include "core/Basics.h"

namespace Gooseberrymill {

constexpr size_t macBytes = 16; // truncated HMAC-SHA-256

using Mac = std::array<uint8_t, macBytes>;

// Message authentication code of `data` under `key`.
Mac computeMac(std::span<const uint8_t> key, std::span<const uint8_t> data);

// Compares in constant time.
bool isEqualMac(const Mac&, const Mac&);

// 128 random bits from the operating system. Aborts when none can be had: nothing may run on weak identifiers.
Id128 randomId();

} // namespace Gooseberrymill

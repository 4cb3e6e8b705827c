// Authentication of messages between the nodes of a fleet by HMAC-SHA-256.
#pragma once

#include "core/Basics.h"

namespace Gooseberrymill {

constexpr size_t macBytes = 16; // length of the truncated HMAC-SHA-256

using Mac = std::array<uint8_t, macBytes>;

// Message authentication code of `data` under `key`.
Mac computeMac(std::span<const uint8_t> key, std::span<const uint8_t> data);

// Compares in constant time, so that the time taken does not reveal how many bytes match.
bool isEqualMac(const Mac&, const Mac&);

// 128 random bits from the operating system, never zero. Aborts the process when they are not available, because
// predictable identifiers are not safe.
Id128 randomId();

} // namespace Gooseberrymill

// DEFLATE compression of the payloads of control messages between nodes. Requests and responses are not compressed.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Gooseberrymill {

// Compresses `bytes`. Returns nullopt when the result would not be smaller.
std::optional<std::string> deflate(std::string_view bytes);

// Decompresses `bytes`. Returns nullopt when the input is malformed or its content exceeds `maxOutputBytes`.
std::optional<std::string> inflate(std::string_view bytes, size_t maxOutputBytes);

} // namespace Gooseberrymill

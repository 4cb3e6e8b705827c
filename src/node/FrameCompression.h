// DEFLATE for the payloads of control messages between nodes. Requests and responses are not compressed.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Gooseberrymill {

// Nothing when the result would not be smaller.
std::optional<std::string> deflate(std::string_view bytes);

// Nothing when the input is malformed or its content is larger than `limit`.
std::optional<std::string> inflate(std::string_view bytes, size_t maxOutputBytes);

} // namespace Gooseberrymill

#pragma once

#include <string>
#include <string_view>

namespace Gooseberrymill::Testing {

// The text again and again, until it has this length at least.
inline std::string repeat(std::string_view text, size_t bytes = 16 << 10)
{
    std::string result;
    while (result.size() < bytes)
        result += text;
    return result;
}

} // namespace Gooseberrymill::Testing

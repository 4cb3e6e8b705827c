// Reading of JSON lists whose entries come from several writers. One odd entry must not hide the others.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace Gooseberrymill {

constexpr size_t maxJsonDepth = 64; // an entry that is nested deeper is ignored

// Parses a text. If it is malformed, parses it again with bytes that are not UTF-8, unpaired surrogates and control
// characters in strings replaced, and with null in place of numbers out of range. Discarded if that fails, too.
nlohmann::json parseTolerantly(std::string_view text);

// Whether a value can be printed and copied, both of which recurse, without exhausting the stack.
bool isShallow(const nlohmann::json&, size_t maxDepth = maxJsonDepth);

} // namespace Gooseberrymill

#include "TolerantJson.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <glib.h>
#include <memory>

namespace Gooseberrymill {

namespace {

constexpr size_t escapeLength = 6; // of \uXXXX

// The code unit of an escape \uXXXX at the start of the text; -1 for any other text.
int escapedUnit(std::string_view text)
{
    constexpr int hexBase = 16;
    if (text.size() < escapeLength || text[0] != '\\' || text[1] != 'u')
        return -1;
    std::string digits(text.substr(2, 4));
    bool isHex = std::ranges::all_of(digits, [](char c) { return g_ascii_isxdigit(c); });
    return isHex ? std::stoi(digits, nullptr, hexBase) : -1;
}

bool isHighSurrogate(int unit) { return unit >= 0xd800 && unit < 0xdc00; }
bool isLowSurrogate(int unit) { return unit >= 0xdc00 && unit < 0xe000; }

class JsonRepair {
public:
    explicit JsonRepair(std::string_view text)
        : m_rest(text)
    {
    }

    std::string run()
    {
        while (!m_rest.empty()) {
            if (m_rest.front() == '"')
                copyString();
            else if (m_rest.front() == '-' || g_ascii_isdigit(m_rest.front()))
                copyNumber();
            else
                copy(1);
        }
        return std::move(m_out);
    }

private:
    void copy(size_t n)
    {
        m_out.append(m_rest.substr(0, n));
        m_rest.remove_prefix(std::min(n, m_rest.size()));
    }

    void replace(size_t n, std::string_view text)
    {
        m_out.append(text);
        m_rest.remove_prefix(std::min(n, m_rest.size()));
    }

    void copyString()
    {
        copy(1);
        while (!m_rest.empty() && m_rest.front() != '"') {
            if (m_rest.front() == '\\')
                copyEscape();
            else if (static_cast<unsigned char>(m_rest.front()) < ' ')
                replace(1, " ");
            else
                copy(1);
        }
        copy(1);
    }

    void copyEscape()
    {
        int unit = escapedUnit(m_rest);
        if (unit < 0)
            return copy(2);
        bool isPair = isHighSurrogate(unit)
            && isLowSurrogate(escapedUnit(m_rest.substr(std::min(escapeLength, m_rest.size()))));
        if (isPair)
            copy(2 * escapeLength);
        else if (isHighSurrogate(unit) || isLowSurrogate(unit))
            replace(escapeLength, "\\ufffd");
        else
            copy(escapeLength);
    }

    void copyNumber()
    {
        size_t n = std::min(m_rest.find_first_not_of("+-.0123456789eE"), m_rest.size());
        if (std::isfinite(g_ascii_strtod(std::string(m_rest.substr(0, n)).c_str(), nullptr)))
            copy(n);
        else
            replace(n, "null");
    }

    std::string_view m_rest;
    std::string m_out;
};

} // namespace

nlohmann::json parseTolerantly(std::string_view text)
{
    auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_discarded())
        return json;
    std::unique_ptr<char, decltype(&g_free)> valid(
        g_utf8_make_valid(text.data(), static_cast<gssize>(text.size())), &g_free);
    return nlohmann::json::parse(JsonRepair(valid.get()).run(), nullptr, false);
}

bool isShallow(const nlohmann::json& json, size_t maxDepth)
{
    if (!json.is_structured())
        return true;
    return maxDepth
        && std::all_of(json.begin(), json.end(), [&](const auto& it) { return isShallow(it, maxDepth - 1); });
}

} // namespace Gooseberrymill

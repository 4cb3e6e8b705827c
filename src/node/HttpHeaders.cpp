#include "HttpHeaders.h"

#include <algorithm>

namespace Gooseberrymill {

namespace {

// Includes content-length, expect and http2-settings, which the proxy does not forward either.
constexpr std::array<std::string_view, 12> hopByHopHeaders { "connection", "keep-alive", "proxy-connection",
    "proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade", "content-length",
    "expect", "http2-settings" };

bool isHopByHop(std::string_view name)
{
    return std::any_of(
        hopByHopHeaders.begin(), hopByHopHeaders.end(), [&](auto known) { return equalsIgnoringCase(known, name); });
}

std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view space = " \t";
    size_t start = text.find_first_not_of(space);
    return start == std::string_view::npos ? "" : text.substr(start, text.find_last_not_of(space) - start + 1);
}

} // namespace

std::vector<Header> endToEndHeaders(SoupMessageHeaders* headers)
{
    std::vector<Header> result;
    bool hasConnection = soup_message_headers_get_list(headers, "Connection");
    SoupMessageHeadersIter iter;
    const char* name = nullptr;
    const char* value = nullptr;
    soup_message_headers_iter_init(&iter, headers);
    while (soup_message_headers_iter_next(&iter, &name, &value)) {
        if (!isHopByHop(name) && !(hasConnection && soup_message_headers_header_contains(headers, "Connection", name)))
            result.push_back({ name, value });
    }
    return result;
}

std::vector<Header> endToEndHeaders(const std::vector<Header>& headers)
{
    std::vector<std::string_view> hopByHop;
    for (const Header& header : headers) {
        if (!isHeaderNamed(header, "Connection"))
            continue;
        for (std::string_view rest = header.value; !rest.empty();) {
            size_t length = std::min(rest.find(','), rest.size());
            hopByHop.push_back(trimmed(rest.substr(0, length)));
            rest.remove_prefix(std::min(length + 1, rest.size()));
        }
    }
    std::vector<Header> result;
    std::ranges::copy_if(headers, std::back_inserter(result), [&](const Header& header) {
        return !isHopByHop(header.name)
            && std::ranges::none_of(hopByHop, [&](auto name) { return isHeaderNamed(header, name); });
    });
    return result;
}

size_t headerBytes(SoupMessageHeaders* headers)
{
    constexpr size_t separatorBytes = 4; // ": " and CRLF
    size_t size = 0;
    SoupMessageHeadersIter iter;
    const char* name = nullptr;
    const char* value = nullptr;
    soup_message_headers_iter_init(&iter, headers);
    while (soup_message_headers_iter_next(&iter, &name, &value))
        size += strlen(name) + strlen(value) + separatorBytes;
    return size;
}

bool equalsIgnoringCase(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
        [](char x, char y) { return g_ascii_tolower(x) == g_ascii_tolower(y); });
}

bool isHeaderNamed(const Header& header, std::string_view name) { return equalsIgnoringCase(header.name, name); }

const Header* findHeader(const std::vector<Header>& headers, std::string_view name)
{
    auto it = std::find_if(
        headers.begin(), headers.end(), [&](const Header& header) { return isHeaderNamed(header, name); });
    return it == headers.end() ? nullptr : &*it;
}

ResponseSignals readSignals(const std::vector<Header>& headers, const HeaderProfile& profile)
{
    ResponseSignals signals;
    for (const Header& header : headers) {
        if (isHeaderNamed(header, profile.leaving) && header.value == "1")
            signals.isLeaving = true;
        if (!isHeaderNamed(header, profile.rateLimit))
            continue;
        signals.namesRate = true;
        for (std::string_view rest = header.value; !rest.empty();) {
            size_t length = std::min(rest.find(','), rest.size());
            auto rate = parseUpstreamRate(rest.substr(0, length));
            if (rate && (!signals.rate || *rate < *signals.rate))
                signals.rate = rate;
            rest.remove_prefix(std::min(length + 1, rest.size()));
        }
    }
    return signals;
}

void removeHeaders(std::vector<Header>& headers, std::string_view name)
{
    std::erase_if(headers, [&](const Header& header) { return isHeaderNamed(header, name); });
}

} // namespace Gooseberrymill

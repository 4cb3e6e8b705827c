#include "StoreDialect.h"

#include "TolerantJson.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <glib.h>
#include <memory>
#include <nlohmann/json.hpp>

namespace Gooseberrymill {

namespace {

namespace Status {
constexpr uint32_t ok = 200;
constexpr uint32_t created = 201;
constexpr uint32_t noContent = 204;
constexpr uint32_t notModified = 304;
constexpr uint32_t badRequest = 400;
constexpr uint32_t notFound = 404;
constexpr uint32_t preconditionFailed = 412;
constexpr uint32_t tooLarge = 413;
constexpr uint32_t tooManyRequests = 429;
constexpr uint32_t serverError = 500;
} // namespace Status

// Parses a version from a quoted ETag. Empty if the tag is malformed or the version is 0.
std::optional<uint64_t> parseVersionTag(std::string_view text)
{
    constexpr size_t quoteCount = 2;
    if (text.size() <= quoteCount || text.front() != '"' || text.back() != '"')
        return std::nullopt;
    text = text.substr(1, text.size() - quoteCount);
    uint64_t version = 0;
    auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), version);
    if (ec != std::errc() || end != text.data() + text.size() || !version)
        return std::nullopt;
    return version;
}

// Status 304 means that a watch ended without a change.
std::optional<ErrorCode> readError(uint32_t status)
{
    if (status == Status::ok)
        return std::nullopt;
    if (status == Status::notFound)
        return ErrorCode::NotFound;
    if (status == Status::notModified)
        return ErrorCode::Unchanged;
    bool isTemporary = status >= Status::serverError || status == Status::tooManyRequests;
    return isTemporary ? ErrorCode::Unavailable : ErrorCode::Invalid;
}

// A 5xx status may come from a proxy in front of the store that has already forwarded the write, so its outcome is
// unknown.
std::optional<ErrorCode> writeError(uint32_t status)
{
    switch (status) {
    case Status::ok:
    case Status::created:
    case Status::noContent:
        return std::nullopt;
    case Status::preconditionFailed:
        return ErrorCode::Conflict;
    case Status::notFound:
        return ErrorCode::NotFound;
    case Status::tooLarge:
        return ErrorCode::TooLarge;
    case Status::tooManyRequests:
        return ErrorCode::Unavailable;
    default:
        return status >= Status::badRequest && status < Status::serverError ? ErrorCode::Invalid
                                                                            : ErrorCode::AnswerLost;
    }
}

class NativeDialect final : public StoreDialect {
public:
    StoreHttpRequest encode(const StoreCall& call) const override
    {
        StoreHttpRequest request;
        request.target = fmt::format("/objects/{}/{}", escapePathSegment(call.kind), escapePathSegment(call.name));
        request.body = call.value;
        switch (call.verb) {
        case StoreVerb::Create:
            request.method = "PUT";
            request.headers.push_back({ "If-None-Match", "*" });
            break;
        case StoreVerb::Replace:
        case StoreVerb::Remove:
            request.method = call.verb == StoreVerb::Replace ? "PUT" : "DELETE";
            request.headers.push_back({ "If-Match", fmt::format("\"{}\"", call.version) });
            break;
        case StoreVerb::Watch:
            request.target += fmt::format("?watch={}&timeout={}", call.version,
                std::chrono::duration_cast<std::chrono::seconds>(call.maxWait).count());
            break;
        case StoreVerb::Get:
        case StoreVerb::List:
            break;
        }
        return request;
    }

    const char* eraHeader() const override { return "History-Era"; }
    std::optional<uint64_t> decodeEra(std::string_view header) const override { return parseEra(header); }

    std::optional<ErrorCode> errorOf(StoreVerb verb, uint32_t status) const override
    {
        bool isWrite = verb == StoreVerb::Create || verb == StoreVerb::Replace || verb == StoreVerb::Remove;
        return isWrite ? writeError(status) : readError(status);
    }

    std::optional<StoredObject> decodeObject(const StoreCall& call, StoreHttpResponse&& response) const override
    {
        auto version = parseVersionTag(response.etag);
        if (!version)
            return std::nullopt;
        return StoredObject { std::string(call.kind), std::string(call.name), *version, std::move(response.body) };
    }

    std::optional<uint64_t> decodeVersion(const StoreHttpResponse& response) const override
    {
        return parseVersionTag(response.etag);
    }

    std::optional<StorePage> decodePage(const StoreCall& call, StoreHttpResponse&& response) const override
    {
        StorePage page;
        if (call.verb == StoreVerb::Watch) {
            auto object = decodeObject(call, std::move(response));
            if (!object)
                return std::nullopt;
            page.objects.push_back(std::move(*object));
            return page;
        }
        auto json = parseTolerantly(response.body);
        if (!json.is_object() || !json.contains("objects") || !json["objects"].is_array())
            return std::nullopt;
        for (const auto& item : json["objects"]) {
            if (!item.is_object() || !item.contains("name") || !item["name"].is_string() || !item.contains("version")
                || !item["version"].is_number_unsigned() || !item.contains("value"))
                return std::nullopt;
            if (!isShallow(item["value"]))
                continue; // written by another program
            page.objects.push_back({ std::string(call.kind), item["name"].get<std::string>(),
                item["version"].get<uint64_t>(), item["value"].dump() });
        }
        return page;
    }
};

} // namespace

const StoreDialect& nativeStoreDialect()
{
    static const NativeDialect dialect;
    return dialect;
}

std::optional<uint64_t> parseEra(std::string_view text)
{
    uint64_t era = 0;
    auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), era);
    return ec == std::errc() && end == text.data() + text.size() ? std::optional(era) : std::nullopt;
}

std::string escapePathSegment(std::string_view text)
{
    std::unique_ptr<char, decltype(&g_free)> escaped(
        g_uri_escape_string(std::string(text).c_str(), "/", FALSE), &g_free);
    return escaped.get();
}

} // namespace Gooseberrymill

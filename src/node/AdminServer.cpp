#include "AdminServer.h"

#include "Log.h"
#include "TomlSections.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace Gooseberrymill {

namespace {

// Upper bounds of the values accepted in request bodies.
constexpr uint64_t maxAnnouncedSlots = 10'000;
constexpr double maxAnnouncedLoad = 1e6;
constexpr size_t maxReasonBytes = 300;

Error invalidInput(std::string detail) { return { ErrorCode::Invalid, "admin.parse", "", std::move(detail) }; }

std::optional<std::string> stringField(const nlohmann::json& json, const char* name)
{
    auto it = json.find(name);
    if (it == json.end() || !it->is_string())
        return std::nullopt;
    return it->get<std::string>();
}

std::optional<UpstreamState> parseAnnouncedState(std::string_view text)
{
    // The fleet assigns the other states; an upstream cannot announce them.
    constexpr std::array<UpstreamState, 4> states { UpstreamState::Cold, UpstreamState::Ready, UpstreamState::Draining,
        UpstreamState::Gone };
    const auto* it = std::find_if(states.begin(), states.end(), [&](UpstreamState s) { return toString(s) == text; });
    return it == states.end() ? std::nullopt : std::optional(*it);
}

void respond(SoupServerMessage* message, guint status, const char* type, std::string_view body)
{
    soup_server_message_set_status(message, status, nullptr);
    soup_server_message_set_response(message, type, SOUP_MEMORY_COPY, body.data(), body.size());
}

void respondJson(SoupServerMessage* message, guint status, const nlohmann::json& json)
{
    respond(message, status, "application/json",
        json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n");
}

guint httpStatusOf(const Error& error)
{
    if (error.code == makeErrorCode(ErrorCode::NotFound))
        return SOUP_STATUS_NOT_FOUND;
    if (error.code == makeErrorCode(ErrorCode::Conflict))
        return SOUP_STATUS_CONFLICT;
    if (error.code == makeErrorCode(ErrorCode::Unavailable))
        return SOUP_STATUS_SERVICE_UNAVAILABLE;
    return SOUP_STATUS_BAD_REQUEST;
}

void respondResult(SoupServerMessage* message, const Result<void>& result)
{
    if (result)
        respondJson(message, SOUP_STATUS_OK, nlohmann::json::object());
    else
        respondJson(message, httpStatusOf(result.error()), { { "error", toString(result.error()) } });
}

void respondError(SoupServerMessage* message, guint status, std::string_view text)
{
    respondJson(message, status, { { "error", text } });
}

// The response to a call whose result may come later. The connection may end before it does.
class PendingResponse {
public:
    explicit PendingResponse(SoupServerMessage* message)
        : m_message(shareObject(message))
    {
        for (const char* signal : { "finished", "disconnected" })
            g_signal_connect(message, signal, G_CALLBACK(&PendingResponse::handleEnd), this);
    }
    PendingResponse(const PendingResponse&) = delete;
    PendingResponse& operator=(const PendingResponse&) = delete;
    ~PendingResponse() { g_signal_handlers_disconnect_by_data(m_message.get(), this); }

    void respond(const Result<void>& result)
    {
        if (m_hasEnded || std::exchange(m_isAnswered, true))
            return;
        respondResult(m_message.get(), result);
        if (m_isPaused)
            soup_server_message_unpause(m_message.get());
    }

    // Holds the message until the result is there.
    void pauseUnlessAnswered()
    {
        if (m_isAnswered)
            return;
        m_isPaused = true;
        soup_server_message_pause(m_message.get());
    }

private:
    static void handleEnd(SoupServerMessage*, gpointer self) { static_cast<PendingResponse*>(self)->m_hasEnded = true; }

    ObjectHandle<SoupServerMessage> m_message;
    bool m_isPaused = false;
    bool m_isAnswered = false;
    bool m_hasEnded = false; // nobody waits for the response any more
};

// Passes the call on and responds with its result.
template <typename Call>
void respondWithResultOf(
    SoupServerMessage* message, const std::function<void(const Call&, AdminReply)>& callback, const Call& call)
{
    auto pending = std::make_shared<PendingResponse>(message);
    callback(call, [pending](const Result<void>& result) { pending->respond(result); });
    pending->pauseUnlessAnswered();
}

} // namespace

Result<Announcement> parseAnnouncement(std::string_view text)
{
    auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object())
        return invalidInput("not a JSON object");
    Announcement announcement;
    for (const auto& [key, target] :
        { std::pair("name", &announcement.name), std::pair("service", &announcement.service) }) {
        auto value = stringField(json, key);
        if (!value || !isName(*value))
            return invalidInput(fmt::format("\"{}\" must be {}", key, nameRule.allowed));
        *target = std::move(*value);
    }
    auto address = stringField(json, "address");
    if (!address || !isAddress(*address))
        return invalidInput("\"address\" must be \"ip:port\"");
    announcement.address = std::move(*address);
    auto slots = json.find("slots");
    if (slots == json.end() || !slots->is_number_unsigned() || slots->get<uint64_t>() < 1
        || slots->get<uint64_t>() > maxAnnouncedSlots)
        return invalidInput(fmt::format("\"slots\" must be an integer from 1 to {}", maxAnnouncedSlots));
    announcement.slots = slots->get<uint32_t>();
    auto state = parseAnnouncedState(stringField(json, "state").value_or(""));
    if (!state)
        return invalidInput("\"state\" must be cold, ready, draining or gone");
    announcement.state = *state;
    auto load = json.find("load");
    if (load == json.end() || !load->is_number() || !(load->get<double>() >= 0)
        || load->get<double>() > maxAnnouncedLoad)
        return invalidInput(fmt::format("\"load\" must be a number from 0 to {}", maxAnnouncedLoad));
    announcement.load = load->get<double>();
    return announcement;
}

AdminServer::AdminServer(AdminCallbacks callbacks)
    : m_callbacks(std::move(callbacks))
    , m_server(soup_server_new(nullptr, nullptr))
{
    soup_server_add_early_handler(m_server.get(), nullptr, &AdminServer::handleHeaders, this, nullptr);
    soup_server_add_handler(m_server.get(), nullptr, &AdminServer::handle, this, nullptr);
}

AdminServer::~AdminServer() { soup_server_disconnect(m_server.get()); }

Result<uint16_t> AdminServer::listen(const ListenAddress& address)
{
    std::string peer = fmt::format("{}:{}", address.host, address.port);
    ObjectHandle<GSocketAddress> socketAddress(
        g_inet_socket_address_new_from_string(address.host.c_str(), address.port));
    if (!socketAddress)
        return Error { ErrorCode::Invalid, "admin.listen", peer, "not an IP address" };
    GError* error = nullptr;
    if (!soup_server_listen(m_server.get(), socketAddress.get(), static_cast<SoupServerListenOptions>(0), &error)) {
        ErrorHandle owned(error);
        return Error { ErrorCode::Unavailable, "admin.listen", peer, owned->message };
    }
    GSList* uris = soup_server_get_uris(m_server.get());
    auto port = static_cast<uint16_t>(g_uri_get_port(static_cast<GUri*>(uris->data)));
    g_slist_free_full(uris, reinterpret_cast<GDestroyNotify>(&g_uri_unref));
    return port;
}

// Rejects a body above maxBodyBytes by its Content-Length. libsoup writes the response only after it has read the body,
// so a part of it is read and discarded. A chunked body is checked in handleChunk(), which shuts down the connection as
// soon as the limit is exceeded.
void AdminServer::handleHeaders(SoupServer*, SoupServerMessage* message, const char*, GHashTable*, gpointer)
{
    SoupMessageHeaders* headers = soup_server_message_get_request_headers(message);
    bool hasContentLength = soup_message_headers_get_encoding(headers) == SOUP_ENCODING_CONTENT_LENGTH;
    if (hasContentLength && soup_message_headers_get_content_length(headers) > static_cast<goffset>(maxBodyBytes)) {
        soup_message_headers_replace(soup_server_message_get_response_headers(message), "Connection", "close");
        respondError(message, SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE,
            fmt::format("body must have at most {} bytes", maxBodyBytes));
        soup_message_body_set_accumulate(soup_server_message_get_request_body(message), FALSE);
        g_signal_connect(message, "got-chunk", G_CALLBACK(&AdminServer::discardChunk), nullptr);
        return;
    }
    g_signal_connect(message, "got-chunk", G_CALLBACK(&AdminServer::handleChunk), nullptr);
}

void AdminServer::handleChunk(SoupServerMessage* message, GBytes*, gpointer)
{
    if (soup_server_message_get_request_body(message)->length > static_cast<goffset>(maxBodyBytes))
        g_socket_shutdown(soup_server_message_get_socket(message), TRUE, TRUE, nullptr);
}

void AdminServer::discardChunk(SoupServerMessage* message, GBytes* bytes, gpointer)
{
    constexpr const char* counterName = "gooseberrymill-discarded-bytes";
    gsize n = GPOINTER_TO_SIZE(g_object_get_data(G_OBJECT(message), counterName)) + g_bytes_get_size(bytes);
    g_object_set_data(G_OBJECT(message), counterName, GSIZE_TO_POINTER(n));
    if (n > maxDiscardedBytes)
        g_socket_shutdown(soup_server_message_get_socket(message), TRUE, TRUE, nullptr);
}

void AdminServer::handle(SoupServer*, SoupServerMessage* message, const char* path, GHashTable*, gpointer self)
{
    auto* server = static_cast<AdminServer*>(self);
    std::string_view method = soup_server_message_get_method(message);
    // An oversized chunked body that was already received completely gets here although its connection was shut down.
    if (soup_server_message_get_request_body(message)->length > static_cast<goffset>(maxBodyBytes)) {
        respondError(message, SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE,
            fmt::format("body must have at most {} bytes", maxBodyBytes));
        return;
    }
    BytesHandle bytes(soup_message_body_flatten(soup_server_message_get_request_body(message)));
    gsize size = 0;
    const auto* data = static_cast<const char*>(g_bytes_get_data(bytes.get(), &size));
    std::string_view body(data ? data : "", size);
    if (server->servePlatformCall(message, method, path, body))
        return;
    if (method == "GET" || method == "HEAD") {
        server->serveGet(message, path);
    } else if (method == "POST") {
        server->servePost(message, path, body);
    } else {
        respondError(message, SOUP_STATUS_METHOD_NOT_ALLOWED, "method must be GET or POST");
    }
}

bool AdminServer::servePlatformCall(
    SoupServerMessage* message, std::string_view method, std::string_view path, std::string_view body) const
{
    auto call = m_callbacks.decodeCall ? m_callbacks.decodeCall(method, path, body) : std::nullopt;
    if (!call)
        return false;
    if (!*call) {
        log(LogLevel::Warning, "platform.call", call->error());
        respondResult(message, call->error());
    } else if (std::holds_alternative<ReadinessQuery>(call->value())) {
        bool isHealthy = m_callbacks.isHealthy();
        respond(message, isHealthy ? SOUP_STATUS_OK : SOUP_STATUS_SERVICE_UNAVAILABLE, "text/plain", "");
    } else if (const auto* announcement = std::get_if<Announcement>(&call->value())) {
        respondWithResultOf(message, m_callbacks.announce, *announcement);
    } else {
        respondWithResultOf(message, m_callbacks.depart, std::get<Departure>(call->value()));
    }
    return true;
}

void AdminServer::serveGet(SoupServerMessage* message, std::string_view path) const
{
    if (path == "/healthz") {
        bool isHealthy = m_callbacks.isHealthy();
        respond(message, isHealthy ? SOUP_STATUS_OK : SOUP_STATUS_SERVICE_UNAVAILABLE, "text/plain",
            isHealthy ? "ok\n" : "not ready\n");
    } else if (path == "/metrics") {
        respond(message, SOUP_STATUS_OK, "text/plain; version=0.0.4", m_callbacks.metrics());
    } else if (path == "/status") {
        respond(message, SOUP_STATUS_OK, "application/json", m_callbacks.status());
    } else if (path == "/operations") {
        respond(message, SOUP_STATUS_OK, "application/json", m_callbacks.operations());
    } else {
        respondError(message, SOUP_STATUS_NOT_FOUND, "path not found");
    }
}

void AdminServer::servePost(SoupServerMessage* message, std::string_view path, std::string_view body) const
{
    constexpr std::string_view operationPrefix = "/operations/";
    constexpr std::string_view resolveSuffix = "/resolve";
    if (path == "/announce") {
        auto announcement = parseAnnouncement(body);
        if (announcement)
            respondWithResultOf(message, m_callbacks.announce, announcement.value());
        else
            respondResult(message, announcement.error());
    } else if (path.starts_with(operationPrefix) && path.ends_with(resolveSuffix)
        && path.size() > operationPrefix.size() + resolveSuffix.size()) {
        path.remove_prefix(operationPrefix.size());
        path.remove_suffix(resolveSuffix.size());
        serveResolve(message, path, body);
    } else {
        respondError(message, SOUP_STATUS_NOT_FOUND, "path not found");
    }
}

void AdminServer::serveResolve(SoupServerMessage* message, std::string_view operation, std::string_view body) const
{
    auto json = nlohmann::json::parse(body, nullptr, false);
    auto actor = json.is_object() ? stringField(json, "actor") : std::nullopt;
    auto reason = json.is_object() ? stringField(json, "reason") : std::nullopt;
    if (!actor || !isName(*actor) || !reason || reason->empty() || reason->size() > maxReasonBytes) {
        respondResult(message,
            invalidInput(fmt::format(
                "\"actor\" must be {} and \"reason\" a text of 1 to {} bytes", nameRule.allowed, maxReasonBytes)));
        return;
    }
    respondResult(message, m_callbacks.resolve({ std::string(operation), std::move(*actor), std::move(*reason) }));
}

} // namespace Gooseberrymill

#include "StoreClient.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <list>
#include <nlohmann/json.hpp>

namespace Gooseberrymill {

namespace {

constexpr size_t maxListBytes = 32 * maxStoreValueBytes;
constexpr guint statusTooManyRequests = 429; // RFC 6585; libsoup has no name for it
constexpr size_t readChunkBytes = 65'536;
constexpr guint maxConnections = 64; // a watch holds one connection while it waits

GMainContext* currentContext()
{
    GMainContext* context = g_main_context_get_thread_default();
    return context ? context : g_main_context_default();
}

// Runs `function` once in the calling thread's main context after `delay`.
SourceHandle runLater(Duration delay, std::function<void()> function)
{
    auto millis = std::chrono::ceil<std::chrono::milliseconds>(delay).count();
    GSource* source = g_timeout_source_new(static_cast<guint>(millis));
    g_source_set_callback(
        source,
        [](gpointer data) -> gboolean {
            (*static_cast<std::function<void()>*>(data))();
            return G_SOURCE_REMOVE;
        },
        new std::function<void()>(std::move(function)),
        [](gpointer data) { delete static_cast<std::function<void()>*>(data); });
    g_source_attach(source, currentContext());
    return SourceHandle(source);
}

std::optional<uint64_t> parseTag(const char* tag)
{
    std::string_view text = tag ? tag : "";
    if (text.size() < 3 || text.front() != '"' || text.back() != '"')
        return std::nullopt;
    text = text.substr(1, text.size() - 2);
    uint64_t version = 0;
    auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), version);
    if (ec != std::errc() || end != text.data() + text.size() || !version)
        return std::nullopt;
    return version;
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] One call
//-----------------------------------------------------------------------------

// A complete answer of the store, whatever its status.
struct StoreClient::Answer {
    guint status = 0;
    std::optional<uint64_t> version;
    std::string body;
};

struct StoreClient::Shared {
    ObjectHandle<SoupSession> session;
    std::list<std::shared_ptr<Call>> calls;
};

struct StoreClient::Call : std::enable_shared_from_this<Call> {
    std::weak_ptr<Shared> shared;
    ObjectHandle<SoupMessage> message;
    ObjectHandle<GCancellable> cancellable { g_cancellable_new() };
    ObjectHandle<GInputStream> stream;
    SourceHandle timer;
    std::string step;
    std::string peer;
    std::string body;
    size_t maxBodyBytes = maxStoreValueBytes;
    bool isWrite = false;
    bool isStarted = false; // the request may have left this process
    bool isTimedOut = false;
    std::function<void(Result<Answer>)> onAnswer;

    void send(SoupSession* session);
    void readMore();
    void fail(const GError*);
    void finish(Result<Answer>);

    Error makeError(ErrorCode ec, std::string detail = "") const { return { ec, step, peer, std::move(detail) }; }

    static std::shared_ptr<Call> take(gpointer data)
    {
        std::unique_ptr<std::shared_ptr<Call>> owned(static_cast<std::shared_ptr<Call>*>(data));
        return *owned;
    }
    gpointer keep() { return new std::shared_ptr<Call>(shared_from_this()); }
    bool isDropped() const { return shared.expired(); }

    static void handleSent(GObject* session, GAsyncResult* result, gpointer data);
    static void handleRead(GObject* stream, GAsyncResult* result, gpointer data);
};

void StoreClient::Call::send(SoupSession* session)
{
    // "starting" precedes the first byte on the connection. "wrote-headers" would come too late.
    g_signal_connect(message.get(), "starting",
        G_CALLBACK(+[](SoupMessage*, gpointer self) { static_cast<Call*>(self)->isStarted = true; }), this);
    soup_session_send_async(session, message.get(), G_PRIORITY_DEFAULT, cancellable.get(), &Call::handleSent, keep());
}

void StoreClient::Call::handleSent(GObject* session, GAsyncResult* result, gpointer data)
{
    std::shared_ptr<Call> call = take(data);
    GError* error = nullptr;
    call->stream.reset(soup_session_send_finish(SOUP_SESSION(session), result, &error));
    ErrorHandle owned(error);
    if (call->isDropped())
        return;
    if (call->stream)
        call->readMore();
    else
        call->fail(error);
}

void StoreClient::Call::readMore()
{
    g_input_stream_read_bytes_async(
        stream.get(), readChunkBytes, G_PRIORITY_DEFAULT, cancellable.get(), &Call::handleRead, keep());
}

void StoreClient::Call::handleRead(GObject* stream, GAsyncResult* result, gpointer data)
{
    std::shared_ptr<Call> call = take(data);
    GError* error = nullptr;
    BytesHandle bytes(g_input_stream_read_bytes_finish(G_INPUT_STREAM(stream), result, &error));
    ErrorHandle owned(error);
    if (call->isDropped())
        return;
    if (!bytes) {
        call->fail(error);
        return;
    }
    gsize size = 0;
    const auto* chunk = static_cast<const char*>(g_bytes_get_data(bytes.get(), &size));
    if (call->body.size() + size > call->maxBodyBytes) {
        call->finish(call->makeError(
            call->isWrite ? ErrorCode::AnswerLost : ErrorCode::TooLarge, "the answer exceeds its bound"));
        return;
    }
    if (size) {
        call->body.append(chunk, size);
        call->readMore();
        return;
    }
    SoupMessageHeaders* headers = soup_message_get_response_headers(call->message.get());
    Answer answer;
    answer.status = soup_message_get_status(call->message.get());
    answer.version = parseTag(soup_message_headers_get_one(headers, "ETag"));
    answer.body = std::move(call->body);
    call->finish(std::move(answer));
}

void StoreClient::Call::fail(const GError* error)
{
    std::string detail = error ? error->message : "";
    if (isTimedOut)
        finish(makeError(isWrite && !isStarted ? ErrorCode::Unavailable : ErrorCode::Timeout, "no answer in time"));
    else if (isWrite && isStarted)
        finish(makeError(ErrorCode::AnswerLost, std::move(detail)));
    else
        finish(makeError(ErrorCode::Unavailable, std::move(detail)));
}

void StoreClient::Call::finish(Result<Answer> result)
{
    timer.reset();
    g_signal_handlers_disconnect_by_data(message.get(), this);
    g_cancellable_cancel(cancellable.get()); // ends an answer that is not read to its end
    std::shared_ptr<Call> self = shared_from_this();
    if (auto owner = shared.lock())
        owner->calls.remove(self);
    auto callback = std::move(onAnswer);
    callback(std::move(result));
}

//-----------------------------------------------------------------------------
// [SECTION] Answers
//-----------------------------------------------------------------------------

namespace {

// What a status means for a read. 304 ends a watch without a change.
std::optional<ErrorCode> readError(guint status)
{
    if (status == SOUP_STATUS_OK)
        return std::nullopt;
    if (status == SOUP_STATUS_NOT_FOUND)
        return ErrorCode::NotFound;
    if (status == SOUP_STATUS_NOT_MODIFIED)
        return ErrorCode::Timeout;
    bool isTemporary = status >= SOUP_STATUS_INTERNAL_SERVER_ERROR || status == statusTooManyRequests;
    return isTemporary ? ErrorCode::Unavailable : ErrorCode::Invalid;
}

// What a status means for a write. A 5xx may come from something in front of the store that has already
// passed the write on.
std::optional<ErrorCode> writeError(guint status)
{
    switch (status) {
    case SOUP_STATUS_OK:
    case SOUP_STATUS_CREATED:
    case SOUP_STATUS_NO_CONTENT:
        return std::nullopt;
    case SOUP_STATUS_PRECONDITION_FAILED:
        return ErrorCode::Conflict;
    case SOUP_STATUS_NOT_FOUND:
        return ErrorCode::NotFound;
    case SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE:
        return ErrorCode::TooLarge;
    case statusTooManyRequests:
        return ErrorCode::Unavailable;
    default:
        return status >= SOUP_STATUS_BAD_REQUEST && status < SOUP_STATUS_INTERNAL_SERVER_ERROR ? ErrorCode::Invalid
                                                                                               : ErrorCode::AnswerLost;
    }
}

std::string describeStatus(guint status) { return fmt::format("status {}", status); }

std::optional<std::vector<StoredObject>> parseList(const std::string& kind, const std::string& body)
{
    auto json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("objects") || !json["objects"].is_array())
        return std::nullopt;
    std::vector<StoredObject> objects;
    objects.reserve(json["objects"].size());
    for (const auto& item : json["objects"]) {
        if (!item.is_object() || !item.contains("name") || !item["name"].is_string() || !item.contains("version")
            || !item["version"].is_number_unsigned() || !item.contains("value"))
            return std::nullopt;
        objects.push_back(
            { kind, item["name"].get<std::string>(), item["version"].get<uint64_t>(), item["value"].dump() });
    }
    return objects;
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Client
//-----------------------------------------------------------------------------

StoreClient::StoreClient(std::string url, Duration timeout)
    : m_url(std::move(url))
    , m_timeout(timeout)
    , m_shared(std::make_shared<Shared>())
{
    m_shared->session.reset(soup_session_new_with_options(
        "max-conns", maxConnections, "max-conns-per-host", maxConnections, "proxy-resolver", nullptr, nullptr));
    soup_session_remove_feature_by_type(m_shared->session.get(), SOUP_TYPE_CONTENT_DECODER);
    soup_session_remove_feature_by_type(m_shared->session.get(), SOUP_TYPE_AUTH_MANAGER);
}

StoreClient::~StoreClient()
{
    // Calls find their weak reference expired and run no callback.
    std::shared_ptr<Shared> shared = std::move(m_shared);
    std::list<std::shared_ptr<Call>> calls = std::move(shared->calls);
    ObjectHandle<SoupSession> session = std::move(shared->session);
    shared.reset();
    for (const auto& call : calls) {
        call->timer.reset();
        g_signal_handlers_disconnect_by_data(call->message.get(), call.get());
        g_cancellable_cancel(call->cancellable.get());
    }
    soup_session_abort(session.get());
}

size_t StoreClient::pendingCalls() const { return m_shared->calls.size(); }

std::string StoreClient::objectUrl(std::string_view kind, std::string_view name) const
{
    auto escape = [](std::string_view text) {
        std::unique_ptr<char, decltype(&g_free)> escaped(
            g_uri_escape_string(std::string(text).c_str(), "/", FALSE), &g_free);
        return std::string(escaped.get());
    };
    return fmt::format("{}/objects/{}/{}", m_url, escape(kind), escape(name));
}

std::shared_ptr<StoreClient::Call> StoreClient::startCall(
    const char* method, const std::string& url, std::string step, Duration limit)
{
    auto call = std::make_shared<Call>();
    call->shared = m_shared;
    call->step = std::move(step);
    call->peer = m_url;
    call->message.reset(soup_message_new(method, url.c_str()));
    m_shared->calls.push_back(call);
    std::weak_ptr<Call> weak = call;
    if (!call->message) {
        call->message.reset(soup_message_new(method, "http://127.0.0.1/")); // never sent
        call->timer = runLater(0s, [weak] {
            if (auto held = weak.lock())
                held->finish(held->makeError(ErrorCode::Invalid, "the store's address is not a URL"));
        });
        return call;
    }
    soup_message_add_flags(call->message.get(), SOUP_MESSAGE_NO_REDIRECT);
    call->timer = runLater(limit, [weak] {
        if (auto held = weak.lock()) {
            held->isTimedOut = true;
            g_cancellable_cancel(held->cancellable.get());
        }
    });
    // The first step runs from the main loop, so that the caller can still complete the call.
    auto* session = m_shared->session.get();
    auto* data = new std::pair<std::shared_ptr<Call>, ObjectHandle<SoupSession>>(call, shareObject(session));
    GSource* source = g_idle_source_new();
    g_source_set_priority(source, G_PRIORITY_DEFAULT);
    g_source_set_callback(
        source,
        [](gpointer user) -> gboolean {
            auto& [held, owner] = *static_cast<std::pair<std::shared_ptr<Call>, ObjectHandle<SoupSession>>*>(user);
            if (!held->isDropped())
                held->send(owner.get());
            return G_SOURCE_REMOVE;
        },
        data,
        [](gpointer user) { delete static_cast<std::pair<std::shared_ptr<Call>, ObjectHandle<SoupSession>>*>(user); });
    g_source_attach(source, currentContext());
    g_source_unref(source);
    return call;
}

void StoreClient::get(std::string_view kind, std::string_view name, Callback<StoredObject> callback)
{
    ++m_counts[std::string(kind)].reads;
    auto call = startCall("GET", objectUrl(kind, name), "store.get", m_timeout);
    StoredObject object { std::string(kind), std::string(name), 0, "" };
    Error blank = call->makeError(ErrorCode::Malformed);
    call->onAnswer = [object, blank, callback = std::move(callback)](Result<Answer> result) mutable {
        if (!result)
            return callback(result.error());
        Answer& answer = result.value();
        if (auto ec = readError(answer.status))
            return callback(Error { *ec, blank.step, blank.peer, describeStatus(answer.status) });
        if (!answer.version)
            return callback(Error { blank.code, blank.step, blank.peer, "no version in ETag" });
        object.version = *answer.version;
        object.value = std::move(answer.body);
        callback(std::move(object));
    };
}

void StoreClient::put(std::string_view kind, std::string_view name, const std::string& value, uint64_t version,
    Callback<uint64_t> callback)
{
    ++m_counts[std::string(kind)].writes;
    auto call = startCall("PUT", objectUrl(kind, name), "store.put", m_timeout);
    call->isWrite = true;
    Error blank = call->makeError(ErrorCode::AnswerLost);
    call->onAnswer = [blank, callback = std::move(callback)](Result<Answer> result) {
        if (!result)
            return callback(result.error());
        const Answer& answer = result.value();
        if (auto ec = writeError(answer.status)) {
            // An object that is gone fails the condition that it has the version given.
            ErrorCode code = *ec == ErrorCode::NotFound ? ErrorCode::Conflict : *ec;
            return callback(Error { code, blank.step, blank.peer, describeStatus(answer.status) });
        }
        if (!answer.version)
            return callback(Error { blank.code, blank.step, blank.peer, "no version in ETag" });
        callback(*answer.version);
    };
    if (value.size() > maxStoreValueBytes) {
        g_cancellable_cancel(call->cancellable.get());
        call->onAnswer = [blank, tell = std::move(call->onAnswer)](const Result<Answer>&) {
            tell(Error { ErrorCode::TooLarge, blank.step, blank.peer, "the value exceeds 1 MB" });
        };
        return;
    }
    soup_message_add_flags(call->message.get(), SOUP_MESSAGE_NEW_CONNECTION);
    SoupMessageHeaders* headers = soup_message_get_request_headers(call->message.get());
    if (version)
        soup_message_headers_replace(headers, "If-Match", fmt::format("\"{}\"", version).c_str());
    else
        soup_message_headers_replace(headers, "If-None-Match", "*");
    BytesHandle bytes(g_bytes_new(value.data(), value.size()));
    soup_message_set_request_body_from_bytes(call->message.get(), "application/json", bytes.get());
}

void StoreClient::remove(std::string_view kind, std::string_view name, uint64_t version, Callback<uint64_t> callback)
{
    ++m_counts[std::string(kind)].writes;
    auto call = startCall("DELETE", objectUrl(kind, name), "store.remove", m_timeout);
    call->isWrite = true;
    soup_message_add_flags(call->message.get(), SOUP_MESSAGE_NEW_CONNECTION);
    SoupMessageHeaders* headers = soup_message_get_request_headers(call->message.get());
    soup_message_headers_replace(headers, "If-Match", fmt::format("\"{}\"", version).c_str());
    Error blank = call->makeError(ErrorCode::AnswerLost);
    call->onAnswer = [blank, version, callback = std::move(callback)](Result<Answer> result) {
        if (!result)
            return callback(result.error());
        const Answer& answer = result.value();
        if (auto ec = writeError(answer.status))
            return callback(Error { *ec, blank.step, blank.peer, describeStatus(answer.status) });
        callback(answer.version.value_or(version));
    };
}

void StoreClient::list(std::string_view kind, Callback<std::vector<StoredObject>> callback)
{
    ++m_counts[std::string(kind)].lists;
    auto call = startCall("GET", objectUrl(kind, ""), "store.list", m_timeout);
    call->maxBodyBytes = maxListBytes;
    Error blank = call->makeError(ErrorCode::Malformed);
    call->onAnswer = [blank, kind = std::string(kind), callback = std::move(callback)](Result<Answer> result) {
        if (!result)
            return callback(result.error());
        const Answer& answer = result.value();
        if (auto ec = readError(answer.status))
            return callback(Error { *ec, blank.step, blank.peer, describeStatus(answer.status) });
        auto objects = parseList(kind, answer.body);
        if (!objects)
            return callback(Error { blank.code, blank.step, blank.peer, "not a list of objects" });
        callback(std::move(*objects));
    };
}

void StoreClient::watch(
    std::string_view kind, std::string_view name, uint64_t version, Duration patience, Callback<StoredObject> callback)
{
    ++m_counts[std::string(kind)].watches;
    auto seconds = std::max<int64_t>(1, std::chrono::duration_cast<std::chrono::seconds>(patience).count());
    std::string url = fmt::format("{}?watch={}&timeout={}", objectUrl(kind, name), version, seconds);
    // A store that stays silent beyond the agreed time is given up, like a call without an answer.
    auto call = startCall("GET", url, "store.watch", std::chrono::seconds(seconds) + m_timeout);
    StoredObject object { std::string(kind), std::string(name), 0, "" };
    Error blank = call->makeError(ErrorCode::Malformed);
    call->onAnswer = [object, blank, version, callback = std::move(callback)](Result<Answer> result) mutable {
        if (!result)
            return callback(result.error());
        Answer& answer = result.value();
        if (auto ec = readError(answer.status))
            return callback(Error { *ec, blank.step, blank.peer, describeStatus(answer.status) });
        if (!answer.version || *answer.version <= version)
            return callback(
                Error { blank.code, blank.step, blank.peer, "the answer is not newer than the version watched" });
        object.version = *answer.version;
        object.value = std::move(answer.body);
        callback(std::move(object));
    };
}

} // namespace Gooseberrymill

#include "StoreClient.h"

#include "Log.h"
#include "Task.h"

#include <algorithm>
#include <fmt/format.h>
#include <list>

namespace Gooseberrymill {

namespace {

constexpr size_t maxListBytes = 32 * maxStoreValueBytes; // limit of a response to a list
constexpr size_t readChunkBytes = 65'536; // largest single read from a response body
constexpr guint maxConnections = 64; // each watch occupies a connection while it waits
constexpr uint32_t maxInterimResponses = 16; // 1xx responses to one call

GMainContext* currentContext()
{
    GMainContext* context = g_main_context_get_thread_default();
    return context ? context : g_main_context_default();
}

// Runs `function` once after `delay`, from the main context of the calling thread.
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

StoreCall makeStoreCall(StoreVerb verb, std::string_view kind, std::string_view name, uint64_t version = 0)
{
    StoreCall call;
    call.verb = verb;
    call.kind = kind;
    call.name = name;
    call.version = version;
    return call;
}

ObjectHandle<SoupSession> makeSession()
{
    ObjectHandle<SoupSession> session(soup_session_new_with_options(
        "max-conns", maxConnections, "max-conns-per-host", maxConnections, "proxy-resolver", nullptr, nullptr));
    soup_session_remove_feature_by_type(session.get(), SOUP_TYPE_CONTENT_DECODER);
    soup_session_remove_feature_by_type(session.get(), SOUP_TYPE_AUTH_MANAGER);
    return session;
}

std::string describeStatus(uint32_t status) { return fmt::format("status {}", status); }

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Call
//-----------------------------------------------------------------------------

// State that ends with the client.
struct StoreClient::Shared {
    const StoreDialect& dialect;
    WatchPatience patience;
    StoreHistory history {};
    std::function<void(uint64_t)> onNewEra {};
    ObjectHandle<SoupSession> session = makeSession(); // owns the connections that later calls may use
    std::list<std::shared_ptr<Call>> calls {};
};

// One HTTP exchange. Pending GLib operations hold a reference, so a call may outlive its client.
struct StoreClient::Call : std::enable_shared_from_this<Call> {
    std::weak_ptr<Shared> shared;
    ObjectHandle<SoupSession> session; // the client may have replaced its own since
    ObjectHandle<SoupMessage> message;
    ObjectHandle<GCancellable> cancellable { g_cancellable_new() };
    ObjectHandle<GInputStream> stream;
    SourceHandle timer;
    std::string step;
    std::string peer;
    std::string body;
    size_t maxBodyBytes = maxStoreValueBytes;
    bool isWrite = false;
    bool isStarted = false; // true once bytes of the request may have left this process
    bool isTimedOut = false;
    uint32_t interimResponses = 0;
    std::optional<ErrorCode> overtaken; // error if the store has begun another era since the call; empty: none
    uint64_t eraAtSend = 0;
    std::function<void(Result<StoreHttpResponse>)> onResponse;

    void send();
    void readMore();
    Result<StoreHttpResponse> checkEra(StoreHttpResponse) const;
    void fail(const GError*);
    void abandonConnections();
    void finish(Result<StoreHttpResponse>);

    Error makeError(ErrorCode ec, std::string detail = "") const { return { ec, step, peer, std::move(detail) }; }

    // A pending GLib operation holds the reference that makeReference() returns, until takeReference() releases it.
    static std::shared_ptr<Call> takeReference(gpointer data)
    {
        std::unique_ptr<std::shared_ptr<Call>> owned(static_cast<std::shared_ptr<Call>*>(data));
        return *owned;
    }
    gpointer makeReference() { return new std::shared_ptr<Call>(shared_from_this()); }
    bool isClientDestroyed() const { return shared.expired(); }

    static void handleInterimResponse(SoupMessage*, gpointer data);
    static void handleSent(GObject* session, GAsyncResult* result, gpointer data);
    static void handleRead(GObject* stream, GAsyncResult* result, gpointer data);
};

void StoreClient::Call::send()
{
    // "starting" is emitted before the first byte is written to the connection; "wrote-headers" would be too late.
    g_signal_connect(message.get(), "starting",
        G_CALLBACK(+[](SoupMessage*, gpointer self) { static_cast<Call*>(self)->isStarted = true; }), this);
    g_signal_connect(message.get(), "got-informational", G_CALLBACK(&Call::handleInterimResponse), this);
    soup_session_send_async(
        session.get(), message.get(), G_PRIORITY_DEFAULT, cancellable.get(), &Call::handleSent, makeReference());
}

// See UpstreamCall::onInterimResponse().
void StoreClient::Call::handleInterimResponse(SoupMessage* /*message*/, gpointer data)
{
    auto* call = static_cast<Call*>(data);
    if (++call->interimResponses > maxInterimResponses)
        g_cancellable_cancel(call->cancellable.get());
}

void StoreClient::Call::handleSent(GObject* session, GAsyncResult* result, gpointer data)
{
    std::shared_ptr<Call> call = takeReference(data);
    GError* error = nullptr;
    call->stream.reset(soup_session_send_finish(SOUP_SESSION(session), result, &error));
    ErrorHandle owned(error);
    if (call->isClientDestroyed())
        return;
    if (call->stream)
        call->readMore();
    else
        call->fail(error);
}

void StoreClient::Call::readMore()
{
    g_input_stream_read_bytes_async(
        stream.get(), readChunkBytes, G_PRIORITY_DEFAULT, cancellable.get(), &Call::handleRead, makeReference());
}

void StoreClient::Call::handleRead(GObject* stream, GAsyncResult* result, gpointer data)
{
    std::shared_ptr<Call> call = takeReference(data);
    GError* error = nullptr;
    BytesHandle bytes(g_input_stream_read_bytes_finish(G_INPUT_STREAM(stream), result, &error));
    ErrorHandle owned(error);
    if (call->isClientDestroyed())
        return;
    if (!bytes) {
        call->fail(error);
        return;
    }
    gsize size = 0;
    const auto* chunk = static_cast<const char*>(g_bytes_get_data(bytes.get(), &size));
    if (call->body.size() + size > call->maxBodyBytes) {
        call->finish(call->makeError(
            call->isWrite ? ErrorCode::AnswerLost : ErrorCode::TooLarge, "the response exceeds its size limit"));
        return;
    }
    if (size) {
        call->body.append(chunk, size);
        call->readMore();
        return;
    }
    SoupMessageHeaders* headers = soup_message_get_response_headers(call->message.get());
    StoreHttpResponse response;
    response.status = soup_message_get_status(call->message.get());
    const char* etag = soup_message_headers_get_one(headers, "ETag");
    response.etag = etag ? etag : "";
    auto owner = call->shared.lock();
    const char* era = soup_message_headers_get_one(headers, owner->dialect.eraHeader());
    response.era = era ? era : "";
    response.body = std::move(call->body);
    call->finish(call->checkEra(std::move(response)));
}

Result<StoreHttpResponse> StoreClient::Call::checkEra(StoreHttpResponse response) const
{
    auto owner = shared.lock();
    EraChange change = owner->history.record(owner->dialect.decodeEra(response.era), eraAtSend);
    if (change == EraChange::Started && owner->onNewEra)
        owner->onNewEra(owner->history.era());
    if (change == EraChange::Outdated)
        return makeError(isWrite ? ErrorCode::AnswerLost : ErrorCode::Unavailable, "response of an earlier era");
    bool isOvertaken = eraAtSend && eraAtSend != owner->history.era();
    if (overtaken && isOvertaken)
        return makeError(*overtaken, "the store has begun a new era");
    return response;
}

void StoreClient::Call::fail(const GError* error)
{
    std::string detail = error ? error->message : "";
    if (isTimedOut) {
        abandonConnections();
        finish(makeError(
            isWrite && !isStarted ? ErrorCode::Unavailable : ErrorCode::Timeout, "no response before the timeout"));
    } else if (isWrite && isStarted)
        finish(makeError(ErrorCode::AnswerLost, std::move(detail)));
    else
        finish(makeError(ErrorCode::Unavailable, std::move(detail)));
}

// The idle connections may be as dead as the one that gave no response, so the next call opens a new one. Calls in
// flight keep theirs.
void StoreClient::Call::abandonConnections()
{
    auto owner = shared.lock();
    if (owner->session.get() != session.get())
        return;
    owner->session = makeSession();
    log(LogLevel::Info, "store.connections_abandoned", { { "step", step }, { "store", peer } });
}

void StoreClient::Call::finish(Result<StoreHttpResponse> result)
{
    timer.reset();
    g_signal_handlers_disconnect_by_data(message.get(), this);
    g_cancellable_cancel(cancellable.get()); // aborts a response that was not read to the end
    std::shared_ptr<Call> self = shared_from_this();
    if (auto owner = shared.lock())
        owner->calls.remove(self);
    auto callback = std::move(onResponse);
    callback(std::move(result));
}

//-----------------------------------------------------------------------------
// [SECTION] Client
//-----------------------------------------------------------------------------

StoreClient::StoreClient(std::string url, Duration timeout, const StoreDialect& dialect)
    : m_url(std::move(url))
    , m_timeout(timeout)
    , m_dialect(dialect)
    , m_shared(std::make_shared<Shared>(Shared { dialect, WatchPatience(timeout) }))
{
}

StoreClient::~StoreClient()
{
    // Their weak reference to Shared expires first, so the calls run no callback when they are cancelled.
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

void StoreClient::onNewEra(std::function<void(uint64_t)> function) { m_shared->onNewEra = std::move(function); }
uint64_t StoreClient::era() const { return m_shared->history.era(); }
bool StoreClient::isCurrent(uint64_t version) const { return m_shared->history.isCurrent(version); }

size_t StoreClient::pendingCalls() const { return m_shared->calls.size(); }

std::shared_ptr<StoreClient::Call> StoreClient::startCall(
    const StoreCall& parameters, std::string step, Duration timeout)
{
    StoreHttpRequest request = m_dialect.encode(parameters);
    auto call = std::make_shared<Call>();
    call->shared = m_shared;
    call->step = std::move(step);
    call->peer = m_url;
    call->eraAtSend = era();
    call->session = shareObject(m_shared->session.get());
    call->message.reset(soup_message_new(request.method, (m_url + request.target).c_str()));
    m_shared->calls.push_back(call);
    std::weak_ptr<Call> weak = call;
    if (!call->message) {
        call->message.reset(soup_message_new("GET", "http://127.0.0.1/")); // never sent
        call->timer = runLater(0s, [weak] {
            if (auto held = weak.lock())
                held->finish(held->makeError(ErrorCode::Invalid, "the store's address is not a URL"));
        });
        return call;
    }
    soup_message_add_flags(call->message.get(), SOUP_MESSAGE_NO_REDIRECT);
    SoupMessageHeaders* headers = soup_message_get_request_headers(call->message.get());
    for (const Header& header : request.headers)
        soup_message_headers_replace(headers, header.name.c_str(), header.value.c_str());
    if (!request.body.empty()) {
        BytesHandle bytes(g_bytes_new(request.body.data(), request.body.size()));
        soup_message_set_request_body_from_bytes(call->message.get(), "application/json", bytes.get());
    }
    call->timer = runLater(timeout, [weak] {
        if (auto held = weak.lock()) {
            held->isTimedOut = true;
            g_cancellable_cancel(held->cancellable.get());
        }
    });
    // Sends from the main loop, so that the caller can still set onResponse and further options of the call.
    GSource* source = g_idle_source_new();
    g_source_set_priority(source, G_PRIORITY_DEFAULT);
    g_source_set_callback(
        source,
        [](gpointer data) -> gboolean {
            std::shared_ptr<Call>& held = *static_cast<std::shared_ptr<Call>*>(data);
            if (!held->isClientDestroyed())
                held->send();
            return G_SOURCE_REMOVE;
        },
        call->makeReference(), [](gpointer data) { delete static_cast<std::shared_ptr<Call>*>(data); });
    g_source_attach(source, currentContext());
    g_source_unref(source);
    return call;
}

void StoreClient::get(std::string_view kind, std::string_view name, Callback<StoredObject> callback)
{
    ++m_callCounts[std::string(kind)].reads;
    auto call = startCall(makeStoreCall(StoreVerb::Get, kind, name), "store.get", m_timeout);
    Error errorContext = call->makeError(ErrorCode::Malformed);
    call->onResponse = [this, errorContext, kind = std::string(kind), name = std::string(name),
                           callback = std::move(callback)](Result<StoreHttpResponse> result) {
        if (!result)
            return callback(result.error());
        uint32_t status = result.value().status;
        if (auto ec = m_dialect.errorOf(StoreVerb::Get, status))
            return callback(Error { *ec, errorContext.step, errorContext.peer, describeStatus(status) });
        auto object = m_dialect.decodeObject(makeStoreCall(StoreVerb::Get, kind, name), std::move(result.value()));
        if (!object)
            return callback(Error { errorContext.code, errorContext.step, errorContext.peer,
                "the response is not an object with a version" });
        object->version = m_shared->history.versionOf(object->version);
        callback(std::move(*object));
    };
}

void StoreClient::put(std::string_view kind, std::string_view name, const std::string& value, uint64_t version,
    Callback<uint64_t> callback)
{
    ++m_callCounts[std::string(kind)].writes;
    StoreVerb verb = version ? StoreVerb::Replace : StoreVerb::Create;
    StoreCall parameters = makeStoreCall(verb, kind, name, revisionOf(version));
    bool isTooLarge = value.size() > maxStoreValueBytes;
    if (!isTooLarge)
        parameters.value = value;
    auto call = startCall(parameters, "store.put", m_timeout);
    call->isWrite = true;
    Error errorContext = call->makeError(ErrorCode::AnswerLost);
    if (isTooLarge)
        return failUnsent(call, call->makeError(ErrorCode::TooLarge, "the value exceeds 1 MB"), std::move(callback));
    if (version && !isCurrent(version))
        return failUnsent(
            call, call->makeError(ErrorCode::Conflict, "the version is of an earlier era"), std::move(callback));
    soup_message_add_flags(call->message.get(), SOUP_MESSAGE_NEW_CONNECTION);
    call->onResponse = [this, errorContext, verb, callback = std::move(callback)](
                           const Result<StoreHttpResponse>& result) {
        if (!result)
            return callback(result.error());
        const StoreHttpResponse& response = result.value();
        if (auto ec = m_dialect.errorOf(verb, response.status)) {
            // A replaced object that no longer exists does not have the expected version.
            ErrorCode code = *ec == ErrorCode::NotFound ? ErrorCode::Conflict : *ec;
            return callback(Error { code, errorContext.step, errorContext.peer, describeStatus(response.status) });
        }
        auto written = m_dialect.decodeVersion(response);
        if (!written)
            return callback(
                Error { errorContext.code, errorContext.step, errorContext.peer, "no version in the response" });
        callback(m_shared->history.versionOf(*written));
    };
}

void StoreClient::failUnsent(const std::shared_ptr<Call>& call, const Error& error, Callback<uint64_t> callback)
{
    g_cancellable_cancel(call->cancellable.get());
    call->onResponse = [error, callback = std::move(callback)](const Result<StoreHttpResponse>&) { callback(error); };
}

void StoreClient::remove(std::string_view kind, std::string_view name, uint64_t version, Callback<uint64_t> callback)
{
    ++m_callCounts[std::string(kind)].writes;
    auto call = startCall(makeStoreCall(StoreVerb::Remove, kind, name, revisionOf(version)), "store.remove", m_timeout);
    call->isWrite = true;
    if (!isCurrent(version))
        return failUnsent(
            call, call->makeError(ErrorCode::Conflict, "the version is of an earlier era"), std::move(callback));
    soup_message_add_flags(call->message.get(), SOUP_MESSAGE_NEW_CONNECTION);
    Error errorContext = call->makeError(ErrorCode::AnswerLost);
    call->onResponse
        = [this, errorContext, version, callback = std::move(callback)](const Result<StoreHttpResponse>& result) {
              if (!result)
                  return callback(result.error());
              const StoreHttpResponse& response = result.value();
              if (auto ec = m_dialect.errorOf(StoreVerb::Remove, response.status))
                  return callback(Error { *ec, errorContext.step, errorContext.peer, describeStatus(response.status) });
              auto removed = m_dialect.decodeVersion(response);
              callback(removed ? m_shared->history.versionOf(*removed) : version);
          };
}

void StoreClient::list(std::string_view kind, Callback<std::vector<StoredObject>> callback)
{
    listFrom(std::string(kind), "", {}, std::move(callback));
}

// The store may split a long list into pages. Each page takes a call of its own.
void StoreClient::listFrom(const std::string& kind, const std::string& after,
    std::vector<StoredObject>&& previousObjects, Callback<std::vector<StoredObject>> callback)
{
    ++m_callCounts[kind].lists;
    StoreCall parameters = makeStoreCall(StoreVerb::List, kind, {});
    parameters.after = after;
    auto call = startCall(parameters, "store.list", m_timeout);
    call->maxBodyBytes = maxListBytes;
    if (!after.empty())
        call->overtaken = ErrorCode::Unavailable;
    Error errorContext = call->makeError(ErrorCode::Malformed);
    call->onResponse = [this, errorContext, kind, previousObjects = std::move(previousObjects),
                           callback = std::move(callback)](Result<StoreHttpResponse> result) mutable {
        if (!result)
            return callback(result.error());
        uint32_t status = result.value().status;
        if (auto ec = m_dialect.errorOf(StoreVerb::List, status))
            return callback(Error { *ec, errorContext.step, errorContext.peer, describeStatus(status) });
        auto page = m_dialect.decodePage(makeStoreCall(StoreVerb::List, kind, {}), std::move(result.value()));
        if (!page)
            return callback(Error {
                errorContext.code, errorContext.step, errorContext.peer, "the response is not a list of objects" });
        for (StoredObject& it : page->objects)
            it.version = m_shared->history.versionOf(it.version);
        bool isOvertaken = !previousObjects.empty() && !isCurrent(previousObjects.front().version);
        if (isOvertaken)
            return callback(Error { ErrorCode::Unavailable, errorContext.step, errorContext.peer,
                "the store has begun a new era between two pages" });
        std::ranges::move(page->objects, std::back_inserter(previousObjects));
        if (page->hasMore && !page->objects.empty())
            return listFrom(kind, previousObjects.back().name, std::move(previousObjects), std::move(callback));
        m_shared->history.advance(kind, page->revision);
        callback(std::move(previousObjects));
    };
}

void StoreClient::watch(
    std::string_view kind, std::string_view name, uint64_t version, Duration maxWait, Callback<StoredObject> callback)
{
    ++m_callCounts[std::string(kind)].watches;
    maxWait = std::max<Duration>(1s, std::chrono::duration_cast<std::chrono::seconds>(maxWait));
    // The store keeps only a short history, in which the version of the object may already be missing. So the watch
    // starts from the newest revision seen.
    uint64_t since = std::max(isCurrent(version) ? revisionOf(version) : 0, m_shared->history.position(kind));
    StoreCall parameters = makeStoreCall(StoreVerb::Watch, kind, name, since);
    parameters.maxWait = maxWait;
    auto call = startCall(parameters, "store.watch", maxWait + m_shared->patience.allowedDelay());
    call->overtaken = ErrorCode::Unsupported;
    Error errorContext = call->makeError(ErrorCode::Malformed);
    call->onResponse = [this, errorContext, kind = std::string(kind), name = std::string(name), version,
                           endsAt = currentInstant() + maxWait,
                           callback = std::move(callback)](Result<StoreHttpResponse> result) {
        if (!result) {
            if (result.error().code == ErrorCode::Timeout)
                m_shared->patience.missedResponse();
            return callback(result.error());
        }
        if (Instant now = currentInstant(); now >= endsAt)
            m_shared->patience.responded(now - endsAt);
        uint32_t status = result.value().status;
        if (auto ec = m_dialect.errorOf(StoreVerb::Watch, status))
            return callback(Error { *ec, errorContext.step, errorContext.peer, describeStatus(status) });
        auto page = m_dialect.decodePage(makeStoreCall(StoreVerb::Watch, kind, name), std::move(result.value()));
        if (!page)
            return callback(Error {
                errorContext.code, errorContext.step, errorContext.peer, "the response is not a list of changes" });
        m_shared->history.advance(kind, page->revision);
        // Only the last change of the object matters.
        auto it = std::ranges::find(page->objects.rbegin(), page->objects.rend(), name, &StoredObject::name);
        if (it == page->objects.rend())
            return callback(
                Error { ErrorCode::Unchanged, errorContext.step, errorContext.peer, "the object did not change" });
        it->version = m_shared->history.versionOf(it->version);
        if (it->version <= version)
            return callback(Error { errorContext.code, errorContext.step, errorContext.peer,
                "the response is not newer than the watched version" });
        callback(std::move(*it));
    };
}

} // namespace Gooseberrymill

#include "EntryExchange.h"

#include "core/ClaimLedger.h"
#include "core/RefusalOutcome.h"
#include "FleetAuth.h"
#include "Log.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace Gooseberrymill {

namespace {

constexpr size_t maxUnsentBodyBytes = 64 << 10; // the caller is paused above this many unsent request body bytes
constexpr size_t maxReplayBodyBytes = 64 << 10; // sent part of a request body that is kept for a retry
constexpr size_t maxBufferedResponseBytes = 64 << 10; // a response up to this size is written only when complete
constexpr size_t writeHighWatermark = 256 << 10; // the executor is paused above this many unwritten response bytes
constexpr size_t writeLowWatermark = 64 << 10; // the executor is resumed below this many unwritten response bytes
constexpr uint64_t maxDiscardedBytes = 1 << 20; // unused request body that is read before the connection is reset
constexpr uint32_t maxChunksPerTurn = 64; // pieces of a request body that are read before other callers get their turn
// Attempts beyond maxAttempts, for executors that reject the request before dispatch. Each costs a round trip to a
// node.
constexpr uint32_t maxUndispatchedRetries = 6;
// Timeout for an executor to accept a request. It covers a new connection and three round trips when CPU quota
// throttling suspends the process for the remainder of each 100 ms period.
constexpr Duration sameRegionAcceptTimeout = 300ms; // executor in the region of this entry
constexpr Duration crossRegionAcceptTimeout = 700ms; // executor in another region
constexpr uint32_t maxAcceptTimeoutDoublings = 4; // limits the accept timeout to 16 times its first value
// Retry-After of temporary refusals: some upstream should have recovered by then.
constexpr uint32_t defaultRetryAfterMs = 1000;
constexpr Duration executorDiscoveryTimeout = 1s; // membership updates reach every member within this time
constexpr Duration truncationLimit = 1s; // a caller that has not taken a truncated response by then gets a reset
constexpr guint firstServerError = 500;
constexpr guint tooManyRequests = 429;
constexpr std::string_view tokenPath = "/.gooseberrymill/token";

guint statusOf(const Refusal& refusal)
{
    switch (refusal.reason) {
    case RefusalReason::BadRequest:
        return SOUP_STATUS_BAD_REQUEST;
    case RefusalReason::NoRoute:
        return SOUP_STATUS_NOT_FOUND;
    case RefusalReason::KeyUnknown:
        return refusal.dispatched || refusal.outcome == Outcome::Ran ? SOUP_STATUS_BAD_GATEWAY
                                                                     : SOUP_STATUS_UNAUTHORIZED;
    case RefusalReason::QuotaExceeded:
        return tooManyRequests;
    case RefusalReason::BodyTooLarge:
        return SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE;
    case RefusalReason::KeyReused:
        return SOUP_STATUS_UNPROCESSABLE_ENTITY;
    case RefusalReason::DeadlineExceeded:
        return refusal.outcome == Outcome::NotRun ? SOUP_STATUS_SERVICE_UNAVAILABLE : SOUP_STATUS_GATEWAY_TIMEOUT;
    default:
        return refusal.outcome == Outcome::NotRun ? SOUP_STATUS_SERVICE_UNAVAILABLE : SOUP_STATUS_BAD_GATEWAY;
    }
}

// Path and query as the caller sent them.
std::string targetOf(GUri* uri)
{
    std::string target = g_uri_get_path(uri);
    if (target.empty())
        target = "/";
    if (const char* query = g_uri_get_query(uri))
        target += std::string("?") + query;
    return target;
}

std::string queryValue(GUri* uri, const char* name)
{
    const char* query = g_uri_get_query(uri);
    if (!query)
        return "";
    GHashTable* form = soup_form_decode(query);
    const char* value = static_cast<const char*>(g_hash_table_lookup(form, name));
    std::string result = value ? value : "";
    g_hash_table_unref(form);
    return result;
}

std::string remoteHost(SoupServerMessage* message)
{
    GSocketAddress* address = soup_server_message_get_remote_address(message);
    if (!address || !G_IS_INET_SOCKET_ADDRESS(address))
        return "";
    char* text = g_inet_address_to_string(g_inet_socket_address_get_address(G_INET_SOCKET_ADDRESS(address)));
    std::string result = text;
    g_free(text);
    return result;
}

int64_t millisSince(Instant start)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(currentInstant() - start).count();
}

uint32_t millisLeft(Instant deadline)
{
    auto left = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - currentInstant()).count();
    return static_cast<uint32_t>(std::clamp<int64_t>(left, 0, UINT32_MAX));
}

// libsoup drops the length of a 204 as it writes the head, and then takes the response for one that ends with its
// connection.
void keepConnectionWithoutBody(SoupServerMessage* message)
{
    auto setNone = +[](SoupServerMessage* it, gpointer) {
        soup_message_headers_set_encoding(soup_server_message_get_response_headers(it), SOUP_ENCODING_NONE);
    };
    g_signal_connect(message, "wrote-headers", G_CALLBACK(setNone), nullptr);
}

} // namespace

EntryExchange::EntryExchange(EntryWorker& worker, SoupServerMessage* message)
    : m_worker(worker)
    , m_message(shareObject(message))
    , m_routes(worker.m_routes)
    , m_socket(soup_server_message_get_socket(message))
    , m_requestId(randomId())
{
    const char* idName = worker.m_hooks.headers.requestId;
    const char* id
        = idName ? soup_message_headers_get_one(soup_server_message_get_request_headers(message), idName) : nullptr;
    m_publicId = id ? id : toString(m_requestId);
    soup_message_body_set_accumulate(soup_server_message_get_request_body(message), FALSE);
    soup_message_body_set_accumulate(soup_server_message_get_response_body(message), FALSE);
    g_signal_connect(message, "got-chunk", G_CALLBACK(onGotChunk), this);
    g_signal_connect(message, "got-body", G_CALLBACK(onGotBody), this);
    g_signal_connect(message, "wrote-body-data", G_CALLBACK(onWroteBodyData), this);
    g_signal_connect(message, "finished", G_CALLBACK(onFinished), this);
}

EntryExchange::~EntryExchange() { detach(); }

void EntryExchange::detach()
{
    m_finished = true;
    if (m_call)
        m_call->cancel();
    m_call.reset();
    if (m_message)
        g_signal_handlers_disconnect_by_data(m_message.get(), this);
    m_message.reset();
}

// libsoup 3.2.3 writes a regular end of a chunked body when it frees an unfinished message. Resetting the connection
// first keeps the caller from taking a truncated response for a complete one.
void EntryExchange::resetConnection()
{
    GSocket* socket = soup_server_message_get_socket(m_message.get());
    if (!socket || g_socket_is_closed(socket))
        return;
    // libsoup caches the address, which it reads once more when the message finishes.
    soup_server_message_get_local_address(m_message.get());
    closeWithReset(socket);
}

//-----------------------------------------------------------------------------
// [SECTION] Signals of the caller's message
//-----------------------------------------------------------------------------

void EntryExchange::onGotChunk(SoupServerMessage* /*message*/, GBytes* bytes, gpointer data)
{
    auto self = static_cast<EntryExchange*>(data)->shared_from_this();
    self->receiveBodyChunk(bytes);
    self->limitTurn();
}

// libsoup reads as long as there is input, so that a caller which writes fast would hold the worker.
void EntryExchange::limitTurn()
{
    if (m_finished || ++m_chunksInTurn < maxChunksPerTurn)
        return;
    m_chunksInTurn = 0;
    m_hasEndedTurn = true;
    updatePause();
    m_nextTurn = callAfter(m_worker.m_task.context(), {}, [weak = weak_from_this()] {
        if (auto self = weak.lock(); self && !self->m_finished) {
            self->m_hasEndedTurn = false;
            self->updatePause();
        }
        return false;
    });
}

void EntryExchange::receiveBodyChunk(GBytes* bytes)
{
    gsize size = 0;
    const auto* data = static_cast<const char*>(g_bytes_get_data(bytes, &size));
    m_receivedBytes += size;
    if (m_discardsBody || m_respondedLocally || m_responseComplete) {
        if (m_receivedBytes > maxDiscardedBytes)
            abortCaller();
        return;
    }
    if (m_receivedBytes > m_match.route->maxBodyBytes) {
        refuseLocally(RefusalReason::BodyTooLarge, "entry.body");
        return;
    }
    m_unsentBody.append(data, size);
    pumpBody();
    updatePause();
}

void EntryExchange::onGotBody(SoupServerMessage* /*message*/, gpointer data)
{
    auto self = static_cast<EntryExchange*>(data)->shared_from_this();
    // libsoup 3.2.3 reports a connection that closes between two chunks as the end of the body.
    bool chunked = self->m_head.bodyLength < 0;
    if (chunked && !self->m_respondedLocally && self->isCallerDisconnected()) {
        self->abortCaller();
        return;
    }
    self->m_bodyReceived = true;
    if (self->isTooLateToRun())
        self->refuseLocally(RefusalReason::Draining, "entry.drain");
    self->pumpBody();
    self->updatePause();
}

// True if this process is shutting down and may end before the request, which no upstream can have received yet.
bool EntryExchange::isTooLateToRun() const
{
    bool isOpen = !m_finished && !m_respondedLocally && !m_responseHeadReceived;
    return isOpen && !m_worker.takesRequests() && !m_dispatched && !mayHaveBeenDispatched();
}

void EntryExchange::onWroteBodyData(SoupServerMessage* /*message*/, guint size, gpointer data)
{
    auto self = static_cast<EntryExchange*>(data)->shared_from_this();
    self->m_unwrittenBytes -= std::min<size_t>(self->m_unwrittenBytes, size);
    if (self->m_unwrittenBytes < writeLowWatermark && self->m_call)
        self->m_call->resume();
}

void EntryExchange::onFinished(SoupServerMessage* /*message*/, gpointer data)
{
    auto self = static_cast<EntryExchange*>(data)->shared_from_this();
    self->onMessageFinished();
}

void EntryExchange::onMessageFinished()
{
    if (m_finished)
        return;
    returnUnusedQuota();
    cancelCall();
    end();
}

bool EntryExchange::isCallerDisconnected() const
{
    return isClosedByPeer(soup_server_message_get_socket(m_message.get()));
}

void EntryExchange::sweep(Instant now)
{
    if (m_finished || m_respondedLocally || m_responseComplete)
        return;
    if (m_truncatedAt)
        return truncateResponse(now);
    // libsoup does not watch the socket while the message is paused.
    if (m_paused && isCallerDisconnected()) {
        abortCaller();
        return;
    }
    if (m_retryOnSweep && now < m_deadline) {
        auto action = std::exchange(m_retryOnSweep, nullptr);
        action();
        return;
    }
    if (now < m_deadline && hasAcceptTimedOut(now)) {
        handleAcceptTimeout();
        return;
    }
    bool isEnding = m_worker.m_drain && now >= m_worker.m_drain->answerBy();
    if ((now < m_deadline && !isEnding) || m_responseHeadWritten)
        return;
    if (now >= m_deadline)
        return refuseLocally(RefusalReason::DeadlineExceeded, "entry.deadline");
    bool mayHaveRun = m_dispatched || (m_call && m_call->isHeadWritten() && mayHaveBeenDispatched());
    refuseLocally(mayHaveRun ? RefusalReason::DeadlineExceeded : RefusalReason::Draining, "entry.drain");
}

//-----------------------------------------------------------------------------
// [SECTION] Log
//-----------------------------------------------------------------------------

std::string_view EntryExchange::publicId() const { return m_publicId; }

void EntryExchange::logRetry(const Refusal& refusal) const
{
    log(LogLevel::Info, "request.placed_again",
        { { "request", publicId() }, { "service", m_head.service }, { "upstream", m_upstream },
            { "reason", toString(refusal.reason) }, { "step", refusal.step }, { "dispatched", refusal.dispatched },
            { "upstream_state", toString(refusal.load.state) }, { "failure_percent", refusal.load.failurePercent },
            { "queued", refusal.load.queued }, { "attempts", m_plan->attempts() },
            { "elapsed_ms", millisSince(m_startedAt) } });
}

void EntryExchange::logRefused(const Refusal& refusal) const
{
    log(LogLevel::Warning, "request.refused",
        { { "request", publicId() }, { "service", m_head.service }, { "route", m_head.route },
            { "organisation", m_head.organisation }, { "upstream", m_upstream }, { "reason", toString(refusal.reason) },
            { "step", refusal.step }, { "peer", refusal.peer }, { "outcome", toString(refusal.outcome) },
            { "dispatched", refusal.dispatched }, { "retry_after_ms", refusal.retryAfterMs },
            { "attempts", m_plan ? m_plan->attempts() : 0U }, { "configuration_digest", m_head.configurationDigest },
            { "elapsed_ms", millisSince(m_startedAt) } });
}

void EntryExchange::logErrorResponse() const
{
    log(LogLevel::Warning, "request.failed_answer",
        { { "request", publicId() }, { "service", m_head.service }, { "route", m_head.route },
            { "upstream", m_upstream }, { "status", m_response.status },
            { "failure_percent", m_response.load.failurePercent }, { "attempts", m_plan->attempts() },
            { "repeatable", m_match.route->repeatable }, { "elapsed_ms", millisSince(m_startedAt) } });
}

//-----------------------------------------------------------------------------
// [SECTION] Preparation
//-----------------------------------------------------------------------------

void EntryExchange::start()
{
    GUri* uri = soup_server_message_get_uri(m_message.get());
    if (g_uri_get_path(uri) == tokenPath) {
        serveToken(queryValue(uri, "service"));
        return;
    }
    if (!findRoute() || !checkLimits())
        return;
    buildHead();
    if (!authorize() || !parseOperation())
        return;
    requestQuota();
}

void EntryExchange::startRequest()
{
    if (m_worker.m_hooks.offered)
        m_worker.m_hooks.offered(*m_match.service);
    uint32_t maxAttempts = m_match.route->maxAttempts ? m_match.route->maxAttempts : m_match.service->retry.maxAttempts;
    std::function<bool()> allowRetry;
    if (m_worker.m_hooks.allowRetry)
        allowRetry = [this] { return m_worker.m_hooks.allowRetry(*m_match.service); }; // the route may move meanwhile
    m_plan.emplace(m_match.route->repeatable, maxAttempts, std::move(allowRetry), maxUndispatchedRetries);
    startAttempt();
}

std::optional<RouteTable::Match> EntryExchange::matchRoute() const
{
    const char* host = soup_message_headers_get_one(soup_server_message_get_request_headers(m_message.get()), "Host");
    return m_routes->match(soup_server_message_get_method(m_message.get()),
        targetOf(soup_server_message_get_uri(m_message.get())), host ? host : "");
}

bool EntryExchange::findRoute()
{
    if (!m_routes || m_routes->documents().empty()) {
        refuseLocally(RefusalReason::NoConfiguration, "entry.route", {}, 1s);
        return false;
    }
    auto* headers = soup_server_message_get_request_headers(m_message.get());
    auto match = matchRoute();
    std::string ownService = m_worker.m_settings.upstreamService;
    const char* claimedService = soup_message_headers_get_one(headers, m_worker.m_hooks.headers.callerService);
    std::string service = ownService.empty() && claimedService ? claimedService : ownService;
    bool hidden = match && match->route->internal && !m_routes->service(service);
    if (!match || hidden) {
        refuseLocally(RefusalReason::NoRoute, "entry.route");
        return false;
    }
    m_match = m_routes->drawSplit(*match, m_requestId.low);
    return true;
}

bool EntryExchange::rerouteByNewerConfiguration()
{
    if (m_routes == m_worker.m_routes)
        return false;
    m_routes = m_worker.m_routes;
    auto match = matchRoute();
    if (!match)
        return false;
    m_match = m_routes->drawSplit(*match, m_requestId.low);
    m_head.service = m_match.service->name;
    m_head.route = m_match.route->name;
    return true;
}

bool EntryExchange::checkLimits()
{
    auto* headers = soup_server_message_get_request_headers(m_message.get());
    if (headerBytes(headers) > m_worker.m_settings.maxHeaderBytes) {
        refuseLocally(RefusalReason::BadRequest, "entry.headers", "headers too large");
        return false;
    }
    bool hasContentLength = soup_message_headers_get_encoding(headers) == SOUP_ENCODING_CONTENT_LENGTH;
    if (hasContentLength
        && static_cast<uint64_t>(soup_message_headers_get_content_length(headers)) > m_match.route->maxBodyBytes) {
        refuseLocally(RefusalReason::BodyTooLarge, "entry.body");
        return false;
    }
    return true;
}

void EntryExchange::buildHead()
{
    auto* headers = soup_server_message_get_request_headers(m_message.get());
    m_head.requestId = m_requestId;
    m_head.service = m_match.service->name;
    m_head.route = m_match.route->name;
    m_head.method = soup_server_message_get_method(m_message.get());
    m_head.target = targetOf(soup_server_message_get_uri(m_message.get()));
    m_head.headers = endToEndHeaders(headers);
    SoupEncoding encoding = soup_message_headers_get_encoding(headers);
    if (encoding == SOUP_ENCODING_CHUNKED)
        m_head.bodyLength = -1;
    else if (encoding == SOUP_ENCODING_CONTENT_LENGTH)
        m_head.bodyLength = soup_message_headers_get_content_length(headers);
    if (m_worker.m_hooks.configurationDigest)
        m_head.configurationDigest = m_worker.m_hooks.configurationDigest();

    auto timeout = m_match.route->deadline;
    const HeaderProfile& profile = m_worker.m_hooks.headers;
    if (const Header* requestedTimeout = findHeader(m_head.headers, profile.deadline)) {
        guint64 millis = g_ascii_strtoull(requestedTimeout->value.c_str(), nullptr, 10);
        if (millis)
            timeout = std::min<Duration>(timeout, std::chrono::milliseconds(std::min<guint64>(millis, UINT32_MAX)));
    }
    m_deadline = currentInstant() + timeout;
    removeHeaders(m_head.headers, profile.deadline);
    removeHeaders(m_head.headers, profile.expectedInstance);
    if (const std::string& ownService = m_worker.m_settings.upstreamService; !ownService.empty()) {
        // Callers here are the upstream of this instance, so its service name replaces any name the request claims.
        removeHeaders(m_head.headers, profile.callerService);
        m_head.headers.push_back({ profile.callerService, ownService });
    }
    if (!profile.addsProxyHeaders)
        return;
    removeHeaders(m_head.headers, HeaderName::requestId);
    m_head.headers.push_back({ HeaderName::requestId, toString(m_requestId) });
    const Header* forwarded = findHeader(m_head.headers, HeaderName::forwardedFor);
    std::string chain = forwarded ? forwarded->value + ", " : "";
    removeHeaders(m_head.headers, HeaderName::forwardedFor);
    m_head.headers.push_back({ HeaderName::forwardedFor, chain + remoteHost(m_message.get()) });
}

bool EntryExchange::parseOperation()
{
    const Header* key = findHeader(m_head.headers, HeaderName::idempotencyKey);
    const Header* token = findHeader(m_head.headers, HeaderName::operationToken);
    if (m_match.route->repeatable || (!key && !token))
        return true;
    if (key && token) {
        refuseLocally(
            RefusalReason::BadRequest, "entry.operation", "both Idempotency-Key and Operation-Token are present");
        return false;
    }
    if (key) {
        auto id = parseId128(key->value);
        if (!id || !uuidTime(*id)) {
            refuseLocally(RefusalReason::BadRequest, "entry.operation", "Idempotency-Key is not a version 7 UUID");
            return false;
        }
        m_head.operationKind = OperationKind::Key;
        m_head.operation = *id;
        return true;
    }
    std::string_view text = token->value;
    size_t dot = text.find('.');
    auto executor = parseId128(text.substr(0, dot));
    auto operation = dot == std::string_view::npos ? std::nullopt : parseId128(text.substr(dot + 1));
    if (!executor || !operation) {
        refuseLocally(RefusalReason::BadRequest, "entry.operation", "Operation-Token is malformed");
        return false;
    }
    m_head.operationKind = OperationKind::Token;
    m_head.executor = *executor;
    m_head.operation = *operation;
    return true;
}

void EntryExchange::serveToken(std::string_view service)
{
    static const Route tokenRoute = [] {
        Route route;
        route.repeatable = true;
        return route;
    }();
    m_match.route = &tokenRoute;
    std::string_view method = soup_server_message_get_method(m_message.get());
    if (method != "POST" || service.empty()) {
        refuseLocally(
            RefusalReason::BadRequest, "entry.token", "a POST request with the query parameter 'service' is required");
        return;
    }
    m_deadline = currentInstant() + tokenRoute.deadline;
    const Candidate* candidate = m_worker.m_balancer->choose(
        { .service = service, .workClass = WorkClass::Critical, .repeatable = true, .affinity = {}, .exclude = {} },
        currentInstant());
    if (!candidate) {
        refuseLocally(RefusalReason::NoUpstream, "entry.token", {}, 1s);
        return;
    }
    m_discardsBody = true;
    m_worker.m_client.query(candidate->relayAddress, TokenQuery { m_requestId, std::string(service) },
        [weak = weak_from_this()](Result<RelayMessage> result) {
            auto self = weak.lock();
            if (!self || self->m_finished)
                return;
            auto* reply = result ? std::get_if<TokenReply>(&result.value()) : nullptr;
            if (!reply || reply->requestId != self->m_requestId) {
                self->refuseLocally(RefusalReason::RelayFailed, "entry.token", {}, 1s);
                return;
            }
            nlohmann::ordered_json body { { "token", toString(reply->executor) + "." + toString(reply->operation) },
                { "lifetimeMs", reply->lifetimeMs } };
            self->addCommonHeaders(Outcome::Ran);
            self->respondJson(SOUP_STATUS_OK, body.dump());
        });
    updatePause();
}

//-----------------------------------------------------------------------------
// [SECTION] Attempts
//-----------------------------------------------------------------------------

void EntryExchange::startAttempt()
{
    Instant now = currentInstant();
    const Candidate* candidate = nullptr;
    if (m_head.executor) {
        candidate = m_worker.findExecutor(m_head.service, m_head.executor);
        if (!candidate && waitForExecutor([this] { startAttempt(); }))
            return;
        if (!candidate) {
            // Only the incarnation that issued the token knows whether the operation ran.
            Refusal refusal;
            refusal.outcome = Outcome::Unknown;
            refusal.reason = RefusalReason::HolderGone;
            refusal.step = "entry.executor";
            respondRefusal(refusal);
            return;
        }
    } else {
        BalanceRequest request { m_head.service, m_match.route->workClass, m_match.route->repeatable, std::nullopt,
            m_plan->tried() };
        if (m_head.operationKind == OperationKind::Key)
            request.affinity = claimAffinity(m_head.operation);
        candidate = m_worker.m_balancer->choose(request, now);
    }
    if (candidate)
        sendTo(*candidate);
    else
        refuseLocally(RefusalReason::NoUpstream, "entry.balance", {}, 1s);
}

void EntryExchange::sendTo(const Candidate& candidate)
{
    if (!checkAuthorization())
        return;
    m_upstream = candidate.upstream;
    m_node = candidate.node;
    m_plan->started(m_upstream);
    m_worker.m_balancer->started(m_upstream, currentInstant());
    m_head.upstream = m_upstream;
    m_head.deadlineMs = millisLeft(m_deadline);
    setAcceptableWait();
    // A repeatable request with a body streams it at once, and the executor may dispatch it before the body ends. Any
    // other request waits for the executor's Continue before its body is sent.
    m_head.wantsContinue = !m_match.route->repeatable || !m_head.bodyLength;
    m_bodyEndSent = !m_head.bodyLength && !m_head.wantsContinue;
    m_sentAt = currentInstant();
    m_isExecutorInOwnRegion = candidate.location->region == m_worker.m_settings.location.region;
    std::weak_ptr<EntryExchange> weak = weak_from_this();
    auto bind = [weak](auto method) {
        return [weak, method](auto&&... arguments) {
            if (auto self = weak.lock(); self && !self->m_finished)
                ((*self).*method)(std::forward<decltype(arguments)>(arguments)...);
        };
    };
    RelayCall::Handlers handlers { bind(&EntryExchange::onHead), bind(&EntryExchange::onChunk),
        bind(&EntryExchange::onEnd), bind(&EntryExchange::onRefusal), bind(&EntryExchange::onCallFailed),
        [weak] {
            if (auto self = weak.lock(); self && !self->m_finished) {
                self->pumpBody();
                self->updatePause();
            }
        },
        bind(&EntryExchange::onNotice) };
    m_notice = {};
    RequestContext context { m_plan->hasReachedUpstream(), m_worker.m_hooks.notices->find(m_upstream, m_sentAt) };
    m_call = m_worker.m_client.call(candidate.relayAddress, m_head, std::move(handlers), std::move(context));
    pumpBody();
}

void EntryExchange::pumpBody()
{
    if (!m_call || m_bodyEndSent)
        return;
    while (!m_unsentBody.empty() && m_call->isWritable()) {
        std::string bytes = m_unsentBody.substr(0, maxChunkBytes);
        m_unsentBody.erase(0, bytes.size());
        m_isBodyReplayable = m_isBodyReplayable && m_sentBody.size() + bytes.size() <= maxReplayBodyBytes;
        if (m_isBodyReplayable)
            m_sentBody += bytes;
        else
            m_sentBody.clear();
        m_call->sendChunk(std::move(bytes));
    }
    if (m_unsentBody.empty() && m_bodyReceived && m_call->isWritable()) {
        m_bodyEndSent = true;
        m_call->endBody();
    }
}

void EntryExchange::onNotice(UpstreamNotice&& notice) { m_notice = std::move(notice); }

// Only an answer of the upstream ends what it asked for earlier: an executor that refuses may not have heard of it yet.
void EntryExchange::applyNotice(bool isAnswered)
{
    Instant now = currentInstant();
    if (!isAnswered && m_notice.process.empty())
        return;
    m_worker.m_balancer->pause(m_upstream, now + std::chrono::milliseconds(m_notice.waitMs));
    m_worker.m_hooks.notices->update(m_upstream, m_notice, now);
}

void EntryExchange::onHead(ResponseHead&& head)
{
    Instant now = currentInstant();
    applyNotice(true);
    receiveProof(head.proof);
    m_responseHeadReceived = true;
    m_worker.m_balancer->pathResult(m_node, true, now);
    m_worker.m_balancer->finished(m_upstream, head.load, now);
    m_response = std::move(head);
}

void EntryExchange::onChunk(std::string&& bytes)
{
    if (m_responseHeadWritten) {
        appendBody(std::move(bytes));
        return;
    }
    m_bufferedResponse += bytes;
    if (m_bufferedResponse.size() <= maxBufferedResponseBytes)
        return;
    writeHead(m_response.bodyLength);
    appendBody(std::exchange(m_bufferedResponse, {}));
}

void EntryExchange::onEnd()
{
    m_call.reset();
    if (retryErrorResponse())
        return;
    if (m_response.status >= firstServerError)
        logErrorResponse();
    m_responseComplete = true;
    if (!m_responseHeadWritten) {
        writeHead(m_head.method == "HEAD" ? m_response.bodyLength : static_cast<int64_t>(m_bufferedResponse.size()));
        if (!m_bufferedResponse.empty())
            appendBody(std::exchange(m_bufferedResponse, {}));
    }
    soup_message_body_complete(soup_server_message_get_response_body(m_message.get()));
    updatePause();
}

// Retries a repeatable request on another upstream after a 5xx response, as long as that response is still buffered.
bool EntryExchange::retryErrorResponse()
{
    bool isFailure = m_response.status >= firstServerError && m_match.route->repeatable;
    if (!isFailure || m_responseHeadWritten || !m_plan->acquireRetry(true, RefusalReason::Degraded, m_isBodyReplayable))
        return false;
    Refusal failure;
    failure.dispatched = true;
    failure.reason = RefusalReason::Degraded;
    failure.step = "entry.answer";
    failure.load = m_response.load;
    m_dispatched = true;
    ResponseHead bufferedHead = std::exchange(m_response, {});
    std::string body = std::exchange(m_bufferedResponse, {});
    m_responseHeadReceived = false;
    if (retryElsewhere(failure))
        return true;
    m_response = std::move(bufferedHead);
    m_bufferedResponse = std::move(body);
    m_responseHeadReceived = true;
    return false;
}

void EntryExchange::onRefusal(Refusal&& refusal)
{
    Instant now = currentInstant();
    m_worker.m_balancer->pathResult(m_node, true, now);
    m_worker.m_balancer->finished(m_upstream, refusal.load, now);
    applyNotice(false);
    receiveProof(refusal.proof);
    m_call.reset();
    if (refusal.reason == RefusalReason::RateLimited && m_notice.waitMs < m_shortestWaitMs) {
        m_shortestWaitMs = m_notice.waitMs;
        m_soonestUpstream = m_upstream;
    }
    if (refusal.reason == RefusalReason::Degraded && refusal.load.failurePercent < m_leastFailurePercent) {
        m_leastFailurePercent = refusal.load.failurePercent;
        m_leastFailingUpstream = m_upstream;
    }
    if (refusal.reason == RefusalReason::SlotsTaken)
        m_passOn.refused(m_upstream, std::chrono::milliseconds(refusal.retryAfterMs), m_passOnStep);
    if (refusal.reason == RefusalReason::HeldElsewhere && forwardToHolder(refusal))
        return;
    retryOrRespond(std::move(refusal));
}

void EntryExchange::onCallFailed(const Error& error, Outcome outcome)
{
    Instant now = currentInstant();
    m_call.reset();
    if (!m_responseHeadReceived)
        m_worker.m_balancer->abandoned(m_upstream, now);
    m_worker.m_balancer->pathResult(m_node, false, now);
    if (m_responseHeadWritten) {
        truncateResponse(now);
        return;
    }
    m_responseHeadReceived = false;
    m_bufferedResponse.clear();
    Refusal refusal;
    refusal.dispatched = outcome != Outcome::NotRun && mayHaveBeenDispatched();
    refusal.reason = RefusalReason::RelayFailed;
    refusal.outcome = outcomeOf({ refusal.reason, refusal.dispatched, namesOperation() });
    refusal.step = error.step;
    refusal.peer = error.peer;
    retryOrRespond(std::move(refusal));
}

// An executor dispatches a repeatable request while its body still arrives, and any other request only after it has
// received the whole body.
bool EntryExchange::mayHaveBeenDispatched() const
{
    return (m_match.route->repeatable && !m_head.wantsContinue) || m_bodyEndSent;
}

// The executor's node may be frozen, overloaded or partitioned, or the connection may be dead. The timeout doubles
// after each attempt that exceeded it, so that requests still succeed when the whole fleet is slow.
bool EntryExchange::hasAcceptTimedOut(Instant now) const
{
    if (!m_call || m_call->maySendBody() || m_bodyEndSent || m_responseHeadReceived)
        return false;
    Duration timeout = m_isExecutorInOwnRegion ? sameRegionAcceptTimeout : crossRegionAcceptTimeout;
    return now - m_sentAt > timeout * (1 << std::min(m_acceptTimeouts, maxAcceptTimeoutDoublings));
}

void EntryExchange::handleAcceptTimeout()
{
    ++m_acceptTimeouts;
    m_call->cancel();
    onCallFailed(
        { ErrorCode::Timeout, "relay.accept", m_node, "the executor did not accept the request within the timeout" },
        Outcome::NotRun);
}

// Checks the raw headers, so that it also works before parseOperation() and for malformed keys and tokens.
bool EntryExchange::namesOperation() const
{
    if (m_match.route && m_match.route->repeatable)
        return false;
    auto* headers = soup_server_message_get_request_headers(m_message.get());
    return soup_message_headers_get_one(headers, HeaderName::idempotencyKey)
        || soup_message_headers_get_one(headers, HeaderName::operationToken);
}

void EntryExchange::cancelCall()
{
    if (!m_call)
        return;
    m_call->cancel();
    m_call.reset();
    if (!m_responseHeadReceived)
        m_worker.m_balancer->abandoned(m_upstream, currentInstant());
}

void EntryExchange::retryOrRespond(Refusal&& refusal)
{
    m_dispatched = m_dispatched || refusal.dispatched;
    if (refusal.reason == RefusalReason::NoRoute && !m_dispatched) {
        // The request matched a route here, so the executor uses a different version of the configuration.
        refusal.reason = RefusalReason::NoConfiguration;
        refusal.retryAfterMs = defaultRetryAfterMs;
        if (m_isBodyReplayable && rerouteByNewerConfiguration() && retryElsewhere(refusal)) {
            updatePause();
            return;
        }
    }
    // An executor reports "not run" for a key only if it holds the claim, and then no other executor may run it.
    bool isHeldKey = m_head.operationKind == OperationKind::Key && refusal.outcome == Outcome::NotRun;
    bool isBoundToExecutor = m_head.isInquiry || isHeldKey || m_head.operationKind == OperationKind::Token;
    if (isBoundToExecutor || !m_plan->acquireRetry(refusal.dispatched, refusal.reason, m_isBodyReplayable)) {
        bool mayResend = !isBoundToExecutor && m_isBodyReplayable && hasLastResort(refusal.reason);
        const Candidate* lastResort = mayResend ? chooseLastResort() : nullptr;
        if (lastResort)
            resendTo(*lastResort, refusal);
        else
            respondRefusal(refusal);
        updatePause();
        return;
    }
    // The refusal of the last attempt is more informative than NoUpstream.
    bool isPlaced = refusal.reason == RefusalReason::SlotsTaken ? passOn(refusal) : retryElsewhere(refusal);
    if (!isPlaced)
        respondRefusal(refusal);
    updatePause();
}

// The first choice goes by news that may be old, and only then the executor may return the request.
void EntryExchange::setAcceptableWait()
{
    m_head.acceptableWaitMs = 0;
    bool isFirst = !m_passOn.hasAsked();
    // The body of a repeatable request is on its way before the refusal comes.
    bool keepsBody = !m_match.route->repeatable
        || (m_head.bodyLength >= 0 && static_cast<size_t>(m_head.bodyLength) <= maxReplayBodyBytes);
    bool mayGoOn = m_isBodyReplayable && keepsBody && !namesOperation() && !m_head.isLastChoice;
    if (!m_worker.m_settings.triesOthersWhenFull || !mayGoOn)
        return;
    if (isFirst && m_worker.m_balancer->hasFreshReport(m_upstream, currentInstant()))
        return;
    Duration wait = m_passOn.acceptableWait(m_passOnStep, m_deadline - currentInstant());
    m_head.acceptableWaitMs
        = static_cast<uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(wait).count());
}

bool EntryExchange::passOn(const Refusal& refusal)
{
    BalanceRequest request { m_head.service, m_match.route->workClass, m_match.route->repeatable, std::nullopt,
        m_plan->tried() };
    const Candidate* next = nullptr;
    m_passOnStep = m_passOn.next(m_deadline - currentInstant());
    if (m_passOnStep == PassOnStep::Region) {
        request.reach = BalanceReach::FreeInRegion;
        next = m_worker.m_balancer->choose(request, currentInstant());
        if (!next) {
            m_passOn.regionExhausted();
            m_passOnStep = m_passOn.next(m_deadline - currentInstant());
        }
    }
    if (m_passOnStep == PassOnStep::OtherRegion) {
        request.reach = BalanceReach::FreeElsewhere;
        next = m_worker.m_balancer->choose(request, currentInstant());
    }
    if (!next)
        next = chooseAsked();
    if (!next)
        return retryElsewhere(refusal);
    resendTo(*next, refusal);
    return true;
}

// An upstream whose slots were all taken would have queued the request, so it counts as not tried until it has.
const Candidate* EntryExchange::chooseAsked()
{
    auto candidates = m_worker.m_balancer->candidatesOf(m_head.service);
    for (std::string upstream = m_passOn.shortest(); !upstream.empty(); upstream = m_passOn.shortest()) {
        m_passOnStep = PassOnStep::Queue;
        m_passOn.queued(upstream);
        if (auto it = std::ranges::find(candidates, upstream, &Candidate::upstream); it != candidates.end())
            return &*it;
    }
    return nullptr;
}

bool EntryExchange::retryElsewhere(const Refusal& refusal)
{
    BalanceRequest request { m_head.service, m_match.route->workClass, m_match.route->repeatable, std::nullopt,
        m_plan->tried() };
    const Candidate* next = m_worker.m_balancer->choose(request, currentInstant());
    if (!next)
        next = chooseAsked();
    if (!next && hasLastResort(refusal.reason))
        next = chooseLastResort();
    if (!next)
        return false;
    resendTo(*next, refusal);
    return true;
}

bool EntryExchange::hasLastResort(RefusalReason reason)
{
    return reason == RefusalReason::Degraded || reason == RefusalReason::RateLimited
        || reason == RefusalReason::SlotsTaken;
}

// Every upstream that was tried rejected the request because of its rate limit or recent failures. A healthy one whose
// limit allows a request soon comes first; the one with the lowest failure probability still succeeds more often than a
// refusal does.
const Candidate* EntryExchange::chooseLastResort()
{
    const std::string full = m_passOn.shortest();
    const std::string& other = full.empty() ? m_leastFailingUpstream : full;
    const std::string& upstream = m_soonestUpstream.empty() ? other : m_soonestUpstream;
    if (std::exchange(m_head.isLastChoice, true) || upstream.empty() || m_dispatched)
        return nullptr;
    auto candidates = m_worker.m_balancer->candidatesOf(m_head.service);
    auto it = std::ranges::find(candidates, upstream, &Candidate::upstream);
    return it == candidates.end() ? nullptr : &*it;
}

void EntryExchange::resendTo(const Candidate& next, const Refusal& refusal)
{
    logRetry(refusal);
    m_unsentBody.insert(0, std::exchange(m_sentBody, {}));
    sendTo(next);
}

// An entry that has just started, or whose membership view is stale, may not know every live executor yet.
bool EntryExchange::waitForExecutor(std::function<void()> action)
{
    Instant now = currentInstant();
    if (!m_executorWaitEnd)
        m_executorWaitEnd = now + executorDiscoveryTimeout;
    if (now >= *m_executorWaitEnd)
        return false;
    m_retryOnSweep = std::move(action);
    return true;
}

bool EntryExchange::forwardToHolder(const Refusal& refusal)
{
    m_knownToHaveRun = m_knownToHaveRun || refusal.outcome == Outcome::Ran;
    const Candidate* holder = m_worker.findExecutor(m_head.service, refusal.holder);
    bool mayForward = !m_forwardedToHolder && m_isBodyReplayable;
    auto retryForward = [this, refusal] {
        if (!forwardToHolder(refusal))
            retryOrRespond(Refusal(refusal));
    };
    if (mayForward && !holder && waitForExecutor(retryForward))
        return true;
    if (std::exchange(m_forwardedToHolder, true) || !holder || !m_isBodyReplayable) {
        Refusal unknown = refusal;
        unknown.outcome = Outcome::Unknown;
        unknown.reason = RefusalReason::HolderGone;
        respondRefusal(unknown);
        return true;
    }
    m_head.isInquiry = true;
    m_head.executor = refusal.holder;
    m_unsentBody.insert(0, std::exchange(m_sentBody, {}));
    sendTo(*holder);
    updatePause();
    return true;
}

//-----------------------------------------------------------------------------
// [SECTION] Response
//-----------------------------------------------------------------------------

void EntryExchange::addCommonHeaders(Outcome outcome)
{
    auto* headers = soup_server_message_get_response_headers(m_message.get());
    if (m_worker.m_hooks.headers.addsProxyHeaders || outcome != Outcome::Ran) {
        soup_message_headers_replace(headers, HeaderName::outcome, std::string(toString(outcome)).c_str());
        soup_message_headers_replace(headers, HeaderName::requestId, toString(m_requestId).c_str());
    }
    if (m_worker.m_drain)
        soup_message_headers_replace(headers, "Connection", "close");
}

void EntryExchange::writeHead(int64_t length)
{
    m_responseHeadWritten = true;
    soup_server_message_set_status(m_message.get(), m_response.status, nullptr);
    auto* headers = soup_server_message_get_response_headers(m_message.get());
    for (const Header& header : m_response.headers)
        soup_message_headers_append(headers, header.name.c_str(), header.value.c_str());
    if (m_response.status == SOUP_STATUS_NO_CONTENT)
        keepConnectionWithoutBody(m_message.get());
    if (length >= 0)
        soup_message_headers_set_content_length(headers, length);
    else if (soup_server_message_get_http_version(m_message.get()) == SOUP_HTTP_1_0)
        soup_message_headers_set_encoding(headers, SOUP_ENCODING_EOF);
    else
        soup_message_headers_set_encoding(headers, SOUP_ENCODING_CHUNKED);
    addCommonHeaders(Outcome::Ran);
    updatePause();
}

void EntryExchange::appendBody(std::string&& bytes)
{
    auto* text = new std::string(std::move(bytes));
    BytesHandle chunk(g_bytes_new_with_free_func(
        text->data(), text->size(), [](gpointer data) { delete static_cast<std::string*>(data); }, text));
    m_unwrittenBytes += text->size();
    soup_message_body_append_bytes(soup_server_message_get_response_body(m_message.get()), chunk.get());
    if (m_unwrittenBytes > writeHighWatermark && m_call)
        m_call->pause();
    if (m_bodyReceived)
        soup_server_message_unpause(m_message.get());
}

void EntryExchange::refuseLocally(RefusalReason reason, const char* step, std::string detail, Duration retryAfter)
{
    Refusal refusal;
    refusal.dispatched = m_dispatched || (m_call && m_call->isHeadWritten() && mayHaveBeenDispatched());
    cancelCall();
    refusal.reason = reason;
    refusal.outcome = outcomeOf({ reason, refusal.dispatched, namesOperation() });
    refusal.step = step;
    refusal.peer = std::move(detail);
    refusal.retryAfterMs
        = static_cast<uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(retryAfter).count());
    respondRefusal(refusal);
}

void EntryExchange::respondRefusal(Refusal refusal)
{
    constexpr uint32_t millisPerSecond = 1000;
    // The outcome covers all attempts of the request, not only the last one.
    refusal.dispatched = refusal.dispatched || m_dispatched;
    if (!refusal.dispatched)
        returnQuota();
    if (refusal.dispatched && refusal.outcome == Outcome::NotRun)
        refusal.outcome = Outcome::Unknown;
    if (m_knownToHaveRun && refusal.outcome == Outcome::Unknown) {
        refusal.outcome = Outcome::Ran;
        if (refusal.reason != RefusalReason::DeadlineExceeded)
            refusal.reason = RefusalReason::AnswerNotRecorded;
    }
    bool isTemporary = AttemptPlan::isRetriableElsewhere(refusal.reason);
    if (refusal.outcome == Outcome::NotRun && isTemporary && !refusal.retryAfterMs)
        refusal.retryAfterMs = defaultRetryAfterMs;
    logRefused(refusal);
    nlohmann::ordered_json body { { "outcome", toString(refusal.outcome) }, { "dispatched", refusal.dispatched },
        { "reason", toString(refusal.reason) }, { "step", refusal.step }, { "peer", refusal.peer },
        { "runs", refusal.runs }, { "requestId", toString(m_requestId) } };
    auto* headers = soup_server_message_get_response_headers(m_message.get());
    const HeaderProfile& profile = m_worker.m_hooks.headers;
    if (refusal.retryAfterMs && profile.hasFractionalRetryAfter) {
        soup_message_headers_replace(headers, HeaderName::retryAfter,
            fmt::format("{:.3f}", static_cast<double>(refusal.retryAfterMs) / millisPerSecond).c_str());
    } else if (refusal.retryAfterMs) {
        uint32_t seconds = (refusal.retryAfterMs + millisPerSecond - 1) / millisPerSecond;
        soup_message_headers_replace(headers, HeaderName::retryAfter, std::to_string(seconds).c_str());
    }
    const char* callerRequestId = profile.requestId
        ? soup_message_headers_get_one(soup_server_message_get_request_headers(m_message.get()), profile.requestId)
        : nullptr;
    if (callerRequestId)
        soup_message_headers_replace(headers, profile.requestId, callerRequestId);
    addCommonHeaders(refusal.outcome);
    respondJson(statusOf(refusal), body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

void EntryExchange::respondJson(guint status, const std::string& body)
{
    m_respondedLocally = true;
    m_responseHeadWritten = true;
    m_unsentBody.clear();
    soup_server_message_set_status(m_message.get(), status, nullptr);
    soup_server_message_set_response(m_message.get(), "application/json", SOUP_MEMORY_COPY, body.data(), body.size());
    soup_message_headers_set_content_length(
        soup_server_message_get_response_headers(m_message.get()), static_cast<goffset>(body.size()));
    updatePause();
}

void EntryExchange::abortCaller()
{
    auto self = shared_from_this();
    if (m_finished)
        return;
    returnUnusedQuota();
    cancelCall();
    resetConnection();
    auto message = std::move(m_message);
    g_signal_handlers_disconnect_by_data(message.get(), this);
    end();
    ObjectHandle<GIOStream> stream(soup_server_message_steal_connection(message.get()));
}

bool EntryExchange::hasUnwrittenResponse() const
{
    GSocket* socket = soup_server_message_get_socket(m_message.get());
    return m_unwrittenBytes || (socket && hasUnacknowledgedOutput(socket));
}

// A reset discards what the caller's kernel has not received yet, the head of the response included.
void EntryExchange::truncateResponse(Instant now)
{
    m_truncatedAt = m_truncatedAt.value_or(now);
    if (!hasUnwrittenResponse() || now - *m_truncatedAt >= truncationLimit)
        abortCaller();
}

// Pauses the message while too much of the request body is unsent, and after its end until the response head is
// written.
void EntryExchange::updatePause()
{
    if (m_finished || !m_message)
        return;
    bool isWaiting
        = m_bodyReceived ? !m_responseHeadWritten : !m_responseHeadWritten && m_unsentBody.size() > maxUnsentBodyBytes;
    bool shouldPause = isWaiting || (m_hasEndedTurn && !m_bodyReceived);
    if (shouldPause == m_paused && !m_responseHeadWritten)
        return;
    m_paused = shouldPause;
    if (shouldPause)
        soup_server_message_pause(m_message.get());
    else
        soup_server_message_unpause(m_message.get());
}

void EntryExchange::end()
{
    auto self = shared_from_this();
    m_finished = true;
    m_call.reset();
    m_worker.remove(self, m_socket);
}

} // namespace Gooseberrymill

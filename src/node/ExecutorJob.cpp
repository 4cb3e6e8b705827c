#include "ExecutorJob.h"

#include "core/RefusalOutcome.h"
#include "Log.h"
#include "RequestFingerprint.h"

#include <algorithm>

namespace Gooseberrymill {

namespace {

constexpr size_t maxBufferedResponseBytes = 64 << 10; // larger responses are streamed before they are complete
constexpr size_t maxStoredResponseBytes = 1 << 20; // larger responses are not stored for duplicate requests
constexpr uint64_t maxUnreadResponseBytes = 4 << 20; // read of a response that nobody waits for, to see it end
constexpr Duration lateResponseTime = 500ms; // for a response that the upstream sends at its deadline to arrive

// Refusal for an operation that the gate lets run after its request has ended. It reports the operation as not run, so
// that a later request may run it.
Refusal notRunRefusal()
{
    Refusal refusal;
    refusal.reason = RefusalReason::Cancelled;
    refusal.step = "executor.gate";
    return refusal;
}

bool passesCheck(const AnswerCheck& check, const ResponseHead& response, uint64_t bytes)
{
    bool statusOk = check.statuses.empty()
        || std::find(check.statuses.begin(), check.statuses.end(), response.status) != check.statuses.end();
    const Header* type = findHeader(response.headers, HeaderName::contentType);
    bool typeOk = check.contentType.empty() || (type && std::string_view(type->value).starts_with(check.contentType));
    bool headerOk = check.requiredHeader.empty() || findHeader(response.headers, check.requiredHeader);
    return statusOk && typeOk && headerOk && bytes >= check.minBytes;
}

} // namespace

ExecutorJob::ExecutorJob(ExecutorBase& executor, std::shared_ptr<RelayExchange> exchange)
    : m_executor(executor)
    , m_exchange(std::move(exchange))
    , m_routes(executor.m_routes)
    , m_deadline(currentInstant() + std::chrono::milliseconds(head().deadlineMs))
{
}

void ExecutorJob::start()
{
    if (!findTarget() || !checkTarget())
        return;
    receiveBody();
}

bool ExecutorJob::findTarget()
{
    if (!m_routes) {
        refuse(RefusalReason::NoConfiguration, "executor.route", 1s);
        return false;
    }
    m_service = m_routes->service(head().service);
    if (m_service) {
        auto it = std::find_if(m_service->routes.begin(), m_service->routes.end(),
            [&](const Route& route) { return route.name == head().route; });
        m_route = it == m_service->routes.end() ? nullptr : &*it;
    }
    if (!m_route) {
        refuse(RefusalReason::NoRoute, "executor.route");
        return false;
    }
    if (head().executor && head().executor != m_executor.m_identity.incarnation) {
        // Only a different incarnation may run the operation; this one cannot know whether it did.
        refuse(RefusalReason::HolderGone, "executor.incarnation");
        return false;
    }
    auto it = m_executor.m_upstreams.find(head().upstream);
    if (it == m_executor.m_upstreams.end() || it->second->endpoint.service != head().service) {
        refuse(RefusalReason::NoUpstream, "executor.upstream");
        return false;
    }
    m_upstream = it->second;
    m_knewKey = isKeyHeld(*m_routes);
    m_executor.recordNotice(*m_upstream, m_exchange->context().notice);
    return true;
}

bool ExecutorJob::checkTarget()
{
    if (!checkState())
        return false;
    if (head().isInquiry && !m_ownsOperation)
        return true;
    bool mayReject = m_executor.m_hooks.rejectsWhenDegraded && !isOperation();
    if (mayReject && !m_upstream->earlyRejection.admits(m_route->repeatable, head().isLastChoice, currentInstant())) {
        refuse(RefusalReason::Degraded, "executor.failures");
        return false;
    }
    // Before the body arrives. admit() decides for the requests that may wait.
    Duration wait = m_upstream->queue->rateWait(currentInstant());
    if (!head().isLastChoice && wait > Duration::zero()) {
        refuse(RefusalReason::RateLimited, "executor.rate", wait);
        return false;
    }
    if (!head().acceptableWaitMs || isOperation())
        return true;
    wait = m_upstream->queue->expectedWait(admissionRequest(), currentInstant());
    if (wait <= std::chrono::milliseconds(head().acceptableWaitMs))
        return true;
    refuse(RefusalReason::SlotsTaken, "executor.slots", wait);
    return false;
}

bool ExecutorJob::checkState()
{
    if (head().isInquiry && !m_ownsOperation)
        return true; // the gate may know the outcome, and nothing runs before its decision
    if (m_executor.m_draining) {
        refuse(RefusalReason::Draining, "executor.drain");
        return false;
    }
    if (auto reason = refusalReasonFor(m_upstream->endpoint.state); reason != RefusalReason::None) {
        refuse(reason, "executor.upstream");
        return false;
    }
    return true;
}

bool ExecutorJob::screen()
{
    auto& screenHook = m_executor.m_hooks.crashes.screen;
    auto refusal = screenHook ? screenHook(head(), m_fingerprint) : std::nullopt;
    if (!refusal)
        return true;
    refuse(std::move(*refusal));
    return false;
}

// A configuration that never held the key may be older than that of the entry, which has accepted it.
bool ExecutorJob::checkKey()
{
    if (!m_knewKey || isKeyHeld(*m_executor.m_routes))
        return true;
    bool hasMoved = m_executor.m_routes->organisations().holder(head().key);
    refuse(hasMoved ? RefusalReason::KeyUnverified : RefusalReason::KeyUnknown, "executor.key", 1s);
    return false;
}

bool ExecutorJob::isKeyHeld(const RouteTable& routes) const
{
    const Organisation* holder = routes.organisations().holder(head().key);
    return holder && holder->name == head().organisation;
}

void ExecutorJob::receiveBody()
{
    std::weak_ptr<ExecutorJob> weak = weak_from_this();
    m_exchange->setHandlers({
        [weak](std::string&& bytes) {
            if (auto self = weak.lock())
                self->onChunk(std::move(bytes));
        },
        [weak] {
            if (auto self = weak.lock())
                self->onBodyEnd();
        },
        [weak] {
            if (auto self = weak.lock())
                self->onCancelled();
        },
        [weak] {
            if (auto self = weak.lock())
                self->readNext();
        },
    });
    m_buffersBody = !m_route->repeatable || isOperation();
    m_waitsForBodyEnd = head().wantsContinue || (m_buffersBody && head().bodyLength);
    uint64_t limit = std::min(m_executor.m_settings.maxOperationBodyBytes, m_route->maxBodyBytes);
    if (m_buffersBody && head().bodyLength > 0 && static_cast<uint64_t>(head().bodyLength) > limit)
        refuse(RefusalReason::BodyTooLarge, "executor.body");
    else if (head().wantsContinue)
        m_exchange->sendContinue();
    else if (!m_waitsForBodyEnd)
        checkGates();
}

void ExecutorJob::onChunk(std::string&& bytes)
{
    if (m_call && !m_buffersBody) {
        m_call->pushBody(std::move(bytes));
        if (!m_call->isBodyWritable())
            m_exchange->pauseBody();
        return;
    }
    m_body += bytes;
    if (!m_buffersBody)
        m_exchange->pauseBody(); // dispatch() resumes it
    else if (m_body.size() > m_executor.m_settings.maxOperationBodyBytes)
        refuse(RefusalReason::BodyTooLarge, "executor.body");
}

void ExecutorJob::onBodyEnd()
{
    m_bodyEnded = true;
    if (!m_waitsForBodyEnd) {
        if (m_call)
            m_call->endBody();
    } else if (head().bodyLength > 0 && m_body.size() != static_cast<size_t>(head().bodyLength))
        refuse(RefusalReason::BadRequest, "executor.body");
    else if (!head().wantsContinue || checkState()) // the upstream may have become unavailable since the head arrived
        checkGates();
}

void ExecutorJob::checkGates()
{
    m_fingerprint = fingerprintOf(head(), m_buffersBody ? std::string_view(m_body) : std::string_view());
    if (!head().isInquiry && !screen())
        return;
    auto& gate = m_executor.m_hooks.operations;
    if (!isOperation() || !gate.begin) {
        if (head().isInquiry)
            refuse(RefusalReason::HolderGone, "executor.inquiry");
        else
            admit();
        return;
    }
    m_waitsForGate = true;
    // The lambda keeps the exchange, and so the head, for a decision that is made after the job has ended.
    gate.begin(
        head(), m_body, [weak = weak_from_this(), exchange = m_exchange, finish = gate.finish](GateDecision decision) {
            auto self = weak.lock();
            if (self && !self->m_ended)
                self->onDecision(std::move(decision));
            else if (decision.kind == GateDecision::Kind::Run && finish)
                finish(exchange->head(), notRunRefusal());
        });
}

void ExecutorJob::onDecision(GateDecision&& decision)
{
    m_waitsForGate = false;
    if (decision.kind == GateDecision::Kind::Respond) {
        respond(*decision.response);
    } else if (decision.kind == GateDecision::Kind::Refuse) {
        sendRefusal(std::move(decision.refusal)); // the operation table has already set the outcome
    } else {
        m_ownsOperation = true;
        m_storedResponse = std::make_shared<StoredResponse>();
        if (checkTarget()) // the upstream may have become unavailable while the claim was written
            admit();
    }
}

// If the upstream was replaced under the same name while this request ran, reports the current one.
LoadReport ExecutorJob::loadReport() const
{
    return m_executor.report(m_upstream->endpoint.name).value_or(m_upstream->report(currentInstant()));
}

FreshnessProof ExecutorJob::proof() const
{
    const auto& freshness = m_executor.m_hooks.freshness;
    return freshness ? freshness->proof(currentInstant()) : FreshnessProof {};
}

void ExecutorJob::respond(const StoredResponse& stored)
{
    ResponseHead response = stored.head;
    response.load = loadReport();
    response.proof = proof();
    response.bodyLength = static_cast<int64_t>(stored.body.size());
    sendNotice();
    m_exchange->sendHead(std::move(response));
    if (!stored.body.empty())
        m_exchange->sendChunk(stored.body);
    m_exchange->sendEnd();
    end();
}

AdmissionRequest ExecutorJob::admissionRequest() const
{
    return { m_ticket, m_route->workClass, workKeyOf(*m_service, *m_route), m_deadline, head().isLastChoice };
}

void ExecutorJob::admit()
{
    Instant now = currentInstant();
    m_ticket = ++m_executor.m_lastTicket;
    AdmissionDecision decision = m_upstream->queue->offer(admissionRequest(), now);
    if (decision.verdict == AdmissionVerdict::Dispatch)
        dispatch();
    else if (decision.verdict == AdmissionVerdict::Queued)
        m_upstream->waiting[m_ticket] = shared_from_this();
    else {
        m_executor.recordRefusal(*m_upstream, decision.reason);
        refuse(decision.reason, "executor.admission", decision.retryAfter);
    }
}

void ExecutorJob::dispatch()
{
    // Crashes may have been reported, or the key taken away, while the request was queued.
    if (!screen() || !checkKey()) {
        m_upstream->queue->finish(m_ticket, {}, false, currentInstant());
        m_executor.processQueue(m_upstream);
        return;
    }
    m_hasSlot = true;
    m_upstream->stall.dispatched();
    countRunning(true);
    m_process = processOf(m_upstream->endpoint);
    m_dispatchedAt = currentInstant();
    UpstreamRequest request { publicId(), head().method, head().target, head().headers, m_route->repeatable,
        head().bodyLength, std::nullopt, std::max(m_deadline - currentInstant(), Duration {}) };
    const HeaderProfile& profile = m_executor.m_hooks.headers;
    request.deadlineHeaderName = profile.deadline;
    request.allowsCloseDelimitedResponse = profile.allowsCloseDelimitedResponse;
    if (!m_upstream->endpoint.instance.empty())
        request.headers.push_back({ profile.expectedInstance, m_upstream->endpoint.instance });
    if (m_buffersBody) {
        request.bodyLength = static_cast<int64_t>(m_body.size());
        request.body = std::move(m_body);
    }
    std::weak_ptr<ExecutorJob> weak = weak_from_this();
    auto bind = [weak](auto method) {
        return [weak, method](auto&&... arguments) {
            if (auto self = weak.lock(); self && !self->m_ended)
                ((*self).*method)(std::forward<decltype(arguments)>(arguments)...);
        };
    };
    m_call = m_upstream->client->start(std::move(request),
        { bind(&ExecutorJob::onHead), bind(&ExecutorJob::onResponseChunk), bind(&ExecutorJob::onResponseEnd),
            bind(&ExecutorJob::onFailure), [weak] {
                if (auto self = weak.lock())
                    self->m_exchange->resumeBody();
            } });
    if (m_buffersBody)
        return;
    m_call->pushBody(std::exchange(m_body, {}));
    if (m_bodyEnded)
        m_call->endBody();
    m_exchange->resumeBody();
}

void ExecutorJob::onHead(ResponseHead&& response)
{
    m_response = std::move(response);
    recordSignals();
    m_rejection = responseRejectionReason();
    if (m_rejection && *m_rejection != RefusalReason::UpstreamShed)
        rejectResponse();
    else
        readNext();
}

// Nothing of the body is passed on, and the connection is of no further use.
void ExecutorJob::rejectResponse()
{
    logBadResponse(*m_rejection, { ErrorCode::Invalid, "executor.response", m_upstream->endpoint.address, "" });
    m_call->cancel();
    releaseSlot(SampleKind::Wrong, false);
    refuse(*m_rejection, "executor.response", {}, true);
}

// A response that may belong to another request, or comes from another process, says nothing about this upstream.
void ExecutorJob::recordSignals()
{
    constexpr uint16_t tooManyRequests = 429;
    constexpr uint16_t firstServerError = 500;
    const HeaderProfile& profile = m_executor.m_hooks.headers;
    const UpstreamEndpoint& endpoint = m_upstream->endpoint;
    bool isMisdirected = m_response.status == SOUP_STATUS_MISDIRECTED_REQUEST && !endpoint.instance.empty();
    if (isMisdirected || hasForeignId() || lacksId() || processOf(endpoint) != m_process)
        return;
    ResponseSignals signals = readSignals(m_response.headers, profile);
    bool isRejected = findHeader(m_response.headers, profile.notRun) || m_response.status == tooManyRequests;
    signals.isServed = m_response.status < firstServerError && !isRejected;
    m_executor.recordSignals(*m_upstream, signals);
}

bool ExecutorJob::hasForeignId() const
{
    const char* name = m_executor.m_hooks.headers.requestId;
    const Header* sentId = name ? findHeader(head().headers, name) : nullptr;
    const Header* echoedId = name ? findHeader(m_response.headers, name) : nullptr;
    return sentId && echoedId && echoedId->value != sentId->value;
}

// A head into which another one runs names two requests.
bool ExecutorJob::isRepeated(const char* name) const
{
    auto isNamed = [&](const Header& header) { return isHeaderNamed(header, name); };
    return name && std::ranges::count_if(m_response.headers, isNamed) > 1;
}

bool ExecutorJob::lacksId() const
{
    const char* name = m_executor.m_hooks.headers.requestId;
    return name && findHeader(head().headers, name) && !findHeader(m_response.headers, name);
}

void ExecutorJob::sendNotice()
{
    if (!m_upstream)
        return;
    UpstreamNotice notice = m_upstream->backpressure.notice(m_upstream->queue->rateWait(currentInstant()));
    if (!notice.process.empty())
        m_exchange->queueNotice(notice);
}

void ExecutorJob::onResponseChunk(std::string&& bytes)
{
    m_responseBytes += bytes.size();
    bool isUnread = m_callerGone || m_rejection;
    if (isUnread && m_responseBytes > maxUnreadResponseBytes) {
        abandonResponse();
        return;
    }
    if (m_storedResponse && m_storedResponse->body.size() + bytes.size() <= maxStoredResponseBytes)
        m_storedResponse->body += bytes;
    else
        m_storedResponse.reset();
    if (m_headSent) {
        m_exchange->sendChunk(std::move(bytes));
    } else if (!isUnread) {
        m_responseBuffer += bytes;
        if (m_responseBuffer.size() > maxBufferedResponseBytes)
            streamHead();
    }
    readNext();
}

// The head has shown whether the upstream ran the request.
void ExecutorJob::abandonResponse()
{
    m_call->cancel();
    releaseSlot(SampleKind::Wrong, false);
    refuse(m_rejection.value_or(RefusalReason::UpstreamInvalid), "executor.response", {}, !m_rejection);
}

void ExecutorJob::streamHead()
{
    m_headSent = true;
    m_response.load = loadReport();
    m_response.proof = proof();
    sendNotice();
    m_exchange->sendHead(m_response);
    if (!m_responseBuffer.empty())
        m_exchange->sendChunk(std::exchange(m_responseBuffer, {}));
}

void ExecutorJob::readNext()
{
    // The response is read to its end even after the caller has gone, so that the outcome of an operation is known.
    if (m_call && !m_ended && (m_callerGone || m_exchange->isWritable()))
        m_call->readMore();
}

std::optional<RefusalReason> ExecutorJob::responseRejectionReason() const
{
    constexpr uint16_t firstSuccess = 200;
    constexpr uint16_t firstRedirect = 300;
    const HeaderProfile& profile = m_executor.m_hooks.headers;
    bool isAmbiguous = isRepeated(profile.requestId) || isRepeated(profile.signature);
    if (isAmbiguous || hasForeignId())
        return RefusalReason::UpstreamInvalid;
    bool hasId = profile.requestId && findHeader(m_response.headers, profile.requestId);
    // The address is served by another process than the one that the request was meant for; it did not run the request.
    bool isMisdirected = m_response.status == SOUP_STATUS_MISDIRECTED_REQUEST && !m_upstream->endpoint.instance.empty();
    if (isMisdirected || findHeader(m_response.headers, profile.notRun)) {
        // A faulty upstream may write the rejection of an earlier request once more on the connection.
        bool isCertain = hasId || !m_call->isOnKeptConnection();
        return isCertain ? RefusalReason::UpstreamShed : RefusalReason::UpstreamInvalid;
    }
    if (lacksId())
        return RefusalReason::UpstreamInvalid;
    bool isSuccess = m_response.status >= firstSuccess && m_response.status < firstRedirect;
    if (isSuccess && profile.signature && !findHeader(m_response.headers, profile.signature))
        return RefusalReason::UpstreamInvalid;
    return std::nullopt;
}

void ExecutorJob::onResponseEnd()
{
    logExtraBytes();
    if (m_rejection) {
        releaseSlot(SampleKind::Shed, false);
        refuse(*m_rejection, "executor.response");
        return;
    }
    releaseSlot(classifyResponse(), true);
    if (m_executor.m_hooks.crashes.succeeded)
        m_executor.m_hooks.crashes.succeeded(head(), m_fingerprint);
    if (m_ownsOperation && m_executor.m_hooks.operations.recordResponse) {
        if (m_storedResponse)
            m_storedResponse->head = m_response;
        m_executor.m_hooks.operations.recordResponse(head(), m_storedResponse, !m_callerGone);
    }
    m_ownsOperation = false;
    if (!m_headSent) {
        if (head().method != "HEAD")
            m_response.bodyLength = static_cast<int64_t>(m_responseBuffer.size());
        streamHead();
    }
    m_exchange->sendEnd();
    end();
}

SampleKind ExecutorJob::classifyResponse() const
{
    constexpr uint16_t firstServerError = 500;
    if (m_response.status == SOUP_STATUS_SERVICE_UNAVAILABLE && findHeader(m_response.headers, HeaderName::retryAfter))
        return SampleKind::Shed;
    if (m_response.status >= firstServerError)
        return SampleKind::Failed;
    // A response to HEAD has no body, so the minimum size does not apply to it.
    uint64_t bytes = head().method == "HEAD" ? m_route->check.minBytes : m_responseBytes;
    return passesCheck(m_route->check, m_response, bytes) ? SampleKind::Ok : SampleKind::Wrong;
}

void ExecutorJob::onFailure(UpstreamFailure&& failure)
{
    Duration length = m_call->serviceTime();
    bool isClosed
        = failure.reason == RefusalReason::UpstreamCrashed || failure.reason == RefusalReason::UpstreamTruncated;
    releaseSlot(std::nullopt, false);
    if (failure.reason == RefusalReason::UpstreamTruncated || failure.reason == RefusalReason::UpstreamInvalid)
        logBadResponse(failure.reason, failure.error);
    if (!isClosed || !m_executor.m_hooks.crashes.closed) {
        finishFailure(failure, length, false);
        return;
    }
    const UpstreamEndpoint& endpoint = m_upstream->endpoint;
    ClosedRequest request { endpoint.name, endpoint.address, endpoint.service, head().method, head().target,
        m_fingerprint, m_dispatchedAt };
    m_executor.m_hooks.crashes.closed(
        std::move(request), [weak = weak_from_this(), failure = std::move(failure), length](bool isCrash) {
            if (auto self = weak.lock(); self && !self->m_ended)
                self->finishFailure(failure, length, isCrash);
        });
}

void ExecutorJob::finishFailure(const UpstreamFailure& failure, Duration length, bool isCrash)
{
    bool isBadResponse
        = failure.reason == RefusalReason::UpstreamTruncated || failure.reason == RefusalReason::UpstreamInvalid;
    // A crash is attributed to one of the running requests, so it does not count against the upstream's health.
    recordSample(isCrash ? SampleKind::Cancelled : isBadResponse ? SampleKind::Wrong : SampleKind::Failed, length);
    Refusal refusal;
    refusal.dispatched = failure.started;
    refusal.reason = failure.reason;
    refusal.step = failure.error.step;
    refusal.peer = failure.error.peer;
    refuse(std::move(refusal));
}

void ExecutorJob::onCancelled()
{
    auto self = shared_from_this();
    m_callerGone = true;
    // A started request that may run only once goes on until giveUpAt(), so that its outcome becomes known.
    bool goesOn = isRunning() && !m_route->repeatable;
    if (m_ended || goesOn) {
        readNext();
        return;
    }
    bool started = isRunning();
    if (m_call)
        m_call->cancel();
    releaseSlot(SampleKind::Cancelled, false);
    refuse(RefusalReason::Cancelled, "executor.caller", {}, started);
}

// The slot stays occupied until then, since the upstream works on the request. It stops at the deadline that it was
// told, and drops a request whose connection closes. The outcome of an operation is recorded for later requests, so
// one with a short deadline may take as long as the operator lets requests of its route take.
Instant ExecutorJob::giveUpAt() const
{
    if (!isRunning() || m_route->repeatable)
        return m_deadline;
    Instant end = m_ownsOperation ? std::max(m_deadline, m_dispatchedAt + m_route->deadline) : m_deadline;
    return end + lateResponseTime;
}

void ExecutorJob::checkDeadline(Instant now)
{
    if (m_ended || now < giveUpAt())
        return;
    bool started = isRunning();
    if (started && !m_route->repeatable)
        logUnanswered(now);
    if (m_call)
        m_call->cancel();
    releaseSlot(SampleKind::Cancelled, false);
    refuse(RefusalReason::DeadlineExceeded, "executor.deadline", {}, started);
}

void ExecutorJob::logUnanswered(Instant now) const
{
    ++m_executor.m_hooks.running->unanswered;
    auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(now - m_dispatchedAt);
    log(LogLevel::Warning, "upstream.unanswered",
        { { "upstream", m_upstream->endpoint.name }, { "process", m_process }, { "service", head().service },
            { "route", head().route }, { "request", toString(head().requestId) }, { "status", m_response.status },
            { "bytes", m_responseBytes }, { "elapsed_ms", elapsed.count() } });
}

// The id that the caller knows, which entries log too; without one the id between the nodes.
std::string ExecutorJob::publicId() const
{
    const char* name = m_executor.m_hooks.headers.requestId;
    const Header* id = name ? findHeader(head().headers, name) : nullptr;
    return id ? id->value : toString(head().requestId);
}

void ExecutorJob::logBadResponse(RefusalReason reason, const Error& error) const
{
    const ResponseFacts& facts = m_call->facts();
    log(LogLevel::Warning, "upstream.bad_response",
        { { "request", publicId() }, { "upstream", m_upstream->endpoint.name }, { "process", m_process },
            { "reason", toString(reason) }, { "step", error.step }, { "detail", error.detail },
            { "status", m_response.status }, { "framing", toString(facts.framing) },
            { "stated_bytes", facts.statedBytes }, { "bytes", facts.receivedBytes },
            { "kept_connection", m_call->isOnKeptConnection() } });
}

void ExecutorJob::logExtraBytes() const
{
    const ResponseFacts& facts = m_call->facts();
    if (!facts.hasExtraBytes)
        return;
    log(LogLevel::Warning, "upstream.extra_bytes",
        { { "request", publicId() }, { "upstream", m_upstream->endpoint.name }, { "process", m_process },
            { "status", m_response.status }, { "framing", toString(facts.framing) },
            { "stated_bytes", facts.statedBytes }, { "bytes", facts.receivedBytes },
            { "kept_connection", m_call->isOnKeptConnection() } });
}

void ExecutorJob::releaseSlot(std::optional<SampleKind> kind, bool completed)
{
    Instant now = currentInstant();
    if (m_ticket && !m_hasSlot) {
        m_upstream->queue->cancel(m_ticket, now);
        m_upstream->waiting.erase(m_ticket);
    }
    if (!std::exchange(m_hasSlot, false))
        return;
    countRunning(false);
    Duration length = m_call->serviceTime();
    m_upstream->queue->finish(m_ticket, length, completed, now);
    if (kind)
        recordSample(*kind, length);
}

void ExecutorJob::countRunning(bool isStarting)
{
    RunningRequests& running = *m_executor.m_hooks.running;
    uint32_t change = isStarting ? 1 : -1;
    running.total += change;
    running.retries += m_exchange->context().isRetry ? change : 0;
}

void ExecutorJob::recordSample(SampleKind kind, Duration length)
{
    if (kind != SampleKind::Cancelled && kind != SampleKind::Shed)
        m_upstream->earlyRejection.record(kind != SampleKind::Ok, currentInstant());
    if (m_executor.m_hooks.sample && m_call->isStarted())
        m_executor.m_hooks.sample(
            m_upstream->endpoint.name, { kind, workKeyOf(*m_service, *m_route), length }, currentInstant());
}

void ExecutorJob::refuse(RefusalReason reason, const char* step, Duration retryAfter, bool dispatched)
{
    Refusal refusal;
    refusal.dispatched = dispatched;
    refusal.reason = reason;
    refusal.step = step;
    refusal.peer = m_executor.m_identity.node;
    refusal.retryAfterMs
        = static_cast<uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(retryAfter).count());
    refuse(std::move(refusal));
}

void ExecutorJob::refuse(Refusal refusal)
{
    refusal.outcome = outcomeOf({ refusal.reason, refusal.dispatched, isOperation(), m_ownsOperation });
    sendRefusal(std::move(refusal));
}

void ExecutorJob::sendRefusal(Refusal refusal)
{
    if (m_ended)
        return;
    if (m_upstream)
        refusal.load = loadReport();
    if (std::exchange(m_ownsOperation, false) && m_executor.m_hooks.operations.finish)
        m_executor.m_hooks.operations.finish(head(), refusal);
    if (m_headSent) {
        m_exchange->abort();
    } else {
        sendNotice();
        refusal.proof = proof();
        m_exchange->refuse(std::move(refusal));
    }
    end();
}

void ExecutorJob::end()
{
    auto self = shared_from_this();
    m_ended = true;
    if (std::exchange(m_waitsForGate, false) && m_executor.m_hooks.operations.cancelWait)
        m_executor.m_hooks.operations.cancelWait(head());
    m_exchange->setHandlers({});
    auto upstream = m_upstream;
    m_executor.remove(self);
    if (upstream)
        m_executor.processQueue(upstream);
}

void ExecutorJob::detach()
{
    m_ended = true;
    if (m_call)
        m_call->cancel();
}

} // namespace Gooseberrymill

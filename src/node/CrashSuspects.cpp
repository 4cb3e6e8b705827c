#include "CrashSuspects.h"

#include "Log.h"

#include <algorithm>
#include <xxhash.h>

namespace Gooseberrymill {

namespace {

constexpr Duration tickInterval = 100ms;
constexpr Duration followUpProbeInterval = 500ms; // between probes after the response was sent, until the window ends
constexpr Duration cleanupInterval = 5s;
constexpr uint32_t maxDeliveryAttempts = 5;
constexpr Duration deliveryRetryInterval = CrashSuspects::acknowledgementTimeout / maxDeliveryAttempts;
constexpr Duration idleConnectionTimeout = 30s; // short, since notices are rare
// A second request for reports, later than the first, covers crashes of which a peer did not notify this node because
// it did not know this node yet.
constexpr uint32_t maxReportRequests = 2;
constexpr size_t maxCloses = maxCrashReports; // unexplained closes stored per upstream
constexpr size_t maxSuccesses = 50'000; // completed requests stored; limits memory

} // namespace

CrashSuspects::CrashSuspects(Task& task, const RelayIdentity& identity, Duration connectTimeout,
    CrashSuspectsHooks hooks, QueryOfDeathLimits limits)
    : m_task(task)
    , m_identity(identity)
    , m_client(task.context(), identity, connectTimeout, idleConnectionTimeout)
    , m_hooks(std::move(hooks))
    , m_filter(limits)
{
    m_timer = task.every(tickInterval, [this] {
        tick();
        return true;
    });
}

CrashSuspects::~CrashSuspects() { *m_alive = false; }

Fingerprint CrashSuspects::keyOf(std::string_view service, Fingerprint fingerprint)
{
    return XXH3_64bits_withSeed(service.data(), service.size(), fingerprint);
}

void CrashSuspects::setPeers(Peers peers)
{
    m_peers = std::move(peers);
    requestReports(1);
}

//-----------------------------------------------------------------------------
// [SECTION] Requests
//-----------------------------------------------------------------------------

std::optional<Refusal> CrashSuspects::screen(const RequestHead& head, Fingerprint fingerprint)
{
    uint32_t runs = m_filter.crashCountIfRefused(keyOf(head.service, fingerprint), currentInstant());
    if (!runs)
        return std::nullopt;
    if (m_hooks.refused)
        m_hooks.refused();
    Refusal refusal;
    // A run of the same operation may be the one that crashed, so an operation cannot be said not to have run.
    refusal.outcome = head.operationKind == OperationKind::None ? Outcome::NotRun : Outcome::Unknown;
    refusal.reason = RefusalReason::QueryOfDeath;
    refusal.runs = runs;
    refusal.step = "executor.suspects";
    refusal.peer = m_identity.node;
    return refusal;
}

void CrashSuspects::succeeded(const RequestHead& head, Fingerprint fingerprint)
{
    Fingerprint key = keyOf(head.service, fingerprint);
    if (m_successes.size() < maxSuccesses || m_successes.contains(key))
        m_successes[key] = currentInstant();
    if (!m_filter.isSuspect(key))
        return;
    clear(key);
    CrashNotice notice;
    notice.service = head.service;
    notice.cleared.push_back(key);
    broadcast(notice, nullptr);
}

void CrashSuspects::clear(Fingerprint key) { m_filter.succeeded(key); }

bool CrashSuspects::hasSucceeded(Fingerprint key, Instant now) const
{
    auto it = m_successes.find(key);
    return it != m_successes.end() && now - it->second <= successRetention;
}

//-----------------------------------------------------------------------------
// [SECTION] Confirmation
//-----------------------------------------------------------------------------

void CrashSuspects::closed(ClosedRequest request, Settled settled)
{
    std::string upstream = request.upstream;
    UpstreamRecord& record = m_upstreams[upstream];
    record.address = request.address;
    Fingerprint key = keyOf(request.service, request.fingerprint);
    Close close { std::move(request), key, currentInstant(), std::move(settled) };
    // The request was running when the last crash was confirmed, so this close belongs to that crash.
    if (record.crash && close.request.startedAt <= record.confirmedAt) {
        std::vector<Close> late;
        late.push_back(std::move(close));
        report(*record.crash, std::move(late));
        return;
    }
    record.crash.reset();
    if (record.closes.size() >= maxCloses) {
        close.settled(false);
        return;
    }
    record.closes.push_back(std::move(close));
    probe(upstream);
}

void CrashSuspects::upstreamChanged(const UpstreamEndpoint& endpoint)
{
    bool isDown = endpoint.state == UpstreamState::Gone || endpoint.state == UpstreamState::Cold;
    auto it = m_upstreams.find(endpoint.name);
    if (isDown && it != m_upstreams.end() && !it->second.closes.empty())
        confirm(endpoint.name);
}

void CrashSuspects::probe(const std::string& upstream)
{
    UpstreamRecord& record = m_upstreams[upstream];
    if (record.isProbing)
        return;
    record.isProbing = true;
    record.probedAt = currentInstant();
    auto finishLater = [this, upstream](bool isRefused) {
        m_upstreams[upstream].probeTimer = callAfter(m_task.context(), {}, [this, upstream, isRefused] {
            onProbe(upstream, isRefused);
            return false;
        });
    };
    ObjectHandle<GSocketAddress> address = parseAddress(record.address);
    ObjectHandle<GSocket> socket(address ? g_socket_new(g_socket_address_get_family(address.get()),
                                     G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, nullptr)
                                         : nullptr);
    if (!socket) {
        finishLater(false);
        return;
    }
    g_socket_set_blocking(socket.get(), FALSE);
    GError* error = nullptr;
    bool isConnected = g_socket_connect(socket.get(), address.get(), nullptr, &error);
    bool isPending = g_error_matches(error, G_IO_ERROR, G_IO_ERROR_PENDING);
    bool isRefused = g_error_matches(error, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED);
    g_clear_error(&error);
    if (isConnected || !isPending) {
        finishLater(isRefused);
        return;
    }
    record.probeWatch = watchSocket(m_task.context(), socket.get(), G_IO_OUT, [this, upstream](GIOCondition) {
        GError* failure = nullptr;
        g_socket_check_connect_result(m_upstreams[upstream].socket.get(), &failure);
        bool refused = g_error_matches(failure, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED);
        g_clear_error(&failure);
        onProbe(upstream, refused);
        return false;
    });
    record.socket = std::move(socket);
    record.probeTimer = callAfter(m_task.context(), probeInterval, [this, upstream] {
        onProbe(upstream, false);
        return false;
    });
}

void CrashSuspects::onProbe(const std::string& upstream, bool isRefused)
{
    UpstreamRecord& record = m_upstreams[upstream];
    record.probeWatch.reset();
    record.probeTimer.reset();
    record.socket.reset();
    record.isProbing = false;
    if (isRefused) {
        confirm(upstream);
        return;
    }
    // Releases the responses of closes that happened at least `probeInterval` before this probe. Newer closes need
    // another probe.
    std::vector<Settled> settled;
    bool isWaiting = false;
    for (Close& close : record.closes) {
        if (close.settled && record.probedAt - close.at >= probeInterval)
            settled.push_back(std::exchange(close.settled, nullptr));
        isWaiting = isWaiting || close.settled;
    }
    if (isWaiting) {
        record.probeTimer = callAfter(m_task.context(), probeInterval, [this, upstream] {
            probe(upstream);
            return false;
        });
    }
    for (const Settled& callback : settled)
        callback(false);
}

void CrashSuspects::confirm(const std::string& upstream)
{
    UpstreamRecord& record = m_upstreams[upstream];
    if (record.closes.empty())
        return;
    record.crash = randomId();
    record.confirmedAt = currentInstant();
    log(LogLevel::Warning, "upstream.crashed", { { "upstream", upstream }, { "requests", record.closes.size() } });
    report(*record.crash, std::exchange(record.closes, {}));
    if (m_hooks.crashed)
        m_hooks.crashed(upstream);
}

void CrashSuspects::report(const Id128& crash, std::vector<Close> closes)
{
    Instant now = currentInstant();
    CrashNotice notice;
    notice.service = closes.front().request.service;
    std::vector<Fingerprint> keys;
    for (const Close& close : closes) {
        if (!hasSucceeded(close.key, now))
            keys.push_back(close.key);
    }
    notice.reports = m_filter.crashed(crash, keys, now);
    auto sharedCloses = std::make_shared<std::vector<Close>>(std::move(closes));
    broadcast(notice, [this, sharedCloses] {
        reportQueriesOfDeath(*sharedCloses);
        for (Close& close : *sharedCloses) {
            if (auto settled = std::exchange(close.settled, nullptr))
                settled(true);
        }
    });
}

void CrashSuspects::reportQueriesOfDeath(const std::vector<Close>& closes)
{
    std::set<Fingerprint> seen;
    for (const Close& close : closes) {
        uint32_t crashes = m_filter.crashCountIfRefused(close.key, currentInstant());
        if (!crashes || !seen.insert(close.key).second)
            continue;
        log(LogLevel::Warning, "request.query_of_death",
            { { "service", close.request.service }, { "method", close.request.method },
                { "target", close.request.target }, { "crashes", crashes } });
        if (m_hooks.queryOfDeathFound)
            m_hooks.queryOfDeathFound(close.request, crashes);
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Peers
//-----------------------------------------------------------------------------

CrashNoticeReply CrashSuspects::received(const CrashNotice& notice)
{
    Instant now = currentInstant();
    CrashNoticeReply reply;
    for (const CrashReport& report : notice.reports) {
        if (hasSucceeded(report.fingerprint, now))
            reply.cleared.push_back(report.fingerprint);
        else
            m_filter.reported(report, now);
    }
    for (Fingerprint key : notice.cleared)
        clear(key);
    if (notice.wantsReports) {
        reply.reports = m_filter.reports(now);
        reply.reports.resize(std::min(reply.reports.size(), maxCrashReports));
    }
    if (!reply.cleared.empty()) {
        CrashNotice clearing;
        clearing.service = notice.service;
        clearing.cleared = reply.cleared;
        broadcast(clearing, nullptr);
    }
    return reply;
}

void CrashSuspects::broadcast(const CrashNotice& notice, std::function<void()> done)
{
    auto peers = m_peers.find(notice.service);
    bool isEmpty = notice.reports.empty() && notice.cleared.empty();
    if (isEmpty || peers == m_peers.end() || peers->second.empty()) {
        if (done)
            done();
        return;
    }
    auto state = std::make_shared<Broadcast>();
    state->pendingPeers = peers->second.size();
    state->done = std::move(done);
    std::weak_ptr<Broadcast> weak = state;
    state->timeoutTimer = callAfter(m_task.context(), acknowledgementTimeout, [weak] {
        if (auto self = weak.lock())
            finish(*self);
        return false;
    });
    for (const std::string& address : std::set<std::string>(peers->second)) {
        auto delivery = std::make_shared<Delivery>(Delivery { address, notice, state });
        m_deliveries.insert(delivery);
        deliver(delivery);
    }
}

void CrashSuspects::deliver(const std::shared_ptr<Delivery>& delivery)
{
    ++delivery->attempts;
    delivery->nextAttempt = currentInstant() + deliveryRetryInterval;
    m_client.query(
        delivery->address, delivery->notice, [this, alive = m_alive, delivery](const Result<RelayMessage>& result) {
            const auto* reply = result ? std::get_if<CrashNoticeReply>(&result.value()) : nullptr;
            if (*alive && reply)
                onAcknowledged(delivery, *reply);
        });
}

void CrashSuspects::onAcknowledged(const std::shared_ptr<Delivery>& delivery, const CrashNoticeReply& reply)
{
    if (std::exchange(delivery->isAcknowledged, true))
        return;
    m_deliveries.erase(delivery);
    for (Fingerprint key : reply.cleared)
        clear(key);
    for (const CrashReport& report : reply.reports) {
        if (!hasSucceeded(report.fingerprint, currentInstant()))
            m_filter.reported(report, currentInstant());
    }
    if (delivery->broadcast && !--delivery->broadcast->pendingPeers)
        finish(*delivery->broadcast);
}

void CrashSuspects::finish(Broadcast& state)
{
    if (auto done = std::exchange(state.done, nullptr))
        done();
}

// A node that has just started knows no crashes, so it requests the reports of one peer of each service. If that peer
// does not reply, the next call may choose another one.
void CrashSuspects::requestReports(uint32_t maxRequests)
{
    for (const auto& [service, peers] : m_peers) {
        if (peers.empty() || m_reportRequestCounts[service] >= maxRequests)
            continue;
        ++m_reportRequestCounts[service];
        auto chosen = peers.begin();
        std::advance(chosen, randomId().low % peers.size());
        CrashNotice notice;
        notice.service = service;
        notice.wantsReports = true;
        auto delivery = std::make_shared<Delivery>(Delivery { *chosen, std::move(notice), nullptr });
        m_deliveries.insert(delivery);
        deliver(delivery);
    }
}

void CrashSuspects::tick()
{
    Instant now = currentInstant();
    auto deliveries = m_deliveries;
    for (const auto& delivery : deliveries) {
        if (now < delivery->nextAttempt)
            continue;
        if (delivery->attempts < maxDeliveryAttempts) {
            deliver(delivery);
            continue;
        }
        m_deliveries.erase(delivery);
        if (delivery->notice.wantsReports)
            --m_reportRequestCounts[delivery->notice.service];
    }
    for (auto& [upstream, record] : m_upstreams) {
        std::erase_if(
            record.closes, [&](const Close& close) { return !close.settled && now - close.at > confirmationWindow; });
        if (!record.closes.empty() && now - record.probedAt > followUpProbeInterval)
            probe(upstream);
    }
    if (now < m_nextCleanup)
        return;
    m_nextCleanup = now + cleanupInterval;
    m_filter.tick(now);
    std::erase_if(m_successes, [&](const auto& entry) { return now - entry.second > successRetention; });
    requestReports(maxReportRequests);
}

CrashGate crashGate(const std::function<CrashSuspects*()>& suspects)
{
    CrashGate gate;
    gate.screen = [suspects](const RequestHead& head, Fingerprint fingerprint) {
        auto* self = suspects();
        return self ? self->screen(head, fingerprint) : std::nullopt;
    };
    gate.closed = [suspects](ClosedRequest request, std::function<void(bool)> settled) {
        if (auto* self = suspects())
            self->closed(std::move(request), std::move(settled));
        else
            settled(false);
    };
    gate.succeeded = [suspects](const RequestHead& head, Fingerprint fingerprint) {
        if (auto* self = suspects())
            self->succeeded(head, fingerprint);
    };
    gate.upstreamChanged = [suspects](const UpstreamEndpoint& endpoint) {
        if (auto* self = suspects())
            self->upstreamChanged(endpoint);
    };
    gate.notice = [suspects](CrashNotice&& notice, const std::function<void(CrashNoticeReply)>& reply) {
        auto* self = suspects();
        reply(self ? self->received(notice) : CrashNoticeReply {});
    };
    return gate;
}

} // namespace Gooseberrymill

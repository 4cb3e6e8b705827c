#include "Executor.h"

#include "ExecutorJob.h"
#include "Log.h"

#include <algorithm>
#include <fmt/format.h>

namespace Gooseberrymill {

namespace {

constexpr Duration sweepInterval = 20ms;
constexpr uint32_t tokenLifetimeMs = 3'600'000; // one hour, for tokens issued without a hook

} // namespace

std::string processOf(const UpstreamEndpoint& endpoint)
{
    if (endpoint.instance.empty())
        return endpoint.address;
    return fmt::format("{}@{}", endpoint.instance, endpoint.processStartedAt);
}

RefusalReason refusalReasonFor(UpstreamState state)
{
    switch (state) {
    case UpstreamState::Ejected:
        return RefusalReason::Ejected;
    case UpstreamState::Draining:
        return RefusalReason::Draining;
    case UpstreamState::Gone:
        return RefusalReason::NoUpstream;
    default:
        return RefusalReason::None;
    }
}

uint32_t workKeyOf(const Service& service, const Route& route)
{
    return static_cast<uint32_t>(&route - service.routes.data());
}

ExecutorBase::ExecutorBase(Task& task, const Settings& settings, const RelayIdentity& identity, ExecutorHooks hooks)
    : m_task(task)
    , m_settings(settings)
    , m_identity(identity)
    , m_hooks(std::move(hooks))
    , m_server(task.context(), identity,
          { [this](std::shared_ptr<RelayExchange> exchange) { onRequest(std::move(exchange)); },
              [this](TokenQuery&& query, std::function<void(TokenReply)> reply) {
                  onToken(std::move(query), std::move(reply));
              },
              m_hooks.configuration, m_hooks.crashes.notice, m_hooks.directory, m_hooks.departures, m_hooks.quota })
{
}

ExecutorBase::~ExecutorBase()
{
    for (const auto& job : m_jobs)
        job->detach();
    m_jobs.clear();
}

void ExecutorBase::setRoutes(std::shared_ptr<const RouteTable> routes)
{
    m_routes = std::move(routes);
    auto upstreams = m_upstreams;
    for (const auto& [name, upstream] : upstreams) {
        reconfigureQueue(*upstream);
        processQueue(upstream);
    }
}

// Before the first configuration the announced slots apply; no request runs until then.
void ExecutorBase::reconfigureQueue(LocalUpstream& upstream)
{
    const Service* service = m_routes ? m_routes->service(upstream.endpoint.service) : nullptr;
    if (service)
        upstream.queue->reconfigure(std::min(upstream.endpoint.slots, service->slots), service->admission);
    else
        upstream.queue->reconfigure(upstream.endpoint.slots, {});
}

void ExecutorBase::setUpstream(UpstreamEndpoint endpoint)
{
    auto& upstream = m_upstreams[endpoint.name];
    bool isNew
        = !upstream || upstream->endpoint.address != endpoint.address || upstream->endpoint.service != endpoint.service;
    UpstreamState stateBefore = upstream ? upstream->endpoint.state : UpstreamState::Gone;
    if (isNew) {
        if (upstream) {
            upstream->endpoint.state = UpstreamState::Gone;
            refuseWaitingForState(*upstream);
        }
        upstream = std::make_shared<LocalUpstream>();
        upstream->queue = makeQueue(endpoint);
    }
    bool slotsChanged = isNew || upstream->endpoint.slots != endpoint.slots;
    if (slotsChanged) {
        // Requests in flight keep the session of the client that they were started with.
        upstream->client = std::make_unique<UpstreamClient>(m_task.context(), endpoint.name, endpoint.address,
            endpoint.slots, m_settings.connectTimeout, m_settings.upstreamIdleTimeout);
    }
    if (upstream->endpoint.instance != endpoint.instance)
        upstream->earlyRejection.reset();
    upstream->backpressure.setProcess(processOf(endpoint));
    upstream->endpoint = std::move(endpoint);
    applyBackpressure(*upstream);
    if (slotsChanged)
        reconfigureQueue(*upstream);
    auto upstreamGuard = upstream; // the callbacks below may change m_upstreams
    bool isChanged = isNew || upstreamGuard->endpoint.state != stateBefore;
    if (isChanged && m_hooks.crashes.upstreamChanged)
        m_hooks.crashes.upstreamChanged(upstreamGuard->endpoint);
    if (refusalReasonFor(upstreamGuard->endpoint.state) != RefusalReason::None)
        refuseWaitingForState(*upstreamGuard);
    else
        processQueue(upstreamGuard);
    if (upstreamGuard->endpoint.state == UpstreamState::Gone)
        m_upstreams.erase(upstreamGuard->endpoint.name);
}

void ExecutorBase::recordSignals(LocalUpstream& upstream, const ResponseSignals& signals)
{
    upstream.backpressure.recordResponse(signals);
    applyBackpressure(upstream);
}

void ExecutorBase::recordNotice(LocalUpstream& upstream, const UpstreamNotice& notice)
{
    upstream.backpressure.recordNotice(notice);
    applyBackpressure(upstream);
}

void ExecutorBase::recordRefusal(LocalUpstream& upstream, RefusalReason reason)
{
    if (reason == RefusalReason::RateLimited)
        return;
    if (!upstream.stall.refused(currentInstant()))
        return;
    ++m_hooks.running->stalls;
    LoadReport load = upstream.queue->report();
    log(LogLevel::Warning, "upstream.stalled",
        { { "upstream", upstream.endpoint.name }, { "process", processOf(upstream.endpoint) },
            { "reason", toString(reason) }, { "running", load.running }, { "queued", load.queued },
            { "slots", upstream.endpoint.slots }, { "refused", upstream.stall.refusals() } });
}

void ExecutorBase::applyBackpressure(LocalUpstream& upstream)
{
    UpstreamEndpoint& endpoint = upstream.endpoint;
    if (upstream.rate != upstream.backpressure.rate()) {
        upstream.rate = upstream.backpressure.rate();
        upstream.queue->setRate(upstream.rate, currentInstant());
        log(LogLevel::Info, "upstream.rate_limit",
            { { "upstream", endpoint.name }, { "process", processOf(endpoint) },
                { "per_second", upstream.rate.value_or(0) } });
    }
    // Without an identity, a process that starts at the same address could not be told from the one that left.
    bool isLeaving = upstream.backpressure.isLeaving() && !endpoint.instance.empty();
    if (!isLeaving || endpoint.state >= UpstreamState::Draining)
        return;
    endpoint.state = UpstreamState::Draining;
    log(LogLevel::Info, "upstream.leaving", { { "upstream", endpoint.name }, { "process", processOf(endpoint) } });
    refuseWaitingForState(upstream);
    if (m_hooks.upstreamLeaving)
        m_hooks.upstreamLeaving(endpoint);
}

std::optional<LoadReport> ExecutorBase::report(std::string_view upstream) const
{
    auto it = m_upstreams.find(upstream);
    return it == m_upstreams.end() ? std::nullopt : std::optional(it->second->report(currentInstant()));
}

void ExecutorBase::refuseWaitingForState(LocalUpstream& upstream)
{
    refuseAllWaiting(upstream, refusalReasonFor(upstream.endpoint.state), "executor.upstream");
}

void ExecutorBase::refuseAllWaiting(LocalUpstream& upstream, RefusalReason reason, const char* step)
{
    Instant now = currentInstant();
    auto waiting = std::move(upstream.waiting);
    upstream.waiting.clear();
    for (const auto& [ticket, job] : waiting)
        upstream.queue->cancel(ticket, now);
    for (const auto& [ticket, job] : waiting)
        job->refuse(reason, step);
}

void ExecutorBase::onRequest(std::shared_ptr<RelayExchange> exchange)
{
    auto job = std::make_shared<ExecutorJob>(*this, std::move(exchange));
    m_jobs.insert(job);
    if (!m_sweepSource) {
        m_sweepSource = m_task.every(sweepInterval, [this] {
            sweep();
            return true;
        });
    }
    job->start();
}

void ExecutorBase::onToken(TokenQuery&& query, std::function<void(TokenReply)> reply)
{
    if (m_hooks.token)
        m_hooks.token(std::move(query), std::move(reply));
    else
        reply({ query.requestId, m_identity.incarnation, randomId(), tokenLifetimeMs });
}

void ExecutorBase::processQueue(const std::shared_ptr<LocalUpstream>& upstream)
{
    Instant now = currentInstant();
    while (auto expired = upstream->queue->takeRefusal(now)) {
        auto waitingJob = upstream->waiting.extract(expired->ticket);
        recordRefusal(*upstream, expired->reason);
        if (waitingJob)
            waitingJob.mapped()->refuse(expired->reason, "executor.admission");
    }
    while (auto ticket = upstream->queue->takeReady(now)) {
        auto waitingJob = upstream->waiting.extract(*ticket);
        if (waitingJob)
            waitingJob.mapped()->dispatch();
        else
            upstream->queue->finish(*ticket, {}, false, now);
    }
}

void ExecutorBase::sweep()
{
    Instant now = currentInstant();
    auto upstreams = m_upstreams;
    for (const auto& [name, upstream] : upstreams) {
        if (!upstream->waiting.empty())
            processQueue(upstream);
    }
    std::vector<std::shared_ptr<ExecutorJob>> jobs(m_jobs.begin(), m_jobs.end());
    for (const auto& job : jobs)
        job->checkDeadline(now);
    if (m_jobs.empty())
        m_sweepSource.reset();
}

void ExecutorBase::remove(const std::shared_ptr<ExecutorJob>& job)
{
    m_jobs.erase(job);
    if (!m_draining || !m_jobs.empty() || !m_onDrained)
        return;
    m_server.close();
    m_task.post(std::exchange(m_onDrained, nullptr));
}

void ExecutorBase::drain(std::function<void()> done)
{
    m_draining = true;
    m_onDrained = std::move(done);
    // Queued requests have not reached an upstream, so their entries can still try another one. If they ran here, the
    // drain limit could end this process before they complete.
    auto upstreams = m_settings.drainTimeout > Duration {} ? m_upstreams : decltype(m_upstreams) {};
    for (const auto& [name, upstream] : upstreams)
        refuseAllWaiting(*upstream, RefusalReason::Draining, "executor.drain");
    if (m_jobs.empty() && m_onDrained) {
        m_server.close();
        m_task.post(std::exchange(m_onDrained, nullptr));
    }
}

} // namespace Gooseberrymill

#include "Node.h"

#include "core/AdmissionQueue.h"
#include "FleetAuth.h"
#include "Log.h"

#include <atomic>
#include <fmt/format.h>
#include <future>

namespace Gooseberrymill {

namespace {

// Limit of the backoff after a failed relay path when nodes are discovered through the store: entries are not notified
// when a node is reachable again, so they retry soon.
constexpr Duration maxRelayBackoff = 2s;

} // namespace

void runAndWait(Task& task, std::function<void()> function)
{
    std::promise<void> done;
    task.post([&] {
        function();
        done.set_value();
    });
    done.get_future().wait();
}

Node::Node(Settings settings, ExecutorHooks executorHooks, EntryHooksFactory makeEntryHooks, Id128 incarnation)
    : m_settings(std::move(settings))
    , m_identity { m_settings.fleetKey, m_settings.nodeName, incarnation ? incarnation : randomId() }
    , m_executorHooks(std::move(executorHooks))
    , m_makeEntryHooks(std::move(makeEntryHooks))
{
}

Node::~Node() { endTasks(); }

std::optional<Error> Node::start()
{
    if (auto error = startExecutor())
        return error;
    return startWorkers();
}

std::optional<Error> Node::startExecutor()
{
    m_executorTask = std::make_unique<Task>("executor", Task::Thread::New);
    m_executorTask->start();
    std::optional<Error> failure;
    runAndWait(*m_executorTask, [&] {
        auto makeQueue
            = [](const UpstreamEndpoint& endpoint) { return AdmissionQueue(endpoint.slots, AdmissionPolicy()); };
        m_executor = std::make_unique<Executor<AdmissionQueue>>(
            *m_executorTask, m_settings, m_identity, m_executorHooks, makeQueue);
        if (m_executorHooks.started)
            m_executorHooks.started(*m_executorTask);
        auto port = m_executor->listen(m_settings.relayListen);
        if (port)
            m_relayPort = port.value();
        else
            failure = port.error();
    });
    return failure;
}

std::optional<Error> Node::startWorkers()
{
    std::optional<Error> failure;
    auto notices = std::make_shared<SharedNoticeBook>();
    m_callerPort = m_settings.callerListen.port;
    for (uint32_t i = 0; i < std::max(1U, m_settings.workers) && !failure; ++i) {
        Worker& worker = m_workers.emplace_back();
        worker.task = std::make_unique<Task>(fmt::format("entry-{}", i), Task::Thread::New);
        worker.task->start();
        runAndWait(*worker.task, [&] {
            BalancerOptions options;
            if (m_settings.discovery == Discovery::Store) {
                options.prefersDegradedInRegion = true;
                options.maxPathBackoff = maxRelayBackoff;
            }
            EntryHooks hooks = m_makeEntryHooks ? m_makeEntryHooks() : EntryHooks {};
            hooks.notices = notices;
            worker.entry = std::make_unique<EntryServer<Balancer>>(*worker.task, m_settings, m_identity,
                std::move(hooks), Balancer(m_settings.location, randomId().low, options));
            auto port = worker.entry->listen(m_settings.callerListen.host, m_callerPort);
            if (port)
                m_callerPort = port.value();
            else
                failure = port.error();
        });
    }
    log(LogLevel::Info, "listening",
        { { "node", m_settings.nodeName }, { "callers", m_callerPort }, { "relay", m_relayPort } });
    return failure;
}

std::string Node::relayAddress() const
{
    return m_settings.relayAdvertise.empty() ? fmt::format("{}:{}", m_settings.relayListen.host, m_relayPort)
                                             : m_settings.relayAdvertise;
}

void Node::setRoutes(const std::shared_ptr<const RouteTable>& routes, const std::shared_ptr<void>& inUse)
{
    setExecutorRoutes(routes, inUse);
    for (Worker& worker : m_workers)
        worker.task->post([entry = worker.entry.get(), routes, inUse] { entry->setRoutes(routes); });
}

void Node::setExecutorRoutes(const std::shared_ptr<const RouteTable>& routes, const std::shared_ptr<void>& inUse)
{
    m_executorTask->post([this, routes, inUse] { m_executor->setRoutes(routes); });
}

void Node::setCandidates(const std::shared_ptr<const CandidateList>& candidates)
{
    for (Worker& worker : m_workers)
        worker.task->post([entry = worker.entry.get(), candidates] { entry->setCandidates(candidates); });
}

void Node::updateCandidates(const std::shared_ptr<const CandidateChanges>& changes)
{
    for (Worker& worker : m_workers)
        worker.task->post([entry = worker.entry.get(), changes] { entry->updateCandidates(*changes); });
}

void Node::setUpstream(UpstreamEndpoint endpoint)
{
    m_executorTask->post([this, endpoint = std::move(endpoint)] { m_executor->setUpstream(endpoint); });
}

void Node::stop(std::function<void()> done)
{
    auto remaining = std::make_shared<std::atomic<size_t>>(m_workers.size() + 1);
    auto partEnded = [remaining, done = std::move(done)] {
        if (remaining->fetch_sub(1) == 1)
            done();
    };
    m_executorTask->post([this, partEnded] { m_executor->drain(partEnded); });
    for (Worker& worker : m_workers)
        stopWorker(worker, partEnded);
}

void Node::stopWorker(Worker& worker, std::function<void()> done)
{
    worker.task->post([this, &worker, done = std::move(done)] {
        worker.entry->startDraining();
        worker.graceTimer = worker.task->every(m_settings.drainGracePeriod, [&worker, done] {
            worker.entry->finishDraining(done);
            return false;
        });
    });
}

void Node::endTasks()
{
    for (Worker& worker : m_workers) {
        runAndWait(*worker.task, [&] {
            worker.graceTimer.reset();
            worker.entry.reset();
        });
        worker.task.reset();
    }
    m_workers.clear();
    if (m_executorTask)
        runAndWait(*m_executorTask, [&] {
            m_executor.reset();
            if (m_executorHooks.stopped)
                m_executorHooks.stopped();
        });
    m_executorTask.reset();
}

} // namespace Gooseberrymill

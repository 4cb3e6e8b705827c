// The data plane of one node process: starts its executor and entry tasks and shuts them down gracefully.
#pragma once

#include "EntryServer.h"
#include "Executor.h"

namespace Gooseberrymill {

class Node {
public:
    // Called once for each entry worker, since workers run on different threads and must not share hooks.
    using EntryHooksFactory = std::function<EntryHooks()>;

    explicit Node(Settings, ExecutorHooks = {}, EntryHooksFactory = {}, Id128 incarnation = {});
    ~Node(); // stops at once; call stop() first for a graceful shutdown

    // Binds the listeners and starts the tasks. callerPort() and relayAddress() are valid afterwards.
    std::optional<Error> start();

    // The setters may be called from any thread and take effect in the order of the calls.
    // `inUse`, if set, is released by each task once it uses the routes.
    void setRoutes(const std::shared_ptr<const RouteTable>&, const std::shared_ptr<void>& inUse = {});
    void setExecutorRoutes(const std::shared_ptr<const RouteTable>&,
        const std::shared_ptr<void>& inUse = {}); // does not update the entry workers
    void setCandidates(const std::shared_ptr<const CandidateList>&); // candidates of all services
    void updateCandidates(const std::shared_ptr<const CandidateChanges>&);
    void setUpstream(UpstreamEndpoint);

    // Graceful shutdown: rejects relayed requests, answers callers with `Connection: close` for `drainGracePeriod`,
    // stops listening and waits for every request in flight. `done` runs on a task of the node.
    void stop(std::function<void()> done);

    // Posts the message to the executor's task and returns at once.
    void postToExecutor(Mailbox::Message message) { m_executorTask->post(std::move(message)); }

    uint64_t relayDropCount() const { return m_executor->relayDropCount(); } // may be called from any task
    uint16_t callerPort() const { return m_callerPort; }
    std::string relayAddress() const; // the advertised address if set, otherwise the bound one
    const Id128& incarnation() const { return m_identity.incarnation; }
    const Settings& settings() const { return m_settings; }

private:
    struct Worker {
        std::unique_ptr<Task> task;
        std::unique_ptr<EntryWorker> entry;
        SourceHandle graceTimer;
    };

    std::optional<Error> startExecutor();
    std::optional<Error> startWorkers();
    void stopWorker(Worker&, std::function<void()> done);
    void endTasks();

    Settings m_settings;
    RelayIdentity m_identity;
    ExecutorHooks m_executorHooks;
    EntryHooksFactory m_makeEntryHooks;
    uint16_t m_callerPort = 0;
    uint16_t m_relayPort = 0;
    std::unique_ptr<Task> m_executorTask;
    std::unique_ptr<ExecutorBase> m_executor;
    std::deque<Worker> m_workers; // a deque, since tasks hold references to its elements
};

// Runs `function` on the task and blocks until it has returned. Only for startup and shutdown: two running tasks that
// wait for each other deadlock.
void runAndWait(Task&, std::function<void()> function);

} // namespace Gooseberrymill

// One process of the fleet: its tasks, their start and their graceful end.
#pragma once

#include "EntryServer.h"
#include "Executor.h"

namespace Gooseberrymill {

class Node {
public:
    // Each entry worker gets hooks of its own, since workers run on different threads.
    using EntryHooksFactory = std::function<EntryHooks()>;

    explicit Node(Settings, ExecutorHooks = {}, EntryHooksFactory = {}, Id128 incarnation = {});
    ~Node(); // ends at once; call stop() before for a graceful end

    // Binds the listeners and starts the tasks. The ports taken are known afterwards.
    std::optional<Error> start();

    // Control. May be called from any thread; each takes effect in the order of the calls.
    void setRoutes(const std::shared_ptr<const RouteTable>&);
    void setExecutorRoutes(const std::shared_ptr<const RouteTable>&); // without the entries, which follow later
    void setCandidates(const std::shared_ptr<const CandidateList>&); // of all services
    void updateCandidates(const std::shared_ptr<const CandidateChanges>&);
    void setUpstream(UpstreamEndpoint);

    // Graceful end: refuses relayed requests, answers callers with `Connection: close` for `drainGrace`, stops
    // listening, waits for every request in flight. `done` runs on a task of the node.
    void stop(std::function<void()> done);

    // Runs the message on the executor's task.
    void postToExecutor(Mailbox::Message message) { m_executorTask->post(std::move(message)); }

    uint64_t relayDropCount() const { return m_executor->relayDropCount(); } // from any task
    uint16_t callerPort() const { return m_callerPort; }
    std::string relayAddress() const; // advertised, or the one bound
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
    std::deque<Worker> m_workers; // tasks refer to its elements
};

// Runs `function` on the task and waits for it. Only for start and end, never between running tasks.
void runAndWait(Task&, std::function<void()> function);

} // namespace Gooseberrymill

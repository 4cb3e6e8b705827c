// Task: a thread with its own GLib main context. A task owns its sockets and state; other tasks communicate with it
// only by posting messages.
#pragma once

#include "core/Basics.h"
#include "GlibHandles.h"

#include <deque>
#include <mutex>
#include <thread>

namespace Gooseberrymill {

// Current monotonic time. Code in src/core never reads a clock; its callers pass this time in.
Instant currentInstant();
WallTime currentWallTime();

// Queue of functions that run on the thread of a main context, in the order in which they were posted. Thread-safe.
class Mailbox {
public:
    using Message = std::function<void()>;

    explicit Mailbox(GMainContext* context);

    void post(Message);

private:
    static gboolean dispatch(GSource*, GSourceFunc, gpointer);
    void runAll();

    std::mutex m_mutex;
    std::deque<Message> m_messages;
    SourceHandle m_source; // declared last so that it is destroyed first: its callback uses the other members
};

// Event loop with a mailbox, on a new thread or on the calling thread.
class Task {
public:
    // New: start() creates a thread with its own context. Current: run() uses the calling thread and the global default
    // context; used by the control task.
    enum class Thread : uint8_t { New, Current };

    Task(std::string name, Thread);
    Task(const Task&) = delete;
    Task& operator=(const Task&) = delete;
    ~Task(); // stops the loop and joins the thread

    const std::string& name() const { return m_name; }
    GMainContext* context() const { return m_context.get(); }
    void post(Mailbox::Message message) { m_mailbox->post(std::move(message)); }

    void start(); // starts the thread; with Thread::Current use run()
    void run(); // runs the loop on the calling thread until stop()
    void stop(); // may be called from any thread; returns without waiting for the loop to end

    // Calls `function` on this task every `delay`, first after one `delay`, until it returns false or the handle is
    // destroyed.
    SourceHandle every(Duration delay, std::function<bool()> function);

private:
    std::string m_name;
    ContextHandle m_context;
    LoopHandle m_loop;
    std::unique_ptr<Mailbox> m_mailbox;
    std::thread m_thread;
};

} // namespace Gooseberrymill

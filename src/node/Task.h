// A task: a thread with a GLib main context of its own. It owns its sockets and state; other tasks reach
// it only by posting messages.
#pragma once

#include "core/Basics.h"
#include "GlibHandles.h"

#include <deque>
#include <mutex>
#include <thread>

namespace Gooseberrymill {

// Monotonic time now. The decision core gets its time from here, through its callers.
Instant currentInstant();
WallTime currentWallTime();

// Runs messages in the order they were posted. A message may be posted from any thread.
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
    SourceHandle m_source; // last: its destruction must come first
};

class Task {
public:
    // A new thread, or the calling thread's default context for the control task.
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
    void stop(); // from any thread; returns at once

    // Calls `function` on this task after `delay`, then every `delay` while it returns true.
    SourceHandle every(Duration delay, std::function<bool()> function);

private:
    std::string m_name;
    ContextHandle m_context;
    LoopHandle m_loop;
    std::unique_ptr<Mailbox> m_mailbox;
    std::thread m_thread;
};

} // namespace Gooseberrymill

#include "Task.h"

namespace Gooseberrymill {

Instant currentInstant() { return Instant(Duration(g_get_monotonic_time())); }

WallTime currentWallTime()
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

namespace {

struct MailboxSource {
    GSource source;
    Mailbox* mailbox;
};

} // namespace

Mailbox::Mailbox(GMainContext* context)
{
    static GSourceFuncs functions { nullptr, nullptr, &Mailbox::dispatch, nullptr, nullptr, nullptr };
    GSource* source = g_source_new(&functions, sizeof(MailboxSource));
    reinterpret_cast<MailboxSource*>(source)->mailbox = this;
    g_source_attach(source, context);
    m_source = SourceHandle(source);
}

void Mailbox::post(Message message)
{
    std::lock_guard lock(m_mutex);
    m_messages.push_back(std::move(message));
    if (m_messages.size() == 1)
        g_source_set_ready_time(m_source.get(), 0); // wakes the loop
}

gboolean Mailbox::dispatch(GSource* source, GSourceFunc, gpointer)
{
    reinterpret_cast<MailboxSource*>(source)->mailbox->runAll();
    return G_SOURCE_CONTINUE;
}

void Mailbox::runAll()
{
    std::deque<Message> messages;
    {
        std::lock_guard lock(m_mutex);
        messages.swap(m_messages);
        g_source_set_ready_time(m_source.get(), -1);
    }
    for (Message& message : messages)
        message();
}

Task::Task(std::string name, Thread thread)
    : m_name(std::move(name))
    , m_context(thread == Thread::New ? g_main_context_new() : g_main_context_ref(g_main_context_default()))
    , m_loop(g_main_loop_new(m_context.get(), FALSE))
    , m_mailbox(std::make_unique<Mailbox>(m_context.get()))
{
}

Task::~Task()
{
    stop();
    if (m_thread.joinable())
        m_thread.join();
}

void Task::start()
{
    m_thread = std::thread([this] { run(); });
}

void Task::run()
{
    g_main_context_push_thread_default(m_context.get());
    g_main_loop_run(m_loop.get());
    g_main_context_pop_thread_default(m_context.get());
}

void Task::stop()
{
    // g_main_loop_quit() has no effect before the loop runs, so it is posted: a stop() before run() is not lost.
    post([this] { g_main_loop_quit(m_loop.get()); });
}

SourceHandle Task::every(Duration delay, std::function<bool()> function)
{
    auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(delay).count();
    GSource* source = g_timeout_source_new(static_cast<guint>(millis));
    auto* stored = new std::function<bool()>(std::move(function));
    g_source_set_callback(
        source, [](gpointer data) -> gboolean { return (*static_cast<std::function<bool()>*>(data))(); }, stored,
        [](gpointer data) { delete static_cast<std::function<bool()>*>(data); });
    g_source_attach(source, m_context.get());
    return SourceHandle(source);
}

} // namespace Gooseberrymill

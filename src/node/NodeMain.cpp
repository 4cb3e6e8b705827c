#include "NodeMain.h"

#include "ControlPlane.h"
#include "Log.h"

#include <glib-unix.h>

namespace Gooseberrymill {

namespace {

struct Stopper {
    Task& task;
    ControlPlane& control;

    static gboolean onSignal(gpointer data)
    {
        auto& self = *static_cast<Stopper*>(data);
        self.control.stop([task = &self.task] { task->stop(); });
        return G_SOURCE_CONTINUE;
    }
};

SourceHandle watchSignal(int number, Task& task, Stopper& stopper)
{
    GSource* source = g_unix_signal_source_new(number);
    g_source_set_callback(source, &Stopper::onSignal, &stopper, nullptr);
    g_source_attach(source, task.context());
    return SourceHandle(source);
}

} // namespace

int runNode(const Settings& settings)
{
    Task task("control", Task::Thread::Current);
    ControlPlane control(task, settings);
    Stopper stopper { task, control };
    SourceHandle terminate = watchSignal(SIGTERM, task, stopper);
    SourceHandle interrupt = watchSignal(SIGINT, task, stopper);
    if (auto error = control.start()) {
        log(LogLevel::Error, "node.start", *error, { { "node", settings.nodeName } });
        return 1;
    }
    task.run();
    return 0;
}

} // namespace Gooseberrymill

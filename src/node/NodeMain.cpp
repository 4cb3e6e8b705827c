#include "NodeMain.h"

#include "ControlPlane.h"
#include "DirectoryControl.h"
#include "Log.h"

#include <glib-unix.h>

namespace Gooseberrymill {

namespace {

// Shuts the node down on a signal and then ends the loop of the control task.
struct Stopper {
    Task& task;
    NodeControl& control;

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

std::unique_ptr<NodeControl> makeControl(Task& task, const Settings& settings)
{
    if (settings.discovery == Discovery::Store)
        return std::make_unique<DirectoryControl>(task, settings, findPlatformAdapter(settings.platform));
    return std::make_unique<ControlPlane>(task, settings);
}

// Handles SIGHUP. Settings are read only at the start of the process, so this only logs that a changed file takes
// effect at the next start.
gboolean onReload(gpointer)
{
    log(LogLevel::Info, "node.reload", { { "effect", "settings take effect at the next start" } });
    return G_SOURCE_CONTINUE;
}

SourceHandle watchReload(Task& task)
{
    GSource* source = g_unix_signal_source_new(SIGHUP);
    g_source_set_callback(source, &onReload, nullptr, nullptr);
    g_source_attach(source, task.context());
    return SourceHandle(source);
}

} // namespace

int runNode(const Settings& settings)
{
    Task task("control", Task::Thread::Current);
    std::unique_ptr<NodeControl> control = makeControl(task, settings);
    Stopper stopper { task, *control };
    SourceHandle reload = watchReload(task);
    SourceHandle terminate = watchSignal(SIGTERM, task, stopper);
    SourceHandle interrupt = watchSignal(SIGINT, task, stopper);
    if (auto error = control->start()) {
        log(LogLevel::Error, "node.start", *error, { { "node", settings.nodeName } });
        return 1;
    }
    task.run();
    return 0;
}

} // namespace Gooseberrymill

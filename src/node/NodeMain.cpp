#include "NodeMain.h"

#include "ControlPlane.h"
#include "DirectoryControl.h"
#include "Log.h"

#include <glib-unix.h>

namespace Gooseberrymill {

namespace {

// Shuts the node down on a signal and then ends the loop of the control task.
struct ShutdownHandler {
    Task& task;
    NodeControl& control;

    static gboolean onSignal(gpointer data)
    {
        auto& self = *static_cast<ShutdownHandler*>(data);
        self.control.stop([task = &self.task] { task->stop(); });
        return G_SOURCE_CONTINUE;
    }
};

SourceHandle watchShutdownSignal(int signalNumber, Task& task, ShutdownHandler& shutdownHandler)
{
    GSource* source = g_unix_signal_source_new(signalNumber);
    g_source_set_callback(source, &ShutdownHandler::onSignal, &shutdownHandler, nullptr);
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
gboolean onReloadSignal(gpointer)
{
    log(LogLevel::Info, "node.reload", { { "effect", "settings take effect at the next start" } });
    return G_SOURCE_CONTINUE;
}

SourceHandle watchReloadSignal(Task& task)
{
    GSource* source = g_unix_signal_source_new(SIGHUP);
    g_source_set_callback(source, &onReloadSignal, nullptr, nullptr);
    g_source_attach(source, task.context());
    return SourceHandle(source);
}

} // namespace

int runNode(const Settings& settings)
{
    Task task("control", Task::Thread::Current);
    std::unique_ptr<NodeControl> control = makeControl(task, settings);
    ShutdownHandler shutdownHandler { task, *control };
    SourceHandle reloadSource = watchReloadSignal(task);
    SourceHandle terminateSource = watchShutdownSignal(SIGTERM, task, shutdownHandler);
    SourceHandle interruptSource = watchShutdownSignal(SIGINT, task, shutdownHandler);
    if (auto error = control->start()) {
        log(LogLevel::Error, "node.start", *error, { { "node", settings.nodeName } });
        return 1;
    }
    task.run();
    return 0;
}

} // namespace Gooseberrymill

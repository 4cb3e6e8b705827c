// The store stand-in as a program. Logs its ports as "listening" and stops on SIGTERM.
// Usage: StoreStandIn [PORT]
#include "StoreStandIn.h"

#include "Log.h"

#include <cstdlib>
#include <glib-unix.h>

using namespace Gooseberrymill;

int main(int argc, char** argv)
{
    g_setenv("GIO_USE_VFS", "local", TRUE);
    g_setenv("GIO_USE_PROXY_RESOLVER", "dummy", TRUE);
    g_setenv("GSETTINGS_BACKEND", "memory", TRUE);
    LoopHandle loop(g_main_loop_new(nullptr, FALSE));
    StoreStandIn standIn(argc > 1 ? static_cast<uint16_t>(std::strtoul(argv[1], nullptr, 10)) : 0);
    log(LogLevel::Info, "listening", { { "port", standIn.port() }, { "adminPort", standIn.adminPort() } });
    g_unix_signal_add(
        SIGTERM,
        [](gpointer data) -> gboolean {
            g_main_loop_quit(static_cast<GMainLoop*>(data));
            return G_SOURCE_CONTINUE;
        },
        loop.get());
    g_main_loop_run(loop.get());
    return 0;
}

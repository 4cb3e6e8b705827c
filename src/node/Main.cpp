// Entry point of the gooseberrymill program.
#include "Verbs.h"

#include <glib.h>

int main(int argc, char** argv)
{
    // GLib would otherwise load modules that start helper processes or read the desktop's settings.
    g_setenv("GIO_USE_VFS", "local", TRUE);
    g_setenv("GIO_USE_PROXY_RESOLVER", "dummy", TRUE);
    g_setenv("GSETTINGS_BACKEND", "memory", TRUE);
    std::vector<std::string> arguments(argv + 1, argv + argc);
    return Gooseberrymill::runCommandLine(arguments);
}

#include "NodeMain.h"

#include "Log.h"

namespace Gooseberrymill {

int runNode(const Settings& settings)
{
    log(LogLevel::Error, "node.unsupported", { { "node", settings.nodeName } });
    return 1;
}

} // namespace Gooseberrymill

// Interface through which the main program starts and stops the control plane of a node.
#pragma once

#include "core/Basics.h"

namespace Gooseberrymill {

class NodeControl {
public:
    virtual ~NodeControl() = default;
    // Binds all sockets and starts the tasks.
    virtual std::optional<Error> start() = 0;
    // Graceful shutdown: finishes every request, then calls `done`. A second call does nothing.
    virtual void stop(std::function<void()> done) = 0;
};

} // namespace Gooseberrymill

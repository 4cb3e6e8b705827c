// Metrics of the requests that run at the upstreams of a node.
#pragma once

#include "Executor.h"
#include "Metrics.h"

namespace Gooseberrymill {

inline void setRunningMetrics(MetricsRegistry& metrics, const RunningRequests& running)
{
    auto set = [&metrics](const char* name, const char* help, auto value) {
        metrics.gauge(name, help).set(static_cast<double>(value));
    };
    set("upstream_running_count", "Requests that run at the upstreams of this node.", running.total.load());
    set("upstream_unanswered_count",
        "Non-repeatable requests given up without a whole response of the upstream, since the start.",
        running.unanswered.load());
    set("upstream_stalls_count", "Times at which an upstream got no request for 2 s although requests were refused.",
        running.stalls.load());
}

} // namespace Gooseberrymill

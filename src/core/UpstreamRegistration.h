// Registration of the upstream beside this node. It derives from the announcements which process serves at the
// upstream's address and whether it is draining. Announcements may arrive late, out of order, from an earlier process
// or from another service. Does no I/O.
#pragma once

#include "Basics.h"

namespace Gooseberrymill {

// One announcement of an upstream process.
struct UpstreamReport {
    std::string instance; // identity of the process; a restarted process may keep it
    std::string service;
    std::string address; // "ip:port"
    uint64_t processStartedAt = 0; // start time of the process, in milliseconds of its own clock
    uint64_t sequence = 0; // increases with each announcement of a process; 0: unknown, order of arrival counts
    uint32_t slots = 1;
    UpstreamState state = UpstreamState::Ready; // cold, ready or draining
};

enum class ReportResult : uint8_t {
    Applied, // replaced the current report
    Outdated, // from an earlier process, or older than the last one applied; ignored
    Foreign, // of another service or address; ignored
};

// Keeps the latest valid report of the upstream.
class UpstreamRegistration {
public:
    // An empty `service` or `address` accepts any.
    UpstreamRegistration(std::string service, std::string address)
        : m_service(std::move(service))
        , m_address(std::move(address))
    {
    }

    ReportResult applyReport(const UpstreamReport&);

    // Marks the current process as draining because it deregistered; this lasts until another process announces
    // itself. Returns false when `instance` is not the current process.
    bool markDeparted(std::string_view instance);

    const std::optional<UpstreamReport>& current() const { return m_current; } // empty before the first report

private:
    std::string m_service;
    std::string m_address;
    std::optional<UpstreamReport> m_current;
    std::vector<std::string> m_departed; // latest processes that left; late announcements do not make them ready again
};

} // namespace Gooseberrymill

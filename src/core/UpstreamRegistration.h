// Registration of the upstream beside this node. It derives from the announcements which process serves at the
// upstream's address and whether it is draining. Announcements and departures may arrive late, out of order, from an
// earlier process or from another service, and this node may have restarted in between. Does no I/O.
#pragma once

#include "RelayMessages.h"

namespace Gooseberrymill {

// One announcement of an upstream process.
struct UpstreamReport {
    std::string instance; // identity of the process; a restarted process may keep it
    std::string service;
    std::string address; // "ip:port"
    uint64_t processStartedAt = 0; // start time of the process, in milliseconds of its own clock; 0: unknown
    uint64_t sequence = 0; // increases with each announcement of a process; 0: unknown, order of arrival counts
    uint32_t slots = 1;
    UpstreamState state = UpstreamState::Ready; // cold, ready or draining
};

enum class ReportResult : uint8_t {
    Applied, // replaced the current report
    Outdated, // from an earlier process, or older than the last one applied; ignored
    Foreign, // of another service or address; ignored
};

// Keeps the latest valid report of the upstream and the departures of its processes.
class UpstreamRegistration {
public:
    // An empty `service` or `address` accepts any.
    UpstreamRegistration(std::string service, std::string address)
        : m_service(std::move(service))
        , m_address(std::move(address))
    {
    }

    ReportResult applyReport(const UpstreamReport&);

    // The departure of a process that deregistered. Without its start time (0) it is the current process, or, if that
    // is another instance, any process of this instance that started before `now`, in milliseconds of the wall clock.
    UpstreamDeparture departureOf(std::string_view instance, uint64_t processStartedAt, uint64_t now) const;

    // Keeps the process draining for good, whatever it announces and whether or not it is known yet. Returns whether it
    // is the current process.
    bool applyDeparture(const UpstreamDeparture&);

    // Of the current process, if it is draining and its identity is known.
    std::optional<UpstreamDeparture> currentDeparture() const;

    const std::optional<UpstreamReport>& current() const { return m_current; } // empty before the first report

private:
    bool hasLeft(const UpstreamReport&) const;

    std::string m_service;
    std::string m_address;
    std::optional<UpstreamReport> m_current;
    std::vector<UpstreamDeparture> m_departures; // one for each instance, the oldest first
};

} // namespace Gooseberrymill

// What the node beside an upstream knows of it from its announcements: which process serves at the address, and
// whether it leaves. Announcements may arrive late, out of order, from an earlier process or from a stranger. No I/O.
#pragma once

#include "Basics.h"

namespace Gooseberrymill {

// One announcement, as far as it identifies a process.
struct UpstreamReport {
    std::string instance; // identity of the process
    std::string service;
    std::string address; // "ip:port"
    uint64_t processStartedAt = 0; // start of the process, in milliseconds of its clock
    uint64_t sequence = 0; // raised with each announcement of a process; 0: not told, the order of arrival counts
    uint32_t slots = 1;
    UpstreamState state = UpstreamState::Ready; // cold, ready or draining
};

enum class ReportResult : uint8_t {
    Applied,
    Outdated, // of an earlier process, or older than what was heard; changes nothing
    Foreign, // of another service or address; names nothing to use
};

class UpstreamRegistration {
public:
    // Empty texts accept any service and address.
    UpstreamRegistration(std::string service, std::string address)
        : m_service(std::move(service))
        , m_address(std::move(address))
    {
    }

    ReportResult applyReport(const UpstreamReport&);

    // The process says that it leaves. True when it is the one that is known; it stays draining until another
    // process announces itself.
    bool markDeparted(std::string_view instance);

    const std::optional<UpstreamReport>& current() const { return m_current; }

private:
    std::string m_service;
    std::string m_address;
    std::optional<UpstreamReport> m_current;
    std::vector<std::string> m_departed; // instances that left, against their late announcements; bounded
};

} // namespace Gooseberrymill

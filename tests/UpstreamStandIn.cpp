// The upstream of UpstreamStandIn.h as a program. Announces itself every second when --admin is given.
// Usage: UpstreamStandIn [--admin PORT] [--name NAME] [--service NAME] [--slots N] [--state STATE] [PORT]
#include "UpstreamStandIn.h"

#include "HttpCaller.h"
#include "node/Log.h"

#include <csignal>
#include <gflags/gflags.h>

DEFINE_uint32(admin, 0, "Admin port on loopback of the node that gets the announcements; 0: none.");
DEFINE_string(name, "upstream", "Name of the upstream.");
DEFINE_string(service, "shop", "Service of the upstream.");
DEFINE_uint32(slots, 16, "Announced slots.");
DEFINE_string(state, "ready", "Announced state.");

namespace {

using namespace Gooseberrymill;

// Runs on a task of its own, because the admin port of a stopped node does not answer.
class Announcer {
public:
    explicit Announcer(uint16_t upstreamPort)
        : m_upstreamPort(upstreamPort)
        , m_task("announcer", Task::Thread::New)
    {
        if (!FLAGS_admin)
            return;
        m_task.start();
        m_task.post([this] { announce(); });
        m_timer = m_task.every(std::chrono::seconds(1), [this] {
            announce();
            return true;
        });
    }

    void setState(const std::string& state)
    {
        m_task.post([this, state] {
            FLAGS_state = state;
            announce();
        });
    }

private:
    void announce() const
    {
        nlohmann::json message { { "name", FLAGS_name }, { "service", FLAGS_service },
            { "address", fmt::format("127.0.0.1:{}", m_upstreamPort) }, { "slots", FLAGS_slots },
            { "state", FLAGS_state }, { "load", 0 } };
        Testing::HttpCaller caller(static_cast<uint16_t>(FLAGS_admin));
        auto response = caller.request(
            "POST", "/announce", { { "Content-Type", "application/json" }, { "Connection", "close" } }, message.dump());
        if (response.status != 200)
            log(LogLevel::Warning, "announce.refused", { { "status", response.status } });
    }

    uint16_t m_upstreamPort;
    Task m_task;
    SourceHandle m_timer;
};

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    disableGlibHelpers();
    Testing::UpstreamStandIn upstream(argc > 1 ? static_cast<uint16_t>(std::stoi(argv[1])) : 0);
    Announcer announcer(upstream.port());
    upstream.onCrash = [] { std::raise(SIGKILL); };
    upstream.onState = [&](const std::string& state) { announcer.setState(state); };
    log(LogLevel::Info, "listening", { { "port", upstream.port() } });
    Task wait("main", Task::Thread::Current);
    wait.run();
}

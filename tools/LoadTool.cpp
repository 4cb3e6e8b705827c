// Open-loop load: LoadTool PORT CONNECTIONS RATE SECONDS [TARGET]
// Without arguments it starts an upstream and a node and measures both ways in turn:
// LoadTool compare CONNECTIONS RATE SECONDS [WORKERS]
#include "node/Log.h"
#include "TestFleet.h"

#include <algorithm>
#include <thread>

using namespace Gooseberrymill;
using namespace Gooseberrymill::Testing;

namespace {

using Clock = std::chrono::steady_clock;

struct Figures {
    std::vector<double> millis; // from the time a request was due
    size_t failed = 0;

    double quantile(double q)
    {
        if (millis.empty())
            return 0;
        auto nth = millis.begin() + static_cast<ptrdiff_t>(q * static_cast<double>(millis.size() - 1));
        std::nth_element(millis.begin(), nth, millis.end());
        return *nth;
    }
};

// One connection with at most one request on it.
struct Lane {
    std::unique_ptr<HttpCaller> caller;
    Clock::time_point due;
    bool busy = false;
};

// Sends at fixed times, each on the connection that was idle longest, and waits for all responses with poll().
Figures run(uint16_t port, size_t connections, double rate, std::chrono::seconds length, const std::string& target)
{
    Figures figures;
    std::deque<Lane> lanes;
    std::deque<size_t> idle;
    for (size_t i = 0; i < connections; ++i) {
        auto& lane = lanes.emplace_back();
        lane.caller = std::make_unique<HttpCaller>(port);
        lane.caller->request("GET", target); // opens the connections on the way too
        idle.push_back(i);
    }
    auto gap = std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(1 / rate));
    auto next = Clock::now();
    auto end = next + length;
    std::vector<pollfd> entries;
    while (next < end || idle.size() < connections) {
        auto now = Clock::now();
        while (next <= now && next < end && !idle.empty()) {
            Lane& lane = lanes[idle.front()];
            idle.pop_front();
            lane.due = next;
            lane.busy = true;
            lane.caller->sendHead("GET", target);
            next += gap;
        }
        entries.clear();
        std::vector<size_t> owners;
        for (size_t i = 0; i < lanes.size(); ++i) {
            if (lanes[i].busy) {
                entries.push_back({ lanes[i].caller->descriptor(), POLLIN, 0 });
                owners.push_back(i);
            }
        }
        auto wait = std::clamp<Clock::duration>(next - Clock::now(), Clock::duration(0), 10ms);
        timespec limit { 0, std::chrono::duration_cast<std::chrono::nanoseconds>(wait).count() };
        if (ppoll(entries.data(), entries.size(), &limit, nullptr) <= 0)
            continue;
        for (size_t k = 0; k < entries.size(); ++k) {
            if (!entries[k].revents)
                continue;
            Lane& lane = lanes[owners[k]];
            auto response = lane.caller->receive();
            figures.millis.push_back(std::chrono::duration<double, std::milli>(Clock::now() - lane.due).count());
            figures.failed += response.status != 200 || !response.complete;
            lane.busy = false;
            idle.push_back(owners[k]);
        }
    }
    return figures;
}

void print(const char* name, size_t connections, Figures& figures)
{
    fmt::print(
        "{:<8} connections {:>4} requests {:>6} failed {} median {:.3f} ms p90 {:.3f} ms p99 {:.3f} ms max {:.3f} ms\n",
        name, connections, figures.millis.size(), figures.failed, figures.quantile(0.5), figures.quantile(0.9),
        figures.quantile(0.99), figures.quantile(1));
    std::fflush(stdout);
}

} // namespace

int main(int argc, char** argv)
{
    if (argc < 5) {
        fmt::print(stderr, "usage: LoadTool PORT|compare CONNECTIONS RATE SECONDS [TARGET|WORKERS]\n");
        return 2;
    }
    disableGlibHelpers();
    size_t connections = std::stoul(argv[2]);
    double rate = std::stod(argv[3]);
    std::chrono::seconds length(std::stol(argv[4]));
    if (std::string(argv[1]) != "compare") {
        auto figures = run(
            static_cast<uint16_t>(std::stoi(argv[1])), connections, rate, length, argc > 5 ? argv[5] : "/read/load");
        print("load", connections, figures);
        return 0;
    }
    TestFleet fleet({ .nodes = 1, .slots = 512, .workers = argc > 5 ? static_cast<uint32_t>(std::stoul(argv[5])) : 4 });
    auto direct = run(fleet.upstream().port(), connections, rate, length, "/read/load");
    print("direct", connections, direct);
    auto relayed = run(fleet.port(), connections, rate, length, "/read/load");
    print("relayed", connections, relayed);
    fmt::print("added    median {:.3f} ms p99 {:.3f} ms\n", relayed.quantile(0.5) - direct.quantile(0.5),
        relayed.quantile(0.99) - direct.quantile(0.99));
}

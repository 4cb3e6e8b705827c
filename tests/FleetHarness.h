// A fleet of real processes on loopback for tests under failure: the binary, the store and the upstreams.
//
//     Fleet fleet({ .nodes = 3 });                  // starts everything and waits until it is ready
//     auto response = fleet.call(0, "GET", "/read/1");
//     fleet.node(1).process->signal(SIGKILL);       // one process by its pid
//     fleet.runs("/order/1");                       // requests that reached any upstream
//
// Every process is killed when its object goes, and when the test program ends.
#pragma once

#include "HttpCaller.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>

namespace Gooseberrymill::Testing {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

// Bound for steps that take a fraction of a second on an idle machine.
constexpr auto eventLimit = 30s;

// Polls until the event came; false when it did not come within the limit.
inline bool waitUntil(const std::function<bool()>& event, Clock::duration limit = eventLimit)
{
    auto end = Clock::now() + limit;
    while (!event()) {
        if (Clock::now() > end)
            return false;
        std::this_thread::sleep_for(10ms);
    }
    return true;
}

//-----------------------------------------------------------------------------
// [SECTION] Processes
//-----------------------------------------------------------------------------

class ChildProcess {
public:
    ChildProcess(const std::vector<std::string>& arguments, std::string logFile)
        : m_logFile(std::move(logFile))
    {
        std::vector<char*> argv;
        argv.reserve(arguments.size() + 1);
        for (const std::string& it : arguments)
            argv.push_back(const_cast<char*>(it.c_str()));
        argv.push_back(nullptr);
        m_pid = fork();
        BOOST_REQUIRE(m_pid >= 0);
        if (!m_pid)
            execute(argv);
    }
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;
    ~ChildProcess()
    {
        if (m_status)
            return;
        kill(m_pid, SIGKILL);
        waitpid(m_pid, nullptr, 0);
    }

    void signal(int number)
    {
        if (isRunning())
            kill(m_pid, number);
    }

    bool isRunning()
    {
        int status = 0;
        if (!m_status && waitpid(m_pid, &status, WNOHANG) == m_pid)
            m_status = status;
        return !m_status;
    }

    // Resident memory in KiB and open descriptors; zeros when the process is gone.
    std::pair<size_t, size_t> usage() const
    {
        std::filesystem::path entry = fmt::format("/proc/{}", m_pid);
        size_t resident = 0;
        std::ifstream file(entry / "status");
        for (std::string line; std::getline(file, line);) {
            if (line.starts_with("VmRSS:"))
                resident = std::stoul(line.substr(6));
        }
        std::error_code ec;
        auto descriptors = std::filesystem::directory_iterator(entry / "fd", ec);
        return { resident, static_cast<size_t>(std::distance(begin(descriptors), end(descriptors))) };
    }

    // Exit code; nothing when the process runs on or was ended by a signal.
    std::optional<int> exitCode(Clock::duration limit = eventLimit)
    {
        waitUntil([&] { return !isRunning(); }, limit);
        return m_status && WIFEXITED(*m_status) ? std::optional(WEXITSTATUS(*m_status)) : std::nullopt;
    }

    nlohmann::json waitForLog(const std::string& event)
    {
        nlohmann::json found;
        waitUntil([&] {
            found = findLog(event);
            return !found.is_null() || !isRunning();
        });
        BOOST_REQUIRE_MESSAGE(!found.is_null(), m_logFile << ": no line " << event << "\n" << log());
        return found;
    }

    std::string log() const
    {
        std::ifstream file(m_logFile);
        return { std::istreambuf_iterator<char>(file), {} };
    }

private:
    [[noreturn]] void execute(std::vector<char*>& argv) const
    {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        int file = open(m_logFile.c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0600);
        dup2(file, STDOUT_FILENO);
        dup2(file, STDERR_FILENO);
        execv(argv.front(), argv.data());
        constexpr int notStarted = 127;
        _exit(notStarted);
    }

    nlohmann::json findLog(const std::string& event) const
    {
        std::ifstream file(m_logFile);
        for (std::string line; std::getline(file, line);) {
            auto json = nlohmann::json::parse(line, nullptr, false);
            if (json.is_object() && json.value("event", "") == event)
                return json;
        }
        return {};
    }

    std::string m_logFile;
    pid_t m_pid = -1;
    std::optional<int> m_status;
};

//-----------------------------------------------------------------------------
// [SECTION] Requests
//-----------------------------------------------------------------------------

inline CallerResponse callPort(uint16_t port, std::string_view method, std::string_view target,
    const std::vector<Header>& headers = {}, std::string_view body = {})
{
    return HttpCaller(port).request(method, target, headers, body);
}

inline std::string outcomeOf(const CallerResponse& response) { return response.header("Gooseberrymill-Outcome"); }

// For messages of failed checks.
inline std::string describe(const CallerResponse& response)
{
    return fmt::format("status {} outcome {} complete {} reset {} bytes {}: {}", response.status, outcomeOf(response),
        response.complete, response.reset, response.bodyBytes, response.body.substr(0, 300));
}

// UUID version 7 of now.
inline std::string makeKey()
{
    static std::mt19937_64 random { std::random_device {}() };
    auto millis = static_cast<uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
            .count());
    uint64_t high = millis << 16 | 7U << 12 | (random() & 0xfff);
    uint64_t low = (random() >> 2) | 1ULL << 63;
    return fmt::format("{:08x}-{:04x}-{:04x}-{:04x}-{:012x}", high >> 32, high >> 16 & 0xffff, high & 0xffff, low >> 48,
        low & 0xffffffffffff);
}

//-----------------------------------------------------------------------------
// [SECTION] Fleet
//-----------------------------------------------------------------------------

// Service "shop": "/read/*" may be repeated, "/order/*" may not.
inline std::string shopConfiguration(const std::string& extra = "")
{
    return R"([[service]]
name = "shop"
upstreams = 4
slots = 16
floorSlots = 16
retention = "1d"
[service.detection]
ramp = "0s"
[[service.route]]
name = "read"
path = "/read/*"
repeatable = true
deadline = "30s"
[[service.route]]
name = "order"
path = "/order/*"
class = "critical"
deadline = "4s"
[[service.route]]
name = "slow-order"
path = "/slow-order/*"
class = "critical"
deadline = "30s"
)" + extra;
}

struct FleetShape {
    size_t nodes = 3;
    uint32_t slots = 16;
    std::string configuration = shopConfiguration();
    std::string fleetSettings {}; // TOML keys of the section [fleet]
    std::function<std::string(size_t)> extraSettings {}; // TOML sections [listen] and [advertise] of a node
};

struct FleetNode {
    std::unique_ptr<ChildProcess> process;
    std::unique_ptr<ChildProcess> upstream;
    uint16_t callers = 0;
    uint16_t admin = 0;
    uint16_t relay = 0;
    std::string gossip;
    uint16_t upstreamPort = 0;
};

class Fleet {
public:
    explicit Fleet(FleetShape shape = {})
        : m_shape(std::move(shape))
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "gooseberrymill-XXXXXX").string();
        BOOST_REQUIRE(mkdtemp(pattern.data()));
        m_directory = pattern;
        m_store = start("store", { binary("tests/StoreStandIn") });
        auto listening = m_store->waitForLog("listening");
        m_storePort = listening["port"];
        m_storeAdmin = listening["adminPort"];
        auto applied = apply(m_shape.configuration, "fleet-test");
        BOOST_REQUIRE_MESSAGE(applied.first == 0, applied.second);
        m_nodes.resize(m_shape.nodes);
        for (size_t i = 0; i < m_shape.nodes; ++i) {
            startNode(i);
            startUpstream(i);
        }
        BOOST_REQUIRE_MESSAGE(waitUntil([&] { return isReady(); }), "fleet not ready: " << status(0).dump());
    }
    Fleet(const Fleet&) = delete;
    Fleet& operator=(const Fleet&) = delete;
    ~Fleet()
    {
        m_nodes.clear();
        m_store.reset();
        std::filesystem::remove_all(m_directory);
    }

    size_t size() const { return m_nodes.size(); }
    FleetNode& node(size_t i) { return m_nodes.at(i); }
    std::string storeUrl() const { return fmt::format("http://127.0.0.1:{}", m_storePort); }

    void startNode(size_t i)
    {
        FleetNode& node = m_nodes.at(i);
        std::string seeds;
        for (const FleetNode& it : m_nodes) {
            if (!it.gossip.empty() && &it != &node)
                seeds += fmt::format("{}\"{}\"", seeds.empty() ? "" : ", ", it.gossip);
        }
        std::string settings = fmt::format("[node]\nname = \"node-{}\"\nregion = \"r\"\ndataCentre = \"d-{}\"\n"
                                           "workers = 2\n[fleet]\nkey = \"a key for tests only\"\nseeds = [{}]\n{}"
                                           "[store]\nurl = \"{}\"\n{}",
            i, i % 2, seeds, m_shape.fleetSettings, storeUrl(), m_shape.extraSettings ? m_shape.extraSettings(i) : "");
        std::string name = fmt::format("node-{}.{}", i, ++m_started);
        node.process
            = start(name, { binary("gooseberrymill"), "serve", "--settings", write(name + ".toml", settings) });
        auto started = node.process->waitForLog("node.started");
        node.callers = started["callers"];
        node.admin = started["admin"];
        node.gossip = started["gossip"];
        node.relay = static_cast<uint16_t>(node.process->waitForLog("listening")["relay"]);
    }

    // Starts one node more, with an upstream beside it. Returns its index.
    size_t addNode()
    {
        m_nodes.emplace_back();
        startNode(m_nodes.size() - 1);
        startUpstream(m_nodes.size() - 1);
        return m_nodes.size() - 1;
    }

    // The upstream keeps its announcements to the admin port that its node had when it started.
    void startUpstream(size_t i)
    {
        FleetNode& node = m_nodes.at(i);
        node.upstream = start(fmt::format("upstream-{}.{}", i, ++m_started),
            { binary("tests/UpstreamStandIn"), fmt::format("--admin={}", node.admin), fmt::format("--name=shop-{}", i),
                fmt::format("--slots={}", m_shape.slots) });
        node.upstreamPort = node.upstream->waitForLog("listening")["port"];
    }

    // Exit code and output of `gooseberrymill apply`.
    std::pair<int, std::string> apply(const std::string& text, const std::string& author, std::string expect = "")
    {
        auto process = startApply(text, author, std::move(expect));
        auto code = process->exitCode();
        return { code.value_or(-1), process->log() };
    }

    std::unique_ptr<ChildProcess> startApply(
        const std::string& text, const std::string& author, std::string expect = "")
    {
        std::string name = fmt::format("apply.{}", ++m_started);
        std::vector<std::string> arguments { binary("gooseberrymill"), "apply", write(name + ".toml", text), "--store",
            storeUrl(), "--author", author };
        if (!expect.empty())
            arguments.insert(arguments.end(), { "--expect", std::move(expect) });
        return start(name, arguments);
    }

    // Writes an object as another program may do, without a condition.
    void writeToStore(const std::string& object, std::string_view json)
    {
        auto response = callPort(m_storePort, "PUT", "/objects/" + object, {}, json);
        BOOST_REQUIRE(response.status == 200 || response.status == 201);
    }

    // Whether the store holds the object "<kind>/<name>".
    bool storeHas(const std::string& object)
    {
        return callPort(m_storePort, "GET", "/objects/" + object).status == 200;
    }

    // Brings the store back from an older copy: {"ageMs": N}, or without its last writes: {"lostWrites": N}.
    void restoreStore(const nlohmann::json& how)
    {
        auto response = callPort(m_storeAdmin, "POST", "/restore", {}, how.dump());
        BOOST_REQUIRE(response.status == 200);
    }

    void setStoreFaults(const nlohmann::json& faults)
    {
        auto response = callPort(m_storeAdmin, "POST", "/faults", {}, faults.dump());
        BOOST_REQUIRE(response.status == 200);
    }

    // Null when the node does not answer.
    nlohmann::json status(size_t i)
    {
        auto response = callPort(node(i).admin, "GET", "/status", { { "Connection", "close" } });
        return response.complete ? nlohmann::json::parse(response.body, nullptr, false) : nlohmann::json();
    }

    // Status ("alive", ...) of one member in the view of another, and the state of its first upstream.
    std::string memberStatus(size_t viewer, size_t member)
    {
        for (const auto& it : status(viewer).value("members", nlohmann::json::array())) {
            if (it["name"] == fmt::format("node-{}", member))
                return it["status"];
        }
        return "";
    }

    std::string upstreamState(size_t viewer, size_t member)
    {
        for (const auto& it : status(viewer).value("members", nlohmann::json::array())) {
            if (it["name"] == fmt::format("node-{}", member) && !it["upstreams"].empty())
                return it["upstreams"][0]["state"];
        }
        return "";
    }

    // Highest version of the document on a node; 0 without one.
    uint64_t version(size_t i)
    {
        uint64_t highest = 0;
        for (const auto& it : status(i).value("configuration", nlohmann::json::array()))
            highest = std::max<uint64_t>(highest, it["version"]);
        return highest;
    }

    bool isReady()
    {
        for (size_t i = 0; i < size(); ++i) {
            if (!status(i).value("ready", false))
                return false;
            for (size_t j = 0; j < size(); ++j) {
                if (upstreamState(i, j) != "ready")
                    return false;
            }
        }
        return true;
    }

    CallerResponse call(size_t i, std::string_view method, std::string_view target,
        const std::vector<Header>& headers = {}, std::string_view body = {})
    {
        return callPort(node(i).callers, method, target, headers, body);
    }

    CallerResponse order(size_t i, const std::string& target, const std::string& key, std::vector<Header> headers = {})
    {
        headers.push_back({ "Idempotency-Key", key });
        return call(i, "POST", target, headers, "one order");
    }

    nlohmann::json counts(size_t i)
    {
        auto response = callPort(node(i).upstreamPort, "GET", "/.stand-in/counts", { { "Connection", "close" } });
        BOOST_REQUIRE_MESSAGE(response.complete, "upstream " << i << " does not answer");
        return nlohmann::json::parse(response.body);
    }

    // Target and steady clock, in milliseconds, of each request that reached the upstream.
    std::vector<std::pair<std::string, int64_t>> arrivals(size_t i)
    {
        auto response = callPort(node(i).upstreamPort, "GET", "/.stand-in/arrivals", { { "Connection", "close" } });
        BOOST_REQUIRE_MESSAGE(response.complete, "upstream " << i << " does not answer");
        return nlohmann::json::parse(response.body);
    }

    size_t total(size_t i) { return counts(i)["total"]; }
    size_t runsAt(size_t i, const std::string& target) { return counts(i)["targets"].value(target, size_t(0)); }

    // Requests for a target that reached any upstream.
    size_t runs(const std::string& target)
    {
        size_t sum = 0;
        for (size_t i = 0; i < size(); ++i)
            sum += runsAt(i, target);
        return sum;
    }

    // Index of the upstream that a request for the target reached.
    size_t waitForRun(const std::string& target)
    {
        std::optional<size_t> found;
        waitUntil([&] {
            for (size_t i = 0; i < size() && !found; ++i) {
                if (runsAt(i, target))
                    found = i;
            }
            return found.has_value();
        });
        BOOST_REQUIRE_MESSAGE(found, target << " reached no upstream");
        return *found;
    }

    void setUpstreamState(size_t i, const std::string& state)
    {
        auto response = callPort(node(i).upstreamPort, "POST", "/.stand-in/state?value=" + state);
        BOOST_REQUIRE(response.status == 200);
    }

    void setUpstreamFault(size_t i, const std::string& query)
    {
        auto response = callPort(node(i).upstreamPort, "POST", "/.stand-in/faults?" + query);
        BOOST_REQUIRE(response.status == 200);
    }

private:
    static std::string binary(const std::string& name) { return std::string(GM_BINARY_DIR) + "/" + name; }

    std::string write(const std::string& name, const std::string& text) const
    {
        std::string file = (m_directory / name).string();
        std::ofstream(file) << text;
        return file;
    }

    std::unique_ptr<ChildProcess> start(const std::string& name, const std::vector<std::string>& arguments) const
    {
        return std::make_unique<ChildProcess>(arguments, (m_directory / (name + ".log")).string());
    }

    FleetShape m_shape;
    std::filesystem::path m_directory;
    std::unique_ptr<ChildProcess> m_store;
    uint16_t m_storePort = 0;
    uint16_t m_storeAdmin = 0;
    std::vector<FleetNode> m_nodes;
    size_t m_started = 0;
};

//-----------------------------------------------------------------------------
// [SECTION] Paths that can be cut
//-----------------------------------------------------------------------------

// Binds a socket on loopback; -1 if the port is in use.
inline int bindPort(int socketType, uint32_t host, uint16_t port)
{
    int descriptor = socket(AF_INET, socketType | SOCK_CLOEXEC, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(host);
    if (!bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)))
        return descriptor;
    close(descriptor);
    return -1;
}

// A port that was free a moment ago, for settings that need a port before the process starts. It lies below the range
// from which the system takes the ports of outgoing connections, so it stays free while its process is down. A socket
// on another loopback address, kept until the end of the test program, keeps other test programs from choosing it.
inline uint16_t freePort(int socketType)
{
    constexpr uint32_t reservationHost = INADDR_LOOPBACK + 1;
    constexpr uint32_t first = 10'000;
    constexpr uint32_t count = 20'000;
    static std::mt19937 random { std::random_device {}() };
    for (int i = 0; i < 100; ++i) {
        auto port = static_cast<uint16_t>(first + random() % count);
        int reservation = bindPort(SOCK_STREAM, reservationHost, port);
        int descriptor = reservation < 0 ? -1 : bindPort(socketType, INADDR_LOOPBACK, port);
        if (descriptor >= 0) {
            close(descriptor);
            return port;
        }
        if (reservation >= 0)
            close(reservation);
    }
    BOOST_FAIL("no free port");
    return 0;
}

// Stands before the gossip port of one node. Every sender gets a socket of its own towards the node, so that
// replies find their way back. Each direction of each path can be cut.
class GossipForwarder {
public:
    explicit GossipForwarder(uint16_t targetPort)
        : m_targetPort(targetPort)
        , m_front(openSocket())
        , m_thread([this] { run(); })
    {
    }
    GossipForwarder(const GossipForwarder&) = delete;
    GossipForwarder& operator=(const GossipForwarder&) = delete;
    ~GossipForwarder()
    {
        m_isStopped = true;
        m_thread.join();
        close(m_front);
        for (const auto& [sender, descriptor] : m_backs)
            close(descriptor);
    }

    uint16_t port() const { return portOf(m_front); }

    void cutFrom(uint16_t sender) { add(m_cutFrom, sender); } // sender to this node
    void cutTo(uint16_t receiver) { add(m_cutTo, receiver); } // replies of this node
    size_t dropped() const { return m_dropped; }

private:
    static sockaddr_in loopback(uint16_t port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        return address;
    }

    static int openSocket()
    {
        int descriptor = socket(AF_INET, SOCK_DGRAM, 0);
        sockaddr_in address = loopback(0);
        BOOST_REQUIRE(!bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)));
        return descriptor;
    }

    static uint16_t portOf(int descriptor)
    {
        sockaddr_in address {};
        socklen_t size = sizeof(address);
        getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
        return ntohs(address.sin_port);
    }

    void add(std::vector<uint16_t>& list, uint16_t port)
    {
        std::lock_guard lock(m_mutex);
        list.push_back(port);
    }

    bool isCut(const std::vector<uint16_t>& list, uint16_t port)
    {
        std::lock_guard lock(m_mutex);
        bool isFound = std::find(list.begin(), list.end(), port) != list.end();
        m_dropped += isFound;
        return isFound;
    }

    void run()
    {
        constexpr int pollMillis = 50;
        while (!m_isStopped) {
            std::vector<pollfd> entries { { m_front, POLLIN, 0 } };
            std::vector<uint16_t> senders { 0 };
            for (const auto& [sender, descriptor] : m_backs) {
                entries.push_back({ descriptor, POLLIN, 0 });
                senders.push_back(sender);
            }
            poll(entries.data(), entries.size(), pollMillis);
            for (size_t i = 0; i < entries.size(); ++i) {
                if (entries[i].revents)
                    forward(entries[i].fd, senders[i]);
            }
        }
    }

    void forward(int from, uint16_t replyTo)
    {
        std::array<char, 2048> buffer;
        sockaddr_in address {};
        socklen_t size = sizeof(address);
        ssize_t n
            = recvfrom(from, buffer.data(), buffer.size(), MSG_DONTWAIT, reinterpret_cast<sockaddr*>(&address), &size);
        if (n < 0)
            return;
        uint16_t sender = ntohs(address.sin_port);
        bool isReply = replyTo;
        if (isReply ? isCut(m_cutTo, replyTo) : isCut(m_cutFrom, sender))
            return;
        if (!isReply && !m_backs.contains(sender))
            m_backs[sender] = openSocket();
        sockaddr_in target = loopback(isReply ? replyTo : m_targetPort);
        sendto(isReply ? m_front : m_backs[sender], buffer.data(), static_cast<size_t>(n), MSG_DONTWAIT,
            reinterpret_cast<sockaddr*>(&target), sizeof(target));
    }

    uint16_t m_targetPort;
    int m_front;
    std::map<uint16_t, int> m_backs; // by port of the sender
    std::mutex m_mutex;
    std::vector<uint16_t> m_cutFrom;
    std::vector<uint16_t> m_cutTo;
    std::atomic<size_t> m_dropped { 0 };
    std::atomic<bool> m_isStopped { false };
    std::thread m_thread; // last: uses the other members
};

//-----------------------------------------------------------------------------
// [SECTION] Load
//-----------------------------------------------------------------------------

// Callers that send one read after the other, each on a new connection, until stopped. A caller whose node
// refuses the connection ends.
class Load {
public:
    struct Result {
        size_t complete = 0; // 200 with its whole body
        size_t notRun = 0; // refused, outcome "not-run"
        size_t refusedConnections = 0;
        std::vector<std::string> failures; // anything else
    };

    Load(Fleet& fleet, const std::vector<size_t>& nodes, size_t callersPerNode = 2,
        const std::vector<Header>& headers = {})
    {
        for (size_t i : nodes) {
            for (size_t n = 0; n < callersPerNode; ++n)
                m_threads.emplace_back([this, port = fleet.node(i).callers, headers] { run(port, headers); });
        }
    }
    Load(const Load&) = delete;
    Load& operator=(const Load&) = delete;
    ~Load() { stop(); }

    Result now()
    {
        std::lock_guard lock(m_mutex);
        return m_result;
    }

    // Waits until this many more requests were answered as a whole.
    bool waitForMore(size_t n)
    {
        size_t wanted = now().complete + n;
        return waitUntil([&] { return now().complete >= wanted; });
    }

    Result stop()
    {
        m_isStopped = true;
        for (std::thread& it : m_threads) {
            if (it.joinable())
                it.join();
        }
        return m_result;
    }

private:
    void run(uint16_t port, const std::vector<Header>& headers)
    {
        while (!m_isStopped) {
            HttpCaller caller(port);
            bool isConnected = caller.isConnected();
            CallerResponse response;
            if (isConnected)
                response = caller.request("GET", "/read/load", headers);
            record(isConnected, response);
            if (!isConnected)
                return;
            std::this_thread::sleep_for(2ms); // bounds the load
        }
    }

    void record(bool isConnected, const CallerResponse& response)
    {
        std::lock_guard lock(m_mutex);
        if (!isConnected)
            ++m_result.refusedConnections;
        else if (response.status == 200 && response.complete)
            ++m_result.complete;
        else if (response.complete && outcomeOf(response) == "not-run")
            ++m_result.notRun;
        else
            m_result.failures.push_back(describe(response));
    }

    std::atomic<bool> m_isStopped { false };
    std::mutex m_mutex;
    Result m_result;
    std::vector<std::thread> m_threads;
};

} // namespace Gooseberrymill::Testing

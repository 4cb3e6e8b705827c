#define BOOST_TEST_MODULE CommandLineProcess
#include "AdminServer.h"
#include "AuditTrail.h"
#include "Processes.h"
#include "Task.h"

#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <future>
#include <libsoup/soup.h>

using namespace Gooseberrymill;

namespace {

const std::string configurationText = R"([[service]]
name = "bayaran"
upstreams = 12
slots = 7
floorSlots = 56
[[service.route]]
name = "pay"
path = "/payouts/*"
class = "critical"
)";

const std::string settingsText = R"([node]
name = "n1"
region = "borneo"
dataCentre = "kuching-1"
[fleet]
key = "0123456789abcdef"
)";

// A directory that goes with the test.
struct Directory {
    Directory()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "gooseberrymill-XXXXXX").string();
        BOOST_REQUIRE(g_mkdtemp(pattern.data()));
        path = pattern;
    }
    Directory(const Directory&) = delete;
    Directory& operator=(const Directory&) = delete;
    ~Directory() { std::filesystem::remove_all(path); }

    std::string write(const std::string& name, const std::string& text) const
    {
        std::string file = (path / name).string();
        std::ofstream(file) << text;
        return file;
    }

    std::filesystem::path path;
};

Command start(std::vector<std::string> arguments)
{
    arguments.insert(arguments.begin(), std::string(GM_BINARY_DIR) + "/gooseberrymill");
    return Command(arguments);
}

Command run(std::vector<std::string> arguments)
{
    Command command = start(std::move(arguments));
    command.wait();
    return command;
}

void checkExit(const Command& command, int expected)
{
    BOOST_TEST(command.exitCode == expected,
        "exit code " << command.exitCode << "\n"
                     << command.output << command.errors);
}

std::string urlOf(const Server& store)
{
    return fmt::format("http://127.0.0.1:{}", store.listening["port"].get<int>());
}

guint request(const char* method, const std::string& url, const std::string& body)
{
    ObjectHandle<SoupSession> session(soup_session_new());
    ObjectHandle<SoupMessage> message(soup_message_new(method, url.c_str()));
    BytesHandle bytes(g_bytes_new(body.data(), body.size()));
    soup_message_set_request_body_from_bytes(message.get(), "application/json", bytes.get());
    BytesHandle answer(soup_session_send_and_read(session.get(), message.get(), nullptr, nullptr));
    BOOST_REQUIRE(answer);
    return soup_message_get_status(message.get());
}

void setFaults(const Server& store, const std::string& faults)
{
    std::string url = fmt::format("http://127.0.0.1:{}/faults", store.listening["adminPort"].get<int>());
    BOOST_REQUIRE(request("POST", url, faults) == SOUP_STATUS_OK);
}

Server startStore() { return Server({ std::string(GM_BINARY_DIR) + "/tests/StoreStandIn" }); }

} // namespace

// Guards against a script that cannot tell a wrong command line from a failure.
BOOST_AUTO_TEST_CASE(wrongCommandLinesExitWith2)
{
    Directory directory;
    std::string file = directory.write("main.toml", configurationText);
    checkExit(run({}), 2);
    checkExit(run({ "fly" }), 2);
    checkExit(run({ "check" }), 2);
    checkExit(run({ "check", file, file }), 2);
    checkExit(run({ "check", file, "--nonsense" }), 2);
    checkExit(run({ "check", file, "--author", "ana" }), 2); // a flag of another verb
    checkExit(run({ "serve" }), 2);
    checkExit(run({ "serve", "--settings" }), 2);
    checkExit(run({ "apply", file, "--store", "http://127.0.0.1:1" }), 2);
    checkExit(run({ "apply", file, "--store=http://127.0.0.1:1", "--author=ana", "--expect=latest" }), 2);
    checkExit(run({ "defaults", "all" }), 2);
    checkExit(run({ "status" }), 2);
    checkExit(run({ "audit" }), 2);
    checkExit(run({ "replay" }), 2);
}

// Guards against a verb that is missing in the help text.
BOOST_AUTO_TEST_CASE(helpShowsAllVerbs)
{
    for (const std::vector<std::string>& arguments : std::vector<std::vector<std::string>> {
             { "--help" }, { "apply", "--help" }, { "serve", "--help", "--settings", "x" }, { "audit", "-h" } }) {
        Command help = run(arguments);
        checkExit(help, 0);
        for (std::string_view verb : { "serve", "check", "defaults", "apply", "status", "audit", "replay", "bench" })
            BOOST_TEST(help.output.find(fmt::format("\n  {} ", verb)) != std::string::npos, verb);
        for (std::string_view flag : { "settings", "store", "author", "expect", "admin", "service" })
            BOOST_TEST(help.output.find(fmt::format("\n  --{}\n", flag)) != std::string::npos, flag);
    }
    Command version = run({ "check", "--version" });
    checkExit(version, 0);
    BOOST_TEST(version.output == "gooseberrymill 0.1.0\n");
}

// Guards against a wrong file that passes, and against an error without its place.
BOOST_AUTO_TEST_CASE(checkReportsFiles)
{
    Directory directory;
    Command good = run({ "check", directory.write("main.toml", configurationText) });
    checkExit(good, 0);
    BOOST_TEST(good.output.ends_with("main.toml: valid configuration\n"));
    Command settings = run({ "check", directory.write("node.toml", settingsText) });
    checkExit(settings, 0);
    BOOST_TEST(settings.output.ends_with("node.toml: valid settings\n"));
    Command bad = run({ "check", directory.write("bad.toml", configurationText + "colour = 1\ndeadline = 3\n") });
    checkExit(bad, 1);
    BOOST_TEST(bad.errors.find("bad.toml:10: service[0].route[0].colour: found ") != std::string::npos, bad.errors);
    BOOST_TEST(bad.errors.find("bad.toml:11: service[0].route[0].deadline: found ") != std::string::npos, bad.errors);
    checkExit(run({ "check", (directory.path / "absent.toml").string() }), 1);
    checkExit(run({ "check", directory.path.string() }), 1);
}

// Guards against printed defaults that are not valid once the required keys are given.
BOOST_AUTO_TEST_CASE(defaultsAreValid)
{
    Directory directory;
    Command defaults = run({ "defaults" });
    checkExit(defaults, 0);
    Command wrong = run({ "check", directory.write("defaults.toml", defaults.output) });
    checkExit(wrong, 1);
    auto lines = std::count(wrong.errors.begin(), wrong.errors.end(), '\n');
    // The required keys: four of a service, two of a route, one of an organisation.
    BOOST_TEST(lines == 7, wrong.errors);
    Command settings = run({ "defaults", "settings" });
    checkExit(settings, 0);
    std::string text = settings.output;
    for (const auto& [from, to] : std::vector<std::pair<std::string, std::string>> { { "# name =", "name = \"n1\"" },
             { "# region =", "region = \"r\"" }, { "# dataCentre =", "dataCentre = \"d\"" },
             { "# key =", "key = \"0123456789abcdef\"" } })
        text.replace(text.find(from), from.size(), to);
    checkExit(run({ "check", directory.write("settings.toml", text) }), 0);
}

// Guards against a node that starts on settings with errors.
BOOST_AUTO_TEST_CASE(serveRefusesWrongSettings)
{
    Directory directory;
    Command wrong = run({ "serve", "--settings", directory.write("node.toml", settingsText + "colour = 1\n") });
    checkExit(wrong, 1);
    BOOST_TEST(wrong.errors.find("node.toml:7: fleet.colour") != std::string::npos, wrong.errors);
    checkExit(run({ "serve", "--settings", (directory.path / "absent.toml").string() }), 1);
}

// Guards against an invalid configuration in the store, and against a change nobody can trace.
BOOST_AUTO_TEST_CASE(applyPutsConfigurationIntoStore)
{
    Directory directory;
    Server store = startStore();
    std::string file = directory.write("main.toml", configurationText);
    Command first = run({ "apply", file, "--store", urlOf(store), "--author", "ana" });
    checkExit(first, 0);
    BOOST_TEST(first.output.find("configuration/main: applied as version 1, change id ") == 0U, first.output);
    Command second = run({ "apply", file, "--store", urlOf(store), "--author", "budi", "--expect", "1" });
    checkExit(second, 0);
    Command stale = run({ "apply", file, "--store", urlOf(store), "--author", "ana", "--expect", "1" });
    checkExit(stale, 1);
    BOOST_TEST(stale.errors.find("won by budi (version 2, change id ") != std::string::npos, stale.errors);
    std::string bad = directory.write("bad.toml", configurationText + "colour = 1\n");
    checkExit(run({ "apply", bad, "--store", urlOf(store), "--author", "ana" }), 1);
}

// Guards against two operators who both are told that their change is in force.
BOOST_AUTO_TEST_CASE(racingApplyHasOneWinner)
{
    Directory directory;
    Server store = startStore();
    std::string file = directory.write("main.toml", configurationText);
    constexpr int rounds = 10;
    for (int round = 0; round < rounds; ++round) {
        std::string version = std::to_string(round);
        std::vector<std::string> operators { "ana", "budi", "citra" };
        std::vector<Command> commands;
        commands.reserve(operators.size());
        for (const std::string& author : operators)
            commands.push_back(
                start({ "apply", file, "--store", urlOf(store), "--author", author, "--expect", version }));
        std::string winner;
        for (size_t i = 0; i < commands.size(); ++i) {
            commands[i].wait();
            if (!commands[i].exitCode) {
                BOOST_TEST(winner.empty(), "two winners");
                winner = operators[i];
            }
        }
        BOOST_REQUIRE(!winner.empty());
        for (const Command& command : commands) {
            if (!command.exitCode)
                continue;
            checkExit(command, 1);
            BOOST_TEST(command.errors.find("won by " + winner + " (version ") != std::string::npos, command.errors);
        }
    }
}

// Guards against an operator who applies again, or gives up, because an answer got lost.
BOOST_AUTO_TEST_CASE(applySettlesLostAnswer)
{
    Directory directory;
    Server store = startStore();
    std::string file = directory.write("main.toml", configurationText);
    setFaults(store, R"({"loseAnswers": 1})");
    Command lost = run({ "apply", file, "--store", urlOf(store), "--author", "ana" });
    checkExit(lost, 0);
    BOOST_TEST(lost.output.find("applied as version 1") != std::string::npos, lost.output);
    setFaults(store, R"({"down": "refuse"})");
    Command down = run({ "apply", file, "--store", urlOf(store), "--author", "ana" });
    checkExit(down, 1);
    BOOST_TEST(down.errors.find("not applied: store.get: unavailable") != std::string::npos, down.errors);
}

// Guards against an audit trail that operators cannot read back.
BOOST_AUTO_TEST_CASE(auditPrintsEvents)
{
    Server store = startStore();
    AuditEvent event { AuditEventKind::Ejection, WallTime(std::chrono::milliseconds(1'700'000'000'000)), "n1", "health",
        "bayaran", "bayaran-07", "slow" };
    AuditBatch batch { Id128 { 1, 2 }, 3, { event } };
    batch.events.push_back(event);
    batch.events.back().service = "katalog";
    BOOST_REQUIRE(request("PUT", urlOf(store) + "/objects/audit/n1-1", printAuditBatch(batch)) == 201);
    Command audit = run({ "audit", "--store", urlOf(store), "--service", "bayaran" });
    checkExit(audit, 0);
    BOOST_TEST(audit.output
        == "2023-11-14T22:13:20Z ejection node=n1 actor=health service=bayaran subject=bayaran-07 reason=slow\n");
    BOOST_TEST(audit.errors.find("3 events were lost") == 0U);
    BOOST_REQUIRE(request("PUT", urlOf(store) + "/objects/audit/n1-2", "[]") == 201);
    checkExit(run({ "audit", "--store", urlOf(store) }), 1);
}

// Guards against a status page that the verb does not show.
BOOST_AUTO_TEST_CASE(statusPrintsPage)
{
    Task task("admin", Task::Thread::New);
    task.start();
    std::unique_ptr<AdminServer> server;
    std::promise<uint16_t> port;
    task.post([&] {
        AdminCallbacks callbacks;
        callbacks.status = [] { return std::string(R"({"node": "n1"})"); };
        server = std::make_unique<AdminServer>(std::move(callbacks));
        auto bound = server->listen({ "127.0.0.1", 0 });
        port.set_value(bound ? bound.value() : 0);
    });
    Command status = run({ "status", "--admin", fmt::format("http://127.0.0.1:{}", port.get_future().get()) });
    checkExit(status, 0);
    BOOST_TEST(status.output == "{\"node\": \"n1\"}\n");
    std::promise<void> closed;
    task.post([&] {
        server.reset();
        closed.set_value();
    });
    closed.get_future().wait();
}

// Guards against silence about a node that does not answer.
BOOST_AUTO_TEST_CASE(statusOfAbsentNodeFails)
{
    Server store = startStore();
    setFaults(store, R"({"down": "refuse"})"); // its port is free but nobody listens
    checkExit(run({ "status", "--admin", urlOf(store) }), 1);
}

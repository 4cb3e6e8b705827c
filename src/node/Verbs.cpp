#include "Verbs.h"

#include "AuditTrail.h"
#include "BenchCommand.h"
#include "CapacityBench.h"
#include "ConfigurationFile.h"
#include "ConfigurationPublisher.h"
#include "NodeMain.h"
#include "ReplayCommand.h"
#include "SettingsFile.h"
#include "StoreClient.h"
#include "Task.h"

#include <fmt/chrono.h>
#include <fstream>
#include <gflags/gflags.h>
#include <iterator>

DEFINE_string(settings, "", "serve: file with the settings of the node.");
DEFINE_string(store, "", "apply, audit: address of the object store, \"http://ip:port\".");
DEFINE_string(author, "", "apply: name of the operator, stored with the change.");
DEFINE_string(expect, "", "apply: version that the stored document must have; 0: it must not exist.");
DEFINE_string(admin, "", "status: admin address of a node, \"http://ip:port\".");
DEFINE_string(service, "", "audit: show events of this service only.");
DEFINE_uint64(seed, 1, "replay, bench: first seed of generated traces and of the policies.");
DEFINE_uint32(seeds, 1, "bench: number of consecutive seeds; each figure is the worst over all seeds.");
DEFINE_bool(csv, false, "bench: print the table as comma-separated values.");
DEFINE_bool(baseline, false, "replay: use the baseline policies instead of those of a node.");
DEFINE_string(write_trace, "", "replay: also write the trace to this file.");

namespace Gooseberrymill {

namespace {

constexpr Duration callTimeout = 10s; // limit for one request to the object store or to an admin address
constexpr size_t maxFileBytes = 4 << 20; // largest file that is read; the parsers have lower limits

int reportFailure(std::string_view problem)
{
    fmt::print(stderr, "gooseberrymill: {}\n", problem);
    return exitFailure;
}

int reportUsageError(std::string_view problem)
{
    fmt::print(stderr, "gooseberrymill: {}\nTry gooseberrymill --help.\n", problem);
    return exitUsage;
}

std::optional<std::string> readFile(const std::string& name)
{
    std::ifstream file(name, std::ios::binary);
    if (!file)
        return std::nullopt;
    std::string text(maxFileBytes + 1, '\0');
    file.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (file.bad() || !file.eof())
        return std::nullopt;
    text.resize(static_cast<size_t>(file.gcount()));
    return text;
}

void printErrors(std::span<const FileError> errors)
{
    for (const FileError& error : errors)
        fmt::print(stderr, "{}\n", toString(error));
}

// Runs the main context of this thread until `isDone`.
void runUntil(const bool& isDone)
{
    while (!isDone)
        g_main_context_iteration(nullptr, TRUE);
}

// -------- serve, check, defaults

int serve(std::span<const std::string>)
{
    if (FLAGS_settings.empty())
        return reportUsageError("serve needs --settings FILE");
    auto text = readFile(FLAGS_settings);
    if (!text)
        return reportFailure(fmt::format("cannot read {}", FLAGS_settings));
    FileResult<Settings> settings = parseSettings(*text, FLAGS_settings);
    printErrors(settings.errors);
    return settings.value ? runNode(*settings.value) : exitFailure;
}

int check(std::span<const std::string> arguments)
{
    const std::string& name = arguments.front();
    auto text = readFile(name);
    if (!text)
        return reportFailure(fmt::format("cannot read {}", name));
    CheckedFile checked = checkFile(*text, name);
    printErrors(checked.errors);
    if (!checked.errors.empty())
        return exitFailure;
    fmt::print("{}: valid {}\n", name, checked.kind == FileKind::Settings ? "settings" : "configuration");
    return exitSuccess;
}

int printDefaults(std::span<const std::string> arguments)
{
    std::string kind = arguments.empty() ? "configuration" : arguments.front();
    if (kind != "settings" && kind != "configuration")
        return reportUsageError("defaults takes settings or configuration");
    fmt::print("{}", printCommentedToml(kind == "settings" ? listSettingsKeys() : listConfigurationKeys()));
    return exitSuccess;
}

// -------- apply

int reportPublished(const std::string& name, const std::string& changeId, const PublishReport& report)
{
    std::string document = fmt::format("{}/{}", configurationKind, name);
    std::string winner = report.winner.empty()
        ? "another change"
        : fmt::format("{} (version {}, change id {})", report.winner, report.version, report.winnerChangeId);
    switch (report.status) {
    case PublishStatus::Applied:
        fmt::print("{}: applied as version {}, change id {}\n", document, report.version, changeId);
        return exitSuccess;
    case PublishStatus::Superseded:
        fmt::print("{}: applied, change id {}, and replaced since by {}\n", document, changeId, winner);
        return exitSuccess;
    case PublishStatus::LostRace:
        return reportFailure(fmt::format("{}: not applied; the race was won by {}", document, winner));
    case PublishStatus::Unknown:
        return reportFailure(fmt::format("{}: outcome unknown; it was applied if the store shows change id {}: {}",
            document, changeId, toString(report.error)));
    case PublishStatus::Failed:
        break;
    }
    return reportFailure(fmt::format("{}: not applied: {}", document, toString(report.error)));
}

std::optional<uint64_t> parseVersion(const std::string& text)
{
    constexpr size_t maxDigits = 18;
    if (text.empty() || text.size() > maxDigits || text.find_first_not_of("0123456789") != std::string::npos)
        return std::nullopt;
    return std::stoull(text);
}

int apply(std::span<const std::string> arguments)
{
    if (FLAGS_store.empty() || FLAGS_author.empty())
        return reportUsageError("apply needs --store URL and --author NAME");
    std::optional<uint64_t> expected = parseVersion(FLAGS_expect);
    if (!FLAGS_expect.empty() && !expected)
        return reportUsageError("--expect takes a version number");
    auto text = readFile(arguments.front());
    if (!text)
        return reportFailure(fmt::format("cannot read {}", arguments.front()));
    FileResult<Configuration> configuration = parseConfiguration(*text, arguments.front());
    printErrors(configuration.errors);
    if (!configuration.value)
        return exitFailure;
    std::string changeId = makeChangeId(currentWallTime(), randomId());
    std::string appliedAt
        = fmt::format("{:%FT%TZ}", fmt::gmtime(std::chrono::system_clock::to_time_t(currentWallTime())));
    StoreClient store(FLAGS_store, callTimeout);
    bool isDone = false;
    PublishReport report;
    auto publisher = std::make_shared<ConfigurationPublisher<StoreClient>>(store, configuration.value->name,
        ConfigurationObject { std::move(*text), changeId, FLAGS_author, appliedAt, "" },
        [&](const PublishReport& result) {
            report = result;
            isDone = true;
        });
    publisher->start(expected);
    runUntil(isDone);
    return reportPublished(configuration.value->name, report.changeId, report);
}

// -------- status, audit

int status(std::span<const std::string>)
{
    if (FLAGS_admin.empty())
        return reportUsageError("status needs --admin URL");
    ObjectHandle<SoupSession> session(soup_session_new_with_options("timeout",
        static_cast<guint>(std::chrono::duration_cast<std::chrono::seconds>(callTimeout).count()), "proxy-resolver",
        nullptr, nullptr));
    ObjectHandle<SoupMessage> message(soup_message_new("GET", (FLAGS_admin + "/status").c_str()));
    if (!message)
        return reportUsageError("--admin takes a URL");
    GError* error = nullptr;
    BytesHandle bytes(soup_session_send_and_read(session.get(), message.get(), nullptr, &error));
    ErrorHandle owned(error);
    if (!bytes)
        return reportFailure(fmt::format("{}: {}", FLAGS_admin, owned->message));
    if (soup_message_get_status(message.get()) != SOUP_STATUS_OK)
        return reportFailure(
            fmt::format("{}: status {}", FLAGS_admin, static_cast<int>(soup_message_get_status(message.get()))));
    gsize size = 0;
    const auto* data = static_cast<const char*>(g_bytes_get_data(bytes.get(), &size));
    fmt::print("{}\n", std::string_view(data ? data : "", size));
    return exitSuccess;
}

void printEvent(const AuditEvent& event)
{
    auto seconds = std::chrono::system_clock::to_time_t(event.time);
    fmt::print("{:%FT%TZ} {} node={} actor={} service={} subject={} reason={}\n", fmt::gmtime(seconds),
        toString(event.kind), event.node, event.actor, event.service, event.subject, event.reason);
}

int showAudit(std::span<const std::string>)
{
    if (FLAGS_store.empty())
        return reportUsageError("audit needs --store URL");
    StoreClient store(FLAGS_store, callTimeout);
    bool isDone = false;
    std::optional<Result<AuditHistory>> history;
    readAudit(store, [&](Result<AuditHistory> result) {
        history = std::move(result);
        isDone = true;
    });
    runUntil(isDone);
    if (!*history)
        return reportFailure(toString(history->error()));
    for (const AuditEvent& event : history->value().events) {
        if (FLAGS_service.empty() || event.service == FLAGS_service)
            printEvent(event);
    }
    if (history->value().dropped)
        fmt::print(stderr, "{} events were lost before they reached the store\n", history->value().dropped);
    if (history->value().damagedBatches)
        return reportFailure(fmt::format("{} objects of the audit trail are damaged", history->value().damagedBatches));
    return exitSuccess;
}

// -------- replay, bench

int replay(std::span<const std::string> arguments)
{
    ReplayCommandOptions options;
    options.trace = arguments.front();
    options.seed = FLAGS_seed;
    options.baseline = FLAGS_baseline;
    options.traceOutputFile = FLAGS_write_trace;
    return runReplay(options);
}

int bench(std::span<const std::string> arguments)
{
    std::string benchmark = arguments.empty() ? "policies" : arguments.front();
    if (benchmark == "capacity")
        return runCapacityCommand(arguments.subspan(1));
    if (arguments.size() > 1 || (benchmark != "policies" && benchmark != "cost"))
        return reportUsageError("bench takes policies, cost or capacity [text|csv]");
    BenchOptions options;
    options.seed = FLAGS_seed;
    options.seeds = FLAGS_seeds;
    options.csv = FLAGS_csv;
    options.costOnly = benchmark == "cost";
    return runBench(options);
}

const std::array<Verb, 8> verbTable { {
    { "serve", "--settings FILE", "Runs a node.", { "settings" }, 0, 0, &serve },
    { "check", "FILE", "Checks a configuration or a settings file and prints every error.", {}, 1, 1, &check },
    { "defaults", "[settings|configuration]", "Prints the defaults with comments.", {}, 0, 1, &printDefaults },
    { "apply", "FILE --store URL --author NAME [--expect VERSION]", "Puts a configuration into force.",
        { "store", "author", "expect" }, 1, 1, &apply },
    { "status", "--admin URL", "Prints the status of a node as JSON.", { "admin" }, 0, 0, &status },
    { "audit", "--store URL [--service NAME]", "Prints the audit trail.", { "store", "service" }, 0, 0, &showAudit },
    { "replay", "TRACE", "Replays a trace file, or a generated trace DEPLOYMENT:SCENARIO, and prints the outcomes.",
        { "seed", "baseline", "write_trace" }, 1, 1, &replay },
    { "bench", "[policies|cost|capacity [text|csv]]",
        "Compares the policies with their baselines, or measures the cost of a decision or the memory and time per "
        "entry.",
        { "seed", "seeds", "csv" }, 0, 2, &bench },
} };

} // namespace

std::span<const Verb> verbs() { return verbTable; }

} // namespace Gooseberrymill

#include "SettingsFile.h"

#include "ConfigurationFile.h"

#include <charconv>
#include <gio/gio.h>

namespace Gooseberrymill {

namespace {

//-----------------------------------------------------------------------------
// [SECTION] Rules for texts
//-----------------------------------------------------------------------------

bool isOptionalAddress(std::string_view text) { return text.empty() || isAddress(text); }

bool isOptionalUrl(std::string_view text)
{
    constexpr std::string_view scheme = "http://";
    return text.empty() || (text.starts_with(scheme) && isAddress(text.substr(scheme.size())));
}

bool isFleetKey(std::string_view text)
{
    constexpr size_t minKeyLength = 16;
    constexpr size_t maxKeyLength = 1024;
    return text.size() >= minKeyLength && text.size() <= maxKeyLength && isPrintable(text);
}

std::optional<ListenAddress> parseListenAddress(std::string_view text)
{
    size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    std::string host(text.substr(0, colon));
    bool isBracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (isBracketed)
        host = host.substr(1, host.size() - 2);
    bool hasColon = host.find(':') != std::string::npos;
    if (hasColon != isBracketed || !g_hostname_is_ip_address(host.c_str()))
        return std::nullopt;
    std::string_view digits = text.substr(colon + 1);
    uint16_t port = 0;
    auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (ec != std::errc() || end != digits.data() + digits.size())
        return std::nullopt;
    return ListenAddress { std::move(host), port };
}

std::string printListenAddress(const ListenAddress& address)
{
    bool isVersion6 = address.host.find(':') != std::string::npos;
    return isVersion6 ? fmt::format("[{}]:{}", address.host, address.port)
                      : fmt::format("{}:{}", address.host, address.port);
}

const TextRule addressRule { "\"ip:port\" or \"[ip]:port\" with a port above 0", &isAddress };
const TextRule advertiseRule { "\"ip:port\" or \"[ip]:port\" with a port above 0, or \"\"", &isOptionalAddress };
const TextRule urlRule { "\"http://ip:port\", or \"\"", &isOptionalUrl };
const TextRule keyRule { "a text of 16 to 1024 printable characters", &isFleetKey, true };
const TextRule fileNameRule { "a file name, or \"\"", &isPrintable };

const TextForm<ListenAddress> listenForm { "address", "\"ip:port\" or \"[ip]:port\"; port 0: any free port",
    &parseListenAddress, &printListenAddress };

//-----------------------------------------------------------------------------
// [SECTION] Keys
//-----------------------------------------------------------------------------

constexpr size_t maxSeeds = 64;

void describeNode(auto& section, Settings& settings)
{
    section.text("name", settings.nodeName, nameRule, Presence::Required, "Name of the node, unique in the fleet.");
    section.text("region", settings.location.region, nameRule, Presence::Required, "Region of the instance.");
    section.text(
        "dataCentre", settings.location.dataCentre, nameRule, Presence::Required, "Data centre of the instance.");
    section.integer("workers", settings.workers, { 1, 64 }, Presence::Optional, "Threads that serve callers.");
}

void describeListen(auto& section, Settings& settings)
{
    section.coded("caller", settings.callerListen, listenForm, Presence::Optional, "HTTP for callers.");
    section.coded("relay", settings.relayListen, listenForm, Presence::Optional, "TCP for other nodes.");
    section.coded("gossip", settings.gossipListen, listenForm, Presence::Optional, "UDP for other nodes.");
    section.coded(
        "admin", settings.adminListen, listenForm, Presence::Optional, "HTTP for operators and local upstreams.");
}

void describeAdvertise(auto& section, Settings& settings)
{
    section.text("relay", settings.relayAdvertise, advertiseRule, Presence::Optional,
        "Relay address that other nodes use; empty: the address bound.");
    section.text("gossip", settings.gossipAdvertise, advertiseRule, Presence::Optional,
        "Gossip address that other nodes use; empty: the address bound.");
}

void describeFleet(auto& section, Settings& settings)
{
    section.text("key", settings.fleetKey, keyRule, Presence::Required, "Secret shared by all nodes of the fleet.");
    section.textList("seeds", settings.seeds, addressRule, maxSeeds, "Gossip addresses of nodes to join through.");
}

void describeStore(auto& section, Settings& settings)
{
    section.text("url", settings.storeUrl, urlRule, Presence::Optional,
        "Address of the object store; empty: no store, for trials only.");
    section.duration("timeout", settings.storeTimeout, { 10ms, 60s }, "Longest wait for an answer of the store.");
}

void describeLimits(auto& section, Settings& settings)
{
    section.integer("maxCallerConnections", settings.maxCallerConnections, { 1, 1'000'000 }, Presence::Optional,
        "Connections of callers open at a time.");
    section.size("maxHeaderBytes", settings.maxHeaderBytes, { 1 << 10, 1 << 20 }, "Largest head of a request.");
    section.size("maxOperationBodyBytes", settings.maxOperationBodyBytes, { maxNonRepeatableBodyBytes, 16 << 20 },
        "Largest body of a request that is not repeatable; it is held whole before it runs.");
    section.duration("idleTimeout", settings.idleTimeout, { 1s, 1h }, "Longest idle time of a caller's connection.");
    section.duration("connectTimeout", settings.connectTimeout, { 10ms, 60s },
        "Longest wait for a connection to an upstream or a node.");
    section.duration("relayIdleTimeout", settings.relayIdleTimeout, { 1s, 1h },
        "Longest idle time of a connection to another node.");
}

void describeDrain(auto& section, Settings& settings)
{
    section.duration(
        "grace", settings.drainGrace, { 0s, 1min }, "How long callers' connections are still accepted after SIGTERM.");
    section.duration("limit", settings.drainLimit, { 0s, 24h },
        "Longest wait for requests in flight after SIGTERM; 0s: until the last one ends.");
}

void describeTrace(auto& section, Settings& settings)
{
    section.text("file", settings.traceFile, fileNameRule, Presence::Optional,
        "File that decisions are recorded to; empty: none.");
}

void describeSettings(auto& section, Settings& settings)
{
    section.section("node", [&](auto& node) { describeNode(node, settings); });
    section.section("listen", [&](auto& listen) { describeListen(listen, settings); });
    section.section("advertise", [&](auto& advertise) { describeAdvertise(advertise, settings); });
    section.section("fleet", [&](auto& fleet) { describeFleet(fleet, settings); });
    section.section("store", [&](auto& store) { describeStore(store, settings); });
    section.section("limits", [&](auto& limits) { describeLimits(limits, settings); });
    section.section("drain", [&](auto& drain) { describeDrain(drain, settings); });
    section.section("trace", [&](auto& trace) { describeTrace(trace, settings); });
}

// Two listeners of the same protocol cannot share a port.
void checkListenPorts(const Settings& settings, ReadContext& context)
{
    struct Listener {
        std::string_view key;
        const ListenAddress& address;
    };
    const std::array<Listener, 3> listeners { { { "listen.caller", settings.callerListen },
        { "listen.relay", settings.relayListen }, { "listen.admin", settings.adminListen } } };
    for (size_t i = 0; i < listeners.size(); ++i) {
        for (size_t j = 0; j < i; ++j) {
            if (listeners.at(i).address.port && listeners.at(i).address == listeners.at(j).address)
                context.report(std::string(listeners.at(i).key), printListenAddress(listeners.at(i).address),
                    fmt::format("an address other than that of {}", listeners.at(j).key));
        }
    }
}

std::vector<KeyEntry> listKeys(Settings& settings)
{
    std::vector<KeyEntry> entries;
    SectionLister lister(entries, "", "");
    describeSettings(lister, settings);
    return entries;
}

constexpr std::array<std::string_view, 8> settingsSections { "node", "listen", "advertise", "fleet", "store", "limits",
    "drain", "trace" };
constexpr std::array<std::string_view, 2> configurationKeys { "name", "service" };

} // namespace

FileResult<Settings> parseSettings(std::string_view text, std::string file)
{
    ReadContext context(std::move(file));
    auto table = parseToml(text, context);
    if (!table)
        return { std::nullopt, context.takeErrors() };
    Settings settings;
    SectionReader reader(context, &*table, "");
    describeSettings(reader, settings);
    reader.finish();
    checkListenPorts(settings, context);
    std::vector<FileError> errors = context.takeErrors();
    if (!errors.empty())
        return { std::nullopt, std::move(errors) };
    return { std::move(settings), {} };
}

std::string printSettings(const Settings& settings)
{
    Settings copy = settings;
    return printToml(listKeys(copy));
}

std::vector<KeyEntry> listSettingsKeys()
{
    Settings settings;
    return listKeys(settings);
}

CheckedFile checkFile(std::string_view text, const std::string& file)
{
    ReadContext context(file);
    auto table = parseToml(text, context);
    if (!table)
        return { std::nullopt, context.takeErrors() };
    auto hasKey = [&](std::string_view key) { return table->contains(key); };
    bool isSettings = std::any_of(settingsSections.begin(), settingsSections.end(), hasKey);
    bool isConfiguration = std::any_of(configurationKeys.begin(), configurationKeys.end(), hasKey);
    if (isSettings == isConfiguration) {
        context.reportAt(0, "", isSettings ? "top-level keys of both kinds of file" : "no known top-level key",
            fmt::format("either the settings sections {} or the configuration keys {}",
                fmt::join(settingsSections, ", "), fmt::join(configurationKeys, ", ")));
        return { std::nullopt, context.takeErrors() };
    }
    if (isSettings)
        return { FileKind::Settings, parseSettings(text, file).errors };
    return { FileKind::Configuration, parseConfiguration(text, file).errors };
}

} // namespace Gooseberrymill

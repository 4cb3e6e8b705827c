#include "SettingsFile.h"

#include "ConfigurationFile.h"

#include <charconv>
#include <gio/gio.h>

namespace Gooseberrymill {

namespace {

//-----------------------------------------------------------------------------
// [SECTION] Validation of text values
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
    bool isIpv6 = address.host.find(':') != std::string::npos;
    return isIpv6 ? fmt::format("[{}]:{}", address.host, address.port)
                  : fmt::format("{}:{}", address.host, address.port);
}

const TextRule addressRule { "\"ip:port\" or \"[ip]:port\" with a port above 0", &isAddress };
const TextRule advertiseRule { "\"ip:port\" or \"[ip]:port\" with a port above 0, or \"\"", &isOptionalAddress };
const TextRule urlRule { "\"http://ip:port\", or \"\"", &isOptionalUrl };
const TextRule keyRule { "a text of 16 to 1024 printable characters", &isFleetKey, true };
const TextRule fileNameRule { "a file name, or \"\"", &isPrintable };

const TextRule optionalNameRule { "a name of 1 to 64 letters, digits, '.', '_' or '-', or \"\"",
    [](std::string_view text) { return text.empty() || isName(text); } };
const TextRule adapterRule { "mesh, or \"\"", [](std::string_view text) { return text.empty() || text == "mesh"; } };

const TextCodec<Discovery> discoveryCodec { "text", "gossip or store",
    [](std::string_view text) -> std::optional<Discovery> {
        if (text == "gossip")
            return Discovery::Gossip;
        return text == "store" ? std::optional(Discovery::Store) : std::nullopt;
    },
    [](const Discovery& value) { return std::string(value == Discovery::Store ? "store" : "gossip"); } };

const TextCodec<std::optional<ListenAddress>> optionalListenCodec { "address", "\"ip:port\", or \"\"",
    [](std::string_view text) -> std::optional<std::optional<ListenAddress>> {
        if (text.empty())
            return std::optional<ListenAddress>();
        auto address = parseListenAddress(text);
        return address ? std::optional(address) : std::nullopt;
    },
    [](const std::optional<ListenAddress>& value) { return value ? printListenAddress(*value) : std::string(); } };

const TextCodec<ListenAddress> listenCodec { "address", "\"ip:port\" or \"[ip]:port\"; port 0: any free port",
    &parseListenAddress, &printListenAddress };

//-----------------------------------------------------------------------------
// [SECTION] Keys
//-----------------------------------------------------------------------------

constexpr size_t maxSeeds = 64; // most seed addresses in the settings
constexpr size_t maxDataCentres = 256; // most data centres of a fleet

void describeNode(auto& section, Settings& settings)
{
    section.text("name", settings.nodeName, nameRule, Presence::Required, "Name of the node, unique in the fleet.");
    section.text("region", settings.location.region, nameRule, Presence::Required, "Region of the instance.");
    section.text(
        "dataCentre", settings.location.dataCentre, nameRule, Presence::Required, "Data centre of the instance.");
    section.integer("workers", settings.workers, { 1, 64 }, Presence::Optional, "Threads that serve callers.");
}

void describeUpstream(auto& section, Settings& settings)
{
    section.text("service", settings.upstreamService, optionalNameRule, Presence::Optional,
        "Service of the upstream beside this node; empty: as it announces itself.");
    section.text("address", settings.upstreamAddress, advertiseRule, Presence::Optional,
        "Address of the upstream beside this node; announcements of other addresses are refused. Empty: any.");
}

void describePlatform(auto& section, Settings& settings)
{
    section.text("adapter", settings.platform, adapterRule, Presence::Optional,
        "Adapter for the interfaces of the platform; empty: the interfaces of this project.");
}

void describeListen(auto& section, Settings& settings)
{
    section.coded("caller", settings.callerListen, listenCodec, Presence::Optional, "HTTP for callers.");
    section.coded("relay", settings.relayListen, listenCodec, Presence::Optional, "TCP for other nodes.");
    section.coded("gossip", settings.gossipListen, listenCodec, Presence::Optional, "UDP for other nodes.");
    section.coded("readiness", settings.readinessListen, optionalListenCodec, Presence::Optional,
        "HTTP for the readiness check of the platform; empty: on the admin address.");
    section.coded("metrics", settings.metricsListen, optionalListenCodec, Presence::Optional,
        "HTTP for the metrics page; empty: on the admin address.");
    section.coded(
        "admin", settings.adminListen, listenCodec, Presence::Optional, "HTTP for operators and local upstreams.");
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
    section.coded("discovery", settings.discovery, discoveryCodec, Presence::Optional,
        "How nodes find each other: gossip, through seeds, or store, through a directory in the object store.");
    section.flag("firstStart", settings.isFleetFirstStart,
        "Whether the whole fleet starts for the first time; otherwise the directory in the store is read at once.");
    section.textList("seeds", settings.seeds, addressRule, maxSeeds, "Gossip addresses of nodes to join through.");
    section.sections("dataCentre", settings.dataCentres, maxDataCentres, [](auto& item, Location& location) {
        item.text("name", location.dataCentre, nameRule, Presence::Required, "Name of a data centre of the fleet.");
        item.text("region", location.region, nameRule, Presence::Required, "Its region.");
    });
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
    section.duration(
        "idleTimeout", settings.callerIdleTimeout, { 1s, 1h }, "Longest idle time of a caller's connection.");
    section.duration("connectTimeout", settings.connectTimeout, { 10ms, 60s },
        "Longest wait for a connection to an upstream or a node.");
    section.duration("relayIdleTimeout", settings.relayIdleTimeout, { 1s, 1h },
        "Longest idle time of a connection to another node.");
    section.duration("upstreamIdleTimeout", settings.upstreamIdleTimeout, { 0s, 1h },
        "Longest idle time of a connection to an upstream; 0s: until the upstream closes it.");
}

void describeRetry(auto& section, Settings& settings)
{
    section.real("share", settings.retryShare, { 0.0, 1.0 },
        "Retries as a share of the requests of a service, over the whole fleet; 0: as each service configures.");
    section.real("slack", settings.retryBurst, { 0.0, 1e6 },
        "Retries of a service in 10 s beyond the share, over the whole fleet.");
}

void describeDrain(auto& section, Settings& settings)
{
    section.duration("grace", settings.drainGracePeriod, { 0s, 1min },
        "How long callers' connections are still accepted after SIGTERM.");
    section.duration("limit", settings.drainTimeout, { 0s, 24h },
        "Longest wait for requests in flight after SIGTERM; 0s: until the last one ends.");
}

void describeKeys(auto& section, Settings& settings)
{
    section.duration("revocationBound", settings.keyRevocationBound, { 0s, 1h },
        "Time after a key was taken away from which it is not accepted anywhere, also at nodes that are cut off; 0s: "
        "as "
        "the configuration arrives.");
}

void describeQuota(auto& section, Settings& settings)
{
    section.duration("window", settings.quotaWindow, { 1s, 1h }, "Window in which the quota of an organisation holds.");
    section.real("overage", settings.quotaOverage, { 0.0, 1.0 }, "Share by which a window may exceed the quota.");
    section.integer("slack", settings.quotaSlack, { 0, 1'000'000 }, Presence::Optional,
        "Requests by which a window may exceed the quota, besides the share.");
}

void describeBalancing(auto& section, Settings& settings)
{
    section.flag("triesOthersWhenFull", settings.triesOthersWhenFull,
        "Whether a request that finds all slots of an upstream taken may go on to another one.");
}

void describeTrace(auto& section, Settings& settings)
{
    section.text("file", settings.traceFile, fileNameRule, Presence::Optional,
        "File that decisions are recorded to; empty: none.");
}

void describeSettings(auto& section, Settings& settings)
{
    section.section("node", [&](auto& node) { describeNode(node, settings); });
    section.section("upstream", [&](auto& upstream) { describeUpstream(upstream, settings); });
    section.section("platform", [&](auto& platform) { describePlatform(platform, settings); });
    section.section("listen", [&](auto& listen) { describeListen(listen, settings); });
    section.section("advertise", [&](auto& advertise) { describeAdvertise(advertise, settings); });
    section.section("fleet", [&](auto& fleet) { describeFleet(fleet, settings); });
    section.section("store", [&](auto& store) { describeStore(store, settings); });
    section.section("limits", [&](auto& limits) { describeLimits(limits, settings); });
    section.section("retry", [&](auto& retry) { describeRetry(retry, settings); });
    section.section("drain", [&](auto& drain) { describeDrain(drain, settings); });
    section.section("keys", [&](auto& keys) { describeKeys(keys, settings); });
    section.section("quota", [&](auto& quota) { describeQuota(quota, settings); });
    section.section("balancing", [&](auto& balancing) { describeBalancing(balancing, settings); });
    section.section("trace", [&](auto& trace) { describeTrace(trace, settings); });
}

// Reports TCP listeners that are configured with the same address and port. Port 0 is exempt: it means any free port.
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

// Top-level keys by which checkFile() detects the kind of a file.
constexpr std::array<std::string_view, 11> settingsSections { "node", "retry", "upstream", "platform", "listen",
    "advertise", "fleet", "store", "limits", "drain", "trace" };
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

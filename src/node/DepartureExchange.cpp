#include "DepartureExchange.h"

#include "Log.h"
#include "Task.h"

#include <algorithm>

namespace Gooseberrymill {

namespace {

constexpr size_t copies = 16; // peers that remember a departure; enough when most nodes of a region restart

} // namespace

DepartureExchange::DepartureExchange(Options options, RelayClient& relay, const NodeDirectory& directory, uint64_t seed,
    std::function<void(const UpstreamDeparture&)> returned)
    : m_options(std::move(options))
    , m_relay(relay)
    , m_directory(directory)
    , m_random(seed)
    , m_returned(std::move(returned))
{
}

void DepartureExchange::share(const UpstreamDeparture& departure)
{
    if (m_shared == departure)
        return;
    m_shared = departure;
    std::vector<std::string> addresses;
    m_directory.forEachLive([&](const NodeRecord& it) {
        if (it.location.region == m_options.region && it.name != m_options.node)
            addresses.emplace_back(it.relayAddress);
    });
    std::vector<std::string> chosen;
    std::ranges::sample(addresses, std::back_inserter(chosen), copies, m_random);
    log(LogLevel::Info, "upstream.departure",
        { { "upstream", departure.instance }, { "started_up_to", departure.startedUpTo },
            { "copies", chosen.size() } });
    DepartureNotice notice { m_options.node, m_options.incarnation, { departure } };
    for (const std::string& address : chosen)
        m_relay.query(
            address, notice, [](const Result<RelayMessage>&) {}, m_options.replyTimeout);
}

void DepartureExchange::onNotice(const DepartureNotice& notice)
{
    if (notice.node != m_options.node)
        return m_book.record(notice, currentInstant());
    for (const UpstreamDeparture& departure : notice.departures) {
        log(LogLevel::Info, "upstream.departure_returned",
            { { "upstream", departure.instance }, { "started_up_to", departure.startedUpTo } });
        m_returned(departure);
    }
}

void DepartureExchange::tick(Instant now)
{
    m_book.tick(now);
    if (m_book.isEmpty())
        return;
    m_directory.forEachLive([&](const NodeRecord& peer) {
        auto unknown = m_book.unknownTo(peer.name, peer.incarnation);
        if (unknown.empty() || !m_returningTo.insert(peer.name).second)
            return;
        m_relay.query(
            peer.relayAddress, DepartureNotice { peer.name, peer.incarnation, unknown },
            [this, name = peer.name, incarnation = peer.incarnation, unknown](const Result<RelayMessage>& result) {
                m_returningTo.erase(name);
                if (result && std::holds_alternative<DepartureReply>(result.value()))
                    m_book.told(name, incarnation, unknown);
            },
            m_options.replyTimeout);
    });
}

} // namespace Gooseberrymill

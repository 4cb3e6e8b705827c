#include "DepartureExchange.h"

#include "Log.h"
#include "Task.h"

#include <algorithm>

namespace Gooseberrymill {

namespace {

constexpr Duration tellingPeriod = 1s; // between searches for peers that a departure still has to be sent to

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
    Instant now = currentInstant();
    if (!m_copies.add(departure, now))
        return;
    size_t told = tellPeers(now);
    log(LogLevel::Info, "upstream.departure",
        { { "upstream", departure.instance }, { "started_up_to", departure.startedUpTo }, { "copies", told } });
}

size_t DepartureExchange::tellPeers(Instant now)
{
    m_nextTelling = now + tellingPeriod;
    std::vector<const NodeRecord*> peers;
    m_directory.forEachLive([&](const NodeRecord& it) {
        if (it.location.region == m_options.region && it.name != m_options.node)
            peers.push_back(&it);
    });
    auto notices = m_copies.due(peers, m_random);
    for (const auto& [peer, departures] : notices) {
        m_relay.query(
            peer->relayAddress, DepartureNotice { m_options.node, m_options.incarnation, departures },
            [this, name = peer->name, incarnation = peer->incarnation, sent = departures](
                const Result<RelayMessage>& result) {
                bool isStored = result && std::holds_alternative<DepartureReply>(result.value());
                m_copies.answered(name, incarnation, sent, isStored);
            },
            m_options.replyTimeout);
    }
    return notices.size();
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
    m_copies.tick(now);
    if (!m_copies.isEmpty() && now >= m_nextTelling)
        tellPeers(now);
    m_book.tick(now);
    if (!m_book.isEmpty())
        returnToRestarted();
}

void DepartureExchange::returnToRestarted()
{
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

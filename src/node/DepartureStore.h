// Keeps the departures that a node acknowledges in the object store, so that they hold after the end of all nodes.
//
// A departure takes effect at once, but is acknowledged only when the store holds it: whatever comes after an
// acknowledgement may be the end of every process that knows of it. All departures of a node share one object, which
// its owner alone writes. Without departures there is no object and no call; the object is read by the list of the
// region's node records that each node makes when it starts.
//
// A write without an answer may still be executed later, also after a restart. Each write names the version that it
// replaces, so that a late one either comes first, and its departures are read and kept, or does nothing.
#pragma once

#include "core/ObjectStore.h"
#include "DepartureJson.h"
#include "Log.h"

#include <algorithm>
#include <memory>
#include <random>

namespace Gooseberrymill {

struct DepartureStoreOptions {
    std::string kind; // of the objects in the store, shared with the node records of the region
    std::string node; // this node

    // Upstreams count an acknowledgement that takes over a second as missing.
    Duration replyLimit = 800ms;
    Duration firstRetryDelay = 200ms; // doubles with each failure
    Duration maxRetryDelay = 8s;
    Duration rewriteDelay = 1s; // before a write that no upstream waits for

    // Longer than a late announcement takes, and than a process that leaves serves on.
    Duration lifetime = 5min; // since the last departure or its last repetition; then the object is removed
    Duration leftoverLifetime = 15min; // of an object whose node is gone; longer, as clocks differ
    size_t maxLeftoversRemoved = 2; // by each node that starts, so that they become fewer and a mass start stays cheap
};

// Belongs to one task. Answers of the store that arrive after its destruction are ignored.
template <ObjectStore Store> class DepartureStore {
public:
    using Options = DepartureStoreOptions;
    using Reply = std::function<void(const Result<void>&)>;
    struct Clocks {
        std::function<Instant()> monotonic;
        std::function<WallTime()> wall;
    };

    // `store` must outlive this object and run its callbacks on the task that owns this object.
    DepartureStore(Store& store, Options options, Clocks clocks, uint64_t seed)
        : m_store(store)
        , m_options(std::move(options))
        , m_clocks(std::move(clocks))
        , m_random(seed)
        , m_retryDelay(m_options.firstRetryDelay)
        , m_alive(std::make_shared<bool>(true))
    {
    }

    // Writes the departure unless the store holds it. `reply` gets success once the store holds it, or Unavailable if
    // that is not known within the reply limit; the write is repeated all the same.
    void keep(const UpstreamDeparture&, Reply reply);
    // The same for a departure that nobody waits to be acknowledged.
    void keep(const UpstreamDeparture&);

    // Takes over what an earlier process of this node has written, from a list of the store. Returns it.
    std::vector<UpstreamDeparture> load(std::span<const StoredObject> listed);

    // Removes a few objects of the list that nodes which are gone have left behind. `isLive`: whether a node runs.
    template <typename Predicate> void removeLeftovers(std::span<const StoredObject> listed, Predicate isLive);

    // The store came back from an older copy and may have lost what was written last. Writes it again.
    void storeRestored();

    void tick(); // must be called periodically

    bool isSaved() const { return m_saved.coversAll(m_departures.entries()); } // the store holds all departures
    size_t waitingCount() const { return m_waiting.size(); } // acknowledgements that wait for the store

private:
    struct Waiting {
        UpstreamDeparture departure;
        Instant deadline {};
        Reply reply;
    };

    // Wraps a store callback so that it does nothing once this object is destroyed.
    template <typename Function> auto guarded(Function function)
    {
        return [alive = std::weak_ptr<bool>(m_alive), function = std::move(function)](const auto& result) {
            if (!alive.expired())
                function(result);
        };
    }

    bool add(const UpstreamDeparture&); // false: it is known
    void write();
    void read(); // after a conflict
    void saved(const StoredDepartures& departures, uint64_t version);
    void failed(const Error&);
    void settleSaved(); // replies to those whose departure the store holds
    void settleExpired(Instant now);
    void removeOwn();

    Store& m_store;
    Options m_options;
    Clocks m_clocks;
    std::mt19937_64 m_random;
    StoredDepartures m_departures; // what the store should hold
    StoredDepartures m_saved; // what it holds
    uint64_t m_version = 0; // of the object in the store; 0: there is none, as far as known
    std::vector<Waiting> m_waiting;
    bool m_isBusy = false; // a call is pending
    Instant m_retryAt {}; // no write before, after a failed one
    Instant m_rewriteAt {}; // no write before unless an acknowledgement waits for it
    Duration m_retryDelay;
    Instant m_lastKeptAt {};
    std::shared_ptr<bool> m_alive; // callbacks hold a weak reference, which expires with this object
};

//-----------------------------------------------------------------------------
// [SECTION] Departures of this node
//-----------------------------------------------------------------------------

template <ObjectStore Store> void DepartureStore<Store>::keep(const UpstreamDeparture& departure, Reply reply)
{
    add(departure);
    if (m_saved.covers(departure))
        return reply(boost::outcome_v2::success());
    Instant deadline = m_clocks.monotonic() + m_options.replyLimit;
    bool isTooLate = !m_isBusy && m_retryAt >= deadline;
    if (isTooLate)
        return reply(Error { ErrorCode::Unavailable, "departure.keep", departure.instance, "the store is away" });
    m_waiting.push_back({ departure, deadline, std::move(reply) });
    tick();
}

template <ObjectStore Store> void DepartureStore<Store>::keep(const UpstreamDeparture& departure)
{
    if (add(departure))
        m_rewriteAt = m_lastKeptAt + m_options.rewriteDelay;
}

template <ObjectStore Store> bool DepartureStore<Store>::add(const UpstreamDeparture& departure)
{
    m_lastKeptAt = m_clocks.monotonic();
    bool isNew = m_departures.add(departure);
    if (isNew)
        m_retryAt = {};
    return isNew;
}

template <ObjectStore Store> void DepartureStore<Store>::storeRestored()
{
    m_saved.clear();
    m_rewriteAt = m_clocks.monotonic() + m_options.rewriteDelay;
}

template <ObjectStore Store> void DepartureStore<Store>::tick()
{
    Instant now = m_clocks.monotonic();
    settleExpired(now);
    if (m_isBusy || m_departures.isEmpty() || now < m_retryAt)
        return;
    if (now - m_lastKeptAt >= m_options.lifetime)
        return removeOwn();
    bool isDue = !m_waiting.empty() || now >= m_rewriteAt;
    if (isDue && !isSaved())
        write();
}

template <ObjectStore Store> void DepartureStore<Store>::write()
{
    m_isBusy = true;
    auto entries = m_departures.entries();
    DepartureObject object { { entries.begin(), entries.end() }, m_clocks.wall() };
    m_store.put(m_options.kind, departureObjectName(m_options.node), toJson(object), m_version,
        guarded([this, sent = m_departures](const Result<uint64_t>& result) {
            m_isBusy = false;
            if (result)
                saved(sent, result.value());
            else if (result.error().code == ErrorCode::Conflict)
                read();
            else
                failed(result.error());
        }));
}

template <ObjectStore Store> void DepartureStore<Store>::read()
{
    m_isBusy = true;
    m_store.get(
        m_options.kind, departureObjectName(m_options.node), guarded([this](const Result<StoredObject>& result) {
            m_isBusy = false;
            bool isMissing = !result && result.error().code == ErrorCode::NotFound;
            if (!result && !isMissing)
                return failed(result.error());
            StoredDepartures found;
            if (result) {
                auto object = parseDepartureObject(result.value().value).value_or(DepartureObject {});
                found.addOlder(object.departures);
                m_departures.addOlder(object.departures);
            }
            saved(found, result ? result.value().version : 0);
        }));
}

template <ObjectStore Store> void DepartureStore<Store>::saved(const StoredDepartures& departures, uint64_t version)
{
    m_saved = departures;
    m_version = version;
    m_retryAt = {};
    m_retryDelay = m_options.firstRetryDelay;
    if (isSaved())
        log(LogLevel::Info, "upstream.departures_saved", { { "departures", m_departures.entries().size() } });
    settleSaved();
    if (!m_isBusy && !isSaved())
        write();
}

template <ObjectStore Store> void DepartureStore<Store>::failed(const Error& error)
{
    log(LogLevel::Warning, "upstream.departures_unsaved", error, { { "waiting", m_waiting.size() } });
    m_retryAt = m_clocks.monotonic() + m_retryDelay;
    m_retryDelay = std::min(m_retryDelay * 2, m_options.maxRetryDelay);
}

template <ObjectStore Store> void DepartureStore<Store>::settleSaved()
{
    auto isSettled = [this](const Waiting& it) { return m_saved.covers(it.departure); };
    auto firstSettled = std::stable_partition(m_waiting.begin(), m_waiting.end(), std::not_fn(isSettled));
    std::vector<Waiting> settled(std::make_move_iterator(firstSettled), std::make_move_iterator(m_waiting.end()));
    m_waiting.erase(firstSettled, m_waiting.end());
    for (const Waiting& it : settled)
        it.reply(boost::outcome_v2::success());
}

template <ObjectStore Store> void DepartureStore<Store>::settleExpired(Instant now)
{
    while (!m_waiting.empty() && now >= m_waiting.front().deadline) {
        Waiting expired = std::move(m_waiting.front());
        m_waiting.erase(m_waiting.begin());
        expired.reply(Error { ErrorCode::Unavailable, "departure.keep", expired.departure.instance,
            "the store has not confirmed it in time" });
    }
}

// If it fails, a node that starts later removes the object.
template <ObjectStore Store> void DepartureStore<Store>::removeOwn()
{
    if (m_version)
        m_store.remove(m_options.kind, departureObjectName(m_options.node), m_version, [](const Result<uint64_t>&) {});
    m_departures.clear();
    m_saved.clear();
    m_version = 0;
}

//-----------------------------------------------------------------------------
// [SECTION] Objects in the store
//-----------------------------------------------------------------------------

template <ObjectStore Store>
std::vector<UpstreamDeparture> DepartureStore<Store>::load(std::span<const StoredObject> listed)
{
    std::string name = departureObjectName(m_options.node);
    auto it = std::ranges::find(listed, name, &StoredObject::name);
    auto object = it == listed.end() ? std::nullopt : parseDepartureObject(it->value);
    if (!object)
        return {};
    m_lastKeptAt = m_clocks.monotonic();
    m_departures.addOlder(object->departures);
    bool isOwnWriteNewer = m_version || m_isBusy;
    if (!isOwnWriteNewer) {
        m_version = it->version;
        m_saved.addOlder(object->departures);
    }
    log(LogLevel::Info, "upstream.departures_loaded", { { "departures", object->departures.size() } });
    return object->departures;
}

template <ObjectStore Store>
template <typename Predicate>
void DepartureStore<Store>::removeLeftovers(std::span<const StoredObject> listed, Predicate isLive)
{
    // Compared in milliseconds, so that no time that another writer has put in can overflow.
    WallTime oldest
        = m_clocks.wall() - std::chrono::duration_cast<std::chrono::milliseconds>(m_options.leftoverLifetime);
    std::vector<const StoredObject*> leftovers;
    for (const StoredObject& it : listed) {
        auto node = nodeOfDepartureObject(it.name);
        auto object = node ? parseDepartureObject(it.value) : std::nullopt;
        bool isOld = object && object->writtenAt <= oldest;
        if (isOld && *node != m_options.node && !isLive(*node))
            leftovers.push_back(&it);
    }
    std::vector<const StoredObject*> chosen;
    std::ranges::sample(
        leftovers, std::back_inserter(chosen), static_cast<std::ptrdiff_t>(m_options.maxLeftoversRemoved), m_random);
    for (const StoredObject* it : chosen)
        m_store.remove(m_options.kind, it->name, it->version, [](const Result<uint64_t>&) {});
}

} // namespace Gooseberrymill

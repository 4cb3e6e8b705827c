// Synchronises the configuration of this node with the store and with peers: performs the I/O that ConfigurationSync
// requests. Runs on the control task.
#pragma once

#include "ConfigurationFile.h"
#include "ConfigurationPublisher.h"
#include "core/ConfigurationLedger.h"
#include "core/ObjectStore.h"
#include "core/StoreHistory.h"
#include "Log.h"
#include "RelayClient.h"
#include "SharedFreshness.h"
#include "Task.h"

namespace Gooseberrymill {

struct ConfigurationHooks {
    // The applied set of documents changed. `inUse` must be destroyed once every task uses the new routes.
    std::function<void(std::shared_ptr<const RouteTable>, std::shared_ptr<void> inUse)> routesChanged;
    std::function<void(uint64_t digest)> digestChanged; // digest of all applied documents
    std::function<std::string(std::string_view node)> relayAddress; // returns an empty string when the node is unknown
    std::function<void(const ConfigurationRecord&)> accepted; // a document was applied
    std::function<void(bool isReachable)> storeCallFinished; // may be empty
    std::shared_ptr<SharedFreshness> freshness {}; // learns what the store confirms; may be null
    std::function<void(const ConfigurationRecord&, const std::string& reason)>
        refused; // a document is invalid and was not applied
};

// Object kind and encoding of configuration documents in the store.
struct ConfigurationFormat {
    std::string_view kind = configurationKind;
    Result<ConfigurationObject> (*parseObject)(std::string_view json) = &parseConfigurationObject;
    FileResult<Configuration> (*parseText)(std::string_view text, std::string file) = &parseConfiguration;
    // Number that rises with each change of a document, from its change id; 0 if it has none.
    uint64_t (*changeNumber)(std::string_view changeId) = &changeNumberOf;
};

template <ObjectStore Store> class ConfigurationDriver {
public:
    // `store` may be null. Store and client must outlive this object.
    ConfigurationDriver(Store* store, RelayClient& client, uint64_t seed, ConfigurationHooks hooks, Instant now,
        const ConfigurationSyncSettings& settings = {}, const ConfigurationFormat& format = {})
        : m_store(store)
        , m_client(client)
        , m_hooks(std::move(hooks))
        , m_format(format)
        , m_sync(settings, seed, now)
        , m_alive(std::make_shared<bool>(true))
    {
    }

    void start(std::span<const std::string> peers)
    {
        run([&](Instant now) { m_sync.start(peers, now); });
    }
    void setRole(WatchRole role)
    {
        run([&](Instant now) { m_sync.roleChanged(role, now); });
    }
    void digestSeen(std::string_view peer, uint64_t digest)
    {
        run([&](Instant now) { m_sync.digestSeen(peer, digest, now); });
    }
    void tick()
    {
        run([&](Instant now) { m_sync.tick(now); });
    }

    // Reads the store once, outside the schedule of the reads, for a node whose knowledge of the newest configuration
    // grows old.
    void readStore()
    {
        run([&](Instant now) { m_sync.readSoon(now); });
    }

    // Answers a peer's query with the documents that are newer than its own.
    ConfigurationReply answer(ConfigurationQuery query) const
    {
        numberChanges(query.held);
        ConfigurationReply reply = m_sync.ledger().newerThan(query);
        keepRevisions(reply.newer);
        return reply;
    }
    const ConfigurationLedger& ledger() const { return m_sync.ledger(); }
    bool isReady() const { return m_sync.isReady(); }
    uint64_t storeCalls() const { return m_sync.storeCalls(); }

private:
    // Passes an event to ConfigurationSync and performs its actions until none is left.
    template <typename Event> void run(Event event)
    {
        event(currentInstant());
        for (auto actions = m_sync.takeActions(); !actions.empty(); actions = m_sync.takeActions()) {
            for (SyncAction& action : actions)
                std::visit([this](auto& each) { carryOut(each); }, action);
        }
    }

    // Wraps a callback so that it does nothing when the reply arrives after this object was destroyed.
    template <typename Function> auto guarded(Function function)
    {
        return [alive = std::weak_ptr<bool>(m_alive), function = std::move(function)](auto&& result) {
            if (!alive.expired())
                function(std::forward<decltype(result)>(result));
        };
    }

    void carryOut(const QueryPeer& queryPeer)
    {
        std::string address = m_hooks.relayAddress(queryPeer.peer);
        if (address.empty())
            return m_sync.peerFailed(queryPeer.peer, currentInstant());
        ConfigurationQuery query = queryPeer.query;
        keepRevisions(query.held);
        m_client.query(address, std::move(query), guarded([this, peer = queryPeer.peer](Result<RelayMessage> result) {
            run([&](Instant now) {
                auto* reply = result ? std::get_if<ConfigurationReply>(&result.value()) : nullptr;
                if (!reply)
                    return m_sync.peerFailed(peer, now);
                numberChanges(reply->newer);
                m_sync.peerAnswered(peer, *reply, now);
            });
        }));
    }

    // Other nodes get the versions without their eras.
    static void keepRevisions(std::span<ConfigurationRecord> records)
    {
        for (ConfigurationRecord& it : records)
            it.version = revisionOf(it.version);
    }

    void numberChanges(std::span<ConfigurationRecord> records) const
    {
        for (ConfigurationRecord& it : records)
            it.changeNumber = m_format.changeNumber(it.changeId);
    }

    void carryOut(const ReadStore&)
    {
        if (!m_store)
            return m_sync.storeFailed(currentInstant());
        Instant askedAt = currentInstant();
        m_store->list(m_format.kind, guarded([this, askedAt](const Result<std::vector<StoredObject>>& result) {
            run([&](Instant now) {
                if (!result) {
                    bool hasTimedOut = result.error().code == ErrorCode::Timeout;
                    m_sync.storeFailed(now, hasTimedOut ? ReadFailure::NoResponse : ReadFailure::Failed);
                    return reportMissingAnswer();
                }
                std::vector<ConfigurationRecord> documents;
                for (const StoredObject& object : result.value()) {
                    if (auto document = toRecord(object))
                        documents.push_back(std::move(*document));
                }
                for (const ConfigurationRecord& it : documents)
                    noteStored(it);
                m_hasUnreadable = documents.size() != result.value().size();
                confirm(storedStamp(), askedAt);
                m_sync.storeAnswered(documents, now);
                reportStoreReachability(true);
            });
        }));
    }

    void carryOut(const WatchStore& watch)
    {
        if (!m_store)
            return;
        m_store->watch(m_format.kind, watch.name, watch.version, watch.timeout,
            guarded([this, name = watch.name, askedAt = currentInstant(), stamp = storedStamp()](
                        const Result<StoredObject>& result) {
                run([&](Instant now) {
                    WatchEnd end = result ? WatchEnd::Unchanged : toWatchEnd(result.error());
                    auto document = result ? toRecord(result.value()) : std::nullopt;
                    if (document)
                        noteStored(*document);
                    else if (result)
                        m_hasUnreadable = true;
                    else if (end == WatchEnd::Unchanged && m_storedChanges.size() == 1)
                        confirm(stamp, askedAt);
                    m_sync.watchAnswered(name, document, now, end);
                    if (end == WatchEnd::Unchanged || end == WatchEnd::HistoryGone)
                        reportStoreReachability(true);
                    else
                        reportMissingAnswer();
                });
            }));
    }

    void carryOut(const ApplyDocument& apply)
    {
        const ConfigurationRecord& record = apply.document;
        auto parsed = m_format.parseText(record.text, record.name);
        if (!parsed.value) {
            std::string reason
                = parsed.errors.empty() ? "the document does not parse" : toString(parsed.errors.front());
            log(LogLevel::Error, "configuration.refused",
                { { "document", record.name }, { "version", record.version }, { "reason", reason } });
            m_sync.rejected(record, currentInstant());
            m_hooks.refused(record, reason);
            return;
        }
        auto document = std::make_shared<Configuration>(std::move(*parsed.value));
        document->name = record.name;
        document->version = record.version;
        document->changeId = record.changeId;
        document->author = record.author;
        m_documents[record.name] = std::move(document);
        m_sync.accepted(record, currentInstant());
        publish();
        log(LogLevel::Info, "configuration.in_force",
            { { "document", record.name }, { "era", versionEraOf(record.version) },
                { "version", revisionOf(record.version) }, { "change", record.changeId } });
        m_hooks.accepted(record);
    }

    void carryOut(const ReportOutdated& report)
    {
        log(LogLevel::Warning, "configuration.outdated",
            { { "document", report.received.name }, { "era", versionEraOf(report.received.version) },
                { "version", revisionOf(report.received.version) }, { "change", report.received.changeId },
                { "version_in_force", revisionOf(report.inForce.version) },
                { "change_in_force", report.inForce.changeId } });
    }

    static WatchEnd toWatchEnd(const Error& error)
    {
        if (error.code == ErrorCode::Unchanged)
            return WatchEnd::Unchanged;
        if (error.code == ErrorCode::Timeout)
            return WatchEnd::NoResponse;
        return error.code == ErrorCode::Unsupported ? WatchEnd::HistoryGone : WatchEnd::Failed;
    }

    // A call without a response may only have met a dead connection. Until it is repeated, it shows neither that the
    // store is reachable nor that it is not.
    void reportMissingAnswer()
    {
        if (m_sync.isStoreLost())
            reportStoreReachability(false);
    }

    void noteStored(const ConfigurationRecord& record)
    {
        uint64_t& number = m_storedChanges[record.name];
        number = std::max(number, record.changeNumber);
    }

    // Stamp of the newest configuration that the store has returned.
    uint64_t storedStamp() const
    {
        uint64_t stamp = 0;
        for (const auto& [name, number] : m_storedChanges)
            stamp += number;
        return stamp;
    }

    void confirm(uint64_t stamp, Instant askedAt)
    {
        if (m_hooks.freshness && stamp && !m_hasUnreadable)
            m_hooks.freshness->confirmedByStore(stamp, askedAt);
    }

    void reportStoreReachability(bool isReachable)
    {
        if (m_hooks.storeCallFinished)
            m_hooks.storeCallFinished(isReachable);
    }

    void carryOut(const AnnounceDigest& announce) { m_hooks.digestChanged(announce.digest); }

    void publish()
    {
        std::vector<std::shared_ptr<const Configuration>> documents;
        for (const auto& [name, document] : m_documents)
            documents.push_back(document);
        auto setStamp = [freshness = m_hooks.freshness, stamp = m_sync.ledger().stamp()](void*) {
            if (freshness)
                freshness->setOwnStamp(stamp, currentInstant());
        };
        m_hooks.routesChanged(std::make_shared<const RouteTable>(std::move(documents)), { nullptr, setStamp });
    }

    std::optional<ConfigurationRecord> toRecord(const StoredObject& object) const
    {
        auto parsed = m_format.parseObject(object.value);
        if (!parsed) {
            log(LogLevel::Error, "configuration.object", parsed.error());
            return std::nullopt;
        }
        const ConfigurationObject& document = parsed.value();
        return ConfigurationRecord { object.name, object.version, document.changeId, document.author, document.text,
            m_format.changeNumber(document.changeId) };
    }

    Store* m_store;
    RelayClient& m_client;
    ConfigurationHooks m_hooks;
    ConfigurationFormat m_format;
    ConfigurationSync m_sync;
    std::map<std::string, std::shared_ptr<const Configuration>> m_documents; // applied documents by name
    bool m_hasUnreadable = false; // the store holds a document that this node cannot read, and so may lack a change
    std::map<std::string, uint64_t> m_storedChanges; // highest change number that the store returned, by name
    std::shared_ptr<bool> m_alive;
};

} // namespace Gooseberrymill

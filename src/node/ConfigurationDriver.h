// Keeps the configuration of this node in step with the store and with peers: carries out what
// ConfigurationSync decides. Lives on the control task.
#pragma once

#include "ConfigurationFile.h"
#include "ConfigurationPublisher.h"
#include "core/ConfigurationLedger.h"
#include "core/ObjectStore.h"
#include "Log.h"
#include "RelayClient.h"
#include "Task.h"

namespace Gooseberrymill {

struct ConfigurationHooks {
    std::function<void(std::shared_ptr<const RouteTable>)> routesChanged; // a new set of documents is in force
    std::function<void(uint64_t digest)> digestChanged;
    std::function<std::string(std::string_view node)> relayAddress; // empty when the node is unknown
    std::function<void(const ConfigurationRecord&)> accepted;
    std::function<void(bool isReachable)> store; // a call to the store ended; may be empty
    std::function<void(const ConfigurationRecord&, const std::string& reason)> refused;
};

// Where documents lie in the store, and their form.
struct ConfigurationForm {
    std::string_view kind = configurationKind;
    Result<ConfigurationObject> (*parseObject)(std::string_view json) = &parseConfigurationObject;
    FileResult<Configuration> (*parseText)(std::string_view text, std::string file) = &parseConfiguration;
};

template <ObjectStore Store> class ConfigurationDriver {
public:
    // `store` may be null; both must outlive this object.
    ConfigurationDriver(Store* store, RelayClient& client, uint64_t seed, ConfigurationHooks hooks, Instant now,
        const ConfigurationSyncSettings& settings = {}, const ConfigurationForm& form = {})
        : m_store(store)
        , m_client(client)
        , m_hooks(std::move(hooks))
        , m_form(form)
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

    ConfigurationReply answer(const ConfigurationQuery& query) const { return m_sync.ledger().newerThan(query); }
    const ConfigurationLedger& ledger() const { return m_sync.ledger(); }
    bool isReady() const { return m_sync.isReady(); }
    uint64_t storeCalls() const { return m_sync.storeCalls(); }

private:
    template <typename Event> void run(Event event)
    {
        event(currentInstant());
        for (auto actions = m_sync.takeActions(); !actions.empty(); actions = m_sync.takeActions()) {
            for (SyncAction& action : actions)
                std::visit([this](auto& each) { carryOut(each); }, action);
        }
    }

    // A reply may arrive after this object is gone.
    template <typename Function> auto guarded(Function function)
    {
        return [alive = std::weak_ptr<bool>(m_alive), function = std::move(function)](auto&& result) {
            if (!alive.expired())
                function(std::forward<decltype(result)>(result));
        };
    }

    void carryOut(const QueryPeer& ask)
    {
        std::string address = m_hooks.relayAddress(ask.peer);
        if (address.empty())
            return m_sync.peerFailed(ask.peer, currentInstant());
        m_client.query(address, ask.query, guarded([this, peer = ask.peer](const Result<RelayMessage>& result) {
            run([&](Instant now) {
                auto* reply = result ? std::get_if<ConfigurationReply>(&result.value()) : nullptr;
                if (reply)
                    m_sync.peerAnswered(peer, *reply, now);
                else
                    m_sync.peerFailed(peer, now);
            });
        }));
    }

    void carryOut(const ReadStore&)
    {
        if (!m_store)
            return m_sync.storeFailed(currentInstant());
        m_store->list(m_form.kind, guarded([this](const Result<std::vector<StoredObject>>& result) {
            run([&](Instant now) {
                tellStore(static_cast<bool>(result));
                if (!result)
                    return m_sync.storeFailed(now);
                std::vector<ConfigurationRecord> documents;
                for (const StoredObject& object : result.value()) {
                    if (auto document = toRecord(object))
                        documents.push_back(std::move(*document));
                }
                m_sync.storeAnswered(documents, now);
            });
        }));
    }

    void carryOut(const WatchStore& watch)
    {
        if (!m_store)
            return;
        m_store->watch(m_form.kind, watch.name, watch.version, watch.timeout,
            guarded([this, name = watch.name](const Result<StoredObject>& result) {
                run([&](Instant now) {
                    WatchEnd end = result ? WatchEnd::Unchanged : endOf(result.error());
                    m_sync.watchAnswered(name, result ? toRecord(result.value()) : std::nullopt, now, end);
                    tellStore(end != WatchEnd::Failed);
                });
            }));
    }

    void carryOut(const ApplyDocument& apply)
    {
        const ConfigurationRecord& record = apply.document;
        auto parsed = m_form.parseText(record.text, record.name);
        if (!parsed.value) {
            std::string reason = parsed.errors.empty() ? "does not parse" : toString(parsed.errors.front());
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
        publish();
        m_sync.accepted(record, currentInstant());
        log(LogLevel::Info, "configuration.in_force", { { "document", record.name }, { "version", record.version } });
        m_hooks.accepted(record);
    }

    static WatchEnd endOf(const Error& error)
    {
        if (error.code == ErrorCode::Timeout)
            return WatchEnd::Unchanged;
        return error.code == ErrorCode::Unsupported ? WatchEnd::HistoryGone : WatchEnd::Failed;
    }

    void tellStore(bool isReachable)
    {
        if (m_hooks.store)
            m_hooks.store(isReachable);
    }

    void carryOut(const AnnounceDigest& announce) { m_hooks.digestChanged(announce.digest); }

    void publish()
    {
        std::vector<std::shared_ptr<const Configuration>> documents;
        for (const auto& [name, document] : m_documents)
            documents.push_back(document);
        m_hooks.routesChanged(std::make_shared<const RouteTable>(std::move(documents)));
    }

    std::optional<ConfigurationRecord> toRecord(const StoredObject& object) const
    {
        auto parsed = m_form.parseObject(object.value);
        if (!parsed) {
            log(LogLevel::Error, "configuration.object", parsed.error());
            return std::nullopt;
        }
        const ConfigurationObject& document = parsed.value();
        return ConfigurationRecord { object.name, object.version, document.changeId, document.author, document.text };
    }

    Store* m_store;
    RelayClient& m_client;
    ConfigurationHooks m_hooks;
    ConfigurationForm m_form;
    ConfigurationSync m_sync;
    std::map<std::string, std::shared_ptr<const Configuration>> m_documents; // in force, by name
    std::shared_ptr<bool> m_alive;
};

} // namespace Gooseberrymill

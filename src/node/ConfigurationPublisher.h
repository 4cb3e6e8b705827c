// Configuration documents as objects of the store, and their conditional update.
#pragma once

#include "core/Configuration.h"
#include "core/ObjectStore.h"

#include <memory>

namespace Gooseberrymill {

constexpr std::string_view configurationKind = "configuration";

// The value of the store object `configuration/<name>`.
struct ConfigurationObject {
    std::string text; // TOML
    std::string changeId;
    std::string author;
    std::string appliedAt; // UTC, ISO 8601
    std::string replaces; // change id of the document it was applied over; empty for the first
    bool operator==(const ConfigurationObject&) const = default;
};

std::string printConfigurationObject(const ConfigurationObject&); // JSON
Result<ConfigurationObject> parseConfigurationObject(std::string_view json);

// Reads the object's text; version, change id and author come from the object.
Result<Configuration> readConfiguration(const StoredObject&);

enum class PublishStatus : uint8_t {
    Applied, // the document is in the store
    Superseded, // it was in the store, and another change has replaced it since
    LostRace, // another change won the race; nothing was written
    Unknown, // the store did not say; the change id shows later whether the write took effect
    Failed, // nothing was written
};

struct PublishReport {
    PublishStatus status = PublishStatus::Failed;
    uint64_t version = 0; // of the document now in the store, as far as known
    std::string winner; // Lost and Superseded: author of the document now in the store
    std::string winnerChangeId;
    Error error; // Unknown and Failed
};

// Applies one document on the condition of the version that was read. After a lost answer, the change id
// in the store shows whether the write took effect. While the store still has the version read, the write
// may yet arrive, so the same conditional write is repeated: only one of them can succeed.
template <ObjectStore Store>
class ConfigurationPublisher : public std::enable_shared_from_this<ConfigurationPublisher<Store>> {
public:
    using Done = std::function<void(const PublishReport&)>;

    static constexpr uint32_t maxAttempts = 3;

    ConfigurationPublisher(Store& store, std::string name, ConfigurationObject object, Done done)
        : m_store(store)
        , m_name(std::move(name))
        , m_object(std::move(object))
        , m_done(std::move(done))
    {
    }

    // With `expected`, the document must still have this version (0: not exist); otherwise the version
    // now in the store is the condition. The publisher must be held by a shared pointer.
    void start(std::optional<uint64_t> expected)
    {
        read([this, expected](Result<StoredObject> result) { handleFirstRead(result, expected); });
    }

private:
    void read(std::function<void(Result<StoredObject>)> next)
    {
        m_store.get(configurationKind, m_name,
            [self = this->shared_from_this(), next = std::move(next)](
                const Result<StoredObject>& result) { next(result); });
    }

    static bool isNotFound(const Result<StoredObject>& result)
    {
        return !result && result.error().code == makeErrorCode(ErrorCode::NotFound);
    }

    void handleFirstRead(const Result<StoredObject>& result, std::optional<uint64_t> expected)
    {
        if (!result && !isNotFound(result))
            return finish({ PublishStatus::Failed, 0, "", "", result.error() });
        StoredObject current = result ? result.value() : StoredObject {};
        if (expected && *expected != current.version)
            return finishAgainst(current, PublishStatus::LostRace);
        m_version = current.version;
        if (auto document = parseConfigurationObject(current.value))
            m_object.replaces = document.value().changeId;
        write();
    }

    void write()
    {
        ++m_attempts;
        m_store.put(configurationKind, m_name, printConfigurationObject(m_object), m_version,
            [self = this->shared_from_this()](Result<uint64_t> result) { self->handleWritten(result); });
    }

    void handleWritten(const Result<uint64_t>& result)
    {
        if (result)
            return finish({ PublishStatus::Applied, result.value(), "", "", {} });
        Error error = result.error();
        auto is = [&](ErrorCode ec) { return error.code == makeErrorCode(ec); };
        bool isConflict = is(ErrorCode::Conflict);
        bool isUncertain = is(ErrorCode::AnswerLost) || is(ErrorCode::Timeout);
        m_isUncertain = m_isUncertain || isUncertain;
        if (!isConflict && !isUncertain)
            return finish({ m_isUncertain ? PublishStatus::Unknown : PublishStatus::Failed, 0, "", "", error });
        read([this, error](Result<StoredObject> readBack) { settle(readBack, error); });
    }

    // After a conflict or a lost answer: what the store holds now decides.
    void settle(const Result<StoredObject>& readBack, const Error& error)
    {
        if (!readBack && !isNotFound(readBack)) {
            bool isKnown = !m_isUncertain; // a conflict alone: this write has had no effect
            return finish({ isKnown ? PublishStatus::LostRace : PublishStatus::Unknown, 0, "", "", readBack.error() });
        }
        StoredObject current = readBack ? readBack.value() : StoredObject {};
        auto document = parseConfigurationObject(current.value);
        if (document && document.value().changeId == m_object.changeId)
            return finish({ PublishStatus::Applied, current.version, "", "", {} });
        if (document && document.value().replaces == m_object.changeId)
            return finishAgainst(current, PublishStatus::Superseded);
        // An answer older than the version read says nothing about this write.
        bool isUnchanged = current.version <= m_version && m_isUncertain;
        if (isUnchanged && m_attempts < maxAttempts)
            return write();
        if (m_isUncertain)
            return finish({ PublishStatus::Unknown, current.version, "", "", error });
        // A read that lags behind the conflict does not show the winner yet.
        if (current.version <= m_version)
            return finish({ PublishStatus::LostRace, 0, "", "", error });
        finishAgainst(current, PublishStatus::LostRace);
    }

    void finishAgainst(const StoredObject& current, PublishStatus status)
    {
        PublishReport report { status, current.version, "", "", {} };
        if (auto document = parseConfigurationObject(current.value)) {
            report.winner = document.value().author;
            report.winnerChangeId = document.value().changeId;
        }
        finish(report);
    }

    void finish(const PublishReport& report)
    {
        auto done = std::exchange(m_done, nullptr);
        if (done)
            done(report);
    }

    Store& m_store;
    std::string m_name;
    ConfigurationObject m_object;
    Done m_done;
    uint64_t m_version = 0; // condition of the write
    uint32_t m_attempts = 0;
    bool m_isUncertain = false; // a write of this change may have taken effect
};

} // namespace Gooseberrymill

// Storage format of configuration documents, and their conditional update in the object store.
#pragma once

#include "core/Configuration.h"
#include "core/ObjectStore.h"
#include "core/StoreHistory.h"

#include <memory>

namespace Gooseberrymill {

constexpr std::string_view configurationKind = "configuration";

// The value of the store object `configuration/<name>`.
struct ConfigurationObject {
    std::string text; // TOML
    std::string changeId;
    std::string author;
    std::string appliedAt; // UTC, ISO 8601
    std::string replaces; // change id of the document that this one replaced; empty for the first
    bool operator==(const ConfigurationObject&) const = default;
};

std::string printConfigurationObject(const ConfigurationObject&); // JSON
Result<ConfigurationObject> parseConfigurationObject(std::string_view json);

// Change ids are "<change number>.<unique id>". The number is the time of the change in milliseconds, or higher: it
// rises with each change of a document, also after the store was restored from a copy.
std::string makeChangeId(WallTime now, const Id128& uniqueId);
uint64_t changeNumberOf(std::string_view changeId); // 0 for a change id of another form
std::string raiseChangeNumber(const std::string& changeId, uint64_t replacedNumber); // above the number replaced

// Reads the object's text; version, change id and author come from the object.
Result<Configuration> readConfiguration(const StoredObject&);

enum class PublishStatus : uint8_t {
    Applied, // the document is in the store
    Superseded, // the document was written, and another change has replaced it since
    LostRace, // another change was written first; nothing was written
    Unknown, // the store gave no definite answer; the change id shows later whether the write took effect
    Failed, // nothing was written
};

struct PublishReport {
    PublishStatus status = PublishStatus::Failed;
    uint64_t version = 0; // revision of the document now in the store; 0: unknown
    std::string winner; // with LostRace and Superseded: author of the document now in the store
    std::string winnerChangeId; // with LostRace and Superseded: its change id
    Error error; // with Unknown and Failed: reason
    std::string changeId {}; // of the document that was to be published
};

// Publishes one document with a write that is conditional on the version read before. After a lost answer, the change
// id in the store shows whether the write took effect. While the store still has the version read, the write may yet
// arrive, so the same conditional write is repeated: only one of them can succeed.
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

    // With `expected`, the write succeeds only if the document still has this revision (0: does not exist). Without it,
    // the condition is the version that start() reads. The publisher must be owned by a std::shared_ptr.
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
        if (expected && *expected != revisionOf(current.version))
            return finishWithCurrent(current, PublishStatus::LostRace);
        m_versionRead = current.version;
        if (auto document = parseConfigurationObject(current.value))
            replace(document.value().changeId);
        write();
    }

    void replace(const std::string& changeId)
    {
        m_object.replaces = changeId;
        m_object.changeId = raiseChangeNumber(m_object.changeId, changeNumberOf(changeId));
    }

    void write()
    {
        ++m_attempts;
        m_store.put(configurationKind, m_name, printConfigurationObject(m_object), m_versionRead,
            [self = this->shared_from_this()](Result<uint64_t> result) { self->handleWritten(result); });
    }

    void handleWritten(const Result<uint64_t>& result)
    {
        if (result)
            return finish({ PublishStatus::Applied, revisionOf(result.value()), "", "", {} });
        Error error = result.error();
        auto hasCode = [&](ErrorCode ec) { return error.code == makeErrorCode(ec); };
        bool isConflict = hasCode(ErrorCode::Conflict);
        bool isUncertain = hasCode(ErrorCode::AnswerLost) || hasCode(ErrorCode::Timeout);
        m_isUncertain = m_isUncertain || isUncertain;
        if (!isConflict && !isUncertain)
            return finish({ m_isUncertain ? PublishStatus::Unknown : PublishStatus::Failed, 0, "", "", error });
        read([this, error](Result<StoredObject> readBack) { decideFromStore(readBack, error); });
    }

    // After a conflict or a lost answer, derives the outcome from the document now in the store.
    void decideFromStore(const Result<StoredObject>& readBack, const Error& error)
    {
        if (!readBack && !isNotFound(readBack)) {
            bool isConflictOnly = !m_isUncertain; // every attempt got a conflict, so nothing was written
            return finish(
                { isConflictOnly ? PublishStatus::LostRace : PublishStatus::Unknown, 0, "", "", readBack.error() });
        }
        StoredObject current = readBack ? readBack.value() : StoredObject {};
        auto document = parseConfigurationObject(current.value);
        if (document && document.value().changeId == m_object.changeId)
            return finish({ PublishStatus::Applied, revisionOf(current.version), "", "", {} });
        if (document && document.value().replaces == m_object.changeId)
            return finishWithCurrent(current, PublishStatus::Superseded);
        // The read may lag behind; a version that is not newer than the one read before does not show this write's
        // outcome.
        bool isUnchanged = current.version <= m_versionRead && m_isUncertain;
        if (isUnchanged && m_attempts < maxAttempts)
            return write();
        if (m_isUncertain)
            return finish({ PublishStatus::Unknown, revisionOf(current.version), "", "", error });
        // The read lags behind the write that caused the conflict, so the winner is not known.
        if (current.version <= m_versionRead)
            return finish({ PublishStatus::LostRace, 0, "", "", error });
        finishWithCurrent(current, PublishStatus::LostRace);
    }

    void finishWithCurrent(const StoredObject& current, PublishStatus status)
    {
        PublishReport report { status, revisionOf(current.version), "", "", {} };
        if (auto document = parseConfigurationObject(current.value)) {
            report.winner = document.value().author;
            report.winnerChangeId = document.value().changeId;
        }
        finish(report);
    }

    void finish(PublishReport report)
    {
        report.changeId = m_object.changeId;
        auto done = std::exchange(m_done, nullptr);
        if (done)
            done(report);
    }

    Store& m_store;
    std::string m_name;
    ConfigurationObject m_object;
    Done m_done;
    uint64_t m_versionRead = 0; // version that the write is conditional on; 0: the document must not exist
    uint32_t m_attempts = 0;
    bool m_isUncertain = false; // a write of this change may have taken effect
};

} // namespace Gooseberrymill

// Performs the actions of a ClaimLedger on the platform's object store.
#pragma once

#include "ClaimJson.h"
#include "core/ObjectStore.h"

#include <memory>

namespace Gooseberrymill {

inline constexpr std::string_view claimsKind = "claims";

// Stores claims of idempotency keys and the outcomes of the claimed operations. Belongs to one task. Replies of the
// store that arrive after its destruction are ignored.
template <ObjectStore Store> class ClaimWriter {
public:
    using SettledCallback = std::function<void(const ClaimSettled&)>;
    using Clock = std::function<Instant()>;

    // `store` must outlive this object and run its callbacks on the task that owns this object. `settled` receives the
    // result of each claim.
    ClaimWriter(Store& store, ClaimLedger ledger, Clock clock, SettledCallback settled)
        : m_store(store)
        , m_ledger(std::move(ledger))
        , m_clock(std::move(clock))
        , m_onSettled(std::move(settled))
        , m_alive(std::make_shared<bool>(true))
    {
    }

    // Requests a claim; it is settled exactly once, shortly after `deadline` at the latest.
    void claim(std::string_view service, const Claim& claim, Instant deadline)
    {
        m_ledger.claim(service, claim, deadline, m_clock());
        performActions();
    }

    // Records the outcome of a claimed operation.
    void mark(std::string_view service, const Id128& operation, ClaimState state, uint16_t status)
    {
        m_ledger.mark(service, operation, state, status, m_clock());
        performActions();
    }

    // Must be called periodically; settles expired claims and retries failed store calls.
    void tick()
    {
        m_ledger.tick(m_clock());
        performActions();
    }

private:
    void performActions()
    {
        for (ClaimAction& action : m_ledger.takeActions())
            std::visit([this](auto& each) { start(each); }, action);
    }

    // Wraps a store callback so that it does nothing once this object is destroyed.
    template <typename Function> auto guarded(Function function)
    {
        return [alive = std::weak_ptr<bool>(m_alive), function = std::move(function)](auto result) {
            if (!alive.expired())
                function(std::move(result));
        };
    }

    void start(const ReadBucket& read)
    {
        m_store.get(claimsKind, read.name, guarded([this, name = read.name](const Result<StoredObject>& result) {
            m_ledger.readDone(name, parse(name, result), m_clock());
            performActions();
        }));
    }

    void start(const WriteBucket& write)
    {
        const ClaimBucket& bucket = write.bucket;
        m_store.put(claimsKind, bucket.name, toJson(bucket), bucket.version,
            guarded([this, name = bucket.name](const Result<uint64_t>& result) {
                m_ledger.writeDone(name, result, m_clock());
                performActions();
            }));
    }

    void start(const ClaimSettled& settled) { m_onSettled(settled); }

    // An object that does not exist is a bucket with version 0 and without claims.
    static Result<ClaimBucket> parse(const std::string& name, const Result<StoredObject>& result)
    {
        if (result)
            return parseClaimBucket(name, result.value().version, result.value().value);
        if (result.error().code == ErrorCode::NotFound)
            return ClaimBucket { name, 0, {} };
        return result.error();
    }

    Store& m_store;
    ClaimLedger m_ledger;
    Clock m_clock;
    SettledCallback m_onSettled;
    std::shared_ptr<bool> m_alive; // callbacks hold a weak reference, which expires with this object
};

} // namespace Gooseberrymill

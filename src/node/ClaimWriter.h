// Carries the actions of a ClaimLedger out on the platform's store.
#pragma once

#include "ClaimJson.h"
#include "core/ObjectStore.h"

#include <memory>

namespace Gooseberrymill {

inline constexpr std::string_view claimsKind = "claims";

template <ObjectStore Store> class ClaimWriter {
public:
    using SettledCallback = std::function<void(const ClaimSettled&)>;
    using Clock = std::function<Instant()>;

    // `store` must outlive this object and answer on the task that owns it.
    ClaimWriter(Store& store, ClaimLedger ledger, Clock clock, SettledCallback settled)
        : m_store(store)
        , m_ledger(std::move(ledger))
        , m_clock(std::move(clock))
        , m_onSettled(std::move(settled))
        , m_alive(std::make_shared<bool>(true))
    {
    }

    void claim(std::string_view service, const Claim& claim, Instant deadline)
    {
        m_ledger.claim(service, claim, deadline, m_clock());
        performActions();
    }

    void mark(std::string_view service, const Id128& operation, ClaimState state, uint16_t status)
    {
        m_ledger.mark(service, operation, state, status, m_clock());
        performActions();
    }

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

    // A reply may arrive after this object is gone.
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
    std::shared_ptr<bool> m_alive;
};

} // namespace Gooseberrymill

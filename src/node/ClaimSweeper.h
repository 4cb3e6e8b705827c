// Deletes claim objects from the store once all their idempotency keys have expired.
//
// Object names are computed from services, shards and time buckets, so that the store need not be listed. Only nodes
// that watch the store sweep; concurrent sweepers are harmless.
#pragma once

#include "ClaimWriter.h"
#include "core/Configuration.h"

namespace Gooseberrymill {

template <ObjectStore Store> class ClaimSweeper {
public:
    static constexpr int64_t catchUpBuckets = 48; // expired buckets rechecked after a start, in case no node swept
    static constexpr size_t namesPerTick = 2; // bounds the store reads to 40 per second, at one tick per 50 ms

    ClaimSweeper(Store& store, ClaimSettings settings)
        : m_store(store)
        , m_settings(settings)
        , m_alive(std::make_shared<bool>(true))
    {
    }

    // Must be called periodically while this node is responsible for sweeping.
    void tick(const RouteTable& routes, WallTime now)
    {
        if (m_pendingNames.empty())
            listNextBucket(routes, now);
        for (size_t i = 0; i < namesPerTick && !m_pendingNames.empty(); ++i) {
            std::string name = std::move(m_pendingNames.back());
            m_pendingNames.pop_back();
            sweep(name);
        }
    }

    // Number of objects deleted.
    uint64_t removedCount() const { return m_removedCount; }
    // True if no object name is queued.
    bool isIdle() const { return m_pendingNames.empty(); }

private:
    // Newest bucket in which all keys are older than ClaimSettings::keepFor.
    int64_t expiredBucket(WallTime now) const
    {
        auto retention = std::chrono::duration_cast<std::chrono::milliseconds>(m_settings.keepFor);
        return claimBucketAt(now - retention, m_settings) - 1;
    }

    // Queues the object names of the next expired bucket, if there is one.
    void listNextBucket(const RouteTable& routes, WallTime now)
    {
        int64_t last = expiredBucket(now);
        if (m_newestListedBucket >= last)
            return;
        int64_t first = std::max(m_newestListedBucket, last - catchUpBuckets) + 1;
        // Only one bucket at a time, so that the queue stays small.
        for (const auto& document : routes.documents()) {
            for (const Service& service : document->services) {
                for (uint32_t shard = 0; shard < m_settings.shards; ++shard)
                    m_pendingNames.push_back(claimBucketName(service.name, shard, first));
            }
        }
        m_newestListedBucket = first;
    }

    // Deletes the object if it exists. The version read is the condition of the removal.
    void sweep(const std::string& name)
    {
        m_store.get(
            claimsKind, name, [this, name, alive = std::weak_ptr<bool>(m_alive)](const Result<StoredObject>& result) {
                if (alive.expired() || !result)
                    return; // does not exist, or the store failed; another sweeper checks it in its catch-up
                m_store.remove(
                    claimsKind, name, result.value().version, [this, alive](const Result<uint64_t>& removal) {
                        if (!alive.expired() && removal)
                            ++m_removedCount;
                    });
            });
    }

    Store& m_store;
    ClaimSettings m_settings;
    std::vector<std::string> m_pendingNames; // names of objects that still have to be checked
    int64_t m_newestListedBucket = INT64_MIN; // newest bucket whose names were queued
    uint64_t m_removedCount = 0;
    std::shared_ptr<bool> m_alive; // callbacks hold a weak reference, which expires with this object
};

} // namespace Gooseberrymill

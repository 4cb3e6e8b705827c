// Deletes claim objects whose keys can no longer be accepted.
//
// Names are computed from services, shards and time buckets, so that nothing has to be listed. Only a node
// that watches the store sweeps; several sweepers do no harm.
#pragma once

#include "ClaimWriter.h"
#include "core/Configuration.h"

namespace Gooseberrymill {

template <ObjectStore Store> class ClaimSweeper {
public:
    static constexpr int64_t catchUpBuckets = 48; // looked at again after a start, in case nobody swept
    static constexpr size_t namesPerTick = 2; // bounds the reads: at one tick in 50 ms, 40 a second

    ClaimSweeper(Store& store, ClaimSettings settings)
        : m_store(store)
        , m_settings(settings)
        , m_alive(std::make_shared<bool>(true))
    {
    }

    // To be called periodically while this node sweeps.
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

    uint64_t removedCount() const { return m_removedCount; }
    bool isIdle() const { return m_pendingNames.empty(); }

private:
    // The newest bucket all of whose keys are older than `keepFor`.
    int64_t expiredBucket(WallTime now) const
    {
        auto retention = std::chrono::duration_cast<std::chrono::milliseconds>(m_settings.keepFor);
        return claimBucketAt(now - retention, m_settings) - 1;
    }

    void listNextBucket(const RouteTable& routes, WallTime now)
    {
        int64_t last = expiredBucket(now);
        if (m_newestListedBucket >= last)
            return;
        int64_t first = std::max(m_newestListedBucket, last - catchUpBuckets) + 1;
        // One bucket at a time, so that the list stays small.
        for (const auto& document : routes.documents()) {
            for (const Service& service : document->services) {
                for (uint32_t shard = 0; shard < m_settings.shards; ++shard)
                    m_pendingNames.push_back(claimBucketName(service.name, shard, first));
            }
        }
        m_newestListedBucket = first;
    }

    void sweep(const std::string& name)
    {
        m_store.get(
            claimsKind, name, [this, name, alive = std::weak_ptr<bool>(m_alive)](const Result<StoredObject>& result) {
                if (alive.expired() || !result)
                    return; // absent, or the store is away; a later node looks again
                m_store.remove(
                    claimsKind, name, result.value().version, [this, alive](const Result<uint64_t>& removal) {
                        if (!alive.expired() && removal)
                            ++m_removedCount;
                    });
            });
    }

    Store& m_store;
    ClaimSettings m_settings;
    std::vector<std::string> m_pendingNames; // still to look at
    int64_t m_newestListedBucket = INT64_MIN; // newest bucket whose names were listed
    uint64_t m_removedCount = 0;
    std::shared_ptr<bool> m_alive;
};

} // namespace Gooseberrymill

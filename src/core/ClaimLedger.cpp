#include "ClaimLedger.h"

#include <algorithm>
#include <cassert>
#include <fmt/format.h>

namespace Gooseberrymill {

namespace {

// A bucket without pending work is dropped from memory after this time; its content is read again when needed.
constexpr Duration bucketIdleLimit = 10min;

constexpr std::array<std::string_view, 3> stateNames { "claimed", "ran", "unknown" };

auto lowerBound(std::vector<Claim>& claims, const Id128& operation)
{
    return std::lower_bound(claims.begin(), claims.end(), operation,
        [](const Claim& claim, const Id128& id) { return claim.operation < id; });
}

bool needsImmediateRead(const std::error_code& ec)
{
    // After a conflict or a lost response only the stored content shows whether the claim was written.
    return ec == ErrorCode::Conflict || ec == ErrorCode::AnswerLost || ec == ErrorCode::Timeout;
}

} // namespace

std::string_view toString(ClaimState state) { return stateNames.at(static_cast<size_t>(state)); }

const Claim* ClaimBucket::find(const Id128& operation) const
{
    auto it = std::lower_bound(claims.begin(), claims.end(), operation,
        [](const Claim& claim, const Id128& id) { return claim.operation < id; });
    return it != claims.end() && it->operation == operation ? &*it : nullptr;
}

uint32_t claimShard(const Id128& operation, uint32_t shards)
{
    // The low half of a UUID version 7 is random, except for its top bits, which hold the fixed variant.
    return static_cast<uint32_t>(operation.low % shards);
}

Id128 claimAffinity(const Id128& operation) { return { 0, claimShard(operation, ClaimSettings {}.shards) }; }

int64_t claimBucketAt(WallTime time, const ClaimSettings& settings)
{
    return time.time_since_epoch() / std::chrono::duration_cast<std::chrono::milliseconds>(settings.bucketWidth);
}

std::string claimBucketName(std::string_view service, uint32_t shard, int64_t bucket)
{
    return fmt::format("{}.{}.{}", service, shard, bucket);
}

std::string claimBucketName(std::string_view service, const Id128& operation, const ClaimSettings& settings)
{
    auto time = uuidTime(operation);
    assert(time && "an idempotency key is a UUID version 7");
    return claimBucketName(service, claimShard(operation, settings.shards), claimBucketAt(*time, settings));
}

ClaimLedger::ClaimLedger(Id128 executor, ClaimSettings settings)
    : m_executor(executor)
    , m_settings(settings)
{
}

ClaimLedger::Bucket& ClaimLedger::bucketFor(const std::string& name, Instant now)
{
    Bucket& bucket = m_buckets[name];
    bucket.lastUsed = now;
    return bucket;
}

void ClaimLedger::claim(std::string_view service, const Claim& claim, Instant deadline, Instant now)
{
    std::string name = claimBucketName(service, claim.operation, m_settings);
    Bucket& bucket = bucketFor(name, now);
    bucket.pending.push_back({ claim, deadline });
    bucket.pending.back().claim.executor = m_executor;
    advance(name, bucket, now);
}

void ClaimLedger::mark(std::string_view service, const Id128& operation, ClaimState state, uint16_t status, Instant now)
{
    std::string name = claimBucketName(service, operation, m_settings);
    Bucket& bucket = bucketFor(name, now);
    bucket.marks[operation] = { state, status, now };
    advance(name, bucket, now);
}

void ClaimLedger::readDone(std::string_view name, const Result<ClaimBucket>& result, Instant now)
{
    auto it = m_buckets.find(name);
    if (it == m_buckets.end() || it->second.phase != Phase::Reading)
        return;
    Bucket& bucket = it->second;
    bucket.phase = Phase::Idle;
    if (result)
        bucket.known = result.value();
    else
        bucket.retryAt = now + m_settings.retryDelay;
    advance(it->first, bucket, now);
}

void ClaimLedger::writeDone(std::string_view name, const Result<uint64_t>& version, Instant now)
{
    auto it = m_buckets.find(name);
    if (it == m_buckets.end() || it->second.phase != Phase::Writing)
        return;
    Bucket& bucket = it->second;
    bucket.phase = Phase::Idle;
    if (version) {
        bucket.written.version = version.value();
        bucket.known = std::move(bucket.written);
    } else {
        bucket.known.reset();
        if (!needsImmediateRead(version.error().code))
            bucket.retryAt = now + m_settings.retryDelay;
    }
    bucket.written = {};
    advance(it->first, bucket, now);
}

void ClaimLedger::tick(Instant now)
{
    for (auto it = m_buckets.begin(); it != m_buckets.end();) {
        Bucket& bucket = it->second;
        advance(it->first, bucket, now);
        bool isIdle = bucket.phase == Phase::Idle && bucket.pending.empty() && bucket.marks.empty();
        if (isIdle && now - bucket.lastUsed > bucketIdleLimit)
            it = m_buckets.erase(it);
        else
            ++it;
    }
}

void ClaimLedger::settle(const Claim& claim, ClaimVerdict verdict)
{
    m_actions.emplace_back(ClaimSettled { claim.operation, verdict, claim });
}

// Settles the pending claims that the known content of the object decides.
void ClaimLedger::settleStored(Bucket& bucket)
{
    if (!bucket.known)
        return;
    std::erase_if(bucket.pending, [&](const Pending& pending) {
        const Claim* stored = bucket.known->find(pending.claim.operation);
        if (!stored)
            return false;
        bool isOwn = stored->executor == m_executor && stored->nonce == pending.claim.nonce;
        settle(*stored, isOwn ? ClaimVerdict::Granted : ClaimVerdict::Held);
        return true;
    });
    // A mark whose state is already stored needs no write. A mark for a claim of another executor is dropped.
    std::erase_if(bucket.marks, [&](const auto& entry) {
        const Claim* stored = bucket.known->find(entry.first);
        return stored && (stored->executor != m_executor || stored->state == entry.second.state);
    });
}

void ClaimLedger::settleExpired(Bucket& bucket, Instant now)
{
    std::erase_if(bucket.pending, [&](const Pending& pending) {
        if (now < pending.deadline)
            return false;
        settle(pending.claim, ClaimVerdict::Unavailable);
        return true;
    });
}

// Requests a write of all pending claims and marks. Returns false if nothing is due or the content would not change.
bool ClaimLedger::startWrite(const std::string& name, Bucket& bucket, Instant now)
{
    bool isMarkDue = std::any_of(bucket.marks.begin(), bucket.marks.end(),
        [&](const auto& mark) { return now - mark.second.since >= m_settings.markDelay; });
    if (bucket.pending.empty() && !isMarkDue)
        return false;
    ClaimBucket content = *bucket.known;
    content.name = name;
    for (const Pending& pending : bucket.pending) {
        auto it = lowerBound(content.claims, pending.claim.operation);
        if (it == content.claims.end() || it->operation != pending.claim.operation)
            content.claims.insert(it, pending.claim);
    }
    for (const auto& [operation, mark] : bucket.marks) {
        auto it = lowerBound(content.claims, operation);
        if (it == content.claims.end() || it->operation != operation || it->executor != m_executor)
            continue;
        it->state = mark.state;
        it->status = mark.status;
    }
    if (content.claims == bucket.known->claims) {
        bucket.marks.clear(); // the remaining marks belong to claims that are not stored
        return false;
    }
    bucket.written = content;
    m_actions.emplace_back(WriteBucket { std::move(content) });
    return true;
}

// Settles what can be settled, then starts the next store call of the bucket if one is needed and none is in progress.
void ClaimLedger::advance(const std::string& name, Bucket& bucket, Instant now)
{
    settleStored(bucket);
    settleExpired(bucket, now);
    if (bucket.phase != Phase::Idle || now < bucket.retryAt)
        return;
    if (bucket.pending.empty() && bucket.marks.empty())
        return;
    if (!bucket.known) {
        bucket.phase = Phase::Reading;
        m_actions.emplace_back(ReadBucket { name });
        return;
    }
    if (bucket.known->claims.size() + bucket.pending.size() > m_settings.maxClaimsPerBucket) {
        for (const Pending& pending : bucket.pending)
            settle(pending.claim, ClaimVerdict::BucketFull);
        bucket.pending.clear();
    }
    if (startWrite(name, bucket, now))
        bucket.phase = Phase::Writing;
}

} // namespace Gooseberrymill

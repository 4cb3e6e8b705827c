// Claims of idempotency keys in the platform's store.
//
// An executor may run an operation that carries an idempotency key only after its claim of the key is
// known to be stored. Claims of one service, hash shard and time bucket share an object, and one write
// carries all claims that wait for the object (group commit). A claim never moves to another executor
// and carries no lease, so a paused or partitioned holder cannot lose it.
//
// The class does no I/O. Usage: call claim(), readDone(), writeDone() and tick(), and after each call
// carry out what takeActions() returns.
#pragma once

#include "Basics.h"

#include <map>
#include <utility>
#include <variant>

namespace Gooseberrymill {

enum class ClaimState : uint8_t {
    Claimed, // the executor holds the key; it may or may not have run the operation
    Ran, // the upstream answered with `status`
    Unknown, // dispatched, but no whole answer arrived
};
std::string_view toString(ClaimState);

struct Claim {
    Id128 operation;
    Id128 executor; // incarnation that holds the key
    uint64_t nonce = 0; // tells claims of one incarnation apart, so that a forgotten claim is not taken for a new one
    uint64_t fingerprint = 0; // of method, target and body
    ClaimState state = ClaimState::Claimed;
    uint16_t status = 0;
    bool operator==(const Claim&) const = default;
};

// The store object `claims/<name>`.
struct ClaimBucket {
    std::string name;
    uint64_t version = 0; // the store's version; 0 when it does not exist
    std::vector<Claim> claims; // sorted by operation
    const Claim* find(const Id128& operation) const;
};

enum class ClaimVerdict : uint8_t {
    Granted, // stored under this executor with the nonce asked for
    Held, // stored by another executor, or earlier by this one; see `holder`
    Unavailable, // not settled before the deadline; the claim may still become stored
    BucketFull, // the object has reached its size limit; the claim is not stored
};

struct ReadBucket {
    std::string name;
};

struct WriteBucket {
    ClaimBucket bucket; // complete new content; `version` is the condition
};

struct ClaimSettled {
    Id128 operation;
    ClaimVerdict verdict = ClaimVerdict::Unavailable;
    Claim holder; // with Granted and Held
};

using ClaimAction = std::variant<ReadBucket, WriteBucket, ClaimSettled>;

struct ClaimSettings {
    uint32_t shards = 64; // objects per service and time bucket
    Duration bucketWidth = 1h; // of the key's creation time
    size_t maxClaimsPerBucket = 5000; // of at most 190 bytes each; keeps the object below the store's limit of 1 MB
    Duration keepFor = 7 * 24h; // objects are deleted this long after their bucket; no retention exceeds it
    Duration retryDelay = 200ms; // after the store could not be reached
    Duration markDelay = 1s; // outcome marks wait this long for a claim to share the write with
};

// Shard of an operation.
uint32_t claimShard(const Id128& operation, uint32_t shards);

// Affinity of a keyed request: the same for all operations of a shard, so that one executor writes the objects of
// a shard and conditional writes seldom conflict.
Id128 claimAffinity(const Id128& operation);

// Name of the object that holds the claim, "<service>.<shard>.<bucket>".
std::string claimBucketName(std::string_view service, const Id128& operation, const ClaimSettings&);
std::string claimBucketName(std::string_view service, uint32_t shard, int64_t bucket);

// Number of the time bucket that holds keys created at `time`.
int64_t claimBucketAt(WallTime time, const ClaimSettings&);

class ClaimLedger {
public:
    ClaimLedger(Id128 executor, ClaimSettings);

    // Asks for a claim. Ends with one ClaimSettled for the operation, at the deadline at the latest.
    void claim(std::string_view service, const Claim&, Instant deadline, Instant now);

    // Records the outcome of a claimed operation, for callers that ask after this executor is gone.
    void mark(std::string_view service, const Id128& operation, ClaimState, uint16_t status, Instant now);

    // Results of the actions. A bucket that does not exist is read as version 0 without claims.
    void readDone(std::string_view name, const Result<ClaimBucket>&, Instant now);
    void writeDone(std::string_view name, const Result<uint64_t>& version, Instant now);

    void tick(Instant now);
    std::vector<ClaimAction> takeActions() { return std::exchange(m_actions, {}); }

    size_t openBuckets() const { return m_buckets.size(); }

private:
    enum class Phase : uint8_t { Idle, Reading, Writing };

    struct Pending {
        Claim claim;
        Instant deadline {};
    };

    struct Mark {
        ClaimState state = ClaimState::Claimed;
        uint16_t status = 0;
        Instant since {};
    };

    struct Bucket {
        Phase phase = Phase::Idle;
        std::optional<ClaimBucket> known; // last content read or written; empty when it must be read
        ClaimBucket written; // content of the write in flight
        std::vector<Pending> pending;
        std::map<Id128, Mark> marks;
        Instant retryAt {};
        Instant lastUsed {};
    };

    Bucket& bucketFor(const std::string& name, Instant now);
    void advance(const std::string& name, Bucket&, Instant now);
    void settleStored(Bucket&);
    void settleExpired(Bucket&, Instant now);
    bool startWrite(const std::string& name, Bucket&, Instant now);
    void settle(const Claim&, ClaimVerdict);

    Id128 m_executor;
    ClaimSettings m_settings;
    std::map<std::string, Bucket, std::less<>> m_buckets;
    std::vector<ClaimAction> m_actions;
};

} // namespace Gooseberrymill

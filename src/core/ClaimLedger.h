// Claims of idempotency keys in the platform's store.
//
// An executor may run an operation that carries an idempotency key only after its claim of the key is known to be
// stored. Claims of one service, hash shard and time bucket share a store object, and one write carries all claims that
// wait for the object (group commit). A claim never moves to another executor and has no lease, so a paused or
// partitioned holder cannot lose it.
//
// The class does no I/O. Usage: after each call of claim(), mark(), readDone(), writeDone() and tick(), carry out the
// actions that takeActions() returns.
#pragma once

#include "Basics.h"

#include <map>
#include <utility>
#include <variant>

namespace Gooseberrymill {

enum class ClaimState : uint8_t {
    Claimed, // the executor holds the key; it may or may not have run the operation
    Ran, // the upstream sent a complete response, see `status`
    Unknown, // dispatched, but no complete response arrived
};
std::string_view toString(ClaimState);

// Reserves an idempotency key for one executor and records the outcome of its operation.
struct Claim {
    Id128 operation;
    Id128 executor; // incarnation that holds the key
    uint64_t nonce = 0; // unique per claim of an incarnation, so that a forgotten claim is not mistaken for a new one
    uint64_t fingerprint = 0; // hash of method, target and body
    ClaimState state = ClaimState::Claimed;
    uint16_t status = 0; // HTTP status with ClaimState::Ran; 0 if the response was not recorded
    bool operator==(const Claim&) const = default;
};

// Content of the store object `claims/<name>`.
struct ClaimBucket {
    std::string name;
    uint64_t version = 0; // version of the object in the store; 0 if it does not exist
    std::vector<Claim> claims; // sorted by operation
    const Claim* find(const Id128& operation) const; // null if the operation is not claimed
};

enum class ClaimVerdict : uint8_t {
    Granted, // stored for this executor with the requested nonce
    Held, // already stored for another executor, or earlier for this one; see `holder`
    Unavailable, // not settled before the deadline; the claim may still be stored later
    BucketFull, // the object has reached its size limit, so the claim is not stored
};

// Action: read the object and pass the result to readDone().
struct ReadBucket {
    std::string name;
};

// Action: write the object conditionally and pass the result to writeDone().
struct WriteBucket {
    ClaimBucket bucket; // complete new content; the write must fail unless the stored version is `version`
};

// Action: report the result of claim().
struct ClaimSettled {
    Id128 operation;
    ClaimVerdict verdict = ClaimVerdict::Unavailable;
    Claim holder; // the stored claim; valid with Granted and Held
};

using ClaimAction = std::variant<ReadBucket, WriteBucket, ClaimSettled>;

struct ClaimSettings {
    uint32_t shards = 64; // number of objects per service and time bucket
    Duration bucketWidth = 1h; // range of key creation times that share an object
    size_t maxClaimsPerBucket = 5000; // at most 190 bytes each, which keeps the object below the store's limit of 1 MB
    // Objects are deleted this long after the end of their time bucket. No configured retention may be longer.
    Duration keepFor = 7 * 24h;
    Duration retryDelay = 200ms; // pause before the next store call after the store could not be reached
    Duration markDelay = 1s; // outcome marks wait up to this long to share a write with a claim
};

// Shard of an operation: 0 to `shards` - 1.
uint32_t claimShard(const Id128& operation, uint32_t shards);

// Affinity key of a request with an idempotency key. It is the same for all operations of a shard, so that one executor
// writes the objects of a shard and conditional writes rarely conflict.
Id128 claimAffinity(const Id128& operation);

// Name of the store object that holds the claim: "<service>.<shard>.<bucket>".
std::string claimBucketName(std::string_view service, const Id128& operation, const ClaimSettings&);
std::string claimBucketName(std::string_view service, uint32_t shard, int64_t bucket);

// Number of the time bucket that holds keys created at `time`.
int64_t claimBucketAt(WallTime time, const ClaimSettings&);

// Batches claims and outcome marks into conditional reads and writes of store objects.
class ClaimLedger {
public:
    ClaimLedger(Id128 executor, ClaimSettings);

    // Requests a claim. Leads to exactly one ClaimSettled for the operation, at the first tick() after the deadline at
    // the latest.
    void claim(std::string_view service, const Claim&, Instant deadline, Instant now);

    // Records the outcome of a claimed operation in the store, for callers that ask after this executor is gone.
    void mark(std::string_view service, const Id128& operation, ClaimState, uint16_t status, Instant now);

    // Results of ReadBucket and WriteBucket. For an object that does not exist, the result of the read is a bucket with
    // version 0 and without claims.
    void readDone(std::string_view name, const Result<ClaimBucket>&, Instant now);
    void writeDone(std::string_view name, const Result<uint64_t>& version, Instant now);

    void tick(Instant now); // call regularly: settles expired claims and retries failed store calls
    std::vector<ClaimAction> takeActions() { return std::exchange(m_actions, {}); }

    // Number of buckets in memory.
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
        std::optional<ClaimBucket> known; // last content read or written; empty if the object must be read first
        ClaimBucket written; // content of the write in progress
        std::vector<Pending> pending; // claims that are not settled yet
        std::map<Id128, Mark> marks; // outcomes that are not known to be stored, by operation
        Instant retryAt {}; // no store call is started before this time
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

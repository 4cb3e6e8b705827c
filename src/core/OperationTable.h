// At-most-once execution at one executor.
//
// The table holds every operation that this incarnation has claimed, run or bound to a token. For each request of an
// operation it decides whether to run the request, to wait for an earlier one, to return the recorded answer, or to
// refuse. Dropping an entry is always safe: a token without an entry is refused, and the stored claim of a key carries
// a nonce that differs from the nonce of a new entry.
//
// The outcome of a refusal describes the operation, not only the refused request: it is "not run" only if no earlier
// request of the same operation can have run either.
#pragma once

#include "ClaimLedger.h"
#include "RelayMessages.h"

#include <list>
#include <memory>
#include <unordered_map>

namespace Gooseberrymill {

using WaiterId = uint64_t; // identifies one relayed request; unique within the process

// A complete response that is kept for repeated requests of its operation.
struct RecordedAnswer {
    uint16_t status = 0;
    std::vector<Header> headers;
    std::string body;
};

struct OperationRequest {
    OperationKind kind = OperationKind::Key;
    Id128 operation;
    Id128 executor; // incarnation named by the token or by a known claim; zero if any may run the operation
    std::string service;
    std::string route;
    uint64_t fingerprint = 0; // hash of method, target and body
    Duration retention = 24h; // how long the operation is remembered
    // Asks for the outcome. An inquiry claims nothing and runs the operation only if its key is held here and open.
    bool isInquiry = false;
};

enum class OperationStep : uint8_t {
    Claim, // claim the key in the store, then call claimSettled()
    Run, // run the operation now: call dispatched(), then finished() or failed()
    Wait, // a later OperationCompletion carries the decision for this request
    Answer, // return the recorded answer in `answer`
    Refuse, // refuse the request with `outcome`, `reason` and `holder`
};

struct OperationDecision {
    OperationStep step = OperationStep::Refuse;
    Outcome outcome = Outcome::Unknown;
    RefusalReason reason = RefusalReason::None;
    Id128 holder; // with HeldElsewhere: incarnation that holds the key; `outcome` is Ran if the stored claim says so
    std::shared_ptr<const RecordedAnswer> answer;
};

// Decision for one request that waited for an operation.
struct OperationCompletion {
    WaiterId waiter = 0;
    OperationDecision decision;
};

// An ended operation whose caller may not know the outcome; listed for operators.
struct UnresolvedOperation {
    Id128 operation;
    std::string service;
    std::string route;
    Outcome outcome = Outcome::Unknown;
    RefusalReason reason = RefusalReason::None;
    uint16_t status = 0; // HTTP status with Outcome::Ran; 0 if the response was not recorded
    Duration age {}; // time since the entry was created
};

struct OperationLimits {
    size_t maxOperations = 1'000'000; // new operations are refused above this number
    size_t maxAnswerBytes = size_t { 256 } * 1024; // a larger answer is relayed to the caller but not recorded
    size_t maxRecordedBytes = size_t { 32 } * 1024 * 1024; // of all recorded answers; the oldest are evicted first
    Duration tokenLifetime = 10min; // time after its issue in which a request may start the operation of a token
    Duration maxClockSkew = 5min; // tolerated difference between the wall clocks of callers and executors
    // An unused token is kept this long after its issue, a finished operation at least this long after its end.
    Duration minRetention = 1h;
};

// Does no I/O and reads no clock: the caller passes the time and carries out the decisions.
class OperationTable {
public:
    OperationTable(Id128 incarnation, OperationLimits);

    const Id128& incarnation() const { return m_incarnation; }

    // Binds a new operation to this incarnation. `operation` is a random identifier. Returns false if the table is full
    // or the identifier is in use.
    bool issueToken(const Id128& operation, std::string_view service, Instant now);

    // Decides how to handle a request. After Run or Claim the request `waiter` owns the execution.
    OperationDecision begin(const OperationRequest&, WaiterId waiter, Instant now, WallTime wallNow);

    // Takes the result of the claim that begin() asked for. Returns Run for the owner, or completions for all waiters.
    std::vector<OperationCompletion> claimSettled(const ClaimSettled&, Instant now);

    // The claim to write after begin() returned Claim.
    Claim claimFor(const Id128& operation) const;

    // The owner's request may have reached the upstream. Call this before finished(), finishedUnrecorded() or failed();
    // without it failed() leaves the operation open, so that a later request may run it. Returns false, and changes
    // nothing, if the entry is not in the state in which its owner may run it.
    bool dispatched(const Id128& operation);

    // The upstream sent a complete response. `delivered`: the entry of the caller still waits for it. Returns
    // completions for all waiters except the owner.
    std::vector<OperationCompletion> finished(const Id128& operation, RecordedAnswer, bool delivered, Instant now);

    // Same as finished(), for a response that was too large to record.
    std::vector<OperationCompletion> finishedUnrecorded(const Id128& operation, bool delivered, Instant now);

    // The execution ended without a complete response. If nothing was dispatched, the operation becomes open and a
    // later request may run it.
    std::vector<OperationCompletion> failed(const Id128& operation, RefusalReason, Instant now);

    // The caller of a request disconnected; the request no longer waits for a completion.
    void waiterGone(const Id128& operation, WaiterId waiter);

    // The response reached the entry of the caller, or an operator resolved the operation: it is no longer unresolved.
    void resolve(const Id128& operation);

    // Drops expired entries; operations in progress are kept.
    void tick(Instant now);

    std::vector<UnresolvedOperation> unresolved(Instant now) const;
    size_t size() const { return m_entries.size(); }
    size_t recordedBytes() const { return m_recordedBytes; }

private:
    enum class State : uint8_t {
        Claiming, // the claim is being written to the store
        Open, // held by this incarnation, not dispatched, and no request runs it
        Owned, // a request was told to run it; dispatched() has not been called yet
        Dispatched, // the upstream may have received the request
        Ran, // the upstream sent a complete response
        Unknown, // dispatched, but no complete response arrived
        ClaimedElsewhere, // the claim is held by another incarnation
        Unclaimed, // the claim could not be settled; an earlier request may have run at another executor
        Forgotten, // claimed by this incarnation earlier, but its entry was dropped since
    };

    struct Entry {
        State state = State::Claiming;
        OperationKind kind = OperationKind::Key;
        std::string service;
        std::string route;
        uint64_t nonce = 0; // nonce of the claim; the same for every attempt to claim for this entry
        uint64_t fingerprint = 0;
        bool hasFingerprint = false; // false for a token before its first request
        Id128 holder; // incarnation that holds the claim in the store
        WaiterId owner = 0; // request that claims or runs the operation; zero: none
        std::vector<WaiterId> waiters; // requests that wait for the owner
        std::shared_ptr<const RecordedAnswer> answer;
        uint16_t status = 0;
        RefusalReason reason = RefusalReason::None;
        bool ranElsewhere = false; // the stored claim says that its holder ran the operation
        bool resolved = false; // the response was delivered, or an operator resolved the operation
        Instant startDeadline {}; // last moment to start the operation of a token
        Instant expiresAt {};
        Instant createdAt {};
    };

    using Entries = std::unordered_map<Id128, Entry, Id128Hash>;

    OperationDecision beginKey(const OperationRequest&, WaiterId, Instant now);
    OperationDecision beginToken(const OperationRequest&, WaiterId, Instant now);
    OperationDecision beginExisting(Entry&, const OperationRequest&, WaiterId, Instant now);
    OperationDecision decisionFor(const Entry&) const; // for a request of an operation that is not in progress
    std::vector<OperationCompletion> completeWaiters(Entry&);
    Entry* endDispatched(const Id128& operation, bool delivered, Instant now);
    void recordAnswer(const Id128& operation, Entry&, RecordedAnswer);
    void forgetAnswer(const Id128& operation, Entry&);

    Id128 m_incarnation;
    OperationLimits m_limits;
    Entries m_entries;
    std::list<Id128> m_recorded; // operations with a recorded answer, oldest first
    size_t m_recordedBytes = 0;
    uint64_t m_nextNonce = 1;
};

} // namespace Gooseberrymill

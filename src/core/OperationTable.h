// At-most-once execution at one executor.
//
// The table knows every operation that this incarnation has claimed, run or bound to a token, and
// decides for each request of an operation whether to run it, to wait for the first one, to return the
// recorded answer, or to refuse. Forgetting an entry is always safe: a token without an entry is refused,
// and the stored claim of a key carries a nonce that a new entry does not have.
//
// The outcome of a refusal is that of the operation, not only of the request that is refused: "not run"
// is said only when no earlier request of the same operation can have run either.
#pragma once

#include "ClaimLedger.h"
#include "RelayMessages.h"

#include <list>
#include <memory>
#include <unordered_map>

namespace Gooseberrymill {

using WaiterId = uint64_t; // one relayed request, unique within the process

struct RecordedAnswer {
    uint16_t status = 0;
    std::vector<Header> headers;
    std::string body;
};

struct OperationRequest {
    OperationKind kind = OperationKind::Key;
    Id128 operation;
    Id128 executor; // incarnation named by the token or by a known claim; zero when any may run it
    std::string service;
    std::string route;
    uint64_t fingerprint = 0; // of method, target and body
    Duration retention = 24h;
    bool isInquiry = false; // return the outcome if it is known here, never run
};

enum class OperationStep : uint8_t {
    Claim, // claim the key in the store, then call claimSettled()
    Run, // run it now, then call dispatched() and finished() or failed()
    Wait, // the request is told by a later completion
    Answer, // the recorded answer is in `answer`
    Refuse, // see `outcome`, `reason`, `holder`
};

struct OperationDecision {
    OperationStep step = OperationStep::Refuse;
    Outcome outcome = Outcome::Unknown;
    RefusalReason reason = RefusalReason::None;
    Id128 holder; // with HeldElsewhere; the outcome is Ran when the store already shows it
    std::shared_ptr<const RecordedAnswer> answer;
};

// A decision for each request that waited for an operation.
struct OperationCompletion {
    WaiterId waiter = 0;
    OperationDecision decision;
};

// An operation whose caller may not know its outcome, for operators.
struct UnresolvedOperation {
    Id128 operation;
    std::string service;
    std::string route;
    Outcome outcome = Outcome::Unknown;
    RefusalReason reason = RefusalReason::None;
    uint16_t status = 0; // with Outcome::Ran
    Duration age {};
};

struct OperationLimits {
    size_t maxOperations = 1'000'000; // beyond, new operations are refused
    size_t maxAnswerBytes = size_t { 256 } * 1024; // a larger answer is passed on but not recorded
    size_t maxRecordedBytes = size_t { 32 } * 1024 * 1024; // all recorded answers; the oldest are evicted first
    Duration tokenLifetime = 10min; // from issue to the last request that may start it
    Duration maxClockSkew = 5min; // between callers' and executors' wall clocks
    Duration minRetention = 1h; // an unused token is forgotten after this time
};

class OperationTable {
public:
    OperationTable(Id128 incarnation, OperationLimits);

    const Id128& incarnation() const { return m_incarnation; }

    // Binds a new operation to this incarnation. `operation` is a random identifier.
    // Refused (false) when the table is full.
    bool issueToken(const Id128& operation, std::string_view service, Instant now);

    // Decides about a request. After Run or Claim the request `waiter` owns the execution.
    OperationDecision begin(const OperationRequest&, WaiterId waiter, Instant now, WallTime wallNow);

    // Result of the claim asked for by begin(): Run for the owner, or completions for all waiters.
    std::vector<OperationCompletion> claimSettled(const ClaimSettled&, Instant now);

    // The claim to write after a decision Claim.
    Claim claimFor(const Id128& operation) const;

    // The first byte of the operation is about to be handed to the upstream's connection. Returns false
    // when it must not be: the entry is not in the state in which the owner may run it.
    bool dispatched(const Id128& operation);

    // The upstream gave a whole answer. Completions go to all waiters but the owner.
    std::vector<OperationCompletion> finished(const Id128& operation, RecordedAnswer, bool delivered, Instant now);

    // As finished(), for an answer that was too large to record.
    std::vector<OperationCompletion> finishedUnrecorded(const Id128& operation, bool delivered, Instant now);

    // The execution ended without a whole answer. When nothing was dispatched the operation stays open
    // and may be run by a later request.
    std::vector<OperationCompletion> failed(const Id128& operation, RefusalReason, Instant now);

    // The request's caller is gone.
    void waiterGone(const Id128& operation, WaiterId waiter);

    // The answer reached the entry of the caller, or an operator resolved the operation.
    void resolve(const Id128& operation);

    // Drops entries past their retention.
    void tick(Instant now);

    std::vector<UnresolvedOperation> unresolved(Instant now) const;
    size_t size() const { return m_entries.size(); }
    size_t recordedBytes() const { return m_recordedBytes; }

private:
    enum class State : uint8_t {
        Claiming, // the claim is being written
        Open, // held by this incarnation, not dispatched, nobody runs it
        Owned, // handed to a request that will run it
        Dispatched,
        Ran,
        Unknown,
        ClaimedElsewhere, // the claim is held by another incarnation
        Unclaimed, // the claim could not be settled; an earlier request may have run elsewhere
        Forgotten, // claimed by this incarnation, but the entry was dropped since
    };

    struct Entry {
        State state = State::Claiming;
        OperationKind kind = OperationKind::Key;
        std::string service;
        std::string route;
        uint64_t nonce = 0; // of the claim; the same for every attempt of this entry
        uint64_t fingerprint = 0;
        bool hasFingerprint = false; // a token has none before its first request
        Id128 holder;
        WaiterId owner = 0;
        std::vector<WaiterId> waiters;
        std::shared_ptr<const RecordedAnswer> answer;
        uint16_t status = 0;
        RefusalReason reason = RefusalReason::None;
        bool ranElsewhere = false; // the stored claim shows that its holder ran it
        bool resolved = false;
        Instant startDeadline {}; // tokens: last moment to start
        Instant expiresAt {};
        Instant createdAt {};
    };

    using Entries = std::unordered_map<Id128, Entry, Id128Hash>;

    OperationDecision beginKey(const OperationRequest&, WaiterId, Instant now);
    OperationDecision beginToken(const OperationRequest&, WaiterId, Instant now);
    OperationDecision beginExisting(Entry&, const OperationRequest&, WaiterId, Instant now);
    OperationDecision decisionFor(const Entry&) const;
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

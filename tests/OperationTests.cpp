// At-most-once execution. Generated schedules drive the real OperationTable and ClaimLedger against a simulated store
// that loses responses, delays writes and becomes unavailable, on executors that pause and restart.
#define BOOST_TEST_MODULE Operation
#include "core/OperationTable.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <map>
#include <random>
#include <rapidcheck.h>

using namespace Gooseberrymill;

namespace {

constexpr size_t executorCount = 3;
constexpr size_t keyCount = 2;
constexpr Duration claimTimeout = 2s;

// Execution rules: the real ones, and faulty variants that the checks must detect.
enum class Rules : uint8_t {
    Real,
    NoClaim, // runs without a claim, relying on the local table
    RunBeforeStored, // runs as soon as the claim is sent to the store
    TakeOverSilentHolder, // runs if the recorded holder does not respond
};

// Returns an idempotency key (UUID version 7) created at `time` with the given random part.
Id128 makeKey(WallTime time, uint64_t random)
{
    return { static_cast<uint64_t>(time.time_since_epoch().count()) << 16 | 0x7000, 0x8000000000000000ULL | random };
}

struct StoreCall {
    size_t executor = 0;
    Id128 incarnation;
    bool isWrite = false;
    ClaimBucket bucket;
};

struct StoreAnswer {
    size_t executor = 0;
    Id128 incarnation;
    bool isWrite = false;
    std::string name;
    Result<ClaimBucket> read = Error {};
    Result<uint64_t> version = Error {};
};

struct Executor {
    std::unique_ptr<OperationTable> table;
    std::unique_ptr<ClaimLedger> ledger;
    bool isPaused = false;
    std::map<WaiterId, Id128> running; // requests that were told to run and are not dispatched
    std::map<WaiterId, Id128> dispatched;
};

// Simulates executors and a store; each choice selects the next event.
class Schedule {
public:
    explicit Schedule(Rules rules)
        : m_rules(rules)
    {
        for (Executor& executor : m_executors)
            restart(executor);
        for (size_t i = 0; i < keyCount; ++i)
            m_keys.push_back(makeKey(m_wall, i + 1));
    }

    void run(std::span<const uint32_t> choices)
    {
        for (uint32_t choice : choices)
            step(choice);
    }

    bool ranTwice() const
    {
        return std::any_of(m_runs.begin(), m_runs.end(), [](const auto& entry) { return entry.second > 1; });
    }
    bool reportedFalseNotRun() const { return m_reportedFalseNotRun; }
    size_t answers() const { return m_answers; }

private:
    void restart(Executor& executor)
    {
        executor = {};
        Id128 incarnation { 0xabc, ++m_incarnations };
        executor.table = std::make_unique<OperationTable>(incarnation, OperationLimits {});
        executor.ledger = std::make_unique<ClaimLedger>(incarnation, ClaimSettings {});
    }

    void step(uint32_t choice)
    {
        m_now += 50ms;
        m_wall += std::chrono::milliseconds(50);
        uint32_t argument = choice / 16;
        Executor& executor = m_executors[argument % executorCount];
        uint32_t detail = argument / executorCount;
        switch (choice % 16) {
        case 0:
        case 1:
        case 2:
        case 3:
            return send(executor, m_keys[detail % keyCount]);
        case 4:
        case 5:
        case 6:
            return serveCall(detail);
        case 7:
        case 8:
        case 9:
            return deliverAnswer(detail);
        case 10:
        case 11:
            return dispatchOne(executor);
        case 12:
            return endOne(executor, detail);
        case 13:
            executor.isPaused = !executor.isPaused;
            return;
        case 14:
            if (detail % 4 == 0)
                restart(executor);
            else if (!executor.running.empty())
                endUndispatched(executor);
            return;
        case 15:
            m_now += detail % 2 ? claimTimeout : Duration(0);
            for (Executor& each : m_executors)
                tick(each);
            return;
        }
    }

    size_t indexOf(const Executor& executor) const { return static_cast<size_t>(&executor - m_executors.data()); }

    void send(Executor& executor, const Id128& key)
    {
        if (executor.isPaused)
            return;
        OperationRequest request;
        request.operation = key;
        request.service = "bayaran";
        request.fingerprint = 5;
        WaiterId waiter = ++m_waiters;
        apply(executor, key, waiter, executor.table->begin(request, waiter, m_now, m_wall));
    }

    void apply(Executor& executor, const Id128& key, WaiterId waiter, const OperationDecision& decision)
    {
        switch (decision.step) {
        case OperationStep::Claim: {
            Claim claim = executor.table->claimFor(key);
            if (m_rules == Rules::NoClaim)
                return settle(executor, { key, ClaimVerdict::Granted, claim });
            executor.ledger->claim("bayaran", claim, m_now + claimTimeout, m_now);
            if (m_rules == Rules::RunBeforeStored)
                settle(executor, { key, ClaimVerdict::Granted, claim });
            return collect(executor);
        }
        case OperationStep::Run:
            executor.running[waiter] = key;
            return;
        case OperationStep::Wait:
            return;
        case OperationStep::Answer:
            ++m_answers;
            return;
        case OperationStep::Refuse:
            if (decision.outcome == Outcome::NotRun && m_runs[key])
                m_reportedFalseNotRun = true;
            return;
        }
    }

    void settle(Executor& executor, ClaimSettled settled)
    {
        if (m_rules == Rules::TakeOverSilentHolder && settled.verdict == ClaimVerdict::Held
            && !isReachable(settled.holder.executor))
            settled.verdict = ClaimVerdict::Granted;
        completeAll(executor, settled.operation, executor.table->claimSettled(settled, m_now));
    }

    bool isReachable(const Id128& incarnation) const
    {
        return std::any_of(m_executors.begin(), m_executors.end(), [&](const Executor& executor) {
            return executor.table->incarnation() == incarnation && !executor.isPaused;
        });
    }

    void completeAll(Executor& executor, const Id128& key, const std::vector<OperationCompletion>& completions)
    {
        for (const OperationCompletion& completion : completions)
            apply(executor, key, completion.waiter, completion.decision);
    }

    void collect(Executor& executor)
    {
        for (ClaimAction& action : executor.ledger->takeActions()) {
            Id128 incarnation = executor.table->incarnation();
            if (auto* read = std::get_if<ReadBucket>(&action)) {
                ClaimBucket bucket;
                bucket.name = read->name;
                m_calls.push_back({ indexOf(executor), incarnation, false, bucket });
            } else if (auto* write = std::get_if<WriteBucket>(&action)) {
                m_calls.push_back({ indexOf(executor), incarnation, true, write->bucket });
            } else {
                settle(executor, std::get<ClaimSettled>(action));
            }
        }
    }

    // One of the pending calls reaches the store, with or without a fault.
    void serveCall(uint32_t detail)
    {
        if (m_calls.empty())
            return;
        auto it = std::next(m_calls.begin(), static_cast<std::ptrdiff_t>((detail / 4) % m_calls.size()));
        StoreCall call = *it;
        m_calls.erase(it);
        StoreAnswer answer { call.executor, call.incarnation, call.isWrite, call.bucket.name };
        bool isRefused = detail % 4 == 0;
        bool isAnswerLost = detail % 4 == 1;
        Error unavailable { ErrorCode::Unavailable, "store", "", "" };
        if (isRefused) {
            answer.read = unavailable;
            answer.version = unavailable;
        } else if (call.isWrite) {
            answer.version = write(call.bucket);
            if (isAnswerLost)
                answer.version = Error { ErrorCode::AnswerLost, "store", "", "" };
        } else {
            answer.read = m_store.contains(call.bucket.name) ? m_store[call.bucket.name] : call.bucket;
        }
        m_storeAnswers.push_back(std::move(answer));
    }

    Result<uint64_t> write(const ClaimBucket& bucket)
    {
        ClaimBucket& stored = m_store[bucket.name];
        if (stored.version != bucket.version)
            return Error { ErrorCode::Conflict, "store", "", "" };
        stored = bucket;
        stored.version = ++m_storeVersion;
        return stored.version;
    }

    void deliverAnswer(uint32_t detail)
    {
        if (m_storeAnswers.empty())
            return;
        auto it = std::next(m_storeAnswers.begin(), static_cast<std::ptrdiff_t>(detail % m_storeAnswers.size()));
        Executor& executor = m_executors[it->executor];
        if (executor.isPaused)
            return;
        StoreAnswer answer = *it;
        m_storeAnswers.erase(it);
        if (executor.table->incarnation() != answer.incarnation)
            return;
        if (answer.isWrite)
            executor.ledger->writeDone(answer.name, answer.version, m_now);
        else
            executor.ledger->readDone(answer.name, answer.read, m_now);
        collect(executor);
    }

    void dispatchOne(Executor& executor)
    {
        if (executor.isPaused || executor.running.empty())
            return;
        auto [waiter, key] = *executor.running.begin();
        executor.running.erase(executor.running.begin());
        if (!executor.table->dispatched(key))
            return;
        ++m_runs[key];
        executor.dispatched[waiter] = key;
    }

    void endOne(Executor& executor, uint32_t detail)
    {
        if (executor.isPaused || executor.dispatched.empty())
            return;
        auto [waiter, key] = *executor.dispatched.begin();
        executor.dispatched.erase(executor.dispatched.begin());
        if (detail % 2) {
            completeAll(executor, key, executor.table->finished(key, { 201, {}, "paid" }, true, m_now));
            executor.ledger->mark("bayaran", key, ClaimState::Ran, 201, m_now);
        } else {
            completeAll(executor, key, executor.table->failed(key, RefusalReason::UpstreamTruncated, m_now));
            executor.ledger->mark("bayaran", key, ClaimState::Unknown, 0, m_now);
        }
        collect(executor);
    }

    // The admission queue refused the request, or its caller disconnected before the dispatch.
    void endUndispatched(Executor& executor)
    {
        if (executor.isPaused)
            return;
        Id128 key = executor.running.begin()->second;
        executor.running.erase(executor.running.begin());
        completeAll(executor, key, executor.table->failed(key, RefusalReason::QueueFull, m_now));
    }

    void tick(Executor& executor)
    {
        if (executor.isPaused)
            return;
        executor.table->tick(m_now);
        executor.ledger->tick(m_now);
        collect(executor);
    }

    Rules m_rules;
    Instant m_now { 1h };
    WallTime m_wall { std::chrono::hours(500'000) };
    std::array<Executor, executorCount> m_executors;
    std::vector<Id128> m_keys;
    std::map<std::string, ClaimBucket> m_store;
    uint64_t m_storeVersion = 0;
    uint64_t m_incarnations = 0;
    WaiterId m_waiters = 0;
    std::deque<StoreCall> m_calls;
    std::deque<StoreAnswer> m_storeAnswers;
    std::map<Id128, int> m_runs;
    size_t m_answers = 0;
    bool m_reportedFalseNotRun = false;
};

constexpr size_t scheduleLength = 250;

std::vector<uint32_t> choicesFor(uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::vector<uint32_t> choices(scheduleLength);
    for (uint32_t& choice : choices)
        choice = static_cast<uint32_t>(random());
    return choices;
}

// Number of seeds from 1 to `count` whose schedule ran an operation twice.
size_t violations(Rules rules, size_t count)
{
    size_t n = 0;
    for (uint64_t seed = 1; seed <= count; ++seed) {
        Schedule schedule(rules);
        schedule.run(choicesFor(seed));
        n += schedule.ranTwice();
    }
    return n;
}

struct FixedSeed {
    FixedSeed() { setenv("RC_PARAMS", "seed=20261204 max_success=2000", 1); }
};

OperationRequest keyRequest(const Id128& key, uint64_t fingerprint = 1)
{
    OperationRequest request;
    request.operation = key;
    request.service = "bayaran";
    request.fingerprint = fingerprint;
    return request;
}

constexpr Instant start { 1h };
constexpr WallTime wallStart { std::chrono::hours(500'000) };
const Id128 ownIncarnation { 1, 1 };

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(FixedSeed);

// Guards against a second run of an operation and against a false "not run", for any order of store faults, pauses,
// restarts and repeated requests.
BOOST_AUTO_TEST_CASE(runsAtMostOnceInGeneratedSchedules)
{
    bool isPropertyHeld = rc::check("an operation runs at most once", [] {
        auto choices = *rc::gen::container<std::vector<uint32_t>>(scheduleLength, rc::gen::arbitrary<uint32_t>());
        Schedule schedule(Rules::Real);
        schedule.run(choices);
        RC_ASSERT(!schedule.ranTwice());
        RC_ASSERT(!schedule.reportedFalseNotRun());
    });
    BOOST_TEST(isPropertyHeld);
}

BOOST_AUTO_TEST_CASE(runsAtMostOnceInSeededSchedules)
{
    size_t answers = 0;
    for (uint64_t seed = 1; seed <= 5000; ++seed) {
        Schedule schedule(Rules::Real);
        schedule.run(choicesFor(seed));
        BOOST_TEST(!schedule.ranTwice(), "seed " << seed);
        BOOST_TEST(!schedule.reportedFalseNotRun(), "seed " << seed);
        answers += schedule.answers();
    }
    // Enough operations must finish, otherwise the checks above pass without testing anything.
    BOOST_TEST(answers > 500U);
}

// Guards against checks that pass for faulty rules: the schedules must detect each of them.
BOOST_AUTO_TEST_CASE(schedulesCatchWrongRules)
{
    BOOST_TEST(violations(Rules::NoClaim, 300) > 0U);
    BOOST_TEST(violations(Rules::RunBeforeStored, 300) > 0U);
    BOOST_TEST(violations(Rules::TakeOverSilentHolder, 300) > 0U);
}

// Guards against a token being accepted by an incarnation that did not issue it.
BOOST_AUTO_TEST_CASE(tokenRunsOnlyInItsIncarnation)
{
    OperationTable issuer(ownIncarnation, {});
    OperationTable successor({ 1, 2 }, {});
    Id128 token { 9, 9 };
    BOOST_REQUIRE(issuer.issueToken(token, "bayaran", start));
    OperationRequest request = keyRequest(token);
    request.kind = OperationKind::Token;
    request.executor = ownIncarnation;
    auto decision = successor.begin(request, 1, start, wallStart);
    BOOST_TEST((decision.step == OperationStep::Refuse && decision.outcome == Outcome::Unknown));
    BOOST_TEST((issuer.begin(request, 1, start, wallStart).step == OperationStep::Run));
}

// Guards against the operation of a token running again after its answer is known.
BOOST_AUTO_TEST_CASE(repeatedTokenGetsFirstAnswer)
{
    OperationTable table(ownIncarnation, {});
    Id128 token { 9, 9 };
    BOOST_REQUIRE(table.issueToken(token, "bayaran", start));
    OperationRequest request = keyRequest(token);
    request.kind = OperationKind::Token;
    BOOST_REQUIRE((table.begin(request, 1, start, wallStart).step == OperationStep::Run));
    BOOST_TEST((table.begin(request, 2, start, wallStart).step == OperationStep::Wait));
    BOOST_REQUIRE(table.dispatched(token));
    auto completions = table.finished(token, { 201, {}, "paid" }, true, start);
    BOOST_REQUIRE(completions.size() == 1U);
    BOOST_TEST(completions[0].waiter == 2U);
    BOOST_TEST(completions[0].decision.answer->body == "paid");
    BOOST_TEST((table.begin(request, 3, start, wallStart).step == OperationStep::Answer));
}

// Guards against the answer of one request being returned for a different request with the same key.
BOOST_AUTO_TEST_CASE(refusesReusedKey)
{
    OperationTable table(ownIncarnation, {});
    Id128 key = makeKey(wallStart, 1);
    BOOST_REQUIRE((table.begin(keyRequest(key, 1), 1, start, wallStart).step == OperationStep::Claim));
    auto decision = table.begin(keyRequest(key, 2), 2, start, wallStart);
    BOOST_TEST((decision.reason == RefusalReason::KeyReused));
}

// Guards against a key whose claim may have been deleted being treated as new, or refused as "not run".
BOOST_AUTO_TEST_CASE(expiredKeyIsUnknown)
{
    OperationTable table(ownIncarnation, {});
    auto decision = table.begin(keyRequest(makeKey(wallStart - 25h, 1)), 1, start, wallStart);
    BOOST_TEST((decision.outcome == Outcome::Unknown && decision.reason == RefusalReason::KeyExpired));
    auto future = table.begin(keyRequest(makeKey(wallStart + 1h, 1)), 1, start, wallStart);
    BOOST_TEST((future.reason == RefusalReason::BadRequest));
}

// Guards against an unreachable store being reported as "not run": an earlier request may have run elsewhere.
BOOST_AUTO_TEST_CASE(unsettledClaimIsUnknown)
{
    OperationTable table(ownIncarnation, {});
    Id128 key = makeKey(wallStart, 1);
    BOOST_REQUIRE((table.begin(keyRequest(key), 1, start, wallStart).step == OperationStep::Claim));
    auto completions = table.claimSettled({ key, ClaimVerdict::Unavailable, table.claimFor(key) }, start);
    BOOST_REQUIRE(completions.size() == 1U);
    BOOST_TEST((completions[0].decision.outcome == Outcome::Unknown));
    BOOST_TEST((table.begin(keyRequest(key), 2, start, wallStart).step == OperationStep::Claim));
}

// Guards against an operation running twice after this incarnation stored its claim and then dropped the entry.
BOOST_AUTO_TEST_CASE(forgottenClaimIsNotRunAgain)
{
    OperationTable table(ownIncarnation, {});
    Id128 key = makeKey(wallStart, 1);
    BOOST_REQUIRE((table.begin(keyRequest(key), 1, start, wallStart).step == OperationStep::Claim));
    Claim stored = table.claimFor(key);
    table.claimSettled({ key, ClaimVerdict::Granted, stored }, start);
    BOOST_REQUIRE(table.dispatched(key));
    table.failed(key, RefusalReason::UpstreamTruncated, start);
    table.tick(start + 48h);
    BOOST_REQUIRE(table.size() == 0U);

    BOOST_REQUIRE((table.begin(keyRequest(key), 2, start + 48h, wallStart).step == OperationStep::Claim));
    BOOST_TEST(table.claimFor(key).nonce != stored.nonce);
    auto completions = table.claimSettled({ key, ClaimVerdict::Held, stored }, start + 48h);
    BOOST_REQUIRE(completions.size() == 1U);
    BOOST_TEST((completions[0].decision.outcome == Outcome::Unknown));
}

// Guards against an answer being lost silently because its caller disconnected.
BOOST_AUTO_TEST_CASE(listsUnresolvedOperations)
{
    OperationTable table(ownIncarnation, {});
    Id128 token { 9, 9 };
    BOOST_REQUIRE(table.issueToken(token, "bayaran", start));
    OperationRequest request = keyRequest(token);
    request.kind = OperationKind::Token;
    table.begin(request, 1, start, wallStart);
    table.dispatched(token);
    table.finished(token, { 201, {}, "paid" }, false, start);
    BOOST_REQUIRE(table.unresolved(start).size() == 1U);
    BOOST_TEST(table.unresolved(start)[0].status == 201);
    table.resolve(token);
    BOOST_TEST(table.unresolved(start).empty());
}

// Guards against unbounded growth of recorded answers, and against a second run after an answer was evicted.
BOOST_AUTO_TEST_CASE(evictedAnswerIsStillKnownToHaveRun)
{
    OperationLimits limits;
    limits.maxRecordedBytes = 1000;
    OperationTable table(ownIncarnation, limits);
    for (uint64_t i = 1; i <= 10; ++i) {
        Id128 token { 9, i };
        table.issueToken(token, "bayaran", start);
        OperationRequest request = keyRequest(token);
        request.kind = OperationKind::Token;
        table.begin(request, i, start, wallStart);
        table.dispatched(token);
        table.finished(token, { 201, {}, std::string(300, 'x') }, true, start);
    }
    BOOST_TEST(table.recordedBytes() <= limits.maxRecordedBytes);
    OperationRequest request = keyRequest({ 9, 1 });
    request.kind = OperationKind::Token;
    auto decision = table.begin(request, 99, start, wallStart);
    BOOST_TEST((decision.outcome == Outcome::Ran && decision.reason == RefusalReason::AnswerNotRecorded));
}

// Guards against one write per claim: claims that wait for the same object share a write.
BOOST_AUTO_TEST_CASE(groupsClaimsOfOneObject)
{
    ClaimSettings settings;
    settings.shards = 1;
    ClaimLedger ledger(ownIncarnation, settings);
    for (uint64_t i = 1; i <= 50; ++i) {
        Claim claim;
        claim.operation = makeKey(wallStart, i);
        claim.nonce = i;
        ledger.claim("bayaran", claim, start + 2s, start);
    }
    auto actions = ledger.takeActions();
    BOOST_REQUIRE(actions.size() == 1U);
    std::string name = std::get<ReadBucket>(actions[0]).name;
    ledger.readDone(name, ClaimBucket { name, 0, {} }, start);
    actions = ledger.takeActions();
    BOOST_REQUIRE(actions.size() == 1U);
    BOOST_TEST(std::get<WriteBucket>(actions[0]).bucket.claims.size() == 50U);
    ledger.writeDone(name, uint64_t { 1 }, start);
    BOOST_TEST(ledger.takeActions().size() == 50U);
}

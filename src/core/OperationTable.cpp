#include "OperationTable.h"

#include <algorithm>
#include <cassert>

namespace Gooseberrymill {

namespace {

OperationDecision refuse(Outcome outcome, RefusalReason reason, Id128 holder = {})
{
    OperationDecision decision;
    decision.outcome = outcome;
    decision.reason = reason;
    decision.holder = holder;
    return decision;
}

OperationDecision makeDecision(OperationStep step)
{
    OperationDecision decision;
    decision.step = step;
    return decision;
}

size_t answerBytes(const RecordedAnswer& answer)
{
    size_t n = answer.body.size();
    for (const Header& header : answer.headers)
        n += header.name.size() + header.value.size();
    return n;
}

} // namespace

OperationTable::OperationTable(Id128 incarnation, OperationLimits limits)
    : m_incarnation(incarnation)
    , m_limits(limits)
{
    assert(incarnation && "an incarnation is a random identifier");
}

bool OperationTable::issueToken(const Id128& operation, std::string_view service, Instant now)
{
    if (m_entries.size() >= m_limits.maxOperations)
        return false;
    Entry entry;
    entry.state = State::Open;
    entry.kind = OperationKind::Token;
    entry.service = service;
    entry.startDeadline = now + m_limits.tokenLifetime;
    entry.expiresAt = now + m_limits.minRetention;
    entry.createdAt = now;
    return m_entries.emplace(operation, std::move(entry)).second;
}

OperationDecision OperationTable::begin(const OperationRequest& request, WaiterId waiter, Instant now, WallTime wallNow)
{
    if (request.executor && request.executor != m_incarnation)
        return refuse(Outcome::Unknown, RefusalReason::HolderGone);
    if (request.kind == OperationKind::Token)
        return beginToken(request, waiter, now);

    auto created = uuidTime(request.operation);
    if (!created)
        return refuse(Outcome::NotRun, RefusalReason::BadRequest);
    auto skew = std::chrono::duration_cast<std::chrono::milliseconds>(m_limits.maxClockSkew);
    if (*created > wallNow + skew)
        return refuse(Outcome::NotRun, RefusalReason::BadRequest); // its claim would belong to a future time bucket
    if (wallNow - *created > std::chrono::duration_cast<std::chrono::milliseconds>(request.retention))
        return refuse(Outcome::Unknown, RefusalReason::KeyExpired);
    return beginKey(request, waiter, now);
}

OperationDecision OperationTable::beginKey(const OperationRequest& request, WaiterId waiter, Instant now)
{
    auto it = m_entries.find(request.operation);
    if (it != m_entries.end())
        return beginExisting(it->second, request, waiter, now);
    if (request.isInquiry)
        return refuse(Outcome::Unknown, RefusalReason::HolderGone);
    if (m_entries.size() >= m_limits.maxOperations)
        return refuse(Outcome::Unknown, RefusalReason::Overloaded);

    Entry entry;
    entry.service = request.service;
    entry.route = request.route;
    entry.nonce = m_nextNonce++;
    entry.fingerprint = request.fingerprint;
    entry.hasFingerprint = true;
    entry.owner = waiter;
    entry.expiresAt = now + request.retention;
    entry.createdAt = now;
    m_entries.emplace(request.operation, std::move(entry));
    return makeDecision(OperationStep::Claim);
}

OperationDecision OperationTable::beginToken(const OperationRequest& request, WaiterId waiter, Instant now)
{
    auto it = m_entries.find(request.operation);
    if (it == m_entries.end() || it->second.kind != OperationKind::Token)
        return refuse(Outcome::Unknown, RefusalReason::KeyExpired);
    Entry& entry = it->second;
    if (entry.service != request.service)
        return refuse(Outcome::NotRun, RefusalReason::KeyReused);
    if (entry.state == State::Open && now > entry.startDeadline)
        return refuse(Outcome::NotRun, RefusalReason::KeyExpired);
    if (!entry.hasFingerprint && !request.isInquiry) {
        entry.fingerprint = request.fingerprint;
        entry.hasFingerprint = true;
        entry.route = request.route;
        entry.expiresAt = now + request.retention;
    }
    return beginExisting(entry, request, waiter, now);
}

OperationDecision OperationTable::beginExisting(
    Entry& entry, const OperationRequest& request, WaiterId waiter, Instant now)
{
    if (entry.hasFingerprint && entry.fingerprint != request.fingerprint)
        return refuse(Outcome::NotRun, RefusalReason::KeyReused);
    switch (entry.state) {
    case State::Claiming:
    case State::Owned:
    case State::Dispatched:
        entry.waiters.push_back(waiter);
        return makeDecision(OperationStep::Wait);
    case State::Open:
        if (request.isInquiry && entry.kind == OperationKind::Token)
            return refuse(Outcome::NotRun, RefusalReason::None);
        // An inquiry about a key that this incarnation holds runs the operation: no other executor may.
        entry.owner = waiter;
        entry.state = State::Owned;
        return makeDecision(OperationStep::Run);
    case State::Unclaimed:
        if (request.isInquiry)
            return decisionFor(entry);
        entry.owner = waiter;
        entry.state = State::Claiming;
        entry.expiresAt = now + request.retention;
        return makeDecision(OperationStep::Claim);
    case State::Ran:
    case State::Unknown:
    case State::ClaimedElsewhere:
    case State::Forgotten:
        return decisionFor(entry);
    }
    return refuse(Outcome::Unknown, RefusalReason::None);
}

OperationDecision OperationTable::decisionFor(const Entry& entry) const
{
    switch (entry.state) {
    case State::Ran: {
        if (!entry.answer)
            return refuse(Outcome::Ran, RefusalReason::AnswerNotRecorded);
        OperationDecision decision = makeDecision(OperationStep::Answer);
        decision.outcome = Outcome::Ran;
        decision.answer = entry.answer;
        return decision;
    }
    case State::Open:
        return refuse(Outcome::NotRun, entry.reason);
    case State::ClaimedElsewhere:
        return refuse(entry.ranElsewhere ? Outcome::Ran : Outcome::Unknown, RefusalReason::HeldElsewhere, entry.holder);
    case State::Forgotten:
        return refuse(Outcome::Unknown, RefusalReason::HolderGone);
    default:
        return refuse(Outcome::Unknown, entry.reason);
    }
}

std::vector<OperationCompletion> OperationTable::completeWaiters(Entry& entry)
{
    std::vector<OperationCompletion> completions;
    OperationDecision decision = decisionFor(entry);
    for (WaiterId waiter : std::exchange(entry.waiters, {}))
        completions.push_back({ waiter, decision });
    return completions;
}

Claim OperationTable::claimFor(const Id128& operation) const
{
    auto it = m_entries.find(operation);
    assert(it != m_entries.end() && "claimFor() follows a decision Claim");
    Claim claim;
    claim.operation = operation;
    claim.executor = m_incarnation;
    claim.nonce = it->second.nonce;
    claim.fingerprint = it->second.fingerprint;
    return claim;
}

std::vector<OperationCompletion> OperationTable::claimSettled(const ClaimSettled& settled, Instant)
{
    auto it = m_entries.find(settled.operation);
    if (it == m_entries.end() || it->second.state != State::Claiming)
        return {};
    Entry& entry = it->second;
    switch (settled.verdict) {
    case ClaimVerdict::Granted:
        // The owner runs the operation. If its caller has disconnected, a waiter becomes the owner; without a waiter
        // the entry becomes open.
        if (!entry.owner && !entry.waiters.empty()) {
            entry.owner = entry.waiters.front();
            entry.waiters.erase(entry.waiters.begin());
        }
        if (!entry.owner) {
            entry.state = State::Open;
            return {};
        }
        entry.state = State::Owned;
        return { { entry.owner, makeDecision(OperationStep::Run) } };
    case ClaimVerdict::Held:
        if (settled.holder.fingerprint != entry.fingerprint) {
            // The entry is dropped, so that a later request with the claimed content can still learn its holder.
            std::vector<OperationCompletion> completions;
            for (WaiterId waiter : entry.waiters)
                completions.push_back({ waiter, refuse(Outcome::NotRun, RefusalReason::KeyReused) });
            if (entry.owner)
                completions.push_back({ entry.owner, refuse(Outcome::NotRun, RefusalReason::KeyReused) });
            m_entries.erase(it);
            return completions;
        }
        entry.holder = settled.holder.executor;
        entry.status = settled.holder.status;
        entry.ranElsewhere = settled.holder.state == ClaimState::Ran;
        if (entry.holder != m_incarnation)
            entry.state = State::ClaimedElsewhere;
        else
            entry.state = settled.holder.state == ClaimState::Ran ? State::Ran : State::Forgotten;
        entry.resolved = entry.state == State::Ran;
        break;
    case ClaimVerdict::Unavailable:
        entry.state = State::Unclaimed;
        entry.reason = RefusalReason::StoreUnavailable;
        break;
    case ClaimVerdict::BucketFull:
        entry.state = State::Unclaimed;
        entry.reason = RefusalReason::Overloaded;
        break;
    }
    if (entry.owner)
        entry.waiters.push_back(std::exchange(entry.owner, 0));
    return completeWaiters(entry);
}

bool OperationTable::dispatched(const Id128& operation)
{
    auto it = m_entries.find(operation);
    if (it == m_entries.end() || it->second.state != State::Owned)
        return false;
    it->second.state = State::Dispatched;
    return true;
}

OperationTable::Entry* OperationTable::endDispatched(const Id128& operation, bool delivered, Instant now)
{
    auto it = m_entries.find(operation);
    if (it == m_entries.end() || it->second.state != State::Dispatched)
        return nullptr;
    Entry& entry = it->second;
    entry.state = State::Ran;
    entry.owner = 0;
    entry.resolved = delivered;
    entry.expiresAt = std::max(entry.expiresAt, now + m_limits.minRetention);
    return &entry;
}

std::vector<OperationCompletion> OperationTable::finished(
    const Id128& operation, RecordedAnswer answer, bool delivered, Instant now)
{
    Entry* entry = endDispatched(operation, delivered, now);
    if (!entry)
        return {};
    entry->status = answer.status;
    entry->resolved = delivered || !entry->waiters.empty();
    recordAnswer(operation, *entry, std::move(answer));
    return completeWaiters(*entry);
}

std::vector<OperationCompletion> OperationTable::finishedUnrecorded(const Id128& operation, bool delivered, Instant now)
{
    Entry* entry = endDispatched(operation, delivered, now);
    return entry ? completeWaiters(*entry) : std::vector<OperationCompletion> {};
}

std::vector<OperationCompletion> OperationTable::failed(const Id128& operation, RefusalReason reason, Instant)
{
    auto it = m_entries.find(operation);
    if (it == m_entries.end())
        return {};
    Entry& entry = it->second;
    if (entry.state == State::Dispatched)
        entry.state = State::Unknown;
    else if (entry.state == State::Owned)
        entry.state = State::Open;
    else
        return {};
    entry.reason = reason;
    entry.owner = 0;
    return completeWaiters(entry);
}

void OperationTable::waiterGone(const Id128& operation, WaiterId waiter)
{
    auto it = m_entries.find(operation);
    if (it == m_entries.end())
        return;
    Entry& entry = it->second;
    std::erase(entry.waiters, waiter);
    if (entry.owner == waiter && entry.state == State::Claiming)
        entry.owner = 0;
}

void OperationTable::resolve(const Id128& operation)
{
    auto it = m_entries.find(operation);
    if (it != m_entries.end())
        it->second.resolved = true;
}

void OperationTable::tick(Instant now)
{
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        Entry& entry = it->second;
        bool isInProgress
            = entry.state == State::Claiming || entry.state == State::Owned || entry.state == State::Dispatched;
        if (isInProgress || now < entry.expiresAt) {
            ++it;
            continue;
        }
        forgetAnswer(it->first, entry);
        it = m_entries.erase(it);
    }
}

std::vector<UnresolvedOperation> OperationTable::unresolved(Instant now) const
{
    std::vector<UnresolvedOperation> result;
    for (const auto& [operation, entry] : m_entries) {
        bool isEnded = entry.state == State::Ran || entry.state == State::Unknown || entry.state == State::Forgotten;
        if (!isEnded || entry.resolved)
            continue;
        Outcome outcome = entry.state == State::Ran ? Outcome::Ran : Outcome::Unknown;
        result.push_back(
            { operation, entry.service, entry.route, outcome, entry.reason, entry.status, now - entry.createdAt });
    }
    std::sort(result.begin(), result.end(), [](const auto& a, const auto& b) { return a.age > b.age; });
    return result;
}

void OperationTable::recordAnswer(const Id128& operation, Entry& entry, RecordedAnswer answer)
{
    size_t n = answerBytes(answer);
    if (n > m_limits.maxAnswerBytes)
        return;
    entry.answer = std::make_shared<const RecordedAnswer>(std::move(answer));
    m_recorded.push_back(operation);
    m_recordedBytes += n;
    while (m_recordedBytes > m_limits.maxRecordedBytes) {
        Id128 oldest = m_recorded.front();
        forgetAnswer(oldest, m_entries.at(oldest));
    }
}

void OperationTable::forgetAnswer(const Id128& operation, Entry& entry)
{
    if (!entry.answer)
        return;
    m_recordedBytes -= answerBytes(*entry.answer);
    entry.answer.reset();
    auto it = std::find(m_recorded.begin(), m_recorded.end(), operation);
    if (it != m_recorded.end())
        m_recorded.erase(it);
}

} // namespace Gooseberrymill

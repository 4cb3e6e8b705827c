#include "Ejection.h"

#include <algorithm>
#include <tuple>

namespace Gooseberrymill {

namespace {

constexpr Duration maxConflictDelay = 100ms; // largest random delay before executors retry after a write conflict

std::vector<UpstreamView> withAge(std::span<const UpstreamView> views, Duration added)
{
    std::vector<UpstreamView> result(views.begin(), views.end());
    for (UpstreamView& it : result)
        it.age += added;
    return result;
}

} // namespace

EjectionController::EjectionController(EjectionSettings settings)
    : m_settings(std::move(settings))
    , m_random(static_cast<std::minstd_rand::result_type>(m_settings.seed))
{
}

std::vector<EjectionAction> EjectionController::handle(const EjectionEvent& event, Instant now)
{
    m_actions.clear();
    std::visit([&](const auto& it) { on(it, now); }, event);
    readmitBelowFloor(now);
    startNextCall(now);
    return std::exchange(m_actions, {});
}

//-----------------------------------------------------------------------------
// [SECTION] Events
//-----------------------------------------------------------------------------

void EjectionController::on(const UpstreamReady&, Instant)
{
    if (m_state != UpstreamState::Cold)
        return;
    m_state = UpstreamState::Ready;
    m_dirty = true;
}

// The ejected process no longer exists. The roster entry stays ejected until the new process is ready.
void EjectionController::on(const UpstreamCold&, Instant)
{
    if (m_state == UpstreamState::Draining)
        return;
    if (m_state == UpstreamState::Ejected)
        m_actions.emplace_back(Readmit {});
    m_state = UpstreamState::Cold;
    m_wantsEjection = false;
    m_pendingEjection.reset();
}

void EjectionController::on(const UpstreamDraining&, Instant)
{
    if (m_state == UpstreamState::Ejected)
        m_actions.emplace_back(Readmit {});
    m_state = UpstreamState::Draining;
    m_pendingEjection.reset();
    m_dirty = true;
}

void EjectionController::on(const VerdictChanged& event, Instant)
{
    bool isWanted = event.wantsEjection && m_state == UpstreamState::Ready;
    if (isWanted && !m_wantsEjection)
        m_roster.reset(); // a proposal on a stale roster would often be rejected or end in a write conflict
    m_wantsEjection = isWanted;
    if (m_state != UpstreamState::Ejected) // an ejected upstream has no traffic and so no evidence of its severity
        m_severity = event.severity;
}

void EjectionController::on(const ProbationOver&, Instant)
{
    if (m_state == UpstreamState::Ejected)
        readmit();
}

void EjectionController::on(const ViewChanged& event, Instant now)
{
    m_views = event.views;
    m_viewsAt = now;
}

void EjectionController::on(const StoreReply& reply, Instant now)
{
    if (!m_call || m_call->number != reply.call)
        return; // reply to a call that has timed out
    Call call = *std::exchange(m_call, std::nullopt);
    if (call.isWrite)
        finishWrite(call, reply, now);
    else
        finishRead(reply, now);
}

void EjectionController::on(const Tick&, Instant now)
{
    if (m_call && now >= m_call->deadline)
        on(StoreReply { m_call->number, ErrorCode::Timeout, {}, 0 }, now);
    if (m_rereadAt && now >= *m_rereadAt) {
        m_rereadAt.reset();
        m_roster.reset();
        m_dirty = true;
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Store
//-----------------------------------------------------------------------------

void EjectionController::finishRead(const StoreReply& reply, Instant now)
{
    if (reply.error != ErrorCode::Ok && reply.error != ErrorCode::NotFound) {
        scheduleRetry(now);
        return;
    }
    m_failures = 0;
    ServiceRoster roster = reply.roster;
    if (reply.error == ErrorCode::NotFound)
        roster = {};
    roster.service = m_settings.service;
    applyRoster(std::move(roster), now);
}

void EjectionController::finishWrite(const Call& call, const StoreReply& reply, Instant now)
{
    if (reply.error == ErrorCode::Ok) {
        m_failures = 0;
        ServiceRoster roster = call.roster;
        roster.version = reply.version;
        applyRoster(std::move(roster), now);
        return;
    }
    m_roster.reset();
    m_dirty = true;
    if (reply.error == ErrorCode::Conflict) {
        std::uniform_int_distribution<int64_t> delay(0, maxConflictDelay.count());
        m_retryAt = now + Duration(delay(m_random));
        return;
    }
    if (reply.error == ErrorCode::Unavailable)
        m_pendingEjection.reset();
    else
        m_rereadAt = now + m_settings.rereadDelay;
    scheduleRetry(now);
}

void EjectionController::scheduleRetry(Instant now)
{
    Duration delay = m_settings.firstBackoff;
    for (uint32_t i = 0; i < m_failures && delay < m_settings.maxBackoff; ++i)
        delay *= 2;
    delay = std::min(delay, m_settings.maxBackoff);
    ++m_failures;
    std::uniform_int_distribution<int64_t> spread(delay.count() / 2, delay.count());
    m_retryAt = now + Duration(spread(m_random));
}

// Applies a roster that was read or written, and determines whether the last ejection written took effect.
void EjectionController::applyRoster(ServiceRoster roster, Instant now)
{
    m_roster = std::move(roster);
    const RosterEntry* own = findEntry(*m_roster, m_settings.upstream);
    bool isOwn = own && own->executor == m_settings.executor;
    if (m_isRegistered && own && !isOwn)
        m_isSuperseded = true;
    m_isRegistered = m_isRegistered || isOwn;
    if (m_pendingEjection) {
        bool tookEffect = isOwn && own->state == UpstreamState::Ejected && own->attempt == m_pendingEjection->attempt;
        if (tookEffect)
            applyPendingEjection(now);
        if (tookEffect && m_state != UpstreamState::Ejected)
            m_proposeAfter = now + m_settings.proposalRetryDelay;
        m_pendingEjection.reset();
    }
    // The ejection may be missing because an operator cleared it or a newer incarnation registered the upstream.
    bool isRecorded = isOwn && own->state == UpstreamState::Ejected;
    if (m_state == UpstreamState::Ejected && !isRecorded)
        readmit();
    m_dirty = !rosterMatchesState();
}

// Applies an ejection whose write took effect. The ejection is withdrawn when too much time passed since the write was
// sent, or when it is no longer wanted or the view no longer confirms the floor. The next write corrects the roster.
void EjectionController::applyPendingEjection(Instant now)
{
    bool inTime = now - m_pendingEjection->sentAt <= m_settings.ejectionValidity;
    bool isWanted = m_state == UpstreamState::Ready && m_wantsEjection;
    if (!inTime || !isWanted)
        return;
    uint32_t others = eligibleSlots(*m_roster, agedViews(now), m_settings.upstream, m_settings.maxConfirmationAge);
    if (others < m_settings.floorSlots)
        return;
    m_state = UpstreamState::Ejected;
    m_wantsEjection = false;
    m_belowFloorSince.reset();
    m_actions.emplace_back(ApplyEjection {});
}

bool EjectionController::rosterMatchesState() const
{
    if (!m_roster)
        return false;
    const RosterEntry* own = findEntry(*m_roster, m_settings.upstream);
    if (m_state == UpstreamState::Cold)
        return true;
    return own && own->executor == m_settings.executor && own->state == m_state
        && (m_state == UpstreamState::Ejected || own->slots == m_settings.slots);
}

void EjectionController::read(Instant now)
{
    m_call = Call { ++m_calls, false, {}, now + m_settings.callTimeout };
    m_actions.emplace_back(ReadRoster { m_calls });
}

void EjectionController::write(ServiceRoster roster, Instant now)
{
    uint64_t version = roster.version;
    m_call = Call { ++m_calls, true, roster, now + m_settings.callTimeout };
    m_actions.emplace_back(WriteRoster { m_calls, std::move(roster), version });
}

//-----------------------------------------------------------------------------
// [SECTION] Decisions
//-----------------------------------------------------------------------------

std::vector<UpstreamView> EjectionController::agedViews(Instant now) const { return withAge(m_views, now - m_viewsAt); }

void EjectionController::readmit()
{
    m_state = UpstreamState::Ready;
    m_wantsEjection = false;
    m_dirty = true;
    m_actions.emplace_back(Readmit {});
}

void EjectionController::readmitBelowFloor(Instant now)
{
    if (m_state != UpstreamState::Ejected)
        return;
    std::vector<UpstreamView> views = agedViews(now);
    uint32_t serving = servingSlots(views, m_settings.upstream, m_settings.maxConfirmationAge);
    if (serving >= m_settings.floorSlots) {
        m_belowFloorSince.reset();
        return;
    }
    if (!m_belowFloorSince)
        m_belowFloorSince = now;
    uint32_t returning = 0;
    int64_t rank = 0;
    for (const UpstreamView& it : views) {
        bool isBefore = std::tie(it.severity, it.upstream) < std::tie(m_severity, m_settings.upstream);
        bool isEjected = it.state == UpstreamState::Ejected && it.age <= m_settings.maxConfirmationAge;
        if (!isEjected || !isBefore || it.upstream == m_settings.upstream)
            continue;
        returning += it.slots;
        ++rank;
    }
    bool isNext = serving + returning < m_settings.floorSlots;
    if (isNext || now - *m_belowFloorSince >= rank * m_settings.readmitTurnDelay)
        readmit();
}

void EjectionController::startNextCall(Instant now)
{
    bool wantsEjection = m_state == UpstreamState::Ready && m_wantsEjection && now >= m_proposeAfter;
    bool hasWork = m_dirty || wantsEjection;
    if (m_call || m_isSuperseded || !hasWork || now < m_retryAt)
        return;
    if (!m_roster) {
        read(now);
        return;
    }
    if (!rosterMatchesState()) {
        // The entry keeps the attempt number of this incarnation, so that a late read cannot match an older ejection.
        if (m_state == UpstreamState::Draining && !m_isRegistered) {
            m_dirty = false;
            return;
        }
        RosterEntry entry { m_settings.upstream, m_settings.executor, m_settings.slots, m_state, 0, m_attempts };
        write(registerUpstream(*m_roster, std::move(entry)), now);
        return;
    }
    m_dirty = false;
    if (wantsEjection)
        propose(now);
}

void EjectionController::propose(Instant now)
{
    EjectionRequest request { m_settings.upstream, m_settings.executor, m_severity, m_attempts + 1 };
    std::optional<ServiceRoster> proposal
        = proposeEjection(*m_roster, m_settings.floorSlots, agedViews(now), request, m_settings.maxConfirmationAge);
    if (!proposal) {
        m_roster.reset(); // read it again next time, since another executor may change it
        m_proposeAfter = now + m_settings.proposalRetryDelay;
        return;
    }
    ++m_attempts;
    m_pendingEjection = PendingEjection { m_attempts, now };
    write(std::move(*proposal), now);
}

//-----------------------------------------------------------------------------
// [SECTION] Baseline
//-----------------------------------------------------------------------------

std::vector<EjectionAction> NaiveEjectionController::handle(const EjectionEvent& event, Instant now)
{
    if (const auto* verdict = std::get_if<VerdictChanged>(&event))
        m_wantsEjection = verdict->wantsEjection;
    if (const auto* view = std::get_if<ViewChanged>(&event)) {
        m_views = view->views;
        m_viewsAt = now;
    }
    bool wasEjected = isEjected();
    if (std::holds_alternative<UpstreamReady>(event) && m_state == UpstreamState::Cold)
        m_state = UpstreamState::Ready;
    if (std::holds_alternative<UpstreamCold>(event))
        m_state = UpstreamState::Cold;
    if (std::holds_alternative<UpstreamDraining>(event))
        m_state = UpstreamState::Draining;
    if (std::holds_alternative<ProbationOver>(event) && wasEjected)
        m_state = UpstreamState::Ready;

    std::vector<UpstreamView> views = withAge(m_views, now - m_viewsAt);
    uint32_t others = servingSlots(views, m_settings.upstream, m_settings.maxConfirmationAge);
    if (m_state == UpstreamState::Ready && m_wantsEjection && others >= m_settings.floorSlots) {
        m_state = UpstreamState::Ejected;
        m_wantsEjection = false;
    } else if (m_state == UpstreamState::Ejected && others < m_settings.floorSlots) {
        m_state = UpstreamState::Ready;
    }
    if (isEjected() == wasEjected)
        return {};
    if (isEjected())
        return { ApplyEjection {} };
    return { Readmit {} };
}

} // namespace Gooseberrymill

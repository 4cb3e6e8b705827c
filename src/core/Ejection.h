// Ejection of upstreams that never takes a service below its floor.
//
// The roster of a service is one object in the platform's store. Every ejection is a conditional
// write on it, so all ejections of a service are serialised. Readmission needs no permission.
#pragma once

#include "Health.h"
#include <random>
#include <variant>

namespace Gooseberrymill {

struct RosterEntry {
    std::string upstream;
    Id128 executor; // incarnation of the node beside it
    uint32_t slots = 0;
    UpstreamState state = UpstreamState::Cold;
    double severity = 0; // of an ejected upstream; decides who is readmitted first
    uint64_t attempt = 0; // number of the ejection at its executor; settles whether a write took effect
    bool operator==(const RosterEntry&) const = default;
};

// The store object `roster/<service>`.
struct ServiceRoster {
    std::string service;
    uint64_t version = 0; // the store's version of the object read; 0 when it does not exist
    std::vector<RosterEntry> entries; // sorted by upstream
    bool operator==(const ServiceRoster&) const = default;
};

// One upstream as the membership view of a node shows it.
struct UpstreamView {
    std::string upstream;
    Id128 executor;
    uint32_t slots = 0;
    UpstreamState state = UpstreamState::Gone;
    double severity = 0;
    Duration age {}; // since the last confirmation by its executor
};

//-----------------------------------------------------------------------------
// [SECTION] Roster functions
//-----------------------------------------------------------------------------
// They change a copy and keep its version, which is the condition of the write.

const RosterEntry* findEntry(const ServiceRoster&, std::string_view upstream); // null when absent

// Adds the entry, or replaces that of an earlier incarnation.
ServiceRoster registerUpstream(ServiceRoster, RosterEntry);

// Marks the state of an upstream (draining, gone). Empty when the entry is absent or of another executor.
std::optional<ServiceRoster> markState(
    ServiceRoster, std::string_view upstream, const Id128& executor, UpstreamState state);

// Slots of the eligible upstreams other than `except`. Eligible: Ready in the roster, and confirmed Ready by
// the same executor at most `maxAge` ago. Degraded upstreams are not eligible.
uint32_t eligibleSlots(const ServiceRoster&, std::span<const UpstreamView>, std::string_view except, Duration maxAge);

// Slots of the upstreams other than `except` that serve: confirmed Ready or Degraded at most `maxAge` ago.
uint32_t servingSlots(std::span<const UpstreamView>, std::string_view except, Duration maxAge);

struct EjectionRequest {
    std::string_view upstream;
    Id128 executor;
    double severity = 0;
    uint64_t attempt = 0;
};

// The roster with the upstream ejected. Empty when the other eligible upstreams have less than `floorSlots`,
// or when the upstream is not registered by this executor.
std::optional<ServiceRoster> proposeEjection(
    ServiceRoster, uint32_t floorSlots, std::span<const UpstreamView>, const EjectionRequest&, Duration maxAge);

//-----------------------------------------------------------------------------
// [SECTION] Ejection controller
//-----------------------------------------------------------------------------
// State machine at the executor beside one upstream. Events go in, actions come out; it does no I/O.
//
// Floor. An ejection takes effect in two steps: the conditional write, then the refusal of requests at the
// executor. At the write, the slots of the other eligible upstreams are at least the floor. The steps keep
// one rule: an upstream that refuses requests is recorded as ejected. It holds because
// - only its own executor writes the state of an entry, with one write outstanding at a time;
// - every ejection is a new write with a new attempt number, even when the roster already shows an
//   ejected entry: an older write whose fate is unknown can then no longer take effect, since the version
//   it depends on has passed;
// - the executor refuses requests only after it saw its own attempt recorded, within `ejectionValidity` of
//   sending the write, and while its view still confirms the floor;
// - the executor serves again before it corrects the roster.
// So the roster never shows more capacity than the executors offer, and ejections are serialised by it.
//
// Crashes, draining and cold starts after an ejection can take the service below its floor. Each executor
// of an ejected upstream then readmits it without asking, the least severe first. Views differ between
// executors, so too many may return; that does no harm. An executor that should return first but does not
// is replaced by the next one after `readmitTurnDelay`. Degraded upstreams count as serving here, since
// degrading removes no capacity, but never as eligible for a new ejection.

struct EjectionSettings {
    std::string service;
    std::string upstream;
    Id128 executor; // incarnation of this node
    uint32_t slots = 1;
    uint32_t floorSlots = 0;
    Duration maxConfirmationAge = 3s; // three heartbeats
    Duration ejectionValidity = 2s; // from sending the write to its effect, in local monotonic time
    Duration callTimeout = 2s; // of a store call; then its effect is unknown
    Duration rereadDelay = 30s; // after a write of unknown effect the roster is read once more
    Duration proposalRetryDelay = 5s; // until the next proposal after one was refused or withdrawn
    Duration firstBackoff = 500ms; // after a failed store call; doubles
    Duration maxBackoff = 30s;
    Duration readmitTurnDelay = 2s; // for each less severe upstream that should return first
    uint64_t seed = 1; // spreads retries
};

// Events.
struct UpstreamReady { };
struct UpstreamCold { }; // started, or restarted beside the same node
struct UpstreamDraining { };
struct VerdictChanged {
    bool wantsEjection = false;
    double severity = 0;
};
struct ProbationOver { };
struct ViewChanged {
    std::vector<UpstreamView> views; // of this service; ages as of now
};
struct StoreReply {
    uint64_t call = 0; // of the action
    ErrorCode error = ErrorCode::Ok; // Conflict, Unavailable, AnswerLost, Timeout; NotFound for an absent roster
    ServiceRoster roster; // of a read
    uint64_t version = 0; // of a write
};
struct Tick { };
using EjectionEvent = std::variant<UpstreamReady, UpstreamCold, UpstreamDraining, VerdictChanged, ProbationOver,
    ViewChanged, StoreReply, Tick>;

// Actions.
struct ReadRoster {
    uint64_t call = 0;
};
struct WriteRoster {
    uint64_t call = 0;
    ServiceRoster roster;
    uint64_t ifVersion = 0; // 0: only if it does not exist
};
struct ApplyEjection { }; // refuse requests from now on
struct Readmit { }; // serve again from now on
using EjectionAction = std::variant<ReadRoster, WriteRoster, ApplyEjection, Readmit>;

template <typename T>
concept EjectionControl = requires(T control, const EjectionEvent& event, Instant now)
{
    {
        control.handle(event, now)
        } -> std::same_as<std::vector<EjectionAction>>;
    {
        control.isEjected()
        } -> std::same_as<bool>;
};

// `now` must not go backwards. Ticks are expected every second or so.
class EjectionController {
public:
    explicit EjectionController(EjectionSettings);

    std::vector<EjectionAction> handle(const EjectionEvent&, Instant now);
    bool isEjected() const { return m_state == UpstreamState::Ejected; }
    void setFloorSlots(uint32_t floorSlots) { m_settings.floorSlots = floorSlots; } // a new configuration is in force
    bool isSuperseded() const { return m_isSuperseded; } // a newer incarnation registered the upstream

private:
    struct Call {
        uint64_t number = 0;
        bool isWrite = false;
        ServiceRoster roster; // as written
        Instant deadline;
    };
    struct PendingEjection {
        uint64_t attempt = 0;
        Instant sentAt;
    };

    void on(const UpstreamReady&, Instant now);
    void on(const UpstreamCold&, Instant now);
    void on(const UpstreamDraining&, Instant now);
    void on(const VerdictChanged&, Instant now);
    void on(const ProbationOver&, Instant now);
    void on(const ViewChanged&, Instant now);
    void on(const StoreReply&, Instant now);
    void on(const Tick&, Instant now);

    void finishRead(const StoreReply&, Instant now);
    void finishWrite(const Call&, const StoreReply&, Instant now);
    void applyRoster(ServiceRoster, Instant now);
    void applyPendingEjection(Instant now);
    void readmit();
    void readmitBelowFloor(Instant now);
    void startNextCall(Instant now);
    void propose(Instant now);
    bool rosterMatchesState() const;
    void read(Instant now);
    void write(ServiceRoster, Instant now);
    void scheduleRetry(Instant now);
    std::vector<UpstreamView> agedViews(Instant now) const;

    EjectionSettings m_settings;
    std::minstd_rand m_random;
    std::vector<EjectionAction> m_actions;
    UpstreamState m_state = UpstreamState::Cold; // Cold, Ready, Ejected or Draining
    bool m_wantsEjection = false;
    double m_severity = 0;
    std::vector<UpstreamView> m_views;
    Instant m_viewsAt;
    std::optional<ServiceRoster> m_roster; // as last read or written; empty when it must be read
    bool m_dirty = false; // the own entry may differ from the state
    bool m_isRegistered = false; // the roster has shown an entry of this incarnation
    bool m_isSuperseded = false;
    std::optional<Call> m_call;
    uint64_t m_calls = 0;
    std::optional<PendingEjection> m_pendingEjection; // of the last ejection written, until its fate is known
    uint64_t m_attempts = 0;
    std::optional<Instant> m_rereadAt; // a write of unknown effect may still arrive
    std::optional<Instant> m_belowFloorSince;
    uint32_t m_failures = 0; // store calls failed in a row
    Instant m_retryAt; // of a store call
    Instant m_proposeAfter; // a slow store must not lead to a sequence of ejections written and withdrawn
};

// Baseline: ejects on its own count of the upstreams in its view, without the store. Two executors with
// the same view can eject at the same time and break the floor.
class NaiveEjectionController {
public:
    explicit NaiveEjectionController(EjectionSettings settings)
        : m_settings(std::move(settings))
    {
    }
    std::vector<EjectionAction> handle(const EjectionEvent&, Instant now);
    bool isEjected() const { return m_state == UpstreamState::Ejected; }

private:
    EjectionSettings m_settings;
    UpstreamState m_state = UpstreamState::Cold;
    bool m_wantsEjection = false;
    std::vector<UpstreamView> m_views;
    Instant m_viewsAt;
};

static_assert(EjectionControl<EjectionController>);
static_assert(EjectionControl<NaiveEjectionController>);

} // namespace Gooseberrymill

// Ejection of unhealthy upstreams that never takes a service below its floor, a configured minimum of slots.
//
// The roster of a service is one object in the platform's store. Every ejection is a conditional
// write on it, so all ejections of a service are serialised. An executor readmits its upstream without a write
// in advance.
#pragma once

#include "Health.h"
#include <random>
#include <variant>

namespace Gooseberrymill {

// Entry of one upstream in the roster of its service.
struct RosterEntry {
    std::string upstream;
    Id128 executor; // incarnation of the node beside the upstream
    uint32_t slots = 0;
    UpstreamState state = UpstreamState::Cold;
    double severity = 0; // of an ejected upstream; the least severe is readmitted first
    uint64_t attempt = 0; // number of the ejection at its executor; shows whether a write took effect
    bool operator==(const RosterEntry&) const = default;
};

// Content of the store object `roster/<service>`.
struct ServiceRoster {
    std::string service;
    uint64_t version = 0; // version of the object in the store; 0 when the object does not exist
    std::vector<RosterEntry> entries; // sorted by upstream
    bool operator==(const ServiceRoster&) const = default;
};

// State of one upstream in the membership view of a node.
struct UpstreamView {
    std::string upstream;
    Id128 executor;
    uint32_t slots = 0;
    UpstreamState state = UpstreamState::Gone;
    double severity = 0;
    Duration age {}; // time since the last confirmation by its executor
};

//-----------------------------------------------------------------------------
// [SECTION] Roster functions
//-----------------------------------------------------------------------------
// They return a modified copy and keep its version, which is the precondition of the conditional write.

const RosterEntry* findEntry(const ServiceRoster&, std::string_view upstream); // null when absent

// Adds the entry, or replaces the entry of the same upstream, e.g. that of an earlier incarnation.
ServiceRoster registerUpstream(ServiceRoster, RosterEntry);

// Sets the state of an upstream (draining, gone). Empty when the entry is absent or belongs to another executor.
std::optional<ServiceRoster> markState(
    ServiceRoster, std::string_view upstream, const Id128& executor, UpstreamState state);

// Sum of the slots of the eligible upstreams other than `except`. Eligible: Ready in the roster, and confirmed
// Ready by the same executor at most `maxAge` ago. Degraded upstreams are not eligible.
uint32_t eligibleSlots(const ServiceRoster&, std::span<const UpstreamView>, std::string_view except, Duration maxAge);

// Sum of the slots of the upstreams other than `except` that serve: confirmed Ready or Degraded at most `maxAge`
// ago.
uint32_t servingSlots(std::span<const UpstreamView>, std::string_view except, Duration maxAge);

// Parameters of an ejection that an executor proposes for its upstream.
struct EjectionRequest {
    std::string_view upstream;
    Id128 executor;
    double severity = 0;
    uint64_t attempt = 0;
};

// Returns the roster with the upstream ejected. Empty when the other eligible upstreams have fewer slots than
// `floorSlots`, or when the upstream is not registered by this executor.
std::optional<ServiceRoster> proposeEjection(
    ServiceRoster, uint32_t floorSlots, std::span<const UpstreamView>, const EjectionRequest&, Duration maxAge);

//-----------------------------------------------------------------------------
// [SECTION] Ejection controller
//-----------------------------------------------------------------------------
// State machine at the executor beside one upstream. It turns events into actions and does no I/O itself.
//
// Floor. An ejection takes effect in two steps: the conditional write, then the rejection of requests at the
// executor. At the time of the write, the slots of the other eligible upstreams are at least the floor. The
// protocol maintains one invariant: an upstream that rejects requests is recorded as ejected. It holds because
// - only the upstream's own executor writes the state of an entry, with one write outstanding at a time;
// - every ejection is a new write with a new attempt number, even when the roster already shows an
//   ejected entry. An older write of unknown result can then no longer take effect, since the version it is
//   conditional on is no longer current;
// - the executor rejects requests only after it saw its own attempt recorded, within `ejectionValidity` of
//   sending the write, and while its view still confirms the floor;
// - the executor serves again before it corrects the roster.
// So the roster never shows more capacity than the executors offer, and the conditional writes on it serialise
// the ejections.
//
// Crashes, draining and cold starts after an ejection can take the service below its floor. Each executor
// of an ejected upstream then readmits it on its own, the least severe upstream first. Views differ between
// executors, so more upstreams than needed may return, which is harmless. When an upstream that should return
// first does not, the next one returns after `readmitTurnDelay`. Degraded upstreams count as serving here, since
// degrading removes no capacity, but do not count towards the floor of a new ejection.

struct EjectionSettings {
    std::string service;
    std::string upstream;
    Id128 executor; // incarnation of this node
    uint32_t slots = 1; // capacity of the upstream
    uint32_t floorSlots = 0; // slots that ejections must leave to the service
    Duration maxConfirmationAge = 3s; // staleness limit of an upstream's state in the view: three heartbeats
    Duration ejectionValidity = 2s; // longest time from sending the write to its effect, in local monotonic time
    Duration callTimeout = 2s; // of a store call; after the timeout its effect is unknown
    Duration rereadDelay = 30s; // delay after a write of unknown effect until the roster is read once more
    Duration proposalRetryDelay = 5s; // delay until the next proposal after one was rejected or withdrawn
    Duration firstBackoff = 500ms; // delay after the first failed store call; doubles on each further failure
    Duration maxBackoff = 30s;
    Duration readmitTurnDelay = 2s; // delay of readmission per less severe upstream that should return first
    uint64_t seed = 1; // of the random jitter of retries
};

// Events.
struct UpstreamReady { };
struct UpstreamCold { }; // the upstream process started, or restarted beside the same node
struct UpstreamDraining { };
struct VerdictChanged {
    bool wantsEjection = false;
    double severity = 0;
};
struct ProbationOver { };
struct ViewChanged {
    std::vector<UpstreamView> views; // upstreams of this service; ages as of the time of the event
};
struct StoreReply {
    uint64_t call = 0; // call number of the action that this replies to
    ErrorCode error = ErrorCode::Ok; // Conflict, Unavailable, AnswerLost, Timeout; NotFound for an absent roster
    ServiceRoster roster; // result of a read
    uint64_t version = 0; // new version after a write
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
    uint64_t ifVersion = 0; // write only if the object has this version; 0: only if it does not exist
};
struct ApplyEjection { }; // reject requests from now on
struct Readmit { }; // serve requests again from now on
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

// Ejects and readmits the upstream of this executor as described above. `now` must not go backwards. Expects a Tick
// about once a second.
class EjectionController {
public:
    explicit EjectionController(EjectionSettings);

    std::vector<EjectionAction> handle(const EjectionEvent&, Instant now);
    bool isEjected() const { return m_state == UpstreamState::Ejected; }
    void setFloorSlots(uint32_t floorSlots) { m_settings.floorSlots = floorSlots; } // applies a new configuration
    bool isSuperseded() const { return m_isSuperseded; } // a newer incarnation registered the upstream

private:
    // A store call without a reply so far.
    struct Call {
        uint64_t number = 0;
        bool isWrite = false;
        ServiceRoster roster; // content of the write
        Instant deadline;
    };
    // An ejection that was written and is not yet applied or withdrawn.
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
    Instant m_viewsAt; // time to which the ages in m_views refer
    std::optional<ServiceRoster> m_roster; // as last read or written; empty when it must be read
    bool m_dirty = false; // the upstream's entry in the roster may differ from m_state
    bool m_isRegistered = false; // the roster has shown an entry of this incarnation
    bool m_isSuperseded = false;
    std::optional<Call> m_call;
    uint64_t m_calls = 0; // number of the last store call
    std::optional<PendingEjection> m_pendingEjection; // the last ejection written, until its result is known
    uint64_t m_attempts = 0; // number of the last ejection proposed
    std::optional<Instant> m_rereadAt; // when to read again, since a write of unknown effect may still arrive
    std::optional<Instant> m_belowFloorSince;
    uint32_t m_failures = 0; // number of consecutive failed store calls
    Instant m_retryAt; // earliest time of the next store call
    // Earliest time of the next proposal. With a slow store, every ejection would otherwise be written and withdrawn
    // in an endless sequence.
    Instant m_proposeAfter;
};

// Baseline: ejects when its own view shows enough other slots, without the store. Two executors with
// the same view can eject at the same time and take the service below its floor.
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

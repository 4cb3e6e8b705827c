// Vocabulary shared by every module of the decision core: time, identifiers, outcomes, errors.
#pragma once

#include <array>
#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/all_narrow.hpp>
#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace Gooseberrymill {

//-----------------------------------------------------------------------------
// [SECTION] Time
//-----------------------------------------------------------------------------
// The core never reads a clock. Callers pass `now` into each call; it must not go backwards.

using Duration = std::chrono::microseconds;
using Instant = std::chrono::time_point<std::chrono::steady_clock, Duration>; // monotonic, local to a process
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

using namespace std::chrono_literals;

//-----------------------------------------------------------------------------
// [SECTION] Identifiers
//-----------------------------------------------------------------------------

// 128-bit identifier: node incarnations, operations, requests. Must come from a random source.
struct Id128 {
    uint64_t high = 0;
    uint64_t low = 0;

    auto operator<=>(const Id128&) const = default; // NOLINT(modernize-use-nullptr): false positive on <=>
    explicit operator bool() const { return high || low; }

    template <class Archive> void serialize(Archive& archive) { archive(high, low); }
};

std::string toString(const Id128&); // UUID form, 36 characters, lower case
std::optional<Id128> parseId128(std::string_view); // accepts the UUID form only

// Creation time of a UUID version 7; empty for other versions.
std::optional<WallTime> uuidTime(const Id128&);

struct Id128Hash {
    size_t operator()(const Id128& id) const { return id.high ^ (id.low * 0x9e3779b97f4a7c15ULL); }
};

//-----------------------------------------------------------------------------
// [SECTION] Outcomes of a request
//-----------------------------------------------------------------------------

enum class Outcome : uint8_t {
    NotRun, // no byte of the request can have reached an upstream
    Unknown, // the request may have run
    Ran, // the upstream answered
};

enum class RefusalReason : uint8_t {
    None,
    NoConfiguration, // this node holds no accepted configuration
    NoRoute,
    BadRequest,
    BodyTooLarge,
    NoUpstream, // no usable upstream for the service
    Draining,
    Ejected,
    QueueFull,
    DeadlineUnreachable, // shed early: the deadline would have passed before an answer
    DeadlineExceeded,
    Cancelled,
    QueryOfDeath, // the request crashed upstreams before
    StoreUnavailable, // an idempotency key could not be claimed
    KeyExpired,
    KeyReused, // same key or token, different request
    HeldElsewhere, // another incarnation holds the key; internal between nodes
    HolderGone,
    UpstreamUnreachable,
    UpstreamCrashed,
    UpstreamTruncated, // the answer ended early
    UpstreamInvalid, // malformed answer
    RelayFailed,
    ShuttingDown,
    Overloaded, // a limit on connections or memory
    AnswerNotRecorded, // the operation ran, but its answer is no longer held
    UpstreamShed, // the upstream itself turned the request away and says that it did not run
    Degraded, // the upstream failed lately; another one is to be asked first
};

std::string_view toString(Outcome);
std::string_view toString(RefusalReason);

// Class of work of a route; decides the order when slots are short.
enum class WorkClass : uint8_t {
    Critical, // orders, payouts, bench records, certificates
    Interactive, // somebody stands waiting
    Patient, // callers who will wait
    Background,
};
constexpr size_t workClassCount = 4;

std::string_view toString(WorkClass);
std::optional<WorkClass> parseWorkClass(std::string_view);

//-----------------------------------------------------------------------------
// [SECTION] Upstreams
//-----------------------------------------------------------------------------

enum class UpstreamState : uint8_t {
    Cold, // started, ramping up
    Ready,
    Degraded, // last choice, still used for overflow
    Ejected, // gets no work
    Draining, // finishes its work, gets no new work
    Gone,
};
constexpr size_t upstreamStateCount = 6;

std::string_view toString(UpstreamState);

// Load of one upstream as its executor knows it. Travels on every answer.
struct LoadReport {
    uint32_t running = 0; // requests at the upstream
    uint32_t queued = 0; // requests waiting at the executor
    uint32_t limit = 0; // current concurrency limit
    UpstreamState state = UpstreamState::Ready;
    uint8_t failurePercent = 0; // probability that the upstream is in a phase of failures

    bool operator==(const LoadReport&) const = default;
    template <class Archive> void serialize(Archive& archive)
    {
        archive(running, queued, limit, state, failurePercent);
    }
};

// Where something runs. Names come from settings and configuration.
struct Location {
    std::string region;
    std::string dataCentre;

    bool operator==(const Location&) const = default;
    template <class Archive> void serialize(Archive& archive) { archive(region, dataCentre); }
};

//-----------------------------------------------------------------------------
// [SECTION] Errors
//-----------------------------------------------------------------------------

// An error code with the step and the peer at which it arose.
struct Error {
    std::error_code code;
    std::string step; // what was being done, e.g. "relay.connect"
    std::string peer; // address or name of the other side; empty when local
    std::string detail;
};

std::string toString(const Error&);

template <typename T> using Result = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::all_narrow>;

enum class ErrorCode {
    Ok,
    Malformed, // input does not parse
    TooLarge,
    NotAuthentic, // wrong key, wrong session or replayed
    Conflict, // conditional update lost
    NotFound,
    Unavailable, // peer down or not reachable; the request had no effect
    AnswerLost, // the request may have had an effect
    Timeout,
    Cancelled,
    Closed,
    Unsupported,
    Invalid,
};

const std::error_category& errorCategory();
std::error_code makeErrorCode(ErrorCode);

// Hook found by argument-dependent lookup from std::error_code.
inline std::error_code make_error_code(ErrorCode ec) // NOLINT(readability-identifier-naming)
{
    return makeErrorCode(ec);
}

} // namespace Gooseberrymill

template <> struct std::is_error_code_enum<Gooseberrymill::ErrorCode> : std::true_type {
};

// Basic types used throughout the core: time, identifiers, request outcomes, upstream states and errors.
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
// The core never reads a clock. Callers pass the current time as `now`; it must never decrease between calls.

using Duration = std::chrono::microseconds;
using Instant
    = std::chrono::time_point<std::chrono::steady_clock, Duration>; // monotonic; only comparable within one process
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

using namespace std::chrono_literals;

//-----------------------------------------------------------------------------
// [SECTION] Identifiers
//-----------------------------------------------------------------------------

// 128-bit identifier of a node incarnation, an operation or a request. Must be randomly generated, so that
// independently created identifiers do not collide.
struct Id128 {
    uint64_t high = 0;
    uint64_t low = 0;

    auto operator<=>(const Id128&) const = default; // NOLINT(modernize-use-nullptr): false positive on <=>
    explicit operator bool() const { return high || low; }

    template <class Archive> void serialize(Archive& archive) { archive(high, low); }
};

std::string toString(const Id128&); // formats as a lower-case UUID of 36 characters
std::optional<Id128> parseId128(std::string_view); // empty unless the text is a UUID of 36 characters

// Returns the creation time stored in a UUID of version 7; empty for other versions.
std::optional<WallTime> uuidTime(const Id128&);

struct Id128Hash {
    size_t operator()(const Id128& id) const { return id.high ^ (id.low * 0x9e3779b97f4a7c15ULL); }
};

//-----------------------------------------------------------------------------
// [SECTION] Outcomes of a request
//-----------------------------------------------------------------------------

// Whether an upstream executed the request. Decides whether a retry can execute it twice.
enum class Outcome : uint8_t {
    NotRun, // certainly not executed: no byte of the request can have reached an upstream
    Unknown, // the request may have been executed
    Ran, // executed: the upstream responded
};

// Why a request was rejected or failed.
enum class RefusalReason : uint8_t {
    None,
    NoConfiguration, // this node has no accepted configuration yet
    NoRoute,
    BadRequest,
    BodyTooLarge,
    NoUpstream, // the service has no usable upstream
    Draining, // the upstream or its node is about to stop and accepts no new requests
    Ejected, // the upstream was taken out of service by health checking
    QueueFull,
    DeadlineUnreachable, // shed early: the request could not have completed before its deadline
    DeadlineExceeded,
    Cancelled, // the caller gave up
    QueryOfDeath, // the same request crashed upstreams before
    StoreUnavailable, // the idempotency key could not be claimed because the store is unavailable
    KeyExpired, // the idempotency key is older than the retention time, or the operation token has expired
    KeyReused, // the idempotency key or token was used before for a different request
    HeldElsewhere, // another node incarnation holds the key; only sent between nodes
    HolderGone, // the node incarnation that held the key or token is gone
    UpstreamUnreachable, // no connection to the upstream could be made
    UpstreamCrashed, // the connection to the upstream was lost after the request was sent, before a response
    UpstreamTruncated, // the upstream's response ended early
    UpstreamInvalid, // the upstream's response is malformed
    RelayFailed, // the exchange with another node failed
    ShuttingDown,
    Overloaded, // a limit on connections or memory was reached
    AnswerNotRecorded, // the operation was executed, but its response is no longer stored
    UpstreamShed, // the upstream rejected the request and states that it did not execute it
    Degraded, // the upstream failed recently; another one should be tried first
    RateLimited, // the upstream takes no more requests at this moment; since relay version 5
    KeyUnknown, // no organisation holds the caller's key; since relay version 7, as the reasons below
    KeyUnverified, // this node cannot tell whether the key is still valid
    QuotaExceeded, // the organisation has used its quota
    SlotsTaken, // all slots of the upstream are taken; another one may have a free slot
};

std::string_view toString(Outcome);
std::string_view toString(RefusalReason);

// Priority class of a route's requests. Decides who is served first when there are fewer slots than requests.
enum class WorkClass : uint8_t {
    Critical, // orders, payouts, bench records, certificates
    Interactive, // a person waits for the response
    Patient, // the caller tolerates a long wait
    Background,
};
constexpr size_t workClassCount = 4;

std::string_view toString(WorkClass);
std::optional<WorkClass> parseWorkClass(std::string_view);

//-----------------------------------------------------------------------------
// [SECTION] Upstreams
//-----------------------------------------------------------------------------

enum class UpstreamState : uint8_t {
    Cold, // started recently; its share of the traffic is ramping up
    Ready,
    Degraded, // failing or slow; chosen last, but still used for overflow
    Ejected, // taken out of service; gets no requests
    Draining, // completes its running requests and gets no new ones
    Gone, // stopped
};
constexpr size_t upstreamStateCount = 6;

std::string_view toString(UpstreamState);

// Load of one upstream as measured by its executor (the node next to the upstream). Sent with every response.
struct LoadReport {
    uint32_t running = 0; // requests being executed by the upstream
    uint32_t queued = 0; // requests queued at the executor
    uint32_t limit = 0; // current limit of concurrent requests at the upstream
    UpstreamState state = UpstreamState::Ready;
    uint8_t failurePercent = 0; // estimated probability, in percent, that the upstream is currently failing

    bool operator==(const LoadReport&) const = default;
    template <class Archive> void serialize(Archive& archive)
    {
        archive(running, queued, limit, state, failurePercent);
    }
};

// Region and data centre of a node or upstream, named as in the settings and the configuration.
struct Location {
    std::string region;
    std::string dataCentre;

    bool operator==(const Location&) const = default;
    template <class Archive> void serialize(Archive& archive) { archive(region, dataCentre); }
};

//-----------------------------------------------------------------------------
// [SECTION] Errors
//-----------------------------------------------------------------------------

// An error code with the step that failed and the peer it involved.
struct Error {
    std::error_code code;
    std::string step; // the operation that failed, such as "relay.connect"
    std::string peer; // address or name of the remote side; empty for a local error
    std::string detail; // free text; may be empty
};

std::string toString(const Error&);

template <typename T> using Result = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::all_narrow>;

enum class ErrorCode {
    Ok,
    Malformed, // the input could not be parsed
    TooLarge,
    NotAuthentic, // the message has a wrong key or session, or was replayed
    Conflict, // the condition of a conditional update did not hold
    NotFound,
    Unavailable, // the peer is down or unreachable; the request had no effect
    AnswerLost, // no response arrived; the request may have had an effect
    Timeout, // no response arrived in time
    Cancelled,
    Closed,
    Unsupported,
    Invalid,
    Unchanged, // a watch ended, and the watched object had not changed
};

const std::error_category& errorCategory();
std::error_code makeErrorCode(ErrorCode);

// Lets std::error_code convert from ErrorCode; found by argument-dependent lookup.
inline std::error_code make_error_code(ErrorCode ec) // NOLINT(readability-identifier-naming)
{
    return makeErrorCode(ec);
}

} // namespace Gooseberrymill

template <> struct std::is_error_code_enum<Gooseberrymill::ErrorCode> : std::true_type {
};

// Messages that nodes exchange over TCP. RelayFrames encodes and authenticates them.
#pragma once

#include "Organisations.h"

namespace Gooseberrymill {

// Fields that were added to a message after its first version are serialized by serializeExtension(), behind the
// others. They are sent only to peers that understand them, and keep their defaults in messages of other peers.

// What a node knows about how new its configuration is; see core/ConfigurationFreshness.h.
struct FreshnessProof {
    uint64_t configuration = 0; // stamp of the configuration that was the newest one; 0: the sender knows nothing
    uint32_t ageMs = 0; // time since it was certainly the newest, at the sending of this message
    template <class Archive> void serialize(Archive& archive) { archive(configuration, ageMs); }
    bool operator==(const FreshnessProof&) const = default;
};

// One HTTP header field.
struct Header {
    std::string name;
    std::string value;
    template <class Archive> void serialize(Archive& archive) { archive(name, value); }
};

enum class OperationKind : uint8_t {
    None, // the request names no operation
    Key, // named by the Idempotency-Key header; claimed in the store
    Token, // named by the Operation-Token header; bound to one incarnation
};

// First message of a relayed request, from the entry to the executor.
struct RequestHead {
    Id128 requestId;
    std::string service;
    std::string route;
    std::string upstream; // the upstream chosen by the entry
    std::string method;
    std::string target; // path and query
    std::vector<Header> headers; // end-to-end headers only
    int64_t bodyLength = 0; // bytes; -1 if unknown, then BodyEnd marks the end
    uint32_t deadlineMs = 0; // time left until the deadline
    OperationKind operationKind = OperationKind::None;
    Id128 operation;
    Id128 executor; // incarnation that must run the operation; zero if any may run it
    // Asks the executor that holds the operation for its outcome. The executor runs it only if it is claimed and open.
    bool isInquiry = false;
    // Every other upstream has already been tried, so an executor must not return the request because its upstream
    // failed recently.
    bool isLastChoice = false;
    bool wantsContinue = false; // the body and BodyEnd follow after a Continue; the request does not run before
    uint64_t configurationDigest = 0; // of the configuration in force at the entry
    template <class Archive> void serialize(Archive& archive)
    {
        archive(requestId, service, route, upstream, method, target, headers, bodyLength, deadlineMs, operationKind,
            operation, executor, isInquiry, isLastChoice, wantsContinue, configurationDigest);
    }

    // Since version 7.
    std::string organisation {}; // of the caller; empty: none
    KeyDigest key = 0; // that the caller presented; 0: none
    uint32_t acceptableWaitMs = 0; // the entry tries another upstream rather than wait longer for a slot; 0: it waits
    template <class Archive, class Self> static void serializeExtension(Archive& archive, Self& self)
    {
        archive(self.organisation, self.key, self.acceptableWaitMs);
    }
};

// What an upstream process asks of its callers in its responses. The executor beside it passes it on to the entries,
// which return it with each request for that upstream: an executor that has just started learns it from them.
struct UpstreamNotice {
    std::string process; // identity of the process
    double rate = 0; // requests per second that it takes from the whole fleet; 0: no limit
    uint32_t waitMs = 0; // from an executor: time until the limit allows another request
    bool isLeaving = false; // it takes no new requests
    template <class Archive> void serialize(Archive& archive) { archive(process, rate, waitMs, isLeaving); }
    bool operator==(const UpstreamNotice&) const = default;
};

// What the entry knows about a request besides its head. Sent before the head, and only if a field differs from its
// default.
struct RequestContext {
    bool isRetry = false; // an earlier attempt of the request has reached an upstream
    UpstreamNotice notice; // the latest one of the upstream; without a process: none
    template <class Archive> void serialize(Archive& archive) { archive(isRetry, notice); }
    bool operator==(const RequestContext&) const = default;
};

// The executor has received the head of the request and is ready to run it. It does not run the request before the end
// of the body, so an entry that gets no reply may try another executor at once.
struct Continue {
    Id128 requestId;
    template <class Archive> void serialize(Archive& archive) { archive(requestId); }
};

// Part of a request or response body.
struct BodyChunk {
    std::string bytes; // at most maxChunkBytes
    template <class Archive> void serialize(Archive& archive) { archive(bytes); }
};
constexpr size_t maxChunkBytes = size_t { 64 } * 1024;

// Marks the end of a body.
struct BodyEnd {
    template <class Archive> void serialize(Archive&) { }
};

// First message of a response, from the executor to the entry.
struct ResponseHead {
    Id128 requestId;
    uint16_t status = 0;
    std::vector<Header> headers;
    int64_t bodyLength = -1; // bytes; -1 if unknown, then BodyEnd marks the end
    LoadReport load;
    template <class Archive> void serialize(Archive& archive) { archive(requestId, status, headers, bodyLength, load); }

    FreshnessProof proof {}; // since version 7
    template <class Archive, class Self> static void serializeExtension(Archive& archive, Self& self)
    {
        archive(self.proof);
    }
};

// Sent instead of a ResponseHead if the request is not answered by an upstream.
struct Refusal {
    Id128 requestId;
    Outcome outcome = Outcome::NotRun;
    RefusalReason reason = RefusalReason::None;
    uint32_t retryAfterMs = 0;
    uint32_t runs = 0; // with QueryOfDeath: number of crashes during which this request was running
    bool dispatched = false; // this request, not another one of its operation, may have reached an upstream
    std::string step; // what was being done, e.g. "relay.connect"
    std::string peer; // address or name of the other side of the step
    Id128 holder; // with HeldElsewhere: the incarnation that holds the key
    LoadReport load;
    template <class Archive> void serialize(Archive& archive)
    {
        archive(requestId, outcome, reason, retryAfterMs, runs, dispatched, step, peer, holder, load);
    }

    FreshnessProof proof {}; // since version 7
    template <class Archive, class Self> static void serializeExtension(Archive& archive, Self& self)
    {
        archive(self.proof);
    }
};

// Asks a node for an operation token that names its incarnation. May be repeated without harm.
struct TokenQuery {
    Id128 requestId;
    std::string service;
    template <class Archive> void serialize(Archive& archive) { archive(requestId, service); }
};

// Reply to a TokenQuery: the parts of the issued token.
struct TokenReply {
    Id128 requestId;
    Id128 executor;
    Id128 operation;
    uint32_t lifetimeMs = 0;
    template <class Archive> void serialize(Archive& archive) { archive(requestId, executor, operation, lifetimeMs); }
};

// A configuration document that is in force at a node.
struct ConfigurationRecord {
    std::string name;
    uint64_t version = 0; // revision that the store gave it; comparable only while the store loses nothing
    std::string changeId;
    std::string author;
    std::string text; // TOML text; empty in a ConfigurationQuery
    // Rises with each change, whatever the store does; 0 if the format has no such number. Not transmitted: the
    // receiver derives it from the change id.
    uint64_t changeNumber = 0;
    template <class Archive> void serialize(Archive& archive) { archive(name, version, changeId, author, text); }
};

// Lists the versions of the documents that the sender holds. The reply contains newer documents in full.
struct ConfigurationQuery {
    std::vector<ConfigurationRecord> held;
    template <class Archive> void serialize(Archive& archive) { archive(held); }
};

struct ConfigurationReply {
    std::vector<ConfigurationRecord> newer;
    template <class Archive> void serialize(Archive& archive) { archive(newer); }
};

// Processes of an instance that have deregistered or are draining: all that started up to a time.
struct UpstreamDeparture {
    std::string instance;
    uint64_t startedUpTo = 0; // milliseconds of the processes' own clock
    template <class Archive> void serialize(Archive& archive) { archive(instance, startedUpTo); }
    bool operator==(const UpstreamDeparture&) const = default;
};
constexpr size_t maxDeparturesPerNode = 8; // in a notice and in the memory of a peer

// Departures of the upstream beside a node. That node has acknowledged them and sends them to other nodes, which return
// them when it has restarted.
struct DepartureNotice {
    std::string node; // beside the upstream
    Id128 incarnation; // of that node, when it knew of the departures
    std::vector<UpstreamDeparture> departures;
    template <class Archive> void serialize(Archive& archive) { archive(node, incarnation, departures); }
};

struct DepartureReply {
    template <class Archive> void serialize(Archive&) { }
};

// Asks a home of an organisation's quota for requests that may run; see core/Quota.h.
struct QuotaQuery {
    std::string organisation;
    uint32_t wanted = 1; // requests
    uint32_t returned = 0; // requests granted before that did not run
    template <class Archive> void serialize(Archive& archive) { archive(organisation, wanted, returned); }
};

struct QuotaReply {
    uint32_t granted = 0; // requests that may run
    uint32_t retryAfterMs = 0; // if nothing was granted: when a request will be; 0: this node is no home of the quota
    template <class Archive> void serialize(Archive& archive) { archive(granted, retryAfterMs); }
};

} // namespace Gooseberrymill

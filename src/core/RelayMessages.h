// Messages between nodes over TCP. Encoding and authentication live in RelayFrames.
#pragma once

#include "Basics.h"

namespace Gooseberrymill {

struct Header {
    std::string name;
    std::string value;
    template <class Archive> void serialize(Archive& archive) { archive(name, value); }
};

enum class OperationKind : uint8_t {
    None, // the caller named no operation
    Key, // Idempotency-Key, claimed in the store
    Token, // Operation-Token, bound to one incarnation
};

struct RequestHead {
    Id128 requestId;
    std::string service;
    std::string route;
    std::string upstream; // the upstream chosen by the entry
    std::string method;
    std::string target; // path and query
    std::vector<Header> headers; // end-to-end headers only
    int64_t bodyLength = 0; // -1: unknown, ends with BodyEnd
    uint32_t deadlineMs = 0; // time left
    OperationKind operationKind = OperationKind::None;
    Id128 operation;
    Id128 executor; // incarnation that must run it; zero: any
    bool isInquiry
        = false; // the executor holds the operation: return its outcome; run it only if it is claimed and open
    bool isLastChoice = false; // every other upstream was asked: one that failed lately must not give it back
    bool wantsContinue = false; // the body and its end follow after a Continue; nothing runs before
    uint64_t configurationDigest = 0;
    template <class Archive> void serialize(Archive& archive)
    {
        archive(requestId, service, route, upstream, method, target, headers, bodyLength, deadlineMs, operationKind,
            operation, executor, isInquiry, isLastChoice, wantsContinue, configurationDigest);
    }
};

// The executor has the head of the request and would run it. Until it gets the end of the body it does not, so an
// entry that hears nothing may ask another executor at once.
struct Continue {
    Id128 requestId;
    template <class Archive> void serialize(Archive& archive) { archive(requestId); }
};

struct BodyChunk {
    std::string bytes; // at most maxChunkBytes
    template <class Archive> void serialize(Archive& archive) { archive(bytes); }
};
constexpr size_t maxChunkBytes = size_t { 64 } * 1024;

struct BodyEnd {
    template <class Archive> void serialize(Archive&) { }
};

struct ResponseHead {
    Id128 requestId;
    uint16_t status = 0;
    std::vector<Header> headers;
    int64_t bodyLength = -1; // -1: unknown, ends with BodyEnd
    LoadReport load;
    template <class Archive> void serialize(Archive& archive) { archive(requestId, status, headers, bodyLength, load); }
};

struct Refusal {
    Id128 requestId;
    Outcome outcome = Outcome::NotRun;
    RefusalReason reason = RefusalReason::None;
    uint32_t retryAfterMs = 0;
    uint32_t runs = 0; // known runs of this request, for a query of death
    bool dispatched = false; // this request may have reached an upstream, whatever became of its operation
    std::string step;
    std::string peer;
    Id128 holder; // with HeldElsewhere: the incarnation that holds the key
    LoadReport load;
    template <class Archive> void serialize(Archive& archive)
    {
        archive(requestId, outcome, reason, retryAfterMs, runs, dispatched, step, peer, holder, load);
    }
};

// Asks a node for a token that names its incarnation. Harmless to repeat.
struct TokenQuery {
    Id128 requestId;
    std::string service;
    template <class Archive> void serialize(Archive& archive) { archive(requestId, service); }
};

struct TokenReply {
    Id128 requestId;
    Id128 executor;
    Id128 operation;
    uint32_t lifetimeMs = 0;
    template <class Archive> void serialize(Archive& archive) { archive(requestId, executor, operation, lifetimeMs); }
};

// One document in force at a node.
struct ConfigurationRecord {
    std::string name;
    uint64_t version = 0;
    std::string changeId;
    std::string author;
    std::string text; // TOML; empty in a query
    template <class Archive> void serialize(Archive& archive) { archive(name, version, changeId, author, text); }
};

// "These are the versions I hold; send what is newer." Documents of the reply are complete.
struct ConfigurationQuery {
    std::vector<ConfigurationRecord> held;
    template <class Archive> void serialize(Archive& archive) { archive(held); }
};

struct ConfigurationReply {
    std::vector<ConfigurationRecord> newer;
    template <class Archive> void serialize(Archive& archive) { archive(newer); }
};

} // namespace Gooseberrymill

// Frames exchanged between nodes over TCP: encoding, size limits and authentication. Does no I/O.
//
// Layout of a frame:
//   4 bytes   length of the rest of the frame (big endian)
//   1 byte    kind; its highest bit is set when the payload is compressed by DEFLATE
//   8 bytes   sequence number (big endian)
//   payload   cereal portable binary
//   16 bytes  truncated HMAC-SHA-256
// The first frame of each side is a Hello, authenticated under the fleet key. All later frames are authenticated under
// a key derived from both nonces and the direction, so a frame is valid in one connection, one direction and one
// position only.
#pragma once

#include "core/Backpressure.h"
#include "core/DirectorySync.h"
#include "core/QueryOfDeathFilter.h"
#include "core/RelayMessages.h"
#include "FleetAuth.h"

#include <variant>

namespace Gooseberrymill {

// Version of the message set. A peer that is one version behind is accepted. The versions between 1 and 4 were never
// released.
constexpr uint16_t relayVersion = 7;

// First frame of each side.
struct Hello {
    uint16_t version = relayVersion;
    Id128 nonce; // random, new for each connection
    std::string node;
    Id128 incarnation;
    template <class Archive> void serialize(Archive& archive) { archive(version, nonce, node, incarnation); }
};

// Tells the executor that the caller no longer waits for the request.
struct Cancel {
    Id128 requestId;
    template <class Archive> void serialize(Archive& archive) { archive(requestId); }
};

// Tells a node that runs the same service which requests were running when upstreams crashed, and which of the suspect
// requests have ended normally since. Idempotent.
struct CrashNotice {
    std::string service;
    std::vector<CrashReport> reports; // at most maxCrashReports
    std::vector<Fingerprint> cleared; // at most maxCrashReports
    bool wantsReports = false; // set by a node that has just started: the reply shall contain the reports of the peer
    template <class Archive> void serialize(Archive& archive) { archive(service, reports, cleared, wantsReports); }
};
constexpr size_t maxCrashReports = 1024;

// Acknowledges a CrashNotice.
struct CrashNoticeReply {
    std::vector<CrashReport> reports; // only if the notice had wantsReports set
    std::vector<Fingerprint> cleared; // reported requests that recently ended normally at this node
    template <class Archive> void serialize(Archive& archive) { archive(reports, cleared); }
};

// The kind of a frame is the index of its message in this variant plus one.
using RelayMessage = std::variant<Hello, RequestHead, BodyChunk, BodyEnd, ResponseHead, Refusal, Cancel, TokenQuery,
    TokenReply, ConfigurationQuery, ConfigurationReply, CrashNotice, CrashNoticeReply, DirectoryNotice, DirectoryReply,
    Continue, RequestContext, UpstreamNotice, DepartureNotice, DepartureReply, QuotaQuery, QuotaReply>;

// First relay version whose nodes understand the message. Must not be sent to a peer with an older version.
uint16_t firstVersionOf(const RelayMessage&);

enum class RelaySide : uint8_t { Client, Server };

// Identity of a node towards its peers, and the fleet key that authenticates it.
struct RelayIdentity {
    std::string fleetKey;
    std::string node;
    Id128 incarnation;
};

constexpr size_t frameHeaderBytes = 4 + 1 + 8; // length, kind and sequence number

// Encoder and decoder of one side of one connection. After an error the connection must be closed.
class RelayCodec {
public:
    RelayCodec(const RelayIdentity&, RelaySide, const Id128& nonce);

    // Appends a frame to `out`. The Hello is the first frame; nothing else can be encoded before the peer's
    // Hello was decoded. Fails with TooLarge or Invalid and then leaves `out` as it was.
    std::error_code encodeHello(std::string& out);
    std::error_code encode(const RelayMessage&, std::string& out);

    // Appends received bytes to the input buffer. Call next() afterwards until it returns no message.
    void feed(std::string_view bytes) { m_input.append(bytes); }

    // Decodes the next message if all of its bytes have arrived, and otherwise leaves `message` empty.
    // Errors: Malformed, TooLarge, NotAuthentic, Unsupported. An error is final: later calls return it again.
    std::error_code next(std::optional<RelayMessage>& message);

    bool isEstablished() const { return m_established; }
    const Hello& peer() const { return m_peerHello; }
    size_t bufferedBytes() const { return m_input.size() - m_consumedBytes; }

private:
    struct Direction {
        uint8_t label = 0; // sender: 'c' client, 's' server; part of the MAC input and of the session key
        std::string key;
        uint64_t sequence = 0;
    };

    std::error_code appendFrame(const RelayMessage&, std::string& out);
    std::error_code readFrame(std::optional<RelayMessage>& message);
    std::error_code acceptHello(const RelayMessage& message);
    std::string sessionKey(uint8_t label) const;
    void discardConsumedInput();

    Hello m_ownHello;
    Hello m_peerHello;
    RelaySide m_side;
    std::string m_fleetKey;
    Direction m_send;
    Direction m_receive;
    bool m_established = false;
    std::error_code m_error;
    std::string m_input;
    size_t m_consumedBytes = 0; // bytes at the front of m_input that are already decoded
    std::string m_authenticatedBytes; // input of the MAC; a member so that its allocation is reused
};

// Largest payload of a kind of frame; zero for an unknown kind.
size_t maxPayloadBytes(uint8_t kind);

} // namespace Gooseberrymill

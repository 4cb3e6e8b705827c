#define BOOST_TEST_MODULE RelayFrames
#include "node/FrameCompression.h"
#include "node/RelayFrames.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace Gooseberrymill;

namespace {

const RelayIdentity identity { "a key for tests only", "node-a", { 1, 2 } };

// Both sides of a connection after the exchange of Hello frames.
struct Pair {
    RelayCodec client { identity, RelaySide::Client, { 10, 11 } };
    RelayCodec server { identity, RelaySide::Server, { 20, 21 } };
    std::string clientHello;
    std::string serverHello;

    Pair()
    {
        std::optional<RelayMessage> message;
        BOOST_REQUIRE(!client.encodeHello(clientHello));
        BOOST_REQUIRE(!server.encodeHello(serverHello));
        server.feed(clientHello);
        client.feed(serverHello);
        BOOST_REQUIRE(!server.next(message));
        BOOST_REQUIRE(message);
        BOOST_REQUIRE(!client.next(message));
        BOOST_REQUIRE(message);
    }
};

std::string encoded(RelayCodec& codec, const RelayMessage& message)
{
    std::string out;
    BOOST_REQUIRE(!codec.encode(message, out));
    return out;
}

RequestHead sampleHead()
{
    RequestHead head;
    head.requestId = { 7, 8 };
    head.service = "shop";
    head.method = "PUT";
    head.target = "/a?b=c";
    head.headers = { { "Accept", "*/*" }, { "X", "" } };
    head.bodyLength = -1;
    head.operationKind = OperationKind::Token;
    return head;
}

// The largest crash notice that may be sent.
CrashNotice largestNotice()
{
    CrashNotice notice { "shop", {}, std::vector<Fingerprint>(maxCrashReports, 5), true };
    for (uint64_t i = 0; i < maxCrashReports; ++i)
        notice.reports.push_back({ { i, 1 }, i, 2 });
    return notice;
}

std::vector<RelayMessage> sampleMessages()
{
    ResponseHead response;
    response.status = 204;
    response.load = { 1, 2, 3, UpstreamState::Degraded };
    response.proof = { 23, 24 };
    Refusal refusal;
    refusal.reason = RefusalReason::SlotsTaken;
    refusal.proof = { 25, 26 };
    refusal.step = "executor.admission";
    refusal.dispatched = true;
    ConfigurationReply reply;
    reply.newer.push_back({ "main", 4, "change", "author", std::string(100000, 'x') });
    DirectoryNotice notice { "node-a", true, true, true, 11, 12, { NodeRecord() }, { 13, 14 } };
    notice.records[0].name = "node-b";
    notice.proof = { 27, 28 };
    notice.echo = 29;
    return { sampleHead(), BodyChunk { std::string(maxChunkBytes, 'b') }, BodyEnd {}, response, refusal,
        Cancel { { 1, 1 } }, TokenQuery { { 2, 2 }, "shop" }, TokenReply { { 3, 3 }, { 4, 4 }, { 5, 5 }, 6 },
        ConfigurationQuery { { { "main", 3, "", "", "" } } }, reply, largestNotice(),
        CrashNoticeReply { { { { 6, 7 }, 8, 9 } }, { 10 } }, notice, DirectoryReply { 15, 16, notice.records, { 17 } },
        Continue { { 18, 19 } }, RequestContext { true, { "i-1@5", 1.5, 0, true } },
        UpstreamNotice { "i-1@5", 0.25, 700, false }, DepartureNotice { "node-a", { 20, 21 }, { { "i-1", 22 } } },
        DepartureReply {}, QuotaQuery { "archive", 2, 1 }, QuotaReply { 1, 250 } };
}

void appendBigEndian(std::string& out, uint64_t value, size_t bytes)
{
    for (size_t i = bytes; i-- > 0;)
        out.push_back(static_cast<char>(value >> (8 * i)));
}

std::string macOf(std::string_view key, std::string_view data)
{
    auto bytes = [](std::string_view text) {
        return std::span<const uint8_t>(reinterpret_cast<const uint8_t*>(text.data()), text.size());
    };
    Mac mac = computeMac(bytes(key), bytes(data));
    return { reinterpret_cast<const char*>(mac.data()), mac.size() };
}

// A frame from the client with an arbitrary payload and a valid MAC.
std::string forgedFrame(std::string_view key, uint8_t kind, uint64_t sequence, std::string_view payload)
{
    std::string frame;
    appendBigEndian(frame, 1 + 8 + payload.size() + macBytes, 4);
    frame.push_back(static_cast<char>(kind));
    appendBigEndian(frame, sequence, 8);
    frame += payload;
    return frame + macOf(key, "c" + frame);
}

// The session key of frames from the client in a connection of `Pair`.
std::string clientKey()
{
    std::string input = "relay session c";
    for (uint64_t part : { 10, 11, 20, 21 })
        appendBigEndian(input, part, 8);
    return macOf(identity.fleetKey, input);
}

std::string littleEndian(uint64_t value)
{
    std::string out;
    for (size_t i = 0; i < 8; ++i)
        out.push_back(static_cast<char>(value >> (8 * i)));
    return out;
}

// Decodes an authenticated frame with the given payload on an established connection; expects no message.
std::error_code decodeForged(uint8_t kind, std::string_view payload)
{
    Pair pair;
    std::optional<RelayMessage> message;
    pair.server.feed(forgedFrame(clientKey(), kind, 1, payload));
    auto ec = pair.server.next(message);
    BOOST_TEST(!message);
    return ec;
}

} // namespace

// Guards against a field that encoding or decoding loses or changes, and against decoding a frame that has only arrived
// in part.
BOOST_AUTO_TEST_CASE(everyMessageRoundTrips)
{
    Pair pair;
    for (const RelayMessage& message : sampleMessages()) {
        std::string frame = encoded(pair.client, message);
        std::optional<RelayMessage> decoded;
        pair.server.feed(frame.substr(0, frame.size() - 1));
        BOOST_TEST(!pair.server.next(decoded));
        BOOST_TEST(!decoded);
        pair.server.feed(frame.substr(frame.size() - 1));
        BOOST_TEST(!pair.server.next(decoded));
        BOOST_REQUIRE(decoded);
        BOOST_TEST(decoded->index() == message.index());
        Pair fresh;
        Pair other;
        BOOST_TEST(encoded(fresh.client, *decoded) == encoded(other.client, message));
    }
}

// Guards against accepting a frame with any single byte changed.
BOOST_AUTO_TEST_CASE(rejectsEveryChangedByte)
{
    Pair source;
    std::string frame = encoded(source.client, sampleHead());
    for (size_t i = 0; i < frame.size(); ++i) {
        Pair pair;
        std::string changed = frame;
        changed[i] = static_cast<char>(changed[i] ^ 0x20);
        std::optional<RelayMessage> message;
        pair.server.feed(changed);
        auto ec = pair.server.next(message);
        BOOST_TEST(!message);
        BOOST_TEST((ec || i < 4)); // a longer length only makes the decoder wait
    }
}

// Guards against accepting frames that are replayed, reordered, reflected or recorded on another connection.
BOOST_AUTO_TEST_CASE(rejectsFramesOutOfPlace)
{
    std::optional<RelayMessage> message;
    {
        Pair pair;
        std::string frame = encoded(pair.client, BodyEnd {});
        pair.server.feed(frame + frame);
        BOOST_TEST(!pair.server.next(message));
        BOOST_TEST((pair.server.next(message) == ErrorCode::NotAuthentic));
        BOOST_TEST((pair.server.next(message) == ErrorCode::NotAuthentic)); // errors are final
    }
    {
        Pair pair;
        std::string first = encoded(pair.client, BodyEnd {});
        pair.server.feed(encoded(pair.client, BodyEnd {}) + first);
        BOOST_TEST((pair.server.next(message) == ErrorCode::NotAuthentic));
    }
    {
        Pair pair;
        pair.client.feed(encoded(pair.client, BodyEnd {}));
        BOOST_TEST((pair.client.next(message) == ErrorCode::NotAuthentic));
    }
    {
        Pair pair;
        RelayCodec other(identity, RelaySide::Server, { 30, 31 });
        std::string hello;
        BOOST_TEST(!other.encodeHello(hello));
        other.feed(pair.clientHello);
        BOOST_TEST(!other.next(message)); // a replayed Hello is accepted, but no frame after it
        other.feed(encoded(pair.client, BodyEnd {}));
        BOOST_TEST((other.next(message) == ErrorCode::NotAuthentic));
    }
}

// Guards against accepting a node of another fleet, and a Hello reflected to its sender.
BOOST_AUTO_TEST_CASE(rejectsForeignHello)
{
    std::optional<RelayMessage> message;
    RelayIdentity foreign = identity;
    foreign.fleetKey = "another key for tests";
    RelayCodec stranger(foreign, RelaySide::Client, { 1, 1 });
    RelayCodec server(identity, RelaySide::Server, { 2, 2 });
    std::string hello;
    BOOST_TEST(!stranger.encodeHello(hello));
    server.feed(hello);
    BOOST_TEST((server.next(message) == ErrorCode::NotAuthentic));

    RelayCodec client(identity, RelaySide::Client, { 3, 3 });
    std::string own;
    BOOST_TEST(!client.encodeHello(own));
    client.feed(own);
    BOOST_TEST((client.next(message) == ErrorCode::NotAuthentic));
}

// Guards against sending messages before the peer's Hello has arrived, and against accepting a second Hello.
BOOST_AUTO_TEST_CASE(enforcesHelloFirst)
{
    RelayCodec client(identity, RelaySide::Client, { 3, 3 });
    std::string out;
    BOOST_TEST((client.encode(BodyEnd {}, out) == ErrorCode::Invalid));
    BOOST_TEST(out.empty());
    Pair pair;
    std::optional<RelayMessage> message;
    BOOST_TEST((pair.client.encodeHello(out) == ErrorCode::Invalid));
    pair.server.feed(pair.clientHello);
    BOOST_TEST((pair.server.next(message) == ErrorCode::Malformed));
}

// Guards against allocating memory of a size taken from an unchecked length field.
BOOST_AUTO_TEST_CASE(boundsLengths)
{
    std::optional<RelayMessage> message;
    for (uint8_t kind = 2; kind <= std::variant_size_v<RelayMessage>; ++kind) {
        Pair pair;
        std::string header;
        appendBigEndian(header, maxPayloadBytes(kind) + 1 + 8 + macBytes + 1, 4);
        header.push_back(static_cast<char>(kind));
        pair.server.feed(header);
        BOOST_TEST((pair.server.next(message) == ErrorCode::TooLarge));
    }
    std::string flag(1, '\x01');
    std::string huge = flag + littleEndian(uint64_t(1) << 60);
    BOOST_TEST((decodeForged(3, huge) == ErrorCode::Malformed)); // string of a body chunk
    BOOST_TEST((decodeForged(10, huge) == ErrorCode::Malformed)); // vector of documents
    BOOST_TEST((decodeForged(10, flag + littleEndian(3) + std::string(23, '\0')) == ErrorCode::Malformed));
    std::string out;
    Pair pair;
    BOOST_TEST((pair.client.encode(BodyChunk { std::string(maxChunkBytes + 100, 'x') }, out) == ErrorCode::TooLarge));
    BOOST_TEST(out.empty());
}

// Guards against accepting values outside their enumeration, trailing bytes, an unsupported byte order and unknown
// kinds.
BOOST_AUTO_TEST_CASE(rejectsInvalidPayloads)
{
    std::string flag(1, '\x01');
    BOOST_TEST((decodeForged(4, flag + "x") == ErrorCode::Malformed)); // bytes after BodyEnd
    BOOST_TEST((decodeForged(4, std::string(1, '\0')) == ErrorCode::Malformed));
    BOOST_TEST((decodeForged(4, "") == ErrorCode::Malformed));
    BOOST_TEST((decodeForged(std::variant_size_v<RelayMessage> + 1, flag) == ErrorCode::Malformed));
    BOOST_TEST((decodeForged(0, flag) == ErrorCode::Malformed));
    std::string refusal = flag + std::string(16, '\0') + '\x07'; // outcome 7
    refusal += std::string(1 + 4 + 4 + 1 + 8 + 8 + 16 + 12 + 1 + 1, '\0');
    BOOST_TEST((decodeForged(6, refusal) == ErrorCode::Malformed));
    refusal[17] = 0;
    Pair pair;
    std::optional<RelayMessage> message;
    pair.server.feed(forgedFrame(clientKey(), 6, 1, refusal));
    BOOST_TEST(!pair.server.next(message)); // the same bytes with a valid outcome are accepted
    BOOST_TEST(message.has_value());
}

// Guards against a crash notice that makes a node store more than its limit, and against renumbering existing kinds,
// which would break compatibility with nodes of the previous release.
BOOST_AUTO_TEST_CASE(boundsCrashNotices)
{
    constexpr uint8_t noticeKind = 12;
    static_assert(std::is_same_v<std::variant_alternative_t<noticeKind - 1, RelayMessage>, CrashNotice>);
    static_assert(std::is_same_v<std::variant_alternative_t<10, RelayMessage>, ConfigurationReply>);
    std::string flag(1, '\x01');
    std::string service = littleEndian(0);
    std::string huge = littleEndian(uint64_t(1) << 60);
    BOOST_TEST((decodeForged(noticeKind, flag + service + huge) == ErrorCode::Malformed)); // reports
    BOOST_TEST((decodeForged(noticeKind, flag + service + littleEndian(0) + huge) == ErrorCode::Malformed)); // cleared
    BOOST_TEST((decodeForged(noticeKind + 1, flag + huge) == ErrorCode::Malformed));
    std::string many = littleEndian(maxCrashReports + 1) + std::string((maxCrashReports + 1) * 8, 'x');
    std::string tooMany = flag + service + littleEndian(0) + many + '\0';
    BOOST_TEST((decodeForged(noticeKind, tooMany) == ErrorCode::Malformed));
    std::string notFlag = flag + service + littleEndian(0) + littleEndian(0) + '\x02';
    BOOST_TEST((decodeForged(noticeKind, notFlag) == ErrorCode::Malformed));
    Pair pair;
    CrashNotice large = largestNotice();
    large.reports.resize(2 * maxCrashReports);
    std::string out;
    BOOST_TEST((pair.client.encode(large, out) == ErrorCode::TooLarge));
    BOOST_TEST(out.empty());
}

// Guards against a crash on random bytes, and against decoding them as a message, before and after the Hello.
RC_BOOST_PROP(survivesRandomBytes, (const std::string& bytes, bool established))
{
    Pair pair;
    RelayCodec fresh(identity, RelaySide::Server, { 9, 9 });
    RelayCodec& codec = established ? pair.server : fresh;
    codec.feed(bytes);
    std::optional<RelayMessage> message;
    auto ec = codec.next(message);
    RC_ASSERT(!message);
    RC_ASSERT(ec || bytes.size() < frameHeaderBytes + macBytes + maxPayloadBytes(11));
}

// Guards against a crash in the payload decoder, which an authenticated but faulty peer can reach.
RC_BOOST_PROP(survivesRandomPayloads, (const std::vector<uint8_t>& bytes))
{
    auto kind = *rc::gen::inRange<int>(2, std::variant_size_v<RelayMessage> + 1);
    Pair pair;
    std::string payload(1, '\x01');
    payload.append(bytes.begin(), bytes.end());
    pair.server.feed(forgedFrame(clientKey(), static_cast<uint8_t>(kind), 1, payload));
    std::optional<RelayMessage> message;
    auto ec = pair.server.next(message);
    RC_ASSERT(message.has_value() != static_cast<bool>(ec));
}

// Guards against sending configurations uncompressed to each node of a fleet, and against a decompression bomb: a small
// frame whose content needs unbounded memory.
BOOST_AUTO_TEST_CASE(compressesControlMessagesWithinTheirBounds)
{
    Pair pair;
    ConfigurationReply reply;
    reply.newer.push_back({ "main", 7, "change", "author", {} });
    for (int i = 0; i < 300; ++i)
        reply.newer[0].text += "[[route]]\nname = \"route-" + std::to_string(i) + "\"\nservice = \"bayaran\"\n";
    std::string text = reply.newer[0].text;
    std::string frame = encoded(pair.client, reply);
    BOOST_TEST(frame.size() < text.size() / 4);
    std::optional<RelayMessage> message;
    pair.server.feed(frame);
    BOOST_REQUIRE(!pair.server.next(message));
    BOOST_TEST(std::get<ConfigurationReply>(*message).newer.at(0).text == text);
    auto bomb = deflate(std::string(size_t { 64 } << 20, 'x'));
    BOOST_REQUIRE(bomb);
    BOOST_TEST(!inflate(*bomb, size_t { 8 } << 20));
    BOOST_TEST(!inflate("no deflate stream", 1024));
    BOOST_TEST(inflate(*deflate(std::string(4096, 'y')), 4096).value().size() == 4096U);
}

// Guards against compressing callers' data, whose compressed length could reveal its content.
BOOST_AUTO_TEST_CASE(sendsBodiesAsTheyAre)
{
    Pair pair;
    BOOST_TEST(encoded(pair.client, BodyChunk { std::string(8192, 'z') }).size() > 8192U);
}

// Guards against a message that a node of the release before cannot decode, which closes the connection.
BOOST_AUTO_TEST_CASE(newMessagesNeedANewPeer)
{
    for (const RelayMessage& message : sampleMessages()) {
        uint16_t expected = 1;
        if (std::holds_alternative<RequestContext>(message) || std::holds_alternative<UpstreamNotice>(message))
            expected = 5;
        if (std::holds_alternative<DepartureNotice>(message) || std::holds_alternative<DepartureReply>(message))
            expected = 6;
        if (std::holds_alternative<QuotaQuery>(message) || std::holds_alternative<QuotaReply>(message))
            expected = 7;
        BOOST_TEST(firstVersionOf(message) == expected);
    }
}

#define BOOST_TEST_MODULE GossipCodec
#include "GossipCodec.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

using namespace Gooseberrymill;

namespace {

const std::vector<uint8_t> fleetKey(32, 7);
const std::vector<uint8_t> otherKey(32, 8);

class MessageSource {
public:
    explicit MessageSource(uint64_t seed)
        : m_random(seed)
    {
    }

    size_t below(size_t n) { return m_random() % n; }
    std::string text(size_t limit) { return std::string(below(limit + 1), static_cast<char>('a' + below(26))); }

    MemberUpdate update()
    {
        MemberUpdate it;
        it.key = m_random();
        it.counter = below(1000000);
        it.status = static_cast<NodeStatus>(below(4));
        it.revision = static_cast<uint32_t>(m_random());
        if (below(2))
            it.identity = NodeIdentity { text(maxNameBytes), { m_random(), m_random() }, m_random(),
                text(maxAddressBytes), text(maxAddressBytes), { text(maxNameBytes), text(maxNameBytes) } };
        for (size_t n = below(3); n; --n)
            it.upstreams.push_back({ { text(maxNameBytes), text(maxNameBytes), 7, static_cast<UpstreamState>(below(6)),
                                         static_cast<float>(below(100)) / 7, 0.5F },
                m_random() });
        return it;
    }

    GossipMessage message(uint64_t sequence)
    {
        GossipMessage it;
        it.sender = fmt::format("node-{}", below(5));
        it.incarnation = { 1, std::hash<std::string> {}(it.sender) };
        it.kind = static_cast<GossipKind>(below(gossipKindCount));
        it.sequence = sequence;
        it.configurationDigest = m_random();
        it.probe = m_random();
        it.target = m_random();
        it.targetAddress = text(maxAddressBytes);
        it.cursor = text(maxNameBytes);
        it.isLast = below(2);
        for (size_t n = below(5); n; --n)
            it.wantedKeys.push_back(m_random());
        for (size_t n = below(4); n; --n) {
            it.updates.push_back(update());
            if (encodedSizeBound(it) > maxDatagramBytes) {
                it.updates.pop_back();
                break;
            }
        }
        if (encodedSizeBound(it) + 100 < maxDatagramBytes && below(2))
            it.health.push_back({ "upstream", { { 1, 100, 3, 4.5F, 0.25F } } });
        return it;
    }

private:
    std::mt19937_64 m_random;
};

std::vector<uint8_t> encodeChecked(const GossipCodec& codec, const GossipMessage& message)
{
    std::error_code ec;
    auto datagram = codec.encode(message, ec);
    BOOST_TEST_REQUIRE(!ec, ec.message());
    return datagram;
}

void sign(std::vector<uint8_t>& body)
{
    Mac mac = computeMac(fleetKey, body);
    body.insert(body.end(), mac.begin(), mac.end());
}

GossipMessage plainMessage(uint64_t sequence, uint64_t startedAt = 1, Id128 incarnation = { 1, 1 })
{
    GossipMessage it;
    it.sender = "node-1";
    it.startedAt = startedAt;
    it.incarnation = incarnation;
    it.sequence = sequence;
    return it;
}

} // namespace

// Guards against fields that are lost or changed on the wire, and against datagrams larger than encodedSizeBound().
BOOST_AUTO_TEST_CASE(messagesRoundTripWithinBound)
{
    for (uint64_t seed : { 1, 2, 3 }) {
        GossipCodec codec(fleetKey);
        MessageSource source(seed);
        for (uint64_t i = 1; i <= 3000; ++i) {
            GossipMessage message = source.message(i);
            auto datagram = encodeChecked(codec, message);
            BOOST_TEST_REQUIRE(datagram.size() <= encodedSizeBound(message));
            BOOST_TEST_REQUIRE(datagram.size() <= maxDatagramBytes);
            std::error_code ec;
            auto decoded = codec.decode(datagram, ec);
            BOOST_TEST_REQUIRE(decoded.has_value(), ec.message());
            BOOST_TEST((decoded->updates == message.updates));
            BOOST_TEST(decoded->wantedKeys == message.wantedKeys);
            BOOST_TEST(decoded->health.size() == message.health.size());
            // Encoding again must give the same bytes, which covers the fields not compared above.
            BOOST_TEST_REQUIRE(encodeChecked(codec, *decoded) == datagram);
        }
    }
}

// Guards against sending a message that exceeds a bound, and against the encoder writing past its buffer.
BOOST_AUTO_TEST_CASE(encoderRejectsExceededBounds)
{
    GossipCodec codec(fleetKey);
    std::error_code ec;
    auto rejects = [&](const GossipMessage& message) {
        auto datagram = codec.encode(message, ec);
        return datagram.empty() && ec == make_error_code(ErrorCode::TooLarge);
    };
    GossipMessage message = plainMessage(1);
    message.sender = std::string(maxNameBytes + 1, 'x');
    BOOST_TEST(rejects(message));
    message = plainMessage(1);
    message.wantedKeys.resize(maxWantedKeysPerMessage + 1);
    BOOST_TEST(rejects(message));
    message = plainMessage(1);
    message.updates.resize(maxUpdatesPerMessage + 1);
    BOOST_TEST(rejects(message));
    message = plainMessage(1);
    message.updates.resize(
        maxUpdatesPerMessage); // each update is within its bounds, but together they exceed a datagram
    BOOST_TEST(rejects(message));
}

// Guards against accepting datagrams that are forged, altered or authenticated with the key of another fleet.
BOOST_AUTO_TEST_CASE(wrongKeyAndAlteredBytesAreCounted)
{
    GossipCodec codec(fleetKey);
    GossipCodec foreign(otherKey);
    std::error_code ec;
    BOOST_TEST(!codec.decode(encodeChecked(foreign, plainMessage(1)), ec));
    BOOST_TEST((ec == make_error_code(ErrorCode::NotAuthentic)));
    auto datagram = encodeChecked(codec, plainMessage(1));
    for (size_t i = 0; i < datagram.size(); ++i) {
        auto altered = datagram;
        altered[i] ^= 0x10;
        BOOST_TEST(!codec.decode(altered, ec));
        BOOST_TEST((ec == make_error_code(ErrorCode::NotAuthentic)));
    }
    BOOST_TEST(codec.drops().notAuthentic == datagram.size() + 1);
    BOOST_TEST(codec.decode(datagram, ec).has_value());
}

// Guards against accepting a replayed datagram, and against rejecting a reordered one as a replay.
BOOST_AUTO_TEST_CASE(replaysAreRejectedAndReorderingIsNot)
{
    GossipCodec codec(fleetKey);
    std::error_code ec;
    auto accepts
        = [&](uint64_t sequence) { return codec.decode(encodeChecked(codec, plainMessage(sequence)), ec).has_value(); };
    BOOST_TEST(!accepts(0));
    BOOST_TEST(accepts(10));
    BOOST_TEST(!accepts(10));
    BOOST_TEST(accepts(8));
    BOOST_TEST(!accepts(8));
    BOOST_TEST(accepts(9));
    BOOST_TEST(accepts(73));
    BOOST_TEST(accepts(11)); // oldest one in the window of 64
    BOOST_TEST(!accepts(7)); // below the window
    BOOST_TEST(accepts(1000000));
    BOOST_TEST(!accepts(73));
    BOOST_TEST(codec.drops().replayed == 5U);
}

// Guards against accepting datagrams of a process that has ended after datagrams of its successor were received.
BOOST_AUTO_TEST_CASE(olderIncarnationIsRejected)
{
    GossipCodec codec(fleetKey);
    std::error_code ec;
    BOOST_TEST(codec.decode(encodeChecked(codec, plainMessage(500, 10, { 1, 1 })), ec).has_value());
    BOOST_TEST(codec.decode(encodeChecked(codec, plainMessage(1, 20, { 9, 9 })), ec).has_value());
    BOOST_TEST(!codec.decode(encodeChecked(codec, plainMessage(501, 10, { 1, 1 })), ec).has_value());
    BOOST_TEST(codec.drops().staleIncarnation == 1U);
}

// Guards against replay state that grows without bound when senders are made up.
BOOST_AUTO_TEST_CASE(replayStateIsBounded)
{
    ReplayFilter filter(100);
    GossipDrops drops;
    for (int i = 0; i < 1000; ++i) {
        GossipMessage message = plainMessage(1);
        message.sender = fmt::format("node-{}", i);
        BOOST_TEST(!filter.check(message, drops));
    }
    BOOST_TEST(filter.size() == 100U);
}

// Guards against crashes, memory growth and uncounted drops on malformed input. Most of it carries a valid MAC, as from
// a faulty peer of the fleet.
BOOST_AUTO_TEST_CASE(fuzzedDatagramsEndInCountedErrors)
{
    for (uint64_t seed : { 11, 12, 13, 14 }) {
        GossipCodec codec(fleetKey);
        MessageSource source(seed);
        uint64_t failures = 0;
        for (uint64_t i = 1; i <= 10000; ++i) {
            auto body = encodeChecked(codec, source.message(i));
            body.resize(body.size() - macBytes);
            switch (source.below(4)) {
            case 0: // truncated
                body.resize(source.below(body.size()));
                break;
            case 1: // extended
                body.resize(body.size() + 1 + source.below(1500));
                break;
            case 2: // a few bytes changed, lengths and counts among them
                for (size_t n = 1 + source.below(4); n; --n)
                    body[source.below(body.size())] = static_cast<uint8_t>(source.below(256));
                break;
            default: // random bytes
                for (uint8_t& it : body)
                    it = static_cast<uint8_t>(source.below(256));
            }
            if (source.below(8))
                sign(body);
            std::error_code ec;
            auto decoded = codec.decode(body, ec);
            BOOST_TEST_REQUIRE(decoded.has_value() == !ec);
            failures += !decoded;
            if (decoded) {
                // An accepted message is within all bounds, so it must be possible to encode it again.
                BOOST_TEST_REQUIRE(!encodeChecked(codec, *decoded).empty());
            }
        }
        BOOST_TEST(codec.drops().total() == failures);
        BOOST_TEST(failures > 5000U);
        BOOST_TEST(codec.replayFilter().size() <= 10000U);
        const GossipDrops& drops = codec.drops();
        BOOST_TEST_MESSAGE("seed " << seed << ": malformed " << drops.malformed << ", too large " << drops.tooLarge
                                   << ", not authentic " << drops.notAuthentic << ", unsupported " << drops.unsupported
                                   << ", replayed " << drops.replayed);
    }
}

// Guards against valid messages with hostile content that corrupt the membership state machine.
BOOST_AUTO_TEST_CASE(fuzzedMessagesDoNotHarmMembership)
{
    for (uint64_t seed : { 21, 22 }) {
        GossipCodec codec(fleetKey);
        MessageSource source(seed);
        NodeRecord self;
        self.name = "self";
        self.incarnation = { 77, 78 };
        self.gossipAddress = "10.0.0.1:1";
        Membership membership({}, self, seed, Instant {});
        Instant now {};
        for (uint64_t i = 1; i <= 3000; ++i) {
            now += 50ms;
            membership.received(source.message(i), "10.0.0.2:1", now);
            membership.tick(now);
            for (const OutgoingGossip& out : membership.takeMessages()) {
                std::error_code ec;
                auto datagram = codec.encode(out.message, ec);
                BOOST_TEST_REQUIRE(!ec, ec.message());
                BOOST_TEST_REQUIRE(datagram.size() <= encodedSizeBound(out.message));
            }
            membership.takeChanges();
        }
        BOOST_TEST((membership.self().status == NodeStatus::Alive));
    }
}

#include "RelayFrames.h"

#include "FrameCompression.h"

#include <algorithm>
#include <bit>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <streambuf>

namespace Gooseberrymill {

namespace detail {

// Reads cereal's portable binary format from memory. Unlike cereal's own input archive it checks each size against the
// remaining bytes before it allocates memory for it.
class BoundedInputArchive : public cereal::InputArchive<BoundedInputArchive, cereal::AllowEmptyClassElision> {
public:
    explicit BoundedInputArchive(std::string_view bytes)
        : InputArchive(this)
        , m_bytes(bytes)
    {
        uint8_t isLittleEndian = 0;
        read(&isLittleEndian, 1);
        if (isLittleEndian != 1)
            throw cereal::Exception("unsupported byte order");
    }

    void read(void* data, size_t size)
    {
        if (size > m_bytes.size())
            throw cereal::Exception("unexpected end of payload");
        std::copy_n(m_bytes.data(), size, static_cast<char*>(data));
        m_bytes.remove_prefix(size);
    }

    template <typename T> void readNumber(T& value)
    {
        std::array<char, sizeof(T)> raw {};
        read(raw.data(), raw.size());
        if constexpr (std::endian::native == std::endian::big)
            std::reverse(raw.begin(), raw.end());
        value = std::bit_cast<T>(raw);
    }

    void readFlag(bool& value)
    {
        uint8_t raw = 0;
        read(&raw, 1);
        if (raw > 1)
            throw cereal::Exception("flag");
        value = raw;
    }

    // Rejects a count that the remaining bytes cannot hold. `elementBytes`: least encoded size of an element.
    void checkElementCount(uint64_t count, size_t elementBytes) const
    {
        if (count > m_bytes.size() / elementBytes)
            throw cereal::Exception("size");
    }

    size_t remainingBytes() const { return m_bytes.size(); }

private:
    std::string_view m_bytes;
};

template <typename T>
requires std::is_arithmetic_v<T>
void load(BoundedInputArchive& archive, T& value)
{
    if constexpr (std::is_same_v<T, bool>)
        archive.readFlag(value);
    else
        archive.readNumber(value);
}

template <typename T> void serialize(BoundedInputArchive& archive, cereal::NameValuePair<T>& pair)
{
    archive(pair.value);
}

template <typename T> void serialize(BoundedInputArchive& archive, cereal::SizeTag<T>& tag)
{
    archive(tag.size);
    archive.checkElementCount(tag.size, 1);
}

template <typename T> void load(BoundedInputArchive& archive, cereal::BinaryData<T>& data)
{
    archive.read(data.data, data.size);
}

// Stream buffer that appends to a string.
class StringSink : public std::streambuf {
public:
    explicit StringSink(std::string& out)
        : m_out(out)
    {
    }

protected:
    std::streamsize xsputn(const char* data, std::streamsize size) override
    {
        m_out.append(data, static_cast<size_t>(size));
        return size;
    }
    int_type overflow(int_type c) override
    {
        m_out.push_back(static_cast<char>(c));
        return c;
    }

private:
    std::string& m_out;
};

} // namespace detail

} // namespace Gooseberrymill

namespace cereal {

namespace traits::detail {
template <> struct get_output_from_input<Gooseberrymill::detail::BoundedInputArchive> {
    using type = cereal::PortableBinaryOutputArchive;
};
} // namespace traits::detail

// Overload preferred to cereal's own loader for vectors. The elements here are structures: each takes at least one size
// field on the wire but several times as much in memory, so the count is checked against that before allocating.
template <class T, class A> void load(Gooseberrymill::detail::BoundedInputArchive& archive, std::vector<T, A>& vector)
{
    uint64_t count = 0;
    archive(count);
    archive.checkElementCount(count, sizeof(uint64_t));
    vector.resize(count);
    for (T& element : vector)
        archive(element);
}

} // namespace cereal

namespace Gooseberrymill {

namespace {

constexpr size_t lengthBytes = 4;
// What the length field of a frame counts in addition to the payload.
constexpr size_t frameOverheadBytes = frameHeaderBytes - lengthBytes + macBytes;
constexpr size_t sequenceOffset = lengthBytes + 1;
constexpr size_t maxHeadBytes = 128 << 10;
constexpr uint8_t compressedFlag = 0x80; // bit of the kind byte: the payload is compressed by DEFLATE
constexpr size_t minCompressedBytes = 512; // smaller payloads are not compressed, because they gain too little
constexpr uint16_t firstVersionWithExtensions = 7;
constexpr size_t maxCrashBytes = maxCrashReports * (sizeof(Id128) + sizeof(uint32_t) + 2 * sizeof(Fingerprint)) + 1024;

constexpr size_t maxDepartureBytes = maxDeparturesPerNode * 512 + 512;
constexpr size_t maxDirectoryBytes = 4 << 20; // holds 6,100 node records of at most 600 bytes each

// Largest payload in bytes for each kind of message, in the order of RelayMessage.
constexpr std::array<size_t, std::variant_size_v<RelayMessage>> payloadLimits {
    1024, // hello
    maxHeadBytes, // requestHead
    maxChunkBytes + 64, // bodyChunk
    64, // bodyEnd
    maxHeadBytes, // responseHead
    4096, // refusal
    64, // cancel
    1024, // tokenQuery
    128, // tokenReply
    256 << 10, // configurationQuery
    8 << 20, // configurationReply
    maxCrashBytes, // crashNotice
    maxCrashBytes, // crashNoticeReply
    maxDirectoryBytes, // directoryNotice
    maxDirectoryBytes, // directoryReply
    64, // continue
    1024, // requestContext
    1024, // upstreamNotice
    maxDepartureBytes, // departureNotice
    64, // departureReply
    1024, // quotaQuery
    64, // quotaReply
};

void writeBigEndian(std::string& out, size_t at, uint64_t value, size_t bytes)
{
    for (size_t i = 0; i < bytes; ++i)
        out[at + i] = static_cast<char>(value >> (8 * (bytes - 1 - i)));
}

uint64_t readBigEndian(std::string_view in, size_t at, size_t bytes)
{
    uint64_t value = 0;
    for (size_t i = 0; i < bytes; ++i)
        value = value << 8 | static_cast<uint8_t>(in[at + i]);
    return value;
}

std::span<const uint8_t> asBytes(std::string_view text)
{
    return { reinterpret_cast<const uint8_t*>(text.data()), text.size() };
}

// A message with fields that were added after its first version; see core/RelayMessages.h.
template <typename Message, typename Archive>
concept Extended = requires(Message message, Archive archive)
{
    Message::serializeExtension(archive, message);
};

void writePayload(const RelayMessage& message, uint16_t peerVersion, std::string& out)
{
    detail::StringSink sink(out);
    std::ostream stream(&sink);
    cereal::PortableBinaryOutputArchive archive(stream, cereal::PortableBinaryOutputArchive::Options::LittleEndian());
    std::visit(
        [&]<typename Message>(const Message& value) {
            archive(value);
            if constexpr (Extended<Message, cereal::PortableBinaryOutputArchive>) {
                if (peerVersion >= firstVersionWithExtensions)
                    Message::serializeExtension(archive, value);
            }
        },
        message);
}

template <typename Enum> bool isAtMost(Enum value, Enum last) { return value <= last; }

bool isValid(const LoadReport& load) { return isAtMost(load.state, UpstreamState::Gone); }
bool isValid(const RequestHead& head)
{
    return isAtMost(head.operationKind, OperationKind::Token) && head.bodyLength >= -1;
}
bool isValid(const ResponseHead& head)
{
    return isValid(head.load) && head.bodyLength >= -1 && head.status >= 100 && head.status <= 999;
}
bool isValid(const Refusal& refusal)
{
    return isValid(refusal.load) && isAtMost(refusal.outcome, Outcome::Ran)
        && isAtMost(refusal.reason, RefusalReason::SlotsTaken);
}
bool isValid(const UpstreamNotice& notice) { return notice.rate >= 0 && notice.rate <= maxUpstreamRate; }
bool isValid(const RequestContext& context) { return isValid(context.notice); }
bool isValid(const BodyChunk& chunk) { return chunk.bytes.size() <= maxChunkBytes; }
bool isValid(const CrashNotice& notice)
{
    return notice.reports.size() <= maxCrashReports && notice.cleared.size() <= maxCrashReports;
}
bool isValid(const CrashNoticeReply& reply)
{
    return reply.reports.size() <= maxCrashReports && reply.cleared.size() <= maxCrashReports;
}
bool isValid(const NodeRecord& record)
{
    auto isValidUpstream = [](const UpstreamRecord& it) { return isAtMost(it.state, UpstreamState::Gone); };
    return isAtMost(record.status, NodeStatus::Left) && !record.name.empty()
        && std::ranges::all_of(record.upstreams, isValidUpstream);
}
bool isValid(const DirectoryNotice& notice)
{
    return std::ranges::all_of(notice.records, [](const NodeRecord& it) { return isValid(it); });
}
bool isValid(const DirectoryReply& reply)
{
    return std::ranges::all_of(reply.records, [](const NodeRecord& it) { return isValid(it); });
}
bool isValid(const DepartureNotice& notice)
{
    return !notice.node.empty() && notice.departures.size() <= maxDeparturesPerNode;
}
template <typename T> bool isValid(const T& /*message*/) { return true; }

// Control messages contain many repeated names and compress well. Requests and responses carry callers' data and are
// never compressed, because the compressed length could reveal their content.
bool isCompressible(const RelayMessage& message)
{
    return std::holds_alternative<ConfigurationReply>(message) || std::holds_alternative<DirectoryNotice>(message)
        || std::holds_alternative<DirectoryReply>(message);
}

// Default-constructed message of the variant alternative at the index `wanted`.
template <size_t index = 0> RelayMessage emptyMessage(size_t wanted)
{
    if constexpr (index + 1 < std::variant_size_v<RelayMessage>) {
        if (wanted != index)
            return emptyMessage<index + 1>(wanted);
    }
    return RelayMessage(std::in_place_index<index>);
}

std::error_code readPayload(size_t index, std::string_view payload, std::optional<RelayMessage>& message)
{
    try {
        RelayMessage value = emptyMessage(index);
        detail::BoundedInputArchive archive(payload);
        std::visit(
            [&]<typename Message>(Message& body) {
                archive(body);
                if constexpr (Extended<Message, detail::BoundedInputArchive>) {
                    if (archive.remainingBytes())
                        Message::serializeExtension(archive, body);
                }
            },
            value);
        if (archive.remainingBytes() || !std::visit([](const auto& body) { return isValid(body); }, value))
            return ErrorCode::Malformed;
        message = std::move(value);
        return {};
    } catch (const std::exception&) {
        return ErrorCode::Malformed;
    }
}

} // namespace

uint16_t firstVersionOf(const RelayMessage& message)
{
    if (std::holds_alternative<QuotaQuery>(message) || std::holds_alternative<QuotaReply>(message))
        return 7;
    if (std::holds_alternative<DepartureNotice>(message) || std::holds_alternative<DepartureReply>(message))
        return 6;
    bool isNew = std::holds_alternative<RequestContext>(message) || std::holds_alternative<UpstreamNotice>(message);
    return isNew ? 5 : 1;
}

size_t maxPayloadBytes(uint8_t kind)
{
    return kind >= 1 && kind <= payloadLimits.size() ? payloadLimits.at(kind - 1) : 0;
}

RelayCodec::RelayCodec(const RelayIdentity& identity, RelaySide side, const Id128& nonce)
    : m_ownHello { relayVersion, nonce, identity.node, identity.incarnation }
    , m_side(side)
    , m_fleetKey(identity.fleetKey)
    , m_send { static_cast<uint8_t>(side == RelaySide::Client ? 'c' : 's'), identity.fleetKey, 0 }
    , m_receive { static_cast<uint8_t>(side == RelaySide::Client ? 's' : 'c'), identity.fleetKey, 0 }
{
}

std::error_code RelayCodec::encodeHello(std::string& out)
{
    if (m_send.sequence)
        return ErrorCode::Invalid;
    auto ec = appendFrame(m_ownHello, out);
    if (!ec && m_established)
        m_send.key = sessionKey(m_send.label);
    return ec;
}

std::error_code RelayCodec::encode(const RelayMessage& message, std::string& out)
{
    if (!m_established || !m_send.sequence || std::holds_alternative<Hello>(message))
        return ErrorCode::Invalid;
    return appendFrame(message, out);
}

std::error_code RelayCodec::appendFrame(const RelayMessage& message, std::string& out)
{
    auto kind = static_cast<uint8_t>(message.index() + 1);
    constexpr size_t payloadStart = 1 + frameHeaderBytes;
    m_authenticatedBytes.assign(payloadStart, '\0'); // byte 0: direction label, authenticated but not sent
    m_authenticatedBytes[0] = static_cast<char>(m_send.label);
    writePayload(message, m_peerHello.version, m_authenticatedBytes);
    size_t payload = m_authenticatedBytes.size() - payloadStart;
    if (payload > maxPayloadBytes(kind))
        return ErrorCode::TooLarge;
    auto compressed = isCompressible(message) && payload >= minCompressedBytes
        ? deflate(std::string_view(m_authenticatedBytes).substr(payloadStart))
        : std::nullopt;
    if (compressed) {
        m_authenticatedBytes.replace(payloadStart, payload, *compressed);
        payload = compressed->size();
        kind |= compressedFlag;
    }
    writeBigEndian(m_authenticatedBytes, 1, payload + frameOverheadBytes, lengthBytes);
    m_authenticatedBytes[1 + lengthBytes] = static_cast<char>(kind);
    writeBigEndian(m_authenticatedBytes, 1 + sequenceOffset, m_send.sequence++, sizeof(uint64_t));
    Mac mac = computeMac(asBytes(m_send.key), asBytes(m_authenticatedBytes));
    out.append(m_authenticatedBytes, 1);
    out.append(reinterpret_cast<const char*>(mac.data()), mac.size());
    return {};
}

std::error_code RelayCodec::next(std::optional<RelayMessage>& message)
{
    message.reset();
    if (!m_error)
        m_error = readFrame(message);
    return m_error;
}

std::error_code RelayCodec::readFrame(std::optional<RelayMessage>& message)
{
    std::string_view input = std::string_view(m_input).substr(m_consumedBytes);
    if (input.size() <= lengthBytes) {
        discardConsumedInput();
        return {};
    }
    size_t length = readBigEndian(input, 0, lengthBytes);
    auto flaggedKind = static_cast<uint8_t>(input[lengthBytes]);
    auto kind = static_cast<uint8_t>(flaggedKind & ~compressedFlag);
    size_t limit = maxPayloadBytes(kind);
    if (!limit || length < frameOverheadBytes || (!m_established && kind != 1) || (m_established && kind == 1))
        return ErrorCode::Malformed;
    if (length - frameOverheadBytes > limit)
        return ErrorCode::TooLarge;
    if (input.size() < lengthBytes + length) {
        discardConsumedInput();
        return {};
    }
    std::string_view frame = input.substr(0, lengthBytes + length - macBytes);
    Mac mac {};
    std::copy_n(input.data() + frame.size(), macBytes, mac.begin());
    m_authenticatedBytes.assign(1, static_cast<char>(m_receive.label));
    m_authenticatedBytes.append(frame);
    if (!isEqualMac(mac, computeMac(asBytes(m_receive.key), asBytes(m_authenticatedBytes))))
        return ErrorCode::NotAuthentic;
    if (readBigEndian(frame, sequenceOffset, sizeof(uint64_t)) != m_receive.sequence++)
        return ErrorCode::NotAuthentic;
    std::string_view payload = frame.substr(frameHeaderBytes);
    std::optional<std::string> inflated;
    if (flaggedKind & compressedFlag) {
        inflated = inflate(payload, limit);
        if (!inflated)
            return ErrorCode::Malformed;
        payload = *inflated;
    }
    if (auto ec = readPayload(kind - 1, payload, message))
        return ec;
    m_consumedBytes += lengthBytes + length;
    return m_established ? std::error_code() : acceptHello(*message);
}

std::error_code RelayCodec::acceptHello(const RelayMessage& message)
{
    m_peerHello = std::get<Hello>(message);
    if (m_peerHello.version + 1 < relayVersion || !m_peerHello.version)
        return ErrorCode::Unsupported;
    m_established = true;
    m_receive.key = sessionKey(m_receive.label);
    if (m_send.sequence)
        m_send.key = sessionKey(m_send.label);
    return {};
}

std::string RelayCodec::sessionKey(uint8_t label) const
{
    const Id128& client = m_side == RelaySide::Client ? m_ownHello.nonce : m_peerHello.nonce;
    const Id128& server = m_side == RelaySide::Client ? m_peerHello.nonce : m_ownHello.nonce;
    std::string input = "relay session ";
    input.push_back(static_cast<char>(label));
    size_t at = input.size();
    input.resize(at + 4 * sizeof(uint64_t));
    for (uint64_t part : { client.high, client.low, server.high, server.low }) {
        writeBigEndian(input, at, part, sizeof(uint64_t));
        at += sizeof(uint64_t);
    }
    Mac key = computeMac(asBytes(m_fleetKey), asBytes(input));
    return { reinterpret_cast<const char*>(key.data()), key.size() };
}

void RelayCodec::discardConsumedInput()
{
    m_input.erase(0, m_consumedBytes);
    m_consumedBytes = 0;
}

} // namespace Gooseberrymill

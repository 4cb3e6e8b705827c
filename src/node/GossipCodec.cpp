#include "GossipCodec.h"

#include <algorithm>
#include <cereal/archives/portable_binary.hpp>
#include <cmath>
#include <istream>
#include <ostream>
#include <streambuf>

namespace Gooseberrymill {

namespace {

// Thrown for a field that violates its bounds. Never leaves the codec; derived from cereal's exception so that one
// handler covers both.
struct InvalidField : cereal::Exception {
    using cereal::Exception::Exception;
};

// Stream buffer over fixed memory. Writing past its end fails; nothing is allocated.
class FixedBuffer final : public std::streambuf {
public:
    FixedBuffer(char* data, size_t size)
    {
        setp(data, data + size);
        setg(data, data, data + size);
    }
    size_t written() const { return static_cast<size_t>(pptr() - pbase()); }
    size_t remaining() const { return static_cast<size_t>(egptr() - gptr()); }
};

// Archive adapter that lets one field list serve for encoding and decoding. Lengths and counts take one byte instead of
// cereal's eight and are checked before anything is allocated.
template <class Archive> class Fields {
public:
    static constexpr bool isLoading = Archive::is_loading::value;

    Fields(Archive& archive, FixedBuffer& buffer)
        : m_archive(archive)
        , m_buffer(buffer)
    {
    }

    template <typename T>
    requires std::is_arithmetic_v<T>
    void field(T& value)
    {
        m_archive(value);
        if constexpr (std::is_floating_point_v<T>) {
            if (!std::isfinite(value))
                throw InvalidField("number is not finite");
        }
    }

    void field(Id128& id) { m_archive(id.high, id.low); }

    template <typename Enum> void enumeration(Enum& value, size_t count)
    {
        auto number = static_cast<uint8_t>(value);
        m_archive(number);
        if (number >= count)
            throw InvalidField("unknown enumerator");
        value = static_cast<Enum>(number);
    }

    void text(std::string& value, size_t limit)
    {
        size_t n = count(value.size(), limit);
        if constexpr (isLoading) {
            if (n > m_buffer.remaining())
                throw InvalidField("text exceeds the datagram");
            value.resize(n);
        }
        m_archive(cereal::binary_data(value.data(), n));
    }

    // `minBytes`: smallest encoded size of an element, by which a count that the datagram cannot hold is detected.
    template <typename T, typename Function>
    void list(std::vector<T>& values, size_t limit, size_t minBytes, Function&& function)
    {
        size_t n = count(values.size(), limit);
        if constexpr (isLoading) {
            if (n * minBytes > m_buffer.remaining())
                throw InvalidField("list exceeds the datagram");
            values.resize(n);
        }
        for (T& it : values)
            function(it);
    }

private:
    size_t count(size_t actual, size_t limit)
    {
        if (!isLoading && actual > limit)
            throw InvalidField("length exceeds its bound");
        auto n = static_cast<uint8_t>(actual);
        m_archive(n);
        if (n > limit)
            throw InvalidField("length exceeds its bound");
        return n;
    }

    Archive& m_archive;
    FixedBuffer& m_buffer;
};

// Lengths and counts are encoded in one byte.
static_assert(
    maxNameBytes < 256 && maxAddressBytes < 256 && maxUpdatesPerMessage < 256 && maxWantedKeysPerMessage < 256);

template <class F> void identityFields(F& fields, NodeIdentity& it)
{
    fields.text(it.name, maxNameBytes);
    fields.field(it.incarnation);
    fields.field(it.startedAt);
    fields.text(it.gossipAddress, maxAddressBytes);
    fields.text(it.relayAddress, maxAddressBytes);
    fields.text(it.location.region, maxNameBytes);
    fields.text(it.location.dataCentre, maxNameBytes);
}

template <class F> void upstreamFields(F& fields, VersionedUpstream& it)
{
    fields.text(it.record.name, maxNameBytes);
    fields.text(it.record.service, maxNameBytes);
    fields.field(it.record.slots);
    fields.enumeration(it.record.state, upstreamStateCount);
    fields.field(it.record.severity);
    fields.field(it.record.share);
    fields.field(it.version);
}

template <class F> void updateFields(F& fields, MemberUpdate& it)
{
    constexpr size_t statusCount = 4;
    constexpr size_t minUpstreamBytes = 23; // smallest encoded upstream
    fields.field(it.key);
    auto counter = static_cast<uint32_t>(std::min<uint64_t>(it.counter, UINT32_MAX));
    fields.field(counter);
    it.counter = counter;
    fields.enumeration(it.status, statusCount);
    fields.field(it.revision);
    auto hasIdentity = static_cast<uint8_t>(it.identity.has_value());
    fields.field(hasIdentity);
    if (hasIdentity > 1)
        throw InvalidField("flag is neither 0 nor 1");
    if (hasIdentity && !it.identity)
        it.identity.emplace();
    if (it.identity)
        identityFields(fields, *it.identity);
    fields.list(it.upstreams, maxUpstreamsPerUpdate, minUpstreamBytes,
        [&](VersionedUpstream& upstream) { upstreamFields(fields, upstream); });
}

template <class F> void healthFields(F& fields, HealthSummary& it)
{
    constexpr size_t workBytes = 20; // encoded size of a WorkSummary
    fields.text(it.upstream, maxNameBytes);
    fields.list(it.work, maxSummaryWork, workBytes, [&](WorkSummary& work) {
        fields.field(work.workKey);
        fields.field(work.count);
        fields.field(work.bad);
        fields.field(work.logMean);
        fields.field(work.logVariance);
    });
}

template <class F> void messageFields(F& fields, GossipMessage& it)
{
    constexpr size_t minUpdateBytes = 19; // smallest encoded update
    constexpr size_t minHealthBytes = 2; // smallest encoded health summary
    constexpr size_t maxSummaries = 16;
    fields.text(it.sender, maxNameBytes);
    fields.field(it.incarnation);
    fields.field(it.startedAt);
    fields.field(it.sequence);
    fields.enumeration(it.kind, gossipKindCount);
    fields.field(it.configurationDigest);
    fields.field(it.revision);
    fields.field(it.liveCount);
    fields.field(it.probe);
    fields.field(it.target);
    fields.text(it.targetAddress, maxAddressBytes);
    fields.text(it.cursor, maxNameBytes);
    auto isLast = static_cast<uint8_t>(it.isLast);
    fields.field(isLast);
    if (isLast > 1)
        throw InvalidField("flag is neither 0 nor 1");
    it.isLast = isLast;
    fields.list(it.wantedKeys, maxWantedKeysPerMessage, sizeof(uint64_t), [&](uint64_t& key) { fields.field(key); });
    fields.list(
        it.updates, maxUpdatesPerMessage, minUpdateBytes, [&](MemberUpdate& update) { updateFields(fields, update); });
    fields.list(it.health, maxSummaries, minHealthBytes, [&](HealthSummary& health) { healthFields(fields, health); });
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Replay protection
//-----------------------------------------------------------------------------

bool SequenceWindow::accept(uint64_t sequence)
{
    if (!sequence)
        return false; // the first number of a sender is 1
    if (sequence > m_highest) {
        uint64_t step = sequence - m_highest;
        m_seen = step >= windowBits ? 0 : m_seen << step;
        m_seen |= 1;
        m_highest = sequence;
        return true;
    }
    uint64_t offset = m_highest - sequence;
    if (offset >= windowBits)
        return false;
    uint64_t bit = uint64_t(1) << offset;
    if (m_seen & bit)
        return false;
    m_seen |= bit;
    return true;
}

ReplayFilter::ReplayFilter(size_t maxSenders)
    : m_maxSenders(maxSenders)
{
}

std::error_code ReplayFilter::check(const GossipMessage& message, GossipDrops& drops)
{
    auto it = m_senders.find(message.sender);
    if (it == m_senders.end()) {
        if (m_senders.size() >= m_maxSenders) {
            m_senders.erase(
                std::ranges::min_element(m_senders, {}, [](const auto& entry) { return entry.second.lastUse; }));
        }
        it = m_senders.emplace(message.sender, Sender { message.incarnation, message.startedAt, {}, 0 }).first;
    }
    Sender& sender = it->second;
    if (sender.incarnation != message.incarnation) {
        if (std::pair(message.startedAt, message.incarnation) < std::pair(sender.startedAt, sender.incarnation)) {
            ++drops.staleIncarnation;
            return ErrorCode::NotAuthentic;
        }
        sender = { message.incarnation, message.startedAt, {}, 0 };
    }
    // A node may raise its own startedAt while it joins. A replayed datagram with the older value must not lower it.
    sender.startedAt = std::max(sender.startedAt, message.startedAt);
    sender.lastUse = ++m_useCounter;
    if (!sender.window.accept(message.sequence)) {
        ++drops.replayed;
        return ErrorCode::NotAuthentic;
    }
    return {};
}

//-----------------------------------------------------------------------------
// [SECTION] Codec
//-----------------------------------------------------------------------------

GossipCodec::GossipCodec(std::span<const uint8_t> key)
    : m_key(key.begin(), key.end())
{
}

std::vector<uint8_t> GossipCodec::encode(const GossipMessage& message, std::error_code& ec) const
{
    ec.clear();
    std::array<char, maxDatagramBytes - macBytes> buf {};
    buf[0] = static_cast<char>(gossipVersion);
    FixedBuffer stream(buf.data() + 1, buf.size() - 1);
    try {
        std::ostream out(&stream);
        cereal::PortableBinaryOutputArchive archive(out, cereal::PortableBinaryOutputArchive::Options::LittleEndian());
        Fields fields(archive, stream);
        GossipMessage copy = message;
        messageFields(fields, copy);
    } catch (const cereal::Exception&) {
        ec = ErrorCode::TooLarge;
        return {};
    }
    std::vector<uint8_t> datagram(buf.begin(), buf.begin() + 1 + static_cast<std::ptrdiff_t>(stream.written()));
    Mac mac = computeMac(m_key, datagram);
    datagram.insert(datagram.end(), mac.begin(), mac.end());
    return datagram;
}

std::error_code GossipCodec::parse(std::span<const uint8_t> datagram, GossipMessage& message)
{
    if (datagram.size() > maxDatagramBytes) {
        ++m_drops.tooLarge;
        return ErrorCode::TooLarge;
    }
    if (datagram.size() <= macBytes + 1) {
        ++m_drops.malformed;
        return ErrorCode::Malformed;
    }
    auto body = datagram.first(datagram.size() - macBytes);
    Mac mac;
    std::ranges::copy(datagram.last(macBytes), mac.begin());
    if (!isEqualMac(mac, computeMac(m_key, body))) {
        ++m_drops.notAuthentic;
        return ErrorCode::NotAuthentic;
    }
    if (body[0] < oldestGossipVersion || body[0] > gossipVersion) {
        ++m_drops.unsupported;
        return ErrorCode::Unsupported;
    }
    std::array<char, maxDatagramBytes> buf {};
    std::ranges::copy(body.subspan(1), buf.begin());
    FixedBuffer stream(buf.data(), body.size() - 1);
    try {
        std::istream in(&stream);
        cereal::PortableBinaryInputArchive archive(in);
        Fields fields(archive, stream);
        messageFields(fields, message);
        if (stream.remaining() || message.sender.empty() || !message.incarnation)
            throw InvalidField("trailing bytes or no sender");
    } catch (const cereal::Exception&) {
        ++m_drops.malformed;
        return ErrorCode::Malformed;
    }
    return m_replayFilter.check(message, m_drops);
}

std::optional<GossipMessage> GossipCodec::decode(std::span<const uint8_t> datagram, std::error_code& ec)
{
    GossipMessage message;
    ec = parse(datagram, message);
    if (ec)
        return std::nullopt;
    return message;
}

} // namespace Gooseberrymill

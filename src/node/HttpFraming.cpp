#include "HttpFraming.h"

#include "HttpHeaders.h"

#include <algorithm>
#include <boost/beast/http/basic_parser.hpp>
#include <fmt/format.h>

namespace Gooseberrymill {

namespace {

namespace Http = boost::beast::http;
using BeastError = boost::beast::error_code;
using BeastText = boost::beast::string_view;

constexpr size_t shortestLastChunkBytes = lastChunk.size();

std::string_view viewOf(BeastText text) { return { text.data(), text.size() }; }

bool isVisible(char c) { return static_cast<unsigned char>(c) > ' ' && c != '\x7f'; }

// RFC 9110, section 5.6.2.
bool isToken(std::string_view text)
{
    constexpr std::string_view separators = "\"(),/:;<=>?@[\\]{}";
    return !text.empty() && std::ranges::all_of(text, [&](char c) {
        return isVisible(c) && static_cast<signed char>(c) > 0 && separators.find(c) == std::string_view::npos;
    });
}

bool isFieldValue(std::string_view text)
{
    return std::ranges::all_of(text, [](char c) { return isVisible(c) || c == ' ' || c == '\t'; });
}

// The rule that a message breaks.
struct Violation {
    FramingError::Kind kind = FramingError::Kind::Malformed;
    std::string rule;
};

// RFC 9112, sections 6.1 and 6.3: only "chunked", alone and once, ends where both sides see it end.
std::optional<Violation> checkTransferEncoding(const MessageHead& head)
{
    const Header* encoding = findHeader(head.headers, "Transfer-Encoding");
    if (!encoding)
        return std::nullopt;
    if (head.isHttp10)
        return Violation { FramingError::Kind::Malformed, "Transfer-Encoding in HTTP/1.0" };
    auto isEncoding = [](const Header& it) { return isHeaderNamed(it, "Transfer-Encoding"); };
    bool isChunked = equalsIgnoringCase(encoding->value, "chunked");
    if (!isChunked || std::ranges::count_if(head.headers, isEncoding) > 1)
        return Violation { FramingError::Kind::Unsupported, "a transfer coding other than chunked" };
    return std::nullopt;
}

// RFC 9110, section 15: all others are invalid.
std::optional<Violation> checkStatus(const MessageHead& head)
{
    constexpr uint16_t firstStatus = 100;
    constexpr uint16_t lastStatus = 599;
    if (head.status >= firstStatus && head.status <= lastStatus)
        return std::nullopt;
    return Violation { FramingError::Kind::Malformed, "a status that is not from 100 to 599" };
}

// A length that no signed number of 64 bits holds is not passed on between the nodes.
std::optional<Violation> checkLength(const MessageHead& head)
{
    if (!head.contentLength || *head.contentLength <= std::numeric_limits<int64_t>::max())
        return std::nullopt;
    return Violation { FramingError::Kind::TooLarge, "a Content-Length above the largest one" };
}

// RFC 9112, section 3.2.
std::optional<Violation> checkHost(const MessageHead& head)
{
    auto hosts = std::ranges::count_if(head.headers, [](const Header& it) { return isHeaderNamed(it, "Host"); });
    if (hosts > 1 || (!hosts && !head.isHttp10))
        return Violation { FramingError::Kind::Malformed, "not exactly one Host" };
    return std::nullopt;
}

} // namespace

std::string_view toString(BodyFraming framing)
{
    constexpr std::array<std::string_view, 4> names { "none", "length", "chunked", "until-close" };
    return names[static_cast<size_t>(framing)];
}

std::string toString(const FramingError& error) { return fmt::format("{} at byte {}", error.rule, error.position); }

//-----------------------------------------------------------------------------
// [SECTION] Parser
//-----------------------------------------------------------------------------

class MessageReader::Parser {
public:
    virtual ~Parser() = default;
    virtual size_t put(std::string_view bytes, BeastError&) = 0;
    virtual void putEnd(BeastError&) = 0;
    virtual bool isDone() const = 0;

    bool isBeforeChunk() const { return hasHead && head.framing == BodyFraming::Chunked && !chunkBytesLeft; }

    MessageHead head;
    bool hasHead = false;
    std::string body;
    uint64_t bodyBytes = 0;
    uint64_t chunkBytesLeft = 0;
    std::optional<Violation> violation;
    std::optional<FramingError> error;
};

template <bool isRequest>
class MessageReader::BeastParser final : public Parser, private Http::basic_parser<isRequest> {
    using Base = Http::basic_parser<isRequest>;

public:
    BeastParser(bool hasNoBody, const FramingLimits& limits)
    {
        Base::header_limit(limits.headBytes);
        Base::body_limit(std::numeric_limits<uint64_t>::max());
        Base::skip(hasNoBody);
    }

    size_t put(std::string_view bytes, BeastError& ec) override
    {
        return Base::put(boost::asio::const_buffer(bytes.data(), bytes.size()), ec);
    }
    void putEnd(BeastError& ec) override { Base::put_eof(ec); }
    bool isDone() const override { return Base::is_done(); }

private:
    void on_request_impl(Http::verb /*verb*/, BeastText method, BeastText target, int version, BeastError&) override
    {
        head.method = viewOf(method);
        head.target = viewOf(target);
        setVersion(version);
    }

    void on_response_impl(int status, BeastText /*reason*/, int version, BeastError&) override
    {
        head.status = static_cast<uint16_t>(status);
        setVersion(version);
    }

    void on_field_impl(Http::field /*field*/, BeastText name, BeastText value, BeastError&) override
    {
        if (!hasHead) // trailers are not passed on
            head.headers.push_back({ std::string(viewOf(name)), std::string(viewOf(value)) });
    }

    void on_header_impl(BeastError& ec) override
    {
        if (auto length = Base::content_length())
            head.contentLength = *length;
        violation = checkTransferEncoding(head);
        if (!violation)
            violation = isRequest ? checkHost(head) : checkStatus(head);
        if (!violation)
            violation = checkLength(head);
        if (violation) {
            ec = Http::error::bad_value;
            return;
        }
        hasHead = true;
        head.keepsConnection = Base::keep_alive();
        if (Base::is_done())
            head.framing = BodyFraming::None;
        else if (Base::chunked())
            head.framing = BodyFraming::Chunked;
        else
            head.framing = head.contentLength ? BodyFraming::Length : BodyFraming::UntilClose;
    }

    void on_body_init_impl(const boost::optional<uint64_t>& /*length*/, BeastError&) override { }

    size_t on_body_impl(BeastText bytes, BeastError&) override
    {
        body.append(bytes.data(), bytes.size());
        bodyBytes += bytes.size();
        return bytes.size();
    }

    void on_chunk_header_impl(uint64_t size, BeastText /*extensions*/, BeastError&) override { chunkBytesLeft = size; }

    size_t on_chunk_body_impl(uint64_t /*left*/, BeastText bytes, BeastError& ec) override
    {
        chunkBytesLeft -= bytes.size();
        return on_body_impl(bytes, ec);
    }

    void on_finish_impl(BeastError&) override { }

    void setVersion(int version)
    {
        constexpr int http10 = 10;
        head.isHttp10 = version == http10;
    }
};

//-----------------------------------------------------------------------------
// [SECTION] MessageReader
//-----------------------------------------------------------------------------

MessageReader::MessageReader(MessageKind kind, const FramingLimits& limits)
    : m_limits(limits)
{
    if (kind == MessageKind::Request)
        m_parser = std::make_unique<BeastParser<true>>(false, limits);
    else
        m_parser = std::make_unique<BeastParser<false>>(kind == MessageKind::ResponseWithoutBody, limits);
}

MessageReader::MessageReader(MessageReader&&) noexcept = default;
MessageReader& MessageReader::operator=(MessageReader&&) noexcept = default;
MessageReader::~MessageReader() = default;

void MessageReader::feed(std::string_view bytes)
{
    if (m_input.empty())
        return parse(bytes);
    std::string input = std::exchange(m_input, {});
    input += bytes;
    parse(input);
}

void MessageReader::parse(std::string_view bytes)
{
    while (!bytes.empty() && parseOnce(bytes)) { }
    m_input.assign(bytes);
}

bool MessageReader::parseOnce(std::string_view& bytes)
{
    if (m_parser->error || m_parser->isDone())
        return false;
    // The parser asserts that it is not given less than this after it has seen the size 0.
    if (m_parser->isBeforeChunk() && bytes.size() < shortestLastChunkBytes)
        return false;
    BeastError ec;
    size_t n = m_parser->put(bytes, ec);
    bytes.remove_prefix(n);
    m_parsedBytes += n;
    auto fail = [&](FramingError::Kind kind, std::string rule) {
        m_parser->error = { kind, std::move(rule), m_parsedBytes };
        return false;
    };
    if (ec == Http::error::need_more) {
        if (!m_parser->hasHead && m_parsedBytes + bytes.size() > m_limits.headBytes)
            return fail(FramingError::Kind::TooLarge, "a head above its limit");
        if (m_parser->hasHead && bytes.size() > m_limits.chunkLineBytes)
            return fail(FramingError::Kind::TooLarge, "a chunk line or trailers above their limit");
        return false;
    }
    if (ec == Http::error::header_limit)
        return fail(FramingError::Kind::TooLarge, ec.message());
    if (m_parser->violation)
        return fail(m_parser->violation->kind, m_parser->violation->rule);
    if (ec)
        return fail(FramingError::Kind::Malformed, ec.message());
    return n > 0;
}

void MessageReader::endOfInput()
{
    if (m_parser->error || m_parser->isDone())
        return;
    BeastError ec;
    if (hasStarted() && m_parser->hasHead && m_parser->head.framing == BodyFraming::UntilClose)
        m_parser->putEnd(ec);
    if (!m_parser->isDone())
        m_parser->error = { FramingError::Kind::Cut, "the connection ended before the message", m_parsedBytes };
}

const MessageHead* MessageReader::head() const { return m_parser->hasHead ? &m_parser->head : nullptr; }

std::string MessageReader::takeBody() { return std::exchange(m_parser->body, {}); }

bool MessageReader::hasBody() const { return !m_parser->body.empty(); }

uint64_t MessageReader::bodyBytes() const { return m_parser->bodyBytes; }

bool MessageReader::hasStarted() const { return m_parsedBytes || !m_input.empty(); }

bool MessageReader::isComplete() const { return !m_parser->error && m_parser->isDone(); }

const FramingError* MessageReader::error() const { return m_parser->error ? &*m_parser->error : nullptr; }

std::string MessageReader::takeRest() { return std::exchange(m_input, {}); }

//-----------------------------------------------------------------------------
// [SECTION] Writing
//-----------------------------------------------------------------------------

std::optional<std::string> encodeRequestHead(
    std::string_view method, std::string_view target, const std::vector<Header>& headers, int64_t bodyLength)
{
    if (!isToken(method) || target.empty() || !std::ranges::all_of(target, isVisible))
        return std::nullopt;
    std::string text = fmt::format("{} {} HTTP/1.1\r\n", method, target);
    for (const Header& it : headers) {
        if (!isToken(it.name) || !isFieldValue(it.value))
            return std::nullopt;
        text += fmt::format("{}: {}\r\n", it.name, it.value);
    }
    bool mayHaveBody = method == "POST" || method == "PUT" || method == "PATCH";
    if (bodyLength < 0)
        text += "Transfer-Encoding: chunked\r\n";
    else if (bodyLength > 0 || mayHaveBody)
        text += fmt::format("Content-Length: {}\r\n", bodyLength);
    return text + "\r\n";
}

std::string encodeChunk(std::string_view bytes) { return fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes); }

} // namespace Gooseberrymill

// HTTP/1.1 message framing (RFC 9112) without I/O: bytes in; head, body and end out. One place decides where a message
// ends, for the responses of upstreams and for the requests of callers.
//
//     MessageReader reader(MessageKind::Response);
//     reader.feed(bytes);              // in pieces of any size: the same messages are whole
//     if (reader.error()) ...          // the framing is wrong; what follows belongs to no message
//     if (reader.head()) ...           // the head is complete
//     use(reader.takeBody());          // the decoded part of the body since the last call
//     if (reader.isComplete()) ...     // takeRest() returns what follows the message
//     reader.endOfInput();             // the peer has closed: the end of a body that has no other, else a cut
//
// A message whose framing is wrong never becomes complete.
#pragma once

#include "core/RelayMessages.h"

#include <memory>

namespace Gooseberrymill {

// How the end of a body is told (RFC 9112, section 6.3).
enum class BodyFraming : uint8_t { None, Length, Chunked, UntilClose };

std::string_view toString(BodyFraming);

enum class MessageKind : uint8_t {
    Request,
    Response,
    ResponseWithoutBody, // to a HEAD request
};

struct MessageHead {
    std::string method; // of a request
    std::string target; // of a request, as received
    uint16_t status = 0; // of a response
    std::vector<Header> headers; // all, in the order and spelling received
    BodyFraming framing = BodyFraming::None;
    std::optional<uint64_t> contentLength; // as stated, also where no body follows
    bool isHttp10 = false;
    bool keepsConnection = false; // another message may follow on the connection
};

struct FramingError {
    enum class Kind : uint8_t {
        Malformed,
        Cut, // the connection ended before the message did
        TooLarge, // a head, a chunk line or trailers above their limit
        Unsupported, // a transfer coding that is not known
    };
    Kind kind = Kind::Malformed;
    std::string rule; // what is wrong
    uint64_t position = 0; // bytes of the message before it
};

std::string toString(const FramingError&);

struct FramingLimits {
    uint32_t headBytes = 64 << 10; // first line and header lines
    size_t chunkLineBytes = 16 << 10; // a chunk size line with its extensions, or all trailers
};

// Reads one message. Use a new reader for the next one, and feed it takeRest() first.
class MessageReader {
public:
    explicit MessageReader(MessageKind, const FramingLimits& = {});
    MessageReader(MessageReader&&) noexcept;
    MessageReader& operator=(MessageReader&&) noexcept;
    ~MessageReader();

    void feed(std::string_view bytes);
    void endOfInput();

    const MessageHead* head() const; // null until it is complete
    std::string takeBody();
    bool hasBody() const; // takeBody() would return bytes
    uint64_t bodyBytes() const; // of the decoded body, since the start of the message
    bool hasStarted() const; // a byte of the message has arrived
    bool isComplete() const;
    const FramingError* error() const; // null: none
    bool hasRest() const { return isComplete() && !m_input.empty(); } // bytes follow a complete message
    std::string takeRest(); // bytes behind a complete message

private:
    class Parser;
    template <bool isRequest> class BeastParser;

    void parse(std::string_view bytes);
    bool parseOnce(std::string_view& bytes); // false: more input is needed, or the message has ended

    FramingLimits m_limits;
    std::unique_ptr<Parser> m_parser;
    std::string m_input; // received and not parsed yet
    uint64_t m_parsedBytes = 0;
};

// Writes the head of a request with the headers given and those of its framing; nullopt if the method, the target or a
// header cannot be written as they are (RFC 9112, sections 3 and 5, RFC 9110, section 5.5). A negative body length
// stands for chunks.
std::optional<std::string> encodeRequestHead(
    std::string_view method, std::string_view target, const std::vector<Header>& headers, int64_t bodyLength);

std::string encodeChunk(std::string_view bytes); // of a body in chunks; not for empty bytes, which would end the body
constexpr std::string_view lastChunk = "0\r\n\r\n";

} // namespace Gooseberrymill

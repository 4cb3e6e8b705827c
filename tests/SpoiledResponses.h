// Responses that are broken off, spoiled, repeated and delayed at random, in every framing. Only what a strict reader
// can tell from a whole response is drawn: a body without a length that is cut is also reset, and a second response
// right behind a cut body of known length comes in one piece with it.
#pragma once

#include <chrono>
#include <fmt/format.h>
#include <random>
#include <string>
#include <vector>

namespace Gooseberrymill::Testing {

struct ResponsePiece {
    std::chrono::milliseconds delay {}; // before it is written
    std::string bytes;
};

struct SpoiledResponse {
    std::vector<ResponsePiece> pieces;
    bool closes = false; // after the pieces
    bool resets = false; // closes with a reset
};

// One draw. Equal seeds give equal responses.
class ResponseSpoiler {
public:
    // `headers` are those of the response, each with its line end, without framing.
    ResponseSpoiler(uint64_t seed, std::string headers, std::string body)
        : m_random(seed)
        , m_headers(std::move(headers))
        , m_body(std::move(body))
    {
    }

    // `mayComeLate`: a second response may come after its connection was used again, so only an id tells whose it is.
    SpoiledResponse draw(bool mayComeLate = true)
    {
        m_framing = static_cast<Framing>(m_random() % 3);
        std::string head = headOf();
        std::string whole = head + encodedBody();
        switch (m_random() % 8) {
        case 0:
            return brokenOff(whole.substr(0, m_random() % whole.size()), head.size());
        case 1:
            return { { { {}, whole.substr(0, m_random() % whole.size()) } }, true, true };
        case 2:
            return brokenOffAndRepeated(whole, head.size());
        case 3:
            return repeated(whole, {});
        case 4:
            return repeated(whole, std::chrono::milliseconds(mayComeLate ? m_random() % 30 : 0));
        case 5:
            return spoiledSize(head);
        case 6:
            return inPieces(whole);
        default:
            return { { { {}, whole } }, m_framing == Framing::UntilClose };
        }
    }

private:
    enum class Framing : uint8_t { Length, Chunked, UntilClose };

    std::string headOf() const
    {
        std::string framing = m_framing == Framing::Chunked ? "Transfer-Encoding: chunked\r\n"
            : m_framing == Framing::Length                  ? fmt::format("Content-Length: {}\r\n", m_body.size())
                                                            : "";
        return "HTTP/1.1 200 OK\r\n" + framing + m_headers + "\r\n";
    }

    std::string encodedBody()
    {
        if (m_framing != Framing::Chunked)
            return m_body;
        std::string result;
        for (size_t at = 0; at < m_body.size();) {
            std::string part = m_body.substr(at, 1 + m_random() % (m_body.size() / 2 + 1));
            result += fmt::format("{:x}\r\n{}\r\n", part.size(), part);
            at += part.size();
        }
        return result + "0\r\n\r\n";
    }

    SpoiledResponse brokenOff(std::string part, size_t headSize) const
    {
        bool isInOpenBody = m_framing == Framing::UntilClose && part.size() >= headSize;
        return { { { {}, std::move(part) } }, true, isInOpenBody };
    }

    SpoiledResponse brokenOffAndRepeated(const std::string& whole, size_t headSize)
    {
        constexpr size_t onePiece = 16 << 10; // bytes that the reader gets at once
        size_t cut = headSize + m_random() % (whole.size() - headSize);
        if (m_framing == Framing::UntilClose || (m_framing == Framing::Length && whole.size() > onePiece))
            return { { { {}, whole.substr(0, cut) } }, true, true };
        return { { { {}, whole.substr(0, cut) + whole } } };
    }

    SpoiledResponse repeated(const std::string& whole, std::chrono::milliseconds delay) const
    {
        if (m_framing == Framing::UntilClose)
            return { { { {}, whole } }, true };
        if (delay.count() == 0)
            return { { { {}, whole + whole } } };
        return { { { {}, whole }, { delay, whole } } };
    }

    SpoiledResponse spoiledSize(const std::string& head)
    {
        const std::vector<std::string> sizes { "zz", "", "-5", "+5", " 5", "0x5", "11111111111111111", "5 5" };
        const std::string& size = sizes[m_random() % sizes.size()];
        if (m_framing == Framing::Chunked) {
            std::string part = m_body.substr(0, m_random() % m_body.size());
            std::string start = part.empty() ? "" : fmt::format("{:x}\r\n{}\r\n", part.size(), part);
            return { { { {}, head + start + size + "\r\nhello\r\n0\r\n\r\n" } } };
        }
        return { { { {}, "HTTP/1.1 200 OK\r\nContent-Length: " + size + "\r\n" + m_headers + "\r\n" + m_body } } };
    }

    SpoiledResponse inPieces(const std::string& whole)
    {
        SpoiledResponse result;
        constexpr size_t most = 6;
        for (size_t at = 0; at < whole.size();) {
            size_t n = result.pieces.size() < most ? 1 + m_random() % whole.size() : whole.size();
            result.pieces.push_back({ std::chrono::milliseconds(m_random() % 4), whole.substr(at, n) });
            at += n;
        }
        result.closes = m_framing == Framing::UntilClose;
        return result;
    }

    std::mt19937_64 m_random;
    std::string m_headers;
    std::string m_body;
    Framing m_framing = Framing::Length;
};

} // namespace Gooseberrymill::Testing

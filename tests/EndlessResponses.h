// Responses that never end, each in another part, and the memory of this process.
#pragma once

#include "RawUpstream.h"
#include "RepeatedText.h"

#include <fstream>

namespace Gooseberrymill::Testing {

// Bytes of a response: `start` once, then `repeated` until the node closes the connection.
struct EndlessResponse {
    std::string name;
    std::function<std::string(const std::string& id)> start;
    std::string repeated;
};

inline std::function<std::string(const std::string&)> headThat(const std::string& rest)
{
    return [rest](const std::string& id) { return headOf("200 OK", id, "Response-Signature: s\r\n" + rest); };
}

inline std::vector<EndlessResponse> endlessResponses()
{
    const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
    auto nothing = [](const std::string&) { return std::string(); };
    return {
        { "a header line", headThat("X-Filler: "), repeat("x") },
        { "header lines", headThat(""), repeat("X-Filler: some text\r\n") },
        { "interim responses", nothing, repeat("HTTP/1.1 102 Processing\r\n\r\n") },
        { "interim responses with a header", nothing, repeat("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n") },
        { "a first line", nothing, repeat("x") },
        { "lines that are no HTTP", nothing, repeat("no response\r\n") },
        { "empty lines", nothing, repeat("\r\n") },
        { "zeros", nothing, std::string(16 << 10, '\0') },
        { "a chunk size", headThat(chunked), repeat("1") },
        { "a chunk size of zeros", headThat(chunked), repeat("0") },
        { "a chunk extension", headThat(chunked + "5;name="), repeat("x") },
        { "trailers", headThat(chunked + "0\r\n"), repeat("X-Trailer: some text\r\n") },
        { "a trailer line", headThat(chunked + "0\r\nX-Trailer: "), repeat("x") },
        { "chunks", headThat(chunked), repeat("400\r\n" + std::string(1024, 'x') + "\r\n") },
        { "chunks of one byte", headThat(chunked), repeat("1\r\nx\r\n") },
        { "a chunk", headThat(chunked + "ffffffffff\r\n"), repeat("x") },
        { "a body of a huge length", headThat("Content-Length: 1000000000000\r\n\r\n"), repeat("x") },
        { "a body without a length", headThat("\r\n"), repeat("x") },
        { "bytes after a response", headThat("Content-Length: 2\r\n\r\nok"), repeat("x") },
    };
}

inline size_t residentKiB()
{
    std::ifstream file("/proc/self/status");
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with("VmRSS:"))
            return std::stoul(line.substr(6));
    }
    return 0;
}

} // namespace Gooseberrymill::Testing

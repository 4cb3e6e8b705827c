// A caller on a plain socket, which shows exactly what came over the connection.
#pragma once

#include "node/HttpHeaders.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Gooseberrymill::Testing {

struct CallerResponse {
    int status = 0; // 0: no response head came
    std::vector<Header> headers;
    std::string body;
    uint64_t bodyBytes = 0;
    bool complete = false; // framed as a whole response
    bool reset = false; // the connection was reset

    std::string header(std::string_view name) const
    {
        const Header* found = findHeader(headers, name);
        return found ? found->value : "";
    }
};

class HttpCaller {
public:
    explicit HttpCaller(uint16_t port)
        : m_fd(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        m_connected = !connect(m_fd, reinterpret_cast<sockaddr*>(&address), sizeof(address));
        int on = 1;
        setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        timeval limit { 60, 0 };
        setsockopt(m_fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
        setsockopt(m_fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    }
    HttpCaller(const HttpCaller&) = delete;
    HttpCaller& operator=(const HttpCaller&) = delete;
    ~HttpCaller() { close(); }

    bool isConnected() const { return m_connected; }
    int descriptor() const { return m_fd; }
    void close()
    {
        if (m_fd >= 0)
            ::close(m_fd);
        m_fd = -1;
    }

    bool send(std::string_view text)
    {
        while (!text.empty()) {
            ssize_t n = ::send(m_fd, text.data(), text.size(), MSG_NOSIGNAL);
            if (n <= 0)
                return false;
            text.remove_prefix(static_cast<size_t>(n));
        }
        return true;
    }

    bool sendHead(std::string_view method, std::string_view target, const std::vector<Header>& headers = {})
    {
        std::string text = fmt::format("{} {} HTTP/1.1\r\nHost: test\r\n", method, target);
        for (const Header& header : headers)
            text += header.name + ": " + header.value + "\r\n";
        return send(text + "\r\n");
    }

    CallerResponse request(
        std::string_view method, std::string_view target, std::vector<Header> headers = {}, std::string_view body = {})
    {
        if (!body.empty() || method == "POST" || method == "PUT")
            headers.push_back({ "Content-Length", std::to_string(body.size()) });
        sendHead(method, target, headers);
        send(body);
        return receive(method == "HEAD");
    }

    // Reads one response. `sink` gets the body instead of `CallerResponse::body`.
    CallerResponse receive(bool headOnly = false, std::function<void(std::string_view)> sink = {})
    {
        CallerResponse response;
        do {
            response = {};
            if (!readHead(response))
                return response;
        } while (response.status == 100);
        auto take = [&](std::string_view bytes) {
            response.bodyBytes += bytes.size();
            if (sink)
                sink(bytes);
            else
                response.body += bytes;
        };
        std::string length = response.header("Content-Length");
        if (headOnly || response.status == 204 || response.status == 304)
            response.complete = true;
        else if (response.header("Transfer-Encoding") == "chunked")
            response.complete = readChunked(take);
        else if (!length.empty())
            response.complete = readBytes(std::stoull(length), take);
        else {
            while (fill())
                take(std::exchange(m_input, {}));
            response.complete = !m_reset;
        }
        response.reset = m_reset;
        return response;
    }

    // True when the peer closed the connection within the limit.
    bool waitForClose(int limitMs = 10000)
    {
        pollfd entry { m_fd, POLLIN, 0 };
        return poll(&entry, 1, limitMs) == 1 && !fill();
    }

private:
    bool fill()
    {
        std::array<char, 65536> buffer;
        ssize_t n = recv(m_fd, buffer.data(), buffer.size(), 0);
        m_reset = m_reset || (n < 0 && errno == ECONNRESET);
        if (n > 0)
            m_input.append(buffer.data(), static_cast<size_t>(n));
        return n > 0;
    }

    bool readLine(std::string& line)
    {
        size_t end = 0;
        while ((end = m_input.find("\r\n")) == std::string::npos) {
            if (!fill())
                return false;
        }
        line = m_input.substr(0, end);
        m_input.erase(0, end + 2);
        return true;
    }

    bool readHead(CallerResponse& response)
    {
        std::string line;
        if (!readLine(line) || line.size() < 12) {
            response.reset = m_reset;
            return false;
        }
        response.status = std::stoi(line.substr(9, 3));
        while (readLine(line) && !line.empty()) {
            size_t colon = line.find(": ");
            response.headers.push_back({ line.substr(0, colon), line.substr(std::min(line.size(), colon + 2)) });
        }
        return true;
    }

    template <typename Take> bool readBytes(uint64_t size, Take take)
    {
        while (size) {
            if (m_input.empty() && !fill())
                return false;
            size_t n = std::min<uint64_t>(size, m_input.size());
            take(std::string_view(m_input).substr(0, n));
            m_input.erase(0, n);
            size -= n;
        }
        return true;
    }

    template <typename Take> bool readChunked(Take take)
    {
        std::string line;
        while (readLine(line)) {
            uint64_t size = std::stoull(line, nullptr, 16);
            if (!readBytes(size, take) || !readLine(line))
                return false;
            if (!size)
                return true;
        }
        return false;
    }

    int m_fd;
    bool m_connected = false;
    bool m_reset = false;
    std::string m_input;
};

} // namespace Gooseberrymill::Testing

// A TCP proxy on loopback in front of one port, for faults of the path to it: delay, silence, one way only, reset.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <deque>
#include <list>
#include <mutex>
#include <netinet/tcp.h>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <system_error>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace Gooseberrymill::Testing {

enum class PathFault : uint8_t {
    None,
    Delay, // each piece arrives `delay` later
    Silence, // nothing is forwarded, nothing is closed
    OneWay, // what the port answers is lost until the fault ends; the connections stay silent for good
    Reset, // connections are reset, new ones as well
};

class FaultProxy {
public:
    static constexpr std::chrono::milliseconds delay { 150 };

    explicit FaultProxy(uint16_t targetPort)
        : m_targetPort(targetPort)
        , m_listener(openListener())
        , m_thread([this] { run(); })
    {
    }
    FaultProxy(const FaultProxy&) = delete;
    FaultProxy& operator=(const FaultProxy&) = delete;
    ~FaultProxy()
    {
        m_isStopped = true;
        m_thread.join();
        for (Link& it : m_links)
            closeLink(it, false);
        ::close(m_listener);
    }

    uint16_t port() const { return m_port; }
    void setFault(PathFault fault) { m_fault = fault; }
    // The connections that are open now forward nothing more and are not closed; new ones work.
    void silenceOpenConnections() { m_silencesOpenLinks = true; }

private:
    using Clock = std::chrono::steady_clock;

    struct Piece {
        Clock::time_point due;
        std::string bytes;
    };

    // One direction of a connection.
    struct Stream {
        int from = -1;
        int to = -1;
        std::deque<Piece> pieces;
        bool isAtEnd = false;
        bool isLost = false; // a part was dropped, so that nothing later may arrive
    };

    struct Link {
        Stream toTarget;
        Stream toCaller;
        bool isClosed = false;
        bool isSilent = false;
    };

    static constexpr int pollMillis = 5;
    static constexpr size_t maxHeldBytes = 256 << 10; // then the sender is stopped by flow control

    static sockaddr_in loopback(uint16_t port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        return address;
    }

    int openListener()
    {
        int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address = loopback(0);
        socklen_t size = sizeof(address);
        bool isListening = !bind(listener, reinterpret_cast<sockaddr*>(&address), size) && !listen(listener, SOMAXCONN)
            && !getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
        if (!isListening)
            throw std::system_error(errno, std::generic_category(), "FaultProxy");
        m_port = ntohs(address.sin_port);
        return listener;
    }

    void run()
    {
        while (!m_isStopped) {
            std::vector<pollfd> entries { { m_listener, POLLIN, 0 } };
            if (m_silencesOpenLinks.exchange(false))
                std::ranges::for_each(m_links, [](Link& it) { it.isSilent = true; });
            for (Link& it : m_links) {
                if (it.isSilent)
                    continue;
                for (Stream* stream : { &it.toTarget, &it.toCaller }) {
                    if (!stream->isAtEnd && held(*stream) < maxHeldBytes)
                        entries.push_back({ stream->from, POLLIN, 0 });
                }
            }
            poll(entries.data(), entries.size(), pollMillis);
            if (entries[0].revents)
                accept();
            for (Link& it : m_links)
                serve(it);
            m_links.remove_if([](const Link& it) { return it.isClosed; });
        }
    }

    static size_t held(const Stream& stream)
    {
        size_t sum = 0;
        for (const Piece& it : stream.pieces)
            sum += it.bytes.size();
        return sum;
    }

    void accept()
    {
        int caller = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (caller < 0)
            return;
        int target = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address = loopback(m_targetPort);
        bool isRefused = m_fault == PathFault::Reset
            || connect(target, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0;
        int on = 1;
        for (int fd : { caller, target })
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        Link& link = m_links.emplace_back();
        link.toTarget.from = link.toCaller.to = caller;
        link.toTarget.to = link.toCaller.from = target;
        if (isRefused)
            closeLink(link, true);
    }

    void serve(Link& link)
    {
        PathFault fault = m_fault;
        if (!link.isClosed && fault == PathFault::Reset)
            closeLink(link, true);
        if (link.isClosed || link.isSilent || fault == PathFault::Silence)
            return;
        for (Stream* stream : { &link.toTarget, &link.toCaller }) {
            if (!receive(*stream, fault, stream == &link.toCaller) || !forward(*stream)) {
                closeLink(link, true);
                return;
            }
        }
        auto isDone = [](const Stream& it) { return it.isAtEnd && it.pieces.empty(); };
        if (isDone(link.toTarget) && isDone(link.toCaller))
            closeLink(link, false);
    }

    // False: the connection was reset.
    static bool receive(Stream& stream, PathFault fault, bool isAnswer)
    {
        std::array<char, 16384> buffer;
        while (!stream.isAtEnd && held(stream) < maxHeldBytes) {
            ssize_t n = recv(stream.from, buffer.data(), buffer.size(), MSG_DONTWAIT);
            if (n < 0)
                return errno == EAGAIN || errno == EINTR;
            stream.isLost = stream.isLost || (isAnswer && fault == PathFault::OneWay);
            auto due = Clock::now() + (fault == PathFault::Delay ? delay : std::chrono::milliseconds(0));
            if (n == 0)
                stream.isAtEnd = true;
            if (!stream.isLost)
                stream.pieces.push_back({ due, std::string(buffer.data(), static_cast<size_t>(n)) });
        }
        return true;
    }

    // An empty piece is the end of the stream. False: the receiver is gone.
    static bool forward(Stream& stream)
    {
        while (!stream.pieces.empty() && stream.pieces.front().due <= Clock::now()) {
            std::string& bytes = stream.pieces.front().bytes;
            if (bytes.empty()) {
                shutdown(stream.to, SHUT_WR);
                stream.pieces.pop_front();
                continue;
            }
            ssize_t n = send(stream.to, bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
            if (n < 0)
                return errno == EAGAIN || errno == EINTR;
            bytes.erase(0, static_cast<size_t>(n));
            if (bytes.empty())
                stream.pieces.pop_front();
        }
        return true;
    }

    static void closeLink(Link& link, bool withReset)
    {
        if (std::exchange(link.isClosed, true))
            return;
        linger option { 1, 0 };
        for (int fd : { link.toTarget.from, link.toTarget.to }) {
            if (withReset)
                setsockopt(fd, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
            ::close(fd);
        }
    }

    uint16_t m_targetPort;
    uint16_t m_port = 0;
    std::atomic<PathFault> m_fault { PathFault::None };
    std::atomic<bool> m_isStopped { false };
    std::atomic<bool> m_silencesOpenLinks { false };
    std::list<Link> m_links;
    int m_listener;
    std::thread m_thread;
};

} // namespace Gooseberrymill::Testing

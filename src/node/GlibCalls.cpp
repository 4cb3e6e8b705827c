#include "GlibCalls.h"

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace Gooseberrymill {

namespace {

template <typename T> void deleteFunction(gpointer data) { delete static_cast<T*>(data); }

using SocketCallback = std::function<bool(GIOCondition)>;
using TimerCallback = std::function<bool()>;

gboolean onSocket(GSocket* /*socket*/, GIOCondition condition, gpointer data)
{
    return (*static_cast<SocketCallback*>(data))(condition);
}

gboolean onTimer(gpointer data) { return (*static_cast<TimerCallback*>(data))(); }

// Calls bind() directly, because g_socket_bind() clears SO_REUSEPORT on stream sockets.
std::error_code bindSocket(GSocket* socket, GSocketAddress* address, bool reusePort)
{
    sockaddr_storage native {};
    if (!g_socket_address_to_native(address, &native, sizeof(native), nullptr))
        return ErrorCode::Malformed;
    g_socket_set_option(socket, SOL_SOCKET, SO_REUSEADDR, 1, nullptr);
    if (reusePort)
        g_socket_set_option(socket, SOL_SOCKET, SO_REUSEPORT, 1, nullptr);
    auto size = static_cast<socklen_t>(g_socket_address_get_native_size(address));
    if (bind(g_socket_get_fd(socket), reinterpret_cast<const sockaddr*>(&native), size))
        return std::make_error_code(static_cast<std::errc>(errno));
    return {};
}

ErrorCode errorCodeOf(const GError* error)
{
    if (g_error_matches(error, G_IO_ERROR, G_IO_ERROR_CANCELLED))
        return ErrorCode::Cancelled;
    if (g_error_matches(error, G_IO_ERROR, G_IO_ERROR_TIMED_OUT))
        return ErrorCode::Timeout;
    if (g_error_matches(error, G_IO_ERROR, G_IO_ERROR_PARTIAL_INPUT))
        return ErrorCode::Closed;
    return ErrorCode::Unavailable;
}

} // namespace

gpointer asyncData(AsyncDone done) { return new AsyncDone(std::move(done)); }

void onAsyncDone(GObject* source, GAsyncResult* result, gpointer data)
{
    std::unique_ptr<AsyncDone> done(static_cast<AsyncDone*>(data));
    (*done)(source, result);
}

SourceHandle watchSocket(
    GMainContext* context, GSocket* socket, GIOCondition condition, std::function<bool(GIOCondition)> function)
{
    GSource* source = g_socket_create_source(socket, condition, nullptr);
    g_source_set_callback(
        source, G_SOURCE_FUNC(onSocket), new SocketCallback(std::move(function)), &deleteFunction<SocketCallback>);
    g_source_attach(source, context);
    return SourceHandle(source);
}

SourceHandle callAfter(GMainContext* context, Duration delay, std::function<bool()> function)
{
    auto millis = std::chrono::ceil<std::chrono::milliseconds>(delay).count();
    GSource* source = g_timeout_source_new(static_cast<guint>(millis));
    g_source_set_callback(source, onTimer, new TimerCallback(std::move(function)), &deleteFunction<TimerCallback>);
    g_source_attach(source, context);
    return SourceHandle(source);
}

Error errorFrom(GError* error, std::string step, std::string peer)
{
    ErrorHandle owned(error);
    return { errorCodeOf(error), std::move(step), std::move(peer), error ? error->message : "" };
}

void disableGlibHelpers()
{
    g_setenv("GIO_USE_VFS", "local", TRUE);
    g_setenv("GIO_USE_PROXY_RESOLVER", "dummy", TRUE);
    g_setenv("GSETTINGS_BACKEND", "memory", TRUE);
}

ObjectHandle<GSocketAddress> parseAddress(const std::string& text)
{
    GError* error = nullptr;
    ObjectHandle<GSocketConnectable> parsed(g_network_address_parse(text.c_str(), 0, &error));
    if (!parsed) {
        g_error_free(error);
        return nullptr;
    }
    auto* address = G_NETWORK_ADDRESS(parsed.get());
    const char* host = g_network_address_get_hostname(address);
    return ObjectHandle<GSocketAddress>(
        g_inet_socket_address_new_from_string(host, g_network_address_get_port(address)));
}

Result<ObjectHandle<GSocket>> listenSocket(const std::string& host, uint16_t port, bool reusePort)
{
    constexpr int backlog = 1024;
    std::string endpoint = host + ":" + std::to_string(port);
    ObjectHandle<GSocketAddress> address(g_inet_socket_address_new_from_string(host.c_str(), port));
    if (!address)
        return Error { ErrorCode::Malformed, "listen.address", endpoint, "not an IP address" };
    GError* error = nullptr;
    ObjectHandle<GSocket> socket(
        g_socket_new(g_socket_address_get_family(address.get()), G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, &error));
    if (!socket)
        return errorFrom(error, "listen.socket", endpoint);
    g_socket_set_blocking(socket.get(), FALSE);
    g_socket_set_listen_backlog(socket.get(), backlog);
    if (auto ec = bindSocket(socket.get(), address.get(), reusePort))
        return Error { ec, "listen.bind", endpoint, "" };
    if (!g_socket_listen(socket.get(), &error))
        return errorFrom(error, "listen.listen", endpoint);
    return socket;
}

uint16_t localPort(GSocket* socket)
{
    ObjectHandle<GSocketAddress> address(g_socket_get_local_address(socket, nullptr));
    return address ? g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(address.get())) : 0;
}

InputState inputState(GSocket* socket)
{
    if (!socket || g_socket_is_closed(socket))
        return InputState::Closed;
    char byte = 0;
    ssize_t n = recv(g_socket_get_fd(socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (n > 0)
        return InputState::Bytes;
    return n < 0 && (errno == EAGAIN || errno == EINTR) ? InputState::Nothing : InputState::Closed;
}

bool isClosedByPeer(GSocket* socket) { return inputState(socket) == InputState::Closed; }

bool hasInput(GSocket* socket) { return g_socket_condition_check(socket, G_IO_IN) & G_IO_IN; }

bool hasUnacknowledgedOutput(GSocket* socket)
{
    int bytes = 0;
    return !g_socket_is_closed(socket) && !ioctl(g_socket_get_fd(socket), SIOCOUTQ, &bytes) && bytes > 0;
}

void closeWithReset(GSocket* socket)
{
    linger option { 1, 0 }; // enabled with a timeout of 0 s: close() sends RST
    setsockopt(g_socket_get_fd(socket), SOL_SOCKET, SO_LINGER, &option, sizeof(option));
    g_socket_close(socket, nullptr);
}

} // namespace Gooseberrymill

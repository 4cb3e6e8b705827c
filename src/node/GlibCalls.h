// Adapters from GLib callbacks to std::function, and helpers for sockets and addresses.
#pragma once

#include "core/Basics.h"
#include "GlibHandles.h"

namespace Gooseberrymill {

// To receive the result of a GIO *_async call in a function, pass `onAsyncDone` as the callback and
// `asyncData(function)` as the user data. GIO must call back exactly once, which frees the function.
using AsyncDone = std::function<void(GObject*, GAsyncResult*)>;
gpointer asyncData(AsyncDone);
void onAsyncDone(GObject*, GAsyncResult*, gpointer);

// Returns a reference to hold for the current scope, because a callback may release the last other one.
template <typename T> std::shared_ptr<T> holdReference(const std::shared_ptr<T>& object) { return object; }

// Call `function` on `context` each time the socket meets the condition or the delay elapses, until it returns false or
// the handle is destroyed.
SourceHandle watchSocket(GMainContext*, GSocket*, GIOCondition, std::function<bool(GIOCondition)> function);
SourceHandle callAfter(GMainContext*, Duration, std::function<bool()> function);

// Converts a GError, which may be null, to an Error with the given step and peer. Frees the GError.
Error errorFrom(GError*, std::string step, std::string peer);

// Stops GLib from starting helper processes and loading libraries meant for desktops. Call it first in main().
void disableGlibHelpers();

// Parses "ip:port". Null when malformed.
ObjectHandle<GSocketAddress> parseAddress(const std::string&);

// Creates a non-blocking listening TCP socket. Port 0 selects any free port; `reusePort` sets SO_REUSEPORT, so that
// several sockets can listen on the same port.
Result<ObjectHandle<GSocket>> listenSocket(const std::string& host, uint16_t port, bool reusePort);
uint16_t localPort(GSocket*);

// What waits on a connection, without taking it.
enum class InputState : uint8_t {
    Nothing,
    Bytes,
    Closed, // the peer has closed and all its data was read, the socket failed or was closed here, or it is null
};
InputState inputState(GSocket*);
bool isClosedByPeer(GSocket*);

// True when data can be read or a connection accepted without blocking.
bool hasInput(GSocket*);

// True while bytes that were written to the socket are not yet acknowledged by the peer's kernel.
bool hasUnacknowledgedOutput(GSocket*);

// Closes the connection with a TCP reset, so that the peer cannot mistake a truncated message for a complete one.
void closeWithReset(GSocket*);

} // namespace Gooseberrymill

// Adapters between GLib callbacks and std::function.
#pragma once

#include "core/Basics.h"
#include "GlibHandles.h"

namespace Gooseberrymill {

// Pass `onAsyncDone` and `asyncData(function)` to a GIO *_async call; the function runs once.
using AsyncDone = std::function<void(GObject*, GAsyncResult*)>;
gpointer asyncData(AsyncDone);
void onAsyncDone(GObject*, GAsyncResult*, gpointer);

// A reference for the current scope: a callback may drop the last other one.
template <typename T> std::shared_ptr<T> holdReference(const std::shared_ptr<T>& object) { return object; }

// Calls `function` on `context` while it returns true.
SourceHandle watchSocket(GMainContext*, GSocket*, GIOCondition, std::function<bool(GIOCondition)> function);
SourceHandle callAfter(GMainContext*, Duration, std::function<bool()> function);

// Error of a step with a peer, from a GError; takes the GError.
Error errorFrom(GError*, std::string step, std::string peer);

// Parses "ip:port". Null when malformed.
ObjectHandle<GSocketAddress> parseAddress(const std::string&);

// Makes a non-blocking TCP socket that listens. Port 0 takes any free port; `reusePort` shares it with others.
Result<ObjectHandle<GSocket>> listenSocket(const std::string& host, uint16_t port, bool reusePort);
uint16_t localPort(GSocket*);

// True when the peer has closed and everything it sent was read. Null counts as closed.
bool isClosedByPeer(GSocket*);

// True when something can be read, or a connection accepted, without waiting.
bool hasInput(GSocket*);

// Closes with a reset, so that the peer cannot take what it got for a whole message.
void closeWithReset(GSocket*);

} // namespace Gooseberrymill

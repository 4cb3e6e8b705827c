#include "BodyStream.h"

#include <algorithm>
#include <cstring>
#include <deque>

namespace Gooseberrymill {

namespace {

constexpr size_t lowWatermark = 32 << 10; // bytes

// State of the GObject, allocated separately because GObject zeroes its memory and runs no constructors.
struct BodyState {
    std::deque<std::string> chunks;
    size_t offset = 0; // bytes of the first chunk that were read
    size_t buffered = 0; // unread bytes in all chunks
    bool ended = false;
    bool aborted = false;
    GTask* pendingTask = nullptr; // asynchronous read that waits for data; owned
    void* pendingBuffer = nullptr;
    size_t pendingSize = 0;
    std::function<void()> lowWatermarkCallback;

    bool isReadable() const { return buffered || ended || aborted; }

    size_t readInto(void* buffer, size_t size)
    {
        size_t copied = 0;
        while (copied < size && !chunks.empty()) {
            const std::string& chunk = chunks.front();
            size_t n = std::min(size - copied, chunk.size() - offset);
            std::memcpy(static_cast<char*>(buffer) + copied, chunk.data() + offset, n);
            copied += n;
            offset += n;
            if (offset == chunk.size()) {
                chunks.pop_front();
                offset = 0;
            }
        }
        buffered -= copied;
        return copied;
    }

    void completeRead(GTask* task, void* buffer, size_t size)
    {
        size_t before = buffered;
        if (aborted)
            g_task_return_new_error(task, G_IO_ERROR, G_IO_ERROR_CANCELLED, "request body aborted");
        else
            g_task_return_int(task, static_cast<gssize>(readInto(buffer, size)));
        g_object_unref(task);
        if (before > lowWatermark && buffered <= lowWatermark && lowWatermarkCallback) {
            auto function = lowWatermarkCallback;
            function();
        }
    }

    void completePendingRead()
    {
        if (pendingTask && isReadable())
            completeRead(std::exchange(pendingTask, nullptr), pendingBuffer, pendingSize);
    }
};

struct StreamObject {
    GInputStream parent;
    BodyState* state;
};

struct StreamClass {
    GInputStreamClass parent;
};

BodyState& stateOf(gpointer object) { return *static_cast<StreamObject*>(object)->state; }

void readAsync(GInputStream* stream, void* buffer, gsize size, int /*priority*/, GCancellable* cancellable,
    GAsyncReadyCallback callback, gpointer data)
{
    BodyState& state = stateOf(stream);
    GTask* task = g_task_new(stream, cancellable, callback, data);
    if (state.isReadable()) {
        state.completeRead(task, buffer, size);
        return;
    }
    state.pendingTask = task;
    state.pendingBuffer = buffer;
    state.pendingSize = size;
}

gssize readFinish(GInputStream* /*stream*/, GAsyncResult* result, GError** error)
{
    return g_task_propagate_int(G_TASK(result), error);
}

// libsoup's asynchronous transfer never reads synchronously. A blocking read could deadlock, because the data is pushed
// on the same thread.
gssize readBlocking(
    GInputStream* /*stream*/, void* /*buffer*/, gsize /*size*/, GCancellable* /*cancellable*/, GError** error)
{
    g_set_error_literal(
        error, G_IO_ERROR, G_IO_ERROR_NOT_SUPPORTED, "the request body stream supports asynchronous reads only");
    return -1;
}

void closeAsync(
    GInputStream* stream, int /*priority*/, GCancellable* cancellable, GAsyncReadyCallback callback, gpointer data)
{
    GTask* task = g_task_new(stream, cancellable, callback, data);
    g_task_return_boolean(task, TRUE);
    g_object_unref(task);
}

gboolean closeFinish(GInputStream* /*stream*/, GAsyncResult* result, GError** error)
{
    return g_task_propagate_boolean(G_TASK(result), error);
}

gpointer parentClass = nullptr;

void finalize(GObject* object)
{
    delete static_cast<StreamObject*>(static_cast<gpointer>(object))->state;
    G_OBJECT_CLASS(parentClass)->finalize(object);
}

void initClass(gpointer klass, gpointer /*data*/)
{
    parentClass = g_type_class_peek_parent(klass);
    G_OBJECT_CLASS(klass)->finalize = finalize;
    auto* input = static_cast<GInputStreamClass*>(klass);
    input->read_fn = readBlocking;
    input->read_async = readAsync;
    input->read_finish = readFinish;
    input->close_async = closeAsync;
    input->close_finish = closeFinish;
}

void initObject(GTypeInstance* instance, gpointer /*klass*/)
{
    static_cast<StreamObject*>(static_cast<gpointer>(instance))->state = new BodyState;
}

GType streamType()
{
    static const GType type = g_type_register_static_simple(G_TYPE_INPUT_STREAM, "GooseberrymillBodyStream",
        sizeof(StreamClass), initClass, sizeof(StreamObject), initObject, static_cast<GTypeFlags>(0));
    return type;
}

} // namespace

BodyStream::BodyStream()
    : m_stream(static_cast<GInputStream*>(g_object_new(streamType(), nullptr)))
{
}

void BodyStream::push(std::string bytes)
{
    BodyState& state = stateOf(m_stream.get());
    if (bytes.empty() || state.aborted)
        return;
    state.buffered += bytes.size();
    state.chunks.push_back(std::move(bytes));
    state.completePendingRead();
}

void BodyStream::finish()
{
    BodyState& state = stateOf(m_stream.get());
    state.ended = true;
    state.completePendingRead();
}

void BodyStream::abort()
{
    BodyState& state = stateOf(m_stream.get());
    state.aborted = true;
    state.lowWatermarkCallback = nullptr;
    state.completePendingRead();
}

size_t BodyStream::bufferedBytes() const { return stateOf(m_stream.get()).buffered; }

void BodyStream::setLowWatermarkCallback(std::function<void()> function)
{
    stateOf(m_stream.get()).lowWatermarkCallback = std::move(function);
}

} // namespace Gooseberrymill

// RAII wrappers for GLib objects and sources.
#pragma once

#include <gio/gio.h>
#include <memory>
#include <utility>

namespace Gooseberrymill {

namespace detail {

struct ObjectUnref {
    void operator()(gpointer object) const { g_object_unref(object); }
};

struct HmacUnref {
    void operator()(GHmac* hmac) const { g_hmac_unref(hmac); }
};

struct BytesUnref {
    void operator()(GBytes* bytes) const { g_bytes_unref(bytes); }
};

struct ContextUnref {
    void operator()(GMainContext* context) const { g_main_context_unref(context); }
};

struct LoopUnref {
    void operator()(GMainLoop* loop) const { g_main_loop_unref(loop); }
};

struct ErrorFree {
    void operator()(GError* error) const { g_error_free(error); }
};

struct UriUnref {
    void operator()(GUri* uri) const { g_uri_unref(uri); }
};

} // namespace detail

// Owns one reference of a GObject.
template <typename T> using ObjectHandle = std::unique_ptr<T, detail::ObjectUnref>;

using HmacHandle = std::unique_ptr<GHmac, detail::HmacUnref>;
using BytesHandle = std::unique_ptr<GBytes, detail::BytesUnref>;
using ContextHandle = std::unique_ptr<GMainContext, detail::ContextUnref>;
using LoopHandle = std::unique_ptr<GMainLoop, detail::LoopUnref>;
using ErrorHandle = std::unique_ptr<GError, detail::ErrorFree>;
using UriHandle = std::unique_ptr<GUri, detail::UriUnref>;

// Adds a reference to an object and returns a handle that owns it.
template <typename T> ObjectHandle<T> shareObject(T* object)
{
    return ObjectHandle<T>(static_cast<T*>(g_object_ref(object)));
}

// Owns a source attached to a main context; destroys it when it goes out of scope.
class SourceHandle {
public:
    SourceHandle() = default;
    explicit SourceHandle(GSource* source)
        : m_source(source)
    {
    }
    SourceHandle(SourceHandle&& other) noexcept
        : m_source(std::exchange(other.m_source, nullptr))
    {
    }
    SourceHandle& operator=(SourceHandle&& other) noexcept
    {
        if (this != &other) {
            reset();
            m_source = std::exchange(other.m_source, nullptr);
        }
        return *this;
    }
    ~SourceHandle() { reset(); }

    void reset()
    {
        if (GSource* source = std::exchange(m_source, nullptr)) {
            // A source without its context belongs to a context that is being destroyed. GLib destroys such a source
            // itself, and never frees one that was destroyed meanwhile by someone else.
            if (!g_source_is_destroyed(source) && g_source_get_context(source))
                g_source_destroy(source);
            g_source_unref(source);
        }
    }
    explicit operator bool() const { return m_source; }
    GSource* get() const { return m_source; }

private:
    GSource* m_source = nullptr;
};

} // namespace Gooseberrymill

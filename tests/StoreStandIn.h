// Stand-in for the platform's object store: HTTP, in memory, with fault switches.
//
// Objects:  GET/PUT/DELETE /objects/<kind>/<name>, GET /objects/<kind>/,
//           GET /objects/<kind>/<name>?watch=<version>&timeout=<s> (304 when nothing changed)
// Admin (on a port of its own): POST /faults with any of the fields of Faults, POST /restore with {"ageMs": N}, GET
// /counts
//
// Each response names the era of the store in the header History-Era. A restoration replaces the objects and the
// version counter by those of a copy of that age and raises the era by one.
//
// A list is {"objects": [{"name", "version", "value"}]} with the JSON values themselves.
#pragma once

#include "GlibHandles.h"

#include <algorithm>
#include <chrono>
#include <deque>
#include <fmt/format.h>
#include <libsoup/soup.h>
#include <list>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>

namespace Gooseberrymill {

class StoreStandIn {
public:
    struct Faults {
        std::string down = "none"; // "refuse": no listener, open connections are cut; "hang": no answer
        int delayMs = 0; // before each answer
        int loseAnswers = 0; // this many writes are taken and their connection is cut without an answer
        bool silentWatches = false; // watches are neither answered nor closed
        int watchDelayMs = 0; // by which watches without a change end too late
        bool olderVersions = false; // reads answer with the object as it was before its last change
    };

    // Listens on loopback, in the thread-default main context of the caller.
    explicit StoreStandIn(uint16_t port = 0)
        : m_adminServer(soup_server_new(nullptr, nullptr))
    {
        soup_server_add_handler(m_adminServer.get(), nullptr, &StoreStandIn::handleAdmin, this, nullptr);
        m_adminPort = listen(m_adminServer.get(), 0);
        m_port = port;
        open();
    }
    StoreStandIn(const StoreStandIn&) = delete;
    StoreStandIn& operator=(const StoreStandIn&) = delete;
    ~StoreStandIn()
    {
        close();
        soup_server_disconnect(m_adminServer.get());
    }

    uint16_t port() const { return m_port; }
    uint16_t adminPort() const { return m_adminPort; }
    std::string url() const { return fmt::format("http://127.0.0.1:{}", m_port); }
    uint64_t count(const std::string& call) const
    {
        auto it = m_counts.find(call);
        return it == m_counts.end() ? 0 : it->second;
    }

    void restore(std::chrono::milliseconds age)
    {
        while (!m_held.empty()) {
            cut(m_held.front().message.get());
            release(m_held.begin());
        }
        restoreKeepingAnswers(age);
    }

    // Answers that are held back still go out, and name the era in which they were made.
    void restoreKeepingAnswers(std::chrono::milliseconds age)
    {
        auto copiedBefore = std::chrono::steady_clock::now() - age;
        auto isLost = [&](const Copy& it) { return it.at > copiedBefore; };
        loseWrites(static_cast<size_t>(std::count_if(m_copies.begin(), m_copies.end(), isLost)));
    }

    // Begins a new era without the last `n` writes.
    void loseWrites(size_t n)
    {
        for (; n && m_copies.size() > 1; --n)
            m_copies.pop_back();
        m_objects = m_copies.back().objects;
        m_lastVersion = m_copies.back().lastVersion;
        ++m_era;
    }

    void setFaults(const Faults& faults)
    {
        bool wasOpen = m_faults.down != "refuse";
        m_faults = faults;
        bool isOpen = m_faults.down != "refuse";
        if (wasOpen && !isOpen)
            close();
        if (!wasOpen && isOpen)
            open();
    }

private:
    struct Object {
        uint64_t version = 0;
        std::string value;
    };

    struct Entry {
        Object current;
        Object previous;
    };

    // The objects after a write.
    struct Copy {
        std::chrono::steady_clock::time_point at {};
        std::map<std::string, Entry> objects {};
        uint64_t lastVersion = 0;
    };

    // An answer that is held back: a watch, a delayed answer or one that never comes.
    struct Held {
        ObjectHandle<SoupServerMessage> message;
        std::string key;
        uint64_t version = 0;
        bool isWatch = false;
        SourceHandle timer;
        gulong finishedSignal = 0;
    };

    static uint16_t listen(SoupServer* server, uint16_t port)
    {
        GError* error = nullptr;
        if (!soup_server_listen_local(server, port, SOUP_SERVER_LISTEN_IPV4_ONLY, &error)) {
            ErrorHandle owned(error);
            throw std::runtime_error(fmt::format("listen on 127.0.0.1:{}: {}", port, owned->message));
        }
        GSList* uris = soup_server_get_uris(server);
        auto bound = static_cast<uint16_t>(g_uri_get_port(static_cast<GUri*>(uris->data)));
        g_slist_free_full(uris, reinterpret_cast<GDestroyNotify>(&g_uri_unref));
        return bound;
    }

    void open()
    {
        m_server.reset(soup_server_new(nullptr, nullptr));
        soup_server_add_handler(m_server.get(), nullptr, &StoreStandIn::handleObject, this, nullptr);
        m_port = listen(m_server.get(), m_port);
    }

    void close()
    {
        while (!m_held.empty())
            release(m_held.begin());
        if (m_server)
            soup_server_disconnect(m_server.get());
        m_server.reset();
    }

    static void answer(SoupServerMessage* message, guint status, const std::string& body = "")
    {
        soup_server_message_set_status(message, status, nullptr);
        if (!body.empty())
            soup_server_message_set_response(message, "application/json", SOUP_MEMORY_COPY, body.data(), body.size());
    }

    static void answerObject(SoupServerMessage* message, guint status, const Object& object, bool withValue)
    {
        std::string tag = fmt::format("\"{}\"", object.version);
        soup_message_headers_replace(soup_server_message_get_response_headers(message), "ETag", tag.c_str());
        answer(message, status, withValue ? object.value : "");
    }

    static void cut(SoupServerMessage* message)
    {
        g_socket_shutdown(soup_server_message_get_socket(message), TRUE, TRUE, nullptr);
    }

    // -------- held answers

    using HeldIterator = std::list<Held>::iterator;

    HeldIterator hold(SoupServerMessage* message)
    {
        soup_server_message_pause(message);
        auto it = m_held.insert(m_held.end(), Held {});
        it->message = shareObject(message);
        it->finishedSignal = g_signal_connect(message, "finished", G_CALLBACK(&StoreStandIn::handleFinished), this);
        return it;
    }

    void release(HeldIterator it)
    {
        ObjectHandle<SoupServerMessage> message = std::move(it->message);
        g_signal_handler_disconnect(message.get(), it->finishedSignal);
        m_held.erase(it);
        soup_server_message_unpause(message.get());
    }

    static void handleFinished(SoupServerMessage* message, gpointer self)
    {
        auto& held = static_cast<StoreStandIn*>(self)->m_held;
        auto it = std::find_if(held.begin(), held.end(), [&](const Held& h) { return h.message.get() == message; });
        if (it == held.end())
            return;
        g_signal_handler_disconnect(message, it->finishedSignal);
        held.erase(it);
    }

    struct TimerContext {
        StoreStandIn* self;
        SoupServerMessage* message;
    };

    void releaseAfter(HeldIterator it, guint millis)
    {
        GSource* source = g_timeout_source_new(millis);
        g_source_set_callback(
            source,
            [](gpointer data) -> gboolean {
                auto* context = static_cast<TimerContext*>(data);
                auto& held = context->self->m_held;
                auto found = std::find_if(
                    held.begin(), held.end(), [&](const Held& h) { return h.message.get() == context->message; });
                if (found != held.end())
                    context->self->release(found);
                return G_SOURCE_REMOVE;
            },
            new TimerContext { this, it->message.get() },
            [](gpointer data) { delete static_cast<TimerContext*>(data); });
        g_source_attach(source, g_main_context_get_thread_default());
        it->timer = SourceHandle(source);
    }

    void notifyWatches(const std::string& key, const Object& object)
    {
        for (auto it = m_held.begin(); it != m_held.end();) {
            auto current = it++;
            if (!current->isWatch || current->key != key || current->version >= object.version)
                continue;
            answerObject(current->message.get(), SOUP_STATUS_OK, object, true);
            release(current);
        }
    }

    // -------- objects

    static void handleObject(
        SoupServer*, SoupServerMessage* message, const char* path, GHashTable* query, gpointer self)
    {
        auto* standIn = static_cast<StoreStandIn*>(self);
        soup_message_headers_replace(
            soup_server_message_get_response_headers(message), "History-Era", std::to_string(standIn->m_era).c_str());
        standIn->serve(message, path, query);
    }

    void serve(SoupServerMessage* message, const std::string& path, GHashTable* query)
    {
        constexpr std::string_view prefix = "/objects/";
        if (m_faults.down == "hang") {
            ++m_counts["hung"];
            hold(message);
            return;
        }
        if (!path.starts_with(prefix) || path.find('/', prefix.size()) == std::string::npos) {
            answer(message, SOUP_STATUS_NOT_FOUND);
            return;
        }
        std::string key = path.substr(prefix.size());
        std::string method = soup_server_message_get_method(message);
        const auto* watched = query ? static_cast<const char*>(g_hash_table_lookup(query, "watch")) : nullptr;
        if (method == "PUT" || method == "DELETE") {
            write(message, key, method);
        } else if (key.ends_with('/')) {
            list(message, key);
        } else if (watched) {
            const auto* timeout = static_cast<const char*>(g_hash_table_lookup(query, "timeout"));
            watch(message, key, std::stoull(watched), timeout ? std::stoul(timeout) : 0);
            return;
        } else {
            read(message, key);
        }
        if (m_faults.delayMs > 0)
            releaseAfter(hold(message), static_cast<guint>(m_faults.delayMs));
    }

    const Object& visible(const Entry& entry) const
    {
        return m_faults.olderVersions && entry.previous.version ? entry.previous : entry.current;
    }

    void read(SoupServerMessage* message, const std::string& key)
    {
        ++m_counts["get"];
        auto it = m_objects.find(key);
        if (it == m_objects.end())
            answer(message, SOUP_STATUS_NOT_FOUND);
        else
            answerObject(message, SOUP_STATUS_OK, visible(it->second), true);
    }

    void list(SoupServerMessage* message, const std::string& prefix)
    {
        ++m_counts["list"];
        std::string objects;
        for (auto it = m_objects.lower_bound(prefix); it != m_objects.end() && it->first.starts_with(prefix); ++it) {
            const Object& object = visible(it->second);
            objects += fmt::format(R"({}{{"name":{},"value":{},"version":{}}})", objects.empty() ? "" : ",",
                nlohmann::json(it->first.substr(prefix.size())).dump(), object.value, object.version);
        }
        answer(message, SOUP_STATUS_OK, fmt::format(R"({{"objects":[{}]}})", objects));
    }

    void watch(SoupServerMessage* message, const std::string& key, uint64_t version, unsigned long seconds)
    {
        ++m_counts["watch"];
        auto it = m_objects.find(key);
        if (!m_faults.silentWatches && it != m_objects.end()
            && (it->second.current.version > version || m_faults.olderVersions)) {
            answerObject(message, SOUP_STATUS_OK, visible(it->second), true);
            return;
        }
        soup_server_message_set_status(message, SOUP_STATUS_NOT_MODIFIED, nullptr);
        auto held = hold(message);
        held->key = key;
        held->version = version;
        held->isWatch = !m_faults.silentWatches;
        if (!m_faults.silentWatches)
            releaseAfter(held, static_cast<guint>(seconds * 1000) + static_cast<guint>(m_faults.watchDelayMs));
    }

    static bool meetsCondition(SoupMessageHeaders* headers, uint64_t version)
    {
        if (const char* none = soup_message_headers_get_one(headers, "If-None-Match"))
            return std::string_view(none) == "*" && !version;
        if (const char* match = soup_message_headers_get_one(headers, "If-Match"))
            return match == fmt::format("\"{}\"", version);
        return true;
    }

    void write(SoupServerMessage* message, const std::string& key, const std::string& method)
    {
        ++m_counts[method == "PUT" ? "put" : "delete"];
        auto it = m_objects.find(key);
        uint64_t version = it == m_objects.end() ? 0 : it->second.current.version;
        if (!meetsCondition(soup_server_message_get_request_headers(message), version)) {
            answer(message, SOUP_STATUS_PRECONDITION_FAILED);
        } else if (method == "DELETE") {
            m_objects.erase(key);
            answerObject(message, SOUP_STATUS_OK, { ++m_lastVersion, "" }, false);
        } else {
            SoupMessageBody* body = soup_server_message_get_request_body(message);
            BytesHandle bytes(soup_message_body_flatten(body));
            gsize size = 0;
            const auto* data = static_cast<const char*>(g_bytes_get_data(bytes.get(), &size));
            std::string value(data ? data : "", size);
            if (!nlohmann::json::accept(value)) {
                answer(message, SOUP_STATUS_BAD_REQUEST);
                return;
            }
            Entry& entry = m_objects[key];
            entry.previous = std::move(entry.current);
            entry.current = { ++m_lastVersion, std::move(value) };
            answerObject(message, version ? SOUP_STATUS_OK : SOUP_STATUS_CREATED, entry.current, false);
            notifyWatches(key, entry.current);
        }
        keepCopy();
        if (m_faults.loseAnswers > 0) {
            --m_faults.loseAnswers;
            cut(message);
        }
    }

    void keepCopy()
    {
        constexpr size_t maxCopies = 500;
        m_copies.push_back({ std::chrono::steady_clock::now(), m_objects, m_lastVersion });
        if (m_copies.size() > maxCopies)
            m_copies.pop_front();
    }

    // -------- admin

    static void handleAdmin(SoupServer*, SoupServerMessage* message, const char* path, GHashTable*, gpointer self)
    {
        auto* standIn = static_cast<StoreStandIn*>(self);
        if (std::string_view(path) == "/counts") {
            answer(message, SOUP_STATUS_OK, nlohmann::json(standIn->m_counts).dump());
            return;
        }
        SoupMessageBody* body = soup_server_message_get_request_body(message);
        auto request
            = nlohmann::json::parse(std::string(body->data, static_cast<size_t>(body->length)), nullptr, false);
        if (std::string_view(path) == "/restore" && request.is_object()) {
            if (request.contains("lostWrites"))
                standIn->loseWrites(request.value("lostWrites", size_t { 0 }));
            else
                standIn->restore(std::chrono::milliseconds(request.value("ageMs", 0)));
            answer(message, SOUP_STATUS_OK, "{}");
            return;
        }
        if (std::string_view(path) != "/faults" || !request.is_object()) {
            answer(message, SOUP_STATUS_BAD_REQUEST);
            return;
        }
        Faults faults = standIn->m_faults;
        faults.down = request.value("down", faults.down);
        faults.delayMs = request.value("delayMs", faults.delayMs);
        faults.loseAnswers = request.value("loseAnswers", faults.loseAnswers);
        faults.silentWatches = request.value("silentWatches", faults.silentWatches);
        faults.olderVersions = request.value("olderVersions", faults.olderVersions);
        standIn->setFaults(faults);
        answer(message, SOUP_STATUS_OK, "{}");
    }

    ObjectHandle<SoupServer> m_server;
    ObjectHandle<SoupServer> m_adminServer;
    uint16_t m_port = 0;
    uint16_t m_adminPort = 0;
    Faults m_faults;
    std::map<std::string, Entry> m_objects; // by "<kind>/<name>"
    uint64_t m_lastVersion = 0;
    uint64_t m_era = 1;
    std::deque<Copy> m_copies { Copy {} };
    std::map<std::string, uint64_t> m_counts; // calls by kind
    std::list<Held> m_held;
};

} // namespace Gooseberrymill

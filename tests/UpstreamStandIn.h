// An HTTP upstream for tests. Faults are chosen by headers of the request:
//   Stand-In-Fault: slow | status | cut | unfinished | close | shed | endless | hold | crash
//   stall, stall-sized (a part of Stand-In-Size bytes of a body, chunked or of twice the size; then nothing until
//   closeStalled())
//   spoil (a response of Stand-In-Bytes bytes is broken off, spoiled or repeated at random; Stand-In-Seed)
//   (crash: the listener and all connections close; the upstream starts again on its port after a while)
//   Stand-In-Delay-Ms (slow), Stand-In-Status (status), Stand-In-Size (bytes of the response body)
//   Stand-In-Header (a header of the response, "Name: value")
// Without a size the response names the method, the target and the digest of the request body.
//
// For tests of whole processes, the same port serves:
//   GET  /.stand-in/counts                      {"total", "targets": {target: n}, "bodies": {digest: n}}
//   GET  /.stand-in/arrivals                    [[target, milliseconds of the steady clock]]
//   POST /.stand-in/faults?fault=F&delayMs=N&status=N&size=N&header=H   for requests without a Stand-In-Fault header
//   POST /.stand-in/state?value=STATE           changes the announced state
#pragma once

#include "node/GlibCalls.h"
#include "node/HttpHeaders.h"
#include "node/Node.h"
#include "SpoiledResponses.h"

#include <atomic>
#include <condition_variable>
#include <fmt/format.h>
#include <map>
#include <nlohmann/json.hpp>

namespace Gooseberrymill::Testing {

// Position-dependent content, so that lost, repeated or crossed parts change the digest.
inline char patternByte(uint64_t position) { return static_cast<char>((position * 2654435761U) >> 24); }

inline std::string patternBytes(uint64_t position, size_t size)
{
    std::string bytes(size, '\0');
    for (size_t i = 0; i < size; ++i)
        bytes[i] = patternByte(position + i);
    return bytes;
}

inline int64_t millisOf(std::chrono::steady_clock::time_point time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

// FNV-1a; enough to tell contents apart in a test.
struct Digest {
    uint64_t value = 0xcbf29ce484222325;
    uint64_t bytes = 0;
    void add(std::string_view data)
    {
        for (char c : data)
            value = (value ^ static_cast<uint8_t>(c)) * 0x100000001b3;
        bytes += data.size();
    }
    std::string text() const { return fmt::format("{}:{:016x}", bytes, value); }
};

class UpstreamStandIn {
public:
    UpstreamStandIn(uint16_t port = 0)
        : m_task("upstream", Task::Thread::New)
    {
        m_task.start();
        runAndWait(m_task, [&] { listen(port); });
    }

    ~UpstreamStandIn()
    {
        runAndWait(m_task, [&] {
            m_restart.reset();
            stopListening();
        });
    }

    std::string address() const { return fmt::format("127.0.0.1:{}", m_port); }
    uint16_t port() const { return m_port; }

    // Requests that reached the upstream for a target, whatever became of them.
    size_t count(const std::string& target)
    {
        std::lock_guard lock(m_mutex);
        return m_counts[target];
    }

    bool waitForCount(const std::string& target, size_t n, std::chrono::seconds limit = std::chrono::seconds(20))
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(lock, limit, [&] { return m_counts[target] >= n; });
    }

    // How often the fault "crash" ended the upstream. Several requests may end in one crash.
    size_t crashes() const { return m_crashes; }

    // Waits until the upstream has started again after the fault "crash".
    bool waitForRestart(std::chrono::seconds limit = std::chrono::seconds(20))
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(lock, limit, [&] { return m_isListening; });
    }

    // Names and values of the last request's headers.
    std::vector<Header> lastHeaders()
    {
        std::lock_guard lock(m_mutex);
        return m_lastHeaders;
    }

    // Answers all held requests ("hold").
    void releaseHeld()
    {
        m_task.post([this] {
            for (auto& exchange : std::exchange(m_held, {}))
                respond(*exchange);
        });
    }

    // Closes the connections of all stalled responses ("stall") before their end.
    void closeStalled()
    {
        runAndWait(m_task, [this] {
            for (const auto& stream : m_stalled)
                g_io_stream_close(stream.get(), nullptr, nullptr);
            m_stalled.clear();
        });
    }

    // Called on the task of the upstream. Set before the first request.
    std::function<void()> onCrash; // fault "crash"
    std::function<void(const std::string&)> onState; // a new state to announce

    // Closes the listener and every connection at once, like a process that ends.
    void crash()
    {
        runAndWait(m_task, [&] { stopListening(); });
    }

private:
    struct Exchange {
        UpstreamStandIn* upstream = nullptr;
        ObjectHandle<SoupServerMessage> message;
        std::string target;
        Digest body;
        uint64_t size = 0;
        uint64_t sent = 0;
        SourceHandle timer;
    };

    void listen(uint16_t port)
    {
        auto socket = listenSocket("127.0.0.1", port, false);
        g_assert(socket.has_value());
        m_port = localPort(socket.value().get());
        m_server.reset(soup_server_new("raw-paths", TRUE, nullptr));
        soup_server_add_early_handler(m_server.get(), "/", onEarly, this, nullptr);
        soup_server_add_handler(m_server.get(), "/", onRequest, this, nullptr);
        g_assert(soup_server_listen_socket(
            m_server.get(), socket.value().get(), static_cast<SoupServerListenOptions>(0), nullptr));
    }

    void stopListening()
    {
        m_held.clear();
        for (auto& [message, exchange] : m_exchanges)
            exchange->timer.reset();
        if (m_server)
            soup_server_disconnect(m_server.get());
        m_server.reset();
        m_exchanges.clear();
    }

    void crashAndRestart()
    {
        // Long enough for a busy machine to try a connection before it.
        constexpr Duration restartDelay = 300ms;
        if (!m_server)
            return; // an earlier request crashed it
        ++m_crashes;
        setListening(false);
        stopListening();
        m_restart = m_task.every(restartDelay, [this] {
            listen(m_port);
            setListening(true);
            return false;
        });
    }

    void setListening(bool isListening)
    {
        std::lock_guard lock(m_mutex);
        m_isListening = isListening;
        m_changed.notify_all();
    }

    static std::string header(SoupServerMessage* message, const char* name)
    {
        const char* value = soup_message_headers_get_one(soup_server_message_get_request_headers(message), name);
        return value ? value : "";
    }

    // The fault values of a request: its header, or the one set for all requests.
    std::string option(SoupServerMessage* message, const char* headerName, const char* name) const
    {
        std::string value = header(message, headerName);
        if (!value.empty())
            return value;
        auto it = m_faults.find(name);
        return it == m_faults.end() ? "" : it->second;
    }

    static bool isControl(const std::string& target) { return target.starts_with("/.stand-in/"); }

    std::string countsJson()
    {
        std::lock_guard lock(m_mutex);
        size_t total = 0;
        for (const auto& [target, n] : m_counts)
            total += n;
        return nlohmann::json { { "total", total }, { "targets", m_counts }, { "bodies", m_bodyCounts } }.dump();
    }

    std::string arrivalsJson()
    {
        std::lock_guard lock(m_mutex);
        return nlohmann::json(m_arrivals).dump();
    }

    void serveControl(SoupServerMessage* message, const std::string& path, GHashTable* query)
    {
        std::map<std::string, std::string> values;
        GHashTableIter it;
        gpointer key = nullptr;
        gpointer value = nullptr;
        if (query) {
            g_hash_table_iter_init(&it, query);
            while (g_hash_table_iter_next(&it, &key, &value))
                values[static_cast<const char*>(key)] = static_cast<const char*>(value);
        }
        if (path == "/.stand-in/faults")
            m_faults = values;
        if (path == "/.stand-in/state" && onState)
            onState(values["value"]);
        std::string text = "{}";
        if (path == "/.stand-in/counts")
            text = countsJson();
        else if (path == "/.stand-in/arrivals")
            text = arrivalsJson();
        soup_server_message_set_status(message, SOUP_STATUS_OK, nullptr);
        soup_server_message_set_response(message, "application/json", SOUP_MEMORY_COPY, text.data(), text.size());
    }

    static void onEarly(
        SoupServer* /*server*/, SoupServerMessage* message, const char* /*path*/, GHashTable* /*query*/, gpointer data)
    {
        auto* self = static_cast<UpstreamStandIn*>(data);
        auto exchange = std::make_shared<Exchange>();
        exchange->upstream = self;
        exchange->message = shareObject(message);
        GUri* uri = soup_server_message_get_uri(message);
        exchange->target = g_uri_get_path(uri);
        if (const char* query = g_uri_get_query(uri))
            exchange->target += std::string("?") + query;
        self->m_exchanges[message] = exchange;
        soup_message_body_set_accumulate(soup_server_message_get_request_body(message), FALSE);
        soup_message_body_set_accumulate(soup_server_message_get_response_body(message), FALSE);
        g_signal_connect(message, "got-chunk", G_CALLBACK(onChunk), exchange.get());
        g_signal_connect(message, "wrote-chunk", G_CALLBACK(onWrote), exchange.get());
        g_signal_connect(message, "finished", G_CALLBACK(onFinished), exchange.get());
        if (isControl(exchange->target))
            return;
        std::lock_guard lock(self->m_mutex);
        ++self->m_counts[exchange->target];
        self->m_arrivals.emplace_back(exchange->target, millisOf(std::chrono::steady_clock::now()));
        self->m_lastHeaders.clear();
        soup_message_headers_foreach(
            soup_server_message_get_request_headers(message),
            [](const char* name, const char* value, gpointer list) {
                static_cast<std::vector<Header>*>(list)->push_back({ name, value });
            },
            &self->m_lastHeaders);
        self->m_changed.notify_all();
    }

    static void onChunk(SoupServerMessage* /*message*/, GBytes* bytes, gpointer data)
    {
        gsize size = 0;
        const auto* start = static_cast<const char*>(g_bytes_get_data(bytes, &size));
        static_cast<Exchange*>(data)->body.add({ start, size });
    }

    static void onFinished(SoupServerMessage* message, gpointer data)
    {
        auto* self = static_cast<Exchange*>(data)->upstream;
        g_signal_handlers_disconnect_by_data(message, data);
        auto it = self->m_exchanges.find(message);
        auto exchange = it == self->m_exchanges.end() ? nullptr : it->second;
        if (exchange)
            exchange->timer.reset();
        std::erase_if(self->m_held, [&](const auto& held) { return held.get() == data; });
        self->m_exchanges.erase(message);
    }

    static void onRequest(
        SoupServer* /*server*/, SoupServerMessage* message, const char* path, GHashTable* query, gpointer data)
    {
        auto* self = static_cast<UpstreamStandIn*>(data);
        auto exchange = self->m_exchanges.at(message);
        if (isControl(exchange->target)) {
            self->serveControl(message, path, query);
            return;
        }
        {
            std::lock_guard lock(self->m_mutex);
            ++self->m_bodyCounts[exchange->body.text()];
        }
        std::string fault = self->option(message, "Stand-In-Fault", "fault");
        std::string size = self->option(message, "Stand-In-Size", "size");
        exchange->size = size.empty() ? 0 : std::stoull(size);
        if (fault == "crash" && self->onCrash)
            self->onCrash();
        if (fault == "slow") {
            soup_server_message_pause(message);
            auto delay = std::chrono::milliseconds(std::stoll(self->option(message, "Stand-In-Delay-Ms", "delayMs")));
            exchange->timer = self->m_task.every(delay, [exchange] {
                auto held = holdReference(exchange);
                held->upstream->respond(*held);
                return false;
            });
        } else if (fault == "hold") {
            soup_server_message_pause(message);
            self->m_held.push_back(exchange);
        } else if (fault == "close")
            takeOver(*exchange, "");
        else if (fault == "crash") {
            soup_server_message_pause(message);
            self->m_task.post([self] { self->crashAndRestart(); });
        } else if (fault == "cut")
            takeOver(*exchange, cutResponse(exchange->size));
        else if (fault == "unfinished")
            takeOver(*exchange, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n");
        else if (fault == "stall") {
            std::string part = patternBytes(0, exchange->size);
            self->m_stalled.push_back(startTakeOver(*exchange,
                fmt::format("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{}\r\n", part.size(), part)));
        } else if (fault == "stall-sized")
            self->m_stalled.push_back(startTakeOver(*exchange, cutResponse(2 * exchange->size)));
        else if (fault == "spoil")
            spoil(exchange, std::stoull(self->option(message, "Stand-In-Seed", "seed")));
        else if (fault == "endless")
            takeOver(*exchange, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nno length");
        else
            self->respond(*exchange);
    }

    static std::string textOf(const Exchange& exchange)
    {
        return fmt::format(
            "{} {} {}", soup_server_message_get_method(exchange.message.get()), exchange.target, exchange.body.text());
    }

    static void spoil(const std::shared_ptr<Exchange>& exchange, uint64_t seed)
    {
        constexpr std::chrono::milliseconds openTime { 300 }; // of a connection that the response does not close
        constexpr size_t mostLines = 100; // so that each piece of the response is written at once
        seed ^= std::hash<std::string>()(exchange->target);
        std::string body;
        for (size_t lines = 1 + seed % mostLines; lines; --lines)
            body += textOf(*exchange) + "\n";
        SpoiledResponse response
            = ResponseSpoiler(seed, fmt::format("Stand-In-Bytes: {}\r\n", body.size()), body).draw(false);
        if (!response.closes)
            response.pieces.push_back({ openTime, "" });
        auto socket = std::shared_ptr<GSocket>(
            shareObject(soup_server_message_get_socket(exchange->message.get())).release(), g_object_unref);
        auto stream = std::shared_ptr<GIOStream>(startTakeOver(*exchange, "").release(), g_object_unref);
        writePieces(exchange->upstream->m_task.context(), socket, stream, std::move(response), 0);
    }

    // Writes the pieces from the given one on, and closes.
    static void writePieces(GMainContext* context, const std::shared_ptr<GSocket>& socket,
        const std::shared_ptr<GIOStream>& stream, SpoiledResponse response, size_t next)
    {
        while (next < response.pieces.size() && response.pieces[next].delay.count() == 0)
            writeAll(socket.get(), response.pieces[next++].bytes);
        if (next == response.pieces.size()) {
            if (response.resets)
                closeWithReset(socket.get());
            g_io_stream_close(stream.get(), nullptr, nullptr);
            return;
        }
        auto delay = std::exchange(response.pieces[next].delay, {});
        GSource* timer = g_timeout_source_new(static_cast<guint>(delay.count()));
        auto* rest = new std::function<void()>([context, socket, stream, response = std::move(response), next] {
            writePieces(context, socket, stream, response, next);
        });
        auto call = [](gpointer data) -> gboolean {
            (*static_cast<std::function<void()>*>(data))();
            return G_SOURCE_REMOVE;
        };
        g_source_set_callback(
            timer, call, rest, [](gpointer data) { delete static_cast<std::function<void()>*>(data); });
        g_source_attach(timer, context);
        g_source_unref(timer);
    }

    static void writeAll(GSocket* socket, std::string_view text)
    {
        while (!text.empty()) {
            gssize n = g_socket_send(socket, text.data(), text.size(), nullptr, nullptr);
            if (n <= 0)
                break;
            text.remove_prefix(static_cast<size_t>(n));
        }
    }

    // Half of what Content-Length promises.
    static std::string cutResponse(uint64_t size)
    {
        uint64_t promised = std::max<uint64_t>(size, 10);
        return fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", promised) + patternBytes(0, promised / 2);
    }

    // Takes the connection away from libsoup, writes `text` and closes.
    static void takeOver(Exchange& exchange, const std::string& text)
    {
        g_io_stream_close(startTakeOver(exchange, text).get(), nullptr, nullptr);
    }

    // Takes the connection away from libsoup and writes `text`. The connection lives as long as the stream.
    static ObjectHandle<GIOStream> startTakeOver(Exchange& exchange, const std::string& text)
    {
        auto message = shareObject(exchange.message.get());
        auto socket = shareObject(soup_server_message_get_socket(message.get()));
        ObjectHandle<GIOStream> stream(soup_server_message_steal_connection(message.get()));
        g_socket_set_blocking(socket.get(), TRUE);
        writeAll(socket.get(), text);
        return stream;
    }

    void respond(Exchange& exchange)
    {
        SoupServerMessage* message = exchange.message.get();
        std::string fault = exchange.upstream->option(message, "Stand-In-Fault", "fault");
        auto* headers = soup_server_message_get_response_headers(message);
        guint status = fault == "shed" ? 503
            : fault == "status"        ? std::stoi(exchange.upstream->option(message, "Stand-In-Status", "status"))
                                       : 200;
        soup_server_message_set_status(message, status, nullptr);
        if (fault == "shed")
            soup_message_headers_append(headers, "Retry-After", "3");
        std::string extra = exchange.upstream->option(message, "Stand-In-Header", "header");
        if (size_t colon = extra.find(':'); colon != std::string::npos)
            soup_message_headers_append(headers, extra.substr(0, colon).c_str(), extra.substr(colon + 1).c_str());
        soup_message_headers_append(headers, "Stand-In-Digest", exchange.body.text().c_str());
        if (exchange.size) {
            soup_message_headers_set_encoding(headers, SOUP_ENCODING_CHUNKED);
            if (header(message, "Stand-In-Sized") == "yes")
                soup_message_headers_set_content_length(headers, static_cast<goffset>(exchange.size));
            sendMore(exchange);
        } else {
            std::string text = textOf(exchange);
            soup_server_message_set_response(message, "text/plain", SOUP_MEMORY_COPY, text.data(), text.size());
        }
        soup_server_message_unpause(message);
    }

    static void sendMore(Exchange& exchange)
    {
        constexpr uint64_t step = 64 << 10;
        auto* body = soup_server_message_get_response_body(exchange.message.get());
        uint64_t n = std::min(step, exchange.size - exchange.sent);
        if (n) {
            std::string bytes = patternBytes(exchange.sent, n);
            soup_message_body_append(body, SOUP_MEMORY_COPY, bytes.data(), bytes.size());
            exchange.sent += n;
        } else
            soup_message_body_complete(body);
    }

    static void onWrote(SoupServerMessage* message, gpointer data)
    {
        auto& exchange = *static_cast<Exchange*>(data);
        if (!exchange.size)
            return;
        sendMore(exchange);
        soup_server_message_unpause(message);
    }

    Task m_task;
    uint16_t m_port = 0;
    bool m_isListening = true; // guarded by m_mutex
    std::atomic<size_t> m_crashes { 0 };
    SourceHandle m_restart;
    ObjectHandle<SoupServer> m_server;
    std::map<SoupServerMessage*, std::shared_ptr<Exchange>> m_exchanges;
    std::vector<std::shared_ptr<Exchange>> m_held;
    std::vector<ObjectHandle<GIOStream>> m_stalled;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, size_t> m_counts;
    std::vector<std::pair<std::string, int64_t>> m_arrivals; // target and steady clock in milliseconds
    std::map<std::string, size_t> m_bodyCounts; // by digest; requests whose body came whole
    std::map<std::string, std::string> m_faults; // for requests without a fault of their own
    std::vector<Header> m_lastHeaders;
};

} // namespace Gooseberrymill::Testing

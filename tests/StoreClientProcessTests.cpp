#define BOOST_TEST_MODULE StoreClientProcess
#include "EndlessResponses.h"
#include "FaultProxy.h"
#include "StoreClient.h"
#include "StoreStandIn.h"
#include "Task.h"

#include <array>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <future>
#include <thread>

using namespace Gooseberrymill;
using namespace Gooseberrymill::Testing;

namespace {

constexpr Duration patience = 60s; // bound of a wait for an event that is certain to come

// Runs the main context until `isDone`; fails the test when that takes too long. A periodic wake-up lets
// conditions of the stand-in's thread be seen, which cause no event here.
void runUntil(const std::function<bool()>& isDone)
{
    constexpr guint wakeUpMillis = 10;
    GSource* source = g_timeout_source_new(wakeUpMillis);
    g_source_set_callback(
        source, [](gpointer) -> gboolean { return G_SOURCE_CONTINUE; }, nullptr, nullptr);
    g_source_attach(source, nullptr);
    SourceHandle owned(source);
    Instant end = currentInstant() + patience;
    while (!isDone() && currentInstant() < end)
        g_main_context_iteration(nullptr, TRUE);
    BOOST_REQUIRE_MESSAGE(isDone(), "no event within the bound");
}

// The stand-in on a thread of its own.
struct StoreFixture {
    StoreFixture()
    {
        task.start();
        run([this] { standIn = std::make_unique<StoreStandIn>(); });
    }
    ~StoreFixture()
    {
        run([this] { standIn.reset(); });
    }

    void run(const std::function<void()>& function)
    {
        std::promise<void> done;
        task.post([&] {
            function();
            done.set_value();
        });
        done.get_future().wait();
    }

    void setFaults(const StoreStandIn::Faults& faults)
    {
        run([&] { standIn->setFaults(faults); });
    }

    uint64_t count(const std::string& call)
    {
        uint64_t count = 0;
        run([&] { count = standIn->count(call); });
        return count;
    }

    StoreClient makeClient(Duration timeout = patience) const { return { standIn->url(), timeout }; }

    Task task { "store", Task::Thread::New };
    std::unique_ptr<StoreStandIn> standIn;
};

template <typename T> struct Reply {
    std::optional<Result<T>> result;
    Callback<T> callback()
    {
        return [this](Result<T> r) {
            BOOST_TEST(!result.has_value(), "callback ran twice");
            result = std::move(r);
        };
    }
    const Result<T>& wait()
    {
        runUntil([this] { return result.has_value(); });
        return *result;
    }
};

template <typename T> void checkError(const Result<T>& result, ErrorCode expected)
{
    BOOST_REQUIRE(!result.has_value());
    BOOST_TEST(result.error().code == makeErrorCode(expected), toString(result.error()));
    BOOST_TEST(!result.error().step.empty());
    BOOST_TEST(!result.error().peer.empty());
}

Result<uint64_t> put(StoreClient& client, std::string_view name, const std::string& value, uint64_t version)
{
    Reply<uint64_t> reply;
    client.put("roster", name, value, version, reply.callback());
    return reply.wait();
}

Result<StoredObject> get(StoreClient& client, std::string_view name)
{
    Reply<StoredObject> reply;
    client.get("roster", name, reply.callback());
    return reply.wait();
}

// A client whose open connections to the store can be made silent for good.
struct SilentPath {
    explicit SilentPath(const StoreFixture& store)
        : proxy(store.standIn->port())
        , client(fmt::format("http://127.0.0.1:{}", proxy.port()), timeout)
    {
    }

    // Leaves some idle connections in the client's pool.
    void openConnections()
    {
        std::array<Reply<StoredObject>, 5> replies;
        for (auto& it : replies)
            client.get("roster", "banco", it.callback());
        for (auto& it : replies)
            it.wait();
    }

    void silence()
    {
        proxy.silenceOpenConnections();
        std::this_thread::sleep_for(proxyTurn);
    }

    static constexpr Duration timeout = 1s; // of each call, as on the platform
    static constexpr Duration proxyTurn = 50ms; // after which the proxy has applied a change
    FaultProxy proxy;
    StoreClient client;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(store, StoreFixture)

// Guards against a mapping to HTTP that differs from the design page.
BOOST_AUTO_TEST_CASE(readsAndWritesObjects)
{
    StoreClient client = makeClient();
    checkError(get(client, "sello"), ErrorCode::NotFound);
    auto created = put(client, "sello", R"({"a": 1})", 0);
    BOOST_REQUIRE(created);
    auto read = get(client, "sello");
    BOOST_REQUIRE(read);
    BOOST_TEST(read.value().version == created.value());
    BOOST_TEST(read.value().value == R"({"a": 1})");
    auto updated = put(client, "sello", R"({"a": 2})", created.value());
    BOOST_REQUIRE(updated);
    BOOST_TEST(updated.value() > created.value());
    BOOST_REQUIRE(put(client, "archivo/0-17 x", "[]", 0));

    Reply<std::vector<StoredObject>> list;
    client.list("roster", list.callback());
    BOOST_REQUIRE(list.wait());
    BOOST_REQUIRE(list.result->value().size() == 2);
    BOOST_TEST(list.result->value()[0].name == "archivo/0-17 x");
    BOOST_TEST(list.result->value()[1].value == R"({"a":2})");

    Reply<uint64_t> removed;
    client.remove("roster", "sello", updated.value(), removed.callback());
    BOOST_REQUIRE(removed.wait());
    checkError(get(client, "sello"), ErrorCode::NotFound);
    BOOST_TEST(client.callCounts().at("roster").reads == 3U);
    BOOST_TEST(client.callCounts().at("roster").writes == 4U);
    BOOST_TEST(client.callCounts().at("roster").lists == 1U);
    BOOST_TEST(client.pendingCalls() == 0U);
}

// Guards against an update that overwrites a change it has not seen.
BOOST_AUTO_TEST_CASE(conditionalWritesConflict)
{
    StoreClient client = makeClient();
    auto created = put(client, "banco", "1", 0);
    BOOST_REQUIRE(created);
    checkError(put(client, "banco", "2", 0), ErrorCode::Conflict);
    checkError(put(client, "banco", "2", created.value() + 7), ErrorCode::Conflict);
    checkError(put(client, "other", "2", 7), ErrorCode::Conflict);
    Reply<uint64_t> removed;
    client.remove("roster", "banco", created.value() + 7, removed.callback());
    checkError(removed.wait(), ErrorCode::Conflict);
    BOOST_TEST(get(client, "banco").value().value == "1");
}

// Guards against calling a write that certainly had no effect uncertain, or the reverse.
BOOST_AUTO_TEST_CASE(refusedConnectionHasNoEffect)
{
    StoreClient client = makeClient();
    BOOST_REQUIRE(put(client, "banco", "1", 0)); // leaves a kept-alive connection or none
    setFaults({ .down = "refuse" });
    checkError(put(client, "other", "2", 0), ErrorCode::Unavailable);
    checkError(get(client, "other"), ErrorCode::Unavailable);
    setFaults({});
    checkError(get(client, "other"), ErrorCode::NotFound);
    BOOST_TEST(put(client, "other", "2", 0).has_value());
}

// Guards against a write that took effect being called "had no effect", and against the HTTP library
// sending it a second time by itself.
BOOST_AUTO_TEST_CASE(lostAnswerIsNotNoEffect)
{
    StoreClient client = makeClient();
    checkError(get(client, "banco"), ErrorCode::NotFound); // a connection that could be kept alive
    setFaults({ .loseAnswers = 1 });
    checkError(put(client, "banco", "1", 0), ErrorCode::AnswerLost);
    BOOST_TEST(count("put") == 1U);
    BOOST_TEST(get(client, "banco").value().value == "1");

    uint64_t version = get(client, "banco").value().version;
    setFaults({ .loseAnswers = 1 });
    Reply<uint64_t> removed;
    client.remove("roster", "banco", version, removed.callback());
    checkError(removed.wait(), ErrorCode::AnswerLost);
    BOOST_TEST(count("delete") == 1U);
    checkError(get(client, "banco"), ErrorCode::NotFound);
}

// Guards against a call that never ends while the store accepts connections and says nothing.
BOOST_AUTO_TEST_CASE(hangingStoreTimesOut)
{
    StoreClient client = makeClient(200ms);
    setFaults({ .down = "hang" });
    checkError(put(client, "banco", "1", 0), ErrorCode::Timeout);
    checkError(get(client, "banco"), ErrorCode::Timeout);
    BOOST_TEST(count("hung") == 2U);
    BOOST_TEST(client.pendingCalls() == 0U);
}

// Guards against a slow store being taken for one that is down.
BOOST_AUTO_TEST_CASE(slowStoreIsWaitedFor)
{
    StoreClient client = makeClient();
    setFaults({ .delayMs = 300 });
    BOOST_TEST(put(client, "banco", "1", 0).has_value());
    BOOST_TEST(get(client, "banco").has_value());
}

// Guards against a watch that misses a change or reports an old one.
BOOST_AUTO_TEST_CASE(watchReportsChange)
{
    StoreClient client = makeClient();
    auto created = put(client, "banco", "1", 0);
    BOOST_REQUIRE(created);
    Reply<StoredObject> known;
    client.watch("roster", "banco", created.value() - 1, 30s, known.callback());
    BOOST_REQUIRE(known.wait());
    BOOST_TEST(known.result->value().version == created.value());

    Reply<StoredObject> changed;
    client.watch("roster", "banco", created.value(), 30s, changed.callback());
    runUntil([&] { return count("watch") == 2; });
    BOOST_TEST(!changed.result.has_value());
    auto updated = put(client, "banco", "2", created.value());
    BOOST_REQUIRE(updated);
    BOOST_REQUIRE(changed.wait());
    BOOST_TEST(changed.result->value().version == updated.value());
    BOOST_TEST(changed.result->value().value == "2");

    Reply<StoredObject> awaited; // an object that does not exist yet
    client.watch("roster", "later", 0, 30s, awaited.callback());
    runUntil([&] { return count("watch") == 3; });
    BOOST_REQUIRE(put(client, "later", "3", 0));
    BOOST_REQUIRE(awaited.wait());
    BOOST_TEST(awaited.result->value().value == "3");
}

// Guards against a watch that waits for ever when nothing changes or when the store forgets it.
BOOST_AUTO_TEST_CASE(watchEnds)
{
    StoreClient client = makeClient(200ms);
    auto created = put(client, "banco", "1", 0);
    BOOST_REQUIRE(created);
    Reply<StoredObject> unchanged;
    client.watch("roster", "banco", created.value(), 1s, unchanged.callback());
    checkError(unchanged.wait(), ErrorCode::Unchanged);
    setFaults({ .silentWatches = true });
    Reply<StoredObject> silent;
    client.watch("roster", "banco", created.value(), 1s, silent.callback());
    checkError(silent.wait(), ErrorCode::Timeout);
}

// Guards against a change that a watcher sees too late, because its watch waits on a connection that is dead without a
// reset, and the next watch takes another dead connection of the pool.
BOOST_AUTO_TEST_CASE(watchAfterASilentOneSeesTheChange)
{
    constexpr Duration configurationDelay = 2500ms; // from a change to its effect on all nodes
    SilentPath path(*this);
    auto created = put(path.client, "banco", "1", 0);
    BOOST_REQUIRE(created);
    path.openConnections();
    Reply<StoredObject> silent;
    path.client.watch("roster", "banco", created.value(), 1s, silent.callback());
    runUntil([&] { return count("watch") == 1; });
    path.silence();
    StoreClient writer = makeClient();
    BOOST_REQUIRE(get(writer, "banco")); // learns the era
    auto changed = put(writer, "banco", "2", created.value());
    BOOST_REQUIRE(changed);
    Instant changedAt = currentInstant();
    checkError(silent.wait(), ErrorCode::Timeout);
    Reply<StoredObject> next;
    path.client.watch("roster", "banco", created.value(), 1s, next.callback());
    BOOST_REQUIRE(next.wait());
    BOOST_TEST(next.result->value().version == changed.value());
    BOOST_TEST((currentInstant() - changedAt < configurationDelay));
}

// Guards against a starting node whose reads take one dead connection after the other.
BOOST_AUTO_TEST_CASE(readAfterASilentOneIsAnswered)
{
    SilentPath path(*this);
    BOOST_REQUIRE(put(path.client, "banco", "1", 0));
    path.openConnections();
    path.silence();
    checkError(get(path.client, "banco"), ErrorCode::Timeout);
    Reply<std::vector<StoredObject>> list;
    path.client.list("roster", list.callback());
    BOOST_REQUIRE(list.wait());
    BOOST_TEST(list.result->value().size() == 1U);
}

// Guards against a node whose record is never written, because each write takes a dead connection.
BOOST_AUTO_TEST_CASE(writeAfterASilentOneIsAnswered)
{
    SilentPath path(*this);
    path.openConnections();
    path.proxy.setFault(PathFault::Silence);
    Reply<uint64_t> silent;
    path.client.put("roster", "banco", "1", 0, silent.callback());
    checkError(silent.wait(), ErrorCode::Timeout);
    path.silence();
    path.proxy.setFault(PathFault::None);
    BOOST_TEST(put(path.client, "banco", "1", 0).has_value());
}

// Guards against a slow store that never delivers a change, because each watch is given up before its response.
BOOST_AUTO_TEST_CASE(watchOfASlowStoreIsAnsweredAfterOneMiss)
{
    StoreClient client = makeClient(2s);
    auto created = put(client, "banco", "1", 0);
    BOOST_REQUIRE(created);
    StoreStandIn::Faults slow;
    slow.watchDelayMs = 1000;
    setFaults(slow);
    auto watch = [&] {
        Reply<StoredObject> reply;
        client.watch("roster", "banco", created.value(), 1s, reply.callback());
        return reply.wait();
    };
    checkError(watch(), ErrorCode::Timeout);
    checkError(watch(), ErrorCode::Unchanged);
    checkError(watch(), ErrorCode::Unchanged);
}

// Guards against a configuration that goes back to an older version.
BOOST_AUTO_TEST_CASE(olderVersionDoesNotSatisfyWatch)
{
    StoreClient client = makeClient();
    auto first = put(client, "banco", "1", 0);
    auto second = put(client, "banco", "2", first.value());
    setFaults({ .olderVersions = true });
    BOOST_TEST(get(client, "banco").value().version == first.value()); // the caller must compare
    Reply<StoredObject> older;
    client.watch("roster", "banco", second.value(), 30s, older.callback());
    checkError(older.wait(), ErrorCode::Malformed);
}

// Guards against memory use without a bound.
BOOST_AUTO_TEST_CASE(sizesAreBounded)
{
    StoreClient client = makeClient();
    std::string fits = '"' + std::string(maxStoreValueBytes - 2, 'x') + '"';
    BOOST_TEST(put(client, "fits", fits, 0).has_value());
    BOOST_TEST(get(client, "fits").value().value.size() == maxStoreValueBytes);
    checkError(put(client, "large", fits + " ", 0), ErrorCode::TooLarge);
    BOOST_TEST(count("put") == 1U);
    // Another client has written a value above the bound.
    ObjectHandle<SoupSession> session(soup_session_new());
    ObjectHandle<SoupMessage> message(soup_message_new("PUT", (standIn->url() + "/objects/roster/huge").c_str()));
    std::string huge = fits + std::string(100, ' ');
    BytesHandle bytes(g_bytes_new(huge.data(), huge.size()));
    soup_message_set_request_body_from_bytes(message.get(), "application/json", bytes.get());
    BytesHandle answer(soup_session_send_and_read(session.get(), message.get(), nullptr, nullptr));
    checkError(get(client, "huge"), ErrorCode::TooLarge);
}

// Guards against a callback into an object that no longer exists.
BOOST_AUTO_TEST_CASE(destroyedClientDropsCalls)
{
    setFaults({ .down = "hang" });
    Reply<StoredObject> reply;
    {
        StoreClient client = makeClient();
        client.get("roster", "banco", reply.callback());
        runUntil([&] { return count("hung") == 1; });
        client.get("roster", "other", reply.callback()); // not yet sent
    }
    StoreClient other = makeClient(200ms);
    checkError(get(other, "banco"), ErrorCode::Timeout); // the loop runs on
    BOOST_TEST(!reply.result.has_value());
}

// Guards against a wrong address in the settings ending the process.
BOOST_AUTO_TEST_CASE(wrongAddressIsError)
{
    StoreClient client("nonsense", 1s);
    checkError(get(client, "banco"), ErrorCode::Invalid);
    checkError(put(client, "banco", "1", 0), ErrorCode::Invalid);
}

// Guards against a watch that skips changes because the restored store gave its position out again.
BOOST_AUTO_TEST_CASE(watchFromAnEarlierEraEnds)
{
    StoreClient client = makeClient();
    auto written = put(client, "sello", "1", 0);
    BOOST_REQUIRE(written);
    run([this] { standIn->restore(1h); });
    Reply<StoredObject> watched;
    client.watch("roster", "sello", written.value(), 1s, watched.callback());
    checkError(watched.wait(), ErrorCode::Unsupported);
    BOOST_TEST(client.era() == 2U);
    auto again = put(client, "sello", "2", 0);
    BOOST_REQUIRE(again);
    BOOST_TEST(again.value() > written.value());
}

// Guards against a conditional write that overwrites what it has not seen, because its revision was given out again.
BOOST_AUTO_TEST_CASE(conditionOfAnEarlierEraConflicts)
{
    StoreClient client = makeClient();
    StoreClient other = makeClient();
    auto written = put(client, "sello", "1", 0);
    BOOST_REQUIRE(written);
    run([this] { standIn->restore(1h); });
    BOOST_REQUIRE(put(other, "sello", "2", 0));
    BOOST_TEST(get(client, "sello").value().value == "2"); // has the revision of the lost write
    checkError(put(client, "sello", "3", written.value()), ErrorCode::Conflict);
    Reply<uint64_t> removed;
    client.remove("roster", "sello", written.value(), removed.callback());
    checkError(removed.wait(), ErrorCode::Conflict);
    BOOST_TEST(get(client, "sello").value().value == "2");
}

// Guards against a late response that shows what the store has lost since.
BOOST_AUTO_TEST_CASE(lateResponseOfAnEarlierEraFails)
{
    StoreClient client = makeClient();
    BOOST_REQUIRE(put(client, "sello", "1", 0));
    StoreStandIn::Faults slow;
    slow.delayMs = 400;
    setFaults(slow);
    Reply<StoredObject> late;
    client.get("roster", "sello", late.callback());
    runUntil([&] { return count("get") == 1; });
    setFaults({});
    run([this] { standIn->restoreKeepingAnswers(1h); });
    uint64_t newEra = 0;
    client.onNewEra([&](uint64_t era) { newEra = era; });
    checkError(get(client, "sello"), ErrorCode::NotFound);
    BOOST_TEST(newEra == 2U);
    checkError(late.wait(), ErrorCode::Unavailable);
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against a store that writes without end and so holds the control task, or its memory, for good.
BOOST_AUTO_TEST_CASE(endlessResponsesHoldLittleAndEnd)
{
    constexpr size_t maxGrowthKiB = 8 << 10;
    constexpr Duration limit = 5s;
    for (const EndlessResponse& response : endlessResponses()) {
        BOOST_TEST_CONTEXT(response.name)
        {
            RawUpstream raw([&](const std::string& head) {
                return RawResponse { response.start(idOf(head)), false, false, response.repeated };
            });
            StoreClient client("http://" + raw.address(), 1s);
            size_t before = residentKiB();
            Instant start = currentInstant();
            Reply<StoredObject> read;
            Reply<uint64_t> write;
            client.get("kind", "name", read.callback());
            client.put("kind", "name", "value", 0, write.callback());
            runUntil([&] { return read.result && write.result; });
            BOOST_TEST((currentInstant() - start).count() < limit.count());
            BOOST_TEST(residentKiB() - std::min(before, residentKiB()) <= maxGrowthKiB);
            if (!*write.result)
                BOOST_TEST(write.result->error().code != makeErrorCode(ErrorCode::Unavailable)); // it may have run
        }
    }
}

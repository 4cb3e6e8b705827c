#define BOOST_TEST_MODULE AdminServer
#include "AdminServer.h"

#include "Task.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <future>
#include <rapidcheck/boost_test.h>

using namespace Gooseberrymill;

namespace {

const std::string validAnnouncement
    = R"({"name": "sello-01", "service": "sello", "address": "127.0.0.1:9000", "slots": 4, "state": "ready", "load": 2})";

// Runs a server on its own task, with callbacks that record their arguments.
struct AdminFixture {
    AdminFixture()
    {
        task.start();
        runOnTask([this] {
            server = std::make_unique<AdminServer>(makeCallbacks());
            auto bound = server->listen({ "127.0.0.1", 0 });
            port = bound ? bound.value() : 0;
        });
        BOOST_REQUIRE(port);
    }
    ~AdminFixture()
    {
        runOnTask([this] { server.reset(); });
    }

    AdminCallbacks makeCallbacks()
    {
        return { .isHealthy = [this] { return isHealthy.load(); },
            .metrics = [] { return std::string("a_total 1\n"); },
            .status = [] { return std::string(R"({"node": "n1"})"); },
            .announce =
                [this](const Announcement& announcement, AdminReply reply) {
                    announcements.push_back(announcement);
                    if (announcement.state == UpstreamState::Draining)
                        heldReplies.push_back(std::move(reply));
                    else
                        reply(boost::outcome_v2::success());
                },
            .operations = [] { return std::string(R"([{"id": "7"}])"); },
            .resolve = [this](const Resolution& resolution) -> Result<void> {
                resolutions.push_back(resolution);
                if (resolution.operation == "7")
                    return boost::outcome_v2::success();
                return Error { ErrorCode::NotFound, "operations.resolve", "", "" };
            } };
    }

    void runOnTask(const std::function<void()>& function)
    {
        std::promise<void> done;
        task.post([&] {
            function();
            done.set_value();
        });
        done.get_future().wait();
    }

    struct Response {
        guint status = 0; // HTTP status; 0: the connection ended without a response
        std::string body;
    };

    Response sendRequest(
        const char* method, const std::string& path, const std::string& body = "", bool isChunked = false) const
    {
        ObjectHandle<SoupSession> session(soup_session_new());
        ObjectHandle<SoupMessage> message(
            soup_message_new(method, fmt::format("http://127.0.0.1:{}{}", port, path).c_str()));
        if (isChunked) {
            ObjectHandle<GInputStream> stream(g_memory_input_stream_new_from_data(
                g_memdup2(body.data(), body.size()), static_cast<gssize>(body.size()), &g_free));
            soup_message_set_request_body(message.get(), "application/json", stream.get(), -1);
        } else if (!body.empty()) {
            BytesHandle bytes(g_bytes_new(body.data(), body.size()));
            soup_message_set_request_body_from_bytes(message.get(), "application/json", bytes.get());
        }
        BytesHandle responseBytes(soup_session_send_and_read(session.get(), message.get(), nullptr, nullptr));
        if (!responseBytes)
            return {};
        gsize size = 0;
        const auto* data = static_cast<const char*>(g_bytes_get_data(responseBytes.get(), &size));
        return { static_cast<guint>(soup_message_get_status(message.get())), std::string(data ? data : "", size) };
    }

    Task task { "admin", Task::Thread::New };
    std::unique_ptr<AdminServer> server;
    uint16_t port = 0;
    std::atomic<bool> isHealthy { true };
    std::vector<Announcement> announcements; // written on the task, read after the response has arrived
    std::vector<Resolution> resolutions;
    std::vector<AdminReply> heldReplies; // of draining announcements; used on the task
};

std::string withReplacement(std::string text, std::string_view from, std::string_view to)
{
    size_t at = text.find(from);
    BOOST_REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

} // namespace

// Guards against an upstream that is registered with invalid values.
BOOST_AUTO_TEST_CASE(announcementsAreValidated)
{
    auto accepted = parseAnnouncement(validAnnouncement);
    BOOST_REQUIRE(accepted);
    Announcement expected { "sello-01", "sello", "127.0.0.1:9000", 4, UpstreamState::Ready, 2 };
    BOOST_TEST((accepted.value() == expected));
    for (const auto& [from, to] : std::vector<std::pair<std::string, std::string>> { { "\"sello-01\"", "\"\"" },
             { "\"sello-01\"", "7" }, { "\"service\"", "\"services\"" }, { "127.0.0.1:9000", "sello.example:9000" },
             { "127.0.0.1:9000", "127.0.0.1:0" }, { "\"slots\": 4", "\"slots\": 0" },
             { "\"slots\": 4", "\"slots\": -4" }, { "\"slots\": 4", "\"slots\": 4294967297" },
             { "\"ready\"", "\"ejected\"" }, { "\"ready\"", "\"degraded\"" }, { "\"ready\"", "null" },
             { "\"load\": 2", "\"load\": -1" }, { "\"load\": 2", "\"load\": 1e300" },
             { "\"load\": 2", "\"load\": \"2\"" }, { "{", "[" } })
        BOOST_TEST_CONTEXT(to) { BOOST_TEST(!parseAnnouncement(withReplacement(validAnnouncement, from, to))); }
}

// Guards against malformed input from the network that crashes the process.
RC_BOOST_PROP(damagedAnnouncementsAreRefusedOrValid, (const std::string& junk))
{
    std::string text = validAnnouncement;
    text.insert(*rc::gen::inRange<size_t>(0, text.size()), junk);
    auto parsed = parseAnnouncement(text);
    if (parsed) // RC_ASSERT evaluates both sides of a logical operator
        RC_ASSERT(parsed.value().slots >= 1U);
}

BOOST_FIXTURE_TEST_SUITE(server, AdminFixture)

// Guards against a path that is not served, or is served with the content of another.
BOOST_AUTO_TEST_CASE(servesPages)
{
    BOOST_TEST(sendRequest("GET", "/healthz").status == 200U);
    isHealthy = false;
    BOOST_TEST(sendRequest("GET", "/healthz").status == 503U);
    BOOST_TEST(sendRequest("GET", "/metrics").body == "a_total 1\n");
    BOOST_TEST(sendRequest("GET", "/status").body == R"({"node": "n1"})");
    BOOST_TEST(sendRequest("GET", "/operations").body == R"([{"id": "7"}])");
    BOOST_TEST(sendRequest("GET", "/nothing").status == 404U);
    BOOST_TEST(sendRequest("GET", "/announce").status == 404U);
    BOOST_TEST(sendRequest("DELETE", "/status").status == 405U);
    BOOST_TEST(sendRequest("POST", "/nothing", "{}").status == 404U);
}

// Guards against a valid announcement that is lost and an invalid one that is accepted.
BOOST_AUTO_TEST_CASE(takesAnnouncements)
{
    BOOST_TEST(sendRequest("POST", "/announce", validAnnouncement).status == 200U);
    Response rejected = sendRequest("POST", "/announce", withReplacement(validAnnouncement, "4", "0"));
    BOOST_TEST(rejected.status == 400U);
    BOOST_TEST(rejected.body.find("slots") != std::string::npos);
    BOOST_TEST(announcements.size() == 1U);
}

// Guards against an acknowledgement that is sent before the node can give it, or never.
BOOST_AUTO_TEST_CASE(responseWaitsForItsResult)
{
    const std::string draining = withReplacement(validAnnouncement, "ready", "draining");
    for (const auto& [result, status] : { std::pair<Result<void>, guint>(boost::outcome_v2::success(), 200U),
             { Error { ErrorCode::Unavailable, "", "", "" }, 503U } }) {
        auto response = std::async(std::launch::async, [&] { return sendRequest("POST", "/announce", draining); });
        BOOST_TEST(sendRequest("GET", "/healthz").status == 200U); // the server goes on
        bool isHeld = false;
        while (!isHeld)
            runOnTask([&] { isHeld = !heldReplies.empty(); });
        BOOST_TEST((response.wait_for(100ms) == std::future_status::timeout));
        runOnTask([&, it = result] { std::exchange(heldReplies, {}).front()(it); });
        BOOST_TEST(response.get().status == status);
    }
}

// Guards against a crash when the caller, or the server, is gone before the result is there.
BOOST_AUTO_TEST_CASE(resultAfterTheEndOfTheConnectionIsDropped)
{
    const std::string draining = withReplacement(validAnnouncement, "ready", "draining");
    auto response = std::async(std::launch::async, [&] { return sendRequest("POST", "/announce", draining); });
    bool isHeld = false;
    while (!isHeld)
        runOnTask([&] { isHeld = !heldReplies.empty(); });
    runOnTask([&] { server.reset(); });
    BOOST_TEST(response.get().status == 0U);
    g_log_set_always_fatal(G_LOG_LEVEL_CRITICAL); // libsoup reports the use of a message without a connection
    runOnTask([&] { std::exchange(heldReplies, {}).front()(boost::outcome_v2::success()); });
}

// Guards against unbounded memory use by request bodies, with Content-Length and chunked.
BOOST_AUTO_TEST_CASE(bodiesAreBounded)
{
    std::string largestBody
        = validAnnouncement + std::string(AdminServer::maxBodyBytes - validAnnouncement.size(), ' ');
    BOOST_TEST(sendRequest("POST", "/announce", largestBody).status == 200U);
    BOOST_TEST(sendRequest("POST", "/announce", largestBody, true).status == 200U);
    std::string oversizedBody = largestBody + " ";
    BOOST_TEST(sendRequest("POST", "/announce", oversizedBody).status == 413U);
    BOOST_TEST(sendRequest("POST", "/announce", oversizedBody, true).status != 200U);
    BOOST_TEST(announcements.size() == 2U);
}

// Guards against an operation that is resolved without an actor or a reason for the audit trail.
BOOST_AUTO_TEST_CASE(resolvesOperations)
{
    std::string body = R"({"actor": "ana", "reason": "paid by hand"})";
    BOOST_TEST(sendRequest("POST", "/operations/7/resolve", body).status == 200U);
    BOOST_REQUIRE(resolutions.size() == 1);
    BOOST_TEST(resolutions[0].operation == "7");
    BOOST_TEST(resolutions[0].actor == "ana");
    BOOST_TEST(resolutions[0].reason == "paid by hand");
    BOOST_TEST(sendRequest("POST", "/operations/8/resolve", body).status == 404U);
    for (std::string_view wrong : { "", "[]", R"({"actor": "ana"})", R"({"actor": "", "reason": "x"})",
             R"({"actor": "ana", "reason": ""})", R"({"actor": "ana", "reason": 7})" })
        BOOST_TEST(sendRequest("POST", "/operations/7/resolve", std::string(wrong)).status == 400U, wrong);
    BOOST_TEST(resolutions.size() == 2U);
}

// Guards against a node that runs without its admin server because the port is in use.
BOOST_AUTO_TEST_CASE(takenPortIsError)
{
    runOnTask([this] {
        AdminServer other(makeCallbacks());
        auto bound = other.listen({ "127.0.0.1", port });
        BOOST_REQUIRE(!bound);
        BOOST_TEST(bound.error().step == "admin.listen");
        BOOST_TEST(!other.listen({ "nowhere", 1 }));
    });
}

BOOST_AUTO_TEST_SUITE_END()

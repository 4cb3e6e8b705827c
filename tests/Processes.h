// Processes for tests: the binary, run to its end, and stand-ins that run beside the test.
#pragma once

#include "GlibHandles.h"

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace Gooseberrymill {

inline ObjectHandle<GSubprocess> startProcess(const std::vector<std::string>& arguments, int flags)
{
    std::vector<const char*> argv;
    argv.reserve(arguments.size() + 1);
    for (const std::string& argument : arguments)
        argv.push_back(argument.c_str());
    argv.push_back(nullptr);
    GError* error = nullptr;
    ObjectHandle<GSubprocess> process(g_subprocess_newv(argv.data(), static_cast<GSubprocessFlags>(flags), &error));
    ErrorHandle owned(error);
    BOOST_REQUIRE_MESSAGE(process, arguments.front() << ": " << (owned ? owned->message : ""));
    return process;
}

// A command that ends by itself.
class Command {
public:
    explicit Command(const std::vector<std::string>& arguments)
        : m_process(startProcess(arguments, G_SUBPROCESS_FLAGS_STDOUT_PIPE | G_SUBPROCESS_FLAGS_STDERR_PIPE))
    {
    }

    void wait()
    {
        char* out = nullptr;
        char* err = nullptr;
        BOOST_REQUIRE(g_subprocess_communicate_utf8(m_process.get(), nullptr, nullptr, &out, &err, nullptr));
        output = out ? out : "";
        errors = err ? err : "";
        g_free(out);
        g_free(err);
        BOOST_REQUIRE(g_subprocess_get_if_exited(m_process.get()));
        exitCode = g_subprocess_get_exit_status(m_process.get());
    }

    std::string output;
    std::string errors;
    int exitCode = -1;

private:
    ObjectHandle<GSubprocess> m_process;
};

// A program that logs "listening" on standard output and stops on SIGTERM.
class Server {
public:
    explicit Server(const std::vector<std::string>& arguments)
        : m_process(startProcess(arguments, G_SUBPROCESS_FLAGS_STDOUT_PIPE))
        , m_lines(g_data_input_stream_new(g_subprocess_get_stdout_pipe(m_process.get())))
    {
        while (listening.is_null()) {
            char* line = g_data_input_stream_read_line(m_lines.get(), nullptr, nullptr, nullptr);
            BOOST_REQUIRE_MESSAGE(line, arguments.front() << " ended before it listened");
            auto json = nlohmann::json::parse(line, nullptr, false);
            g_free(line);
            if (json.is_object() && json.value("event", "") == "listening")
                listening = json;
        }
    }
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;
    ~Server()
    {
        g_subprocess_send_signal(m_process.get(), SIGTERM);
        g_subprocess_wait(m_process.get(), nullptr, nullptr);
        BOOST_TEST(g_subprocess_get_successful(m_process.get()));
    }

    nlohmann::json listening; // the log line with the ports

private:
    ObjectHandle<GSubprocess> m_process;
    ObjectHandle<GDataInputStream> m_lines;
};

} // namespace Gooseberrymill

// The upstream of UpstreamStandIn.h as a program: UpstreamStandIn [PORT]
#include "UpstreamStandIn.h"

#include "node/Log.h"

int main(int argc, char** argv)
{
    Gooseberrymill::disableGlibHelpers();
    Gooseberrymill::Testing::UpstreamStandIn upstream(argc > 1 ? static_cast<uint16_t>(std::stoi(argv[1])) : 0);
    Gooseberrymill::log(Gooseberrymill::LogLevel::Info, "listening", { { "port", upstream.port() } });
    Gooseberrymill::Task wait("main", Gooseberrymill::Task::Thread::Current);
    wait.run();
}

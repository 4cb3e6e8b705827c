// The end of a task while calls on its context are still pending.
#define BOOST_TEST_MODULE Task
#include "node/GlibCalls.h"
#include "node/Task.h"

#include <boost/test/unit_test.hpp>

using namespace Gooseberrymill;

namespace {

constexpr Duration neverDuringTheTest = 1h;

} // namespace

// Guards against pending calls that are never freed when their task ends: while GLib destroys the context, the function
// of one call releases the handle of another one. GLib chooses the order, so one call is older and one is newer than
// the call that owns them.
BOOST_AUTO_TEST_CASE(pendingCallsAreFreedWithTheirTask)
{
    auto olderData = std::make_shared<int>();
    auto newerData = std::make_shared<int>();
    auto owned = std::make_shared<std::vector<SourceHandle>>();
    SourceHandle owner; // outlives the task, like a call whose handle is held by no object of the task
    {
        Task task("task", Task::Thread::New);
        task.start();
        owned->push_back(callAfter(task.context(), neverDuringTheTest, [olderData] { return false; }));
        owner = callAfter(task.context(), neverDuringTheTest, [owned] { return false; });
        owned->push_back(callAfter(task.context(), neverDuringTheTest, [newerData] { return false; }));
        owned.reset();
    }
    BOOST_TEST(olderData.use_count() == 1);
    BOOST_TEST(newerData.use_count() == 1);
}

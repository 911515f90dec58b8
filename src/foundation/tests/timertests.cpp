#include "foundation/asiotimerqueue.h"
#include "foundation/oneshottimer.h"
#include "foundation/tests/overwrittenobject.h"

#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <stdexcept>
#include <string>
#include <vector>

using namespace turmericsill::foundation;
using namespace std::chrono_literals;

namespace {

/// Calls `action` when a timer that was started with no delay has expired and its handler is queued: the context finds
/// expired timers when it waits for events, and appends their handlers to what is queued.
void runBeforeExpiredTimers(boost::asio::io_context& context, const std::function<void()>& action)
{
    boost::asio::post(context, action);
    context.poll();
}

} // namespace

TEST_CASE("timer: the callback runs once after the delay and may start the timer again", "[foundation]")
{
    boost::asio::io_context context;
    OneShotTimer timer(context);
    int calls = 0;
    timer.start(0ms, [&] {
        ++calls;
        timer.start(0ms, [&] { ++calls; });
    });
    context.run();
    CHECK(calls == 2);
}

// Cancelling an Asio timer does not take back a handler that is queued because the timer has expired.
TEST_CASE("timer: a timer that has expired can still be cancelled, restarted and destroyed", "[foundation]")
{
    boost::asio::io_context context;
    tests::OverwrittenObject<OneShotTimer> timer(context);
    std::vector<std::string> calls;
    timer->start(0ms, [&] { calls.emplace_back("cancelled"); });
    SECTION("cancelled")
    {
        runBeforeExpiredTimers(context, [&] { timer->cancel(); });
        CHECK(calls.empty());
    }
    SECTION("restarted")
    {
        runBeforeExpiredTimers(context, [&] { timer->start(0ms, [&] { calls.emplace_back("restarted"); }); });
        context.restart();
        context.run();
        CHECK(calls == std::vector<std::string> { "restarted" });
    }
    SECTION("destroyed")
    {
        runBeforeExpiredTimers(context, [&] { timer.destroy(); });
        CHECK(calls.empty());
    }
}

TEST_CASE("timer: the callback may destroy the timer", "[foundation]")
{
    boost::asio::io_context context;
    tests::OverwrittenObject<OneShotTimer> timer(context);
    int calls = 0;
    timer->start(0ms, [&] {
        timer.destroy();
        ++calls;
    });
    context.run();
    CHECK(calls == 1);
}

// The handler of an expired timer would read the deadlines of a queue that no longer exists.
TEST_CASE("timer queue: a queue that is destroyed after a deadline has passed runs no callback", "[foundation]")
{
    boost::asio::io_context context;
    tests::OverwrittenObject<AsioTimerQueue> queue(context);
    bool wasCalled = false;
    queue->schedule(SystemClock().now(), [&] { wasCalled = true; });
    runBeforeExpiredTimers(context, [&] { queue.destroy(); });
    CHECK_FALSE(wasCalled);
}

// The event loop goes on after an exception. If the queue is not armed again, everything that is due later waits until
// some other handler happens to schedule a timer.
TEST_CASE("timer queue: a callback that throws does not hold up the later ones", "[foundation]")
{
    boost::asio::io_context context;
    AsioTimerQueue queue(context);
    bool wasCalled = false;
    queue.schedule(SystemClock().now(), [] { throw std::runtime_error("unexpected"); });
    queue.schedule(SystemClock().now() + 5ms, [&] { wasCalled = true; });
    CHECK_THROWS(context.run());
    context.restart();
    context.run_for(1s);
    CHECK(wasCalled);
}

#include "eventlog/jobfollower.h"
#include "eventlog/tests/mocks/heldlog.h"
#include "foundation/tests/mocks/manualclock.h"
#include "foundation/timerqueue.h"
#include "jobs/recordcodec.h"

#include <catch2/catch.hpp>

using namespace turmericsill;
using namespace turmericsill::eventlog;
using foundation::milliseconds;

namespace {

struct FollowerFixture {
    FollowerFixture()
    {
        follower.start();
        advance(milliseconds(10));
        answerAll();
        REQUIRE(follower.hasCaughtUp());
    }

    void advance(milliseconds duration)
    {
        clock.time += duration;
        timers.runDue(clock.now());
    }

    void answerAll()
    {
        while (!log.reads.empty())
            log.answerRead();
    }

    void append(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i)
            log.records.push_back(jobs::encode(jobs::JobCancelled { log.records.size() }, 0));
    }

    mocks::HeldLog log;
    foundation::mocks::ManualClock clock;
    foundation::TimerQueue timers;
    JobFollower follower { log, log, clock, timers, FollowerOptions() };
};

} // namespace

// The store limits the bytes that all entries read together. An entry that was behind read each page twice, once for
// its own poll and once for the callers that waited, and fell behind further.
TEST_CASE("job follower: a follower that is behind reads each record once, also while callers wait", "[eventlog]")
{
    FollowerFixture fixture;
    fixture.advance(milliseconds(250));
    REQUIRE(fixture.log.reads.size() == 1); // A long poll.
    constexpr std::size_t appended = 20;
    fixture.append(appended);
    int answered = 0;
    std::size_t served = 0;
    while (!fixture.log.reads.empty()) {
        fixture.follower.readToEnd([&](const foundation::Result<void>&) { ++answered; });
        fixture.log.answerRead();
        ++served;
        REQUIRE(fixture.log.reads.size() <= 1);
        if (answered > 0)
            break;
    }
    CHECK(fixture.follower.offset() == appended);
    CHECK(served <= appended + 2);
}

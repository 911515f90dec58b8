#include "scheduling/placementwait.h"

#include <catch2/catch.hpp>

using namespace turmericsill;
using namespace turmericsill::scheduling;
using foundation::SteadyTime;

namespace {

const SteadyTime startTime { milliseconds(100000) };

/// A task of 1 s that takes 3 s on another rack, and has just become ready.
struct TaskFixture {
    TaskFixture()
    {
        input.now = startTime;
        input.waitingSince = startTime;
        input.latestStart = startTime + milliseconds(10000);
        input.duration = milliseconds(1000);
        input.remoteSlowdown = 3;
        input.isRackUsable = true;
        input.expectedSlots = &slots;
    }

    PlacementWaitDecision decide() const { return decidePlacementWait(input); }

    std::vector<SteadyTime> slots;
    PlacementWaitInput input;
};

jobs::Resources cores(std::int64_t count) { return { count * 1000, count * 100, 0 }; }

} // namespace

// A start on another rack takes two seconds longer than waiting 0.3 s for a slot.
TEST_CASE("placement wait: a task waits twice as long as the slot is expected to take", "[scheduling]")
{
    TaskFixture task;
    task.slots = { startTime + milliseconds(300) };
    const auto decision = task.decide();
    REQUIRE(decision.isWaiting);
    CHECK(decision.reason == WaitReason::SlotExpected);
    CHECK(decision.expectedAt == startTime + milliseconds(300));
    CHECK(decision.until == startTime + milliseconds(700));
}

// A wait that outlasts the gain is worse than a remote start, whether or not the slot comes.
TEST_CASE("placement wait: a task does not wait for a slot that comes too late for its gain", "[scheduling]")
{
    TaskFixture task;
    task.input.duration = milliseconds(200);
    task.slots = { startTime + milliseconds(150) };
    CHECK(task.decide().isWaiting);
    task.slots = { startTime + milliseconds(151) };
    CHECK_FALSE(task.decide().isWaiting);
    CHECK(task.decide().reason == WaitReason::SlotTooLate);
    task.input.remoteSlowdown = 1.5;
    CHECK(task.decide().reason == WaitReason::NoGain);
    task.input.remoteSlowdown = 1;
    CHECK(task.decide().reason == WaitReason::NoGain);
}

// A long task gains more than 2 s, but its job would be without a run for too long.
TEST_CASE("placement wait: no wait lasts longer than 2 s from the time when the step became ready", "[scheduling]")
{
    TaskFixture task;
    task.input.duration = milliseconds(60000);
    task.input.latestStart = SteadyTime::max();
    task.slots = { startTime + milliseconds(950) };
    REQUIRE(task.decide().isWaiting);
    CHECK(task.decide().until == startTime + maximumPlacementWait);
    task.slots = { startTime + milliseconds(951) };
    CHECK(task.decide().reason == WaitReason::SlotTooLate);
    task.slots = { startTime + milliseconds(10) };
    task.input.waitingSince = startTime - milliseconds(1901);
    CHECK(task.decide().reason == WaitReason::WaitedBefore);
}

// Without this a wait that fails makes a job late that a remote start at once would have completed in time.
TEST_CASE("placement wait: a task close to the latest start of its job does not wait", "[scheduling]")
{
    TaskFixture task;
    task.slots = { startTime + milliseconds(300) };
    task.input.latestStart = startTime + milliseconds(2000 + 699);
    CHECK(task.decide().reason == WaitReason::LatestStart);
    task.input.latestStart = startTime + milliseconds(2000 + 700);
    CHECK(task.decide().isWaiting);
    // A remote start misses the objective in any case; a local one after the wait does not.
    task.input.latestStart = startTime + milliseconds(700);
    CHECK(task.decide().isWaiting);
    task.input.latestStart = startTime + milliseconds(699);
    CHECK(task.decide().reason == WaitReason::LatestStart);
    task.input.latestStart = startTime - milliseconds(1);
    CHECK(task.decide().reason == WaitReason::LatestStart);
}

TEST_CASE("placement wait: a task does not wait for a rack without usable instances", "[scheduling]")
{
    TaskFixture task;
    task.slots = { startTime + milliseconds(10) };
    task.input.isRackUsable = false;
    CHECK(task.decide().reason == WaitReason::RackUnusable);
}

// Load pattern: a hundred jobs for one rack. If all of them waited, all but the first ones would wait in vain.
TEST_CASE("placement wait: only as many tasks wait as will be served in time", "[scheduling]")
{
    TaskFixture task;
    for (int slot = 1; slot <= 30; ++slot)
        task.slots.push_back(startTime + slot * milliseconds(100));
    std::size_t waiting = 0;
    for (int job = 0; job < 100; ++job) {
        task.input.slotsAhead = waiting;
        waiting += task.decide().isWaiting;
    }
    // Slots up to 950 ms are within half of the gain of 2 s.
    CHECK(waiting == 9);
    task.input.slotsAhead = 30;
    CHECK(task.decide().reason == WaitReason::NoSlotExpected);
}

// A run that is over its estimate may go on for ten times as long; counted as "free at any moment", it would hold the
// tasks of its rack back again and again.
TEST_CASE("placement wait: runs that have overrun their estimate promise no slot", "[scheduling]")
{
    InstanceView instance;
    instance.releases = { { startTime, cores(1) }, { startTime - milliseconds(100), cores(1) },
        { startTime + milliseconds(400), cores(1) }, { startTime + milliseconds(2001), cores(1) } };
    std::vector<SteadyTime> slots;
    addExpectedSlots(instance, cores(1), startTime, startTime + milliseconds(2000), slots);
    CHECK(slots == std::vector<SteadyTime> { startTime + milliseconds(400) });
}

// A task of four cores gets a slot only when enough of the small runs on one instance have ended.
TEST_CASE("placement wait: the slots of an instance follow from the size of the task", "[scheduling]")
{
    InstanceView instance;
    instance.free = cores(1);
    for (const int end : { 400, 100, 300, 200 })
        instance.releases.push_back({ startTime + milliseconds(end), cores(1) });
    std::vector<SteadyTime> slots;
    addExpectedSlots(instance, cores(4), startTime, startTime + milliseconds(2000), slots);
    CHECK(slots == std::vector<SteadyTime> { startTime + milliseconds(300) });
    slots.clear();
    addExpectedSlots(instance, cores(2), startTime, startTime + milliseconds(2000), slots);
    CHECK(slots == std::vector<SteadyTime> { startTime + milliseconds(100), startTime + milliseconds(300) });
    // One large run makes room for several small tasks.
    instance.free = cores(0);
    instance.releases = { { startTime + milliseconds(50), cores(3) } };
    slots.clear();
    addExpectedSlots(instance, cores(1), startTime, startTime + milliseconds(2000), slots);
    CHECK(slots.size() == 3);
    // An instance that has shrunk first has to get rid of what it holds too much.
    instance.free = { -2500, 100, 0 };
    slots.clear();
    addExpectedSlots(instance, cores(1), startTime, startTime + milliseconds(2000), slots);
    CHECK(slots.empty());
}

#include "emulator/tests/fixtures.h"
#include "jobs/recordcodec.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace turmericsill;
using namespace turmericsill::emulator;
using fixtures::EmulationFixture;
using fixtures::job;
using fixtures::step;

namespace {

/// The platform's bound: the grace after a cancellation and the longest time that a stop may take.
constexpr milliseconds longestRunAfterCancellation { 3400 };
constexpr milliseconds stabilityWindow { 3000 };
constexpr jobs::JobId cancelledJob = 0xc100;

jobs::JobSpec longRunningJob(std::uint32_t tasks)
{
    auto longRunning = step(tasks, 1000);
    longRunning.isLongRunning = true;
    return job({ longRunning });
}

std::size_t countRuns(EmulationFixture& fixture, jobs::JobId id)
{
    std::size_t runs = 0;
    for (const auto& [name, instance] : fixture.emulation.platform().instances()) {
        for (const auto& task : instance->runningTasks())
            runs += task.job == id;
    }
    return runs;
}

std::size_t countEvents(const EmulationFixture& fixture, const std::string& start)
{
    return static_cast<std::size_t>(std::count_if(fixture.sink.lines.begin(), fixture.sink.lines.end(),
        [&](const std::string& line) { return line.rfind(start, 0) == 0; }));
}

/// An instance that no controller stops anything on, and the invariants that watch it.
struct UnattendedInstance {
    UnattendedInstance()
    {
        platform.startInstance("i-1", "desk", { 8000, 16000, 0 });
        platform.invariants().onSubmitted(cancelledJob, longRunningJob(1));
        platform.invariants().onAccepted(cancelledJob);
    }

    void start()
    {
        const fleet::StartOrder order { { cancelledJob, 0, 0, 0 }, 1, {}, {}, {}, fleet::InstanceTime(1000000) };
        platform.instances().at("i-1")->start(
            order, 1, [this](const jobs::TaskId& task) { return platform.runPlanFor(task); });
    }

    void advanceTime(milliseconds duration)
    {
        const auto end = clock.time + duration;
        while (clock.time < end) {
            clock.time += milliseconds(1);
            platform.advance();
        }
    }

    std::size_t countViolations() const { return platform.invariants().violations().size(); }

    EmulatedClock clock;
    mutable EmulatedPlatform platform { clock, 1, milliseconds(60000) };
};

} // namespace

// A stop that is never sent shows nowhere but in the run that goes on.
TEST_CASE("invariants: a task may run after its job was cancelled for the grace and one stop only", "[emulation]")
{
    UnattendedInstance instance;
    instance.start();
    instance.advanceTime(milliseconds(5000));
    instance.platform.invariants().onCancelled(cancelledJob);
    instance.advanceTime(longestRunAfterCancellation);
    CHECK(instance.countViolations() == 0);
    instance.advanceTime(milliseconds(1));
    CHECK(instance.countViolations() == 1);
    instance.advanceTime(milliseconds(2000));
    CHECK(instance.countViolations() == 1);
}

// Nothing can be demanded while no order reaches the instance, but afterwards the run must end.
TEST_CASE("invariants: the time of a cancelled job's task counts anew after a disruption", "[emulation]")
{
    UnattendedInstance instance;
    instance.start();
    instance.platform.invariants().onCancelled(cancelledJob);
    SECTION("of an instance")
    {
        instance.platform.faults().unreachableInstances.insert("i-1");
        instance.advanceTime(milliseconds(5000));
        instance.platform.faults() = InjectedFaults();
        instance.advanceTime(longestRunAfterCancellation);
    }
    SECTION("of the store, which is stable only after the stability window")
    {
        instance.platform.faults().isStoreDown = true;
        instance.advanceTime(milliseconds(5000));
        instance.platform.faults() = InjectedFaults();
        instance.advanceTime(stabilityWindow + longestRunAfterCancellation);
    }
    CHECK(instance.countViolations() == 0);
    instance.advanceTime(milliseconds(1));
    CHECK(instance.countViolations() == 1);
}

// The sender of an order that is carried out late learns of the run afterwards only.
TEST_CASE("invariants: the run of a late order counts from the stability window after its start", "[emulation]")
{
    UnattendedInstance instance;
    instance.platform.invariants().onCancelled(cancelledJob);
    instance.advanceTime(milliseconds(6000));
    instance.platform.invariants().setExecutingLateOrder(true);
    instance.start();
    instance.platform.invariants().setExecutingLateOrder(false);
    instance.advanceTime(stabilityWindow + longestRunAfterCancellation);
    CHECK(instance.countViolations() == 0);
    instance.advanceTime(milliseconds(1));
    CHECK(instance.countViolations() == 1);
}

// The wish to stop a run is kept by the controller's session with the instance, which ends with the control.
TEST_CASE("cancellations: an entry that loses control and regains it stops the runs that it owed a stop", "[emulation]")
{
    EmulationFixture fixture(61);
    const std::string controller = fixture.emulation.controller();
    fixture.emulation.submit(controller, cancelledJob, longRunningJob(4));
    fixture.emulation.advanceTime(milliseconds(1500));
    REQUIRE(countRuns(fixture, cancelledJob) == 4);
    auto& faults = fixture.emulation.platform().faults();
    faults.unreachableInstances = { "i-1", "i-2", "i-3", "i-4" };
    fixture.emulation.cancel(controller, cancelledJob);
    fixture.emulation.advanceTime(milliseconds(100));
    // An entry with a larger share ends the control, but does not live to take it.
    fixture.emulation.startEntry("e-9", 1000);
    for (int waited = 0; waited < 1000 && countEvents(fixture, "control.ends") == 0; ++waited)
        fixture.emulation.advanceTime(milliseconds(1));
    fixture.emulation.killEntry("e-9");
    for (int waited = 0; waited < 3000 && fixture.emulation.controller().empty(); ++waited)
        fixture.emulation.advanceTime(milliseconds(1));
    REQUIRE(fixture.emulation.controller() == controller);
    REQUIRE(countRuns(fixture, cancelledJob) == 4);
    faults.unreachableInstances.clear();
    fixture.emulation.advanceTime(milliseconds(1000));
    CHECK(countRuns(fixture, cancelledJob) == 0);
    CHECK(fixture.violations().empty());
}

// The controller appends the intent of a run before it has read the cancellation that another entry appended, and ends
// after its order. The log then holds the cancellation first.
TEST_CASE(
    "cancellations: a run intended after the cancellation in the log ends under the next controller", "[emulation]")
{
    EmulationFixture fixture(62);
    auto& platform = fixture.emulation.platform();
    const std::string controller = fixture.emulation.controller();
    auto second = step(2, 1000, { 0 });
    second.isLongRunning = true;
    fixture.emulation.submit(controller, cancelledJob, job({ step(1, 1000), second }));
    fixture.emulation.advanceTime(milliseconds(100));
    REQUIRE(countRuns(fixture, cancelledJob) == 1);
    constexpr std::size_t tooSlowToRead = 2;
    platform.faults().linkBytesPerSecond[controller] = tooSlowToRead;
    REQUIRE(platform.log().append({ { jobs::encode(jobs::JobCancelled { cancelledJob }, 0) }, std::nullopt }));
    platform.invariants().onCancelled(cancelledJob);
    for (int waited = 0; waited < 2500 && countRuns(fixture, cancelledJob) < 2; ++waited)
        fixture.emulation.advanceTime(milliseconds(1));
    REQUIRE(countRuns(fixture, cancelledJob) == 2);
    fixture.emulation.killEntry(controller);
    platform.faults() = InjectedFaults();
    fixture.emulation.advanceTime(milliseconds(3400));
    CHECK(countRuns(fixture, cancelledJob) == 0);
    CHECK(countEvents(fixture, "run.ended") == 3);
    CHECK(fixture.violations().empty());
}

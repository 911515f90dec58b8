#include "emulator/tests/fixtures.h"
#include "jobs/recordcodec.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <optional>
#include <stdexcept>
#include <utility>

using namespace turmericsill;
using namespace turmericsill::emulator;
using fixtures::EmulationFixture;
using fixtures::job;
using fixtures::longRunningStep;
using fixtures::statusOf;
using fixtures::step;

namespace {

/// The platform's bound: the grace after a cancellation and the longest time that a stop may take.
constexpr milliseconds longestRunAfterCancellation { 3200 };
constexpr milliseconds stabilityWindow { 3000 };
constexpr jobs::JobId cancelledJob = 0xc100;

jobs::JobSpec longRunningJob(std::uint32_t tasks)
{
    auto longRunning = longRunningStep(tasks, 1000);
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

/// Ends the handler that writes the next event of a kind, as an unexpected exception does.
class ThrowingSink : public telemetry::IEventSink {
public:
    void write(std::string_view event, std::initializer_list<telemetry::EventField>) override
    {
        written += event == "control.load";
        if (event == "control.load" && std::exchange(throwsNext, false))
            throw std::runtime_error("unexpected");
    }

    int written = 0;
    bool throwsNext = false;
};

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
    for (int waited = 0; waited < 1000 && fixture.countEvents("control.ends") == 0; ++waited)
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
    auto second = longRunningStep(2, 1000, { 0 });
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
    CHECK(fixture.countEvents("run.ended") == 3);
    CHECK(fixture.violations().empty());
}

// A task that crashes every instance is a job that cannot be done, and such jobs excuse no run of a cancelled job.
TEST_CASE("invariants: a task that crashes another instance does not excuse a cancelled job's task", "[emulation]")
{
    UnattendedInstance instance;
    constexpr jobs::JobId deadlyJob = 0xd100;
    instance.platform.startInstance("i-2", "desk", { 8000, 16000, 0 });
    instance.platform.invariants().onSubmitted(deadlyJob, longRunningJob(1));
    instance.platform.invariants().onAccepted(deadlyJob);
    instance.platform.setDeadly({ deadlyJob, 0, 0, 0 });
    instance.start();
    instance.platform.invariants().onCancelled(cancelledJob);
    instance.advanceTime(milliseconds(2000));
    const fleet::StartOrder order { { deadlyJob, 0, 0, 0 }, 1, {}, {}, {}, fleet::InstanceTime(1000000) };
    instance.platform.instances().at("i-2")->start(
        order, 1, [&](const jobs::TaskId& task) { return instance.platform.runPlanFor(task); });
    for (int elapsed = 0; elapsed < 1500; ++elapsed) {
        instance.advanceTime(milliseconds(1));
        instance.platform.network().runDue(instance.clock.time);
    }
    CHECK(instance.platform.instances().count("i-2") == 0);
    CHECK(instance.countViolations() == 1);
}

// The platform's bound also holds for a task whose starter has been removed.
TEST_CASE("cancellations: a run ends in time when its controller is removed around the cancellation", "[emulation]")
{
    for (int removedAfter = -1500; removedAfter <= 10; removedAfter += removedAfter < 0 ? 150 : 1) {
        EmulationFixture fixture(100);
        auto& invariants = fixture.emulation.platform().invariants();
        const std::string controller = fixture.emulation.controller();
        const std::string other = controller == "e-1" ? "e-2" : "e-1";
        fixture.emulation.submit(controller, cancelledJob, longRunningJob(4));
        fixture.emulation.advanceTime(milliseconds(1500));
        REQUIRE(countRuns(fixture, cancelledJob) == 4);
        if (removedAfter < 0) {
            fixture.emulation.killEntry(controller);
            fixture.emulation.advanceTime(milliseconds(-removedAfter));
        }
        fixture.emulation.cancel(other, cancelledJob);
        std::optional<foundation::SteadyTime> cancelledAt;
        const auto sentAt = fixture.emulation.clock().time;
        for (int waited = 0; waited < 20000 && (countRuns(fixture, cancelledJob) > 0 || !cancelledAt); ++waited) {
            if (waited == removedAfter)
                fixture.emulation.killEntry(controller);
            fixture.emulation.advanceTime(milliseconds(1));
            if (!cancelledAt && invariants.isCancelled(cancelledJob))
                cancelledAt = fixture.emulation.clock().time;
        }
        REQUIRE(cancelledAt);
        INFO("removed " << removedAfter << " ms after the cancellation was sent");
        INFO("acknowledged after " << (*cancelledAt - sentAt) / milliseconds(1) << " ms");
        CHECK((fixture.emulation.clock().time - *cancelledAt) / milliseconds(1) <= longestRunAfterCancellation.count());
    }
}

// The event loop goes on after an exception, and the entry stays the controller. Without further ticks no stop is sent
// again, no idle instance is asked for its runs and no lease counts as expired.
TEST_CASE("control: a tick that ends with an exception is followed by the next one", "[emulation]")
{
    ThrowingSink sink;
    Emulation emulation(63, EmulationFixture::settings(), sink);
    emulation.platform().setConfiguration(fixtures::configuration());
    emulation.platform().startInstance("i-1", "desk", { 8000, 16000, 0 });
    emulation.startEntry("e-1");
    emulation.advanceTime(milliseconds(4000));
    REQUIRE(emulation.controller() == "e-1");
    sink.throwsNext = true;
    CHECK_THROWS(emulation.advanceTime(milliseconds(2000)));
    const int written = sink.written;
    emulation.advanceTime(milliseconds(5000));
    CHECK(emulation.controller() == "e-1");
    CHECK(sink.written > written);
}

// The controller applies its own records before it appends them, and skips them when it reads the log. A table that is
// rebuilt during its term, because the log has dropped a record that it had not read, lacks them.
TEST_CASE("cancellations: a cancellation in the log holds when the controller's table is rebuilt", "[emulation]")
{
    EmulationFixture fixture(64);
    auto& platform = fixture.emulation.platform();
    const std::string controller = fixture.emulation.controller();
    fixture.emulation.submit(controller, cancelledJob, longRunningJob(4));
    const auto snapshots = fixture.countEvents("snapshot.written");
    fixture.emulation.advanceTime(milliseconds(500));
    REQUIRE(countRuns(fixture, cancelledJob) == 4);
    for (int waited = 0; waited < 5000 && fixture.countEvents("snapshot.written") == snapshots; ++waited)
        fixture.emulation.advanceTime(milliseconds(1));
    constexpr jobs::JobId otherJob = 0xc200;
    REQUIRE(platform.log().append({ { jobs::encode(jobs::JobCancelled { otherJob }, 0) }, std::nullopt }));
    platform.log().dropRecords();
    fixture.emulation.cancel(controller, cancelledJob);
    fixture.emulation.advanceTime(milliseconds(8000));
    CHECK(platform.invariants().isCancelled(cancelledJob));
    CHECK(countRuns(fixture, cancelledJob) == 0);
    CHECK(fixture.violations().empty());
    for (const auto& name : fixture.emulation.liveEntries())
        CHECK(statusOf(fixture, name, cancelledJob).state == jobs::JobState::Cancelled);
}

// The stop of a run is ordered when the change of its job is applied. A change that is lost, for example with an
// exception, must not leave the run at work.
TEST_CASE("cancellations: runs are stopped although the change of their job was lost", "[emulation]")
{
    EmulationFixture fixture(65);
    const std::string controller = fixture.emulation.controller();
    auto& follower = fixture.emulation.entry(controller)->follower();
    fixture.emulation.submit(controller, cancelledJob, longRunningJob(4));
    fixture.emulation.advanceTime(milliseconds(1500));
    REQUIRE(countRuns(fixture, cancelledJob) == 4);
    fixture.emulation.cancel(controller, cancelledJob);
    const auto isCancelled = [&] { return follower.table().find(cancelledJob)->isCancelled; };
    for (int waited = 0; waited < 100 && !isCancelled(); ++waited)
        fixture.emulation.advanceTime(milliseconds(1));
    REQUIRE(isCancelled());
    REQUIRE_FALSE(follower.takeChangedJobs().empty());
    fixture.emulation.advanceTime(longestRunAfterCancellation);
    CHECK(countRuns(fixture, cancelledJob) == 0);
}

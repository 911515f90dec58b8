#include "emulator/tests/fixtures.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace turmericsill;
using namespace turmericsill::emulator;
using fixtures::EmulationFixture;
using fixtures::job;
using fixtures::longRunningStep;
using fixtures::statusOf;
using fixtures::step;

namespace {

constexpr jobs::TaskId deadlyTask { 0xdead, 0, 0, 0 };

/// Starts of a deadly task after which its job has to be given up: one for each of the first two crashes, and one more
/// in case that a crash shows too late to be recognized.
constexpr std::size_t tolerableStarts = 3;

jobs::JobState stateOf(EmulationFixture& fixture, jobs::JobId id)
{
    return statusOf(fixture, fixture.emulation.liveEntries().front(), id).state;
}

/// Submits jobs that keep the instances busy, and a deadly one after them.
void submitDeadlyAmongOthers(EmulationFixture& fixture, jobs::JobId firstOther, jobs::JobId lastOther)
{
    fixture.emulation.platform().setDeadly(deadlyTask);
    for (jobs::JobId id = firstOther; id <= lastOther; ++id)
        fixture.emulation.submit("e-1", id, job({ step(2, 1000), step(1, 1000, { 0 }) }));
    fixture.emulation.advanceTime(milliseconds(200));
    fixture.emulation.submit("e-2", deadlyTask.job, job({ step(3, 1000) }));
}

void checkOthersCompleted(EmulationFixture& fixture, jobs::JobId first, jobs::JobId last)
{
    for (jobs::JobId id = first; id <= last; ++id)
        CHECK(stateOf(fixture, id) == jobs::JobState::Completed);
}

} // namespace

// Such a task takes the work of all others on its instance down with each start.
TEST_CASE("crashes: a task that crashes its instances is given up, and the tasks beside it are done", "[emulation]")
{
    EmulationFixture fixture(50);
    submitDeadlyAmongOthers(fixture, 0x2000, 0x2007);
    fixture.emulation.advanceTime(milliseconds(20000));
    CHECK(stateOf(fixture, deadlyTask.job) == jobs::JobState::Failed);
    CHECK(fixture.emulation.platform().invariants().startsOf(deadlyTask) <= tolerableStarts);
    checkOthersCompleted(fixture, 0x2000, 0x2007);
    CHECK(fixture.violations().empty());
}

TEST_CASE("crashes: the crashes under a task are known after all entries were replaced", "[emulation]")
{
    EmulationFixture fixture(51);
    submitDeadlyAmongOthers(fixture, 0x2100, 0x2107);
    auto& invariants = fixture.emulation.platform().invariants();
    for (std::size_t starts = 1; starts <= 2; ++starts) {
        while (invariants.startsOf(deadlyTask) < starts)
            fixture.emulation.advanceTime(milliseconds(10));
        // The crash is recorded when the next instance shows at the address.
        fixture.emulation.advanceTime(milliseconds(3500));
        for (const char* name : { "e-1", "e-2", "e-3" })
            fixture.emulation.killEntry(name);
        fixture.emulation.advanceTime(milliseconds(500));
        fixture.startAllEntries();
        fixture.emulation.advanceTime(milliseconds(2000));
    }
    fixture.emulation.advanceTime(milliseconds(25000));
    CHECK(stateOf(fixture, deadlyTask.job) == jobs::JobState::Failed);
    CHECK(invariants.startsOf(deadlyTask) <= tolerableStarts);
    checkOthersCompleted(fixture, 0x2100, 0x2107);
    CHECK(fixture.violations().empty());
}

// An instance that crashes by itself counts for every task on it, wherever these start next.
TEST_CASE("crashes: instances that crash by themselves cost no job", "[emulation]")
{
    EmulationFixture fixture(52);
    constexpr jobs::JobId first = 0x2200;
    constexpr jobs::JobId last = 0x2210;
    for (jobs::JobId id = first; id <= last; ++id)
        fixture.emulation.submit("e-1", id, job({ step(4, 1000) }));
    for (int round = 0; round < 3; ++round) {
        fixture.emulation.advanceTime(milliseconds(300));
        std::vector<std::string> running;
        for (const auto& [name, instance] : fixture.emulation.platform().instances())
            running.push_back(name);
        for (const auto& name : running)
            fixture.emulation.platform().crashAndReplace(name);
        fixture.emulation.advanceTime(milliseconds(3500));
    }
    fixture.emulation.advanceTime(milliseconds(20000));
    checkOthersCompleted(fixture, first, last);
    CHECK(fixture.violations().empty());
}

// Tasks that run until they are cancelled have no limit of failed attempts.
TEST_CASE("crashes: a long-running task that crashes its instances is given up as well", "[emulation]")
{
    EmulationFixture fixture(53);
    fixture.emulation.platform().setDeadly(deadlyTask);
    auto longRunning = longRunningStep(2, 2000);
    fixture.emulation.submit("e-1", 0x2300, job({ longRunning }));
    fixture.emulation.submit("e-1", deadlyTask.job, job({ longRunning }));
    fixture.emulation.advanceTime(milliseconds(25000));
    CHECK(stateOf(fixture, deadlyTask.job) == jobs::JobState::Failed);
    CHECK(stateOf(fixture, 0x2300) == jobs::JobState::Running);
    CHECK(fixture.emulation.platform().invariants().startsOf(deadlyTask) <= tolerableStarts);
    CHECK(fixture.violations().empty());
}

// The tasks on an instance that is taken down by an order, or that exits after draining, have not caused its end.
TEST_CASE("crashes: an instance that ends by an order or after draining does not count as crashed", "[emulation]")
{
    EmulationFixture fixture(54);
    fixture.emulation.advanceTime(milliseconds(4000)); // Waits until the controller may send orders to machines.
    for (jobs::JobId id = 0x2400; id < 0x2408; ++id)
        fixture.emulation.submit("e-1", id, job({ step(4, 1000) }));
    fixture.emulation.advanceTime(milliseconds(100));
    auto& platform = fixture.emulation.platform();
    platform.setDraining("i-4");
    platform.faults().isMaintenanceCarriedOut = true;
    fleet::MaintenanceWave wave;
    wave.number = 1;
    wave.duration = milliseconds(2000);
    wave.maximumDown = 3;
    wave.machines = { "machine-of-i-1", "machine-of-i-2", "machine-of-i-3" };
    fixture.emulation.entry(fixture.emulation.controller())->control().addWave(wave);
    fixture.emulation.advanceTime(milliseconds(300));
    platform.crashAndReplace("i-4");
    fixture.emulation.advanceTime(milliseconds(15000));
    const auto count = [&](const std::string& text) {
        return std::count_if(fixture.sink.lines.begin(), fixture.sink.lines.end(),
            [&](const std::string& line) { return line.find(text) != std::string::npos; });
    };
    CHECK(count("upkeep.ordered") >= 3);
    CHECK(count("how=instance-gone") > 0);
    CHECK(count("instance.crashed") == 0);
    checkOthersCompleted(fixture, 0x2400, 0x2407);
    CHECK(fixture.violations().empty());
}

#include "emulator/tests/fixtures.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace turmericsill;
using namespace turmericsill::emulator;
using fixtures::EmulationFixture;
using fixtures::job;
using fixtures::longRunningStep;
using fixtures::step;

namespace {

constexpr milliseconds appendDuration { 1500 };

jobs::JobSpec longRunningJob(std::uint32_t tasks, std::int64_t milliCores)
{
    auto longRunning = longRunningStep(tasks, milliCores);
    return job({ longRunning });
}

void setCapacity(EmulationFixture& fixture, const std::string& instance, std::int64_t milliCores)
{
    fixture.emulation.platform().setCapacity(instance, { milliCores, 16000, 0 });
}

/// Leaves only the instance i-1.
void removeOtherInstances(EmulationFixture& fixture)
{
    for (const char* name : { "i-2", "i-3", "i-4" }) {
        fixture.emulation.platform().crash(name);
        fixture.emulation.platform().removeFromDirectory(name);
    }
    fixture.emulation.advanceTime(milliseconds(2000));
}

std::size_t countRuns(EmulationFixture& fixture, const std::string& instance, jobs::JobId id)
{
    const auto tasks = fixture.emulation.platform().instances().at(instance)->runningTasks();
    return static_cast<std::size_t>(
        std::count_if(tasks.begin(), tasks.end(), [id](const jobs::TaskId& task) { return task.job == id; }));
}

std::size_t countRunsElsewhere(EmulationFixture& fixture, const std::string& instance, jobs::JobId id)
{
    std::size_t runs = 0;
    for (const auto& [name, other] : fixture.emulation.platform().instances())
        runs += name == instance ? 0 : countRuns(fixture, name, id);
    return runs;
}

/// Number of events that contain both texts.
std::size_t countEvents(const EmulationFixture& fixture, const std::string& one, const std::string& other)
{
    return static_cast<std::size_t>(
        std::count_if(fixture.sink.lines.begin(), fixture.sink.lines.end(), [&](const std::string& line) {
            return line.find(one) != std::string::npos && line.find(other) != std::string::npos;
        }));
}

} // namespace

// Runs that no longer fit leave negative free capacity, which must neither admit a start nor stop a run.
TEST_CASE("capacity: a shrunk instance keeps its runs and starts none until they fit again", "[emulation]")
{
    EmulationFixture fixture(41);
    removeOtherInstances(fixture);
    fixture.emulation.submit("e-1", 0xc1, longRunningJob(1, 4000));
    fixture.emulation.submit("e-1", 0xc2, longRunningJob(1, 2000));
    fixture.emulation.submit("e-1", 0xc3, longRunningJob(1, 2000));
    fixture.emulation.advanceTime(milliseconds(300));
    setCapacity(fixture, "i-1", 5000);
    fixture.emulation.submit("e-1", 0xc4, longRunningJob(3, 1000));
    fixture.emulation.advanceTime(milliseconds(6000));
    for (const jobs::JobId id : { 0xc1, 0xc2, 0xc3 })
        CHECK(countRuns(fixture, "i-1", id) == 1);
    CHECK(countRuns(fixture, "i-1", 0xc4) == 0);
    fixture.emulation.cancel("e-1", 0xc2);
    fixture.emulation.advanceTime(milliseconds(1500));
    CHECK(countRuns(fixture, "i-1", 0xc2) == 0);
    CHECK(countRuns(fixture, "i-1", 0xc4) == 0);
    fixture.emulation.cancel("e-1", 0xc3);
    fixture.emulation.advanceTime(milliseconds(1500));
    CHECK(countRuns(fixture, "i-1", 0xc4) == 1);
    setCapacity(fixture, "i-1", 7000);
    fixture.emulation.advanceTime(milliseconds(1000));
    CHECK(countRuns(fixture, "i-1", 0xc1) == 1);
    CHECK(countRuns(fixture, "i-1", 0xc4) == 3);
    CHECK(countEvents(fixture, "run.ended", "how=stopped") == 2);
    CHECK(fixture.violations().empty());
}

// The instance is chosen before the intent is appended to the log. An order sent after a slow append relies on capacity
// that the instance may have lost meanwhile.
TEST_CASE("capacity: a task is placed elsewhere if its instance shrinks while the intent is appended", "[emulation]")
{
    EmulationFixture fixture(42);
    setCapacity(fixture, "i-1", 7000);
    fixture.emulation.advanceTime(milliseconds(1000));
    fixture.emulation.platform().faults().appendDuration = appendDuration;
    fixture.emulation.submit("e-1", 0xc5, longRunningJob(1, 6000));
    fixture.emulation.advanceTime(milliseconds(500));
    setCapacity(fixture, "i-1", 2000);
    fixture.emulation.advanceTime(appendDuration);
    CHECK(countRuns(fixture, "i-1", 0xc5) == 0);
    CHECK(countEvents(fixture, "run.ended", "run=1 instance=i-1 how=never-started") == 1);
    fixture.emulation.advanceTime(appendDuration * 3);
    CHECK(countRunsElsewhere(fixture, "i-1", 0xc5) == 1);
    CHECK(fixture.violations().empty());
}

// Repeating an order relies on the capacity that the instance had when the task was placed, seconds ago.
TEST_CASE("capacity: an unanswered order is not repeated to an instance that has shrunk", "[emulation]")
{
    EmulationFixture fixture(43);
    setCapacity(fixture, "i-1", 7000);
    fixture.emulation.advanceTime(milliseconds(1000));
    fixture.emulation.submit("e-1", 0xc6, longRunningJob(1, 6000));
    fixture.emulation.platform().faults().unreachableInstances.insert("i-1");
    fixture.emulation.advanceTime(milliseconds(200));
    REQUIRE(countEvents(fixture, "run.ordered", "run=1 instance=i-1") == 1);
    setCapacity(fixture, "i-1", 2000);
    fixture.emulation.advanceTime(milliseconds(1000));
    fixture.emulation.platform().faults().unreachableInstances.clear();
    for (int i = 0; i < 40; ++i) {
        fixture.emulation.advanceTime(milliseconds(50));
        REQUIRE(countRuns(fixture, "i-1", 0xc6) == 0);
    }
    CHECK(countEvents(fixture, "run.ended", "run=1 instance=i-1 how=never-started") == 1);
    CHECK(countRunsElsewhere(fixture, "i-1", 0xc6) == 1);
    CHECK(fixture.violations().empty());
}

// The controller cannot tell an order that was lost from one whose answer was lost. Only the first is withdrawn when
// the instance shrinks, since nothing that runs is stopped for lack of capacity.
TEST_CASE("capacity: a run whose order was carried out without an answer stays on a shrunk instance", "[emulation]")
{
    EmulationFixture fixture(44);
    setCapacity(fixture, "i-1", 7000);
    fixture.emulation.advanceTime(milliseconds(1000));
    // An instance without runs gets an order only after it has answered a renewal.
    fixture.emulation.submit("e-1", 0xb7, longRunningJob(1, 500));
    fixture.emulation.advanceTime(milliseconds(500));
    REQUIRE(countRuns(fixture, "i-1", 0xb7) == 1);
    fixture.emulation.submit("e-1", 0xc7, longRunningJob(1, 6000));
    fixture.emulation.platform().faults().lostOrderAnswerRatio = 1;
    fixture.emulation.advanceTime(milliseconds(100));
    REQUIRE(countRuns(fixture, "i-1", 0xc7) == 1);
    setCapacity(fixture, "i-1", 2000);
    fixture.emulation.advanceTime(milliseconds(1000));
    fixture.emulation.platform().faults().lostOrderAnswerRatio = 0;
    fixture.emulation.advanceTime(milliseconds(6000));
    CHECK(countRuns(fixture, "i-1", 0xc7) == 1);
    CHECK(countRunsElsewhere(fixture, "i-1", 0xc7) == 0);
    CHECK(countEvents(fixture, "run.ended", "task=") == 0);
    CHECK(fixture.violations().empty());
}

// While the directory cannot be read, the controller plans with the capacities that it read last. They may be used for
// a few seconds only.
TEST_CASE("capacity: nothing is started on capacity lost while the directory cannot be read", "[emulation]")
{
    EmulationFixture fixture(45);
    fixture.emulation.platform().faults().isDirectoryDown = true;
    fixture.emulation.advanceTime(milliseconds(1000));
    for (const char* name : { "i-1", "i-2", "i-3", "i-4" })
        setCapacity(fixture, name, 2000);
    fixture.emulation.submit("e-1", 0xc8, longRunningJob(1, 500));
    fixture.emulation.advanceTime(milliseconds(300));
    CHECK(countRunsElsewhere(fixture, {}, 0xc8) == 1);
    fixture.emulation.advanceTime(milliseconds(6000));
    fixture.emulation.submit("e-1", 0xca, longRunningJob(4, 6000));
    fixture.emulation.advanceTime(milliseconds(3000));
    CHECK(countRunsElsewhere(fixture, {}, 0xca) == 0);
    fixture.emulation.platform().faults().isDirectoryDown = false;
    setCapacity(fixture, "i-2", 8000);
    fixture.emulation.advanceTime(milliseconds(1000));
    CHECK(countRuns(fixture, "i-2", 0xca) == 1);
    CHECK(countRunsElsewhere(fixture, "i-2", 0xca) == 0);
    CHECK(fixture.violations().empty());
}

// An order that waits while the store is down is sent as soon as the store answers again, which may be before the
// directory has been read.
TEST_CASE("capacity: nothing is started on capacity lost while the store was down", "[emulation]")
{
    EmulationFixture fixture(46);
    setCapacity(fixture, "i-1", 7000);
    fixture.emulation.advanceTime(milliseconds(1000));
    const std::string controller = fixture.emulation.controller();
    fixture.emulation.submit(controller, 0xc9, longRunningJob(1, 6000));
    fixture.emulation.platform().faults().isStoreDown = true;
    fixture.emulation.advanceTime(milliseconds(1000));
    setCapacity(fixture, "i-1", 2000);
    fixture.emulation.advanceTime(milliseconds(5000));
    fixture.emulation.platform().faults().isStoreDown = false;
    fixture.emulation.advanceTime(milliseconds(3000));
    CHECK(countRuns(fixture, "i-1", 0xc9) == 0);
    CHECK(countRunsElsewhere(fixture, "i-1", 0xc9) == 1);
    CHECK(fixture.violations().empty());
}

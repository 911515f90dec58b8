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

constexpr jobs::JobId longRunningJob = 0x51;
constexpr jobs::JobId shortJob = 0x52;

/// Three entries and instances of eight cores each, whose controller may send orders to machines.
struct WaveFixture : EmulationFixture {
    WaveFixture(std::uint64_t seed, std::vector<std::string> names)
        : EmulationFixture(seed)
        , instances(std::move(names))
    {
        for (const char* name : { "i-1", "i-2", "i-3", "i-4" }) {
            if (std::find(instances.begin(), instances.end(), name) != instances.end())
                continue;
            emulation.platform().crash(name);
            emulation.platform().removeFromDirectory(name);
        }
        emulation.platform().faults().isMaintenanceCarriedOut = true;
        emulation.advanceTime(milliseconds(4000));
    }

    void submitLongRunning(jobs::StepSpec spec)
    {
        emulation.submit("e-1", longRunningJob, job({ std::move(spec) }));
        emulation.advanceTime(milliseconds(1500));
    }

    void declareWave(milliseconds duration)
    {
        fleet::MaintenanceWave wave;
        wave.number = 1;
        wave.duration = duration;
        wave.maximumDown = static_cast<std::uint32_t>(instances.size());
        for (const auto& name : instances)
            wave.machines.push_back("machine-of-" + name);
        for (const auto& name : emulation.liveEntries())
            emulation.entry(name)->control().addWave(wave);
    }

    /// Whether a short job that is submitted now is completed within 3 s.
    bool isShortJobCompleted()
    {
        emulation.submit("e-2", shortJob, job({ step(1, 1000) }));
        emulation.advanceTime(milliseconds(3000));
        return statusOf(*this, "e-2", shortJob).state == jobs::JobState::Completed;
    }

    /// Number of machines whose maintenance was ordered and carried out.
    std::size_t maintained() const
    {
        return static_cast<std::size_t>(std::count_if(sink.lines.begin(), sink.lines.end(), [](const auto& line) {
            return line.rfind("upkeep.ordered", 0) == 0 && line.find("outcome=accepted") != std::string::npos;
        }));
    }

    std::size_t runs(jobs::JobId id)
    {
        std::size_t result = 0;
        for (const auto& [name, instance] : emulation.platform().instances()) {
            for (const auto& task : instance->runningTasks())
                result += task.job == id;
        }
        return result;
    }

    std::vector<std::string> instances;
};

/// A step of which one task fits on an instance and one may be unavailable.
jobs::StepSpec protectedStep(std::uint32_t tasks, std::int64_t milliCores)
{
    jobs::StepSpec result = longRunningStep(tasks, milliCores);
    result.maximumPerInstance = 1;
    result.disruptionBudget = 1;
    result.hasDisruptionBudget = true;
    return result;
}

} // namespace

// A machine that could not be emptied was withheld from all work for as long as its tasks lasted: here one task has no
// place and uses up the disruption budget of all others.
TEST_CASE("waves: machines whose tasks have used up their disruption budget take new work", "[emulation]")
{
    WaveFixture fixture(501, { "i-1", "i-2", "i-3", "i-4" });
    fixture.submitLongRunning(protectedStep(5, 1000));
    REQUIRE(fixture.runs(longRunningJob) == 4);
    fixture.declareWave(milliseconds(10000));
    fixture.emulation.advanceTime(milliseconds(2000));
    CHECK(fixture.isShortJobCompleted());
    fixture.emulation.advanceTime(milliseconds(15000));
    CHECK(fixture.runs(longRunningJob) == 4);
    CHECK(fixture.maintained() == 0);
    CHECK(fixture.countEvents("wave.reported") == 1);
    CHECK(fixture.violations().empty());
}

// The same where a task has no other place because there is no other machine.
TEST_CASE("waves: the only machine of a pool takes new work while its long-running task cannot leave", "[emulation]")
{
    WaveFixture fixture(502, { "i-1" });
    fixture.submitLongRunning(longRunningStep(1, 1000));
    REQUIRE(fixture.runs(longRunningJob) == 1);
    fixture.declareWave(milliseconds(10000));
    fixture.emulation.advanceTime(milliseconds(2000));
    CHECK(fixture.isShortJobCompleted());
    CHECK(fixture.runs(longRunningJob) == 1);
    CHECK(fixture.countEvents("upkeep.deferred") == 1);
    CHECK(fixture.violations().empty());
}

// The same after a change of control: the next controller plans the wave anew.
TEST_CASE("waves: machines that cannot be emptied take new work under the next controller", "[emulation]")
{
    WaveFixture fixture(503, { "i-1", "i-2", "i-3", "i-4" });
    fixture.submitLongRunning(protectedStep(5, 1000));
    fixture.declareWave(milliseconds(8000));
    fixture.emulation.advanceTime(milliseconds(1000));
    const std::string controller = fixture.emulation.controller();
    fixture.emulation.killEntry(controller);
    fixture.emulation.advanceTime(milliseconds(10000));
    fixture.emulation.startEntry(controller);
    fixture.emulation.advanceTime(milliseconds(1000));
    CHECK(fixture.isShortJobCompleted());
    CHECK(fixture.maintained() == 0);
    CHECK(fixture.violations().empty());
}

// Two machines were emptied at once, each the only place for the task of the other.
TEST_CASE("waves: two machines that are each other's only refuge are maintained in turn", "[emulation]")
{
    WaveFixture fixture(504, { "i-1", "i-2" });
    jobs::StepSpec spec = longRunningStep(2, 3000);
    spec.disruptionBudget = 1;
    spec.hasDisruptionBudget = true;
    fixture.submitLongRunning(spec);
    REQUIRE(fixture.runs(longRunningJob) == 2);
    fixture.declareWave(milliseconds(5000));
    fixture.emulation.advanceTime(milliseconds(2000));
    CHECK(fixture.isShortJobCompleted());
    fixture.emulation.advanceTime(milliseconds(20000));
    CHECK(fixture.maintained() == 2);
    CHECK(fixture.runs(longRunningJob) == 2);
    CHECK(fixture.violations().empty());
}

// The maintenance of a machine that returned to service remains due.
TEST_CASE("waves: a deferred machine is maintained once its long-running task can leave", "[emulation]")
{
    WaveFixture fixture(505, { "i-1", "i-2" });
    fixture.submitLongRunning(protectedStep(2, 1000));
    fixture.declareWave(milliseconds(8000));
    fixture.emulation.advanceTime(milliseconds(3000));
    CHECK(fixture.maintained() == 0);
    fixture.emulation.platform().startInstance("i-9", "desk", { 8000, 16000, 0 });
    fixture.emulation.advanceTime(milliseconds(25000));
    CHECK(fixture.maintained() == 2);
    CHECK(fixture.runs(longRunningJob) == 2);
    CHECK(fixture.countEvents("upkeep.resumed") >= 1);
    CHECK(fixture.violations().empty());
}

// One of two tasks has left, and the only place for both is lost: no room was left for the first, and the second could
// not follow.
TEST_CASE("waves: an evacuation that comes to a standstill is cancelled", "[emulation]")
{
    WaveFixture fixture(506, { "i-1" });
    jobs::StepSpec spec = longRunningStep(2, 2000);
    spec.disruptionBudget = 1;
    spec.hasDisruptionBudget = true;
    fixture.submitLongRunning(spec);
    fixture.emulation.platform().startInstance("i-9", "desk", { 4000, 16000, 0 });
    fixture.emulation.advanceTime(milliseconds(500));
    fixture.declareWave(milliseconds(60000));
    fixture.emulation.advanceTime(milliseconds(200));
    REQUIRE(fixture.countEvents("upkeep.empties") == 1);
    REQUIRE(fixture.countEvents("run.relocated") == 1);
    fixture.emulation.platform().crash("i-9");
    fixture.emulation.platform().removeFromDirectory("i-9");
    fixture.emulation.advanceTime(milliseconds(15000));
    CHECK(fixture.isShortJobCompleted());
    CHECK(fixture.runs(longRunningJob) == 2);
    CHECK(fixture.maintained() == 0);
    CHECK(fixture.violations().empty());
}

// An emptied machine was withheld for as long as machine control did not respond, or refused the order.
TEST_CASE("waves: emptied machines return to service while their maintenance cannot be ordered", "[emulation]")
{
    WaveFixture fixture(507, { "i-1", "i-2", "i-3", "i-4" });
    auto& faults = fixture.emulation.platform().faults();
    faults.isMaintenanceCarriedOut = false;
    SECTION("refused") { }
    SECTION("unanswered") { faults.unansweredMaintenanceRatio = 1; }
    fixture.declareWave(milliseconds(5000));
    fixture.emulation.advanceTime(milliseconds(6000));
    std::size_t completed = 0;
    for (jobs::JobId id = 0x100; id < 0x110; ++id) {
        fixture.emulation.submit("e-1", id, job({ step(1, 1000) }));
        fixture.emulation.advanceTime(milliseconds(1000));
    }
    fixture.emulation.advanceTime(milliseconds(12000));
    for (jobs::JobId id = 0x100; id < 0x110; ++id)
        completed += statusOf(fixture, "e-1", id).state == jobs::JobState::Completed;
    CHECK(completed == 16);
    CHECK(fixture.violations().empty());
}

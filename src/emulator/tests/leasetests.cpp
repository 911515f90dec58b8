#include "emulator/tests/fixtures.h"

#include <catch2/catch.hpp>

using namespace turmericsill;
using namespace turmericsill::emulator;
using fixtures::EmulationFixture;
using fixtures::job;
using fixtures::longRunningStep;
using fixtures::step;

namespace {

constexpr jobs::JobId longRunningJob = 0xe1;
/// Time after the latest disturbance by which each task of a long-running job must run again: the platform's 4 s of
/// calm and the 3 s in which nothing may be missing.
constexpr milliseconds restartBound { 7000 };
constexpr milliseconds directoryDelay { 4500 }; ///< Three heartbeats, after which a silent instance is not listed.

/// A long-running job on the instances of an emulation with six entries.
struct LongRunningFixture : EmulationFixture {
    explicit LongRunningFixture(std::uint64_t seed)
        : EmulationFixture(seed)
    {
        for (const char* name : { "e-4", "e-5", "e-6" })
            emulation.startEntry(name);
        emulation.advanceTime(milliseconds(1500));
        auto longRunning = longRunningStep(taskCount, 2000);
        emulation.submit("e-2", longRunningJob, job({ longRunning }));
        emulation.advanceTime(milliseconds(1000));
    }

    std::string busyInstance()
    {
        for (const auto& [name, instance] : platform().instances()) {
            if (!instance->runningTasks().empty())
                return name;
        }
        return {};
    }

    std::size_t countRuns()
    {
        std::size_t runs = 0;
        for (const auto& [name, instance] : platform().instances())
            runs += instance->runningTasks().size();
        return runs;
    }

    /// Ends an instance for good. The directory drops it some time later.
    void crashForGood(const std::string& name)
    {
        platform().crash(name);
        platform().network().schedule(
            emulation.clock().time + directoryDelay, [this, name] { platform().removeFromDirectory(name); });
    }

    /// Waits until the controller is another entry, and returns its name.
    std::string awaitSuccessor(const std::string& former)
    {
        constexpr milliseconds longestTakeover { 4000 };
        const auto end = emulation.clock().time + longestTakeover;
        while (emulation.clock().time < end && (emulation.controller().empty() || emulation.controller() == former))
            emulation.advanceTime(milliseconds(10));
        return emulation.controller();
    }

    EmulatedPlatform& platform() { return emulation.platform(); }

    static constexpr std::uint32_t taskCount = 8;
};

/// A long-running job that fills all instances together with another one, so that a task can start again on its own
/// instance only.
struct FullFleetFixture : LongRunningFixture {
    explicit FullFleetFixture(std::uint64_t seed)
        : LongRunningFixture(seed)
    {
        emulation.submit("e-2", otherJob, job({ longRunningStep(taskCount, 2000) }));
        emulation.advanceTime(milliseconds(4000));
    }

    /// Starts the process of an instance again under its name. It answers calls before the directory lists it.
    void restart(const std::string& name)
    {
        InstanceKind kind;
        kind.pool = "desk";
        kind.capacity = { 8000, 16000, 0 };
        platform().restartInstanceAs(name, kind, milliseconds(500));
    }

    std::size_t countRunsOn(const std::string& name)
    {
        const auto found = platform().instances().find(name);
        return found == platform().instances().end() ? 0 : found->second->runningTasks().size();
    }

    /// Waits until the tasks of an instance that has started again run there, and makes room for them elsewhere.
    void awaitRunsOn(const std::string& name)
    {
        for (int waited = 0; waited < 3000 && countRunsOn(name) < taskCount / 2; ++waited)
            emulation.advanceTime(milliseconds(1));
        emulation.cancel("e-2", otherJob);
        emulation.advanceTime(milliseconds(300));
    }

    static constexpr jobs::JobId otherJob = 0xe2;
};

} // namespace

// The successor of a controller that never answers again waited for the end of its longest outage of the log before it
// restarted the runs of an instance that was lost as well.
TEST_CASE("leases: the tasks of a lost instance run again soon after its controller was lost for good", "[emulation]")
{
    LongRunningFixture fixture(41);
    REQUIRE(fixture.countRuns() == LongRunningFixture::taskCount);
    fixture.crashForGood(fixture.busyInstance());
    fixture.emulation.advanceTime(milliseconds(100));
    fixture.emulation.killEntry(fixture.emulation.controller());
    REQUIRE(fixture.countRuns() < LongRunningFixture::taskCount);
    fixture.emulation.advanceTime(restartBound);
    CHECK(fixture.countRuns() == LongRunningFixture::taskCount);
    CHECK(fixture.violations().empty());
}

// Each successor counted the time from its own beginning, since what a former one had learned was lost with it.
TEST_CASE("leases: the tasks of a lost instance run again soon after the last of several controllers", "[emulation]")
{
    LongRunningFixture fixture(42);
    const bool isShutDown = GENERATE(false, true);
    fixture.crashForGood(fixture.busyInstance());
    std::string controller = fixture.emulation.controller();
    for (int change = 0; change < 3; ++change) {
        fixture.emulation.advanceTime(milliseconds(500));
        if (isShutDown)
            fixture.emulation.shutDownEntry(controller);
        else
            fixture.emulation.killEntry(controller);
        if (change < 2)
            controller = fixture.awaitSuccessor(controller);
    }
    fixture.emulation.advanceTime(restartBound);
    CHECK(fixture.countRuns() == LongRunningFixture::taskCount);
    CHECK(fixture.violations().empty());
}

// An instance that is lost a few seconds after a change of controller may still hold a lease of the former one.
TEST_CASE("leases: the tasks of an instance that is lost after a change of controller run again soon", "[emulation]")
{
    LongRunningFixture fixture(43);
    const std::string former = fixture.emulation.controller();
    fixture.emulation.killEntry(former);
    REQUIRE(!fixture.awaitSuccessor(former).empty());
    fixture.emulation.advanceTime(milliseconds(1500));
    fixture.crashForGood(fixture.busyInstance());
    fixture.emulation.advanceTime(restartBound);
    CHECK(fixture.countRuns() == LongRunningFixture::taskCount);
    CHECK(fixture.violations().empty());
}

// A controller that is cut off together with an instance keeps renewing its lease, and no later controller reaches
// either of them.
TEST_CASE("leases: a run on the side of a cut-off controller has ended before its task starts elsewhere", "[emulation]")
{
    LongRunningFixture fixture(44);
    const std::string former = fixture.emulation.controller();
    const bool hasCompany = GENERATE(false, true);
    auto& side = fixture.platform().faults().isolatedSide;
    side = { former, fixture.busyInstance() };
    if (hasCompany) {
        for (const auto& name : fixture.emulation.liveEntries()) {
            if (side.size() < 4)
                side.insert(name);
        }
    }
    fixture.emulation.advanceTime(restartBound + milliseconds(3000));
    CHECK(fixture.violations().empty());
    side.clear();
    fixture.emulation.advanceTime(milliseconds(10000));
    CHECK(fixture.countRuns() == LongRunningFixture::taskCount);
    CHECK(fixture.violations().empty());
}

// While the store is away for all entries, nobody can take over, and the work goes on under its controller.
TEST_CASE("leases: runs outlast an outage of the store that leaves the entries in touch", "[emulation]")
{
    LongRunningFixture fixture(45);
    auto& faults = fixture.platform().faults();
    const bool isUnresponsive = GENERATE(false, true);
    (isUnresponsive ? faults.isStoreUnresponsive : faults.isStoreDown) = true;
    for (int step = 0; step < 90; ++step) {
        fixture.emulation.advanceTime(milliseconds(100));
        REQUIRE(fixture.countRuns() == LongRunningFixture::taskCount);
    }
    faults = InjectedFaults();
    fixture.emulation.advanceTime(milliseconds(3000));
    CHECK(fixture.countRuns() == LongRunningFixture::taskCount);
    for (const auto& line : fixture.sink.lines)
        CHECK(line.find("lease-expired") == std::string::npos);
    CHECK(fixture.violations().empty());
}

// A controller that called an instance with the end of a lease on the clock of its earlier incarnation gave the next
// one the longest lease, which its successor did not know.
TEST_CASE("leases: a task does not start twice when its instance starts again and is cut off under a new controller",
    "[emulation]")
{
    FullFleetFixture fixture(46);
    const std::string instance = fixture.busyInstance();
    fixture.restart(instance);
    fixture.awaitRunsOn(instance);
    REQUIRE(fixture.countRunsOn(instance) > 0);
    const std::string former = fixture.emulation.controller();
    fixture.emulation.killEntry(former);
    REQUIRE(!fixture.awaitSuccessor(former).empty());
    fixture.emulation.advanceTime(milliseconds(200));
    fixture.platform().faults().unreachableInstances = { instance };
    fixture.emulation.advanceTime(milliseconds(12000));
    CHECK(fixture.violations().empty());
}

// A renewal that is under way when its instance ends may reach the next incarnation and grant the longest lease there.
// A successor that does not reach the instance has to allow for it.
TEST_CASE(
    "leases: a task does not start twice when a call for an earlier incarnation has extended the lease of its run",
    "[emulation]")
{
    FullFleetFixture fixture(47);
    const std::string instance = fixture.busyInstance();
    fixture.restart(instance);
    while (!fixture.platform().instances().count(instance))
        fixture.emulation.advanceTime(milliseconds(1));
    const std::string former = fixture.emulation.controller();
    const std::uint64_t token = fixture.emulation.entry(former)->control().state().epoch;
    fixture.platform().instances().at(instance)->renew({ 0, fleet::InstanceTime(std::chrono::hours(1)), {} }, token);
    fixture.awaitRunsOn(instance);
    REQUIRE(fixture.countRunsOn(instance) > 0);
    fixture.platform().faults().unreachableInstances = { instance };
    fixture.emulation.killEntry(former);
    const auto restart = GENERATE(0, 1, 2);
    if (restart == 1) {
        const std::string second = fixture.awaitSuccessor(former);
        fixture.emulation.advanceTime(milliseconds(200));
        fixture.emulation.killEntry(second);
    } else if (restart == 2) {
        fixture.killAllEntries();
        fixture.startAllEntries();
    }
    fixture.emulation.advanceTime(milliseconds(16000));
    CHECK(fixture.violations().empty());
}

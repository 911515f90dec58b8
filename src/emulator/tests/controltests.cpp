#include "emulator/tests/fixtures.h"
#include "jobs/recordcodec.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <tuple>

using namespace turmericsill;
using namespace turmericsill::emulator;
using fixtures::EmulationFixture;
using fixtures::job;
using fixtures::longRunningStep;
using fixtures::statusOf;
using fixtures::step;

namespace {

std::size_t countRuns(EmulationFixture& fixture, jobs::JobId id)
{
    std::size_t runs = 0;
    for (const auto& [name, instance] : fixture.emulation.platform().instances()) {
        for (const auto& task : instance->runningTasks())
            runs += task.job == id;
    }
    return runs;
}

fleet::MaintenanceWave waveOverAllInstances(milliseconds duration)
{
    fleet::MaintenanceWave wave;
    wave.number = 1;
    wave.duration = duration;
    wave.maximumDown = 4;
    for (const char* name : { "i-1", "i-2", "i-3", "i-4" })
        wave.machines.push_back(std::string("machine-of-") + name);
    return wave;
}

/// Number of pending jobs that an entry tells a caller; empty if it refuses to.
std::optional<std::size_t> pendingAt(EmulationFixture& fixture, const std::string& entryName)
{
    std::optional<std::size_t> result;
    fixture.emulation.queryPending(entryName, [&](std::optional<std::size_t> pending) { result = pending; });
    fixture.emulation.advanceTime(milliseconds(60));
    return result;
}

/// Name of a live entry that is not the controller.
std::string nonControllerEntry(EmulationFixture& fixture)
{
    for (const auto& name : fixture.emulation.liveEntries()) {
        if (name != fixture.emulation.controller())
            return name;
    }
    return {};
}

} // namespace

TEST_CASE("control: a job of two steps runs in order and every entry reports it as completed", "[emulation]")
{
    EmulationFixture fixture(1);
    fixture.emulation.submit("e-1", 0xa1, job({ step(6, 2000), step(3, 2000, { 0 }) }));
    fixture.emulation.advanceTime(milliseconds(100));
    CHECK(countRuns(fixture, 0xa1) == 6);
    CHECK(statusOf(fixture, "e-2", 0xa1).state == jobs::JobState::Running);
    fixture.emulation.advanceTime(milliseconds(5000));
    for (const char* name : { "e-1", "e-2", "e-3" })
        CHECK(statusOf(fixture, name, 0xa1).state == jobs::JobState::Completed);
    CHECK(fixture.violations().empty());
}

TEST_CASE("control: a new controller takes over the runs without restarting any", "[emulation]")
{
    EmulationFixture fixture(2);
    fixture.emulation.submit(nonControllerEntry(fixture), 0xa2, job({ step(8, 2000) }));
    fixture.emulation.advanceTime(milliseconds(100));
    REQUIRE(countRuns(fixture, 0xa2) == 8);
    const std::string formerController = fixture.emulation.controller();
    fixture.emulation.killEntry(formerController);
    fixture.emulation.advanceTime(milliseconds(5000));
    REQUIRE(!fixture.emulation.controller().empty());
    CHECK(fixture.emulation.controller() != formerController);
    CHECK(statusOf(fixture, nonControllerEntry(fixture), 0xa2).state == jobs::JobState::Completed);
    CHECK(fixture.violations().empty());
}

// A new controller does not know when the leases that its predecessor granted end. It must not treat an unknown end as
// an expired lease.
TEST_CASE("control: runs on responsive instances do not expire when a new controller takes over", "[emulation]")
{
    EmulationFixture fixture(3);
    auto longRunning = longRunningStep(4, 2000);
    fixture.emulation.submit("e-1", 0xa3, job({ longRunning }));
    // Short tasks end during the takeover, so that renewals have to wait for appends to the log.
    for (jobs::JobId id = 0x100; id < 0x110; ++id)
        fixture.emulation.submit("e-2", id, job({ step(1, 500) }));
    fixture.emulation.advanceTime(milliseconds(600));
    for (int round = 0; round < 4; ++round) {
        const std::string formerController = fixture.emulation.controller();
        fixture.emulation.killEntry(formerController);
        fixture.emulation.startEntry(formerController);
        fixture.emulation.advanceTime(milliseconds(3000));
        for (const auto& line : fixture.sink.lines)
            REQUIRE(line.find("lease-expired") == std::string::npos);
    }
    CHECK(countRuns(fixture, 0xa3) == 4);
    CHECK(fixture.violations().empty());
}

// The controller applies its records to its state before they are stored. Callers must not see their effect earlier.
TEST_CASE("control: a job is reported as completed only once its last run's end is stored in the log", "[emulation]")
{
    EmulationFixture fixture(4);
    const std::string controller = fixture.emulation.controller();
    fixture.emulation.submit(controller, 0xa4, job({ step(4, 2000) }));
    fixture.emulation.advanceTime(milliseconds(100));
    REQUIRE(countRuns(fixture, 0xa4) == 4);
    fixture.emulation.platform().faults().isStoreDown = true;
    fixture.emulation.advanceTime(milliseconds(4000));
    REQUIRE(countRuns(fixture, 0xa4) == 0);
    CHECK(statusOf(fixture, controller, 0xa4).state == jobs::JobState::Running);
    fixture.emulation.platform().faults().isStoreDown = false;
    fixture.emulation.advanceTime(milliseconds(1500));
    CHECK(statusOf(fixture, fixture.emulation.controller(), 0xa4).state == jobs::JobState::Completed);
    CHECK(fixture.violations().empty());
}

TEST_CASE("control: no accepted job is lost when all entries are killed at once", "[emulation]")
{
    EmulationFixture fixture(5);
    for (jobs::JobId id = 0x200; id < 0x208; ++id)
        fixture.emulation.submit("e-1", id, job({ step(4, 1000), step(2, 1000, { 0 }) }));
    fixture.emulation.advanceTime(milliseconds(300));
    fixture.killAllEntries();
    fixture.emulation.advanceTime(milliseconds(1500));
    fixture.startAllEntries();
    fixture.emulation.advanceTime(milliseconds(12000));
    for (const auto id : fixture.emulation.platform().invariants().acceptedJobs())
        CHECK(statusOf(fixture, "e-1", id).state == jobs::JobState::Completed);
    CHECK(fixture.emulation.platform().invariants().acceptedJobs().size() == 8);
    CHECK(fixture.violations().empty());
}

// The end of a run and the failure of its job may be stored in two appends. A controller that ends between them leaves
// the failures only, and the next one would give the task one attempt too many.
TEST_CASE("control: a task whose attempts are used up fails its job under the next controller", "[emulation]")
{
    constexpr jobs::JobId failing = 0xaf;
    for (const bool isQueueKnown : { true, false }) {
        mocks::RecordingSink sink;
        Emulation emulation(6, EmulationFixture::settings(), sink);
        fleet::FleetConfiguration otherQueue = fixtures::configuration();
        otherQueue.queues.front().name = "other";
        emulation.platform().setConfiguration(isQueueKnown ? fixtures::configuration() : otherQueue);
        std::vector<std::string> records { jobs::encode(
            jobs::JobSubmitted { failing, "calls", "desk", milliseconds(1), job({ step(1, 500) }) }, 0) };
        for (std::uint32_t run = 1; run <= 4; ++run) {
            const jobs::TaskId task { failing, 0, 0, 0 };
            records.push_back(jobs::encode(jobs::RunIntended { task, run, { "i-0", 7 } }, 0));
            records.push_back(jobs::encode(jobs::RunEnded { task, run, jobs::RunOutcome::Failed, {} }, 0));
        }
        REQUIRE(emulation.platform().log().append({ records, std::nullopt }));
        emulation.startEntry("e-1");
        emulation.advanceTime(milliseconds(1000));
        REQUIRE(emulation.controller() == "e-1");
        fleet::FleetConfiguration configuration = fixtures::configuration();
        configuration.version = 2;
        emulation.platform().setConfiguration(configuration);
        emulation.advanceTime(milliseconds(1000));
        emulation.platform().startInstance("i-1", "desk", { 8000, 16000, 0 });
        emulation.advanceTime(milliseconds(2000));
        CHECK(emulation.platform().invariants().startsOf({ failing, 0, 0, 0 }) == 0);
        CHECK(emulation.entry("e-1")->follower().table().find(failing)->state() == jobs::JobState::Failed);
    }
}

// A job is accepted under a queue and stays when operators remove it. Its attempts are bounded all the same, under each
// later controller.
TEST_CASE("control: a job whose queue was removed fails when its attempts are used up", "[emulation]")
{
    EmulationFixture fixture(8);
    constexpr jobs::JobId failing = 0xb0;
    const jobs::TaskId task { failing, 0, 0, 0 };
    auto& platform = fixture.emulation.platform();
    platform.setFailing(failing);
    fixture.emulation.submit("e-2", failing, job({ step(1, 500) }));
    fixture.emulation.advanceTime(milliseconds(100));
    REQUIRE(platform.invariants().startsOf(task) == 1);
    fleet::FleetConfiguration withoutQueue = fixtures::configuration();
    withoutQueue.version = 2;
    withoutQueue.queues.front().name = "other";
    withoutQueue.queues.front().host = "other.example";
    platform.setConfiguration(withoutQueue);
    const auto restart = GENERATE(0, 1, 2);
    if (restart == 1) {
        fixture.emulation.advanceTime(milliseconds(500));
        fixture.emulation.killEntry(fixture.emulation.controller());
    } else if (restart == 2) { // The entries that start know the job from a snapshot.
        const auto written = fixture.countEvents("snapshot.written");
        for (int waited = 0; waited < 3000 && fixture.countEvents("snapshot.written") == written; ++waited)
            fixture.emulation.advanceTime(milliseconds(1));
        fixture.killAllEntries();
        platform.log().dropRecords();
        fixture.startAllEntries();
    }
    fixture.emulation.advanceTime(milliseconds(30000));
    CHECK(platform.invariants().startsOf(task) == fixtures::configuration().queues.front().maximumAttempts);
    for (const auto& name : fixture.emulation.liveEntries())
        CHECK(fixture.emulation.entry(name)->follower().table().find(failing)->state() == jobs::JobState::Failed);
    CHECK(fixture.violations().empty());
}

// The members of a gang work together only if all of them resume from the same checkpoint. After the crash of an
// instance, those that go on elsewhere have saved different ones, and those that were lost with it none.
TEST_CASE("control: all members of a gang resume from the same checkpoint after a crash", "[emulation]")
{
    EmulationFixture fixture(9);
    constexpr jobs::JobId gangJob = 0xb1;
    constexpr std::uint32_t members = 4;
    auto gang = step(members, 500);
    gang.isGang = true;
    gang.resumesFromCheckpoint = true;
    auto& platform = fixture.emulation.platform();
    platform.invariants().onSubmitted(gangJob, job({ gang }));
    std::vector<std::string> records { jobs::encode(
        jobs::JobSubmitted { gangJob, "calls", "desk", milliseconds(1), job({ gang }) }, 0) };
    for (std::uint32_t index = 0; index < members; ++index)
        records.push_back(jobs::encode(jobs::RunIntended { { gangJob, 0, 0, index }, 1, { "i-0", 7 } }, 0));
    const std::vector<std::string> checkpoints { "", "00ff", "01ff", "" };
    for (std::uint32_t index = 0; index < members; ++index) {
        const auto outcome = checkpoints[index].empty() ? jobs::RunOutcome::InstanceGone : jobs::RunOutcome::PeerEnded;
        records.push_back(jobs::encode(jobs::RunEnded { { gangJob, 0, 0, index }, 1, outcome, checkpoints[index] }, 0));
    }
    REQUIRE(platform.log().append({ records, std::nullopt }));
    fixture.emulation.advanceTime(milliseconds(1000));
    CHECK(platform.invariants().startsOf({ gangJob, 0, 0, 0 }) == 1);
    const auto* started = fixture.emulation.entry("e-1")->follower().table().find(jobs::TaskId { gangJob, 0, 0, 0 });
    REQUIRE(started);
    CHECK(started->checkpoint == "01ff"); // The latest one that was saved.
    CHECK(fixture.violations().empty());
}

// New controllers have no address of the instance, which has left the directory. They must still treat its run as
// possibly active until its lease has expired.
TEST_CASE("control: a run on a removed instance is restarted after the former controller was queried", "[emulation]")
{
    EmulationFixture fixture(6);
    auto longRunning = longRunningStep(1, 2000);
    fixture.emulation.submit("e-1", 0xa6, job({ longRunning }));
    fixture.emulation.advanceTime(milliseconds(300));
    std::string busyInstance;
    for (const auto& [name, instance] : fixture.emulation.platform().instances()) {
        if (!instance->runningTasks().empty())
            busyInstance = name;
    }
    REQUIRE(!busyInstance.empty());
    fixture.killAllEntries();
    fixture.emulation.platform().crash(busyInstance);
    fixture.emulation.platform().removeFromDirectory(busyInstance);
    fixture.startAllEntries();
    // Lease of 5 s by the slowest clock, and the time until a new controller starts.
    fixture.emulation.advanceTime(milliseconds(9000));
    CHECK(countRuns(fixture, 0xa6) == 1);
    CHECK(fixture.violations().empty());
}

TEST_CASE("control: the long-running tasks of a draining instance move to others", "[emulation]")
{
    EmulationFixture fixture(7);
    auto longRunning = longRunningStep(2, 2000);
    longRunning.hasDisruptionBudget = true;
    longRunning.disruptionBudget = 1;
    fixture.emulation.submit("e-1", 0xa7, job({ longRunning }));
    fixture.emulation.advanceTime(milliseconds(300));
    std::string busyInstance;
    for (const auto& [name, instance] : fixture.emulation.platform().instances()) {
        if (!instance->runningTasks().empty())
            busyInstance = name;
    }
    fixture.emulation.platform().setDraining(busyInstance);
    fixture.emulation.advanceTime(milliseconds(2000));
    CHECK(fixture.emulation.platform().instances().at(busyInstance)->runningTasks().empty());
    CHECK(countRuns(fixture, 0xa7) == 2);
    CHECK(fixture.violations().empty());
}

TEST_CASE(
    "control: a cancelled job stops, even when its cancellation precedes its submission in the log", "[emulation]")
{
    EmulationFixture fixture(8);
    fixture.emulation.submit("e-1", 0xa8, job({ step(4, 2000) }));
    fixture.emulation.advanceTime(milliseconds(100));
    fixture.emulation.cancel("e-2", 0xa8);
    fixture.emulation.cancel("e-3", 0xa9);
    fixture.emulation.advanceTime(milliseconds(100));
    fixture.emulation.submit("e-1", 0xa9, job({ step(1, 1000) }));
    fixture.emulation.advanceTime(milliseconds(1000));
    CHECK(countRuns(fixture, 0xa8) == 0);
    CHECK(countRuns(fixture, 0xa9) == 0);
    CHECK(statusOf(fixture, "e-1", 0xa8).state == jobs::JobState::Cancelled);
    CHECK(statusOf(fixture, "e-1", 0xa9).state == jobs::JobState::Cancelled);
    CHECK(fixture.violations().empty());
}

// Unanswered orders that are repeated must not extend the lease that the controller assumes, or the runs of an
// unreachable instance would never be restarted.
TEST_CASE("control: the runs of an unreachable instance are restarted after its lease has expired", "[emulation]")
{
    EmulationFixture fixture(9);
    auto longRunning = longRunningStep(1, 6000);
    fixture.emulation.submit("e-1", 0xb1, job({ longRunning }));
    fixture.emulation.advanceTime(milliseconds(300));
    std::string busyInstance;
    for (const auto& [name, instance] : fixture.emulation.platform().instances()) {
        if (!instance->runningTasks().empty())
            busyInstance = name;
    }
    REQUIRE(!busyInstance.empty());
    // The small task fits best on the instance that has just become unreachable.
    fixture.emulation.platform().faults().unreachableInstances.insert(busyInstance);
    fixture.emulation.submit("e-2", 0xb2, job({ step(1, 2000) }));
    // Lease of 5 s by the slowest clock, counted from the last renewal that was answered.
    fixture.emulation.advanceTime(milliseconds(8000));
    std::size_t runsElsewhere = 0;
    for (const auto& [name, instance] : fixture.emulation.platform().instances())
        runsElsewhere += name != busyInstance && instance->isRunning({ 0xb1, 0, 0, 0 });
    CHECK(runsElsewhere == 1);
    CHECK(statusOf(fixture, "e-1", 0xb2).state == jobs::JobState::Completed);
    CHECK(fixture.violations().empty());
}

TEST_CASE("control: jobs survive the removal of the log's records", "[emulation]")
{
    EmulationFixture fixture(10);
    auto longRunning = longRunningStep(2, 2000);
    fixture.emulation.submit("e-1", 0xc1, job({ longRunning }));
    fixture.emulation.submit("e-2", 0xc2, job({ step(2, 1000) }));
    fixture.emulation.advanceTime(milliseconds(6000));
    REQUIRE(countRuns(fixture, 0xc1) == 2);
    fixture.emulation.platform().log().dropRecords();
    fixture.killAllEntries();
    fixture.startAllEntries();
    fixture.emulation.advanceTime(milliseconds(4000));
    CHECK(countRuns(fixture, 0xc1) == 2);
    for (const char* name : { "e-1", "e-2", "e-3" }) {
        CHECK(statusOf(fixture, name, 0xc1).state == jobs::JobState::Running);
        CHECK(statusOf(fixture, name, 0xc2).state == jobs::JobState::Completed);
    }
    CHECK(fixture.violations().empty());
}

TEST_CASE("control: steps that need advice run only on instances for which there is a ticket", "[emulation]")
{
    EmulationFixture fixture(11);
    fleet::FleetConfiguration configuration = fixtures::configuration();
    configuration.queues.front().advice
        = fleet::AdviceSettings { milliseconds(20), milliseconds(1), milliseconds(2000) };
    fixture.emulation.platform().setConfiguration(configuration);
    for (const char* name : { "e-1", "e-2", "e-3" }) {
        fixture.emulation.entry(name)->service().setConfiguration(configuration);
        fixture.emulation.entry(name)->control().setConfiguration(configuration);
    }
    fixture.emulation.submit("e-1", 0xd1, job({ step(4, 2000), step(2, 1000, { 0 }) }));
    fixture.emulation.advanceTime(milliseconds(100));
    CHECK(countRuns(fixture, 0xd1) == 4);
    std::size_t busyInstances = 0;
    for (const auto& [name, instance] : fixture.emulation.platform().instances())
        busyInstances += !instance->runningTasks().empty();
    CHECK(busyInstances <= 2);
    fixture.emulation.advanceTime(milliseconds(5000));
    CHECK(statusOf(fixture, "e-1", 0xd1).state == jobs::JobState::Completed);
    CHECK(fixture.violations().empty());
}

// The maintenance order was executed for a former controller and the machine has returned, so that the platform accepts
// the repeated order without effect. The controller must not take the machine's runs for ended.
TEST_CASE("control: a repeated maintenance order without effect ends no run", "[emulation]")
{
    EmulationFixture fixture(12);
    fixture.emulation.advanceTime(milliseconds(4000)); // Waits until the controller may send orders to machines.
    fixture.emulation.platform().faults().isMaintenanceAlreadyDone = true;
    fixture.emulation.submit("e-1", 0xe1, job({ step(16, 2000) }));
    fixture.emulation.advanceTime(milliseconds(150));
    REQUIRE(countRuns(fixture, 0xe1) == 16);
    // Too short to wait for the running tasks.
    const fleet::MaintenanceWave wave = waveOverAllInstances(milliseconds(100));
    fixture.emulation.entry(fixture.emulation.controller())->control().addWave(wave);
    fixture.emulation.advanceTime(milliseconds(6000));
    CHECK(statusOf(fixture, "e-1", 0xe1).state == jobs::JobState::Completed);
    for (const auto& line : fixture.sink.lines)
        CHECK(line.find("instance-gone") == std::string::npos);
    CHECK(fixture.violations().empty());
}

TEST_CASE("control: a live controller stays in control when the group has a better candidate", "[emulation]")
{
    EmulationFixture fixture(13);
    const std::string controller = fixture.emulation.controller();
    for (int round = 0; round < 3; ++round) {
        fixture.emulation.platform().log().rebalance();
        fixture.emulation.startEntry("a-" + std::to_string(round), 300); // A better candidate each time.
        fixture.emulation.advanceTime(milliseconds(1500));
        CHECK(fixture.emulation.controller() == controller);
    }
    // The store is unreachable only for the controller, which the other entries still reach.
    fixture.emulation.platform().faults().entriesPartitionedFromStore.insert(controller);
    fixture.emulation.advanceTime(milliseconds(4000));
    fixture.emulation.platform().faults().entriesPartitionedFromStore.clear();
    fixture.emulation.advanceTime(milliseconds(1000));
    CHECK(fixture.emulation.controller() != controller);
    CHECK(!fixture.emulation.controller().empty());
}

// Entries differ in size; the smallest ones have an eighth of a core.
TEST_CASE("control: an entry with at least twice the processor share takes over control", "[emulation]")
{
    EmulationFixture fixture(17);
    fixture.emulation.submit("e-1", 0xa7, job({ step(8, 2000) }));
    fixture.emulation.startEntry("z-strong", 500);
    fixture.emulation.advanceTime(milliseconds(2000));
    CHECK(fixture.emulation.controller() == "z-strong");
    fixture.emulation.killEntry("z-strong");
    fixture.emulation.advanceTime(milliseconds(4000));
    CHECK(!fixture.emulation.controller().empty());
    CHECK(statusOf(fixture, "e-1", 0xa7).state == jobs::JobState::Completed);
    CHECK(fixture.violations().empty());
}

// Many entries forward submissions while the log processes only a few appends per second.
TEST_CASE("control: a slow log causes neither refused submissions nor a loss of control", "[emulation]")
{
    // A submission waits at most for the append in progress and for its own.
    const auto [appendDuration, storeLatency, bound]
        = GENERATE(std::tuple(milliseconds(125), milliseconds(100), milliseconds(500)),
            std::tuple(milliseconds(180), milliseconds(260), milliseconds(950)),
            std::tuple(milliseconds(450), milliseconds(300), milliseconds(1550)));
    EmulationFixture fixture(18);
    constexpr int entryCount = 16;
    for (int i = 0; i < entryCount; ++i)
        fixture.emulation.startEntry("f-" + std::to_string(i));
    fixture.emulation.advanceTime(milliseconds(1000));
    fixture.emulation.platform().faults().appendDuration = appendDuration;
    fixture.emulation.platform().faults().storeLatency = storeLatency;
    std::size_t sent = 0;
    std::size_t accepted = 0;
    std::size_t lateAnswers = 0;
    const auto start = fixture.emulation.clock().now();
    while (fixture.emulation.clock().now() - start < milliseconds(5000)) {
        const jobs::JobId id = 0x5000 + sent;
        const auto sentAt = fixture.emulation.clock().now();
        fixture.emulation.submit("f-" + std::to_string(sent++ % entryCount), id, job({ step(1, 500) }),
            [&, sentAt, bound = bound](entry::RequestResult result) {
                accepted += result.outcome == entry::RequestOutcome::Stored;
                lateAnswers += fixture.emulation.clock().now() - sentAt > bound;
            });
        fixture.emulation.advanceTime(milliseconds(25));
    }
    fixture.emulation.advanceTime(milliseconds(1500));
    CHECK(accepted == sent);
    CHECK(lateAnswers == 0);
    std::size_t started = 0;
    for (jobs::JobId id = 0x5000; id < 0x5000 + sent; ++id)
        started += statusOf(fixture, "f-0", id).state != jobs::JobState::Queued;
    CHECK(started == sent);
    CHECK(fixture.violations().empty());
}

// While the store does not respond, callers must get a quick answer so that they can try another entry or retry later.
TEST_CASE("submissions: an unresponsive store does not delay answers until the deadline", "[emulation]")
{
    EmulationFixture fixture(14);
    const bool isController = GENERATE(false, true);
    const std::string entryName = isController ? fixture.emulation.controller() : nonControllerEntry(fixture);
    std::vector<std::pair<entry::RequestOutcome, milliseconds>> answers;
    const auto submit = [&](jobs::JobId id) {
        const auto sentAt = fixture.emulation.clock().now();
        fixture.emulation.submit(entryName, id, job({ step(1, 1000) }), [&, sentAt](entry::RequestResult result) {
            const auto took = std::chrono::duration_cast<milliseconds>(fixture.emulation.clock().now() - sentAt);
            answers.emplace_back(result.outcome, took);
        });
    };
    fixture.emulation.platform().faults().isStoreUnresponsive = true;
    submit(0xef); // The outage is not detected yet, so the record is sent and may be stored.
    fixture.emulation.advanceTime(milliseconds(1600));
    REQUIRE(answers.size() == 1);
    CHECK(answers.front().first == entry::RequestOutcome::Unknown);
    answers.clear();
    for (jobs::JobId id = 0xf0; id < 0xf8; ++id) {
        submit(id);
        fixture.emulation.advanceTime(milliseconds(100));
    }
    fixture.emulation.advanceTime(milliseconds(1000));
    REQUIRE(answers.size() == 8);
    for (const auto& [outcome, took] : answers) {
        CHECK(outcome == entry::RequestOutcome::NotStored);
        CHECK(took <= milliseconds(250));
    }
    fixture.emulation.platform().faults().isStoreUnresponsive = false;
    fixture.emulation.advanceTime(milliseconds(5000));
    CHECK(fixture.violations().empty());
}

// While the store refuses every call, callers must get a quick refusal instead of waiting for their deadline.
TEST_CASE("submissions: callers are refused quickly while the store refuses calls", "[emulation]")
{
    EmulationFixture fixture(19);
    const std::string entryName = nonControllerEntry(fixture);
    fixture.emulation.platform().faults().isStoreDown = true;
    std::size_t unknown = 0;
    std::size_t refused = 0;
    for (jobs::JobId id = 0xe0; id < 0xe8; ++id) {
        const auto sentAt = fixture.emulation.clock().now();
        fixture.emulation.submit(entryName, id, job({ step(1, 1000) }), [&, sentAt](entry::RequestResult result) {
            const bool isRefused = result.outcome == entry::RequestOutcome::NotStored;
            refused += isRefused;
            unknown += result.outcome == entry::RequestOutcome::Unknown;
            CHECK((!isRefused || fixture.emulation.clock().now() - sentAt <= milliseconds(250)));
        });
        fixture.emulation.advanceTime(milliseconds(100));
    }
    fixture.emulation.advanceTime(milliseconds(1500));
    CHECK(unknown <= 1); // Only the record that the controller accepted before the store refused it.
    CHECK(refused + unknown == 8);
    fixture.emulation.platform().faults().isStoreDown = false;
    fixture.emulation.advanceTime(milliseconds(5000));
    CHECK(fixture.violations().empty());
}

// The address of an instance that has ended is reused by another before the controller drops its connections to the
// first. Dropping them by address must not affect the new instance.
TEST_CASE("control: an instance that reuses another's address keeps its connections and its runs", "[emulation]")
{
    EmulationFixture fixture(15);
    auto& platform = fixture.emulation.platform();
    platform.setDraining("i-1"); // It gets no work, so that the controller does not notice its end.
    fixture.emulation.advanceTime(milliseconds(500));
    platform.crash("i-1");
    platform.reuseAddress("i-1", "i-9");
    platform.startInstance("i-9", "desk", { 8000, 16000, 0 });
    fixture.emulation.advanceTime(milliseconds(1000));
    auto longRunning = longRunningStep(4, 5000);
    fixture.emulation.submit("e-1", 0xab1, job({ longRunning }));
    fixture.emulation.advanceTime(milliseconds(500));
    REQUIRE(countRuns(fixture, 0xab1) == 4);
    platform.removeFromDirectory("i-1");
    fixture.emulation.advanceTime(milliseconds(9000));
    CHECK(countRuns(fixture, 0xab1) == 4);
    for (const auto& line : fixture.sink.lines)
        CHECK(line.find("lease-expired") == std::string::npos);
    CHECK(fixture.violations().empty());
}

// Entries with slow links restart at the same time and have to read a long log before they can claim control.
TEST_CASE("control: entries with slow links read a long log and one of them takes control", "[emulation]")
{
    EmulationFixture fixture(16);
    constexpr std::size_t tenMegabitsPerSecond = 1250000;
    jobs::JobSpec large = job({ step(1, 1000) });
    large.payload.assign(4000, 'x');
    for (jobs::JobId id = 0x1000; id < 0x1400; ++id) {
        const jobs::JobSubmitted submitted { id, "calls", "desk", milliseconds(0), large };
        fixture.emulation.platform().log().append({ { jobs::encode(submitted, 0) }, {} });
        fixture.emulation.platform().log().append({ { jobs::encode(jobs::JobCancelled { id }, 0) }, {} });
    }
    for (const char* name : { "e-1", "e-2", "e-3" }) {
        fixture.emulation.killEntry(name);
        fixture.emulation.platform().faults().linkBytesPerSecond[name] = tenMegabitsPerSecond;
    }
    fixture.emulation.advanceTime(milliseconds(2000));
    fixture.startAllEntries();
    fixture.emulation.advanceTime(milliseconds(6000)); // Reading the log takes 3.4 s on such a link.
    CHECK(!fixture.emulation.controller().empty());
    for (const char* name : { "e-1", "e-2", "e-3" })
        CHECK(statusOf(fixture, name, 0x13ff).state == jobs::JobState::Cancelled);
}

// A controller that can still append but lags behind in reading does not know the records of other entries, for
// example cancellations.
TEST_CASE("control: no run starts while the controller's reading of the log lags by seconds", "[emulation]")
{
    EmulationFixture fixture(20);
    const std::string controller = fixture.emulation.controller();
    fixture.emulation.platform().faults().linkBytesPerSecond[controller] = 1;
    fixture.emulation.platform().log().append({ { jobs::encode(jobs::JobCancelled { 0x7ff }, 0) }, {} });
    fixture.emulation.advanceTime(milliseconds(3500));
    fixture.emulation.submit(controller, 0x700, job({ step(2, 1000) }));
    fixture.emulation.advanceTime(milliseconds(500));
    fixture.emulation.platform().log().append({ { jobs::encode(jobs::JobCancelled { 0x700 }, 0) }, {} });
    for (int i = 0; i < 20; ++i) {
        fixture.emulation.advanceTime(milliseconds(100));
        CHECK(countRuns(fixture, 0x700) == 0);
    }
    fixture.emulation.platform().faults().linkBytesPerSecond.clear();
    fixture.emulation.advanceTime(milliseconds(5000));
    CHECK(countRuns(fixture, 0x700) == 0);
    CHECK(statusOf(fixture, nonControllerEntry(fixture), 0x700).state == jobs::JobState::Cancelled);
    CHECK(fixture.violations().empty());
}

// A controller whose reads are all answered may still be seconds behind the log's end, and a cancellation that another
// entry has appended meanwhile stands there.
TEST_CASE("control: no run starts while the controller reads page after page without reaching the end", "[emulation]")
{
    EmulationFixture fixture(36);
    const std::string controller = fixture.emulation.controller();
    constexpr std::size_t linkBytesPerSecond = 400000;
    constexpr std::size_t recordBytes = 4000;
    constexpr std::size_t secondsOfReading = 10;
    auto& platform = fixture.emulation.platform();
    platform.faults().linkBytesPerSecond[controller] = linkBytesPerSecond;
    // Claims of an epoch that is over have no effect.
    const jobs::ControlClaimed outdated { 0, "e-0", 0, std::string(recordBytes, 'x'), milliseconds(0) };
    for (std::size_t i = 0; i < secondsOfReading * linkBytesPerSecond / recordBytes; ++i)
        platform.log().append({ { jobs::encode(outdated, 0) }, {} });
    platform.log().append({ { jobs::encode(jobs::JobCancelled { 0x701 }, 0) }, {} });
    fixture.emulation.advanceTime(milliseconds(3000));
    fixture.emulation.submit(controller, 0x701, job({ step(2, 1000) }));
    for (int i = 0; i < 20; ++i) {
        fixture.emulation.advanceTime(milliseconds(100));
        CHECK(countRuns(fixture, 0x701) == 0);
    }
    // Two readers share the link.
    fixture.emulation.advanceTime(milliseconds(3 * 1000 * secondsOfReading));
    CHECK(countRuns(fixture, 0x701) == 0);
    CHECK(statusOf(fixture, controller, 0x701).state == jobs::JobState::Cancelled);
}

// An entry that cannot read the log, or follows it late, must not tell a count from what it read before.
TEST_CASE("status: the number of pending jobs is never older than the log's latest read", "[emulation]")
{
    EmulationFixture fixture(31);
    const std::string reader = nonControllerEntry(fixture);
    CHECK(pendingAt(fixture, reader) == std::optional<std::size_t>(0));
    fixture.emulation.platform().faults().entriesPartitionedFromStore.insert(reader);
    fixture.emulation.advanceTime(milliseconds(100));
    // No instance has room for these jobs.
    for (jobs::JobId id = 0x700; id < 0x70a; ++id)
        fixture.emulation.submit(fixture.emulation.controller(), id, job({ step(1, 9000) }));
    fixture.emulation.advanceTime(milliseconds(3000));
    CHECK(pendingAt(fixture, reader) == std::nullopt);
    CHECK(pendingAt(fixture, fixture.emulation.controller()) == std::optional<std::size_t>(10));
    fixture.emulation.platform().faults().entriesPartitionedFromStore.clear();
    fixture.emulation.advanceTime(milliseconds(1500));
    CHECK(pendingAt(fixture, reader) == std::optional<std::size_t>(10));
}

// Orders that never reach their instance leave runs that are intended but do not exist. Their jobs have not started,
// and a caller that is told otherwise does not learn that its queue stands still.
TEST_CASE("status: jobs whose start orders have had no effect count as pending", "[emulation]")
{
    EmulationFixture fixture(37);
    for (const char* name : { "i-1", "i-2", "i-3", "i-4" })
        fixture.emulation.platform().faults().unreachableInstances.insert(name);
    constexpr std::size_t jobCount = 12;
    for (jobs::JobId id = 0x900; id < 0x900 + jobCount; ++id)
        fixture.emulation.submit("e-1", id, job({ step(1, 2000) }));
    fixture.emulation.advanceTime(milliseconds(6000));
    for (const char* name : { "e-1", "e-2", "e-3" })
        CHECK(pendingAt(fixture, name) == std::optional<std::size_t>(jobCount));
    fixture.emulation.platform().faults().unreachableInstances.clear();
    fixture.emulation.advanceTime(milliseconds(8000));
    for (const char* name : { "e-1", "e-2", "e-3" })
        CHECK(pendingAt(fixture, name) == std::optional<std::size_t>(0));
    CHECK(fixture.violations().empty());
}

// A controller with a slow link or too little processor time reads the log for seconds before it sends an order. The
// intent of the run is in the log all the while.
TEST_CASE("status: jobs whose start orders a slow controller holds back count as pending", "[emulation]")
{
    EmulationFixture fixture(40);
    const std::string controller = fixture.emulation.controller();
    fixture.emulation.platform().faults().linkBytesPerSecond[controller] = 1;
    fixture.emulation.platform().log().append({ { jobs::encode(jobs::JobCancelled { 0x7ff }, 0) }, {} });
    fixture.emulation.advanceTime(milliseconds(3500));
    for (jobs::JobId id = 0x920; id < 0x924; ++id)
        fixture.emulation.submit(controller, id, job({ step(1, 1000) }));
    fixture.emulation.advanceTime(milliseconds(5200));
    REQUIRE(fixture.emulation.controller() == controller);
    REQUIRE(countRuns(fixture, 0x920) == 0);
    CHECK(pendingAt(fixture, nonControllerEntry(fixture)) == std::optional<std::size_t>(4));
    fixture.emulation.platform().faults().linkBytesPerSecond.clear();
    fixture.emulation.advanceTime(milliseconds(5000));
    CHECK(pendingAt(fixture, nonControllerEntry(fixture)) == std::optional<std::size_t>(0));
    CHECK(fixture.violations().empty());
}

// The controller that records the start of a run may end before its record is in the log. Its successor has the run
// confirmed by the instance's list.
TEST_CASE("status: a job that runs while control changes does not count as pending", "[emulation]")
{
    EmulationFixture fixture(38);
    auto longRunning = longRunningStep(2, 2000);
    fixture.emulation.submit("e-1", 0xa10, job({ longRunning }));
    while (countRuns(fixture, 0xa10) < 2)
        fixture.emulation.advanceTime(milliseconds(1));
    fixture.emulation.killEntry(fixture.emulation.controller());
    fixture.emulation.advanceTime(milliseconds(6000));
    REQUIRE(countRuns(fixture, 0xa10) == 2);
    for (const auto& name : fixture.emulation.liveEntries())
        CHECK(pendingAt(fixture, name) == std::optional<std::size_t>(0));
    CHECK(fixture.violations().empty());
}

// The platform does not check the tokens of machine orders, and an order may wait for a connection or while its entry
// is frozen. It must not be sent once another entry may have taken over.
TEST_CASE("control: the authority of a machine order ends with the membership that it rests on", "[emulation]")
{
    EmulationFixture fixture(32);
    fixture.emulation.advanceTime(milliseconds(4000)); // Waits until the controller may send orders to machines.
    const std::string former = fixture.emulation.controller();
    fleet::MaintenanceWave wave;
    wave.number = 1;
    wave.duration = milliseconds(5000);
    wave.machines = { "machine-of-i-1" };
    fixture.emulation.entry(former)->control().addWave(wave);
    fixture.emulation.advanceTime(milliseconds(200));
    const fleet::MachineOrderAuthority authority = fixture.emulation.platform().lastMachineOrder();
    REQUIRE(authority.isInForce);
    CHECK(authority.isInForce());
    fixture.emulation.pauseEntry(former);
    fixture.emulation.advanceTime(milliseconds(2500));
    CHECK(fixture.emulation.controller() != former);
    CHECK_FALSE(authority.isInForce());
    fixture.emulation.resumeEntry(former);
    fixture.emulation.advanceTime(milliseconds(1000));
    CHECK_FALSE(authority.isInForce());
}

// An accepted order ends the session of an idle instance at once. If the order had no effect, the instance must get
// work again.
TEST_CASE("control: an idle instance returns to service after a machine order without effect", "[emulation]")
{
    EmulationFixture fixture(33);
    fixture.emulation.advanceTime(milliseconds(4000));
    fixture.emulation.platform().faults().isMaintenanceAlreadyDone = true;
    const fleet::MaintenanceWave wave = waveOverAllInstances(milliseconds(5000));
    fixture.emulation.entry(fixture.emulation.controller())->control().addWave(wave);
    fixture.emulation.advanceTime(milliseconds(4000));
    fixture.emulation.submit("e-1", 0xe7, job({ step(16, 2000) }));
    fixture.emulation.advanceTime(milliseconds(150));
    CHECK(countRuns(fixture, 0xe7) == 16);
    CHECK(fixture.violations().empty());
}

// Without a list that shows the machine, the operation ends by its timeout only.
TEST_CASE(
    "control: an idle instance returns after a machine order without effect while no list is answered", "[emulation]")
{
    EmulationFixture fixture(36);
    fixture.emulation.advanceTime(milliseconds(4000));
    fixture.emulation.platform().faults().isMaintenanceAlreadyDone = true;
    fixture.emulation.platform().faults().isMachineListDown = true;
    const fleet::MaintenanceWave wave = waveOverAllInstances(milliseconds(5000));
    fixture.emulation.entry(fixture.emulation.controller())->control().addWave(wave);
    fixture.emulation.advanceTime(milliseconds(10000));
    fixture.emulation.platform().faults().isMachineListDown = false;
    fixture.emulation.advanceTime(milliseconds(1000));
    fixture.emulation.submit("e-1", 0xe8, job({ step(16, 2000) }));
    fixture.emulation.advanceTime(milliseconds(150));
    CHECK(countRuns(fixture, 0xe8) == 16);
    CHECK(fixture.violations().empty());
}

// A controller that reads back what it writes falls behind under load: its link and its processor carry every record
// twice. Starts and stops then wait for reads that never reach the log's end.
TEST_CASE("control: a controller's own records need no reading, however slow its link is", "[emulation]")
{
    EmulationFixture fixture(34);
    const std::string controller = fixture.emulation.controller();
    constexpr std::size_t recordsPerSecond = 4;
    constexpr std::size_t bytesPerRecord = 50;
    fixture.emulation.platform().faults().linkBytesPerSecond[controller] = recordsPerSecond * bytesPerRecord;
    // Each job takes 17 records, and the instances have room for 16 of its tasks at a time.
    constexpr jobs::JobId jobCount = 12;
    for (jobs::JobId id = 0x800; id < 0x800 + jobCount; ++id)
        fixture.emulation.submit(controller, id, job({ step(8, 2000) }));
    fixture.emulation.advanceTime(milliseconds(12000));
    CHECK(fixture.emulation.controller() == controller);
    for (jobs::JobId id = 0x800; id < 0x800 + jobCount; ++id)
        CHECK(statusOf(fixture, controller, id).state == jobs::JobState::Completed);
    CHECK(fixture.violations().empty());
}

// A controller that was frozen or had no processor time has not heard from its instances either. Their leases, which it
// granted before, have not expired, and it must not take its own silence for theirs.
TEST_CASE("control: a controller that was late itself gives up no run whose lease lasts", "[emulation]")
{
    EmulationFixture fixture(35);
    const std::string controller = fixture.emulation.controller();
    auto longRunning = longRunningStep(4, 2000);
    fixture.emulation.submit(controller, 0xf1, job({ longRunning }));
    fixture.emulation.advanceTime(milliseconds(1500));
    for (const char* name : { "e-1", "e-2", "e-3" }) {
        if (name != controller)
            fixture.emulation.killEntry(name);
    }
    for (int round = 0; round < 3; ++round) {
        fixture.emulation.pauseEntry(controller);
        fixture.emulation.advanceTime(milliseconds(3500));
        fixture.emulation.resumeEntry(controller);
        fixture.emulation.advanceTime(milliseconds(2500));
    }
    CHECK(countRuns(fixture, 0xf1) == 4);
    const auto count = [&](const std::string& text) {
        return std::count_if(fixture.sink.lines.begin(), fixture.sink.lines.end(),
            [&](const std::string& line) { return line.find(text) == 0; });
    };
    CHECK(count("run.ordered") == 4);
    CHECK(count("run.ended") == 0);
    CHECK(fixture.violations().empty());
}

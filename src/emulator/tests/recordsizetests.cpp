#include "emulator/tests/fixtures.h"

#include <catch2/catch.hpp>

using namespace turmericsill;
using namespace turmericsill::emulator;
using fixtures::EmulationFixture;
using fixtures::job;
using fixtures::longRunningStep;
using fixtures::statusOf;
using fixtures::step;

namespace {

constexpr jobs::JobId wideJob = 0xd100;
constexpr jobs::JobId firstOtherJob = 0xd200;
constexpr jobs::JobId otherJobs = 6;
constexpr jobs::RecordLimits smallLimits { 4000, 5000, 4 };

jobs::JobSpec checkpointingJob(std::uint32_t taskCount)
{
    auto result = step(taskCount, 10);
    result.resourcesPerTask.memoryMb = 1;
    result.isLongRunning = true;
    result.resumesFromCheckpoint = true;
    return job({ result });
}

/// Starts a wide job and cancels it just after jobs of two steps were accepted; its runs end with large checkpoints.
void cancelWideJob(EmulationFixture& fixture, std::uint32_t taskCount, std::size_t checkpointBytes)
{
    fixture.emulation.platform().setCheckpointBytes(checkpointBytes);
    fixture.emulation.submit("e-1", wideJob, checkpointingJob(taskCount));
    fixture.emulation.advanceTime(milliseconds(2000));
    for (jobs::JobId id = firstOtherJob; id < firstOtherJob + otherJobs; ++id)
        fixture.emulation.submit("e-2", id, job({ step(2, 500), step(2, 500, { 0 }) }));
    fixture.emulation.advanceTime(milliseconds(100));
    fixture.emulation.cancel("e-1", wideJob);
    fixture.emulation.advanceTime(milliseconds(12000));
}

/// Replaces all entries in turn, some seconds apart. The log drops what a snapshot covers meanwhile.
void replaceAllEntries(EmulationFixture& fixture)
{
    for (const char* name : { "e-1", "e-2", "e-3" }) {
        const auto written = fixture.countEvents("snapshot.written");
        for (int waited = 0; waited < 5000 && fixture.countEvents("snapshot.written") == written; ++waited)
            fixture.emulation.advanceTime(milliseconds(1));
        fixture.emulation.platform().log().dropRecords();
        fixture.emulation.shutDownEntry(name);
        fixture.emulation.advanceTime(milliseconds(1000));
        fixture.emulation.startEntry(name);
        fixture.emulation.advanceTime(milliseconds(3000));
    }
}

void checkThatAllJobsHaveEnded(EmulationFixture& fixture)
{
    for (const auto& name : fixture.emulation.liveEntries()) {
        CHECK(statusOf(fixture, name, wideJob).state == jobs::JobState::Cancelled);
        for (jobs::JobId id = firstOtherJob; id < firstOtherJob + otherJobs; ++id)
            CHECK(statusOf(fixture, name, id).state == jobs::JobState::Completed);
    }
    CHECK(fixture.violations().empty());
}

} // namespace

// The ends of many runs with their checkpoints arrive during one append. As one record they are larger than the log
// accepts; the controller repeated the refused append and stored nothing else from then on.
TEST_CASE("record sizes: the cancellation of a wide job with checkpoints stops no other job", "[emulation]")
{
    EmulationFixture fixture(81);
    cancelWideJob(fixture, 1600, 1000);
    checkThatAllJobsHaveEnded(fixture);
}

TEST_CASE(
    "record sizes: a checkpoint that no record holds does not keep the end of its run from being stored", "[emulation]")
{
    EmulationFixture fixture(82);
    cancelWideJob(fixture, 8, 300 << 10);
    checkThatAllJobsHaveEnded(fixture);
}

TEST_CASE("record sizes: a log that accepts less than its settings tell does not stop the controller", "[emulation]")
{
    EmulationFixture fixture(83);
    fixture.emulation.platform().log().setAcceptedAppendBytes(20000);
    cancelWideJob(fixture, 400, 1000);
    checkThatAllJobsHaveEnded(fixture);
}

// A job was one record of the snapshot, whatever its size. With a job that no record holds no snapshot was stored, and
// after the log's retention no entry that started knew any job.
TEST_CASE("record sizes: jobs survive the replacement of all entries beside one that no record holds", "[emulation]")
{
    EmulationFixture fixture(84, fixtures::configuration(), EmulationFixture::settings(), smallLimits);
    fixture.emulation.submit("e-1", wideJob, job({ step(900, 10) }));
    fixture.emulation.submit("e-2", firstOtherJob, job({ step(2, 500) }));
    auto lasting = longRunningStep(2, 500);
    fixture.emulation.submit("e-2", firstOtherJob + 1, job({ lasting }));
    fixture.emulation.advanceTime(milliseconds(4000));
    replaceAllEntries(fixture);
    for (const auto& name : fixture.emulation.liveEntries()) {
        CHECK(statusOf(fixture, name, wideJob).state == jobs::JobState::Completed);
        CHECK(statusOf(fixture, name, firstOtherJob).state == jobs::JobState::Completed);
        CHECK(statusOf(fixture, name, firstOtherJob + 1).state == jobs::JobState::Running);
    }
    CHECK(fixture.violations().empty());
}

// A controller that ends while it writes a snapshot leaves some of the new parts beside the former ones.
TEST_CASE("record sizes: a snapshot that was not finished leaves the one before readable", "[emulation]")
{
    for (int delay = 0; delay < 60; delay += 4) {
        EmulationFixture fixture(85, fixtures::configuration(), EmulationFixture::settings(), smallLimits);
        auto& log = fixture.emulation.platform().log();
        fixture.emulation.submit("e-1", wideJob, job({ step(900, 10), step(900, 10, { 0 }) }));
        fixture.emulation.advanceTime(milliseconds(2500));
        const auto saved = log.savedEntries();
        for (int waited = 0; waited < 5000 && log.savedEntries() == saved; ++waited)
            fixture.emulation.advanceTime(milliseconds(1));
        REQUIRE(log.savedEntries() > saved);
        fixture.emulation.advanceTime(milliseconds(delay));
        fixture.killAllEntries();
        fixture.startAllEntries();
        fixture.emulation.advanceTime(milliseconds(15000));
        for (const auto& name : fixture.emulation.liveEntries())
            CHECK(statusOf(fixture, name, wideJob).state == jobs::JobState::Completed);
        CHECK(fixture.violations().empty());
    }
}

TEST_CASE("record sizes: the parts of a job leave the snapshot with the job", "[emulation]")
{
    control::ControlSettings settings = EmulationFixture::settings();
    settings.statusRetention = milliseconds(3000);
    EmulationFixture fixture(86, fixtures::configuration(), settings, smallLimits);
    auto& log = fixture.emulation.platform().log();
    auto lasting = longRunningStep(900, 10);
    fixture.emulation.submit("e-1", wideJob, job({ lasting }));
    fixture.emulation.advanceTime(milliseconds(4000));
    CHECK(log.load().size() > 2);
    fixture.emulation.cancel("e-1", wideJob);
    fixture.emulation.advanceTime(milliseconds(8000));
    CHECK(log.load().size() == 1);
}

#include "emulator/tests/fixtures.h"

#include <catch2/catch.hpp>

using namespace turmericsill;
using namespace turmericsill::emulator;
using fixtures::EmulationFixture;
using fixtures::job;
using fixtures::statusOf;
using fixtures::step;

namespace {

constexpr jobs::JobId wideJob = 0xd100;
constexpr jobs::JobId firstOtherJob = 0xd200;
constexpr jobs::JobId otherJobs = 6;

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

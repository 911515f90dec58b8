#include "jobs/appendbuilder.h"
#include "jobs/jobtable.h"
#include "jobs/recordcodec.h"
#include "jobs/snapshotcodec.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

using namespace turmericsill::jobs;

namespace {

StepSpec step(std::uint32_t count, std::vector<std::uint32_t> dependsOn = {})
{
    StepSpec result;
    result.taskCount = count;
    result.resourcesPerTask = { 1500, 200, 1 };
    result.estimatedDuration = milliseconds(700);
    result.dependsOn = std::move(dependsOn);
    result.requiredLabel = "a";
    result.hasDisruptionBudget = true;
    result.disruptionBudget = 2;
    return result;
}

JobSubmitted submitted(JobId id, std::vector<StepSpec> steps)
{
    JobSubmitted record { id, "calls", "pool-1", milliseconds(1000), {} };
    record.spec.payload = "payload";
    record.spec.steps = std::move(steps);
    return record;
}

RunIntended intended(JobId job, std::uint32_t index, std::uint32_t run, std::uint32_t stepNumber = 0)
{
    return { { job, 0, stepNumber, index }, run, { "i-1", 7 } };
}

RunEnded ended(JobId job, std::uint32_t index, std::uint32_t run, RunOutcome outcome, std::uint32_t stepNumber = 0)
{
    return { { job, 0, stepNumber, index }, run, outcome, {} };
}

} // namespace

TEST_CASE("ids: a job id has sixteen lower-case hexadecimal digits, and malformed ids are rejected", "[jobs]")
{
    CHECK(parseJobId("5c0e7a21d94b36f8") == JobId(0x5c0e7a21d94b36f8));
    CHECK(toText(JobId(0x0c0e7a21d94b36f8)) == "0c0e7a21d94b36f8");
    for (const char* text : { "", "5c0e7a21d94b36f", "5c0e7a21d94b36f80", "5C0E7A21D94B36F8", "5c0e7a21d94b36fg" })
        CHECK_FALSE(parseJobId(text));
    const TaskId task { 0x5c0e7a21d94b36f8, 3, 1, 17 };
    CHECK(toText(task) == "5c0e7a21d94b36f8.3.1.17");
    CHECK(parseTaskId("5c0e7a21d94b36f8.3.1.17") == task);
    for (const char* text : { "5c0e7a21d94b36f8", "5c0e7a21d94b36f8.3.1", "5c0e7a21d94b36f8.3.1.17.2", "x.0.0.0" })
        CHECK_FALSE(parseTaskId(text));
}

TEST_CASE("records: every type round-trips, truncated and foreign bytes are rejected", "[jobs]")
{
    const std::vector<Record> records { ControlClaimed { 7, "e-1", 12, "10.0.0.1:7000", milliseconds(99) },
        submitted(1, { step(2), step(1, { 0 }) }), JobCancelled { 2 }, intended(1, 0, 3),
        RunEnded { { 1, 0, 0, 1 }, 2, RunOutcome::Stopped, "00ff" }, JobFailed { 1 }, JobExpired { 1 },
        MaintenanceStarted { 4, "m-1" }, WaveFirstSeen { 4, milliseconds(55) },
        RunBatch { { intended(1, 0, 3), intended(1, 1, 1), RunEnded { { 2, 1, 0, 1 }, 2, RunOutcome::Stopped, "00ff" },
            ended(2, 7, 1, RunOutcome::InstanceGone), intended(1, 0, 4) } },
        JobsStarted { { 1, 0xffffffffffffffff } },
        InstanceCrashed { { "i-1", 7 }, "m-1",
            { { { 1, 0, 0, 1 }, 3, true, true, false }, { { 2, 4, 1, 0 }, 1, false, false, true } } },
        ControlClaimed { 8, "e-2", 13, "10.0.0.2:7000", milliseconds(98),
            std::vector<ControlWitness> { { "e-1", "10.0.0.1:7000" } } },
        ControlClaimed { 9, "e-2", 13, "10.0.0.2:7000", milliseconds(98), std::vector<ControlWitness> {} },
        WitnessesChanged { 8, { { "e-1", "10.0.0.1:7000" }, { "e-3", "10.0.0.3:7000" } } },
        InstanceRestarted { { "i-1", 7 }, milliseconds(10300) } };
    for (const auto& record : records) {
        const std::string bytes = encode(record, 7);
        const auto decoded = decode(bytes);
        REQUIRE(decoded);
        CHECK(decoded->epoch == 7);
        CHECK(decoded->record.index() == record.index());
        CHECK(encode(decoded->record, 7) == bytes);
        for (std::size_t length = 0; length < bytes.size(); ++length)
            CHECK_FALSE(decode(bytes.substr(0, length)));
    }
    CHECK_FALSE(decode("not a record"));
}

TEST_CASE("table: a job completes when all tasks are done, and a step is ready after its dependencies", "[jobs]")
{
    JobTable table;
    table.apply(submitted(1, { step(2), step(1, { 0 }) }));
    CHECK(table.pendingJobs("calls") == 1);
    table.apply(intended(1, 0, 1));
    table.apply(intended(1, 1, 1));
    CHECK(table.pendingJobs("calls") == 1);
    CHECK(table.jobsAwaitingStart("calls") == 1);
    CHECK(table.find(JobId(1))->state() == JobState::Queued);
    table.apply(JobsStarted { { 1 } });
    CHECK(table.pendingJobs("calls") == 0);
    CHECK(table.jobsAwaitingStart("calls") == 0);
    CHECK(table.find(JobId(1))->state() == JobState::Running);
    CHECK_FALSE(table.find(JobId(1))->occurrences.at(0).isReady(table.find(JobId(1))->spec, 1));
    table.apply(ended(1, 0, 1, RunOutcome::Done));
    table.apply(ended(1, 1, 1, RunOutcome::Failed));
    CHECK(table.find(TaskId { 1, 0, 0, 1 })->failures == 1);
    table.apply(intended(1, 1, 2));
    table.apply(ended(1, 1, 2, RunOutcome::Done));
    CHECK(table.find(JobId(1))->occurrences.at(0).isReady(table.find(JobId(1))->spec, 1));
    table.apply(intended(1, 0, 1, 1));
    table.apply(ended(1, 0, 1, RunOutcome::Done, 1));
    CHECK(table.find(JobId(1))->state() == JobState::Completed);
    CHECK(table.finalJobs().size() == 1);
    table.apply(JobExpired { 1 });
    CHECK_FALSE(table.find(JobId(1)));
}

// A job whose order was lost or refused, or whose instance was gone before it could start, still waits.
TEST_CASE("table: a job is pending until an instance has started one of its runs", "[jobs]")
{
    for (const RunOutcome outcome :
        { RunOutcome::NeverStarted, RunOutcome::InstanceGone, RunOutcome::LeaseExpired, RunOutcome::Stopped }) {
        JobTable table;
        table.apply(submitted(1, { step(2) }));
        table.apply(intended(1, 0, 1));
        table.apply(ended(1, 0, 1, outcome));
        CHECK(table.pendingJobs("calls") == (outcome == RunOutcome::Stopped ? 0 : 1));
        CHECK(table.jobsAwaitingStart("calls") == 0);
        table.apply(JobsStarted { { 1, 2 } });
        CHECK(table.pendingJobs("calls") == 0);
    }
}

namespace {

constexpr TaskId crashingTask { 1, 0, 0, 0 };
constexpr TaskId neighbour { 2, 0, 0, 0 };

/// The crash of an instance right after it started the runs with this number of the given tasks.
InstanceCrashed crashAtStart(
    std::uint32_t run, const std::string& machine, const std::vector<TaskId>& tasks, bool isConfirmed = true)
{
    InstanceCrashed record { { "i-" + std::to_string(run), 7 }, machine, {} };
    for (const auto& task : tasks)
        record.runs.push_back({ task, run, isConfirmed, true, false });
    return record;
}

/// A table of two jobs with one task each.
struct CrashFixture {
    CrashFixture()
    {
        table.apply(submitted(1, { step(1) }));
        table.apply(submitted(2, { step(1) }));
    }

    const CrashHistory* historyOf(const TaskId& task) const { return table.find(task.job)->findCrashHistory(task); }
    bool isExhausted(JobId job) const { return table.find(job)->findExhaustedTask() != nullptr; }

    JobTable table;
};

} // namespace

TEST_CASE("table: a task is exhausted by crashes at its start on two machines, and each run counts once", "[jobs]")
{
    CrashFixture fixture;
    CHECK_FALSE(fixture.historyOf(crashingTask));
    fixture.table.apply(crashAtStart(1, "m-1", { crashingTask }));
    fixture.table.apply(crashAtStart(1, "m-1", { crashingTask }));
    REQUIRE(fixture.historyOf(crashingTask));
    CHECK(fixture.historyOf(crashingTask)->crashes.size() == 1);
    CHECK(fixture.historyOf(crashingTask)->requiresObservation());
    // The machine may be the cause of two crashes.
    fixture.table.apply(crashAtStart(2, "m-1", { crashingTask }));
    CHECK_FALSE(fixture.isExhausted(1));
    fixture.table.apply(crashAtStart(3, "m-2", { crashingTask }));
    REQUIRE(fixture.isExhausted(1));
    CHECK(*fixture.table.find(JobId(1))->findExhaustedTask() == crashingTask);
    fixture.table.apply(crashAtStart(9, "m-1", { { 1, 0, 0, 9 } })); // The job has no such task.
    CHECK_FALSE(fixture.historyOf({ 1, 0, 0, 9 }));
}

// Tasks that are lost together start together again, and either of them may be the cause.
TEST_CASE("table: crashes at the start of tasks of several jobs exhaust none of them before the fourth", "[jobs]")
{
    CrashFixture fixture;
    for (std::uint32_t run = 1; run <= 3; ++run) {
        fixture.table.apply(crashAtStart(run, "m-" + std::to_string(run), { crashingTask, neighbour }));
        CHECK_FALSE(fixture.isExhausted(1));
        CHECK_FALSE(fixture.isExhausted(2));
    }
    fixture.table.apply(crashAtStart(4, "m-4", { crashingTask }));
    CHECK(fixture.isExhausted(1));
    CHECK_FALSE(fixture.isExhausted(2));
}

// The second instance may have crashed before the order arrived.
TEST_CASE("table: a crash at a confirmed start and one without a confirmation do not exhaust a task", "[jobs]")
{
    CrashFixture fixture;
    fixture.table.apply(crashAtStart(1, "m-1", { crashingTask }));
    fixture.table.apply(crashAtStart(2, "m-2", { crashingTask }, false));
    CHECK_FALSE(fixture.isExhausted(1));
    fixture.table.apply(crashAtStart(3, "m-1", { crashingTask }));
    CHECK_FALSE(fixture.isExhausted(1));
    fixture.table.apply(crashAtStart(4, "m-3", { crashingTask }));
    CHECK(fixture.isExhausted(1));
}

// A task that crashes its instances before they confirm its start cannot be told from one whose orders came too late.
TEST_CASE("table: a task is exhausted by three crashes at starts without a confirmation", "[jobs]")
{
    CrashFixture fixture;
    for (std::uint32_t run = 1; run <= 3; ++run) {
        CHECK_FALSE(fixture.isExhausted(1));
        fixture.table.apply(crashAtStart(run, "m-" + std::to_string(run), { crashingTask }, false));
    }
    CHECK(fixture.isExhausted(1));
}

// Such a task is never a suspect, but it may be the cause.
TEST_CASE("table: a task is exhausted by four crashes long after its starts unless a run of it endured", "[jobs]")
{
    for (const bool hasEndured : { false, true }) {
        CrashFixture fixture;
        for (std::uint32_t run = 1; run <= 4; ++run) {
            CHECK_FALSE(fixture.isExhausted(1));
            const CrashedRun crashed { crashingTask, run, run > 2, false, hasEndured && run == 3 };
            fixture.table.apply(InstanceCrashed { { "i-" + std::to_string(run), 7 }, "m-1", { crashed } });
        }
        CHECK(fixture.isExhausted(1) != hasEndured);
        CHECK_FALSE(fixture.historyOf(crashingTask)->requiresObservation());
    }
}

// A long-running task runs until it is cancelled and is restarted however its runs end. Instances that crash by
// themselves one after the other must not end its job, whose other tasks are at work.
TEST_CASE("table: a long-running task is exhausted by crashes at its starts only", "[jobs]")
{
    JobTable table;
    StepSpec longRunning = step(1);
    longRunning.isLongRunning = true;
    table.apply(submitted(1, { longRunning }));
    std::uint32_t run = 1;
    const auto crash = [&](bool isAtStart) {
        const std::string instance = "i-" + std::to_string(run);
        table.apply(
            InstanceCrashed { { instance, 7 }, "m-" + instance, { { crashingTask, run, true, isAtStart, false } } });
        ++run;
    };
    for (int crashes = 0; crashes < 20; ++crashes) {
        crash(false);
        CHECK_FALSE(table.find(JobId(1))->findExhaustedTask());
    }
    crash(true);
    CHECK_FALSE(table.find(JobId(1))->findExhaustedTask());
    crash(true);
    CHECK(table.find(JobId(1))->findExhaustedTask());
}

// A task that crashes its instances takes others down with it. Once it is convicted, they must not stay suspects.
TEST_CASE("table: the crashes that a convicted task has caused no longer count for other tasks", "[jobs]")
{
    CrashFixture fixture;
    fixture.table.apply(crashAtStart(1, "m-1", { crashingTask, neighbour }));
    fixture.table.apply(InstanceCrashed { { "i-2", 7 }, "m-2", { { neighbour, 2, true, false, false } } });
    REQUIRE(fixture.historyOf(neighbour)->requiresObservation());
    fixture.table.takeChangedJobs();
    const InstanceCrashed convicting = crashAtStart(3, "m-3", { crashingTask });
    fixture.table.apply(convicting);
    CHECK(fixture.historyOf(crashingTask)->isConvicted());
    CHECK_FALSE(fixture.historyOf(neighbour)->requiresObservation());
    CHECK(fixture.table.takeChangedJobs() == std::vector<JobId> { 1, 2 });
    // A snapshot may hold the convicted task as of now and its neighbour as of before.
    CrashFixture restored;
    JobTable table;
    table.restore(std::move(*decodeJob(encodeJob(*fixture.table.find(JobId(1))))));
    restored.table.apply(crashAtStart(1, "m-1", { crashingTask, neighbour }));
    table.restore(std::move(*decodeJob(encodeJob(*restored.table.find(JobId(2))))));
    table.apply(convicting);
    CHECK_FALSE(table.find(JobId(2))->findCrashHistory(neighbour)->requiresObservation());
}

// Control passes to entries that learn of the crashes from the snapshot only.
TEST_CASE("snapshots: the crashes under a task round-trip, and a job without any is stored as before", "[jobs]")
{
    CrashFixture fixture;
    const std::string before = encodeJob(*fixture.table.find(JobId(1)));
    fixture.table.apply(crashAtStart(3, "m-7", { crashingTask }));
    const std::string bytes = encodeJob(*fixture.table.find(JobId(1)));
    CHECK(bytes.size() > before.size());
    const auto decoded = decodeJob(bytes);
    REQUIRE(decoded);
    const CrashHistory* history = (*decoded)->findCrashHistory(crashingTask);
    REQUIRE(history);
    CHECK(history->contains(3));
    CHECK(history->hasCrashedAtStart("m-7"));
    CHECK(history->crashes.front().isConfirmed);
    CHECK(encodeJob(**decoded) == bytes);
    REQUIRE(decodeJob(before));
    CHECK((*decodeJob(before))->crashHistories.empty());
}

TEST_CASE("table: applying a record again has no effect", "[jobs]")
{
    const std::vector<Record> records { submitted(1, { step(2) }), intended(1, 0, 1),
        ended(1, 0, 1, RunOutcome::Failed), intended(1, 0, 2), ended(1, 0, 2, RunOutcome::Done), intended(1, 1, 1) };
    JobTable once;
    JobTable repeated;
    for (const auto& record : records) {
        once.apply(record);
        repeated.apply(record);
        for (const auto& earlier : records) {
            if (&earlier <= &record)
                repeated.apply(earlier);
        }
    }
    CHECK(encodeJob(*repeated.find(JobId(1))) == encodeJob(*once.find(JobId(1))));
}

TEST_CASE("table: a caller's cancellation may stand anywhere among the controller's records", "[jobs]")
{
    const std::vector<Record> controllerRecords { intended(1, 0, 1), intended(1, 1, 1),
        ended(1, 0, 1, RunOutcome::Done), ended(1, 1, 1, RunOutcome::Done) };
    for (std::size_t cancelPosition = 0; cancelPosition <= controllerRecords.size(); ++cancelPosition) {
        JobTable table;
        table.apply(submitted(1, { step(2) }));
        for (std::size_t i = 0; i <= controllerRecords.size(); ++i) {
            if (i == cancelPosition)
                table.apply(JobCancelled { 1 });
            if (i < controllerRecords.size())
                table.apply(controllerRecords[i]);
        }
        CHECK(table.find(JobId(1))->state() == JobState::Completed);
        CHECK(table.find(JobId(1))->activeRuns == 0);
    }
}

// Another entry's cancellation may stand in the log before the intent of the controller, which had not read it. A table
// that counts such a job among the final ones hides its run from the next controller, which then never stops it.
TEST_CASE("table: a final job with a run that was intended later is open until the run has ended", "[jobs]")
{
    JobTable table;
    table.apply(submitted(1, { step(1) }));
    table.apply(submitted(2, { step(1) }));
    table.apply(JobCancelled { 1 });
    CHECK(table.finalJobs().size() == 1);
    table.apply(intended(1, 0, 1));
    CHECK(table.openJobs().size() == 2);
    CHECK(table.finalJobs().empty());
    table.apply(JobExpired { 1 });
    CHECK(table.find(JobId(1)));
    table.apply(ended(1, 0, 1, RunOutcome::Stopped));
    CHECK(table.openJobs().size() == 1);
    CHECK(table.finalJobs().size() == 1);
    table.apply(JobExpired { 1 });
    CHECK_FALSE(table.find(JobId(1)));
    CHECK(table.openJobs().size() == 1);
    CHECK(table.finalJobs().empty());
}

TEST_CASE("table: a job that is cancelled before its submission is read never starts", "[jobs]")
{
    JobTable table;
    table.apply(JobCancelled { 1 });
    table.apply(submitted(1, { step(1) }));
    CHECK(table.find(JobId(1))->state() == JobState::Cancelled);
    CHECK(table.openJobs().empty());
}

TEST_CASE("table: a task is without attempts by its own failures, or by those of its gang, until it is done", "[jobs]")
{
    JobTable table;
    auto gang = step(2);
    gang.isGang = true;
    table.apply(submitted(1, { step(2), gang }));
    const Job& job = *table.find(JobId(1));
    const auto fail = [&](std::uint32_t stepIndex, std::uint32_t index, std::uint32_t run) {
        const TaskId task { 1, 0, stepIndex, index };
        table.apply(RunIntended { task, run, { "i-1", 7 } });
        table.apply(RunEnded { task, run, RunOutcome::Failed, {} });
    };
    fail(0, 0, 1);
    fail(0, 1, 1);
    CHECK_FALSE(job.findTaskWithoutAttempts(2));
    fail(0, 1, 2);
    CHECK(job.findTaskWithoutAttempts(2) == TaskId { 1, 0, 0, 1 });
    auto restored = decodeJob(encodeJob(job));
    REQUIRE(restored);
    CHECK((*restored)->findTaskWithoutAttempts(2) == TaskId { 1, 0, 0, 1 });
    table.apply(RunIntended { { 1, 0, 0, 1 }, 3, { "i-1", 7 } });
    table.apply(RunEnded { { 1, 0, 0, 1 }, 3, RunOutcome::Done, {} });
    CHECK_FALSE(job.findTaskWithoutAttempts(2));
    fail(1, 0, 1);
    fail(1, 1, 2);
    CHECK(job.findTaskWithoutAttempts(2));
    CHECK_FALSE(job.findTaskWithoutAttempts(3));
}

TEST_CASE("table: one done run completes all members of a gang", "[jobs]")
{
    StepSpec gang = step(3);
    gang.isGang = true;
    JobTable table;
    table.apply(submitted(1, { gang }));
    for (std::uint32_t index = 0; index < 3; ++index)
        table.apply(intended(1, index, 1));
    table.apply(ended(1, 1, 1, RunOutcome::Done));
    CHECK(table.find(JobId(1))->state() == JobState::Completed);
    CHECK(table.find(JobId(1))->activeRuns == 0);
}

TEST_CASE("table: a long-running task becomes pending again however its run ends", "[jobs]")
{
    StepSpec longRunning = step(1);
    longRunning.isLongRunning = true;
    JobTable table;
    table.apply(submitted(1, { longRunning }));
    std::uint32_t run = 0;
    for (const auto outcome :
        { RunOutcome::Done, RunOutcome::Failed, RunOutcome::LeaseExpired, RunOutcome::InstanceGone }) {
        table.apply(intended(1, 0, ++run));
        table.apply(ended(1, 0, run, outcome));
        CHECK(table.find(TaskId { 1, 0, 0, 0 })->phase == TaskPhase::Pending);
    }
    CHECK(table.find(JobId(1))->state() == JobState::Running);
}

TEST_CASE("table: occurrences start when they are due, and the job completes with the last one", "[jobs]")
{
    JobSubmitted record = submitted(1, { step(1) });
    record.spec.schedule = { 2, milliseconds(5000), milliseconds(1000) };
    JobTable table;
    table.apply(record);
    table.startDueOccurrences(milliseconds(4999));
    CHECK(table.find(JobId(1))->occurrences.empty());
    table.startDueOccurrences(milliseconds(6000));
    CHECK(table.find(JobId(1))->occurrences.size() == 2);
    for (std::uint32_t occurrence = 0; occurrence < 2; ++occurrence) {
        table.apply(RunIntended { { 1, occurrence, 0, 0 }, 1, { "i-1", 7 } });
        table.apply(RunEnded { { 1, occurrence, 0, 0 }, 1, RunOutcome::Done, {} });
    }
    CHECK(table.find(JobId(1))->state() == JobState::Completed);
}

// Occurrences of a queue with advice start in any order. A table that is built from the log took the highest one with a
// recorded start for a sign that all those before it had started, and passed over the others for good.
TEST_CASE("table: an occurrence that is due starts whatever later ones have done, from a log or a snapshot", "[jobs]")
{
    JobSubmitted record = submitted(1, { step(1) });
    record.spec.schedule = { 4, milliseconds(5000), milliseconds(1000) };
    JobTable table;
    table.apply(record);
    table.apply(RunIntended { { 1, 2, 0, 0 }, 1, { "i-1", 7 } });
    table.apply(RunEnded { { 1, 2, 0, 0 }, 1, RunOutcome::Done, {} });
    JobTable restored;
    auto job = decodeJob(encodeJob(*table.find(JobId(1))));
    REQUIRE(job);
    restored.restore(std::move(*job));
    for (JobTable* each : { &table, &restored }) {
        each->takeChangedJobs();
        each->startDueOccurrences(milliseconds(6000));
        CHECK(each->takeChangedJobs() == std::vector<JobId> { 1 });
        const auto& occurrences = each->find(JobId(1))->occurrences;
        CHECK(occurrences.size() == 3);
        CHECK(occurrences.count(0) == 1);
        CHECK(occurrences.count(1) == 1);
        CHECK(occurrences.at(2).isDone());
        each->startDueOccurrences(milliseconds(6000));
        CHECK(each->takeChangedJobs().empty());
        each->startDueOccurrences(milliseconds(60000));
        CHECK(each->find(JobId(1))->occurrences.size() == 4);
    }
}

TEST_CASE("table: a run of an occurrence that the job does not have has no effect", "[jobs]")
{
    JobTable table;
    table.apply(submitted(1, { step(1) }));
    table.apply(RunIntended { { 1, 1, 0, 0 }, 1, { "i-1", 7 } });
    CHECK(table.find(JobId(1))->occurrences.size() == 1);
    CHECK(table.find(JobId(1))->activeRuns == 0);
}

// A successor relies on the witnesses that a controller named last, also if it reads them from a snapshot.
TEST_CASE("table: a claim keeps the witnesses that its controller named last", "[jobs]")
{
    const std::vector<ControlWitness> first { { "e-2", "10.0.0.2:7000" } };
    const std::vector<ControlWitness> second { { "e-3", "10.0.0.3:7000" }, { "e-4", "10.0.0.4:7000" } };
    JobTable table;
    table.apply(ControlClaimed { 3, "e-1", 12, "10.0.0.1:7000", milliseconds(99), first });
    table.apply(ControlClaimed { 4, "e-2", 13, "10.0.0.2:7000", milliseconds(98), first });
    table.apply(WitnessesChanged { 3, second });
    table.apply(WitnessesChanged { 9, second });
    const auto header = decodeHeader(encodeHeader(table.snapshotHeader(42)));
    REQUIRE(header);
    REQUIRE(header->claims.size() == 2);
    CHECK(header->claims.front().witnesses == second);
    CHECK(header->claims.back().witnesses == first);
}

TEST_CASE("snapshots: a job and the header round-trip, damaged bytes are rejected", "[jobs]")
{
    JobTable table;
    table.apply(ControlClaimed { 3, "e-1", 12, "10.0.0.1:7000", milliseconds(99) });
    table.apply(submitted(1, { step(2), step(1, { 0 }) }));
    table.apply(intended(1, 0, 1));
    table.apply(ended(1, 0, 1, RunOutcome::Done));
    table.apply(intended(1, 1, 4));
    table.apply(JobCancelled { 9 });
    table.apply(MaintenanceStarted { 4, "m-1" });
    table.apply(WaveFirstSeen { 4, milliseconds(55) });
    table.apply(InstanceRestarted { { "i-1", 7 }, milliseconds(10300) });
    const auto header = decodeHeader(encodeHeader(table.snapshotHeader(42)));
    auto job = decodeJob(encodeJob(*table.find(JobId(1))));
    REQUIRE(header);
    REQUIRE(job);
    JobTable restored;
    restored.restore(*header);
    restored.restore(std::move(*job));
    CHECK(header->offset == 42);
    CHECK(restored.latestClaim().entry == "e-1");
    CHECK(restored.hasStartedMaintenance(4, "m-1"));
    CHECK(restored.waveFirstSeenAt(4) == milliseconds(55));
    REQUIRE(restored.restarts().count("i-1") == 1);
    CHECK(restored.restarts().at("i-1").incarnation == InstanceIncarnation { "i-1", 7 });
    CHECK(restored.restarts().at("i-1").leasesLeft == milliseconds(10300));
    CHECK(restored.restartCount() == 1);
    CHECK(encodeJob(*restored.find(JobId(1))) == encodeJob(*table.find(JobId(1))));
    restored.apply(submitted(9, { step(1) }));
    CHECK(restored.find(JobId(9))->state() == JobState::Cancelled);
    CHECK_FALSE(decodeJob("damaged"));
    CHECK_FALSE(decodeHeader("damaged"));
}

// The controller follows only what has changed; a change that is not reported would leave tasks waiting for good.
TEST_CASE("table: every record that changes a job reports it once until the changes are taken", "[jobs]")
{
    JobTable table;
    table.apply(submitted(1, { step(2), step(1, { 0 }) }));
    table.apply(submitted(2, { step(1) }));
    CHECK(table.takeChangedJobs() == std::vector<JobId> { 1, 2 });
    CHECK(table.takeChangedJobs().empty());
    const std::vector<Record> records { intended(1, 0, 1), ended(1, 0, 1, RunOutcome::Failed), intended(1, 0, 2),
        ended(1, 0, 2, RunOutcome::Done), JobCancelled { 1 } };
    for (const auto& record : records) {
        table.apply(record);
        CHECK(table.takeChangedJobs() == std::vector<JobId> { 1 });
        table.apply(record);
        CHECK(table.takeChangedJobs().empty());
    }
    table.apply(JobFailed { 2 });
    table.apply(JobExpired { 2 });
    CHECK(table.takeChangedJobs().empty());
}

TEST_CASE("table: an occurrence that falls due changes its job, and a cancelled job starts none", "[jobs]")
{
    JobTable table;
    for (const JobId id : { 1, 2 }) {
        auto scheduled = submitted(id, { step(1) });
        scheduled.spec.schedule = { 3, milliseconds(5000), milliseconds(1000) };
        table.apply(scheduled);
    }
    table.apply(JobCancelled { 2 });
    table.takeChangedJobs();
    table.startDueOccurrences(milliseconds(4999));
    CHECK(table.takeChangedJobs().empty());
    table.startDueOccurrences(milliseconds(6000));
    CHECK(table.takeChangedJobs() == std::vector<JobId> { 1 });
    CHECK(table.find(JobId(1))->occurrences.size() == 2);
    CHECK(table.find(JobId(2))->occurrences.empty());
}

TEST_CASE("records: an append with batched runs leads to the same table in less than half of the bytes", "[jobs]")
{
    std::mt19937_64 random(7);
    std::vector<Record> records;
    for (JobId id = 0x1000000000000001; id < 0x1000000000000011; ++id)
        records.push_back(submitted(id, { step(8), step(4, { 0 }) }));
    const std::size_t firstRun = records.size();
    for (std::uint32_t run = 1; run < 60; ++run) {
        const JobId job = 0x1000000000000001 + random() % 16;
        for (std::uint32_t index = 0; index < 8; ++index) {
            const std::string instance = "i-00c0ffee" + std::to_string(10 + random() % 40);
            records.push_back(RunIntended { { job, 0, 0, index }, run, { instance, 1768776700000 + run } });
        }
        for (std::uint32_t index = 0; index < 8; ++index)
            records.push_back(ended(job, index, run, random() % 9 ? RunOutcome::Failed : RunOutcome::Done));
        if (run % 7 == 0)
            records.push_back(JobsStarted { { job } });
        if (run % 20 == 0)
            records.push_back(JobCancelled { job });
    }
    JobTable expected;
    std::size_t singleBytes = 0;
    for (std::size_t i = 0; i < records.size(); ++i) {
        expected.apply(records[i]);
        singleBytes += i < firstRun ? 0 : encode(records[i], 3).size();
    }
    const RecordLimits limits { 1 << 20, 1 << 24, 4 };
    AppendBuilder builder(limits, 3);
    for (const auto& record : records)
        REQUIRE(builder.add(record));
    const auto payloads = builder.build();
    JobTable table;
    std::size_t batchedBytes = 0;
    for (std::size_t i = 0; i < payloads.size(); ++i) {
        const auto decoded = decode(payloads[i]);
        REQUIRE(decoded);
        CHECK(decoded->epoch == 3);
        table.apply(decoded->record);
        batchedBytes += i < firstRun ? 0 : payloads[i].size();
    }
    for (JobId id = 0x1000000000000001; id < 0x1000000000000011; ++id)
        CHECK(encodeJob(*table.find(id)) == encodeJob(*expected.find(id)));
    CHECK(batchedBytes * 2 < singleBytes);
    AppendBuilder singleRecordBuilder(limits, 3);
    singleRecordBuilder.setBatchesRuns(false);
    for (const auto& record : records)
        REQUIRE(singleRecordBuilder.add(record));
    CHECK(singleRecordBuilder.build().size() == records.size());
}

// The team's key may be removed while the job is open, so the job itself has to tell its team.
TEST_CASE("records: the team of a job survives its record, its snapshot and its end", "[jobs]")
{
    JobSubmitted submitted;
    submitted.job = 7;
    submitted.queue = "calls";
    submitted.spec.steps.add({});
    submitted.team = "growers";
    submitted.exceedsTeamRate = true;
    const auto record = decode(encode(Record(submitted), 0));
    REQUIRE(record);
    JobTable table;
    table.apply(record->record);
    const Job* job = table.find(7);
    REQUIRE(job);
    CHECK(job->team == "growers");
    CHECK(job->exceedsTeamRate);
    const auto restored = decodeJob(encodeJob(*job));
    REQUIRE(restored);
    CHECK((*restored)->team == "growers");
    CHECK((*restored)->exceedsTeamRate);
    table.apply(JobFailed { 7 });
    const auto final = decodeJob(encodeFinalJob(*table.find(7)));
    REQUIRE(final);
    CHECK((*final)->team == "growers");
    CHECK((*final)->queue == "calls");
}

// Versions without teams read these records as well, and deployments without teams store no further bytes.
TEST_CASE("records: a job without a team is stored as before", "[jobs]")
{
    JobSubmitted submitted;
    submitted.spec.steps.add({});
    const std::size_t size = encode(Record(submitted), 0).size();
    submitted.team = "t";
    CHECK(encode(Record(submitted), 0).size() > size);
    submitted.team.clear();
    submitted.exceedsTeamRate = true;
    CHECK(encode(Record(submitted), 0).size() == size);
}

TEST_CASE("task list: only tasks up to the last changed one take memory", "[jobs]")
{
    TaskList tasks(100000);
    CHECK(tasks.size() == 100000);
    CHECK(static_cast<const TaskList&>(tasks)[99999].isUntouched());
    CHECK(tasks.touched().empty());
    tasks[2].lastRun = 1;
    CHECK(tasks.touched().size() == 3);
    CHECK_FALSE(static_cast<const TaskList&>(tasks)[2].isUntouched());
    CHECK(tasks.all().size() == 100000);
}

TEST_CASE("snapshots: restored tasks that never started take no memory", "[jobs]")
{
    JobTable table;
    table.apply(submitted(7, { step(5000), step(3, { 0 }) }));
    table.apply(intended(7, 0, 1));
    table.apply(ended(7, 0, 1, RunOutcome::Done));
    table.apply(intended(7, 1, 1));
    const std::string bytes = encodeJob(*table.find(7));
    const auto restored = decodeJob(bytes);
    REQUIRE(restored);
    const StepState& large = (*restored)->occurrences.at(0).steps[0];
    CHECK(large.tasks.size() == 5000);
    CHECK(large.tasks.touched().size() == 2);
    CHECK(large.done == 1);
    CHECK(large.active == 1);
    CHECK(encodeJob(**restored) == bytes);
}

// An earlier version may have accepted it, and every entry reads it from the log.
TEST_CASE("job table: a job with too many tasks is failed and takes no memory for them", "[jobs]")
{
    constexpr std::uint32_t tasksPerStep = 100000;
    for (const std::size_t steps : { 10, 11 }) {
        JobTable table;
        table.apply(submitted(7, std::vector<StepSpec>(steps, step(tasksPerStep))));
        const Job* job = table.find(7);
        REQUIRE(job);
        CHECK(job->spec.taskCount() == steps * tasksPerStep);
        CHECK(job->state() == (steps == 10 ? JobState::Queued : JobState::Failed));
        CHECK(table.openJobs().size() == (steps == 10 ? 1 : 0));
        CHECK(job->occurrences.at(0).steps[0].tasks.touched().empty());
    }
}

TEST_CASE("job table: occurrences that are due start while few enough are under way", "[jobs]")
{
    JobTable table;
    auto record = submitted(7, { step(1) });
    record.spec.schedule = { 4000000, milliseconds(1), milliseconds(0) };
    table.apply(record);
    table.startDueOccurrences(milliseconds(5000));
    CHECK(table.find(7)->occurrences.size() == maximumOpenOccurrences);
    CHECK(table.find(7)->nextDueOccurrence == maximumOpenOccurrences);
    const auto run = [&](std::uint32_t occurrence) {
        table.apply(RunIntended { { 7, occurrence, 0, 0 }, 1, { "i-1", 7 } });
        table.apply(RunEnded { { 7, occurrence, 0, 0 }, 1, RunOutcome::Done, {} });
    };
    run(0);
    run(5);
    table.startDueOccurrences(milliseconds(5000));
    CHECK(table.find(7)->nextDueOccurrence == maximumOpenOccurrences + 2);
    CHECK(table.find(7)->completedOccurrences == 2);
}

TEST_CASE("job table: the tasks of the occurrences under way are limited, and one occurrence always starts", "[jobs]")
{
    for (const auto& [tasks, occurrences] : { std::pair(30000u, 3u), std::pair(50000u, 2u), std::pair(70000u, 1u) }) {
        JobTable table;
        auto record = submitted(7, { step(tasks) });
        record.spec.schedule = { 10, milliseconds(1), milliseconds(0) };
        table.apply(record);
        table.startDueOccurrences(milliseconds(5000));
        CHECK(table.find(7)->occurrences.size() == occurrences);
    }
}

#include "jobs/jobtable.h"
#include "jobs/snapshotcodec.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdint>
#include <string>

using namespace turmericsill::jobs;

namespace {

constexpr milliseconds afterAllDueTimes { 60000 };

/// Submits a job of single-task steps of which this many occurrences are due at once.
void submit(JobTable& table, JobId id, const std::string& queue, std::uint32_t steps, std::uint32_t occurrences = 1000)
{
    JobSubmitted record { id, queue, "pool-1", milliseconds(1000), {} };
    StepSpec step;
    step.taskCount = 1;
    record.spec.steps = std::vector<StepSpec>(steps, step);
    record.spec.schedule = { occurrences, milliseconds(1), milliseconds(0) };
    table.apply(record);
}

std::uint64_t openSteps(const JobTable& table)
{
    std::uint64_t steps = 0;
    for (const Job& job : table.openJobs())
        steps += job.openOccurrences() * job.spec.steps.size();
    return steps;
}

void runTask(JobTable& table, const TaskId& task)
{
    table.apply(RunIntended { task, 1, { "i-1", 7 } });
    table.apply(RunEnded { task, 1, RunOutcome::Done, {} });
}

} // namespace

// Every occurrence that was due took memory for each of its steps, whether or not there was room for any of them. Each
// job was limited, but not all of them together, so that 24 jobs ended one controller after the other.
TEST_CASE("occurrences: the steps under way in all jobs together are limited", "[jobs]")
{
    JobTable table;
    for (JobId id = 1; id <= 24; ++id)
        submit(table, id, "calls", 100);
    table.startDueOccurrences(afterAllDueTimes);
    CHECK(openSteps(table) <= OccurrenceBudget::maximumSteps);
    for (const Job& job : table.openJobs())
        CHECK(job.openOccurrences() >= 1);
}

// What one queue has under way must not keep the jobs of another one from what is due.
TEST_CASE("occurrences: jobs of one queue leave some of the limit to those of another", "[jobs]")
{
    JobTable table;
    for (JobId id = 1; id <= 200; ++id)
        submit(table, id, "calls", 100);
    table.startDueOccurrences(afterAllDueTimes);
    CHECK(openSteps(table) <= OccurrenceBudget::maximumSteps / 2 + 200 * 100);
    submit(table, 1000, "reports", 100);
    table.startDueOccurrences(afterAllDueTimes);
    CHECK(table.find(JobId(1000))->openOccurrences() >= 50);
}

TEST_CASE("occurrences: one of each job is under way whatever the others have", "[jobs]")
{
    JobTable table;
    for (JobId id = 1; id <= 30; ++id)
        submit(table, id, "calls", 40000);
    table.startDueOccurrences(afterAllDueTimes);
    for (const Job& job : table.openJobs())
        CHECK(job.openOccurrences() == 1);
}

// A limit that is not released as occurrences end, or that a rebuilt table counts anew, stops all scheduled jobs.
TEST_CASE("occurrences: those that end make way for later ones, also in a rebuilt table", "[jobs]")
{
    JobTable table;
    submit(table, 1, "calls", 30000, 10);
    table.startDueOccurrences(afterAllDueTimes);
    REQUIRE(table.find(JobId(1))->openOccurrences() == 1);
    JobTable restored;
    auto job = decodeJob(encodeJob(*table.find(JobId(1))));
    REQUIRE(job);
    restored.restore(std::move(*job));
    for (JobTable* each : { &table, &restored }) {
        for (std::uint32_t occurrence = 0; occurrence < 10; ++occurrence) {
            each->startDueOccurrences(afterAllDueTimes);
            CHECK(each->find(JobId(1))->openOccurrences() == 1);
            for (std::uint32_t step = 0; step < 30000; ++step)
                runTask(*each, { 1, occurrence, step, 0 });
        }
        CHECK(each->find(JobId(1))->state() == JobState::Completed);
    }
}

// The occurrences of a cancelled job stay in memory for as long as its state can be asked for.
TEST_CASE("occurrences: a cancelled job keeps none that has never run, and makes way for others", "[jobs]")
{
    JobTable table;
    submit(table, 1, "calls", 100);
    table.startDueOccurrences(afterAllDueTimes);
    REQUIRE(table.find(JobId(1))->openOccurrences() > 100);
    runTask(table, { 1, 3, 0, 0 });
    table.apply(JobCancelled { 1 });
    CHECK(table.find(JobId(1))->occurrences.size() == 1);
    submit(table, 2, "calls", 33333, 2);
    table.startDueOccurrences(afterAllDueTimes);
    CHECK(table.find(JobId(2))->openOccurrences() == 1);
    // A run that was intended before the cancellation was read is tracked all the same.
    table.apply(RunIntended { { 1, 5, 0, 0 }, 1, { "i-1", 7 } });
    CHECK(table.find(JobId(1))->activeRuns == 1);
    table.apply(RunEnded { { 1, 5, 0, 0 }, 1, RunOutcome::Stopped, {} });
    CHECK(table.find(JobId(1))->activeRuns == 0);
    CHECK(table.find(JobId(1))->state() == JobState::Cancelled);
}

// A schedule goes on for as long as its job, and each occurrence that had ended kept the state of all its tasks.
TEST_CASE("occurrences: a completed one keeps no steps, and does not run again in a rebuilt table", "[jobs]")
{
    JobTable table;
    submit(table, 1, "calls", 2, 3);
    table.startDueOccurrences(afterAllDueTimes);
    for (std::uint32_t step = 0; step < 2; ++step)
        runTask(table, { 1, 1, step, 0 });
    JobTable restored;
    auto job = decodeJob(encodeJob(*table.find(JobId(1))));
    REQUIRE(job);
    restored.restore(std::move(*job));
    for (JobTable* each : { &table, &restored }) {
        const Job* kept = each->find(JobId(1));
        CHECK(kept->occurrences.at(1).steps.empty());
        CHECK(kept->occurrences.at(1).isDone());
        CHECK(kept->completedOccurrences == 1);
        each->startDueOccurrences(afterAllDueTimes);
        CHECK(kept->openOccurrences() == 2);
        // A run that an earlier record has ended.
        each->apply(RunIntended { { 1, 1, 0, 0 }, 2, { "i-1", 7 } });
        CHECK(kept->activeRuns == 0);
        for (const std::uint32_t occurrence : { 0, 2 }) {
            runTask(*each, { 1, occurrence, 0, 0 });
            runTask(*each, { 1, occurrence, 1, 0 });
        }
        CHECK(kept->state() == JobState::Completed);
    }
}

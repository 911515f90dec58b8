#include "jobs/jobmemory.h"
#include "jobs/jobtable.h"
#include "jobs/snapshotcodec.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

using namespace turmericsill::jobs;

namespace {

constexpr std::size_t megabyte = 1 << 20;

StepSpec step(std::int64_t milliCores = 100)
{
    StepSpec result;
    result.taskCount = 1;
    result.resourcesPerTask = { milliCores, 10, 0 };
    return result;
}

JobSubmitted submitted(JobId id, const std::string& queue, std::size_t steps)
{
    JobSubmitted record { id, queue, "pool-1", milliseconds(1000), {} };
    record.spec.steps = std::vector<StepSpec>(steps, step());
    return record;
}

void complete(JobTable& table, JobId id)
{
    table.apply(RunIntended { { id, 0, 0, 0 }, 1, { "i-1", 7 } });
    table.apply(RunEnded { { id, 0, 0, 0 }, 1, RunOutcome::Done, {} });
}

} // namespace

// A job of a thousand steps took 190 bytes for each of them, although they were the same.
TEST_CASE("step list: equal steps share their memory, and one that is changed shares none", "[jobs]")
{
    StepList steps;
    for (int i = 0; i < 1000; ++i)
        steps.add(step(i % 2 == 0 ? 100 : 200));
    CHECK(steps.size() == 1000);
    CHECK(steps.memory() < 1000 * 16);
    CHECK(steps[998].resourcesPerTask.milliCores == 100);
    CHECK(steps[999].resourcesPerTask.milliCores == 200);
    steps.edit(0).resourcesPerTask.milliCores = 300;
    CHECK(steps.front().resourcesPerTask.milliCores == 300);
    CHECK(steps[2].resourcesPerTask.milliCores == 100);
    std::size_t counted = 0;
    for (const StepSpec& each : steps)
        counted += each.resourcesPerTask.milliCores == 200;
    CHECK(counted == 500);
}

TEST_CASE("step list: steps that differ in any field are kept apart", "[jobs]")
{
    StepSpec labelled = step();
    labelled.requiredLabel = "b";
    StepSpec dependent = step();
    dependent.dependsOn = { 0 };
    const StepList steps { step(), labelled, dependent, step() };
    CHECK(steps[0].requiredLabel.empty());
    CHECK(steps[1].requiredLabel == "b");
    CHECK(steps[2].dependsOn == std::vector<std::uint32_t> { 0 });
    CHECK(steps[3].dependsOn.empty());
}

// Every entry holds every job, and nothing limited their sum.
TEST_CASE("job memory: the jobs of one queue take four fifths of the limit, and those of another have room", "[jobs]")
{
    constexpr std::size_t limit = 4 * megabyte;
    JobTable table;
    JobId id = 1;
    for (; id < 1000; ++id) {
        const JobSubmitted record = submitted(id, "calls", 1000);
        if (!table.memory().hasRoomFor(record.queue, record.team, record.spec, limit))
            break;
        table.apply(record);
    }
    CHECK(table.memory().total() > limit / 2);
    CHECK(table.memory().total() <= limit / 5 * 4);
    CHECK(table.memory().hasRoomFor("reports", {}, submitted(id, "reports", 1000).spec, limit));
}

// The state of a job can be asked for minutes after its end; until then it took as much memory as before.
TEST_CASE("job memory: a completed job keeps its state and drops its details", "[jobs]")
{
    JobTable table;
    table.apply(submitted(1, "calls", 1));
    complete(table, 1);
    REQUIRE(table.find(JobId(1))->state() == JobState::Completed);
    CHECK(table.memory().total() > 0);
    table.dropDetailsOfCompletedJobs();
    CHECK(table.memory().total() == 0);
    CHECK(table.find(JobId(1))->state() == JobState::Completed);
    CHECK(table.find(JobId(1))->spec.steps.empty());
    CHECK(table.find(TaskId { 1, 0, 0, 0 }) == nullptr);
    // A repeated record has no effect.
    complete(table, 1);
    table.apply(JobCancelled { 1 });
    table.apply(submitted(1, "calls", 1));
    CHECK(table.find(JobId(1))->state() == JobState::Completed);
    CHECK(table.finalJobs().size() == 1);
    const auto restored = decodeJob(encodeFinalJob(*table.find(JobId(1))));
    REQUIRE(restored);
    CHECK((*restored)->state() == JobState::Completed);
    table.apply(JobExpired { 1 });
    CHECK(table.find(JobId(1)) == nullptr);
}

TEST_CASE("job memory: a scheduled job is completed with its last occurrence only", "[jobs]")
{
    JobTable table;
    JobSubmitted record = submitted(1, "calls", 1);
    record.spec.schedule = { 2, milliseconds(1), milliseconds(0) };
    table.apply(record);
    table.startDueOccurrences(milliseconds(100));
    complete(table, 1);
    table.dropDetailsOfCompletedJobs();
    REQUIRE(table.find(TaskId { 1, 1, 0, 0 }));
    table.apply(RunIntended { { 1, 1, 0, 0 }, 1, { "i-1", 7 } });
    table.apply(RunEnded { { 1, 1, 0, 0 }, 1, RunOutcome::Done, {} });
    CHECK(table.find(JobId(1))->state() == JobState::Completed);
    table.dropDetailsOfCompletedJobs();
    CHECK(table.find(JobId(1))->state() == JobState::Completed);
}

TEST_CASE("job memory: a cancelled job counts until it is forgotten", "[jobs]")
{
    JobTable table;
    table.apply(submitted(1, "calls", 10));
    const std::size_t held = table.memory().total();
    table.apply(JobCancelled { 1 });
    table.dropDetailsOfCompletedJobs();
    CHECK(table.memory().total() == held);
    table.apply(JobExpired { 1 });
    CHECK(table.memory().total() == 0);
}

// The runs of the other members are looked up in the steps of their job until they end.
TEST_CASE("job memory: a completed gang keeps its details", "[jobs]")
{
    JobTable table;
    JobSubmitted record = submitted(1, "calls", 1);
    record.spec.steps.edit(0).isGang = true;
    record.spec.steps.edit(0).taskCount = 2;
    table.apply(record);
    complete(table, 1);
    REQUIRE(table.find(JobId(1))->state() == JobState::Completed);
    table.dropDetailsOfCompletedJobs();
    CHECK(table.find(JobId(1))->spec.steps.size() == 1);
    CHECK(table.find(TaskId { 1, 0, 0, 1 })->phase == TaskPhase::Done);
}

#include "control/internal/poolscheduler.h"
#include "control/tests/mocks/heldlog.h"
#include "foundation/tests/mocks/manualclock.h"
#include "foundation/timerqueue.h"
#include "telemetry/ieventsink.h"

#include <catch2/catch.hpp>
#include <memory>

using namespace turmericsill;
using namespace turmericsill::control;
using foundation::milliseconds;
using jobs::JobId;
using jobs::RunOutcome;
using jobs::TaskId;

namespace {

constexpr jobs::Resources instanceCapacity { 8000, 16000, 4 };
const std::string small = "small";
const std::string large = "large";

/// Keeps the fields of the events "team.usage".
class UsageRecorder : public telemetry::IEventSink {
public:
    void write(std::string_view event, std::initializer_list<telemetry::EventField> fields) override
    {
        if (event != "team.usage")
            return;
        std::map<std::string, std::int64_t> values;
        std::string team;
        for (const auto& field : fields) {
            if (const auto* text = std::get_if<std::string>(&field.value))
                team = *text;
            else if (const auto* number = std::get_if<std::uint64_t>(&field.value))
                values[std::string(field.name)] = static_cast<std::int64_t>(*number);
            else
                values[std::string(field.name)] = std::get<std::int64_t>(field.value);
        }
        reports[team] = values;
        ++count;
    }

    std::map<std::string, std::map<std::string, std::int64_t>> reports; ///< Latest fields. Key: team.
    int count = 0;
};

fleet::Team team(const std::string& name, double weight, const jobs::Resources& cap = {})
{
    return { name, { name + "-key" }, weight, cap };
}

jobs::StepSpec step(std::uint32_t count, std::int64_t milliCores)
{
    jobs::StepSpec result;
    result.taskCount = count;
    result.resourcesPerTask = { milliCores, 100, 0 };
    result.estimatedDuration = milliseconds(1000);
    return result;
}

jobs::StepSpec longRunningStep(std::uint32_t count, std::int64_t milliCores)
{
    jobs::StepSpec result = step(count, milliCores);
    result.isLongRunning = true;
    return result;
}

jobs::StepSpec gangStep(std::uint32_t count, std::int64_t milliCores)
{
    jobs::StepSpec result = step(count, milliCores);
    result.isGang = true;
    return result;
}

/// A controller's scheduler and table of jobs, with one pool. Records are applied at once, as the controller does.
struct SchedulerFixture {
    explicit SchedulerFixture(std::size_t instanceCount = 1)
    {
        configuration.version = 1;
        for (const char* name : { "urgent", "plain" }) {
            fleet::Queue queue;
            queue.name = name;
            queue.pool = "desk";
            queue.priority = name == std::string("urgent") ? 0 : 1;
            queue.criticalPathFactor = 2;
            queue.objectiveMargin = milliseconds(4000);
            configuration.queues.push_back(queue);
        }
        for (std::size_t i = 0; i < instanceCount; ++i) {
            auto report = std::make_unique<fleet::InstanceReport>();
            report->incarnation = { "i-" + std::to_string(i), 1 };
            report->pool = "desk";
            report->capacity = instanceCapacity;
            free[report->incarnation.instance] = instanceCapacity;
            reports.push_back(std::move(report));
        }
        showInstances();
    }

    void setTeams(const std::vector<fleet::Team>& teams)
    {
        configuration.teams.emplace();
        for (const auto& each : teams)
            (*configuration.teams)[each.name] = each;
        scheduler->setConfiguration(configuration);
    }

    void showInstances()
    {
        for (const auto& report : reports) {
            scheduling::InstanceView view;
            view.report = report.get();
            view.free = free.at(report->incarnation.instance);
            scheduler->updateInstance(view);
        }
    }

    void submit(JobId id, const std::string& teamName, std::vector<jobs::StepSpec> steps, bool exceedsRate = false,
        const std::string& queue = "plain")
    {
        jobs::JobSubmitted record;
        record.job = id;
        record.queue = queue;
        record.pool = "desk";
        record.receivedAt = std::chrono::duration_cast<milliseconds>(clock.wallNow().time_since_epoch());
        record.spec.steps = std::move(steps);
        record.team = teamName;
        record.exceedsTeamRate = exceedsRate;
        follower.applyOwnRecord(record);
    }

    /// Applies the changes of jobs, plans the changed pools and records the intents. Returns the placed tasks by job.
    std::map<JobId, int> plan(std::size_t maximumPlacements = 1000)
    {
        std::map<JobId, int> placed;
        isPlanned = false;
        for (const JobId id : follower.takeChangedJobs())
            scheduler->updateJob(id);
        scheduling::PlanConstraints constraints;
        constraints.maximumPlacements = maximumPlacements;
        scheduler->planChangedPools(constraints, [&](const std::string&, const scheduling::PoolPlan& plan) {
            isPlanned = true;
            for (const auto& placement : plan.placements) {
                ++placed[placement.task.job];
                if (!recordsIntents)
                    continue;
                follower.applyOwnRecord(jobs::RunIntended { placement.task, placement.run, placement.incarnation });
                free.at(placement.incarnation.instance) -= placement.resources;
                active[placement.task] = placement;
            }
        });
        return placed;
    }

    /// Records the end of a run, which frees its instance.
    void end(const TaskId& task, RunOutcome outcome = RunOutcome::Done)
    {
        const auto placement = active.at(task);
        active.erase(task);
        follower.applyOwnRecord(jobs::RunEnded { task, placement.run, outcome, {} });
        free.at(placement.incarnation.instance) += placement.resources;
        showInstances();
    }

    /// Records the ends of all runs of the jobs from `first` to `last`.
    void endJobs(JobId first, JobId last)
    {
        const auto runs = active;
        for (const auto& [task, placement] : runs) {
            if (task.job >= first && task.job <= last)
                end(task);
        }
    }

    /// Processor time of the active runs of the jobs from `first` to `last`.
    std::int64_t runningMilliCores(JobId first, JobId last) const
    {
        std::int64_t sum = 0;
        for (const auto& [task, placement] : active)
            sum += task.job >= first && task.job <= last ? placement.resources.milliCores : 0;
        return sum;
    }

    /// Replaces the scheduler as a new controller does, which reads the table of jobs.
    void changeController()
    {
        scheduler = std::make_unique<PoolScheduler>(follower, clock, events, 1);
        showInstances();
        scheduler->setConfiguration(configuration);
    }

    foundation::mocks::ManualClock clock;
    foundation::TimerQueue timers;
    mocks::HeldLog log;
    UsageRecorder events;
    eventlog::JobFollower follower { log, log, clock, timers, {} };
    std::unique_ptr<PoolScheduler> scheduler = std::make_unique<PoolScheduler>(follower, clock, events, 1);
    fleet::FleetConfiguration configuration;
    std::vector<std::unique_ptr<fleet::InstanceReport>> reports;
    std::map<std::string, jobs::Resources> free; ///< Key: instance.
    std::map<TaskId, scheduling::Placement> active;
    bool isPlanned = false; ///< Whether the latest call of plan() planned the pool.
    bool recordsIntents = true;
};

} // namespace

// Runs that are being stopped, whose orders are not answered or whose jobs are cancelled use the team's cap until the
// log holds their end. Counted by job state, a team exceeds its cap by cancelling jobs and submitting others.
TEST_CASE("pool scheduler: runs count towards the cap of their team until their end is in the log", "[control]")
{
    SchedulerFixture fixture;
    fixture.setTeams({ team(small, 1, { 3000, 0, 0 }) });
    fixture.submit(1, small, { step(4, 1000) });
    CHECK(fixture.plan()[1] == 3);
    fixture.follower.applyOwnRecord(jobs::JobCancelled { 1 });
    fixture.submit(2, small, { step(2, 1000) });
    CHECK(fixture.plan().empty());
    fixture.end({ 1, 0, 0, 0 }, RunOutcome::Stopped);
    CHECK(fixture.plan()[2] == 1);
    fixture.end({ 1, 0, 0, 1 }, RunOutcome::LeaseExpired);
    CHECK(fixture.plan()[2] == 1);
}

// A later controller has ordered none of the runs. Counted by orders of its own, the team gets its cap once more.
TEST_CASE("pool scheduler: usage rebuilt after a change of controller gives the same result", "[control]")
{
    SchedulerFixture fixture(2);
    fixture.setTeams({ team(small, 1, { 3000, 0, 0 }), team(large, 2, { 9000, 0, 0 }) });
    fixture.submit(1, small, { step(2, 1000) });
    fixture.submit(2, large, { longRunningStep(2, 2000) });
    fixture.submit(3, large, { gangStep(2, 1000) });
    fixture.plan();
    fixture.follower.applyOwnRecord(jobs::JobCancelled { 3 });
    fixture.submit(4, small, { step(4, 1000) });
    fixture.submit(5, large, { step(6, 1000) });
    fixture.changeController();
    const auto placed = fixture.plan();
    CHECK(placed.at(4) == 1);
    CHECK(placed.at(5) == 3);
    CHECK(fixture.events.reports.at(small).at("running_millicores") == 3000);
    CHECK(fixture.events.reports.at(large).at("running_millicores") == 9000);
}

// An order that was never recorded holds nothing. Counted for good, it takes a part of the cap from the team.
TEST_CASE("pool scheduler: a placement that was not recorded does not count towards the cap", "[control]")
{
    SchedulerFixture fixture;
    fixture.setTeams({ team(small, 1, { 2000, 0, 0 }) });
    fixture.submit(1, small, { step(4, 1000) });
    fixture.recordsIntents = false;
    CHECK(fixture.plan()[1] == 2);
    fixture.recordsIntents = true;
    fixture.showInstances();
    CHECK(fixture.plan()[1] == 2);
    CHECK(fixture.runningMilliCores(1, 1) == 2000);
}

// Runs above a lowered cap go on. Stopping them would lose work, and starting others would keep the team above it.
TEST_CASE("pool scheduler: a cap lowered below usage starts nothing until usage is below it", "[control]")
{
    SchedulerFixture fixture;
    fixture.setTeams({ team(small, 1, { 4000, 0, 0 }) });
    fixture.submit(1, small, { step(6, 1000) });
    CHECK(fixture.plan()[1] == 4);
    fixture.setTeams({ team(small, 1, { 2000, 0, 0 }) });
    CHECK(fixture.plan().empty());
    fixture.end({ 1, 0, 0, 0 });
    fixture.end({ 1, 0, 0, 1 });
    CHECK(fixture.plan().empty());
    fixture.end({ 1, 0, 0, 2 });
    CHECK(fixture.plan()[1] == 1);
    // A raised cap makes the plan due by itself, though neither jobs nor instances have changed.
    CHECK(fixture.plan().empty()); // Due because of the intent.
    CHECK(fixture.plan().empty());
    CHECK_FALSE(fixture.isPlanned);
    fixture.setTeams({ team(small, 1, { 8000, 0, 0 }) });
    CHECK(fixture.plan()[1] == 1);
}

// Usage also falls when a run ends on an instance that is gone, which frees no room. A plan that is due only for
// changes of jobs that wait or of instances leaves the held back step waiting.
TEST_CASE("pool scheduler: the end of a run of a final job makes the plan of a held back step due", "[control]")
{
    SchedulerFixture fixture(2);
    fixture.setTeams({ team(small, 1, { 2000, 0, 0 }) });
    fixture.submit(1, small, { step(2, 1000) });
    fixture.plan();
    fixture.follower.applyOwnRecord(jobs::JobCancelled { 1 });
    fixture.submit(2, small, { step(1, 1000) });
    CHECK(fixture.plan().empty());
    fixture.plan();
    REQUIRE_FALSE(fixture.isPlanned);
    fixture.follower.applyOwnRecord(jobs::RunEnded { { 1, 0, 0, 0 }, 1, RunOutcome::InstanceGone, {} });
    CHECK(fixture.plan()[2] == 1);
}

// A gang that starts in part makes no progress and holds the cap.
TEST_CASE("pool scheduler: a gang starts only if all members fit under the cap", "[control]")
{
    SchedulerFixture fixture;
    fixture.setTeams({ team(small, 1, { 4000, 0, 0 }) });
    fixture.submit(1, small, { step(2, 1000) });
    fixture.plan();
    fixture.submit(2, small, { gangStep(3, 1000) });
    CHECK(fixture.plan().empty());
    CHECK(fixture.scheduler->unplacedByPool().at("desk").milliCores == 0);
    fixture.end({ 1, 0, 0, 0 });
    CHECK(fixture.plan()[2] == 3);
}

// A task that exceeds the cap by itself would never run.
TEST_CASE("pool scheduler: a task larger than the cap starts if its team runs nothing", "[control]")
{
    SchedulerFixture fixture;
    fixture.setTeams({ team(small, 1, { 1000, 0, 0 }) });
    fixture.submit(1, small, { step(2, 3000) });
    CHECK(fixture.plan()[1] == 1);
    CHECK(fixture.plan().empty());
    fixture.end({ 1, 0, 0, 0 });
    CHECK(fixture.plan()[1] == 1);
}

// Memory and accelerators are limited as well, and best-effort tasks reserve no processor time but count all the same.
TEST_CASE("pool scheduler: each resource of a cap limits by itself and best-effort tasks count in full", "[control]")
{
    SchedulerFixture fixture;
    fixture.setTeams({ team(small, 1, { 0, 250, 0 }), team(large, 1, { 2000, 0, 0 }) });
    fixture.submit(1, small, { step(4, 500) });
    jobs::StepSpec bestEffort = step(4, 1000);
    bestEffort.isBestEffort = true;
    fixture.submit(2, large, { bestEffort });
    const auto placed = fixture.plan();
    CHECK(placed.at(1) == 2);
    CHECK(placed.at(2) == 2);
    fixture.showInstances();
    CHECK(fixture.plan().empty());
}

// A need without room holds back all later jobs with an equal or larger need. If the cap counted as missing room, one
// team at its cap would stop all others, and machines would be moved for work that may not start.
TEST_CASE("pool scheduler: a step held back by a cap neither holds back others nor demands machines", "[control]")
{
    SchedulerFixture fixture;
    fixture.setTeams({ team(small, 1, { 1000, 0, 0 }), team(large, 1) });
    fixture.submit(1, small, { step(20, 1000) }, false, "urgent");
    fixture.submit(2, large, { step(7, 1000) });
    fixture.submit(3, small, { step(2, 1000) }, false, "urgent");
    const auto placed = fixture.plan();
    CHECK(placed.at(3) == 1);
    CHECK(placed.count(1) == 0);
    CHECK(placed.at(2) == 7);
    CHECK(fixture.scheduler->unplacedByPool().at("desk").milliCores == 0);
    CHECK(fixture.events.reports.at(small).at("held_by_cap") == 20 + 1);
}

// Without the limit, a team at its cap of one core asks for machines for all that it has waiting.
TEST_CASE("pool scheduler: the demand for machines of a team ends at its cap", "[control]")
{
    SchedulerFixture fixture;
    fixture.setTeams({ team(small, 1, { 3000, 0, 0 }), team(large, 100) });
    fixture.submit(1, large, { step(8, 1000) });
    fixture.plan();
    fixture.submit(2, small, { step(20, 1000) });
    fixture.submit(3, small, { step(20, 1000) });
    CHECK(fixture.plan().empty());
    CHECK(fixture.scheduler->unplacedByPool().at("desk").milliCores == 3000);
    fixture.submit(4, large, { step(1, 1000) });
    fixture.plan(0);
    CHECK(fixture.scheduler->unplacedByPool().at("desk").milliCores == 3000 + 1000);
}

// Load pattern: one team sends 8 times its usual rate beside small teams. Served in the order of size, its small jobs
// delay everyone else's.
TEST_CASE("pool scheduler: jobs beyond the rate of their team are placed after the others", "[control]")
{
    SchedulerFixture fixture(2);
    fixture.setTeams({ team(large, 8), team("b", 1), team("c", 1) });
    for (JobId id = 1; id <= 64; ++id)
        fixture.submit(id, large, { step(1, 500) }, id > 8);
    fixture.submit(101, "b", { step(4, 1000) });
    fixture.submit(102, "c", { step(4, 1000) });
    const auto placed = fixture.plan();
    CHECK(placed.at(101) == 4);
    CHECK(placed.at(102) == 4);
    CHECK(fixture.runningMilliCores(1, 8) == 4000);
    // What is left goes to those beyond the rate, so that no capacity is idle.
    CHECK(fixture.runningMilliCores(9, 64) == 4000);
    fixture.clock.time += milliseconds(1000);
    fixture.plan();
    CHECK(fixture.events.reports.at(large).at("beyond_rate") == 56 - 8);
}

// A job within the rate precedes those beyond it also if its own team is above its share and theirs is not.
TEST_CASE("pool scheduler: jobs beyond the rate follow jobs within the rate of teams above their share", "[control]")
{
    SchedulerFixture fixture;
    fixture.setTeams({ team(small, 1), team(large, 7) });
    fixture.submit(1, small, { step(4, 1000) });
    CHECK(fixture.plan()[1] == 4);
    fixture.submit(2, large, { step(8, 1000) }, true);
    fixture.submit(3, small, { step(4, 1000) });
    const auto placed = fixture.plan();
    CHECK(placed.at(3) == 4);
    CHECK(placed.count(2) == 0);
}

// Shares apply among jobs of one priority. Otherwise a team below its share delays another team's urgent job.
TEST_CASE("pool scheduler: the priority of the queue precedes shares and rates", "[control]")
{
    for (const bool exceedsRate : { false, true }) {
        SchedulerFixture fixture;
        fixture.setTeams({ team(small, 1), team(large, 7) });
        fixture.submit(1, large, { step(8, 1000) });
        fixture.submit(2, small, { step(8, 1000) }, exceedsRate, "urgent");
        const auto placed = fixture.plan();
        CHECK(placed.at(2) == 8);
        CHECK(placed.count(1) == 0);
    }
}

// Load pattern: a full pool and two teams with more work than it serves. Served in the order of size, the team with the
// smaller jobs gets all of the pool.
TEST_CASE("pool scheduler: a full pool is divided by the weights of the teams", "[control]")
{
    SchedulerFixture fixture(2);
    fixture.setTeams({ team(small, 1), team(large, 3) });
    for (JobId id = 1; id <= 100; ++id)
        fixture.submit(id, small, { step(1, 1000) });
    for (JobId id = 101; id <= 200; ++id)
        fixture.submit(id, large, { step(2, 1000) });
    fixture.plan();
    CHECK(fixture.runningMilliCores(1, 100) == 4000);
    CHECK(fixture.runningMilliCores(101, 200) == 12000);
    for (int round = 0; round < 4; ++round) {
        const auto runs = fixture.active;
        int ended = 0;
        for (const auto& [task, placement] : runs) {
            if (++ended % 3 == 0)
                fixture.end(task);
        }
        fixture.plan();
        CHECK(fixture.runningMilliCores(1, 100) == 4000);
        CHECK(fixture.runningMilliCores(101, 200) == 12000);
    }
    CHECK(fixture.events.reports.at(small).at("share_millicores") == 4000);
    CHECK(fixture.events.reports.at(large).at("share_millicores") == 12000);
}

// A large step that starts as a whole takes its team far beyond its share, and the others wait until it ends.
TEST_CASE("pool scheduler: a step larger than its team's share leaves the others their share", "[control]")
{
    SchedulerFixture fixture(2);
    fixture.setTeams({ team(small, 1), team(large, 1) });
    jobs::StepSpec manyTasks = step(100, 200);
    manyTasks.estimatedDuration = milliseconds(100); // The least work, so that it is served first.
    fixture.submit(1, large, { manyTasks });
    fixture.submit(2, small, { step(8, 1000) });
    fixture.submit(3, small, { step(8, 4000) });
    fixture.plan();
    CHECK(fixture.runningMilliCores(1, 1) == 8000);
    CHECK(fixture.runningMilliCores(2, 2) == 8000);
}

// A share that is kept free for an idle team serves nobody.
TEST_CASE("pool scheduler: the share of an idle team goes to the others until it has work", "[control]")
{
    SchedulerFixture fixture;
    fixture.setTeams({ team(small, 1), team(large, 3) });
    fixture.submit(1, small, { step(20, 1000) });
    CHECK(fixture.plan()[1] == 8);
    fixture.submit(2, large, { step(20, 1000) });
    for (std::uint32_t index = 0; index < 6; ++index)
        fixture.end({ 1, 0, 0, index });
    CHECK(fixture.plan()[2] == 6);
    // The team has stopped waiting, so its share is free again.
    fixture.follower.applyOwnRecord(jobs::JobCancelled { 2 });
    fixture.endJobs(2, 2);
    CHECK(fixture.plan()[1] == 6);
}

// Long-running tasks may take all of a team's share. Its short jobs then wait behind all others without an end.
TEST_CASE("pool scheduler: a team above its share for good is served in the end", "[control]")
{
    SchedulerFixture fixture;
    fixture.setTeams({ team(small, 1), team(large, 3) });
    fixture.submit(1, small, { longRunningStep(4, 1000) });
    fixture.plan();
    fixture.submit(2, small, { step(2, 1000) });
    JobId next = 100;
    bool isServed = false;
    int rounds = 0;
    for (; rounds < 200 && !isServed; ++rounds) {
        for (int i = 0; i < 4; ++i)
            fixture.submit(next++, large, { step(1, 1000) });
        isServed = fixture.plan().count(2) > 0;
        fixture.clock.time += milliseconds(200);
        const auto runs = fixture.active;
        for (const auto& [task, placement] : runs) {
            if (task.job >= 100)
                fixture.end(task);
        }
    }
    CHECK(isServed);
    CHECK(rounds < 60);
}

// A pass that forgets what an earlier one has placed starts a task twice.
TEST_CASE("pool scheduler: no task is placed twice when a step is served in two passes", "[control]")
{
    SchedulerFixture fixture(4);
    fixture.setTeams({ team(small, 1), team(large, 1, { 20000, 0, 0 }) });
    fixture.submit(1, small, { step(7, 1000), step(5, 500) });
    fixture.submit(2, large, { step(40, 700) });
    fixture.submit(3, small, { gangStep(5, 300) });
    const auto placed = fixture.plan();
    std::size_t total = 0;
    for (const auto& [job, tasks] : placed)
        total += static_cast<std::size_t>(tasks);
    CHECK(total == fixture.active.size());
    CHECK(placed.at(1) == 12);
    CHECK(placed.at(3) == 5);
    CHECK(placed.at(2) <= 28);
    CHECK(fixture.runningMilliCores(2, 2) <= 20000);
}

// A configuration without teams must not change the order of jobs that were accepted while there were teams.
TEST_CASE("pool scheduler: without configured teams neither rates, caps nor shares apply", "[control]")
{
    SchedulerFixture fixture;
    fixture.setTeams({ team(small, 1, { 1000, 0, 0 }) });
    fixture.submit(1, small, { step(2, 1000) }, true);
    fixture.submit(2, large, { step(8, 1000) });
    fixture.configuration.teams.reset();
    fixture.scheduler->setConfiguration(fixture.configuration);
    const auto placed = fixture.plan();
    CHECK(placed.at(1) == 2);
    CHECK(placed.at(2) == 6);
    CHECK(fixture.events.count == 0);
}

// Several plans are made within a second, and the log must not grow with them.
TEST_CASE("pool scheduler: the usage of each team with work is reported once a second", "[control]")
{
    SchedulerFixture fixture;
    fixture.setTeams({ team(small, 1, { 3000, 0, 0 }), team(large, 3), team("idle", 1) });
    fixture.submit(1, small, { step(4, 1000) });
    fixture.plan();
    fixture.plan();
    CHECK(fixture.events.count == 1);
    CHECK(fixture.events.reports.at(small)
        == std::map<std::string, std::int64_t> { { "waiting", 1 }, { "running_millicores", 3000 },
            { "share_millicores", 8000 }, { "cap_millicores", 3000 }, { "held_by_cap", 1 }, { "beyond_rate", 0 } });
    fixture.clock.time += milliseconds(1000);
    fixture.plan();
    CHECK(fixture.events.count == 2);
    CHECK(fixture.events.reports.count("idle") == 0);
    // Once more after the work has ended, so that the latest report is not mistaken for the present state.
    fixture.follower.applyOwnRecord(jobs::JobCancelled { 1 });
    fixture.endJobs(1, 1);
    for (int second = 0; second < 3; ++second) {
        fixture.clock.time += milliseconds(1000);
        fixture.plan();
    }
    CHECK(fixture.events.count == 3);
    CHECK(fixture.events.reports.at(small)
        == std::map<std::string, std::int64_t> { { "waiting", 0 }, { "running_millicores", 0 },
            { "share_millicores", 0 }, { "cap_millicores", 3000 }, { "held_by_cap", 0 }, { "beyond_rate", 0 } });
}

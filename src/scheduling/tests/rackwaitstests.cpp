#include "scheduling/placementplanner.h"
#include "scheduling/rackwaits.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>

using namespace turmericsill;
using namespace turmericsill::scheduling;
using foundation::SteadyTime;

namespace {

constexpr double remoteSlowdown = 3;
const SteadyTime startTime { milliseconds(100000) };

jobs::Resources cores(std::int64_t count) { return { count * 1000, count * 100, 0 }; }

/// A pool with instances of four cores on two racks, planned over time with waits for racks.
struct RackFixture {
    RackFixture()
    {
        queue.name = "plain";
        queue.pool = "desk";
        queue.criticalPathFactor = 10;
        newController();
    }

    /// Replaces the waits by those of a controller that knows nothing but the jobs.
    void newController()
    {
        const auto findTimes = [this](const jobs::Job& job) {
            const SteadyTime submittedAt = submissions.at(job.id);
            return JobTimes { submittedAt, latestStart(job, &queue, submittedAt) };
        };
        waits = std::make_unique<RackWaits>(remoteSlowdown, findTimes);
    }

    /// Adds an instance whose runs are expected to end at these times and hold a core each.
    void addInstance(const std::string& name, const std::string& rack, std::vector<milliseconds> ends = {})
    {
        auto report = std::make_unique<fleet::InstanceReport>();
        report->incarnation = { name, 1 };
        report->pool = "desk";
        report->labels = { "a", rack };
        report->capacity = cores(4);
        InstanceView view;
        view.report = report.get();
        view.free = cores(4 - static_cast<std::int64_t>(ends.size()));
        for (const milliseconds end : ends)
            view.releases.push_back({ startTime + end, cores(1) });
        reports.push_back(std::move(report));
        instances.update(std::move(view));
    }

    /// Ends runs on an instance.
    void release(const std::string& name, std::int64_t count)
    {
        for (const IndexedInstance* instance : instances.instances()) {
            if (instance->name != name)
                continue;
            InstanceView view = instance->view;
            view.free += cores(count);
            return instances.update(std::move(view));
        }
    }

    jobs::Job& addJob(jobs::JobId id, std::uint32_t tasks, milliseconds submittedAt = milliseconds(0))
    {
        auto job = std::make_unique<jobs::Job>();
        job->id = id;
        job->queue = "plain";
        job->pool = "desk";
        jobs::StepSpec step;
        step.taskCount = tasks;
        step.resourcesPerTask = cores(1);
        step.estimatedDuration = milliseconds(1000);
        step.dataRack = "rack-1";
        job->spec.steps = { step };
        job->startOccurrence(0);
        jobs.push_back(std::move(job));
        submissions[id] = startTime + submittedAt;
        backlog.update(*jobs.back(), &queue, submissions[id]);
        return *jobs.back();
    }

    /// Plans, and starts what was placed.
    PoolPlan plan(milliseconds time)
    {
        if (waits)
            waits->beginPlan(startTime + time);
        PlanConstraints constraints;
        constraints.rackWaits = waits.get();
        const PlacementPlanner planner([this](jobs::JobId id) { return findJob(id); });
        PoolPlan plan = planner.plan(instances, backlog, constraints);
        for (const Placement& placement : plan.placements) {
            jobs::Job& job = *findJob(placement.task.job);
            jobs::StepState& step = job.occurrences.at(0).steps[placement.task.step];
            step.tasks[placement.task.index].phase = jobs::TaskPhase::Active;
            ++step.active;
            backlog.update(job, &queue, submissions[job.id]);
        }
        if (waits)
            ended = waits->takeEnded();
        return plan;
    }

    jobs::Job* findJob(jobs::JobId id)
    {
        const auto found
            = std::find_if(jobs.begin(), jobs.end(), [id](const auto& candidate) { return candidate->id == id; });
        return found == jobs.end() ? nullptr : found->get();
    }

    bool isOnRack(const Placement& placement) const
    {
        return std::any_of(reports.begin(), reports.end(), [&](const auto& report) {
            return report->incarnation == placement.incarnation && report->hasLabel("rack-1");
        });
    }

    fleet::Queue queue;
    std::vector<std::unique_ptr<fleet::InstanceReport>> reports;
    std::vector<std::unique_ptr<jobs::Job>> jobs;
    std::map<jobs::JobId, SteadyTime> submissions;
    InstanceIndex instances;
    PoolBacklog backlog;
    std::unique_ptr<RackWaits> waits;
    std::vector<EndedWait> ended; ///< Of the latest plan.
};

milliseconds ms(int count) { return milliseconds(count); }

} // namespace

TEST_CASE("rack wait: a task waits for a slot that is free soon and starts on its rack", "[scheduling]")
{
    RackFixture fixture;
    fixture.addInstance("i-1", "rack-1", { ms(300), ms(5000), ms(5000), ms(5000) });
    fixture.addInstance("i-2", "rack-2");
    fixture.addJob(1, 1);
    PoolPlan plan = fixture.plan(ms(0));
    CHECK(plan.placements.empty());
    CHECK(plan.unplaced == jobs::Resources());
    CHECK_FALSE(fixture.waits->isDue(startTime + ms(699)));
    CHECK(fixture.waits->isDue(startTime + ms(700)));
    CHECK(fixture.plan(ms(200)).placements.empty());
    fixture.release("i-1", 1);
    plan = fixture.plan(ms(320));
    REQUIRE(plan.placements.size() == 1);
    CHECK(fixture.isOnRack(plan.placements.front()));
    REQUIRE(fixture.ended.size() == 1);
    CHECK(fixture.ended.front().outcome == WaitOutcome::Local);
    CHECK(fixture.ended.front().waited == ms(320));
    CHECK(fixture.ended.front().expected == ms(300));
    CHECK(fixture.ended.front().gain == ms(2000 - 320));
    CHECK_FALSE(fixture.waits->isDue(startTime + ms(10000)));
}

// Without the fixed end of the wait, a rack that looks promising again and again holds a task back for good.
TEST_CASE(
    "rack wait: a task whose slot does not come starts elsewhere in time and waits no second time", "[scheduling]")
{
    RackFixture fixture;
    fixture.addInstance("i-1", "rack-1", { ms(300), ms(900), ms(1200), ms(1300) });
    fixture.addInstance("i-2", "rack-2");
    fixture.addJob(1, 1);
    CHECK(fixture.plan(ms(0)).placements.empty());
    CHECK(fixture.plan(ms(699)).placements.empty());
    const PoolPlan plan = fixture.plan(ms(700));
    REQUIRE(plan.placements.size() == 1);
    CHECK_FALSE(fixture.isOnRack(plan.placements.front()));
    REQUIRE(fixture.ended.size() == 1);
    CHECK(fixture.ended.front().outcome == WaitOutcome::Remote);
    CHECK(fixture.ended.front().endReason == "slot-overdue");
    CHECK(fixture.ended.front().gain == -ms(700));
    // The run fails at once and the task is ready again.
    jobs::Job& job = *fixture.findJob(1);
    job.occurrences.at(0).steps[0].tasks[0].phase = jobs::TaskPhase::Pending;
    job.occurrences.at(0).steps[0].active = 0;
    fixture.backlog.update(job, &fixture.queue, startTime);
    fixture.waits->update(job);
    CHECK(fixture.plan(ms(750)).placements.size() == 1);
}

// Runs that take ten times their estimate: the slot was expected after 0.2 s and comes after 2 s.
TEST_CASE("rack wait: an estimate that is short by a factor of ten costs less than the gain", "[scheduling]")
{
    RackFixture fixture;
    fixture.addInstance("i-1", "rack-1", { ms(200), ms(200), ms(200), ms(200) });
    fixture.addInstance("i-2", "rack-2");
    fixture.addInstance("i-3", "rack-2");
    for (jobs::JobId id = 1; id <= 6; ++id)
        fixture.addJob(id, 1);
    CHECK(fixture.plan(ms(0)).placements.size() == 2);
    CHECK(fixture.plan(ms(499)).placements.empty());
    CHECK(fixture.plan(ms(500)).placements.size() == 4);
    // The runs have overrun their estimates, so nobody waits for them any more.
    fixture.addJob(7, 1, ms(550));
    CHECK(fixture.plan(ms(550)).placements.size() == 1);
}

TEST_CASE("rack wait: the loss of the rack ends the wait at once", "[scheduling]")
{
    RackFixture fixture;
    fixture.addInstance("i-1", "rack-1", { ms(400), ms(400), ms(400), ms(400) });
    fixture.addInstance("i-2", "rack-2");
    fixture.addJob(1, 1);
    CHECK(fixture.plan(ms(0)).placements.empty());
    fixture.instances.remove("i-1");
    CHECK(fixture.plan(ms(100)).placements.size() == 1);
    REQUIRE(fixture.ended.size() == 1);
    CHECK(fixture.ended.front().outcome == WaitOutcome::Remote);
    CHECK(fixture.ended.front().endReason == "rack-unusable");
    CHECK(fixture.ended.front().waited == ms(100));
}

// The instance with the awaited slot is cordoned; the other runs of the rack take too long.
TEST_CASE("rack wait: the loss of the awaited slot ends the wait, that of another does not", "[scheduling]")
{
    RackFixture fixture;
    fixture.addInstance("i-1", "rack-1", { ms(400), ms(400), ms(400), ms(400) });
    fixture.addInstance("i-2", "rack-1", { ms(1500), ms(1500), ms(1500), ms(1500) });
    fixture.addInstance("i-3", "rack-1", { ms(1500), ms(1500), ms(1500), ms(1500) });
    fixture.addInstance("i-4", "rack-2");
    fixture.addJob(1, 1);
    CHECK(fixture.plan(ms(0)).placements.empty());
    fixture.instances.remove("i-3");
    CHECK(fixture.plan(ms(50)).placements.empty());
    fixture.instances.remove("i-1");
    CHECK(fixture.plan(ms(100)).placements.size() == 1);
    REQUIRE(fixture.ended.size() == 1);
    CHECK(fixture.ended.front().endReason == "slot-too-late");
}

// Load pattern: a hundred jobs for one rack. If all waited, the idle racks would stay idle for nothing.
TEST_CASE("rack wait: of a hundred jobs for one rack, only those that will be served in time wait", "[scheduling]")
{
    RackFixture fixture;
    fixture.addInstance("i-1", "rack-1", { ms(100), ms(200), ms(300), ms(1900) });
    fixture.addInstance("i-2", "rack-1", { ms(150), ms(250), ms(350), ms(1900) });
    for (int number = 0; number < 25; ++number)
        fixture.addInstance("r-" + std::to_string(number), "rack-2");
    for (jobs::JobId id = 1; id <= 100; ++id)
        fixture.addJob(id, 1);
    CHECK(fixture.plan(ms(0)).placements.size() == 94);
    // Jobs that come meanwhile find the slots taken.
    fixture.addJob(101, 1, ms(10));
    CHECK(fixture.plan(ms(10)).placements.size() == 1);
    fixture.release("i-1", 3);
    fixture.release("i-2", 3);
    const PoolPlan plan = fixture.plan(ms(360));
    CHECK(plan.placements.size() == 6);
    CHECK(std::all_of(plan.placements.begin(), plan.placements.end(),
        [&](const Placement& placement) { return fixture.isOnRack(placement); }));
    CHECK(fixture.ended.size() == 6);
}

TEST_CASE("rack wait: of one step, as many tasks wait as slots are expected in time", "[scheduling]")
{
    RackFixture fixture;
    fixture.addInstance("i-1", "rack-1", { ms(100), ms(200), ms(3000) });
    for (const char* name : { "i-2", "i-3", "i-4" })
        fixture.addInstance(name, "rack-2");
    fixture.addJob(1, 10);
    PoolPlan plan = fixture.plan(ms(0));
    CHECK(plan.placements.size() == 8);
    CHECK(std::count_if(plan.placements.begin(), plan.placements.end(), [&](const Placement& placement) {
        return fixture.isOnRack(placement);
    }) == 1);
    fixture.release("i-1", 1);
    plan = fixture.plan(ms(120));
    REQUIRE(plan.placements.size() == 1);
    CHECK(fixture.isOnRack(plan.placements.front()));
    CHECK(fixture.ended.empty());
    plan = fixture.plan(ms(500));
    REQUIRE(plan.placements.size() == 1);
    CHECK_FALSE(fixture.isOnRack(plan.placements.front()));
    REQUIRE(fixture.ended.size() == 1);
    CHECK(fixture.ended.front().outcome == WaitOutcome::Remote);
    CHECK(fixture.ended.front().localStarts == 1);
    CHECK(fixture.ended.front().remoteStarts == 1);
}

TEST_CASE("rack wait: a job close to its latest start does not wait", "[scheduling]")
{
    RackFixture fixture;
    fixture.queue.criticalPathFactor = 1.5;
    fixture.addInstance("i-1", "rack-1", { ms(300), ms(300), ms(300), ms(300) });
    fixture.addInstance("i-2", "rack-2");
    fixture.addJob(1, 1);
    CHECK(fixture.plan(ms(0)).placements.size() == 1);
}

// A controller that took every step for a new one would let it wait for another two seconds after each change.
TEST_CASE("rack wait: a change of controller does not restart a wait", "[scheduling]")
{
    RackFixture fixture;
    fixture.queue.criticalPathFactor = 100;
    fixture.addInstance("i-1", "rack-1", { ms(900), ms(2000), ms(2100), ms(9000) });
    fixture.addInstance("i-2", "rack-2");
    fixture.addJob(1, 1);
    CHECK(fixture.plan(ms(0)).placements.empty());
    fixture.newController();
    CHECK(fixture.plan(ms(1500)).placements.size() == 1);
    // A later job counts from its own submission.
    fixture.addJob(2, 1, ms(1600));
    CHECK(fixture.plan(ms(1600)).placements.empty());
}

// A waiting step that counted as unplaced would get the pool more machines and keep equal needs of others waiting.
TEST_CASE("rack wait: a step that waits neither holds others back nor counts as demand", "[scheduling]")
{
    RackFixture fixture;
    fixture.addInstance("i-1", "rack-1", { ms(300), ms(5000), ms(5000), ms(5000) });
    fixture.addInstance("i-2", "rack-2");
    fixture.addJob(1, 1);
    fixture.addJob(2, 4).spec.steps.edit(0).dataRack.clear();
    const PoolPlan plan = fixture.plan(ms(0));
    CHECK(plan.placements.size() == 4);
    CHECK(plan.unplaced == jobs::Resources());
    CHECK(plan.deferredTasks == 0);
}

// The best fit for a task without a rack is the instance with the least room, which is the one that others wait for.
TEST_CASE("rack wait: tasks that run as fast elsewhere leave an awaited slot to the step that waits", "[scheduling]")
{
    RackFixture fixture;
    fixture.addInstance("i-1", "rack-1", { ms(300), ms(5000), ms(5000), ms(5000) });
    fixture.addInstance("i-2", "rack-2");
    fixture.addJob(2, 1);
    CHECK(fixture.plan(ms(0)).placements.empty());
    // The job with the lower number precedes the one that waits.
    fixture.addJob(1, 1, ms(300)).spec.steps.edit(0).dataRack.clear();
    fixture.release("i-1", 1);
    const PoolPlan plan = fixture.plan(ms(320));
    REQUIRE(plan.placements.size() == 2);
    CHECK(plan.placements.front().task.job == 1);
    CHECK_FALSE(fixture.isOnRack(plan.placements.front()));
    CHECK(fixture.isOnRack(plan.placements.back()));
}

// The slot is the only room left, and the pool's order decides who gets it.
TEST_CASE("rack wait: an awaited slot goes to a job that precedes if there is no room elsewhere", "[scheduling]")
{
    RackFixture fixture;
    fixture.addInstance("i-1", "rack-1", { ms(300), ms(5000), ms(5000), ms(5000) });
    fixture.addInstance("i-2", "rack-2");
    fixture.addJob(2, 1);
    CHECK(fixture.plan(ms(0)).placements.empty());
    fixture.instances.remove("i-2");
    fixture.addJob(1, 1, ms(300)).spec.steps.edit(0).dataRack.clear();
    fixture.release("i-1", 1);
    const PoolPlan plan = fixture.plan(ms(320));
    REQUIRE(plan.placements.size() == 1);
    CHECK(plan.placements.front().task.job == 1);
    CHECK(plan.unplaced == cores(1));
}

// Estimates that are always too short, or others that always take the slots: every wait is a loss.
TEST_CASE("rack wait: waits pause after they have lost more time than they have gained", "[scheduling]")
{
    RackFixture fixture;
    for (const char* name : { "i-2", "i-3", "i-4" })
        fixture.addInstance(name, "rack-2");
    jobs::JobId id = 0;
    // A slot is expected after 200 ms and does not come.
    const auto waitInVain = [&](int time) {
        fixture.addInstance("i-1", "rack-1", { ms(time + 200), ms(time), ms(time), ms(time) });
        fixture.addJob(++id, 1, ms(time));
        const bool hasWaited = fixture.plan(ms(time)).placements.empty();
        const bool hasStarted = fixture.plan(ms(time + 500)).placements.size() == 1;
        CHECK(hasStarted == hasWaited);
        return hasWaited;
    };
    for (int round = 0; round < 8; ++round) {
        CHECK(waitInVain(1000 * round));
        REQUIRE(fixture.ended.size() == 1);
        CHECK(fixture.ended.front().causesPause == (round == 7));
    }
    CHECK_FALSE(waitInVain(8000));
    CHECK_FALSE(waitInVain(17400));
    CHECK(waitInVain(17600));
}

TEST_CASE("rack wait: a cancelled job ends its wait", "[scheduling]")
{
    RackFixture fixture;
    fixture.addInstance("i-1", "rack-1", { ms(300), ms(5000), ms(5000), ms(5000) });
    fixture.addInstance("i-2", "rack-2");
    jobs::Job& job = fixture.addJob(1, 1);
    CHECK(fixture.plan(ms(0)).placements.empty());
    job.isCancelled = true;
    fixture.waits->update(job);
    const auto ended = fixture.waits->takeEnded();
    REQUIRE(ended.size() == 1);
    CHECK(ended.front().outcome == WaitOutcome::Ended);
    CHECK_FALSE(fixture.waits->isDue(startTime + ms(10000)));
}

// A gang that starts with one member on another rack is slowed down as a whole.
TEST_CASE("rack wait: a gang waits until its rack has room for all members", "[scheduling]")
{
    RackFixture fixture;
    fixture.addInstance("i-1", "rack-1", { ms(200), ms(3000) });
    fixture.addInstance("i-2", "rack-2", { ms(3000), ms(3000) });
    jobs::Job& gang = fixture.addJob(1, 3);
    gang.spec.steps.edit(0).isGang = true;
    gang.spec.steps.edit(0).prefersOneRack = true;
    gang.spec.steps.edit(0).dataRack.clear();
    CHECK(fixture.plan(ms(0)).placements.empty());
    CHECK(fixture.plan(ms(100)).placements.empty());
    fixture.release("i-1", 1);
    PoolPlan plan = fixture.plan(ms(220));
    REQUIRE(plan.placements.size() == 3);
    CHECK(std::all_of(plan.placements.begin(), plan.placements.end(),
        [&](const Placement& placement) { return fixture.isOnRack(placement); }));
    REQUIRE(fixture.ended.size() == 1);
    CHECK(fixture.ended.front().outcome == WaitOutcome::Local);
}

// Long-running, best-effort, ticketed and unestimated steps: the wait is not worth it, or its value is unknown.
TEST_CASE("rack wait: only short tasks with an estimate wait", "[scheduling]")
{
    const auto waits = [](const std::function<void(jobs::StepSpec&)>& change) {
        RackFixture fixture;
        fixture.addInstance("i-1", "rack-1", { ms(300), ms(5000), ms(5000), ms(5000) });
        fixture.addInstance("i-2", "rack-2");
        jobs::Job& job = fixture.addJob(1, 1);
        change(job.spec.steps.edit(0));
        fixture.backlog.update(job, &fixture.queue, startTime);
        return fixture.plan(ms(0)).placements.empty();
    };
    CHECK(waits([](jobs::StepSpec&) {}));
    CHECK_FALSE(waits([](jobs::StepSpec& step) { step.isLongRunning = true; }));
    CHECK_FALSE(waits([](jobs::StepSpec& step) { step.isBestEffort = true; }));
    CHECK_FALSE(waits([](jobs::StepSpec& step) { step.estimatedDuration = ms(0); }));
    CHECK_FALSE(waits([](jobs::StepSpec& step) { step.maximumPerInstance = 2; }));
    CHECK_FALSE(waits([](jobs::StepSpec& step) { step.estimatedDuration = ms(40); }));
}

TEST_CASE("rack wait: without waits a task starts on another rack at once", "[scheduling]")
{
    RackFixture fixture;
    fixture.waits.reset();
    fixture.addInstance("i-1", "rack-1", { ms(10), ms(10), ms(10), ms(10) });
    fixture.addInstance("i-2", "rack-2");
    fixture.addJob(1, 1);
    CHECK(fixture.plan(ms(0)).placements.size() == 1);
}

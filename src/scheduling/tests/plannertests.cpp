#include "scheduling/moveplanner.h"
#include "scheduling/placementplanner.h"
#include "scheduling/poolbacklog.h"
#include "scheduling/tests/viewplanner.h"
#include "scheduling/waveplanner.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace turmericsill;
using namespace turmericsill::scheduling;

namespace {

constexpr std::int64_t machineMilliCores = 8000;

/// A view of one pool, with the reports and jobs that it points to.
struct PlannerFixture {
    PlannerFixture()
    {
        configuration.version = 1;
        for (const char* name : { "urgent", "plain" }) {
            fleet::Queue queue;
            queue.name = name;
            queue.pool = "desk";
            queue.priority = name == std::string("urgent") ? 0 : 1;
            configuration.queues.push_back(queue);
        }
    }

    void addInstance(const std::string& name, const std::string& rack = "r1")
    {
        auto report = std::make_unique<fleet::InstanceReport>();
        report->incarnation = { name, 1 };
        report->pool = "desk";
        report->labels = { "a", rack };
        report->capacity = { machineMilliCores, 16000, 0 };
        InstanceView instance;
        instance.report = report.get();
        instance.free = report->capacity;
        view.instances.push_back(instance);
        reports.push_back(std::move(report));
    }

    jobs::Job& addJob(jobs::JobId id, const std::string& queue, std::vector<jobs::StepSpec> steps)
    {
        auto job = std::make_unique<jobs::Job>();
        job->id = id;
        job->queue = queue;
        job->pool = "desk";
        job->spec.steps = std::move(steps);
        job->startOccurrence(0);
        jobs.push_back(std::move(job));
        view.jobs.push_back(jobs.back().get());
        return *jobs.back();
    }

    /// Plans with the instances and jobs of the view, and adds the placed tasks to its instances.
    PoolPlan plan() { return tests::planView(configuration, view); }

    static std::size_t tasksOf(const PoolPlan& plan, jobs::JobId id)
    {
        return static_cast<std::size_t>(std::count_if(plan.placements.begin(), plan.placements.end(),
            [&](const Placement& placement) { return placement.task.job == id; }));
    }

    fleet::FleetConfiguration configuration;
    std::vector<std::unique_ptr<fleet::InstanceReport>> reports;
    std::vector<std::unique_ptr<jobs::Job>> jobs;
    tests::ReferencePoolView view;
};

jobs::StepSpec step(std::uint32_t count, std::int64_t milliCores, milliseconds estimatedDuration = milliseconds(1000))
{
    jobs::StepSpec result;
    result.taskCount = count;
    result.resourcesPerTask = { milliCores, 100, 0 };
    result.estimatedDuration = estimatedDuration;
    return result;
}

std::map<std::string, int> tasksByInstance(const PoolPlan& plan)
{
    std::map<std::string, int> result;
    for (const auto& placement : plan.placements)
        ++result[placement.incarnation.instance];
    return result;
}

} // namespace

TEST_CASE("placement: jobs are ordered by priority, then by the least remaining work", "[scheduling]")
{
    PlannerFixture fixture;
    fixture.addInstance("i-1");
    fixture.addJob(1, "plain", { step(1, 6000) });
    fixture.addJob(2, "urgent", { step(8, 2000) });
    fixture.addJob(3, "urgent", { step(1, 2000) });
    const PoolPlan plan = fixture.plan();
    CHECK(PlannerFixture::tasksOf(plan, 3) == 1);
    CHECK(PlannerFixture::tasksOf(plan, 2) == 3);
    CHECK(PlannerFixture::tasksOf(plan, 1) == 0);
    CHECK(plan.unplaced.milliCores == 5 * 2000 + 6000);
}

// Load pattern: a surge of which the pool serves a part in time. Jobs that are late earn next to nothing; served in
// the order of their size alone, they delay the large ones among the fresh jobs until these are late as well.
TEST_CASE("placement: a job that can still meet its objective precedes smaller ones that cannot", "[scheduling]")
{
    PlannerFixture fixture;
    fixture.addInstance("i-1");
    for (auto& queue : fixture.configuration.queues) {
        queue.criticalPathFactor = 2;
        queue.objectiveMargin = milliseconds(500);
    }
    fixture.addJob(1, "plain", { step(4, 1000) });
    fixture.addJob(2, "plain", { step(8, 1000) });
    fixture.addJob(3, "plain", { step(2, 1000) });
    fixture.view.now = foundation::SteadyTime(milliseconds(10000));
    fixture.view.submittedAt[1] = fixture.view.now - milliseconds(1501);
    fixture.view.submittedAt[2] = fixture.view.now - milliseconds(1499);
    fixture.view.submittedAt[3] = fixture.view.now - milliseconds(9000);
    PoolPlan plan = fixture.plan();
    CHECK(PlannerFixture::tasksOf(plan, 2) == 8);
    CHECK(plan.placements.size() == 8);
    // What is late is served once there is room, the smallest first.
    fixture.addInstance("i-2");
    fixture.view.instances.back().free.milliCores = 4000;
    fixture.view.jobs.erase(fixture.view.jobs.begin() + 1);
    plan = fixture.plan();
    CHECK(PlannerFixture::tasksOf(plan, 3) == 2);
    CHECK(PlannerFixture::tasksOf(plan, 1) == 2);
}

// A job has spent its reserve in its first step, or was served sooner than its estimates said.
TEST_CASE("placement: the objective of a job counts the steps that it has left", "[scheduling]")
{
    PlannerFixture fixture;
    fixture.addInstance("i-1");
    fixture.configuration.queues.back().criticalPathFactor = 1.5;
    jobs::StepSpec second = step(8, 1000, milliseconds(400));
    second.dependsOn = { 0 };
    jobs::Job& job = fixture.addJob(1, "plain", { step(1, 1000, milliseconds(1600)), second });
    const foundation::SteadyTime submittedAt {};
    const fleet::Queue* queue = &fixture.configuration.queues.back();
    CHECK(latestStart(job, queue, submittedAt) == submittedAt + milliseconds(3000 - 2000));
    job.occurrences.at(0).steps[0].tasks[0].phase = jobs::TaskPhase::Done;
    job.occurrences.at(0).steps[0].done = 1;
    CHECK(latestStart(job, queue, submittedAt) == submittedAt + milliseconds(3000 - 400));
    CHECK(latestStart(job, nullptr, submittedAt) == foundation::SteadyTime::max());
    job.spec.steps.edit(0).isLongRunning = true;
    CHECK(latestStart(job, queue, submittedAt) == foundation::SteadyTime::max());
}

// A task that crashed an instance right after its start may do so again. What else starts there at the same time could
// not be told from it, and what runs there would be lost.
TEST_CASE("placement: a suspect starts where most room is free, and nothing else starts there", "[scheduling]")
{
    PlannerFixture fixture;
    for (const char* name : { "i-1", "i-2", "i-3" })
        fixture.addInstance(name);
    jobs::Job& running = fixture.addJob(1, "urgent", { step(5, 1000) });
    PoolPlan plan = fixture.plan();
    REQUIRE(tasksByInstance(plan).size() == 1);
    for (auto& task : running.occurrences[0].steps[0].tasks.all())
        task.phase = jobs::TaskPhase::Active;
    running.occurrences[0].steps[0].active = 5;
    jobs::Job& suspect = fixture.addJob(2, "urgent", { step(1, 1000) });
    suspect.crashHistories[{ 2, 0, 0, 0 }] = { { { 1, { "i-0", 1 }, "m-0", true, true, true, false } } };
    fixture.addJob(3, "plain", { step(16, 1000) });
    plan = fixture.plan();
    REQUIRE(PlannerFixture::tasksOf(plan, 2) == 1);
    std::string instanceOfSuspect;
    for (const auto& placement : plan.placements) {
        if (placement.task.job == 2)
            instanceOfSuspect = placement.incarnation.instance;
    }
    CHECK(tasksByInstance(plan)[instanceOfSuspect] == 1);
    CHECK(PlannerFixture::tasksOf(plan, 3) == 3 + 8);
}

TEST_CASE("placement: suspects of a job start together, and wait while another of them is observed", "[scheduling]")
{
    PlannerFixture fixture;
    for (const char* name : { "i-1", "i-2" })
        fixture.addInstance(name);
    jobs::Job& job = fixture.addJob(1, "urgent", { step(3, 1000) });
    job.crashHistories[{ 1, 0, 0, 0 }] = { { { 1, { "i-0", 1 }, "m-0", true, true, true, false } } };
    job.crashHistories[{ 1, 0, 0, 2 }] = { { { 1, { "i-0", 1 }, "m-0", true, true, true, false } } };
    const std::set<jobs::JobId> observed { 1 };
    InstanceIndex instances;
    for (const auto& view : fixture.view.instances)
        instances.update(view);
    PoolBacklog backlog;
    backlog.update(job, &fixture.configuration.queues.front(), {});
    const PlacementPlanner planner([&](jobs::JobId) { return &job; });
    PoolPlan plan = planner.plan(instances, backlog, { nullptr, nullptr, &observed });
    REQUIRE(plan.placements.size() == 1);
    CHECK(plan.placements.front().task.index == 1);
    CHECK(plan.unplaced.milliCores == 0);
    job.occurrences[0].steps[0].tasks[1].phase = jobs::TaskPhase::Active;
    plan = planner.plan(instances, backlog, {});
    REQUIRE(plan.placements.size() == 2);
    CHECK(plan.placements[0].incarnation == plan.placements[1].incarnation);
}

TEST_CASE("placement: no resource of an instance is overcommitted", "[scheduling]")
{
    PlannerFixture fixture;
    fixture.addInstance("i-1");
    jobs::StepSpec large = step(10, 100);
    large.resourcesPerTask.memoryMb = 7000;
    fixture.addJob(1, "plain", { large });
    CHECK(fixture.plan().placements.size() == 2);
}

TEST_CASE("placement: tasks are packed onto few instances, so that the others stay free", "[scheduling]")
{
    PlannerFixture fixture;
    for (const char* name : { "i-1", "i-2", "i-3" })
        fixture.addInstance(name);
    fixture.addJob(1, "plain", { step(4, 2000) });
    CHECK(tasksByInstance(fixture.plan()).size() == 1);
}

TEST_CASE("placement: long-running steps share instances, each step on at least five", "[scheduling]")
{
    PlannerFixture fixture;
    for (int i = 0; i < 10; ++i)
        fixture.addInstance("i-" + std::to_string(i));
    jobs::StepSpec longRunning = step(10, 1000);
    longRunning.isLongRunning = true;
    fixture.addJob(1, "plain", { longRunning });
    fixture.addJob(2, "plain", { longRunning });
    const auto used = tasksByInstance(fixture.plan());
    CHECK(used.size() == 5);
    for (const auto& [name, tasks] : used)
        CHECK(tasks == 4);
}

TEST_CASE("placement: a gang is placed completely or not at all", "[scheduling]")
{
    PlannerFixture fixture;
    fixture.addInstance("i-1");
    jobs::StepSpec gang = step(3, 4000);
    gang.isGang = true;
    fixture.addJob(1, "plain", { gang });
    PoolPlan plan = fixture.plan();
    CHECK(plan.placements.empty());
    CHECK(plan.unplaced.milliCores == 12000);
    fixture.addInstance("i-2");
    plan = fixture.plan();
    REQUIRE(plan.placements.size() == 3);
    CHECK(plan.placements[0].run == plan.placements[2].run);
}

TEST_CASE("placement: required labels, limits per instance and the rack of the data are respected", "[scheduling]")
{
    PlannerFixture fixture;
    fixture.addInstance("i-1", "r1");
    fixture.addInstance("i-2", "r2");
    jobs::StepSpec nearData = step(2, 1000);
    nearData.dataRack = "r2";
    fixture.addJob(1, "plain", { nearData });
    jobs::StepSpec onePerInstance = step(4, 1000);
    onePerInstance.maximumPerInstance = 1;
    fixture.addJob(2, "plain", { onePerInstance });
    jobs::StepSpec labelled = step(1, 1000);
    labelled.requiredLabel = "b";
    fixture.addJob(3, "plain", { labelled });
    const PoolPlan plan = fixture.plan();
    for (const auto& placement : plan.placements) {
        if (placement.task.job == 1)
            CHECK(placement.incarnation.instance == "i-2");
    }
    CHECK(PlannerFixture::tasksOf(plan, 2) == 2);
    CHECK(PlannerFixture::tasksOf(plan, 3) == 0);
}

TEST_CASE("placement: a step waits for the steps that it depends on", "[scheduling]")
{
    PlannerFixture fixture;
    fixture.addInstance("i-1");
    jobs::StepSpec second = step(1, 1000);
    second.dependsOn = { 0 };
    jobs::Job& job = fixture.addJob(1, "plain", { step(1, 1000), second });
    CHECK(fixture.plan().placements.size() == 1);
    auto& first = job.occurrences.at(0).steps[0];
    first.tasks[0].phase = jobs::TaskPhase::Done;
    first.done = 1;
    const PoolPlan plan = fixture.plan();
    REQUIRE(plan.placements.size() == 1);
    CHECK(plan.placements[0].task.step == 1);
}

// Best-effort tasks on the same instance raise the latency of latency-sensitive tasks.
TEST_CASE("placement: best-effort and latency-sensitive tasks avoid sharing an instance", "[scheduling]")
{
    PlannerFixture fixture;
    fixture.addInstance("i-1");
    fixture.addInstance("i-2");
    jobs::StepSpec serving = step(1, 6000);
    serving.isLongRunning = true;
    serving.latencyTarget = milliseconds(50);
    jobs::StepSpec bestEffort = step(4, 4000);
    bestEffort.isBestEffort = true;
    fixture.addJob(1, "urgent", { serving });
    fixture.addJob(2, "plain", { bestEffort });
    PoolPlan plan = fixture.plan();
    REQUIRE(plan.placements.size() == 5);
    const std::string servingInstance = plan.placements.front().incarnation.instance;
    for (std::size_t i = 1; i < plan.placements.size(); ++i)
        CHECK(plan.placements[i].incarnation.instance != servingInstance);
    jobs::StepSpec small = serving;
    small.resourcesPerTask.milliCores = 1000;
    fixture.view.jobs = { &fixture.addJob(3, "urgent", { small }) };
    plan = fixture.plan();
    REQUIRE(plan.placements.size() == 1);
    CHECK(plan.placements.front().incarnation.instance == servingInstance);
}

TEST_CASE("placement: an instance on probation gets one task", "[scheduling]")
{
    PlannerFixture fixture;
    fixture.addInstance("i-1");
    fixture.view.instances.front().isOnProbation = true;
    fixture.addJob(1, "plain", { step(4, 1000) });
    CHECK(fixture.plan().placements.size() == 1);
}

// Load pattern: hundreds of machines join a pool with a backlog of thousands of tasks. Started all at once, the orders
// take longer than instances are given to answer them.
TEST_CASE("placement: steps beyond the limit of placements are deferred in the order of service", "[scheduling]")
{
    PlannerFixture fixture;
    InstanceIndex instances;
    for (int i = 0; i < 40; ++i)
        fixture.addInstance("i-" + std::to_string(i));
    for (const auto& view : fixture.view.instances)
        instances.update(view);
    PoolBacklog backlog;
    for (jobs::JobId id = 1; id <= 6; ++id)
        backlog.update(fixture.addJob(id, "plain", { step(static_cast<std::uint32_t>(4 * id), 2000) }),
            &fixture.configuration.queues.back(), {});
    const PlacementPlanner planner([&](jobs::JobId id) { return fixture.jobs.at(id - 1).get(); });
    const PoolPlan plan = planner.plan(instances, backlog, { nullptr, nullptr, nullptr, 10 });
    CHECK(PlannerFixture::tasksOf(plan, 1) == 4);
    CHECK(PlannerFixture::tasksOf(plan, 2) == 8);
    CHECK(plan.placements.size() == 12);
    CHECK(plan.unplaced.milliCores == 0);
    CHECK(plan.deferredTasks == 12 + 16 + 20 + 24);
    CHECK(plan.deferred.milliCores == static_cast<std::int64_t>(plan.deferredTasks) * 2000);
}

// A surge exceeds the capacity of one pool while the other pools are idle.
TEST_CASE("moves: standby machines go first, then idle machines of pools without unplaced work", "[scheduling]")
{
    std::vector<MachineView> machines;
    machines.push_back({ "m-off", "off", { machineMilliCores, 16000, 0 }, true, 0, milliseconds(0) });
    for (int i = 0; i < 4; ++i)
        machines.push_back(
            { "m-idle" + std::to_string(i), "calm", { machineMilliCores, 16000, 0 }, false, 0, milliseconds(900) });
    machines.push_back({ "m-busy", "calm", { machineMilliCores, 16000, 0 }, false, 2, milliseconds(0) });
    std::map<std::string, PoolDemand> demands;
    demands["calm"].machines = 5;
    demands["surge"].machines = 2;
    demands["surge"].unplaced = { 16000, 100, 0 };
    const auto moves = planMoves(machines, demands, MovePolicy());
    REQUIRE(moves.size() == 4);
    CHECK(moves.front().machine == "m-off");
    for (const auto& move : moves) {
        CHECK(move.pool == "surge");
        CHECK(move.machine != "m-busy");
    }
}

// At the beginning of a surge no task waits yet, but the demand expected until a machine arrives exceeds the free
// capacity.
TEST_CASE("moves: growing demand brings machines before any task waits", "[scheduling]")
{
    const std::vector<MachineView> machines { { "m-off", "off", { machineMilliCores, 16000, 0 }, true, 0,
        milliseconds(0) } };
    std::map<std::string, PoolDemand> demands;
    demands["surge"].machines = 2;
    demands["surge"].freeMilliCores = 8000;
    demands["surge"].growthMilliCoresPerSecond = 1000;
    CHECK(planMoves(machines, demands, MovePolicy()).empty());
    demands["surge"].growthMilliCoresPerSecond = 10000;
    CHECK(planMoves(machines, demands, MovePolicy()).size() == 1);
}

// Load pattern: queues surge in turns, each by several times its mean, on a fleet that suffices for one surge at a
// time. Machines that a pool takes beyond its forecast are missing in the next pool's surge, and every move costs its
// time.
TEST_CASE("moves: a surge of hundreds of machines takes a limited margin above its forecast", "[scheduling]")
{
    std::vector<MachineView> machines;
    for (int i = 0; i < 900; ++i)
        machines.push_back(
            { "m-" + std::to_string(i), "calm", { machineMilliCores, 16000, 0 }, false, 0, milliseconds(900) });
    std::map<std::string, PoolDemand> demands;
    demands["calm"].machines = 900;
    demands["surge"].machines = 200;
    const MovePolicy policy;
    for (const std::int64_t forecast : { 10, 50, 400 }) {
        demands["surge"].growthMilliCoresPerSecond
            = static_cast<double>(forecast * machineMilliCores) / policy.moveLeadSeconds;
        const auto moves = static_cast<std::int64_t>(planMoves(machines, demands, policy).size());
        CHECK(moves >= forecast);
        CHECK(moves <= forecast + std::min<std::int64_t>(forecast * 6 / 10 + 1, policy.maximumMarginMachines)
                + policy.extraMachines);
    }
}

TEST_CASE("moves: incoming machines count as capacity, and a pool keeps its minimum of machines", "[scheduling]")
{
    std::vector<MachineView> machines;
    for (int i = 0; i < 2; ++i)
        machines.push_back(
            { "m-" + std::to_string(i), "calm", { machineMilliCores, 16000, 0 }, false, 0, milliseconds(900) });
    std::map<std::string, PoolDemand> demands;
    demands["calm"].machines = 2;
    demands["surge"].unplaced = { 8000, 100, 0 };
    CHECK(planMoves(machines, demands, MovePolicy()).empty());
    demands["calm"].machines = 4;
    demands["surge"].incoming = { 4 * machineMilliCores, 16000, 0 };
    CHECK(planMoves(machines, demands, MovePolicy()).empty());
}

TEST_CASE("waves: idle machines start at once up to the limit, busy machines are spread over the remaining time",
    "[scheduling]")
{
    WaveView wave;
    wave.maximumDown = 4;
    wave.timeLeft = milliseconds(26000);
    for (int i = 0; i < 6; ++i)
        wave.waiting.push_back({ "m-idle" + std::to_string(i), 0, 0, false });
    CHECK(planMaintenance(wave).size() == 4);
    wave.inProgress = 3;
    CHECK(planMaintenance(wave).size() == 1);
    wave.inProgress = 0;
    for (auto& candidate : wave.waiting)
        candidate.runs = 3;
    // Six machines of 9 s each in 70% of 26 s.
    CHECK(planMaintenance(wave).size() == 3);
    wave.timeLeft = milliseconds(5000);
    CHECK(planMaintenance(wave).size() == 4);
}

// A machine that cannot be emptied kept its place in the wave, and the others waited for it.
TEST_CASE("waves: machines that cannot be evacuated are passed over", "[scheduling]")
{
    WaveView wave;
    wave.maximumDown = 2;
    wave.timeLeft = milliseconds(5000);
    for (int i = 0; i < 4; ++i)
        wave.waiting.push_back({ "m-" + std::to_string(i), 3, 1, false });
    const auto chosen = planMaintenance(wave,
        [](const MaintenanceCandidate& candidate) { return candidate.machine != "m-0" && candidate.machine != "m-1"; });
    CHECK(chosen == std::vector<std::string> { "m-2", "m-3" });
}

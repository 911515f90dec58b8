#include "scheduling/moveplanner.h"
#include "scheduling/placementplanner.h"
#include "scheduling/waveplanner.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace turmericsill;
using namespace turmericsill::scheduling;

namespace {

constexpr std::int64_t machineCores = 8000;

/// A pool with its reports and jobs kept alive.
struct Pool {
    Pool()
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
        report->life = { name, 1 };
        report->pool = "desk";
        report->labels = { "a", rack };
        report->capacity = { machineCores, 16000, 0 };
        InstanceView view;
        view.report = report.get();
        view.free = report->capacity;
        pool.instances.push_back(view);
        reports.push_back(std::move(report));
    }

    jobs::Job& addJob(jobs::JobId id, const std::string& queue, std::vector<jobs::StepSpec> steps)
    {
        auto job = std::make_unique<jobs::Job>();
        job->id = id;
        job->queue = queue;
        job->pool = "desk";
        job->spec.steps = std::move(steps);
        job->begin(0);
        jobs.push_back(std::move(job));
        pool.jobs.push_back(jobs.back().get());
        return *jobs.back();
    }

    PoolPlan plan() { return PlacementPlanner(configuration).plan(pool); }

    static std::size_t tasksOf(const PoolPlan& plan, jobs::JobId id)
    {
        return static_cast<std::size_t>(std::count_if(plan.placements.begin(), plan.placements.end(),
            [&](const Placement& placement) { return placement.task.job == id; }));
    }

    fleet::FleetConfiguration configuration;
    std::vector<std::unique_ptr<fleet::InstanceReport>> reports;
    std::vector<std::unique_ptr<jobs::Job>> jobs;
    PoolView pool;
};

jobs::StepSpec step(std::uint32_t count, std::int64_t milliCores, milliseconds estimate = milliseconds(1000))
{
    jobs::StepSpec result;
    result.count = count;
    result.perTask = { milliCores, 100, 0 };
    result.estimate = estimate;
    return result;
}

std::map<std::string, int> tasksByInstance(const PoolPlan& plan)
{
    std::map<std::string, int> result;
    for (const auto& placement : plan.placements)
        ++result[placement.life.instance];
    return result;
}

} // namespace

TEST_CASE("placement: priority first, then the job with the least work left", "[scheduling]")
{
    Pool pool;
    pool.addInstance("i-1");
    pool.addJob(1, "plain", { step(1, 6000) });
    pool.addJob(2, "urgent", { step(8, 2000) });
    pool.addJob(3, "urgent", { step(1, 2000) });
    const PoolPlan plan = pool.plan();
    CHECK(Pool::tasksOf(plan, 3) == 1);
    CHECK(Pool::tasksOf(plan, 2) == 3);
    CHECK(Pool::tasksOf(plan, 1) == 0);
    CHECK(plan.unplaced.milliCores == 5 * 2000 + 6000);
}

TEST_CASE("placement: an instance is never filled over its capacity, whatever the resource", "[scheduling]")
{
    Pool pool;
    pool.addInstance("i-1");
    jobs::StepSpec large = step(10, 100);
    large.perTask.memoryMb = 7000;
    pool.addJob(1, "plain", { large });
    CHECK(pool.plan().placements.size() == 2);
}

TEST_CASE("placement: tasks go where they fill best, so that other instances stay free", "[scheduling]")
{
    Pool pool;
    for (const char* name : { "i-1", "i-2", "i-3" })
        pool.addInstance(name);
    pool.addJob(1, "plain", { step(4, 2000) });
    CHECK(tasksByInstance(pool.plan()).size() == 1);
}

TEST_CASE("placement: long-running steps share instances, five at least a step", "[scheduling]")
{
    Pool pool;
    for (int i = 0; i < 10; ++i)
        pool.addInstance("i-" + std::to_string(i));
    jobs::StepSpec lasting = step(10, 1000);
    lasting.isLongRunning = true;
    pool.addJob(1, "plain", { lasting });
    pool.addJob(2, "plain", { lasting });
    const auto used = tasksByInstance(pool.plan());
    CHECK(used.size() == 5);
    for (const auto& [name, tasks] : used)
        CHECK(tasks == 4);
}

TEST_CASE("placement: a gang starts whole or not at all", "[scheduling]")
{
    Pool pool;
    pool.addInstance("i-1");
    jobs::StepSpec gang = step(3, 4000);
    gang.isGang = true;
    pool.addJob(1, "plain", { gang });
    PoolPlan plan = pool.plan();
    CHECK(plan.placements.empty());
    CHECK(plan.unplaced.milliCores == 12000);
    pool.addInstance("i-2");
    plan = pool.plan();
    REQUIRE(plan.placements.size() == 3);
    CHECK(plan.placements[0].run == plan.placements[2].run);
}

TEST_CASE("placement: labels, limits per instance and the data's rack are kept to", "[scheduling]")
{
    Pool pool;
    pool.addInstance("i-1", "r1");
    pool.addInstance("i-2", "r2");
    jobs::StepSpec near = step(2, 1000);
    near.dataRack = "r2";
    pool.addJob(1, "plain", { near });
    jobs::StepSpec apart = step(4, 1000);
    apart.maximumPerInstance = 1;
    pool.addJob(2, "plain", { apart });
    jobs::StepSpec labelled = step(1, 1000);
    labelled.requiredLabel = "b";
    pool.addJob(3, "plain", { labelled });
    const PoolPlan plan = pool.plan();
    for (const auto& placement : plan.placements) {
        if (placement.task.job == 1)
            CHECK(placement.life.instance == "i-2");
    }
    CHECK(Pool::tasksOf(plan, 2) == 2);
    CHECK(Pool::tasksOf(plan, 3) == 0);
}

TEST_CASE("placement: steps wait for those they depend on", "[scheduling]")
{
    Pool pool;
    pool.addInstance("i-1");
    jobs::StepSpec second = step(1, 1000);
    second.dependsOn = { 0 };
    jobs::Job& job = pool.addJob(1, "plain", { step(1, 1000), second });
    CHECK(pool.plan().placements.size() == 1);
    auto& first = job.occurrences.at(0).steps[0];
    first.tasks[0].phase = jobs::TaskPhase::Done;
    first.done = 1;
    const PoolPlan plan = pool.plan();
    REQUIRE(plan.placements.size() == 1);
    CHECK(plan.placements[0].task.step == 1);
}

// Tasks that serve their own users share instances with work that fills what they leave, and suffer from it.
TEST_CASE("placement: tasks that fill keep away from those that serve, and the other way round", "[scheduling]")
{
    Pool pool;
    pool.addInstance("i-1");
    pool.addInstance("i-2");
    jobs::StepSpec serving = step(1, 6000);
    serving.isLongRunning = true;
    serving.latencyTarget = milliseconds(50);
    jobs::StepSpec filling = step(4, 4000);
    filling.fillsUnused = true;
    pool.addJob(1, "urgent", { serving });
    pool.addJob(2, "plain", { filling });
    PoolPlan plan = pool.plan();
    REQUIRE(plan.placements.size() == 5);
    const std::string host = plan.placements.front().life.instance;
    for (std::size_t i = 1; i < plan.placements.size(); ++i)
        CHECK(plan.placements[i].life.instance != host);
    jobs::StepSpec small = serving;
    small.perTask.milliCores = 1000;
    pool.pool.jobs = { &pool.addJob(3, "urgent", { small }) };
    plan = pool.plan();
    REQUIRE(plan.placements.size() == 1);
    CHECK(plan.placements.front().life.instance == host);
}

TEST_CASE("placement: an instance on trial gets one task", "[scheduling]")
{
    Pool pool;
    pool.addInstance("i-1");
    pool.pool.instances.front().isOnProbation = true;
    pool.addJob(1, "plain", { step(4, 1000) });
    CHECK(pool.plan().placements.size() == 1);
}

// Surge of one pool in its turn: more work than it holds, while the other pools are idle.
TEST_CASE("moves: standby machines go first, then idle ones of pools without waiting work", "[scheduling]")
{
    std::vector<MachineView> machines;
    machines.push_back({ "m-off", "off", { machineCores, 16000, 0 }, true, 0, milliseconds(0) });
    for (int i = 0; i < 4; ++i)
        machines.push_back(
            { "m-idle" + std::to_string(i), "calm", { machineCores, 16000, 0 }, false, 0, milliseconds(900) });
    machines.push_back({ "m-busy", "calm", { machineCores, 16000, 0 }, false, 2, milliseconds(0) });
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

// The surge has begun, and nothing waits yet: what arrives while a machine is on its way counts.
TEST_CASE("moves: demand that grows beyond the free room brings machines before work waits", "[scheduling]")
{
    const std::vector<MachineView> machines { { "m-off", "off", { machineCores, 16000, 0 }, true, 0,
        milliseconds(0) } };
    std::map<std::string, PoolDemand> demands;
    demands["surge"].machines = 2;
    demands["surge"].freeMilliCores = 8000;
    demands["surge"].growthMilliCoresPerSecond = 1000;
    CHECK(planMoves(machines, demands, MovePolicy()).empty());
    demands["surge"].growthMilliCoresPerSecond = 10000;
    CHECK(planMoves(machines, demands, MovePolicy()).size() == 1);
}

TEST_CASE("moves: machines on their way count, and a pool keeps its least", "[scheduling]")
{
    std::vector<MachineView> machines;
    for (int i = 0; i < 2; ++i)
        machines.push_back(
            { "m-" + std::to_string(i), "calm", { machineCores, 16000, 0 }, false, 0, milliseconds(900) });
    std::map<std::string, PoolDemand> demands;
    demands["calm"].machines = 2;
    demands["surge"].unplaced = { 8000, 100, 0 };
    CHECK(planMoves(machines, demands, MovePolicy()).empty());
    demands["calm"].machines = 4;
    demands["surge"].incoming = { 4 * machineCores, 16000, 0 };
    CHECK(planMoves(machines, demands, MovePolicy()).empty());
}

TEST_CASE("waves: idle machines go at once up to the limit, busy ones are spread over the time left", "[scheduling]")
{
    WaveView wave;
    wave.maximumDown = 4;
    wave.timeLeft = milliseconds(26000);
    for (int i = 0; i < 6; ++i)
        wave.waiting.push_back({ "m-idle" + std::to_string(i), 0, 0, false });
    CHECK(planUpkeep(wave).size() == 4);
    wave.underWay = 3;
    CHECK(planUpkeep(wave).size() == 1);
    wave.underWay = 0;
    for (auto& candidate : wave.waiting)
        candidate.runs = 3;
    // Six machines of 9 s each in 70% of 26 s.
    CHECK(planUpkeep(wave).size() == 3);
    wave.timeLeft = milliseconds(5000);
    CHECK(planUpkeep(wave).size() == 4);
}

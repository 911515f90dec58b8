// Measures what one run costs the planner of a pool under a backlog, by the number of instances.

#include "scheduling/placementplanner.h"

#include <benchmark/benchmark.h>
#include <memory>
#include <unordered_map>

namespace {

using namespace turmericsill;
using scheduling::InstanceIndex;
using scheduling::InstanceView;
using scheduling::PlacementPlanner;
using scheduling::PoolBacklog;

constexpr std::size_t waitingJobs = 1000;
constexpr std::uint32_t tasksPerJob = 8;
constexpr std::int64_t tasksPerInstance = 7;
constexpr jobs::Resources taskResources { 8900, 26000, 0 };
constexpr jobs::Resources instanceCapacity { 64000, 262144, 0 };

/// A pool whose instances are full, with a backlog.
struct FullPool {
    explicit FullPool(std::int64_t instanceCount)
        : planner([this](jobs::JobId id) { return jobsById.at(id).get(); })
    {
        queue.name = "calls";
        for (std::int64_t i = 0; i < instanceCount; ++i) {
            auto report = std::make_unique<fleet::InstanceReport>();
            report->incarnation = { "i-" + std::to_string(100000 + i), 1 };
            report->labels = { "a", "r" + std::to_string(i / 20) };
            report->capacity = instanceCapacity;
            reports.push_back(std::move(report));
            index.update(viewOf(static_cast<std::size_t>(i), tasksPerInstance));
        }
        for (jobs::JobId id = 1; id <= waitingJobs; ++id)
            addJob(id);
    }

    InstanceView viewOf(std::size_t instance, std::int64_t tasks) const
    {
        InstanceView view;
        view.report = reports[instance].get();
        view.free = instanceCapacity;
        view.free -= taskResources * tasks;
        return view;
    }

    void addJob(jobs::JobId id)
    {
        auto job = std::make_unique<jobs::Job>();
        job->id = id;
        job->queue = queue.name;
        jobs::StepSpec step;
        step.taskCount = tasksPerJob;
        step.resourcesPerTask = taskResources;
        step.estimatedDuration = foundation::milliseconds(600 + static_cast<std::int64_t>(id));
        job->spec.steps.add(step);
        job->startOccurrence(0);
        backlog.update(*job, &queue, {});
        jobsById[id] = std::move(job);
    }

    fleet::Queue queue;
    std::vector<std::unique_ptr<fleet::InstanceReport>> reports;
    std::unordered_map<jobs::JobId, std::unique_ptr<jobs::Job>> jobsById;
    InstanceIndex index;
    PoolBacklog backlog;
    PlacementPlanner planner;
};

/// One task ends on one instance, and the pool is planned: one task starts there.
void planAfterOneEnd(benchmark::State& state)
{
    FullPool pool(state.range(0));
    std::size_t instance = 0;
    for (auto _ : state) {
        pool.index.update(pool.viewOf(instance, tasksPerInstance - 1));
        const auto plan = pool.planner.plan(pool.index, pool.backlog, {});
        if (plan.placements.size() != 1)
            state.SkipWithError("expected one placement");
        instance = (instance + 1) % pool.reports.size();
    }
}

/// A tenth of the instances become free at once, as they do between two plans under load. Time for each placement.
void planManyPlacements(benchmark::State& state)
{
    FullPool pool(state.range(0));
    std::size_t placements = 0;
    for (auto _ : state) {
        for (std::size_t i = 0; i < pool.reports.size(); i += 10)
            pool.index.update(pool.viewOf(i, 0));
        placements += pool.planner.plan(pool.index, pool.backlog, {}).placements.size();
    }
    state.counters["time_per_placement"] = benchmark::Counter(
        static_cast<double>(placements), benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
}

BENCHMARK(planAfterOneEnd)->Arg(50)->Arg(300)->Arg(1100)->Unit(benchmark::kMicrosecond);
BENCHMARK(planManyPlacements)->Arg(50)->Arg(300)->Arg(1100)->Unit(benchmark::kMicrosecond);

} // namespace

BENCHMARK_MAIN();

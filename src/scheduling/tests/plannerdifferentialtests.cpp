#include "scheduling/tests/viewplanner.h"

#include <catch2/catch.hpp>
#include <memory>
#include <random>

using namespace turmericsill;
using namespace turmericsill::scheduling;
using foundation::milliseconds;
using scheduling::tests::planView;
using scheduling::tests::ReferencePlanner;
using scheduling::tests::ReferencePoolView;

namespace {

constexpr int viewCount = 2000;

/// Names sort like their numbers, since both planners take the first of equal instances by name.
std::string instanceName(std::int64_t number) { return "i-" + std::to_string(100 + number); }

/// A random pool with more work than room, in which every restriction of a step occurs.
class RandomPool {
public:
    explicit RandomPool(std::uint64_t seed)
        : random_(seed)
    {
        addQueues();
        const auto instances = number(1, 40);
        for (std::int64_t i = 0; i < instances; ++i)
            addInstance(instanceName(i));
        const auto jobCount = number(1, 30);
        for (std::int64_t i = 0; i < jobCount; ++i)
            addJob(static_cast<jobs::JobId>(i + 1));
        view_.now = foundation::SteadyTime(milliseconds(5000));
        view_.tickets = &tickets_;
        view_.blockedTasks = &blockedTasks_;
    }

    const fleet::FleetConfiguration& configuration() const { return configuration_; }
    const ReferencePoolView& view() const { return view_; }

private:
    std::int64_t number(std::int64_t minimum, std::int64_t maximum)
    {
        return std::uniform_int_distribution<std::int64_t>(minimum, maximum)(random_);
    }

    bool oneIn(std::int64_t count) { return number(1, count) == 1; }

    void addQueues()
    {
        for (const char* name : { "urgent", "plain", "advised" }) {
            fleet::Queue queue;
            queue.name = name;
            queue.priority = static_cast<int>(number(0, 1));
            queue.criticalPathFactor = 1.5;
            queue.objectiveMargin = milliseconds(number(0, 3) * 300);
            if (queue.name == "advised")
                queue.advice = fleet::AdviceSettings();
            configuration_.queues.push_back(queue);
        }
    }

    void addInstance(const std::string& name)
    {
        auto report = std::make_unique<fleet::InstanceReport>();
        report->incarnation = { name, 1 };
        report->labels = { oneIn(3) ? "b" : "a", "r" + std::to_string(number(1, 4)) };
        report->capacity = { 8000, 16000, 2 };
        InstanceView instance;
        instance.report = report.get();
        instance.free = { number(0, 8) * 1000, number(0, 16) * 1000, number(0, 2) };
        instance.longRunningTasks = static_cast<std::uint32_t>(number(0, 2));
        instance.latencySensitiveTasks = oneIn(4);
        instance.bestEffortTasks = oneIn(4);
        instance.isOnProbation = oneIn(6);
        if (oneIn(2))
            instance.tasksByStep[{ static_cast<jobs::JobId>(number(1, 30)), 0, 0 }] = 1;
        view_.instances.push_back(instance);
        reports_.push_back(std::move(report));
    }

    jobs::StepSpec randomStep()
    {
        jobs::StepSpec step;
        step.taskCount = static_cast<std::uint32_t>(number(1, 8));
        step.resourcesPerTask = { number(1, 8) * 500, number(1, 8) * 500, oneIn(8) };
        step.estimatedDuration = milliseconds(number(0, 3) * 400);
        step.isGang = oneIn(8);
        step.prefersOneRack = oneIn(6);
        step.isLongRunning = oneIn(4);
        step.isBestEffort = oneIn(6);
        step.latencyTarget = milliseconds(oneIn(5) ? 50 : 0);
        step.maximumPerInstance = oneIn(4) ? static_cast<std::uint32_t>(number(1, 2)) : 0;
        if (oneIn(4))
            step.requiredLabel = oneIn(2) ? "b" : "absent";
        if (oneIn(3))
            step.dataRack = "r" + std::to_string(number(1, 5));
        return step;
    }

    void addJob(jobs::JobId id)
    {
        auto job = std::make_unique<jobs::Job>();
        job->id = id;
        const char* const queues[] = { "urgent", "plain", "advised", "removed" };
        job->queue = queues[number(0, 3)];
        const auto steps = number(1, 3);
        for (std::int64_t step = 0; step < steps; ++step) {
            job->spec.steps.add(randomStep());
            if (step > 0 && oneIn(2))
                job->spec.steps.edit(job->spec.steps.size() - 1).dependsOn = { static_cast<std::uint32_t>(step - 1) };
        }
        job->startOccurrence(0);
        if (oneIn(5))
            job->startOccurrence(1);
        job->isCancelled = oneIn(10);
        for (auto& [occurrence, state] : job->occurrences) {
            for (std::uint32_t step = 0; step < state.steps.size(); ++step)
                advanceTasks({ id, occurrence, step }, state.steps[step]);
        }
        view_.jobs.push_back(job.get());
        view_.submittedAt[id] = foundation::SteadyTime(milliseconds(number(2000, 5000)));
        jobs_.push_back(std::move(job));
    }

    void advanceTasks(const StepId& id, jobs::StepState& state)
    {
        const auto doneIn = number(1, 4);
        for (std::uint32_t index = 0; index < state.tasks.size(); ++index) {
            jobs::Task& task = state.tasks[index];
            if (oneIn(doneIn)) {
                task.phase = jobs::TaskPhase::Done;
                ++state.done;
            } else if (oneIn(6)) {
                task.phase = jobs::TaskPhase::Active;
                ++state.active;
            } else if (oneIn(4)) {
                task.failures = 1;
                task.lastRun = 1;
                task.incarnation = { instanceName(number(0, 10)), 1 };
            }
            if (oneIn(30))
                blockedTasks_.insert({ id.job, id.occurrence, id.step, index });
        }
        for (const auto& report : reports_) {
            if (oneIn(3))
                tickets_[id][report->incarnation.instance] = "ticket-" + report->incarnation.instance;
        }
    }

    std::mt19937_64 random_;
    fleet::FleetConfiguration configuration_;
    std::vector<std::unique_ptr<fleet::InstanceReport>> reports_;
    std::vector<std::unique_ptr<jobs::Job>> jobs_;
    StepTickets tickets_;
    std::set<jobs::TaskId> blockedTasks_;
    ReferencePoolView view_;
};

std::string describe(const PoolPlan& plan)
{
    std::string text;
    for (const auto& placement : plan.placements)
        text += jobs::toText(placement.task) + " run " + std::to_string(placement.run) + " on "
            + placement.incarnation.instance + " " + placement.ticket + "\n";
    text += "unplaced " + std::to_string(plan.unplaced.milliCores) + " " + std::to_string(plan.unplaced.memoryMb) + " "
        + std::to_string(plan.unplaced.accelerators) + "\n";
    for (const auto& step : plan.stepsAwaitingTickets)
        text += "awaits ticket " + std::to_string(step.job) + "." + std::to_string(step.step) + "\n";
    return text;
}

} // namespace

// The index finds an instance by a few comparisons and skips needs that found no room. Neither may change where a task
// goes.
TEST_CASE("placement: plans equal those of comparing every instance for every task", "[scheduling]")
{
    for (std::uint64_t seed = 1; seed <= viewCount; ++seed) {
        const RandomPool pool(seed);
        ReferencePoolView expectedView = pool.view();
        ReferencePoolView view = pool.view();
        const std::string expected = describe(ReferencePlanner(pool.configuration()).plan(expectedView));
        INFO("seed " << seed);
        REQUIRE(describe(planView(pool.configuration(), view)) == expected);
        for (std::size_t i = 0; i < view.instances.size(); ++i) {
            REQUIRE(view.instances[i].free == expectedView.instances[i].free);
            REQUIRE(view.instances[i].tasksByStep.size() == expectedView.instances[i].tasksByStep.size());
        }
    }
}

#include "scheduling/placementplanner.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace turmericsill::scheduling {

using jobs::Job;
using jobs::Occurrence;
using jobs::Resources;
using jobs::StepSpec;
using jobs::Task;
using jobs::TaskId;
using jobs::TaskPhase;

namespace {

    constexpr double assumedTaskSeconds = 1; ///< For steps that state no estimate.
    constexpr std::uint32_t leastInstances = 5; ///< That a long-running step is spread over, where there is room.

    double taskSeconds(const StepSpec& step)
    {
        return step.estimate.count() > 0 ? std::chrono::duration<double>(step.estimate).count() : assumedTaskSeconds;
    }

    double coreSeconds(const StepSpec& step)
    {
        constexpr double milliCoresPerCore = 1000;
        return taskSeconds(step) * static_cast<double>(step.perTask.milliCores) / milliCoresPerCore;
    }

    /// Places the tasks of one step on the instances of a view.
    class StepPlacer {
    public:
        StepPlacer(PoolView& view, const Job& job, std::uint32_t occurrence, std::uint32_t step, bool needsTicket)
            : view_(view)
            , spec_(job.spec.steps[step])
            , state_(job.occurrences.at(occurrence).steps[step])
            , id_ { job.id, occurrence, step }
            , need_(reservedBy(spec_))
            , needsTicket_(needsTicket)
        {
            if (!needsTicket_ || !view_.tickets)
                return;
            const auto found = view_.tickets->find(id_);
            tickets_ = found == view_.tickets->end() ? nullptr : &found->second;
        }

        void place(PoolPlan& plan)
        {
            if (spec_.prefersOneRack)
                chooseRack();
            if (spec_.isGang)
                return placeGang(plan);
            for (std::uint32_t index = 0; index < state_.tasks.size(); ++index) {
                if (!mayStart(index))
                    continue;
                InstanceView* instance = choose(state_.tasks[index]);
                if (instance)
                    plan.placements.push_back(take(*instance, index, state_.tasks[index].lastRun + 1));
                else
                    countUnplaced(plan, 1);
            }
        }

    private:
        bool mayStart(std::uint32_t index) const
        {
            if (state_.tasks[index].phase != TaskPhase::Idle)
                return false;
            return !view_.blocked || !view_.blocked->count({ id_.job, id_.occurrence, id_.step, index });
        }

        void countUnplaced(PoolPlan& plan, std::int64_t tasks) const
        {
            if (needsTicket_
                && (plan.wantAdvice.empty() || plan.wantAdvice.back() < id_ || id_ < plan.wantAdvice.back()))
                plan.wantAdvice.push_back(id_);
            plan.unplaced += need_ * tasks;
        }

        /// The members of a gang start together, with one number of run, or not at all.
        void placeGang(PoolPlan& plan)
        {
            std::uint32_t run = 0;
            for (std::uint32_t index = 0; index < state_.tasks.size(); ++index) {
                if (!mayStart(index))
                    return;
                run = std::max(run, state_.tasks[index].lastRun + 1);
            }
            const std::vector<InstanceView> before = view_.instances;
            std::vector<Placement> members;
            for (std::uint32_t index = 0; index < state_.tasks.size(); ++index) {
                InstanceView* instance = choose(state_.tasks[index]);
                if (!instance) {
                    view_.instances = before;
                    return countUnplaced(plan, static_cast<std::int64_t>(state_.tasks.size()));
                }
                members.push_back(take(*instance, index, run));
            }
            plan.placements.insert(plan.placements.end(), members.begin(), members.end());
        }

        /// The rack with the most room for the whole step.
        void chooseRack()
        {
            std::map<std::string, std::int64_t> room;
            for (const auto& instance : view_.instances) {
                if (isAllowed(instance))
                    room[instance.report->rack()] += instance.free.milliCores;
            }
            const auto best = std::max_element(
                room.begin(), room.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
            if (best != room.end())
                preferredRack_ = best->first;
        }

        bool isAllowed(const InstanceView& instance) const
        {
            if (!spec_.requiredLabel.empty() && !instance.report->hasLabel(spec_.requiredLabel))
                return false;
            if (instance.isOnProbation && !instance.tasksOfStep.empty())
                return false;
            if (needsTicket_ && (!tickets_ || !tickets_->count(instance.report->life.instance)))
                return false;
            if (spec_.maximumPerInstance > 0 && tasksOn(instance) >= spec_.maximumPerInstance)
                return false;
            if (spec_.fillsUnused && instance.servingTasks > 0)
                return false;
            return need_.fitsInto(instance.free);
        }

        std::uint32_t tasksOn(const InstanceView& instance) const
        {
            const auto found = instance.tasksOfStep.find(id_);
            return found == instance.tasksOfStep.end() ? 0 : found->second;
        }

        /// Smaller is better; compared in the order of the fields.
        using Rank = std::tuple<bool, bool, bool, std::uint32_t, std::int64_t, std::int64_t>;

        Rank rank(const InstanceView& instance, const Task& task) const
        {
            const std::string& wanted = spec_.dataRack.empty() ? preferredRack_ : spec_.dataRack;
            const bool isFar = !wanted.empty() && !instance.report->hasLabel(wanted);
            const bool failedThere = task.failures > 0 && task.life.instance == instance.report->life.instance;
            const std::uint32_t crowd = spec_.isLongRunning ? crowdOn(instance) : 0;
            const std::int64_t otherLongRunning = instance.longRunningTasks;
            // Long-running tasks share instances, so that the others stay free to be moved or maintained.
            const bool isDisturbed = spec_.latencyTarget.count() > 0 && instance.fillingTasks > 0;
            return { failedThere, isDisturbed, isFar, crowd, spec_.isLongRunning ? -otherLongRunning : 0,
                instance.free.milliCores };
        }

        /// Tasks of this step on the instance, once their number is more than the loss of one instance may take.
        std::uint32_t crowdOn(const InstanceView& instance) const
        {
            const std::uint32_t share = (spec_.count + leastInstances - 1) / leastInstances;
            const std::uint32_t present = tasksOn(instance);
            return present < share ? 0 : present;
        }

        InstanceView* choose(const Task& task)
        {
            InstanceView* best = nullptr;
            Rank bestRank;
            for (auto& instance : view_.instances) {
                if (!isAllowed(instance))
                    continue;
                const Rank current = rank(instance, task);
                if (!best || current < bestRank) {
                    best = &instance;
                    bestRank = current;
                }
            }
            return best;
        }

        Placement take(InstanceView& instance, std::uint32_t index, std::uint32_t run)
        {
            instance.free -= need_;
            ++instance.tasksOfStep[id_];
            noteTask(instance, spec_);
            const std::string ticket = needsTicket_ ? tickets_->at(instance.report->life.instance) : std::string();
            return { { id_.job, id_.occurrence, id_.step, index }, run, instance.report->life, need_, ticket };
        }

        PoolView& view_;
        const StepSpec& spec_;
        const jobs::StepState& state_;
        StepId id_;
        Resources need_;
        bool needsTicket_;
        const std::map<std::string, std::string>* tickets_ = nullptr; ///< By instance; null: none yet.
        std::string preferredRack_;
    };

} // namespace

void noteTask(InstanceView& instance, const StepSpec& step)
{
    instance.longRunningTasks += step.isLongRunning;
    instance.servingTasks += step.latencyTarget.count() > 0;
    instance.fillingTasks += step.fillsUnused;
}

Resources reservedBy(const StepSpec& step)
{
    Resources need = step.perTask;
    if (step.fillsUnused)
        need.milliCores = 0;
    return need;
}

double remainingWork(const Job& job)
{
    double work = 0;
    for (const auto& [number, occurrence] : job.occurrences) {
        for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
            const auto left = occurrence.steps[step].tasks.size() - occurrence.steps[step].done;
            work += coreSeconds(job.spec.steps[step]) * static_cast<double>(left);
        }
    }
    return work;
}

/// A job with what decides its turn.
struct PlacementPlanner::Candidate {
    const Job* job = nullptr;
    int priority = 0;
    bool isLongRunning = false;
    double work = 0;
    bool needsTicket = false;
};

PlacementPlanner::PlacementPlanner(const fleet::FleetConfiguration& configuration)
    : configuration_(configuration)
{
}

std::vector<PlacementPlanner::Candidate> PlacementPlanner::order(const PoolView& view) const
{
    std::vector<Candidate> candidates;
    for (const Job* job : view.jobs) {
        if (job->isFinal())
            continue;
        const fleet::Queue* queue = configuration_.findQueue(job->queue);
        candidates.push_back({ job, queue ? queue->priority : std::numeric_limits<int>::max(),
            job->spec.steps.front().isLongRunning, remainingWork(*job), queue && queue->advice.has_value() });
    }
    std::sort(candidates.begin(), candidates.end(), [](const Candidate& a, const Candidate& b) {
        return std::tuple(a.priority, !a.isLongRunning, a.work, a.job->id)
            < std::tuple(b.priority, !b.isLongRunning, b.work, b.job->id);
    });
    return candidates;
}

PoolPlan PlacementPlanner::plan(PoolView& view) const
{
    PoolPlan plan;
    for (const Candidate& candidate : order(view)) {
        const Job& job = *candidate.job;
        for (const auto& [number, occurrence] : job.occurrences) {
            for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
                const auto& state = occurrence.steps[step];
                const bool hasIdle = state.done + state.active < state.tasks.size();
                if (hasIdle && occurrence.isReady(job.spec, step))
                    StepPlacer(view, job, number, step, candidate.needsTicket).place(plan);
            }
        }
    }
    return plan;
}

} // namespace turmericsill::scheduling

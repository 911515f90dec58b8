#include "scheduling/tests/referenceplanner.h"

#include "scheduling/instanceindex.h"
#include "scheduling/poolbacklog.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace turmericsill::scheduling::tests {

using jobs::Job;
using jobs::Resources;
using jobs::StepSpec;
using jobs::Task;
using jobs::TaskId;
using jobs::TaskPhase;

namespace {

    /// Instances to spread a long-running step over, where there is room.
    constexpr std::uint32_t minimumSpreadInstances = 5;

    /// Places the tasks of one step on the instances of a view.
    class StepPlacer {
    public:
        StepPlacer(ReferencePoolView& view, const Job& job, std::uint32_t occurrence, std::uint32_t step,
            bool isTicketRequired)
            : view_(view)
            , spec_(job.spec.steps[step])
            , state_(job.occurrences.at(occurrence).steps[step])
            , id_ { job.id, occurrence, step }
            , need_(resourceRequest(spec_))
            , isTicketRequired_(isTicketRequired)
        {
            if (!isTicketRequired_ || !view_.tickets)
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
                if (!canStart(index))
                    continue;
                InstanceView* instance = chooseInstance(state_.tasks[index]);
                if (instance)
                    plan.placements.push_back(assign(*instance, index, state_.tasks[index].lastRun + 1));
                else
                    countUnplaced(plan, 1);
            }
        }

    private:
        bool canStart(std::uint32_t index) const
        {
            if (state_.tasks[index].phase != TaskPhase::Pending)
                return false;
            return !view_.blockedTasks || !view_.blockedTasks->count({ id_.job, id_.occurrence, id_.step, index });
        }

        void countUnplaced(PoolPlan& plan, std::int64_t tasks) const
        {
            if (isTicketRequired_
                && (plan.stepsAwaitingTickets.empty() || plan.stepsAwaitingTickets.back() < id_
                    || id_ < plan.stepsAwaitingTickets.back()))
                plan.stepsAwaitingTickets.push_back(id_);
            plan.unplaced += need_ * tasks;
        }

        /// Places all tasks of a gang with a common run number, or none of them.
        void placeGang(PoolPlan& plan)
        {
            std::uint32_t run = 0;
            for (std::uint32_t index = 0; index < state_.tasks.size(); ++index) {
                if (!canStart(index))
                    return;
                run = std::max(run, state_.tasks[index].lastRun + 1);
            }
            const std::vector<InstanceView> instancesBefore = view_.instances;
            std::vector<Placement> members;
            for (std::uint32_t index = 0; index < state_.tasks.size(); ++index) {
                InstanceView* instance = chooseInstance(state_.tasks[index]);
                if (!instance) {
                    view_.instances = instancesBefore;
                    return countUnplaced(plan, static_cast<std::int64_t>(state_.tasks.size()));
                }
                members.push_back(assign(*instance, index, run));
            }
            plan.placements.insert(plan.placements.end(), members.begin(), members.end());
        }

        /// Prefers the rack with the most free processor time for the whole step.
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
            if (instance.isOnProbation && !instance.tasksByStep.empty())
                return false;
            if (isTicketRequired_ && (!tickets_ || !tickets_->count(instance.report->incarnation.instance)))
                return false;
            if (spec_.maximumPerInstance > 0 && tasksOn(instance) >= spec_.maximumPerInstance)
                return false;
            if (spec_.isBestEffort && instance.latencySensitiveTasks > 0)
                return false;
            return need_.fitsInto(instance.free);
        }

        std::uint32_t tasksOn(const InstanceView& instance) const
        {
            const auto found = instance.tasksByStep.find(id_);
            return found == instance.tasksByStep.end() ? 0 : found->second;
        }

        /// Fields in order of significance; the smallest rank is the best.
        using Rank = std::tuple<bool, bool, bool, std::uint32_t, std::int64_t, std::int64_t>;

        Rank rank(const InstanceView& instance, const Task& task) const
        {
            const std::string& wantedRack = spec_.dataRack.empty() ? preferredRack_ : spec_.dataRack;
            const bool isOnOtherRack = !wantedRack.empty() && !instance.report->hasLabel(wantedRack);
            const bool hasFailedThere
                = task.failures > 0 && task.incarnation.instance == instance.report->incarnation.instance;
            const std::uint32_t spreadPenalty = spec_.isLongRunning ? spreadPenaltyOf(instance) : 0;
            const std::int64_t otherLongRunning = instance.longRunningTasks;
            const bool hasInterference = spec_.latencyTarget.count() > 0 && instance.bestEffortTasks > 0;
            // Long-running tasks share instances, so that the others stay free to be moved or maintained.
            return { hasFailedThere, hasInterference, isOnOtherRack, spreadPenalty,
                spec_.isLongRunning ? -otherLongRunning : 0, instance.free.milliCores };
        }

        /// Number of tasks of this step on the instance, or 0 while it holds less than its share of the step. Limits
        /// the part of a step that is lost with an instance.
        std::uint32_t spreadPenaltyOf(const InstanceView& instance) const
        {
            const std::uint32_t share = (spec_.taskCount + minimumSpreadInstances - 1) / minimumSpreadInstances;
            const std::uint32_t assignedTasks = tasksOn(instance);
            return assignedTasks < share ? 0 : assignedTasks;
        }

        InstanceView* chooseInstance(const Task& task)
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

        Placement assign(InstanceView& instance, std::uint32_t index, std::uint32_t run)
        {
            instance.free -= need_;
            ++instance.tasksByStep[id_];
            countTask(instance, spec_);
            const std::string ticket
                = isTicketRequired_ ? tickets_->at(instance.report->incarnation.instance) : std::string();
            return { { id_.job, id_.occurrence, id_.step, index }, run, instance.report->incarnation, need_, ticket };
        }

        ReferencePoolView& view_;
        const StepSpec& spec_;
        const jobs::StepState& state_;
        StepId id_;
        Resources need_;
        bool isTicketRequired_;
        /// Key: instance name; null while there are none.
        const std::map<std::string, std::string>* tickets_ = nullptr;
        std::string preferredRack_;
    };

} // namespace

/// A job and the properties that determine its place in the order.
struct ReferencePlanner::Candidate {
    const Job* job = nullptr;
    int priority = 0;
    bool isLongRunning = false;
    bool isLate = false;
    double work = 0;
    bool isTicketRequired = false;
};

ReferencePlanner::ReferencePlanner(const fleet::FleetConfiguration& configuration)
    : configuration_(configuration)
{
}

std::vector<ReferencePlanner::Candidate> ReferencePlanner::orderedCandidates(const ReferencePoolView& view) const
{
    std::vector<Candidate> candidates;
    for (const Job* job : view.jobs) {
        if (job->isFinal())
            continue;
        const fleet::Queue* queue = configuration_.findQueue(job->queue);
        const auto submitted = view.submittedAt.find(job->id);
        const auto startsBy = latestStart(
            *job, queue, submitted == view.submittedAt.end() ? foundation::SteadyTime() : submitted->second);
        candidates.push_back(
            { job, queue ? queue->priority : std::numeric_limits<int>::max(), job->spec.steps.front().isLongRunning,
                startsBy <= view.now, remainingCoreSeconds(*job), queue && queue->advice.has_value() });
    }
    std::sort(candidates.begin(), candidates.end(), [](const Candidate& a, const Candidate& b) {
        return std::tuple(a.priority, !a.isLongRunning, a.isLate, a.work, a.job->id)
            < std::tuple(b.priority, !b.isLongRunning, b.isLate, b.work, b.job->id);
    });
    return candidates;
}

PoolPlan ReferencePlanner::plan(ReferencePoolView& view) const
{
    PoolPlan plan;
    for (const Candidate& candidate : orderedCandidates(view)) {
        const Job& job = *candidate.job;
        for (const auto& [number, occurrence] : job.occurrences) {
            for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
                const auto& state = occurrence.steps[step];
                const bool hasIdle = state.done + state.active < state.tasks.size();
                if (hasIdle && occurrence.isReady(job.spec, step))
                    StepPlacer(view, job, number, step, candidate.isTicketRequired).place(plan);
            }
        }
    }
    return plan;
}

} // namespace turmericsill::scheduling::tests

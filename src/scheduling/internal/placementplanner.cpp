#include "scheduling/placementplanner.h"

#include "scheduling/internal/stepplacer.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace turmericsill::scheduling {

namespace {

    /// Needs that no instance with a label had room for. Room only shrinks during a plan.
    class UnmetNeeds {
    public:
        void add(const std::string& label, const jobs::Resources& need) { needs_.emplace_back(label, need); }

        /// Whether a need at least as large has found no room.
        bool covers(const std::string& label, const jobs::Resources& need) const
        {
            return std::any_of(needs_.begin(), needs_.end(), [&](const auto& unmet) {
                return (unmet.first.empty() || unmet.first == label) && unmet.second.fitsInto(need);
            });
        }

    private:
        std::vector<std::pair<std::string, jobs::Resources>> needs_; ///< Label, empty for any instance, and need.
    };

} // namespace

PoolPlan PlacementPlanner::plan(
    InstanceIndex& instances, const PoolBacklog& backlog, const PlanConstraints& constraints) const
{
    PoolPlan plan;
    UnmetNeeds unmetNeeds;
    const bool hasBlockedTasks = constraints.blockedTasks && !constraints.blockedTasks->empty();
    for (const auto& [rank, steps] : backlog.jobs()) {
        const jobs::Job* job = nullptr;
        for (const WaitingStep& waiting : steps) {
            if (plan.placements.size() >= constraints.maximumPlacements) {
                plan.deferredTasks += waiting.tasks;
                plan.deferred += waiting.need * waiting.tasks;
                continue;
            }
            const bool hasNoRoom = unmetNeeds.covers(waiting.requiredLabel, waiting.need);
            if (hasNoRoom && !hasBlockedTasks) {
                addUnplaced(plan, waiting, waiting.tasks);
                continue;
            }
            if (!job)
                job = findJob_(rank.job);
            if (!job)
                break;
            StepPlacer placer(instances, *job, waiting, constraints);
            if (!placer.place(plan) && !hasNoRoom && placer.isOutOfResources())
                unmetNeeds.add(waiting.requiredLabel, waiting.need);
        }
    }
    return plan;
}

} // namespace turmericsill::scheduling

#pragma once

#include "scheduling/instanceindex.h"
#include "scheduling/poolbacklog.h"
#include "scheduling/types/poolview.h"

#include <cstdint>
#include <limits>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace turmericsill::scheduling {

/// Adds waiting tasks of a step that found no room to the demand of a plan.
void addUnplaced(PoolPlan& plan, const WaitingStep& waiting, std::uint32_t tasks);

/// Places the tasks of one step on the instances of an index.
class StepPlacer {
public:
    StepPlacer(
        InstanceIndex& instances, const jobs::Job& job, const WaitingStep& waiting, const PlanConstraints& constraints);

    /// Limits place() to this many startable tasks, from the task with this index on. Does not apply to gangs.
    void setRange(std::uint32_t firstIndex, std::uint32_t maximumTasks)
    {
        nextIndex_ = firstIndex;
        maximumTasks_ = maximumTasks;
    }

    /// Index of the first task that place() has not looked at.
    std::uint32_t nextIndex() const { return nextIndex_; }

    /// Adds placements and unplaced demand to the plan. Returns false if a task found no room.
    bool place(PoolPlan& plan);

    /// Whether the latest task found no instance that has the required label and enough free resources, whatever the
    /// other restrictions of the step.
    bool isOutOfResources() const { return isOutOfResources_; }

    /// An instance, other than those in `excluded`, on which a further task of the step may start; null if there is
    /// none. `awaitsShortTasks`: whether it is enough that the task fits once the short tasks there have ended.
    IndexedInstance* findPermitted(const std::set<std::string>& excluded, bool awaitsShortTasks) const;

private:
    /// Fields in order of significance; the smallest rank is the best.
    using Rank = std::tuple<bool, bool, bool, std::uint32_t, std::int64_t, std::int64_t>;

    jobs::TaskId taskAt(std::uint32_t index) const
    {
        return { waiting_.id.job, waiting_.id.occurrence, waiting_.id.step, index };
    }

    bool canStart(std::uint32_t index) const;
    bool placeGang(PoolPlan& plan);
    bool placeSuspect(PoolPlan& plan, std::uint32_t index);
    bool isSuspect(std::uint32_t index) const { return findSuspicions(index) != nullptr; }
    const jobs::CrashHistory* findSuspicions(std::uint32_t index) const;
    bool canStartSuspects() const;
    void chooseRack();
    bool canWaitForRack() const;
    bool isWholeStepWaiting();
    bool isAwaitedByOthers(const InstanceView& instance) const;
    bool isWaitingForRack(const IndexedInstance& instance, std::uint32_t index);
    std::int64_t roomFor(std::int64_t tasks, const InstanceIndex::Order& order) const;
    bool isPermitted(const InstanceView& instance) const;
    bool isAllowed(const InstanceView& instance) const;
    std::uint32_t tasksOn(const InstanceView& instance) const;
    Rank rank(const IndexedInstance& instance, std::uint32_t index, const jobs::CrashHistory* suspicions) const;
    std::uint32_t spreadPenaltyOf(const InstanceView& instance) const;
    IndexedInstance* chooseInstance(std::uint32_t index);
    IndexedInstance* bestOf(const InstanceIndex::Order& order, std::uint32_t index, bool isOnOtherRack);
    void placeTask(PoolPlan& plan, IndexedInstance& instance, std::uint32_t index);
    void reportPlaced(const IndexedInstance& instance);
    Placement assign(IndexedInstance& instance, std::uint32_t index, std::uint32_t run);

    InstanceIndex& instances_;
    const PlanConstraints& constraints_;
    const WaitingStep& waiting_;
    const jobs::Job& job_;
    const jobs::StepSpec& spec_;
    const jobs::StepState& state_;
    const std::map<std::string, std::string>* tickets_ = nullptr; ///< Key: instance name; null while there are none.
    std::string wantedRack_; ///< Rack of the data, or else the one chosen for the step; empty if any will do.
    std::uint32_t nextIndex_ = 0;
    std::uint32_t maximumTasks_ = std::numeric_limits<std::uint32_t>::max();
    bool isOutOfResources_ = false;
    std::uint32_t tasksWaitingForRack_ = 0;
    IndexedInstance* observedInstance_ = nullptr; ///< Instance of the suspects that this object has placed.
};

} // namespace turmericsill::scheduling

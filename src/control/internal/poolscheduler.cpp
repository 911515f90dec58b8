#include "control/internal/poolscheduler.h"

#include "scheduling/placementplanner.h"

#include <utility>

namespace turmericsill::control {

void PoolScheduler::setConfiguration(const fleet::FleetConfiguration& configuration)
{
    configuration_ = configuration;
    for (const jobs::Job& job : follower_.table().openJobs())
        updateJob(job.id);
}

void PoolScheduler::removeJob(jobs::JobId id)
{
    const auto known = poolOfJob_.find(id);
    if (known == poolOfJob_.end())
        return;
    PoolState& pool = pools_[known->second];
    pool.backlog.remove(id);
    pool.isPlanDue = true;
    poolOfJob_.erase(known);
}

// A queue that was removed from the configuration leaves its jobs to the pool that they were accepted for.
void PoolScheduler::updateJob(jobs::JobId id)
{
    const jobs::Job* job = follower_.table().find(id);
    if (!job || job->isFinal())
        return removeJob(id);
    const fleet::Queue* queue = configuration_.findQueue(job->queue);
    const std::string& poolName = queue ? queue->pool : job->pool;
    const auto known = poolOfJob_.find(id);
    if (known != poolOfJob_.end() && known->second != poolName)
        removeJob(id);
    poolOfJob_[id] = poolName;
    PoolState& pool = pools_[poolName];
    pool.backlog.update(*job, queue);
    pool.isPlanDue = true;
}

bool PoolScheduler::isWaiting(jobs::JobId id) const
{
    const auto poolName = poolOfJob_.find(id);
    return poolName != poolOfJob_.end() && pools_.at(poolName->second).backlog.contains(id);
}

void PoolScheduler::updateInstance(scheduling::InstanceView view)
{
    const std::string& name = view.report->incarnation.instance;
    const std::string& poolName = view.report->pool;
    const auto known = poolOfInstance_.find(name);
    if (known != poolOfInstance_.end() && known->second != poolName)
        removeInstance(name);
    poolOfInstance_[name] = poolName;
    PoolState& pool = pools_[poolName];
    pool.instances.update(std::move(view));
    pool.isPlanDue = true;
}

// The room of a pool only shrinks, but its plan is due all the same: it reports the demand that found no room.
void PoolScheduler::removeInstance(const std::string& name)
{
    const auto known = poolOfInstance_.find(name);
    if (known == poolOfInstance_.end())
        return;
    PoolState& pool = pools_[known->second];
    pool.instances.remove(name);
    pool.isPlanDue = true;
    poolOfInstance_.erase(known);
}

void PoolScheduler::planChangedPools(const scheduling::PlanConstraints& constraints, const PlanHandler& onPlan)
{
    const scheduling::PlacementPlanner planner([this](jobs::JobId id) { return follower_.table().find(id); });
    for (auto& [name, pool] : pools_) {
        if (!std::exchange(pool.isPlanDue, false))
            continue;
        const scheduling::PoolPlan plan = planner.plan(pool.instances, pool.backlog, constraints);
        pool.unplaced = plan.unplaced;
        pool.isPlanDue |= !plan.stepsAwaitingTickets.empty();
        onPlan(name, plan);
    }
}

std::map<std::string, jobs::Resources> PoolScheduler::unplacedByPool() const
{
    std::map<std::string, jobs::Resources> result;
    for (const auto& [name, pool] : pools_)
        result.emplace(name, pool.unplaced);
    return result;
}

} // namespace turmericsill::control

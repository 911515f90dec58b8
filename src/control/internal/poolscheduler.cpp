#include "control/internal/poolscheduler.h"

#include "scheduling/placementplanner.h"

#include <algorithm>
#include <utility>

namespace turmericsill::control {

using foundation::milliseconds;

namespace {

    constexpr milliseconds maximumSubmissionAge { 60000 };

    /// Part of a demand that exceeds the free processor time.
    jobs::Resources unservable(const jobs::Resources& demand, std::int64_t freeMilliCores)
    {
        const std::int64_t excess = demand.milliCores - freeMilliCores;
        if (excess <= 0)
            return {};
        return { excess, demand.memoryMb * excess / demand.milliCores,
            demand.accelerators * excess / demand.milliCores };
    }

} // namespace

void PoolScheduler::setConfiguration(const fleet::FleetConfiguration& configuration)
{
    configuration_ = configuration;
    for (const jobs::Job& job : follower_.table().openJobs())
        updateJob(job.id);
}

void PoolScheduler::removeJob(jobs::JobId id)
{
    const auto known = openJobs_.find(id);
    if (known == openJobs_.end())
        return;
    PoolState& pool = pools_[known->second.pool];
    pool.backlog.remove(id);
    if (pool.rackWaits)
        pool.rackWaits->remove(id);
    pool.isPlanDue = true;
    openJobs_.erase(known);
}

// The time of day differs between entries and may jump, so a submission counts as at most that old.
foundation::SteadyTime PoolScheduler::submissionTime(const jobs::Job& job) const
{
    const auto age = clock_.wallNow().time_since_epoch() - job.receivedAt;
    return clock_.now()
        - std::chrono::duration_cast<milliseconds>(
            std::clamp<decltype(age)>(age, milliseconds(0), maximumSubmissionAge));
}

// A queue that was removed from the configuration leaves its jobs to the pool that they were accepted for.
void PoolScheduler::updateJob(jobs::JobId id)
{
    const jobs::Job* job = follower_.table().find(id);
    if (!job || job->isFinal())
        return removeJob(id);
    const fleet::Queue* queue = configuration_.findQueue(job->queue);
    const std::string& poolName = queue ? queue->pool : job->pool;
    const auto known = openJobs_.find(id);
    const foundation::SteadyTime submittedAt
        = known == openJobs_.end() ? submissionTime(*job) : known->second.submittedAt;
    if (known != openJobs_.end() && known->second.pool != poolName)
        removeJob(id);
    openJobs_[id] = { poolName, submittedAt };
    PoolState& pool = pools_[poolName];
    pool.backlog.update(*job, queue, submittedAt);
    if (pool.rackWaits)
        pool.rackWaits->update(*job);
    pool.isPlanDue = true;
}

bool PoolScheduler::isWaiting(jobs::JobId id) const
{
    const auto known = openJobs_.find(id);
    return known != openJobs_.end() && pools_.at(known->second.pool).backlog.contains(id);
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

void PoolScheduler::planChangedPools(scheduling::PlanConstraints constraints, const PlanHandler& onPlan)
{
    const scheduling::PlacementPlanner planner([this](jobs::JobId id) { return follower_.table().find(id); });
    std::size_t placementsLeft = constraints.maximumPlacements;
    beginRackWaits();
    auto poolsLeft = static_cast<std::size_t>(
        std::count_if(pools_.begin(), pools_.end(), [](const auto& pool) { return pool.second.isPlanDue; }));
    for (auto& [name, pool] : pools_) {
        if (!std::exchange(pool.isPlanDue, false))
            continue;
        constraints.maximumPlacements = placementsLeft / poolsLeft--;
        pool.backlog.demoteLateJobs(clock_.now());
        constraints.rackWaits = pool.rackWaits.get();
        const scheduling::PoolPlan plan = planner.plan(pool.instances, pool.backlog, constraints);
        placementsLeft -= std::min(placementsLeft, plan.placements.size());
        pool.unplaced = plan.unplaced;
        pool.unplaced += unservable(plan.deferred, pool.instances.freeMilliCores());
        pool.isPlanDue |= !plan.stepsAwaitingTickets.empty() || plan.deferredTasks > 0;
        onPlan(name, plan);
    }
    reportRackWaits();
}

// A pool whose waits have come to their end is planned, so that the tasks start elsewhere.
void PoolScheduler::beginRackWaits()
{
    if (remoteSlowdown_ <= 1)
        return;
    for (auto& [name, pool] : pools_) {
        if (!pool.rackWaits)
            pool.rackWaits = std::make_unique<scheduling::RackWaits>(
                remoteSlowdown_, [this](const jobs::Job& job) { return timesOf(job); });
        pool.isPlanDue |= pool.rackWaits->isDue(clock_.now());
        if (pool.isPlanDue)
            pool.rackWaits->beginPlan(clock_.now());
    }
}

void PoolScheduler::reportRackWaits()
{
    for (auto& [name, pool] : pools_) {
        if (!pool.rackWaits)
            continue;
        for (const auto& wait : pool.rackWaits->takeEnded())
            waitReporter_.report(name, wait);
    }
}

scheduling::JobTimes PoolScheduler::timesOf(const jobs::Job& job) const
{
    const auto known = openJobs_.find(job.id);
    if (known == openJobs_.end())
        return { clock_.now(), clock_.now() };
    const foundation::SteadyTime submittedAt = known->second.submittedAt;
    return { submittedAt, scheduling::latestStart(job, configuration_.findQueue(job.queue), submittedAt) };
}

std::map<std::string, jobs::Resources> PoolScheduler::unplacedByPool() const
{
    std::map<std::string, jobs::Resources> result;
    for (const auto& [name, pool] : pools_)
        result.emplace(name, pool.unplaced);
    return result;
}

} // namespace turmericsill::control

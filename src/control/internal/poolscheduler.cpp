#include "control/internal/poolscheduler.h"

#include "scheduling/placementplanner.h"

#include <algorithm>
#include <tuple>
#include <unordered_set>
#include <utility>

namespace turmericsill::control {

using foundation::milliseconds;

namespace {

    constexpr milliseconds maximumSubmissionAge { 60000 };
    /// Age from which a job is served although its team is above its share, for example because of long-running tasks.
    /// Exceeds the objectives of short jobs, so that such jobs are few unless the team is starved.
    constexpr milliseconds overdueAge { 10000 };
    /// One overdue job of each team in a pool is served in this time, so that a team whose jobs are all overdue gains
    /// little by it.
    constexpr milliseconds overdueInterval { 1000 };

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
    if (configuration_.teams)
        usage_.setTeams(*configuration_.teams);
    else
        usage_ = {};
    for (auto& [name, pool] : pools_)
        pool.isPlanDue |= !pool.heldByCap.empty();
    for (const jobs::Job& job : follower_.table().openJobs())
        updateJob(job.id);
}

// A queue that was removed from the configuration leaves its jobs to the pool that they were accepted for.
const std::string& PoolScheduler::poolOf(const jobs::Job& job) const
{
    const fleet::Queue* queue = configuration_.findQueue(job.queue);
    return queue ? queue->pool : job.pool;
}

bool PoolScheduler::exceedsCap(const std::string& team) const
{
    const auto found = usage_.teams().find(team);
    if (!configuration_.teams || team.empty() || found == usage_.teams().end())
        return false;
    const auto& [cap, held] = std::tie(found->second.cap, found->second.held);
    return (cap.milliCores > 0 && held.milliCores > cap.milliCores)
        || (cap.memoryMb > 0 && held.memoryMb > cap.memoryMb)
        || (cap.accelerators > 0 && held.accelerators > cap.accelerators);
}

// The runs of a final job count until they have ended.
void PoolScheduler::updateUsage(jobs::JobId id)
{
    if (!configuration_.teams)
        return;
    const jobs::Job* job = follower_.table().find(id);
    const bool hasFallen = job ? usage_.update(*job, poolOf(*job)) : usage_.remove(id);
    if (!hasFallen)
        return;
    for (auto& [name, pool] : pools_)
        pool.isPlanDue |= job ? pool.heldByCap.count(job->team) > 0 : !pool.heldByCap.empty();
}

// A placement whose intent was not recorded must not count any longer.
void PoolScheduler::resynchronize(const scheduling::PoolPlan& plan)
{
    std::unordered_set<jobs::JobId> placed;
    for (const auto& placement : plan.placements) {
        if (placed.insert(placement.task.job).second)
            updateUsage(placement.task.job);
    }
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

void PoolScheduler::updateJob(jobs::JobId id)
{
    updateUsage(id);
    const jobs::Job* job = follower_.table().find(id);
    if (!job || job->isFinal())
        return removeJob(id);
    const fleet::Queue* queue = configuration_.findQueue(job->queue);
    const std::string& poolName = poolOf(*job);
    const auto known = openJobs_.find(id);
    const foundation::SteadyTime submittedAt
        = known == openJobs_.end() ? submissionTime(*job) : known->second.submittedAt;
    if (known != openJobs_.end() && known->second.pool != poolName)
        removeJob(id);
    openJobs_[id] = { poolName, submittedAt };
    PoolState& pool = pools_[poolName];
    pool.backlog.update(*job, queue, submittedAt, configuration_.teams.has_value());
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

std::optional<foundation::SteadyTime> PoolScheduler::overdueBefore(const PoolState& pool) const
{
    const auto now = clock_.now();
    return now - pool.overdueServedAt < overdueInterval ? std::nullopt : std::optional(now - overdueAge);
}

scheduling::PoolPlan PoolScheduler::planPool(
    const std::string& name, PoolState& pool, scheduling::PlanConstraints constraints)
{
    const scheduling::PlacementPlanner planner([this](jobs::JobId id) { return follower_.table().find(id); });
    if (!configuration_.teams) {
        pool.heldByCap.clear();
        return planner.plan(pool.instances, pool.backlog, constraints);
    }
    scheduling::TeamShares teams(usage_, pool.backlog, name, pool.instances.freeMilliCores(), overdueBefore(pool));
    constraints.teams = &teams;
    scheduling::PoolPlan plan = planner.plan(pool.instances, pool.backlog, constraints);
    if (teams.overdueBefore() && !teams.areOverdueJobsWaiting())
        pool.overdueServedAt = clock_.now();
    pool.heldByCap = teams.heldByCap();
    return plan;
}

void PoolScheduler::reportTeams()
{
    const auto now = clock_.now();
    if (!configuration_.teams || !teamReport_.isDue(now))
        return;
    for (const auto& [name, pool] : pools_)
        teamReport_.addPool(name, pool.backlog, pool.instances.freeMilliCores(), pool.heldByCap, usage_);
    teamReport_.write(usage_, now);
}

void PoolScheduler::planChangedPools(scheduling::PlanConstraints constraints, const PlanHandler& onPlan)
{
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
        const scheduling::PoolPlan plan = planPool(name, pool, constraints);
        placementsLeft -= std::min(placementsLeft, plan.placements.size());
        pool.unplaced = plan.unplaced;
        pool.unplaced += unservable(plan.deferred, pool.instances.freeMilliCores());
        pool.isPlanDue |= !plan.stepsAwaitingTickets.empty() || plan.deferredTasks > 0;
        onPlan(name, plan);
        if (configuration_.teams)
            resynchronize(plan);
    }
    reportTeams();
    reportRackWaits();
}

const scheduling::PoolBacklog* PoolScheduler::findBacklog(const std::string& pool) const
{
    const auto found = pools_.find(pool);
    return found == pools_.end() ? nullptr : &found->second.backlog;
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

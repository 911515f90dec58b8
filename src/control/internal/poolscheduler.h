#pragma once

#include "control/internal/teamreport.h"
#include "control/internal/waitreporter.h"
#include "eventlog/jobfollower.h"
#include "fleet/types/fleet.h"
#include "scheduling/instanceindex.h"
#include "scheduling/poolbacklog.h"
#include "scheduling/rackwaits.h"
#include "scheduling/relocationroom.h"
#include "scheduling/teamshares.h"
#include "scheduling/teamusage.h"
#include "scheduling/types/poolview.h"
#include "telemetry/ieventsink.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

namespace turmericsill::control {

/// Keeps the instances and the waiting tasks of every pool up to date by events, and plans the pools in which something
/// has changed. The work of a plan follows what changed, not the number of instances and jobs.
class PoolScheduler {
public:
    using PlanHandler = std::function<void(const std::string& pool, const scheduling::PoolPlan& plan)>;

    /// `remoteSlowdown`: see ControlSettings.
    PoolScheduler(const eventlog::JobFollower& follower, const foundation::IClock& clock, telemetry::IEventSink& events,
        double remoteSlowdown)
        : follower_(follower)
        , clock_(clock)
        , waitReporter_(events)
        , remoteSlowdown_(remoteSlowdown)
        , teamReport_(events)
    {
    }

    PoolScheduler(const PoolScheduler&) = delete;
    PoolScheduler& operator=(const PoolScheduler&) = delete;

    /// Applies a newer configuration and assigns the open jobs to their pools anew.
    void setConfiguration(const fleet::FleetConfiguration& configuration);

    /// Applies a change of a job: its state, or whether its tasks are blocked.
    void updateJob(jobs::JobId id);

    /// Whether a job has tasks that are ready to run and that no run was planned for.
    bool isWaiting(jobs::JobId id) const;

    /// Applies a change of an instance that accepts tasks. The view's report must stay valid until the next update or
    /// removal of the instance, or until the next plan at the latest.
    void updateInstance(scheduling::InstanceView view);

    /// Removes an instance that accepts no tasks.
    void removeInstance(const std::string& name);

    /// Plans the pools that have changed since their latest plan, and those whose steps wait for tickets, were deferred
    /// or have waited long enough for their racks. The pools share PlanConstraints::maximumPlacements. `onPlan` records
    /// the intents in the table of jobs.
    void planChangedPools(scheduling::PlanConstraints constraints, const PlanHandler& onPlan);

    /// Instances of a pool that accept tasks.
    const scheduling::InstanceIndex& instancesOf(const std::string& pool) { return pools_[pool].instances; }

    /// Room of a pool for tasks that are to be relocated. It must not outlive the next change of an instance.
    std::unique_ptr<scheduling::RelocationRoom> relocationRoom(
        const std::string& pool, scheduling::StepTickets tickets, std::set<std::string> excluded, bool awaitsShortTasks)
    {
        return std::make_unique<scheduling::RelocationRoom>(
            pools_[pool].instances, std::move(tickets), std::move(excluded), awaitsShortTasks);
    }

    /// Pool in which the tasks of a job are placed.
    const std::string& poolOf(const jobs::Job& job) const;

    /// Whether a team holds more than its cap.
    bool exceedsCap(const std::string& team) const;

    /// Tasks of a pool that are ready to run, as of the latest change applied; null for a pool without instances and
    /// jobs.
    const scheduling::PoolBacklog* findBacklog(const std::string& pool) const;

    /// Resources requested by the ready tasks of each pool that found no room in the latest plan.
    std::map<std::string, jobs::Resources> unplacedByPool() const;

private:
    struct PoolState {
        scheduling::InstanceIndex instances;
        scheduling::PoolBacklog backlog;
        jobs::Resources unplaced; ///< Result of the latest plan.
        std::unique_ptr<scheduling::RackWaits> rackWaits; ///< Null if tasks do not wait for their racks.
        bool isPlanDue = false;
        std::map<std::string, std::uint64_t> heldByCap; ///< See TeamShares, of the latest plan.
        foundation::SteadyTime overdueServedAt {}; ///< Latest plan that found room for overdue jobs, or had none.
    };

    /// An open job.
    struct OpenJob {
        std::string pool;
        foundation::SteadyTime submittedAt;
    };

    void updateUsage(jobs::JobId id);
    void resynchronize(const scheduling::PoolPlan& plan);
    std::optional<foundation::SteadyTime> overdueBefore(const PoolState& pool) const;
    scheduling::PoolPlan planPool(const std::string& name, PoolState& pool, scheduling::PlanConstraints constraints);
    void reportTeams();
    void removeJob(jobs::JobId id);
    void beginRackWaits();
    void reportRackWaits();
    scheduling::JobTimes timesOf(const jobs::Job& job) const;
    foundation::SteadyTime submissionTime(const jobs::Job& job) const;

    const eventlog::JobFollower& follower_;
    const foundation::IClock& clock_;
    WaitReporter waitReporter_;
    double remoteSlowdown_ = 1;
    fleet::FleetConfiguration configuration_;
    scheduling::TeamUsage usage_; ///< Empty if no teams are configured.
    TeamReport teamReport_;
    std::map<std::string, PoolState> pools_;
    std::unordered_map<jobs::JobId, OpenJob> openJobs_;
    std::unordered_map<std::string, std::string> poolOfInstance_; ///< Key: instance name.
};

} // namespace turmericsill::control

#pragma once

#include "fleet/types/fleet.h"
#include "foundation/iclock.h"
#include "jobs/types/job.h"

#include <boost/container/flat_map.hpp>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace turmericsill::scheduling {

class RackWaits;
class TeamShares;

/// One step of one occurrence of a job.
struct StepId {
    jobs::JobId job = 0;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;

    bool operator<(const StepId& other) const
    {
        return std::tie(job, occurrence, step) < std::tie(other.job, other.occurrence, other.step);
    }
    bool operator==(const StepId& other) const
    {
        return std::tie(job, occurrence, step) == std::tie(other.job, other.occurrence, other.step);
    }
};

inline StepId stepOf(const jobs::TaskId& task) { return { task.job, task.occurrence, task.step }; }

/// Tickets for steps that may run only where the advice service permits. Keys: step, then instance name.
using StepTickets = std::map<StepId, std::map<std::string, std::string>>;

/// Resources that a run is expected to release, by its start and the estimated duration of its task.
struct ExpectedRelease {
    foundation::SteadyTime at;
    jobs::Resources resources;
};

/// An instance that may get new tasks.
struct InstanceView {
    const fleet::InstanceReport* report = nullptr;
    /// Capacity that no run holds, including runs that are being stopped. Negative while the runs exceed a capacity
    /// that has shrunk.
    jobs::Resources free;
    jobs::Resources shortTasks; ///< Held by the runs of short tasks, which end by themselves.
    boost::container::flat_map<StepId, std::uint32_t> tasksByStep; ///< Number of tasks on the instance.
    std::uint32_t longRunningTasks = 0;
    std::uint32_t latencySensitiveTasks = 0; ///< Tasks with a latency target (StepSpec::latencyTarget).
    std::uint32_t bestEffortTasks = 0; ///< Tasks with StepSpec::isBestEffort, which slow latency-sensitive tasks down.
    bool isOnProbation = false; ///< Gets one task at a time until a task succeeds.
    bool isObserved = false; ///< Gets no tasks, because it has just started one that may crash its instances.
    /// Of the runs whose start is known, in no order. Empty unless PlanConstraints::rackWaits is used.
    std::vector<ExpectedRelease> releases;
};

/// Restrictions on the placements of one plan.
struct PlanConstraints {
    const std::set<jobs::TaskId>* blockedTasks = nullptr; ///< Tasks that must not be placed yet; may be null.
    const StepTickets* tickets = nullptr; ///< Valid tickets; null if there are none.
    /// Jobs of which a task that may crash its instances has just started; null if there are none. No other such task
    /// of theirs starts meanwhile.
    const std::set<jobs::JobId>* observedJobs = nullptr;
    /// Number of placements after which no further step is tried.
    std::size_t maximumPlacements = std::numeric_limits<std::size_t>::max();
    /// Steps that wait for slots on their racks; null if tasks start on another rack at once.
    RackWaits* rackWaits = nullptr;
    TeamShares* teams = nullptr; ///< Caps and shares of the teams; null if none are configured.
};

/// The next run of a task and the instance chosen for it.
struct Placement {
    jobs::TaskId task;
    std::uint32_t run = 0;
    jobs::InstanceIncarnation incarnation;
    jobs::Resources resources; ///< Resources of the instance that the run holds.
    std::string ticket; ///< Ticket from the advice service; empty if none is required.
};

/// Runs to start now, and the demand that found no room.
struct PoolPlan {
    std::vector<Placement> placements;
    jobs::Resources unplaced; ///< Resources requested by all ready tasks that found no room.
    std::uint64_t deferredTasks = 0; ///< Number of ready tasks of the steps that were not tried.
    jobs::Resources deferred; ///< Resources that these tasks request.
    std::vector<StepId> stepsAwaitingTickets; ///< Steps with tasks that were not placed and require a ticket.
};

} // namespace turmericsill::scheduling

#pragma once

#include "fleet/types/fleet.h"
#include "jobs/types/job.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace turmericsill::scheduling {

/// One step of one occurrence of a job.
struct StepId {
    jobs::JobId job = 0;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;

    bool operator<(const StepId& other) const
    {
        return std::tie(job, occurrence, step) < std::tie(other.job, other.occurrence, other.step);
    }
};

inline StepId stepOf(const jobs::TaskId& task) { return { task.job, task.occurrence, task.step }; }

/// Tickets of steps that may run only where the advice service allows it, by step and instance.
using TicketsOfSteps = std::map<StepId, std::map<std::string, std::string>>;

/// An instance that may be given work.
struct InstanceView {
    const fleet::InstanceReport* report = nullptr;
    jobs::Resources free; ///< What neither runs nor their stops hold.
    std::map<StepId, std::uint32_t> tasksOfStep;
    std::uint32_t longRunningTasks = 0;
    std::uint32_t servingTasks = 0; ///< With a bound on their own latency.
    std::uint32_t fillingTasks = 0; ///< That use processor time others leave, and disturb those that serve.
    bool isOnProbation = false; ///< Failed lately; gets one task at a time until one is done.
};

/// A pool at one moment.
struct PoolView {
    std::vector<InstanceView> instances;
    std::vector<const jobs::Job*> jobs; ///< Open jobs of the pool's queues.
    const std::set<jobs::TaskId>* blocked = nullptr; ///< Tasks that must wait for other reasons.
    const TicketsOfSteps* tickets = nullptr;
};

/// Where a task is to run next.
struct Placement {
    jobs::TaskId task;
    std::uint32_t run = 0;
    jobs::InstanceLife life;
    jobs::Resources resources; ///< That the run takes from the instance.
    std::string ticket; ///< Of the advice service; empty: none is needed.
};

/// What to start now, and what found no room.
struct PoolPlan {
    std::vector<Placement> placements;
    jobs::Resources unplaced; ///< Sum over the tasks whose turn has come.
    std::vector<StepId> wantAdvice; ///< Steps with tasks that found no instance with a ticket.
};

} // namespace turmericsill::scheduling

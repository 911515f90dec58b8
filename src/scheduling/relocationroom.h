#pragma once

#include "scheduling/instanceindex.h"
#include "scheduling/types/poolview.h"

#include <set>
#include <string>
#include <vector>

namespace turmericsill::scheduling {

/// Looks for places for tasks that run and are to be relocated within a pool, by the criteria by which the planner
/// places them once they have been stopped. A task that has found a place takes its room from those that follow. The
/// index is as before when the object is destroyed; it must not change in between.
class RelocationRoom {
public:
    /// Nothing is relocated to the instances in `excluded`. `awaitsShortTasks`: whether the room that short tasks hold
    /// counts, since they end by themselves.
    RelocationRoom(
        InstanceIndex& instances, StepTickets tickets, std::set<std::string> excluded, bool awaitsShortTasks);
    ~RelocationRoom();

    RelocationRoom(const RelocationRoom&) = delete;
    RelocationRoom& operator=(const RelocationRoom&) = delete;

    /// Reserves a place for a task; returns whether there is one. `isTicketRequired`: whether the queue has advice.
    bool reserve(const jobs::Job& job, const jobs::TaskId& task, bool isTicketRequired);

private:
    struct Reservation {
        IndexedInstance* instance = nullptr;
        StepId step;
        const jobs::StepSpec* spec = nullptr;
    };

    InstanceIndex& instances_;
    StepTickets tickets_;
    std::set<std::string> excluded_; ///< Names of instances.
    bool awaitsShortTasks_;
    std::vector<Reservation> reservations_;
};

} // namespace turmericsill::scheduling

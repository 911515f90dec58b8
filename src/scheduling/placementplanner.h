#pragma once

#include "scheduling/instanceindex.h"
#include "scheduling/poolbacklog.h"
#include "scheduling/types/poolview.h"

#include <functional>

namespace turmericsill::scheduling {

/// Decides which waiting tasks of a pool start on which instances. Performs no I/O and does not read the clock.
///
/// Jobs are served in the order of the backlog. A task is placed on the instance with the least free processor time
/// that fits, on the rack of its data if possible. Long-running tasks share few instances, so that the others stay free
/// to be moved or maintained, but the tasks of one step are spread over at least five instances where there is room, so
/// that the loss of an instance stops at most a fifth of them.
///
/// A surge of jobs that the pool cannot serve costs one comparison for each waiting step: room only shrinks during a
/// plan, so a need that found none is not tried again for an equal or larger need.
class PlacementPlanner {
public:
    /// Returns a job of the backlog, or null if it is unknown by now.
    using JobLookup = std::function<const jobs::Job*(jobs::JobId)>;

    explicit PlacementPlanner(JobLookup findJob)
        : findJob_(std::move(findJob))
    {
    }

    /// Plans placements and adds their tasks to the instances of the index.
    PoolPlan plan(InstanceIndex& instances, const PoolBacklog& backlog, const PlanConstraints& constraints) const;

private:
    JobLookup findJob_;
};

} // namespace turmericsill::scheduling

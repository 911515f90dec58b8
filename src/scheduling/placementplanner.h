#pragma once

#include "fleet/types/fleet.h"
#include "scheduling/types/poolview.h"

namespace turmericsill::scheduling {

/// Decides which pending tasks of a pool start on which instances. Performs no I/O and does not read the clock.
///
/// Jobs are ordered by the priority of their queue, then long-running jobs first, then by the least remaining work, so
/// that a surge delays few large jobs rather than many small ones. A task is placed on the instance with the least free
/// processor time that fits, on the rack of its data if possible. Long-running tasks share few instances, so that the
/// others stay free to be moved or maintained, but the tasks of one step are spread over at least five instances where
/// there is room, so that the loss of an instance stops at most a fifth of them.
class PlacementPlanner {
public:
    explicit PlacementPlanner(const fleet::FleetConfiguration& configuration);

    /// Plans placements and subtracts their resources from the free resources in `view`.
    PoolPlan plan(PoolView& view) const;

private:
    struct Candidate;

    std::vector<Candidate> orderedCandidates(const PoolView& view) const;

    const fleet::FleetConfiguration& configuration_;
};

/// Adds a task of the step to the task counts of the instance.
void countTask(InstanceView& instance, const jobs::StepSpec& step);

/// Resources that a task of the step reserves on an instance. Best-effort tasks (StepSpec::isBestEffort) reserve no
/// processor time.
jobs::Resources resourceRequest(const jobs::StepSpec& step);

/// Estimated work of the tasks of a job that are not done, in core-seconds.
double remainingCoreSeconds(const jobs::Job& job);

} // namespace turmericsill::scheduling

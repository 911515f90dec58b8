#pragma once

#include "fleet/types/fleet.h"
#include "scheduling/types/poolview.h"

namespace turmericsill::scheduling {

/// Decides which waiting tasks of a pool start where. Takes neither time nor I/O.
///
/// Order: priority of the queue, then long-running tasks, then the job with the least work left, so that a surge
/// delays few large jobs rather than many small ones. A task goes to the instance that it fills best, on its data's
/// rack where it can; long-running tasks share few instances, a step's tasks at least three, so that the other
/// instances stay free to be moved or maintained and the loss of one takes a fifth of a step.
class PlacementPlanner {
public:
    explicit PlacementPlanner(const fleet::FleetConfiguration& configuration);

    /// Plans on the view and takes what it places from the view's free resources.
    PoolPlan plan(PoolView& view) const;

private:
    struct Candidate;

    std::vector<Candidate> order(const PoolView& view) const;

    const fleet::FleetConfiguration& configuration_;
};

/// Counts a task of the step among those of the instance by what it does to others.
void noteTask(InstanceView& instance, const jobs::StepSpec& step);

/// What a task of the step takes from an instance. Tasks that fill unused processor time take memory only.
jobs::Resources reservedBy(const jobs::StepSpec& step);

/// Work of a job that is not done, in core-seconds, by its estimates.
double remainingWork(const jobs::Job& job);

} // namespace turmericsill::scheduling

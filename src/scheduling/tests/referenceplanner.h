#pragma once

#include "fleet/types/fleet.h"
#include "scheduling/types/poolview.h"

#include <map>
#include <set>
#include <vector>

namespace turmericsill::scheduling::tests {

/// State of a pool at one moment.
struct ReferencePoolView {
    std::vector<InstanceView> instances;
    std::vector<const jobs::Job*> jobs; ///< Open jobs of the pool's queues.
    const std::set<jobs::TaskId>* blockedTasks = nullptr; ///< Tasks that must not be placed yet; may be null.
    const StepTickets* tickets = nullptr; ///< Valid tickets; null if there are none.
    std::map<jobs::JobId, foundation::SteadyTime> submittedAt; ///< The start of the clock for jobs that are not named.
    foundation::SteadyTime now {};
};

/// Placement by comparing every instance for every waiting task. Defines the placements that PlacementPlanner must find
/// with less work.
class ReferencePlanner {
public:
    explicit ReferencePlanner(const fleet::FleetConfiguration& configuration);

    /// Plans placements and subtracts their resources from the free resources in `view`.
    PoolPlan plan(ReferencePoolView& view) const;

private:
    struct Candidate;

    std::vector<Candidate> orderedCandidates(const ReferencePoolView& view) const;

    const fleet::FleetConfiguration& configuration_;
};

} // namespace turmericsill::scheduling::tests

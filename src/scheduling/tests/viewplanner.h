#pragma once

#include "scheduling/tests/referenceplanner.h"

namespace turmericsill::scheduling::tests {

/// Plans a pool with PlacementPlanner and adds the placed tasks to the instances of the view.
PoolPlan planView(const fleet::FleetConfiguration& configuration, ReferencePoolView& view);

} // namespace turmericsill::scheduling::tests

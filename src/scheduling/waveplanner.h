#pragma once

#include "scheduling/types/fleetview.h"

#include <functional>
#include <string>
#include <vector>

namespace turmericsill::scheduling {

/// Decides which machines of a wave are evacuated for maintenance next, and returns their names.
/// Standby and idle machines go first, as many at a time as the wave permits, because they cost no capacity. Busy
/// machines are spread over the remaining time, so that the wave takes as little capacity at a time as possible.
/// `canEvacuate` tells whether a machine can be evacuated beside those chosen before; it is passed over if not.
std::vector<std::string> planMaintenance(
    const WaveView& wave,
    const std::function<bool(const MaintenanceCandidate&)>& canEvacuate
    = [](const MaintenanceCandidate&) { return true; });

} // namespace turmericsill::scheduling

#pragma once

#include "scheduling/types/fleetview.h"

#include <string>
#include <vector>

namespace turmericsill::scheduling {

/// Decides which machines of a wave are taken out of service next.
/// Machines that are off or idle cost nothing and go first, as many as the wave allows. Busy ones are spread over the
/// time that is left, so that a wave takes no more capacity at a time than it must.
std::vector<std::string> planUpkeep(const WaveView& wave);

} // namespace turmericsill::scheduling

#pragma once

#include "callers/types/dispatcheroptions.h"
#include "fleetlog/types/stateupdate.h"
#include "maintenance/types/drainreport.h"

#include <string>

namespace turmericsill::operators {

/// What the other duties told the operators' duty last.
struct StatusSources {
    fleetlog::StateUpdate log;
    callers::DispatcherCounters callers;
    maintenance::DrainReports drains;
    std::string notReadyReasons; ///< One a line; empty when ready.
};

} // namespace turmericsill::operators

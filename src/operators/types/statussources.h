#pragma once

#include "callers/types/dispatcheroptions.h"
#include "fleetlog/types/stateupdate.h"
#include "maintenance/types/drainreport.h"

#include <string>

namespace turmericsill::operators {

/// Latest information from the other modules, for status reports.
struct StatusSources {
    fleetlog::StateUpdate log;
    callers::DispatcherCounters callers;
    maintenance::DrainReports drains;
    std::string notReadyReasons; ///< One reason per line; empty when the entry is ready.
};

} // namespace turmericsill::operators

#pragma once

#include "control/internal/instancesession.h"
#include "fleet/iinstancecontrol.h"
#include "jobs/types/records.h"

#include <string>

namespace turmericsill::control {

/// Names of run ends, start results and bounds of leases in events; see docs/LOGGING.md.
std::string toText(jobs::RunOutcome outcome);
std::string toText(fleet::StartResult result);
std::string toText(LeaseBound bound);

} // namespace turmericsill::control

#pragma once

#include "fleet/iinstancecontrol.h"
#include "jobs/types/records.h"

#include <string>

namespace turmericsill::control {

/// Names of run ends and start results in events; see docs/LOGGING.md.
std::string toText(jobs::RunOutcome outcome);
std::string toText(fleet::StartResult result);

} // namespace turmericsill::control

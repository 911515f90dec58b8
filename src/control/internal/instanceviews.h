#pragma once

#include "control/internal/instancesession.h"
#include "jobs/jobtable.h"
#include "scheduling/types/poolview.h"

namespace turmericsill::control {

/// The instance of a session with the tasks of its runs, as the scheduler sees it. `remoteSlowdown`: see
/// ControlSettings; above 1, the view contains the expected ends of the runs. Does not set what the health of the
/// instance and the observation of its tasks determine.
scheduling::InstanceView viewInstance(
    const InstanceSession& session, const jobs::JobTable& table, double remoteSlowdown);

} // namespace turmericsill::control

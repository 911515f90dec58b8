#pragma once

#include "fleetstate/types/fleetstate.h"
#include "foundation/iclock.h"

namespace turmericsill::fleetlog {

/// Update that the log module publishes after each read, whether the read succeeded or not.
struct StateUpdate {
    fleetstate::FleetStatePtr state;
    foundation::SteadyTime confirmedAt {}; ///< Time at which the state was known to include the whole log.
    foundation::SteadyTime requestedAt {}; ///< Time at which the read that led to this update was sent.
    bool logReachable = false; ///< The last read succeeded.
    bool caughtUp = false; ///< The tail of the log was reached at least once since the start.
    std::string haltReason; ///< Why no further records can be applied; empty while they can.
};

} // namespace turmericsill::fleetlog

#pragma once

#include "fleetstate/types/fleetstate.h"
#include "foundation/iclock.h"

namespace turmericsill::fleetlog {

/// What the log duty tells the others after each read, whether it succeeded or not.
struct StateUpdate {
    fleetstate::FleetStatePtr state;
    foundation::SteadyTime confirmedAt {}; ///< The state was the log's tail at this time or later.
    foundation::SteadyTime requestedAt {}; ///< When the read that led to this update was sent.
    bool logReachable = false;
    bool caughtUp = false; ///< The tail was reached at least once since the start.
    std::string haltReason; ///< Why the fold cannot go on; empty while it can.
};

} // namespace turmericsill::fleetlog

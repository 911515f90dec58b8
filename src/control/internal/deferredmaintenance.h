#pragma once

#include "control/internal/evacuationplanner.h"
#include "foundation/iclock.h"
#include "telemetry/ieventsink.h"

#include <cstdint>
#include <map>
#include <string>

namespace turmericsill::control {

/// The machines of waves that cannot be evacuated for now. They stay in service and are tried again.
class DeferredMaintenance {
public:
    DeferredMaintenance(const foundation::IClock& clock, telemetry::IEventSink& events)
        : clock_(clock)
        , events_(events)
    {
    }

    /// Whether a machine may be tried again by now. A machine that is not deferred may always be.
    bool isRetryDue(const std::string& machine) const;

    /// Defers the maintenance of a machine, which is tried again after `delay`.
    void defer(const std::string& machine, std::uint64_t wave, const BlockedEvacuation& blocked, milliseconds delay);

    /// Resources requested by the tasks of a deferred machine that have no place in their pool: of each pool the
    /// machine with the most of them.
    std::map<std::string, jobs::Resources> unplacedByPool() const;

    /// Ends the deferral of a machine, if it is deferred: it is being evacuated, or it has left the fleet.
    void end(const std::string& machine);

private:
    struct Deferral {
        std::uint64_t wave = 0; ///< As reported, as is the next one.
        EvacuationObstacle obstacle = EvacuationObstacle::NoPlace;
        foundation::SteadyTime since;
        foundation::SteadyTime retryAt;
        foundation::SteadyTime reportedAt;
        std::string pool; ///< Pool of `unplaced`.
        jobs::Resources unplaced;
    };

    const foundation::IClock& clock_;
    telemetry::IEventSink& events_;
    std::map<std::string, Deferral> deferrals_; ///< Key: machine name.
};

} // namespace turmericsill::control

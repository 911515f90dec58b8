#pragma once

#include "foundation/iclock.h"

#include <optional>

namespace turmericsill::callers {

/// Detects that this process was paused. After a pause the fleet state counts as unconfirmed until the log has been
/// read again, because it may have changed during the pause.
class PauseDetector {
public:
    explicit PauseDetector(foundation::SteadyTime now)
        : lastTickAt_(now)
    {
    }

    /// Called by a periodic timer of the module.
    void onTick(foundation::SteadyTime now);

    /// Called when a log read that was sent at `requestedAt` has ended, whether or not it succeeded.
    /// Returns whether this read confirms the state after a pause.
    bool onLogRead(foundation::SteadyTime requestedAt);

    /// Whether the process was paused and the log has not been read since.
    bool isStateUnconfirmed(foundation::SteadyTime now) const;

private:
    foundation::SteadyTime lastTickAt_;
    std::optional<foundation::SteadyTime> pauseDetectedAt_;
};

} // namespace turmericsill::callers

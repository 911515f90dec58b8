#pragma once

#include "foundation/iclock.h"

#include <optional>

namespace turmericsill::callers {

/// Notices that this process was paused, and holds work back until the log was asked again:
/// what the process knew before the pause may have changed meanwhile.
class PauseGuard {
public:
    explicit PauseGuard(foundation::SteadyTime now)
        : lastAlive_(now)
    {
    }

    /// Called regularly by the duty's timer.
    void noteAlive(foundation::SteadyTime now);

    /// A read of the log that was sent at `requestedAt` has ended, with or without success.
    /// Returns whether work was held back until now.
    bool onLogRead(foundation::SteadyTime requestedAt);

    bool isHolding(foundation::SteadyTime now) const;

private:
    foundation::SteadyTime lastAlive_;
    std::optional<foundation::SteadyTime> resumedAt_;
};

} // namespace turmericsill::callers

#include "callers/pauseguard.h"

namespace turmericsill::callers {

using foundation::SteadyTime;

namespace {

    /// A longer gap between two timer ticks is a pause.
    constexpr foundation::milliseconds pauseLimit { 1000 };

} // namespace

void PauseGuard::noteAlive(SteadyTime now)
{
    if (now - lastAlive_ > pauseLimit)
        resumedAt_ = now;
    lastAlive_ = now;
}

bool PauseGuard::onLogRead(SteadyTime requestedAt)
{
    if (!resumedAt_ || requestedAt < *resumedAt_)
        return false;
    resumedAt_.reset();
    return true;
}

bool PauseGuard::isHolding(SteadyTime now) const { return resumedAt_ || now - lastAlive_ > pauseLimit; }

} // namespace turmericsill::callers

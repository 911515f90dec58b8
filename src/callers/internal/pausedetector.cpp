#include "callers/pausedetector.h"

namespace turmericsill::callers {

using foundation::SteadyTime;

namespace {

    /// A longer interval between two timer ticks counts as a pause of the process.
    constexpr foundation::milliseconds maximumTickGap { 1000 };

} // namespace

void PauseDetector::onTick(SteadyTime now)
{
    if (now - lastTickAt_ > maximumTickGap)
        pauseDetectedAt_ = now;
    lastTickAt_ = now;
}

bool PauseDetector::onLogRead(SteadyTime requestedAt)
{
    if (!pauseDetectedAt_ || requestedAt < *pauseDetectedAt_)
        return false;
    pauseDetectedAt_.reset();
    return true;
}

bool PauseDetector::isStateUnconfirmed(SteadyTime now) const
{
    return pauseDetectedAt_ || now - lastTickAt_ > maximumTickGap;
}

} // namespace turmericsill::callers

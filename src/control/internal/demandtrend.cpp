#include "control/internal/demandtrend.h"

#include <chrono>

namespace turmericsill::control {

namespace {

    constexpr double trendWindowSeconds = 0.5; ///< Smoothing time of a pool's demand: ten samples.

} // namespace

double DemandTrend::update(double milliCores, foundation::SteadyTime now)
{
    const double elapsed = std::chrono::duration<double>(now - sampledAt_).count();
    if (elapsed > trendWindowSeconds) {
        growthPerSecond_ = 0;
    } else if (elapsed > 0) {
        const double weight = elapsed / trendWindowSeconds;
        growthPerSecond_ += weight * ((milliCores - milliCores_) / elapsed - growthPerSecond_);
    }
    milliCores_ = milliCores;
    sampledAt_ = now;
    return growthPerSecond_;
}

} // namespace turmericsill::control

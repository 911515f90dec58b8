#pragma once

#include "foundation/iclock.h"

namespace turmericsill::control {

/// Processor demand of a pool over time.
class DemandTrend {
public:
    /// Adds a sample in thousandths of a core. Returns the smoothed growth in thousandths of a core per second.
    double update(double milliCores, foundation::SteadyTime now);

private:
    double milliCores_ = 0;
    double growthPerSecond_ = 0;
    foundation::SteadyTime sampledAt_ {};
};

} // namespace turmericsill::control

#pragma once

#include "foundation/iclock.h"

namespace turmericsill::control {

/// Limits the leases that a controller grants.
class ILeaseLimit {
public:
    virtual ~ILeaseLimit() = default;

    /// Time by which every lease that is granted now must have expired.
    virtual foundation::SteadyTime leaseLimit() const = 0;
};

} // namespace turmericsill::control

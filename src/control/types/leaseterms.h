#pragma once

#include "foundation/iclock.h"

namespace turmericsill::control {

using foundation::milliseconds;

/// How long instances may work without hearing from the controller.
struct LeaseTerms {
    /// Longer than a change of controller takes (about 2 s), short enough that a lost instance's tasks restart soon.
    milliseconds length { 5000 };
    milliseconds startLength { 3000 }; ///< Of an order to start; a renewal follows once it is answered.
    milliseconds renewWait { 1000 }; ///< How long a renewal waits for an end; a fifth of the lease.
    milliseconds idleRenewInterval { 8000 }; ///< Keeps the estimate of an idle instance's clock within 0.2 s.
    double slowestClock = 0.98; ///< Instances' clocks may be this slow; the platform's bound.
    /// Without the log for this long, a controller renews no more: another one may be in charge.
    milliseconds outageLimit { 12000 };
    milliseconds longestLease { 10000 }; ///< The platform shortens longer ones.
};

} // namespace turmericsill::control

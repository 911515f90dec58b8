#pragma once

#include "foundation/iclock.h"

#include <chrono>

namespace turmericsill::control {

using foundation::milliseconds;

/// Durations of instance leases. An instance kills everything it runs when its lease expires.
struct LeaseTerms {
    /// Time after the latest confirmation of a controller's control by which every lease that it has granted expires.
    /// It must outlast a change of controller (about 2 s) and be short enough that the tasks of a lost instance restart
    /// soon.
    milliseconds duration { 5000 };
    /// Duration of the lease that a start order grants; a renewal follows its answer.
    milliseconds startDuration { 3000 };
    /// Long-poll time of a renewal that waits for a run to end; a fifth of the lease.
    milliseconds renewalWait { 1000 };
    milliseconds idleRenewInterval { 8000 }; ///< Keeps the clock estimate of an idle instance within 0.2 s.
    double slowestClockRate = 0.98; ///< Lowest rate of an instance clock that the platform allows.
    /// A controller that has not reached the log for this long extends no leases, whether or not its witnesses agree.
    milliseconds logOutageLimit { 12000 };
    milliseconds maximumLease { 10000 }; ///< The platform shortens leases that are longer.
    milliseconds expiryMargin { 60 }; ///< Time an instance takes to kill its runs after the end of its lease.

    milliseconds callTimeout { 300 }; ///< A call that is under way reaches its instance within this time or not at all.

    /// Time by which every run on an instance has ended, whatever lease end the calls name that are under way.
    milliseconds longestRunTime() const
    {
        const std::chrono::duration<double, std::milli> lease = maximumLease;
        return callTimeout + std::chrono::ceil<milliseconds>(lease / slowestClockRate) + expiryMargin;
    }
};

} // namespace turmericsill::control

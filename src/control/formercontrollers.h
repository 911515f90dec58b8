#pragma once

#include "control/ipeercontrol.h"
#include "control/types/leaseterms.h"
#include "foundation/iclock.h"
#include "foundation/itimerqueue.h"
#include "jobs/types/records.h"
#include "telemetry/ieventsink.h"

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace turmericsill::control {

/// Determines when every former controller has stopped renewing leases.
///
/// A former controller that cannot reach the log keeps renewing until LeaseTerms::logOutageLimit. It has stopped
/// earlier if its process has ended or it answers that it is no longer the controller, so it is queried until it
/// answers or the limit has passed.
class FormerControllers {
public:
    FormerControllers(IPeerControl& peers, foundation::IClock& clock, foundation::ITimerQueue& timers,
        telemetry::IEventSink& events, const LeaseTerms& leaseTerms);
    ~FormerControllers();

    FormerControllers(const FormerControllers&) = delete;
    FormerControllers& operator=(const FormerControllers&) = delete;

    /// Queries the entries of those claims that may still be renewing leases. The last claim is this entry's own.
    void begin(const std::deque<jobs::ControlClaimed>& claims);

    /// Time by which every lease granted by a former controller has expired.
    foundation::SteadyTime leasesExpiredAt() const;

private:
    struct FormerController {
        jobs::ControlClaimed claim;
        foundation::SteadyTime stoppedBy; ///< Latest time at which it stops renewing leases.
        bool isStopConfirmed = false; ///< Whether it is known to have stopped.
    };

    foundation::SteadyTime leasesExpiredAfter(foundation::SteadyTime stoppedBy) const;
    void report(const FormerController& former) const;
    void queryAll();

    IPeerControl& peers_;
    foundation::IClock& clock_;
    foundation::ITimerQueue& timers_;
    telemetry::IEventSink& events_;
    LeaseTerms leaseTerms_;
    std::vector<FormerController> controllers_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace turmericsill::control

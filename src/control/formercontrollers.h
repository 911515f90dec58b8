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

/// Finds out when former controllers surely have stopped renewing leases.
///
/// A former controller that cannot reach the log goes on renewing until the outage limit. It has stopped earlier if
/// its process has ended or it says that it no longer controls; it is asked until it answers or the limit has passed.
class FormerControllers {
public:
    FormerControllers(IPeerControl& peers, foundation::IClock& clock, foundation::ITimerQueue& timers,
        telemetry::IEventSink& events, const LeaseTerms& terms);
    ~FormerControllers();

    FormerControllers(const FormerControllers&) = delete;
    FormerControllers& operator=(const FormerControllers&) = delete;

    /// Takes the claims up to this entry's own, the last one, and asks those that may still renew.
    void begin(const std::deque<jobs::Claimed>& claims);

    /// From when on no lease of a former controller can last.
    foundation::SteadyTime leasesOverAt() const;

private:
    struct Former {
        jobs::Claimed claim;
        foundation::SteadyTime stoppedAt; ///< At the latest.
        bool isKnown = false;
    };

    void askAll();

    IPeerControl& peers_;
    foundation::IClock& clock_;
    foundation::ITimerQueue& timers_;
    telemetry::IEventSink& events_;
    LeaseTerms terms_;
    std::vector<Former> former_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace turmericsill::control

#pragma once

#include "control/ipeercontrol.h"
#include "control/types/leaseterms.h"
#include "eventlog/jobfollower.h"
#include "foundation/iclock.h"
#include "foundation/itimerqueue.h"
#include "jobs/types/records.h"
#include "telemetry/ieventsink.h"

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace turmericsill::control {

/// Determines when every lease granted by a former controller has expired, without having to reach these controllers.
///
/// Each lease ends at most LeaseTerms::duration after the latest time as of which the control of the one that granted
/// it was confirmed, see LeaseAuthority. The log does not confirm it once it holds a later claim. The witnesses do not
/// confirm it either once one of them has read or made a later claim: this entry, another controller since, or one that
/// answers so. If no witness is known to have, LeaseTerms::logOutageLimit bounds the time.
class FormerControllers {
public:
    FormerControllers(IPeerControl& peers, foundation::IClock& clock, foundation::ITimerQueue& timers,
        telemetry::IEventSink& events, const LeaseTerms& leaseTerms);
    ~FormerControllers();

    FormerControllers(const FormerControllers&) = delete;
    FormerControllers& operator=(const FormerControllers&) = delete;

    /// Evaluates the claims that `follower` has read, the last of which is this entry's own, and queries the entries of
    /// those whose leases are not bounded by them.
    void begin(const eventlog::JobFollower& follower);

    /// Time by which every lease granted by a former controller has expired.
    foundation::SteadyTime leasesExpiredAt() const;

private:
    struct FormerController {
        jobs::ControlClaimed claim;
        foundation::SteadyTime confirmedUntil; ///< Latest time as of which its control may be confirmed.
        bool isBounded = false; ///< Whether the time follows from a witness, or from the former controller itself.
        std::string evidence; ///< What the time follows from.
    };

    foundation::SteadyTime leasesExpiredAt(const FormerController& former) const;
    FormerController evaluate(const eventlog::JobFollower& follower, std::size_t index) const;
    void queryAll();
    void query(std::size_t index, const std::string& entry, const std::string& address);
    void onAnswer(FormerController& former, const std::string& entry, const PeerControlState& state);
    void report(const FormerController& former) const;

    IPeerControl& peers_;
    foundation::IClock& clock_;
    foundation::ITimerQueue& timers_;
    telemetry::IEventSink& events_;
    LeaseTerms leaseTerms_;
    std::vector<FormerController> controllers_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace turmericsill::control

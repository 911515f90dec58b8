#pragma once

#include "foundation/iclock.h"

#include <cstdint>

namespace turmericsill::callers {

/// Outlier detection for one endpoint. Consecutive failures eject it for a time that grows with each repeated
/// ejection; afterwards one trial request at a time decides whether it is used again.
class EndpointHealth {
public:
    /// Called after a complete response that is not a server error.
    void onSuccess();

    /// Called after a failed connection, an incomplete or overdue response, or a server error.
    void onFailure(foundation::SteadyTime now);

    /// Called when a trial request is started.
    void onTrialStarted() { trialInProgress_ = true; }

    /// Called when a request ends without evidence for or against the endpoint's health.
    void onTrialEnded() { trialInProgress_ = false; }

    /// Whether a request may be sent to the endpoint now.
    bool canReceive(foundation::SteadyTime now) const;

    /// Whether the endpoint is ejected, so that its next request is a trial.
    bool isEjected() const { return ejected_; }

private:
    std::uint32_t consecutiveFailures_ = 0;
    std::uint32_t ejections_ = 0;
    bool ejected_ = false;
    bool trialInProgress_ = false;
    foundation::SteadyTime nextTrialAt_ {};
};

} // namespace turmericsill::callers

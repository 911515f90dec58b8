#pragma once

#include "foundation/iclock.h"

#include <cstdint>

namespace turmericsill::callers {

/// What an endpoint's answers say about it: ejected after failures, tried again with one request at a time.
class EndpointHealth {
public:
    /// A whole answer that is no server error.
    void onSuccess();

    /// A failed connection, a broken or overdue answer, or a server error.
    void onFailure(foundation::SteadyTime now);

    /// A trial request was started, or has ended without saying anything about the endpoint.
    void onTrialStarted() { trialInProgress_ = true; }
    void onTrialEnded() { trialInProgress_ = false; }

    /// Whether requests may go to the endpoint now.
    bool mayReceive(foundation::SteadyTime now) const;

    /// Whether the next request is a trial after an ejection.
    bool isOnTrial() const { return ejected_; }

private:
    std::uint32_t consecutiveFailures_ = 0;
    std::uint32_t ejections_ = 0;
    bool ejected_ = false;
    bool trialInProgress_ = false;
    foundation::SteadyTime retryAt_ {};
};

} // namespace turmericsill::callers

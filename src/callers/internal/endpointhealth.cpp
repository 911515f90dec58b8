#include "callers/endpointhealth.h"

#include <algorithm>

namespace turmericsill::callers {

namespace {

    constexpr std::uint32_t ejectionThreshold = 3; ///< Consecutive failures that eject an endpoint.
    constexpr foundation::milliseconds baseEjectionTime {
        500
    }; ///< Duration of a first ejection; doubled for each repetition.
    constexpr std::uint32_t maximumBackoffDoublings = 6;

} // namespace

void EndpointHealth::onSuccess()
{
    consecutiveFailures_ = 0;
    trialInProgress_ = false;
    if (ejected_)
        ejected_ = false;
    else if (ejections_ > 0)
        --ejections_;
}

void EndpointHealth::onFailure(foundation::SteadyTime now)
{
    trialInProgress_ = false;
    ++consecutiveFailures_;
    if (!ejected_ && consecutiveFailures_ < ejectionThreshold)
        return;
    ejected_ = true;
    nextTrialAt_ = now + baseEjectionTime * (1u << std::min(ejections_, maximumBackoffDoublings));
    ++ejections_;
}

bool EndpointHealth::canReceive(foundation::SteadyTime now) const
{
    if (!ejected_)
        return true;
    return !trialInProgress_ && now >= nextTrialAt_;
}

} // namespace turmericsill::callers

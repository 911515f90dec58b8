#include "callers/endpointhealth.h"

#include <algorithm>

namespace turmericsill::callers {

namespace {

    constexpr std::uint32_t failuresUntilEjected = 3;
    constexpr foundation::milliseconds baseEjection { 500 };
    constexpr std::uint32_t maximumDoublings = 6;

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
    if (!ejected_ && consecutiveFailures_ < failuresUntilEjected)
        return;
    ejected_ = true;
    retryAt_ = now + baseEjection * (1u << std::min(ejections_, maximumDoublings));
    ++ejections_;
}

bool EndpointHealth::mayReceive(foundation::SteadyTime now) const
{
    if (!ejected_)
        return true;
    return !trialInProgress_ && now >= retryAt_;
}

} // namespace turmericsill::callers

#include "callers/retrybudget.h"

#include <algorithm>

namespace turmericsill::callers {

void RetryBudget::onFirstAttempt() { tokens_ = std::min(tokens_ + retriesPerFirstAttempt, maximumTokens); }

bool RetryBudget::tryAcquire()
{
    if (tokens_ < 1)
        return false;
    tokens_ -= 1;
    return true;
}

} // namespace turmericsill::callers

#pragma once

namespace turmericsill::callers {

/// Bounds retries to a fraction of first attempts, so that they cannot multiply an overload.
class RetryBudget {
public:
    void onFirstAttempt();

    /// Takes one retry from the budget; false when it is spent.
    bool tryTake();

private:
    static constexpr double retriesPerAttempt = 0.1;
    static constexpr double maximumTokens = 20;

    double tokens_ = maximumTokens / 2;
};

} // namespace turmericsill::callers

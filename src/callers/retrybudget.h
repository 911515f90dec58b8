#pragma once

namespace turmericsill::callers {

/// Token bucket that limits retries to a fraction of first attempts, so that retries do not amplify an overload.
class RetryBudget {
public:
    /// Adds the tokens that a first attempt earns.
    void onFirstAttempt();

    /// Takes one token for a retry; returns false if none is left.
    bool tryAcquire();

private:
    static constexpr double retriesPerFirstAttempt = 0.1;
    static constexpr double maximumTokens = 20;

    double tokens_ = maximumTokens / 2;
};

} // namespace turmericsill::callers

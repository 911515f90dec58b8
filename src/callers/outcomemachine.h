#pragma once

#include "callers/types/outcome.h"

#include <cstdint>
#include <memory>

namespace turmericsill::callers {

/// Life of one request, the only place where its outcome is decided.
///
/// Queued -> Connecting -> Sent, then one of the three outcomes. A retry leads back to Queued.
/// Events that a phase does not expect, such as a late answer, change nothing.
class OutcomeMachine {
public:
    enum class Phase : std::uint8_t { Queued, Connecting, Sent, Answered, NotRun, Unknown };

    explicit OutcomeMachine(bool idempotent);
    ~OutcomeMachine();

    OutcomeMachine(const OutcomeMachine&) = delete;
    OutcomeMachine& operator=(const OutcomeMachine&) = delete;

    /// Whether another copy of the request may have run, so that it cannot be called not run.
    void assumeMayHaveRun(bool mayHaveRun);

    /// An attempt begins; nothing is sent yet.
    void onDispatched();

    /// The first byte may have reached an endpoint.
    void onSent();

    /// The attempt failed before any byte was sent. `mayRetry`: another attempt is allowed.
    void onNotSent(bool mayRetry);

    /// The endpoint refused the request before running it.
    void onRefused(bool mayRetry);

    /// The connection broke, or the answer was not whole, after bytes were sent.
    /// Leads to a retry only when the request is idempotent and `mayRetry`.
    void onBroken(bool mayRetry);

    /// The whole answer arrived.
    void onAnswer();

    /// The deadline passed, the request was shed, or the caller left.
    void onGivenUp();

    Phase phase() const;
    bool isDone() const { return phase() >= Phase::Answered; }

    /// The outcome; only when isDone().
    Outcome outcome() const;

private:
    class Machine;

    std::unique_ptr<Machine> machine_;
};

} // namespace turmericsill::callers

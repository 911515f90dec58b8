#pragma once

#include "foundation/itimerqueue.h"

#include <map>
#include <optional>
#include <unordered_map>

namespace turmericsill::foundation {

/// Timer queue without a thread or a clock; the owner calls runDue() as time advances.
/// Timers with equal deadlines fire in the order in which they were scheduled.
class TimerQueue : public ITimerQueue {
public:
    TimerId schedule(SteadyTime when, std::function<void()> callback) override;
    void cancel(TimerId id) override;

    /// Deadline of the earliest timer; empty when no timer is scheduled.
    std::optional<SteadyTime> nextDeadline() const;

    /// Runs the callbacks of all timers due at `now`, including timers that these callbacks schedule.
    void runDue(SteadyTime now);

private:
    using Key = std::pair<SteadyTime, TimerId>;

    std::map<Key, std::function<void()>> timers_;
    std::unordered_map<TimerId, SteadyTime> deadlines_;
    TimerId nextId_ = 1;
};

} // namespace turmericsill::foundation

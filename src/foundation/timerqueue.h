#pragma once

#include "foundation/itimerqueue.h"

#include <map>
#include <optional>
#include <unordered_map>

namespace turmericsill::foundation {

/// Ordered timers without a thread; the owner calls runDue() as its clock advances.
/// Timers of equal time fire in the order in which they were scheduled.
class TimerQueue : public ITimerQueue {
public:
    TimerId schedule(SteadyTime when, std::function<void()> callback) override;
    void cancel(TimerId id) override;

    /// Time of the next timer, if there is one.
    std::optional<SteadyTime> nextDeadline() const;

    /// Fires every timer due at `now`, including those that the callbacks add.
    void runDue(SteadyTime now);

private:
    using Key = std::pair<SteadyTime, TimerId>;

    std::map<Key, std::function<void()>> timers_;
    std::unordered_map<TimerId, SteadyTime> deadlines_;
    TimerId nextId_ = 1;
};

} // namespace turmericsill::foundation

#pragma once

#include "foundation/iclock.h"

#include <cstdint>
#include <functional>

namespace turmericsill::foundation {

using TimerId = std::uint64_t;

/// Schedules callbacks on the thread that owns the queue.
class ITimerQueue {
public:
    virtual ~ITimerQueue() = default;

    /// Schedules `callback` to run once, not before `when`. The returned id is valid for cancel().
    virtual TimerId schedule(SteadyTime when, std::function<void()> callback) = 0;

    /// Cancels a timer. Does nothing if the timer has already fired or has been cancelled.
    virtual void cancel(TimerId id) = 0;
};

} // namespace turmericsill::foundation

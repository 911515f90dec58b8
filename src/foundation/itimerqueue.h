#pragma once

#include "foundation/iclock.h"

#include <cstdint>
#include <functional>

namespace turmericsill::foundation {

using TimerId = std::uint64_t;

/// Schedules callbacks on the thread of one duty.
class ITimerQueue {
public:
    virtual ~ITimerQueue() = default;

    /// Runs `callback` once, not before `when`.
    virtual TimerId schedule(SteadyTime when, std::function<void()> callback) = 0;

    /// Drops a timer; an id that has fired or was dropped is ignored.
    virtual void cancel(TimerId id) = 0;
};

} // namespace turmericsill::foundation

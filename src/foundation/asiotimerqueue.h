#pragma once

#include "foundation/oneshottimer.h"
#include "foundation/systemclock.h"
#include "foundation/timerqueue.h"

namespace turmericsill::foundation {

/// Timer queue driven by one timer of a context. Deadlines are times of SystemClock. Not thread-safe: used only on the
/// thread that runs the context.
class AsioTimerQueue : public ITimerQueue {
public:
    explicit AsioTimerQueue(boost::asio::io_context& context);

    TimerId schedule(SteadyTime when, std::function<void()> callback) override;
    void cancel(TimerId id) override;

private:
    /// Sets the timer to the earliest deadline in the queue.
    void armTimer();
    void runDue();

    SystemClock clock_;
    TimerQueue queue_;
    OneShotTimer timer_;
    SteadyTime armedDeadline_ = SteadyTime::max(); ///< Expiry time of `timer_`; max() while it is not armed.
};

} // namespace turmericsill::foundation

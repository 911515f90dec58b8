#pragma once

#include "foundation/timerqueue.h"

#include <boost/asio/steady_timer.hpp>

namespace turmericsill::foundation {

/// Timer queue driven by an Asio context; used on that context's thread only.
class AsioTimerQueue : public ITimerQueue {
public:
    explicit AsioTimerQueue(boost::asio::io_context& context);

    TimerId schedule(SteadyTime when, std::function<void()> callback) override;
    void cancel(TimerId id) override;

private:
    void arm();

    TimerQueue queue_;
    boost::asio::steady_timer timer_;
    SteadyTime armedFor_ = SteadyTime::max();
};

} // namespace turmericsill::foundation

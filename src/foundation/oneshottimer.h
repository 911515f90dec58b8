#pragma once

#include "foundation/iclock.h"

#include <boost/asio/io_context.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <functional>

namespace turmericsill::foundation {

/// Timer that calls one callback at a time on the thread of its context. Unlike an Asio timer, it may be restarted,
/// cancelled or destroyed at any moment: once an Asio timer has expired, its handler is queued with a success code, and
/// cancelling the timer does not take it back.
class OneShotTimer {
public:
    explicit OneShotTimer(boost::asio::io_context& context);
    ~OneShotTimer();

    OneShotTimer(const OneShotTimer&) = delete;
    OneShotTimer& operator=(const OneShotTimer&) = delete;

    /// Calls `callback` after `delay`, unless the timer is started again, cancelled or destroyed before. The callback
    /// may do each of these as well.
    void start(SteadyTime::duration delay, std::function<void()> callback);

    void cancel();

private:
    struct State;

    boost::intrusive_ptr<State> state_;
};

} // namespace turmericsill::foundation

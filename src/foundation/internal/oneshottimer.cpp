#include "foundation/oneshottimer.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <cstdint>
#include <utility>

namespace turmericsill::foundation {

/// Kept alive by the handlers of the Asio timer.
struct OneShotTimer::State : boost::intrusive_ref_counter<State, boost::thread_unsafe_counter> {
    explicit State(boost::asio::io_context& context)
        : timer(context)
    {
    }

    boost::asio::steady_timer timer;
    std::function<void()> callback; ///< Null while the timer is not started.
    std::uint64_t starts = 0; ///< Number of the latest start; handlers of earlier ones have no effect.
};

OneShotTimer::OneShotTimer(boost::asio::io_context& context)
    : state_(new State(context))
{
}

OneShotTimer::~OneShotTimer() { cancel(); }

void OneShotTimer::start(SteadyTime::duration delay, std::function<void()> callback)
{
    state_->callback = std::move(callback);
    state_->timer.expires_after(delay);
    state_->timer.async_wait([state = state_, start = ++state_->starts](boost::system::error_code error) {
        if (error || start != state->starts || !state->callback)
            return;
        std::exchange(state->callback, nullptr)();
    });
}

void OneShotTimer::cancel()
{
    state_->callback = nullptr;
    state_->timer.cancel();
}

} // namespace turmericsill::foundation

#include "foundation/asiotimerqueue.h"

#include <boost/asio/io_context.hpp>
#include <utility>

namespace turmericsill::foundation {

AsioTimerQueue::AsioTimerQueue(boost::asio::io_context& context)
    : timer_(context)
{
}

TimerId AsioTimerQueue::schedule(SteadyTime when, std::function<void()> callback)
{
    TimerId id = queue_.schedule(when, std::move(callback));
    if (when < armedFor_)
        arm();
    return id;
}

void AsioTimerQueue::cancel(TimerId id) { queue_.cancel(id); }

void AsioTimerQueue::arm()
{
    auto next = queue_.nextDeadline();
    armedFor_ = next.value_or(SteadyTime::max());
    if (!next)
        return;
    timer_.expires_at(*next);
    timer_.async_wait([this](boost::system::error_code error) {
        if (error)
            return;
        armedFor_ = SteadyTime::max();
        queue_.runDue(std::chrono::steady_clock::now());
        arm();
    });
}

} // namespace turmericsill::foundation

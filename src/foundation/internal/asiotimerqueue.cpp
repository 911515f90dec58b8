#include "foundation/asiotimerqueue.h"

#include <absl/cleanup/cleanup.h>
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
    if (when < armedDeadline_)
        armTimer();
    return id;
}

void AsioTimerQueue::cancel(TimerId id) { queue_.cancel(id); }

void AsioTimerQueue::armTimer()
{
    auto earliestDeadline = queue_.nextDeadline();
    armedDeadline_ = earliestDeadline.value_or(SteadyTime::max());
    if (!earliestDeadline)
        return;
    // Asio's timers stand still while the machine is suspended; a timer that is due by then fires soon after.
    timer_.start(*earliestDeadline - clock_.now(), [this] { runDue(); });
}

void AsioTimerQueue::runDue()
{
    armedDeadline_ = SteadyTime::max();
    // Also after an exception, since the event loop goes on.
    const absl::Cleanup rearm = [this] { armTimer(); };
    queue_.runDue(clock_.now());
}

} // namespace turmericsill::foundation

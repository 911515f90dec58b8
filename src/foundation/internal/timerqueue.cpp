#include "foundation/timerqueue.h"

#include <utility>

namespace turmericsill::foundation {

TimerId TimerQueue::schedule(SteadyTime when, std::function<void()> callback)
{
    TimerId id = nextId_++;
    timers_.emplace(Key { when, id }, std::move(callback));
    deadlines_.emplace(id, when);
    return id;
}

void TimerQueue::cancel(TimerId id)
{
    auto found = deadlines_.find(id);
    if (found == deadlines_.end())
        return;
    timers_.erase(Key { found->second, id });
    deadlines_.erase(found);
}

std::optional<SteadyTime> TimerQueue::nextDeadline() const
{
    if (timers_.empty())
        return std::nullopt;
    return timers_.begin()->first.first;
}

void TimerQueue::runDue(SteadyTime now)
{
    while (!timers_.empty() && timers_.begin()->first.first <= now) {
        auto callback = std::move(timers_.begin()->second);
        deadlines_.erase(timers_.begin()->first.second);
        timers_.erase(timers_.begin());
        callback();
    }
}

} // namespace turmericsill::foundation

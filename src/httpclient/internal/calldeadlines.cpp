#include "httpclient/internal/calldeadlines.h"

#include <algorithm>

namespace turmericsill::httpclient {

using foundation::milliseconds;
using foundation::SteadyTime;

namespace {

    constexpr milliseconds timerResolution { 20 }; ///< Deadlines within this time of each other share a wake-up.

} // namespace

boost::asio::execution_context::id CallDeadlines::id;

CallDeadlines::CallDeadlines(boost::asio::io_context& context)
    : boost::asio::execution_context::service(context)
    , timer_(context)
{
}

void CallDeadlines::add(TimedCall& call, SteadyTime deadline)
{
    call.deadline_ = deadline;
    calls_.insert(call);
    if (deadline + timerResolution < armedFor_)
        armTimer(deadline + timerResolution);
}

void CallDeadlines::armTimer(SteadyTime when)
{
    armedFor_ = when;
    timer_.expires_at(when);
    timer_.async_wait([this](boost::system::error_code error) {
        if (!error)
            onTimer();
    });
}

// The timer is armed before the callbacks run, since an exception may leave one of them.
void CallDeadlines::onTimer()
{
    armedFor_ = SteadyTime::max();
    const auto now = std::chrono::steady_clock::now();
    if (!calls_.empty())
        armTimer(std::max(calls_.begin()->deadline(), now) + timerResolution);
    while (!calls_.empty() && calls_.begin()->deadline() <= now) {
        TimedCall& expired = *calls_.begin();
        cancel(expired);
        expired.onDeadline();
    }
}

} // namespace turmericsill::httpclient

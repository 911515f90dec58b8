#pragma once

#include "foundation/iclock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/intrusive/set.hpp>

namespace turmericsill::httpclient {

/// A call in progress that fails at its deadline.
class TimedCall : public boost::intrusive::set_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
public:
    virtual ~TimedCall() = default;

    foundation::SteadyTime deadline() const { return deadline_; }

private:
    friend class CallDeadlines;

    virtual void onDeadline() = 0;

    foundation::SteadyTime deadline_ {};
};

/// Deadlines of the calls in progress of all clients of a context, on one timer. Most calls end long before their
/// deadline, so the timer is not set anew for each of them; a call may fail up to 20 ms late.
class CallDeadlines : public boost::asio::execution_context::service {
public:
    static boost::asio::execution_context::id id;

    explicit CallDeadlines(boost::asio::io_context& context);

    /// Adds a call until its deadline, cancel() or its destruction.
    void add(TimedCall& call, foundation::SteadyTime deadline);
    static void cancel(TimedCall& call) { call.unlink(); }

private:
    struct ByDeadline {
        bool operator()(const TimedCall& one, const TimedCall& other) const
        {
            return one.deadline() < other.deadline();
        }
    };

    void shutdown() override { }
    void armTimer(foundation::SteadyTime when);
    void onTimer();

    boost::asio::steady_timer timer_;
    foundation::SteadyTime armedFor_ = foundation::SteadyTime::max(); ///< max() while the timer is not armed.
    boost::intrusive::multiset<TimedCall, boost::intrusive::compare<ByDeadline>,
        boost::intrusive::constant_time_size<false>>
        calls_;
};

} // namespace turmericsill::httpclient

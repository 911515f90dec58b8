#include "callers/requeststatemachine.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace turmericsill::callers {

namespace {

    namespace msm = boost::msm;
    namespace mpl = boost::mpl;
    using msm::front::none;
    using msm::front::Row;

    struct AttemptStarted { };
    struct FirstByteSent { };
    struct FailedBeforeSend {
        bool canRetry;
    };
    struct Refused {
        bool canRetry;
    };
    struct FailedAfterSend {
        bool canRetry;
    };
    struct ResponseReceived { };
    struct Cancelled { };

    struct CanRetry {
        template <typename Event, typename Fsm, typename Source, typename Target>
        bool operator()(const Event& event, Fsm&, Source&, Target&) const
        {
            return event.canRetry;
        }
    };

    struct CanRunAgain {
        template <typename Event, typename Fsm, typename Source, typename Target>
        bool operator()(const Event& event, Fsm& fsm, Source&, Target&) const
        {
            return event.canRetry && fsm.idempotent;
        }
    };

    /// An earlier attempt or another copy may have run, so the outcome can no longer be NotRun.
    struct MayHaveRun {
        template <typename Event, typename Fsm, typename Source, typename Target>
        bool operator()(const Event&, Fsm& fsm, Source&, Target&) const
        {
            return fsm.mayHaveRun;
        }
    };

    struct HasNotRun {
        template <typename Event, typename Fsm, typename Source, typename Target>
        bool operator()(const Event&, Fsm& fsm, Source&, Target&) const
        {
            return !fsm.mayHaveRun;
        }
    };

    template <typename Retry, typename RunState> struct CannotRetryAnd {
        template <typename Event, typename Fsm, typename Source, typename Target>
        bool operator()(const Event& event, Fsm& fsm, Source& source, Target& target) const
        {
            return !Retry()(event, fsm, source, target) && RunState()(event, fsm, source, target);
        }
    };

    struct CannotRunAgain {
        template <typename Event, typename Fsm, typename Source, typename Target>
        bool operator()(const Event& event, Fsm& fsm, Source& source, Target& target) const
        {
            return !CanRunAgain()(event, fsm, source, target);
        }
    };

    struct SetMayHaveRun {
        template <typename Event, typename Fsm, typename Source, typename Target>
        void operator()(const Event&, Fsm& fsm, Source&, Target&) const
        {
            fsm.mayHaveRun = true;
        }
    };

    struct Transitions : msm::front::state_machine_def<Transitions> {
        // No action raises an event or throws, so the message queue and exception handling of MSM are turned off.
        using no_message_queue = int;
        using no_exception_thrown = int;

        struct Queued : msm::front::state<> { };
        struct Connecting : msm::front::state<> { };
        struct Sent : msm::front::state<> { };
        struct Answered : msm::front::state<> { };
        struct NotRun : msm::front::state<> { };
        struct Unknown : msm::front::state<> { };

        using initial_state = Queued;

        // MSM numbers states by their first appearance in the table. RequestStateMachine::state() relies on this order
        // being the same as in RequestStateMachine::State.
        struct transition_table
            : mpl::vector<Row<Queued, AttemptStarted, Connecting, none, none>,
                  Row<Connecting, FirstByteSent, Sent, none, none>, Row<Sent, ResponseReceived, Answered, none, none>,
                  Row<Queued, Cancelled, NotRun, none, HasNotRun>, Row<Queued, Cancelled, Unknown, none, MayHaveRun>,
                  Row<Connecting, Cancelled, NotRun, none, HasNotRun>,
                  Row<Connecting, Cancelled, Unknown, none, MayHaveRun>,
                  Row<Connecting, FailedBeforeSend, Queued, none, CanRetry>,
                  Row<Connecting, FailedBeforeSend, NotRun, none, CannotRetryAnd<CanRetry, HasNotRun>>,
                  Row<Connecting, FailedBeforeSend, Unknown, none, CannotRetryAnd<CanRetry, MayHaveRun>>,
                  Row<Sent, Refused, Queued, none, CanRetry>,
                  Row<Sent, Refused, NotRun, none, CannotRetryAnd<CanRetry, HasNotRun>>,
                  Row<Sent, Refused, Unknown, none, CannotRetryAnd<CanRetry, MayHaveRun>>,
                  Row<Sent, FailedAfterSend, Queued, SetMayHaveRun, CanRunAgain>,
                  Row<Sent, FailedAfterSend, Unknown, none, CannotRunAgain>,
                  Row<Sent, Cancelled, Unknown, none, none>> { };

        template <typename Fsm, typename Event> void no_transition(const Event&, Fsm&, int) { }

        bool idempotent = false;
        bool mayHaveRun = false;
    };

} // namespace

class RequestStateMachine::Backend : public msm::back::state_machine<Transitions> { };

RequestStateMachine::RequestStateMachine(bool idempotent)
    : backend_(std::make_unique<Backend>())
{
    backend_->idempotent = idempotent;
    backend_->start();
}

RequestStateMachine::~RequestStateMachine() = default;

void RequestStateMachine::setMayHaveRun(bool mayHaveRun) { backend_->mayHaveRun = mayHaveRun; }

void RequestStateMachine::onAttemptStarted() { backend_->process_event(AttemptStarted {}); }

void RequestStateMachine::onFirstByteSent() { backend_->process_event(FirstByteSent {}); }

void RequestStateMachine::onFailedBeforeSend(bool canRetry) { backend_->process_event(FailedBeforeSend { canRetry }); }

void RequestStateMachine::onRefused(bool canRetry) { backend_->process_event(Refused { canRetry }); }

void RequestStateMachine::onFailedAfterSend(bool canRetry) { backend_->process_event(FailedAfterSend { canRetry }); }

void RequestStateMachine::onResponse() { backend_->process_event(ResponseReceived {}); }

void RequestStateMachine::onCancelled() { backend_->process_event(Cancelled {}); }

RequestStateMachine::State RequestStateMachine::state() const
{
    return static_cast<State>(backend_->current_state()[0]);
}

Outcome RequestStateMachine::outcome() const
{
    if (state() == State::Answered)
        return Outcome::Answered;
    return state() == State::NotRun ? Outcome::NotRun : Outcome::Unknown;
}

} // namespace turmericsill::callers

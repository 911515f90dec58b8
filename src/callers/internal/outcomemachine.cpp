#include "callers/outcomemachine.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace turmericsill::callers {

namespace {

    namespace msm = boost::msm;
    namespace mpl = boost::mpl;
    using msm::front::none;
    using msm::front::Row;

    struct Dispatched { };
    struct FirstByteSent { };
    struct NotSent {
        bool mayRetry;
    };
    struct Refused {
        bool mayRetry;
    };
    struct Broken {
        bool mayRetry;
    };
    struct WholeAnswer { };
    struct GivenUp { };

    struct MayRetry {
        template <typename Event, typename Fsm, typename Source, typename Target>
        bool operator()(const Event& event, Fsm&, Source&, Target&) const
        {
            return event.mayRetry;
        }
    };

    struct MayRunAgain {
        template <typename Event, typename Fsm, typename Source, typename Target>
        bool operator()(const Event& event, Fsm& fsm, Source&, Target&) const
        {
            return event.mayRetry && fsm.idempotent;
        }
    };

    /// An earlier attempt may have run, so the request can no longer be called not run.
    struct RanMaybe {
        template <typename Event, typename Fsm, typename Source, typename Target>
        bool operator()(const Event&, Fsm& fsm, Source&, Target&) const
        {
            return fsm.mayHaveRun;
        }
    };

    struct RanNever {
        template <typename Event, typename Fsm, typename Source, typename Target>
        bool operator()(const Event&, Fsm& fsm, Source&, Target&) const
        {
            return !fsm.mayHaveRun;
        }
    };

    template <typename Retry, typename Ran> struct NoRetryAnd {
        template <typename Event, typename Fsm, typename Source, typename Target>
        bool operator()(const Event& event, Fsm& fsm, Source& source, Target& target) const
        {
            return !Retry()(event, fsm, source, target) && Ran()(event, fsm, source, target);
        }
    };

    struct NoRetry {
        template <typename Event, typename Fsm, typename Source, typename Target>
        bool operator()(const Event& event, Fsm& fsm, Source& source, Target& target) const
        {
            return !MayRunAgain()(event, fsm, source, target);
        }
    };

    struct RememberRun {
        template <typename Event, typename Fsm, typename Source, typename Target>
        void operator()(const Event&, Fsm& fsm, Source&, Target&) const
        {
            fsm.mayHaveRun = true;
        }
    };

    struct Definition : msm::front::state_machine_def<Definition> {
        // The machine never queues events and its actions never throw.
        using no_message_queue = int;
        using no_exception_thrown = int;

        struct Queued : msm::front::state<> { };
        struct Connecting : msm::front::state<> { };
        struct Sent : msm::front::state<> { };
        struct Answered : msm::front::state<> { };
        struct NotRun : msm::front::state<> { };
        struct Unknown : msm::front::state<> { };

        using initial_state = Queued;

        // Numbered by first appearance, which Machine::phase() relies on; the order is that of Phase.
        struct transition_table
            : mpl::vector<Row<Queued, Dispatched, Connecting, none, none>,
                  Row<Connecting, FirstByteSent, Sent, none, none>, Row<Sent, WholeAnswer, Answered, none, none>,
                  Row<Queued, GivenUp, NotRun, none, RanNever>, Row<Queued, GivenUp, Unknown, none, RanMaybe>,
                  Row<Connecting, GivenUp, NotRun, none, RanNever>, Row<Connecting, GivenUp, Unknown, none, RanMaybe>,
                  Row<Connecting, NotSent, Queued, none, MayRetry>,
                  Row<Connecting, NotSent, NotRun, none, NoRetryAnd<MayRetry, RanNever>>,
                  Row<Connecting, NotSent, Unknown, none, NoRetryAnd<MayRetry, RanMaybe>>,
                  Row<Sent, Refused, Queued, none, MayRetry>,
                  Row<Sent, Refused, NotRun, none, NoRetryAnd<MayRetry, RanNever>>,
                  Row<Sent, Refused, Unknown, none, NoRetryAnd<MayRetry, RanMaybe>>,
                  Row<Sent, Broken, Queued, RememberRun, MayRunAgain>, Row<Sent, Broken, Unknown, none, NoRetry>,
                  Row<Sent, GivenUp, Unknown, none, none>> { };

        template <typename Fsm, typename Event> void no_transition(const Event&, Fsm&, int) { }

        bool idempotent = false;
        bool mayHaveRun = false;
    };

} // namespace

class OutcomeMachine::Machine : public msm::back::state_machine<Definition> { };

OutcomeMachine::OutcomeMachine(bool idempotent)
    : machine_(std::make_unique<Machine>())
{
    machine_->idempotent = idempotent;
    machine_->start();
}

OutcomeMachine::~OutcomeMachine() = default;

void OutcomeMachine::assumeMayHaveRun(bool mayHaveRun) { machine_->mayHaveRun = mayHaveRun; }

void OutcomeMachine::onDispatched() { machine_->process_event(Dispatched {}); }

void OutcomeMachine::onSent() { machine_->process_event(FirstByteSent {}); }

void OutcomeMachine::onNotSent(bool mayRetry) { machine_->process_event(NotSent { mayRetry }); }

void OutcomeMachine::onRefused(bool mayRetry) { machine_->process_event(Refused { mayRetry }); }

void OutcomeMachine::onBroken(bool mayRetry) { machine_->process_event(Broken { mayRetry }); }

void OutcomeMachine::onAnswer() { machine_->process_event(WholeAnswer {}); }

void OutcomeMachine::onGivenUp() { machine_->process_event(GivenUp {}); }

OutcomeMachine::Phase OutcomeMachine::phase() const { return static_cast<Phase>(machine_->current_state()[0]); }

Outcome OutcomeMachine::outcome() const
{
    if (phase() == Phase::Answered)
        return Outcome::Answered;
    return phase() == Phase::NotRun ? Outcome::NotRun : Outcome::Unknown;
}

} // namespace turmericsill::callers

#include "maintenance/drainstatemachine.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace turmericsill::maintenance {

namespace {

    namespace msm = boost::msm;
    namespace mpl = boost::mpl;
    using msm::front::none;
    using msm::front::Row;

    struct Idle { };
    struct Stopped { };
    struct RecordFailed { };
    struct RebootAccepted { };
    struct RebootUnknown { };
    struct RebootDone { };

    struct Definition : msm::front::state_machine_def<Definition> {
        using no_message_queue = int;
        using no_exception_thrown = int;

        struct Waiting : msm::front::state<> { };
        struct Stopping : msm::front::state<> { };
        struct Rebooting : msm::front::state<> { };
        struct Polling : msm::front::state<> { };
        struct Returning : msm::front::state<> { };

        using initial_state = Waiting;

        // Boost.MSM numbers the states by their first appearance as a source state. DrainStateMachine::phase() relies
        // on it.
        struct transition_table
            : mpl::vector<Row<Waiting, Idle, Stopping, none, none>, Row<Stopping, RecordFailed, Waiting, none, none>,
                  Row<Rebooting, RebootAccepted, Polling, none, none>,
                  Row<Polling, RebootUnknown, Rebooting, none, none>, Row<Returning, RecordFailed, Polling, none, none>,
                  Row<Waiting, Stopped, Rebooting, none, none>, Row<Stopping, Stopped, Rebooting, none, none>,
                  Row<Polling, RebootDone, Returning, none, none>> { };

        template <typename Fsm, typename Event> void no_transition(const Event&, Fsm&, int) { }
    };

} // namespace

class DrainStateMachine::Machine : public msm::back::state_machine<Definition> { };

DrainStateMachine::DrainStateMachine(fleetstate::Lifecycle lifecycle)
    : machine_(std::make_unique<Machine>())
{
    machine_->start();
    if (lifecycle == fleetstate::Lifecycle::Stopped)
        onStopped();
}

DrainStateMachine::~DrainStateMachine() = default;

void DrainStateMachine::onIdle() { machine_->process_event(Idle {}); }

void DrainStateMachine::onStopped() { machine_->process_event(Stopped {}); }

void DrainStateMachine::onRecordFailed() { machine_->process_event(RecordFailed {}); }

void DrainStateMachine::onRebootAccepted() { machine_->process_event(RebootAccepted {}); }

void DrainStateMachine::onRebootUnknown() { machine_->process_event(RebootUnknown {}); }

void DrainStateMachine::onRebootDone() { machine_->process_event(RebootDone {}); }

DrainStateMachine::Phase DrainStateMachine::phase() const { return static_cast<Phase>(machine_->current_state()[0]); }

DrainAction DrainStateMachine::action() const
{
    switch (phase()) {
    case Phase::Waiting:
        return DrainAction::None;
    case Phase::Stopping:
        return DrainAction::RecordStopped;
    case Phase::Rebooting:
        return DrainAction::StartReboot;
    case Phase::Polling:
        return DrainAction::QueryReboot;
    case Phase::Returning:
        return DrainAction::RecordServing;
    }
    return DrainAction::None;
}

} // namespace turmericsill::maintenance

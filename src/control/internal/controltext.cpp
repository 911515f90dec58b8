#include "control/internal/controltext.h"

namespace turmericsill::control {

using fleet::StartResult;
using jobs::RunOutcome;

std::string toText(RunOutcome outcome)
{
    switch (outcome) {
    case RunOutcome::Done:
        return "done";
    case RunOutcome::Failed:
        return "failed";
    case RunOutcome::Stopped:
        return "stopped";
    case RunOutcome::LeaseExpired:
        return "lease-expired";
    case RunOutcome::PeerEnded:
        return "peer-ended";
    case RunOutcome::GangIncomplete:
        return "gang-incomplete";
    case RunOutcome::NeverStarted:
        return "never-started";
    case RunOutcome::InstanceGone:
        return "instance-gone";
    }
    return "unknown";
}

std::string toText(StartResult result)
{
    switch (result) {
    case StartResult::Started:
        return "started";
    case StartResult::Fenced:
        return "fenced";
    case StartResult::Superseded:
        return "superseded";
    case StartResult::LeaseExpired:
        return "lease-over";
    case StartResult::InsufficientResources:
        return "no-room";
    case StartResult::TicketInvalid:
        return "ticket-invalid";
    case StartResult::Invalid:
        return "invalid";
    case StartResult::Unhealthy:
        return "unhealthy";
    }
    return "unknown";
}

std::string toText(LeaseBound bound)
{
    switch (bound) {
    case LeaseBound::OwnLease:
        return "own-lease";
    case LeaseBound::FormerControllers:
        return "former-controllers";
    case LeaseBound::EarlierIncarnation:
        return "earlier-incarnation";
    }
    return "unknown";
}

} // namespace turmericsill::control

#include "control/internal/controltext.h"

namespace turmericsill::control {

using fleet::StartVerdict;
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

std::string toText(StartVerdict verdict)
{
    switch (verdict) {
    case StartVerdict::Started:
        return "started";
    case StartVerdict::Fenced:
        return "fenced";
    case StartVerdict::Superseded:
        return "superseded";
    case StartVerdict::LeaseOver:
        return "lease-over";
    case StartVerdict::NoRoom:
        return "no-room";
    case StartVerdict::TicketInvalid:
        return "ticket-invalid";
    case StartVerdict::Invalid:
        return "invalid";
    case StartVerdict::Unhealthy:
        return "unhealthy";
    }
    return "unknown";
}

} // namespace turmericsill::control

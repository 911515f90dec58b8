#include "control/internal/controltext.h"

namespace turmericsill::control {

using fleet::StartVerdict;
using jobs::RunEnd;

std::string toText(RunEnd how)
{
    switch (how) {
    case RunEnd::Done:
        return "done";
    case RunEnd::Failed:
        return "failed";
    case RunEnd::Stopped:
        return "stopped";
    case RunEnd::LeaseExpired:
        return "lease-expired";
    case RunEnd::PeerEnded:
        return "peer-ended";
    case RunEnd::GangIncomplete:
        return "gang-incomplete";
    case RunEnd::NeverStarted:
        return "never-started";
    case RunEnd::InstanceGone:
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

#pragma once

#include "fleet/iinstancecontrol.h"
#include "jobs/types/records.h"

#include <string>

namespace turmericsill::control {

class InstanceSession;

/// Learns what happens on instances.
class ISessionObserver {
public:
    virtual ~ISessionObserver() = default;

    /// A tracked run is over and its resources are free.
    virtual void onRunEnded(InstanceSession& session, const jobs::RunEnded& record) = 0;

    /// Every end up to `number` was reported; it may be acknowledged once the reports stand in the log.
    virtual void onEndsListed(InstanceSession& session, std::uint64_t number) = 0;

    /// The instance refused an order to start.
    virtual void onStartRefused(InstanceSession& session, const jobs::TaskId& task, fleet::StartVerdict verdict) = 0;

    /// The instance's life is over; it was restarted or replaced. `born` is the start of the new life, 0: unknown.
    virtual void onLifeOver(InstanceSession& session, std::int64_t born) = 0;

    /// The instance answers, or has stopped to answer.
    virtual void onContactChanged(InstanceSession& session, bool inContact, const std::string& reason) = 0;

    /// An instance has seen a higher token: another controller is in charge.
    virtual void onFenced(InstanceSession& session) = 0;
};

} // namespace turmericsill::control

#pragma once

#include "fleet/iinstancecontrol.h"
#include "jobs/types/records.h"

#include <string>

namespace turmericsill::control {

class InstanceSession;

/// Receives the events of instance sessions.
class ISessionObserver {
public:
    virtual ~ISessionObserver() = default;

    /// The instance has confirmed that a tracked run has started, by an answer or by listing it.
    virtual void onRunStarted(InstanceSession& session, const jobs::TaskId& task) = 0;

    /// A tracked run has ended and its resources are free.
    virtual void onRunEnded(InstanceSession& session, const jobs::RunEnded& record) = 0;

    /// Every run end up to `number` was passed to onRunEnded(). The ends may be acknowledged once the log holds them.
    virtual void onEndsListed(InstanceSession& session, std::uint64_t number) = 0;

    /// The instance refused a start order.
    virtual void onStartRefused(InstanceSession& session, const jobs::TaskId& task, fleet::StartResult result) = 0;

    /// The instance was restarted or replaced. `startedAt` is the start time of its new incarnation in milliseconds
    /// since 1970; 0 if it is not known.
    virtual void onIncarnationEnded(InstanceSession& session, std::int64_t startedAt) = 0;

    /// The instance lists a run whose order was meant for an earlier incarnation.
    virtual void onEarlierOrderFound(InstanceSession& session, const jobs::TaskId& task) = 0;

    /// The instance has begun or stopped answering calls.
    virtual void onContactChanged(InstanceSession& session, bool isInContact, const std::string& reason) = 0;

    /// What the session tells about the instance may have changed: its runs, its report, whether it is listed or
    /// whether it is in contact. Reported once until InstanceSession::acknowledgeChange() is called.
    virtual void onSessionChanged(InstanceSession& session) = 0;

    /// The instance has seen a higher fencing token, so another controller has taken over.
    virtual void onFenced(InstanceSession& session) = 0;
};

} // namespace turmericsill::control

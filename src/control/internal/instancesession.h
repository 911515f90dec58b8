#pragma once

#include "control/formercontrollers.h"
#include "control/ileaselimit.h"
#include "control/internal/isessionobserver.h"
#include "control/types/leaseterms.h"
#include "fleet/iinstancecontrol.h"
#include "foundation/iclock.h"
#include "jobs/types/jobspec.h"

#include <algorithm>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace turmericsill::control {

/// Whether another controller may have taken over.
enum class ControlStatus {
    Lost, ///< Another controller is likely; no leases are renewed.
    Unconfirmed, ///< The group does not respond; leases are renewed, but start orders are not repeated.
    Confirmed, ///< The group has confirmed the membership within its time to live.
};

/// State of the start order of a run.
enum class OrderState {
    IntentPending, ///< The intent is not in the log yet, and no order was sent.
    Sent,
    Unanswered, ///< The order may have been carried out or still may be.
    Started,
    Inherited, ///< A former controller, or this one to an earlier incarnation, may have sent the order.
};

/// Whether the run is planned or its order was sent, and the outcome of the order is open.
inline bool isStartInProgress(OrderState state)
{
    return state == OrderState::IntentPending || state == OrderState::Sent;
}

/// What determines when the leases on an instance have expired.
enum class LeaseBound {
    OwnLease, ///< The latest lease that this controller granted.
    FormerControllers, ///< The leases that former controllers may have granted.
    EarlierIncarnation, ///< Orders for an earlier incarnation, whose leases count from their arrival.
};

/// Time by which every lease on an instance has expired.
struct LeaseExpiry {
    foundation::SteadyTime at;
    LeaseBound bound = LeaseBound::OwnLease;
};

/// A run that may exist on an instance.
struct TrackedRun {
    std::uint32_t run = 0;
    jobs::Resources resources;
    bool isLongRunning = false;
    OrderState state = OrderState::IntentPending;
    bool hadUnansweredOrder = false; ///< An earlier start order may have been carried out.
    bool isStopping = false; ///< A stop was requested.
    bool isStopAnswered = false; ///< The instance has answered a call to stop the run.
    bool isStopCallPending = false; ///< A call to stop the run awaits its answer.
    bool isPlannedStop = false; ///< Stopped to relocate the task.
    bool isAdopted = false; ///< Ordered from an earlier incarnation.
    bool isOrderHeld = false; ///< The start order waits until the incarnation has answered.
    /// From then on no order is in flight; a later listing without the run shows that it does not exist.
    std::optional<foundation::SteadyTime> settledAt;
    foundation::SteadyTime trackedAt {};
    /// When this controller last sent the start order to an instance that answered; empty if it did not.
    std::optional<foundation::SteadyTime> orderedAt;
    foundation::SteadyTime lastAttemptAt {};
    foundation::SteadyTime unansweredSince {}; ///< Start of the latest time in state Unanswered.
    int percent = 0; ///< Progress listed by the instance; 100 for a long-running task that is serving.
    fleet::StartOrder order;
};

/// Dependencies that all sessions of a controller share.
struct SessionContext {
    fleet::IInstanceControl& control;
    foundation::IClock& clock;
    ISessionObserver& observer;
    const FormerControllers& former;
    const ILeaseLimit& leaseLimit;
    std::uint64_t epoch = 0;
    LeaseTerms leaseTerms;
    std::size_t startsInProgress = 0; ///< Number of runs in OrderState::IntentPending or Sent, of all sessions.
};

/// The controller's session with one incarnation of an instance. Keeps its lease, an estimate of its clock and the runs
/// that may exist on it.
class InstanceSession : public boost::intrusive_ref_counter<InstanceSession, boost::thread_unsafe_counter> {
public:
    using Runs = std::map<jobs::TaskId, TrackedRun>;

    InstanceSession(fleet::InstanceReport report, SessionContext& context);

    const fleet::InstanceReport& report() const { return report_; }
    const jobs::InstanceIncarnation& incarnation() const { return report_.incarnation; }
    const Runs& runs() const { return runs_; }

    /// Applies a newer report that this incarnation of the instance published.
    void update(fleet::InstanceReport report);

    /// Marks the report as missing: of this incarnation only its start and its address are known. Another incarnation
    /// may have been of another kind.
    void awaitReport();

    /// Whether the report was published by this incarnation.
    bool hasReport() const { return hasReport_; }

    /// Whether the instance directory lists the instance, in this incarnation or another.
    void setListed(bool isListed);
    bool isListed() const { return isListed_; }

    /// Whether the instance answers and runs nothing unexpected.
    bool isInContact() const { return isSynced_ && consecutiveFailures_ == 0 && unexpectedRuns_.empty(); }

    /// Whether the instance has answered a renewal under this controller's token.
    bool isSynced() const { return isSynced_; }

    /// Whether the address is known. It is not if runs were inherited before the instance was listed.
    bool hasAddress() const { return !report_.address.ip.empty(); }

    /// Capacity minus the resources of the tracked runs. Negative while the runs exceed a capacity that has shrunk.
    jobs::Resources free() const;

    /// Whether the tracked runs exceed the capacity, because the instance has shrunk.
    bool isOvercommitted() const;

    /// Processor time that the runs of short tasks hold, in thousandths of a core.
    std::int64_t shortTaskMilliCores() const { return shortTaskMilliCores_; }

    /// Since when the session has had no runs; empty while it has any.
    std::optional<foundation::SteadyTime> idleSince() const { return idleSince_; }

    /// Makes the session report its next change; see ISessionObserver::onSessionChanged().
    void acknowledgeChange() { isChangeReported_ = false; }

    /// Tracks a run. An inherited one may exist on the instance already.
    void track(const jobs::TaskId& task, std::uint32_t run, const jobs::Resources& resources, bool isLongRunning,
        bool isInherited);

    /// Sends the start order of a tracked run whose intent is in the log, once the instance has answered recently. Ends
    /// the run instead if its stop was requested, the instance is overcommitted or it does not answer.
    void order(const jobs::TaskId& task, std::string payload, std::string checkpoint, std::string ticket);

    /// Stops a run, at once or as soon as its pending start order is answered.
    void requestStop(const jobs::TaskId& task, bool isPlanned);

    /// Time by which the tracked runs have ended if the instance does not answer any more.
    LeaseExpiry leaseExpiry() const;

    /// Acknowledges the run ends up to `number` to the instance; the log holds them.
    void acknowledgeEnds(std::uint64_t number);

    /// Renews the lease, retries unanswered orders and ends runs whose lease has certainly expired.
    void tick(ControlStatus status);

    /// Takes over the runs of the instance's earlier incarnation. Orders for that incarnation may have reached this one
    /// or still may, so the outcome of each run is decided by what this incarnation lists. Runs whose order is
    /// unanswered are stopped first.
    void adoptRuns(InstanceSession& earlier);

    /// Allows for leases that orders for an earlier incarnation may have granted to this one.
    void allowForEarlierLeases(foundation::SteadyTime expiredAt)
    {
        earlierLeasesExpiredAt_ = std::max(earlierLeasesExpiredAt_, expiredAt);
    }

    /// Whether the instance listed runs that are not tracked, and their lease may not be over yet.
    bool hasUnexpectedRuns() const;

    /// Whether it is open if the instance has crashed or was only silent when the lease of its runs expired.
    bool awaitsCrashEvidence() const;

    /// The runs that may have been at work when the instance crashed.
    std::vector<jobs::CrashedRun> runsAtCrash() const;

    /// Ends every tracked run. Runs whose intent is not in the log yet end only with RunOutcome::InstanceGone.
    void endAll(jobs::RunOutcome outcome);

    /// Makes the session ignore answers to pending calls.
    void close() { isClosed_ = true; }

private:
    using Self = boost::intrusive_ptr<InstanceSession>;

    void reportChange();
    void insertRun(const jobs::TaskId& task, TrackedRun run);
    Runs::iterator removeRun(Runs::iterator run);
    void setState(TrackedRun& run, OrderState state);
    fleet::InstanceHandle handle() const;
    fleet::InstanceTime clockEstimate() const;
    fleet::InstanceTime longestLease() const;
    foundation::SteadyTime latestTimeOf(fleet::InstanceTime time) const;
    bool isRenewalDue() const;
    void renew();
    void onRenewed(const foundation::Result<fleet::RenewAnswer>& answer, foundation::SteadyTime sentAt);
    void reconcile(const fleet::RenewAnswer& answer, foundation::SteadyTime sentAt);
    void stopUnexpectedRuns();
    void confirmIncarnation();
    std::vector<jobs::TaskId> takeHeldOrders();
    void sendHeldOrders();
    void endHeldOrders();
    void sendStart(const jobs::TaskId& task, TrackedRun& run);
    void onStartAnswered(const jobs::TaskId& task, std::uint32_t number,
        const foundation::Result<fleet::StartAnswer>& answer, foundation::SteadyTime sentAt);
    void onStartResult(const jobs::TaskId& task, TrackedRun& run, fleet::StartResult result);
    void repeatStart(const jobs::TaskId& task, TrackedRun& run);
    void confirmStart(const jobs::TaskId& task, TrackedRun& run);
    void sendStop(const jobs::TaskId& task, TrackedRun& run);
    void onStopAnswered(const jobs::TaskId& task, std::uint32_t number, const foundation::Result<void>& answer,
        foundation::SteadyTime sentAt);
    void end(const jobs::TaskId& task, jobs::RunOutcome outcome, const std::string& checkpoint);
    void updateClock(fleet::InstanceTime clock);
    void recordAnswer();
    void recordFailure(const foundation::Error& error, foundation::SteadyTime sentAt);
    TrackedRun* find(const jobs::TaskId& task, std::uint32_t number);

    fleet::InstanceReport report_;
    SessionContext& context_;
    Runs runs_;
    Runs expiredRuns_; ///< Runs whose lease expired since the instance last answered.
    jobs::Resources reserved_; ///< Sum of the resources of `runs_`.
    std::int64_t shortTaskMilliCores_ = 0;
    std::optional<foundation::SteadyTime> idleSince_;
    bool isChangeReported_ = false;
    std::set<std::pair<jobs::TaskId, std::uint32_t>> unexpectedRuns_; ///< Listed by the instance, but not tracked.
    bool isListed_ = true;
    bool hasReport_ = true;
    bool isSynced_ = false; ///< Whether a renewal under this controller's token was answered.
    bool isClosed_ = false;
    bool isRenewing_ = false;
    bool isConfirming_ = false; ///< Whether orders wait for the answer to the renewal in progress.
    /// Whether a call has failed since the latest renewal. Only the answer to a renewal tells the incarnation.
    bool isIncarnationInDoubt_ = false;
    int consecutiveFailures_ = 0; ///< Failed calls since the latest answer.
    foundation::SteadyTime lastAnswerAt_ {}; ///< Time of the latest answer to any call.
    /// Time from which on the instance may have been silent before the first of these failures.
    foundation::SteadyTime unansweredSince_ {};
    std::optional<fleet::InstanceTime> clock_; ///< Clock of the instance in its latest answer.
    foundation::SteadyTime clockReadAt_ {}; ///< Time at which that answer arrived.
    fleet::InstanceTime sentLeaseEnd_ { 0 }; ///< Latest lease end sent in any order or renewal.
    fleet::InstanceTime inheritedLeaseEnd_ { 0 }; ///< Latest end of a lease granted by a former controller.
    /// Time by which leases granted by orders for an earlier incarnation have expired.
    foundation::SteadyTime earlierLeasesExpiredAt_ = foundation::SteadyTime::min();
    std::uint64_t lastListedEnd_ = 0; ///< Number of the latest run end that was reported.
    std::uint64_t lastAcknowledgedEnd_ = 0; ///< Number of the latest run end that is in the log.
    foundation::SteadyTime lastRenewalAt_ {}; ///< Time at which the latest renewal was sent.
    foundation::SteadyTime lastAnsweredRenewalSentAt_ {}; ///< Time at which the latest answered renewal was sent.
    foundation::SteadyTime lastRenewalAnswerAt_ {}; ///< Time of the latest answer to a renewal.
};

using InstanceSessionPtr = boost::intrusive_ptr<InstanceSession>;

} // namespace turmericsill::control

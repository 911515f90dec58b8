#pragma once

#include "control/formercontrollers.h"
#include "control/internal/isessionobserver.h"
#include "control/types/leaseterms.h"
#include "fleet/iinstancecontrol.h"
#include "foundation/iclock.h"
#include "jobs/types/jobspec.h"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace turmericsill::control {

/// How sure the controller is that no other one has taken over.
enum class ControlConfidence {
    Lost, ///< Another one is likely; nothing is renewed.
    Doubtful, ///< The log does not answer: leases are renewed, but nothing is started again.
    Confirmed, ///< The group has confirmed control within its time to live.
};

/// How far the order to start a run has come.
enum class OrderState {
    Recording, ///< The intent is not in the log yet; nothing was sent.
    Sent,
    Unanswered, ///< It may have been carried out, or may still be.
    Started,
    Inherited, ///< Another controller may have sent it.
};

/// A run that may exist on an instance.
struct TrackedRun {
    std::uint32_t run = 0;
    jobs::Resources resources;
    bool isLongRunning = false;
    OrderState state = OrderState::Recording;
    bool hadUnansweredOrder = false;
    bool isStopping = false;
    bool stopUnderWay = false;
    bool isPlannedStop = false; ///< Stopped to make room for planned work.
    std::optional<foundation::SteadyTime> settledAt; ///< When an answer told that no order is under way any more.
    foundation::SteadyTime orderedAt {};
    foundation::SteadyTime lastAttemptAt {};
    int percent = 0;
    fleet::StartOrder order;
};

/// What all sessions of a controller share.
struct SessionContext {
    fleet::IInstanceControl& control;
    foundation::IClock& clock;
    ISessionObserver& observer;
    const FormerControllers& former;
    std::uint64_t epoch = 0;
    LeaseTerms terms;
};

/// The controller's dealings with one life of an instance: its lease, its clock, the runs that may be there.
class InstanceSession : public boost::intrusive_ref_counter<InstanceSession, boost::thread_unsafe_counter> {
public:
    using Runs = std::map<jobs::TaskId, TrackedRun>;

    InstanceSession(fleet::InstanceReport report, SessionContext& context);

    const fleet::InstanceReport& report() const { return report_; }
    const jobs::InstanceLife& life() const { return report_.life; }
    const Runs& runs() const { return runs_; }

    /// Takes the instance's newer entry.
    void update(fleet::InstanceReport report);
    void setListed(bool isListed) { isListed_ = isListed; }
    bool isListed() const { return isListed_; }

    /// Whether it answers and holds nothing unknown.
    bool isInContact() const { return isSynced_ && failures_ == 0 && foreignRuns_.empty(); }
    bool isSynced() const { return isSynced_; }

    /// Whether its address is known; a run may be inherited before the instance's entry is read.
    bool hasAddress() const { return !report_.address.ip.empty(); }

    /// Capacity less what tracked runs hold.
    jobs::Resources free() const;

    /// Tracks a run; an inherited one may be there already.
    void track(const jobs::TaskId& task, std::uint32_t run, const jobs::Resources& resources, bool isLongRunning,
        bool isInherited);

    /// Sends the order of a run whose intent stands in the log.
    void order(const jobs::TaskId& task, std::string payload, std::string checkpoint, std::string ticket);

    /// Stops a run, now or as soon as it can be told.
    void requestStop(const jobs::TaskId& task, bool isPlanned);

    /// The reports of ends up to `number` stand in the log.
    void acknowledge(std::uint64_t number);

    /// Renews, repeats what had no answer, notices a lease that is surely over.
    void tick(ControlConfidence confidence);

    /// Takes the runs of the instance's earlier life. Orders for that life may have reached this one, or still may, so
    /// each run is settled by what this life lists; those whose order had no answer are stopped first.
    void adoptRuns(InstanceSession& earlier);

    /// Ends every tracked run.
    void endAll(jobs::RunEnd how);

    /// Answers that are still to come have no effect.
    void close() { isClosed_ = true; }

private:
    using Self = boost::intrusive_ptr<InstanceSession>;

    fleet::InstanceHandle handle() const;
    fleet::InstanceTime clockEstimate() const;
    bool isLeaseSurelyOver() const;
    bool isRenewalDue() const;
    void renew();
    void onRenewed(const foundation::Result<fleet::RenewAnswer>& answer, foundation::SteadyTime sentAt);
    void reconcile(const fleet::RenewAnswer& answer, foundation::SteadyTime sentAt);
    void stopForeignRuns();
    void sendStart(const jobs::TaskId& task, TrackedRun& run);
    void onStartAnswered(
        const jobs::TaskId& task, std::uint32_t number, const foundation::Result<fleet::StartAnswer>& answer);
    void onStartVerdict(const jobs::TaskId& task, TrackedRun& run, fleet::StartVerdict verdict);
    void sendStop(const jobs::TaskId& task, TrackedRun& run);
    void onStopAnswered(const jobs::TaskId& task, std::uint32_t number, const foundation::Result<void>& answer);
    void end(const jobs::TaskId& task, jobs::RunEnd how, const std::string& checkpoint);
    void noteClock(fleet::InstanceTime clock);
    void noteAnswer();
    void noteFailure(const foundation::Error& error);
    TrackedRun* find(const jobs::TaskId& task, std::uint32_t number);

    fleet::InstanceReport report_;
    SessionContext& context_;
    Runs runs_;
    std::set<std::pair<jobs::TaskId, std::uint32_t>> foreignRuns_; ///< Seen there, but not to be there.
    bool isListed_ = true;
    bool isSynced_ = false; ///< Has answered under this controller's token.
    bool isClosed_ = false;
    bool isRenewing_ = false;
    bool lastRenewalAnswered_ = true;
    int failures_ = 0; ///< Calls without an answer since the last answer.
    std::optional<fleet::InstanceTime> clock_; ///< Its clock when it last answered,
    foundation::SteadyTime clockAt_ {}; ///< and when that answer came.
    fleet::InstanceTime leaseSent_ { 0 }; ///< Latest end of the lease in any order or renewal.
    fleet::InstanceTime inheritedLeaseEnd_ { 0 }; ///< No lease of a former controller ends later.
    foundation::SteadyTime adoptedLeasesOverAt_ = foundation::SteadyTime::min();
    std::uint64_t listedEnds_ = 0;
    std::uint64_t acknowledgedEnds_ = 0;
    foundation::SteadyTime renewedAt_ {};
    foundation::SteadyTime answeredAt_ {}; ///< Latest answer to a renewal.
};

using InstanceSessionPtr = boost::intrusive_ptr<InstanceSession>;

} // namespace turmericsill::control

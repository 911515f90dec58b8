#pragma once

#include "control/advicecache.h"
#include "control/formercontrollers.h"
#include "control/instancedirectory.h"
#include "control/instancehealth.h"
#include "control/internal/instancesession.h"
#include "control/internal/isessionobserver.h"
#include "control/internal/jobtimer.h"
#include "control/internal/meteredinstancecontrol.h"
#include "control/internal/poolscheduler.h"
#include "control/internal/recordstore.h"
#include "control/internal/startwindow.h"
#include "control/internal/submissiongate.h"
#include "control/leaseauthority.h"
#include "control/snapshotter.h"
#include "control/types/controlsettings.h"
#include "eventlog/controllerwriter.h"
#include "eventlog/isubmissionpath.h"
#include "eventlog/jobfollower.h"
#include "fleet/ifleetsource.h"
#include "fleet/iinstancecontrol.h"
#include "foundation/iclock.h"
#include "foundation/itimerqueue.h"
#include "foundation/processusage.h"
#include "scheduling/types/poolview.h"
#include "telemetry/ieventsink.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace turmericsill::control {

/// Dependencies of a controller; they outlive it.
struct ControllerContext {
    eventlog::IEventLog& log;
    eventlog::ISnapshotStore& snapshots;
    eventlog::JobFollower& follower;
    fleet::IFleetSource& fleetSource;
    fleet::IInstanceControl& instances;
    fleet::IAdviceService& advice;
    foundation::IClock& clock;
    foundation::ITimerQueue& timers;
    telemetry::IEventSink& events;
    IPeerControl& peers;
};

/// Runs the fleet's jobs while this entry is the controller.
/// An intent is in the log before its start order is sent, and the end of a run is in the log before it is acknowledged
/// to the instance, so that the next controller learns from the log of every run that may exist.
class Controller : private ISessionObserver {
public:
    /// `onStepDown` is called once, when another controller has taken over.
    Controller(const ControllerContext& context, const ControlSettings& settings, std::uint64_t epoch,
        std::function<void(const std::string& reason)> onStepDown);
    ~Controller() override;

    Controller(const Controller&) = delete;
    Controller& operator=(const Controller&) = delete;

    void start();

    /// Applies a newer configuration from the operators.
    void setConfiguration(const fleet::FleetConfiguration& configuration);

    /// Names the entries that confirm this controller's control while the log does not answer.
    void setWitnesses(const std::vector<jobs::ControlWitness>& witnesses);

    /// Called after the follower has applied new records to the table of jobs.
    void onTableChanged();

    /// Periodic work: renewals, retries, expiry of final jobs, snapshots and planning. `lag` is the time by which this
    /// call is late because the thread was busy or had no processor time.
    void tick(ControlStatus status, milliseconds lag);

    std::uint64_t epoch() const { return sessionContext_.epoch; }

    /// Stores callers' records, jobs::JobSubmitted and jobs::JobCancelled, in the same appends as the controller's own.
    /// Errc::Unavailable: the log does not respond, and nothing was stored. None is rejected unless
    /// `acceptsRejections`.
    void store(
        std::vector<jobs::Record> records, bool acceptsRejections, eventlog::ISubmissionPath::StoreCallback done);

    /// Fails the pending calls of store() with Errc::Fenced, because this entry is no longer the controller. Their
    /// records may still be stored.
    void failPendingStores() { records_.failPendingStores(); }

    /// Whether the log holds every record that determines the state of the job reported to callers.
    bool isStored(jobs::JobId job) const { return records_.isStored(job); }

    const std::map<std::string, InstanceSessionPtr>& sessions() const { return sessions_; }

    /// Session of the instance that runs on a machine according to the latest report of each; null if there is none.
    InstanceSessionPtr sessionOnMachine(const std::string& machine) const;

    /// Cordons instances: they get no new work, because their machines are about to be moved or maintained.
    void setCordoned(std::set<std::string> instances);

    /// Stops a long-running task so that it restarts on another instance.
    void relocate(InstanceSession& session, const jobs::TaskId& task);

    /// Records in the log that a machine's maintenance for a wave has started.
    void recordMaintenanceStarted(std::uint64_t wave, const std::string& machine);

    /// Time since a controller first learned of a wave. Records the present time in the log if none has before.
    milliseconds waveAge(std::uint64_t wave);
    bool hasStartedMaintenance(std::uint64_t wave, const std::string& machine) const;

    /// Makes the end of the present incarnation of an instance not count as a crash. Called before an order for its
    /// machine is sent.
    void expectTakenDown(const std::string& instance);

    /// Called when an instance has ended because its machine was moved or taken down for maintenance. Reports of its
    /// present incarnation that are still in the directory are ignored from then on.
    void onMachineTakenDown(const std::string& instance);

    /// Called when the machine of such an instance turned out not to have been taken down. The next report of the
    /// instance opens a session again.
    void onMachineNotTakenDown(const std::string& instance)
    {
        endedIncarnations_.erase(instance);
        expectedDown_.erase(instance);
    }

    /// Resources requested by the ready tasks of each pool that found no room.
    std::map<std::string, jobs::Resources> unplacedByPool() const { return scheduler_.unplacedByPool(); }

    /// Tells admission control of the machines that are being moved and that can be moved.
    void setMachineSupply(const std::map<std::string, scheduling::PoolDemand>& demands,
        const std::vector<scheduling::MachineView>& movable)
    {
        submissionGate_.setArriving(scheduling::arrivingMilliCores(demands, movable));
    }

    /// Instances of a pool that accept new tasks.
    const scheduling::InstanceIndex& instancesOf(const std::string& pool);

    /// Room of a pool for tasks that are to be relocated; see scheduling::RelocationRoom.
    std::unique_ptr<scheduling::RelocationRoom> relocationRoom(
        const std::string& pool, std::set<std::string> excluded, bool awaitsShortTasks);

    /// Pool in which the tasks of a job are placed.
    const std::string& poolOf(const jobs::Job& job) const { return scheduler_.poolOf(job); }

    /// Whether a team holds more than its cap, so that none of its tasks starts.
    bool exceedsTeamCap(const std::string& team) const { return scheduler_.exceedsCap(team); }

    /// Whether the tasks of a job start only on instances for which there is a ticket.
    bool requiresTicket(const jobs::Job& job) const;

    /// Asks for tickets with which a step of a job may start.
    void requestTickets(const jobs::Job& job, const scheduling::StepId& step);

private:
    /// What keeps the thread of the controller busy.
    struct LoadReport {
        foundation::SteadyTime since {};
        std::uint64_t plans = 0;
        std::uint64_t placements = 0;
        std::uint64_t blockedPlans = 0; ///< Plans that were not allowed to start anything.
        std::string blockedBy; ///< Why, for the latest of these.
        foundation::SteadyTime::duration planTime {};
        milliseconds maximumLag { 0 };
        foundation::ProcessUsage usageAtStart; ///< At the time `since`.
    };

    void onRunStarted(InstanceSession& session, const jobs::TaskId& task) override;
    void onRunEnded(InstanceSession& session, const jobs::RunEnded& record) override;
    void onEndsListed(InstanceSession& session, std::uint64_t number) override;
    void onStartRefused(InstanceSession& session, const jobs::TaskId& task, fleet::StartResult result) override;
    void onEarlierOrderFound(InstanceSession& session, const jobs::TaskId& task) override;
    void onIncarnationEnded(InstanceSession& session, std::int64_t startedAt) override;
    void onContactChanged(InstanceSession& session, bool isInContact, const std::string& reason) override;
    void onSessionChanged(InstanceSession& session) override;
    void onFenced(InstanceSession& session) override;

    void reportLost(const InstanceSession& session, const std::string& reason);
    void onInstancesLoaded(const std::set<std::string>& present);
    void onInstanceChange(const fleet::InstanceChange& change);
    void endIncarnation(InstanceSession& session, std::int64_t startedAt);
    void recordCrash(const InstanceSession& session);
    bool isObserved(const jobs::TaskId& task) const;
    void observeSuspect(const jobs::TaskId& task, const std::string& instance);
    void failJobIfCrashing(const jobs::Job& job);
    InstanceSessionPtr makeSession(const fleet::InstanceReport& report);
    InstanceSessionPtr openSession(const fleet::InstanceReport& report);
    void replaceSession(InstanceSession& session, const InstanceSessionPtr& successor);
    void inheritRuns();
    void inheritRun(const jobs::TaskId& id, const jobs::Task& task, const jobs::StepSpec& spec);
    void removeSession(const InstanceSessionPtr& session);
    void schedulePlan();
    void plan();
    void planPools();

    /// Why a plan must not start anything; empty if it may.
    std::string_view startObstacle() const;
    void reportLoad(milliseconds lag);
    void applyJobChanges();
    void applySessionChanges();
    void excludeUntilHealthy(const std::string& instance);
    void stopRuns(const jobs::Job& job);
    void repeatStops();
    void startPlacements(const std::string& pool, const scheduling::PoolPlan& plan);
    void requestAdvice(const std::vector<scheduling::StepId>& steps, const scheduling::InstanceIndex& instances);
    void failJobIfAttemptsExhausted(const jobs::Job& job);
    void removeExpiredJobs();
    bool isSchedulable(const InstanceSession& session) const;
    SubmissionGateContext gateContext()
    {
        return { context_.follower, context_.clock, context_.events,
            [this](const std::string& pool) -> const scheduling::InstanceIndex& { return instancesOf(pool); },
            [this](const std::string& pool) { return scheduler_.findBacklog(pool); } };
    }
    scheduling::InstanceView viewOf(const InstanceSession& session) const;
    void recordIntent(const scheduling::Placement& placement);
    void sendStartOrders(const std::vector<scheduling::Placement>& placements, foundation::SteadyTime plannedAt);
    void sendStartOrder(const scheduling::Placement& placement);
    void stepDown(const std::string& reason);
    template <typename Action> void scheduleAfter(milliseconds delay, Action action);

    ControllerContext context_;
    ControlSettings settings_;
    FormerControllers formerControllers_;
    LeaseAuthority leaseAuthority_;
    MeteredInstanceControl instanceControl_;
    SessionContext sessionContext_;
    std::function<void(const std::string&)> onStepDown_;
    eventlog::ControllerWriter writer_;
    RecordStore records_;
    Snapshotter snapshotter_;
    InstanceDirectory directory_;
    InstanceHealth health_;
    AdviceCache adviceCache_;
    PoolScheduler scheduler_;
    SubmissionGate submissionGate_;
    JobTimer jobTimer_;
    StartWindow startWindow_;
    fleet::FleetConfiguration configuration_;
    std::map<std::string, InstanceSessionPtr> sessions_; ///< Key: instance name.
    std::vector<InstanceSessionPtr> changedSessions_; ///< Sessions whose instances the scheduler has to update.
    std::unordered_map<std::string, std::string> instanceOnMachine_; ///< Latest instance that a machine reported.
    /// Instances whose machine was taken down, with the start of the incarnation that ended.
    std::unordered_map<std::string, std::int64_t> endedIncarnations_;
    /// Instances whose machines were ordered to be moved or maintained, with the start of the incarnation that ends.
    std::unordered_map<std::string, std::int64_t> expectedDown_;
    /// Tasks that may crash their instances and that have just started or are about to, with the time until which their
    /// instance gets no other task.
    std::map<jobs::TaskId, foundation::SteadyTime> observedUntil_;
    std::set<std::string> cordoned_; ///< Names of the instances that get no new work.
    std::set<jobs::TaskId> blockedTasks_; ///< Tasks not placed for now because an order was refused as invalid.
    std::unordered_map<jobs::JobId, foundation::SteadyTime> finalSince_;
    foundation::SteadyTime stopsRepeatedAt_ {};
    milliseconds planDelay_ { 0 }; ///< Time from a change to the next plan.
    LoadReport load_; ///< Since the latest event "control.load".
    bool isPlanScheduled_ = false;
    ControlStatus controlStatus_ = ControlStatus::Confirmed;
    bool hasSteppedDown_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace turmericsill::control

#pragma once

#include "control/advicebook.h"
#include "control/formercontrollers.h"
#include "control/instancedirectory.h"
#include "control/instancehealth.h"
#include "control/internal/instancesession.h"
#include "control/internal/isessionobserver.h"
#include "control/snapshotter.h"
#include "control/types/controlsettings.h"
#include "eventlog/controllerwriter.h"
#include "eventlog/isubmissionpath.h"
#include "eventlog/jobfollower.h"
#include "fleet/ifleetsource.h"
#include "fleet/iinstancecontrol.h"
#include "foundation/iclock.h"
#include "foundation/itimerqueue.h"
#include "scheduling/types/poolview.h"
#include "telemetry/ieventsink.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace turmericsill::control {

/// What a controller works with; all of it outlives the controller.
struct ControllerContext {
    eventlog::IEventLog& log;
    eventlog::ISnapshotStore& snapshots;
    eventlog::JobFollower& follower;
    fleet::IFleetSource& fleetSource;
    fleet::IInstanceControl& instances;
    fleet::IAdvice& advice;
    foundation::IClock& clock;
    foundation::ITimerQueue& timers;
    telemetry::IEventSink& events;
    IPeerControl& peers;
};

/// Runs the fleet's jobs for as long as this entry is the controller.
/// Every intent stands in the log before its order is sent, every end before it is acknowledged, so that the next
/// controller knows from the log each run that may exist.
class Controller : private ISessionObserver {
public:
    /// `deposed` is called once, when another controller has taken over.
    Controller(const ControllerContext& context, const ControlSettings& settings, std::uint64_t epoch,
        std::function<void(const std::string& reason)> deposed);
    ~Controller() override;

    Controller(const Controller&) = delete;
    Controller& operator=(const Controller&) = delete;

    void start();

    /// Takes the operators' newer configuration.
    void setConfiguration(const fleet::FleetConfiguration& configuration);

    /// The follower has folded new records.
    void onTableChanged();

    /// Regular work.
    void tick(ControlConfidence confidence);

    std::uint64_t epoch() const { return sessionContext_.epoch; }

    /// Takes callers' records, Submitted and Cancelled; they are stored with what the controller writes itself.
    /// Errc::Unavailable: the log does not answer, and nothing was taken.
    void store(const std::vector<jobs::Record>& records, eventlog::ISubmissionPath::StoreCallback done);

    /// Tells callers whose records were taken and are not stored that control has ended; they may be stored all the
    /// same.
    void releaseCallers();

    /// Whether every record of the job that decides what callers are told stands in the log.
    bool isStored(jobs::JobId job) const { return !unstored_.count(job); }

    const std::map<std::string, InstanceSessionPtr>& sessions() const { return sessions_; }

    /// Instances that get no new work because their machines are about to be moved or maintained.
    void setReserved(std::set<std::string> instances) { reserved_ = std::move(instances); }

    /// Stops a long-running task so that it starts elsewhere.
    void relocate(InstanceSession& session, const jobs::TaskId& task);

    /// Writes that a machine's upkeep for a wave has begun.
    void recordUpkeep(std::uint64_t wave, const std::string& machine);

    /// How long ago a controller first learned of a wave; writes it down when none had.
    milliseconds waveAge(std::uint64_t wave);
    bool hasBegunUpkeep(std::uint64_t wave, const std::string& machine) const;

    /// The instance's machine was given to other work, which ended its life.
    void noteTaken(const std::string& instance);

    /// What found no room at the last planning, by pool.
    const std::map<std::string, scheduling::PoolPlan>& lastPlans() const { return lastPlans_; }

private:
    void onRunEnded(InstanceSession& session, const jobs::RunEnded& record) override;
    void onEndsListed(InstanceSession& session, std::uint64_t number) override;
    void onStartRefused(InstanceSession& session, const jobs::TaskId& task, fleet::StartVerdict verdict) override;
    void onLifeOver(InstanceSession& session, std::int64_t born) override;
    void onContactChanged(InstanceSession& session, bool inContact, const std::string& reason) override;
    void onFenced(InstanceSession& session) override;

    void onInstancesLoaded(const std::set<std::string>& present);
    void onInstanceChange(const fleet::InstanceChange& change);
    InstanceSessionPtr open(const fleet::InstanceReport& report);
    void replaceLife(InstanceSession& session, const fleet::InstanceReport& report);
    void inheritRuns();
    void inheritRun(const jobs::TaskId& id, const jobs::Task& task, const jobs::StepSpec& spec);
    void dismiss(const InstanceSessionPtr& session);
    void write(const jobs::Record& record);
    void writeEnd(const jobs::Record& record, jobs::JobId job);
    void takeSubmission(const jobs::Record& record);
    void holdUntilStored(jobs::JobId job);
    void schedulePlan();
    void plan();
    void stopRunsOfFinalJobs();
    void askAdvice(const scheduling::PoolPlan& plan, const scheduling::PoolView& view);
    void failIfExhausted(const jobs::TaskId& task);
    void forgetOldJobs();
    std::map<std::string, scheduling::PoolView> poolViews() const;
    std::string poolOf(const jobs::Job& job) const;
    bool mayTakeWork(const InstanceSession& session) const;
    scheduling::InstanceView viewOf(const InstanceSession& session) const;
    void start(const scheduling::Placement& placement);
    void orderAll(const std::vector<scheduling::Placement>& placements, foundation::SteadyTime plannedAt);
    void order(const scheduling::Placement& placement);
    void depose(const std::string& reason);
    template <typename Action> void later(milliseconds delay, Action action);

    ControllerContext context_;
    ControlSettings settings_;
    FormerControllers former_;
    SessionContext sessionContext_;
    std::function<void(const std::string&)> deposed_;
    eventlog::ControllerWriter writer_;
    Snapshotter snapshotter_;
    InstanceDirectory directory_;
    InstanceHealth health_;
    AdviceBook advice_;
    fleet::FleetConfiguration configuration_;
    std::map<std::string, InstanceSessionPtr> sessions_; ///< By instance.
    std::set<std::string> reserved_;
    std::set<jobs::TaskId> blocked_; ///< Refused as invalid a moment ago.
    std::map<std::string, scheduling::PoolPlan> lastPlans_;
    std::map<jobs::JobId, foundation::SteadyTime> finalSince_;
    std::map<jobs::JobId, int> unstored_; ///< How many of a job's deciding records are not in the log yet.
    std::map<std::uint64_t, eventlog::ISubmissionPath::StoreCallback> waitingCallers_;
    std::uint64_t nextCaller_ = 0;
    bool planScheduled_ = false;
    ControlConfidence confidence_ = ControlConfidence::Confirmed;
    bool isDeposed_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace turmericsill::control

#pragma once

#include "emulator/emulatedinstance.h"
#include "fleet/types/fleet.h"
#include "jobs/types/jobspec.h"
#include "jobs/types/taskid.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace turmericsill::emulator {

/// Place of a disruption.
enum class Disruption {
    Peripheral, ///< At an entry, an instance or a link.
    Store, ///< At the platform's store, which counts as stable only some time later.
};

/// Time in which a declared configuration must be in force at every entry.
constexpr milliseconds configurationBound { 2000 };

/// An entry's answer about the queue of a request.
struct QueueAnswer {
    std::string entry;
    foundation::SteadyTime entryStartedAt;
    std::string host;
    std::string path;
    bool isFound = false;
    bool isCurrent = false; ///< Whether the entry relies on its configuration.
};

/// Checks the invariants of job execution by comparing what callers were told with what instances run.
class InvariantChecker {
public:
    using Instances = std::map<std::string, std::unique_ptr<EmulatedInstance>>;

    explicit InvariantChecker(const Instances& instances, const foundation::IClock& clock);

    /// A caller submitted a job; the outcome follows through one or more of the next three functions.
    void onSubmitted(jobs::JobId job, const jobs::JobSpec& spec);
    void onAccepted(jobs::JobId job);
    void onRefused(jobs::JobId job) { refused_.insert(job); }
    void onOutcomeUnknown(jobs::JobId job) { unknown_.insert(job); }
    void onCancelRequested(jobs::JobId job) { cancelRequested_.insert(job); }
    void onCancelled(jobs::JobId job);

    /// A caller was told that a job is completed.
    void onReportedCompleted(jobs::JobId job);

    /// A caller was told the number of pending jobs; `askedAt` is the time of its request.
    void onReportedPending(std::size_t pending, foundation::SteadyTime askedAt);

    /// An operator declared a configuration and was told that it is stored.
    void onConfigurationDeclared(const fleet::FleetConfiguration& configuration);

    /// An entry was asked for the queue of a request.
    void onQueueLookup(const QueueAnswer& answer);

    /// An entry, an instance, a link or the store is disturbed at this moment. Workers that leave after a notice,
    /// cancellations and new workers are no disruption.
    void onDisruption(Disruption kind);

    /// An entry's process is started or told to end at this moment.
    void onEntryChanged() { entriesSteadySince_ = clock_.now(); }

    /// Checks at this moment that no task of a cancelled job is at work longer than the platform allows.
    void checkCancelledRuns();

    /// Checks at this moment that no task of a long-running job is without a run longer than the platform allows.
    /// `listed` are the instances in the directory.
    void checkMissingRuns(const std::map<std::string, fleet::InstanceReport>& listed);

    /// Suspends the invariants with a time bound while an instance executes an order that arrived late.
    void setExecutingLateOrder(bool isLate) { isExecutingLateOrder_ = isLate; }

    /// An instance got an order to start a run.
    void onStartOrdered(const fleet::StartOrder& order);

    /// An instance started a run, which its list of runs already contains.
    void onRunStarted(const EmulatedInstance& instance, const jobs::TaskId& task);

    /// A task has crashed the instance that started it.
    void onInstanceCrashed(const jobs::TaskId& task) { ++crashes_[task]; }

    /// Number of starts of a task.
    std::size_t startsOf(const jobs::TaskId& task) const;

    /// The controller acknowledged the end of a run.
    void onEndAcknowledged(const fleet::ObservedEnd& end);

    /// Violated invariants, each with the task or job concerned.
    const std::vector<std::string>& violations() const { return violations_; }

    const std::set<jobs::JobId>& acceptedJobs() const { return accepted_; }
    bool isCancelled(jobs::JobId job) const { return cancelledAt_.count(job) > 0; }
    const jobs::JobSpec* findSpec(jobs::JobId job) const;

private:
    /// Since when a task that lasts has been without a run.
    struct LastingTask {
        foundation::SteadyTime lastAtWork; ///< Time of its last run, or of the acceptance of its job.
        foundation::SteadyTime roomSince; ///< Time from which on there has been capacity for it twice over.
        bool isReported = false;
    };

    void checkMissingRun(const jobs::TaskId& task, const jobs::StepSpec& step,
        const std::map<std::string, fleet::InstanceReport>& listed);
    bool hasRoomTwice(const jobs::TaskId& task, const jobs::StepSpec& step,
        const std::map<std::string, fleet::InstanceReport>& listed) const;
    bool isDue(const jobs::TaskId& task, const jobs::JobSpec& spec) const;
    void addViolation(const std::string& invariant, const std::string& detail);
    void checkRoute(const EmulatedInstance& instance, const jobs::TaskId& task, const jobs::StepSpec& step);
    void checkCapacity(const EmulatedInstance& instance, const jobs::TaskId& task);
    void checkDependencies(const jobs::TaskId& task, const jobs::JobSpec& spec);

    const Instances& instances_;
    const foundation::IClock& clock_;
    std::map<jobs::JobId, jobs::JobSpec> specs_;
    std::map<jobs::JobId, std::string> pools_; ///< Pools of the queues that jobs were submitted to.
    std::set<jobs::JobId> accepted_;
    std::map<jobs::JobId, foundation::SteadyTime> acceptedAt_; ///< Time of the first acceptance.
    std::set<jobs::JobId> started_; ///< Jobs of which an instance has started a task.
    std::set<jobs::JobId> refused_;
    std::set<jobs::JobId> unknown_;
    std::set<jobs::JobId> cancelRequested_; ///< Jobs that may be cancelled, whether or not a caller was told so.
    std::map<jobs::JobId, foundation::SteadyTime> cancelledAt_;
    std::set<jobs::JobId> completed_;
    std::map<jobs::TaskId, std::size_t> starts_;
    std::map<jobs::TaskId, std::size_t> crashes_; ///< Number of instances that a task has crashed.
    std::map<jobs::TaskId, std::size_t> startsAfterCrashes_; ///< Starts after the bound of crashes was reached.
    /// Checkpoint that the members of a gang carry, by their run and the first task of their step.
    std::map<std::pair<jobs::TaskId, std::uint32_t>, std::string> gangCheckpoints_;
    std::set<jobs::TaskId> doneTasks_; ///< Tasks of which an end with RunOutcome::Done was acknowledged.
    /// Time from which on no disruption is near: of the latest one, and for the store of the end of its instability.
    foundation::SteadyTime undisturbedSince_ {};
    /// Time from which on the entries count as in touch with the platform.
    foundation::SteadyTime inTouchSince_ {};
    /// Time of the latest start or shutdown of an entry.
    foundation::SteadyTime entriesSteadySince_ {};
    std::map<jobs::TaskId, LastingTask> lastingTasks_; ///< Tasks of accepted long-running jobs.
    std::map<jobs::TaskId, foundation::SteadyTime> lateStarts_; ///< Tasks whose latest start was by a late order.
    std::set<jobs::TaskId> overdueTasks_; ///< Tasks of cancelled jobs that were found at work too late.
    std::vector<std::pair<foundation::SteadyTime, fleet::FleetConfiguration>> configurations_; ///< With their times.
    std::vector<std::string> violations_;
    bool isExecutingLateOrder_ = false;
};

} // namespace turmericsill::emulator

#pragma once

#include "jobs/jobmemory.h"
#include "jobs/occurrencebudget.h"
#include "jobs/snapshotcodec.h"
#include "jobs/types/job.h"
#include "jobs/types/records.h"

#include <boost/intrusive/list.hpp>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace turmericsill::jobs {

/// State machine of a log partition: holds every accepted job with the runs that may exist, according to the records
/// that were applied.
/// A record that does not fit the current state has no effect, so applying a record twice is harmless.
/// The state does not depend on how the callers' records interleave with those of the controller.
class JobTable {
public:
    using JobList = boost::intrusive::list<Job, boost::intrusive::base_hook<JobListHook>,
        boost::intrusive::constant_time_size<true>>;

    JobTable() = default;
    ~JobTable();
    JobTable(const JobTable&) = delete;
    JobTable& operator=(const JobTable&) = delete;

    /// Applies the next record of the log.
    void apply(const Record& record);

    /// Starts the occurrences of scheduled jobs that are due by this wall-clock time, with all their tasks pending, as
    /// far as few enough are under way; see Job::canStartOccurrence() and OccurrenceBudget.
    void startDueOccurrences(milliseconds wallTime);

    /// Restores the header and then each job of a snapshot; for a table to which no record was applied.
    void restore(const SnapshotHeader& header);
    void restore(std::unique_ptr<Job> job);

    /// Header of a snapshot that covers the log up to, but not including, `offset`.
    SnapshotHeader snapshotHeader(std::uint64_t offset) const
    {
        return { offset, claims_, startedMaintenance_, waveFirstSeenTimes_, unknownCancellationOrder_, restarts_ };
    }

    /// The job, or null when it is unknown or was removed after its retention.
    const Job* find(JobId id) const;

    /// The task, or null when its job is unknown, its occurrence has not started or the job has no such task.
    const Task* find(const TaskId& id) const;

    /// Drops the details of the jobs that were completed since the previous call. What follows a change of a job has to
    /// be done with by then.
    void dropDetailsOfCompletedJobs();

    /// Estimated memory of the jobs that are not completed.
    const JobMemory& memory() const { return memory_; }

    /// Jobs that may still begin runs or that have active runs.
    const JobList& openJobs() const { return openJobs_; }

    /// Jobs that are final and have no active runs, in the order in which they ended.
    const JobList& finalJobs() const { return finalJobs_; }

    /// Returns the jobs whose state has changed since the previous call, in the order of their first change. Jobs that
    /// were removed meanwhile are left out; they were final before.
    std::vector<JobId> takeChangedJobs();

    /// Number of open jobs of a queue of which no task is known to have started. A job whose start orders have not been
    /// confirmed by an instance counts: they may have had no effect.
    std::size_t pendingJobs(const std::string& queue) const;

    /// Number of the pending jobs of a queue that have a run whose start is not confirmed.
    std::size_t jobsAwaitingStart(const std::string& queue) const;

    /// The latest claim of control; its epoch is 0 when there is none.
    const ControlClaimed& latestClaim() const;

    /// The retained claims of control, oldest first.
    const std::deque<ControlClaimed>& claims() const { return claims_; }

    /// The latest restart of each instance, by its name, unless it was forgotten.
    const std::map<std::string, InstanceRestarted>& restarts() const { return restarts_; }

    /// Number of records of restarts that were applied or restored.
    std::uint64_t restartCount() const { return restartCount_; }

    /// Forgets the restart of an instance, to whose later incarnation no lease of an earlier one applies any more.
    void forgetRestart(const std::string& instance) { restarts_.erase(instance); }

    /// Whether the maintenance of a machine as part of a wave has started.
    bool hasStartedMaintenance(std::uint64_t wave, const std::string& machine) const;

    /// Wall-clock time at which a controller first learned of a maintenance wave; empty if none has.
    std::optional<milliseconds> waveFirstSeenAt(std::uint64_t wave) const;

private:
    void applyRecord(const ControlClaimed& record);
    void applyRecord(const JobSubmitted& record);
    void applyRecord(const JobCancelled& record);
    void applyRecord(const RunIntended& record);
    void applyRecord(const RunEnded& record);
    void applyRecord(const JobFailed& record);
    void applyRecord(const JobExpired& record);
    void applyRecord(const MaintenanceStarted& record) { startedMaintenance_.emplace(record.wave, record.machine); }
    void applyRecord(const RunBatch& record);
    void applyRecord(const JobsStarted& record);
    void applyRecord(const InstanceCrashed& record);
    void applyRecord(const WitnessesChanged& record);
    void applyRecord(const InstanceRestarted& record);
    void applyRecord(const WaveFirstSeen& record) { waveFirstSeenTimes_.emplace(record.wave, record.seenAt); }

    using ChangedJobList = boost::intrusive::list<Job, boost::intrusive::base_hook<ChangedJobHook>,
        boost::intrusive::constant_time_size<false>>;

    Job* findMutableJob(JobId id);

    /// Marks the crashes that a convicted task has caused as explained in the histories of all other tasks.
    void explainCrashes(const TaskId& cause);

    /// Adds a job to the table and to the list that its state belongs to.
    void insert(std::unique_ptr<Job> job);
    void markChanged(Job& job);
    void keepCheckpoint(Job& job, const RunEnded& record);
    void finishTask(Job& job, const TaskId& id, Task& task);

    /// Moves an open job to the final ones once it is final and its last run has ended.
    void moveToFinalIfEnded(Job& job);

    /// Retains the cancellation of a job whose submission has not been read yet.
    void addUnknownCancellation(JobId id);

    std::unordered_map<JobId, std::unique_ptr<Job>> jobs_;
    ChangedJobList changedJobs_;
    std::set<JobId> jobsWithCrashes_; ///< Jobs with crash histories.
    std::set<JobId> scheduledJobs_; ///< Jobs with a schedule that may still start occurrences.
    OccurrenceBudget occurrenceBudget_;
    JobMemory memory_;
    std::vector<JobId> completedWithDetails_; ///< Jobs whose details dropDetailsOfCompletedJobs() drops.
    JobList openJobs_;
    JobList finalJobs_;
    std::unordered_set<JobId> unknownCancellations_; ///< Jobs that were cancelled before their submission was read.
    std::deque<JobId> unknownCancellationOrder_; ///< The same jobs, oldest cancellation first.
    std::set<std::pair<std::uint64_t, std::string>> startedMaintenance_; ///< Wave and machine.
    std::map<std::uint64_t, milliseconds> waveFirstSeenTimes_;
    std::deque<ControlClaimed> claims_; ///< Oldest first.
    std::map<std::string, InstanceRestarted> restarts_; ///< Key: name of the instance.
    std::uint64_t restartCount_ = 0;
};

} // namespace turmericsill::jobs

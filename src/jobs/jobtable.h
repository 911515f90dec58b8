#pragma once

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

namespace turmericsill::jobs {

/// The fold of a partition's records: every accepted job with the runs that may exist.
/// Records that do not fit the state have no effect, so a repeated record is folded once.
/// The result does not depend on how callers' records and the controller's interleave.
class JobTable {
public:
    using JobList = boost::intrusive::list<Job, boost::intrusive::constant_time_size<true>>;

    JobTable() = default;
    ~JobTable();
    JobTable(const JobTable&) = delete;
    JobTable& operator=(const JobTable&) = delete;

    void apply(const Record& record);

    /// Makes the tasks of occurrences that are due by this time of day appear as idle.
    void beginDueOccurrences(milliseconds timeOfDay);

    /// Takes what a snapshot holds; called on an empty table.
    void restore(const SnapshotHead& head);
    void restore(std::unique_ptr<Job> job);

    /// What a snapshot that holds the log up to `offset` says besides the jobs.
    SnapshotHead head(std::uint64_t offset) const
    {
        return { offset, claims_, upkeepBegun_, wavesSeen_, cancelledOrder_ };
    }

    /// The job, or null when it is unknown or was forgotten.
    const Job* find(JobId id) const;

    /// The task, or null.
    const Task* find(const TaskId& id) const;

    /// Jobs that may still start or still have runs.
    const JobList& openJobs() const { return open_; }

    /// Jobs that are final and have no runs, in the order in which they ended.
    const JobList& finalJobs() const { return final_; }

    /// Accepted jobs of a queue of which no task has started.
    std::size_t pendingJobs(const std::string& queue) const;

    /// The latest claim; its epoch is 0 when there is none.
    const Claimed& claim() const;

    /// The latest claims, the oldest first.
    const std::deque<Claimed>& claims() const { return claims_; }

    /// Whether the upkeep of a machine for a wave has begun.
    bool hasBegunUpkeep(std::uint64_t wave, const std::string& machine) const;

    /// Time of day at which a controller first learned of a wave; nothing if none has.
    std::optional<milliseconds> waveSeenAt(std::uint64_t wave) const;

private:
    void fold(const Claimed& record);
    void fold(const Submitted& record);
    void fold(const Cancelled& record);
    void fold(const RunIntended& record);
    void fold(const RunEnded& record);
    void fold(const JobFailed& record);
    void fold(const JobForgotten& record);
    void fold(const UpkeepBegun& record) { upkeepBegun_.emplace(record.wave, record.machine); }

    void fold(const WaveSeen& record) { wavesSeen_.emplace(record.wave, record.seenAt); }

    Job* findMutable(JobId id);
    void finishTask(Job& job, const TaskId& id, Task& task);
    void settle(Job& job);
    void rememberCancelled(JobId id);

    std::unordered_map<JobId, std::unique_ptr<Job>> jobs_;
    JobList open_;
    JobList final_;
    std::unordered_set<JobId> cancelledUnknown_; ///< Cancelled before their submission was read.
    std::deque<JobId> cancelledOrder_;
    std::set<std::pair<std::uint64_t, std::string>> upkeepBegun_;
    std::map<std::uint64_t, milliseconds> wavesSeen_;
    std::deque<Claimed> claims_;
};

} // namespace turmericsill::jobs

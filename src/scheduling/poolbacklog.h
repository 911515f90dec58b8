#pragma once

#include "foundation/iclock.h"
#include "scheduling/types/poolview.h"

#include <map>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

namespace turmericsill::scheduling {

/// Place of a job in the order in which its pool serves jobs.
struct JobRank {
    int priority = 0; ///< Priority of the queue; lower values are served first.
    bool isShort = false; ///< Long-running jobs precede the others.
    bool isLate = false; ///< The job misses its objective even if it starts at once.
    double remainingCoreSeconds = 0; ///< Estimated work that is not done.
    jobs::JobId job = 0;

    bool operator<(const JobRank& other) const
    {
        return std::tie(priority, isShort, isLate, remainingCoreSeconds, job)
            < std::tie(other.priority, other.isShort, other.isLate, other.remainingCoreSeconds, other.job);
    }
};

/// A step with tasks that are ready to run.
struct WaitingStep {
    StepId id;
    jobs::Resources need; ///< Resources that one task reserves.
    std::uint32_t tasks = 0; ///< Number of tasks that wait.
    std::string requiredLabel;
    bool isTicketRequired = false;
};

/// Tasks of a pool that are ready to run and wait for room. Jobs are ordered by the priority of their queue, then
/// long-running jobs first, then jobs that can still meet their objective, then by the least remaining work, so that a
/// surge delays few large jobs rather than many small ones, and a large job is not delayed by others that are late
/// already. Late jobs are served when the others have found room.
class PoolBacklog {
public:
    using Jobs = std::map<JobRank, std::vector<WaitingStep>>;

    /// Updates the waiting steps and the rank of a job. `queue` is null if the job's queue was removed.
    void update(const jobs::Job& job, const fleet::Queue* queue, foundation::SteadyTime submittedAt);
    void remove(jobs::JobId job);

    /// Lowers the rank of the jobs that have become late by now. The work follows their number.
    void demoteLateJobs(foundation::SteadyTime now);

    /// Whether a job has tasks that are ready and wait for room.
    bool contains(jobs::JobId job) const { return ranks_.count(job) > 0; }

    /// Waiting steps by job, in the order of service; the steps of a job in the order of their occurrence and number.
    const Jobs& jobs() const { return jobs_; }

private:
    Jobs jobs_;
    std::unordered_map<jobs::JobId, JobRank> ranks_;
    std::set<std::pair<foundation::SteadyTime, jobs::JobId>> latestStarts_; ///< Of the jobs that are not late.
    std::unordered_map<jobs::JobId, foundation::SteadyTime> latestStartOf_; ///< The same by job.
    foundation::SteadyTime demotedUntil_ = foundation::SteadyTime::min(); ///< Latest call of demoteLateJobs().
};

/// Time at which a job has to go on at the latest to meet the objective of its queue, according to its estimates; the
/// latest time there is for long-running and scheduled jobs and those whose queue was removed.
foundation::SteadyTime latestStart(const jobs::Job& job, const fleet::Queue* queue, foundation::SteadyTime submittedAt);

/// Estimated work of the tasks of a job that are not done, in core-seconds.
double remainingCoreSeconds(const jobs::Job& job);

} // namespace turmericsill::scheduling

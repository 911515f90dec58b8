#pragma once

#include "scheduling/types/poolview.h"

#include <map>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace turmericsill::scheduling {

/// Place of a job in the order in which its pool serves jobs.
struct JobRank {
    int priority = 0; ///< Priority of the queue; lower values are served first.
    bool isShort = false; ///< Long-running jobs precede the others.
    double remainingCoreSeconds = 0; ///< Estimated work that is not done.
    jobs::JobId job = 0;

    bool operator<(const JobRank& other) const
    {
        return std::tie(priority, isShort, remainingCoreSeconds, job)
            < std::tie(other.priority, other.isShort, other.remainingCoreSeconds, other.job);
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
/// long-running jobs first, then by the least remaining work, so that a surge delays few large jobs rather than many
/// small ones.
class PoolBacklog {
public:
    using Jobs = std::map<JobRank, std::vector<WaitingStep>>;

    /// Updates the waiting steps and the rank of a job. `queue` is null if the job's queue was removed.
    void update(const jobs::Job& job, const fleet::Queue* queue);
    void remove(jobs::JobId job);

    /// Whether a job has tasks that are ready and wait for room.
    bool contains(jobs::JobId job) const { return ranks_.count(job) > 0; }

    /// Waiting steps by job, in the order of service; the steps of a job in the order of their occurrence and number.
    const Jobs& jobs() const { return jobs_; }

private:
    Jobs jobs_;
    std::unordered_map<jobs::JobId, JobRank> ranks_;
};

/// Estimated work of the tasks of a job that are not done, in core-seconds.
double remainingCoreSeconds(const jobs::Job& job);

} // namespace turmericsill::scheduling

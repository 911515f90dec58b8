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
    bool exceedsTeamRate = false; ///< See jobs::JobSubmitted; false if no teams are configured.
    bool isLate = false; ///< The job misses its objective even if it starts at once.
    double remainingCoreSeconds = 0; ///< Estimated work that is not done.
    jobs::JobId job = 0;

    bool operator<(const JobRank& other) const
    {
        return std::tie(priority, isShort, exceedsTeamRate, isLate, remainingCoreSeconds, job)
            < std::tie(other.priority, other.isShort, other.exceedsTeamRate, other.isLate, other.remainingCoreSeconds,
                other.job);
    }
};

/// A step with tasks that are ready to run.
struct WaitingStep {
    StepId id;
    jobs::Resources need; ///< Resources that one task reserves.
    std::uint32_t tasks = 0; ///< Number of tasks that wait.
    std::string requiredLabel;
    bool isTicketRequired = false;
    bool isGang = false;
    jobs::Resources request; ///< Full request of one task, of which best-effort tasks reserve a part only.
};

/// Number of a team in a PoolBacklog.
using TeamIndex = std::uint32_t;
constexpr TeamIndex noTeam = 0; ///< Of jobs without a team, and of all jobs if no teams are configured.

/// A job with steps that wait.
struct WaitingJob {
    std::vector<WaitingStep> steps; ///< In the order of their occurrence and number.
    TeamIndex team = noTeam;
    foundation::SteadyTime submittedAt;
};

/// Waiting jobs of a team.
struct TeamBacklog {
    std::string team;
    std::uint32_t waitingJobs = 0;
    std::uint32_t jobsBeyondRate = 0; ///< Number of these with JobRank::exceedsTeamRate.
};

/// Tasks of a pool that are ready to run and wait for room. Jobs are ordered by the priority of their queue, then
/// long-running jobs first, then jobs within the rate of their team, then jobs that can still meet their objective,
/// then by the least remaining work, so that a surge delays few large jobs rather than many small ones, and a large job
/// is not delayed by others that are late already. Late jobs are served when the others have found room.
class PoolBacklog {
public:
    using Jobs = std::map<JobRank, WaitingJob>;

    /// Updates the waiting steps and the rank of a job. `queue` is null if the job's queue was removed.
    /// `usesTeams`: whether teams are configured.
    void update(
        const jobs::Job& job, const fleet::Queue* queue, foundation::SteadyTime submittedAt, bool usesTeams = false);
    void remove(jobs::JobId job);

    /// Lowers the rank of the jobs that have become late by now. The work follows their number.
    void demoteLateJobs(foundation::SteadyTime now);

    /// Whether a job has tasks that are ready and wait for room.
    bool contains(jobs::JobId job) const { return ranks_.count(job) > 0; }

    /// Waiting jobs in the order of service.
    const Jobs& jobs() const { return jobs_; }

    /// Waiting jobs of each team that has had any. The index is WaitingJob::team; the first has no name.
    const std::vector<TeamBacklog>& teams() const { return teams_; }

private:
    TeamIndex indexOf(const std::string& team);

    Jobs jobs_;
    std::vector<TeamBacklog> teams_ { TeamBacklog() };
    std::unordered_map<std::string, TeamIndex> teamIndexes_; ///< Key: name.
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

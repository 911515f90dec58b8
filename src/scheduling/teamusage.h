#pragma once

#include "fleet/types/fleet.h"
#include "jobs/types/job.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

namespace turmericsill::scheduling {

/// Resources that the runs of each team hold on all instances together, with the caps and weights of the teams.
///
/// A run counts from its intent in the log to its end in the log (jobs::TaskPhase::Active), with everything that its
/// task requests, so also while it is being stopped, while its order is not answered, and if a former controller
/// ordered it. The usage is a function of the table of jobs and of the placements of the plan in progress.
class TeamUsage {
public:
    /// Weight of a team that the configuration does not contain.
    static constexpr double unknownTeamWeight = 1;

    /// Runs of a team and its limits.
    struct Team {
        double weight = unknownTeamWeight;
        jobs::Resources cap; ///< A resource is not limited where it is 0.
        jobs::Resources held; ///< Full requests of the active runs.
        std::uint32_t runs = 0; ///< Number of active runs.
        std::map<std::string, std::int64_t> milliCoresByPool; ///< Processor time that the runs reserve. Key: pool.
    };

    /// Applies the caps and weights of a configuration. A team that it does not contain has no cap.
    void setTeams(const std::map<std::string, fleet::Team>& declared);

    /// Replaces what the runs of a job count by its active runs. `pool`: pool in which they run. Returns whether the
    /// team of the job holds less of a resource than before.
    bool update(const jobs::Job& job, const std::string& pool);
    bool remove(jobs::JobId id);

    /// Counts placed tasks of a step of a job until the next update of the job.
    void addPlacements(const jobs::Job& job, const std::string& pool, const jobs::StepSpec& step, std::uint32_t tasks);

    /// How many of `tasks` tasks with this request fit under the cap of a team. A task that alone exceeds the cap fits
    /// if the team runs nothing.
    static std::uint32_t tasksUnderCap(const Team& team, const jobs::Resources& request, std::uint32_t tasks);

    /// The part of a demand for more room that the cap of a team lets it use, if it holds `demanded` in addition.
    static jobs::Resources demandUnderCap(
        const Team& team, const jobs::Resources& demanded, const jobs::Resources& demand);

    /// The team of this name, which need not be in the configuration. The reference stays valid until setTeams().
    const Team& team(const std::string& name) { return teams_[name]; }

    /// Teams of the configuration and those of jobs, by name. Jobs without a team count under the empty name.
    const std::map<std::string, Team>& teams() const { return teams_; }

    /// Processor time that all runs in a pool reserve, in thousandths of a core.
    std::int64_t reservedMilliCores(const std::string& pool) const;

private:
    /// What the runs of a job count.
    struct JobUsage {
        std::string team;
        std::string pool;
        jobs::Resources held;
        std::int64_t reservedMilliCores = 0;
        std::uint32_t runs = 0;
    };

    static void addRuns(JobUsage& usage, const jobs::StepSpec& step, std::uint32_t runs);
    void add(const JobUsage& usage);
    void subtract(const JobUsage& usage);

    std::map<std::string, Team> teams_;
    std::unordered_map<jobs::JobId, JobUsage> jobs_; ///< Jobs with active runs.
};

} // namespace turmericsill::scheduling

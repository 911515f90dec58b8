#pragma once

#include "scheduling/poolbacklog.h"
#include "scheduling/teamusage.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace turmericsill::scheduling {

/// Share of each team with work that runs or waits in a pool: its part of the sum of the weights of these teams, of the
/// processor time of the pool, in thousandths of a core. Key: team.
std::map<std::string, double> sharesOfPool(
    const TeamUsage& usage, const PoolBacklog& backlog, const std::string& pool, std::int64_t capacityMilliCores);

/// Caps and shares of the teams during one plan of a pool. Teams are numbered as in the backlog; the jobs of number 0
/// have no team, so neither cap nor share.
class TeamShares {
public:
    /// `overdueBefore`: jobs submitted before then are served although their team is above its share; empty if none is
    /// in this plan.
    TeamShares(TeamUsage& usage, const PoolBacklog& backlog, std::string pool, std::int64_t freeMilliCores,
        std::optional<foundation::SteadyTime> overdueBefore = std::nullopt);

    TeamShares(const TeamShares&) = delete;
    TeamShares& operator=(const TeamShares&) = delete;

    /// Whether a job of the team precedes those of teams above their share.
    bool isBelowShare(TeamIndex team) const;

    /// Number of tasks of a step that bring the team to its share; 0 if it is not below.
    std::uint32_t tasksWithinShare(TeamIndex team, const WaitingStep& step) const;

    /// How many of `tasks` tasks of a step fit under the cap of the team.
    std::uint32_t tasksUnderCap(TeamIndex team, const WaitingStep& step, std::uint32_t tasks) const;

    /// Limits a demand for more room to what the cap of the team lets it use, in addition to the demands before.
    jobs::Resources limitDemand(TeamIndex team, const jobs::Resources& demand);

    void addPlacements(TeamIndex team, const jobs::Job& job, const WaitingStep& step, std::uint32_t tasks);

    /// Counts tasks that wait because of the cap of their team.
    void addHeldByCap(TeamIndex team, std::uint32_t tasks);

    /// Reports that an overdue job was tried, and whether a task of it was placed.
    void onOverdueJobTried(bool isPlaced)
    {
        overdueState_ = std::max(overdueState_, isPlaced ? OverdueState::Served : OverdueState::Waiting);
    }

    /// Whether overdue jobs found no room, so that the next plan tries them again.
    bool areOverdueJobsWaiting() const { return overdueState_ == OverdueState::Waiting; }

    /// See the constructor.
    std::optional<foundation::SteadyTime> overdueBefore() const { return overdueBefore_; }

    /// Number of tasks that wait because of the cap of their team. Key: team.
    const std::map<std::string, std::uint64_t>& heldByCap() const { return heldByCap_; }

private:
    enum class OverdueState : std::uint8_t { None, Waiting, Served };

    struct PlannedTeam {
        const std::string* name = nullptr;
        const TeamUsage::Team* usage = nullptr;
        double share = 0;
        std::int64_t reserved = 0; ///< Processor time in this pool, with the placements of the plan.
        jobs::Resources demanded; ///< Demand for more room that was added to the plan.
    };

    TeamUsage& usage_;
    std::string pool_;
    std::optional<foundation::SteadyTime> overdueBefore_;
    OverdueState overdueState_ = OverdueState::None;
    std::vector<PlannedTeam> teams_; ///< Index: TeamIndex.
    std::map<std::string, std::uint64_t> heldByCap_;
};

} // namespace turmericsill::scheduling

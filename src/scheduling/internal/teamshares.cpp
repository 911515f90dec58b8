#include "scheduling/teamshares.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace turmericsill::scheduling {

namespace {

    std::int64_t reservedIn(const TeamUsage::Team& team, const std::string& pool)
    {
        const auto inPool = team.milliCoresByPool.find(pool);
        return inPool == team.milliCoresByPool.end() ? 0 : inPool->second;
    }

} // namespace

std::map<std::string, double> sharesOfPool(
    const TeamUsage& usage, const PoolBacklog& backlog, const std::string& pool, std::int64_t capacityMilliCores)
{
    std::map<std::string, double> weights;
    for (const TeamBacklog& waiting : backlog.teams()) {
        const auto known = usage.teams().find(waiting.team);
        if (waiting.waitingJobs > 0)
            weights[waiting.team] = known == usage.teams().end() ? TeamUsage::unknownTeamWeight : known->second.weight;
    }
    for (const auto& [name, team] : usage.teams()) {
        if (reservedIn(team, pool) > 0)
            weights[name] = team.weight;
    }
    weights.erase(std::string());
    double sum = 0;
    for (const auto& [name, weight] : weights)
        sum += weight;
    for (auto& [name, weight] : weights)
        weight = sum > 0 ? weight / sum * static_cast<double>(capacityMilliCores) : 0;
    return weights;
}

TeamShares::TeamShares(TeamUsage& usage, const PoolBacklog& backlog, std::string pool, std::int64_t freeMilliCores,
    std::optional<foundation::SteadyTime> overdueBefore)
    : usage_(usage)
    , pool_(std::move(pool))
    , overdueBefore_(overdueBefore)
{
    const auto shares = sharesOfPool(usage, backlog, pool_, freeMilliCores + usage.reservedMilliCores(pool_));
    teams_.reserve(backlog.teams().size());
    for (const TeamBacklog& waiting : backlog.teams()) {
        const TeamUsage::Team& team = usage_.team(waiting.team);
        const auto share = shares.find(waiting.team);
        teams_.push_back(
            { &waiting.team, &team, share == shares.end() ? 0 : share->second, reservedIn(team, pool_), {} });
    }
}

bool TeamShares::isBelowShare(TeamIndex team) const
{
    return team == noTeam || static_cast<double>(teams_[team].reserved) < teams_[team].share;
}

std::uint32_t TeamShares::tasksWithinShare(TeamIndex team, const WaitingStep& step) const
{
    if (!isBelowShare(team))
        return 0;
    if (team == noTeam || step.need.milliCores <= 0)
        return std::numeric_limits<std::uint32_t>::max();
    const double left = teams_[team].share - static_cast<double>(teams_[team].reserved);
    return static_cast<std::uint32_t>(std::ceil(left / static_cast<double>(step.need.milliCores)));
}

std::uint32_t TeamShares::tasksUnderCap(TeamIndex team, const WaitingStep& step, std::uint32_t tasks) const
{
    return team == noTeam ? tasks : TeamUsage::tasksUnderCap(*teams_[team].usage, step.request, tasks);
}

jobs::Resources TeamShares::limitDemand(TeamIndex team, const jobs::Resources& demand)
{
    if (team == noTeam)
        return demand;
    const jobs::Resources limited = TeamUsage::demandUnderCap(*teams_[team].usage, teams_[team].demanded, demand);
    teams_[team].demanded += limited;
    return limited;
}

void TeamShares::addPlacements(TeamIndex team, const jobs::Job& job, const WaitingStep& step, std::uint32_t tasks)
{
    usage_.addPlacements(job, pool_, job.spec.steps[step.id.step], tasks);
    teams_[team].reserved += step.need.milliCores * tasks;
}

void TeamShares::addHeldByCap(TeamIndex team, std::uint32_t tasks)
{
    if (tasks > 0)
        heldByCap_[*teams_[team].name] += tasks;
}

} // namespace turmericsill::scheduling

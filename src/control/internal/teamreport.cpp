#include "control/internal/teamreport.h"

#include "scheduling/teamshares.h"

#include <utility>

namespace turmericsill::control {

namespace {

    constexpr foundation::milliseconds reportInterval { 1000 };

} // namespace

bool TeamReport::isDue(foundation::SteadyTime now) const
{
    return writtenAt_ == foundation::SteadyTime::min() || now - writtenAt_ >= reportInterval;
}

void TeamReport::addPool(const std::string& pool, const scheduling::PoolBacklog& backlog, std::int64_t freeMilliCores,
    const std::map<std::string, std::uint64_t>& heldByCap, const scheduling::TeamUsage& usage)
{
    for (const scheduling::TeamBacklog& waiting : backlog.teams()) {
        if (waiting.team.empty() || waiting.waitingJobs == 0)
            continue;
        teams_[waiting.team].waitingJobs += waiting.waitingJobs;
        teams_[waiting.team].jobsBeyondRate += waiting.jobsBeyondRate;
    }
    for (const auto& [team, tasks] : heldByCap)
        teams_[team].tasksHeldByCap += tasks;
    const std::int64_t capacity = freeMilliCores + usage.reservedMilliCores(pool);
    for (const auto& [team, share] : scheduling::sharesOfPool(usage, backlog, pool, capacity))
        teams_[team].shareMilliCores += share;
}

void TeamReport::write(const scheduling::TeamUsage& usage, foundation::SteadyTime now)
{
    writtenAt_ = now;
    for (const auto& [name, team] : usage.teams()) {
        if (team.runs > 0 && !name.empty())
            teams_.try_emplace(name);
    }
    std::set<std::string> withWork;
    for (const auto& [name, work] : teams_)
        withWork.insert(name);
    for (const std::string& name : std::exchange(reported_, withWork))
        teams_.try_emplace(name);
    for (const auto& [name, work] : std::exchange(teams_, {})) {
        const auto known = usage.teams().find(name);
        const auto team = known == usage.teams().end() ? scheduling::TeamUsage::Team() : known->second;
        events_.write("team.usage",
            { { "team", name }, { "waiting", work.waitingJobs }, { "running_millicores", team.held.milliCores },
                { "share_millicores", static_cast<std::int64_t>(work.shareMilliCores) },
                { "cap_millicores", team.cap.milliCores }, { "held_by_cap", work.tasksHeldByCap },
                { "beyond_rate", work.jobsBeyondRate } });
    }
}

} // namespace turmericsill::control

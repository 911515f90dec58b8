#include "scheduling/teamusage.h"

#include "scheduling/instanceindex.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>

namespace turmericsill::scheduling {

using jobs::Resources;

namespace {

    constexpr std::array<std::int64_t Resources::*, 3> resourceKinds { &Resources::milliCores, &Resources::memoryMb,
        &Resources::accelerators };

    bool isLessOfAny(const Resources& one, const Resources& other)
    {
        return std::any_of(
            resourceKinds.begin(), resourceKinds.end(), [&](auto kind) { return one.*kind < other.*kind; });
    }

} // namespace

void TeamUsage::setTeams(const std::map<std::string, fleet::Team>& declared)
{
    for (auto known = teams_.begin(); known != teams_.end();) {
        known->second.weight = unknownTeamWeight;
        known->second.cap = {};
        known = known->second.runs == 0 ? teams_.erase(known) : std::next(known);
    }
    for (const auto& [name, team] : declared) {
        teams_[name].weight = team.weight;
        teams_[name].cap = team.cap;
    }
}

void TeamUsage::addRuns(JobUsage& usage, const jobs::StepSpec& step, std::uint32_t runs)
{
    usage.held += step.resourcesPerTask * runs;
    usage.reservedMilliCores += resourceRequest(step).milliCores * runs;
    usage.runs += runs;
}

void TeamUsage::add(const JobUsage& usage)
{
    Team& team = teams_[usage.team];
    team.held += usage.held;
    team.runs += usage.runs;
    team.milliCoresByPool[usage.pool] += usage.reservedMilliCores;
}

void TeamUsage::subtract(const JobUsage& usage)
{
    Team& team = teams_[usage.team];
    team.held -= usage.held;
    team.runs -= usage.runs;
    team.milliCoresByPool[usage.pool] -= usage.reservedMilliCores;
}

bool TeamUsage::update(const jobs::Job& job, const std::string& pool)
{
    JobUsage current { job.team, pool, {}, 0, 0 };
    if (job.activeRuns > 0) {
        for (const auto& [number, occurrence] : job.occurrences) {
            for (std::size_t step = 0; step < occurrence.steps.size(); ++step)
                addRuns(current, job.spec.steps[step], occurrence.steps[step].active);
        }
    }
    const auto known = jobs_.find(job.id);
    const JobUsage previous = known == jobs_.end() ? JobUsage() : known->second;
    if (known != jobs_.end()) {
        subtract(previous);
        jobs_.erase(known);
    }
    if (current.runs > 0) {
        add(current);
        jobs_.emplace(job.id, current);
    }
    return current.runs < previous.runs || isLessOfAny(current.held, previous.held);
}

bool TeamUsage::remove(jobs::JobId id)
{
    const auto known = jobs_.find(id);
    if (known == jobs_.end())
        return false;
    subtract(known->second);
    jobs_.erase(known);
    return true;
}

void TeamUsage::addPlacements(
    const jobs::Job& job, const std::string& pool, const jobs::StepSpec& step, std::uint32_t tasks)
{
    if (tasks == 0)
        return;
    JobUsage placed { job.team, pool, {}, 0, 0 };
    addRuns(placed, step, tasks);
    JobUsage& total = jobs_.try_emplace(job.id, JobUsage { job.team, pool, {}, 0, 0 }).first->second;
    placed.pool = total.pool;
    addRuns(total, step, tasks);
    add(placed);
}

std::uint32_t TeamUsage::tasksUnderCap(const Team& team, const Resources& request, std::uint32_t tasks)
{
    std::int64_t fitting = tasks;
    for (const auto kind : resourceKinds) {
        if (team.cap.*kind > 0 && request.*kind > 0)
            fitting = std::min(fitting, std::max<std::int64_t>(0, team.cap.*kind - team.held.*kind) / (request.*kind));
    }
    const std::uint32_t allowedAlone = team.runs == 0 ? std::min<std::uint32_t>(1, tasks) : 0;
    return std::max(static_cast<std::uint32_t>(fitting), allowedAlone);
}

Resources TeamUsage::demandUnderCap(const Team& team, const Resources& demanded, const Resources& demand)
{
    double part = 1;
    for (const auto kind : resourceKinds) {
        if (team.cap.*kind <= 0 || demand.*kind <= 0)
            continue;
        const std::int64_t left = std::max<std::int64_t>(0, team.cap.*kind - team.held.*kind - demanded.*kind);
        part = std::min(part, static_cast<double>(left) / static_cast<double>(demand.*kind));
    }
    if (part >= 1)
        return demand;
    Resources result;
    for (const auto kind : resourceKinds)
        result.*kind = static_cast<std::int64_t>(static_cast<double>(demand.*kind) * part);
    return result;
}

std::int64_t TeamUsage::reservedMilliCores(const std::string& pool) const
{
    std::int64_t reserved = 0;
    for (const auto& [name, team] : teams_) {
        const auto inPool = team.milliCoresByPool.find(pool);
        reserved += inPool == team.milliCoresByPool.end() ? 0 : inPool->second;
    }
    return reserved;
}

} // namespace turmericsill::scheduling

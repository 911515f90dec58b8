#include "scheduling/admission.h"

#include "scheduling/instanceindex.h"
#include "scheduling/jobobjective.h"

#include <algorithm>
#include <chrono>
#include <limits>
#include <tuple>
#include <utility>

namespace turmericsill::scheduling {

using foundation::milliseconds;
using foundation::SteadyTime;

namespace {

    constexpr double milliCoresPerCore = 1000;
    /// A pool with more free capacity than this serves what waits for room; the rest waits for something else.
    constexpr double uncontendedFreePart = 0.2;
    /// A wait that does not matter, whatever the objective: about ten plans and the estimate's own inaccuracy.
    constexpr milliseconds insignificantWait { 500 };
    constexpr int worthlessAfterObjectives = 3; ///< A job that is completed later earns nothing.
    /// Margin above the time after which a job earns nothing, as a part of it and at least this long. Estimated
    /// durations are often wrong, and jobs that run out of order change the wait.
    constexpr double overdueMargin = 0.3;
    constexpr milliseconds minimumOverdueMargin { 1000 };
    constexpr milliseconds rejectionHold { 1000 }; ///< Time below the lower limit after which rejections end.
    constexpr milliseconds maximumRetryAfter { 30000 };
    constexpr milliseconds retrySpread { 2000 };

    double toCores(std::int64_t milliCores) { return static_cast<double>(milliCores) / milliCoresPerCore; }

    /// Estimated work of a number of tasks of a step in core-seconds of the capacity that they reserve.
    double reservedCoreSeconds(const jobs::StepSpec& step, std::size_t tasks)
    {
        const std::chrono::duration<double> seconds = taskDuration(step);
        return seconds.count() * toCores(resourceRequest(step).milliCores) * static_cast<double>(tasks);
    }

    double weightOf(const std::string& team, const fleet::FleetConfiguration& configuration)
    {
        const fleet::Team* known = configuration.findTeam(team);
        return known ? known->weight : 1;
    }

    milliseconds scaled(milliseconds time, double factor)
    {
        const std::chrono::duration<double, std::milli> exact = time;
        return std::chrono::round<milliseconds>(exact * factor);
    }

    /// Time that the pool takes for the work ahead. A team gets at least its share of the pool, so that its job waits
    /// no longer than for the work of its own team there.
    double secondsForPool(const WorkAhead& ahead, const PoolSupply& supply)
    {
        const double cores = toCores(supply.present + supply.arriving);
        const bool hasRoom = toCores(supply.free) > uncontendedFreePart * toCores(supply.present)
            || ahead.readyMilliCores <= supply.free + supply.arriving;
        // A pool without any capacity gets machines as soon as a job waits; nothing is known of its speed.
        if (cores <= 0 || hasRoom)
            return 0;
        const double ofClass
            = ahead.teamShare > 0 ? std::min(ahead.ofClass, ahead.ofTeam / ahead.teamShare) : ahead.ofClass;
        return std::max(0.0, ahead.ofEarlierClasses + ofClass) / cores;
    }

    /// Time that the team's own work ahead takes within its cap. What the team's runs hold at present is not counted.
    double secondsForCap(const WorkAhead& ahead)
    {
        const bool isBelowCap = ahead.teamCapMilliCores <= 0 || ahead.teamReadyMilliCores <= ahead.teamCapMilliCores;
        return isBelowCap ? 0 : ahead.ofTeam / toCores(ahead.teamCapMilliCores);
    }

    auto classOf(const JobRank& rank) { return std::tie(rank.priority, rank.isShort, rank.exceedsTeamRate); }

    /// Precedes every rank of the same priority, kind and rate.
    JobRank startOfClass(const JobRank& rank)
    {
        return { rank.priority, rank.isShort, rank.exceedsTeamRate, false, -std::numeric_limits<double>::infinity(),
            0 };
    }

} // namespace

WaitingWork waitingWork(const JobRank& rank, const std::vector<WaitingStep>& steps, const jobs::Job& job)
{
    WaitingWork work;
    work.rank = rank;
    work.team = job.team;
    for (const WaitingStep& step : steps)
        work.readyMilliCores += step.need.milliCores * step.tasks;
    for (const auto& [number, occurrence] : job.occurrences) {
        for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
            const jobs::StepState& state = occurrence.steps[step];
            const std::size_t started = state.done + state.active;
            if (started < state.tasks.size())
                work.coreSeconds += reservedCoreSeconds(job.spec.steps[step], state.tasks.size() - started);
        }
    }
    return work;
}

WaitingWork submittedWork(const jobs::JobSubmitted& submission, const fleet::Queue& queue)
{
    WaitingWork work;
    work.rank = { queue.priority, true, submission.exceedsTeamRate, false, 0, submission.job };
    work.team = submission.team;
    for (const jobs::StepSpec& step : submission.spec.steps) {
        work.coreSeconds += reservedCoreSeconds(step, step.taskCount);
        if (step.dependsOn.empty())
            work.readyMilliCores += resourceRequest(step).milliCores * step.taskCount;
        const std::chrono::duration<double> seconds = taskDuration(step);
        work.rank.remainingCoreSeconds
            += seconds.count() * toCores(step.resourcesPerTask.milliCores) * static_cast<double>(step.taskCount);
    }
    return work;
}

void PoolWork::Sums::append(const WaitingWork& work)
{
    Amount sum = amounts.empty() ? Amount() : amounts.back();
    sum.coreSeconds += work.coreSeconds;
    sum.readyMilliCores += work.readyMilliCores;
    ranks.push_back(work.rank);
    amounts.push_back(sum);
}

PoolWork::Amount PoolWork::Sums::before(const JobRank& rank) const
{
    const auto end = std::lower_bound(ranks.begin(), ranks.end(), rank);
    return end == ranks.begin() ? Amount() : amounts[static_cast<std::size_t>(end - ranks.begin()) - 1];
}

void PoolWork::assign(std::vector<WaitingWork> work, const fleet::FleetConfiguration& configuration)
{
    const auto precedes = [](const WaitingWork& one, const WaitingWork& other) { return one.rank < other.rank; };
    if (!std::is_sorted(work.begin(), work.end(), precedes))
        std::sort(work.begin(), work.end(), precedes);
    all_ = {};
    byTeam_.clear();
    added_.clear();
    for (const WaitingWork& item : work) {
        all_.append(item);
        byTeam_[item.team].append(item);
    }
    weights_ = 0;
    for (const auto& [team, sums] : byTeam_)
        weights_ += weightOf(team, configuration);
}

WorkAhead PoolWork::ahead(const WaitingWork& job, const fleet::FleetConfiguration& configuration) const
{
    const JobRank start = startOfClass(job.rank);
    const Amount earlier = all_.before(start);
    const Amount all = all_.before(job.rank);
    WorkAhead result;
    result.ofEarlierClasses = earlier.coreSeconds;
    result.ofClass = all.coreSeconds - earlier.coreSeconds;
    result.readyMilliCores = all.readyMilliCores + job.readyMilliCores;
    result.teamReadyMilliCores = job.readyMilliCores;
    const double weight = weightOf(job.team, configuration);
    double weights = weights_;
    if (const auto own = byTeam_.find(job.team); own != byTeam_.end()) {
        const Amount before = own->second.before(job.rank);
        const Amount earlierOfTeam = own->second.before(start);
        result.ofTeam = before.coreSeconds - earlierOfTeam.coreSeconds;
        result.teamReadyMilliCores += before.readyMilliCores - earlierOfTeam.readyMilliCores;
    } else {
        weights += weight;
    }
    result.teamShare = weights > 0 ? weight / weights : 1;
    if (const fleet::Team* team = configuration.findTeam(job.team))
        result.teamCapMilliCores = team->cap.milliCores;
    for (const WaitingWork& item : added_) {
        if (!(item.rank < job.rank))
            continue;
        const bool isSameClass = classOf(item.rank) == classOf(job.rank);
        (isSameClass ? result.ofClass : result.ofEarlierClasses) += item.coreSeconds;
        result.readyMilliCores += item.readyMilliCores;
        if (!isSameClass || item.team != job.team)
            continue;
        result.ofTeam += item.coreSeconds;
        result.teamReadyMilliCores += item.readyMilliCores;
    }
    return result;
}

std::map<std::string, std::int64_t> arrivingMilliCores(
    const std::map<std::string, PoolDemand>& demands, const std::vector<MachineView>& movable)
{
    std::map<std::string, std::int64_t> idle;
    std::int64_t allIdle = 0;
    for (const MachineView& machine : movable) {
        const auto demand = demands.find(machine.pool);
        const bool isNeeded = demand != demands.end() && demand->second.unplaced.milliCores > 0;
        if (!machine.isStandby && (machine.runs > 0 || isNeeded))
            continue;
        idle[machine.pool] += machine.capacity.milliCores;
        allIdle += machine.capacity.milliCores;
    }
    std::map<std::string, std::int64_t> arriving;
    for (const auto& [pool, demand] : demands)
        arriving[pool] = demand.incoming.milliCores + allIdle - idle[pool];
    return arriving;
}

milliseconds estimatedWait(const WorkAhead& ahead, const PoolSupply& supply)
{
    const double seconds = std::max(secondsForPool(ahead, supply), secondsForCap(ahead));
    constexpr double longestSeconds = 86400;
    return std::chrono::round<milliseconds>(std::chrono::duration<double>(std::min(seconds, longestSeconds)));
}

bool AdmissionControl::Limit::isActive(SteadyTime now) const { return exceededAt && now - *exceededAt < rejectionHold; }

bool AdmissionControl::Limit::isExceeded(milliseconds value, milliseconds lower, milliseconds upper, SteadyTime now)
{
    if (value <= (isActive(now) ? lower : upper))
        return false;
    exceededAt = now;
    return true;
}

std::optional<milliseconds> AdmissionControl::decide(const AdmissionRequest& request, SteadyTime now)
{
    const milliseconds worthless = request.objective * worthlessAfterObjectives;
    const milliseconds margin = std::max(scaled(worthless, overdueMargin), minimumOverdueMargin);
    bool isRejected = overdue_.isExceeded(request.wait + request.criticalPath, worthless, worthless + margin, now);
    if (request.exceedsTeamRate) {
        const milliseconds slack = std::max(request.objective - request.criticalPath, insignificantWait);
        isRejected |= beyondRate_.isExceeded(request.wait, slack / 2, slack, now);
    }
    if (!isRejected)
        return std::nullopt;
    const milliseconds spread(static_cast<std::int64_t>(request.job % std::uint64_t(retrySpread.count())));
    return std::min(request.wait, maximumRetryAfter) + spread;
}

} // namespace turmericsill::scheduling

#include "scheduling/poolbacklog.h"

#include "scheduling/instanceindex.h"
#include "scheduling/jobobjective.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace turmericsill::scheduling {

using jobs::Job;
using jobs::StepSpec;
using jobs::StepState;
using jobs::Task;
using jobs::TaskPhase;

namespace {

    double coreSeconds(const StepSpec& step)
    {
        constexpr double milliCoresPerCore = 1000;
        const std::chrono::duration<double> seconds = taskDuration(step);
        return seconds.count() * static_cast<double>(step.resourcesPerTask.milliCores) / milliCoresPerCore;
    }

    /// Number of tasks that can be started; a gang starts completely or not at all.
    std::uint32_t startableTasks(const StepSpec& spec, const StepState& state)
    {
        const auto& touched = state.tasks.touched();
        const auto untouched = state.tasks.size() - touched.size();
        const auto pending = static_cast<std::uint32_t>(untouched
            + static_cast<std::size_t>(std::count_if(
                touched.begin(), touched.end(), [](const Task& task) { return task.phase == TaskPhase::Pending; })));
        return spec.isGang && pending < state.tasks.size() ? 0 : pending;
    }

    std::vector<WaitingStep> waitingSteps(const Job& job, const fleet::Queue* queue)
    {
        std::vector<WaitingStep> waiting;
        for (const auto& [number, occurrence] : job.occurrences) {
            for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
                const StepSpec& spec = job.spec.steps[step];
                const StepState& state = occurrence.steps[step];
                if (state.done + state.active >= state.tasks.size() || !occurrence.isReady(job.spec, step))
                    continue;
                if (const auto tasks = startableTasks(spec, state); tasks > 0)
                    waiting.push_back({ { job.id, number, step }, resourceRequest(spec), tasks, spec.requiredLabel,
                        queue && queue->advice.has_value(), spec.isGang, spec.resourcesPerTask });
            }
        }
        return waiting;
    }

} // namespace

TeamIndex PoolBacklog::indexOf(const std::string& team)
{
    if (team.empty())
        return noTeam;
    const auto [known, isNew] = teamIndexes_.try_emplace(team, static_cast<TeamIndex>(teams_.size()));
    if (isNew)
        teams_.push_back({ team, 0, 0 });
    return known->second;
}

void PoolBacklog::update(const Job& job, const fleet::Queue* queue, foundation::SteadyTime submittedAt, bool usesTeams)
{
    remove(job.id);
    if (job.isFinal())
        return;
    auto waiting = waitingSteps(job, queue);
    if (waiting.empty())
        return;
    const auto startsBy = latestStart(job, queue, submittedAt);
    const bool isLate = startsBy <= demotedUntil_;
    const JobRank rank { queue ? queue->priority : std::numeric_limits<int>::max(),
        !job.spec.steps.front().isLongRunning, usesTeams && job.exceedsTeamRate, isLate, remainingCoreSeconds(job),
        job.id };
    const TeamIndex team = usesTeams ? indexOf(job.team) : noTeam;
    ++teams_[team].waitingJobs;
    teams_[team].jobsBeyondRate += rank.exceedsTeamRate;
    jobs_.emplace(rank, WaitingJob { std::move(waiting), team, submittedAt });
    ranks_.emplace(job.id, rank);
    if (isLate)
        return;
    latestStarts_.emplace(startsBy, job.id);
    latestStartOf_.emplace(job.id, startsBy);
}

void PoolBacklog::remove(jobs::JobId job)
{
    const auto found = ranks_.find(job);
    if (found == ranks_.end())
        return;
    const auto waiting = jobs_.find(found->second);
    TeamBacklog& team = teams_[waiting->second.team];
    --team.waitingJobs;
    team.jobsBeyondRate -= found->second.exceedsTeamRate;
    jobs_.erase(waiting);
    ranks_.erase(found);
    const auto startsBy = latestStartOf_.find(job);
    if (startsBy == latestStartOf_.end())
        return;
    latestStarts_.erase({ startsBy->second, job });
    latestStartOf_.erase(startsBy);
}

void PoolBacklog::demoteLateJobs(foundation::SteadyTime now)
{
    demotedUntil_ = std::max(demotedUntil_, now);
    while (!latestStarts_.empty() && latestStarts_.begin()->first <= now) {
        const jobs::JobId job = latestStarts_.begin()->second;
        latestStarts_.erase(latestStarts_.begin());
        latestStartOf_.erase(job);
        JobRank& rank = ranks_.at(job);
        auto entry = jobs_.extract(rank);
        rank.isLate = true;
        entry.key() = rank;
        jobs_.insert(std::move(entry));
    }
}

foundation::SteadyTime latestStart(const Job& job, const fleet::Queue* queue, foundation::SteadyTime submittedAt)
{
    if (!queue || job.isScheduled() || job.spec.steps.front().isLongRunning)
        return foundation::SteadyTime::max();
    return submittedAt + completionObjective(*queue, job.spec) - remainingCriticalPath(job);
}

double remainingCoreSeconds(const Job& job)
{
    double work = 0;
    for (const auto& [number, occurrence] : job.occurrences) {
        for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
            const auto remainingTasks = occurrence.steps[step].tasks.size() - occurrence.steps[step].done;
            work += coreSeconds(job.spec.steps[step]) * static_cast<double>(remainingTasks);
        }
    }
    return work;
}

} // namespace turmericsill::scheduling

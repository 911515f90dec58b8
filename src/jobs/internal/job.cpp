#include "jobs/types/job.h"

#include <algorithm>

namespace turmericsill::jobs {

bool Occurrence::isDone() const
{
    return std::all_of(steps.begin(), steps.end(), [](const StepState& step) { return step.isDone(); });
}

bool Occurrence::isReady(const JobSpec& spec, std::size_t step) const
{
    const auto& dependsOn = spec.steps[step].dependsOn;
    return std::all_of(
        dependsOn.begin(), dependsOn.end(), [&](std::uint32_t dependency) { return steps[dependency].isDone(); });
}

milliseconds Job::dueAt(std::uint32_t occurrence) const
{
    return isScheduled() ? spec.schedule.firstDueAt + occurrence * spec.schedule.interval : milliseconds(0);
}

// Completion takes precedence over cancellation, so that their order in the log does not affect the state.
JobState Job::state() const
{
    if (completedOccurrences == occurrenceCount())
        return JobState::Completed;
    if (isCancelled)
        return JobState::Cancelled;
    if (hasFailed)
        return JobState::Failed;
    return hasStarted ? JobState::Running : JobState::Queued;
}

bool Job::isFinal() const { return isCancelled || hasFailed || completedOccurrences == occurrenceCount(); }

Occurrence& Job::startOccurrence(std::uint32_t occurrence)
{
    auto [found, isNew] = occurrences.try_emplace(occurrence);
    if (isNew) {
        for (const auto& step : spec.steps) {
            found->second.steps.emplace_back();
            found->second.steps.back().tasks.resize(step.taskCount);
        }
    }
    return found->second;
}

const Task* Job::find(const TaskId& id) const
{
    const auto found = occurrences.find(id.occurrence);
    if (found == occurrences.end() || id.step >= found->second.steps.size())
        return nullptr;
    const auto& tasks = found->second.steps[id.step].tasks;
    return id.index < tasks.size() ? &tasks[id.index] : nullptr;
}

} // namespace turmericsill::jobs

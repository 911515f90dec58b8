#include "jobs/types/job.h"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <set>

namespace turmericsill::jobs {

namespace {

    /// Machines that must have crashed right after the start of a task before it is convicted. After the first crash
    /// the task is a suspect and no longer starts beside others.
    constexpr std::size_t convictingMachines = 2;
    /// The same for a task whose starts were not confirmed: the instance may have crashed before the order arrived.
    constexpr std::size_t convictingMachinesUnconfirmed = 3;
    constexpr std::ptrdiff_t minimumSoleUnconfirmed = 2;
    /// Bounds the crashes under a task that crashes its instances long after its start. An instance that crashes by
    /// itself counts for all its tasks, so the bound is higher than for suspicions.
    constexpr std::ptrdiff_t maximumCrashes = 4;
    constexpr std::ptrdiff_t minimumConfirmedCrashes = 2;

} // namespace

bool CrashHistory::contains(std::uint32_t run) const
{
    return std::any_of(crashes.begin(), crashes.end(), [&](const auto& crash) { return crash.run == run; });
}

bool CrashHistory::requiresObservation() const
{
    return std::any_of(
        crashes.begin(), crashes.end(), [](const auto& crash) { return crash.isSuspicion && !crash.isExplained; });
}

bool CrashHistory::hasCrashedAtStart(const std::string& machine) const
{
    return std::any_of(crashes.begin(), crashes.end(),
        [&](const auto& crash) { return crash.isSuspicion && !crash.isExplained && crash.machine == machine; });
}

// Several crashes of one machine count once: the machine may be the cause.
bool CrashHistory::isConvicted() const
{
    std::set<std::string> machines;
    std::set<std::string> machinesOfConfirmed;
    std::ptrdiff_t sole = 0;
    bool hasSoleConfirmed = false;
    for (const auto& crash : crashes) {
        if (!crash.isSuspicion || crash.isExplained)
            continue;
        machines.insert(crash.machine);
        sole += crash.isSole;
        if (crash.isConfirmed)
            machinesOfConfirmed.insert(crash.machine);
        hasSoleConfirmed |= crash.isSole && crash.isConfirmed;
    }
    return (hasSoleConfirmed && machinesOfConfirmed.size() >= convictingMachines)
        || (sole >= minimumSoleUnconfirmed && machines.size() >= convictingMachinesUnconfirmed);
}

bool CrashHistory::isExhausted(bool isLongRunning) const
{
    const auto counting
        = std::count_if(crashes.begin(), crashes.end(), [](const auto& crash) { return !crash.isExplained; });
    const auto confirmed = std::count_if(
        crashes.begin(), crashes.end(), [](const auto& crash) { return crash.isConfirmed && !crash.isExplained; });
    const bool hasTooManyCrashes = counting >= maximumCrashes && confirmed >= minimumConfirmedCrashes;
    return isConvicted() || (hasTooManyCrashes && !isLongRunning);
}

bool Occurrence::isDone() const
{
    return std::all_of(steps.begin(), steps.end(), [](const StepState& step) { return step.isDone(); });
}

bool Occurrence::isUntouched() const
{
    return std::all_of(steps.begin(), steps.end(), [](const StepState& step) { return step.tasks.touched().empty(); });
}

bool Occurrence::isReady(const JobSpec& spec, std::size_t step) const
{
    const auto& dependsOn = spec.steps[step].dependsOn;
    return std::all_of(
        dependsOn.begin(), dependsOn.end(), [&](std::uint32_t dependency) { return steps[dependency].isDone(); });
}

bool Job::canStartOccurrence() const
{
    const std::size_t open = openOccurrences();
    const bool isWithinLimits = open < maximumOpenOccurrences && (open + 1) * spec.taskCount() <= maximumOpenTasks;
    return nextDueOccurrence < occurrenceCount() && (open == 0 || isWithinLimits);
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
            found->second.steps.back().tasks = TaskList(step.taskCount);
        }
    }
    return found->second;
}

void Job::removeUntouchedOccurrences()
{
    for (auto entry = occurrences.begin(); entry != occurrences.end();) {
        const bool isRemoved = !entry->second.isDone() && entry->second.isUntouched();
        entry = isRemoved ? occurrences.erase(entry) : std::next(entry);
    }
}

void Job::dropDetails()
{
    spec.payload = {};
    spec.steps = {};
    occurrences.clear();
}

const Task* Job::find(const TaskId& id) const
{
    const auto found = occurrences.find(id.occurrence);
    if (found == occurrences.end() || id.step >= found->second.steps.size())
        return nullptr;
    const auto& tasks = found->second.steps[id.step].tasks;
    return id.index < tasks.size() ? &tasks[id.index] : nullptr;
}

const CrashHistory* Job::findCrashHistory(const TaskId& id) const
{
    const auto found = crashHistories.find(id);
    return found == crashHistories.end() ? nullptr : &found->second;
}

const TaskId* Job::findExhaustedTask() const
{
    const auto found = std::find_if(crashHistories.begin(), crashHistories.end(),
        [this](const auto& entry) { return entry.second.isExhausted(spec.steps[entry.first.step].isLongRunning); });
    return found == crashHistories.end() ? nullptr : &found->first;
}

std::uint32_t Job::failuresOf(const TaskId& id) const
{
    const auto& tasks = occurrences.at(id.occurrence).steps[id.step].tasks;
    if (!spec.steps[id.step].isGang)
        return tasks[id.index].failures;
    return std::accumulate(tasks.touched().begin(), tasks.touched().end(), std::uint32_t(0),
        [](std::uint32_t sum, const Task& member) { return sum + member.failures; });
}

std::optional<TaskId> Job::findTaskWithoutAttempts(std::uint32_t maximumAttempts) const
{
    if (failedRuns < maximumAttempts)
        return std::nullopt;
    for (const auto& [number, occurrence] : occurrences) {
        for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            if (spec.steps[step].isLongRunning || occurrence.steps[step].isDone())
                continue;
            const auto& tasks = occurrence.steps[step].tasks.touched();
            for (std::uint32_t index = 0; index < tasks.size(); ++index) {
                const TaskId task { id, number, step, index };
                const bool hasFailed = tasks[index].phase != TaskPhase::Done && tasks[index].failures > 0;
                if (hasFailed && failuresOf(task) >= maximumAttempts)
                    return task;
            }
        }
    }
    return std::nullopt;
}

} // namespace turmericsill::jobs

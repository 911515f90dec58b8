#pragma once

#include "jobs/types/records.h"
#include "jobs/types/tasklist.h"

#include <boost/intrusive/list_hook.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace turmericsill::jobs {

/// The crash of an instance on which a run of a task was at work.
struct CrashUnderTask {
    std::uint32_t run = 0;
    InstanceIncarnation incarnation;
    std::string machine;
    bool isConfirmed = false; ///< Whether the instance had confirmed the start of the run.
    bool isSuspicion = false; ///< Whether the run had just started, so that its start may have caused the crash.
    bool isSole = false; ///< Whether no run of another job had just started there.
    bool isExplained = false; ///< Whether another task has caused the crash, so that it does not count for this one.
};

/// The crashes under a task, which may crash every instance that starts it.
struct CrashHistory {
    std::vector<CrashUnderTask> crashes; ///< One for each run, in the order in which they were recorded.

    bool contains(std::uint32_t run) const;

    /// Whether the next run has to be the last one that starts on its instance for a while, so that a crash tells
    /// whether this task is the cause.
    bool requiresObservation() const;

    /// Whether a machine crashed right after the task had started there.
    bool hasCrashedAtStart(const std::string& machine) const;

    /// Whether the starts of the task cause the crashes.
    bool isConvicted() const;

    /// Whether the task must not start again: it is convicted, or too many instances crashed under it. A long-running
    /// task lasts until it is cancelled, and many instances may crash under it by themselves.
    bool isExhausted(bool isLongRunning) const;
};

/// State of one step in one occurrence of a job.
struct StepState {
    TaskList tasks;
    std::uint32_t done = 0; ///< Number of tasks in TaskPhase::Done.
    std::uint32_t active = 0; ///< Number of tasks in TaskPhase::Active.

    bool isDone() const { return done == tasks.size(); }
};

/// One pass through all steps of a job; a scheduled job has several.
struct Occurrence {
    std::vector<StepState> steps; ///< Empty in a completed occurrence of a scheduled job.

    bool isDone() const;

    /// Releases the memory of the steps. Without steps, the occurrence counts as done.
    void dropSteps() { std::vector<StepState>().swap(steps); }

    bool isStepDone(std::size_t step) const { return steps.empty() || steps[step].isDone(); }

    /// Whether no task has ever run.
    bool isUntouched() const;

    /// Whether every step that `step` depends on is done.
    bool isReady(const JobSpec& spec, std::size_t step) const;
};

enum class JobState : std::uint8_t { Queued, Running, Completed, Failed, Cancelled };

/// Links a job into the list of open jobs or the list of final jobs of a JobTable.
using JobListHook = boost::intrusive::list_base_hook<>;

/// Links a job into the list of changed jobs of a JobTable; a job that is removed leaves the list by itself.
using ChangedJobHook = boost::intrusive::list_base_hook<boost::intrusive::tag<struct ChangedJobTag>,
    boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

/// An accepted job with the state of its tasks.
struct Job : JobListHook, ChangedJobHook {
    JobId id = 0;
    std::string queue;
    std::string pool;
    milliseconds receivedAt { 0 }; ///< Wall-clock time since the Unix epoch.
    JobSpec spec;
    std::uint32_t maximumAttempts = 0; ///< See JobSubmitted.
    std::string team; ///< See JobSubmitted.
    bool exceedsTeamRate = false; ///< See JobSubmitted.
    std::map<std::uint32_t, Occurrence> occurrences; ///< Occurrences that have started, by number.
    std::map<TaskId, CrashHistory> crashHistories; ///< Tasks under which an instance has crashed.
    std::uint32_t completedOccurrences = 0;
    /// First occurrence that JobTable::startDueOccurrences() has not found due yet. Occurrences may start in any order,
    /// so those before it need not be the ones that have started.
    std::uint32_t nextDueOccurrence = 0;
    std::uint32_t activeRuns = 0;
    std::uint32_t failedRuns = 0; ///< Number of runs, of all tasks, that ended with RunOutcome::Failed.
    bool hasStarted = false; ///< Whether an instance is known to have started a run of any task.
    bool isCancelled = false;
    bool hasFailed = false;

    std::uint32_t occurrenceCount() const { return spec.schedule.occurrences == 0 ? 1 : spec.schedule.occurrences; }
    bool isScheduled() const { return spec.schedule.occurrences > 0; }

    /// Number of occurrences that have started and are not completed.
    std::size_t openOccurrences() const { return occurrences.size() - completedOccurrences; }

    /// Whether there is a next occurrence and few enough of this job are under way.
    bool canStartOccurrence() const;

    /// Wall-clock time at which an occurrence is due; zero, thus at once, for a job without a schedule.
    milliseconds dueAt(std::uint32_t occurrence) const;

    JobState state() const;

    /// Whether no further run may begin; active runs may still have to end.
    bool isFinal() const;

    /// Returns the occurrence; creates it with pending tasks if it has not started.
    Occurrence& startOccurrence(std::uint32_t occurrence);

    /// Removes the occurrences that are not done and of which no task has ever run. startOccurrence() creates them
    /// again.
    void removeUntouchedOccurrences();

    /// Drops what only a job that is not completed needs: its steps, their tasks and the payload.
    void dropDetails();

    /// The task, or null when its occurrence has not started or the job has no such task.
    const Task* find(const TaskId& id) const;

    /// The crashes under a task, or null when there were none.
    const CrashHistory* findCrashHistory(const TaskId& id) const;

    /// The first task that must not start again because of the crashes under it, or null when there is none.
    const TaskId* findExhaustedTask() const;

    /// Number of failed runs of a task, or of all members of its gang. The job must have the task.
    std::uint32_t failuresOf(const TaskId& id) const;

    /// The first short task that is not done and of which, or of whose gang, this many runs have failed.
    std::optional<TaskId> findTaskWithoutAttempts(std::uint32_t maximumAttempts) const;
};

} // namespace turmericsill::jobs

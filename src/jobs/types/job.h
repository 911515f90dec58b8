#pragma once

#include "jobs/types/records.h"

#include <boost/intrusive/list_hook.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace turmericsill::jobs {

enum class TaskPhase : std::uint8_t {
    Idle, ///< Has no run that may be at work.
    Active, ///< A run was intended and has not ended.
    Done,
};

/// One task and its latest run.
struct Task {
    TaskPhase phase = TaskPhase::Idle;
    std::uint32_t lastRun = 0; ///< Runs count from 1.
    std::uint32_t failures = 0;
    InstanceLife life; ///< Where the active run is.
    std::string checkpoint; ///< Latest one; empty: none.
};

/// The tasks of one step in one occurrence.
struct StepState {
    std::vector<Task> tasks;
    std::uint32_t done = 0;
    std::uint32_t active = 0;

    bool isDone() const { return done == tasks.size(); }
};

/// One pass through the steps of a job.
struct Occurrence {
    std::vector<StepState> steps;

    bool isDone() const;

    /// Whether every step that `step` depends on is done.
    bool isReady(const JobSpec& spec, std::size_t step) const;
};

enum class JobState : std::uint8_t { Queued, Running, Completed, Failed, Cancelled };

/// Links a job into the table's list of open or of final jobs.
using JobHook = boost::intrusive::list_base_hook<>;

/// An accepted job and what became of its tasks.
struct Job : JobHook {
    JobId id = 0;
    std::string queue;
    std::string pool;
    milliseconds receivedAt { 0 }; ///< Time of day, since 1970.
    JobSpec spec;
    std::map<std::uint32_t, Occurrence> occurrences; ///< Those that have begun, by number.
    std::uint32_t doneOccurrences = 0;
    std::uint32_t activeRuns = 0;
    bool hasStarted = false;
    bool isCancelled = false;
    bool hasFailed = false;

    std::uint32_t occurrenceCount() const { return spec.schedule.repeats == 0 ? 1 : spec.schedule.repeats; }
    bool isScheduled() const { return spec.schedule.repeats > 0; }

    /// Time of day at which an occurrence is due.
    milliseconds dueAt(std::uint32_t occurrence) const;

    JobState state() const;

    /// Whether no further run of it may begin.
    bool isFinal() const;

    /// The occurrence with its tasks, created on first use.
    Occurrence& begin(std::uint32_t occurrence);

    /// The task, or null when the job has no such task.
    const Task* find(const TaskId& id) const;
};

} // namespace turmericsill::jobs

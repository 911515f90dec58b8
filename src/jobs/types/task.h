#pragma once

#include "jobs/types/records.h"

#include <cstdint>
#include <string>

namespace turmericsill::jobs {

enum class TaskPhase : std::uint8_t {
    Pending, ///< No run exists that may still be executing, and the task is not done.
    Active, ///< A run was intended and is not recorded as ended.
    Done, ///< A run of the task, or of a member of its gang, completed the work.
};

/// State of a task and its latest run.
struct Task {
    TaskPhase phase = TaskPhase::Pending;
    std::uint32_t lastRun = 0; ///< Number of the latest run, counted from 1; 0 when there was none.
    std::uint32_t failures = 0; ///< Number of runs that ended with RunOutcome::Failed.
    InstanceIncarnation incarnation; ///< Instance, and its incarnation, that the latest run was assigned to.
    std::string checkpoint; ///< Latest checkpoint; empty when there is none.

    /// Whether the task is as it was created.
    bool isUntouched() const { return phase == TaskPhase::Pending && lastRun == 0 && checkpoint.empty(); }
};

} // namespace turmericsill::jobs

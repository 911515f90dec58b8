#pragma once

#include "jobs/types/steplist.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace turmericsill::jobs {

/// When the occurrences of a job are due.
struct Schedule {
    std::uint32_t occurrences = 0; ///< Number of scheduled occurrences; 0 means a single one that is due at once.
    milliseconds firstDueAt { 0 }; ///< Wall-clock time of the first occurrence since the Unix epoch.
    milliseconds interval { 0 }; ///< Time from one occurrence to the next.
};

/// Tasks of one occurrence beyond which a job is not run. Memory and planning time grow with the number of tasks; it is
/// ten times the number that a caller may submit.
constexpr std::uint64_t maximumTasks = 1000000;

/// Occurrences of a job, and tasks of all of them, that may be under way at a time. Later ones start when earlier ones
/// have ended; one may always be under way.
constexpr std::size_t maximumOpenOccurrences = 1000;
constexpr std::uint64_t maximumOpenTasks = 100000;

/// A job as its caller submits it.
struct JobSpec {
    std::string payload; ///< Passed to every task unchanged.
    StepList steps;
    Schedule schedule;

    /// Number of tasks of one occurrence.
    std::uint64_t taskCount() const;
};

} // namespace turmericsill::jobs

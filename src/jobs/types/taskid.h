#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

namespace turmericsill::jobs {

/// Job id that the caller chose, written as sixteen lower-case hexadecimal digits.
using JobId = std::uint64_t;

/// Parses what toText() writes; empty for any other text.
std::optional<JobId> parseJobId(std::string_view text);
std::string toText(JobId id);

/// Identifies one task of one occurrence of a job.
struct TaskId {
    JobId job = 0;
    std::uint32_t occurrence = 0; ///< Number of the occurrence, from 0.
    std::uint32_t step = 0; ///< Index of the step in the job.
    std::uint32_t index = 0; ///< Index of the task in the step.

    bool operator==(const TaskId& other) const { return key() == other.key(); }
    bool operator<(const TaskId& other) const { return key() < other.key(); }

    std::tuple<JobId, std::uint32_t, std::uint32_t, std::uint32_t> key() const
    {
        return { job, occurrence, step, index };
    }
};

/// Formats a task id as "JOB.OCCURRENCE.STEP.INDEX".
std::string toText(const TaskId& id);

/// Parses what toText() writes; empty for any other text.
std::optional<TaskId> parseTaskId(std::string_view text);

} // namespace turmericsill::jobs

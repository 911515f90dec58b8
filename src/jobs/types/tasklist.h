#pragma once

#include "jobs/types/task.h"

#include <algorithm>
#include <cstddef>
#include <vector>

namespace turmericsill::jobs {

/// The tasks of a step. Tasks after the last one that was ever changed take no memory: a caller may ask for many more
/// than the fleet can start.
class TaskList {
public:
    TaskList() = default;
    explicit TaskList(std::size_t size)
        : size_(size)
    {
    }

    std::size_t size() const { return size_; }

    const Task& operator[](std::size_t index) const
    {
        if (index < touched_.size())
            return touched_[index];
        static const Task untouched;
        return untouched;
    }

    /// For changing the task.
    Task& operator[](std::size_t index)
    {
        if (index >= touched_.size()) {
            // Most steps are small, and all of their tasks start.
            touched_.reserve(std::min(size_, smallStepTasks));
            touched_.resize(index + 1);
        }
        return touched_[index];
    }

    /// The first tasks, up to the last one that was changed; all others are as they were created.
    const std::vector<Task>& touched() const { return touched_; }

    /// For changing all tasks.
    std::vector<Task>& all()
    {
        touched_.resize(size_);
        return touched_;
    }

private:
    static constexpr std::size_t smallStepTasks = 64;

    std::size_t size_ = 0;
    std::vector<Task> touched_;
};

} // namespace turmericsill::jobs

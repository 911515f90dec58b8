#pragma once

#include "foundation/iclock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace turmericsill::jobs {

using foundation::milliseconds;

/// Resources that a task requests or that an instance provides.
struct Resources {
    std::int64_t milliCores = 0; ///< Processor time in thousandths of a core.
    std::int64_t memoryMb = 0;
    std::int64_t accelerators = 0;

    Resources& operator+=(const Resources& other);
    Resources& operator-=(const Resources& other);
    Resources operator*(std::int64_t factor) const;

    /// Whether `free` is at least this much of every resource.
    bool fitsInto(const Resources& free) const;
    bool operator==(const Resources& other) const;
};

/// A set of identical tasks of a job.
struct StepSpec {
    std::uint32_t taskCount = 0; ///< Number of tasks.
    Resources resourcesPerTask;
    milliseconds estimatedDuration { 0 }; ///< Approximate duration of a task; zero when the job states none.
    std::vector<std::uint32_t> dependsOn; ///< Indexes of earlier steps, all of whose tasks must be done first.
    bool resumesFromCheckpoint = false; ///< A stopped task resumes from its latest checkpoint.
    bool isGang = false; ///< Gang scheduling: the tasks make progress only while all of them are running.
    bool prefersOneRack = false; ///< The tasks take several times as long when they are spread over racks.
    bool allowsSpeculation = false; ///< Speculative copies of a task may run in parallel.
    bool isLongRunning = false; ///< A task runs until the job is cancelled and is restarted whenever it ends.
    bool isBestEffort = false; ///< Best effort: uses processor time that others leave idle; its cores are not counted.
    std::string requiredLabel; ///< Label that an instance must have; empty when any instance will do.
    std::string dataRack; ///< Rack that holds the data; tasks run slower on any other rack; empty when there is none.
    std::uint32_t maximumPerInstance = 0; ///< Limit of tasks of one occurrence on one instance; 0 means no limit.
    std::string image;
    milliseconds latencyTarget { 0 }; ///< Upper bound for the task's own tail latency; zero when there is none.
    std::uint32_t disruptionBudget = 0; ///< Number of tasks that planned maintenance may keep down at the same time.
    bool hasDisruptionBudget = false;

    bool operator==(const StepSpec& other) const;
};

} // namespace turmericsill::jobs

#pragma once

#include "foundation/iclock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace turmericsill::jobs {

using foundation::milliseconds;

/// What a task needs or an instance has.
struct Resources {
    std::int64_t milliCores = 0;
    std::int64_t memoryMb = 0;
    std::int64_t accelerators = 0;

    Resources& operator+=(const Resources& other);
    Resources& operator-=(const Resources& other);
    Resources operator*(std::int64_t factor) const;

    /// Whether this much fits into `free`.
    bool fitsInto(const Resources& free) const;
    bool operator==(const Resources& other) const;
};

/// A set of like tasks of a job.
struct StepSpec {
    std::uint32_t count = 0;
    Resources perTask;
    milliseconds estimate { 0 }; ///< Rough duration of a task; zero when the job states none.
    std::vector<std::uint32_t> dependsOn; ///< Earlier steps, all of whose tasks must be done first.
    bool checkpoints = false; ///< A stopped task continues from its last checkpoint.
    bool isGang = false; ///< The tasks work only while all of them are present.
    bool prefersOneRack = false; ///< Runs several times as long when spread over racks.
    bool allowsCopies = false; ///< Copies of a task may run in parallel.
    bool isLongRunning = false; ///< Runs until the job is cancelled; restarted however it ends.
    bool fillsUnused = false; ///< Uses processor time that others leave; its cores are not counted.
    std::string requiredLabel; ///< The instance must have this label; empty: any.
    std::string dataRack; ///< Rack that holds the data; slower on any other; empty: none.
    std::uint32_t maximumPerInstance = 0; ///< Tasks of one occurrence on one instance; 0: no limit.
    std::string image;
    milliseconds latencyTarget { 0 }; ///< Bound of the task's own tail latency; zero: none.
    std::uint32_t disruptionBudget = 0; ///< Tasks that planned work may keep away at the same time.
    bool hasDisruptionBudget = false;
};

/// When the steps of a job run.
struct Schedule {
    std::uint32_t repeats = 0; ///< 0: once, at once.
    milliseconds first { 0 }; ///< Time of day of the first occurrence, since 1970.
    milliseconds interval { 0 };
};

/// What a caller submits.
struct JobSpec {
    std::string payload; ///< Handed to every task as it came.
    std::vector<StepSpec> steps;
    Schedule schedule;
};

} // namespace turmericsill::jobs

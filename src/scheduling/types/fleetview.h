#pragma once

#include "foundation/iclock.h"
#include "jobs/types/jobspec.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace turmericsill::scheduling {

using foundation::milliseconds;

/// A machine that may be moved to another pool.
struct MachineView {
    std::string machine;
    std::string pool;
    jobs::Resources capacity;
    bool isStandby = false; ///< The machine belongs to a standby pool, whose machines are off.
    std::uint32_t runs = 0; ///< Number of runs on the instance of the machine.
    milliseconds idleTime { 0 }; ///< Time since the last run ended.
};

/// Demand and supply of a pool.
struct PoolDemand {
    jobs::Resources unplaced; ///< Resources requested by tasks that are ready to run and found no room.
    jobs::Resources incoming; ///< Capacity of the machines being moved to the pool.
    std::int64_t freeMilliCores = 0; ///< Free processor time of the instances that accept work.
    double growthMilliCoresPerSecond = 0; ///< Smoothed growth of used plus unplaced processor time.
    std::uint32_t machines = 0; ///< Number of machines that are up and neither being moved nor due for maintenance.
};

/// Decision to move a machine to another pool.
struct Move {
    std::string machine;
    std::string pool;
};

/// A machine of a wave whose maintenance has not started.
struct MaintenanceCandidate {
    std::string machine;
    std::uint32_t runs = 0;
    std::uint32_t longRunningTasks = 0;
    bool isStandby = false;
};

/// State of a maintenance wave at one moment.
struct WaveView {
    std::vector<MaintenanceCandidate> waiting;
    std::uint32_t inProgress = 0; ///< Number of machines being evacuated or in maintenance.
    std::uint32_t maximumDown = 1; ///< Limit of `inProgress`.
    milliseconds timeLeft { 0 }; ///< Time until the deadline of the wave.
};

} // namespace turmericsill::scheduling

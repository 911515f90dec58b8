#pragma once

#include "foundation/iclock.h"
#include "jobs/types/jobspec.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace turmericsill::scheduling {

using foundation::milliseconds;

/// A machine that may change its pool.
struct MachineView {
    std::string machine;
    std::string pool;
    jobs::Resources capacity;
    bool isStandby = false; ///< Of a pool whose machines are off.
    std::uint32_t runs = 0;
    milliseconds idleFor { 0 }; ///< Since its last run ended.
};

/// What a pool lacks.
struct PoolDemand {
    jobs::Resources unplaced; ///< Of tasks whose turn has come and that found no room.
    jobs::Resources incoming; ///< Of machines on their way to the pool.
    std::int64_t freeMilliCores = 0; ///< Of its instances that take work.
    double growthMilliCoresPerSecond = 0; ///< Of what its tasks use and wait for, smoothed.
    std::uint32_t machines = 0;
};

/// A machine is to change its pool.
struct Move {
    std::string machine;
    std::string pool;
};

/// A machine of a wave that has not begun its upkeep.
struct UpkeepCandidate {
    std::string machine;
    std::uint32_t runs = 0;
    std::uint32_t longRunningTasks = 0;
    bool isStandby = false;
};

/// A wave at one moment.
struct WaveView {
    std::vector<UpkeepCandidate> waiting;
    std::uint32_t underWay = 0; ///< Machines being emptied or in upkeep.
    std::uint32_t maximumDown = 1;
    milliseconds timeLeft { 0 };
};

} // namespace turmericsill::scheduling

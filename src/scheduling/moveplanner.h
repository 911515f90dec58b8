#pragma once

#include "scheduling/types/fleetview.h"

#include <map>
#include <string>
#include <vector>

namespace turmericsill::scheduling {

/// Figures that decide when machines change their pool.
struct MovePolicy {
    std::int64_t leastUnplacedMilliCores = 4000; ///< Below this a pool's own tasks make room soon enough.
    double reach = 1.6; ///< A surge grows while machines are on their way: cover this much of what waits.
    std::uint32_t extraMachines = 2;
    double leadSeconds = 3.5; ///< A move and the first heartbeat of the new instance.
    milliseconds leastIdle { 250 }; ///< A machine between two tasks is not idle.
    std::uint32_t leastMachines = 2; ///< That a pool keeps.
};

/// Decides which machines change their pool: from the standby pools first, then idle ones of pools without waiting
/// work. Answers surges that come to one pool at a time and exceed it while others are idle.
std::vector<Move> planMoves(const std::vector<MachineView>& machines, const std::map<std::string, PoolDemand>& demands,
    const MovePolicy& policy);

} // namespace turmericsill::scheduling

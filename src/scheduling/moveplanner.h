#pragma once

#include "scheduling/types/fleetview.h"

#include <map>
#include <string>
#include <vector>

namespace turmericsill::scheduling {

/// Parameters of planMoves().
struct MovePolicy {
    std::int64_t minimumShortageMilliCores = 4000; ///< A smaller shortage is soon covered by tasks that finish.
    double shortageFactor = 1.6; ///< Multiple of the shortage to cover; a surge grows while machines are moved.
    /// Limit of the machines added by `shortageFactor`. The forecast of a large surge is more exact, and the machines
    /// of other pools that it takes in vain are missed in their own surge.
    std::int64_t maximumMarginMachines = 60;
    std::uint32_t extraMachines = 2; ///< Machines added to those that cover the shortage.
    double moveLeadSeconds = 3.5; ///< Duration of a move up to the first heartbeat of the new instance.
    milliseconds minimumIdleTime { 250 }; ///< A machine between two tasks does not count as idle.
    std::uint32_t minimumMachines = 2; ///< Number of machines that a pool keeps.
};

/// Whether a pool lacks enough processor time, now or by the time that a machine ordered now arrives, to get machines.
bool hasShortage(const std::map<std::string, PoolDemand>& demands, const MovePolicy& policy);

/// Decides which machines are moved to another pool: standby machines first, then idle machines of pools without a
/// shortage. Handles surges that exceed the capacity of one pool at a time while other pools are idle.
std::vector<Move> planMoves(const std::vector<MachineView>& machines, const std::map<std::string, PoolDemand>& demands,
    const MovePolicy& policy);

} // namespace turmericsill::scheduling

#pragma once

#include "control/types/leaseterms.h"

#include <cstddef>
#include <limits>

namespace turmericsill::control {

/// Durations and intervals that the controller observes.
struct ControlSettings {
    LeaseTerms lease;
    milliseconds statusRetention { 130000 }; ///< How long a final job can be queried; the platform requires 120 s.
    milliseconds snapshotInterval { 60000 }; ///< Time between snapshots; a fifth of the log's retention.
    /// Size of the log behind the latest snapshot that makes another one due, unless that snapshot was larger: an entry
    /// that starts reads both.
    std::size_t snapshotGrowth = 1 << 20;
    /// Whether runs are stored as jobs::RunBatch records, which earlier versions of this program cannot read.
    bool batchesRunRecords = true;
    bool compressesRecords = true; ///< The same for the compression of records.
    /// Memory of all jobs, by jobs::estimatedMemory(), beyond which further ones are rejected.
    std::size_t jobMemoryLimit = std::numeric_limits<std::size_t>::max();
    std::size_t teamBurstJobs = 20; ///< Jobs that a team may submit at once beyond a second's worth of its rate.
    milliseconds holderInterval { 3000 }; ///< Minimum time between the orders of two controllers for one machine.
    /// Duration of a task on another rack than that of its data, as a multiple of its duration there. Above 1, tasks
    /// may wait for slots on their racks.
    double remoteSlowdown = 1;
};

} // namespace turmericsill::control

#pragma once

#include "foundation/iclock.h"

#include <string>
#include <vector>

namespace turmericsill::maintenance {

/// Progress of a drain or move of one instance, for operators.
struct DrainReport {
    std::string instance;
    std::string pool;
    std::string phase;
    std::string waitingFor; ///< What the drain waits for; empty while it makes progress.
    foundation::milliseconds age { 0 }; ///< Time since this controller first saw the drain.
    bool overdue = false; ///< Whether the drain is past the pool's drain limit.
};

using DrainReports = std::vector<DrainReport>;

} // namespace turmericsill::maintenance

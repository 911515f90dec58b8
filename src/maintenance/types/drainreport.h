#pragma once

#include "foundation/iclock.h"

#include <string>
#include <vector>

namespace turmericsill::maintenance {

/// Where one instance's planned work stands, for operators.
struct DrainReport {
    std::string instance;
    std::string pool;
    std::string phase;
    std::string waitingFor; ///< Why it does not go on; empty while it does.
    foundation::milliseconds age { 0 }; ///< Since this controller first saw it.
    bool overdue = false; ///< Past the pool's drain limit.
};

using DrainReports = std::vector<DrainReport>;

} // namespace turmericsill::maintenance

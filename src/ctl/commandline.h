#pragma once

#include "foundation/address.h"
#include "foundation/iclock.h"

#include <string>
#include <vector>

namespace turmericsill::ctl {

/// A parsed command line.
struct CommandLine {
    std::vector<foundation::Address> entries; ///< Operator addresses, tried in this order.
    std::string verb;
    std::vector<std::string> arguments;
    std::string author;
    std::string reason;
    std::string changeId; ///< Id of the change; a new one if the operator gives none.
    std::int64_t baseVersion = -1; ///< Version that the change is based on; negative for the current version.
    int limit = 20;
    bool json = false;
    bool wait = false; ///< Whether drain waits until the instance serves again.
    foundation::milliseconds timeout { 15000 };
};

} // namespace turmericsill::ctl

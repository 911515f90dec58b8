#pragma once

#include "foundation/address.h"
#include "foundation/iclock.h"

#include <string>
#include <vector>

namespace turmericsill::ctl {

/// A command as the operator gave it.
struct CommandLine {
    std::vector<foundation::Address> entries; ///< Tried in their order.
    std::string verb;
    std::vector<std::string> arguments;
    std::string author;
    std::string reason;
    std::string changeId; ///< Empty: a fresh one.
    std::int64_t baseVersion = -1; ///< Negative: the version in force.
    int limit = 20;
    bool json = false;
    bool wait = false; ///< For drain: until the instance is back.
    foundation::milliseconds timeout { 15000 };
};

} // namespace turmericsill::ctl

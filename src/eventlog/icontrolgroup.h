#pragma once

#include "foundation/iclock.h"
#include "foundation/result.h"

#include <cstdint>
#include <functional>

namespace turmericsill::eventlog {

/// What the group dealt to this member.
struct GroupAssignment {
    std::uint64_t generation = 0; ///< Rises with each change of the group.
    bool isController = false;
};

/// The group of entries, one of which is dealt control of the fleet.
class IControlGroup {
public:
    using JoinCallback = std::function<void(foundation::Result<GroupAssignment>)>;

    virtual ~IControlGroup() = default;

    /// Joins, or stays for another `timeToLive`; `generation` is the last one received, 0 at first.
    virtual void join(std::uint64_t generation, foundation::milliseconds timeToLive, JoinCallback done) = 0;

    /// Leaves at once, so that another member is dealt what this one held.
    virtual void leave(std::function<void()> done) = 0;
};

} // namespace turmericsill::eventlog

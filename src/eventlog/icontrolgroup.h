#pragma once

#include "foundation/iclock.h"
#include "foundation/result.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace turmericsill::eventlog {

/// What the group dealt to this member.
struct GroupAssignment {
    std::uint64_t generation = 0; ///< Rises with each change of the group.
    bool isMember = false; ///< The group counts this entry as alive.
};

/// An entry that the group counts as alive.
struct GroupMember {
    std::string entry;
    std::uint32_t processorShare = 0; ///< Of its machine, in thousandths of a core.
};

/// The group of entries: who is alive.
class IControlGroup {
public:
    using JoinCallback = std::function<void(foundation::Result<GroupAssignment>)>;
    using MembersCallback = std::function<void(foundation::Result<std::vector<GroupMember>>)>;

    virtual ~IControlGroup() = default;

    /// Joins, or stays for another `timeToLive`; `generation` is the last one received, 0 at first.
    virtual void join(std::uint64_t generation, foundation::milliseconds timeToLive, JoinCallback done) = 0;

    /// The members that the group counts as alive.
    virtual void members(MembersCallback done) = 0;

    /// Leaves at once.
    virtual void leave(std::function<void()> done) = 0;
};

} // namespace turmericsill::eventlog

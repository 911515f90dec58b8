#pragma once

#include "foundation/iclock.h"
#include "foundation/result.h"

#include <cstdint>
#include <functional>
#include <set>
#include <string>

namespace turmericsill::eventlog {

/// What the group dealt to this member.
struct GroupAssignment {
    std::uint64_t generation = 0; ///< Rises with each change of the group.
    bool isMember = false; ///< The group counts this entry as alive.
    bool isCandidate = false; ///< This member is to take control when nobody has it.
};

/// The group of entries: who is alive, and which one is to take control next.
/// What it deals changes with each member that comes or goes, so control does not follow it while its holder lives.
class IControlGroup {
public:
    using JoinCallback = std::function<void(foundation::Result<GroupAssignment>)>;
    using MembersCallback = std::function<void(foundation::Result<std::set<std::string>>)>;

    virtual ~IControlGroup() = default;

    /// Joins, or stays for another `timeToLive`; `generation` is the last one received, 0 at first.
    virtual void join(std::uint64_t generation, foundation::milliseconds timeToLive, JoinCallback done) = 0;

    /// The members that the group counts as alive.
    virtual void members(MembersCallback done) = 0;

    /// Leaves at once, so that another member is dealt what this one held.
    virtual void leave(std::function<void()> done) = 0;
};

} // namespace turmericsill::eventlog

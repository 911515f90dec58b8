#pragma once

#include "foundation/iclock.h"
#include "foundation/result.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace turmericsill::eventlog {

/// Membership of this entry, as answered to its latest join.
struct GroupAssignment {
    std::uint64_t generation = 0; ///< Increases with every change of the group's members.
    bool isMember = false; ///< Whether the group counts this entry as alive.
};

/// An entry that the group counts as alive.
struct GroupMember {
    std::string entry;
    std::uint32_t processorShare = 0; ///< Share of its machine's processors, in thousandths of a core.
    std::string address {}; ///< Address for the calls of other entries; empty if the entry's version does not tell it.
};

/// Membership group of the entries, which tells which of them are alive.
class IControlGroup {
public:
    using JoinCallback = std::function<void(foundation::Result<GroupAssignment>)>;
    using MembersCallback = std::function<void(foundation::Result<std::vector<GroupMember>>)>;

    virtual ~IControlGroup() = default;

    /// Joins the group or renews the membership for another `timeToLive`. `generation` is the one received last, or 0.
    virtual void join(std::uint64_t generation, foundation::milliseconds timeToLive, JoinCallback done) = 0;

    /// Lists the members that the group counts as alive.
    virtual void members(MembersCallback done) = 0;

    /// Leaves the group without waiting for the membership to expire.
    virtual void leave(std::function<void()> done) = 0;
};

} // namespace turmericsill::eventlog

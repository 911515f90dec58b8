#pragma once

#include "foundation/iclock.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace turmericsill::membership {

/// State that an entry sends to each other entry, at every heartbeat interval and whenever its drains progress.
struct Heartbeat {
    std::string entry;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0; ///< Increases with each heartbeat of an incarnation.
    std::uint64_t appliedOffset = 0; ///< The callers module has applied all records before this offset.
    std::uint64_t rosterVersion = 0; ///< Roster version of the newest state that was read from the log.
    std::uint64_t acknowledgedRosterVersion = 0; ///< Newest roster version whose shares the callers module enforces.
    bool logReachable = false; ///< The sender's last read of the log succeeded.
    std::uint64_t digestOffset = 0; ///< Next offset of the state that `digest` was computed from.
    std::uint64_t digest = 0; ///< Digest of the fleet state, for the detection of divergence.
    std::vector<std::string> busyInstances; ///< Instances not serving that still process requests of the sender.
    std::uint64_t acknowledgedSequence = 0; ///< Sequence of the newest heartbeat received from the addressee.
    std::vector<std::string> silentEntries; ///< Members that the sender considers silent.
};

/// Report of the callers module to the membership module; the fields are described in Heartbeat.
struct CallerReport {
    std::uint64_t appliedOffset = 0;
    std::uint64_t acknowledgedRosterVersion = 0;
    std::vector<std::string> busyInstances;
};

/// Limits that the membership module sets for the callers module.
struct ServingLimits {
    std::uint64_t settledRosterVersion = 0; ///< Roster version whose shares all admitted members enforce.
    foundation::SteadyTime leaseExpiry {}; ///< Before this time no other entry can treat this one as gone.
    foundation::SteadyTime servingUntil {}; ///< Requests may be started only before this time.
};

/// Drain progress of one member.
struct MemberProgress {
    std::uint64_t incarnation = 0;
    std::uint64_t appliedOffset = 0;
    std::vector<std::string> busyInstances;
};

/// View of all members that the membership module provides to the maintenance module.
struct MembershipView {
    std::map<std::string, MemberProgress> members; ///< Progress by entry name, including this entry.
    foundation::SteadyTime leaseExpiry {}; ///< The same as ServingLimits::leaseExpiry.
};

} // namespace turmericsill::membership

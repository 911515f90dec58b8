#pragma once

#include "foundation/iclock.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace turmericsill::membership {

/// What one entry tells the others, each heartbeat interval and when its drains progress.
struct Heartbeat {
    std::string entry;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0; ///< Rises with each heartbeat of an incarnation.
    std::uint64_t appliedOffset = 0; ///< The callers' duty has applied every record before it.
    std::uint64_t rosterVersion = 0; ///< Of the state that the log duty has.
    std::uint64_t acknowledgedRoster = 0; ///< The callers' duty keeps to its shares of this roster.
    bool logReachable = false;
    std::uint64_t digestOffset = 0; ///< Offset of the state that `digest` is of.
    std::uint64_t digest = 0;
    std::vector<std::string> busyInstances; ///< Not serving, but requests of this entry are in progress there.
    std::uint64_t answeredSequence = 0; ///< Newest heartbeat that was heard of the receiver.
    std::vector<std::string> silentEntries; ///< Members that this entry has not heard from.
};

/// What the callers' duty reports to the membership duty.
struct CallerReport {
    std::uint64_t appliedOffset = 0;
    std::uint64_t acknowledgedRoster = 0;
    std::vector<std::string> busyInstances;
};

/// What the membership duty tells the callers' duty.
struct ServingView {
    std::uint64_t settledRoster = 0; ///< Every member keeps to its shares of this roster.
    foundation::SteadyTime certainUntil {}; ///< Until then no other entry can act as if this one were gone.
    foundation::SteadyTime servingUntil {}; ///< Requests are started only before.
};

/// Drain progress of one member, for the maintenance duty.
struct MemberProgress {
    std::uint64_t incarnation = 0;
    std::uint64_t appliedOffset = 0;
    std::vector<std::string> busyInstances;
};

/// What the membership duty tells the maintenance duty.
struct PeersView {
    std::map<std::string, MemberProgress> members; ///< By entry, this one included.
    foundation::SteadyTime certainUntil {};
};

} // namespace turmericsill::membership

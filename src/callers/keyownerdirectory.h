#pragma once

#include "fleetstate/types/fleetstate.h"
#include "foundation/iclock.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace turmericsill::callers {

/// An entry that owns, or once owned, an idempotency key and may have run a request under it.
struct KeyOwner {
    std::string entry;
    std::string address; ///< Address of its server for callers; empty if that incarnation of the entry is gone.
    std::uint64_t rosterVersion = 0; ///< Newest roster under which it owned the key.
};

/// Determines the entry that owns an idempotency key, and the entries that owned it before.
///
/// The owner of a key is the entry that rendezvous hashing selects among the admitted entries. A roster takes effect
/// (is settled) once every member has acknowledged it; until then a former owner may still run requests.
class KeyOwnerDirectory {
public:
    explicit KeyOwnerDirectory(std::string entry);

    /// Applies a state that includes the end of the log. Nothing is known about rosters before the first such state.
    void onState(const fleetstate::FleetState& state);

    /// Notes that every member follows roster `rosterVersion` since `now`.
    void onRosterSettled(std::uint64_t rosterVersion, foundation::WallTime now);

    /// Owner of the key under the newest roster; its name is empty if no entry is admitted.
    KeyOwner ownerOf(const std::string& key) const;
    bool isOwner(const std::string& key) const { return ownerOf(key).entry == entry_; }

    /// Entries other than the current incarnation of this one that owned the key at or after `since`. Returns nullopt
    /// if a roster that made this entry the owner has not taken effect yet.
    std::optional<std::vector<KeyOwner>> formerOwners(const std::string& key, foundation::WallTime since) const;

    /// Time since which this entry has seen every request with the key, up to and including roster `rosterVersion`.
    /// Returns nullopt if this entry did not see that roster or did not own the key under it.
    std::optional<foundation::WallTime> historySince(const std::string& key, std::uint64_t rosterVersion) const;

private:
    struct Member {
        std::uint64_t incarnation = 0;
        std::string address;
    };

    /// One roster version as this process has seen it.
    struct Epoch {
        std::uint64_t rosterVersion = 0;
        bool beforeFirstAdmission = false; ///< No entry had ever been admitted, so no request can have run.
        std::vector<std::string> admitted;
        std::map<std::string, Member> members;
        std::optional<foundation::WallTime> settledAt; ///< When the roster took effect; unset until then.
    };

    /// Describes `entry` as the owner under `epoch`, with its address if the same incarnation is still a member.
    KeyOwner resolveOwner(const std::string& entry, const Epoch& epoch) const;
    bool isOwnerUnder(const std::string& entry, const std::string& key, const Epoch& epoch) const;

    std::string entry_;
    /// Rosters seen by this process, oldest first. The owner under the oldest is assumed to know all earlier requests.
    std::deque<Epoch> epochs_;
};

} // namespace turmericsill::callers

#pragma once

#include "fleetstate/types/fleetstate.h"
#include "foundation/iclock.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace turmericsill::callers {

/// An entry that was a key's home before this one and may have run a request under it.
struct FormerHome {
    std::string entry;
    std::string address; ///< Of its callers' server; empty when it is gone or was replaced.
    std::uint64_t rosterVersion = 0; ///< Newest roster under which it was the home.
};

/// Knows which entry is the home of an idempotency key, and which entries were before.
///
/// The home of a key is the rendezvous winner among the admitted entries. A roster takes effect when every
/// member has acknowledged it; until then a former home may still run requests.
class HomeDirectory {
public:
    explicit HomeDirectory(std::string entry);

    /// Takes a state that was the log's tail; the first one begins what this process knows.
    void onState(const fleetstate::FleetState& state);

    /// Every member keeps to roster `version` since `now`.
    void onSettled(std::uint64_t version, foundation::WallTime now);

    /// Name and address of the home by the newest roster; an empty name when nobody is admitted.
    FormerHome homeOf(const std::string& key) const;
    bool isHome(const std::string& key) const { return homeOf(key).entry == entry_; }

    /// Entries other than this one that were the key's home at or after `since`.
    /// Nothing: a roster under which this entry became the home has not taken effect yet.
    std::optional<std::vector<FormerHome>> formerHomes(const std::string& key, foundation::WallTime since) const;

    /// Since when this entry saw every request under the key, up to the time when roster `version` was in effect.
    /// Nothing when it did not see that roster or was not the home under it.
    std::optional<foundation::WallTime> memorySince(const std::string& key, std::uint64_t version) const;

private:
    struct Member {
        std::uint64_t incarnation = 0;
        std::string address;
    };

    struct Epoch {
        std::uint64_t rosterVersion = 0;
        bool nobodyEverAdmitted = false;
        std::vector<std::string> admitted;
        std::map<std::string, Member> members;
        std::optional<foundation::WallTime> settledAt;
    };

    FormerHome locate(const std::string& entry, const Epoch& epoch) const;
    bool wonBy(const std::string& entry, const std::string& key, const Epoch& epoch) const;

    std::string entry_;
    std::deque<Epoch> epochs_; ///< Newest last; the home in the first vouches for all that came before.
};

} // namespace turmericsill::callers

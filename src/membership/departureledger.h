#pragma once

#include "fleetstate/types/fleetstate.h"
#include "foundation/iclock.h"
#include "platform/iinstanceplatform.h"
#include "settings/daemonsettings.h"

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace turmericsill::membership {

/// Decides when an entry that was expelled can no longer be at work, so that the log can say so to all.
///
/// StaleServing::Fence: when the fence time has passed since its departure was read, because the entry
/// stops by itself. StaleServing::Serve: when the platform's list, which had the entry, no longer has it,
/// or when an entry that the list never had stayed away from it for the absence limit.
class DepartureLedger {
public:
    DepartureLedger(settings::StaleServing policy, foundation::milliseconds fenceAfter);

    void onState(const fleetstate::FleetState& state, foundation::SteadyTime now);

    void onInstanceList(const std::vector<platform::ListedInstance>& list, foundation::SteadyTime now);

    /// Departures that are unresolved in the log but proven here.
    std::vector<fleetstate::Departure> proven(foundation::SteadyTime now) const;

    /// Whether the list had the entry once and has it no more.
    bool isProvenGone(const std::string& entry) const { return gone_.count(entry) != 0; }

private:
    using Key = std::pair<std::string, std::uint64_t>; ///< Entry and incarnation.

    struct Pending {
        fleetstate::Departure departure;
        foundation::SteadyTime readAt {};
        foundation::SteadyTime lastListed {}; ///< Last list that had the entry, or the first list that was seen.
        bool listSeen = false;
    };

    bool isProven(const Pending& pending, foundation::SteadyTime now) const;

    settings::StaleServing policy_;
    foundation::milliseconds fenceAfter_;
    std::map<Key, Pending> pending_;
    std::set<std::string> listed_; ///< Entries that the list had at some time.
    std::set<std::string> gone_;
};

} // namespace turmericsill::membership

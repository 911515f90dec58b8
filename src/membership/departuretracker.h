#pragma once

#include "fleetstate/types/fleetstate.h"
#include "foundation/iclock.h"
#include "platform/iinstancemanager.h"
#include "settings/daemonsettings.h"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace turmericsill::membership {

/// Determines when an evicted entry can no longer be running, so that its departure can be resolved in the fleet log.
///
/// StaleServing::Fence: when the fence time has passed since this entry read the departure from the log, because the
/// evicted entry fences itself by then. StaleServing::Serve: when the platform's instance list no longer contains the
/// entry after having contained it, or when an entry that was never listed has been absent for longer than the list
/// can lag.
class DepartureTracker {
public:
    explicit DepartureTracker(const settings::DaemonSettings& settings);

    /// Takes over the roster and the unresolved departures of a new state.
    void onState(const fleetstate::FleetState& state, foundation::SteadyTime now);

    /// Takes over an answer of the platform to a query for all members and departed entries.
    void onInstanceList(const std::vector<platform::ListedInstance>& list, foundation::SteadyTime now);

    /// Departures that are unresolved in the log although the entries can no longer be running.
    std::vector<fleetstate::Departure> resolvableDepartures(foundation::SteadyTime now) const;

    /// Whether the instance list proves that the entry is gone.
    bool isProvenGone(const std::string& entry, foundation::SteadyTime now) const;

private:
    /// Presence of the newest incarnation of an entry in the instance list.
    struct Listing {
        std::uint64_t incarnation = 0;
        bool wasListed = false;
        std::optional<foundation::SteadyTime> absentSince; ///< Time of the first answer that did not list it.
    };

    struct Pending {
        fleetstate::Departure departure;
        foundation::SteadyTime firstSeenAt {}; ///< Time at which this entry read the departure from the log.
    };

    /// Discards the listing of an entry if the incarnation is newer than the tracked one.
    void trackIncarnation(const std::string& entry, std::uint64_t incarnation);
    bool isResolvable(const Pending& pending, foundation::SteadyTime now) const;

    settings::StaleServing staleServing_;
    foundation::milliseconds fenceAfter_;
    foundation::milliseconds listLag_;
    std::vector<Pending> pending_; ///< Departures that are unresolved in the log.
    std::map<std::string, Listing> listings_; ///< Listing of each member and departed entry.
};

} // namespace turmericsill::membership

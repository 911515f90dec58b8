#pragma once

#include "fleetstate/types/fleetstate.h"
#include "foundation/iclock.h"
#include "platform/iinstanceplatform.h"
#include "settings/daemonsettings.h"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace turmericsill::membership {

/// Decides when an entry that was expelled can no longer be at work, so that the log can say so to all.
///
/// StaleServing::Fence: when the fence time has passed since its departure was read, because the entry
/// stops by itself. StaleServing::Serve: when the platform's list, which had the entry, no longer has it,
/// or when an entry that the list never had was absent for longer than the list lags.
class DepartureLedger {
public:
    explicit DepartureLedger(const settings::DaemonSettings& settings);

    void onState(const fleetstate::FleetState& state, foundation::SteadyTime now);

    /// Takes an answer of the platform that was asked about every member and departed entry.
    void onInstanceList(const std::vector<platform::ListedInstance>& list, foundation::SteadyTime now);

    /// Departures that are unresolved in the log but proven here.
    std::vector<fleetstate::Departure> proven(foundation::SteadyTime now) const;

    /// Whether the instance list proves that the entry is gone.
    bool isProvenGone(const std::string& entry, foundation::SteadyTime now) const;

private:
    /// What the list said of the newest incarnation of an entry.
    struct Listing {
        std::uint64_t incarnation = 0;
        bool everListed = false;
        std::optional<foundation::SteadyTime> absentSince;
    };

    struct Pending {
        fleetstate::Departure departure;
        foundation::SteadyTime readAt {};
    };

    void follow(const std::string& entry, std::uint64_t incarnation);
    bool isProven(const Pending& pending, foundation::SteadyTime now) const;

    settings::StaleServing policy_;
    foundation::milliseconds fenceAfter_;
    foundation::milliseconds listLag_;
    std::vector<Pending> pending_;
    std::map<std::string, Listing> listings_;
};

} // namespace turmericsill::membership

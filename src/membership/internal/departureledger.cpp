#include "membership/departureledger.h"

#include <algorithm>

namespace turmericsill::membership {

using fleetstate::Departure;
using foundation::milliseconds;
using foundation::SteadyTime;

namespace {

    /// Added to the fence time for the transit of heartbeats and the rounding of timers.
    constexpr milliseconds fenceMargin { 1000 };

    /// Longest lag of the instance list: an entry that lives is listed before this has passed.
    constexpr milliseconds absenceLimit { 30000 };

} // namespace

DepartureLedger::DepartureLedger(settings::StaleServing policy, milliseconds fenceAfter)
    : policy_(policy)
    , fenceAfter_(fenceAfter)
{
}

void DepartureLedger::onState(const fleetstate::FleetState& state, SteadyTime now)
{
    std::map<Key, Pending> kept;
    for (const auto& departure : state.departures) {
        const Key key { departure.entry, departure.incarnation };
        auto known = pending_.find(key);
        kept[key] = known != pending_.end() ? known->second : Pending { departure, now, now, false };
    }
    pending_ = std::move(kept);
    // A member that is back, or was never away, has proven nothing.
    for (const auto& [name, member] : state.roster)
        gone_.erase(name);
}

void DepartureLedger::onInstanceList(const std::vector<platform::ListedInstance>& list, SteadyTime now)
{
    std::set<std::string> present;
    for (const auto& instance : list)
        present.insert(instance.name);
    for (const auto& name : listed_) {
        if (present.count(name) == 0)
            gone_.insert(name);
    }
    for (const auto& name : present)
        gone_.erase(name);
    for (auto& [key, pending] : pending_) {
        if (present.count(key.first) != 0 || !pending.listSeen)
            pending.lastListed = now;
        pending.listSeen = true;
    }
    listed_ = std::move(present);
}

bool DepartureLedger::isProven(const Pending& pending, SteadyTime now) const
{
    if (policy_ == settings::StaleServing::Fence)
        return now >= pending.readAt + fenceAfter_ + fenceMargin;
    return isProvenGone(pending.departure.entry) || (pending.listSeen && now >= pending.lastListed + absenceLimit);
}

std::vector<Departure> DepartureLedger::proven(SteadyTime now) const
{
    std::vector<Departure> departures;
    for (const auto& [key, pending] : pending_) {
        if (isProven(pending, now))
            departures.push_back(pending.departure);
    }
    return departures;
}

} // namespace turmericsill::membership

#include "membership/departuretracker.h"

#include <algorithm>

namespace turmericsill::membership {

using fleetstate::Departure;
using foundation::milliseconds;
using foundation::SteadyTime;

namespace {

    /// Added to the fence time to cover the transit time of heartbeats and the rounding of timers.
    constexpr milliseconds fenceMargin { 1000 };

} // namespace

DepartureTracker::DepartureTracker(const settings::DaemonSettings& settings)
    : staleServing_(settings.staleServing)
    , fenceAfter_(settings.fenceAfter)
    , instanceListLag_(settings.instanceListLag)
{
}

// The listing history of an older incarnation proves nothing about a newer one.
void DepartureTracker::trackIncarnation(const std::string& entry, std::uint64_t incarnation)
{
    ListingHistory& history = listingHistories_[entry];
    if (history.incarnation < incarnation)
        history = { incarnation, false, std::nullopt };
}

void DepartureTracker::onState(const fleetstate::FleetState& state, SteadyTime now)
{
    std::vector<PendingDeparture> unresolved;
    for (const auto& departure : state.departures) {
        trackIncarnation(departure.entry, departure.incarnation);
        auto known
            = std::find_if(pendingDepartures_.begin(), pendingDepartures_.end(), [&](const PendingDeparture& pending) {
                  return pending.departure.entry == departure.entry
                      && pending.departure.incarnation == departure.incarnation;
              });
        unresolved.push_back(known != pendingDepartures_.end() ? *known : PendingDeparture { departure, now });
    }
    pendingDepartures_ = std::move(unresolved);
    for (const auto& [name, member] : state.roster)
        trackIncarnation(name, member.incarnation);
    for (auto history = listingHistories_.begin(); history != listingHistories_.end();) {
        const bool isPending = std::any_of(pendingDepartures_.begin(), pendingDepartures_.end(),
            [&](const PendingDeparture& pending) { return pending.departure.entry == history->first; });
        history = isPending || state.roster.count(history->first) != 0 ? std::next(history)
                                                                       : listingHistories_.erase(history);
    }
}

void DepartureTracker::onInstanceList(const std::vector<platform::ListedInstance>& list, SteadyTime now)
{
    for (auto& [name, history] : listingHistories_) {
        const bool isListed = std::any_of(
            list.begin(), list.end(), [&, &entry = name](const auto& instance) { return instance.name == entry; });
        history.wasListed |= isListed;
        if (isListed)
            history.absentSince.reset();
        else if (!history.absentSince)
            history.absentSince = now;
    }
}

bool DepartureTracker::isProvenGone(const std::string& entry, SteadyTime now) const
{
    auto found = listingHistories_.find(entry);
    if (found == listingHistories_.end() || !found->second.absentSince)
        return false;
    return found->second.wasListed || now >= *found->second.absentSince + instanceListLag_;
}

bool DepartureTracker::isResolvable(const PendingDeparture& pending, SteadyTime now) const
{
    if (staleServing_ == settings::StaleServing::Fence)
        return now >= pending.firstSeenAt + fenceAfter_ + fenceMargin;
    return isProvenGone(pending.departure.entry, now);
}

std::vector<Departure> DepartureTracker::resolvableDepartures(SteadyTime now) const
{
    std::vector<Departure> departures;
    for (const auto& pending : pendingDepartures_) {
        if (isResolvable(pending, now))
            departures.push_back(pending.departure);
    }
    return departures;
}

} // namespace turmericsill::membership

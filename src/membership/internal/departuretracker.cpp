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
    , listLag_(settings.instanceListLag)
{
}

// The listing of an older incarnation proves nothing about a newer one.
void DepartureTracker::trackIncarnation(const std::string& entry, std::uint64_t incarnation)
{
    Listing& listing = listings_[entry];
    if (listing.incarnation < incarnation)
        listing = { incarnation, false, std::nullopt };
}

void DepartureTracker::onState(const fleetstate::FleetState& state, SteadyTime now)
{
    std::vector<Pending> unresolved;
    for (const auto& departure : state.departures) {
        trackIncarnation(departure.entry, departure.incarnation);
        auto known = std::find_if(pending_.begin(), pending_.end(), [&](const Pending& pending) {
            return pending.departure.entry == departure.entry && pending.departure.incarnation == departure.incarnation;
        });
        unresolved.push_back(known != pending_.end() ? *known : Pending { departure, now });
    }
    pending_ = std::move(unresolved);
    for (const auto& [name, member] : state.roster)
        trackIncarnation(name, member.incarnation);
    for (auto listing = listings_.begin(); listing != listings_.end();) {
        const bool isPending = std::any_of(pending_.begin(), pending_.end(),
            [&](const Pending& pending) { return pending.departure.entry == listing->first; });
        listing = isPending || state.roster.count(listing->first) != 0 ? std::next(listing) : listings_.erase(listing);
    }
}

void DepartureTracker::onInstanceList(const std::vector<platform::ListedInstance>& list, SteadyTime now)
{
    for (auto& [name, listing] : listings_) {
        const bool isListed = std::any_of(
            list.begin(), list.end(), [&, &entry = name](const auto& instance) { return instance.name == entry; });
        listing.wasListed |= isListed;
        if (isListed)
            listing.absentSince.reset();
        else if (!listing.absentSince)
            listing.absentSince = now;
    }
}

bool DepartureTracker::isProvenGone(const std::string& entry, SteadyTime now) const
{
    auto found = listings_.find(entry);
    if (found == listings_.end() || !found->second.absentSince)
        return false;
    return found->second.wasListed || now >= *found->second.absentSince + listLag_;
}

bool DepartureTracker::isResolvable(const Pending& pending, SteadyTime now) const
{
    if (staleServing_ == settings::StaleServing::Fence)
        return now >= pending.firstSeenAt + fenceAfter_ + fenceMargin;
    return isProvenGone(pending.departure.entry, now);
}

std::vector<Departure> DepartureTracker::resolvableDepartures(SteadyTime now) const
{
    std::vector<Departure> departures;
    for (const auto& pending : pending_) {
        if (isResolvable(pending, now))
            departures.push_back(pending.departure);
    }
    return departures;
}

} // namespace turmericsill::membership

#include "membership/departureledger.h"

#include <algorithm>

namespace turmericsill::membership {

using fleetstate::Departure;
using foundation::milliseconds;
using foundation::SteadyTime;

namespace {

    /// Added to the fence time for the transit of heartbeats and the rounding of timers.
    constexpr milliseconds fenceMargin { 1000 };

} // namespace

DepartureLedger::DepartureLedger(const settings::DaemonSettings& settings)
    : policy_(settings.staleServing)
    , fenceAfter_(settings.fenceAfter)
    , listLag_(settings.instanceListLag)
{
}

// What the list says of an older incarnation proves nothing of a newer one.
void DepartureLedger::follow(const std::string& entry, std::uint64_t incarnation)
{
    Listing& listing = listings_[entry];
    if (listing.incarnation < incarnation)
        listing = { incarnation, false, std::nullopt };
}

void DepartureLedger::onState(const fleetstate::FleetState& state, SteadyTime now)
{
    std::vector<Pending> kept;
    for (const auto& departure : state.departures) {
        follow(departure.entry, departure.incarnation);
        auto known = std::find_if(pending_.begin(), pending_.end(), [&](const Pending& pending) {
            return pending.departure.entry == departure.entry && pending.departure.incarnation == departure.incarnation;
        });
        kept.push_back(known != pending_.end() ? *known : Pending { departure, now });
    }
    pending_ = std::move(kept);
    for (const auto& [name, member] : state.roster)
        follow(name, member.incarnation);
    for (auto listing = listings_.begin(); listing != listings_.end();) {
        const bool departed = std::any_of(pending_.begin(), pending_.end(),
            [&](const Pending& pending) { return pending.departure.entry == listing->first; });
        listing = departed || state.roster.count(listing->first) != 0 ? std::next(listing) : listings_.erase(listing);
    }
}

void DepartureLedger::onInstanceList(const std::vector<platform::ListedInstance>& list, SteadyTime now)
{
    for (auto& [name, listing] : listings_) {
        const bool present = std::any_of(
            list.begin(), list.end(), [&, &entry = name](const auto& instance) { return instance.name == entry; });
        listing.everListed |= present;
        if (present)
            listing.absentSince.reset();
        else if (!listing.absentSince)
            listing.absentSince = now;
    }
}

bool DepartureLedger::isProvenGone(const std::string& entry, SteadyTime now) const
{
    auto found = listings_.find(entry);
    if (found == listings_.end() || !found->second.absentSince)
        return false;
    return found->second.everListed || now >= *found->second.absentSince + listLag_;
}

bool DepartureLedger::isProven(const Pending& pending, SteadyTime now) const
{
    if (policy_ == settings::StaleServing::Fence)
        return now >= pending.readAt + fenceAfter_ + fenceMargin;
    return isProvenGone(pending.departure.entry, now);
}

std::vector<Departure> DepartureLedger::proven(SteadyTime now) const
{
    std::vector<Departure> departures;
    for (const auto& pending : pending_) {
        if (isProven(pending, now))
            departures.push_back(pending.departure);
    }
    return departures;
}

} // namespace turmericsill::membership

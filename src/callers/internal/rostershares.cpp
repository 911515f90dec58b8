#include "callers/rostershares.h"

#include "foundation/hash.h"

#include <algorithm>
#include <utility>

namespace turmericsill::callers {

// The initial roster is empty: a new entry has no share until the other entries have reduced theirs.
RosterShares::RosterShares(std::string entry)
    : entry_(std::move(entry))
    , rosters_(1)
{
}

bool RosterShares::addRoster(std::uint64_t version, const std::vector<std::string>& admitted)
{
    if (version <= rosters_.back().version)
        return false;
    if (rosters_.back().admitted == admitted) {
        // Joins of entries that are not admitted do not change the shares, so they need no acknowledgement by all
        // members.
        rosters_.back().version = version;
        return false;
    }
    rosters_.push_back({ version, admitted });
    return true;
}

bool RosterShares::onRosterSettled(std::uint64_t version)
{
    bool changed = false;
    while (rosters_.size() > 1 && rosters_[1].version <= version) {
        rosters_.pop_front();
        changed = true;
    }
    return changed;
}

bool RosterShares::hasShare() const
{
    return std::all_of(rosters_.begin(), rosters_.end(), [this](const Roster& roster) {
        return std::binary_search(roster.admitted.begin(), roster.admitted.end(), entry_);
    });
}

std::uint32_t RosterShares::slots(const declarations::Service& service, const std::string& instance) const
{
    return smallestShare(service.slotsPerInstance, instance);
}

std::uint32_t RosterShares::connections(const declarations::Service& service, const std::string& instance) const
{
    return smallestShare(service.connectionsPerInstance, instance);
}

std::uint32_t RosterShares::smallestShare(std::uint32_t limit, const std::string& instance) const
{
    std::uint32_t smallest = limit;
    for (const auto& roster : rosters_)
        smallest = std::min(smallest, shareOf(roster, limit, instance));
    return smallest;
}

// The remainder of the division is assigned to different entries on each instance, so that shares even out over a
// pool.
std::uint32_t RosterShares::shareOf(const Roster& roster, std::uint32_t limit, const std::string& instance) const
{
    auto found = std::lower_bound(roster.admitted.begin(), roster.admitted.end(), entry_);
    if (found == roster.admitted.end() || *found != entry_)
        return 0;
    const auto memberCount = static_cast<std::uint32_t>(roster.admitted.size());
    const auto rank = static_cast<std::uint32_t>(found - roster.admitted.begin());
    const auto rotation = static_cast<std::uint32_t>(foundation::hashBytes(instance) % memberCount);
    const std::uint32_t position = (rank + rotation) % memberCount;
    return limit / memberCount + (position < limit % memberCount ? 1 : 0);
}

} // namespace turmericsill::callers

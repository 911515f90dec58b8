#include "callers/keyownerdirectory.h"

#include "foundation/hash.h"

#include <utility>

namespace turmericsill::callers {

using foundation::WallTime;

namespace {

    constexpr std::size_t maximumEpochs = 32; ///< Limit on the number of rosters that are kept.

} // namespace

KeyOwnerDirectory::KeyOwnerDirectory(std::string entry)
    : entry_(std::move(entry))
{
}

void KeyOwnerDirectory::onState(const fleetstate::FleetState& state)
{
    if (!epochs_.empty() && state.rosterVersion <= epochs_.back().rosterVersion)
        return;
    Epoch epoch;
    epoch.rosterVersion = state.rosterVersion;
    epoch.beforeFirstAdmission = state.admissions == 0;
    epoch.admitted = state.admittedEntries();
    for (const auto& [name, member] : state.roster)
        epoch.members[name] = { member.incarnation, member.callerAddress };
    epochs_.push_back(std::move(epoch));
    if (epochs_.size() > maximumEpochs)
        epochs_.pop_front();
}

void KeyOwnerDirectory::onRosterSettled(std::uint64_t rosterVersion, WallTime now)
{
    for (auto& epoch : epochs_) {
        if (epoch.rosterVersion <= rosterVersion && !epoch.settledAt)
            epoch.settledAt = now;
    }
}

KeyOwner KeyOwnerDirectory::ownerOf(const std::string& key) const
{
    if (epochs_.empty())
        return {};
    const Epoch& newest = epochs_.back();
    return resolveOwner(foundation::rendezvousOwner(key, newest.admitted), newest);
}

// A restarted entry has no record of what its former incarnation ran.
KeyOwner KeyOwnerDirectory::resolveOwner(const std::string& entry, const Epoch& epoch) const
{
    const auto& newest = epochs_.back().members;
    auto memberThen = epoch.members.find(entry);
    auto memberNow = newest.find(entry);
    const bool isSameIncarnation = memberThen != epoch.members.end() && memberNow != newest.end()
        && memberThen->second.incarnation == memberNow->second.incarnation;
    return { entry, isSameIncarnation ? memberNow->second.address : std::string(), epoch.rosterVersion };
}

bool KeyOwnerDirectory::isOwnerUnder(const std::string& entry, const std::string& key, const Epoch& epoch) const
{
    return foundation::rendezvousOwner(key, epoch.admitted) == entry;
}

std::optional<std::vector<KeyOwner>> KeyOwnerDirectory::formerOwners(const std::string& key, WallTime since) const
{
    std::vector<KeyOwner> former;
    for (std::size_t index = epochs_.size(); index-- > 1;) {
        // An epoch ends when the next one takes effect.
        const std::optional<WallTime> endedAt = epochs_[index].settledAt;
        if (endedAt && *endedAt <= since)
            break;
        const Epoch& epoch = epochs_[index - 1];
        const std::string owner = foundation::rendezvousOwner(key, epoch.admitted);
        if (epoch.beforeFirstAdmission || (owner == entry_ && !resolveOwner(entry_, epoch).address.empty()))
            continue;
        if (!endedAt)
            return std::nullopt;
        former.push_back(resolveOwner(owner, epoch));
    }
    return former;
}

// A process that was paused may have skipped rosters, and has no record of what ran under them.
std::optional<WallTime> KeyOwnerDirectory::historySince(const std::string& key, std::uint64_t rosterVersion) const
{
    std::size_t index = epochs_.size();
    while (index > 0 && epochs_[index - 1].rosterVersion > rosterVersion)
        --index;
    if (index == 0 || epochs_[index - 1].rosterVersion != rosterVersion
        || !isOwnerUnder(entry_, key, epochs_[index - 1]))
        return std::nullopt;
    while (index > 1 && isOwnerUnder(entry_, key, epochs_[index - 2]))
        --index;
    const Epoch& first = epochs_[index - 1];
    if (index > 1 && epochs_[index - 2].beforeFirstAdmission)
        return WallTime::min();
    return first.settledAt;
}

} // namespace turmericsill::callers

#include "callers/homedirectory.h"

#include "foundation/hash.h"

#include <utility>

namespace turmericsill::callers {

using foundation::WallTime;

namespace {

    constexpr std::size_t maximumEpochs = 32;

} // namespace

HomeDirectory::HomeDirectory(std::string entry)
    : entry_(std::move(entry))
{
}

void HomeDirectory::onState(const fleetstate::FleetState& state)
{
    if (!epochs_.empty() && state.rosterVersion <= epochs_.back().rosterVersion)
        return;
    Epoch epoch;
    epoch.rosterVersion = state.rosterVersion;
    epoch.nobodyEverAdmitted = state.admissions == 0;
    epoch.admitted = state.admittedEntries();
    for (const auto& [name, member] : state.roster)
        epoch.members[name] = { member.incarnation, member.callerAddress };
    epochs_.push_back(std::move(epoch));
    if (epochs_.size() > maximumEpochs)
        epochs_.pop_front();
}

void HomeDirectory::onSettled(std::uint64_t version, WallTime now)
{
    for (auto& epoch : epochs_) {
        if (epoch.rosterVersion <= version && !epoch.settledAt)
            epoch.settledAt = now;
    }
}

FormerHome HomeDirectory::homeOf(const std::string& key) const
{
    if (epochs_.empty())
        return {};
    const Epoch& newest = epochs_.back();
    return locate(foundation::rendezvousWinner(key, newest.admitted), newest);
}

// An entry that was replaced since has no memory of what its predecessor ran.
FormerHome HomeDirectory::locate(const std::string& entry, const Epoch& epoch) const
{
    const auto& newest = epochs_.back().members;
    auto then = epoch.members.find(entry);
    auto now = newest.find(entry);
    const bool stillThere
        = then != epoch.members.end() && now != newest.end() && then->second.incarnation == now->second.incarnation;
    return { entry, stillThere ? now->second.address : std::string(), epoch.rosterVersion };
}

bool HomeDirectory::wonBy(const std::string& entry, const std::string& key, const Epoch& epoch) const
{
    return foundation::rendezvousWinner(key, epoch.admitted) == entry;
}

std::optional<std::vector<FormerHome>> HomeDirectory::formerHomes(const std::string& key, WallTime since) const
{
    std::vector<FormerHome> former;
    for (std::size_t index = epochs_.size(); index-- > 1;) {
        // An epoch ended when the one after it took effect.
        const std::optional<WallTime> endedAt = epochs_[index].settledAt;
        if (endedAt && *endedAt <= since)
            break;
        const Epoch& epoch = epochs_[index - 1];
        const std::string winner = foundation::rendezvousWinner(key, epoch.admitted);
        if (epoch.nobodyEverAdmitted || (winner == entry_ && !locate(entry_, epoch).address.empty()))
            continue;
        if (!endedAt)
            return std::nullopt;
        former.push_back(locate(winner, epoch));
    }
    return former;
}

// A process that was paused may have skipped rosters, and knows nothing of what happened under them.
std::optional<WallTime> HomeDirectory::memorySince(const std::string& key, std::uint64_t version) const
{
    std::size_t index = epochs_.size();
    while (index > 0 && epochs_[index - 1].rosterVersion > version)
        --index;
    if (index == 0 || epochs_[index - 1].rosterVersion != version || !wonBy(entry_, key, epochs_[index - 1]))
        return std::nullopt;
    while (index > 1 && wonBy(entry_, key, epochs_[index - 2]))
        --index;
    const Epoch& first = epochs_[index - 1];
    if (index > 1 && epochs_[index - 2].nobodyEverAdmitted)
        return WallTime::min();
    return first.settledAt;
}

} // namespace turmericsill::callers

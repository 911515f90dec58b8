#pragma once

#include "callers/islotshares.h"

#include <cstdint>
#include <deque>
#include <vector>

namespace turmericsill::callers {

/// Divides the slots and connections of each endpoint among the admitted entries.
///
/// While members may follow different rosters, an entry uses the smallest of its shares under all of them, so that
/// the sum over all entries never exceeds the limit.
class RosterShares : public ISlotShares {
public:
    explicit RosterShares(std::string entry);

    /// Adds a newer roster. Returns whether the shares may have changed.
    bool addRoster(std::uint64_t version, const std::vector<std::string>& admitted);

    /// Called when every member keeps to its shares under roster `version`; drops older rosters.
    /// Returns whether the shares may have changed.
    bool onRosterSettled(std::uint64_t version);

    /// Version of the newest roster that the shares take into account.
    std::uint64_t newestRosterVersion() const { return rosters_.back().version; }

    /// Whether this entry is admitted under every roster that some member may follow.
    bool hasShare() const;

    std::uint32_t slots(const declarations::Service& service, const std::string& instance) const override;
    std::uint32_t connections(const declarations::Service& service, const std::string& instance) const override;

private:
    struct Roster {
        std::uint64_t version = 0;
        std::vector<std::string> admitted;
    };

    std::uint32_t smallestShare(std::uint32_t limit, const std::string& instance) const;
    std::uint32_t shareOf(const Roster& roster, std::uint32_t limit, const std::string& instance) const;

    std::string entry_;
    std::deque<Roster> rosters_; ///< Rosters that some member may follow, oldest first; never empty.
};

} // namespace turmericsill::callers

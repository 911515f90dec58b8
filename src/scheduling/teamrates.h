#pragma once

#include "fleet/types/fleet.h"
#include "foundation/iclock.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace turmericsill::scheduling {

/// A job that was received before this process took control.
struct ReceivedJob {
    std::string team;
    foundation::SteadyTime receivedAt;
    bool exceedsTeamRate = false; ///< The job took no token when it was received.
};

/// Rates at which teams may submit jobs: a token bucket for each team of the configuration. It gains Team::weight
/// tokens a second and holds a second's worth of them and the burst. Jobs without a team, and those of teams that the
/// configuration does not name, are never beyond a rate.
class TeamRates {
public:
    /// `burstJobs`: jobs that a team may submit at once beyond a second's worth of its rate.
    explicit TeamRates(std::size_t burstJobs)
        : burstJobs_(static_cast<double>(burstJobs))
    {
    }

    /// Applies a newer configuration. Teams that it adds have full buckets; the others keep their tokens.
    void setConfiguration(const fleet::FleetConfiguration& configuration, foundation::SteadyTime now);

    /// Restores the buckets from the jobs received lately, as if they had been full before the first one. Replaces what
    /// the buckets hold.
    void restore(std::vector<ReceivedJob> jobs, foundation::SteadyTime now);

    /// Whether the bucket of a team is empty, so that its next job is beyond the rate.
    bool isExhausted(const std::string& team, foundation::SteadyTime now) const;

    /// Takes a token for a job that is within the rate.
    void takeToken(const std::string& team, foundation::SteadyTime now);

private:
    struct Bucket {
        double rate = 0; ///< Tokens per second.
        double capacity = 0;
        double tokens = 0; ///< At the time `filledAt`.
        foundation::SteadyTime filledAt {};

        double tokensAt(foundation::SteadyTime now) const;
        void refill(foundation::SteadyTime now);
    };

    double burstJobs_;
    std::map<std::string, Bucket> buckets_; ///< Key: team.
};

} // namespace turmericsill::scheduling

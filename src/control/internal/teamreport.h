#pragma once

#include "foundation/iclock.h"
#include "scheduling/poolbacklog.h"
#include "scheduling/teamusage.h"
#include "telemetry/ieventsink.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace turmericsill::control {

/// Writes the event "team.usage" for each team with work, at most once a second, and once more after the work has
/// ended.
class TeamReport {
public:
    explicit TeamReport(telemetry::IEventSink& events)
        : events_(events)
    {
    }

    bool isDue(foundation::SteadyTime now) const;

    /// Adds the work of a pool to the next report. `heldByCap`: see scheduling::TeamShares::heldByCap().
    void addPool(const std::string& pool, const scheduling::PoolBacklog& backlog, std::int64_t freeMilliCores,
        const std::map<std::string, std::uint64_t>& heldByCap, const scheduling::TeamUsage& usage);

    /// Writes what was added since the previous report.
    void write(const scheduling::TeamUsage& usage, foundation::SteadyTime now);

private:
    struct Work {
        std::uint64_t waitingJobs = 0;
        std::uint64_t jobsBeyondRate = 0;
        std::uint64_t tasksHeldByCap = 0;
        double shareMilliCores = 0;
    };

    telemetry::IEventSink& events_;
    foundation::SteadyTime writtenAt_ = foundation::SteadyTime::min();
    std::map<std::string, Work> teams_; ///< Key: team.
    std::set<std::string> reported_; ///< Teams with work as of the latest report.
};

} // namespace turmericsill::control

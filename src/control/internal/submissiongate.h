#pragma once

#include "control/internal/isubmissiongate.h"
#include "eventlog/jobfollower.h"
#include "foundation/iclock.h"
#include "scheduling/admission.h"
#include "scheduling/instanceindex.h"
#include "scheduling/teamrates.h"
#include "telemetry/ieventsink.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace turmericsill::control {

/// What a SubmissionGate learns from the controller that owns it.
struct SubmissionGateContext {
    const eventlog::JobFollower& follower;
    const foundation::IClock& clock;
    telemetry::IEventSink& events;
    /// Instances of a pool that accept tasks.
    std::function<const scheduling::InstanceIndex&(const std::string& pool)> instancesOf;
    /// Waiting tasks of a pool, or null.
    std::function<const scheduling::PoolBacklog*(const std::string& pool)> findBacklog;
};

/// Rejects submissions for which the entries have no memory. Marks those that are beyond their team's rate, and rejects
/// those that the fleet could not serve in time, see scheduling::AdmissionControl, if the configuration has teams.
class SubmissionGate : public ISubmissionGate {
public:
    /// `burstJobs`: see scheduling::TeamRates. `jobMemoryLimit`: see ControlSettings. The controller takes control now:
    /// for a while it knows too little of the fleet to tell what it could serve in time.
    SubmissionGate(SubmissionGateContext context, std::size_t burstJobs, std::size_t jobMemoryLimit);

    /// Applies a newer configuration. The rates are restored from the table of jobs by the first one with teams.
    void setConfiguration(const fleet::FleetConfiguration& configuration);

    /// Sets the capacity that is being moved or can be moved to each pool.
    void setArriving(std::map<std::string, std::int64_t> milliCores) { arriving_ = std::move(milliCores); }

    std::optional<foundation::milliseconds> examine(jobs::JobSubmitted& submission, bool mayReject) override;

    /// Periodic work: reports the load of each pool once a second.
    void tick();

private:
    struct PoolState {
        scheduling::PoolWork work;
        scheduling::PoolSupply supply;
        std::optional<foundation::SteadyTime> refreshDueAt; ///< When `work` and `supply` are too old.
        scheduling::AdmissionControl admission;
        std::uint64_t accepted = 0; ///< Since the latest report, as are the next three.
        std::uint64_t rejected = 0;
        std::uint64_t beyondRate = 0;
        foundation::milliseconds longestWait { 0 };
    };

    void restoreRates();
    bool canReject() const;
    bool isLogCurrent() const;
    bool hasMemoryFor(const jobs::JobSubmitted& submission) const;
    std::optional<foundation::milliseconds> decide(
        PoolState& pool, const fleet::Queue& queue, const jobs::JobSubmitted& submission, bool mayReject);
    void refresh(PoolState& pool, const std::string& name);

    SubmissionGateContext context_;
    foundation::SteadyTime inControlSince_;
    fleet::FleetConfiguration configuration_;
    scheduling::TeamRates rates_;
    std::size_t jobMemoryLimit_;
    std::uint64_t rejectedForMemory_ = 0; ///< Since the latest report.
    bool hasRestoredRates_ = false;
    std::map<std::string, std::int64_t> arriving_; ///< Thousandths of a core. Key: pool.
    std::map<std::string, PoolState> pools_;
    foundation::SteadyTime reportedAt_ {};
};

} // namespace turmericsill::control

#pragma once

#include "fleet/iinstancecontrol.h"
#include "foundation/iclock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace turmericsill::emulator {

using foundation::milliseconds;

/// Course of a run on an emulated instance.
struct RunPlan {
    milliseconds duration { 1000 }; ///< Time from the start until the run ends by itself.
    jobs::RunOutcome outcome = jobs::RunOutcome::Done;
    bool isLongRunning = false; ///< The run lasts until it is stopped or the lease expires.
    std::string checkpoint; ///< Left by the run when it is stopped.
};

/// One incarnation of an instance with its fencing token, lease, runs and unacknowledged ends, as the platform's
/// specification describes them.
class EmulatedInstance {
public:
    /// `clockRate` is the speed of the instance's clock relative to `clock`, 0.98 to 1.
    EmulatedInstance(
        fleet::InstanceReport report, const foundation::IClock& clock, double clockRate, milliseconds maximumLease);

    const fleet::InstanceReport& report() const { return report_; }

    /// Changes the capacity. Runs go on even if they no longer fit.
    void setCapacity(const jobs::Resources& capacity);

    /// Largest amount of each resource that the capacity has had at any time since then.
    jobs::Resources largestCapacitySince(foundation::SteadyTime time) const;

    /// Executes an order to start a run. `planRun` is called when a run starts and returns its course.
    fleet::StartAnswer start(const fleet::StartOrder& order, std::uint64_t token,
        const std::function<RunPlan(const jobs::TaskId&)>& planRun);

    /// Fails with Errc::Fenced when the instance has seen a higher fencing token.
    foundation::Result<void> stop(const jobs::TaskId& task, std::uint32_t run, std::uint64_t token);
    fleet::RenewAnswer renew(const fleet::RenewRequest& request, std::uint64_t token);

    /// Ends the runs whose duration has passed and, when the lease has expired, all others.
    void advance();

    bool isRunning(const jobs::TaskId& task) const { return runs_.count(task) > 0; }
    std::vector<jobs::TaskId> runningTasks() const;

    /// Called with each end that is acknowledged, except ends that were still pending when the lease expired.
    std::function<void(const fleet::ObservedEnd&)> onEndAcknowledged;

    /// Called when a run starts.
    std::function<void(const jobs::TaskId&, std::uint32_t run)> onRunStarted;

private:
    struct ActiveRun {
        std::uint32_t run = 0;
        foundation::SteadyTime endsAt;
        RunPlan plan;
        bool isStopping = false;
    };

    struct FormerCapacity {
        jobs::Resources capacity;
        foundation::SteadyTime replacedAt;
    };

    fleet::InstanceTime clockNow() const;
    void extendLease(fleet::InstanceTime end);
    void endRun(const jobs::TaskId& task, jobs::RunOutcome outcome);

    fleet::InstanceReport report_;
    const foundation::IClock& clock_;
    double clockRate_;
    milliseconds maximumLease_;
    foundation::SteadyTime startedAt_;
    std::vector<FormerCapacity> formerCapacities_;
    std::uint64_t highestToken_ = 0; ///< Highest fencing token seen.
    fleet::InstanceTime leaseEnd_ { 0 };
    std::map<jobs::TaskId, ActiveRun> runs_;
    /// Highest run number that was stopped or has ended, by task.
    std::map<jobs::TaskId, std::uint32_t> highestClosedRuns_;
    std::vector<fleet::ObservedEnd> unacknowledgedEnds_;
    std::uint64_t endCount_ = 0; ///< Number of the latest end.
    std::uint64_t endCountAtExpiry_ = 0; ///< Value of endCount_ when the lease last expired.
};

} // namespace turmericsill::emulator

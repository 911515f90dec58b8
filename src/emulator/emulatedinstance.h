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

/// What an instance does with a run that it starts.
struct RunPlan {
    milliseconds duration { 1000 }; ///< Until it ends.
    jobs::RunEnd how = jobs::RunEnd::Done;
    bool lasts = false; ///< Runs until it is stopped.
};

/// One life of an instance: token, lease, runs and their ends, as the platform's pages describe them.
class EmulatedInstance {
public:
    /// `clockRate`: speed of its clock, 0.98 to 1.
    EmulatedInstance(
        fleet::InstanceReport report, const foundation::IClock& clock, double clockRate, milliseconds longestLease);

    const fleet::InstanceReport& report() const { return report_; }

    /// Carries an order out; `plan` is asked when a run begins.
    fleet::StartAnswer start(
        const fleet::StartOrder& order, std::uint64_t token, const std::function<RunPlan(const jobs::TaskId&)>& plan);

    /// Errc::Fenced: a higher token was seen.
    foundation::Result<void> stop(const jobs::TaskId& task, std::uint32_t run, std::uint64_t token);
    fleet::RenewAnswer renew(const fleet::RenewRequest& request, std::uint64_t token);

    /// Lets runs end and the lease expire.
    void advance();

    bool isRunning(const jobs::TaskId& task) const { return runs_.count(task) > 0; }
    std::vector<jobs::TaskId> running() const;

    /// Called with each end that is acknowledged. One that was listed when the lease expired counts no more.
    std::function<void(const fleet::ObservedEnd&)> onAcknowledged;

    /// Called when a run begins.
    std::function<void(const jobs::TaskId&, std::uint32_t run)> onStarted;

private:
    struct Running {
        std::uint32_t run = 0;
        foundation::SteadyTime endsAt;
        RunPlan plan;
        bool isStopping = false;
    };

    fleet::InstanceTime clockNow() const;
    void extendLease(fleet::InstanceTime end);
    void end(const jobs::TaskId& task, jobs::RunEnd how);

    fleet::InstanceReport report_;
    const foundation::IClock& clock_;
    double clockRate_;
    milliseconds longestLease_;
    foundation::SteadyTime began_;
    std::uint64_t token_ = 0;
    fleet::InstanceTime leaseEnd_ { 0 };
    std::map<jobs::TaskId, Running> runs_;
    std::map<jobs::TaskId, std::uint32_t> closedRuns_; ///< Highest run that was stopped or has ended, by task.
    std::vector<fleet::ObservedEnd> ended_;
    std::uint64_t ends_ = 0;
    std::uint64_t expiredEnds_ = 0; ///< Ends up to this number stood when the lease last expired.
};

} // namespace turmericsill::emulator

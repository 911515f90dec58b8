#pragma once

#include "fleet/types/fleet.h"
#include "foundation/iclock.h"
#include "scheduling/poolbacklog.h"
#include "scheduling/types/fleetview.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace turmericsill::scheduling {

/// Work of a job that waits for room, or that does not wait yet because it is being submitted.
struct WaitingWork {
    JobRank rank;
    std::string team;
    double coreSeconds = 0; ///< Estimated work of the tasks that neither run nor are done.
    std::int64_t readyMilliCores = 0; ///< Processor time that those of the tasks request that are ready to run.
};

/// Work of a job of a backlog.
WaitingWork waitingWork(const JobRank& rank, const std::vector<WaitingStep>& steps, const jobs::Job& job);

/// Work of a job that is being submitted to a queue.
WaitingWork submittedWork(const jobs::JobSubmitted& submission, const fleet::Queue& queue);

/// Work that a pool serves before a job, in core-seconds.
struct WorkAhead {
    double ofEarlierClasses = 0; ///< Of jobs that precede the job whatever their team has of the pool.
    double ofClass = 0; ///< Of jobs of the same priority, kind and rate that precede it.
    double ofTeam = 0; ///< The part of `ofClass` that is of the job's own team.
    double teamShare = 1; ///< Share of the team in the pool, among the teams with waiting work.
    /// Processor time that the ready tasks of this work and of the job itself request, in thousandths of a core.
    std::int64_t readyMilliCores = 0;
    std::int64_t teamReadyMilliCores = 0; ///< The part of the team in the job's class, with the job itself.
    std::int64_t teamCapMilliCores = 0; ///< Limit of what the team's runs hold; 0 if there is none.
};

/// Sums of the waiting work of a pool in the order of service. A query takes logarithmic time, so that the backlog is
/// not walked for each submission.
class PoolWork {
public:
    /// Replaces the work. The teams' weights are those of the configuration; 1 for any other team.
    void assign(std::vector<WaitingWork> work, const fleet::FleetConfiguration& configuration);

    /// Adds the work of a job that was accepted since assign().
    void add(WaitingWork work) { added_.push_back(std::move(work)); }

    WorkAhead ahead(const WaitingWork& job, const fleet::FleetConfiguration& configuration) const;

private:
    struct Amount {
        double coreSeconds = 0;
        std::int64_t readyMilliCores = 0;
    };

    /// Work of several jobs in the order of service.
    struct Sums {
        std::vector<JobRank> ranks;
        std::vector<Amount> amounts; ///< Sum up to and including the job of the same index.

        void append(const WaitingWork& work);
        Amount before(const JobRank& rank) const;
    };

    Sums all_;
    std::map<std::string, Sums> byTeam_;
    double weights_ = 0; ///< Sum of the weights of the teams in `byTeam_`.
    std::vector<WaitingWork> added_; ///< In no order.
};

/// Processor capacity of a pool, in thousandths of a core.
struct PoolSupply {
    std::int64_t present = 0; ///< Of the instances that accept tasks, used or not.
    std::int64_t free = 0; ///< Part of `present` that no run holds.
    std::int64_t arriving = 0; ///< Of the machines being moved to the pool, and of idle ones that can be moved there.
};

/// Processor capacity of each pool that is being moved to it or is idle elsewhere; machines of a pool whose own tasks
/// wait are not idle. Key: pool.
std::map<std::string, std::int64_t> arrivingMilliCores(
    const std::map<std::string, PoolDemand>& demands, const std::vector<MachineView>& movable);

/// Time until the work ahead of a job has been served. An estimate on the low side, since a job that is refused without
/// need is worse than one that is late: machines that arrive count as present, and runs in progress as ended.
foundation::milliseconds estimatedWait(const WorkAhead& ahead, const PoolSupply& supply);

/// What admission control has to know of a job.
struct AdmissionRequest {
    jobs::JobId job = 0;
    bool exceedsTeamRate = false;
    foundation::milliseconds objective { 0 }; ///< See completionObjective().
    foundation::milliseconds criticalPath { 0 };
    foundation::milliseconds wait { 0 }; ///< See estimatedWait().
};

/// Decides which submissions to a pool are accepted. Rejected are jobs beyond their team's rate that would miss their
/// objective because of the work ahead of them, and any job that would be completed clearly after three times its
/// objective. Once it has rejected a job, it rejects at lower waits until none has exceeded them for a second.
class AdmissionControl {
public:
    /// Returns the delay after which the job may be submitted again if it is rejected. The delays of different jobs are
    /// spread, so that their callers do not return together.
    std::optional<foundation::milliseconds> decide(const AdmissionRequest& request, foundation::SteadyTime now);

    bool isRejecting(foundation::SteadyTime now) const { return beyondRate_.isActive(now) || overdue_.isActive(now); }

private:
    /// A limit that stays at its lower value for a while once its upper value was exceeded.
    struct Limit {
        std::optional<foundation::SteadyTime> exceededAt;

        bool isActive(foundation::SteadyTime now) const;
        bool isExceeded(foundation::milliseconds value, foundation::milliseconds lower, foundation::milliseconds upper,
            foundation::SteadyTime now);
    };

    Limit beyondRate_;
    Limit overdue_;
};

} // namespace turmericsill::scheduling

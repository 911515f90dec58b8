#pragma once

#include "control/internal/instancesession.h"
#include "fleet/types/fleet.h"
#include "foundation/iclock.h"
#include "jobs/types/job.h"
#include "telemetry/ieventsink.h"

#include <optional>
#include <unordered_map>

namespace turmericsill::control {

/// Measures where the time of a job goes, stage by stage, and writes the event "job.ended" when it is completed or has
/// failed. Leaves out long-running and scheduled jobs, whose time is determined by their callers, and jobs that an
/// earlier controller has begun.
class JobTimer {
public:
    JobTimer(foundation::IClock& clock, telemetry::IEventSink& events)
        : clock_(clock)
        , events_(events)
    {
    }

    JobTimer(const JobTimer&) = delete;
    JobTimer& operator=(const JobTimer&) = delete;

    /// Applies a change of a job. `isWaiting` tells whether it has tasks that are ready and without a run. `queue` is
    /// null if the job's queue was removed.
    void update(const jobs::Job& job, const fleet::Queue* queue, bool isWaiting);

    /// An instance has confirmed the start of a run of the job.
    void onRunStarted(jobs::JobId job, const TrackedRun& run);

private:
    /// Times of an open job.
    struct Stages {
        milliseconds pickup { 0 }; ///< From its submission until this controller knew it.
        std::optional<foundation::SteadyTime> waitingSince;
        foundation::SteadyTime::duration waiting {}; ///< In all, while ready tasks had no run.
        foundation::SteadyTime::duration storing {}; ///< Longest time from the plan of a run to its order.
        foundation::SteadyTime::duration starting {}; ///< Longest time from an order to its confirmation.
    };

    void writeEnd(const jobs::Job& job, const fleet::Queue* queue, const Stages& stages) const;
    milliseconds ageOf(const jobs::Job& job) const;

    foundation::IClock& clock_;
    telemetry::IEventSink& events_;
    std::unordered_map<jobs::JobId, Stages> stages_; ///< Open jobs only.
};

} // namespace turmericsill::control

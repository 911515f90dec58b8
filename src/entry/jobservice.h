#pragma once

#include "entry/ijobservice.h"
#include "eventlog/jobfollower.h"
#include "eventlog/jobsubmitter.h"
#include "telemetry/ieventsink.h"

#include <functional>

namespace turmericsill::entry {

/// Accepts, cancels and tells about jobs through the log, whichever entry controls the fleet.
class JobService : public IJobService {
public:
    JobService(eventlog::JobFollower& follower, eventlog::JobSubmitter& submitter, foundation::IClock& clock,
        telemetry::IEventSink& events);

    void setConfiguration(const fleet::FleetConfiguration& configuration) { configuration_ = configuration; }

    /// Tells whether this entry controls the fleet, and so knows the latest state without reading, and whether what
    /// it knows of a job stands in the log already.
    void setControlProbe(std::function<bool()> isController, std::function<bool(jobs::JobId)> isStored);

    const fleet::FleetConfiguration* configuration() const override;
    void submit(const fleet::Queue& queue, jobs::JobId id, jobs::JobSpec spec, foundation::SteadyTime deadline,
        std::function<void(RequestResult)> done) override;
    void cancel(jobs::JobId id, foundation::SteadyTime deadline, std::function<void(RequestResult)> done) override;
    void status(jobs::JobId id, std::function<void(JobStatus)> done) override;
    std::size_t pendingJobs(const fleet::Queue& queue) const override;

private:
    JobStatus knownStatus(jobs::JobId id) const;
    void append(const char* event, const jobs::Record& record, jobs::JobId id, foundation::SteadyTime deadline,
        std::function<bool()> isStored, std::function<void(RequestResult)> done);

    eventlog::JobFollower& follower_;
    eventlog::JobSubmitter& submitter_;
    foundation::IClock& clock_;
    telemetry::IEventSink& events_;
    fleet::FleetConfiguration configuration_;
    std::function<bool()> isController_ = [] { return false; };
    std::function<bool(jobs::JobId)> isStored_ = [](jobs::JobId) { return true; };
};

} // namespace turmericsill::entry

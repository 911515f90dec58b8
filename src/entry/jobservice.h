#pragma once

#include "entry/ijobservice.h"
#include "eventlog/jobfollower.h"
#include "eventlog/jobsubmitter.h"
#include "telemetry/ieventsink.h"

#include <functional>
#include <memory>
#include <utility>
#include <vector>

namespace turmericsill::entry {

/// Answers to callers about the states of jobs in a period of time.
struct StatusLoad {
    std::uint64_t answers = 0;
    std::uint64_t reads = 0; ///< Answers for which the log was read.
    foundation::milliseconds longestWait { 0 }; ///< From the request to the answer.
    foundation::milliseconds totalWait { 0 };
};

/// Accepts, cancels and looks up jobs by way of the log, whichever entry controls the fleet.
class JobService : public IJobService {
public:
    JobService(eventlog::JobFollower& follower, eventlog::JobSubmitter& submitter, foundation::IClock& clock,
        foundation::ITimerQueue& timers, telemetry::IEventSink& events);

    void setConfiguration(const fleet::FleetConfiguration& configuration) { configuration_ = configuration; }

    /// Sets two predicates: whether this entry is the controller, and so knows the latest state without reading the
    /// log, and whether everything that it knows about a job is already in the log.
    void setControlStateChecks(std::function<bool()> isController, std::function<bool(jobs::JobId)> isStored);

    /// Sets the source of the age of the configuration: changes that were confirmed longer ago are known. A
    /// configuration older than `maximumAge` does not tell that a queue does not exist.
    void setConfigurationAge(std::function<milliseconds()> age, milliseconds maximumAge);

    QueueLookup findQueue(const std::string& host, const std::string& path) override;
    void submit(const fleet::Queue& queue, const std::string& team, jobs::JobId id, jobs::JobSpec spec,
        foundation::SteadyTime deadline, std::function<void(RequestResult)> done) override;
    void cancel(const Caller& caller, jobs::JobId id, foundation::SteadyTime deadline,
        std::function<void(RequestResult)> done) override;
    void status(const Caller& caller, jobs::JobId id, milliseconds wait, std::function<void(JobStatus)> done) override;

    /// Answers the requests whose job has ended; to be called when the log was read or own records were stored.
    void onJobsChanged();

    /// Returns the answers of status() since the previous call.
    StatusLoad takeStatusLoad() { return std::exchange(statusLoad_, {}); }

    void pendingJobs(const fleet::Queue& queue, std::function<void(std::optional<std::size_t>)> done) override;

private:
    /// A caller's request for the state of a job.
    struct StatusRequest {
        Caller caller;
        jobs::JobId job = 0;
        foundation::SteadyTime receivedAt {};
        foundation::SteadyTime waitsUntil {}; ///< When it is answered although the job is in progress.
        std::function<void(JobStatus)> done; ///< Empty once it was answered.
    };

    /// Whether the job is known and belongs to another team than the caller's.
    bool isForbidden(const Caller& caller, jobs::JobId id) const;

    /// Status of a job by the table as it is, without another read of the log.
    JobStatus statusFromTable(jobs::JobId id) const;

    using StatusRequestPtr = std::shared_ptr<StatusRequest>;

    /// Whether the table covers what the log held at this time.
    bool isKnownSince(foundation::SteadyTime time) const;

    void readStatus(const StatusRequestPtr& request);
    void onStatusRead(const StatusRequestPtr& request, bool hasReachedEnd);
    void awaitEnd(const StatusRequestPtr& request);
    void answer(StatusRequest& request, const JobStatus& status);
    void answerWaiting();

    /// Submits a record to the log and writes its outcome as `event`.
    void append(const char* event, const jobs::Record& record, jobs::JobId id, foundation::SteadyTime deadline,
        std::function<bool()> isStored, std::function<void(RequestResult)> done);

    eventlog::JobFollower& follower_;
    eventlog::JobSubmitter& submitter_;
    foundation::IClock& clock_;
    foundation::ITimerQueue& timers_;
    telemetry::IEventSink& events_;
    fleet::FleetConfiguration configuration_;
    std::function<milliseconds()> configurationAge_ = [] { return milliseconds::max(); };
    milliseconds maximumConfigurationAge_ { 0 };
    StatusLoad statusLoad_;
    std::vector<StatusRequestPtr> waitingRequests_; ///< Requests for jobs that are in progress.
    std::function<bool()> isController_ = [] { return false; };
    std::function<bool(jobs::JobId)> isJobStored_ = [](jobs::JobId) { return true; };
};

} // namespace turmericsill::entry

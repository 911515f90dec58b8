#include "entry/jobservice.h"

#include <utility>

namespace turmericsill::entry {

using eventlog::AppendOutcome;
using foundation::Result;
using jobs::JobId;

namespace {

    /// The store refuses for as long as it is down or its rate is exceeded; both pass within seconds.
    constexpr milliseconds storeRetryAfter { 1000 };

    RequestResult resultFrom(AppendOutcome outcome)
    {
        switch (outcome) {
        case AppendOutcome::Stored:
            return { RequestOutcome::Done, milliseconds(0) };
        case AppendOutcome::NotStored:
            return { RequestOutcome::NotDone, storeRetryAfter };
        case AppendOutcome::Unknown:
            break;
        }
        return { RequestOutcome::Unknown, milliseconds(0) };
    }

    std::string toText(RequestOutcome outcome)
    {
        switch (outcome) {
        case RequestOutcome::Done:
            return "stored";
        case RequestOutcome::NotDone:
            return "not-stored";
        case RequestOutcome::Unknown:
            break;
        }
        return "unknown";
    }

} // namespace

JobService::JobService(eventlog::JobFollower& follower, eventlog::JobSubmitter& submitter, foundation::IClock& clock,
    telemetry::IEventSink& events)
    : follower_(follower)
    , submitter_(submitter)
    , clock_(clock)
    , events_(events)
{
}

void JobService::setControlProbe(std::function<bool()> isController, std::function<bool(JobId)> isStored)
{
    isController_ = std::move(isController);
    isStored_ = std::move(isStored);
}

const fleet::FleetConfiguration* JobService::configuration() const
{
    return configuration_.version > 0 ? &configuration_ : nullptr;
}

void JobService::submit(const fleet::Queue& queue, JobId id, jobs::JobSpec spec, foundation::SteadyTime deadline,
    std::function<void(RequestResult)> done)
{
    if (follower_.table().find(id) && isStored_(id)) {
        events_.write("job.repeated", { { "job", jobs::toText(id) }, { "offset", follower_.offset() } });
        return done({ RequestOutcome::Done, milliseconds(0) });
    }
    const auto receivedAt = std::chrono::duration_cast<milliseconds>(clock_.wallNow().time_since_epoch());
    append(
        "job.submitted", jobs::Submitted { id, queue.name, queue.pool, receivedAt, std::move(spec) }, id, deadline,
        [this, id] { return follower_.table().find(id) && isStored_(id); }, std::move(done));
}

// An unknown job may have been accepted by another entry a moment ago, so the record is written all the same.
void JobService::cancel(JobId id, foundation::SteadyTime deadline, std::function<void(RequestResult)> done)
{
    const auto isCancelled = [this, id] {
        const jobs::Job* job = follower_.table().find(id);
        return job && job->isCancelled && isStored_(id);
    };
    append("job.cancelled", jobs::Cancelled { id }, id, deadline, isCancelled, std::move(done));
}

void JobService::append(const char* event, const jobs::Record& record, JobId id, foundation::SteadyTime deadline,
    std::function<bool()> isStored, std::function<void(RequestResult)> done)
{
    const auto began = clock_.now();
    submitter_.submit(
        record, deadline, std::move(isStored), [this, event, id, began, done = std::move(done)](AppendOutcome outcome) {
            const RequestResult result = resultFrom(outcome);
            const auto took = std::chrono::duration_cast<milliseconds>(clock_.now() - began);
            events_.write(event,
                { { "job", jobs::toText(id) }, { "outcome", toText(result.outcome) },
                    { "configuration", configuration_.version }, { "took_ms", std::int64_t(took.count()) } });
            done(result);
        });
}

JobStatus JobService::knownStatus(JobId id) const
{
    const jobs::Job* job = follower_.table().find(id);
    if (!job)
        return { JobKnowledge::NotKnown, jobs::JobState::Queued };
    // The next controller would not know of an end that is not in the log, and might run the task again.
    const bool isOver = job->state() == jobs::JobState::Completed || job->state() == jobs::JobState::Failed;
    if (isOver && !isStored_(id))
        return { JobKnowledge::Known, jobs::JobState::Running };
    return { JobKnowledge::Known, job->state() };
}

// A state that can still change is read afresh, unless this entry is the one that changes it.
void JobService::status(JobId id, std::function<void(JobStatus)> done)
{
    const jobs::Job* job = follower_.table().find(id);
    if (job && (job->isFinal() || isController_()))
        return done(knownStatus(id));
    follower_.readToEnd([this, id, done = std::move(done)](const Result<void>& read) {
        const JobStatus status = knownStatus(id);
        if (!read && status.knowledge == JobKnowledge::NotKnown)
            return done({ JobKnowledge::Unavailable, jobs::JobState::Queued });
        done(status);
    });
}

std::size_t JobService::pendingJobs(const fleet::Queue& queue) const
{
    return follower_.table().pendingJobs(queue.name);
}

} // namespace turmericsill::entry

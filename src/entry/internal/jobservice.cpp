#include "entry/jobservice.h"

#include <algorithm>
#include <utility>

namespace turmericsill::entry {

using eventlog::AppendOutcome;
using foundation::Result;
using jobs::JobId;

namespace {

    /// The store rejects records while it is down or its rate limit is exceeded; both pass within seconds.
    constexpr milliseconds storeRetryAfter { 1000 };

    constexpr milliseconds statusReadTimeout { 500 }; ///< A read of the log takes 10 ms unless the entry is behind.

    /// A count that is older is read anew; the platform allows 2 s.
    constexpr milliseconds maximumPendingCountAge { 1700 };

    RequestResult toRequestResult(const eventlog::AppendResult& result)
    {
        switch (result.outcome) {
        case AppendOutcome::Stored:
            return { RequestOutcome::Stored, milliseconds(0) };
        case AppendOutcome::NotStored:
            return { RequestOutcome::NotStored, storeRetryAfter };
        case AppendOutcome::Rejected:
            return { RequestOutcome::Rejected, milliseconds(0) };
        case AppendOutcome::Overloaded:
            return { RequestOutcome::Overloaded, result.retryAfter };
        case AppendOutcome::Unknown:
            break;
        }
        return { RequestOutcome::Unknown, milliseconds(0) };
    }

    /// Age of the configuration for the log; -1 before the first one was read.
    std::int64_t ageField(milliseconds age) { return age == milliseconds::max() ? -1 : std::int64_t(age.count()); }

    std::string toText(RequestOutcome outcome)
    {
        switch (outcome) {
        case RequestOutcome::Stored:
            return "stored";
        case RequestOutcome::NotStored:
            return "not-stored";
        case RequestOutcome::Rejected:
            return "rejected";
        case RequestOutcome::Overloaded:
            return "refused-overload";
        case RequestOutcome::Forbidden:
            return "forbidden";
        case RequestOutcome::Unknown:
            break;
        }
        return "unknown";
    }

    /// Whether a caller may learn of a job and cancel it. A queue may have become public after the job was accepted.
    bool hasAccess(const Caller& caller, const jobs::Job& job)
    {
        const bool isQueuePublic = caller.team.empty() && job.queue == caller.queue;
        return job.team.empty() || job.team == caller.team || isQueuePublic;
    }

    /// Whether no later answer about the job can differ.
    bool isSettled(const JobStatus& status)
    {
        return status.lookup == JobLookup::Found && status.state != jobs::JobState::Queued
            && status.state != jobs::JobState::Running;
    }

} // namespace

JobService::JobService(eventlog::JobFollower& follower, eventlog::JobSubmitter& submitter, foundation::IClock& clock,
    foundation::ITimerQueue& timers, telemetry::IEventSink& events)
    : follower_(follower)
    , submitter_(submitter)
    , clock_(clock)
    , timers_(timers)
    , events_(events)
{
}

void JobService::setControlStateChecks(std::function<bool()> isController, std::function<bool(JobId)> isStored)
{
    isController_ = std::move(isController);
    isJobStored_ = std::move(isStored);
}

void JobService::setConfigurationAge(std::function<milliseconds()> age, milliseconds maximumAge)
{
    configurationAge_ = std::move(age);
    maximumConfigurationAge_ = maximumAge;
}

QueueLookup JobService::findQueue(const std::string& host, const std::string& path)
{
    const auto age = configurationAge_();
    const QueueLookup lookup { configuration_.route(host, path), age <= maximumConfigurationAge_ };
    if (!lookup.queue)
        events_.write("queue.unknown",
            { { "host", host }, { "path", path }, { "configuration", configuration_.version },
                { "age_ms", ageField(age) },
                { "outcome", std::string(lookup.isCurrent ? "not-found" : "unavailable") } });
    return lookup;
}

bool JobService::isForbidden(const Caller& caller, JobId id) const
{
    const jobs::Job* job = follower_.table().find(id);
    return job && !hasAccess(caller, *job);
}

void JobService::submit(const fleet::Queue& queue, const std::string& team, JobId id, jobs::JobSpec spec,
    foundation::SteadyTime deadline, std::function<void(RequestResult)> done)
{
    if (isForbidden({ queue.name, team }, id))
        return done({ RequestOutcome::Forbidden, milliseconds(0) });
    if (follower_.table().find(id) && isJobStored_(id)) {
        events_.write("job.repeated", { { "job", jobs::toText(id) }, { "offset", follower_.offset() } });
        return done({ RequestOutcome::Stored, milliseconds(0) });
    }
    const auto receivedAt = std::chrono::duration_cast<milliseconds>(clock_.wallNow().time_since_epoch());
    append(
        "job.submitted",
        jobs::JobSubmitted { id, queue.name, queue.pool, receivedAt, std::move(spec), queue.maximumAttempts, team }, id,
        deadline, [this, id] { return follower_.table().find(id) && isJobStored_(id); }, std::move(done));
}

// The cancellation of an unknown job is written as well, since another entry may just have accepted that job.
void JobService::cancel(
    const Caller& caller, JobId id, foundation::SteadyTime deadline, std::function<void(RequestResult)> done)
{
    if (isForbidden(caller, id))
        return done({ RequestOutcome::Forbidden, milliseconds(0) });
    const auto isCancelled = [this, id] {
        const jobs::Job* job = follower_.table().find(id);
        return job && job->isCancelled && isJobStored_(id);
    };
    append("job.cancelled", jobs::JobCancelled { id }, id, deadline, isCancelled, std::move(done));
}

void JobService::append(const char* event, const jobs::Record& record, JobId id, foundation::SteadyTime deadline,
    std::function<bool()> isStored, std::function<void(RequestResult)> done)
{
    const auto appendStartedAt = clock_.now();
    submitter_.submit(record, deadline, std::move(isStored),
        [this, event, id, appendStartedAt, done = std::move(done)](const eventlog::AppendResult& appended) {
            const RequestResult result = toRequestResult(appended);
            const auto took = std::chrono::duration_cast<milliseconds>(clock_.now() - appendStartedAt);
            events_.write(event,
                { { "job", jobs::toText(id) }, { "outcome", toText(result.outcome) },
                    { "configuration", configuration_.version },
                    { "configuration_age_ms", ageField(configurationAge_()) },
                    { "took_ms", std::int64_t(took.count()) } });
            done(result);
        });
}

JobStatus JobService::statusFromTable(JobId id) const
{
    const jobs::Job* job = follower_.table().find(id);
    if (!job)
        return { JobLookup::NotFound, jobs::JobState::Queued };
    // An end that is not in the log yet is not reported: the next controller would not know of it and might run the
    // task again.
    const bool hasEnded = job->state() == jobs::JobState::Completed || job->state() == jobs::JobState::Failed;
    if (hasEnded && !isJobStored_(id))
        return { JobLookup::Found, jobs::JobState::Running };
    return { JobLookup::Found, job->state() };
}

// The log is read to its end for an unknown job. For a job in progress the answer waits for the records that follow, or
// the log is read to its end if it does not wait, unless this entry is the controller that writes these records.
void JobService::status(const Caller& caller, JobId id, milliseconds wait, std::function<void(JobStatus)> done)
{
    const auto now = clock_.now();
    const auto request
        = std::make_shared<StatusRequest>(StatusRequest { caller, id, now, now + wait, std::move(done) });
    const JobStatus known = statusFromTable(id);
    if (isSettled(known) || isForbidden(caller, id))
        return answer(*request, known);
    if (known.lookup == JobLookup::Found && wait.count() > 0)
        return awaitEnd(request);
    const jobs::Job* job = follower_.table().find(id);
    if (job && (job->isFinal() || isController_()))
        return answer(*request, known);
    readStatus(request);
}

// An entry that is far behind the end of the log does not keep the caller waiting until it has read everything.
void JobService::readStatus(const StatusRequestPtr& request)
{
    ++statusLoad_.reads;
    follower_.readToEnd([this, request](const Result<void>& read) { onStatusRead(request, read.has_value()); });
    timers_.schedule(clock_.now() + statusReadTimeout, [this, request] { onStatusRead(request, false); });
}

void JobService::onStatusRead(const StatusRequestPtr& request, bool hasReachedEnd)
{
    if (!request->done)
        return;
    JobStatus status = statusFromTable(request->job);
    if (!hasReachedEnd && status.lookup == JobLookup::NotFound)
        status.lookup = JobLookup::Unavailable;
    const bool mayWait = status.lookup == JobLookup::Found && !isSettled(status);
    if (mayWait && clock_.now() < request->waitsUntil)
        return awaitEnd(request);
    answer(*request, status);
}

void JobService::awaitEnd(const StatusRequestPtr& request)
{
    timers_.schedule(request->waitsUntil, [this] { answerWaiting(); });
    waitingRequests_.push_back(request);
    follower_.setFollowsClosely(true);
}

void JobService::onJobsChanged()
{
    if (!waitingRequests_.empty())
        answerWaiting();
}

// What is answered must be no older than the request, so an entry that has not read the log since reads it first.
void JobService::answerWaiting()
{
    const auto now = clock_.now();
    const std::vector<StatusRequestPtr> requests = std::exchange(waitingRequests_, {});
    for (const auto& request : requests) {
        if (!request->done)
            continue;
        const JobStatus status = statusFromTable(request->job);
        const bool isWaitOver = now >= request->waitsUntil;
        const bool isCurrent = status.lookup == JobLookup::Found && isKnownSince(request->receivedAt);
        if (isSettled(status) || (isWaitOver && isCurrent))
            answer(*request, status);
        else if (!isWaitOver)
            waitingRequests_.push_back(request);
        else
            readStatus(request);
    }
    follower_.setFollowsClosely(!waitingRequests_.empty());
}

bool JobService::isKnownSince(foundation::SteadyTime time) const
{
    return isController_() || (follower_.hasCaughtUp() && follower_.coveredAsOf() >= time);
}

// The time of the final answer, beside that of the end, tells how late a caller learned of it.
void JobService::answer(StatusRequest& request, const JobStatus& status)
{
    const auto waited = std::chrono::duration_cast<milliseconds>(clock_.now() - request.receivedAt);
    ++statusLoad_.answers;
    statusLoad_.totalWait += waited;
    statusLoad_.longestWait = std::max(statusLoad_.longestWait, waited);
    if (isForbidden(request.caller, request.job))
        return std::exchange(request.done, nullptr)({ JobLookup::Forbidden, jobs::JobState::Queued });
    const bool hasEnded = status.lookup == JobLookup::Found
        && (status.state == jobs::JobState::Completed || status.state == jobs::JobState::Failed);
    if (hasEnded)
        events_.write("job.shown",
            { { "job", jobs::toText(request.job) }, { "waited_ms", std::int64_t(waited.count()) },
                { "offset", follower_.offset() } });
    std::exchange(request.done, nullptr)(status);
}

// An entry with a slow link or little processor time may follow the log seconds behind its end.
void JobService::pendingJobs(const fleet::Queue& queue, std::function<void(std::optional<std::size_t>)> done)
{
    const auto count = [this, name = queue.name] {
        const std::size_t pending = follower_.table().pendingJobs(name);
        const auto age = std::chrono::duration_cast<milliseconds>(clock_.now() - follower_.coveredAsOf());
        events_.write("queue.counted",
            { { "queue", name }, { "pending", std::uint64_t(pending) },
                { "awaiting_start", std::uint64_t(follower_.table().jobsAwaitingStart(name)) },
                { "age_ms", std::int64_t(age.count()) }, { "offset", follower_.offset() } });
        return pending;
    };
    if (follower_.hasCaughtUp() && clock_.now() - follower_.coveredAsOf() <= maximumPendingCountAge)
        return done(count());
    follower_.readToEnd([count, done = std::move(done)](
                            const Result<void>& read) { done(read ? std::optional(count()) : std::nullopt); });
}

} // namespace turmericsill::entry

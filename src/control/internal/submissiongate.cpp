#include "control/internal/submissiongate.h"

#include "scheduling/jobobjective.h"

#include <algorithm>
#include <utility>

namespace turmericsill::control {

using foundation::milliseconds;
using foundation::SteadyTime;

namespace {

    /// Time in which a new controller hears from the instances and places the jobs that it found waiting.
    constexpr milliseconds learningTime { 2000 };
    /// A longer time since this entry has read to the log's end may hide jobs that others have stored. A read without
    /// records is answered within 1 s.
    constexpr milliseconds maximumLogAge { 2000 };
    /// Age at which the sums of a backlog are renewed. It grows with the backlog, since a renewal takes 0.3 us a job
    /// (5,000 jobs on a whole core), so that renewals take a few per cent of a slow core.
    constexpr milliseconds refreshInterval { 50 };
    constexpr std::chrono::microseconds refreshIntervalPerJob { 20 };
    constexpr milliseconds reportInterval { 1000 };
    /// Jobs that wait end within seconds; failed and cancelled ones are forgotten within minutes.
    constexpr milliseconds memoryRetryAfter { 5000 };
    /// Jobs received earlier no longer count against a rate of a job in three seconds or more.
    constexpr milliseconds rateMemory { 60000 };

    bool isRejectable(const jobs::JobSubmitted& submission)
    {
        const jobs::JobSpec& spec = submission.spec;
        return !spec.steps.empty() && !spec.steps.front().isLongRunning && spec.schedule.occurrences == 0;
    }

} // namespace

SubmissionGate::SubmissionGate(SubmissionGateContext context, std::size_t burstJobs, std::size_t jobMemoryLimit)
    : context_(std::move(context))
    , inControlSince_(context_.clock.now())
    , rates_(burstJobs)
    , jobMemoryLimit_(jobMemoryLimit)
{
}

void SubmissionGate::setConfiguration(const fleet::FleetConfiguration& configuration)
{
    configuration_ = configuration;
    rates_.setConfiguration(configuration, context_.clock.now());
    for (auto& [name, pool] : pools_)
        pool.refreshDueAt.reset();
    if (configuration.teams && !std::exchange(hasRestoredRates_, true))
        restoreRates();
}

// The wall clocks of the entries differ, so no job counts as received later than now.
void SubmissionGate::restoreRates()
{
    const auto now = context_.clock.now();
    const auto wallNow = context_.clock.wallNow().time_since_epoch();
    std::vector<scheduling::ReceivedJob> received;
    const auto add = [&](const jobs::JobTable::JobList& jobs) {
        for (const jobs::Job& job : jobs) {
            const auto age
                = std::max(std::chrono::duration_cast<milliseconds>(wallNow) - job.receivedAt, milliseconds(0));
            if (!job.team.empty() && age < rateMemory)
                received.push_back({ job.team, now - age, job.exceedsTeamRate });
        }
    };
    add(context_.follower.table().openJobs());
    add(context_.follower.table().finalJobs());
    rates_.restore(std::move(received), now);
}

bool SubmissionGate::canReject() const
{
    return context_.clock.now() - inControlSince_ >= learningTime && isLogCurrent();
}

bool SubmissionGate::isLogCurrent() const
{
    return context_.follower.hasCaughtUp() && context_.clock.now() - context_.follower.coveredAsOf() < maximumLogAge;
}

bool SubmissionGate::hasMemoryFor(const jobs::JobSubmitted& submission) const
{
    const jobs::JobMemory& memory = context_.follower.table().memory();
    return memory.hasRoomFor(submission.queue, submission.team, submission.spec, jobMemoryLimit_);
}

// A rejected job takes no token, since its caller submits it again.
std::optional<milliseconds> SubmissionGate::examine(jobs::JobSubmitted& submission, bool mayReject)
{
    submission.exceedsTeamRate = false;
    if (mayReject && isLogCurrent() && !hasMemoryFor(submission)) {
        ++rejectedForMemory_;
        return memoryRetryAfter;
    }
    if (!configuration_.teams)
        return std::nullopt;
    const auto now = context_.clock.now();
    submission.exceedsTeamRate = rates_.isExhausted(submission.team, now);
    if (const fleet::Queue* queue = configuration_.findQueue(submission.queue)) {
        PoolState& pool = pools_[queue->pool];
        pool.beyondRate += submission.exceedsTeamRate ? 1 : 0;
        const auto retryAfter = decide(pool, *queue, submission, mayReject && canReject());
        ++(retryAfter ? pool.rejected : pool.accepted);
        if (retryAfter)
            return retryAfter;
    }
    if (!submission.exceedsTeamRate)
        rates_.takeToken(submission.team, now);
    return std::nullopt;
}

std::optional<milliseconds> SubmissionGate::decide(
    PoolState& pool, const fleet::Queue& queue, const jobs::JobSubmitted& submission, bool mayReject)
{
    if (!isRejectable(submission))
        return std::nullopt;
    const auto now = context_.clock.now();
    if (!pool.refreshDueAt || now >= *pool.refreshDueAt)
        refresh(pool, queue.pool);
    scheduling::WaitingWork work = scheduling::submittedWork(submission, queue);
    const milliseconds wait = scheduling::estimatedWait(pool.work.ahead(work, configuration_), pool.supply);
    pool.longestWait = std::max(pool.longestWait, wait);
    if (mayReject) {
        const auto retryAfter = pool.admission.decide(
            { submission.job, submission.exceedsTeamRate, scheduling::completionObjective(queue, submission.spec),
                scheduling::criticalPath(submission.spec), wait },
            now);
        if (retryAfter)
            return retryAfter;
    }
    pool.work.add(std::move(work));
    return std::nullopt;
}

void SubmissionGate::refresh(PoolState& pool, const std::string& name)
{
    const scheduling::InstanceIndex& instances = context_.instancesOf(name);
    pool.supply = { 0, instances.freeMilliCores(), 0 };
    for (const scheduling::IndexedInstance* instance : instances.instances())
        pool.supply.present += instance->view.report->capacity.milliCores;
    if (const auto arriving = arriving_.find(name); arriving != arriving_.end())
        pool.supply.arriving = arriving->second;
    std::vector<scheduling::WaitingWork> work;
    if (const scheduling::PoolBacklog* backlog = context_.findBacklog(name)) {
        work.reserve(backlog->jobs().size());
        for (const auto& [rank, waiting] : backlog->jobs()) {
            if (const jobs::Job* job = context_.follower.table().find(rank.job))
                work.push_back(scheduling::waitingWork(rank, waiting.steps, *job));
        }
    }
    pool.refreshDueAt = context_.clock.now() + refreshInterval + work.size() * refreshIntervalPerJob;
    pool.work.assign(std::move(work), configuration_);
}

void SubmissionGate::tick()
{
    const auto now = context_.clock.now();
    if (now - reportedAt_ < reportInterval)
        return;
    reportedAt_ = now;
    if (const auto rejected = std::exchange(rejectedForMemory_, 0); rejected > 0)
        context_.events.write("admission.memory",
            { { "rejected", rejected }, { "job_bytes", std::uint64_t(context_.follower.table().memory().total()) },
                { "limit_bytes", std::uint64_t(jobMemoryLimit_) } });
    for (auto& [name, pool] : pools_) {
        const bool isRejecting = pool.admission.isRejecting(now);
        if (pool.accepted + pool.rejected > 0 || isRejecting)
            context_.events.write("admission.load",
                { { "pool", name }, { "accepted", pool.accepted }, { "rejected", pool.rejected },
                    { "estimated_wait_ms", std::int64_t(pool.longestWait.count()) }, { "beyond_rate", pool.beyondRate },
                    { "is_rejecting", isRejecting } });
        pool.accepted = 0;
        pool.rejected = 0;
        pool.beyondRate = 0;
        pool.longestWait = milliseconds(0);
    }
}

} // namespace turmericsill::control

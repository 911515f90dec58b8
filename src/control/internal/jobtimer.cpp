#include "control/internal/jobtimer.h"

#include "scheduling/jobobjective.h"

#include <algorithm>

namespace turmericsill::control {

using foundation::SteadyTime;
using jobs::Job;
using jobs::JobState;

namespace {

    std::int64_t toMilliseconds(SteadyTime::duration time)
    {
        return std::chrono::duration_cast<milliseconds>(time).count();
    }

} // namespace

milliseconds JobTimer::ageOf(const Job& job) const
{
    return std::chrono::duration_cast<milliseconds>(clock_.wallNow().time_since_epoch()) - job.receivedAt;
}

void JobTimer::update(const Job& job, const fleet::Queue* queue, bool isWaiting)
{
    const auto known = stages_.find(job.id);
    if (known == stages_.end()) {
        const bool isMeasured = !job.isFinal() && !job.hasStarted && job.activeRuns == 0 && !job.isScheduled()
            && !job.spec.steps.front().isLongRunning;
        if (!isMeasured)
            return;
        Stages& stages = stages_[job.id];
        stages.pickup = ageOf(job);
        if (isWaiting)
            stages.waitingSince = clock_.now();
        return;
    }
    Stages& stages = known->second;
    if (isWaiting && !stages.waitingSince) {
        stages.waitingSince = clock_.now();
    } else if (!isWaiting && stages.waitingSince) {
        stages.waiting += clock_.now() - *stages.waitingSince;
        stages.waitingSince.reset();
    }
    if (!job.isFinal())
        return;
    if (!job.isCancelled)
        writeEnd(job, queue, stages);
    stages_.erase(known);
}

void JobTimer::onRunStarted(jobs::JobId job, const TrackedRun& run)
{
    const auto known = stages_.find(job);
    if (known == stages_.end() || !run.orderedAt)
        return;
    Stages& stages = known->second;
    stages.storing = std::max(stages.storing, *run.orderedAt - run.trackedAt);
    stages.starting = std::max(stages.starting, clock_.now() - *run.orderedAt);
}

void JobTimer::writeEnd(const Job& job, const fleet::Queue* queue, const Stages& stages) const
{
    const milliseconds objective = queue ? scheduling::completionObjective(*queue, job.spec) : milliseconds(0);
    events_.write("job.ended",
        { { "job", jobs::toText(job.id) }, { "queue", job.queue }, { "completed", job.state() == JobState::Completed },
            { "tasks", job.spec.taskCount() }, { "age_ms", std::int64_t(ageOf(job).count()) },
            { "objective_ms", std::int64_t(objective.count()) },
            { "path_ms", std::int64_t(scheduling::criticalPath(job.spec).count()) },
            { "pickup_ms", std::int64_t(stages.pickup.count()) }, { "waiting_ms", toMilliseconds(stages.waiting) },
            { "storing_ms", toMilliseconds(stages.storing) }, { "starting_ms", toMilliseconds(stages.starting) } });
}

} // namespace turmericsill::control

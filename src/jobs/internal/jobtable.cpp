#include "jobs/jobtable.h"

#include <algorithm>
#include <variant>

namespace turmericsill::jobs {

namespace {

    /// Cancelled ids without a job; a submission that comes later than this many others is not recognized.
    constexpr std::size_t maximumCancelledUnknown = 20000;
    constexpr std::size_t rememberedClaims = 16; ///< More than change hands while a lease lasts.

} // namespace

JobTable::~JobTable()
{
    open_.clear();
    final_.clear();
}

void JobTable::apply(const Record& record)
{
    std::visit([this](const auto& kind) { fold(kind); }, record);
}

void JobTable::beginDueOccurrences(milliseconds timeOfDay)
{
    for (Job& job : open_) {
        if (!job.isScheduled() || job.isFinal())
            continue;
        // Occurrences begin in order, so those that have begun are the first ones.
        auto next = job.occurrences.empty() ? 0 : job.occurrences.rbegin()->first + 1;
        while (next < job.occurrenceCount() && job.dueAt(next) <= timeOfDay)
            job.begin(next++);
    }
}

void JobTable::restore(const SnapshotHead& head)
{
    claims_ = head.claims;
    upkeepBegun_ = head.upkeepBegun;
    wavesSeen_ = head.wavesSeen;
    for (const auto id : head.cancelledUnknown)
        rememberCancelled(id);
}

void JobTable::restore(std::unique_ptr<Job> job)
{
    if (jobs_.count(job->id))
        return;
    (job->isFinal() && job->activeRuns == 0 ? final_ : open_).push_back(*job);
    jobs_.emplace(job->id, std::move(job));
}

const Job* JobTable::find(JobId id) const
{
    const auto found = jobs_.find(id);
    return found == jobs_.end() ? nullptr : found->second.get();
}

Job* JobTable::findMutable(JobId id)
{
    const auto found = jobs_.find(id);
    return found == jobs_.end() ? nullptr : found->second.get();
}

const Task* JobTable::find(const TaskId& id) const
{
    const Job* job = find(id.job);
    return job ? job->find(id) : nullptr;
}

std::size_t JobTable::pendingJobs(const std::string& queue) const
{
    return static_cast<std::size_t>(std::count_if(open_.begin(), open_.end(),
        [&](const Job& job) { return job.queue == queue && !job.hasStarted && !job.isFinal(); }));
}

bool JobTable::hasBegunUpkeep(std::uint64_t wave, const std::string& machine) const
{
    return upkeepBegun_.count({ wave, machine }) > 0;
}

const Claimed& JobTable::claim() const
{
    static const Claimed none;
    return claims_.empty() ? none : claims_.back();
}

void JobTable::fold(const Claimed& record)
{
    if (record.epoch <= claim().epoch)
        return;
    claims_.push_back(record);
    if (claims_.size() > rememberedClaims)
        claims_.pop_front();
}

std::optional<milliseconds> JobTable::waveSeenAt(std::uint64_t wave) const
{
    const auto found = wavesSeen_.find(wave);
    return found == wavesSeen_.end() ? std::nullopt : std::optional(found->second);
}

void JobTable::fold(const Submitted& record)
{
    if (jobs_.count(record.job))
        return;
    auto job = std::make_unique<Job>();
    job->id = record.job;
    job->queue = record.queue;
    job->pool = record.pool;
    job->receivedAt = record.receivedAt;
    job->spec = record.spec;
    job->isCancelled = cancelledUnknown_.count(record.job) > 0;
    if (!job->isScheduled())
        job->begin(0);
    (job->isCancelled ? final_ : open_).push_back(*job);
    jobs_.emplace(record.job, std::move(job));
}

void JobTable::fold(const Cancelled& record)
{
    Job* job = findMutable(record.job);
    if (!job)
        return rememberCancelled(record.job);
    if (job->isFinal())
        return;
    job->isCancelled = true;
    settle(*job);
}

void JobTable::rememberCancelled(JobId id)
{
    if (!cancelledUnknown_.insert(id).second)
        return;
    cancelledOrder_.push_back(id);
    if (cancelledOrder_.size() <= maximumCancelledUnknown)
        return;
    cancelledUnknown_.erase(cancelledOrder_.front());
    cancelledOrder_.pop_front();
}

void JobTable::fold(const RunIntended& record)
{
    Job* job = findMutable(record.task.job);
    if (!job || record.task.step >= job->spec.steps.size()
        || record.task.index >= job->spec.steps[record.task.step].count)
        return;
    StepState& step = job->begin(record.task.occurrence).steps[record.task.step];
    Task& task = step.tasks[record.task.index];
    if (task.phase != TaskPhase::Idle || record.run <= task.lastRun)
        return;
    task.phase = TaskPhase::Active;
    task.lastRun = record.run;
    task.life = record.life;
    ++step.active;
    ++job->activeRuns;
    job->hasStarted = true;
}

void JobTable::fold(const RunEnded& record)
{
    Job* job = findMutable(record.task.job);
    if (!job || !job->find(record.task))
        return;
    StepState& step = job->begin(record.task.occurrence).steps[record.task.step];
    Task& task = step.tasks[record.task.index];
    if (task.phase != TaskPhase::Active || task.lastRun != record.run)
        return;
    task.phase = TaskPhase::Idle;
    --step.active;
    --job->activeRuns;
    if (!record.checkpoint.empty())
        task.checkpoint = record.checkpoint;
    if (record.how == RunEnd::Failed)
        ++task.failures;
    if (record.how == RunEnd::Done && !job->spec.steps[record.task.step].isLongRunning)
        finishTask(*job, record.task, task);
    settle(*job);
}

// One end "done" of a gang stands for all of its members.
void JobTable::finishTask(Job& job, const TaskId& id, Task& task)
{
    Occurrence& occurrence = job.occurrences.at(id.occurrence);
    StepState& step = occurrence.steps[id.step];
    task.phase = TaskPhase::Done;
    ++step.done;
    if (job.spec.steps[id.step].isGang) {
        for (Task& member : step.tasks) {
            if (member.phase == TaskPhase::Done)
                continue;
            if (member.phase == TaskPhase::Active) {
                --step.active;
                --job.activeRuns;
            }
            member.phase = TaskPhase::Done;
            ++step.done;
        }
    }
    if (occurrence.isDone())
        ++job.doneOccurrences;
}

void JobTable::fold(const JobFailed& record)
{
    Job* job = findMutable(record.job);
    if (!job || job->isFinal())
        return;
    job->hasFailed = true;
    settle(*job);
}

void JobTable::settle(Job& job)
{
    if (!job.isFinal() || job.activeRuns > 0)
        return;
    open_.erase(open_.iterator_to(job));
    final_.push_back(job);
}

void JobTable::fold(const JobForgotten& record)
{
    Job* job = findMutable(record.job);
    if (!job || !job->isFinal() || job->activeRuns > 0)
        return;
    final_.erase(final_.iterator_to(*job));
    jobs_.erase(record.job);
}

} // namespace turmericsill::jobs

#include "jobs/jobtable.h"

#include <algorithm>
#include <iterator>
#include <variant>

namespace turmericsill::jobs {

namespace {

    /// Limit of retained cancellations without a job. A submission whose cancellation was dropped because of this limit
    /// is accepted as a new job.
    constexpr std::size_t maximumUnknownCancellations = 20000;
    constexpr std::size_t retainedClaims = 16; ///< Exceeds the number of controller changes while a lease lasts.

    bool isPending(const Job& job, const std::string& queue)
    {
        return job.queue == queue && !job.hasStarted && !job.isFinal();
    }

    /// Whether only a run that an instance has started can end so. A controller also records the other outcomes for
    /// runs whose order may have had no effect.
    bool provesStart(RunOutcome outcome)
    {
        switch (outcome) {
        case RunOutcome::Done:
        case RunOutcome::Failed:
        case RunOutcome::Stopped:
        case RunOutcome::PeerEnded:
        case RunOutcome::GangIncomplete:
            return true;
        case RunOutcome::LeaseExpired:
        case RunOutcome::NeverStarted:
        case RunOutcome::InstanceGone:
            break;
        }
        return false;
    }

} // namespace

JobTable::~JobTable()
{
    changedJobs_.clear();
    openJobs_.clear();
    finalJobs_.clear();
}

void JobTable::apply(const Record& record)
{
    std::visit([this](const auto& typedRecord) { applyRecord(typedRecord); }, record);
}

void JobTable::startDueOccurrences(milliseconds wallTime)
{
    for (auto id = scheduledJobs_.begin(); id != scheduledJobs_.end();) {
        Job* job = findMutableJob(*id);
        const bool canStartOccurrences = job && !job->isFinal();
        id = canStartOccurrences ? std::next(id) : scheduledJobs_.erase(id);
        if (!canStartOccurrences)
            continue;
        while (job->canStartOccurrence() && job->dueAt(job->nextDueOccurrence) <= wallTime
            && occurrenceBudget_.permitsOccurrence(*job)) {
            const std::uint32_t due = job->nextDueOccurrence++;
            if (job->occurrences.count(due))
                continue;
            job->startOccurrence(due);
            occurrenceBudget_.update(*job);
            markChanged(*job);
        }
    }
}

std::vector<JobId> JobTable::takeChangedJobs()
{
    std::vector<JobId> changed;
    while (!changedJobs_.empty()) {
        changed.push_back(changedJobs_.front().id);
        changedJobs_.pop_front();
    }
    return changed;
}

void JobTable::markChanged(Job& job)
{
    if (!job.ChangedJobHook::is_linked())
        changedJobs_.push_back(job);
}

// A job with too many tasks may stand in the log since an earlier version accepted it.
void JobTable::insert(std::unique_ptr<Job> job)
{
    if (job->spec.taskCount() > maximumTasks && job->activeRuns == 0)
        job->hasFailed = true;
    (job->isFinal() && job->activeRuns == 0 ? finalJobs_ : openJobs_).push_back(*job);
    if (job->isScheduled())
        scheduledJobs_.insert(job->id);
    if (!job->crashHistories.empty())
        jobsWithCrashes_.insert(job->id);
    occurrenceBudget_.update(*job);
    memory_.add(*job);
    markChanged(*job);
    if (job->state() == JobState::Completed)
        completedWithDetails_.push_back(job->id);
    const JobId id = job->id;
    jobs_.emplace(id, std::move(job));
}

// The histories of a job tell what has caused the crashes under the tasks of others, and refer to its steps. The end of
// one member completes a gang, but the other members still run.
void JobTable::dropDetailsOfCompletedJobs()
{
    for (const JobId id : completedWithDetails_) {
        Job* job = findMutableJob(id);
        const bool isGang = job
            && std::any_of(
                job->spec.steps.begin(), job->spec.steps.end(), [](const StepSpec& step) { return step.isGang; });
        if (!job || isGang || !job->crashHistories.empty())
            continue;
        memory_.remove(*job);
        job->dropDetails();
    }
    completedWithDetails_.clear();
}

void JobTable::restore(const SnapshotHeader& header)
{
    claims_ = header.claims;
    startedMaintenance_ = header.startedMaintenance;
    waveFirstSeenTimes_ = header.waveFirstSeenTimes;
    restarts_ = header.restarts;
    restartCount_ += restarts_.size();
    for (const auto id : header.unknownCancellations)
        addUnknownCancellation(id);
}

void JobTable::restore(std::unique_ptr<Job> job)
{
    if (jobs_.count(job->id))
        return;
    insert(std::move(job));
}

const Job* JobTable::find(JobId id) const
{
    const auto found = jobs_.find(id);
    return found == jobs_.end() ? nullptr : found->second.get();
}

Job* JobTable::findMutableJob(JobId id)
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
    return static_cast<std::size_t>(
        std::count_if(openJobs_.begin(), openJobs_.end(), [&](const Job& job) { return isPending(job, queue); }));
}

std::size_t JobTable::jobsAwaitingStart(const std::string& queue) const
{
    return static_cast<std::size_t>(std::count_if(openJobs_.begin(), openJobs_.end(),
        [&](const Job& job) { return isPending(job, queue) && job.activeRuns > 0; }));
}

bool JobTable::hasStartedMaintenance(std::uint64_t wave, const std::string& machine) const
{
    return startedMaintenance_.count({ wave, machine }) > 0;
}

const ControlClaimed& JobTable::latestClaim() const
{
    static const ControlClaimed none;
    return claims_.empty() ? none : claims_.back();
}

void JobTable::applyRecord(const ControlClaimed& record)
{
    if (record.epoch <= latestClaim().epoch)
        return;
    claims_.push_back(record);
    if (claims_.size() > retainedClaims)
        claims_.pop_front();
}

void JobTable::applyRecord(const WitnessesChanged& record)
{
    const auto claim = std::find_if(
        claims_.begin(), claims_.end(), [&](const ControlClaimed& known) { return known.epoch == record.epoch; });
    if (claim != claims_.end())
        claim->witnesses = record.witnesses;
}

void JobTable::applyRecord(const InstanceRestarted& record)
{
    InstanceRestarted& latest = restarts_[record.incarnation.instance];
    if (record.incarnation.startedAt < latest.incarnation.startedAt)
        return;
    latest = record;
    ++restartCount_;
}

std::optional<milliseconds> JobTable::waveFirstSeenAt(std::uint64_t wave) const
{
    const auto found = waveFirstSeenTimes_.find(wave);
    return found == waveFirstSeenTimes_.end() ? std::nullopt : std::optional(found->second);
}

void JobTable::applyRecord(const JobSubmitted& record)
{
    if (jobs_.count(record.job))
        return;
    auto job = std::make_unique<Job>();
    job->id = record.job;
    job->queue = record.queue;
    job->pool = record.pool;
    job->receivedAt = record.receivedAt;
    job->spec = record.spec;
    job->maximumAttempts = record.maximumAttempts;
    job->team = record.team;
    job->exceedsTeamRate = record.exceedsTeamRate;
    job->isCancelled = unknownCancellations_.count(record.job) > 0;
    if (!job->isScheduled())
        job->startOccurrence(0);
    insert(std::move(job));
}

void JobTable::applyRecord(const JobCancelled& record)
{
    Job* job = findMutableJob(record.job);
    if (!job)
        return addUnknownCancellation(record.job);
    if (job->isFinal())
        return;
    job->isCancelled = true;
    markChanged(*job);
    moveToFinalIfEnded(*job);
}

void JobTable::addUnknownCancellation(JobId id)
{
    if (!unknownCancellations_.insert(id).second)
        return;
    unknownCancellationOrder_.push_back(id);
    if (unknownCancellationOrder_.size() <= maximumUnknownCancellations)
        return;
    unknownCancellations_.erase(unknownCancellationOrder_.front());
    unknownCancellationOrder_.pop_front();
}

void JobTable::applyRecord(const RunIntended& record)
{
    Job* job = findMutableJob(record.task.job);
    if (!job || record.task.occurrence >= job->occurrenceCount() || record.task.step >= job->spec.steps.size()
        || record.task.index >= job->spec.steps[record.task.step].taskCount)
        return;
    Occurrence& occurrence = job->startOccurrence(record.task.occurrence);
    if (occurrence.steps.empty())
        return; // The occurrence is completed.
    StepState& step = occurrence.steps[record.task.step];
    occurrenceBudget_.update(*job);
    Task& task = step.tasks[record.task.index];
    if (task.phase != TaskPhase::Pending || record.run <= task.lastRun)
        return;
    // A job that another entry has cancelled before this record was appended is final already.
    if (job->isFinal() && job->activeRuns == 0)
        openJobs_.splice(openJobs_.end(), finalJobs_, finalJobs_.iterator_to(*job));
    task.phase = TaskPhase::Active;
    task.lastRun = record.run;
    task.incarnation = record.incarnation;
    ++step.active;
    ++job->activeRuns;
    markChanged(*job);
}

void JobTable::applyRecord(const RunEnded& record)
{
    Job* job = findMutableJob(record.task.job);
    if (!job || !job->find(record.task))
        return;
    StepState& step = job->startOccurrence(record.task.occurrence).steps[record.task.step];
    Task& task = step.tasks[record.task.index];
    if (task.phase != TaskPhase::Active || task.lastRun != record.run)
        return;
    task.phase = TaskPhase::Pending;
    --step.active;
    --job->activeRuns;
    job->hasStarted |= provesStart(record.outcome);
    if (!record.checkpoint.empty())
        keepCheckpoint(*job, record);
    if (record.outcome == RunOutcome::Failed) {
        ++task.failures;
        ++job->failedRuns;
    }
    if (record.outcome == RunOutcome::Done && !job->spec.steps[record.task.step].isLongRunning)
        finishTask(*job, record.task, task);
    markChanged(*job);
    moveToFinalIfEnded(*job);
}

// The members of a gang work together only if all of them resume from the same checkpoint. That of any member will do.
void JobTable::keepCheckpoint(Job& job, const RunEnded& record)
{
    auto& tasks = job.occurrences.at(record.task.occurrence).steps[record.task.step].tasks;
    if (!job.spec.steps[record.task.step].isGang) {
        tasks[record.task.index].checkpoint = record.checkpoint;
        return;
    }
    for (Task& member : tasks.all())
        member.checkpoint = record.checkpoint;
}

// A run that ends as done completes its whole gang: one record marks every member of the gang as done.
void JobTable::finishTask(Job& job, const TaskId& id, Task& task)
{
    Occurrence& occurrence = job.occurrences.at(id.occurrence);
    StepState& step = occurrence.steps[id.step];
    task.phase = TaskPhase::Done;
    ++step.done;
    job.crashHistories.erase(id);
    if (job.spec.steps[id.step].isGang) {
        for (Task& member : step.tasks.all()) {
            if (member.phase == TaskPhase::Done)
                continue;
            if (member.phase == TaskPhase::Active) {
                --step.active;
                --job.activeRuns;
            }
            member.phase = TaskPhase::Done;
            ++step.done;
        }
        for (std::uint32_t index = 0; index < step.tasks.size(); ++index)
            job.crashHistories.erase({ id.job, id.occurrence, id.step, index });
    }
    if (!occurrence.isDone())
        return;
    ++job.completedOccurrences;
    if (job.isScheduled())
        occurrence.dropSteps();
    occurrenceBudget_.update(job);
}

void JobTable::applyRecord(const RunBatch& record)
{
    for (const auto& run : record.records)
        std::visit([this](const auto& typedRecord) { applyRecord(typedRecord); }, run);
}

void JobTable::applyRecord(const JobsStarted& record)
{
    for (const JobId id : record.jobs) {
        if (Job* job = findMutableJob(id))
            job->hasStarted = true;
    }
}

// A convicted task explains its crashes also if the record changes nothing in its own history: histories that a
// snapshot restored may be older than that of the convicted task.
void JobTable::applyRecord(const InstanceCrashed& record)
{
    std::set<JobId> startedJobs;
    for (const CrashedRun& crashed : record.runs) {
        if (crashed.isSuspicion)
            startedJobs.insert(crashed.task.job);
    }
    for (const CrashedRun& crashed : record.runs) {
        Job* job = findMutableJob(crashed.task.job);
        const Task* task = job ? job->find(crashed.task) : nullptr;
        if (!task || task->phase == TaskPhase::Done)
            continue;
        if (crashed.hasEndured) {
            job->crashHistories.erase(crashed.task);
            markChanged(*job);
            continue;
        }
        CrashHistory& history = job->crashHistories[crashed.task];
        if (!history.contains(crashed.run))
            history.crashes.push_back({ crashed.run, record.incarnation, record.machine, crashed.isConfirmed,
                crashed.isSuspicion, crashed.isSuspicion && startedJobs.size() == 1, false });
        jobsWithCrashes_.insert(job->id);
        markChanged(*job);
        if (history.isConvicted())
            explainCrashes(crashed.task);
    }
}

void JobTable::explainCrashes(const TaskId& cause)
{
    const auto& caused = findMutableJob(cause.job)->crashHistories.at(cause).crashes;
    const auto isCaused = [&](const CrashUnderTask& crash) {
        return std::any_of(caused.begin(), caused.end(), [&](const CrashUnderTask& other) {
            return other.isSuspicion && !other.isExplained && other.incarnation == crash.incarnation;
        });
    };
    for (const JobId id : jobsWithCrashes_) {
        Job& job = *findMutableJob(id);
        for (auto& [task, history] : job.crashHistories) {
            if (task == cause)
                continue;
            for (CrashUnderTask& crash : history.crashes) {
                if (crash.isExplained || !isCaused(crash))
                    continue;
                crash.isExplained = true;
                markChanged(job);
            }
        }
    }
}

void JobTable::applyRecord(const JobFailed& record)
{
    Job* job = findMutableJob(record.job);
    if (!job || job->isFinal())
        return;
    job->hasFailed = true;
    markChanged(*job);
    moveToFinalIfEnded(*job);
}

void JobTable::moveToFinalIfEnded(Job& job)
{
    if (!job.isFinal() || job.activeRuns > 0)
        return;
    if (job.isScheduled())
        job.removeUntouchedOccurrences();
    occurrenceBudget_.update(job);
    if (job.state() == JobState::Completed)
        completedWithDetails_.push_back(job.id);
    finalJobs_.splice(finalJobs_.end(), openJobs_, openJobs_.iterator_to(job));
}

void JobTable::applyRecord(const JobExpired& record)
{
    Job* job = findMutableJob(record.job);
    if (!job || !job->isFinal() || job->activeRuns > 0)
        return;
    finalJobs_.erase(finalJobs_.iterator_to(*job));
    occurrenceBudget_.remove(*job);
    memory_.remove(*job);
    jobsWithCrashes_.erase(record.job);
    jobs_.erase(record.job);
}

} // namespace turmericsill::jobs

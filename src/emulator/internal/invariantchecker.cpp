#include "emulator/invariantchecker.h"

#include "scheduling/instanceindex.h"

#include <algorithm>

namespace turmericsill::emulator {

using jobs::JobId;
using jobs::JobSpec;
using jobs::TaskId;

namespace {

    /// Time after an acknowledged cancellation in which tasks of the job may still start.
    constexpr milliseconds cancellationGrace { 3000 };

    /// Shortest of the times that the platform's deployments allow for a stop. The emulated instances take less.
    constexpr milliseconds longestStop { 200 };

    /// The platform's stability window: the store counts as stable after this time without a disruption, and the run of
    /// a late order counts from this time after its start.
    constexpr milliseconds stabilityWindow { 3000 };

    /// Time after its acceptance from which a job that has not started must show in the number of pending jobs.
    constexpr milliseconds pendingVisibility { 5000 };

    /// A task that has crashed this many instances may be started fewer than `forbiddenStarts` times more.
    constexpr std::size_t tolerableCrashes = 3;
    constexpr std::size_t forbiddenStarts = 3;

    /// Time after which a start may no longer use capacity that an instance has lost: the platform's stability window
    /// and one heartbeat.
    constexpr milliseconds shrunkCapacityGrace { 4500 };

    /// Time after its last run from which on a task that lasts must be at work again.
    constexpr milliseconds missingRunGrace { 6000 };

    /// Time for which a task that lasts must be without a run, beside capacity for it, to count as missing.
    constexpr milliseconds missingRunSpan { 3000 };

    /// Time without a disturbance after which no task may be missing: that span and the calm before it.
    constexpr milliseconds missingRunCalm { 7000 };

    constexpr std::int64_t sufficientPlaces = 2; ///< Places for a task that are capacity for it twice over.

} // namespace

InvariantChecker::InvariantChecker(const Instances& instances, const foundation::IClock& clock)
    : instances_(instances)
    , clock_(clock)
{
}

void InvariantChecker::addViolation(const std::string& invariant, const std::string& detail)
{
    violations_.push_back(invariant + ": " + detail);
}

const JobSpec* InvariantChecker::findSpec(JobId job) const
{
    const auto found = specs_.find(job);
    return found == specs_.end() ? nullptr : &found->second;
}

void InvariantChecker::onSubmitted(JobId job, const JobSpec& spec)
{
    specs_.emplace(job, spec);
    if (!configurations_.empty())
        pools_.emplace(job, configurations_.back().second.queues.front().pool);
}

void InvariantChecker::onCancelled(JobId job) { cancelledAt_.emplace(job, clock_.now()); }

void InvariantChecker::onAccepted(JobId job)
{
    accepted_.insert(job);
    acceptedAt_.emplace(job, clock_.now());
}

// A job may start while the caller awaits the answer, so only jobs that have not started by now are expected. A
// cancellation that was not answered may stand in the log.
void InvariantChecker::onReportedPending(std::size_t pending, foundation::SteadyTime askedAt)
{
    std::size_t waiting = 0;
    std::string names;
    for (const auto& [job, acceptedAt] : acceptedAt_) {
        if (acceptedAt + pendingVisibility >= askedAt || started_.count(job) || cancelRequested_.count(job))
            continue;
        ++waiting;
        names += " " + jobs::toText(job);
    }
    if (pending * 2 < waiting)
        addViolation(
            "fewer than half of the waiting jobs reported as pending", std::to_string(pending) + " of" + names);
}

void InvariantChecker::onReportedCompleted(JobId job)
{
    completed_.insert(job);
    const JobSpec* known = findSpec(job);
    if (!known)
        return addViolation("completion of a job that was never submitted", jobs::toText(job));
}

void InvariantChecker::onEndAcknowledged(const fleet::ObservedEnd& end)
{
    if (end.outcome == jobs::RunOutcome::Done)
        doneTasks_.insert(end.task);
}

void InvariantChecker::onConfigurationDeclared(const fleet::FleetConfiguration& configuration)
{
    configurations_.emplace_back(clock_.now(), configuration);
}

// An answer may be that of each configuration that was the latest one at some time within the bound.
void InvariantChecker::onQueueLookup(const QueueAnswer& answer)
{
    const std::string name = answer.entry + ", " + answer.host + answer.path;
    if (!answer.isCurrent) {
        if (clock_.now() > std::max(inTouchSince_, answer.entryStartedAt + stabilityWindow))
            addViolation("configuration older than its bound on an undisturbed entry", name);
        return;
    }
    for (std::size_t i = configurations_.size(); i-- > 0;) {
        const auto& [declaredAt, configuration] = configurations_[i];
        if ((configuration.route(answer.host, answer.path) != nullptr) == answer.isFound)
            return;
        if (declaredAt + configurationBound < clock_.now())
            break;
    }
    addViolation("queue looked up in a superseded configuration", name + (answer.isFound ? ", found" : ", not found"));
}

void InvariantChecker::onDisruption(Disruption kind)
{
    const auto until = clock_.now() + (kind == Disruption::Store ? stabilityWindow : milliseconds(0));
    undisturbedSince_ = std::max(undisturbedSince_, until);
    inTouchSince_ = std::max(inTouchSince_, clock_.now() + stabilityWindow);
}

void InvariantChecker::checkCancelledRuns()
{
    if (cancelledAt_.empty() || clock_.now() <= undisturbedSince_ + cancellationGrace + longestStop)
        return;
    for (const auto& [name, instance] : instances_) {
        for (const auto& task : instance->runningTasks()) {
            const auto cancelled = cancelledAt_.find(task.job);
            if (cancelled == cancelledAt_.end())
                continue;
            auto countsFrom = cancelled->second;
            if (const auto late = lateStarts_.find(task); late != lateStarts_.end())
                countsFrom = std::max(countsFrom, late->second + stabilityWindow);
            if (clock_.now() > countsFrom + cancellationGrace + longestStop && overdueTasks_.insert(task).second)
                addViolation("task of a cancelled job runs on", jobs::toText(task) + " on " + name);
        }
    }
}

// A job whose cancellation was asked for may be cancelled without an answer. The due times of the occurrences of
// scheduled jobs are not known here.
void InvariantChecker::checkMissingRuns(const std::map<std::string, fleet::InstanceReport>& listed)
{
    for (const auto& [job, acceptedAt] : acceptedAt_) {
        const JobSpec& spec = specs_.at(job);
        if (cancelRequested_.count(job) || spec.schedule.occurrences > 0)
            continue;
        for (std::uint32_t step = 0; step < spec.steps.size(); ++step) {
            if (!spec.steps[step].isLongRunning)
                continue;
            for (std::uint32_t index = 0; index < spec.steps[step].taskCount; ++index) {
                const TaskId task { job, 0, step, index };
                lastingTasks_.emplace(task, LastingTask { acceptedAt, acceptedAt });
                if (isDue(task, spec))
                    checkMissingRun(task, spec.steps[step], listed);
                else
                    lastingTasks_[task] = { clock_.now(), clock_.now() };
            }
        }
    }
}

void InvariantChecker::checkMissingRun(
    const TaskId& task, const jobs::StepSpec& step, const std::map<std::string, fleet::InstanceReport>& listed)
{
    LastingTask& state = lastingTasks_.at(task);
    const auto now = clock_.now();
    const bool isAtWork = std::any_of(
        instances_.begin(), instances_.end(), [&](const auto& entry) { return entry.second->isRunning(task); });
    if (isAtWork) {
        state = { now, now };
        return;
    }
    if (!hasRoomTwice(task, step, listed))
        state.roomSince = now;
    const auto calmSince = std::max(undisturbedSince_, entriesSteadySince_);
    if (state.isReported || now <= state.lastAtWork + missingRunGrace || now <= state.roomSince + missingRunSpan
        || now <= calmSince + missingRunCalm)
        return;
    state.isReported = true;
    addViolation("task of a long-running job without a run",
        jobs::toText(task) + " for "
            + std::to_string(std::chrono::duration_cast<milliseconds>(now - state.lastAtWork).count()) + " ms");
}

// A task that has crashed an instance may be given up.
bool InvariantChecker::isDue(const TaskId& task, const JobSpec& spec) const
{
    const bool hasCrashes = std::any_of(
        crashes_.begin(), crashes_.end(), [&](const auto& crashes) { return crashes.first.job == task.job; });
    if (hasCrashes)
        return false;
    for (const auto step : spec.steps[task.step].dependsOn) {
        for (std::uint32_t index = 0; index < spec.steps[step].taskCount; ++index) {
            if (!doneTasks_.count({ task.job, task.occurrence, step, index }))
                return false;
        }
    }
    return true;
}

// The tasks of a gang need their places together.
bool InvariantChecker::hasRoomTwice(
    const TaskId& task, const jobs::StepSpec& step, const std::map<std::string, fleet::InstanceReport>& listed) const
{
    const auto pool = pools_.find(task.job);
    const auto need = scheduling::resourceRequest(step);
    const std::int64_t wanted = sufficientPlaces * (step.isGang ? std::int64_t(step.taskCount) : 1);
    std::int64_t places = 0;
    for (const auto& [name, report] : listed) {
        const auto running = instances_.find(name);
        if (running == instances_.end() || running->second->report().incarnation != report.incarnation
            || report.isDraining || pool == pools_.end() || report.pool != pool->second
            || (!step.requiredLabel.empty() && !report.hasLabel(step.requiredLabel)))
            continue;
        jobs::Resources reserved;
        std::uint32_t ofStep = 0;
        for (const auto& other : running->second->runningTasks()) {
            reserved += scheduling::resourceRequest(findSpec(other.job)->steps[other.step]);
            ofStep += other.job == task.job && other.step == task.step;
        }
        for (reserved += need; places < wanted && reserved.fitsInto(running->second->report().capacity);
             reserved += need) {
            if (step.maximumPerInstance > 0 && ofStep++ >= step.maximumPerInstance)
                break;
            ++places;
        }
    }
    return places >= wanted;
}

void InvariantChecker::onStartOrdered(const fleet::StartOrder& order)
{
    const JobSpec* known = findSpec(order.task.job);
    if (!known || !known->steps[order.task.step].isGang)
        return;
    const TaskId first { order.task.job, order.task.occurrence, order.task.step, 0 };
    const auto carried = gangCheckpoints_.emplace(std::pair(first, order.run), order.checkpoint).first;
    if (carried->second != order.checkpoint)
        addViolation("members of a gang with different checkpoints", jobs::toText(order.task));
}

void InvariantChecker::onRunStarted(const EmulatedInstance& instance, const TaskId& task)
{
    lateStarts_.erase(task);
    if (isExecutingLateOrder_)
        lateStarts_.emplace(task, clock_.now());
    started_.insert(task.job);
    ++starts_[task];
    const auto crashes = crashes_.find(task);
    if (crashes != crashes_.end() && crashes->second >= tolerableCrashes
        && ++startsAfterCrashes_[task] >= forbiddenStarts)
        addViolation("start of a task that keeps crashing its instances", jobs::toText(task));
    const std::string name = jobs::toText(task) + " on " + instance.report().incarnation.instance;
    const JobSpec* known = findSpec(task.job);
    if (!known)
        return addViolation("start of a task whose job was never submitted", name);
    if (refused_.count(task.job) && !accepted_.count(task.job) && !unknown_.count(task.job))
        addViolation("start of a task of a refused job", name);
    const auto cancelled = cancelledAt_.find(task.job);
    if (!isExecutingLateOrder_ && cancelled != cancelledAt_.end()
        && clock_.now() > cancelled->second + cancellationGrace)
        addViolation("start of a task of a cancelled job", name);
    for (const auto& [other, running] : instances_) {
        if (running.get() != &instance && running->isRunning(task))
            addViolation("two concurrent runs of a task", name + " and " + other);
    }
    if (doneTasks_.count(task))
        addViolation("start of a task whose completion was acknowledged", name);
    if (completed_.count(task.job))
        addViolation("start of a task whose job was reported as completed", name);
    checkRoute(instance, task, known->steps[task.step]);
    checkCapacity(instance, task);
    checkDependencies(task, *known);
}

void InvariantChecker::checkRoute(const EmulatedInstance& instance, const TaskId& task, const jobs::StepSpec& step)
{
    const fleet::InstanceReport& report = instance.report();
    const std::string name = jobs::toText(task) + " on " + report.incarnation.instance;
    if (!step.requiredLabel.empty() && !report.hasLabel(step.requiredLabel))
        addViolation("start on an instance without the required label", name);
    const bool isRouted = std::any_of(configurations_.begin(), configurations_.end(), [&](const auto& declared) {
        const auto& queues = declared.second.queues;
        return std::any_of(
            queues.begin(), queues.end(), [&](const fleet::Queue& queue) { return queue.pool == report.pool; });
    });
    if (!isRouted && !configurations_.empty())
        addViolation("start on an instance of a pool without a queue", name);
}

std::size_t InvariantChecker::startsOf(const TaskId& task) const
{
    const auto found = starts_.find(task);
    return found == starts_.end() ? 0 : found->second;
}

// An order that is carried out late may find less capacity than there was when it was sent.
void InvariantChecker::checkCapacity(const EmulatedInstance& instance, const TaskId& task)
{
    jobs::Resources reserved;
    for (const auto& other : instance.runningTasks()) {
        if (const JobSpec* known = findSpec(other.job))
            reserved += scheduling::resourceRequest(known->steps[other.step]);
    }
    const auto countsSince = isExecutingLateOrder_ ? foundation::SteadyTime::min() : clock_.now() - shrunkCapacityGrace;
    if (!reserved.fitsInto(instance.largestCapacitySince(countsSince)))
        addViolation(
            "instance capacity exceeded", jobs::toText(task) + " on " + instance.report().incarnation.instance);
}

void InvariantChecker::checkDependencies(const TaskId& task, const JobSpec& spec)
{
    for (const auto step : spec.steps[task.step].dependsOn) {
        for (std::uint32_t index = 0; index < spec.steps[step].taskCount; ++index) {
            for (const auto& [name, running] : instances_) {
                if (running->isRunning({ task.job, task.occurrence, step, index }))
                    addViolation("start of a task while a dependency is running", jobs::toText(task));
            }
        }
    }
}

} // namespace turmericsill::emulator

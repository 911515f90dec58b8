#include "emulator/emulatedinstance.h"

#include <algorithm>

namespace turmericsill::emulator {

using fleet::InstanceTime;
using fleet::ObservedEnd;
using fleet::RenewAnswer;
using fleet::StartAnswer;
using fleet::StartResult;
using foundation::Errc;
using foundation::failure;
using foundation::Result;
using jobs::RunOutcome;
using jobs::TaskId;

namespace {

    constexpr milliseconds stopDuration { 200 }; ///< Time from a stop order to the end of the run.
    constexpr InstanceTime initialClock { 50000 }; ///< Instance clocks start at an arbitrary value.
    constexpr int fullPacePercent = 100;

} // namespace

EmulatedInstance::EmulatedInstance(
    fleet::InstanceReport report, const foundation::IClock& clock, double clockRate, milliseconds maximumLease)
    : report_(std::move(report))
    , clock_(clock)
    , clockRate_(clockRate)
    , maximumLease_(maximumLease)
    , startedAt_(clock.now())
{
}

void EmulatedInstance::setCapacity(const jobs::Resources& capacity)
{
    formerCapacities_.push_back({ report_.capacity, clock_.now() });
    report_.capacity = capacity;
}

jobs::Resources EmulatedInstance::largestCapacitySince(foundation::SteadyTime time) const
{
    jobs::Resources largest = report_.capacity;
    for (const auto& former : formerCapacities_) {
        if (former.replacedAt < time)
            continue;
        largest.milliCores = std::max(largest.milliCores, former.capacity.milliCores);
        largest.memoryMb = std::max(largest.memoryMb, former.capacity.memoryMb);
        largest.accelerators = std::max(largest.accelerators, former.capacity.accelerators);
    }
    return largest;
}

InstanceTime EmulatedInstance::clockNow() const
{
    const auto elapsed = std::chrono::duration<double, std::milli>(clock_.now() - startedAt_) * clockRate_;
    return initialClock + std::chrono::duration_cast<milliseconds>(elapsed);
}

void EmulatedInstance::extendLease(InstanceTime end)
{
    leaseEnd_ = std::max(leaseEnd_, std::min(end, clockNow() + maximumLease_));
}

StartAnswer EmulatedInstance::start(
    const fleet::StartOrder& order, std::uint64_t token, const std::function<RunPlan(const TaskId&)>& planRun)
{
    advance();
    const InstanceTime now = clockNow();
    if (token < highestToken_)
        return { StartResult::Fenced, now };
    highestToken_ = token;
    if (order.leaseEnd <= now)
        return { StartResult::LeaseExpired, now };
    extendLease(order.leaseEnd);
    const auto active = runs_.find(order.task);
    if (active != runs_.end() && active->second.run == order.run)
        return { StartResult::Started, now };
    const auto closed = highestClosedRuns_.find(order.task);
    if (closed != highestClosedRuns_.end() && order.run <= closed->second)
        return { StartResult::Superseded, now };
    const RunPlan plan = planRun(order.task);
    runs_[order.task] = { order.run, clock_.now() + plan.duration, plan, false };
    if (onRunStarted)
        onRunStarted(order.task, order.run);
    return { StartResult::Started, now };
}

Result<void> EmulatedInstance::stop(const TaskId& task, std::uint32_t run, std::uint64_t token)
{
    advance();
    if (token < highestToken_)
        return failure(Errc::Fenced, "emulator.stop");
    highestToken_ = token;
    auto& closed = highestClosedRuns_[task];
    closed = std::max(closed, run);
    const auto found = runs_.find(task);
    if (found != runs_.end() && found->second.run <= run && !found->second.isStopping) {
        found->second.isStopping = true;
        found->second.plan.outcome = RunOutcome::Stopped;
        found->second.plan.isLongRunning = false;
        found->second.endsAt = clock_.now() + stopDuration;
    }
    return {};
}

RenewAnswer EmulatedInstance::renew(const fleet::RenewRequest& request, std::uint64_t token)
{
    advance();
    RenewAnswer answer;
    if (token < highestToken_) {
        answer.isFenced = true;
        return answer;
    }
    highestToken_ = token;
    if (request.leaseEnd)
        extendLease(*request.leaseEnd);
    while (!unacknowledgedEnds_.empty() && unacknowledgedEnds_.front().number <= request.acknowledgedEnds) {
        if (onEndAcknowledged && unacknowledgedEnds_.front().number > endCountAtExpiry_)
            onEndAcknowledged(unacknowledgedEnds_.front());
        unacknowledgedEnds_.erase(unacknowledgedEnds_.begin());
    }
    answer.startedAt = report_.incarnation.startedAt;
    answer.clock = clockNow();
    for (const auto& [task, run] : runs_)
        answer.running.push_back({ task, run.run, {}, fullPacePercent, 0 });
    answer.ended = unacknowledgedEnds_;
    return answer;
}

void EmulatedInstance::endRun(const TaskId& task, RunOutcome outcome)
{
    const auto found = runs_.find(task);
    auto& closed = highestClosedRuns_[task];
    closed = std::max(closed, found->second.run);
    const std::string checkpoint = outcome == RunOutcome::Stopped ? found->second.plan.checkpoint : std::string();
    unacknowledgedEnds_.push_back({ ++endCount_, task, found->second.run, outcome, checkpoint });
    runs_.erase(found);
}

void EmulatedInstance::advance()
{
    std::vector<std::pair<TaskId, RunOutcome>> ending;
    for (const auto& [task, run] : runs_) {
        if (!run.plan.isLongRunning && run.endsAt <= clock_.now())
            ending.emplace_back(task, run.plan.outcome);
        else if (clockNow() >= leaseEnd_)
            ending.emplace_back(task, RunOutcome::LeaseExpired);
    }
    if (clockNow() >= leaseEnd_)
        endCountAtExpiry_ = endCount_;
    for (const auto& [task, outcome] : ending)
        endRun(task, outcome);
}

std::vector<TaskId> EmulatedInstance::runningTasks() const
{
    std::vector<TaskId> tasks;
    for (const auto& [task, run] : runs_)
        tasks.push_back(task);
    return tasks;
}

} // namespace turmericsill::emulator

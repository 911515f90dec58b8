#include "emulator/emulatedinstance.h"

#include <algorithm>

namespace turmericsill::emulator {

using fleet::InstanceTime;
using fleet::ObservedEnd;
using fleet::RenewAnswer;
using fleet::StartAnswer;
using fleet::StartVerdict;
using foundation::Errc;
using foundation::failure;
using foundation::Result;
using jobs::RunEnd;
using jobs::TaskId;

namespace {

    constexpr milliseconds stopTime { 200 };
    constexpr InstanceTime firstClock { 50000 }; ///< Clocks of instances begin at some value of their own.
    constexpr int atWork = 100;

} // namespace

EmulatedInstance::EmulatedInstance(
    fleet::InstanceReport report, const foundation::IClock& clock, double clockRate, milliseconds longestLease)
    : report_(std::move(report))
    , clock_(clock)
    , clockRate_(clockRate)
    , longestLease_(longestLease)
    , began_(clock.now())
{
}

InstanceTime EmulatedInstance::clockNow() const
{
    const auto elapsed = std::chrono::duration<double, std::milli>(clock_.now() - began_) * clockRate_;
    return firstClock + std::chrono::duration_cast<milliseconds>(elapsed);
}

void EmulatedInstance::extendLease(InstanceTime end)
{
    leaseEnd_ = std::max(leaseEnd_, std::min(end, clockNow() + longestLease_));
}

StartAnswer EmulatedInstance::start(
    const fleet::StartOrder& order, std::uint64_t token, const std::function<RunPlan(const TaskId&)>& plan)
{
    advance();
    const InstanceTime now = clockNow();
    if (token < token_)
        return { StartVerdict::Fenced, now };
    token_ = token;
    if (order.leaseEnd <= now)
        return { StartVerdict::LeaseOver, now };
    extendLease(order.leaseEnd);
    const auto present = runs_.find(order.task);
    if (present != runs_.end() && present->second.run == order.run)
        return { StartVerdict::Started, now };
    const auto closed = closedRuns_.find(order.task);
    if (closed != closedRuns_.end() && order.run <= closed->second)
        return { StartVerdict::Superseded, now };
    const RunPlan begun = plan(order.task);
    runs_[order.task] = { order.run, clock_.now() + begun.duration, begun, false };
    if (onStarted)
        onStarted(order.task, order.run);
    return { StartVerdict::Started, now };
}

Result<void> EmulatedInstance::stop(const TaskId& task, std::uint32_t run, std::uint64_t token)
{
    advance();
    if (token < token_)
        return failure(Errc::Fenced, "emulator.stop");
    token_ = token;
    auto& closed = closedRuns_[task];
    closed = std::max(closed, run);
    const auto found = runs_.find(task);
    if (found != runs_.end() && found->second.run <= run && !found->second.isStopping) {
        found->second.isStopping = true;
        found->second.plan = { {}, RunEnd::Stopped, false };
        found->second.endsAt = clock_.now() + stopTime;
    }
    return {};
}

RenewAnswer EmulatedInstance::renew(const fleet::RenewRequest& request, std::uint64_t token)
{
    advance();
    RenewAnswer answer;
    if (token < token_) {
        answer.fenced = true;
        return answer;
    }
    token_ = token;
    if (request.leaseEnd)
        extendLease(*request.leaseEnd);
    while (!ended_.empty() && ended_.front().number <= request.acknowledgedEnds) {
        if (onAcknowledged && ended_.front().number > expiredEnds_)
            onAcknowledged(ended_.front());
        ended_.erase(ended_.begin());
    }
    answer.born = report_.life.born;
    answer.clock = clockNow();
    for (const auto& [task, run] : runs_)
        answer.running.push_back({ task, run.run, {}, atWork, 0 });
    answer.ended = ended_;
    return answer;
}

void EmulatedInstance::end(const TaskId& task, RunEnd how)
{
    const auto found = runs_.find(task);
    auto& closed = closedRuns_[task];
    closed = std::max(closed, found->second.run);
    ended_.push_back({ ++ends_, task, found->second.run, how, {} });
    runs_.erase(found);
}

void EmulatedInstance::advance()
{
    std::vector<std::pair<TaskId, RunEnd>> over;
    for (const auto& [task, run] : runs_) {
        if (!run.plan.lasts && run.endsAt <= clock_.now())
            over.emplace_back(task, run.plan.how);
        else if (clockNow() >= leaseEnd_)
            over.emplace_back(task, RunEnd::LeaseExpired);
    }
    if (clockNow() >= leaseEnd_)
        expiredEnds_ = ends_;
    for (const auto& [task, how] : over)
        end(task, how);
}

std::vector<TaskId> EmulatedInstance::running() const
{
    std::vector<TaskId> tasks;
    for (const auto& [task, run] : runs_)
        tasks.push_back(task);
    return tasks;
}

} // namespace turmericsill::emulator

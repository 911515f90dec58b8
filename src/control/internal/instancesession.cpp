#include "control/internal/instancesession.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace turmericsill::control {

using fleet::InstanceTime;
using fleet::RenewAnswer;
using fleet::StartAnswer;
using fleet::StartVerdict;
using foundation::Errc;
using foundation::Result;
using foundation::SteadyTime;
using jobs::RunEnd;
using jobs::TaskId;

namespace {

    constexpr milliseconds retryInterval { 150 }; ///< Between attempts without an answer.
    constexpr milliseconds restartTime { 300 }; ///< A process is not back sooner than this after its end.
    constexpr milliseconds leaseMargin { 60 }; ///< Added before a lease counts as over: killing takes a moment.
    constexpr std::size_t fullPageOfEnds = 500; ///< The platform lists at most this many ends at a time.
    constexpr milliseconds stopAllowance { 700 }; ///< After a stop's answer until its end must be listed.

} // namespace

InstanceSession::InstanceSession(fleet::InstanceReport report, SessionContext& context)
    : report_(std::move(report))
    , context_(context)
{
}

void InstanceSession::update(fleet::InstanceReport report)
{
    report_ = std::move(report);
    isListed_ = true;
}

jobs::Resources InstanceSession::free() const
{
    jobs::Resources free = report_.capacity;
    for (const auto& [task, run] : runs_)
        free -= run.resources;
    return free;
}

fleet::InstanceHandle InstanceSession::handle() const
{
    return { report_.life.instance, report_.address, context_.epoch };
}

InstanceTime InstanceSession::clockEstimate() const
{
    const auto elapsed = std::chrono::duration_cast<milliseconds>(context_.clock.now() - clockAt_);
    return clock_ ? *clock_ + elapsed : InstanceTime(0);
}

// The clock was read before its answer came, and runs at the slowest rate at worst.
bool InstanceSession::isLeaseSurelyOver() const
{
    const auto now = context_.clock.now();
    const bool hasInherited = std::any_of(
        runs_.begin(), runs_.end(), [](const auto& entry) { return entry.second.state == OrderState::Inherited; });
    if (hasInherited || !clock_)
        return now > std::max(context_.former.leasesOverAt(), adoptedLeasesOverAt_);
    const auto elapsed = std::chrono::duration_cast<std::chrono::duration<double, std::milli>>(now - clockAt_);
    const double lowest = static_cast<double>(clock_->count()) + elapsed.count() * context_.terms.slowestClock;
    return lowest > static_cast<double>((std::max(leaseSent_, inheritedLeaseEnd_) + leaseMargin).count());
}

void InstanceSession::track(
    const TaskId& task, std::uint32_t run, const jobs::Resources& resources, bool isLongRunning, bool isInherited)
{
    TrackedRun tracked;
    tracked.run = run;
    tracked.resources = resources;
    tracked.isLongRunning = isLongRunning;
    tracked.state = isInherited ? OrderState::Inherited : OrderState::Recording;
    tracked.orderedAt = context_.clock.now();
    runs_[task] = std::move(tracked);
}

TrackedRun* InstanceSession::find(const TaskId& task, std::uint32_t number)
{
    const auto found = runs_.find(task);
    return found == runs_.end() || found->second.run != number ? nullptr : &found->second;
}

void InstanceSession::order(const TaskId& task, std::string payload, std::string checkpoint, std::string ticket)
{
    const auto found = runs_.find(task);
    if (isClosed_ || found == runs_.end())
        return;
    TrackedRun& run = found->second;
    if (run.isStopping)
        return end(task, RunEnd::NeverStarted, {});
    run.order = { task, run.run, std::move(payload), std::move(checkpoint), std::move(ticket), InstanceTime(0) };
    run.orderedAt = context_.clock.now();
    sendStart(task, run);
}

void InstanceSession::sendStart(const TaskId& task, TrackedRun& run)
{
    run.state = OrderState::Sent;
    run.lastAttemptAt = context_.clock.now();
    // As with renewals, an instance that does not answer gets no longer lease.
    if (failures_ == 0)
        leaseSent_ = std::max(leaseSent_, clockEstimate() + context_.terms.startLength);
    run.order.leaseEnd = std::min(leaseSent_, clockEstimate() + context_.terms.startLength);
    context_.control.start(
        handle(), run.order, [self = Self(this), task, number = run.run](const Result<StartAnswer>& answer) {
            self->onStartAnswered(task, number, answer);
        });
}

void InstanceSession::onStartAnswered(const TaskId& task, std::uint32_t number, const Result<StartAnswer>& answer)
{
    if (isClosed_)
        return;
    if (!answer && answer.error().code == Errc::WrongInstance)
        return context_.observer.onLifeOver(*this, 0);
    TrackedRun* run = find(task, number);
    if (answer) {
        noteAnswer();
        if (answer->clock)
            noteClock(*answer->clock);
        if (run)
            onStartVerdict(task, *run, answer->verdict);
        return;
    }
    noteFailure(answer.error());
    if (!run)
        return;
    if (answer.error().code == Errc::Unavailable && !run->hadUnansweredOrder)
        return end(task, RunEnd::NeverStarted, {});
    run->state = OrderState::Unanswered;
    run->hadUnansweredOrder = true;
}

void InstanceSession::onStartVerdict(const TaskId& task, TrackedRun& run, StartVerdict verdict)
{
    switch (verdict) {
    case StartVerdict::Started:
        run.state = OrderState::Started;
        run.settledAt = context_.clock.now();
        run.order.payload.clear();
        if (run.isStopping)
            return sendStop(task, run);
        if (!isRenewing_)
            renew();
        return;
    case StartVerdict::Fenced:
        return context_.observer.onFenced(*this);
    case StartVerdict::Superseded:
        // An earlier copy of the order ran and has ended; the next renewal lists the end.
        run.state = OrderState::Started;
        run.settledAt = context_.clock.now();
        return;
    case StartVerdict::LeaseOver:
        // The estimate of the clock was stale; the answer has corrected it.
        run.state = OrderState::Unanswered;
        return;
    case StartVerdict::NoRoom:
    case StartVerdict::TicketInvalid:
    case StartVerdict::Invalid:
    case StartVerdict::Unhealthy:
        break;
    }
    const Self keep(this);
    context_.observer.onStartRefused(*this, task, verdict);
    if (!run.hadUnansweredOrder)
        return end(task, RunEnd::NeverStarted, {});
    run.isStopping = true;
    sendStop(task, run);
}

void InstanceSession::requestStop(const TaskId& task, bool isPlanned)
{
    const auto found = runs_.find(task);
    if (found == runs_.end() || found->second.isStopping)
        return;
    TrackedRun& run = found->second;
    run.isStopping = true;
    run.isPlannedStop = isPlanned;
    if (run.state != OrderState::Recording && run.state != OrderState::Sent)
        sendStop(task, run);
}

void InstanceSession::sendStop(const TaskId& task, TrackedRun& run)
{
    if (run.stopUnderWay || !hasAddress())
        return;
    run.stopUnderWay = true;
    run.lastAttemptAt = context_.clock.now();
    context_.control.stop(
        handle(), task, run.run, [self = Self(this), task, number = run.run](const Result<void>& answer) {
            self->onStopAnswered(task, number, answer);
        });
}

void InstanceSession::onStopAnswered(const TaskId& task, std::uint32_t number, const Result<void>& answer)
{
    if (isClosed_)
        return;
    if (!answer && answer.error().code == Errc::Fenced)
        return context_.observer.onFenced(*this);
    if (!answer && answer.error().code == Errc::WrongInstance)
        return context_.observer.onLifeOver(*this, 0);
    if (answer)
        noteAnswer();
    else
        noteFailure(answer.error());
    TrackedRun* run = find(task, number);
    if (!run)
        return;
    run->stopUnderWay = false;
    if (answer)
        run->settledAt = context_.clock.now() + stopAllowance;
    if (answer && !isRenewing_)
        renew();
}

void InstanceSession::acknowledge(std::uint64_t number)
{
    if (isClosed_)
        return;
    acknowledgedEnds_ = std::max(acknowledgedEnds_, number);
    if (!isRenewing_)
        renew();
}

bool InstanceSession::isRenewalDue() const
{
    if (isRenewing_ || isClosed_ || !hasAddress())
        return false;
    const auto sinceLast = context_.clock.now() - renewedAt_;
    if (!isSynced_ || failures_ > 0)
        return sinceLast >= retryInterval;
    if (listedEnds_ > acknowledgedEnds_) // Waits for the log, but the lease goes on.
        return sinceLast >= context_.terms.renewWait;
    return !runs_.empty() || !foreignRuns_.empty() || sinceLast >= context_.terms.idleRenewInterval;
}

void InstanceSession::tick(ControlConfidence confidence)
{
    const Self keep(this);
    if (!runs_.empty() && isLeaseSurelyOver())
        endAll(RunEnd::LeaseExpired);
    if (confidence != ControlConfidence::Lost && isRenewalDue())
        renew();
    const auto now = context_.clock.now();
    std::vector<TaskId> unanswered;
    for (const auto& [task, run] : runs_) {
        if (now - run.lastAttemptAt >= retryInterval && !run.stopUnderWay)
            unanswered.push_back(task);
    }
    for (const auto& task : unanswered) {
        const auto found = runs_.find(task);
        if (found == runs_.end())
            continue;
        TrackedRun& run = found->second;
        const bool mayBeThere = run.state != OrderState::Recording && run.state != OrderState::Sent;
        const bool stopIsSettled = run.settledAt && *run.settledAt > now - stopAllowance;
        if (run.isStopping && mayBeThere && !stopIsSettled)
            sendStop(task, run);
        else if (!run.isStopping && run.state == OrderState::Unanswered && confidence == ControlConfidence::Confirmed)
            sendStart(task, run);
    }
}

void InstanceSession::renew()
{
    isRenewing_ = true;
    renewedAt_ = context_.clock.now();
    fleet::RenewRequest request;
    // After a silence another life may answer, whose ends are numbered anew.
    const bool isSameLife = failures_ == 0 && renewedAt_ - answeredAt_ < restartTime;
    request.acknowledgedEnds = isSameLife ? acknowledgedEnds_ : 0;
    const bool hasRuns = !runs_.empty() || !foreignRuns_.empty();
    if (clock_ && !runs_.empty()) {
        // An instance that does not answer gets no longer lease, so that its runs are over some time.
        if (lastRenewalAnswered_)
            leaseSent_ = std::max(leaseSent_, clockEstimate() + context_.terms.length);
        request.leaseEnd = leaseSent_;
    }
    if (isSynced_ && hasRuns && isSameLife && listedEnds_ == acknowledgedEnds_)
        request.wait = context_.terms.renewWait;
    context_.control.renew(
        handle(), request, [self = Self(this), sentAt = renewedAt_](const Result<RenewAnswer>& answer) {
            self->onRenewed(answer, sentAt);
        });
}

void InstanceSession::onRenewed(const Result<RenewAnswer>& answer, SteadyTime sentAt)
{
    isRenewing_ = false;
    if (isClosed_)
        return;
    const Self keep(this);
    lastRenewalAnswered_ = answer.has_value();
    if (!answer) {
        if (answer.error().code == Errc::WrongInstance)
            return context_.observer.onLifeOver(*this, 0);
        return noteFailure(answer.error());
    }
    if (answer->fenced)
        return context_.observer.onFenced(*this);
    if (answer->born != 0 && report_.life.born != 0 && answer->born != report_.life.born)
        return context_.observer.onLifeOver(*this, answer->born);
    noteClock(answer->clock);
    answeredAt_ = context_.clock.now();
    const bool wasSynced = std::exchange(isSynced_, true);
    // The former controller's lease may last this long; its end is not told.
    if (!wasSynced && !runs_.empty())
        inheritedLeaseEnd_ = answer->clock + context_.terms.longestLease;
    noteAnswer();
    reconcile(*answer, sentAt);
    if (isClosed_)
        return;
    std::uint64_t last = listedEnds_;
    for (const auto& ended : answer->ended)
        last = std::max(last, ended.number);
    if (last > listedEnds_) {
        listedEnds_ = last;
        return context_.observer.onEndsListed(*this, last);
    }
    if (!wasSynced)
        context_.observer.onContactChanged(*this, true, "answers under this controller's token");
    if (!isRenewing_ && isRenewalDue())
        renew();
}

void InstanceSession::reconcile(const RenewAnswer& answer, SteadyTime sentAt)
{
    std::set<TaskId> present;
    foreignRuns_.clear();
    for (const auto& observed : answer.running) {
        TrackedRun* run = find(observed.task, observed.run);
        if (!run) {
            foreignRuns_.insert({ observed.task, observed.run });
            continue;
        }
        present.insert(observed.task);
        run->percent = observed.percent;
        if (run->state == OrderState::Inherited || run->state == OrderState::Unanswered) {
            run->state = OrderState::Started;
            run->settledAt = context_.clock.now();
        }
    }
    for (const auto& ended : answer.ended) {
        if (ended.number > listedEnds_ && find(ended.task, ended.run))
            end(ended.task, ended.how, ended.checkpoint);
    }
    stopForeignRuns();
    if (answer.ended.size() >= fullPageOfEnds)
        return;
    std::vector<TaskId> absent;
    for (const auto& [task, run] : runs_) {
        const bool isSettled = run.state == OrderState::Inherited || (run.settledAt && *run.settledAt < sentAt);
        if (isSettled && !present.count(task))
            absent.push_back(task);
    }
    for (const auto& task : absent)
        end(task, RunEnd::NeverStarted, {});
}

void InstanceSession::stopForeignRuns()
{
    const auto foreign = foreignRuns_;
    for (const auto& [task, number] : foreign) {
        context_.control.stop(
            handle(), task, number, [self = Self(this), task = task, number = number](const Result<void>& answer) {
                self->onStopAnswered(task, number, answer);
            });
    }
}

void InstanceSession::end(const TaskId& task, RunEnd how, const std::string& checkpoint)
{
    const auto found = runs_.find(task);
    if (found == runs_.end())
        return;
    const std::uint32_t number = found->second.run;
    runs_.erase(found);
    context_.observer.onRunEnded(*this, { task, number, how, checkpoint });
}

void InstanceSession::adoptRuns(InstanceSession& earlier)
{
    for (auto& [task, run] : earlier.runs_) {
        if (run.state == OrderState::Recording)
            continue;
        const bool isUnsettled = run.state == OrderState::Sent || run.state == OrderState::Unanswered;
        TrackedRun adopted = run;
        adopted.state = isUnsettled ? OrderState::Unanswered : OrderState::Inherited;
        adopted.isStopping = run.isStopping || isUnsettled;
        adopted.stopUnderWay = false;
        adopted.settledAt.reset();
        adopted.lastAttemptAt = {};
        runs_[task] = std::move(adopted);
    }
    for (const auto& [task, run] : runs_)
        earlier.runs_.erase(task);
    // An end of a lease by the earlier life's clock means nothing to this one, which shortens it to the longest.
    const auto longest = context_.terms.longestLease / context_.terms.slowestClock;
    adoptedLeasesOverAt_ = context_.clock.now() + std::chrono::duration_cast<SteadyTime::duration>(longest);
}

void InstanceSession::endAll(RunEnd how)
{
    std::vector<TaskId> tasks;
    for (const auto& [task, run] : runs_) {
        if (run.state != OrderState::Recording || how == RunEnd::InstanceGone)
            tasks.push_back(task);
    }
    for (const auto& task : tasks)
        end(task, how, {});
}

void InstanceSession::noteClock(InstanceTime clock)
{
    // Answers may overtake each other; the clock never runs back within a life.
    if (clock_ && clock < *clock_)
        return;
    clock_ = clock;
    clockAt_ = context_.clock.now();
}

void InstanceSession::noteAnswer()
{
    const bool wasSilent = failures_ > 0;
    failures_ = 0;
    if (wasSilent && isSynced_)
        context_.observer.onContactChanged(*this, true, "answers again");
}

void InstanceSession::noteFailure(const foundation::Error& error)
{
    if (++failures_ == 1)
        context_.observer.onContactChanged(*this, false, error.message());
}

} // namespace turmericsill::control

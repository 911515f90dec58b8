#include "control/internal/instancesession.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace turmericsill::control {

using fleet::InstanceTime;
using fleet::RenewAnswer;
using fleet::StartAnswer;
using fleet::StartResult;
using foundation::Errc;
using foundation::Result;
using foundation::SteadyTime;
using jobs::RunOutcome;
using jobs::TaskId;

namespace {

    constexpr milliseconds retryInterval { 150 }; ///< Delay between retries of an unanswered call.
    constexpr milliseconds minimumRestartTime { 300 }; ///< A process takes at least this long to restart.
    constexpr std::size_t maximumEndsPerAnswer = 500; ///< The platform lists at most this many ends per answer.
    /// Time after the answer to a stop within which the instance lists the end of the run.
    constexpr milliseconds stopEndAllowance { 700 };
    /// Time from the start order of a run until its instance stops answering within which the run may be the cause. A
    /// crash shows within a round trip on the open connection of the renewal.
    constexpr milliseconds crashOnsetWindow { 150 };
    /// A run that has worked for longer is not the cause of the crash of its instance.
    constexpr milliseconds longestCrashOnset { 5000 };
    /// Time after the latest answer of an instance in which its next incarnation shows that it has crashed.
    constexpr milliseconds crashEvidenceTime { 20000 };

} // namespace

InstanceSession::InstanceSession(fleet::InstanceReport report, SessionContext& context)
    : report_(std::move(report))
    , context_(context)
    , idleSince_(context.clock.now())
{
}

void InstanceSession::reportChange()
{
    if (!std::exchange(isChangeReported_, true))
        context_.observer.onSessionChanged(*this);
}

void InstanceSession::update(fleet::InstanceReport report)
{
    report_ = std::move(report);
    isListed_ = true;
    hasReport_ = true;
    reportChange();
}

void InstanceSession::awaitReport()
{
    hasReport_ = false;
    reportChange();
}

void InstanceSession::setListed(bool isListed)
{
    if (std::exchange(isListed_, isListed) != isListed)
        reportChange();
}

void InstanceSession::insertRun(const TaskId& task, TrackedRun run)
{
    if (const auto known = runs_.find(task); known != runs_.end())
        removeRun(known);
    reserved_ += run.resources;
    shortTaskMilliCores_ += run.isLongRunning ? 0 : run.resources.milliCores;
    context_.startsInProgress += isStartInProgress(run.state);
    idleSince_.reset();
    runs_.emplace(task, std::move(run));
    reportChange();
}

InstanceSession::Runs::iterator InstanceSession::removeRun(Runs::iterator run)
{
    reserved_ -= run->second.resources;
    shortTaskMilliCores_ -= run->second.isLongRunning ? 0 : run->second.resources.milliCores;
    context_.startsInProgress -= isStartInProgress(run->second.state);
    const auto next = runs_.erase(run);
    if (runs_.empty())
        idleSince_ = context_.clock.now();
    reportChange();
    return next;
}

void InstanceSession::setState(TrackedRun& run, OrderState state)
{
    context_.startsInProgress -= isStartInProgress(run.state);
    context_.startsInProgress += isStartInProgress(state);
    run.state = state;
}

jobs::Resources InstanceSession::free() const
{
    jobs::Resources free = report_.capacity;
    free -= reserved_;
    return free;
}

bool InstanceSession::isOvercommitted() const { return !jobs::Resources {}.fitsInto(free()); }

fleet::InstanceHandle InstanceSession::handle() const
{
    return { report_.incarnation.instance, report_.address, context_.epoch, report_.incarnation.startedAt };
}

InstanceTime InstanceSession::clockEstimate() const
{
    const auto elapsed = std::chrono::duration_cast<milliseconds>(context_.clock.now() - clockReadAt_);
    return clock_ ? *clock_ + elapsed : InstanceTime(0);
}

// The clock of the instance was read before the answer arrived and has since advanced at least at the slowest rate.
InstanceTime InstanceSession::longestLease() const
{
    const auto elapsed = std::max(context_.leaseLimit.leaseLimit(), clockReadAt_) - clockReadAt_;
    const auto advance = std::chrono::duration<double, std::milli>(elapsed) * context_.leaseTerms.slowestClockRate;
    return clock_.value_or(InstanceTime(0)) + std::chrono::floor<milliseconds>(advance);
}

// The latest time at which the clock of the instance shows `time`, and its runs have been killed if their lease ended
// then.
SteadyTime InstanceSession::latestTimeOf(InstanceTime time) const
{
    const std::chrono::duration<double, std::milli> remaining
        = time + context_.leaseTerms.expiryMargin - clock_.value_or(InstanceTime(0));
    return clockReadAt_ + std::chrono::ceil<SteadyTime::duration>(remaining / context_.leaseTerms.slowestClockRate);
}

LeaseExpiry InstanceSession::leaseExpiry() const
{
    LeaseExpiry inherited { context_.former.leasesExpiredAt(), LeaseBound::FormerControllers };
    LeaseExpiry expiry { SteadyTime::min(), LeaseBound::OwnLease };
    if (clock_) {
        expiry.at = latestTimeOf(sentLeaseEnd_);
        inherited.at = std::min(inherited.at, latestTimeOf(inheritedLeaseEnd_));
    }
    if (inherited.at > expiry.at)
        expiry = inherited;
    // A call of an earlier version, or one that was carried out late, may have reached this incarnation.
    if (earlierLeasesExpiredAt_ > expiry.at)
        expiry = { earlierLeasesExpiredAt_, LeaseBound::EarlierIncarnation };
    return expiry;
}

void InstanceSession::track(
    const TaskId& task, std::uint32_t run, const jobs::Resources& resources, bool isLongRunning, bool isInherited)
{
    TrackedRun tracked;
    tracked.run = run;
    tracked.resources = resources;
    tracked.isLongRunning = isLongRunning;
    tracked.state = isInherited ? OrderState::Inherited : OrderState::IntentPending;
    tracked.trackedAt = context_.clock.now();
    insertRun(task, std::move(tracked));
    if (!isInherited)
        confirmIncarnation();
}

// An instance without runs is rarely called, and one that has left a call unanswered may have ended. An incarnation of
// another kind may have taken its place.
void InstanceSession::confirmIncarnation()
{
    const bool isRecentlyCalled = isRenewing_ || context_.clock.now() - lastAnswerAt_ <= minimumRestartTime;
    if (isClosed_ || !hasAddress() || (isRecentlyCalled && !isIncarnationInDoubt_))
        return;
    isConfirming_ = true;
    if (!isRenewing_)
        renew();
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
    // The instance may have shrunk since the task was placed.
    if (run.isStopping || isOvercommitted())
        return end(task, RunOutcome::NeverStarted, {});
    run.order = { task, run.run, std::move(payload), std::move(checkpoint), std::move(ticket), InstanceTime(0) };
    confirmIncarnation();
    run.isOrderHeld = isConfirming_;
    if (!run.isOrderHeld)
        sendStart(task, run);
}

std::vector<TaskId> InstanceSession::takeHeldOrders()
{
    std::vector<TaskId> held;
    for (auto& [task, run] : runs_) {
        if (std::exchange(run.isOrderHeld, false))
            held.push_back(task);
    }
    return held;
}

void InstanceSession::sendHeldOrders()
{
    for (const auto& task : takeHeldOrders()) {
        const auto found = runs_.find(task);
        if (isClosed_ || found == runs_.end())
            continue;
        if (found->second.isStopping || isOvercommitted())
            end(task, RunOutcome::NeverStarted, {});
        else
            sendStart(task, found->second);
    }
}

void InstanceSession::endHeldOrders()
{
    for (const auto& task : takeHeldOrders())
        end(task, RunOutcome::NeverStarted, {});
}

void InstanceSession::sendStart(const TaskId& task, TrackedRun& run)
{
    setState(run, OrderState::Sent);
    run.lastAttemptAt = context_.clock.now();
    if (consecutiveFailures_ == 0)
        run.orderedAt = context_.clock.now();
    // As in renew(), the lease of an instance that does not answer is not extended.
    if (consecutiveFailures_ == 0)
        sentLeaseEnd_
            = std::max(sentLeaseEnd_, std::min(longestLease(), clockEstimate() + context_.leaseTerms.startDuration));
    run.order.leaseEnd = std::min(sentLeaseEnd_, clockEstimate() + context_.leaseTerms.startDuration);
    context_.control.start(handle(), run.order,
        [self = Self(this), task, number = run.run, sentAt = run.lastAttemptAt](
            const Result<StartAnswer>& answer) { self->onStartAnswered(task, number, answer, sentAt); });
}

void InstanceSession::onStartAnswered(
    const TaskId& task, std::uint32_t number, const Result<StartAnswer>& answer, SteadyTime sentAt)
{
    if (isClosed_)
        return;
    if (!answer && answer.error().code == Errc::WrongInstance)
        return context_.observer.onIncarnationEnded(*this, 0);
    TrackedRun* run = find(task, number);
    if (answer) {
        recordAnswer();
        if (answer->clock)
            updateClock(*answer->clock);
        if (run)
            onStartResult(task, *run, answer->result);
        return;
    }
    recordFailure(answer.error(), sentAt);
    if (!run)
        return;
    if (answer.error().code == Errc::Unavailable && !run->hadUnansweredOrder)
        return end(task, RunOutcome::NeverStarted, {});
    setState(*run, OrderState::Unanswered);
    run->unansweredSince = context_.clock.now();
    run->hadUnansweredOrder = true;
}

void InstanceSession::onStartResult(const TaskId& task, TrackedRun& run, StartResult result)
{
    switch (result) {
    case StartResult::Started:
        confirmStart(task, run);
        run.order.payload.clear();
        if (run.isStopping)
            return sendStop(task, run);
        // While listed ends are being appended, their acknowledgement renews the lease soon.
        if (isRenewalDue())
            renew();
        return;
    case StartResult::Fenced:
        return context_.observer.onFenced(*this);
    case StartResult::Superseded:
        // An earlier copy of the order was carried out, and its run has ended; the next renewal lists the end. A run
        // that was stopped before its order arrived has not started.
        if (!run.isStopping)
            return confirmStart(task, run);
        setState(run, OrderState::Started);
        run.settledAt = context_.clock.now();
        return;
    case StartResult::LeaseExpired:
        // The clock estimate was stale; this answer has corrected it.
        setState(run, OrderState::Unanswered);
        run.unansweredSince = context_.clock.now();
        return;
    case StartResult::InsufficientResources:
    case StartResult::TicketInvalid:
    case StartResult::Invalid:
    case StartResult::Unhealthy:
        break;
    }
    const Self keepAlive(this);
    context_.observer.onStartRefused(*this, task, result);
    if (!run.hadUnansweredOrder)
        return end(task, RunOutcome::NeverStarted, {});
    // The earlier copy of the order may still be carried out.
    setState(run, OrderState::Unanswered);
    run.unansweredSince = context_.clock.now();
    run.isStopping = true;
    sendStop(task, run);
}

void InstanceSession::confirmStart(const TaskId& task, TrackedRun& run)
{
    setState(run, OrderState::Started);
    run.settledAt = context_.clock.now();
    context_.observer.onRunStarted(*this, task);
}

void InstanceSession::requestStop(const TaskId& task, bool isPlanned)
{
    const auto found = runs_.find(task);
    if (found == runs_.end() || found->second.isStopping)
        return;
    TrackedRun& run = found->second;
    run.isStopping = true;
    run.isPlannedStop = isPlanned;
    if (!isStartInProgress(run.state))
        sendStop(task, run);
}

void InstanceSession::sendStop(const TaskId& task, TrackedRun& run)
{
    if (run.isStopCallPending || !hasAddress())
        return;
    run.isStopCallPending = true;
    run.lastAttemptAt = context_.clock.now();
    context_.control.stop(handle(), task, run.run,
        [self = Self(this), task, number = run.run, sentAt = run.lastAttemptAt](
            const Result<void>& answer) { self->onStopAnswered(task, number, answer, sentAt); });
}

void InstanceSession::onStopAnswered(
    const TaskId& task, std::uint32_t number, const Result<void>& answer, SteadyTime sentAt)
{
    if (isClosed_)
        return;
    if (!answer && answer.error().code == Errc::Fenced)
        return context_.observer.onFenced(*this);
    if (!answer && answer.error().code == Errc::WrongInstance)
        return context_.observer.onIncarnationEnded(*this, 0);
    if (answer)
        recordAnswer();
    else
        recordFailure(answer.error(), sentAt);
    TrackedRun* run = find(task, number);
    if (!run)
        return;
    run->isStopCallPending = false;
    // The instance does what the first stop orders; an answer to a repeated one must not put the moment off.
    if (answer && !std::exchange(run->isStopAnswered, true))
        run->settledAt = context_.clock.now() + stopEndAllowance;
    if (answer && isRenewalDue())
        renew();
}

void InstanceSession::acknowledgeEnds(std::uint64_t number)
{
    if (isClosed_)
        return;
    lastAcknowledgedEnd_ = std::max(lastAcknowledgedEnd_, number);
    if (!isRenewing_)
        renew();
}

bool InstanceSession::isRenewalDue() const
{
    if (isRenewing_ || isClosed_ || !hasAddress())
        return false;
    const auto sinceLast = context_.clock.now() - lastRenewalAt_;
    if (!isSynced_ || consecutiveFailures_ > 0 || isIncarnationInDoubt_)
        return sinceLast >= retryInterval;
    // While the ends are being appended to the log, the lease is still renewed.
    if (lastListedEnd_ > lastAcknowledgedEnd_)
        return sinceLast >= context_.leaseTerms.renewalWait;
    // An order for the earlier incarnation may still be carried out late.
    const bool mayStartUnexpectedly = context_.clock.now() <= earlierLeasesExpiredAt_;
    const auto idleInterval
        = mayStartUnexpectedly ? context_.leaseTerms.renewalWait : context_.leaseTerms.idleRenewInterval;
    return !runs_.empty() || !unexpectedRuns_.empty() || sinceLast >= idleInterval;
}

void InstanceSession::tick(ControlStatus status)
{
    const Self keepAlive(this);
    if (!runs_.empty() && context_.clock.now() > leaseExpiry().at)
        endAll(RunOutcome::LeaseExpired);
    if (status != ControlStatus::Lost && isRenewalDue())
        renew();
    const auto now = context_.clock.now();
    std::vector<TaskId> due;
    for (const auto& [task, run] : runs_) {
        if (now - run.lastAttemptAt >= retryInterval && !run.isStopCallPending)
            due.push_back(task);
    }
    for (const auto& task : due) {
        const auto found = runs_.find(task);
        if (found == runs_.end())
            continue;
        TrackedRun& run = found->second;
        const bool isPossiblyRunning = !isStartInProgress(run.state);
        const bool canRepeat = status == ControlStatus::Confirmed && !isIncarnationInDoubt_;
        const auto stopAttemptedAt = run.isStopAnswered ? run.lastAttemptAt : run.settledAt.value_or(SteadyTime {});
        const auto stopInterval = run.isStopAnswered ? 2 * stopEndAllowance : stopEndAllowance;
        const bool isStopSettled = stopAttemptedAt > now - stopInterval;
        if (run.isStopping && isPossiblyRunning && !isStopSettled)
            sendStop(task, run);
        else if (!run.isStopping && run.state == OrderState::Unanswered && canRepeat)
            repeatStart(task, run);
    }
}

// An instance that has shrunk gets no order again. If it does not list the run, the run is stopped, since the earlier
// order may still arrive.
void InstanceSession::repeatStart(const TaskId& task, TrackedRun& run)
{
    if (!isOvercommitted())
        return sendStart(task, run);
    if (run.unansweredSince < lastAnsweredRenewalSentAt_)
        requestStop(task, false);
}

void InstanceSession::renew()
{
    isRenewing_ = true;
    lastRenewalAt_ = context_.clock.now();
    fleet::RenewRequest request;
    // After a longer silence the renewal has to reach a new incarnation as well, so it acknowledges no ends.
    const bool isSameIncarnation
        = consecutiveFailures_ == 0 && lastRenewalAt_ - lastRenewalAnswerAt_ < minimumRestartTime;
    request.acknowledgedEnds = isSameIncarnation ? lastAcknowledgedEnd_ : 0;
    const bool hasRuns = !runs_.empty() || !unexpectedRuns_.empty();
    // The lease of an instance that does not answer is not extended, so that its runs end at a known time. A renewal
    // with a lease end would not reach the next incarnation either, and so not tell of it.
    if (clock_ && !runs_.empty() && !isIncarnationInDoubt_) {
        sentLeaseEnd_ = std::max(sentLeaseEnd_, longestLease());
        request.leaseEnd = sentLeaseEnd_;
    }
    const bool canWait = isSynced_ && hasRuns && isSameIncarnation && !isIncarnationInDoubt_;
    if (canWait && lastListedEnd_ == lastAcknowledgedEnd_)
        request.wait = context_.leaseTerms.renewalWait;
    context_.control.renew(
        handle(), request, [self = Self(this), sentAt = lastRenewalAt_](const Result<RenewAnswer>& answer) {
            self->onRenewed(answer, sentAt);
        });
}

void InstanceSession::onRenewed(const Result<RenewAnswer>& answer, SteadyTime sentAt)
{
    isRenewing_ = false;
    isConfirming_ = false;
    if (isClosed_)
        return;
    const Self keepAlive(this);
    if (!answer) {
        if (answer.error().code == Errc::WrongInstance)
            return context_.observer.onIncarnationEnded(*this, 0);
        recordFailure(answer.error(), sentAt);
        return endHeldOrders();
    }
    if (answer->isFenced)
        return context_.observer.onFenced(*this);
    if (answer->startedAt != 0 && report_.incarnation.startedAt != 0
        && answer->startedAt != report_.incarnation.startedAt)
        return context_.observer.onIncarnationEnded(*this, answer->startedAt);
    isIncarnationInDoubt_ = false;
    updateClock(answer->clock);
    lastRenewalAnswerAt_ = context_.clock.now();
    lastAnsweredRenewalSentAt_ = sentAt;
    const bool wasSynced = std::exchange(isSynced_, true);
    if (!wasSynced)
        reportChange();
    // The answer does not tell when the former controller's lease ends; this is the latest possible time. It may last
    // although the runs that it was granted for have ended.
    if (!wasSynced)
        inheritedLeaseEnd_ = answer->clock + context_.leaseTerms.maximumLease;
    recordAnswer();
    reconcile(*answer, sentAt);
    sendHeldOrders();
    if (isClosed_)
        return;
    std::uint64_t last = lastListedEnd_;
    for (const auto& ended : answer->ended)
        last = std::max(last, ended.number);
    if (last > lastListedEnd_) {
        lastListedEnd_ = last;
        return context_.observer.onEndsListed(*this, last);
    }
    if (!wasSynced)
        context_.observer.onContactChanged(*this, true, "answered a renewal under this controller's token");
    if (!isRenewing_ && isRenewalDue())
        renew();
}

void InstanceSession::reconcile(const RenewAnswer& answer, SteadyTime sentAt)
{
    std::set<TaskId> present;
    const bool hadUnexpectedRuns = !unexpectedRuns_.empty();
    unexpectedRuns_.clear();
    for (const auto& observed : answer.running) {
        TrackedRun* run = find(observed.task, observed.run);
        if (!run) {
            unexpectedRuns_.insert({ observed.task, observed.run });
            continue;
        }
        present.insert(observed.task);
        run->percent = observed.percent;
        if (std::exchange(run->isAdopted, false))
            context_.observer.onEarlierOrderFound(*this, observed.task);
        if (run->state == OrderState::Inherited || run->state == OrderState::Unanswered)
            confirmStart(observed.task, *run);
    }
    for (const auto& ended : answer.ended) {
        if (ended.number > lastListedEnd_ && find(ended.task, ended.run))
            end(ended.task, ended.outcome, ended.checkpoint);
    }
    if (hadUnexpectedRuns == unexpectedRuns_.empty())
        reportChange();
    stopUnexpectedRuns();
    if (answer.ended.size() >= maximumEndsPerAnswer)
        return;
    std::vector<TaskId> absent;
    for (const auto& [task, run] : runs_) {
        const bool isSettled = run.state == OrderState::Inherited || (run.settledAt && *run.settledAt < sentAt);
        if (isSettled && !present.count(task))
            absent.push_back(task);
    }
    for (const auto& task : absent)
        end(task, RunOutcome::NeverStarted, {});
}

void InstanceSession::stopUnexpectedRuns()
{
    const auto unexpected = unexpectedRuns_;
    for (const auto& [task, number] : unexpected) {
        context_.control.stop(handle(), task, number,
            [self = Self(this), task = task, number = number, sentAt = context_.clock.now()](
                const Result<void>& answer) { self->onStopAnswered(task, number, answer, sentAt); });
    }
}

void InstanceSession::end(const TaskId& task, RunOutcome outcome, const std::string& checkpoint)
{
    const auto found = runs_.find(task);
    if (found == runs_.end())
        return;
    const std::uint32_t number = found->second.run;
    removeRun(found);
    context_.observer.onRunEnded(*this, { task, number, outcome, checkpoint });
}

void InstanceSession::adoptRuns(InstanceSession& earlier)
{
    for (auto& [task, run] : earlier.runs_) {
        if (run.state == OrderState::IntentPending)
            continue;
        const bool isUnsettled = run.state == OrderState::Sent || run.state == OrderState::Unanswered;
        TrackedRun adopted = run;
        adopted.state = isUnsettled ? OrderState::Unanswered : OrderState::Inherited;
        adopted.isStopping = run.isStopping || isUnsettled;
        adopted.isAdopted = true;
        adopted.isStopCallPending = false;
        adopted.isStopAnswered = false;
        adopted.settledAt.reset();
        adopted.lastAttemptAt = {};
        insertRun(task, std::move(adopted));
    }
    for (const auto& [task, run] : runs_) {
        if (const auto moved = earlier.runs_.find(task); moved != earlier.runs_.end())
            earlier.removeRun(moved);
    }
    // Lease ends by the clock of the earlier incarnation mean nothing to this one, which cuts them to the longest
    // lease.
    allowForEarlierLeases(context_.clock.now() + context_.leaseTerms.longestRunTime());
}

bool InstanceSession::hasUnexpectedRuns() const
{
    return !unexpectedRuns_.empty() && context_.clock.now() - lastRenewalAnswerAt_ < context_.leaseTerms.maximumLease;
}

bool InstanceSession::awaitsCrashEvidence() const
{
    return !expiredRuns_.empty() && context_.clock.now() - unansweredSince_ < crashEvidenceTime;
}

// Without a failed call it is not known when the instance crashed, only that it was before the latest answer. A run
// that it did not confirm need not have reached it then.
std::vector<jobs::CrashedRun> InstanceSession::runsAtCrash() const
{
    const bool isTimeKnown = consecutiveFailures_ > 0;
    const auto crashedAt = isTimeKnown ? unansweredSince_ : context_.clock.now();
    std::vector<jobs::CrashedRun> crashed;
    for (const Runs* runs : { &runs_, &expiredRuns_ }) {
        for (const auto& [task, run] : *runs) {
            const bool isConfirmed = run.state == OrderState::Started;
            const bool isPossiblyAtWork = isConfirmed || run.state == OrderState::Inherited
                || (isTimeKnown && run.orderedAt && *run.orderedAt <= crashedAt);
            if (run.state == OrderState::IntentPending || !isPossiblyAtWork)
                continue;
            const bool hasEndured = isConfirmed && crashedAt - run.trackedAt > longestCrashOnset;
            const bool hasJustStarted = run.orderedAt && crashedAt - *run.orderedAt <= crashOnsetWindow;
            crashed.push_back({ task, run.run, isConfirmed, isTimeKnown && hasJustStarted && !hasEndured, hasEndured });
        }
    }
    return crashed;
}

void InstanceSession::endAll(RunOutcome outcome)
{
    std::vector<TaskId> tasks;
    for (const auto& [task, run] : runs_) {
        if (run.state != OrderState::IntentPending || outcome == RunOutcome::InstanceGone)
            tasks.push_back(task);
    }
    for (const auto& task : tasks) {
        if (outcome == RunOutcome::LeaseExpired && consecutiveFailures_ > 0)
            expiredRuns_[task] = runs_.at(task);
        end(task, outcome, {});
    }
}

void InstanceSession::updateClock(InstanceTime clock)
{
    // Answers may arrive out of order; the clock never goes back within an incarnation.
    if (clock_ && clock < *clock_)
        return;
    clock_ = clock;
    clockReadAt_ = context_.clock.now();
}

void InstanceSession::recordAnswer()
{
    const bool wasUnreachable = consecutiveFailures_ > 0;
    consecutiveFailures_ = 0;
    lastAnswerAt_ = context_.clock.now();
    expiredRuns_.clear();
    if (wasUnreachable)
        reportChange();
    if (wasUnreachable && isSynced_)
        context_.observer.onContactChanged(*this, true, "answers again");
}

// A connection that breaks shows a crash at once, a timeout long after it.
void InstanceSession::recordFailure(const foundation::Error& error, SteadyTime sentAt)
{
    isIncarnationInDoubt_ = true;
    if (++consecutiveFailures_ != 1)
        return;
    unansweredSince_ = error.code == Errc::Timeout ? std::max(sentAt, lastAnswerAt_) : context_.clock.now();
    reportChange();
    context_.observer.onContactChanged(*this, false, error.message());
}

} // namespace turmericsill::control

#include "scheduling/rackwaits.h"

#include "scheduling/jobobjective.h"

#include <algorithm>

namespace turmericsill::scheduling {

using foundation::SteadyTime;

namespace {

    /// Bounds on the work and the memory of a plan. Steps beyond them start elsewhere at once.
    constexpr std::size_t maximumWaits = 500;
    constexpr std::size_t maximumSlotLists = 32; ///< Each costs a look at all runs of a rack.

    /// Number of waits after which it is decided whether waits pay. Fewer would let a single bad one decide.
    constexpr std::uint32_t outcomesPerDecision = 8;
    constexpr milliseconds pauseDuration { 10000 }; ///< Bounds the loss by waits in vain to a small part of the time.

    constexpr std::string_view placedReason = "placed";
    constexpr std::string_view deadlineReason = "slot-overdue";
    constexpr std::string_view obsoleteReason = "step-obsolete";

    milliseconds toMilliseconds(SteadyTime::duration time) { return std::chrono::duration_cast<milliseconds>(time); }

    bool isUsable(const IndexedInstance& instance, const WaitingStep& waiting)
    {
        const fleet::InstanceReport& report = *instance.view.report;
        const bool hasLabel = waiting.requiredLabel.empty() || report.hasLabel(waiting.requiredLabel);
        return hasLabel && !instance.view.isOnProbation && waiting.need.fitsInto(report.capacity);
    }

    /// Number of slots for a need that other needs take, rounded up.
    std::size_t slotsTaken(const jobs::Resources& need, const jobs::Resources& others)
    {
        std::int64_t result = 0;
        const auto count = [&result](std::int64_t needed, std::int64_t taken) {
            if (needed > 0)
                result = std::max(result, (taken + needed - 1) / needed);
        };
        count(need.milliCores, others.milliCores);
        count(need.memoryMb, others.memoryMb);
        count(need.accelerators, others.accelerators);
        return static_cast<std::size_t>(std::max(std::int64_t(0), result));
    }

} // namespace

std::string_view toText(WaitOutcome outcome)
{
    switch (outcome) {
    case WaitOutcome::Local:
        return "local";
    case WaitOutcome::Remote:
        return "remote";
    case WaitOutcome::Ended:
        return "ended";
    }
    return "unknown";
}

void RackWaits::beginPlan(SteadyTime now)
{
    now_ = now;
    ++plan_;
    if (!firstPlanAt_)
        firstPlanAt_ = now;
    while (isDue(now)) {
        const StepId id = deadlines_.begin()->second;
        end(id, waits_.at(id), deadlineReason);
    }
    slots_.clear();
    ahead_.clear();
    for (const auto& [until, id] : deadlines_) {
        const Wait& wait = waits_.at(id);
        ahead_[wait.rack] += wait.need * wait.tasks;
    }
}

bool RackWaits::isWaiting(const RackRequest& request)
{
    const auto known = waits_.find(request.waiting.id);
    if (known == waits_.end())
        return begin(request);
    Wait& wait = known->second;
    if (!wait.endReason.empty())
        return false;
    if (request.position < wait.tasks)
        return keepsWaiting(known->first, wait, request);
    if (wait.firstPlan != plan_)
        return false;
    // One more task of a step that has begun to wait in this plan.
    const PlacementWaitDecision decision = decide(request, wait.readySince, ahead_[request.rack]);
    if (!decision.isWaiting)
        return false;
    deadlines_.erase({ wait.until, known->first });
    wait.until = std::max(wait.until, decision.until);
    wait.expectedAt = std::max(wait.expectedAt, decision.expectedAt);
    wait.tasks += request.count;
    ahead_[request.rack] += wait.need * request.count;
    deadlines_.emplace(wait.until, known->first);
    return true;
}

const std::string* RackWaits::findRack(const StepId& id) const
{
    const auto known = waits_.find(id);
    return known == waits_.end() || !known->second.endReason.empty() ? nullptr : &known->second.rack;
}

// The decision stands until its time comes, even if the runs that it relies on overrun their estimates; the safety
// factor allows for that. It is reconsidered when the rack has lost an instance.
bool RackWaits::keepsWaiting(const StepId& id, Wait& wait, const RackRequest& request)
{
    const auto& rack = request.instances.instances(wait.rack);
    const std::size_t formerSize = std::exchange(wait.rackSize, rack.size());
    if (rack.size() >= formerSize)
        return true;
    jobs::Resources ahead = ahead_[wait.rack];
    ahead -= wait.need * wait.tasks;
    const RackRequest all { request.instances, request.waiting, request.job, wait.rack, 0, wait.tasks };
    const PlacementWaitDecision decision = decide(all, wait.readySince, ahead);
    if (!decision.isWaiting) {
        end(id, wait, toText(decision.reason));
        return false;
    }
    deadlines_.erase({ wait.until, id });
    wait.until = std::min(wait.until, decision.until);
    deadlines_.emplace(wait.until, id);
    return true;
}

bool RackWaits::begin(const RackRequest& request)
{
    if (now_ < pausedUntil_ || deadlines_.size() >= maximumWaits)
        return false;
    const SteadyTime ready = readySince(request, findTimes_(request.job));
    const PlacementWaitDecision decision = decide(request, ready, ahead_[request.rack]);
    if (!decision.isWaiting)
        return false;
    const std::chrono::duration<double, std::milli> duration
        = taskDuration(request.job.spec.steps[request.waiting.id.step]);
    Wait wait;
    wait.rack = request.rack;
    wait.need = request.waiting.need;
    wait.tasks = request.count;
    wait.readySince = ready;
    wait.begunAt = now_;
    wait.until = decision.until;
    wait.expectedAt = decision.expectedAt;
    wait.gainPerTask = std::chrono::duration_cast<milliseconds>(duration * (remoteSlowdown_ - 1));
    wait.rackSize = request.instances.instances(request.rack).size();
    wait.firstPlan = plan_;
    ahead_[request.rack] += wait.need * wait.tasks;
    deadlines_.emplace(wait.until, request.waiting.id);
    waits_.emplace(request.waiting.id, std::move(wait));
    return true;
}

PlacementWaitDecision RackWaits::decide(const RackRequest& request, SteadyTime readySince, const jobs::Resources& ahead)
{
    const auto& rack = request.instances.instances(request.rack);
    PlacementWaitInput input;
    input.now = now_;
    input.waitingSince = readySince;
    input.latestStart = findTimes_(request.job).latestStart;
    input.duration = request.job.spec.steps[request.waiting.id.step].estimatedDuration;
    input.remoteSlowdown = remoteSlowdown_;
    input.isRackUsable = std::any_of(rack.begin(), rack.end(),
        [&](const IndexedInstance* instance) { return isUsable(*instance, request.waiting); });
    input.expectedSlots = input.isRackUsable ? expectedSlots(request) : nullptr;
    input.slotsAhead = slotsTaken(request.waiting.need, ahead) + request.count - 1;
    return decidePlacementWait(input);
}

// A step that was ready under a former controller may have waited there, and a former controller is not asked. So the
// time counts from the submission for every job that is older than this controller's first plan.
SteadyTime RackWaits::readySince(const RackRequest& request, const JobTimes& times) const
{
    const bool isReadyAtSubmission
        = request.job.spec.steps[request.waiting.id.step].dependsOn.empty() && !request.job.isScheduled();
    return isReadyAtSubmission || times.submittedAt <= *firstPlanAt_ ? std::min(now_, times.submittedAt) : now_;
}

RackWaits::SlotKey RackWaits::slotKey(const RackRequest& request)
{
    const jobs::Resources& need = request.waiting.need;
    return { request.rack, request.waiting.requiredLabel, need.milliCores, need.memoryMb, need.accelerators };
}

// Returns null if too many lists were made for this plan.
const RackWaits::Slots* RackWaits::expectedSlots(const RackRequest& request)
{
    const SlotKey key = slotKey(request);
    if (const auto known = slots_.find(key); known != slots_.end())
        return &known->second;
    if (slots_.size() >= maximumSlotLists)
        return nullptr;
    Slots& slots = slots_[key];
    for (const IndexedInstance* instance : request.instances.instances(request.rack)) {
        if (isUsable(*instance, request.waiting))
            addExpectedSlots(instance->view, request.waiting.need, now_, now_ + maximumPlacementWait, slots);
    }
    std::sort(slots.begin(), slots.end());
    return &slots;
}

void RackWaits::onPlaced(const StepId& id, bool isOnRack)
{
    const auto known = waits_.find(id);
    if (known == waits_.end() || known->second.isReported || known->second.firstPlan == plan_)
        return;
    ++(isOnRack ? known->second.localStarts : known->second.remoteStarts);
    placed_.insert(id);
}

void RackWaits::update(const jobs::Job& job)
{
    if (job.isFinal())
        return remove(job.id);
    for (auto wait = waits_.lower_bound({ job.id, 0, 0 }); wait != waits_.end() && wait->first.job == job.id;) {
        const auto occurrence = job.occurrences.find(wait->first.occurrence);
        const bool isDone = occurrence == job.occurrences.end() || occurrence->second.isStepDone(wait->first.step);
        wait = isDone ? drop(wait) : std::next(wait);
    }
}

void RackWaits::remove(jobs::JobId job)
{
    for (auto wait = waits_.lower_bound({ job, 0, 0 }); wait != waits_.end() && wait->first.job == job;)
        wait = drop(wait);
}

RackWaits::Waits::iterator RackWaits::drop(Waits::iterator wait)
{
    if (wait->second.endReason.empty())
        end(wait->first, wait->second, obsoleteReason);
    if (!wait->second.isReported)
        report(wait->first, wait->second, WaitOutcome::Ended);
    placed_.erase(wait->first);
    return waits_.erase(wait);
}

void RackWaits::end(const StepId& id, Wait& wait, std::string_view reason)
{
    deadlines_.erase({ wait.until, id });
    wait.endReason = reason;
    wait.until = std::min(wait.until, std::max(wait.begunAt, now_));
}

void RackWaits::report(const StepId& id, Wait& wait, WaitOutcome outcome)
{
    wait.isReported = true;
    EndedWait ended;
    ended.step = id;
    ended.rack = wait.rack;
    ended.outcome = outcome;
    ended.endReason = wait.endReason;
    ended.waited = toMilliseconds(wait.until - wait.begunAt);
    ended.waitedSinceReady = toMilliseconds(wait.until - wait.readySince);
    ended.expected = toMilliseconds(wait.expectedAt - wait.begunAt);
    ended.localStarts = wait.localStarts;
    ended.remoteStarts = wait.remoteStarts;
    ended.gain = wait.gainPerTask * wait.localStarts - ended.waited * (wait.localStarts + wait.remoteStarts);
    ended.causesPause = countOutcome(ended);
    ended_.push_back(std::move(ended));
}

// Returns whether waits pause because of the latest outcomes. Whatever the cause, for example estimates that are far
// too short or other tasks that take the slots, the next waits after the pause show whether it persists.
bool RackWaits::countOutcome(const EndedWait& wait)
{
    if (wait.outcome == WaitOutcome::Ended)
        return false;
    recentGain_ += wait.gain;
    if (++recentOutcomes_ < outcomesPerDecision)
        return false;
    const bool haveLost = recentGain_ < milliseconds(0);
    if (haveLost)
        pausedUntil_ = now_ + pauseDuration;
    recentOutcomes_ = 0;
    recentGain_ = milliseconds(0);
    return haveLost;
}

std::vector<EndedWait> RackWaits::takeEnded()
{
    for (const StepId& id : std::exchange(placed_, {})) {
        Wait& wait = waits_.at(id);
        if (wait.localStarts + wait.remoteStarts < wait.tasks)
            continue;
        if (wait.endReason.empty())
            end(id, wait, placedReason);
        report(id, wait, wait.remoteStarts == 0 ? WaitOutcome::Local : WaitOutcome::Remote);
    }
    return std::exchange(ended_, {});
}

} // namespace turmericsill::scheduling

#include "maintenance/poolcontroller.h"

#include "foundation/hash.h"

#include <algorithm>
#include <glog/logging.h>
#include <utility>

namespace turmericsill::maintenance {

using fleetlog::AppendOutcome;
using fleetstate::DrainPurpose;
using fleetstate::InstanceState;
using fleetstate::Lifecycle;
using fleetstate::PoolState;
using foundation::milliseconds;

namespace {

    constexpr milliseconds tickInterval { 200 };
    constexpr milliseconds claimRetryInterval { 2000 }; ///< Minimum time between two claims of the same pool.
    constexpr milliseconds pollInterval { 200 };
    constexpr milliseconds retryInterval { 1000 };

    const char* phaseName(DrainStateMachine::Phase phase)
    {
        switch (phase) {
        case DrainStateMachine::Phase::Waiting:
            return "waiting";
        case DrainStateMachine::Phase::Stopping:
            return "stopping";
        case DrainStateMachine::Phase::Rebooting:
        case DrainStateMachine::Phase::Polling:
            return "rebooting";
        case DrainStateMachine::Phase::Returning:
            return "returning";
        }
        return "";
    }

} // namespace

PoolController::PoolController(std::string entry, platform::IInstanceManager& instanceManager, fleetlog::IFleetLog& log,
    foundation::ITimerQueue& timers, const foundation::IClock& clock)
    : entry_(std::move(entry))
    , instanceManager_(instanceManager)
    , log_(log)
    , timers_(timers)
    , clock_(clock)
{
}

void PoolController::start() { tick(); }

void PoolController::tick()
{
    step();
    timers_.schedule(clock_.now() + tickInterval, [this] { tick(); });
}

void PoolController::onState(const fleetlog::StateUpdate& update)
{
    update_ = update;
    step();
}

void PoolController::onMembershipView(const membership::MembershipView& view)
{
    membershipView_ = view;
    step();
}

// Callbacks from the log or the platform may call step() recursively; the outer call then handles their effects.
void PoolController::step()
{
    if (!update_.state || !update_.caughtUp || isStepping_)
        return;
    isStepping_ = true;
    claimPools();
    const fleetstate::FleetStatePtr state = update_.state;
    for (const auto& [name, pool] : state->pools) {
        if (isHolderOf(pool->claim))
            updateDrains(name, *pool);
    }
    for (auto drain = drains_.begin(); drain != drains_.end();) {
        auto pool = state->findPool(drain->second->pool);
        const bool ended = !pool || !isHolderOf(pool->claim) || pool->outOfService.count(drain->first) == 0;
        drain = ended ? drains_.erase(drain) : std::next(drain);
    }
    isStepping_ = false;
}

bool PoolController::isHolderOf(const fleetstate::Claim& claim) const
{
    const auto self = membershipView_.members.find(entry_);
    return claim.holder == entry_ && self != membershipView_.members.end()
        && self->second.incarnation == claim.incarnation && clock_.now() < membershipView_.leaseExpiry;
}

// Claims only pools whose holder has departed, so that a mere pause of a holder moves no claim.
void PoolController::claimPools()
{
    const auto self = update_.state->roster.find(entry_);
    const auto selfProgress = membershipView_.members.find(entry_);
    if (self == update_.state->roster.end() || !self->second.admitted || selfProgress == membershipView_.members.end()
        || selfProgress->second.incarnation != self->second.incarnation)
        return;
    const std::vector<std::string> admitted = update_.state->admittedEntries();
    for (const auto& [name, pool] : update_.state->pools) {
        if (update_.state->isClaimHeld(pool->claim) || foundation::rendezvousOwner(name, admitted) != entry_)
            continue;
        auto& lastAttempt = lastClaimAttempts_[name];
        if (lastAttempt != foundation::SteadyTime {} && clock_.now() - lastAttempt < claimRetryInterval)
            continue;
        lastAttempt = clock_.now();
        log_.submit(fleetstate::PoolClaim { name, entry_, self->second.incarnation, pool->claim.epoch },
            [this](
                AppendOutcome outcome, const std::string&) { counters_.claims += outcome == AppendOutcome::Accepted; });
    }
}

void PoolController::updateDrains(const std::string& poolName, const PoolState& pool)
{
    for (const auto& [name, instance] : pool.outOfService) {
        DrainPtr& drain = drains_[name];
        // A changed epoch or version shows that the drain has moved on, possibly under another controller.
        const bool outdated = drain && (drain->epoch != pool.claim.epoch || drain->version != instance->version);
        if (outdated && instance->lifecycle == Lifecycle::Stopped && drain->epoch == pool.claim.epoch) {
            drain->machine.onStopped();
            drain->version = instance->version;
        } else if (!drain || outdated) {
            drain = std::make_shared<Drain>(instance->lifecycle, instance->version, pool.claim.epoch, clock_.now());
        }
        drain->pool = poolName;
        stepDrain(name, pool, *instance);
    }
}

void PoolController::stepDrain(const std::string& name, const PoolState& pool, const InstanceState& instance)
{
    const DrainPtr drain = drains_.at(name);
    reportOverdue(name, pool, *drain);
    if (drain->busy || clock_.now() < drain->nextStepAt)
        return;
    if (drain->machine.phase() == DrainStateMachine::Phase::Waiting) {
        drain->waitingFor = findBlocker(instance);
        if (!drain->waitingFor.empty())
            return;
        drain->machine.onIdle();
    }
    runAction(name, instance, drain);
}

// A drain past its limit is only reported, because requests in progress must never be aborted.
void PoolController::reportOverdue(const std::string& name, const PoolState& pool, Drain& drain)
{
    if (drain.isOverdueLogged || clock_.now() - drain.firstSeenAt <= pool.declared.drainLimit
        || drain.machine.phase() != DrainStateMachine::Phase::Waiting)
        return;
    drain.isOverdueLogged = true;
    LOG(WARNING) << "drain of " << name << " exceeds the drain limit of its pool; waiting for " << drain.waitingFor;
}

// Every entry that may still send requests must have applied the drain and completed the requests that it sent.
std::string PoolController::findBlocker(const InstanceState& instance) const
{
    // Members and departures are both taken from this state, because the view of the peers may be older or newer.
    if (!update_.state->departures.empty())
        return "departed entry " + update_.state->departures.front().entry + " to be surely gone";
    for (const auto& [name, member] : update_.state->roster) {
        auto progress = membershipView_.members.find(name);
        if (progress == membershipView_.members.end() || progress->second.incarnation != member.incarnation)
            return "entry " + name + " to report";
        if (progress->second.appliedOffset < instance.version)
            return "entry " + name + " to apply the drain";
        const auto& busy = progress->second.busyInstances;
        if (std::find(busy.begin(), busy.end(), instance.declared.name) != busy.end())
            return "requests of entry " + name;
    }
    return {};
}

void PoolController::runAction(const std::string& name, const InstanceState& instance, const DrainPtr& drain)
{
    switch (drain->machine.action()) {
    case DrainAction::None:
        return;
    case DrainAction::RecordStopped:
        return appendTransition(name, instance, drain, Lifecycle::Stopped);
    case DrainAction::StartReboot:
        return startReboot(name, drain);
    case DrainAction::QueryReboot:
        return queryReboot(name, drain);
    case DrainAction::RecordServing:
        return appendTransition(name, instance, drain, Lifecycle::Serving);
    }
}

void PoolController::appendTransition(
    const std::string& name, const InstanceState& instance, const DrainPtr& drain, Lifecycle to)
{
    drain->busy = true;
    const bool moves = instance.purpose == DrainPurpose::Move;
    log_.submit(fleetstate::InstanceTransition { name, instance.version, drain->pool, drain->epoch, to },
        [this, drain, to, moves](AppendOutcome outcome, const std::string&) {
            drain->busy = false;
            if (outcome != AppendOutcome::Accepted) {
                ++counters_.rejected;
                drain->nextStepAt = clock_.now() + retryInterval;
                drain->machine.onRecordFailed();
                return;
            }
            counters_.moves += moves;
            counters_.stops += to == Lifecycle::Stopped && !moves;
            counters_.returns += to == Lifecycle::Serving;
        });
}

// The id contains the version of the stop record, so a controller that takes over repeats the same operation.
std::string PoolController::operationId(const std::string& name, std::uint64_t version)
{
    return name + "." + std::to_string(version);
}

void PoolController::startReboot(const std::string& name, const DrainPtr& drain)
{
    drain->busy = true;
    instanceManager_.reboot(name, operationId(name, drain->version), drain->epoch,
        [this, name, drain](const foundation::Result<void>& accepted) {
            drain->busy = false;
            if (!accepted) {
                drain->nextStepAt = clock_.now() + retryInterval;
                drain->waitingFor = accepted.error().message();
                return;
            }
            ++counters_.reboots;
            drain->waitingFor.clear();
            drain->machine.onRebootAccepted();
            drain->nextStepAt = clock_.now() + pollInterval;
        });
}

void PoolController::queryReboot(const std::string& name, const DrainPtr& drain)
{
    drain->busy = true;
    instanceManager_.queryOperation(
        operationId(name, drain->version), [this, drain](const foundation::Result<platform::OperationState>& state) {
            drain->busy = false;
            drain->nextStepAt = clock_.now() + pollInterval;
            if (!state)
                drain->waitingFor = state.error().message();
            else if (*state == platform::OperationState::Done)
                drain->machine.onRebootDone();
            else if (*state == platform::OperationState::Unknown)
                drain->machine.onRebootUnknown();
            else if (*state == platform::OperationState::Failed)
                drain->waitingFor = "an operator: the platform reported that the reboot failed";
        });
}

DrainReports PoolController::reports() const
{
    DrainReports reports;
    for (const auto& [name, drain] : drains_) {
        DrainReport report;
        report.instance = name;
        report.pool = drain->pool;
        report.phase = phaseName(drain->machine.phase());
        report.waitingFor = drain->waitingFor;
        report.age = std::chrono::duration_cast<milliseconds>(clock_.now() - drain->firstSeenAt);
        report.overdue = drain->isOverdueLogged;
        reports.push_back(std::move(report));
    }
    return reports;
}

} // namespace turmericsill::maintenance

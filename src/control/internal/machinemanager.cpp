#include "control/machinemanager.h"

#include "scheduling/instanceindex.h"
#include "scheduling/moveplanner.h"
#include "scheduling/waveplanner.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace turmericsill::control {

using fleet::MachineOrderResult;
using fleet::MachineReport;
using fleet::MachineState;
using foundation::Result;
using foundation::SteadyTime;
using jobs::TaskId;

namespace {

    constexpr milliseconds minimumListInterval { 500 }; ///< A machine that is moved is down for 1.5 s.
    constexpr milliseconds listTimePerMachine { 2 }; ///< Keeps the cost of lists independent of the fleet's size.
    constexpr milliseconds moveTimeout { 8000 }; ///< Time after which a moved machine no longer counts as incoming.
    /// A machine taken down by an order shows as down in every list requested within 1.5 s of the order.
    constexpr milliseconds downVisibilityDelay { 1000 };
    /// Time before a wave's deadline when short tasks are no longer awaited.
    constexpr milliseconds shortTaskCutoff { 4000 };
    /// Interval of the events that report the demand of each pool.
    constexpr milliseconds demandReportInterval { 1000 };
    /// Time without progress after which an evacuation is cancelled: its machine is withheld from other work. Exceeds
    /// the time in which a relocated task is serving again.
    constexpr milliseconds evacuationTimeout { 2000 };
    /// The same while the instances that could take a task are in use by short tasks, which end in seconds.
    constexpr milliseconds roomTimeout { 8000 };
    /// Time after which the order for an empty machine may be assumed to fail also if it is repeated.
    constexpr milliseconds orderRetryTimeout { 8000 };
    constexpr milliseconds evacuationRetryInterval { 500 }; ///< Between checks whether a machine can be evacuated.
    constexpr milliseconds cancelledEvacuationBackoff { 3000 }; ///< Before a cancelled evacuation begins again.

} // namespace

MachineManager::MachineManager(const ControllerContext& context, fleet::IMachineControl& machines,
    Controller& controller, const ControlSettings& settings, SteadyTime ordersAllowedAt,
    std::function<bool()> isControlConfirmed)
    : context_(context)
    , machineControl_(machines)
    , controller_(controller)
    , settings_(settings)
    , ordersAllowedAt_(ordersAllowedAt)
    , isControlConfirmed_(std::move(isControlConfirmed))
    , evacuationPlanner_(context.follower, context.clock, controller)
    , deferredMaintenance_(context.clock, context.events)
{
}

MachineManager::~MachineManager() { *alive_ = false; }

fleet::MachineOrderAuthority MachineManager::authority() const
{
    return { controller_.epoch(), [this, alive = alive_] { return *alive && isControlConfirmed_(); } };
}

void MachineManager::addWave(const fleet::MaintenanceWave& wave)
{
    Wave& entry = waves_[wave.number];
    entry.declared = wave;
    entry.deadline = context_.clock.now() + wave.duration - controller_.waveAge(wave.number);
}

const MachineReport* MachineManager::find(const std::string& machine) const
{
    const auto found = machines_.find(machine);
    return found == machines_.end() ? nullptr : &found->second;
}

InstanceSessionPtr MachineManager::sessionOf(const MachineReport& machine) const
{
    const auto found = controller_.sessions().find(machine.instance);
    return machine.instance.empty() || found == controller_.sessions().end() ? nullptr : found->second;
}

bool MachineManager::isStandby(const std::string& pool) const
{
    const auto found = configuration_.pools.find(pool);
    return found != configuration_.pools.end() && found->second.isStandby;
}

void MachineManager::tick()
{
    const auto now = context_.clock.now();
    beginEvacuationTick();
    evacuateDrainingInstances();
    if (!isListing_ && now - lastListRequestAt_ >= listInterval())
        listMachines();
    if (!hasMachineList_ || now < ordersAllowedAt_)
        return;
    removeFinishedOperations();
    planWaves();
    evacuateMachines();
    planMoves();
    updateCordoned();
}

milliseconds MachineManager::listInterval() const
{
    return std::max(minimumListInterval, listTimePerMachine * static_cast<std::int64_t>(machines_.size()));
}

void MachineManager::listMachines()
{
    isListing_ = true;
    lastListRequestAt_ = context_.clock.now();
    machineControl_.list(
        [this, alive = alive_, requestedAt = lastListRequestAt_](Result<std::vector<MachineReport>> machines) {
            if (!*alive)
                return;
            isListing_ = false;
            hasLastListFailed_ = !machines;
            if (!machines) {
                context_.events.write("machines.unavailable", { { "reason", machines.error().message() } });
                return;
            }
            onListed(std::move(*machines), requestedAt);
        });
}

void MachineManager::onListed(std::vector<MachineReport> machines, SteadyTime requestedAt)
{
    machines_.clear();
    for (auto& machine : machines)
        machines_.emplace(machine.machine, machine);
    hasMachineList_ = true;
    listedAsOf_ = requestedAt;
    for (auto& [machine, operation] : operations_) {
        const MachineReport* report = find(machine);
        if (!operation.isInProgress || !report || report->state == MachineState::Up
            || std::exchange(operation.wasSeenDown, true))
            continue;
        if (!operation.instance.empty())
            controller_.onMachineTakenDown(operation.instance);
    }
}

// An accepted order is finished when the next instance of the machine reports itself, or when a list requested after
// the order shows the machine up again. A repeated order that was carried out before is accepted as well, but does not
// take the machine down.
bool MachineManager::isFinished(const std::string& machine, const MachineOperation& operation)
{
    if (!operation.isInProgress)
        return false;
    if (hasArrived(machine, operation))
        return true;
    const MachineReport* report = find(machine);
    const bool isBack = report && report->state == MachineState::Up && listedAsOf_ > operation.since;
    if (isBack && operation.wasSeenDown)
        return true;
    const bool isWithoutEffect = isBack && listedAsOf_ - operation.since > downVisibilityDelay;
    const bool isTimedOut = context_.clock.now() - operation.since > moveTimeout;
    if (!operation.wasSeenDown && (isWithoutEffect || isTimedOut))
        controller_.onMachineNotTakenDown(operation.instance);
    return isWithoutEffect || isTimedOut;
}

// The list may still show the machine as it was before the move.
bool MachineManager::hasArrived(const std::string& machine, const MachineOperation& operation)
{
    if (operation.kind != OperationKind::PoolChange)
        return false;
    const InstanceSessionPtr session = controller_.sessionOnMachine(machine);
    if (!session || session->incarnation().instance == operation.instance
        || session->report().pool != operation.targetPool)
        return false;
    const auto listed = machines_.find(machine);
    if (listed != machines_.end()) {
        listed->second.state = MachineState::Up;
        listed->second.pool = operation.targetPool;
        listed->second.instance = session->incarnation().instance;
    }
    return true;
}

void MachineManager::removeFinishedOperations()
{
    for (auto entry = operations_.begin(); entry != operations_.end();) {
        const bool isMachineGone = !find(entry->first) && !entry->second.isRequestPending;
        const bool isOver = isMachineGone || isFinished(entry->first, entry->second);
        entry = isOver ? operations_.erase(entry) : std::next(entry);
    }
}

// An accepted order ends the instance of the machine at once. Runs that it may have had are ended when a list shows the
// machine down, since a repeated order does not take it down.
void MachineManager::closeIdleInstance(const std::string& instance)
{
    const auto session = controller_.sessions().find(instance);
    if (session != controller_.sessions().end() && session->second->runs().empty())
        controller_.onMachineTakenDown(instance);
}

void MachineManager::planWaves()
{
    for (auto& [number, wave] : waves_) {
        if (!wave.isCompleted)
            planWave(wave);
    }
}

void MachineManager::planWave(Wave& wave)
{
    if (!wave.isReported)
        reportWave(wave, false);
    scheduling::WaveView view;
    view.maximumDown = wave.declared.maximumDown;
    view.timeLeft
        = std::max(milliseconds(0), std::chrono::duration_cast<milliseconds>(wave.deadline - context_.clock.now()));
    bool isDone = true;
    for (const auto& machine : wave.declared.machines) {
        const auto operation = operations_.find(machine);
        const bool isInWave = operation != operations_.end() && operation->second.wave == wave.declared.number;
        view.inProgress += isInWave;
        if (controller_.hasStartedMaintenance(wave.declared.number, machine))
            continue;
        const MachineReport* report = find(machine);
        if (!report) {
            deferredMaintenance_.end(machine);
            continue; // The machine has left the fleet.
        }
        isDone = false;
        if (operation != operations_.end() || report->state != MachineState::Up)
            continue;
        const InstanceSessionPtr session = sessionOf(*report);
        scheduling::MaintenanceCandidate candidate { machine, 0, 0, isStandby(report->pool) };
        if (session) {
            candidate.runs = static_cast<std::uint32_t>(session->runs().size());
            for (const auto& [task, run] : session->runs())
                candidate.longRunningTasks += run.isLongRunning;
        }
        view.waiting.push_back(candidate);
    }
    if (isDone)
        return reportWave(wave, true);
    scheduling::planMaintenance(view, [&](const scheduling::MaintenanceCandidate& candidate) {
        if (!canEvacuate(candidate.machine, wave.declared.number))
            return false;
        beginEvacuation(candidate.machine, wave.declared.number, view.inProgress);
        return true;
    });
}

bool MachineManager::canEvacuate(const std::string& machine, std::uint64_t wave)
{
    if (!deferredMaintenance_.isRetryDue(machine))
        return false;
    const InstanceSessionPtr session = sessionOf(machines_.at(machine));
    std::optional<BlockedEvacuation> blocked;
    if (hasLastListFailed_)
        blocked = BlockedEvacuation { EvacuationObstacle::MachineControl, {}, {}, {} };
    else if (session)
        blocked = evacuationPlanner_.findObstacle(*session);
    if (blocked)
        deferredMaintenance_.defer(machine, wave, *blocked, evacuationRetryInterval);
    return !blocked;
}

void MachineManager::beginEvacuation(const std::string& machine, std::uint64_t wave, std::uint32_t underWay)
{
    MachineOperation operation;
    operation.wave = wave;
    operation.since = context_.clock.now();
    operations_[machine] = operation;
    evacuationPlanner_.addLeaving(machines_.at(machine).instance);
    deferredMaintenance_.end(machine);
    context_.events.write(
        "upkeep.empties", { { "machine", machine }, { "wave", wave }, { "under_way", std::uint64_t(underWay) } });
}

// The machine returns to service; its maintenance remains due.
void MachineManager::cancelEvacuation(const std::string& machine, const BlockedEvacuation& blocked)
{
    const auto found = operations_.find(machine);
    deferredMaintenance_.defer(machine, found->second.wave, blocked, cancelledEvacuationBackoff);
    operations_.erase(found);
    beginEvacuationTick();
}

void MachineManager::beginEvacuationTick()
{
    std::set<std::string> leaving;
    for (const auto& [machine, operation] : operations_) {
        if (const MachineReport* report = find(machine); report && !report->instance.empty())
            leaving.insert(report->instance);
    }
    evacuationPlanner_.beginTick(std::move(leaving));
}

void MachineManager::evacuateMachines()
{
    std::vector<std::string> evacuating;
    for (const auto& [machine, operation] : operations_) {
        if (operation.kind == OperationKind::Evacuation)
            evacuating.push_back(machine);
    }
    for (const auto& machine : evacuating)
        evacuateMachine(machine, operations_[machine]);
}

void MachineManager::evacuateMachine(const std::string& machine, MachineOperation& operation)
{
    const MachineReport* report = find(machine);
    if (!report || operation.isRequestPending)
        return;
    const InstanceSessionPtr session = sessionOf(*report);
    if (!session || session->runs().empty())
        return requestMaintenance(machine, operation);
    const auto now = context_.clock.now();
    bool hasLongRunning = false;
    bool hasProgress = false;
    std::optional<BlockedEvacuation> blocked;
    for (const auto& [task, run] : session->runs()) {
        hasLongRunning |= run.isLongRunning;
        hasProgress |= run.isLongRunning && run.isStopping;
        if (!run.isLongRunning || run.isStopping)
            continue;
        const auto obstacle = evacuationPlanner_.findObstacle(*session, task);
        if (!obstacle) {
            operation.since = now;
            return evacuationPlanner_.relocate(*session, task);
        }
        if (!blocked)
            blocked = obstacle;
        else if (obstacle->pool == blocked->pool)
            blocked->unplaced += obstacle->unplaced;
    }
    operation.unplacedPool = blocked ? blocked->pool : std::string();
    operation.unplaced = blocked ? blocked->unplaced : jobs::Resources();
    if (!hasLongRunning) {
        const auto wave = waves_.find(operation.wave);
        const bool isLate = wave != waves_.end() && now > wave->second.deadline - shortTaskCutoff;
        if (isLate)
            requestMaintenance(machine, operation);
        return;
    }
    hasProgress |= blocked && blocked->task && evacuationPlanner_.isRelocating(*blocked->task);
    if (hasProgress)
        operation.since = now;
    const bool awaitsRoom = blocked && blocked->obstacle == EvacuationObstacle::NoRoom;
    if (blocked && now - operation.since >= (awaitsRoom ? roomTimeout : evacuationTimeout))
        cancelEvacuation(machine, *blocked);
}

// A draining instance exits within seconds and ends everything that runs on it.
void MachineManager::evacuateDrainingInstances()
{
    for (const auto& [name, session] : controller_.sessions()) {
        if (!session->report().isDraining || !session->isListed())
            continue;
        std::vector<TaskId> longRunning;
        for (const auto& [task, run] : session->runs()) {
            if (run.isLongRunning && !run.isStopping)
                longRunning.push_back(task);
        }
        for (const auto& task : longRunning) {
            if (evacuationPlanner_.hasPlace(*session, task))
                evacuationPlanner_.relocate(*session, task);
        }
    }
}

void MachineManager::requestMaintenance(const std::string& machine, MachineOperation& operation)
{
    operation.isRequestPending = true;
    const std::string instance = machines_.at(machine).instance;
    controller_.expectTakenDown(instance);
    machineControl_.startMaintenance(machine, operation.wave, authority(),
        [this, alive = alive_, machine, instance, number = operation.wave](const Result<MachineOrderResult>& result) {
            if (!*alive)
                return;
            MachineOperation& ordered = operations_[machine];
            ordered.isRequestPending = false;
            const std::string outcome = !result           ? result.error().message()
                : *result == MachineOrderResult::Accepted ? "accepted"
                : *result == MachineOrderResult::Busy     ? "busy"
                                                          : "refused";
            context_.events.write("upkeep.ordered",
                { { "machine", machine }, { "wave", number }, { "epoch", controller_.epoch() },
                    { "outcome", outcome } });
            if (!result)
                return onMaintenanceNotOrdered(machine, ordered, result.error());
            if (*result != MachineOrderResult::Accepted) {
                controller_.onMachineNotTakenDown(instance);
                return cancelEvacuation(machine, { EvacuationObstacle::OrderRefused, {}, {}, {} });
            }
            ordered.kind = OperationKind::Maintenance;
            ordered.isInProgress = true;
            ordered.since = context_.clock.now();
            ordered.instance = instance;
            closeIdleInstance(instance);
            controller_.recordMaintenanceStarted(number, machine);
        });
}

// The order is repeated at the next tick; a repeated order has no further effect. An order without an answer may still
// be carried out, so its machine is withheld for longer.
void MachineManager::onMaintenanceNotOrdered(
    const std::string& machine, MachineOperation& operation, const foundation::Error& error)
{
    const auto now = context_.clock.now();
    operation.hasUnansweredOrder |= error.code != foundation::Errc::Unavailable;
    if (!operation.orderFailingSince)
        operation.orderFailingSince = now;
    const milliseconds timeout = operation.hasUnansweredOrder ? orderRetryTimeout : evacuationTimeout;
    if (now - *operation.orderFailingSince < timeout)
        return;
    const MachineReport* report = find(machine);
    if (report && !operation.hasUnansweredOrder)
        controller_.onMachineNotTakenDown(report->instance);
    cancelEvacuation(machine, { EvacuationObstacle::MachineControl, {}, {}, {} });
}

void MachineManager::reportWave(Wave& wave, bool completed)
{
    if (std::exchange(wave.isReporting, true))
        return;
    context_.fleetSource.reportWave(wave.declared.number, completed,
        [this, alive = alive_, number = wave.declared.number, completed](const Result<void>& answer) {
            if (!*alive)
                return;
            Wave& reported = waves_[number];
            reported.isReporting = false;
            context_.events.write("wave.reported",
                { { "wave", number }, { "completed", completed },
                    { "outcome", answer ? std::string("stored") : answer.error().message() } });
            if (!answer)
                return;
            reported.isReported = true;
            reported.isCompleted |= completed;
        });
}

std::map<std::string, scheduling::PoolDemand> MachineManager::poolDemands()
{
    std::map<std::string, scheduling::PoolDemand> demands;
    std::map<std::string, double> used;
    for (const auto& [name, pool] : configuration_.pools) {
        if (!pool.isStandby)
            demands[name];
    }
    for (const auto& [pool, unplaced] : controller_.unplacedByPool())
        demands[pool].unplaced = unplaced;
    for (const auto& [name, session] : controller_.sessions())
        used[session->report().pool] += static_cast<double>(session->shortTaskMilliCores());
    for (auto& [pool, demand] : demands) {
        demand.freeMilliCores = controller_.instancesOf(pool).freeMilliCores();
        const double milliCores = used[pool] + static_cast<double>(demand.unplaced.milliCores);
        demand.growthMilliCoresPerSecond = trends_[pool].update(milliCores, context_.clock.now());
    }
    // Machines that cannot be emptied for want of a place elsewhere wait for one that is moved to their pool.
    for (const auto& [pool, unplaced] : deferredMaintenance_.unplacedByPool())
        demands[pool].unplaced += unplaced;
    for (const auto& [machine, operation] : operations_) {
        if (!operation.unplacedPool.empty())
            demands[operation.unplacedPool].unplaced += operation.unplaced;
    }
    return demands;
}

void MachineManager::reportDemands(const std::map<std::string, scheduling::PoolDemand>& demands)
{
    if (context_.clock.now() - demandsReportedAt_ < demandReportInterval)
        return;
    demandsReportedAt_ = context_.clock.now();
    for (const auto& [pool, demand] : demands) {
        context_.events.write("pool.demand",
            { { "pool", pool }, { "waiting_millicores", demand.unplaced.milliCores },
                { "free_millicores", demand.freeMilliCores }, { "incoming_millicores", demand.incoming.milliCores },
                { "growth_millicores", static_cast<std::int64_t>(demand.growthMilliCoresPerSecond) },
                { "machines", std::uint64_t(demand.machines) } });
    }
}

void MachineManager::planMoves()
{
    std::map<std::string, scheduling::PoolDemand> demands = poolDemands();
    for (const auto& [name, operation] : operations_) {
        if (operation.kind == OperationKind::PoolChange)
            demands[operation.targetPool].incoming += operation.capacity;
    }
    for (const auto& [name, machine] : machines_) {
        if (machine.state == MachineState::Up && !operations_.count(name) && !isStandby(machine.pool))
            ++demands[machine.pool].machines;
    }
    reportDemands(demands);
    const scheduling::MovePolicy policy;
    std::vector<scheduling::MachineView> movable;
    if (scheduling::hasShortage(demands, policy))
        movable = movableMachines();
    controller_.setMachineSupply(demands, movable);
    for (const auto& next : scheduling::planMoves(movable, demands, policy)) {
        if (!refusedMoves_.count({ next.machine, next.pool }))
            requestMove(next);
    }
}

std::vector<scheduling::MachineView> MachineManager::movableMachines() const
{
    std::vector<scheduling::MachineView> movable;
    const auto now = context_.clock.now();
    for (const auto& [name, machine] : machines_) {
        if (machine.state != MachineState::Up || operations_.count(name))
            continue;
        const InstanceSessionPtr session = sessionOf(machine);
        const bool isStandbyPool = isStandby(machine.pool);
        const auto idleSince = session ? session->idleSince() : std::nullopt;
        const bool isIdle
            = idleSince && session->hasReport() && session->isInContact() && !session->report().isDraining;
        if (!isStandbyPool && !isIdle)
            continue;
        const auto idleTime
            = isStandbyPool ? milliseconds(0) : std::chrono::duration_cast<milliseconds>(now - *idleSince);
        movable.push_back({ name, machine.pool, machine.capacity, isStandbyPool,
            session ? static_cast<std::uint32_t>(session->runs().size()) : 0, idleTime });
    }
    return movable;
}

void MachineManager::requestMove(const scheduling::Move& move)
{
    const MachineReport report = machines_.at(move.machine);
    MachineOperation operation;
    operation.kind = OperationKind::PoolChange;
    operation.targetPool = move.pool;
    operation.capacity = report.capacity;
    operation.since = context_.clock.now();
    operation.isRequestPending = true;
    operations_[move.machine] = operation;
    controller_.expectTakenDown(report.instance);
    machineControl_.move(move.machine, move.pool, authority(),
        [this, alive = alive_, move, instance = report.instance, from = report.pool](
            const Result<MachineOrderResult>& result) {
            if (!*alive)
                return;
            MachineOperation& ordered = operations_[move.machine];
            ordered.isRequestPending = false;
            const bool isAccepted = result && *result == MachineOrderResult::Accepted;
            context_.events.write("machine.moved",
                { { "machine", move.machine }, { "from", from }, { "to", move.pool }, { "epoch", controller_.epoch() },
                    { "outcome",
                        !result ? result.error().message() : std::string(isAccepted ? "accepted" : "refused") } });
            if (result && *result == MachineOrderResult::Refused)
                refusedMoves_.insert({ move.machine, move.pool });
            const bool isCertainlyNotCarriedOut = !result && result.error().code == foundation::Errc::Unavailable;
            if (isCertainlyNotCarriedOut || (result && !isAccepted)) {
                controller_.onMachineNotTakenDown(instance);
                operations_.erase(move.machine);
                return;
            }
            // An unanswered order may have been carried out: the machine counts as incoming until a list shows
            // otherwise.
            ordered.isInProgress = true;
            ordered.since = context_.clock.now();
            ordered.instance = instance;
            if (isAccepted)
                closeIdleInstance(instance);
        });
}

void MachineManager::updateCordoned()
{
    std::set<std::string> cordoned;
    for (const auto& [machine, operation] : operations_) {
        const MachineReport* report = find(machine);
        const bool isAboutToGoDown
            = operation.kind == OperationKind::Evacuation || operation.isRequestPending || !operation.wasSeenDown;
        if (report && !report->instance.empty() && isAboutToGoDown)
            cordoned.insert(report->instance);
    }
    controller_.setCordoned(std::move(cordoned));
}

} // namespace turmericsill::control

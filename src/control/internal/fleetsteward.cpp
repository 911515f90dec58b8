#include "control/fleetsteward.h"

#include "scheduling/moveplanner.h"
#include "scheduling/placementplanner.h"
#include "scheduling/waveplanner.h"

#include <algorithm>
#include <utility>

namespace turmericsill::control {

using fleet::MachineReport;
using fleet::MachineState;
using fleet::MachineVerdict;
using foundation::Result;
using foundation::SteadyTime;
using jobs::TaskId;

namespace {

    constexpr milliseconds listInterval { 500 }; ///< A move takes 1.5 s.
    constexpr milliseconds moveLimit { 8000 }; ///< After which a moved machine no longer counts as on its way.
    constexpr milliseconds downVisible { 1000 }; ///< A list that is asked for within 1.5 s of an order shows it.
    constexpr milliseconds hurry { 4000 }; ///< Before a wave's deadline short tasks are no longer waited for.
    constexpr milliseconds demandInterval { 1000 }; ///< Between two reports of all pools' demands.
    constexpr double trendTime = 0.5; ///< Seconds over which a pool's demand is smoothed: ten samples.
    constexpr int atWork = 100; ///< Percent of a long-running task that serves.

} // namespace

FleetSteward::FleetSteward(const ControllerContext& context, fleet::IMachineControl& machines, Controller& controller,
    const ControlSettings& settings, SteadyTime mayOrderFrom)
    : context_(context)
    , control_(machines)
    , controller_(controller)
    , settings_(settings)
    , mayOrderFrom_(mayOrderFrom)
{
}

FleetSteward::~FleetSteward() { *alive_ = false; }

void FleetSteward::addWave(const fleet::UpkeepWave& wave)
{
    Wave& entry = waves_[wave.number];
    entry.declared = wave;
    entry.deadline = context_.clock.now() + wave.duration - controller_.waveAge(wave.number);
}

const MachineReport* FleetSteward::find(const std::string& machine) const
{
    const auto found = machines_.find(machine);
    return found == machines_.end() ? nullptr : &found->second;
}

InstanceSessionPtr FleetSteward::sessionOf(const MachineReport& machine) const
{
    const auto found = controller_.sessions().find(machine.instance);
    return machine.instance.empty() || found == controller_.sessions().end() ? nullptr : found->second;
}

bool FleetSteward::isStandby(const std::string& pool) const
{
    const auto found = configuration_.pools.find(pool);
    return found != configuration_.pools.end() && found->second.isStandby;
}

void FleetSteward::tick()
{
    const auto now = context_.clock.now();
    for (const auto& [name, session] : controller_.sessions()) {
        if (session->runs().empty())
            idleSince_.emplace(name, now);
        else
            idleSince_.erase(name);
    }
    evacuateDraining();
    if (!isListing_ && now - listedAt_ >= listInterval)
        listMachines();
    if (!hasList_ || now < mayOrderFrom_)
        return;
    settleWork();
    planWaves();
    emptyMachines();
    planMoves();
    publishReserved();
}

void FleetSteward::listMachines()
{
    isListing_ = true;
    listedAt_ = context_.clock.now();
    control_.list([this, alive = alive_](Result<std::vector<MachineReport>> machines) {
        if (!*alive)
            return;
        isListing_ = false;
        if (!machines) {
            context_.events.write("machines.unavailable", { { "reason", machines.error().message() } });
            return;
        }
        onListed(std::move(*machines));
    });
}

void FleetSteward::onListed(std::vector<MachineReport> machines)
{
    machines_.clear();
    for (auto& machine : machines)
        machines_.emplace(machine.machine, machine);
    hasList_ = true;
    for (auto& [machine, work] : work_) {
        const MachineReport* report = find(machine);
        if (!work.isOrdered || !report || report->state == MachineState::Up || std::exchange(work.wasSeenDown, true))
            continue;
        if (!work.instance.empty())
            controller_.noteTaken(work.instance);
    }
}

// An accepted order is over once a list that was asked for later shows the machine up again. An order that had been
// carried out before is accepted as well and takes nothing down.
void FleetSteward::settleWork()
{
    const auto now = context_.clock.now();
    for (auto entry = work_.begin(); entry != work_.end();) {
        const Work& work = entry->second;
        const MachineReport* report = find(entry->first);
        const bool isBack = report && report->state == MachineState::Up && listedAt_ > work.since && !isListing_;
        const bool wasDoneBefore = isBack && listedAt_ - work.since > downVisible;
        const bool isOver
            = work.isOrdered && ((isBack && work.wasSeenDown) || wasDoneBefore || now - work.since > moveLimit);
        const bool isGone = !report && !work.isUnderWay;
        if (isOver || isGone)
            entry = work_.erase(entry);
        else
            ++entry;
    }
}

void FleetSteward::planWaves()
{
    for (auto& [number, wave] : waves_) {
        if (!wave.isCompleted)
            planWave(wave);
    }
}

void FleetSteward::planWave(Wave& wave)
{
    if (!wave.isReported)
        reportWave(wave, false);
    scheduling::WaveView view;
    view.maximumDown = wave.declared.maximumDown;
    view.timeLeft
        = std::max(milliseconds(0), std::chrono::duration_cast<milliseconds>(wave.deadline - context_.clock.now()));
    bool isDone = true;
    for (const auto& machine : wave.declared.machines) {
        const auto work = work_.find(machine);
        const bool isOurs = work != work_.end() && work->second.wave == wave.declared.number;
        view.underWay += isOurs;
        if (controller_.hasBegunUpkeep(wave.declared.number, machine))
            continue;
        const MachineReport* report = find(machine);
        if (!report)
            continue; // It has left the fleet.
        isDone = false;
        if (work != work_.end() || report->state != MachineState::Up)
            continue;
        const InstanceSessionPtr session = sessionOf(*report);
        scheduling::UpkeepCandidate candidate { machine, 0, 0, isStandby(report->pool) };
        if (session) {
            candidate.runs = static_cast<std::uint32_t>(session->runs().size());
            for (const auto& [task, run] : session->runs())
                candidate.longRunningTasks += run.isLongRunning;
        }
        view.waiting.push_back(candidate);
    }
    if (isDone)
        return reportWave(wave, true);
    for (const auto& machine : scheduling::planUpkeep(view)) {
        Work work;
        work.wave = wave.declared.number;
        work.since = context_.clock.now();
        work_[machine] = work;
        context_.events.write("upkeep.empties",
            { { "machine", machine }, { "wave", work.wave }, { "under_way", std::uint64_t(view.underWay) } });
    }
}

void FleetSteward::emptyMachines()
{
    std::vector<std::string> emptying;
    for (const auto& [machine, work] : work_) {
        if (work.duty == Duty::Emptying)
            emptying.push_back(machine);
    }
    for (const auto& machine : emptying)
        emptyMachine(machine, work_[machine]);
}

void FleetSteward::emptyMachine(const std::string& machine, Work& work)
{
    const MachineReport* report = find(machine);
    if (!report || work.isUnderWay)
        return;
    const InstanceSessionPtr session = sessionOf(*report);
    if (!session || session->runs().empty())
        return beginUpkeep(machine, work);
    bool hasLongRunning = false;
    for (const auto& [task, run] : session->runs()) {
        hasLongRunning |= run.isLongRunning;
        if (!run.isLongRunning || run.isStopping)
            continue;
        if (mayRelocate(task) && hasRoomElsewhere(*session, task))
            return controller_.relocate(*session, task);
    }
    const auto wave = waves_.find(work.wave);
    const bool isLate = wave != waves_.end() && context_.clock.now() > wave->second.deadline - hurry;
    if (!hasLongRunning && isLate)
        beginUpkeep(machine, work);
}

// An instance that drains ends within seconds, with everything on it.
void FleetSteward::evacuateDraining()
{
    for (const auto& [name, session] : controller_.sessions()) {
        if (!session->report().isDraining || !session->isListed())
            continue;
        std::vector<TaskId> leaving;
        for (const auto& [task, run] : session->runs()) {
            if (run.isLongRunning && !run.isStopping && hasRoomElsewhere(*session, task))
                leaving.push_back(task);
        }
        for (const auto& task : leaving)
            controller_.relocate(*session, task);
    }
}

// Planned work may keep away as many tasks of a step as its budget says, those that are away anyhow included.
bool FleetSteward::mayRelocate(const TaskId& task) const
{
    const jobs::Job* job = context_.follower.table().find(task.job);
    if (!job)
        return false;
    const auto& spec = job->spec.steps[task.step];
    if (!spec.hasDisruptionBudget)
        return true;
    std::uint32_t away = 0;
    const auto& tasks = job->occurrences.at(task.occurrence).steps[task.step].tasks;
    for (std::uint32_t index = 0; index < tasks.size(); ++index) {
        if (index == task.index)
            continue;
        const TaskId other { task.job, task.occurrence, task.step, index };
        const auto session = controller_.sessions().find(tasks[index].life.instance);
        bool works = false;
        if (tasks[index].phase == jobs::TaskPhase::Active && session != controller_.sessions().end()) {
            const auto run = session->second->runs().find(other);
            works = run != session->second->runs().end() && run->second.percent >= atWork && !run->second.isStopping
                && session->second->isInContact();
        }
        away += !works;
    }
    return away < spec.disruptionBudget;
}

bool FleetSteward::hasRoomElsewhere(const InstanceSession& session, const TaskId& task) const
{
    const jobs::Job* job = context_.follower.table().find(task.job);
    const jobs::Resources need = scheduling::reservedBy(job->spec.steps[task.step]);
    return std::any_of(controller_.sessions().begin(), controller_.sessions().end(), [&](const auto& entry) {
        const InstanceSession& other = *entry.second;
        return &other != &session && other.report().pool == session.report().pool && other.isListed()
            && other.isInContact() && !other.report().isDraining && !work_.count(other.report().machine)
            && need.fitsInto(other.free());
    });
}

void FleetSteward::beginUpkeep(const std::string& machine, Work& work)
{
    work.isUnderWay = true;
    const std::string instance = machines_.at(machine).instance;
    control_.beginUpkeep(machine, work.wave, controller_.epoch(),
        [this, alive = alive_, machine, instance, number = work.wave](const Result<MachineVerdict>& verdict) {
            if (!*alive)
                return;
            Work& ordered = work_[machine];
            ordered.isUnderWay = false;
            const std::string outcome = !verdict       ? verdict.error().message()
                : *verdict == MachineVerdict::Accepted ? "accepted"
                : *verdict == MachineVerdict::Busy     ? "busy"
                                                       : "refused";
            context_.events.write("upkeep.ordered",
                { { "machine", machine }, { "wave", number }, { "epoch", controller_.epoch() },
                    { "outcome", outcome } });
            if (!verdict)
                return; // Asked again at the next tick; a repeated order has no further effect.
            if (*verdict != MachineVerdict::Accepted) {
                work_.erase(machine);
                return;
            }
            ordered.duty = Duty::Upkeep;
            ordered.isOrdered = true;
            ordered.since = context_.clock.now();
            ordered.instance = instance;
            controller_.recordUpkeep(number, machine);
        });
}

void FleetSteward::reportWave(Wave& wave, bool completed)
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

void FleetSteward::follow(const std::string& pool, double milliCores, scheduling::PoolDemand& demand)
{
    Trend& trend = trends_[pool];
    const auto now = context_.clock.now();
    const double elapsed = std::chrono::duration<double>(now - trend.sampledAt).count();
    if (elapsed > trendTime) {
        trend.growthPerSecond = 0;
    } else if (elapsed > 0) {
        const double weight = elapsed / trendTime;
        trend.growthPerSecond += weight * ((milliCores - trend.milliCores) / elapsed - trend.growthPerSecond);
    }
    trend.milliCores = milliCores;
    trend.sampledAt = now;
    demand.growthMilliCoresPerSecond = trend.growthPerSecond;
}

std::map<std::string, scheduling::PoolDemand> FleetSteward::poolDemands()
{
    std::map<std::string, scheduling::PoolDemand> demands;
    std::map<std::string, double> used;
    for (const auto& [name, pool] : configuration_.pools) {
        if (!pool.isStandby)
            demands[name];
    }
    for (const auto& [pool, plan] : controller_.lastPlans())
        demands[pool].unplaced = plan.unplaced;
    for (const auto& [name, session] : controller_.sessions()) {
        for (const auto& [task, run] : session->runs())
            used[session->report().pool] += run.isLongRunning ? 0 : static_cast<double>(run.resources.milliCores);
        const bool takesWork = session->isListed() && session->isInContact() && !session->report().isDraining
            && !work_.count(session->report().machine);
        if (takesWork)
            demands[session->report().pool].freeMilliCores += session->free().milliCores;
    }
    for (auto& [pool, demand] : demands)
        follow(pool, used[pool] + static_cast<double>(demand.unplaced.milliCores), demand);
    return demands;
}

void FleetSteward::reportDemands(const std::map<std::string, scheduling::PoolDemand>& demands)
{
    if (context_.clock.now() - demandsReportedAt_ < demandInterval)
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

void FleetSteward::planMoves()
{
    std::map<std::string, scheduling::PoolDemand> demands = poolDemands();
    std::vector<scheduling::MachineView> movable;
    const auto now = context_.clock.now();
    for (const auto& [name, machine] : machines_) {
        const auto work = work_.find(name);
        if (work != work_.end()) {
            if (work->second.duty == Duty::Moving)
                demands[work->second.targetPool].incoming += work->second.capacity;
            continue;
        }
        if (machine.state != MachineState::Up)
            continue;
        const bool isOff = isStandby(machine.pool);
        if (!isOff)
            ++demands[machine.pool].machines;
        const InstanceSessionPtr session = sessionOf(machine);
        const auto idle = idleSince_.find(machine.instance);
        if (!isOff && (!session || !session->isInContact() || session->report().isDraining || idle == idleSince_.end()))
            continue;
        movable.push_back({ name, machine.pool, machine.capacity, isOff,
            session ? static_cast<std::uint32_t>(session->runs().size()) : 0,
            isOff ? milliseconds(0) : std::chrono::duration_cast<milliseconds>(now - idle->second) });
    }
    reportDemands(demands);
    for (const auto& next : scheduling::planMoves(movable, demands, scheduling::MovePolicy())) {
        if (!refusedMoves_.count({ next.machine, next.pool }))
            move(next);
    }
}

void FleetSteward::move(const scheduling::Move& move)
{
    const MachineReport report = machines_.at(move.machine);
    Work work;
    work.duty = Duty::Moving;
    work.targetPool = move.pool;
    work.capacity = report.capacity;
    work.since = context_.clock.now();
    work.isUnderWay = true;
    work_[move.machine] = work;
    control_.move(move.machine, move.pool, controller_.epoch(),
        [this, alive = alive_, move, instance = report.instance, from = report.pool](
            const Result<MachineVerdict>& verdict) {
            if (!*alive)
                return;
            Work& ordered = work_[move.machine];
            ordered.isUnderWay = false;
            const bool isAccepted = verdict && *verdict == MachineVerdict::Accepted;
            context_.events.write("machine.moved",
                { { "machine", move.machine }, { "from", from }, { "to", move.pool }, { "epoch", controller_.epoch() },
                    { "outcome",
                        !verdict ? verdict.error().message() : std::string(isAccepted ? "accepted" : "refused") } });
            if (verdict && *verdict == MachineVerdict::Refused)
                refusedMoves_.insert({ move.machine, move.pool });
            if (verdict && !isAccepted) {
                work_.erase(move.machine);
                return;
            }
            // Without an answer the machine counts as on its way until lists tell otherwise.
            ordered.isOrdered = true;
            ordered.since = context_.clock.now();
            ordered.instance = instance;
        });
}

void FleetSteward::publishReserved()
{
    std::set<std::string> reserved;
    for (const auto& [machine, work] : work_) {
        const MachineReport* report = find(machine);
        const bool isBeingTaken = work.duty == Duty::Emptying || work.isUnderWay || !work.wasSeenDown;
        if (report && !report->instance.empty() && isBeingTaken)
            reserved.insert(report->instance);
    }
    controller_.setReserved(std::move(reserved));
}

} // namespace turmericsill::control

#include "scheduling/internal/stepplacer.h"

#include "scheduling/rackwaits.h"

#include <algorithm>
#include <map>

namespace turmericsill::scheduling {

using jobs::Task;
using jobs::TaskPhase;

namespace {

    /// Instances to spread a long-running step over, where there is room.
    constexpr std::uint32_t minimumSpreadInstances = 5;

} // namespace

void addUnplaced(PoolPlan& plan, const WaitingStep& waiting, std::uint32_t tasks)
{
    const bool isLastEntry = !plan.stepsAwaitingTickets.empty() && plan.stepsAwaitingTickets.back() == waiting.id;
    if (waiting.isTicketRequired && !isLastEntry)
        plan.stepsAwaitingTickets.push_back(waiting.id);
    plan.unplaced += waiting.need * tasks;
}

StepPlacer::StepPlacer(
    InstanceIndex& instances, const jobs::Job& job, const WaitingStep& waiting, const PlanConstraints& constraints)
    : instances_(instances)
    , constraints_(constraints)
    , waiting_(waiting)
    , job_(job)
    , spec_(job.spec.steps[waiting.id.step])
    , state_(job.occurrences.at(waiting.id.occurrence).steps[waiting.id.step])
    , wantedRack_(spec_.dataRack)
{
    if (!waiting.isTicketRequired || !constraints.tickets)
        return;
    const auto found = constraints.tickets->find(waiting.id);
    tickets_ = found == constraints.tickets->end() ? nullptr : &found->second;
}

bool StepPlacer::place(PoolPlan& plan)
{
    if (spec_.prefersOneRack && wantedRack_.empty())
        chooseRack();
    if (isWholeStepWaiting())
        return true;
    if (spec_.isGang)
        return placeGang(plan);
    std::uint32_t unplaced = 0;
    bool hasFailed = false;
    for (std::uint32_t tried = 0; nextIndex_ < state_.tasks.size() && tried < maximumTasks_; ++nextIndex_) {
        const std::uint32_t index = nextIndex_;
        if (!canStart(index))
            continue;
        ++tried;
        if (isSuspect(index)) {
            unplaced += !placeSuspect(plan, index);
            continue;
        }
        // What keeps one task of the step from every instance keeps the others as well.
        IndexedInstance* instance = hasFailed ? nullptr : chooseInstance(index);
        hasFailed = !instance;
        if (instance && isWaitingForRack(*instance, index))
            continue;
        if (instance)
            placeTask(plan, *instance, index);
        else
            ++unplaced;
    }
    if (unplaced > 0)
        addUnplaced(plan, waiting_, unplaced);
    return unplaced == 0;
}

IndexedInstance* StepPlacer::findPermitted(const std::set<std::string>& excluded, bool awaitsShortTasks) const
{
    const InstanceIndex::Order& order = instances_.instances(spec_.requiredLabel);
    const auto found = std::find_if(order.begin(), order.end(), [&](const IndexedInstance* instance) {
        jobs::Resources room = instance->view.free;
        if (awaitsShortTasks)
            room += instance->view.shortTasks;
        return !excluded.count(instance->name) && waiting_.need.fitsInto(room) && isPermitted(instance->view);
    });
    return found == order.end() ? nullptr : *found;
}

bool StepPlacer::canStart(std::uint32_t index) const
{
    if (state_.tasks[index].phase != TaskPhase::Pending)
        return false;
    return !constraints_.blockedTasks || !constraints_.blockedTasks->count(taskAt(index));
}

// Returns the history of a suspect, or null for any other task.
const jobs::CrashHistory* StepPlacer::findSuspicions(std::uint32_t index) const
{
    const jobs::CrashHistory* history = job_.findCrashHistory(taskAt(index));
    return history && history->requiresObservation() ? history : nullptr;
}

bool StepPlacer::canStartSuspects() const
{
    return !constraints_.observedJobs || !constraints_.observedJobs->count(waiting_.id.job);
}

// Suspects of a step start together: whichever of them is the cause fails their job, and the others cost no further
// instances. Returns false if the task found no room, and true if it was placed or waits until others were observed.
bool StepPlacer::placeSuspect(PoolPlan& plan, std::uint32_t index)
{
    if (!canStartSuspects())
        return true;
    if (observedInstance_)
        observedInstance_->view.isObserved = false;
    IndexedInstance* instance = observedInstance_ ? observedInstance_ : chooseInstance(index);
    if (!instance)
        return false;
    const bool isPlaced = isAllowed(instance->view);
    if (isPlaced)
        placeTask(plan, *instance, index);
    instance->view.isObserved = true;
    observedInstance_ = instance;
    return true;
}

// Places all tasks of a gang with a common run number, or none of them.
bool StepPlacer::placeGang(PoolPlan& plan)
{
    std::uint32_t run = 0;
    for (std::uint32_t index = 0; index < state_.tasks.size(); ++index) {
        if (!canStart(index) || (isSuspect(index) && !canStartSuspects()))
            return true;
        run = std::max(run, state_.tasks[index].lastRun + 1);
    }
    std::vector<Placement> members;
    std::vector<IndexedInstance*> hosts;
    for (std::uint32_t index = 0; index < state_.tasks.size(); ++index) {
        IndexedInstance* instance = chooseInstance(index);
        if (!instance) {
            for (IndexedInstance* host : hosts)
                instances_.removeTask(*host, waiting_.id, spec_);
            addUnplaced(plan, waiting_, static_cast<std::uint32_t>(state_.tasks.size()));
            // The room that the other members took is free again.
            isOutOfResources_ = isOutOfResources_ && hosts.empty();
            return false;
        }
        members.push_back(assign(*instance, index, run));
        hosts.push_back(instance);
    }
    for (std::uint32_t index = 0; index < hosts.size(); ++index) {
        hosts[index]->view.isObserved |= isSuspect(index);
        reportPlaced(*hosts[index]);
    }
    plan.placements.insert(plan.placements.end(), members.begin(), members.end());
    return true;
}

// Prefers the rack with the most free processor time for the whole step, or the one that it waits for.
void StepPlacer::chooseRack()
{
    const std::string* awaitedRack = constraints_.rackWaits ? constraints_.rackWaits->findRack(waiting_.id) : nullptr;
    if (awaitedRack) {
        wantedRack_ = *awaitedRack;
        return;
    }
    std::map<std::string, std::int64_t> room;
    for (const IndexedInstance* instance : instances_.instances()) {
        if (isAllowed(instance->view))
            room[instance->view.report->rack()] += instance->view.free.milliCores;
    }
    const auto best
        = std::max_element(room.begin(), room.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
    if (best != room.end())
        wantedRack_ = best->first;
}

// Only short tasks with an estimate wait, and only if nothing but room keeps them from their rack.
bool StepPlacer::canWaitForRack() const
{
    const bool hasOtherRestrictions = waiting_.isTicketRequired || spec_.maximumPerInstance > 0
        || spec_.latencyTarget.count() > 0 || !job_.crashHistories.empty();
    return constraints_.rackWaits && !wantedRack_.empty() && !spec_.isLongRunning && !spec_.isBestEffort
        && spec_.estimatedDuration.count() > 0 && !hasOtherRestrictions;
}

// The tasks of a gang, and those of a step that prefers one rack, are slowed down together if one of them starts on
// another rack. So they wait together, unless some of them run already.
bool StepPlacer::isWholeStepWaiting()
{
    if (!canWaitForRack() || !(spec_.isGang || spec_.prefersOneRack))
        return false;
    const auto tasks = static_cast<std::uint32_t>(state_.tasks.size());
    for (std::uint32_t index = 0; index < tasks; ++index) {
        if (!canStart(index) || state_.tasks[index].failures > 0)
            return false;
    }
    const std::int64_t onRack = roomFor(tasks, instances_.instances(wantedRack_));
    if (onRack >= tasks || roomFor(tasks, instances_.instances(spec_.requiredLabel)) < tasks)
        return false;
    const auto missing = static_cast<std::uint32_t>(tasks - onRack);
    return constraints_.rackWaits->isWaiting({ instances_, waiting_, job_, wantedRack_, 0, missing });
}

bool StepPlacer::isWaitingForRack(const IndexedInstance& instance, std::uint32_t index)
{
    if (!canWaitForRack() || spec_.prefersOneRack || state_.tasks[index].failures > 0
        || instance.view.report->hasLabel(wantedRack_))
        return false;
    const RackRequest request { instances_, waiting_, job_, wantedRack_, tasksWaitingForRack_, 1 };
    const bool isWaiting = constraints_.rackWaits->isWaiting(request);
    tasksWaitingForRack_ += isWaiting;
    return isWaiting;
}

// The best fit for a task is the fullest instance, which is often one of the rack that others wait for.
bool StepPlacer::isAwaitedByOthers(const InstanceView& instance) const
{
    return constraints_.rackWaits && !spec_.isLongRunning && constraints_.rackWaits->isAwaited(instance.report->rack())
        && !(wantedRack_ == instance.report->rack());
}

// Number of tasks of the step that the instances have room for; counts up to `tasks`.
std::int64_t StepPlacer::roomFor(std::int64_t tasks, const InstanceIndex::Order& order) const
{
    std::int64_t room = 0;
    for (auto entry = InstanceIndex::firstWithFreeCores(order, waiting_.need.milliCores);
         entry != order.end() && room < tasks; ++entry) {
        const InstanceView& view = (*entry)->view;
        room += isAllowed(view) ? std::min(tasks, taskCapacity(waiting_.need, view.free)) : 0;
    }
    return room;
}

bool StepPlacer::isAllowed(const InstanceView& instance) const
{
    return isPermitted(instance) && waiting_.need.fitsInto(instance.free);
}

// Whether nothing but the room keeps a task from the instance.
bool StepPlacer::isPermitted(const InstanceView& instance) const
{
    if (!spec_.requiredLabel.empty() && !instance.report->hasLabel(spec_.requiredLabel))
        return false;
    if (instance.isOnProbation && !instance.tasksByStep.empty())
        return false;
    if (instance.isObserved)
        return false;
    if (waiting_.isTicketRequired && (!tickets_ || !tickets_->count(instance.report->incarnation.instance)))
        return false;
    if (spec_.maximumPerInstance > 0 && tasksOn(instance) >= spec_.maximumPerInstance)
        return false;
    return !spec_.isBestEffort || instance.latencySensitiveTasks == 0;
}

std::uint32_t StepPlacer::tasksOn(const InstanceView& instance) const
{
    const auto found = instance.tasksByStep.find(waiting_.id);
    return found == instance.tasksByStep.end() ? 0 : found->second;
}

// A suspect goes to the instance with the most free processor time, where a crash ends the fewest runs of others.
StepPlacer::Rank StepPlacer::rank(
    const IndexedInstance& instance, std::uint32_t index, const jobs::CrashHistory* suspicions) const
{
    const Task& task = state_.tasks[index];
    const InstanceView& view = instance.view;
    const bool isOnOtherRack = !wantedRack_.empty() && !view.report->hasLabel(wantedRack_);
    const bool hasFailedThere = (task.failures > 0 && task.incarnation.instance == instance.name)
        || (suspicions && suspicions->hasCrashedAtStart(view.report->machine));
    const std::uint32_t spreadPenalty = spec_.isLongRunning ? spreadPenaltyOf(view) : 0;
    const std::int64_t otherLongRunning = view.longRunningTasks;
    const bool hasInterference
        = (spec_.latencyTarget.count() > 0 && view.bestEffortTasks > 0) || isAwaitedByOthers(view);
    // Long-running tasks share instances, so that the others stay free to be moved or maintained.
    return { hasFailedThere, hasInterference, isOnOtherRack, spreadPenalty, spec_.isLongRunning ? -otherLongRunning : 0,
        suspicions ? -view.free.milliCores : view.free.milliCores };
}

// Number of tasks of this step on the instance, or 0 while it holds less than its share of the step. Limits the part of
// a step that is lost with an instance.
std::uint32_t StepPlacer::spreadPenaltyOf(const InstanceView& instance) const
{
    const std::uint32_t share = (spec_.taskCount + minimumSpreadInstances - 1) / minimumSpreadInstances;
    const std::uint32_t assignedTasks = tasksOn(instance);
    return assignedTasks < share ? 0 : assignedTasks;
}

// Instances on the wanted rack are tried first; if none of them has the best rank, all instances are compared.
IndexedInstance* StepPlacer::chooseInstance(std::uint32_t index)
{
    isOutOfResources_ = true;
    if (!wantedRack_.empty()) {
        IndexedInstance* onRack = bestOf(instances_.instances(wantedRack_), index, false);
        const Rank best = onRack ? rank(*onRack, index, findSuspicions(index)) : Rank();
        const bool isBest = onRack && !std::get<0>(best) && !std::get<1>(best);
        if (isBest)
            return onRack;
    }
    return bestOf(instances_.instances(spec_.requiredLabel), index, !wantedRack_.empty());
}

// The order is that of the last field of the rank, so the first instance that is best in all other fields is chosen
// without looking at the rest. `isOnOtherRack`: whether instances of the wanted rack with such a rank are ruled out.
IndexedInstance* StepPlacer::bestOf(const InstanceIndex::Order& order, std::uint32_t index, bool isOnOtherRack)
{
    const jobs::CrashHistory* suspicions = findSuspicions(index);
    IndexedInstance* best = nullptr;
    Rank bestRank;
    for (auto entry = InstanceIndex::firstWithFreeCores(order, waiting_.need.milliCores); entry != order.end();
         ++entry) {
        IndexedInstance& instance = **entry;
        isOutOfResources_ = isOutOfResources_ && !waiting_.need.fitsInto(instance.view.free);
        if (!isAllowed(instance.view))
            continue;
        const Rank current = rank(instance, index, suspicions);
        if (!best || current < bestRank) {
            best = &instance;
            bestRank = current;
        }
        const bool isBestPossible = !spec_.isLongRunning && !suspicions && !std::get<0>(current)
            && !std::get<1>(current) && std::get<2>(current) == isOnOtherRack;
        if (isBestPossible)
            break;
    }
    return best;
}

void StepPlacer::placeTask(PoolPlan& plan, IndexedInstance& instance, std::uint32_t index)
{
    plan.placements.push_back(assign(instance, index, state_.tasks[index].lastRun + 1));
    reportPlaced(instance);
}

void StepPlacer::reportPlaced(const IndexedInstance& instance)
{
    if (constraints_.rackWaits)
        constraints_.rackWaits->onPlaced(waiting_.id, instance.view.report->hasLabel(wantedRack_));
}

Placement StepPlacer::assign(IndexedInstance& instance, std::uint32_t index, std::uint32_t run)
{
    instances_.addTask(instance, waiting_.id, spec_);
    const std::string ticket = waiting_.isTicketRequired ? tickets_->at(instance.name) : std::string();
    return { taskAt(index), run, instance.view.report->incarnation, waiting_.need, ticket };
}

} // namespace turmericsill::scheduling
